package upstream

import (
	"errors"
	"time"

	"gorselink/balance"
	"gorselink/internal/socketstate"
)

// exchange is one request and its response on a connection.
type exchange struct {
	pool            *Pool
	conn            *conn
	call            *Call
	request         *Request
	deadline        time.Time
	confirmer       Confirmer
	observer        ResponseObserver // nil for none
	processObserver ProcessObserver  // nil for none
	delivery        DeliveryObserver // nil for none
	active          activeAttempt
	sentAt          time.Time
}

func newExchange(c *conn, call *Call, r *Request, deadline time.Time, confirmer Confirmer) *exchange {
	x := &exchange{pool: c.target.pool, conn: c, call: call, request: r, deadline: deadline, confirmer: confirmer}
	x.observer, _ = confirmer.(ResponseObserver)
	x.processObserver, _ = confirmer.(ProcessObserver)
	x.delivery, _ = confirmer.(DeliveryObserver)
	x.active = activeAttempt{conn: c, deadline: deadline}
	return x
}

// send sends the request and reports whether its last byte has been written. If not, the exchange has
// ended with the result.
func (x *exchange) send() (sent bool, result balance.Result) {
	p, c := x.pool, x.conn
	if x.processObserver != nil && p.mayBeOtherProcess(c) && !x.processObserver.MayReachOtherProcess() {
		p.checkInUnused(c)
		return false, balance.NotSent
	}
	c.wait = responseWait{observer: x.observer, processObserver: x.processObserver}
	c.SetDeadline(x.deadline)
	if !x.call.register(x.active) {
		p.checkInUnused(c)
		return false, balance.NotSent
	}
	var budget time.Duration
	x.sentAt, budget = c.prepare(x.call, x.request, x.deadline, x.confirmer)
	if budget == 0 {
		x.call.unregister(x.active)
		p.checkInUnused(c)
		return false, balance.NotSent
	}
	if c.idleSince.IsZero() && c.peeker.State() == socketstate.DataPending {
		x.call.unregister(x.active)
		p.closeConn(c, true)
		return false, balance.ConnectError
	}
	if err := x.write(budget); err != nil {
		result = x.writeResult(err)
		p.noteResult(c.target, result)
		x.call.unregister(x.active)
		if errors.Is(err, errDeliveryNotBegun) {
			p.checkInUnused(c)
		} else {
			p.closeConn(c, false)
		}
		return false, result
	}
	return true, balance.OK
}

// write writes the request, for which the endpoint has been told the budget, and sets the deadline of its
// response.
func (x *exchange) write(budget time.Duration) (err error) {
	switch {
	case x.request.Upload != nil:
	case x.delivery != nil && len(x.request.Body) > writeBufferSize:
		return x.deliver(x.request.Body)
	default:
		return x.conn.send(x.request)
	}
	x.deadline, err = x.conn.forwardBody(x.call, x.conn.writeBuf, x.request.Upload, x.sentAt.Add(budget))
	x.conn.SetDeadline(x.deadline)
	return err
}

// writeResult returns the result of a request that could not be written completely.
func (x *exchange) writeResult(err error) balance.Result {
	if errors.Is(err, ErrDeliveryTooLate) && x.observer != nil {
		x.observer.ResponseFailed(err)
	}
	if errors.Is(err, ErrDeliveryTooLate) || errors.Is(err, errBodyIncomplete) || classifyFault(err) == localFault {
		return balance.NotSent
	}
	return x.conn.unsentResult(x.call)
}

// receive receives the response to the request that has been sent.
func (x *exchange) receive() (*Response, balance.Result) {
	p, c := x.pool, x.conn
	resp, reusable, result, err := c.receive(x.request, x.deadline)
	c.moveHeadMemory(resp)
	if x.observer != nil && err != nil {
		x.observer.ResponseFailed(err)
	}
	c.wait = responseWait{}
	ended := x.call.unregister(x.active)
	if resp != nil && resp.Remaining != nil {
		if c.aborted.Load() { // the rest of the body cannot be read
			resp.Release()
			return nil, balance.Cancelled
		}
		c.SetDeadline(time.Time{})
		return resp, result
	}
	x.noteProcess(result)
	if ended && c.endedByCall(result) && time.Now().Before(x.deadline) {
		result = balance.Cancelled
	}
	if result == balance.Reset && !c.responseStarted {
		p.noteStaleConn(c, x.sentAt)
	}
	if !reusable {
		p.closeConn(c, result == balance.OK)
		return resp, result
	}
	c.SetDeadline(time.Time{})
	p.checkIn(c, true)
	return resp, result
}

// noteProcess notes what the result says about the process of the endpoint.
func (x *exchange) noteProcess(result balance.Result) {
	if x.processObserver != nil && result != balance.OK && x.pool.mayBeOtherProcess(x.conn) {
		x.processObserver.MayHaveReachedOtherProcess()
	}
	x.pool.noteResult(x.conn.target, result)
}
