package upstream

import (
	"context"
	"time"
)

// minUsesPerConn is the number of requests per connection, within the idle timeout, from which
// one more connection is justified. Below it a request waits for the reuse delay of an open
// connection, because a new connection costs the endpoint processor time.
const minUsesPerConn = 2

// usage counts the requests to a target in the current and the previous window. The zero value
// is ready for use.
type usage struct {
	windowStart time.Time // start of the current window
	current     int       // requests in the current window
	previous    int       // requests in the previous window
}

// countRequest counts a request. The length of a window is the idle timeout.
func (u *usage) countRequest(now time.Time, window time.Duration) {
	if elapsed := now.Sub(u.windowStart); elapsed >= window {
		u.previous = u.current
		if elapsed >= 2*window {
			u.previous = 0
		}
		u.windowStart, u.current = now, 0
	}
	u.current++
}

// sustains reports whether n connections would all be used often enough to stay open.
func (u *usage) sustains(n int) bool { return max(u.current, u.previous) >= minUsesPerConn*n }

// reusableIndex returns the index of the idle connection to use next among those idle for at
// least minIdle, or -1. It is the most recently used one, so that surplus connections expire.
// If all connections are needed, it is the least recently used one, so that the others complete
// their reuse delay.
func (t *target) reusableIndex(now time.Time, minIdle time.Duration) int {
	i := len(t.idle) - 1
	for i >= 0 && now.Sub(t.idle[i].idleSince) < minIdle {
		i--
	}
	if i > 0 && minIdle > 0 && t.usage.sustains(t.open) {
		return 0
	}
	return i
}

// dialExtra dials another connection for a request that waits for the reuse delay of one, and
// returns the channel that delivers it. It returns nil if the connection would be used too
// rarely, no further one is allowed, or stray data has recently been received. p.mu must be held.
func (p *Pool) dialExtra(t *target, now time.Time) <-chan *conn {
	if !t.usage.sustains(t.open+1) || p.open >= p.cfg.MaxConns || now.Before(p.strayUntil) {
		return nil
	}
	p.open++
	t.open++
	extra := make(chan *conn)
	go func() {
		c, err := p.dial(context.Background(), t, time.Time{})
		if err != nil {
			return // the request still has the connection that it waits for
		}
		select {
		case extra <- c:
		default: // the request no longer waits
			p.checkIn(c, false)
		}
	}()
	return extra
}

// awaitReuse waits until c may be reused or the extra connection is open, and returns the one
// to use. It returns nil if c has been closed or has received stray data.
func (p *Pool) awaitReuse(c *conn, wait time.Duration, extra <-chan *conn) *conn {
	if extra == nil {
		time.Sleep(wait)
	} else {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case other := <-extra:
			p.checkIn(c, false)
			return other
		case <-timer.C:
		}
	}
	p.reuseWaits.Add(1)
	if c.reusable() {
		return c
	}
	p.closeConn(c, true)
	return nil
}
