package upstream

import (
	"bufio"
	"net"
	"time"

	"gorselink/internal/framing"
	"gorselink/internal/ring"
	"gorselink/internal/sock"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	target    *target
	in        *bufio.Reader
	out       []byte // of the request that is sent
	begun     bool   // an answer to the request that is out has begun
	idleSince time.Time
	place     ring.Link[*conn] // in Pool.idle
	answer    framing.Head     // the last one; its fields may be held on to
	look      *sock.Peeker

	// Of the answer that is coming: each read makes the next one end after pace,
	// at until at the latest. No pace while it is 0.
	pace  time.Duration
	until time.Time
}

const (
	// writeBuffer holds most requests whole; a longer body is written from
	// where it is.
	writeBuffer = 4 << 10
	// receiveBuffer is the kernel's: whole answers fit. Left to itself it grows
	// to megabytes under an endpoint that sends without end, out of the
	// sidecar's memory limit.
	receiveBuffer = 64 << 10
)

func newConn(c net.Conn, t *target) *conn {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetReadBuffer(receiveBuffer)
	}
	k := &conn{
		Conn:   c,
		target: t,
		look:   sock.NewPeeker(c),
	}
	k.in = bufio.NewReaderSize(k, framing.MaxHead)
	k.place.Of = k
	return k
}

// Read implements net.Conn. An answer that comes in small pieces is none that
// has stopped.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.pace > 0 {
		c.limit(c.until, c.pace)
	}
	return n, err
}

// quiet tells whether an idle connection still stands and has brought nothing:
// an endpoint that has closed it shows as an end of file, and stray bytes after
// an answer would be read as the next one. It guards against resets of
// requests that a look at the socket can spare.
func (c *conn) quiet() bool {
	return c.in.Buffered() == 0 && c.look.State() == sock.Idle
}
