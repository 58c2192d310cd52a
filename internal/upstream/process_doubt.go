package upstream

import (
	"time"

	"gorselink/balance"
)

// An endpoint is known by name and address, and discovery reports some seconds late that another
// process has taken an address. The first sign is that connections to the address break. From then on
// a new connection may lead to another process than the one that the list names, until the list tells or
// has had the time to tell. Connections that were open before lead to the listed one.
const (
	// doubtPeriod is how long after the last sign the list may still have to tell of another process.
	doubtPeriod = 12 * time.Second

	// doubtMargin is how long before a sign is noticed the process may have ended.
	doubtMargin = 20 * time.Millisecond
)

// ProcessObserver is told if an attempt may reach another process than the one that the list names. A
// Confirmer may implement it.
type ProcessObserver interface {
	// MayReachOtherProcess is called before the attempt is sent and reports whether to send it all the
	// same.
	MayReachOtherProcess() bool
	// MayHaveReachedOtherProcess is called after the attempt has been sent.
	MayHaveReachedOtherProcess()
}

// processDoubt holds the signs that the process of a target has ended.
type processDoubt struct {
	since time.Time // a new connection may lead to another process from then on; zero for no doubt
	until time.Time
}

// note records a sign.
func (d *processDoubt) note(now time.Time) {
	if now.After(d.until) {
		d.since = now.Add(-doubtMargin)
	}
	d.until = now.Add(doubtPeriod)
}

// covers reports whether a connection that was dialled at the given time may lead to another process.
func (d *processDoubt) covers(dialledAt, now time.Time) bool {
	return now.Before(d.until) && dialledAt.After(d.since)
}

// noteSign records a sign that the process of t has ended. p.mu must be held.
func (t *target) noteSign(now time.Time) {
	t.doubt.note(now)
	t.unsettled.Store(true)
}

// noteResult records a sign if the result of an attempt at t is one.
func (p *Pool) noteResult(t *target, result balance.Result) {
	if result == balance.Reset || result == balance.ConnectError {
		p.mu.Lock()
		defer p.mu.Unlock()
		t.noteSign(time.Now())
	}
}

// mayBeOtherProcess reports whether c may lead to another process than the listed one. Once its target
// has been replaced without a sign, that holds if it was dialled not long before.
func (p *Pool) mayBeOtherProcess(c *conn) bool {
	t := c.target
	if !t.unsettled.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case now.Before(t.doubt.until):
		return t.doubt.covers(c.dialledAt, now)
	case t.removed:
		return c.dialledAt.After(t.removedAt.Add(-doubtPeriod))
	}
	return false
}

// isRemoved reports whether the list has replaced or removed the target of c.
func (p *Pool) isRemoved(c *conn) bool {
	if !c.target.unsettled.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.target.removed
}
