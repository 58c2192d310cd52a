package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/http1"
	"gorselink/internal/socketstate"
)

// pendingDataTimeout bounds a read of data that has already arrived.
const pendingDataTimeout = 100 * time.Millisecond

// BodyStream is the part of a response body that has not been received yet. Read returns
// io.EOF after the last byte and another error if the body is truncated.
type BodyStream struct {
	Length int64 // of the whole body in bytes; -1 if unknown

	conn      *conn
	reader    io.Reader
	remaining int64 // upper bound of the bytes still to receive
	received  int64
	deadline  time.Time // of the attempt
	credit    waitCredit
	reusable  bool // the connection can be reused after the body
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
	s.credit.left = s.maxSilence()
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
	s.credit.receive(s.received, s.maxSilence())
	s.credit.wait(time.Since(c.wait.lastData))
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

// maxSilence returns the longest pause of the endpoint after the deadline of the attempt.
func (s *BodyStream) maxSilence() time.Duration {
	if s.isLong() {
		return maxLongSilence
	}
	return maxSilence
}

// isLong reports whether the body is known to be longer than SmallResponseBytes.
func (s *BodyStream) isLong() bool {
	return s.Length > SmallResponseBytes || s.received > SmallResponseBytes
}

// readDeadline returns when the wait for more of the body ends.
func (s *BodyStream) readDeadline() time.Time {
	now, lastByteDue := time.Now(), s.deadline.Add(lateResponseGrace)
	if s.Length >= 0 && !s.isLong() {
		return lastByteDue
	}
	end := later(lastByteDue, now.Add(s.credit.left))
	if end.Sub(now) < pendingDataTimeout && s.conn.hasPendingData() {
		return now.Add(pendingDataTimeout)
	}
	return end
}

// awaitConn calls wait, which waits for data on the connection, and takes the time off the credit. After a
// pause of this process wait is called once more, as data may have arrived meanwhile.
func (s *BodyStream) awaitConn(wait func() error) error {
	for repeated := false; ; repeated = true {
		began := time.Now()
		s.conn.SetReadDeadline(s.readDeadline())
		if s.aborted.Load() {
			return net.ErrClosed
		}
		err := wait()
		s.credit.wait(time.Since(began))
		if repeated || !errors.Is(err, os.ErrDeadlineExceeded) || s.aborted.Load() || !s.conn.hasPendingData() {
			return err
		}
	}
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
	return s.awaitConn(func() error { return socketstate.WaitReadable(s.conn.Conn) })
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
	n := 0
	err := s.awaitConn(func() (err error) {
		n, err = s.reader.Read(b[:min(int64(len(b)), s.remaining)])
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		return err
	})
	s.recordReceived(n)
	if err != io.EOF {
		return n, err
	}
	if s.Length >= 0 {
		return n, io.ErrUnexpectedEOF // the connection was closed inside the body
	}
	s.complete = true // the last chunk has come, or the end of the connection is the end of the body
	return n, io.EOF
}

// recordReceived records that n bytes of the body have been received.
func (s *BodyStream) recordReceived(n int) {
	wasLong := s.isLong()
	s.remaining -= int64(n)
	s.received += int64(n)
	if s.isLong() && !wasLong {
		s.credit.left = maxLongSilence
	}
	s.credit.receive(int64(n), s.maxSilence())
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
