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
	responseDue bool  // its head has been read and no response has been written
	mayHaveRun  bool  // a pool has taken it, so an endpoint may have run it
	writeError  error // why its response could not be written completely

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
	memory, ok := c.server.reserveHead(head)
	defer memory.Release()
	if !ok {
		c.reject(http.StatusServiceUnavailable, errNoHeadMemory)
		return false, false
	}
	req := &c.req
	defer func() { req.Head = http1.Head{Method: req.Method} }() // an idle connection holds no head
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
