package upstream

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	target    *target
	in        *bufio.Reader
	out       *bufio.Writer
	left      int64 // bytes that may still be read of an answer's head; under 0 for no bound
	spoiled   bool  // a write deadline may still be set on it from aside
	idleSince time.Time
	place     *list.Element // in Pool.idle
}

// Sizes of a connection's buffers: most heads and bodies fit.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

func newConn(c net.Conn, t *target) *conn {
	k := &conn{Conn: c, target: t, left: -1}
	k.in = bufio.NewReaderSize(headReader{k}, readBuffer)
	k.out = bufio.NewWriterSize(c, writeBuffer)
	return k
}

// errLongHead ends the reading of an answer whose head has no end.
var errLongHead = errors.New("head of the answer is too long")

// headReader reads from a connection and bounds what http.ReadResponse, which
// has no bound of its own, takes in for a head.
type headReader struct{ *conn }

func (r headReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, errLongHead
	}
	if r.left > 0 && int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.Conn.Read(b)
	if r.left > 0 {
		r.left -= int64(n)
	}
	return n, err
}

// quiet tells whether an idle connection still stands and has brought nothing:
// an endpoint that has closed it shows as an end of file, and stray bytes after
// an answer would be read as the next one. It guards against resets of
// requests that a look at the socket can spare.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// shortage tells whether dialling failed for want of something on this
// machine, which says nothing of the endpoint.
func shortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
