package traffic

import (
	"slices"
	"time"
)

// Lateness is what a generator adds of its own to one sending.
type Lateness struct {
	// Own is how long after the request was due and a connection was free for
	// it it was sent: the later of its due time and the last moment at which
	// those before it had use for every connection.
	Own time.Duration
	// Held is Own together with what the generator's earlier lateness has
	// brought on: where a late dispatcher has made a queue, those that then wait
	// for connections wait for the dispatcher. It is Own at the least, and at
	// most the time since the request was due.
	Held time.Duration
	// Waited is how long after its due time a connection became free for it.
	Waited time.Duration
}

// Account reckons a generator's own lateness while its run goes on. It is told
// in the order of the sendings when each was due and sent, and when places
// became free, and needs no more than that.
//
// Requests are sent in one order over so many places, so the k-th of them (from
// 0) finds a place once k+1 places have been free, those of the begin included,
// whichever of them it takes: that moment is the one from which it could have
// been sent. What it waited before is the target's, or that of too few
// connections; what it waited after is the generator's.
type Account struct {
	conns, begun places
	last         time.Duration // when the request before was sent
	worst        time.Duration // the largest Own of the present queue
}

// NewAccount returns the Account of a run with so many connections, on which at
// most so many requests may be begun and not ended.
func NewAccount(conns, begun int) *Account {
	return &Account{conns: places{fresh: conns}, begun: places{fresh: begun}}
}

// Free tells that a connection has become free. Moments may come a little out
// of order.
func (a *Account) Free(at time.Duration) { a.conns.put(at) }

// Ended tells that a request has ended, so that another can be begun.
func (a *Account) Ended(at time.Duration) { a.begun.put(at) }

// Sent tells that a request which was due at a time was sent at another, over a
// connection that is free. A later try of a request that has been begun before
// is due when its wait is over.
func (a *Account) Sent(due, at time.Duration, again bool) Lateness {
	could := due
	if !again {
		could = max(could, a.begun.take())
	}
	return a.late(due, min(max(could, a.conns.take()), at), at)
}

// GivenUp tells that a request was given up before it was sent. It is late of
// the generator's own if there was a place for it.
func (a *Account) GivenUp(due, at time.Duration, again bool) Lateness {
	could := due
	for _, p := range []*places{&a.conns, &a.begun} {
		if p == &a.begun && again {
			continue
		}
		since, ok := p.oldest()
		if !ok {
			since = at
		}
		could = max(could, since)
	}
	return a.late(due, min(could, at), at)
}

func (a *Account) late(due, could, at time.Duration) Lateness {
	own := at - could
	if due > a.last { // the queue before it had come to its end
		a.worst = 0
	}
	a.worst, a.last = max(a.worst, own), max(a.last, at)
	return Lateness{Own: own, Held: max(own, min(a.worst, at-due)), Waited: could - due}
}

// places are the moments at which places became free, the oldest first.
type places struct {
	fresh int // free from the begin
	freed []time.Duration
	taken int // of freed
}

func (p *places) put(at time.Duration) {
	i := len(p.freed)
	for i > p.taken && p.freed[i-1] > at {
		i--
	}
	p.freed = slices.Insert(p.freed, i, at)
}

func (p *places) oldest() (time.Duration, bool) {
	if p.fresh > 0 {
		return 0, true
	}
	if p.taken == len(p.freed) {
		return 0, false
	}
	return p.freed[p.taken], true
}

// take takes the place that has been free longest.
func (p *places) take() time.Duration {
	at, ok := p.oldest()
	switch {
	case p.fresh > 0:
		p.fresh--
	case ok:
		p.taken++
		if p.taken*2 >= len(p.freed)+64 {
			p.freed = p.freed[:copy(p.freed, p.freed[p.taken:])]
			p.taken = 0
		}
	}
	return at
}

// OwnErrors is the account of a whole run: requests due and sent at these
// times, in the order of their sending, over so many connections, which became
// free at these moments. All are since the begin.
func OwnErrors(conns int, due, freed, sent []time.Duration) []Lateness {
	a := NewAccount(conns, len(due))
	freed = slices.Sorted(slices.Values(freed))
	all := make([]Lateness, len(due))
	for i := range due {
		for len(freed) > 0 && freed[0] <= sent[i] {
			a.Free(freed[0])
			freed = freed[1:]
		}
		all[i] = a.Sent(due[i], sent[i], false)
	}
	return all
}
