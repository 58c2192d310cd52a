package traffic

import (
	"slices"
	"time"
)

// Delay splits the time between a request's due time and its send time.
type Delay struct {
	// Generator is the delay caused by the generator: the time between the
	// moment at which the request could have been sent, when it was due and a
	// connection was free for it, and the moment at which it was sent.
	Generator time.Duration
	// Induced is Generator plus the wait for a connection that earlier generator
	// delays of the same queue caused. It is at least Generator and at most the
	// whole time since the request was due.
	Induced time.Duration
	// ConnWait is the time from the due time until a connection was free.
	ConnWait time.Duration
}

// DelayTracker computes generator delays during a run. The caller must report
// requests in the order in which they are sent, and every connection and request
// slot that becomes free.
//
// Requests are sent in one order over a fixed number of slots, so the k-th
// request (from 0) can be sent once k+1 slots have been free, counting those that
// are free at the start. Time before that moment is a wait for the target or for
// a connection; time after it is the generator's delay.
type DelayTracker struct {
	conns, requests slots
	lastSent        time.Duration // when the previous request was sent
	maxDelay        time.Duration // the largest generator delay in the current queue
}

// NewDelayTracker returns a DelayTracker for a run with the given numbers of
// connections and of requests that may be open at once.
func NewDelayTracker(conns, maxOpen int) *DelayTracker {
	return &DelayTracker{conns: slots{unused: conns}, requests: slots{unused: maxOpen}}
}

// ConnFreed records that a connection became free. Times may be slightly out of
// order.
func (t *DelayTracker) ConnFreed(at time.Duration) { t.conns.put(at) }

// RequestEnded records that a request ended, so that another one can be started.
func (t *DelayTracker) RequestEnded(at time.Duration) { t.requests.put(at) }

// RequestSent records that a request was sent over a free connection. A retry is
// due when its wait is over and occupies the request slot that it already has.
func (t *DelayTracker) RequestSent(due, at time.Duration, isRetry bool) Delay {
	sendable := due
	if !isRetry {
		sendable = max(sendable, t.requests.take())
	}
	return t.delay(due, min(max(sendable, t.conns.take()), at), at)
}

// RequestAbandoned records that a request was abandoned before it was sent. The
// generator's delay counts only from the moment at which a slot was free.
func (t *DelayTracker) RequestAbandoned(due, at time.Duration, isRetry bool) Delay {
	sendable := due
	for _, s := range []*slots{&t.conns, &t.requests} {
		if s == &t.requests && isRetry {
			continue
		}
		since, ok := s.oldest()
		if !ok {
			since = at
		}
		sendable = max(sendable, since)
	}
	return t.delay(due, min(sendable, at), at)
}

func (t *DelayTracker) delay(due, sendable, at time.Duration) Delay {
	generator := at - sendable
	if due > t.lastSent { // the previous queue has been sent
		t.maxDelay = 0
	}
	t.maxDelay, t.lastSent = max(t.maxDelay, generator), max(t.lastSent, at)
	return Delay{Generator: generator, Induced: max(generator, min(t.maxDelay, at-due)), ConnWait: sendable - due}
}

// slots records when slots became free, in ascending order.
type slots struct {
	unused   int // free from the start
	freed    []time.Duration
	consumed int // entries of freed that have been taken
}

func (s *slots) put(at time.Duration) {
	i := len(s.freed)
	for i > s.consumed && s.freed[i-1] > at {
		i--
	}
	s.freed = slices.Insert(s.freed, i, at)
}

// oldest returns when the slot that has been free longest became free, and false if
// no slot is free.
func (s *slots) oldest() (time.Duration, bool) {
	if s.unused > 0 {
		return 0, true
	}
	if s.consumed == len(s.freed) {
		return 0, false
	}
	return s.freed[s.consumed], true
}

// take takes the slot that has been free longest and returns when it became free.
func (s *slots) take() time.Duration {
	at, ok := s.oldest()
	switch {
	case s.unused > 0:
		s.unused--
	case ok:
		s.consumed++
		if s.consumed*2 >= len(s.freed)+64 {
			s.freed = s.freed[:copy(s.freed, s.freed[s.consumed:])]
			s.consumed = 0
		}
	}
	return at
}

// Delays computes the delays of a whole run in which all requests are sent. due
// and sent are in send order; freed holds the times at which connections became
// free. All times are relative to the start of the run.
func Delays(conns int, due, freed, sent []time.Duration) []Delay {
	t := NewDelayTracker(conns, len(due))
	freed = slices.Sorted(slices.Values(freed))
	all := make([]Delay, len(due))
	for i := range due {
		for len(freed) > 0 && freed[0] <= sent[i] {
			t.ConnFreed(freed[0])
			freed = freed[1:]
		}
		all[i] = t.RequestSent(due[i], sent[i], false)
	}
	return all
}
