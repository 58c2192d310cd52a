package httpserver

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
)

// write writes the one response to the request.
func (c *callerConn) write(resp response, method string, keepAlive bool) error {
	if resp.streams() {
		c.responseDue = false // a response that has begun cannot be replaced
		c.keepUntilWritten()
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeError = resp.write(c.conn, method, keepAlive)
	c.responseDue = false
	return c.writeError
}

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

// linger discards input until the caller has had time to read the last response. It needs no buffer of
// its own while it waits, as all connections may linger at the same time.
func (c *callerConn) linger() {
	c.setState(stateRejected, time.Now().Add(lingerTimeout))
	closeWrite(c.conn)
	for n := 0; n < maxLingerBytes; {
		if _, err := c.in.Peek(1); err != nil {
			c.discardUnread()
			return
		}
		k, _ := c.in.Discard(c.in.Buffered())
		n += k
	}
}

// discardUnread discards the input that has arrived, which would make the close a reset and lose the
// response.
func (c *callerConn) discardUnread() {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	socketstate.Discard(c.conn, *buf)
}

// copyBuffers holds buffers for discarded input.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

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
