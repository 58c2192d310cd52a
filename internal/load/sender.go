package load

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"syscall"
	"time"

	"gorselink/internal/http1"
	"gorselink/traffic"
)

// sender owns one connection and sends one request at a time over it.
type sender struct {
	r         *Runner
	shard     *shard
	attempts  chan attempt
	target    int // index of the target that conn goes to, or last went to
	conn      net.Conn
	reader    *bufio.Reader
	head      []byte // head of the current request
	response  http1.Head
	requests  int           // requests sent on this connection
	reusable  bool          // the last response allows another request on the connection
	idleSince time.Duration // when the last attempt ended
}

// attempt is one attempt of a request.
type attempt struct {
	request dueRequest
	target  int
	due     time.Duration // when this attempt was due
	sent    time.Duration // when it was assigned to a sender
	isRetry bool          // not the request's first attempt
	retries int
	delays  delays

	id      string        // X-Call-Id, set when the attempt is sent
	started time.Duration // when the attempt was sent
}

// delays are the delays of a request before it was sent, summed over its attempts.
type delays struct {
	generator time.Duration // caused by the generator
	induced   time.Duration // with the waits that earlier generator delays caused, see traffic.Delay
	connWait  time.Duration // waiting for a connection
}

func (t *delays) add(d traffic.Delay) {
	t.generator += d.Generator
	t.induced += d.Induced
	t.connWait += d.ConnWait
}

// dueRequest is one request of the plan.
type dueRequest struct {
	due      time.Duration
	stream   int
	index    uint64
	recorded *traffic.RecordedRequest // nil to use the stream's settings
}

func newDueRequest(a traffic.Arrival) dueRequest {
	return dueRequest{due: a.Due, stream: a.Stream, index: a.Index, recorded: a.Recorded}
}

// maxResponseBytes bounds the response body, so that an endless one does not occupy
// a sender until its deadline.
const maxResponseBytes = 64 << 20

// run sends the attempts that arrive over s.attempts.
func (s *sender) run(ctx context.Context) {
	defer s.close()
	for a := range s.attempts {
		for ok := true; ok; a, ok = s.r.releaseSender(s, s.send(ctx, a)) {
		}
	}
}

// send makes one attempt, records it and schedules the retry or records the end of
// the request. It returns when the connection became free.
func (s *sender) send(ctx context.Context, a attempt) (freeAt time.Duration) {
	r, stream := s.r, &s.r.cfg.Streams[a.request.stream]
	contents := r.contents[a.request.stream]
	contents.mu.Lock()
	content := contents.Content(a.request.index)
	behaviour := contents.CallerBehaviour(&r.cfg.Client, a.request.index)
	id := contents.CallID(a.request.index, a.retries)
	contents.mu.Unlock()
	if s.target != a.target {
		s.close()
		s.target = a.target // not accessed by others while the sender is busy
	}
	start := r.elapsed()
	a.delays.generator += start - a.sent
	a.delays.induced += start - a.sent
	req := newRequest(stream, a.request.recorded, content)
	req.id, req.idField = id, r.cfg.IDHeader
	a.id, a.started = id, start
	deadline := noDeadline
	if stream.Budget > 0 {
		deadline = a.request.due + stream.Budget
		req.budget = deadline - start
	}
	if behaviour.Leaves {
		req.leaveAt = r.start.Add(start + r.cfg.Client.LeaveAfter)
	}
	if s.conn != nil && start-s.idleSince > idleCheckAfter && s.closedByPeer() {
		s.close()
	}
	o, retryAfter := s.sendAttempt(ctx, req, r.start.Add(deadline))
	freeAt = r.elapsed()
	s.idleSince = freeAt
	if ctx.Err() != nil && (o == Broken || o == NoConn || o == TimedOut || o == LeftEarly) && freeAt < deadline {
		o = Unanswered
	}
	if a.isRetry {
		s.shard.recordRetry(freeAt-start, o)
	} else {
		s.shard.recordFirstAttempt(freeAt-start, o)
	}
	retryable := o == Refused || o == NoConn || (o == Failed || o == Broken) && (stream.WithIdempotencyKey || isSafeMethod(req.method))
	if wait, retry := r.cfg.Client.NextRetry(a.retries, retryable, retryAfter, behaviour.HonoursRetryAfter); retry && freeAt+wait < deadline {
		a.retries++
		r.scheduleRetry(a, freeAt, wait)
		return freeAt
	}
	r.recordEndIn(s.shard, &a, freeAt, o)
	r.requestEnded(freeAt)
	return freeAt
}

// newRequest returns what one attempt of an arrival of s sends. A recorded request
// takes the place of the stream's settings, except where its fields are empty.
func newRequest(s *traffic.Stream, recorded *traffic.RecordedRequest, c traffic.Content) *request {
	req := &request{stream: s, host: s.Host, class: s.Class, path: c.Path, key: c.IdempotencyKey}
	method, body := s.Method, s.Body
	if recorded != nil {
		method, body = cmp.Or(recorded.Method, method), recorded.Body
		req.host, req.class, req.path = cmp.Or(recorded.Host, req.host), cmp.Or(recorded.Class, req.class), recorded.Path
	}
	req.body = zeroBody(body)
	req.method = cmp.Or(method, http.MethodGet)
	return req
}

// noDeadline is the deadline of a request without a budget, after the end of any run.
const noDeadline = 2 * traffic.MaxSpan

// isSafeMethod reports whether a method is safe by RFC 9110, section 9.2.1, so that a
// request without an idempotency key may be retried.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// sendAttempt sends one attempt and returns its outcome.
func (s *sender) sendAttempt(ctx context.Context, req *request, deadline time.Time) (o Outcome, retryAfter time.Duration) {
	if s.conn != nil && (!s.reusable || s.r.cfg.PerConn > 0 && s.requests >= s.r.cfg.PerConn) {
		s.close()
	}
	fresh := s.conn == nil
	if fresh {
		if err := s.open(ctx, deadline); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err) || ctx.Err() != nil {
				return TimedOut, 0
			}
			return NoConn, 0
		}
	}
	s.requests++
	s.reusable = false
	until := deadline
	if !req.leaveAt.IsZero() && req.leaveAt.Before(deadline) {
		until = req.leaveAt
	}
	s.conn.SetWriteDeadline(until)
	if until == deadline {
		s.conn.SetReadDeadline(until.Add(LateTolerance))
	} else {
		s.conn.SetReadDeadline(until)
	}
	if ctx.Err() != nil { // the run ended meanwhile
		s.conn.SetDeadline(time.Unix(1, 0))
	}
	status, retryAfter, err := s.exchange(req)
	switch {
	case err == nil && time.Now().After(deadline):
		return Late, 0
	case err == nil:
		return outcomeOfStatus(status), retryAfter
	case isTimeout(err):
		s.close()
		if until != deadline {
			return LeftEarly, 0
		}
		return TimedOut, 0
	}
	s.close()
	return Broken, 0
}

// idleCheckAfter is the idle time after which a connection is checked before reuse.
// Targets close idle connections, and a request sent on a closed one would be
// counted as broken by the target.
const idleCheckAfter = time.Second

// closedByPeer reports whether the peer has closed the connection or sent
// unexpected bytes.
func (s *sender) closedByPeer() bool {
	raw, err := s.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	s.conn.SetReadDeadline(time.Time{})
	if rawErr := raw.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); rawErr != nil {
		return true
	}
	return !errors.Is(err, syscall.EAGAIN)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func outcomeOfStatus(status int) Outcome {
	switch {
	case status < 400:
		return OK
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Refused
	case status < 500:
		return Rejected
	}
	return Failed
}

func (s *sender) open(ctx context.Context, deadline time.Time) error {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	addr := s.r.cfg.Addr
	if len(s.r.cfg.Addrs) > 0 {
		addr = s.r.cfg.Addrs[s.target]
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	s.conn, s.requests = c, 0
	s.r.opened.Add(1)
	if s.reader == nil {
		s.reader = bufio.NewReaderSize(c, http1.MaxHeadBytes)
	} else {
		s.reader.Reset(c)
	}
	if !s.r.track(s, c) { // the run has ended: fail pending I/O at once
		c.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

func (s *sender) close() {
	if s.conn != nil {
		s.r.untrack(s)
		s.conn.Close()
		s.conn = nil
	}
}

// exchange sends a request and reads the response.
func (s *sender) exchange(req *request) (status int, retryAfter time.Duration, err error) {
	s.head = req.appendHead(s.head[:0])
	if len(req.body) == 0 {
		_, err = s.conn.Write(s.head)
	} else {
		all := net.Buffers{s.head, req.body}
		_, err = all.WriteTo(s.conn)
	}
	if err != nil {
		// The target may have responded before it read the whole request.
		s.conn.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	for interim := 0; ; interim++ {
		raw, headErr := http1.PeekHead(s.reader)
		if headErr != nil {
			if err != nil {
				headErr = err
			}
			return 0, 0, headErr
		}
		h := &s.response
		if headErr := h.ParseResponse(raw); headErr != nil {
			return 0, 0, headErr
		}
		s.reader.Discard(len(raw))
		if h.Status < 200 && interim < 8 {
			continue
		}
		n, connEnded, bodyErr := s.readBody(h, req.method)
		s.r.bytes.Add(n)
		if bodyErr != nil {
			return 0, 0, bodyErr
		}
		// Further bytes after the response make the connection unusable.
		s.reusable = err == nil && !connEnded && !h.Close && s.reader.Buffered() == 0
		return h.Status, parseRetryAfter(h.Fields.Get("Retry-After")), nil
	}
}

// readBody reads a response body and reports whether the connection ended with it.
func (s *sender) readBody(h *http1.Head, method string) (n int64, connEnded bool, err error) {
	if method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		return 0, false, nil
	}
	var body io.Reader = s.reader
	switch {
	case h.Chunked:
		body = httputil.NewChunkedReader(s.reader)
	case h.Length >= 0:
		body = io.LimitReader(s.reader, h.Length)
	}
	if n, err = io.Copy(io.Discard, io.LimitReader(body, maxResponseBytes+1)); err != nil {
		return n, false, err
	}
	switch {
	case n > maxResponseBytes:
		return n, false, errors.New("response body over 64 MiB")
	case h.Chunked:
		return n, false, http1.SkipTrailers(s.reader)
	case h.Length >= 0 && n < h.Length:
		return n, false, io.ErrUnexpectedEOF
	}
	return n, h.Length < 0, nil
}

// earlyResponseTimeout is how long to wait for a response after sending a request failed.
const earlyResponseTimeout = 50 * time.Millisecond

// parseRetryAfter parses a Retry-After in seconds, integer or decimal; 0 if invalid.
func parseRetryAfter(s string) time.Duration {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x > 0 && x < 3600) {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}
