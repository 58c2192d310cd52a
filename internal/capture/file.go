package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A file is its magic, which holds the version, and blocks: the length of what follows
// and its CRC-32C, 4 bytes each, little-endian, then events. Names and times carry
// over from one block to the next.
const (
	magic     = "gorselink capture 1\n"
	blockSize = 32 << 10 // bytes of events, about
	mostBlock = 8 << 20  // of one block, a list of some 100,000 endpoints
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Errors of a Reader beside those of what it reads from.
var (
	// ErrVersion is that of a file of another kind or version.
	ErrVersion = errors.New("capture: not a capture, or of another version")
	// ErrCut is that of a file which ends inside a block. All before it was read.
	ErrTruncated = errors.New("capture: the file ends inside a block")
	// ErrDamaged is that of a block whose sum is wrong.
	ErrDamaged = errors.New("capture: a block is damaged")
)

// Writer writes events. Its zero value is not usable; make it with NewWriter.
type Writer struct {
	out   io.Writer
	code  coder
	block []byte
	begun bool
	err   error
}

// NewWriter returns a Writer to out. It writes whole blocks.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write adds an event. The first error stays.
func (w *Writer) Write(e *Event) error {
	if w.err != nil {
		return w.err
	}
	if w.block == nil {
		w.block = make([]byte, 8, blockSize+1024)
	}
	w.block, w.err = w.code.append(w.block, e)
	if w.err == nil && len(w.block) >= blockSize {
		w.err = w.Flush()
	}
	return w.err
}

// Flush ends the block and writes it.
func (w *Writer) Flush() error {
	if w.err != nil || len(w.block) <= 8 {
		return w.err
	}
	if !w.begun {
		w.begun = true
		if _, w.err = io.WriteString(w.out, magic); w.err != nil {
			return w.err
		}
	}
	binary.LittleEndian.PutUint32(w.block, uint32(len(w.block)-8))
	binary.LittleEndian.PutUint32(w.block[4:], crc32.Checksum(w.block[8:], table))
	_, w.err = w.out.Write(w.block)
	w.block = w.block[:8]
	return w.err
}

// Reader reads events.
type Reader struct {
	in    *bufio.Reader
	code  coder
	block []byte
	rest  parser
	begun bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReader(in)} }

// Next reads the next event into e. It returns io.EOF at the end, ErrCut if the last
// block is not whole, and ErrDamaged or ErrVersion.
func (r *Reader) Next(e *Event) error {
	for len(r.rest.b) == 0 {
		if err := r.next(); err != nil {
			return err
		}
	}
	return r.code.parse(&r.rest, e)
}

func (r *Reader) next() error {
	if !r.begun {
		var head [len(magic)]byte
		if _, err := io.ReadFull(r.in, head[:]); err != nil || string(head[:]) != magic {
			return ErrVersion
		}
		r.begun = true
	}
	var head [8]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		return cut(err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n > mostBlock {
		return fmt.Errorf("%w: of %d bytes, want %d at most", ErrDamaged, n, mostBlock)
	}
	r.block = r.block[:0]
	for left := int(n); left > 0; { // grows with what comes, not with what is said
		step := min(left, blockSize)
		at := len(r.block)
		r.block = append(r.block, make([]byte, step)...)
		if _, err := io.ReadFull(r.in, r.block[at:]); err != nil {
			return ErrTruncated
		}
		left -= step
	}
	if crc32.Checksum(r.block, table) != binary.LittleEndian.Uint32(head[4:]) {
		return ErrDamaged
	}
	r.rest = parser{b: r.block}
	return nil
}

func cut(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
