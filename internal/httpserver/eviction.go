package httpserver

import (
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
)

// gracePeriod is how long a connection stays open before its first byte, while its request
// arrives, or after its last response, although others need room. Callers need some milliseconds
// for each.
const gracePeriod = 100 * time.Millisecond

// unusedShare is the share of the connections that may wait for their first request before idle
// connections are spared at their expense.
const unusedShare = 0.25

// evictionCandidate returns the connection to close next to make room, or nil; s.mu must be held.
// One that is unused or rejected is closed after its gracePeriod, or at once if slotNeeded is set
// because not even an extra connection can be admitted.
func (s *Server) evictionCandidate(slotNeeded bool) *callerConn {
	if gone := s.longestIn(stateCallerGone); gone != nil {
		return gone
	}
	for _, st := range []connState{stateRejected, stateUnused} {
		if c := s.longestIn(st); c != nil && (slotNeeded || time.Since(c.stateSince) >= gracePeriod) {
			return c
		}
	}
	unused := s.conns[stateUnused].Len()
	if idle := s.longestIn(stateIdle); idle != nil {
		if !slotNeeded && float64(unused) > unusedShare*float64(s.maxConns) {
			return nil
		}
		return idle
	}
	if slotNeeded || unused+s.conns[stateRejected].Len() == 0 {
		return s.longestIn(stateReading)
	}
	return nil
}

// longestIn returns the connection that has been longest in a state and can be closed to make
// room, or nil; s.mu must be held. It skips a connection that waits for a request and has unread
// input, which may be one.
func (s *Server) longestIn(st connState) *callerConn {
	waits := st == stateUnused || st == stateIdle
	for e := s.conns[st].Front(); e != nil; e = s.conns[st].Next(e) {
		if !e.Value.closeRequested && !e.Value.closeDelayed && !(waits && socketstate.HasPendingData(e.Value.conn)) {
			return e.Value
		}
	}
	return nil
}

// goneCaller returns a connection whose caller has left, or nil. It prefers one that has not been
// asked to close. s.mu must be held.
func (s *Server) goneCaller() *callerConn {
	gone := &s.conns[stateCallerGone]
	for e := gone.Front(); e != nil; e = gone.Next(e) {
		if !e.Value.closeRequested {
			s.limitStats.countClosed(e.Value)
			return e.Value
		}
	}
	if gone.Len() == 0 {
		return nil
	}
	return gone.Front().Value
}

// closingConn returns a connection that has been asked to close, or nil; s.mu must be held.
func (s *Server) closingConn() *callerConn {
	for st := range stateActive {
		for e := s.conns[st].Front(); e != nil; e = s.conns[st].Next(e) {
			if e.Value.closeRequested {
				return e.Value
			}
		}
	}
	return nil
}

// requestClose asks c to close and returns a channel that is closed when its state
// changes; server.mu must be held.
func (c *callerConn) requestClose() (handled <-chan struct{}) {
	if !c.closeRequested {
		c.closeRequested, c.closeHandled = true, make(chan struct{})
		c.server.closing++
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
		c.server.closing--
	}
	select {
	case <-c.closeSignal:
	default:
	}
}

// evictionTimeout bounds the wait for a connection that has been asked to close.
const evictionTimeout = 50 * time.Millisecond

// awaitClose asks c to close and waits until its state changes, for evictionTimeout at most. It
// reports whether the state has changed. s.mu must be held; it is released while waiting.
func (s *Server) awaitClose(c *callerConn) bool {
	handled := c.requestClose()
	s.mu.Unlock()
	defer s.mu.Lock()
	timeout := time.NewTimer(evictionTimeout)
	defer timeout.Stop()
	select {
	case <-handled:
		return true
	case <-timeout.C:
		return false
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
