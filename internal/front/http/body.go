package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"gorselink/internal/framing"
	"gorselink/internal/limit"
	"gorselink/internal/sock"
)

var (
	errBodyLong = errors.New("body is too long")
	errBodyRoom = errors.New("no room for the body")
	errBehind   = errors.New("bytes behind the request")
	errGone     = errors.New("the caller has left")
)

// firstChunk is what a body without a length is given room for at first; it
// grows to twice as much, and again, up to what is allowed.
const firstChunk = 64 << 10

// body is the body of a request: whole, or with a rest that is still to come and
// finds no room; nil if there is none.
type body struct {
	data []byte
	rest *restOf
	room limit.Hold
	long *limit.Bytes // where room for more than firstChunk is; without any, it is where the first is
}

// grow makes room for n bytes, which are more than firstChunk.
func (b *body) grow(n int64) bool {
	if b.long.Total() == 0 || b.room.Of(b.long) {
		return b.room.Grow(n)
	}
	more, ok := b.long.Reserve(n)
	if ok {
		b.room.Release()
		b.room = more
	}
	return ok
}

// release gives the memory back.
func (b *body) release() {
	if b == nil {
		return
	}
	b.data = nil
	b.room.Release()
}

// room is where bodies are held.
type room struct {
	short, long *limit.Bytes // long is for those over firstChunk, and may have no size
	streams     bool         // what finds no room is to be sent on while it comes
}

// most is the longest body that can be held.
func (r *room) most() int64 {
	if r.long.Total() > 0 {
		return r.long.Total()
	}
	return r.short.Total()
}

// readBody reads the body that the head h tells of, to its end if there is room.
// One that is longer than most is not read. Short bodies have room of their own,
// which long ones cannot use up. Where nothing streams, one that could never find
// room is too long.
func readBody(in *bufio.Reader, h *framing.Head, at room, most int64) (*body, error) {
	if !at.streams {
		most = min(most, at.most())
	}
	n := h.Length
	switch {
	case n == 0:
		return nil, nil
	case n > most:
		return nil, fmt.Errorf("%w: %d bytes, want %d at most", errBodyLong, n, most)
	case n < 0: // chunked: how long shows at its end
		n = min(firstChunk, most)
	}
	b := &body{long: at.long}
	budget := at.short
	if n > firstChunk && at.long.Total() > 0 {
		budget = at.long
	}
	var ok bool
	if b.room, ok = budget.Reserve(n); !ok {
		if !at.streams {
			return nil, errBodyRoom
		}
		b.rest = &restOf{in: in, h: h, most: most}
		return b, nil
	}
	var err error
	if h.Length > 0 {
		b.data = make([]byte, n)
		if _, err = io.ReadFull(in, b.data); err != nil {
			err = fmt.Errorf("body: %w", err)
		}
	} else {
		err = b.readChunks(&restOf{in: in, h: h, most: most}, n, at.streams)
	}
	if err != nil {
		b.release()
		return nil, err
	}
	b.room.Shrink(int64(len(b.data)))
	return b, nil
}

// readChunks reads to the end of in, with room for n bytes at first.
func (b *body) readChunks(in *restOf, n int64, streams bool) error {
	b.data = make([]byte, 0, n)
	for {
		into := b.data[len(b.data):n]
		if len(into) == 0 {
			if n == in.most {
				into = make([]byte, 1) // one more is too much
			} else if more := min(2*n, in.most); b.grow(more) {
				n = more
				b.data = append(make([]byte, 0, n), b.data...)
				continue
			} else if streams {
				b.rest = in
				return nil
			} else {
				return errBodyRoom
			}
		}
		k, err := in.Read(into)
		if err == nil || err == io.EOF {
			b.data = b.data[:len(b.data)+k]
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// restOf reads a body that the head h tells of as it comes.
type restOf struct {
	in     *bufio.Reader
	h      *framing.Head
	most   int64
	chunks io.Reader
	got    int64
}

// Read implements io.Reader. It ends with io.EOF after the last byte of the body.
func (r *restOf) Read(b []byte) (n int, err error) {
	if r.h.Length > 0 {
		if r.got == r.h.Length {
			return 0, io.EOF
		}
		n, err = r.in.Read(b[:min(int64(len(b)), r.h.Length-r.got)])
		r.got += int64(n)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	} else {
		if r.chunks == nil {
			r.chunks = httputil.NewChunkedReader(r.in)
		}
		n, err = r.chunks.Read(b)
		if r.got += int64(n); r.got > r.most {
			return 0, fmt.Errorf("%w: over %d bytes", errBodyLong, r.most)
		}
		if err == io.EOF {
			if err = framing.SkipTrailers(r.in); err == nil {
				return n, io.EOF
			}
		}
	}
	if err != nil {
		err = fmt.Errorf("body: %w", err)
	}
	return n, err
}

// whole tells whether the last byte of the body has been read, once a read has ended with err.
func (r *restOf) whole(err error) bool {
	return err == io.EOF || r.h.Length > 0 && r.got == r.h.Length
}

// presentBody is the rest of a body that is sent on while it comes, for as long as its
// caller is there. A read may be of bytes that lay here for long, while the process did not
// get to run, and what it brings is sent on at once: the last of it begins the request.
type presentBody struct {
	of   *caller
	rest *restOf
}

// Read implements io.Reader.
func (b *presentBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if err != nil && err != io.EOF {
		return n, err
	}
	state := b.of.peer.State()
	switch {
	case state == sock.Closed:
		return 0, errGone
	case b.rest.whole(err) && (state == sock.DataPending || b.of.in.Buffered() > 0):
		// What should not be there may hide that the caller has left.
		return 0, errBehind
	}
	return n, err
}
