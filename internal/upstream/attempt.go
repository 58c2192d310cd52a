package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"oatgw/balance"
)

// Request is what an attempt sends.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	Header http.Header // not changed
	Body   func() io.Reader
	Length int64
}

// Answer is an endpoint's 200.
type Answer struct {
	Header http.Header
	Body   []byte        // whole, or what has come of a long one
	Rest   io.ReadCloser // what follows Body; nil if it is whole
	Length int64         // of the whole body; -1 where the endpoint does not say
}

// Discard gives up an answer that nobody wants.
func (a *Answer) Discard() {
	if a != nil && a.Rest != nil {
		a.Rest.Close()
	}
}

const (
	// Whole is the longest body that is held until it is whole, so that a
	// break inside it is an outcome of the attempt and no half answer. Longer
	// ones are timed at their first bytes and passed on as they come.
	Whole = 64 << 10

	maxHead = 64 << 10 // bytes of an answer's head

	// silence is how long the rest of a long answer may pause; endpoints
	// pause it for 0.1 s at most, so one that is silent for longer is gone.
	silence = 3 * time.Second

	// lastLook is how long an answer is awaited that an endpoint may have
	// given before it broke the connection.
	lastLook = 20 * time.Millisecond
)

// Do makes one attempt at the endpoint called name and waits for its outcome
// for as long as timeout. Until its last byte is written, the attempt ends
// with ctx, never having run; then it is read to its end, so that the
// connection can be used again. The answer comes only with balance.OK.
func (p *Pool) Do(ctx context.Context, name string, r *Request, timeout time.Duration) (*Answer, balance.Result) {
	deadline := time.Now().Add(timeout)
	c, result := p.connect(ctx, name, deadline)
	if c == nil {
		return nil, result
	}
	c.SetDeadline(deadline)
	if err := c.send(ctx, r, timeout); err != nil {
		result := c.unsent(ctx, r)
		p.lose(c)
		return nil, result
	}
	return p.receive(c, r)
}

// connect returns a connection to name, or what its lack means.
func (p *Pool) connect(ctx context.Context, name string, deadline time.Time) (*conn, balance.Result) {
	if ctx.Err() != nil {
		return nil, balance.NotSent
	}
	c, t := p.take(name)
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
		Host:          r.Host,
		Header:        header,
		ContentLength: r.Length,
	}
	if r.Length > 0 {
		out.Body = io.NopCloser(r.Body())
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
	if resp, err := c.head(r); err == nil && turnedAway(resp) {
		return balance.Overloaded
	}
	return balance.ConnectError
}

// head reads the head of the answer, past any interim ones.
func (c *conn) head(r *Request) (*http.Response, error) {
	c.left = maxHead
	defer func() { c.left = -1 }()
	for {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

func turnedAway(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Rejected") == "1"
}

// receive reads the answer to a request that is out.
func (p *Pool) receive(c *conn, r *Request) (*Answer, balance.Result) {
	resp, err := c.head(r)
	if err != nil {
		p.lose(c)
		return nil, broken(err)
	}
	if resp.StatusCode != http.StatusOK {
		result := balance.Error
		if turnedAway(resp) {
			result = balance.Overloaded
		}
		p.finish(c, resp)
		return nil, result
	}
	a := &Answer{Header: resp.Header, Length: resp.ContentLength}
	rest := &rest{pool: p, conn: c, resp: resp}
	if resp.ContentLength > Whole {
		a.Rest = rest
		return a, balance.OK
	}
	var body bytes.Buffer
	body.Grow(int(max(resp.ContentLength, 0)) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, Whole+1)); err != nil {
		p.lose(c)
		return nil, broken(err)
	}
	a.Body = body.Bytes()
	if len(a.Body) > Whole {
		a.Rest = rest
		return a, balance.OK
	}
	a.Length = int64(len(a.Body))
	p.done(c, resp)
	return a, balance.OK
}

// broken is the outcome of an attempt that was sent and got no whole answer.
func broken(err error) balance.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.Timeout
	}
	return balance.Reset
}

// finish ends the use of a connection whose answer's body nobody wants.
func (p *Pool) finish(c *conn, resp *http.Response) {
	c.SetReadDeadline(time.Now().Add(lastLook))
	if n, err := io.CopyN(io.Discard, resp.Body, Whole); err != io.EOF || n == Whole {
		p.lose(c)
		return
	}
	p.done(c, resp)
}

// done ends the use of a connection whose answer was read to its end.
func (p *Pool) done(c *conn, resp *http.Response) {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols || c.spoiled {
		p.lose(c)
		return
	}
	c.SetDeadline(time.Time{})
	p.give(c)
}

// rest reads what follows of a long answer.
type rest struct {
	pool *Pool
	conn *conn
	resp *http.Response
	over bool // read to its end
	shut bool
}

func (r *rest) Read(b []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(silence))
	n, err := r.resp.Body.Read(b)
	r.over = r.over || err == io.EOF
	return n, err
}

// Close ends the answer; its connection is used again if all of it was read.
func (r *rest) Close() error {
	if r.shut {
		return nil
	}
	r.shut = true
	if r.over {
		r.pool.done(r.conn, r.resp)
	} else {
		r.pool.lose(r.conn)
	}
	return nil
}
