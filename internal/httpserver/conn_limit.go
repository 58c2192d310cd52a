package httpserver

import (
	"net"
	"net/http"
	"time"

	"gorselink/internal/socketstate"
)

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
