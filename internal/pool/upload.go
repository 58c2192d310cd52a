package pool

import (
	"gorselink/balance"
	"gorselink/internal/upstream"
)

// detach removes a request with a streamed body from the Balancer, just before the first byte
// that is not buffered is sent to the node. It reports whether the request continues.
//
// From then on no second attempt is possible, and the duration depends on how fast the caller
// sends. The Balancer would take a slow upload for an overloaded node, so it is told that
// nothing was sent and does not learn the outcome.
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

// finishUpload answers a detached request by the outcome of its only attempt. The caller holds
// the mutex.
func (p *Pool) finishUpload(r *Request, up *upstream.Response, result balance.Result) {
	r.pending--
	a := Answer{Upstream: up}
	switch result {
	case balance.OK:
		p.stats.Served++
		a.Verdict = Served
	case balance.Overloaded, balance.ConnectError, balance.NotSent: // the request never ran
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
	p.deliver(r, a)
	p.finishIfDone(r)
}
