package upstream

import (
	"context"
	"time"
)

// Where connections rest, a request that comes too soon after another waits for the one
// connection that there is. That is right while it is rare: a new connection costs its
// endpoint work, and may take longer to come up than the rest. To an endpoint that is asked
// so often that one more would be used all the time, one is dialled beside the wait, and
// the request goes on whichever is ready first.

// usesKept is how often a connection has to be used in the time for which an idle one is
// kept, for one more to be dialled: a spare is not to be gone before it was of use.
const usesKept = 2

// use is how much a target's connections are used. The zero value is of one that is not.
type use struct {
	since  time.Time // of the window that is counted
	now    int       // requests in it
	before int       // and in the one before
}

// count books a request. Windows are as long as idle connections are kept.
func (u *use) count(now time.Time, window time.Duration) {
	if d := now.Sub(u.since); d >= window {
		u.before = u.now
		if d >= 2*window {
			u.before = 0
		}
		u.since, u.now = now, 0
	}
	u.now++
}

// keeps tells whether so many connections are all used often enough to stay.
func (u *use) keeps(n int) bool { return max(u.now, u.before) >= usesKept*n }

// rested is the index of the idle connection to use, of those that have rested for so long,
// or -1: the one used last, so that those not needed go idle. Where all are needed it is the
// one idle longest, which lets the others rest.
func (t *target) rested(now time.Time, least time.Duration) int {
	i := len(t.idle) - 1
	for i >= 0 && now.Sub(t.idle[i].idleSince) < least {
		i--
	}
	if i > 0 && least > 0 && t.use.keeps(t.open) {
		return 0
	}
	return i
}

// beside dials a connection for a request that waits for one that rests, if it would be
// used, and returns where it comes, or nil; the mutex is held. While endpoints are known to
// send more than they should every connection is suspect, and none is dialled for haste.
func (p *Pool) beside(t *target, now time.Time) <-chan *conn {
	if !t.use.keeps(t.open+1) || p.open >= p.cfg.MaxConns || now.Before(p.unruly) {
		return nil
	}
	p.open++
	t.open++
	fresh := make(chan *conn)
	go func() {
		c, err := p.dial(context.Background(), t, time.Time{})
		if err != nil {
			return // the request has a connection that it waits for
		}
		select {
		case fresh <- c:
		default: // nobody waits any more
			p.give(c, false)
		}
	}()
	return fresh
}

// await waits until c has rested, or until another connection is there, and returns the one
// to use; nil if c has brought more than it should.
func (p *Pool) await(c *conn, rest time.Duration, fresh <-chan *conn) *conn {
	if fresh == nil {
		time.Sleep(rest)
	} else {
		rested := time.NewTimer(rest)
		defer rested.Stop()
		select {
		case other := <-fresh:
			p.give(c, false)
			return other
		case <-rested.C:
		}
	}
	p.waits.Add(1)
	if c.quiet() {
		return c
	}
	p.lose(c, true)
	return nil
}
