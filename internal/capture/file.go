package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A file has a header with the version, followed by blocks. A block has the length and
// the CRC-32C of its events, 4 bytes each in little-endian order, and then the events.
// Times, IDs and address numbers continue from one block to the next.
const (
	magic        = "gorselink capture 1\n"
	blockSize    = 32 << 10 // size in bytes at which a block is written
	maxBlockSize = 8 << 20  // in bytes; enough for a list of 100,000 endpoints
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Errors of a Reader, besides those of its input.
var (
	// ErrVersion means that the file is not a capture or has another version.
	ErrVersion = errors.New("capture: not a capture file or unsupported version")
	// ErrTruncated means that the file ends within a block. All earlier blocks were read.
	ErrTruncated = errors.New("capture: file is truncated within a block")
	// ErrDamaged means that a block has a wrong checksum or an invalid length.
	ErrDamaged = errors.New("capture: block is damaged")
)

// Writer writes events to a capture file. Create it with NewWriter.
type Writer struct {
	out        io.Writer
	codec      codec
	block      []byte
	headerDone bool
	err        error
}

// NewWriter returns a Writer to out, to which it writes one block at a time.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write adds an event. After an error, all calls return that error.
func (w *Writer) Write(e *Event) error {
	if w.err != nil {
		return w.err
	}
	if w.block == nil {
		w.block = make([]byte, 8, blockSize+1024)
	}
	w.block, w.err = w.codec.appendEvent(w.block, e)
	if w.err == nil && len(w.block) >= blockSize {
		w.err = w.Flush()
	}
	return w.err
}

// Flush writes the current block, unless it is empty.
func (w *Writer) Flush() error {
	if w.err != nil || len(w.block) <= 8 {
		return w.err
	}
	if !w.headerDone {
		w.headerDone = true
		if _, w.err = io.WriteString(w.out, magic); w.err != nil {
			return w.err
		}
	}
	binary.LittleEndian.PutUint32(w.block, uint32(len(w.block)-8))
	binary.LittleEndian.PutUint32(w.block[4:], crc32.Checksum(w.block[8:], crcTable))
	_, w.err = w.out.Write(w.block)
	w.block = w.block[:8]
	return w.err
}

// Reader reads the events of a capture file. Create it with NewReader.
type Reader struct {
	in         *bufio.Reader
	codec      codec
	block      []byte
	events     parser
	headerDone bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReader(in)} }

// Next reads the next event into e. It returns io.EOF at the end of the file, and
// ErrTruncated, ErrDamaged or ErrVersion for an invalid file.
func (r *Reader) Next(e *Event) error {
	for len(r.events.rest) == 0 {
		if err := r.readBlock(); err != nil {
			return err
		}
	}
	return r.codec.parseEvent(&r.events, e)
}

func (r *Reader) readBlock() error {
	if !r.headerDone {
		var header [len(magic)]byte
		if _, err := io.ReadFull(r.in, header[:]); err != nil || string(header[:]) != magic {
			return ErrVersion
		}
		r.headerDone = true
	}
	var header [8]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return truncated(err)
	}
	n := binary.LittleEndian.Uint32(header[:])
	if n > maxBlockSize {
		return fmt.Errorf("%w: length of %d bytes, want at most %d", ErrDamaged, n, maxBlockSize)
	}
	r.block = r.block[:0]
	for remaining := int(n); remaining > 0; { // the buffer grows only with the data that is read
		step := min(remaining, blockSize)
		at := len(r.block)
		r.block = append(r.block, make([]byte, step)...)
		if _, err := io.ReadFull(r.in, r.block[at:]); err != nil {
			return ErrTruncated
		}
		remaining -= step
	}
	if crc32.Checksum(r.block, crcTable) != binary.LittleEndian.Uint32(header[4:]) {
		return ErrDamaged
	}
	r.events = parser{rest: r.block}
	return nil
}

// truncated returns ErrTruncated in place of io.ErrUnexpectedEOF.
func truncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
