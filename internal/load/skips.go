package load

import (
	"fmt"
	"io"

	"gorselink/internal/trace"
)

// mostSkips is how many bad lines of traces are told one by one.
const mostSkips = 10

// Skips tells of lines of traces that are skipped, and counts those that it does
// not tell one by one.
type Skips struct {
	To io.Writer
	n  int
}

// Tell tells of one line.
func (s *Skips) Tell(file string, line *trace.BadLine) {
	if s.n++; s.n <= mostSkips {
		fmt.Fprintf(s.To, "%s: skipped: %v\n", file, line)
	}
}

// End tells how many there were, if it has not told them all.
func (s *Skips) End() {
	if s.n > mostSkips {
		fmt.Fprintf(s.To, "%d lines of traces were skipped in all\n", s.n)
	}
}
