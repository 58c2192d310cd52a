package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

// sendAndLeave sends a request, or a part of it, and leaves as the plan says.
func (c *client) sendAndLeave() {
	defer c.close()
	leave := &c.plan.Leave
	q := c.newRequest()
	text := c.text(q)
	if head := strings.Index(text, headEnd) + len(headEnd); leave.Where == LeaveInHead {
		text, q.Incomplete = text[:head/2], true
	} else if leave.Where == LeaveInBody {
		text, q.Incomplete = text[:head+(len(text)-head)/2], true
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.plan.Budget))
	if n, err := io.WriteString(c.conn, text); err != nil {
		q.Incomplete = q.Incomplete || n < len(text)
	}
	q.Sent = c.run.now()
	if leave.How == LeaveByHalfClose && !q.Incomplete {
		c.halfClose(q)
		return
	}
	time.Sleep(leave.After)
	if tcp, ok := c.conn.(*net.TCPConn); ok && leave.How == LeaveByReset {
		tcp.SetLinger(0)
	}
	c.close()
	q.Ending, q.Ended = Left, c.run.now()
	c.run.record(q)
}

// halfClose ends the sending side of the connection, unless the response or the end of the
// connection comes before, and reads the response to q.
func (c *client) halfClose(q *Request) {
	c.conn.SetReadDeadline(time.Now().Add(c.plan.Leave.After))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.HalfClosed = true
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		err = nil
	}
	if err == nil {
		err = c.readResponse(q)
	}
	if err != nil {
		q.Ending, q.Ended = endingOf(err), c.run.now()
	}
	c.run.record(q)
}
