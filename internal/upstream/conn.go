package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
	"gorselink/internal/linkedlist"
	"gorselink/internal/socketstate"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	target          *target
	reader          *bufio.Reader
	writeBuf        []byte                 // request being sent
	responseStarted bool                   // the response to the current request has started
	idleSince       time.Time              // of the last check-in; zero before
	dialledAt       time.Time              // when the connection was established
	idleLink        linkedlist.Link[*conn] // element of Pool.idle
	responseHead    http1.Head             // head of the response that is being received
	headMemory      bytebudget.Reservation // of responseHead
	peeker          *socketstate.Peeker

	wait responseWait

	aborted atomic.Bool               // the attempt was aborted; all deadlines stay in the past
	endsBy  atomic.Pointer[time.Time] // when reads end because the call has ended; nil if it has not
}

const (
	// writeBufferSize is the longest request that is copied into one buffer for a single write.
	// Longer bodies are written without a copy.
	writeBufferSize = 4 << 10
	// receiveBufferSize is the size of the kernel's receive buffer, enough for a typical response.
	// Autotuning could grow it to megabytes, beyond the memory limit of the process.
	receiveBufferSize = 64 << 10
)

func newConn(netConn net.Conn, t *target) *conn {
	if tcpConn, ok := netConn.(*net.TCPConn); ok {
		tcpConn.SetReadBuffer(receiveBufferSize)
	}
	c := &conn{
		Conn:      netConn,
		target:    t,
		dialledAt: time.Now(),
		peeker:    socketstate.NewPeeker(netConn),
	}
	c.reader = bufio.NewReaderSize(c, http1.MaxHeadBytes)
	c.idleLink.Value = c
	return c
}

// expiredDeadline is a deadline in the past, which ends a read or write at once.
var expiredDeadline = time.Unix(1, 0)

// abort ends all reads and writes, including later ones. It may be called while another goroutine
// uses the connection, which must then be closed.
func (c *conn) abort() {
	c.aborted.Store(true)
	c.Conn.SetReadDeadline(expiredDeadline)
	c.Conn.SetWriteDeadline(expiredDeadline)
}

// Close implements net.Conn. A part of a request that has not arrived at the endpoint is discarded: it would
// arrive at any later time, and its last byte would let the request run.
func (c *conn) Close() error {
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok && socketstate.Unacknowledged(tcpConn) > 0 {
		tcpConn.SetLinger(0)
	}
	return c.Conn.Close()
}

// endAfter ends writes at once, and reads after the grace period or at the deadline. It may be called
// while another goroutine uses the connection.
func (c *conn) endAfter(grace time.Duration, deadline time.Time) {
	end := earlier(time.Now().Add(grace), deadline)
	c.endsBy.Store(&end)
	c.SetWriteDeadline(expiredDeadline)
	c.SetReadDeadline(deadline)
}

// graceEnded reports whether the call has ended and the grace period is over.
func (c *conn) graceEnded(now time.Time) bool {
	end := c.endsBy.Load()
	return end != nil && !now.Before(*end)
}

// SetReadDeadline implements net.Conn. The deadline is no later than endsBy.
func (c *conn) SetReadDeadline(t time.Time) error {
	for {
		end := c.endsBy.Load()
		limited := t
		if end != nil && (t.IsZero() || end.Before(t)) {
			limited = *end
		}
		err := c.Conn.SetReadDeadline(limited)
		switch {
		case c.aborted.Load(): // abort may have run before the deadline was set
			return c.Conn.SetReadDeadline(expiredDeadline)
		case c.endsBy.Load() == end: // endAfter has not run meanwhile
			return err
		}
	}
}

// SetWriteDeadline implements net.Conn. After the end of the call all writes fail.
func (c *conn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.aborted.Load() || c.endsBy.Load() != nil { // the end of the call may have come before
		return c.Conn.SetWriteDeadline(expiredDeadline)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// reusable reports whether an idle connection is open and has received nothing. A closed
// connection would reset the next request, and stray data would be read as its response.
func (c *conn) reusable() bool {
	return c.reader.Buffered() == 0 && c.peeker.State() == socketstate.Idle
}

// hasPendingData reports whether data has arrived that has not been read.
func (c *conn) hasPendingData() bool { return socketstate.HasPendingData(c.Conn) }
