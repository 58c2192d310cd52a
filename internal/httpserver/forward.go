package httpserver

import (
	"errors"
	"net/http"
	"sync"

	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
	"gorselink/internal/upstream"
)

// forward hands a request to its pool and writes the response.
func (c *callerConn) forward(req *Request, p *Plan, b *requestBody) (served, keepAlive bool) {
	if !c.activate() {
		b.release()
		c.paced.endBody()
		c.rejectWith(noRoomResponse(p))
		return false, false
	}
	if !p.beginID() {
		b.release()
		return false, c.rejectRequest(req, http.StatusConflict, errDuplicateID)
	}
	defer p.finishID()
	c.streamsBody = b != nil && b.rest != nil
	c.setDiscardInput(!c.streamsBody)
	p, r, failure := c.submit(p, b)
	if failure != nil {
		c.setDiscardInput(false)
		b.release()
		if c.streamsBody { // its body is still to come
			c.paced.endBody()
			c.rejectWith(*failure)
			return false, false
		}
		return false, c.respond(req, *failure, true)
	}
	c.writeError = nil
	defer func() {
		r.WriteError = c.writeError
		p.Pool.Done(r)
	}()
	c.rejectionsInRow, c.mayHaveRun = 0, true
	c.pool, c.request, c.watchStarted = p.Pool, r, false
	if r.Outgoing.Upload != nil {
		return true, c.forwardUpload(req, p, r)
	}
	c.watchStarted = true
	c.watchTimer.Reset(watchDelay)
	p.Pool.RunFirstAttempt(r)
	a := <-r.Response()
	if a.Upstream != nil {
		defer a.Upstream.Release() // also after a panic
	}
	left := false
	c.setDiscardInput(false)
	unwatched := c.watchTimer.Stop() // watchCaller has not started
	if !unwatched {
		c.conn.SetReadDeadline(expiredDeadline)
		left = <-c.callerLeft
	}
	c.watchStarted = false
	if unwatched && c.socket.State() == socketstate.DataPending {
		c.earlyBytes.Store(true)
	}
	if left {
		c.earlyBytes.Store(false) // nothing follows the end, so nothing is discarded after the response
	}
	c.pool, c.request = nil, nil // an idle connection holds no body
	return true, c.respond(req, responseFor(a, p), !left && !c.earlyBytes.Load())
}

// forwardUpload forwards a request whose body is sent while it arrives. It reports
// whether another request may follow on the connection.
func (c *callerConn) forwardUpload(req *Request, p *Plan, r *pool.Request) (keepAlive bool) {
	u := r.Outgoing.Upload
	responded, callerLeft := make(chan struct{}), make(chan bool, 1)
	stopWatching := sync.OnceFunc(func() { close(responded) })
	defer stopWatching()
	c.paced.startReadAhead(&readAheadBuffer{longBudget: p.Pool.LongBodyBudget(), shortBudget: p.Pool.BodyBudget()})
	go func() { callerLeft <- c.watchUpload(p.Pool, r, responded) }()
	p.Pool.RunFirstAttempt(r)
	a := <-r.Response()
	stopWatching()
	left := <-callerLeft
	<-u.Done // an attempt may still read from the caller
	c.pool, c.request = nil, nil
	c.paced.endBody()
	if a.Upstream != nil {
		defer a.Upstream.Release()
	}
	switch err := u.Err(); {
	case err != nil:
		c.rejectBody(err)
		return false
	case !u.Sent(): // the endpoint stopped reading it, or none was available
		c.rejectWith(responseFor(a, p))
		return false
	}
	return c.respond(req, responseFor(a, p), !left)
}

// bodyEndPending reports whether the end of the body is known not to have arrived. That is
// so if there is no unread input, which could include the end.
func (c *callerConn) bodyEndPending() bool {
	return c.in.Buffered() == 0 && !c.paced.hasReadAhead() && !socketstate.HasPendingData(c.conn)
}

// maxReroutes bounds how often a request is routed again because its pool was replaced
// in the meantime, or because its key now belongs to another one.
const maxReroutes = 4

// errKeyBoundElsewhere means that the key of a request was forgotten while its body arrived, and was then
// bound to another pool.
var errKeyBoundElsewhere = errors.New("idempotency key was sent to another pool")

// submit hands the request to its pool, or to the pool that has replaced it in the
// meantime. If no pool takes the request, it returns the response to write.
func (c *callerConn) submit(p *Plan, b *requestBody) (*Plan, *pool.Request, *response) {
	for tries := 0; ; tries++ {
		r := &pool.Request{
			Class:        p.Class,
			Tenant:       p.Tenant,
			Budget:       c.server.remainingBudget(p.Budget),
			Resubmitted:  p.Repeat,
			Outgoing:     p.Upstream,
			CallID:       p.callID,
			ResponseChan: c.reply,
			Caller:       c,
		}
		switch {
		case b != nil && b.rest != nil:
			done := make(chan struct{})
			r.Outgoing.Upload = &upstream.Upload{Buffered: b.data, Remaining: &checkedBody{c, b.rest}, Length: c.req.Length, Done: done, Incomplete: c.bodyEndPending}
			r.OnFinished = func() { b.release(); close(done) }
		case b != nil:
			r.Outgoing.Body, r.OnFinished = b.data, b.release
		}
		err := errKeyBoundElsewhere
		if p.rebindKey() {
			err = p.Pool.Submit(r)
		}
		if err == nil {
			return p, r, nil
		}
		shouldReroute := errors.Is(err, pool.ErrRetired) || errors.Is(err, errKeyBoundElsewhere)
		if !shouldReroute || p.routed == nil || tries == maxReroutes {
			return nil, nil, &response{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: p.Pool.RetryAfter(), wholeSeconds: p.Ordinary}
		}
		next, rejection := p.routed.plan()
		if rejection != nil {
			return nil, nil, &response{status: rejection.Status, text: rejection.Err.Error()}
		}
		p = next
	}
}
