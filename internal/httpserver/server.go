// Package httpserver accepts HTTP/1.1 connections from callers. It reads and checks
// requests, forwards each valid one to the pool that a Router selects, and writes
// exactly one response.
package httpserver

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/bytebudget"
	"gorselink/internal/linkedlist"
)

// Server holds the connections of callers, up to a maximum. At the maximum it closes a
// connection without an open request to make room. If there is none, it admits up to
// ExtraConns more, whose requests are read and rejected. This
// keeps file descriptors available for connections to endpoints.
type Server struct {
	ForwardCallerIP bool // requests carry their caller's IP address

	router   Router
	timeouts Timeouts

	headMemory bytebudget.Budget // see SetHeadMemory

	mu               sync.Mutex
	maxConns         int
	extraConns       int // connections beyond maxConns, for requests that are rejected
	openConns        int
	closing          int                                      // connections asked to close
	closeDelayed     int                                      // connections that are asked to close after gracePeriod
	keptConns        int                                      // connections that were open beyond maxConns when it was lowered
	limitStats       limitStats                               // since the last Report
	conns            [stateCount]linkedlist.List[*callerConn] // by state, the longest in that state first
	trimScheduled    bool                                     // connections beyond maxConns are closed after gracePeriod
	draining         bool                                     // connections close once no request is open on them
	closeIdle        bool                                     // connections that have served a request close when idle
	handover         Handover                                 // takes over connections without an open request; nil for none
	responseDeadline time.Time                                // every response is due by then; zero for none
	readingStopped   bool                                     // no further requests are read
	drained          chan struct{}                            // receives a value when draining and no connection is left
}

// NewServer returns a Server for at most maxConns connections. Their requests are routed
// by router.
func NewServer(router Router, maxConns int, timeouts Timeouts) *Server {
	s := &Server{router: router, maxConns: maxConns, extraConns: ExtraConns, timeouts: timeouts.withDefaults(), drained: make(chan struct{}, 1)}
	s.SetHeadMemory(defaultHeadMemory)
	return s
}

// SetMaxConns changes the maximum number of connections. Excess connections close as new
// ones arrive; until then their requests are served.
func (s *Server) SetMaxConns(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
	s.keptConns = max(0, s.openConns-maxConns)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openConns
}

// OpenRequests counts the requests of a Server that have no complete response yet.
type OpenRequests struct {
	Active   int // received
	Arriving int // received in part
}

// OpenRequests returns the number of requests that have no complete response yet.
func (s *Server) OpenRequests() OpenRequests {
	s.mu.Lock()
	defer s.mu.Unlock()
	return OpenRequests{
		Active:   s.conns[stateActive].Len() + s.conns[stateCallerGone].Len(),
		Arriving: s.conns[stateReading].Len(),
	}
}

// Serve accepts connections from l until l is closed.
func (s *Server) Serve(l net.Listener) error { return Accept(l, s.HandleConn) }

// Accept passes each connection accepted from l to handle, until l is closed.
func Accept(l net.Listener, handle func(net.Conn)) error { return acceptloop.Serve(l, handle) }

// HandleConn admits a connection and serves it in a new goroutine.
func (s *Server) HandleConn(nc net.Conn) {
	if c := s.admit(nc, nil); c != nil {
		go c.serve()
	}
}

// closeWrite closes the sending side of c.
func closeWrite(c net.Conn) {
	if tc, ok := c.(interface{ CloseWrite() error }); ok {
		tc.CloseWrite()
	}
}

const (
	// missedDeadlineThreshold is how late the end of a drain is noticed if the process was not
	// scheduled at its deadline. It is no less than the time that programs keep between the
	// deadline and the time at which they may be killed.
	missedDeadlineThreshold = 20 * time.Millisecond
	// missedDeadlinePeriod is how long connections are then still drained.
	missedDeadlinePeriod = 200 * time.Millisecond
)

// BeginDrain closes connections once no request is open on them. It does not wait for them.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginDrainLocked()
}

// beginDrainLocked is BeginDrain; s.mu must be held.
func (s *Server) beginDrainLocked() {
	s.draining = true
	s.wake(stateUnused)
	s.wake(stateIdle)
}

// Drain closes connections once no request is open on them, and waits until none is left
// or the deadline has passed. It must not be called by two goroutines at once. New connections are still served; call Drain again after
// the listener is closed to wait for the last of them.
//
// If the process was not scheduled at the deadline, the responses that were due before it are
// not written yet. Drain then waits for missedDeadlinePeriod more.
func (s *Server) Drain(deadline time.Time) {
	defer s.Report() // the process may end before the next call
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginDrainLocked()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for extended := false; s.openConns > 0; {
		s.mu.Unlock()
		timedOut := false
		select {
		case <-s.drained:
		case <-timer.C:
			timedOut = true
		}
		s.mu.Lock()
		switch {
		case timedOut && !extended && time.Since(deadline) > missedDeadlineThreshold:
			extended = true
			timer.Reset(missedDeadlinePeriod)
		case timedOut:
			return
		}
	}
}

// SetCloseIdle sets whether connections that have served a request close when idle. New
// connections are still accepted, and readiness checks still get responses.
func (s *Server) SetCloseIdle(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle = on
	if on {
		s.wake(stateIdle)
	}
}

// wake interrupts the waits of connections in a state, so that they read what has
// arrived and close; s.mu must be held.
func (s *Server) wake(st connState) {
	for e := s.conns[st].Front(); e != nil; e = s.conns[st].Next(e) {
		e.Value.conn.SetReadDeadline(expiredDeadline)
	}
}

// shouldClose reports whether connections in a state are to close; s.mu must be held.
func (s *Server) shouldClose(st connState) bool {
	if s.handover != nil {
		return false
	}
	return st == stateIdle && (s.draining || s.closeIdle) || st == stateUnused && s.draining
}

// Handover takes over a caller's connection and the bytes already read from it.
type Handover func(c net.Conn, ahead []byte) error

// SetHandover hands each connection to handover once no request is open on it.
// Connections stay if handover fails or is nil.
func (s *Server) SetHandover(handover Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover = handover
	if handover != nil || s.draining {
		s.wake(stateUnused)
		s.wake(stateIdle)
	}
}

// handOver hands over c, which is between two requests, if a handover is set. It reports
// whether c has been taken over.
func (c *callerConn) handOver() bool {
	if c.handover == nil {
		return false
	}
	ahead, _ := c.in.Peek(c.in.Buffered())
	if err := c.handover(c.conn, ahead); err != nil {
		slog.Warn("handing over a caller connection failed; all remaining connections stay in this process", "error", err)
		c.server.SetHandover(nil)
		return false
	}
	return true
}

// Resume serves a connection that another Server has handed over.
func (s *Server) Resume(nc net.Conn, ahead []byte) {
	if c := s.admit(nc, ahead); c != nil {
		if len(ahead) > 0 {
			c.in.Reset(io.MultiReader(bytes.NewReader(ahead), &c.paced))
		}
		c.resumed = true
		go c.serve()
	}
}

// SetResponseDeadline sets the time by which requests taken from now on must have
// their responses.
func (s *Server) SetResponseDeadline(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDeadline = deadline
}

// remainingBudget returns budget, limited to the time until the response deadline if one
// is set.
func (s *Server) remainingBudget(budget time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responseDeadline.IsZero() {
		return budget
	}
	return max(0, min(budget, time.Until(s.responseDeadline)))
}

// StopReading ends the reading of requests. A request that has not fully arrived gets an
// error response, and input after a last response is no longer discarded.
func (s *Server) StopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingStopped = true
	for _, st := range []connState{stateRejected, stateReading} {
		for e := s.conns[st].Front(); e != nil; e = s.conns[st].Next(e) {
			e.Value.requestClose()
		}
	}
}

// signalDrained notifies Drain if no connection is left; s.mu must be held.
func (s *Server) signalDrained() {
	if !s.draining || s.openConns > 0 {
		return
	}
	select {
	case s.drained <- struct{}{}:
	default: // already notified
	}
}
