package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"gorselink/balance"
	"gorselink/internal/framing"
	"gorselink/internal/limit"
)

// Request is what an attempt sends.
type Request struct {
	Method        string
	URI           string // path and query as they came
	Host          string
	Fields        framing.Fields // sent but for those of the hop; not changed
	Body          []byte
	Upload        *Upload // in the place of Body
	NonIdempotent bool    // must not run twice, so a reset cannot be mended
}

// left is how much time there is for r when its deadline is so far away.
func (r *Request) left(d time.Duration) time.Duration {
	if r.Upload != nil && r.Upload.Incomplete != nil && r.Upload.Incomplete() {
		return r.Upload.ResponseTimeout
	}
	return d
}

// Answer is an endpoint's answer, whole but for what Rest still brings. Who gets
// one must release it.
type Response struct {
	Status    int
	Fields    framing.Fields
	Body      []byte
	Remaining *BodyStream // nil if Body is all

	// Lost is how long the attempt was held up before it had a connection, by failures of
	// this machine, which say nothing of the endpoint.
	LocalDelay time.Duration

	large limit.Hold
}

// Release gives back the memory of an answer that is not needed any more, and
// its connection if the rest of it was still coming.
func (a *Response) Release() {
	a.Body = nil
	a.large.Release()
	if a.Remaining != nil {
		a.Remaining.close()
		a.Remaining = nil
	}
}

const (
	// maxLarge is the longest body that is passed on all the same while there
	// is room for it (Config.LargeBytes). Every answer is held until it is
	// whole, so that a break inside it, or one that never ends, is an outcome
	// of the attempt and no half answer to the caller. Endpoints whose data has grown past
	// the protocol's bound all give the same long answer: turning it down
	// loses the request, and trying again multiplies the work. It could hurt
	// where an endpoint sends rubbish of just such a length.
	maxLarge = 1 << 20

	// answerTime is how long an answer may stop once it has begun. One that
	// stops inside is spoilt, and waiting for the rest holds the request up; an
	// endpoint that freezes in the middle for half a second would be misjudged.
	answerTime = 500 * time.Millisecond

	// maxInterim is how many interim answers may come first: a few are usual,
	// no end of them is a way of never answering.
	maxInterim = 8

	// lastLook is how long an answer is awaited that an endpoint may have
	// given before it broke the connection.
	lastLook = 20 * time.Millisecond

	// leastLeft is the least time that an endpoint can be told, and so the least that an
	// attempt is made with.
	leastLeft = time.Millisecond

	// afterOver is how long an attempt is waited for once nobody wants its
	// answer any more. Most come within it, and save a new connection; the
	// others would hold a descriptor for as long as a deadline.
	afterOver = 500 * time.Millisecond
)

// Confirmer tells whether an attempt may still begin.
type Confirmer interface{ Confirm() bool }

// Do makes one attempt at the endpoint called name and waits for its outcome
// until the deadline. Until its last byte is written, the attempt ends
// with its call, never having run; then it has afterOver to end. The answer
// comes with balance.OK and, under Config.AnyStatus, with balance.Error if the
// endpoint made one.
//
// The deadline is the caller's, an instant and no span, so that a process that is held up on
// the way here takes nothing from it. The endpoint is told what is left until then as the head is
// written, after whatever the connection took to come up, and an attempt that is left with
// nothing to tell is not sent. An Upload has all the time that it comes in; what is left
// counts from its end, see Upload.Time.
//
// A connection may take its time to come up, and what was right to be sent need not be so
// any more: unless it is nil, may is asked right before the first byte.
func (p *Pool) Do(call *Call, name string, r *Request, deadline time.Time, may Confirmer) (*Response, balance.Result) {
	if deadline.Sub(p.now()) < leastLeft {
		return nil, balance.NotSent
	}
	c, lost, result := p.connect(call, name, r.NonIdempotent, deadline)
	if c == nil {
		return nil, result
	}
	c.SetDeadline(deadline)
	me := out{c: c, deadline: deadline}
	if !call.enter(me) {
		p.giveBack(c)
		return nil, balance.NotSent
	}
	sent, left := c.prepare(call, r, deadline, may)
	if left == 0 {
		call.leave(me)
		p.giveBack(c)
		return nil, balance.NotSent
	}
	if err := c.send(call, r); err != nil {
		result := balance.NotSent
		if !errors.Is(err, errUpload) && faultOf(err) != ofMachine {
			result = c.unsent(call)
		}
		call.leave(me)
		p.lose(c, false)
		return nil, result
	}
	if r.Upload != nil {
		deadline = r.Upload.WholeAt().Add(left)
		c.SetDeadline(deadline)
	}
	a, again, result := c.receive(r, deadline)
	if a != nil {
		a.LocalDelay = lost
	}
	c.pace = 0
	if a != nil && a.Remaining != nil {
		call.leave(me)
		c.SetDeadline(time.Time{})
		return a, result
	}
	if call.leave(me) && result == balance.Timeout && time.Now().Before(deadline) {
		result = balance.Cancelled
	}
	if result == balance.Reset && !c.begun {
		p.suspect(c, sent)
	}
	if !again {
		p.lose(c, result == balance.OK)
		return a, result
	}
	c.SetDeadline(time.Time{})
	p.give(c, true)
	return a, result
}

// giveBack takes back a connection that nothing is out on. Whether it still
// stands is seen when it is taken again.
func (p *Pool) giveBack(c *conn) {
	c.SetDeadline(time.Time{})
	p.give(c, false)
}

// limit makes reading end after d, or at the deadline if that is sooner.
func (c *conn) limit(deadline time.Time, d time.Duration) {
	if end := time.Now().Add(d); end.Before(deadline) {
		deadline = end
	}
	c.SetReadDeadline(deadline)
}

// connect returns a connection to name, or what its lack means. lost is how long it was
// held up by failures of this machine.
func (p *Pool) connect(call *Call, name string, once bool, deadline time.Time) (c *conn, lost time.Duration, result balance.Result) {
	if call.Over() {
		return nil, 0, balance.NotSent
	}
	var d redial
	for {
		got := p.ready(name, once)
		if got.c != nil {
			return got.c, d.lost(), balance.OK
		}
		if got.t == nil {
			return nil, 0, balance.NotSent
		}
		c, again, result := p.reach(call, got.t, &d, deadline)
		if !again {
			return c, d.lost(), result
		}
	}
}

// ready returns a connection to name that may be used now, or what there is instead.
func (p *Pool) ready(name string, once bool) taken {
	got := p.take(name, once)
	for got.c != nil && got.rest > 0 {
		// An end of the call is seen before anything is sent.
		if c := p.await(got.c, got.rest, got.fresh); c != nil {
			return taken{c: c, t: got.t}
		}
		got = p.take(name, once)
	}
	return got
}

// reach dials t. If this machine has failed it waits, and tells that t is to be dialled
// again.
func (p *Pool) reach(call *Call, t *target, d *redial, deadline time.Time) (c *conn, again bool, result balance.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	me := out{dial: &cancel}
	// A dial that has no time from its beginning would be taken for one that has failed.
	if time.Until(deadline) < leastLeft || !call.enter(me) {
		p.forget(t)
		return nil, false, balance.NotSent
	}
	d.look(p, t)
	c, err := p.dial(ctx, t, deadline)
	if err != nil {
		if again, result = d.next(p, t, err, deadline); again {
			again = d.pause(ctx)
		}
	}
	over := call.leave(me)
	switch {
	case err == nil:
		return c, false, balance.OK
	case over:
		return nil, false, balance.NotSent
	}
	return nil, again, result
}

const (
	// stall is how long the process has been held up at the least that is looked into: from
	// the clock to the write there is the work of some microseconds.
	stall = 5 * time.Millisecond
	// mostLooks bounds how often that is done. A process that is held up each time is so
	// before the write as well, whatever it looks at.
	mostLooks = 3
)

// prepare makes the head of r ready, and tells when it was and how much time it tells the
// endpoint; none if r is not to be sent. The process may be held up between any two steps:
// then what the clock and may have said is old, and both are asked again.
func (c *conn) prepare(call *Call, r *Request, deadline time.Time, may Confirmer) (at time.Time, left time.Duration) {
	for range mostLooks {
		began := c.target.pool.now()
		if may != nil && !may.Confirm() || call.Over() {
			return began, 0
		}
		at = c.target.pool.now()
		left = r.left(deadline.Sub(at))
		if left < leastLeft {
			return at, 0
		}
		c.out = c.encode(c.out[:0], r, left)
		if c.target.pool.now().Sub(began) < stall {
			break
		}
	}
	return at, left
}

// send writes the request, whose head is ready. An error means that its last byte did not
// go out, so that the endpoint has not begun it.
func (c *conn) send(call *Call, r *Request) error {
	if r.Upload != nil {
		return c.upload(call, c.out, r.Upload)
	}
	if len(r.Body) > 0 && len(c.out)+len(r.Body) > writeBuffer {
		all := net.Buffers{c.out, r.Body}
		_, err := all.WriteTo(c.Conn)
		return err
	}
	c.out = append(c.out, r.Body...)
	_, err := c.Write(c.out)
	return err
}

// encode appends the head of the request, which tells how much time is left for it.
func (c *conn) encode(b []byte, r *Request, left time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, cmp.Or(r.Host, c.target.Address)...) // HTTP/1.1 must name one
	b = append(b, "\r\n"...)
	b = r.Fields.Append(b)
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, left.Milliseconds(), 10)
	if r.Upload != nil {
		if r.Upload.Length < 0 {
			return append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
		}
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, r.Upload.Length, 10)
		return append(b, "\r\n\r\n"...)
	}
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch: // have one also where it is empty, RFC 9110, section 8.6
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

// unsent tells what became of a request whose last byte did not go out. The
// endpoint may have turned it away before it was whole.
func (c *conn) unsent(call *Call) balance.Result {
	if call.Over() {
		return balance.NotSent
	}
	c.SetReadDeadline(time.Now().Add(lastLook))
	if resp, err := c.head(time.Now().Add(lastLook)); err == nil && turnedAway(resp) {
		return balance.Overloaded
	}
	return balance.ConnectError
}

// spoilt tells of an answer that came and cannot be used.
type spoilt struct{ error }

// head reads the head of the answer, past any interim ones.
func (c *conn) head(deadline time.Time) (*framing.Head, error) {
	c.begun = false
	for range maxInterim + 1 {
		if _, err := c.in.Peek(1); err != nil {
			return nil, err
		}
		c.begun = true
		c.pace, c.until = c.target.pool.cfg.ResponseStallTimeout, deadline
		c.limit(deadline, c.pace)
		// What cannot become an answer is not waited for.
		if b, err := c.in.Peek(len(protocol)); err == nil && string(b) != protocol {
			return nil, spoilt{fmt.Errorf("begins with %q", b)}
		}
		raw, err := framing.Peek(c.in)
		if errors.Is(err, framing.ErrLong) {
			return nil, spoilt{err}
		}
		if err != nil {
			return nil, inside(err)
		}
		h := &c.answer
		if err := h.ParseResponse(raw); err != nil {
			return nil, spoilt{err}
		}
		c.in.Discard(len(raw))
		if h.Status == http.StatusSwitchingProtocols {
			return nil, spoilt{errors.New("switches protocols, which nobody asked for")}
		}
		if h.Status >= 200 {
			return h, nil
		}
		c.pace = 0
		c.SetReadDeadline(deadline) // the answer may take its time after an interim one
	}
	return nil, spoilt{errors.New("too many interim answers")}
}

const protocol = "HTTP/1."

// inside is what an error means once an answer has begun: one that stops is
// spoilt, one whose connection breaks is not.
func inside(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return spoilt{err}
	}
	return err
}

func turnedAway(h *framing.Head) bool {
	return (h.Status == http.StatusServiceUnavailable || h.Status == http.StatusGatewayTimeout) &&
		h.Fields.Get("X-Rejected") == "1"
}

// receive reads the answer to a request that is out, and tells whether the
// connection can be used again.
func (c *conn) receive(r *Request, deadline time.Time) (a *Response, again bool, result balance.Result) {
	h, err := c.head(deadline)
	if err != nil {
		return nil, false, broken(err)
	}
	if c.target.pool.cfg.MaxStreamBytes > 0 && c.target.pool.serves(h.Status) && !bodiless(h, r.Method) {
		if a, again, err := c.begin(h); a != nil || err != nil {
			return a, again, streamed(err)
		}
	}
	body, large, err := c.body(h, r.Method)
	again = err == nil && !h.Close && c.in.Buffered() == 0
	switch {
	case turnedAway(h):
		result = balance.Overloaded
	case !c.target.pool.serves(h.Status):
		result = balance.Error
	case err != nil:
		again, result = false, broken(err)
	}
	if err != nil || result != balance.OK && (result != balance.Error || !c.target.pool.cfg.PassThroughStatus) {
		large.Release()
		return nil, again, result
	}
	return &Response{Status: h.Status, Fields: h.Fields, Body: body, large: large}, again, result
}

// serves tells whether an answer with this status is one to the request, and
// not a failure to answer it.
func (p *Pool) serves(status int) bool {
	return status == http.StatusOK || p.cfg.PassThroughStatus && status < 500
}

// bodiless tells whether an answer has no body, whatever length it tells (RFC
// 9112, section 6.3).
func bodiless(h *framing.Head, method string) bool {
	return method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
}

// body reads the body of an answer to its end. What it holds is the caller's to
// release, also with an error.
func (c *conn) body(h *framing.Head, method string) (data []byte, large limit.Hold, err error) {
	if h.Length == 0 || bodiless(h, method) {
		return nil, large, nil
	}
	maxLarge := c.target.pool.cfg.MaxResponseBytes
	if h.Length > int64(maxLarge) {
		return nil, large, spoilt{fmt.Errorf("body of %d bytes, want %d at most", h.Length, maxLarge)}
	}
	if h.Length > 0 {
		if h.Length > SmallAnswer {
			var ok bool
			if large, ok = c.target.pool.large.Reserve(h.Length); !ok {
				return nil, large, spoilt{fmt.Errorf("no room for a body of %d bytes", h.Length)}
			}
		}
		data = make([]byte, h.Length)
		if _, err := io.ReadFull(c.in, data); err != nil {
			return nil, large, inside(err)
		}
		return data, large, nil
	}
	// Without a length and without chunks it ends with its connection (RFC 9112, section 6.3),
	// whether or not the endpoint says that it will close. A reset is no end.
	return c.endless(h.Chunked, maxLarge)
}

// endless reads a body whose length shows at its end.
func (c *conn) endless(chunked bool, maxLarge int) (data []byte, large limit.Hold, err error) {
	var body bytes.Buffer
	var in io.Reader = c.in
	if chunked {
		in = httputil.NewChunkedReader(c.in)
	}
	read := func(most int) error {
		_, err := body.ReadFrom(io.LimitReader(in, int64(most+1-body.Len())))
		if err == nil && body.Len() <= most && chunked {
			err = framing.SkipTrailers(c.in)
		}
		if err != nil {
			return chunkError(err, chunked)
		}
		if body.Len() > most {
			return spoilt{fmt.Errorf("body is over %d bytes", most)}
		}
		return nil
	}
	if err := read(min(SmallAnswer, maxLarge)); err == nil || body.Len() <= SmallAnswer {
		return body.Bytes(), large, err
	}
	large, ok := c.target.pool.large.Reserve(2 * int64(maxLarge)) // as the buffer may grow
	if !ok {
		return nil, large, spoilt{fmt.Errorf("no room for a body of up to %d bytes", maxLarge)}
	}
	err = read(maxLarge)
	large.Shrink(int64(body.Cap()))
	return body.Bytes(), large, err
}

// chunkError is what an error inside a body without a length means.
func chunkError(err error, chunked bool) error {
	var ne net.Error
	if chunked && !errors.As(err, &ne) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return spoilt{err} // a chunk that cannot be read
	}
	return inside(err)
}

// broken is the outcome of an attempt that was sent and got no whole answer.
// A spoilt answer is the endpoint's error: its process lives, and the request
// may have run.
func broken(err error) balance.Result {
	var s spoilt
	switch {
	case errors.As(err, &s):
		return balance.Error
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
