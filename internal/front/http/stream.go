package httpfront

import (
	"io"
	"net"
	"strconv"
	"time"

	"gorselink/internal/upstream"
)

const (
	// restUnread is how long a caller may leave a piece of a long answer unread.
	restUnread = 10 * time.Second

	// restBuffer is the kernel's send buffer under a long answer. Left to itself
	// it grows to megabytes a connection, out of the process's memory limit.
	restBuffer = 128 << 10

	// slowWrite is how long a piece takes to be written to a caller that is
	// slower than most endpoints; what is left is read ahead of it.
	slowWrite = 20 * time.Millisecond
)

// stream writes an answer as it comes: its head, what there is of its body, and
// the rest as its endpoint gives it, piece by piece. An error means that it has
// broken off: the connection has to end, and as neither the length told nor the
// last chunk has been reached, the caller can tell.
func stream(w io.Writer, head, begun []byte, rest *upstream.BodyStream) error {
	c, isConn := w.(net.Conn)
	if tc, ok := w.(*net.TCPConn); ok {
		tc.SetWriteBuffer(restBuffer)
	}
	buf := scratch.Get().(*[]byte)
	defer scratch.Put(buf)
	chunked := rest.Length < 0
	write := func(pieces ...[]byte) error {
		if isConn {
			c.SetWriteDeadline(time.Now().Add(restUnread))
		}
		all := net.Buffers(pieces)
		_, err := all.WriteTo(w)
		return err
	}
	piece := func(before, data []byte) error {
		if chunked && len(data) > 0 {
			before = strconv.AppendInt(before, int64(len(data)), 16)
			return write(append(before, "\r\n"...), data, []byte("\r\n"))
		}
		return write(before, data)
	}
	if err := piece(head, begun); err != nil {
		return err
	}
	for {
		n, err := rest.Read(*buf)
		if n > 0 {
			begun := time.Now()
			if err := piece(nil, (*buf)[:n]); err != nil {
				return err
			}
			if time.Since(begun) > slowWrite {
				rest.ReadAhead()
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if chunked {
		return write([]byte("0\r\n\r\n"))
	}
	return nil
}
