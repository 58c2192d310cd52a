package pool

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/upstream"
)

// undatedList returns a snapshot without start times, in which each address is also the name.
func undatedList(addrs ...string) (l discovery.List) {
	l = discovery.List{Snapshot: true, Undated: true}
	for _, a := range addrs {
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: a, Address: a, Status: discovery.InService})
	}
	return l
}

// In an undated list, the first endpoints and those that replace all others are not cold. An
// endpoint that is added to known ones is cold.
func TestStartsInUndatedLists(t *testing.T) {
	cfg := testConfig()
	cfg.Known = undatedList("127.0.0.1:1", "127.0.0.1:2")
	p := newPool(t, cfg)
	applyFull := func(addrs ...string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyList(balance.Full, undatedList(addrs...))
	}
	checkCold := func(want ...bool) {
		t.Helper()
		for i, e := range p.List().Endpoints {
			if e.SinceMs != 0 != want[i] {
				t.Errorf("%s: since_ms %d, want cold %t", e.Name, e.SinceMs, want[i])
			}
		}
	}
	checkCold(false, false)
	applyFull("127.0.0.1:1", "127.0.0.1:2")
	checkCold(false, false)
	applyFull("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	checkCold(false, false, true)
	sinceMs := p.List().Endpoints[2].SinceMs
	time.Sleep(5 * time.Millisecond)
	applyFull("127.0.0.1:2", "127.0.0.1:3") // the first one leaves
	checkCold(false, true)
	if got := p.List().Endpoints[1].SinceMs; got != sinceMs {
		t.Errorf("the start of a node that stays listed changed from %d to %d", sinceMs, got)
	}
	applyFull("127.0.0.1:1", "127.0.0.1:2") // and returns
	checkCold(true, false)
	applyFull("127.0.0.1:7", "127.0.0.1:8")
	checkCold(false, false)
	applyFull()
	applyFull("127.0.0.1:7")
	checkCold(false)
}

// doRequest makes one idempotent request and returns its response.
func doRequest(t *testing.T, p *Pool, resubmitted bool) (Response, error) {
	t.Helper()
	r := &Request{Tenant: -1, Budget: testTimeout, Resubmitted: resubmitted, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
	if err := p.Submit(r); err != nil {
		return Response{}, err
	}
	defer p.Done(r)
	p.RunFirstAttempt(r)
	return <-r.Response(), nil
}

// A retired pool accepts only resubmitted requests, until it is reactivated; a full one
// accepts none.
func TestSubmitErrors(t *testing.T) {
	n, err := fakeserver.StartNode(fakeserver.NodeConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	cfg := testConfig()
	cfg.Known = undatedList(n.Addr())
	p := newPool(t, cfg)
	check := func(resubmitted bool, want error) {
		t.Helper()
		a, err := doRequest(t, p, resubmitted)
		if !errors.Is(err, want) || err == nil && a.Outcome != Served {
			t.Errorf("response %+v, error %v, want %v", a, err, want)
		}
		if a.Upstream != nil {
			a.Upstream.Release()
		}
	}
	check(false, nil)
	p.Retire()
	check(false, ErrRetired)
	check(true, nil)
	p.Reactivate()
	check(false, nil)
	p.SetLimits(Limits{Requests: 1, BodyBytes: 1})
	n.SetMode(fakeserver.ModeFreeze)
	done := make(chan Response)
	go func() { a, _ := doRequest(t, p, false); done <- a }()
	// The node also has an idle connection, so the limit of the Pool is reached first.
	eventually(t, "the request is open in the Pool and at the node", func() bool { return p.OpenRequests() == 1 && n.OpenRequests() == 1 })
	check(false, ErrFull)
	check(true, ErrFull)
	if after := p.RetryAfter(); after < minRetryAfter || after > maxRetryAfter {
		t.Errorf("RetryAfter is %v, want it within its bounds", after)
	}
	n.SetMode(fakeserver.ModeServe)
	if a := <-done; a.Outcome != Served {
		t.Errorf("response %+v, want Served", a)
	}
	if s := p.Stats(); s.Submitted != 4 || s.Served != 4 || s.Full != 2 || p.OpenRequests() != 0 {
		t.Errorf("stats %+v with %d open requests, want 4 submitted, 4 served, 2 full and 0 open", s, p.OpenRequests())
	}
}

// If no node serves a request, the last error response of a node is passed through. All other
// responses are released.
func TestNodeErrorIsPassedThrough(t *testing.T) {
	cfg := testConfig()
	var servers []*fakeserver.Node
	for i := range 2 {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprint("n-", i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		n.SetMode(fakeserver.ModeError)
		servers = append(servers, n)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, undatedList(n.Addr()).Endpoints...)
	}
	p := newPool(t, cfg)
	a, err := doRequest(t, p, false)
	if err != nil || a.Outcome != Failed || a.Upstream == nil || a.Upstream.Status != 500 || len(a.Upstream.Body) == 0 {
		t.Fatalf("response %+v, error %v, want Failed with the response of a node", a, err)
	}
	a.Upstream.Release()
	for _, n := range servers {
		n.Crash()
	}
	if a, err = doRequest(t, p, false); err != nil || a.Upstream != nil || a.Outcome == Served {
		t.Errorf("after the nodes have stopped: response %+v, error %v, want no response", a, err)
	}
}

// ClassNumber adds a new class once and returns the number of an existing one.
func TestClassNumber(t *testing.T) {
	p := newPool(t, testConfig())
	c := balance.Class{Deadline: time.Second, Idempotency: balance.Idempotent, PriorityWeight: 3}
	first, err := p.ClassNumber(c)
	again, err2 := p.ClassNumber(c)
	known, err3 := p.ClassNumber(testConfig().Balance.Classes[1])
	if first != 2 || again != 2 || known != 1 || err != nil || err2 != nil || err3 != nil || p.ClassCount() != 3 {
		t.Errorf("class numbers %d, %d and %d of %d classes, want 2, 2 and 1 of 3; errors %v, %v, %v", first, again, known, p.ClassCount(), err, err2, err3)
	}
	if _, err := p.ClassNumber(balance.Class{}); err == nil {
		t.Error("a class without a deadline was accepted")
	}
}

// Run returns when its context ends.
func TestRunEndsWithItsContext(t *testing.T) {
	cfg := testConfig()
	cfg.Source = discovery.Fixed(undatedList("127.0.0.1:1").Endpoints)
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	eventually(t, "the list", p.HasList)
	cancel()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("Run did not return after its context ended")
	}
}
