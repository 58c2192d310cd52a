package upstream

import (
	"context"
	"sync"
	"time"
)

// Call controls the attempts for one request of a caller. After its end nothing more is sent, and
// attempts already sent have a grace period to finish. The zero value is a call that has not
// ended.
//
// It is used instead of a context, which would need a goroutine, a channel and five allocations
// for each request and attempt.
type Call struct {
	mu     sync.Mutex
	ended  bool
	first  activeAttempt // avoids an allocation: most calls have one attempt at a time
	others []activeAttempt
}

// activeAttempt is an attempt that is dialling or using a connection.
type activeAttempt struct {
	conn       *conn // nil while dialling
	deadline   time.Time
	cancelDial *context.CancelFunc
}

// end stops writing and limits the wait for the response to the grace period, 0 for none. A dial is
// cancelled.
func (a *activeAttempt) end(grace time.Duration) {
	switch {
	case a.cancelDial != nil:
		(*a.cancelDial)()
	case grace == 0:
		a.conn.abort()
	default:
		a.conn.endAfter(grace, a.deadline)
	}
}

// End ends the call. It does not wait for the attempts.
func (c *Call) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.endAttempts(endGracePeriod)
	}
}

// Abort ends the call and all its attempts at once, also those that have a grace period since
// End. It is used when the process exits and when the connection of a caller who has left is needed
// for another.
func (c *Call) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAttempts(0)
}

// endAttempts ends all attempts with a grace period. c.mu must be held.
func (c *Call) endAttempts(grace time.Duration) {
	c.ended = true
	if c.first != (activeAttempt{}) {
		c.first.end(grace)
	}
	for i := range c.others {
		c.others[i].end(grace)
	}
}

// Ended reports whether the call has ended.
func (c *Call) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// register adds an attempt that is to be ended with the call. It returns false if the call has
// ended.
func (c *Call) register(a activeAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return false
	case c.first == (activeAttempt{}):
		c.first = a
	default:
		c.others = append(c.others, a)
	}
	return true
}

// unregister removes an attempt, so that the end of the call no longer affects it. It reports
// whether the call has already ended.
func (c *Call) unregister(a activeAttempt) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.conn != nil {
		a.conn.endsBy.Store(nil)
	}
	if c.first == a {
		c.first = activeAttempt{}
		return c.ended
	}
	for i := range c.others {
		if c.others[i] == a {
			c.others = append(c.others[:i], c.others[i+1:]...)
			break
		}
	}
	return c.ended
}
