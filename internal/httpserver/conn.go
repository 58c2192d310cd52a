package httpserver

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

	"gorselink/internal/http1"
	"gorselink/internal/linkedlist"
	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
	"gorselink/internal/upstream"
)

// Timeouts bound how long a connection may be inactive. A zero field selects its
// default.
type Timeouts struct {
	// Hello bounds the wait for the first request on a connection. The platform expects
	// a silent connection to be closed within 3 s. The default is 2 s.
	Hello time.Duration
	// Request bounds the time from the first byte of a request to its last, and so
	// limits slow heads and stalled bodies. For the first request it starts when the
	// connection is accepted. The default is 2.5 s, which leaves time to respond within
	// the 3 s that the platform expects.
	Request time.Duration
	// Idle bounds the time between two requests. A waiting connection costs both sides
	// less than a new one. The default is 10 s.
	Idle time.Duration
}

const (
	helloTimeout   = 2 * time.Second
	requestTimeout = 2500 * time.Millisecond
	idleTimeout    = 10 * time.Second
)

func (t Timeouts) withDefaults() Timeouts {
	return Timeouts{Hello: cmp.Or(t.Hello, helloTimeout), Request: cmp.Or(t.Request, requestTimeout), Idle: cmp.Or(t.Idle, idleTimeout)}
}

const (
	// writeTimeout bounds the write of a response. Without it, a caller that stops
	// reading would hold its connection forever.
	writeTimeout = 3 * time.Second

	// lingerTimeout and maxLingerBytes bound what is read after the last response.
	// Closing a connection with unread input resets it, and the caller may lose the
	// response.
	lingerTimeout  = 3 * time.Second
	maxLingerBytes = 80 << 20

	// rejectionDelay slows down a caller after repeated rejections of its requests on one
	// connection, so that it leaves the processor to other callers.
	rejectionDelay = 100 * time.Millisecond

	// overloadRetryAfter is the Retry-After of a request that is rejected for lack of
	// memory or connections; most open requests end within it.
	overloadRetryAfter = 300 * time.Millisecond

	// receiveBufferBytes is the size of the kernel's receive buffer of a connection.
	// Without a limit it grows to megabytes, which count against the process's memory
	// limit.
	receiveBufferBytes = 64 << 10
)

// callerConn is one connection of a caller.
type callerConn struct {
	server          *Server
	conn            net.Conn
	paced           pacedReader   // reads from conn
	in              *bufio.Reader // reads from paced
	socket          *socketstate.Peeker
	peer            *socketstate.Poller
	acceptedAt      time.Time
	closeSignal     chan struct{} // receives a value when the connection is asked to close
	rejectionsInRow int           // since a pool last took a request
	resumed         bool          // handed over by another process, where it has served requests
	handover        Handover      // the server's handover when the state was last set
	req             Request       // the request that is being read or is open

	// State of the request that was read last.
	responseDue bool // its head has been read and no response has been written
	mayHaveRun  bool // a pool has taken it, so an endpoint may have run it

	// State of the open request.
	watchTimer   *time.Timer // starts watchCaller, which sends on callerLeft
	watchStarted bool        // watchTimer has been started
	callerLeft   chan bool   // whether the caller has closed its connection
	earlyBytes   atomic.Bool // bytes arrived before the response; the connection closes after it
	streamsBody  bool        // its body is forwarded while it arrives
	discardMu    sync.Mutex
	discardInput bool // input belongs to no request; guarded by discardMu
	pool         *pool.Pool
	request      *pool.Request
	reply        chan pool.Response

	state      connState // guarded by server.mu, as are the fields below
	stateSince time.Time // when the state was entered
	entry      linkedlist.Link[*callerConn]

	// closeRequested is set by requestClose; closeHandled is closed when the state
	// changes.
	closeRequested bool
	closeDelayed   bool // it is asked to close after gracePeriod unless its state changes
	closeHandled   chan struct{}
	abort          func() // ends the open request in stateCallerGone
}

func newCallerConn(s *Server, nc net.Conn) *callerConn {
	if tc, ok := nc.(*net.TCPConn); ok {
		tc.SetReadBuffer(receiveBufferBytes)
	}
	callerIP := ""
	if s.ForwardCallerIP {
		callerIP, _, _ = net.SplitHostPort(nc.RemoteAddr().String())
	}
	c := &callerConn{
		req:         Request{CallerIP: callerIP},
		server:      s,
		conn:        nc,
		socket:      socketstate.NewPeeker(nc),
		peer:        socketstate.NewPoller(nc),
		acceptedAt:  time.Now(),
		closeSignal: make(chan struct{}, 1),
		callerLeft:  make(chan bool, 1),
		reply:       make(chan pool.Response, 1),
	}
	c.paced.conn = nc
	c.in = bufio.NewReaderSize(&c.paced, http1.MaxHeadBytes)
	c.entry.Value = c
	c.watchTimer = time.AfterFunc(time.Hour, c.watchCaller)
	c.watchTimer.Stop()
	return c
}

// serve reads requests and responds to them until the connection closes.
func (c *callerConn) serve() {
	defer c.close()
	defer c.respondOnExit()
	timeouts := &c.server.timeouts
	waitState, waitDeadline, requestDeadline := stateUnused, c.acceptedAt.Add(timeouts.Hello), c.acceptedAt.Add(timeouts.Request)
	if c.resumed {
		waitState, waitDeadline = stateIdle, c.acceptedAt.Add(timeouts.Idle)
	}
	for first := true; c.awaitRequest(waitState, waitDeadline); first = false {
		if !first || c.resumed {
			requestDeadline = time.Now().Add(timeouts.Request) // from the first byte on
		}
		served, keepAlive := c.serveRequest(requestDeadline)
		if !keepAlive {
			return
		}
		if served {
			waitState = stateIdle
		}
		// A connection that brought only readiness checks and rejected requests is
		// limited like one without requests.
		waitDeadline = time.Now().Add(timeouts.Hello)
		if waitState == stateIdle {
			waitDeadline = time.Now().Add(timeouts.Idle)
		}
	}
}

// respondOnExit runs whenever a connection ends. If a request head has been read but
// no response has been written, it writes an error response. It recovers from a panic,
// so that a panic on one connection does not end the process.
func (c *callerConn) respondOnExit() {
	cause := recover()
	if cause != nil {
		slog.Error("panic while serving a connection; closing it after an error response if one is due", "error", cause, "stack", string(debug.Stack()))
		defer func() {
			if second := recover(); second != nil {
				slog.Error("panic while handling an earlier panic on a connection; closing it without a response", "error", second)
			}
		}()
		c.cancelRequest()
	}
	if !c.responseDue {
		return
	}
	resp := response{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter} // no endpoint has received it
	if c.mayHaveRun {
		resp = response{status: http.StatusInternalServerError}
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if resp.write(c.conn, c.req.Method, false) == nil {
		closeWrite(c.conn)
		socketstate.Discard(c.conn, make([]byte, 4<<10)) // unread input would make the close a reset
	}
}

// cancelRequest cancels the open request in its pool after a panic.
func (c *callerConn) cancelRequest() {
	if c.request == nil {
		return
	}
	c.setDiscardInput(false)
	if c.watchStarted && !c.watchTimer.Stop() {
		c.conn.SetReadDeadline(expiredDeadline)
		<-c.callerLeft
	}
	c.pool.Cancel(c.request)
}

// awaitRequest waits for the first byte of a request and reports whether it has arrived.
func (c *callerConn) awaitRequest(st connState, deadline time.Time) bool {
	for {
		closes := c.setState(st, deadline)
		if c.handOver() {
			return false
		}
		_, err := c.in.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if closes || !c.wasWoken(st) {
			// A request may have arrived just before the deadline. It must be served,
			// but a read after the deadline does not return it.
			c.conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
			if !socketstate.HasPendingData(c.conn) {
				return false
			}
			_, err := c.in.Peek(1)
			return err == nil
		}
		// Drain, SetCloseIdle or SetHandover has interrupted the wait. No byte of a
		// request has been read, so the next round makes a final read or hands the
		// connection over.
	}
}

// serveRequest reads one request and writes its response. It reports whether a pool took the request
// and whether another may follow on the connection.
func (c *callerConn) serveRequest(deadline time.Time) (served, keepAlive bool) {
	c.setState(stateReading, deadline)
	c.mayHaveRun = false
	head, err := http1.PeekHead(c.in)
	if err != nil {
		switch {
		case errors.Is(err, http1.ErrHeadTooLong):
			c.reject(http.StatusRequestHeaderFieldsTooLarge, err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.reject(http.StatusRequestTimeout, errors.New("the request head did not arrive in time"))
		}
		return false, false
	}
	c.responseDue = true
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
	router := c.server.router
	if path == readyPath && req.Length == 0 {
		return false, c.respond(req, response{status: router.ReadyStatus()}, true)
	}
	p, rejection := router.Route(req)
	if rejection != nil {
		return false, c.rejectRequest(req, rejection.Status, rejection.Err)
	}
	if p.Pool.Full() {
		p.Pool.CountFull()
		return false, c.rejectFull(req, p)
	}
	if !c.server.hasRoom() {
		c.rejectWith(noRoomResponse(p))
		return false, false
	}
	if err := c.handleExpect(req, p.MaxBody); err != nil {
		c.reject(http.StatusExpectationFailed, err)
		return false, false
	}
	if req.Length < 0 || req.Length > int64(c.in.Buffered()) {
		c.paced.startBody()
	}
	body, err := readBody(c.in, &req.Head, bodyMemory{p.Pool.BodyBudget(), p.Pool.LongBodyBudget(), p.Pool.StreamingEnabled()}, p.MaxBody)
	if err != nil {
		c.paced.endBody()
		c.rejectBody(err)
		return false, false
	}
	if body != nil && body.rest != nil {
		return c.forward(req, p, body)
	}
	c.paced.endBody()
	if c.in.Buffered() > 0 {
		// Pipelined requests are not supported. Further bytes may also be a smuggled
		// request.
		body.release()
		c.reject(http.StatusBadRequest, errUnexpectedBytes)
		return false, false
	}
	return c.forward(req, p, body)
}

// rejectBody rejects a request whose body could not be read.
func (c *callerConn) rejectBody(err error) {
	switch {
	case errors.Is(err, errBodyTooLong):
		c.reject(http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errNoBodyMemory):
		// No endpoint has received the request, so a retry is harmless.
		c.reject(http.StatusServiceUnavailable, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, errors.New("the request body did not arrive in time"))
	default:
		c.reject(http.StatusBadRequest, err)
	}
}

// rejectFull rejects a request to a pool that has no capacity for it. The request does
// not wait, because callers of another pool may need its connection.
func (c *callerConn) rejectFull(req *Request, p *Plan) (keepAlive bool) {
	resp := response{status: http.StatusServiceUnavailable, text: pool.ErrFull.Error(), retryAfter: p.Pool.RetryAfter(), wholeSeconds: p.Ordinary}
	if req.Length != 0 {
		c.rejectWith(resp)
		return false
	}
	return c.respond(req, resp, true)
}

// noRoomResponse is the response to a request for which there is no room beside those of other
// connections. No endpoint has received it, so a retry is harmless.
func noRoomResponse(p *Plan) response {
	return response{status: http.StatusServiceUnavailable, text: errNoRoom.Error(), retryAfter: overloadRetryAfter, wholeSeconds: p.Ordinary}
}

// errNoRoom means that all connections have an open request.
var errNoRoom = errors.New("too many connections have open requests")

// handleExpect checks the Expect field and sends 100 Continue if the body is wanted.
func (c *callerConn) handleExpect(req *Request, maxBody int64) error {
	want := req.Fields.Get("Expect")
	if want == "" {
		return nil
	}
	if !strings.EqualFold(want, "100-continue") {
		return errors.New("Expect: only 100-continue is supported")
	}
	if req.Length == 0 || req.Length > maxBody {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// forward hands a request to its pool and writes the response.
func (c *callerConn) forward(req *Request, p *Plan, b *requestBody) (served, keepAlive bool) {
	if !c.activate() {
		b.release()
		c.paced.endBody()
		c.rejectWith(noRoomResponse(p))
		return false, false
	}
	if !p.recordID() {
		b.release()
		return false, c.rejectRequest(req, http.StatusConflict, errDuplicateID)
	}
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
	defer p.Pool.Done(r)
	c.rejectionsInRow, c.mayHaveRun = 0, true
	c.pool, c.request, c.watchStarted = p.Pool, r, false
	if r.Outgoing.Upload != nil {
		return true, c.forwardUpload(req, p, r)
	}
	c.watchStarted = true
	c.watchTimer.Reset(watchDelay)
	p.Pool.RunFirstAttempt(r)
	a := <-r.Response()
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
	keepAlive = c.respond(req, responseFor(a, p), !left && !c.earlyBytes.Load())
	if a.Upstream != nil {
		a.Upstream.Release()
	}
	return true, keepAlive
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

// watchDelay is how long a request is open before its caller is watched for a
// disconnect. Most requests get their response within it and need no watching
// goroutine.
const watchDelay = 5 * time.Millisecond

// watchCaller waits for the caller to disconnect while its request is open. Input that
// arrives before the response is discarded, because a close may follow it. The response
// ends the wait.
func (c *callerConn) watchCaller() {
	left := c.awaitDisconnect()
	if left {
		c.pool.Cancel(c.request)
		c.setCallerGone(c.pool, c.request)
	}
	c.callerLeft <- left
}

const (
	// Input that arrives before the response is discarded at full speed up to
	// discardBurst bytes; from then on a discardPause follows every discardStep bytes.
	// This bounds the processor time that a flooding caller costs to some per cent of a core. A
	// caller that has filled the buffers of its connection and disconnected is noticed at once.
	discardBurst = 1 << 20
	discardStep  = 64 << 10
	discardPause = time.Millisecond
)

// awaitDisconnect waits for the caller to disconnect or a read deadline to expire, and
// reports whether the caller has disconnected.
func (c *callerConn) awaitDisconnect() bool {
	_, err := c.in.Peek(1)
	if err == nil {
		c.earlyBytes.Store(true)
		buf := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buf)
		for n, next := 0, discardBurst; err == nil; {
			var k int
			k, err = c.in.Read(*buf)
			if n += k; n >= next {
				next = n + discardStep
				time.Sleep(discardPause)
			}
		}
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Disconnected implements pool.Caller.
func (c *callerConn) Disconnected() bool {
	switch c.peer.State() {
	case socketstate.Closed:
		return true
	case socketstate.DataPending:
		if c.streamsBody {
			return c.leftBehindBody()
		}
		return c.leftAfterEarlyBytes()
	}
	return false
}

// leftBehindBody reports whether the caller of a streamed request has disconnected behind the
// part of the body that has arrived. A close behind more bytes than the receive buffer and
// maxReadAheadBytes hold is not visible.
func (c *callerConn) leftBehindBody() bool {
	for range maxReadAheadBytes / closeVisibleBytes {
		if c.paced.readAhead() < closeVisibleBytes {
			break
		}
		if c.peer.State() == socketstate.Closed {
			return true
		}
		time.Sleep(discardPause) // for input that now fits the receive buffer
	}
	return c.peer.State() == socketstate.Closed
}

const (
	// closeVisibleBytes is a number of unread bytes that leaves room in the receive
	// buffer for a close behind them.
	closeVisibleBytes = 4 << 10
	// maxDiscardRounds bounds how often early input is discarded before a caller that
	// keeps sending counts as disconnected, which takes half a second or more.
	maxDiscardRounds = 500
)

// leftAfterEarlyBytes reports whether the caller has disconnected after sending bytes
// before the response. A close behind a full receive buffer is visible only once the
// bytes have been read. They are discarded here, because watchCaller may not have run.
func (c *callerConn) leftAfterEarlyBytes() bool {
	for range maxDiscardRounds {
		discarded, requestOpen := c.discardEarlyBytes()
		if !requestOpen || c.peer.State() == socketstate.Closed {
			return true
		}
		if discarded < closeVisibleBytes {
			return false
		}
		time.Sleep(discardPause) // for input that now fits the receive buffer
	}
	return true
}

// discardEarlyBytes discards input that has arrived before the response. If no request
// is open, it discards nothing, because the input may be the next request.
func (c *callerConn) discardEarlyBytes() (discarded int, requestOpen bool) {
	c.discardMu.Lock()
	defer c.discardMu.Unlock()
	if !c.discardInput {
		return 0, false
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if discarded = socketstate.Discard(c.conn, *buf); discarded > 0 {
		c.earlyBytes.Store(true)
	}
	return discarded, true
}

// setDiscardInput sets whether input belongs to no request. This is the case while a
// request is open and its whole body has been read.
func (c *callerConn) setDiscardInput(discard bool) {
	c.discardMu.Lock()
	defer c.discardMu.Unlock()
	c.discardInput = discard
}

// uploadPollInterval is how often a caller is checked for a disconnect while its body is
// forwarded.
const uploadPollInterval = 25 * time.Millisecond

// watchUpload cancels a streamed request if its caller disconnects before the
// response, and reports whether it has. It polls the socket, because only an attempt may wait for
// input. Until one does, the body is read ahead, which makes a close behind it visible.
func (c *callerConn) watchUpload(p *pool.Pool, r *pool.Request, responded <-chan struct{}) (left bool) {
	tick := time.NewTicker(uploadPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-responded:
			return false
		case <-tick.C:
		}
		c.paced.readAhead()
		if c.peer.State() == socketstate.Closed {
			r.Outgoing.Upload.Abort()
			p.Cancel(r)
			c.setCallerGone(p, r)
			return true
		}
	}
}

// bodyEndPending reports whether the end of the body is known not to have arrived. That is
// so if there is no unread input, which could include the end.
func (c *callerConn) bodyEndPending() bool {
	return c.in.Buffered() == 0 && !c.paced.hasReadAhead() && !socketstate.HasPendingData(c.conn)
}

// maxReroutes bounds how often a request is routed again because its pool was replaced
// in the meantime.
const maxReroutes = 4

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
		err := p.Pool.Submit(r)
		if err == nil {
			return p, r, nil
		}
		if !errors.Is(err, pool.ErrRetired) || p.routed == nil || tries == maxReroutes {
			return nil, nil, &response{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: p.Pool.RetryAfter(), wholeSeconds: p.Ordinary}
		}
		next, rejection := p.routed.plan()
		if rejection != nil {
			return nil, nil, &response{status: rejection.Status, text: rejection.Err.Error()}
		}
		p = next
	}
}

// rejectRequest rejects a request that cannot be served. The connection stays open
// unless more input follows the request.
func (c *callerConn) rejectRequest(req *Request, status int, reason error) (keepAlive bool) {
	if req.Length != 0 || c.in.Buffered() > 0 || req.Close {
		c.reject(status, reason)
		return false
	}
	keepAlive = c.delayRejection()
	return c.respond(req, response{status: status, text: reason.Error()}, keepAlive)
}

// delayRejection delays the second and later of consecutive rejections. It reports
// whether the connection may stay open, which it may not once it has been asked to
// close.
func (c *callerConn) delayRejection() (keepAlive bool) {
	c.rejectionsInRow++
	if c.rejectionsInRow < 2 {
		return true
	}
	c.setState(stateRejected, time.Time{})
	select {
	case <-c.closeSignal:
		return false
	case <-time.After(rejectionDelay):
		return true
	}
}

// reject rejects a request that cannot be read further, and ends the connection.
func (c *callerConn) reject(status int, reason error) {
	resp := response{status: status, text: reason.Error()}
	if status == http.StatusServiceUnavailable {
		resp.retryAfter = overloadRetryAfter
	}
	c.rejectWith(resp)
}

func (c *callerConn) rejectWith(resp response) {
	if c.write(resp, "", false) == nil {
		c.linger()
	}
}

// write writes the one response to the request.
func (c *callerConn) write(resp response, method string, keepAlive bool) error {
	if resp.streams() {
		c.responseDue = false // a response that has begun cannot be replaced
		c.keepUntilWritten()
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := resp.write(c.conn, method, keepAlive)
	c.responseDue = false
	return err
}

// linger discards input until the caller has had time to read the last response.
func (c *callerConn) linger() {
	c.setState(stateRejected, time.Now().Add(lingerTimeout))
	closeWrite(c.conn)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for n := 0; n < maxLingerBytes; {
		k, err := c.in.Read(*buf)
		n += k
		if err != nil {
			socketstate.Discard(c.conn, *buf) // unread input would make the close a reset and lose the response
			return
		}
	}
}

// copyBuffers holds buffers for discarded input and streamed responses.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// respond writes a response and reports whether another request may follow. If none may
// and there is unread input, it lingers, because closing would reset the connection and
// lose the response.
func (c *callerConn) respond(req *Request, resp response, keepAlive bool) bool {
	keepAlive = keepAlive && !req.Close && req.Minor > 0 && c.in.Buffered() == 0 && !c.shouldCloseIdle()
	early := !keepAlive && (c.earlyBytes.Load() || c.in.Buffered() > 0 || c.peer.State() == socketstate.DataPending)
	if c.write(resp, req.Method, keepAlive) != nil {
		return false
	}
	if early {
		c.linger()
	}
	return keepAlive
}
