package httpserver

import (
	"time"
)

// connState is what a caller's connection is used for.
type connState int

// The states, in the order in which connections are closed to make room. A connection in
// stateActive is never closed to make room.
const (
	stateCallerGone connState = iota // a request is open whose caller has ended its sending
	stateRejected                    // a rejection is delayed, or input after the last response is discarded
	stateUnused                      // no pool has taken a request from it yet, and none is arriving
	stateIdle                        // between requests
	stateReading                     // a request is arriving
	stateActive                      // a request is open
	stateCount
)

// enterState puts c into a state; server.mu must be held.
func (c *callerConn) enterState(st connState) {
	c.server.conns[st].PushBack(&c.entry)
	c.state, c.stateSince = st, time.Now()
}

// leaveState removes c from its state; server.mu must be held.
func (c *callerConn) leaveState() { c.server.conns[c.state].Remove(&c.entry) }

// expiredDeadline is a deadline in the past, which ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// setState changes the state of c and sets its read deadline. It reports whether c is to
// close, in which case reads end after finalReadTimeout.
func (c *callerConn) setState(st connState, deadline time.Time) (closes bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.setStateLocked(st, deadline)
}

// setStateLocked is setState for callers that hold server.mu.
func (c *callerConn) setStateLocked(st connState, deadline time.Time) (closes bool) {
	s := c.server
	c.handover = s.handover
	if closes = s.shouldClose(st); closes {
		deadline = time.Now().Add(finalReadTimeout)
	}
	c.clearCloseRequest()
	c.leaveState()
	c.enterState(st)
	stopped := st == stateReading && s.readingStopped
	c.paced.stopped.Store(stopped)
	switch {
	case stopped:
		deadline = expiredDeadline
	case st == stateRejected && s.readingStopped:
		deadline = time.Now().Add(finalReadTimeout)
	}
	c.conn.SetReadDeadline(deadline)
	return closes
}

// finalReadTimeout is how long a connection that is to close is still read, so that a
// request which the caller has already sent is served.
const finalReadTimeout = 20 * time.Millisecond

// shouldCloseIdle reports whether the connection is to close once no request is open on
// it.
func (c *callerConn) shouldCloseIdle() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.shouldClose(stateIdle)
}

// wasWoken reports whether Drain, SetCloseIdle or SetHandover may have interrupted a wait
// in state st, so that c has to check again whether to close or to be handed over. It
// returns false if c was asked to close.
func (c *callerConn) wasWoken(st connState) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !c.closeRequested && (c.server.shouldClose(st) || c.server.handover != nil)
}

// close closes c, for which no response is due, and removes it from its server.
func (c *callerConn) close() {
	s := c.server
	c.conn.Close()
	c.paced.endBody()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.clearCloseRequest()
	c.leaveState()
	c.stateSince = time.Time{} // a delayed request to close no longer applies
	s.openConns--
	s.keptConns = max(0, s.keptConns-1)
	s.signalDrained()
}
