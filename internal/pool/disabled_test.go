package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
)

// A disabled endpoint drains whatever its listed status is, also when it is listed again. An
// endpoint that is enabled again counts as started at that time, until the list reports a start
// after it was disabled.
func TestDisableAndEnable(t *testing.T) {
	cfg := testConfig()
	list := func(sinceMs int64) discovery.List {
		l := undatedList("127.0.0.1:1", "127.0.0.1:2")
		l.Undated = false
		l.Endpoints[0].SinceMs = sinceMs
		return l
	}
	cfg.Known = list(0)
	p := newPool(t, cfg)
	applyFull := func(l discovery.List) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyList(balance.Full, l)
	}
	check := func(when string, state balance.State, cold bool) {
		t.Helper()
		p.mu.Lock()
		defer p.mu.Unlock()
		if e := p.balancerView["127.0.0.1:1"]; e.State != state || (e.Since != 0) != cold {
			t.Errorf("%s: state %d, start %v, want state %d, cold %t", when, e.State, e.Since, state, cold)
		}
		if e := p.balancerView["127.0.0.1:2"]; e.State != balance.Ready || e.Since != 0 {
			t.Errorf("%s: the other endpoint is %+v, want it ready and warm", when, e)
		}
	}
	check("initially", balance.Ready, false)
	disabled := map[string]bool{"127.0.0.1:1": true, "127.0.0.1:9": true} // the second one is not listed
	p.SetDisabled(disabled)
	check("disabled", balance.Draining, false)
	applyFull(list(0))
	check("disabled, and listed again", balance.Draining, false)
	p.SetDisabled(disabled)
	check("disabled twice", balance.Draining, false)
	p.SetDisabled(nil)
	check("enabled", balance.Ready, true)
	applyFull(list(0))
	check("enabled, and listed as before", balance.Ready, true)
	next := newPool(t, cfg) // the next process, with a list from before the change
	next.Restore(p.LearnedState())
	next.SetDisabled(nil)
	if e := next.balancerView["127.0.0.1:1"]; e.State != balance.Ready || e.Since == 0 {
		t.Errorf("in the next process: %+v, want it ready and cold", e)
	}
	previousStart := p.balancerView["127.0.0.1:1"].Since
	lastSync := p.lastSync
	applyFull(list(time.Now().Add(-time.Hour).UnixMilli()))
	if got := p.balancerView["127.0.0.1:1"].Since; got < previousStart || got != lastSync {
		t.Errorf("start %v after a change of the timestamp, want %v, the last list with the previous one, and not before it was enabled at %v", got, lastSync, previousStart)
	}
	previousStart = p.balancerView["127.0.0.1:1"].Since
	restartedAt := time.Now().Add(time.Second)
	applyFull(list(restartedAt.UnixMilli()))
	if got := p.balancerView["127.0.0.1:1"].Since; got <= previousStart {
		t.Errorf("start %v, want the listed start, after %v", got, previousStart)
	}
}

// A timestamp from before an endpoint was disabled does not change the start of the enabled
// endpoint, because the list may not have reported a restart yet.
func TestEnabledEndpointWithUnchangedTimestamp(t *testing.T) {
	cfg := testConfig()
	cfg.Known = undatedList("127.0.0.1:1", "127.0.0.1:2")
	cfg.Known.Undated = false
	cfg.Known.Endpoints[0].SinceMs = time.Now().Add(-time.Hour).UnixMilli()
	p := newPool(t, cfg)
	p.SetDisabled(map[string]bool{"127.0.0.1:1": true})
	p.SetDisabled(nil)
	enabledAt := p.balancerView["127.0.0.1:1"].Since
	if enabledAt <= 0 {
		t.Errorf("start %v after it was enabled, want the time at which it was enabled", enabledAt)
	}
	for range 2 {
		p.mu.Lock()
		p.applyList(balance.Full, cfg.Known)
		p.mu.Unlock()
		if got := p.balancerView["127.0.0.1:1"].Since; got != enabledAt {
			t.Errorf("a timestamp from before it was disabled changed the start from %v to %v", enabledAt, got)
		}
	}
}

// The names of endpoints that left the list stay known, up to a limit.
func TestFormerNamesStayKnown(t *testing.T) {
	cfg := testConfig()
	cfg.Known = undatedList("127.0.0.1:1")
	p := newPool(t, cfg)
	p.AddEverListedNames([]string{"before"})
	p.mu.Lock()
	p.applyList(balance.Full, undatedList("127.0.0.1:2"))
	p.mu.Unlock()
	for name, want := range map[string]bool{"127.0.0.1:1": true, "127.0.0.1:2": true, "before": true, "never": false} {
		if got := p.EverListed(name); got != want {
			t.Errorf("%s: known %t, want %t", name, got, want)
		}
	}
	if names := p.EverListedNames(); !slices.Contains(names, "127.0.0.1:1") || !slices.Contains(names, "before") || !slices.Contains(names, "127.0.0.1:2") {
		t.Errorf("known names %q, want the current, the former and the added one", names)
	}
	var many []string
	for i := range 2 * maxFormerNames {
		many = append(many, fmt.Sprint(i))
	}
	p.AddEverListedNames(many)
	if n := len(p.EverListedNames()); n > maxFormerNames+1 {
		t.Errorf("%d known names, want the limit and the listed endpoint at most", n)
	}
}
