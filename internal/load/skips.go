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
type SkipReporter struct {
	Out io.Writer
	n   int
}

// Tell tells of one line.
func (s *SkipReporter) Report(file string, line *trace.BadLine) {
	if s.n++; s.n <= mostSkips {
		fmt.Fprintf(s.Out, "%s: skipped: %v\n", file, line)
	}
}

// End tells how many there were, if it has not told them all.
func (s *SkipReporter) Summarize() {
	if s.n > mostSkips {
		fmt.Fprintf(s.Out, "%d lines of traces were skipped in all\n", s.n)
	}
}
