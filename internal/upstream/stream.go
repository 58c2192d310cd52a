package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/http1"
	"gorselink/internal/socketstate"
)

// streamStallTimeout bounds a pause inside a response that is known to be longer than
// SmallResponseBytes. It is long because a streamed response cannot be retried. It only prevents a
// stalled endpoint from occupying the connection.
const streamStallTimeout = 10 * time.Second

// minStreamWait is the least time for which a stream waits for data, as its caller may have been slow.
const minStreamWait = 100 * time.Millisecond

// BodyStream is the part of a response body that has not been received yet. Read returns
// io.EOF after the last byte and another error if the body is truncated.
type BodyStream struct {
	Length int64 // of the whole body in bytes; -1 if unknown

	conn      *conn
	reader    io.Reader
	remaining int64 // upper bound of the bytes still to receive
	received  int64
	deadline  time.Time // of the attempt
	lastData  time.Time // when the last data before the stream arrived; zero once it has returned data
	reusable  bool      // the connection can be reused after the body
	complete  bool
	released  bool        // the connection has been checked in or closed
	aborted   atomic.Bool // reading must end at once
	ahead     *readAhead
}

// receiveBody returns the complete response if its body is no longer than SmallResponseBytes and
// there is memory for it. Otherwise it returns the response with the rest of its body as a stream.
func (c *conn) receiveBody(h *http1.Head) (resp *Response, reusable bool, err error) {
	maxBytes := c.target.pool.cfg.MaxStreamBytes
	if h.Length > maxBytes {
		return nil, false, invalidResponseError{fmt.Errorf("response body too long: %d bytes, limit %d", h.Length, maxBytes)}
	}
	s := &BodyStream{Length: h.Length, conn: c, deadline: c.wait.deadline, reusable: !h.Close && (h.Chunked || h.Length >= 0)}
	resp = &Response{Status: h.Status, Fields: h.Fields}
	if h.Length < 0 {
		return c.receiveUnsizedBody(h, resp, s)
	}
	if h.Length <= SmallResponseBytes {
		if memory, ok := c.target.pool.reserveBuffer(h.Length); ok {
			resp.memory = memory
			if resp.Body, err = c.readSizedBody(h.Length); err != nil {
				resp.Release()
				return nil, false, err
			}
			return resp, s.reusable && c.reader.Buffered() == 0, nil
		}
	}
	s.reader, s.remaining = c.reader, h.Length
	resp.Remaining = s
	return resp, false, nil
}

// receiveUnsizedBody is receiveBody for a body of unknown length. Most of them are short too.
// Holding them back first keeps the request retryable, see responseWait.
func (c *conn) receiveUnsizedBody(h *http1.Head, resp *Response, s *BodyStream) (_ *Response, reusable bool, err error) {
	s.reader, s.remaining = c.reader, c.target.pool.cfg.MaxStreamBytes
	if h.Chunked {
		s.reader = http1.NewChunkedReader(c.reader, c.hasPendingData)
	}
	began := time.Now()
	buffer, complete, err := c.holdBody(s.reader)
	if err != nil {
		buffer.release()
		return nil, false, unsizedBodyError(err, h.Chunked)
	}
	resp.Body, resp.buffer = buffer.data, buffer
	if complete {
		return resp, s.reusable && c.reader.Buffered() == 0, nil
	}
	s.received = int64(len(buffer.data))
	s.remaining -= s.received
	s.lastData = c.wait.lastData
	resp.Remaining, resp.HoldDelay = s, time.Since(began)
	return resp, false, nil
}

// holdBody receives a body of unknown length until it is complete or has to be passed on. The caller must
// release the buffer, also after an error.
func (c *conn) holdBody(body io.Reader) (buffer bodyBuffer, complete bool, err error) {
	buffer = newBodyBuffer(c.target.pool)
	c.holdBack()
	for len(buffer.data) < SmallResponseBytes {
		if len(buffer.data) == cap(buffer.data) && !buffer.grow() {
			break
		}
		n, err := body.Read(buffer.data[len(buffer.data):cap(buffer.data)])
		if n > 0 && len(buffer.data) == 0 {
			c.limitHold()
		}
		buffer.data = buffer.data[:len(buffer.data)+n]
		switch err {
		case nil:
			continue
		case io.EOF:
			return buffer, true, nil
		}
		switch c.decideHold(err) {
		case passOn:
			return buffer, false, nil
		case holdFailed:
			return buffer, false, err
		}
	}
	return buffer, false, nil
}

// readDeadline returns when the wait for more of the body ends.
func (s *BodyStream) readDeadline() time.Time {
	now := time.Now()
	if s.Length > SmallResponseBytes || s.received > SmallResponseBytes {
		return now.Add(streamStallTimeout)
	}
	lastByteDue := s.deadline.Add(lateResponseGrace)
	if s.Length >= 0 || s.received < probablyLongBytes {
		return lastByteDue
	}
	silentSince := now
	if !s.lastData.IsZero() {
		silentSince = s.lastData
	}
	return later(later(lastByteDue, silentSince.Add(maxSilence)), now.Add(minStreamWait))
}

// WaitForData waits until more of the body or its end has arrived, or until receiving has failed, which
// is an error here or of the next Read. It needs no buffer.
func (s *BodyStream) WaitForData() error {
	if s.ahead != nil {
		s.ahead.waitForData()
		return nil
	}
	if s.complete || s.remaining == 0 {
		return nil
	}
	if s.conn.reader.Buffered() > 0 {
		return nil
	}
	s.conn.SetReadDeadline(s.readDeadline())
	return socketstate.WaitReadable(s.conn.Conn)
}

// CopyBuffer returns a buffer for forwarding the body, which the caller must release. To hold it for a
// short time only, call WaitForData first.
func (s *BodyStream) CopyBuffer() *CopyBuffer { return s.conn.target.pool.newCopyBuffer() }

// streamResult returns the result of an attempt for the error of receiveBody.
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
	s.conn.SetReadDeadline(s.readDeadline())
	if s.aborted.Load() {
		return 0, net.ErrClosed
	}
	n, err := s.reader.Read(b[:min(int64(len(b)), s.remaining)])
	s.remaining -= int64(n)
	s.received += int64(n)
	if n > 0 {
		s.lastData = time.Time{}
	}
	if err != io.EOF {
		return n, err
	}
	if s.Length >= 0 {
		return n, io.ErrUnexpectedEOF // the connection was closed inside the body
	}
	s.complete = true // the last chunk has come, or the end of the connection is the end of the body
	return n, io.EOF
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
