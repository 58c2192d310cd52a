package upstream

import (
	"context"
	"sync"
	"time"
)

// Call is one request of a caller, which several attempts may be made for, and
// tells them when it is over: nothing more is sent then, and what is out is
// waited for a while. The zero value is a call that goes on.
//
// It does what a context would, without a goroutine, a channel and five
// allocations for each request and attempt.
type Call struct {
	mu    sync.Mutex
	over  bool
	first out // most calls have one attempt at a time
	more  []out
}

// out is an attempt that is out on a connection, or is dialling one.
type out struct {
	c        *conn // nil while it is being dialled
	deadline time.Time
	dial     *context.CancelFunc
}

func (o *out) end(grace time.Duration) {
	if o.dial != nil {
		(*o.dial)()
		return
	}
	// If the request is out already its answer is waited for a while.
	o.c.SetWriteDeadline(time.Unix(1, 0))
	o.c.limit(o.deadline, grace)
}

// End ends the call. It does not wait for the attempts.
func (l *Call) End() { l.end(afterOver) }

// Cut ends the call and all of its attempts at once, for a process that ends.
func (l *Call) Abort() { l.end(0) }

func (l *Call) end(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	if l.first != (out{}) {
		l.first.end(grace)
	}
	for i := range l.more {
		l.more[i].end(grace)
	}
}

// Over tells whether the call has ended.
func (l *Call) Over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// enter books an attempt that the end of the call has to reach. It is false if
// the call is over.
func (l *Call) enter(o out) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.over:
		return false
	case l.first == (out{}):
		l.first = o
	default:
		l.more = append(l.more, o)
	}
	return true
}

// leave takes an attempt out again, which the end of the call does not touch
// from here on. It tells whether the call is over.
func (l *Call) leave(o out) (over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == o {
		l.first = out{}
		return l.over
	}
	for i := range l.more {
		if l.more[i] == o {
			l.more = append(l.more[:i], l.more[i+1:]...)
			break
		}
	}
	return l.over
}
