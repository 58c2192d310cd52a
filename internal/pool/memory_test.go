package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// What a pool has learnt goes to the next one by class and name, also where the
// next one numbers its classes otherwise and knows other nodes.
func TestMemoryGoesOn(t *testing.T) {
	view := balance.Class{Aim: time.Second, Deadline: time.Second, Semantics: balance.Safe, Worth: 1}
	pay := balance.Class{Aim: time.Second, Deadline: 2 * time.Second, Semantics: balance.Unsafe, Worth: 1}
	list := func(names ...string) (l nodes.List) {
		for _, n := range names {
			l.Endpoints = append(l.Endpoints, nodes.Endpoint{Name: n, Address: "127.0.0.1:1", Status: nodes.InService})
		}
		return l
	}
	make := func(l nodes.List, classes ...balance.Class) *Pool {
		p, err := New(Config{Name: "test", Known: l, Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, Entry: true, RampTime: time.Second, Classes: classes,
		}}, upstream.New(upstream.Config{MaxConns: 1}))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	was := make(list("a", "b"), view, pay)
	want := balance.Memory{
		Limit: 12, Served: 40, InAim: 30,
		Classes:   []balance.Learnt{{Mean: 0.1, N: 50}, {Mean: 0.3, N: 20}},
		Endpoints: map[string]balance.Learnt{"a": {Mean: 0.2, N: 7, Failures: 2}, "b": {Mean: 0.4, N: 20}},
	}
	was.Recall(Memory{Learnt: want, Classes: []balance.Class{view, pay}})
	text, err := json.Marshal(was.Memory())
	if err != nil {
		t.Fatal(err)
	}
	var m Memory
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	next := make(list("b", "c"), pay, view)
	next.Recall(m)
	got := next.Memory().Learnt
	near := func(a, b float64) bool { return a > b*0.98 && a < b*1.02 }
	if got.Limit != 12 || !near(got.Served, 40) || !near(got.InAim, 30) {
		t.Errorf("limit %v, served %v, in aim %v, want 12, 40, 30", got.Limit, got.Served, got.InAim)
	}
	if !near(got.Classes[0].Mean, 0.3) || got.Classes[0].N != 20 || !near(got.Classes[1].Mean, 0.1) {
		t.Errorf("classes %+v, want those of pay and view", got.Classes)
	}
	if b := got.Endpoints["b"]; !near(b.Mean, 0.4) || b.N != 20 {
		t.Errorf("b: %+v, want what was learnt", b)
	}
	if _, ok := got.Endpoints["a"]; ok || got.Endpoints["c"] != (balance.Learnt{}) {
		t.Errorf("endpoints %+v, want nothing of a and c", got.Endpoints)
	}
}
