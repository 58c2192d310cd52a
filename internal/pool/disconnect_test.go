package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/upstream"
)

// disconnectingCaller is a Caller that disconnects at check number disconnectAt, or never if
// disconnectAt is 0. A check takes checkDelay.
type disconnectingCaller struct {
	disconnectAt int64
	checkDelay   time.Duration
	checks       atomic.Int64
}

func (c *disconnectingCaller) Disconnected() bool {
	n := c.checks.Add(1)
	time.Sleep(c.checkDelay)
	return c.disconnectAt > 0 && n >= c.disconnectAt
}

// The caller is checked as the last step before each attempt, even if the request has just been
// submitted, because the process may have been suspended. A check that takes too long is repeated.
func TestCallerIsCheckedBeforeEachAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		caller       *disconnectingCaller
		wantOutcome  Outcome
		minChecks    int64
		wantRequests int
	}{
		"connected":                                {&disconnectingCaller{}, Served, 1, 1},
		"disconnected":                             {&disconnectingCaller{disconnectAt: 1}, CallerGone, 1, 0},
		"disconnects during a slow check":          {&disconnectingCaller{disconnectAt: 2, checkDelay: 2 * confirmInterval}, CallerGone, 2, 0},
		"disconnects during a repeated slow check": {&disconnectingCaller{disconnectAt: 3, checkDelay: 2 * confirmInterval}, CallerGone, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, healthy := newTwoNodePool(t, "127.0.0.1:1", time.Second)
			p.SetDisabled(map[string]bool{"other": true})
			r := &Request{Tenant: -1, Budget: testTimeout, Caller: c.caller, Outgoing: upstream.Request{Method: "GET", URI: "/x", Host: "x"}}
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			p.RunFirstAttempt(r)
			a := <-r.Response()
			if a.Upstream != nil {
				a.Upstream.Release()
			}
			p.Done(r)
			// On a busy machine a check may be slow by itself and is then repeated.
			if n := c.caller.checks.Load(); a.Outcome != c.wantOutcome || n < c.minChecks || healthy.count("/x") != c.wantRequests {
				t.Errorf("outcome %v after %d checks and %d requests at the endpoint, want %v, at least %d and %d", a.Outcome, n, healthy.count("/x"), c.wantOutcome, c.minChecks, c.wantRequests)
			}
		})
	}
}
