package pool

import (
	"gorselink/balance"
	"gorselink/internal/upstream"
)

// detach removes a request with a streamed body from the Balancer, just before the first byte
// that is not buffered is sent to the endpoint. It reports whether the request continues.
//
// From then on no second attempt is possible, and the duration depends on how fast the caller
// sends. Because a slow upload would look like an overloaded endpoint, the Balancer gets the
// result NotSent and not the actual one.
func (p *Pool) detach(r *Request, a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.responded || r.cancelled {
		return false
	}
	r.detached = true
	p.balancer.Outcome(p.now(), r.id, a.number, balance.NotSent, 0, true)
	return true
}

// finishUpload responds to a detached request with the result of its only attempt. The caller holds
// the mutex.
func (p *Pool) finishUpload(r *Request, up *upstream.Response, result balance.Result) {
	r.pending--
	response := Response{Upstream: up}
	switch result {
	case balance.OK:
		p.stats.Served++
		response.Outcome = Served
	case balance.Overloaded, balance.ConnectError, balance.NotSent: // the request was not executed
		if r.Outgoing.Upload.Err() != nil {
			p.stats.Cancelled++
			response.Outcome = CallerGone
			break
		}
		p.stats.Rejected++
		response.Outcome, response.RetryAfter = Rejected, p.RetryAfter()
	case balance.Cancelled:
		p.stats.Cancelled++
		response.Outcome = CallerGone
	case balance.Timeout:
		p.stats.Failed++
		response.Outcome = TimedOut
	default:
		p.stats.Failed++
		response.Outcome = Failed
	}
	if !p.deliver(r, response) && up != nil {
		up.Release()
	}
	p.finishIfDone(r)
}
