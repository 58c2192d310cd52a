package pool

// The methods of attempt in this file implement upstream.ResponseObserver.

// ResponseFailed records why there is no usable response.
func (a *attempt) ResponseFailed(reason error) { a.failure = reason }

// ResponsePaused lets the Balancer make another attempt beside this one.
func (a *attempt) ResponsePaused() {
	p, r := a.pool, a.request
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Paused++
	if !r.responded && !r.cancelled && !r.detached {
		p.balancer.ResponsePaused(p.now(), r.id, a.number)
	}
}

// ResponseHeld records that the beginning of a response has arrived and is held back.
func (a *attempt) ResponseHeld() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.held = true
	a.request.held++
}

// releaseHeld records that the response of a is no longer held back. If the Balancer has ended the request
// meanwhile, and no response has been passed on or may still be, the caller gets the Balancer's response.
// The caller holds the mutex.
func (a *attempt) releaseHeld() {
	if !a.held {
		return
	}
	a.held = false
	r := a.request
	r.held--
	if r.held == 0 && r.postponed != nil && !r.responded && !r.cancelled {
		a.pool.respond(r, *r.postponed)
	}
}

// respond ends r with a response of the Balancer. While the beginning of an endpoint's response is held
// back, it is postponed: the held response is passed on by the end of the budget, and the endpoint may
// still be sending the rest. The caller holds the mutex.
func (p *Pool) respond(r *Request, response Response) {
	if r.held > 0 && !p.closing {
		r.postponed = &response
		return
	}
	if response.Outcome == Rejected {
		p.stats.Rejected++
	} else {
		p.stats.Failed++
	}
	p.deliver(r, response)
	p.finishIfDone(r)
}
