package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	// maxChunkLineBytes bounds the line before a chunk: its size and extensions.
	maxChunkLineBytes = 4 << 10
	// maxChunkSizeDigits bounds the digits of a chunk size, including leading zeros.
	maxChunkSizeDigits = 16
	// Chunks may have chunkOverhead bytes of framing each and twice their data. What exceeds that
	// may add up to maxChunkOverhead, so that a sender of long extensions is detected.
	chunkOverhead    = 16
	maxChunkOverhead = 16 << 10
)

// errMalformedChunk is the error of a body that does not have the chunked transfer coding.
var errMalformedChunk = errors.New("malformed chunked body")

// ChunkedReader reads a body with the chunked transfer coding (RFC 9112, section 7.1), including
// its trailer section, which is checked and dropped.
//
// Unlike the reader of net/http it returns data as soon as some has arrived, also in the middle of a
// chunk. After an error of the underlying reader, such as an expired deadline, reading can
// continue. Errors of the coding are final.
type ChunkedReader struct {
	in           *bufio.Reader
	pending      func() bool
	state        chunkState
	remaining    int64 // bytes of the current chunk that have not been read
	overhead     int64 // bytes of framing beyond what is allowed
	trailerBytes int
	err          error // final
}

// chunkState is what a ChunkedReader reads next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd // the line end after the data
	chunkTrailers
)

// NewChunkedReader returns a reader of the body that follows in in. If pending is not nil, it reports
// whether the underlying reader has data that can be read without waiting. Read then returns as much as
// there is; otherwise it returns what in has buffered.
func NewChunkedReader(in *bufio.Reader, pending func() bool) *ChunkedReader {
	return &ChunkedReader{in: in, pending: pending}
}

// Read implements io.Reader. It waits only until there is some data, and returns io.EOF after the end
// of the trailer section.
func (r *ChunkedReader) Read(b []byte) (n int, err error) {
	for r.err == nil {
		if r.state == chunkData {
			if len(b) == 0 || n > 0 && !r.available(len(b)) {
				return n, nil
			}
			k, err := r.readData(b)
			n += k
			b = b[k:]
			if err != nil {
				return n, err
			}
			continue
		}
		if n > 0 && r.in.Buffered() == 0 && r.available(len(b)) {
			r.in.Peek(1) // does not wait; an error is returned by the next read
		}
		line, err := r.peekLine(n == 0)
		if err != nil || line == nil {
			return n, err
		}
		r.err = r.readLine(line)
	}
	return n, r.err
}

// minPendingRoom is the room in a buffer from which on it is worth asking for pending data.
const minPendingRoom = 4 << 10

// available reports whether more can be read without waiting, into a buffer with this room.
func (r *ChunkedReader) available(room int) bool {
	return r.in.Buffered() > 0 || r.pending != nil && room >= minPendingRoom && r.pending()
}

// readData reads data of the current chunk, with one read of the underlying reader at most.
func (r *ChunkedReader) readData(b []byte) (n int, err error) {
	n, err = r.in.Read(b[:min(int64(len(b)), r.remaining)])
	if r.remaining -= int64(n); r.remaining == 0 {
		r.state = chunkEnd
		r.skipChunkEnd()
		return n, nil
	}
	return n, unexpectedEnd(err)
}

// skipChunkEnd consumes the line end after the data of a chunk if it has arrived. It is what
// readLine does, faster for short chunks.
func (r *ChunkedReader) skipChunkEnd() {
	if r.in.Buffered() < len("\r\n") {
		return
	}
	if end, _ := r.in.Peek(len("\r\n")); string(end) == "\r\n" {
		r.in.Discard(len(end))
		r.state = chunkSize
	}
}

// peekLine returns the next line of the framing, with its end, without consuming it. If it has not
// arrived, peekLine waits for it or, unless wait is set, returns nil.
func (r *ChunkedReader) peekLine(wait bool) ([]byte, error) {
	for scanned := 0; ; {
		buffered, _ := r.in.Peek(r.in.Buffered())
		if i := bytes.IndexByte(buffered[scanned:], '\n'); i >= 0 {
			return buffered[:scanned+i+1], nil
		}
		if scanned = len(buffered); scanned >= r.maxLineBytes() {
			r.err = fmt.Errorf("%w: line longer than %d bytes", errMalformedChunk, r.maxLineBytes())
			return nil, r.err
		}
		if !wait {
			return nil, nil
		}
		if _, err := r.in.Peek(scanned + 1); err != nil {
			return nil, unexpectedEnd(err)
		}
	}
}

// readLine consumes a line of the framing, which peekLine has returned.
func (r *ChunkedReader) readLine(line []byte) error {
	text, err := trimLineEnd(line)
	if err != nil {
		return err
	}
	switch r.state {
	case chunkSize:
		err = r.beginChunk(text)
	case chunkEnd:
		r.state = chunkSize
		if len(text) > 0 {
			err = errMalformedChunk
		}
	case chunkTrailers:
		err = r.addTrailer(text)
	}
	r.in.Discard(len(line))
	return err
}

// trimLineEnd returns a line without its end, which must be CRLF.
func trimLineEnd(line []byte) ([]byte, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return nil, fmt.Errorf("%w: a line does not end with CRLF", errMalformedChunk)
	}
	return text, nil
}

// maxLineBytes returns the length of the longest line of the framing that may come next.
func (r *ChunkedReader) maxLineBytes() int {
	switch r.state {
	case chunkEnd:
		return len("\r\n")
	case chunkTrailers:
		return min(maxTrailerBytes, r.in.Size())
	}
	return min(maxChunkLineBytes, r.in.Size())
}

// beginChunk begins the chunk with this line, or the trailer section.
func (r *ChunkedReader) beginChunk(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := parseChunkSize(bytes.TrimRight(size, " \t"))
	if err != nil {
		return err
	}
	r.overhead = max(0, r.overhead+int64(len(line)+len("\r\n"))-chunkOverhead-2*min(n, math.MaxInt64/4))
	if r.overhead > maxChunkOverhead {
		return fmt.Errorf("%w: too much besides the data", errMalformedChunk)
	}
	r.remaining, r.state = n, chunkData
	if n == 0 {
		r.state = chunkTrailers
	}
	return nil
}

// parseChunkSize parses hexadecimal digits.
func parseChunkSize(text []byte) (n int64, err error) {
	if len(text) == 0 || len(text) > maxChunkSizeDigits {
		return 0, fmt.Errorf("%w: chunk size %.20q", errMalformedChunk, text)
	}
	for _, c := range text {
		digit := hexDigitValue(c)
		if digit < 0 || n > math.MaxInt64>>4 {
			return 0, fmt.Errorf("%w: chunk size %.20q", errMalformedChunk, text)
		}
		n = n<<4 | digit
	}
	return n, nil
}

// hexDigitValue returns the value of a hexadecimal digit, or -1.
func hexDigitValue(c byte) int64 {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0')
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10
	}
	return -1
}

// addTrailer checks a line of the trailer section. An empty one ends the body.
func (r *ChunkedReader) addTrailer(line []byte) error {
	if len(line) == 0 {
		return io.EOF
	}
	if r.trailerBytes += len(line) + len("\r\n"); r.trailerBytes > maxTrailerBytes {
		return fmt.Errorf("trailer section longer than %d bytes", maxTrailerBytes)
	}
	return checkTrailer(line)
}

// unexpectedEnd converts the error of a read inside a body.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
