package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/upstream"
)

// leaver is a caller that leaves in the moment it is asked the n-th time, and each time takes
// so long to be looked at.
type leaver struct {
	n     int64
	slow  time.Duration
	asked atomic.Int64
}

func (l *leaver) Disconnected() bool {
	n := l.asked.Add(1)
	time.Sleep(l.slow)
	return l.n > 0 && n >= l.n
}

// Every attempt looks at its caller as the last step before it begins, however short a time
// ago the request came: the process may have been held up since it read the clock. A look
// that takes long, as the process does not get to run in it, is taken once more.
func TestEveryAttemptLooksAtItsCaller(t *testing.T) {
	for name, c := range map[string]struct {
		caller *leaver
		want   Verdict
		looks  int64
		runs   int
	}{
		"stays":                     {&leaver{}, Served, 1, 1},
		"has left":                  {&leaver{n: 1}, CallerGone, 1, 0},
		"leaves under a slow look":  {&leaver{n: 2, slow: 2 * confirmInterval}, CallerGone, 2, 0},
		"leaves between two others": {&leaver{n: 3, slow: 2 * confirmInterval}, CallerGone, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, sound := twoNodes(t, "127.0.0.1:1", time.Second)
			p.SetDisabled(map[string]bool{"other": true})
			r := &Request{Tenant: -1, Budget: patience, Caller: c.caller, Outgoing: upstream.Request{Method: "GET", URI: "/x", Host: "x"}}
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			p.RunFirstAttempt(r)
			a := <-r.Answer()
			if a.Upstream != nil {
				a.Upstream.Release()
			}
			p.Done(r)
			// On a busy machine a look may be slow by itself, and then there is another one.
			if n := c.caller.asked.Load(); a.Verdict != c.want || n < c.looks || sound.count("/x") != c.runs {
				t.Errorf("verdict %v after %d looks, %d runs, want %v, %d or more, %d", a.Verdict, n, sound.count("/x"), c.want, c.looks, c.runs)
			}
		})
	}
}
