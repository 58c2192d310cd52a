package httpfront

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/framing"
	"gorselink/internal/pool"
	"gorselink/internal/ring"
	"gorselink/internal/sock"
	"gorselink/internal/upstream"
)

// Times bound how long a connection may do nothing. The zero value has the
// platform's.
type Timeouts struct {
	// Hello is how long a connection may stand before its first request; who
	// says nothing is owed a close within 3 s. 2 s by default.
	Hello time.Duration
	// Request is what a request gets from its first byte to its last, for the
	// first one counted from when the connection came. By default it is what
	// is owed, 3 s, less time to answer; it bounds slow heads and stalled
	// bodies alike. 2.5 s by default.
	Request time.Duration
	// Idle is how long a connection may stand between requests. Callers may be
	// closed on after 2 s; most come again sooner, and a new connection costs
	// both sides more than an old one that waits. 10 s by default.
	Idle time.Duration
}

const (
	helloTime   = 2 * time.Second
	requestTime = 2500 * time.Millisecond
	idleTime    = 10 * time.Second
)

func (t Timeouts) orDefault() Timeouts {
	return Timeouts{Hello: cmp.Or(t.Hello, helloTime), Request: cmp.Or(t.Request, requestTime), Idle: cmp.Or(t.Idle, idleTime)}
}

const (
	// unread is how long a caller may leave its answer unread. It guards
	// against callers that stop reading, each of which would hold its
	// connection for good.
	unread = 3 * time.Second

	// lingerTime and lingerBytes bound the reading after a rejection. Closing
	// on bytes that still come would reset the connection and eat the answer;
	// a caller with 60 MB to send gets 6 s in all.
	lingerTime  = 3 * time.Second
	lingerBytes = 80 << 20

	// rejectPause slows a caller whose requests are turned away on one
	// connection again and again: it is answered in time, and leaves the
	// processor to the others. It would slow an honest caller that has been
	// given a wrong configuration, which has nothing to win from haste.
	rejectPause = 100 * time.Millisecond

	// roomWait is when a request may find room for its body again: most are
	// answered within it, and give theirs back.
	roomWait = 300 * time.Millisecond

	// callerBuffer is the kernel's receive buffer of a connection. Whole
	// bodies fit; left to itself it grows to megabytes under a caller that
	// sends at full speed, out of the same memory limit.
	callerBuffer = 64 << 10
)

// caller is one connection of a caller.
type caller struct {
	callers *Server
	conn    net.Conn
	intake  intake        // reads from conn
	in      *bufio.Reader // reads from intake
	look    *sock.Peeker
	peer    *sock.Poller
	born    time.Time
	asked   chan struct{} // told when the place is needed, so that a pause ends
	rejects int           // in a row
	resumed bool          // it was another process's, and has brought requests there
	pass    Handover      // that of the Callers at the last move
	req     Request       // the one that is being read or is out

	// Of the request that was read last.
	owed bool // its head has been read whole, and it has no answer yet
	sent bool // its pool has taken it, so that it may run

	// Of the request that is out.
	watch   *time.Timer // begins watchOut, which tells watched
	watches bool        // it has been set
	watched chan bool   // whether the caller has left
	early   atomic.Bool // bytes came before the answer, so that the connection ends with it
	streams bool        // its body is sent on while it comes
	outMu   sync.Mutex
	out     bool // what comes belongs to no request; guarded by outMu
	pool    *pool.Pool
	request *pool.Request
	reply   chan pool.Answer

	state state // guarded by Callers.mu, as are
	place ring.Link[*caller]

	// Who needs the place has asked for it, and settled is closed when the state changes.
	hurried bool
	settled chan struct{}
}

func newCaller(cs *Server, nc net.Conn) *caller {
	if tc, ok := nc.(*net.TCPConn); ok {
		tc.SetReadBuffer(callerBuffer)
	}
	remote := ""
	if cs.ForwardCallerIP {
		remote, _, _ = net.SplitHostPort(nc.RemoteAddr().String())
	}
	c := &caller{
		req:     Request{CallerIP: remote},
		callers: cs,
		conn:    nc,
		look:    sock.NewPeeker(nc),
		peer:    sock.NewPoller(nc),
		born:    time.Now(),
		asked:   make(chan struct{}, 1),
		watched: make(chan bool, 1),
		reply:   make(chan pool.Answer, 1),
	}
	c.intake.conn = nc
	c.in = bufio.NewReaderSize(&c.intake, framing.MaxHeadBytes)
	c.place.Of = c
	c.watch = time.AfterFunc(time.Hour, c.watchOut)
	c.watch.Stop()
	return c
}

// serve reads requests one by one and answers each.
func (c *caller) serve() {
	defer c.end()
	defer c.answerOwed()
	times := &c.callers.times
	wait, until, end := unproven, c.born.Add(times.Hello), c.born.Add(times.Request)
	if c.resumed {
		wait, until = idle, c.born.Add(times.Idle)
	}
	for first := true; c.await(wait, until); first = false {
		if !first || c.resumed {
			end = time.Now().Add(times.Request) // from its first byte on, also behind what was not served
		}
		served, goesOn := c.one(end)
		if !goesOn {
			return
		}
		if served {
			wait = idle
		}
		// One that only asked whether the sidecar is ready, or was turned
		// away, is no better than one that says nothing.
		until = time.Now().Add(times.Hello)
		if wait == idle {
			until = time.Now().Add(times.Idle)
		}
	}
}

// answerOwed is what every connection ends by, whatever ends it: a request whose head has
// been read whole is answered first. One request that meets a fault does not take all others
// with it, and has an answer too.
func (c *caller) answerOwed() {
	fault := recover()
	if fault != nil {
		slog.Error("a connection ended by a fault", "error", fault, "stack", string(debug.Stack()))
		defer func() {
			if again := recover(); again != nil {
				slog.Error("no answer after a fault", "error", again)
			}
		}()
		c.abandon()
	}
	if !c.owed {
		return
	}
	a := answer{status: http.StatusServiceUnavailable, retryAfter: roomWait} // nothing was done for it
	if c.sent {
		a = answer{status: http.StatusInternalServerError}
	}
	c.conn.SetWriteDeadline(time.Now().Add(unread))
	if a.write(c.conn, c.req.Method, false) == nil {
		endSending(c.conn)
		sock.Discard(c.conn, make([]byte, 4<<10)) // nobody else reads any more, or who does is not to be met
	}
}

// abandon ends the request that is out as a fault ends the connection.
func (c *caller) abandon() {
	if c.request == nil {
		return
	}
	c.setOut(false)
	if c.watches && !c.watch.Stop() {
		c.conn.SetReadDeadline(past)
		<-c.watched
	}
	c.pool.Withdraw(c.request)
}

// await waits for the first byte of a request and tells whether it has come.
func (c *caller) await(st state, until time.Time) bool {
	for {
		ends := c.move(st, until)
		if c.passOn() {
			return false
		}
		_, err := c.in.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if ends || !c.woken(st) {
			// A request that has come while the time ran out is whole, and counts as
			// taken. Under a deadline that has passed a read does not see it.
			c.conn.SetReadDeadline(time.Now().Add(lastLook))
			if !sock.HasPendingData(c.conn) {
				return false
			}
			_, err := c.in.Peek(1)
			return err == nil
		}
		// Woken by Drain or Ebb before its time, it has one last look, and by
		// PassOn it goes on elsewhere. Nothing of a request has been read then.
	}
}

// one reads and answers one request. It tells whether the request was taken
// and whether another may follow on the connection.
func (c *caller) one(end time.Time) (served, goesOn bool) {
	c.move(reading, end)
	c.sent = false
	head, err := framing.PeekHead(c.in)
	if err != nil {
		switch {
		case errors.Is(err, framing.ErrHeadTooLong):
			c.reject(http.StatusRequestHeaderFieldsTooLarge, err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.reject(http.StatusRequestTimeout, errors.New("the head did not come in time"))
		}
		return false, false
	}
	c.owed = true
	req := &c.req
	if err := req.ParseRequest(head); err != nil {
		c.reject(http.StatusBadRequest, err)
		return false, false
	}
	c.in.Discard(len(head))
	path, err := req.Path()
	if err != nil {
		c.reject(http.StatusBadRequest, err)
		return false, false
	}
	j := c.callers.judge
	if path == readyPath && req.Length == 0 {
		return false, c.give(req, answer{status: j.ReadyStatus()}, true)
	}
	p, wrong := j.Route(req)
	if wrong != nil {
		return false, c.turnAway(req, wrong.Status, wrong.Err)
	}
	if p.Pool.Full() {
		p.Pool.NoteFull()
		return false, c.full(req, p)
	}
	if err := c.expected(req, p.MaxBody); err != nil {
		c.reject(http.StatusExpectationFailed, err)
		return false, false
	}
	if req.Length < 0 || req.Length > int64(c.in.Buffered()) {
		c.intake.begin()
	}
	body, err := readBody(c.in, &req.Head, room{p.Pool.Bodies(), p.Pool.LongBodies(), p.Pool.Streams()}, p.MaxBody)
	if err != nil {
		c.intake.end()
		c.rejectBody(err)
		return false, false
	}
	if body != nil && body.rest != nil {
		return c.carry(req, p, body)
	}
	c.intake.end()
	if c.in.Buffered() > 0 {
		// Callers send one request at a time. What comes all at once is a
		// burst, or stood hidden behind the body of the first.
		body.release()
		c.reject(http.StatusBadRequest, errBehind)
		return false, false
	}
	return c.carry(req, p, body)
}

// rejectBody answers a request whose body could not be read.
func (c *caller) rejectBody(err error) {
	switch {
	case errors.Is(err, errBodyLong):
		c.reject(http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errBodyRoom):
		// Nothing has been sent for it, so trying again is harmless.
		c.reject(http.StatusServiceUnavailable, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, errors.New("the body did not come in time"))
	default:
		c.reject(http.StatusBadRequest, err)
	}
}

// full answers a request to a pool that has no room for it, at once: whoever
// waited here would hold a connection that another pool's callers may need.
func (c *caller) full(req *Request, p *Plan) (goesOn bool) {
	a := answer{status: http.StatusServiceUnavailable, text: pool.ErrFull.Error(), retryAfter: p.Pool.RetryAfter(), whole: p.Ordinary}
	if req.Length != 0 {
		c.rejectWith(a)
		return false
	}
	return c.give(req, a, true)
}

// expected answers an Expect field.
func (c *caller) expected(req *Request, maxBody int64) error {
	want := req.Fields.Get("Expect")
	if want == "" {
		return nil
	}
	if !strings.EqualFold(want, "100-continue") {
		return errors.New("Expect: want 100-continue or nothing")
	}
	if req.Length == 0 || req.Length > maxBody {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(unread))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// carry hands a whole request to its pool and gives the answer.
func (c *caller) carry(req *Request, p *Plan, b *body) (served, goesOn bool) {
	c.move(taken, time.Time{})
	if !p.isNew() {
		b.release()
		return false, c.turnAway(req, http.StatusConflict, errSeen)
	}
	c.streams = b != nil && b.rest != nil
	c.setOut(!c.streams)
	p, r, wrong := c.take(p, b)
	if wrong != nil {
		c.setOut(false)
		b.release()
		return false, c.give(req, *wrong, true)
	}
	defer p.Pool.Done(r)
	c.rejects, c.sent = 0, true
	c.pool, c.request, c.watches = p.Pool, r, false
	if r.Out.Upload != nil {
		return true, c.upload(req, p, r)
	}
	c.watches = true
	c.watch.Reset(watchAfter)
	p.Pool.Attempt(r)
	a := <-r.Answer()
	left := false
	c.setOut(false)
	quiet := c.watch.Stop() // nobody has watched
	if !quiet {
		c.conn.SetReadDeadline(past)
		left = <-c.watched
	}
	c.watches = false
	if quiet && c.look.State() == sock.DataPending {
		c.early.Store(true)
	}
	c.pool, c.request = nil, nil // an idle connection holds no body
	goesOn = c.give(req, answerOf(a, p), !left && !c.early.Load())
	if a.Up != nil {
		a.Up.Release()
	}
	return true, goesOn
}

// upload carries a request whose body is sent on while it comes, and tells
// whether another may follow on the connection.
func (c *caller) upload(req *Request, p *Plan, r *pool.Request) (goesOn bool) {
	u := r.Out.Upload
	answered := make(chan struct{})
	over := sync.OnceFunc(func() { close(answered) })
	defer over()
	go c.watchUpload(p.Pool, r, answered)
	p.Pool.Attempt(r)
	a := <-r.Answer()
	over()
	<-u.Done // an attempt may still read from the caller
	c.pool, c.request = nil, nil
	c.intake.end()
	if a.Up != nil {
		defer a.Up.Release()
	}
	switch err := u.Err(); {
	case err != nil:
		c.rejectBody(err)
		return false
	case !u.Sent(): // its node gave it up, or there was none
		c.rejectWith(answerOf(a, p))
		return false
	}
	return c.give(req, answerOf(a, p), true)
}

// watchAfter is how long a request may be out before its caller is watched for
// leaving. Most are answered within it and cost no wait of their own; what is
// lost is that much of the time in which a request whose caller has gone could
// be spared another attempt.
const watchAfter = 5 * time.Millisecond

// watchOut waits for the caller to go away while its request is out. Nothing should come
// before the answer. What does is of no use, as callers send one request at a time, and
// hides a close behind it: it is read and dropped, or one early byte would keep a request
// going whose caller has left. The answer ends the wait.
func (c *caller) watchOut() {
	left := c.awaitLeave()
	if left {
		c.pool.Withdraw(c.request)
	}
	c.watched <- left
}

const (
	// dropBurst is what of a caller's early bytes is dropped without a pause, and
	// dropPiece what is between two pauses then: a caller that floods costs some per
	// cent of a core, and one that has filled its socket's buffers and left is seen to
	// have in a moment.
	dropBurst  = 1 << 20
	dropPiece  = 64 << 10
	earlyPause = time.Millisecond
)

// awaitLeave tells whether the caller has left before a read deadline ends the wait.
func (c *caller) awaitLeave() bool {
	_, err := c.in.Peek(1)
	if err == nil {
		c.early.Store(true)
		buf := scratch.Get().(*[]byte)
		defer scratch.Put(buf)
		for n, next := 0, dropBurst; err == nil; {
			var k int
			k, err = c.in.Read(*buf)
			if n += k; n >= next {
				next = n + dropPiece
				time.Sleep(earlyPause)
			}
		}
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Left implements pool.Caller.
func (c *caller) Left() bool {
	switch c.peer.State() {
	case sock.Closed:
		return true
	case sock.DataPending:
		return !c.streams && c.leftBehind()
	}
	return false
}

const (
	// earlyFew is how many early bytes surely left room for an end behind them.
	earlyFew = 4 << 10
	// earlyRounds bounds how often early bytes are dropped before who goes on sending
	// them is given up: 32 MB or more, in half a second or more.
	earlyRounds = 500
)

// leftBehind tells whether the caller has left behind bytes that came too early. An end
// behind more than the buffer of the connection holds does not show before they are read.
// They are dropped here, as who watches for the end may not have got to run.
func (c *caller) leftBehind() bool {
	for range earlyRounds {
		dropped, out := c.dropEarly()
		if !out || c.peer.State() == sock.Closed {
			return true
		}
		if dropped < earlyFew {
			return false
		}
		time.Sleep(earlyPause) // for what the room that there is now lets come
	}
	return true
}

// dropEarly reads what has come too early, unless the request is not out any more and
// what comes may be the next one.
func (c *caller) dropEarly() (dropped int, out bool) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if !c.out {
		return 0, false
	}
	buf := scratch.Get().(*[]byte)
	defer scratch.Put(buf)
	if dropped = sock.Discard(c.conn, *buf); dropped > 0 {
		c.early.Store(true)
	}
	return dropped, true
}

// setOut tells whether a request is out whose body has come whole.
func (c *caller) setOut(out bool) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	c.out = out
}

// uploadLook is how often a caller is looked at whose body waits to be sent on, or is.
const uploadLook = 25 * time.Millisecond

// watchUpload withdraws a request that streams once its caller has left, until it is
// answered. Its bytes are the attempt's to read, so that only a look at the socket tells.
func (c *caller) watchUpload(p *pool.Pool, r *pool.Request, answered <-chan struct{}) {
	tick := time.NewTicker(uploadLook)
	defer tick.Stop()
	for {
		select {
		case <-answered:
			return
		case <-tick.C:
		}
		if c.peer.State() == sock.Closed {
			r.Out.Upload.Abort()
			p.Withdraw(r)
			return
		}
	}
}

// coming tells whether the end of the body that is being read is surely still to come:
// nothing of it waits here. What waits may end with the last byte, or there is as much
// behind it as the buffers on the way hold.
func (c *caller) coming() bool { return c.in.Buffered() == 0 && !sock.HasPendingData(c.conn) }

// mostAnew bounds how often a request is judged anew: each time its pool has
// been replaced in the moment since it was judged.
const mostAnew = 4

// take hands the request to its pool, or to the one that has taken its place
// meanwhile. It tells how the request is answered if none takes it.
func (c *caller) take(p *Plan, b *body) (*Plan, *pool.Request, *answer) {
	for tries := 0; ; tries++ {
		r := &pool.Request{
			Class:  p.Class,
			Tenant: p.Tenant,
			Budget: c.callers.left(p.Budget),
			Again:  p.Repeat,
			Out:    p.Upstream,
			Name:   p.id,
			Reply:  c.reply,
			Caller: c,
		}
		switch {
		case b != nil && b.rest != nil:
			over := make(chan struct{})
			r.Out.Upload = &upstream.Upload{Buffered: b.data, Remaining: &presentBody{c, b.rest}, Length: c.req.Length, Done: over, Incomplete: c.coming}
			r.Over = func() { b.release(); close(over) }
		case b != nil:
			r.Out.Body, r.Over = b.data, b.release
		}
		err := p.Pool.Take(r)
		if err == nil {
			return p, r, nil
		}
		if !errors.Is(err, pool.ErrRetired) || p.judged == nil || tries == mostAnew {
			return nil, nil, &answer{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: p.Pool.RetryAfter(), whole: p.Ordinary}
		}
		next, wrong := p.judged.plan()
		if wrong != nil {
			return nil, nil, &answer{status: wrong.Status, text: wrong.Err.Error()}
		}
		p = next
	}
}

// turnAway answers a request that cannot be used. If nothing else comes with
// it the connection goes on.
func (c *caller) turnAway(req *Request, status int, why error) (goesOn bool) {
	if req.Length != 0 || c.in.Buffered() > 0 || req.Close {
		c.reject(status, why)
		return false
	}
	goesOn = c.pause()
	return c.give(req, answer{status: status, text: why.Error()}, goesOn)
}

// pause holds back the answer to the second and later of a row of rejections. It tells
// whether the connection may go on, which it does not where its place is needed.
func (c *caller) pause() (goesOn bool) {
	c.rejects++
	if c.rejects < 2 {
		return true
	}
	c.move(rejected, time.Time{})
	select {
	case <-c.asked:
		return false
	case <-time.After(rejectPause):
		return true
	}
}

// reject answers what cannot be read further; the connection ends.
func (c *caller) reject(status int, why error) {
	a := answer{status: status, text: why.Error()}
	if status == http.StatusServiceUnavailable {
		a.retryAfter = roomWait
	}
	c.rejectWith(a)
}

func (c *caller) rejectWith(a answer) {
	if c.write(a, "", false) == nil {
		c.linger()
	}
}

// write writes the one answer that the request has.
func (c *caller) write(a answer, method string, keep bool) error {
	if a.streams() {
		c.owed = false // from the first piece on
	}
	c.conn.SetWriteDeadline(time.Now().Add(unread))
	err := a.write(c.conn, method, keep)
	c.owed = false
	return err
}

// linger reads on until the caller had time to see the last answer.
func (c *caller) linger() {
	c.move(rejected, time.Now().Add(lingerTime))
	endSending(c.conn)
	buf := scratch.Get().(*[]byte)
	defer scratch.Put(buf)
	for n := 0; n < lingerBytes; {
		k, err := c.in.Read(*buf)
		n += k
		if err != nil {
			sock.Discard(c.conn, *buf) // its place may be needed; what waits must not eat the answer
			return
		}
	}
}

// scratch holds buffers for bytes that nobody wants.
var scratch = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// give writes an answer and tells whether another request may follow. Where none may, and
// bytes came before the answer, it reads on: a close on them would eat the answer.
func (c *caller) give(req *Request, a answer, goesOn bool) bool {
	goesOn = goesOn && !req.Close && req.Minor > 0 && c.in.Buffered() == 0 && !c.ending()
	early := !goesOn && (c.early.Load() || c.in.Buffered() > 0 || c.peer.State() == sock.DataPending)
	if c.write(a, req.Method, goesOn) != nil {
		return false
	}
	if early {
		c.linger()
	}
	return goesOn
}
