package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
	"gorselink/internal/socketstate"
)

var (
	errBodyTooLong     = errors.New("request body too long")
	errNoBodyMemory    = errors.New("no memory available for the request body")
	errUnexpectedBytes = errors.New("unexpected bytes after the request")
	errCallerLeft      = errors.New("the caller closed its connection")
)

// initialBodyBytes is the memory first reserved for a body of unknown length. The
// reservation doubles as needed, up to the allowed length.
const initialBodyBytes = 64 << 10

// requestBody is the body of a request. If there is no memory for all of it, the rest is
// read from the connection while it is forwarded. It is nil for a request without a
// body.
type requestBody struct {
	data       []byte
	rest       *bodyReader // nil if data is the whole body
	reserved   bytebudget.Reservation
	longBudget *bytebudget.Budget // for more than initialBodyBytes, unless its total is 0
}

// grow extends the reservation to n bytes, more than initialBodyBytes, and reports
// whether there was enough memory.
func (b *requestBody) grow(n int64) bool {
	if b.longBudget.Total() == 0 || b.reserved.BelongsTo(b.longBudget) {
		return b.reserved.Grow(n)
	}
	more, ok := b.longBudget.Reserve(n)
	if ok {
		b.reserved.Release()
		b.reserved = more
	}
	return ok
}

// release returns the reserved memory to its budget.
func (b *requestBody) release() {
	if b == nil {
		return
	}
	b.data = nil
	b.reserved.Release()
}

// bodyMemory is the memory that request bodies are reserved from.
type bodyMemory struct {
	shortBudget, longBudget *bytebudget.Budget // longBudget is for bodies over initialBodyBytes and may have a total of 0
	canStream               bool               // a body without memory is forwarded while it arrives
}

// maxHeld returns the length of the longest body that can be held in memory.
func (m *bodyMemory) maxHeld() int64 {
	if m.longBudget.Total() > 0 {
		return m.longBudget.Total()
	}
	return m.shortBudget.Total()
}

// readBody reads the body announced by head, which may have maxBytes at most. A body for
// which there is no memory is left to be streamed if memory.canStream is set, and is an
// error otherwise. Short bodies have a budget of their own, which long ones cannot
// exhaust.
func readBody(in *bufio.Reader, head *http1.Head, memory bodyMemory, maxBytes int64) (*requestBody, error) {
	if !memory.canStream {
		maxBytes = min(maxBytes, memory.maxHeld())
	}
	n := head.Length
	switch {
	case n == 0:
		return nil, nil
	case n > maxBytes:
		return nil, fmt.Errorf("%w: %d bytes, at most %d allowed", errBodyTooLong, n, maxBytes)
	case n < 0: // chunked: the length is known only at the end
		n = min(initialBodyBytes, maxBytes)
	}
	b := &requestBody{longBudget: memory.longBudget}
	budget := memory.shortBudget
	if n > initialBodyBytes && memory.longBudget.Total() > 0 {
		budget = memory.longBudget
	}
	var ok bool
	if b.reserved, ok = budget.Reserve(n); !ok {
		if !memory.canStream {
			return nil, errNoBodyMemory
		}
		b.rest = &bodyReader{in: in, head: head, maxBytes: maxBytes}
		return b, nil
	}
	var err error
	if head.Length > 0 {
		b.data = make([]byte, n)
		if _, err = io.ReadFull(in, b.data); err != nil {
			err = fmt.Errorf("read request body: %w", err)
		}
	} else {
		err = b.readChunks(&bodyReader{in: in, head: head, maxBytes: maxBytes}, n, memory.canStream)
	}
	if err != nil {
		b.release()
		return nil, err
	}
	b.reserved.Shrink(int64(len(b.data)))
	return b, nil
}

// readChunks reads a chunked body to its end, with n bytes reserved at first. If no more memory
// can be reserved, it leaves the rest to be streamed or, unless canStream is set, fails.
func (b *requestBody) readChunks(in *bodyReader, n int64, canStream bool) error {
	b.data = make([]byte, 0, n)
	for {
		into := b.data[len(b.data):n]
		if len(into) == 0 {
			if n == in.maxBytes {
				into = make([]byte, 1) // detects a body longer than allowed
			} else if more := min(2*n, in.maxBytes); b.grow(more) {
				n = more
				b.data = append(make([]byte, 0, n), b.data...)
				continue
			} else if canStream {
				b.rest = in
				return nil
			} else {
				return errNoBodyMemory
			}
		}
		k, err := in.Read(into)
		if err == nil || err == io.EOF {
			b.data = b.data[:len(b.data)+k]
		}
		if err == io.EOF {
			if len(b.data) < cap(b.data) {
				b.data = bytes.Clone(b.data) // to hold only what stays reserved
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyReader reads the body announced by head while it arrives.
type bodyReader struct {
	in       *bufio.Reader
	head     *http1.Head
	maxBytes int64
	chunked  *http1.ChunkedReader
	received int64 // bytes
}

// Read implements io.Reader. It returns io.EOF after the last byte of the body.
func (r *bodyReader) Read(b []byte) (n int, err error) {
	if r.head.Length > 0 {
		if r.received == r.head.Length {
			return 0, io.EOF
		}
		n, err = r.in.Read(b[:min(int64(len(b)), r.head.Length-r.received)])
		r.received += int64(n)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	} else {
		if r.chunked == nil {
			r.chunked = http1.NewChunkedReader(r.in, nil)
		}
		n, err = r.chunked.Read(b)
		if r.received += int64(n); r.received > r.maxBytes {
			return 0, fmt.Errorf("%w: more than %d bytes", errBodyTooLong, r.maxBytes)
		}
		if err == io.EOF {
			return n, err
		}
	}
	if err != nil {
		err = fmt.Errorf("read request body: %w", err)
	}
	return n, err
}

// complete reports whether the whole body has been read, after a Read that returned err.
func (r *bodyReader) complete(err error) bool {
	return err == io.EOF || r.head.Length > 0 && r.received == r.head.Length
}

// checkedBody reads the rest of a streamed body and fails once the caller has closed its
// connection. It checks after each read, because the bytes may have arrived long before,
// while the process was not scheduled, and the last of them lets the request run.
type checkedBody struct {
	conn *callerConn
	rest *bodyReader
}

// WaitForData implements upstream.DataWaiter.
func (b *checkedBody) WaitForData() error {
	b.conn.paced.stopReadAhead()
	if b.conn.in.Buffered() > 0 || b.rest.complete(nil) {
		return nil
	}
	if err := b.conn.paced.waitForData(); err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	return nil
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.conn.paced.stopReadAhead()
	n, err := b.rest.Read(p)
	if err != nil && err != io.EOF {
		return n, err
	}
	state := b.conn.peer.State()
	switch {
	case state == socketstate.Closed:
		return 0, errCallerLeft
	case b.rest.complete(err) && (state == socketstate.DataPending || b.conn.in.Buffered() > 0 || b.conn.paced.hasReadAhead()):
		// Unexpected bytes may hide that the caller has closed its connection.
		return 0, errUnexpectedBytes
	}
	return n, err
}
