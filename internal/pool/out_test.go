package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
)

// What operators leave out drains whatever the list says of it, also where it is
// listed anew; what they put back is cold from then on, until the list dates its
// start later than it went out.
func TestOutAndBack(t *testing.T) {
	cfg := testConfig()
	list := func(sinceMs int64) nodes.List {
		l := entries("127.0.0.1:1", "127.0.0.1:2")
		l.Undated = false
		l.Endpoints[0].SinceMs = sinceMs
		return l
	}
	cfg.Known = list(0)
	p := newPool(t, cfg)
	tell := func(l nodes.List) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyList(balance.Full, l)
	}
	is := func(when string, state balance.State, cold bool) {
		t.Helper()
		p.mu.Lock()
		defer p.mu.Unlock()
		if e := p.balancerView["127.0.0.1:1"]; e.State != state || (e.Since != 0) != cold {
			t.Errorf("%s: state %d, since %v, want state %d, cold %t", when, e.State, e.Since, state, cold)
		}
		if e := p.balancerView["127.0.0.1:2"]; e.State != balance.Ready || e.Since != 0 {
			t.Errorf("%s: the other one is %+v", when, e)
		}
	}
	is("at first", balance.Ready, false)
	out := map[string]bool{"127.0.0.1:1": true, "127.0.0.1:9": true} // one is not listed now
	p.SetDisabled(out)
	is("out", balance.Draining, false)
	tell(list(0))
	is("listed again", balance.Draining, false)
	p.SetDisabled(out)
	is("out twice", balance.Draining, false)
	p.SetDisabled(nil)
	is("back", balance.Ready, true)
	tell(list(0))
	is("back, and listed as before", balance.Ready, true)
	next := newPool(t, cfg) // the process that comes next, by a list that knows no better
	next.Restore(p.LearnedState())
	next.SetDisabled(nil)
	if e := next.balancerView["127.0.0.1:1"]; e.State != balance.Ready || e.Since == 0 {
		t.Errorf("in the next process: %+v, want it cold", e)
	}
	before := p.balancerView["127.0.0.1:1"].Since
	last := p.lastSync
	tell(list(time.Now().Add(-time.Hour).UnixMilli()))
	if got := p.balancerView["127.0.0.1:1"].Since; got < before || got != last {
		t.Errorf("since %v after its stamp has changed, want %v, when the old one was last told, and not before its return at %v", got, last, before)
	}
	before = p.balancerView["127.0.0.1:1"].Since
	dated := time.Now().Add(time.Second)
	tell(list(dated.UnixMilli()))
	if got := p.balancerView["127.0.0.1:1"].Since; got <= before {
		t.Errorf("since %v, want the start that is listed, after %v", got, before)
	}
}

// A start that was listed before an endpoint went out, and still is once it is back, says
// nothing of what was done to it meanwhile.
func TestOutAndBackWithTheStampOfBefore(t *testing.T) {
	cfg := testConfig()
	cfg.Known = entries("127.0.0.1:1", "127.0.0.1:2")
	cfg.Known.Undated = false
	cfg.Known.Endpoints[0].SinceMs = time.Now().Add(-time.Hour).UnixMilli()
	p := newPool(t, cfg)
	p.SetDisabled(map[string]bool{"127.0.0.1:1": true})
	p.SetDisabled(nil)
	back := p.balancerView["127.0.0.1:1"].Since
	if back <= 0 {
		t.Errorf("since %v once it is back, want the moment of its return", back)
	}
	for range 2 {
		p.mu.Lock()
		p.applyList(balance.Full, cfg.Known)
		p.mu.Unlock()
		if got := p.balancerView["127.0.0.1:1"].Since; got != back {
			t.Errorf("a start before it went out moved its start from %v to %v", back, got)
		}
	}
}

// Names that were listed once stay known, a bounded number of them.
func TestNamesStayKnown(t *testing.T) {
	cfg := testConfig()
	cfg.Known = entries("127.0.0.1:1")
	p := newPool(t, cfg)
	p.AddKnownNames([]string{"before"})
	p.mu.Lock()
	p.applyList(balance.Full, entries("127.0.0.1:2"))
	p.mu.Unlock()
	for name, want := range map[string]bool{"127.0.0.1:1": true, "127.0.0.1:2": true, "before": true, "never": false} {
		if got := p.Knows(name); got != want {
			t.Errorf("%s: known %t, want %t", name, got, want)
		}
	}
	if names := p.KnownNames(); !slices.Contains(names, "127.0.0.1:1") || !slices.Contains(names, "before") || !slices.Contains(names, "127.0.0.1:2") {
		t.Errorf("names %q", names)
	}
	var many []string
	for i := range 2 * maxFormerNames {
		many = append(many, fmt.Sprint(i))
	}
	p.AddKnownNames(many)
	if n := len(p.KnownNames()); n > maxFormerNames+1 {
		t.Errorf("%d names are remembered", n)
	}
}
