package upstream

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"gorselink/balance"
	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
)

// Request is the request that an attempt sends to an endpoint.
type Request struct {
	Method        string
	URI           string // path and query as received from the caller
	Host          string
	Fields        http1.Fields // hop-by-hop fields are not sent; never modified
	Body          []byte
	Upload        *Upload // replaces Body if it is not nil
	NonIdempotent bool    // must not be executed twice, so it is not retried after a reset
}

// timeLeft returns the budget that the endpoint has for r. untilDeadline is the time until the
// deadline of the attempt.
func (r *Request) timeLeft(untilDeadline time.Duration) time.Duration {
	if r.Upload != nil && r.Upload.Incomplete != nil && r.Upload.Incomplete() {
		return r.Upload.ResponseTimeout
	}
	return untilDeadline
}

// Response is the response of an endpoint. If Remaining is not nil, it still has to receive the
// rest of the body. The receiver of a Response must release it.
type Response struct {
	Status    int
	Fields    http1.Fields
	Body      []byte
	Remaining *BodyStream // nil if Body is complete

	// LocalDelay is the time by which failures of this machine delayed the dial for the attempt.
	// It does not count as latency of the endpoint.
	LocalDelay time.Duration

	// HoldDelay is the time for which the beginning of a body was held back that is not complete. It
	// does not count as latency of the endpoint either, as a long response is timed by its first bytes.
	HoldDelay time.Duration

	memory bytebudget.Reservation
	head   bytebudget.Reservation // of Fields
	buffer bodyBuffer             // holds Body if its length was unknown
}

// ReleaseBody frees the memory of Body, which must not be used any more.
func (r *Response) ReleaseBody() {
	r.Body = nil
	r.buffer.release()
	r.memory.Release()
}

// Release frees the memory of the response. If the rest of the body was still being received,
// its connection is closed.
func (r *Response) Release() {
	r.ReleaseBody()
	r.Fields = nil
	r.head.Release()
	if r.Remaining != nil {
		r.Remaining.close()
		r.Remaining = nil
	}
}

const (
	// defaultMaxResponseBytes is above the platform protocol's limit (SmallResponseBytes). If a
	// response has outgrown that limit, all endpoints return the same long response, so treating
	// it as an error would only cause retries. A response is buffered whole, so that one that
	// breaks off is a failed attempt and not half a response to the caller.
	defaultMaxResponseBytes = 1 << 20

	// defaultStallTimeout is the default of Config.ResponseStallTimeout. An endpoint that freezes for
	// longer in the middle of a response is misjudged as failing.
	defaultStallTimeout = 500 * time.Millisecond

	// maxInterimResponses bounds the interim (1xx) responses before the final one.
	maxInterimResponses = 8

	// earlyResponseTimeout bounds the wait for a response that the endpoint may have sent
	// before it broke the connection.
	earlyResponseTimeout = 20 * time.Millisecond

	// minBudget is the smallest value of X-Budget-Ms. An attempt with less time left is not
	// sent.
	minBudget = time.Millisecond

	// endGracePeriod bounds the wait for a response after the call has ended. If the response
	// arrives in time, the connection can be reused.
	endGracePeriod = 500 * time.Millisecond
)

// Confirmer reports whether an attempt may still be sent.
type Confirmer interface{ Confirm() bool }

// ResponseObserver is told how the response to an attempt arrives. A Confirmer may implement it; its
// methods are called in the goroutine of the attempt.
type ResponseObserver interface {
	// ResponsePaused is called once if nothing has arrived for pauseThreshold after the response had begun.
	ResponsePaused()
	// ResponseHeld is called when a body of unknown length begins. Unless Do fails, it returns the
	// response at holdMargin before the deadline at the latest.
	ResponseHeld()
	// ResponseFailed is called with the reason for which there is no usable response.
	ResponseFailed(reason error)
}

// Do makes one attempt at the named endpoint and waits for its result until the deadline. A
// response is returned with balance.OK and, if Config.PassThroughStatus is set and the
// endpoint sent one, with balance.Error. If confirmer is not nil, Do calls it right before it
// writes the first byte, because the decision to send may become invalid while a connection is
// opened.
//
// A delay of this process before the request is sent does not extend the deadline. The request
// head contains the time left at the time of writing; if that is less than minBudget, nothing
// is sent. For an Upload the time left counts from its last byte, see Upload.ResponseTimeout.
func (p *Pool) Do(call *Call, name string, r *Request, deadline time.Time, confirmer Confirmer) (*Response, balance.Result) {
	if deadline.Sub(p.now()) < minBudget {
		return nil, balance.NotSent
	}
	c, localDelay, result := p.connect(call, name, r.NonIdempotent, deadline)
	if c == nil {
		return nil, result
	}
	x := newExchange(c, call, r, deadline, confirmer)
	if sent, result := x.send(); !sent {
		return nil, result
	}
	resp, result := x.receive()
	if resp != nil {
		resp.LocalDelay = localDelay
	}
	return resp, result
}

// endedByCall reports whether the end of the call, and not the endpoint, may have caused a result.
// After an abort that includes an incomplete response.
func (c *conn) endedByCall(result balance.Result) bool {
	return result == balance.Timeout || result == balance.Error && c.aborted.Load()
}

// checkInUnused returns a connection without a request in progress to the pool. Its state is
// checked at the next checkout.
func (p *Pool) checkInUnused(c *conn) {
	c.SetDeadline(time.Time{})
	p.checkIn(c, false)
}

// connect returns a connection to the named endpoint, or the result of the attempt if there is
// none. localDelay is the time lost to dial failures of this machine.
func (p *Pool) connect(call *Call, name string, nonIdempotent bool, deadline time.Time) (c *conn, localDelay time.Duration, result balance.Result) {
	if call.Ended() {
		return nil, 0, balance.NotSent
	}
	var dials redial
	for {
		c, shouldRedial, result := p.connectOnce(call, name, nonIdempotent, &dials, deadline)
		switch {
		case shouldRedial:
		case c != nil && p.isRemoved(c): // the list has changed meanwhile
			p.closeConn(c, false)
		default:
			return c, dials.elapsed(), result
		}
	}
}

// connectOnce returns an idle connection, or dials one.
func (p *Pool) connectOnce(call *Call, name string, nonIdempotent bool, dials *redial, deadline time.Time) (c *conn, shouldRedial bool, result balance.Result) {
	got := p.checkOutReusable(name, nonIdempotent)
	switch {
	case got.conn != nil:
		return got.conn, false, balance.OK
	case got.target == nil:
		return nil, false, balance.NotSent
	}
	return p.dialTarget(call, got.target, dials, deadline)
}

// checkOutReusable checks out a connection and waits until it may be reused.
func (p *Pool) checkOutReusable(name string, nonIdempotent bool) checkoutResult {
	got := p.checkOut(name, nonIdempotent)
	for got.conn != nil && got.wait > 0 {
		// The wait does not end with the call; prepare checks for the end before anything is sent.
		if c := p.awaitReuse(got.conn, got.wait, got.extra); c != nil {
			return checkoutResult{conn: c, target: got.target}
		}
		got = p.checkOut(name, nonIdempotent)
	}
	return got
}

// dialTarget dials t. After a failure that may be caused by this machine it waits, and
// shouldRedial is then true unless the call has ended or the time for redials is over.
func (p *Pool) dialTarget(call *Call, t *target, dials *redial, deadline time.Time) (c *conn, shouldRedial bool, result balance.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	attempt := activeAttempt{cancelDial: &cancel}
	// A dial without time left would fail and count against the endpoint.
	if time.Until(deadline) < minBudget || !call.register(attempt) {
		p.connClosed(t)
		return nil, false, balance.NotSent
	}
	dials.checkOthers(p, t)
	dials.began = time.Now()
	c, err := p.dial(ctx, t, deadline)
	if err != nil {
		if shouldRedial, result = dials.recordFailure(p, t, err, deadline); shouldRedial {
			shouldRedial = dials.sleep(ctx)
		}
		p.noteResult(t, result)
	}
	ended := call.unregister(attempt)
	switch {
	case err == nil:
		return c, false, balance.OK
	case ended:
		return nil, false, balance.NotSent
	}
	return nil, shouldRedial, result
}

const (
	// stallThreshold is the duration of one round of prepare, which normally takes microseconds,
	// from which the process is assumed to have been suspended.
	stallThreshold = 5 * time.Millisecond
	// maxPrepareRounds bounds the repetitions of prepare after stalls.
	maxPrepareRounds = 3
)

// prepare encodes the head of r and returns the time of encoding and the budget in the head. The endpoint
// counts the budget from the last byte of r, so the time that a long body is expected to take is taken off,
// but no more than half. A budget of 0 means that r must not be sent. If the process seems to have been suspended,
// prepare starts again, because the clock reading and the confirmation are outdated.
func (c *conn) prepare(call *Call, r *Request, deadline time.Time, confirmer Confirmer) (sentAt time.Time, budget time.Duration) {
	for range maxPrepareRounds {
		start := c.target.pool.now()
		if confirmer != nil && !confirmer.Confirm() || call.Ended() {
			return start, 0
		}
		sentAt = c.target.pool.now()
		budget = r.timeLeft(deadline.Sub(sentAt))
		budget -= min(c.target.pace.expected(len(r.Body), sentAt), budget/2)
		if budget < minBudget {
			return sentAt, 0
		}
		c.writeBuf = c.appendHead(c.writeBuf[:0], r, budget)
		if c.target.pool.now().Sub(start) < stallThreshold {
			break
		}
	}
	return sentAt, budget
}

// send writes the request, whose head has been prepared. An error means that the last byte was not
// written, so the endpoint has not started to execute the request.
func (c *conn) send(r *Request) error {
	if len(r.Body) > 0 && len(c.writeBuf)+len(r.Body) > writeBufferSize {
		buffers := net.Buffers{c.writeBuf, r.Body}
		_, err := buffers.WriteTo(c.Conn)
		return err
	}
	c.writeBuf = append(c.writeBuf, r.Body...)
	_, err := c.Write(c.writeBuf)
	return err
}

// appendHead appends the head of the request, including X-Budget-Ms.
func (c *conn) appendHead(b []byte, r *Request, budget time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, cmp.Or(r.Host, c.target.Address)...) // mandatory in HTTP/1.1
	b = append(b, "\r\n"...)
	b = r.Fields.AppendForwarded(b)
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, budget.Milliseconds(), 10)
	if r.Upload != nil {
		if r.Upload.Length < 0 {
			return append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
		}
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, r.Upload.Length, 10)
		return append(b, "\r\n\r\n"...)
	}
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch: // Content-Length even for an empty body, RFC 9110, section 8.6
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	default:
		if len(r.Body) > 0 {
			b = append(b, "\r\nContent-Length: "...)
			b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		}
	}
	return append(b, "\r\n\r\n"...)
}

// unsentResult returns the result of an attempt whose last byte was not written. That is
// Overloaded if the endpoint has already rejected the incomplete request.
func (c *conn) unsentResult(call *Call) balance.Result {
	if call.Ended() {
		return balance.NotSent
	}
	defer c.moveHeadMemory(nil)
	c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	if resp, err := c.readHead(time.Now().Add(earlyResponseTimeout)); err == nil && isRejection(resp) {
		return balance.Overloaded
	}
	return balance.ConnectError
}
