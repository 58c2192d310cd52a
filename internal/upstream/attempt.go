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
	"net/url"
	"os"
	"strconv"
	"time"

	"gorselink/balance"
	"gorselink/internal/framing"
	"gorselink/internal/limit"
)

// Request is what an attempt sends.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	Header http.Header // not changed
	Body   []byte
	Once   bool // must not run twice, so a reset cannot be mended
}

// Answer is an endpoint's answer, whole. Who gets one must release it.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	large  limit.Hold
}

// Release gives back the memory of an answer that is not needed any more.
func (a *Answer) Release() {
	a.Body = nil
	a.large.Release()
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

	// answerTime is what an answer gets from its first byte to its last.
	// Endpoints write theirs in one go, so one that stops inside is spoilt and
	// waiting for the rest holds the request up; an endpoint that freezes in
	// the middle for half a second would be misjudged.
	answerTime = 500 * time.Millisecond

	// maxInterim is how many interim answers may come first: a few are usual,
	// no end of them is a way of never answering.
	maxInterim = 8

	// lastLook is how long an answer is awaited that an endpoint may have
	// given before it broke the connection.
	lastLook = 20 * time.Millisecond

	// afterOver is how long an attempt is waited for once nobody wants its
	// answer any more. Most come within it, and save a new connection; the
	// others would hold a descriptor for as long as a deadline.
	afterOver = 500 * time.Millisecond
)

// Do makes one attempt at the endpoint called name and waits for its outcome
// for as long as timeout. Until its last byte is written, the attempt ends
// with ctx, never having run; then it has afterOver to end. The answer comes
// with balance.OK and, under Config.AnyStatus, with balance.Error if the
// endpoint made one.
func (p *Pool) Do(ctx context.Context, name string, r *Request, timeout time.Duration) (*Answer, balance.Result) {
	deadline := time.Now().Add(timeout)
	c, result := p.connect(ctx, name, r.Once, deadline)
	if c == nil {
		return nil, result
	}
	c.SetDeadline(deadline)
	sent := time.Now()
	if err := c.send(ctx, r, timeout); err != nil {
		result := c.unsent(ctx, r)
		p.lose(c)
		return nil, result
	}
	over := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.limit(deadline, afterOver)
		close(over)
	})
	a, again, result := c.receive(r, deadline)
	if !stop() {
		<-over
		if result == balance.Timeout && time.Now().Before(deadline) {
			result = balance.Cancelled
		}
	}
	if result == balance.Reset && !c.begun {
		p.suspect(c, sent)
	}
	if !again || c.spoiled || !c.quiet() {
		p.lose(c)
		return a, result
	}
	c.SetDeadline(time.Time{})
	p.give(c)
	return a, result
}

// limit makes reading end after d, or at the deadline if that is sooner.
func (c *conn) limit(deadline time.Time, d time.Duration) {
	if end := time.Now().Add(d); end.Before(deadline) {
		deadline = end
	}
	c.SetReadDeadline(deadline)
}

// connect returns a connection to name, or what its lack means.
func (p *Pool) connect(ctx context.Context, name string, once bool, deadline time.Time) (*conn, balance.Result) {
	if ctx.Err() != nil {
		return nil, balance.NotSent
	}
	c, t := p.take(name, once)
	if c != nil {
		return c, balance.OK
	}
	if t == nil {
		return nil, balance.NotSent
	}
	// No TCP keep-alive: connections idle for seconds at most.
	d := net.Dialer{Timeout: p.cfg.DialTimeout, Deadline: deadline, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.forget()
		if ctx.Err() != nil || shortage(err) {
			return nil, balance.NotSent
		}
		return nil, balance.ConnectError
	}
	return newConn(nc, t), balance.OK
}

// send writes the request. An error means that its last byte did not go out,
// so that the endpoint has not begun it.
func (c *conn) send(ctx context.Context, r *Request, timeout time.Duration) error {
	// The request may be answered meanwhile, and nothing is sent for it then.
	stop := context.AfterFunc(ctx, func() { c.SetWriteDeadline(time.Unix(1, 0)) })
	defer func() { c.spoiled = !stop() }()
	if err := ctx.Err(); err != nil {
		return err
	}
	header := r.Header.Clone()
	header.Set("X-Budget-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	out := http.Request{
		Method:        r.Method,
		URL:           &url.URL{Opaque: r.URI},
		Host:          cmp.Or(r.Host, c.target.Address), // HTTP/1.1 must name one
		Header:        header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if err := out.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// unsent tells what became of a request whose last byte did not go out. The
// endpoint may have turned it away before it was whole.
func (c *conn) unsent(ctx context.Context, r *Request) balance.Result {
	if ctx.Err() != nil {
		return balance.NotSent
	}
	c.SetReadDeadline(time.Now().Add(lastLook))
	if resp, err := c.head(r, time.Now().Add(lastLook)); err == nil && turnedAway(resp) {
		return balance.Overloaded
	}
	return balance.ConnectError
}

// spoilt tells of an answer that came and cannot be used.
type spoilt struct{ error }

// head reads the head of the answer, past any interim ones.
func (c *conn) head(r *Request, deadline time.Time) (*http.Response, error) {
	c.begun = false
	for range maxInterim + 1 {
		if _, err := c.in.Peek(1); err != nil {
			return nil, err
		}
		c.begun = true
		c.limit(deadline, c.target.pool.cfg.AnswerTime)
		// What cannot become an answer is not waited for.
		if b, err := c.in.Peek(len(protocol)); err == nil && string(b) != protocol {
			return nil, spoilt{fmt.Errorf("begins with %q", b)}
		}
		head, err := framing.Peek(c.in)
		if errors.Is(err, framing.ErrLong) {
			return nil, spoilt{err}
		}
		if err != nil {
			return nil, inside(err)
		}
		if err := framing.Check(head); err != nil {
			return nil, spoilt{err}
		}
		// net/http says of every answer without a length that it closes.
		c.closes = bytes.Contains(bytes.ToLower(head), []byte("\r\nconnection: close"))
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, spoilt{err}
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100 {
			return nil, spoilt{fmt.Errorf("status %d", resp.StatusCode)}
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
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

func turnedAway(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Rejected") == "1"
}

// receive reads the answer to a request that is out, and tells whether the
// connection can be used again.
func (c *conn) receive(r *Request, deadline time.Time) (a *Answer, again bool, result balance.Result) {
	resp, err := c.head(r, deadline)
	if err != nil {
		return nil, false, broken(err)
	}
	body, large, err := c.body(resp)
	again = err == nil && !resp.Close && c.in.Buffered() == 0
	switch {
	case turnedAway(resp):
		result = balance.Overloaded
	case !c.target.pool.serves(resp.StatusCode):
		result = balance.Error
	case err != nil:
		again, result = false, broken(err)
	}
	if err != nil || result != balance.OK && (result != balance.Error || !c.target.pool.cfg.AnyStatus) {
		large.Release()
		return nil, again, result
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, large: large}, again, result
}

// serves tells whether an answer with this status is one to the request, and
// not a failure to answer it.
func (p *Pool) serves(status int) bool {
	return status == http.StatusOK || p.cfg.AnyStatus && status < 500
}

// body reads the body of an answer to its end. What it holds is the caller's to
// release, also with an error.
func (c *conn) body(resp *http.Response) (data []byte, large limit.Hold, err error) {
	if resp.Body == http.NoBody { // as of a HEAD, whatever length it tells
		return nil, large, nil
	}
	maxLarge := c.target.pool.cfg.MaxAnswer
	if resp.ContentLength > int64(maxLarge) {
		return nil, large, spoilt{fmt.Errorf("body of %d bytes, want %d at most", resp.ContentLength, maxLarge)}
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !c.closes {
		// It would end with the connection, which the endpoint has not said
		// it would close: whether it is whole could never be told.
		return nil, large, spoilt{errors.New("body has no length")}
	}
	var body bytes.Buffer
	read := func(most int) error {
		_, err := body.ReadFrom(io.LimitReader(resp.Body, int64(most+1-body.Len())))
		var ne net.Error
		if err != nil && chunked && !errors.As(err, &ne) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return spoilt{err} // a chunk that cannot be read
		}
		if err != nil {
			return inside(err)
		}
		if body.Len() > most {
			return spoilt{fmt.Errorf("body is over %d bytes", most)}
		}
		return nil
	}
	if resp.ContentLength <= SmallAnswer {
		if resp.ContentLength > 0 {
			body.Grow(int(resp.ContentLength) + bytes.MinRead) // for one read that finds the end
		}
		if err := read(min(SmallAnswer, maxLarge)); err == nil || body.Len() <= SmallAnswer {
			return body.Bytes(), large, err
		}
	}
	size := resp.ContentLength
	if size < 0 {
		size = 2 * int64(maxLarge) // as the buffer may grow
	}
	large, ok := c.target.pool.large.Reserve(size)
	if !ok {
		return nil, large, spoilt{fmt.Errorf("no room for a body of %d bytes", size)}
	}
	if resp.ContentLength > 0 {
		body.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	err = read(maxLarge)
	large.Shrink(int64(body.Cap()))
	return body.Bytes(), large, err
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
