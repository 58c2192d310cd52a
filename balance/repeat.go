package balance

import (
	"slices"
	"time"
)

// The rules in this file decide whether a request that may have run may be sent again, to which endpoint,
// and until when.

// firstMaybeRun returns the first attempt that may have run or be running, or nil.
func (r *request) firstMaybeRun() *attempt { return r.firstMaybeRunBeside(-1) }

// firstMaybeRunBeside returns the first attempt other than the given one that may have run or be running,
// or nil.
func (r *request) firstMaybeRunBeside(number int) *attempt {
	for k := range r.attempts {
		if k != number && !r.attempts[k].neverRan {
			return &r.attempts[k]
		}
	}
	return nil
}

// mayHaveRunElsewhere reports whether an attempt may have run in another process than that of its endpoint.
func (r *request) mayHaveRunElsewhere() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan && a.otherProcess })
}

// mayRepeat reports whether the idempotency of r permits another attempt, at e.
func (b *Balancer) mayRepeat(r *request, e *endpoint, now time.Duration) bool {
	c, a := &b.cfg.Classes[r.class], r.firstMaybeRun()
	if c.Idempotency == Idempotent || a == nil {
		return true
	}
	if c.DeduplicationScope != ScopeAll && r.mayHaveRunElsewhere() {
		return false
	}
	previous := &b.endpoints[a.endpoint]
	return c.Idempotency == IdempotentByKey && now < a.deduplicatedUntil(c) &&
		(c.DeduplicationScope != ScopeZone || e.Zone == previous.Zone) && (c.DeduplicationScope != ScopeCell || e.Cell == previous.Cell)
}

// deduplicatedUntil returns until when endpoints deduplicate repeats of a, an attempt of class c. They begin
// to when its last byte has arrived, which is no earlier than it was written.
func (a *attempt) deduplicatedUntil(c *Class) time.Duration {
	return max(a.sent, a.lastByteSent) + c.DeduplicationWindow
}

// Confirm reports whether an attempt whose start was delayed may still start.
func (b *Balancer) Confirm(now time.Duration, id RequestID, number int) bool {
	r := b.requests[id]
	if r == nil || r.closed || now >= r.deadline {
		return false
	}
	a := &r.attempts[number]
	a.neverRan = true // so that mayRepeat looks only at the other attempts
	defer func() { a.neverRan = false }()
	return b.endpoints[a.endpoint].State == Ready && b.mayRepeat(r, &b.endpoints[a.endpoint], now)
}

// Idempotency returns the idempotency of a class.
func (b *Balancer) Idempotency(class int) Idempotency { return b.cfg.Classes[class].Idempotency }

// LastByteSent records that the last byte of an attempt, whose body is long, is about to be written.
func (b *Balancer) LastByteSent(now time.Duration, id RequestID, number int) {
	if r := b.requests[id]; r != nil {
		r.attempts[number].lastByteSent = now
	}
}

// ArrivalDeadline returns the time by which the last byte of an attempt has to arrive at its endpoint, so
// that it is deduplicated if an earlier attempt has run. bounded is false if there is none. The endpoint
// begins the request at its last byte, and so the decision to send it is bound to that.
func (b *Balancer) ArrivalDeadline(id RequestID, number int) (deadline time.Duration, bounded bool) {
	r := b.requests[id]
	if r == nil || b.cfg.Classes[r.class].Idempotency != IdempotentByKey {
		return 0, false
	}
	first := r.firstMaybeRunBeside(number)
	if first == nil {
		return 0, false
	}
	return first.deduplicatedUntil(&b.cfg.Classes[r.class]), true
}

// MayReachOtherProcess records that an attempt, if it is sent, may reach another process than that of
// its endpoint, and reports whether it may be sent all the same. It may not if another attempt may have run
// and only some endpoints deduplicate repeats: the other process may not be one of them.
func (b *Balancer) MayReachOtherProcess(id RequestID, number int) bool {
	r := b.requests[id]
	if r == nil {
		return false
	}
	c, a := &b.cfg.Classes[r.class], &r.attempts[number]
	if c.Idempotency == IdempotentByKey && c.DeduplicationScope != ScopeAll {
		a.neverRan = true // so that firstMaybeRun looks only at the other attempts
		defer func() { a.neverRan = false }()
		if r.firstMaybeRun() != nil {
			return false
		}
	}
	a.otherProcess = true
	return true
}

// MayHaveReachedOtherProcess records that an attempt may have reached another process than that of its
// endpoint.
func (b *Balancer) MayHaveReachedOtherProcess(id RequestID, number int) {
	if r := b.requests[id]; r != nil {
		r.attempts[number].otherProcess = true
	}
}
