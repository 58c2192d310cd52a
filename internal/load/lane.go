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

	"gorselink/internal/framing"
	"gorselink/traffic"
)

// lane is a connection and what is open on it: one request at a time.
type lane struct {
	r      *Runner
	shard  *shard
	work   chan job
	target int // where conn goes, or went last
	conn   net.Conn
	in     *bufio.Reader
	head   []byte // of the request that is sent
	answer framing.Head
	used   int           // requests on this connection
	keep   bool          // the last answer lets it go on
	freed  time.Duration // when it had its last answer
}

// job is a request to be made.
type job struct {
	ask     ask
	target  int
	ready   time.Duration // when this try was due
	sent    time.Duration // when its lane was given it, or took it
	again   bool          // not its first try
	retries int
	toll    toll
}

// toll is what the way to the target has cost a request over all its tries.
type toll struct {
	own    time.Duration // the generator's own error
	held   time.Duration // with what it has held up, see traffic.Lateness
	waited time.Duration // for a connection
}

func (t *toll) add(l traffic.Lateness) {
	t.own += l.Own
	t.held += l.Held
	t.waited += l.Waited
}

// ask is one request as it is due.
type ask struct {
	due    time.Duration
	stream int
	index  uint64
	record *traffic.RecordedRequest // nil if the stream says all
}

func asked(a traffic.Arrival) ask {
	return ask{due: a.Due, stream: a.Stream, index: a.Index, record: a.Ask}
}

// maxAnswer bounds the body that is read of an answer: a target that never
// ends one must not hold a lane for good.
const maxAnswer = 64 << 20

// run makes the requests that come over work.
func (l *lane) run(ctx context.Context) {
	defer l.close()
	for j := range l.work {
		for ok := true; ok; j, ok = l.r.free(l, l.do(ctx, j)) {
		}
	}
}

// do makes one try of j, books it and says what follows. It returns when the
// connection had become free.
func (l *lane) do(ctx context.Context, j job) (ended time.Duration) {
	r, s := l.r, &l.r.cfg.Streams[j.ask.stream]
	f := r.fill[j.ask.stream]
	f.mu.Lock()
	content := f.Content(j.ask.index)
	caller := f.Caller(&r.cfg.Client, j.ask.index)
	id := f.CallID(j.ask.index, j.retries)
	f.mu.Unlock()
	if l.target != j.target {
		l.close()
		l.target = j.target // no one else looks at it while the lane is at work
	}
	begin := r.now()
	j.toll.own += begin - j.sent
	j.toll.held += begin - j.sent
	req := newRequest(s, j.ask.record, content)
	req.id = id
	deadline := farOff
	if s.Budget > 0 {
		deadline = j.ask.due + s.Budget
		req.budget = deadline - begin
	}
	if caller.Leaves {
		req.leave = r.start.Add(begin + r.cfg.Client.LeaveAfter)
	}
	if l.conn != nil && begin-l.freed > longIdle && l.hungUp() {
		l.close()
	}
	o, retryAfter := l.try(ctx, req, r.start.Add(deadline))
	ended = r.now()
	l.freed = ended
	if ctx.Err() != nil && (o == Broken || o == NoConn || o == TimedOut || o == LeftEarly) && ended < deadline {
		o = Unanswered
	}
	if j.again {
		l.shard.again(ended-begin, o)
	} else {
		l.shard.first(ended-begin, o)
	}
	harmless := o == Refused || o == NoConn || (o == Failed || o == Broken) && (s.WithIdempotencyKey || safe(req.method))
	if wait, again := r.cfg.Client.Next(j.retries, harmless, retryAfter, caller.Heeds); again && ended+wait < deadline {
		j.retries++
		r.later(j, ended, wait)
		return ended
	}
	r.booked(l.shard, &j, ended, o)
	r.left(ended)
	return ended
}

// newRequest is what one try of an arrival of s sends: what the record asks, if
// there is one, and what the stream says where that is empty.
func newRequest(s *traffic.Stream, record *traffic.RecordedRequest, c traffic.Content) *request {
	req := &request{stream: s, host: s.Host, class: s.Class, path: c.Path, key: c.Key}
	method, body := s.Method, s.Body
	if record != nil {
		method, body = cmp.Or(record.Method, method), record.Body
		req.host, req.class, req.path = cmp.Or(record.Host, req.host), cmp.Or(record.Class, req.class), record.Path
	}
	req.body = bodyOf(body)
	req.method = cmp.Or(method, http.MethodGet)
	return req
}

// farOff is the deadline of a request without one, beyond any run.
const farOff = 2 * traffic.MaxSpan

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// try makes one try and tells how it ended.
func (l *lane) try(ctx context.Context, req *request, deadline time.Time) (o Outcome, retryAfter time.Duration) {
	if l.conn != nil && (!l.keep || l.r.cfg.PerConn > 0 && l.used >= l.r.cfg.PerConn) {
		l.close()
	}
	fresh := l.conn == nil
	if fresh {
		if err := l.open(ctx, deadline); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err) || ctx.Err() != nil {
				return TimedOut, 0
			}
			return NoConn, 0
		}
	}
	l.used++
	l.keep = false
	until := deadline
	if !req.leave.IsZero() && req.leave.Before(deadline) {
		until = req.leave
	}
	l.conn.SetDeadline(until)
	if ctx.Err() != nil { // the run has ended in between
		l.conn.SetDeadline(time.Unix(1, 0))
	}
	status, retryAfter, err := l.exchange(req)
	switch {
	case err == nil:
		return statusOutcome(status), retryAfter
	case isTimeout(err):
		l.close()
		if until != deadline {
			return LeftEarly, 0
		}
		return TimedOut, 0
	}
	l.close()
	return Broken, 0
}

// longIdle is for how long a connection lies idle before it is looked at again. Targets
// close what is idle for long, and a request that was sent into that would count as
// theirs to have broken.
const longIdle = time.Second

// hungUp tells whether the other side has closed the connection, or has sent what
// nobody asked for.
func (l *lane) hungUp() bool {
	raw, err := l.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	l.conn.SetReadDeadline(time.Time{})
	if cerr := raw.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); cerr != nil {
		return true
	}
	return !errors.Is(err, syscall.EAGAIN)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func statusOutcome(status int) Outcome {
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

func (l *lane) open(ctx context.Context, deadline time.Time) error {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	addr := l.r.cfg.Addr
	if len(l.r.cfg.Addrs) > 0 {
		addr = l.r.cfg.Addrs[l.target]
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	l.conn, l.used = c, 0
	l.r.opened.Add(1)
	if l.in == nil {
		l.in = bufio.NewReaderSize(c, framing.MaxHeadBytes)
	} else {
		l.in.Reset(c)
	}
	if !l.r.track(l, c) { // the end of the run ends what is out
		c.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

func (l *lane) close() {
	if l.conn != nil {
		l.r.untrack(l)
		l.conn.Close()
		l.conn = nil
	}
}

// exchange sends a request and reads its answer.
func (l *lane) exchange(req *request) (status int, retryAfter time.Duration, err error) {
	l.head = req.appendHead(l.head[:0])
	if len(req.body) == 0 {
		_, err = l.conn.Write(l.head)
	} else {
		all := net.Buffers{l.head, req.body}
		_, err = all.WriteTo(l.conn)
	}
	if err != nil {
		// It may have been turned away before it was whole.
		l.conn.SetReadDeadline(time.Now().Add(earlyAnswer))
	}
	for interim := 0; ; interim++ {
		raw, herr := framing.PeekHead(l.in)
		if herr != nil {
			if err != nil {
				herr = err
			}
			return 0, 0, herr
		}
		h := &l.answer
		if herr := h.ParseResponse(raw); herr != nil {
			return 0, 0, herr
		}
		l.in.Discard(len(raw))
		if h.Status < 200 && interim < 8 {
			continue
		}
		n, ended, cerr := l.body(h, req.method)
		l.r.bytes.Add(n)
		if cerr != nil {
			return 0, 0, cerr
		}
		// Bytes behind the answer are a second one, or noise.
		l.keep = err == nil && !ended && !h.Close && l.in.Buffered() == 0
		return h.Status, after(h.Fields.Get("Retry-After")), nil
	}
}

// body reads the body of an answer and tells whether the connection has ended
// with it.
func (l *lane) body(h *framing.Head, method string) (n int64, ended bool, err error) {
	if method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		return 0, false, nil
	}
	var in io.Reader = l.in
	switch {
	case h.Chunked:
		in = httputil.NewChunkedReader(l.in)
	case h.Length >= 0:
		in = io.LimitReader(l.in, h.Length)
	}
	if n, err = io.Copy(io.Discard, io.LimitReader(in, maxAnswer+1)); err != nil {
		return n, false, err
	}
	switch {
	case n > maxAnswer:
		return n, false, errors.New("an answer without end")
	case h.Chunked:
		return n, false, framing.SkipTrailers(l.in)
	case h.Length >= 0 && n < h.Length:
		return n, false, io.ErrUnexpectedEOF
	}
	return n, h.Length < 0, nil
}

// earlyAnswer is how long an answer is awaited to a request that broke off.
const earlyAnswer = 50 * time.Millisecond

// after reads a Retry-After in seconds, whole or decimal; 0 for none.
func after(s string) time.Duration {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x > 0 && x < 3600) {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}
