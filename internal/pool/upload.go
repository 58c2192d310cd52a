package pool

import (
	"gorselink/balance"
	"gorselink/internal/upstream"
)

// detach takes a request from the Balancer whose body is sent on while it comes,
// just before its node gets the first byte that is not held. It tells whether the
// request still goes on.
//
// From there on nothing is left to decide: the Balancer has chosen the node, and
// there can be no second attempt. A body takes as long as its caller likes, and its
// node has not begun before the last byte; to the Balancer, which reckons with
// every second of an attempt, that would be a node that has stopped and a jam. So
// it is told that nothing was sent, and learns nothing of the outcome.
func (p *Pool) detach(r *Request, a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.answered || r.withdrawn {
		return false
	}
	r.detached = true
	p.balancer.Outcome(p.now(), r.id, a.number, balance.NotSent, 0, true)
	return true
}

// uploaded answers a detached request by the outcome of its one attempt; the mutex
// is held.
func (p *Pool) uploaded(r *Request, up *upstream.Response, result balance.Result) {
	r.pending--
	a := Answer{Upstream: up}
	switch result {
	case balance.OK:
		p.stats.Served++
		a.Verdict = Served
	case balance.Overloaded, balance.ConnectError, balance.NotSent: // it never ran
		if r.Outgoing.Upload.Err() != nil {
			p.stats.Withdrawn++
			a.Verdict = CallerGone
			break
		}
		p.stats.Refused++
		a.Verdict, a.RetryAfter = Refused, p.RetryAfter()
	case balance.Timeout:
		p.stats.Failed++
		a.Verdict = TimedOut
	default:
		p.stats.Failed++
		a.Verdict = Failed
	}
	p.give(r, a)
	p.settle(r)
}
