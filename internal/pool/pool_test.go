package pool

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

func entries(addrs ...string) (l nodes.List) {
	l = nodes.List{Snapshot: true, Undated: true}
	for _, a := range addrs {
		l.Endpoints = append(l.Endpoints, nodes.Endpoint{Name: a, Address: a, Status: nodes.InService})
	}
	return l
}

// In a list that knows no starts, what was there at first is warm, what joins
// others is cold from then on, and what takes the place of all others is warm.
func TestUndatedNodes(t *testing.T) {
	cfg := testConfig()
	cfg.Known = entries("127.0.0.1:1", "127.0.0.1:2")
	p := newPool(t, cfg)
	tell := func(addrs ...string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyList(balance.Full, entries(addrs...))
	}
	cold := func(want ...bool) {
		t.Helper()
		for i, e := range p.List().Endpoints {
			if e.SinceMs != 0 != want[i] {
				t.Errorf("%s since %d, want cold %t", e.Name, e.SinceMs, want[i])
			}
		}
	}
	cold(false, false)
	tell("127.0.0.1:1", "127.0.0.1:2")
	cold(false, false)
	tell("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	cold(false, false, true)
	since := p.List().Endpoints[2].SinceMs
	time.Sleep(5 * time.Millisecond)
	tell("127.0.0.1:2", "127.0.0.1:3") // the first goes
	cold(false, true)
	if again := p.List().Endpoints[1].SinceMs; again != since {
		t.Errorf("the start of a node that stays moved from %d to %d", since, again)
	}
	tell("127.0.0.1:1", "127.0.0.1:2") // and comes back
	cold(true, false)
	tell("127.0.0.1:7", "127.0.0.1:8")
	cold(false, false)
	tell()
	tell("127.0.0.1:7")
	cold(false)
}

// ask submits one safe request to p and returns its answer.
func ask(t *testing.T, p *Pool, again bool) (Answer, error) {
	t.Helper()
	r := &Request{Tenant: -1, Budget: patience, Resubmitted: again, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
	if err := p.Submit(r); err != nil {
		return Answer{}, err
	}
	defer p.Done(r)
	p.RunFirstAttempt(r)
	return <-r.Answer(), nil
}

// A retired pool accepts only resubmitted requests, until it is reactivated; a full one
// accepts none.
func TestSubmitErrors(t *testing.T) {
	n, err := standin.StartNode(standin.NodeConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	cfg := testConfig()
	cfg.Known = entries(n.Addr())
	p := newPool(t, cfg)
	want := func(again bool, want error) {
		t.Helper()
		a, err := ask(t, p, again)
		if !errors.Is(err, want) || err == nil && a.Verdict != Served {
			t.Errorf("answer %+v, error %v, want %v", a, err, want)
		}
		if a.Upstream != nil {
			a.Upstream.Release()
		}
	}
	want(false, nil)
	p.Retire()
	want(false, ErrRetired)
	want(true, nil)
	p.Reactivate()
	want(false, nil)
	p.SetLimits(Limits{Requests: 1, BodyBytes: 1})
	n.Set(standin.Freeze)
	done := make(chan Answer)
	go func() { a, _ := ask(t, p, false); done <- a }()
	// The node has an idle connection as well, so that the pool tells first.
	eventually(t, "it is in the pool and at the node", func() bool { return p.OpenRequests() == 1 && n.Open() == 1 })
	want(false, ErrFull)
	want(true, ErrFull)
	if after := p.RetryAfter(); after < minRetryAfter || after > maxRetryAfter {
		t.Errorf("come back after %v", after)
	}
	n.Set(standin.Serve)
	if a := <-done; a.Verdict != Served {
		t.Errorf("%+v", a)
	}
	if s := p.Stats(); s.Submitted != 4 || s.Served != 4 || s.Full != 2 || p.OpenRequests() != 0 {
		t.Errorf("%+v, %d open", s, p.OpenRequests())
	}
}

// The last word of a node that failed is the answer when nobody serves, and
// every answer that is not given is released.
func TestNodesOwnErrorIsPassedOn(t *testing.T) {
	cfg := testConfig()
	var all []*standin.Node
	for i := range 2 {
		n, err := standin.StartNode(standin.NodeConfig{Name: fmt.Sprint("n-", i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		n.Set(standin.Error)
		all = append(all, n)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, entries(n.Addr()).Endpoints...)
	}
	p := newPool(t, cfg)
	a, err := ask(t, p, false)
	if err != nil || a.Verdict != Failed || a.Upstream == nil || a.Upstream.Status != 500 || len(a.Upstream.Body) == 0 {
		t.Fatalf("%+v, %v", a, err)
	}
	a.Upstream.Release()
	for _, n := range all {
		n.Vanish()
	}
	if a, err = ask(t, p, false); err != nil || a.Upstream != nil || a.Verdict == Served {
		t.Errorf("nodes that are gone: %+v, %v", a, err)
	}
}

// A class that is new is learnt of once; one that there is has its number.
func TestClassNumbers(t *testing.T) {
	p := newPool(t, testConfig())
	c := balance.Class{Deadline: time.Second, Semantics: balance.Safe, Worth: 3}
	first, err := p.ClassNumber(c)
	again, err2 := p.ClassNumber(c)
	known, err3 := p.ClassNumber(testConfig().Balance.Classes[1])
	if first != 2 || again != 2 || known != 1 || err != nil || err2 != nil || err3 != nil || p.ClassCount() != 3 {
		t.Errorf("%d %d %d of %d, %v %v %v", first, again, known, p.ClassCount(), err, err2, err3)
	}
	if _, err := p.ClassNumber(balance.Class{}); err == nil {
		t.Error("a class without a deadline was taken")
	}
}

// Run ends with its context, and its source with it.
func TestRunEnds(t *testing.T) {
	cfg := testConfig()
	cfg.Source = nodes.Fixed(entries("127.0.0.1:1").Endpoints)
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	eventually(t, "the list", p.HasList)
	cancel()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("it did not end")
	}
}
