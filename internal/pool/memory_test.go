package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/clock"
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// What a pool has learnt goes to the next one by class and name, also where the
// next one numbers its classes otherwise and knows other nodes.
func TestMemoryGoesOn(t *testing.T) {
	view := balance.Class{LatencyTarget: time.Second, Deadline: time.Second, Semantics: balance.Safe, Worth: 1}
	pay := balance.Class{LatencyTarget: time.Second, Deadline: 2 * time.Second, Semantics: balance.Unsafe, Worth: 1}
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
	want := balance.Snapshot{
		Limit: 12, Served: 40, InAim: 30,
		Classes:   []balance.Estimate{{Mean: 0.1, N: 50}, {Mean: 0.3, N: 20}},
		Endpoints: map[string]balance.Estimate{"a": {Mean: 0.2, N: 7, Failures: 2}, "b": {Mean: 0.4, N: 20}},
	}
	was.Restore(LearnedState{Balancer: want, Classes: []balance.Class{view, pay}})
	text, err := json.Marshal(was.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var m LearnedState
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	next := make(list("b", "c"), pay, view)
	next.Restore(m)
	got := next.LearnedState().Balancer
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
	if _, ok := got.Endpoints["a"]; ok || got.Endpoints["c"] != (balance.Estimate{}) {
		t.Errorf("endpoints %+v, want nothing of a and c", got.Endpoints)
	}
}

// What a process that knows no ages hands over is taken up, with all that operators have said
// counting as done now, however far its wall clock is off; and it finds the times that it
// knows in what is handed to it.
func TestMemoryOfAProcessThatKnowsNoAges(t *testing.T) {
	type olderMemory struct { // as it was written before there were ages
		Learnt  balance.Snapshot
		Classes []balance.Class
		Out     map[string]int64
		Back    map[string]DisabledPeriod
	}
	for _, offset := range wallOffsets {
		clocks := clock.NewManual(offset)
		cfg := agedConfig(clocks)
		cfg.Known = nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{stamped("a", 0), stamped("b", 0), stamped("c", 0)}}
		minute := clocks.Clock().Wall().Add(-offset - time.Minute).UnixMilli()
		text, err := json.Marshal(olderMemory{Out: map[string]int64{"a": minute}, Back: map[string]DisabledPeriod{"b": {minute, minute + 1000}}})
		if err != nil {
			t.Fatal(err)
		}
		var m LearnedState
		if err := json.Unmarshal(text, &m); err != nil {
			t.Fatal(err)
		}
		cfg.Ages = m.Ages
		p := newAged(t, clocks, cfg)
		p.Restore(m)
		p.SetDisabled(map[string]bool{"a": true})
		if got := p.agesNow(); len(got) != 1 || got["b"] > time.Millisecond {
			t.Errorf("clock off by %v: ages %v, want b as if it had come back now", offset, got)
		}
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		if got := p.agesNow(); len(got) != 2 || got["a"] != 0 {
			t.Errorf("clock off by %v: ages %v, want a as if it had come back now", offset, got)
		}

		if text, err = json.Marshal(p.LearnedState()); err != nil {
			t.Fatal(err)
		}
		var older olderMemory
		if err := json.Unmarshal(text, &older); err != nil {
			t.Fatal(err)
		}
		now := clocks.Clock().Wall().UnixMilli()
		if r := older.Back["a"]; r.End != now || r.Start != now-1000 {
			t.Errorf("clock off by %v: handed on as %+v at %d", offset, r, now)
		}
	}
}
