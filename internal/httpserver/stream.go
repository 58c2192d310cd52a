package httpserver

import (
	"io"
	"net"
	"strconv"
	"time"

	"gorselink/internal/socketstate"
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
// body, whose memory it frees, and the rest as the endpoint sends it. After an error the
// connection must close. The caller can tell that the response is incomplete, because neither
// its length nor its last chunk is reached.
func writeStream(w io.Writer, head []byte, resp *upstream.Response) error {
	rest := resp.Remaining
	out := newStreamWriter(w, rest.Length < 0)
	if err := out.write(head, resp.Body); err != nil {
		return err
	}
	resp.ReleaseBody()
	for complete := false; !complete; {
		if err := rest.WaitForData(); err != nil {
			return endpointError{err}
		}
		start := time.Now()
		if err := out.waitWritable(); err != nil {
			return err
		}
		slow := time.Since(start) > slowWriteThreshold
		var err error
		if complete, err = out.forwardPiece(rest); err != nil {
			return err
		}
		if slow {
			rest.ReadAhead()
		}
	}
	return out.end()
}

// streamWriter writes a body in pieces.
type streamWriter struct {
	out     io.Writer
	conn    net.Conn // out if it is a connection, or nil
	chunked bool
}

func newStreamWriter(w io.Writer, chunked bool) *streamWriter {
	conn, _ := w.(net.Conn)
	if tc, ok := w.(*net.TCPConn); ok {
		tc.SetWriteBuffer(streamSendBufferBytes)
	}
	return &streamWriter{w, conn, chunked}
}

// extendDeadline gives the caller time to take the next piece.
func (s *streamWriter) extendDeadline() {
	if s.conn != nil {
		s.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	}
}

// waitWritable waits until the caller takes more data.
func (s *streamWriter) waitWritable() error {
	if s.conn == nil {
		return nil
	}
	s.extendDeadline()
	return socketstate.WaitWritable(s.conn)
}

// write writes a prefix and then data of the body.
func (s *streamWriter) write(prefix, data []byte) error {
	s.extendDeadline()
	pieces := net.Buffers{prefix, data}
	if s.chunked && len(data) > 0 {
		prefix = strconv.AppendInt(prefix, int64(len(data)), 16)
		pieces = net.Buffers{append(prefix, "\r\n"...), data, []byte("\r\n")}
	}
	_, err := pieces.WriteTo(s.out)
	return err
}

// forwardPiece reads data that has arrived of a body and writes it. It reports whether the body is
// complete. A buffer is used only meanwhile, so that slow connections hold none.
func (s *streamWriter) forwardPiece(body *upstream.BodyStream) (complete bool, err error) {
	buffer := body.CopyBuffer()
	defer buffer.Release()
	n, readErr := body.Read(buffer.Bytes())
	if n > 0 {
		if err := s.write(nil, buffer.Bytes()[:n]); err != nil {
			return false, err
		}
	}
	switch readErr {
	case nil:
		return false, nil
	case io.EOF:
		return true, nil
	}
	return false, endpointError{readErr}
}

// endpointError is the reason for which the rest of a response could not be received.
type endpointError struct{ cause error }

// Error implements error.
func (e endpointError) Error() string { return "the endpoint's response broke off: " + e.cause.Error() }

// Unwrap returns the cause.
func (e endpointError) Unwrap() error { return e.cause }

// end writes the end of the body.
func (s *streamWriter) end() error {
	if !s.chunked {
		return nil
	}
	return s.write([]byte("0\r\n\r\n"), nil)
}
