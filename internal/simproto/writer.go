package simproto

import (
	"bufio"
	"io"
	"strconv"
	"time"
)

// Writer writes actions. Write errors are returned by Reply.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16)}
}

// start begins a line with the action and the instance.
func (w *Writer) start(word string, instance int) {
	w.buf = append(w.buf[:0], word...)
	w.integer(uint64(instance))
}

func (w *Writer) integer(n uint64) {
	w.buf = append(w.buf, ' ')
	w.buf = strconv.AppendUint(w.buf, n, 10)
}

// time writes d in seconds, with microsecond precision.
func (w *Writer) time(d time.Duration) {
	w.buf = append(w.buf, ' ')
	us := d.Microseconds()
	w.buf = strconv.AppendInt(w.buf, us/1e6, 10)
	w.buf = append(w.buf, '.')
	fraction := us%1e6 + 1e6 // the leading 1, removed below, preserves leading zeros
	start := len(w.buf)
	w.buf = strconv.AppendInt(w.buf, fraction, 10)
	w.buf = append(w.buf[:start], w.buf[start+1:]...)
}

func (w *Writer) text(s string) {
	w.buf = append(w.buf, ' ')
	w.buf = append(w.buf, s...)
}

func (w *Writer) end() {
	w.buf = append(w.buf, '\n')
	w.out.Write(w.buf)
}

// Send writes that an attempt starts.
func (w *Writer) Send(instance int, id uint64, addr string, timeout time.Duration) {
	w.start("SEND", instance)
	w.integer(id)
	w.time(timeout)
	w.text(addr)
	w.end()
}

// Reject writes that a request is rejected.
func (w *Writer) Reject(instance int, id uint64, retryAfter time.Duration) {
	w.start("BOUNCE", instance)
	w.integer(id)
	w.time(retryAfter)
	w.end()
}

// Fail writes that a request fails.
func (w *Writer) Fail(instance int, id uint64) {
	w.start("SURRENDER", instance)
	w.integer(id)
	w.end()
}

// After writes that a timer is requested.
func (w *Writer) After(instance int, d time.Duration, token uint64) {
	w.start("DEFER", instance)
	w.time(d)
	w.integer(token)
	w.end()
}

// Release writes that the idle connections to an endpoint are closed.
func (w *Writer) Release(instance int, addr string) {
	w.start("RELEASE", instance)
	w.text(addr)
	w.end()
}

// Watch writes that an instance subscribes to endpoint updates.
func (w *Writer) Watch(instance int) {
	w.start("FOLLOW", instance)
	w.integer(1)
	w.end()
}

// Fault writes that an instance cannot run, and the reason.
func (w *Writer) Fault(instance int, text string) {
	w.start("FAULT", instance)
	w.text(text)
	w.end()
}

// Reply writes the end of the response to a batch and flushes the output.
func (w *Writer) Reply() error {
	w.out.WriteString("ACK\n")
	return w.out.Flush()
}
