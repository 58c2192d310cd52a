package upstream

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"gorselink/balance"
	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
)

// invalidResponseError is the error of a response that arrived but cannot be used.
type invalidResponseError struct{ error }

// readHead reads the head of the final response and skips interim responses.
func (c *conn) readHead(deadline time.Time) (*http1.Head, error) {
	c.responseStarted = false
	for range maxInterimResponses + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.responseStarted = true
		c.beginResponse(deadline)
		// Fail on data that is not HTTP without waiting for a complete head.
		if b, err := c.reader.Peek(len(protocolPrefix)); err == nil && string(b) != protocolPrefix {
			return nil, invalidResponseError{fmt.Errorf("invalid response: starts with %q, want an HTTP/1 status line", b)}
		}
		raw, err := http1.PeekHead(c.reader)
		if errors.Is(err, http1.ErrHeadTooLong) {
			return nil, invalidResponseError{err}
		}
		if err != nil {
			return nil, midResponseError(err)
		}
		var ok bool
		c.headMemory.Release()
		if c.headMemory, ok = c.target.pool.reserveHead(raw); !ok {
			return nil, invalidResponseError{errNoHeadMemory}
		}
		h := &c.responseHead
		if err := h.ParseResponse(raw); err != nil {
			return nil, invalidResponseError{err}
		}
		c.reader.Discard(len(raw))
		if h.Status == http.StatusSwitchingProtocols {
			return nil, invalidResponseError{errors.New("invalid response: unsolicited 101 Switching Protocols")}
		}
		if h.Status >= 200 {
			return h, nil
		}
		c.suspendResponse(deadline)
	}
	return nil, invalidResponseError{errors.New("invalid response: too many interim responses")}
}

const protocolPrefix = "HTTP/1."

// errResponseStopped means that the endpoint has stopped inside its response, and that the time for the
// rest has ended.
var errResponseStopped = errors.New("the response stopped before its end")

// midResponseError converts a read error in the middle of a response. A timeout makes the
// response invalid, and a broken connection does not.
func midResponseError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invalidResponseError{errResponseStopped}
	}
	return err
}

// isRejection reports whether the endpoint rejected the request without executing it.
func isRejection(h *http1.Head) bool {
	return (h.Status == http.StatusServiceUnavailable || h.Status == http.StatusGatewayTimeout) &&
		h.Fields.Get("X-Rejected") == "1"
}

// receive reads the response to the request that has been sent. reusable reports whether the
// connection can be used for another request. err is the reason for which a response is unusable.
func (c *conn) receive(r *Request, deadline time.Time) (resp *Response, reusable bool, result balance.Result, err error) {
	h, err := c.readHead(deadline)
	if err != nil {
		return nil, false, failureResult(err), err
	}
	success := c.target.pool.isSuccess(h.Status)
	if c.target.pool.cfg.MaxStreamBytes > 0 && success && !hasNoBody(h, r.Method) {
		resp, reusable, err := c.receiveBody(h)
		return resp, reusable, streamResult(err), err
	}
	if !success && !c.target.pool.cfg.PassThroughStatus {
		c.wait.maxPause = discardPauseTimeout
		return nil, c.discardBody(h, r.Method) && !h.Close && c.reader.Buffered() == 0, failedStatusResult(h), statusError(h.Status)
	}
	body, memory, err := c.readBody(h, r.Method)
	reusable = err == nil && !h.Close && c.reader.Buffered() == 0
	switch {
	case !success:
		result = failedStatusResult(h)
	case err != nil:
		reusable, result = false, failureResult(err)
	}
	if err != nil || result != balance.OK && (result != balance.Error || !c.target.pool.cfg.PassThroughStatus) {
		memory.Release()
		return nil, reusable, result, cmp.Or(err, error(statusError(h.Status)))
	}
	return &Response{Status: h.Status, Fields: h.Fields, Body: body, memory: memory}, reusable, result, nil
}

// statusError is the status of a response that is not a success.
type statusError int

// Error implements error.
func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// failedStatusResult returns the result of an attempt whose response has a status that is not a
// success.
func failedStatusResult(h *http1.Head) balance.Result {
	if isRejection(h) {
		return balance.Overloaded
	}
	return balance.Error
}

// isSuccess reports whether a response with this status counts as a success.
func (p *Pool) isSuccess(status int) bool {
	return status == http.StatusOK || p.cfg.PassThroughStatus && status < 500
}

// hasNoBody reports whether a response has no body regardless of its length fields (RFC 9112,
// section 6.3).
func hasNoBody(h *http1.Head, method string) bool {
	return method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
}

// readBody reads the complete body of a response. The caller must release memory, also after
// an error.
func (c *conn) readBody(h *http1.Head, method string) (data []byte, memory bytebudget.Reservation, err error) {
	if h.Length == 0 || hasNoBody(h, method) {
		return nil, memory, nil
	}
	maxBytes := c.target.pool.cfg.MaxResponseBytes
	if h.Length > int64(maxBytes) {
		return nil, memory, invalidResponseError{fmt.Errorf("response body too long: %d bytes, limit %d", h.Length, maxBytes)}
	}
	if h.Length > 0 {
		if h.Length > SmallResponseBytes {
			var ok bool
			if memory, ok = c.target.pool.responseMemory.Reserve(h.Length); !ok {
				return nil, memory, invalidResponseError{fmt.Errorf("response memory exhausted: cannot buffer a body of %d bytes", h.Length)}
			}
		}
		data, err = c.readSizedBody(h.Length)
		return data, memory, err
	}
	// Without a length and without chunked coding the body ends with the connection (RFC 9112,
	// section 6.3), with or without "Connection: close". A reset is an error.
	return c.readUnsizedBody(h.Chunked, maxBytes)
}

// readSizedBody reads a body of n bytes.
func (c *conn) readSizedBody(n int64) ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(c.reader, data); err != nil {
		return nil, midResponseError(err)
	}
	return data, nil
}

// discardBufferBytes is the size of the buffer for a body that is not used.
const discardBufferBytes = 1 << 10

// discardBody reads a body that is not used, without holding it in memory. It reports whether the
// body was complete and not too long.
func (c *conn) discardBody(h *http1.Head, method string) bool {
	if h.Length == 0 || hasNoBody(h, method) {
		return true
	}
	maxBytes := c.target.pool.cfg.MaxResponseBytes
	if h.Length > int64(maxBytes) {
		return false
	}
	if h.Length > 0 {
		_, err := c.reader.Discard(int(h.Length))
		return err == nil
	}
	if !h.Chunked {
		return false // the end of the body is the end of the connection
	}
	body := http1.NewChunkedReader(c.reader, nil)
	buf := make([]byte, discardBufferBytes)
	for received := 0; received <= maxBytes; {
		n, err := body.Read(buf)
		received += n
		if err != nil {
			return err == io.EOF
		}
	}
	return false
}

// readUnsizedBody reads a body whose length is known only at its end.
func (c *conn) readUnsizedBody(chunked bool, maxBytes int) (data []byte, memory bytebudget.Reservation, err error) {
	var body bytes.Buffer
	var in io.Reader = c.reader
	if chunked {
		in = http1.NewChunkedReader(c.reader, nil)
	}
	read := func(sizeLimit int) error {
		if _, err := body.ReadFrom(io.LimitReader(in, int64(sizeLimit+1-body.Len()))); err != nil {
			return unsizedBodyError(err, chunked)
		}
		if body.Len() > sizeLimit {
			return invalidResponseError{fmt.Errorf("response body too long: more than %d bytes", sizeLimit)}
		}
		return nil
	}
	if err := read(min(SmallResponseBytes, maxBytes)); err == nil || body.Len() <= SmallResponseBytes {
		return body.Bytes(), memory, err
	}
	memory, ok := c.target.pool.responseMemory.Reserve(2 * int64(maxBytes)) // the buffer's capacity may be twice the length
	if !ok {
		return nil, memory, invalidResponseError{fmt.Errorf("response memory exhausted: cannot buffer a body of up to %d bytes", maxBytes)}
	}
	err = read(maxBytes)
	memory.Shrink(int64(body.Cap()))
	return body.Bytes(), memory, err
}

// unsizedBodyError converts a read error inside a body of unknown length.
func unsizedBodyError(err error, chunked bool) error {
	var netErr net.Error
	if chunked && !errors.As(err, &netErr) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return invalidResponseError{err} // malformed chunk
	}
	return midResponseError(err)
}

// failureResult returns the result of an attempt that was sent and received no complete
// response. An invalid response counts as an error of the endpoint: its process is alive, and
// it may have executed the request.
func failureResult(err error) balance.Result {
	var invalid invalidResponseError
	switch {
	case errors.As(err, &invalid):
		return balance.Error
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
