package httpserver

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
)

// evictionTimeout bounds the wait for a connection that has been asked to close.
const evictionTimeout = 50 * time.Millisecond

// admit registers a new connection, or rejects it and returns nil. ahead holds the bytes
// that have already been read from it. To make room, admit asks another connection to
// close. That connection's own goroutine closes it, because only that goroutine knows
// whether a request has arrived.
func (s *Server) admit(nc net.Conn, ahead []byte) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.openConns >= s.maxConns {
		candidate := s.evictionCandidate()
		if candidate == nil {
			s.limitStats.rejected++
			s.mu.Unlock()
			rejectConn(nc, ahead)
			s.mu.Lock()
			return nil
		}
		s.limitStats.countClosed(candidate)
		handled := candidate.requestClose()
		s.mu.Unlock()
		select {
		case <-handled:
		case <-time.After(evictionTimeout): // it is blocked in a write; another connection may close instead
		}
		s.mu.Lock()
	}
	c := newCallerConn(s, nc)
	s.openConns++
	c.enterState(stateUnused)
	return c
}

// limitStats counts what the maximum number of connections has caused.
type limitStats struct {
	closed         [stateCount]int // connections asked to close to make room, by state
	youngestUnused time.Duration   // lowest age of those in stateUnused
	rejected       int             // new connections rejected for want of room
}

// countClosed counts c, which is asked to close to make room.
func (l *limitStats) countClosed(c *callerConn) {
	if age := time.Since(c.acceptedAt); c.state == stateUnused && (l.closed[stateUnused] == 0 || age < l.youngestUnused) {
		l.youngestUnused = age
	}
	l.closed[c.state]++
}

// Report logs what the maximum number of connections has caused since the last call, if anything.
// Call it about once a second.
func (s *Server) Report() {
	s.mu.Lock()
	stats, maxConns := s.limitStats, s.maxConns
	s.limitStats = limitStats{}
	s.mu.Unlock()
	closed := 0
	for _, n := range stats.closed {
		closed += n
	}
	if closed > 0 || stats.rejected > 0 {
		slog.Info("too many caller connections; closing those without a request", "closed", closed, "callers gone", stats.closed[stateCallerGone], "unused", stats.closed[stateUnused],
			"youngest unused", stats.youngestUnused, "idle", stats.closed[stateIdle], "reading", stats.closed[stateReading],
			"rejected", stats.rejected, "limit", maxConns)
	}
}

// evictionCandidate returns the connection to close next to make room, or nil; s.mu must
// be held. It skips a connection that waits for a request and has unread input, which
// may be one.
func (s *Server) evictionCandidate() *callerConn {
	for st := range stateActive {
		for e := s.conns[st].Front(); e != nil; e = s.conns[st].Next(e) {
			if !e.Value.closeRequested && (st == stateCallerGone || st == stateRejected || st == stateReading || !socketstate.HasPendingData(e.Value.conn)) {
				return e.Value
			}
		}
	}
	return nil
}

// connRejectionTimeout bounds the read and the write on a connection that is rejected.
const connRejectionTimeout = 5 * time.Millisecond

// rejectConn closes a connection for which there is no room. If the caller has sent
// anything, it gets a 503 response first, because every complete request must get
// a response.
func rejectConn(nc net.Conn, ahead []byte) {
	defer nc.Close()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if len(ahead) == 0 {
		nc.SetReadDeadline(time.Now().Add(connRejectionTimeout))
		if n, _ := nc.Read(*buf); n == 0 {
			return
		}
	}
	nc.SetWriteDeadline(time.Now().Add(connRejectionTimeout))
	unavailable := response{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter}
	if unavailable.write(nc, "", false) == nil {
		closeWrite(nc)
		socketstate.Discard(nc, *buf) // unread input would make the close a reset and lose the response
	}
}

// setCallerGone records that the caller has ended its sending while r is open. The end may be a
// half-close, so the caller still gets a response: that of an endpoint, or a final one as soon as
// the connection is needed for another caller.
func (c *callerConn) setCallerGone(p *pool.Pool, r *pool.Request) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.abort = func() { p.Abort(r) }
	c.leaveState()
	c.enterState(stateCallerGone)
}

// keepUntilWritten leaves stateCallerGone, because a response that is about to begin cannot be
// replaced by a final one.
func (c *callerConn) keepUntilWritten() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == stateCallerGone {
		c.abort = nil // frees the request
		c.clearCloseRequest()
		c.leaveState()
		c.enterState(stateActive)
	}
}

// requestClose asks c to close and returns a channel that is closed when its state
// changes; server.mu must be held.
func (c *callerConn) requestClose() (handled <-chan struct{}) {
	if !c.closeRequested {
		c.closeRequested, c.closeHandled = true, make(chan struct{})
	}
	if c.state == stateCallerGone {
		c.abort()
	}
	c.paced.stop()
	select {
	case c.closeSignal <- struct{}{}:
	default: // already asked
	}
	return c.closeHandled
}

// clearCloseRequest ends a request to close and notifies its waiters; server.mu must be
// held.
func (c *callerConn) clearCloseRequest() {
	if c.closeRequested {
		c.closeRequested = false
		close(c.closeHandled)
	}
	select {
	case <-c.closeSignal:
	default:
	}
}
