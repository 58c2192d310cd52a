package sidecar

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Callers is a listener that holds at most a given number of connections. At
// the bound it closes the one that has been idle longest; where none is idle,
// new ones wait until one is. It guards against running out of descriptors,
// which would keep requests that were taken from reaching an endpoint.
type Callers struct {
	net.Listener
	max int

	mu     sync.Mutex
	change sync.Cond
	open   int
	idle   list.List // of net.Conn, the one idle longest in front
	places map[net.Conn]*list.Element
	closed bool
}

// NewCallers returns a Callers on l. Its State must be the server's ConnState.
func NewCallers(l net.Listener, most int) *Callers {
	c := &Callers{Listener: l, max: most, places: map[net.Conn]*list.Element{}}
	c.change.L = &c.mu
	return c
}

// Accept implements net.Listener.
func (c *Callers) Accept() (net.Conn, error) {
	c.mu.Lock()
	for c.open >= c.max && !c.closed {
		if e := c.idle.Front(); e != nil {
			conn := e.Value.(net.Conn)
			c.active(conn)
			conn.Close() // the server then tells State
		}
		c.change.Wait()
	}
	c.open++
	c.mu.Unlock()
	conn, err := c.Listener.Accept()
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	}
	return conn, err
}

// Close implements net.Listener.
func (c *Callers) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.change.Broadcast()
	return c.Listener.Close()
}

// State takes the server's news of a connection.
func (c *Callers) State(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active(conn)
	switch state {
	case http.StateIdle:
		c.places[conn] = c.idle.PushBack(conn)
		c.change.Broadcast()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.change.Broadcast()
	}
}

// active takes conn off the idle ones.
func (c *Callers) active(conn net.Conn) {
	if e := c.places[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.places, conn)
	}
}
