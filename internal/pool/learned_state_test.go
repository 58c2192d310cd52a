package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/clock"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// Restore matches learned state by class and endpoint name, also if the next Pool numbers its
// classes differently and knows other endpoints.
func TestRestoreMatchesClassesAndEndpoints(t *testing.T) {
	view := balance.Class{LatencyTarget: time.Second, Deadline: time.Second, Idempotency: balance.Idempotent, PriorityWeight: 1}
	pay := balance.Class{LatencyTarget: time.Second, Deadline: 2 * time.Second, Idempotency: balance.NonIdempotent, PriorityWeight: 1}
	list := func(names ...string) (l discovery.List) {
		for _, n := range names {
			l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: n, Address: "127.0.0.1:1", Status: discovery.InService})
		}
		return l
	}
	create := func(l discovery.List, classes ...balance.Class) *Pool {
		p, err := New(Config{Name: "test", Known: l, Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, Entry: true, SlowStartWindow: time.Second, Classes: classes,
		}}, upstream.New(upstream.Config{MaxConns: 1}))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	previous := create(list("a", "b"), view, pay)
	want := balance.Snapshot{
		Limit: 12, Served: 40, InTargetConcurrency: 30,
		Classes:   []balance.Estimate{{Mean: 0.1, N: 50}, {Mean: 0.3, N: 20}},
		Endpoints: map[string]balance.Estimate{"a": {Mean: 0.2, N: 7, Failures: 2}, "b": {Mean: 0.4, N: 20}},
	}
	previous.Restore(LearnedState{Balancer: want, Classes: []balance.Class{view, pay}})
	text, err := json.Marshal(previous.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var state LearnedState
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	next := create(list("b", "c"), pay, view)
	next.Restore(state)
	got := next.LearnedState().Balancer
	near := func(a, b float64) bool { return a > b*0.98 && a < b*1.02 }
	if got.Limit != 12 || !near(got.Served, 40) || !near(got.InTargetConcurrency, 30) {
		t.Errorf("admission limit %v, served %v, within the latency target %v, want 12, 40, 30", got.Limit, got.Served, got.InTargetConcurrency)
	}
	if !near(got.Classes[0].Mean, 0.3) || got.Classes[0].N != 20 || !near(got.Classes[1].Mean, 0.1) {
		t.Errorf("classes %+v, want the learned state of pay and view in this order", got.Classes)
	}
	if b := got.Endpoints["b"]; !near(b.Mean, 0.4) || b.N != 20 {
		t.Errorf("endpoint b: %+v, want the restored state", b)
	}
	if _, ok := got.Endpoints["a"]; ok || got.Endpoints["c"] != (balance.Estimate{}) {
		t.Errorf("endpoints %+v, want no entry for a and an empty one for c", got.Endpoints)
	}
}

// State from a process that does not support Ages is restored with all operator changes counted
// as made now, whatever its wall clock. State for such a process contains wall-clock times.
func TestRestoreWithoutAges(t *testing.T) {
	type stateWithoutAges struct { // the JSON format of processes that do not support Ages
		Learnt  balance.Snapshot
		Classes []balance.Class
		Out     map[string]int64
		Back    map[string]DisabledPeriod
	}
	for _, offset := range wallOffsets {
		clocks := clock.NewManual(offset)
		cfg := manualClockConfig(clocks)
		cfg.Known = discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{endpointSince("a", 0), endpointSince("b", 0), endpointSince("c", 0)}}
		minuteAgo := clocks.Clock().Wall().Add(-offset - time.Minute).UnixMilli()
		text, err := json.Marshal(stateWithoutAges{Out: map[string]int64{"a": minuteAgo}, Back: map[string]DisabledPeriod{"b": {minuteAgo, minuteAgo + 1000}}})
		if err != nil {
			t.Fatal(err)
		}
		var state LearnedState
		if err := json.Unmarshal(text, &state); err != nil {
			t.Fatal(err)
		}
		cfg.Ages = state.Ages
		p := newManualClockPool(t, clocks, cfg)
		p.Restore(state)
		p.SetDisabled(map[string]bool{"a": true})
		if got := p.balancerAges(); len(got) != 1 || got["b"] > time.Millisecond {
			t.Errorf("clock offset %v: ages %v, want only b, enabled now", offset, got)
		}
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		if got := p.balancerAges(); len(got) != 2 || got["a"] != 0 {
			t.Errorf("clock offset %v: ages %v, want two, with a enabled now", offset, got)
		}

		if text, err = json.Marshal(p.LearnedState()); err != nil {
			t.Fatal(err)
		}
		var written stateWithoutAges
		if err := json.Unmarshal(text, &written); err != nil {
			t.Fatal(err)
		}
		now := clocks.Clock().Wall().UnixMilli()
		if r := written.Back["a"]; r.End != now || r.Start != now-1000 {
			t.Errorf("clock offset %v: period %+v written at %d, want it to end then and last 1 s", offset, r, now)
		}
	}
}
