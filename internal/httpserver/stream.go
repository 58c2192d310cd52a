package httpserver

import (
	"io"
	"net"
	"strconv"
	"time"

	"gorselink/internal/upstream"
)

const (
	// streamWriteTimeout bounds each write of a streamed response.
	streamWriteTimeout = 10 * time.Second

	// streamSendBufferBytes is the size of the kernel's send buffer of a streamed
	// response. Without a limit it grows to megabytes, which count against the process's
	// memory limit.
	streamSendBufferBytes = 128 << 10

	// slowWriteThreshold is the duration of a write from which on a caller counts as
	// slow. The rest of its response is then read ahead, which frees the endpoint.
	slowWriteThreshold = 20 * time.Millisecond
)

// writeStream writes a response while it arrives: its head, the available part of its
// body, and the rest as the endpoint sends it. After an error the connection must close.
// The caller can tell that the response is incomplete, because neither its length nor
// its last chunk is reached.
func writeStream(w io.Writer, head, available []byte, rest *upstream.BodyStream) error {
	c, isConn := w.(net.Conn)
	if tc, ok := w.(*net.TCPConn); ok {
		tc.SetWriteBuffer(streamSendBufferBytes)
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	chunked := rest.Length < 0
	write := func(pieces ...[]byte) error {
		if isConn {
			c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		}
		buffers := net.Buffers(pieces)
		_, err := buffers.WriteTo(w)
		return err
	}
	piece := func(prefix, data []byte) error {
		if chunked && len(data) > 0 {
			prefix = strconv.AppendInt(prefix, int64(len(data)), 16)
			return write(append(prefix, "\r\n"...), data, []byte("\r\n"))
		}
		return write(prefix, data)
	}
	if err := piece(head, available); err != nil {
		return err
	}
	for {
		n, err := rest.Read(*buf)
		if n > 0 {
			start := time.Now()
			if err := piece(nil, (*buf)[:n]); err != nil {
				return err
			}
			if time.Since(start) > slowWriteThreshold {
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
