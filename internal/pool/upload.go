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
	a := Response{Upstream: up}
	switch result {
	case balance.OK:
		p.stats.Served++
		a.Outcome = Served
	case balance.Overloaded, balance.ConnectError, balance.NotSent: // the request never ran
		if r.Outgoing.Upload.Err() != nil {
			p.stats.Cancelled++
			a.Outcome = CallerGone
			break
		}
		p.stats.Rejected++
		a.Outcome, a.RetryAfter = Rejected, p.RetryAfter()
	case balance.Timeout:
		p.stats.Failed++
		a.Outcome = TimedOut
	default:
		p.stats.Failed++
		a.Outcome = Failed
	}
	p.deliver(r, a)
	p.finishIfDone(r)
}
