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
	"gorselink/internal/framing"
)

// restTime is how long a long answer may stop. What its endpoint still gives must
// reach the caller, and nothing can be tried again once it has begun; this only
// keeps one that has stopped for good from holding a connection.
const restTime = 10 * time.Second

// Rest is what is still coming of an answer too long to be held. Reading ends
// with io.EOF after its last byte, and with another error where it breaks off.
type BodyStream struct {
	Length int64 // of the whole body in bytes; -1 where only its end will show it

	c       *conn
	in      io.Reader
	left    int64 // that may come at most
	chunked bool
	again   bool // the connection can be used again once all has come
	done    bool
	gone    bool        // the connection has been let go of
	cut     atomic.Bool // nothing more is wanted
	spool   *spool
}

// begin begins an answer that is too long to be held. It returns nil if the
// answer is not; nothing has been read then, or all of it.
func (c *conn) begin(h *framing.Head) (a *Response, again bool, err error) {
	most := c.target.pool.cfg.MaxStreamBytes
	if h.Length > most {
		return nil, false, spoilt{fmt.Errorf("body of %d bytes, want %d at most", h.Length, most)}
	}
	r := &BodyStream{Length: h.Length, c: c, chunked: h.Chunked, again: !h.Close && (h.Chunked || h.Length >= 0)}
	switch {
	case h.Length > SmallAnswer:
		r.in, r.left = c.in, h.Length
		return &Response{Status: h.Status, Fields: h.Fields, Remaining: r}, false, nil
	case h.Length >= 0:
		return nil, false, nil
	}
	r.in, r.left = c.in, most
	if h.Chunked {
		r.in = httputil.NewChunkedReader(c.in)
	}
	// Most of these are short as well, and can be tried again until they are
	// whole.
	body := make([]byte, 0, 4<<10)
	for len(body) < SmallAnswer {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.in.Read(body[len(body):min(cap(body), SmallAnswer)])
		body = body[:len(body)+n]
		if err == io.EOF && h.Chunked {
			if err = framing.SkipTrailers(c.in); err == nil {
				err = io.EOF
			}
		}
		if err == io.EOF {
			return &Response{Status: h.Status, Fields: h.Fields, Body: body}, r.again && c.in.Buffered() == 0, nil
		}
		if err != nil {
			return nil, false, chunkError(err, h.Chunked)
		}
	}
	r.left -= int64(len(body))
	return &Response{Status: h.Status, Fields: h.Fields, Body: body, Remaining: r}, false, nil
}

// streamed is the outcome of an attempt whose answer begin has begun.
func streamed(err error) balance.Result {
	if err != nil {
		return broken(err)
	}
	return balance.OK
}

// Read implements io.Reader.
func (r *BodyStream) Read(b []byte) (int, error) {
	if r.spool != nil {
		return r.spool.read(b)
	}
	return r.direct(b)
}

func (r *BodyStream) direct(b []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	if r.left == 0 {
		if r.Length >= 0 {
			r.done = true
			return 0, io.EOF
		}
		return 0, errors.New("the answer is longer than what is passed on")
	}
	r.c.SetReadDeadline(time.Now().Add(restTime))
	if r.cut.Load() {
		return 0, net.ErrClosed
	}
	n, err := r.in.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	if err != io.EOF {
		return n, err
	}
	switch {
	case r.Length >= 0:
		err = io.ErrUnexpectedEOF // its connection ended before it did
	case r.chunked:
		if err = framing.SkipTrailers(r.c.in); err == nil {
			r.done, err = true, io.EOF
		}
	default:
		r.done = true // the end of the connection is that of the answer
	}
	return n, err
}

// close ends the answer, wherever it is.
func (r *BodyStream) close() {
	if r.spool != nil {
		r.spool.close()
	}
	r.letGo()
}

// letGo lets go of the connection.
func (r *BodyStream) letGo() {
	if r.gone {
		return
	}
	r.gone = true
	if r.done && r.again && r.c.in.Buffered() == 0 {
		r.c.target.pool.giveBack(r.c)
		return
	}
	r.c.target.pool.lose(r.c, false)
}
