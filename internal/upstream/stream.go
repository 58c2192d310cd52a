package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/http1"
)

// streamStallTimeout bounds a pause inside a streamed response. It is long because a streamed
// response cannot be retried. It only prevents a stalled endpoint from occupying the connection.
const streamStallTimeout = 10 * time.Second

// BodyStream is the part of a response body that has not been received yet. Read returns
// io.EOF after the last byte and another error if the body is truncated.
type BodyStream struct {
	Length int64 // of the whole body in bytes; -1 if unknown

	conn      *conn
	reader    io.Reader
	remaining int64 // upper bound of the bytes still to receive
	chunked   bool
	reusable  bool // the connection can be reused after the body
	complete  bool
	released  bool        // the connection has been checked in or closed
	aborted   atomic.Bool // reading must end at once
	ahead     *readAhead
}

// startStream returns a response whose body is longer than SmallResponseBytes as a stream. If the
// body is not longer, it returns nil without reading if the length is known, and the complete
// response otherwise.
func (c *conn) startStream(h *http1.Head) (resp *Response, reusable bool, err error) {
	maxBytes := c.target.pool.cfg.MaxStreamBytes
	if h.Length > maxBytes {
		return nil, false, invalidResponseError{fmt.Errorf("response body too long: %d bytes, limit %d", h.Length, maxBytes)}
	}
	s := &BodyStream{Length: h.Length, conn: c, chunked: h.Chunked, reusable: !h.Close && (h.Chunked || h.Length >= 0)}
	switch {
	case h.Length > SmallResponseBytes:
		s.reader, s.remaining = c.reader, h.Length
		return &Response{Status: h.Status, Fields: h.Fields, Remaining: s}, false, nil
	case h.Length >= 0:
		return nil, false, nil
	}
	s.reader, s.remaining = c.reader, maxBytes
	if h.Chunked {
		s.reader = httputil.NewChunkedReader(c.reader)
	}
	// Most bodies of unknown length are short too. Buffering them first keeps the request
	// retryable until the body is complete.
	body := make([]byte, 0, 4<<10)
	for len(body) < SmallResponseBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := s.reader.Read(body[len(body):min(cap(body), SmallResponseBytes)])
		body = body[:len(body)+n]
		if err == io.EOF && h.Chunked {
			if err = http1.SkipTrailers(c.reader); err == nil {
				err = io.EOF
			}
		}
		if err == io.EOF {
			return &Response{Status: h.Status, Fields: h.Fields, Body: body}, s.reusable && c.reader.Buffered() == 0, nil
		}
		if err != nil {
			return nil, false, unsizedBodyError(err, h.Chunked)
		}
	}
	s.remaining -= int64(len(body))
	return &Response{Status: h.Status, Fields: h.Fields, Body: body, Remaining: s}, false, nil
}

// streamResult returns the result of an attempt for the error of startStream.
func streamResult(err error) balance.Result {
	if err != nil {
		return failureResult(err)
	}
	return balance.OK
}

// Read implements io.Reader.
func (s *BodyStream) Read(b []byte) (int, error) {
	if s.ahead != nil {
		return s.ahead.read(b)
	}
	return s.readConn(b)
}

// readConn reads from the connection, without read-ahead.
func (s *BodyStream) readConn(b []byte) (int, error) {
	if s.complete {
		return 0, io.EOF
	}
	if s.remaining == 0 {
		if s.Length >= 0 {
			s.complete = true
			return 0, io.EOF
		}
		return 0, errors.New("response body exceeds the maximum length of a streamed response")
	}
	s.conn.SetReadDeadline(time.Now().Add(streamStallTimeout))
	if s.aborted.Load() {
		return 0, net.ErrClosed
	}
	n, err := s.reader.Read(b[:min(int64(len(b)), s.remaining)])
	s.remaining -= int64(n)
	if err != io.EOF {
		return n, err
	}
	switch {
	case s.Length >= 0:
		err = io.ErrUnexpectedEOF // the connection was closed inside the body
	case s.chunked:
		if err = http1.SkipTrailers(s.conn.reader); err == nil {
			s.complete, err = true, io.EOF
		}
	default:
		s.complete = true // the end of the connection is the end of the body
	}
	return n, err
}

// close ends the stream, which may be incomplete.
func (s *BodyStream) close() {
	if s.ahead != nil {
		s.ahead.close()
	}
	s.releaseConn()
}

// releaseConn returns the connection to the pool if it can be reused, and closes it otherwise.
func (s *BodyStream) releaseConn() {
	if s.released {
		return
	}
	s.released = true
	if s.complete && s.reusable && s.conn.reader.Buffered() == 0 {
		s.conn.target.pool.checkInUnused(s.conn)
		return
	}
	s.conn.target.pool.closeConn(s.conn, false)
}
