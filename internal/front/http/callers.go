// Package httpfront takes the callers of HTTP/1.1: it reads, bounds and turns
// away, hands what is good to the pool that a Judge names, and answers once.
package httpfront

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/ring"
	"gorselink/internal/sock"
)

// Callers holds the connections of callers, a given number at most. At the
// bound it closes one on which no request is open, or, where there is none,
// the one that has just come: a wait would keep out everybody. It guards
// against running out of descriptors, which would keep requests that were
// taken from reaching an endpoint, and against whoever takes connections and
// does nothing with them, for whatever reason.
type Server struct {
	ForwardCallerIP bool // requests are judged with their callers' address

	judge Router
	times Timeouts

	mu      sync.Mutex
	max     int
	open    int
	places  [states]ring.List[*caller] // the one longest in that state in front
	closing bool                       // connections end once no request is open on them
	ebbing  bool                       // so do those that have brought a request, for now
	pass    Handover                   // takes connections on which no request is open; nil for none
	last    time.Time                  // answers are given by then; zero for no bound
	cut     bool                       // no request is read any more
	empty   chan struct{}              // told when closing and nothing is open
}

// state is what a caller's connection is used for.
type state int

// The states in the order in which connections are given up for others. One in
// the state taken is never closed from outside.
const (
	rejected state = iota // told off, and read until it ends
	unproven              // has brought no request that was taken, and none is coming
	idle                  // between requests
	reading               // a request is coming
	taken                 // a request is open
	states
)

// NewCallers returns Callers that hold at most so many connections, whose
// requests judge assigns.
func NewServer(judge Router, most int, times Timeouts) *Server {
	return &Server{judge: judge, max: most, times: times.orDefault(), empty: make(chan struct{}, 1)}
}

// Limit changes how many connections there may be. Those over a lower bound
// give way as new ones come.
func (cs *Server) SetMaxConns(most int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.max = most
}

// Open is how many connections there are.
func (cs *Server) OpenConns() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

// Serve takes connections from l until it is closed.
func (cs *Server) Serve(l net.Listener) error { return Accept(l, cs.HandleConn) }

// Accept hands each connection that comes to l to take, until l is closed.
func Accept(l net.Listener, take func(net.Conn)) error { return acceptloop.Serve(l, take) }

// Take takes one connection and serves it.
func (cs *Server) HandleConn(nc net.Conn) {
	if c := cs.admit(nc, nil); c != nil {
		go c.serve()
	}
}

// hurryTime is how long a connection that is asked to give way may take to.
const hurryTime = 50 * time.Millisecond

// admit books a new connection, of which ahead has been read already, or shuts it and
// returns nil. Another one that gives way for it is ended by its own goroutine, which
// alone knows what it has read: a request that has come meanwhile is served or told off.
func (cs *Server) admit(nc net.Conn, ahead []byte) *caller {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for cs.open >= cs.max {
		victim := cs.victim()
		if victim == nil {
			cs.mu.Unlock()
			shut(nc, ahead)
			cs.mu.Lock()
			return nil
		}
		settled := victim.hurry()
		cs.mu.Unlock()
		select {
		case <-settled:
		case <-time.After(hurryTime): // it cannot write; another one may give way
		}
		cs.mu.Lock()
	}
	c := newCaller(cs, nc)
	cs.open++
	c.enter(unproven)
	return c
}

// victim is the connection to give up, or nil; the mutex is held. One on which a request
// has come that nobody has read yet is none, unless it has had its last answer.
func (cs *Server) victim() *caller {
	for st := range taken {
		for e := cs.places[st].Front(); e != nil; e = cs.places[st].Next(e) {
			if !e.Of.hurried && (st == rejected || st == reading || !sock.HasPendingData(e.Of.conn)) {
				return e.Of
			}
		}
	}
	return nil
}

// shutLook is what a connection for which there is no place gets to bring its request.
const shutLook = 5 * time.Millisecond

// shut ends a connection for which there is no place. Who has sent something is told so, as
// a request that is whole may not be closed on; nothing has been done for it.
func shut(nc net.Conn, ahead []byte) {
	defer nc.Close()
	buf := scratch.Get().(*[]byte)
	defer scratch.Put(buf)
	if len(ahead) == 0 {
		nc.SetReadDeadline(time.Now().Add(shutLook))
		if n, _ := nc.Read(*buf); n == 0 {
			return
		}
	}
	nc.SetWriteDeadline(time.Now().Add(shutLook))
	full := answer{status: http.StatusServiceUnavailable, retryAfter: roomWait}
	if full.write(nc, "", false) == nil {
		endSending(nc)
		sock.Discard(nc, *buf) // unread, it would take the answer along
	}
}

// endSending closes the sending side of c.
func endSending(c net.Conn) {
	if tc, ok := c.(interface{ CloseWrite() error }); ok {
		tc.CloseWrite()
	}
}

// Drain lets go of all connections as soon as no request is open on them, and
// waits until none is left. What is still taken is answered by last. New ones go on
// being taken; once no more can come, Drain again tells that the last has gone.
func (cs *Server) Drain(last time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closing = true
	cs.wake(unproven)
	cs.wake(idle)
	late := time.NewTimer(time.Until(last))
	defer late.Stop()
	for cs.open > 0 {
		cs.mu.Unlock()
		over := false
		select {
		case <-cs.empty:
		case <-late.C:
			over = true
		}
		cs.mu.Lock()
		if over {
			return
		}
	}
}

// Ebb makes connections that have brought a request end once none is open on
// them, or takes that back. New ones go on being taken, and one that only asks
// whether the sidecar is ready is answered.
func (cs *Server) SetCloseIdle(on bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.ebbing = on
	if on {
		cs.wake(idle)
	}
}

// wake makes the connections in a state look what has come already and end; the
// mutex is held.
func (cs *Server) wake(st state) {
	for e := cs.places[st].Front(); e != nil; e = cs.places[st].Next(e) {
		e.Of.conn.SetReadDeadline(past)
	}
}

// ends tells whether connections in a state are to end; the mutex is held.
func (cs *Server) ends(st state) bool {
	if cs.pass != nil {
		return false
	}
	return st == idle && (cs.closing || cs.ebbing) || st == unproven && cs.closing
}

// Pass takes a caller's connection over, and what has been read of it already.
type Handover func(c net.Conn, ahead []byte) error

// PassOn makes each connection go to pass as soon as no request is open on it.
// What pass does not take stays as it is, and so do all if pass is nil.
func (cs *Server) SetHandover(pass Handover) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pass = pass
	if pass != nil || cs.closing {
		cs.wake(unproven)
		cs.wake(idle)
	}
}

// passOn gives c, which is between two requests, away if it is to go, and tells
// whether it has gone.
func (c *caller) passOn() bool {
	if c.pass == nil {
		return false
	}
	ahead, _ := c.in.Peek(c.in.Buffered())
	if err := c.pass(c.conn, ahead); err != nil {
		slog.Warn("callers stay, as they are not taken over", "error", err)
		c.callers.SetHandover(nil)
		return false
	}
	return true
}

// Resume serves a connection that another Callers has passed on.
func (cs *Server) Resume(nc net.Conn, ahead []byte) {
	if c := cs.admit(nc, ahead); c != nil {
		if len(ahead) > 0 {
			c.in.Reset(io.MultiReader(bytes.NewReader(ahead), &c.intake))
		}
		c.resumed = true
		go c.serve()
	}
}

// Bound makes all that is taken from now on end by last.
func (cs *Server) SetResponseDeadline(last time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.last = last
}

// left is how much of budget there is until the bound, if one is set.
func (cs *Server) left(budget time.Duration) time.Duration {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.last.IsZero() {
		return budget
	}
	return max(0, min(budget, time.Until(cs.last)))
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// enter puts c into a state; the mutex is held.
func (c *caller) enter(st state) {
	c.callers.places[st].PushBack(&c.place)
	c.state = st
}

// leave takes c out of its state; the mutex is held.
func (c *caller) leave() { c.callers.places[c.state].Remove(&c.place) }

// move changes the state of c and sets until when it may read. It tells whether c is to
// end; then it has lastLook.
func (c *caller) move(st state, until time.Time) (ends bool) {
	cs := c.callers
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.pass = cs.pass
	if ends = cs.ends(st); ends {
		until = time.Now().Add(lastLook)
	}
	c.settle()
	c.leave()
	c.enter(st)
	stopped := st == reading && cs.cut
	c.intake.stopped.Store(stopped)
	switch {
	case stopped:
		until = past
	case st == rejected && cs.cut:
		until = time.Now().Add(lastLook)
	}
	c.conn.SetReadDeadline(until)
	return ends
}

// lastLook is how long a connection that is to end is read for a request that
// its caller may have written already: one that came before the end of the
// connection was sent is served, not lost.
const lastLook = 20 * time.Millisecond

// ending tells whether the connection is to end once no request is open on it.
func (c *caller) ending() bool {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	return c.callers.ends(idle)
}

// woken tells whether a wait in the state st may have been cut short, and c goes on. It does
// not where its place is needed.
func (c *caller) woken(st state) bool {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	return !c.hurried && (c.callers.ends(st) || c.callers.pass != nil)
}

// end closes c, on which nothing is owed any more, and books that.
func (c *caller) end() {
	cs := c.callers
	c.conn.Close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.settle()
	c.leave()
	cs.open--
	cs.tellEmpty()
}

// Cut ends the reading of requests: what has not come whole by now is told so, and the
// kernel keeps nothing of it unanswered. Who has had its last answer is not read on.
func (cs *Server) StopReading() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.cut = true
	for _, st := range []state{rejected, reading} {
		for e := cs.places[st].Front(); e != nil; e = cs.places[st].Next(e) {
			e.Of.hurry()
		}
	}
}

// hurry asks c to give way, and returns what is closed when it is not what it was; the
// mutex is held.
func (c *caller) hurry() (settled <-chan struct{}) {
	if !c.hurried {
		c.hurried, c.settled = true, make(chan struct{})
	}
	c.intake.stop()
	select {
	case c.asked <- struct{}{}:
	default: // has been asked
	}
	return c.settled
}

// settle tells who waits for c that it is not what it was; the mutex is held.
func (c *caller) settle() {
	if c.hurried {
		c.hurried = false
		close(c.settled)
	}
	select {
	case <-c.asked:
	default:
	}
}

// tellEmpty tells who waits for the end that there is none left; the mutex is
// held.
func (cs *Server) tellEmpty() {
	if !cs.closing || cs.open > 0 {
		return
	}
	select {
	case cs.empty <- struct{}{}:
	default: // has been told
	}
}
