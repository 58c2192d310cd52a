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

// ExtraConns is how many connections a Server admits beyond its maximum while all others have an
// open request. They serve to read a request, and to reject it unless there is room by then.
const ExtraConns = 4

// SetExtraConns changes how many connections are admitted beyond the maximum.
func (s *Server) SetExtraConns(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraConns = n
}

// admit registers a new connection, or rejects it and returns nil. ahead holds the bytes
// that have already been read from it. To make room, admit asks other connections to
// close. A connection's own goroutine closes it, because only that goroutine knows
// whether a request has arrived.
func (s *Server) admit(nc net.Conn, ahead []byte) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeExcess(1)
	if !s.awaitSlot() {
		s.limitStats.rejected++
		s.mu.Unlock()
		rejectConn(nc, ahead)
		s.mu.Lock()
		return nil
	}
	c := newCallerConn(s, nc)
	s.openConns++
	c.enterState(stateUnused)
	s.trim()
	return c
}

// excess returns how many connections are open beyond the maximum, except for those that are
// about to close; s.mu must be held.
func (s *Server) excess() int { return s.openConns - s.closing - s.closeDelayed - s.maxConns }

// closeExcess asks as many connections to close as the maximum requires before n more are
// admitted. It does not wait for them. s.mu must be held.
func (s *Server) closeExcess(n int) {
	for s.excess()+n > 0 {
		candidate := s.evictionCandidate(false)
		if candidate == nil {
			return
		}
		if wait := gracePeriod - time.Since(candidate.stateSince); candidate.state == stateReading && wait > 0 {
			s.closeAfter(candidate, wait)
			continue
		}
		s.limitStats.countClosed(candidate)
		candidate.requestClose()
	}
}

// closeAfter asks c to close after a delay if its request is still arriving then; s.mu must be
// held.
func (s *Server) closeAfter(c *callerConn, delay time.Duration) {
	since := c.stateSince
	c.closeDelayed = true
	s.closeDelayed++
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.closeDelayed = false
		s.closeDelayed--
		if c.state == stateReading && c.stateSince.Equal(since) && !c.closeRequested && s.excess() > 0 {
			s.limitStats.countClosed(c)
			c.requestClose()
		}
		s.trim()
	})
}

// trim closes connections beyond the maximum, now or after their gracePeriod; s.mu must be held.
func (s *Server) trim() {
	s.closeExcess(0)
	if s.trimScheduled || s.excess() <= 0 {
		return
	}
	s.trimScheduled = true
	time.AfterFunc(gracePeriod, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.trimScheduled = false
		s.trim()
	})
}

// awaitSlot waits until no more connections are open than one below the maximum and the extra
// ones. It returns false if none closes. s.mu must be held; it is released while waiting.
func (s *Server) awaitSlot() bool {
	for s.openConns >= s.maxConns+s.extraConns {
		candidate := s.evictionCandidate(true)
		if candidate != nil {
			s.limitStats.countClosed(candidate)
		} else if candidate = s.closingConn(); candidate == nil {
			return false
		}
		alreadyAsked := candidate.closeRequested
		if !s.awaitClose(candidate) && alreadyAsked {
			return false // it is blocked in a write, like all others that were asked
		}
	}
	return true
}

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

// requestLimit returns how many connections may have an open request; s.mu must be held.
func (s *Server) requestLimit() int { return s.maxConns + s.keptConns }

// openRequests returns how many connections have an open request; s.mu must be held.
func (s *Server) openRequests() int {
	return s.conns[stateActive].Len() + s.conns[stateCallerGone].Len()
}

// hasRoom reports whether another connection may have an open request.
func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openRequests() < s.requestLimit() || s.conns[stateCallerGone].Len() > 0 {
		return true
	}
	s.limitStats.rejected++
	return false
}

// activate puts c, on which a request has arrived, into stateActive. It returns false if too many
// connections have an open request and none of their callers has left.
func (c *callerConn) activate() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.openRequests() >= s.requestLimit() {
		gone := s.goneCaller()
		if gone == nil || !s.awaitClose(gone) {
			s.limitStats.rejected++
			return false
		}
	}
	c.setStateLocked(stateActive, time.Time{})
	return true
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

// limitStats counts what the maximum number of connections has caused.
type limitStats struct {
	closed         [stateCount]int // connections asked to close to make room, by state
	youngestUnused time.Duration   // lowest age of those in stateUnused
	rejected       int             // new connections and requests rejected for want of room
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

// connRejectionTimeout bounds the read and the write on a connection that is rejected.
const connRejectionTimeout = 5 * time.Millisecond

// rejectConn closes a connection for which there is not even an extra slot. If the caller has sent
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
