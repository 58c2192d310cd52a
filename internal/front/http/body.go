package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"gorselink/internal/framing"
	"gorselink/internal/limit"
)

var (
	errBodyLong = errors.New("body is too long")
	errBodyRoom = errors.New("no room for the body")
)

// firstChunk is what a body without a length is given room for at first; it
// grows to twice as much, and again, up to what is allowed.
const firstChunk = 64 << 10

// body is a whole request body; nil if there is none.
type body struct {
	data []byte
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

// readBody reads the body that the head h tells of to its end. One that is longer
// than most, or finds no room, is not read. Short bodies have a budget of their
// own, which long ones cannot use up. One that could never find room is too long.
func readBody(in *bufio.Reader, h *framing.Head, short, long *limit.Bytes, most int64) (*body, error) {
	if long.Total() > 0 {
		most = min(most, long.Total())
	} else {
		most = min(most, short.Total())
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
	b := &body{long: long}
	budget := short
	if n > firstChunk && long.Total() > 0 {
		budget = long
	}
	var ok bool
	if b.room, ok = budget.Reserve(n); !ok {
		return nil, errBodyRoom
	}
	var err error
	if h.Length > 0 {
		b.data = make([]byte, n)
		if _, err = io.ReadFull(in, b.data); err != nil {
			err = fmt.Errorf("body: %w", err)
		}
	} else {
		if err = b.readChunks(httputil.NewChunkedReader(in), n, most); err == nil {
			err = framing.SkipTrailers(in)
		}
	}
	if err != nil {
		b.release()
		return nil, err
	}
	b.room.Shrink(int64(len(b.data)))
	return b, nil
}

// readChunks reads to the end of in, with room for n bytes at first.
func (b *body) readChunks(in io.Reader, n, most int64) error {
	b.data = make([]byte, 0, n)
	for {
		into := b.data[len(b.data):n]
		if len(into) == 0 && n == most {
			into = make([]byte, 1) // one more is too much
		} else if len(into) == 0 {
			n = min(2*n, most)
			if !b.grow(n) {
				return errBodyRoom
			}
			b.data = append(make([]byte, 0, n), b.data...)
			continue
		}
		k, err := in.Read(into)
		if int64(len(b.data)+k) > most {
			return fmt.Errorf("%w: over %d bytes", errBodyLong, most)
		}
		b.data = b.data[:len(b.data)+k]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("body: %w", err)
		}
	}
}
