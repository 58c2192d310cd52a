package load

import (
	"fmt"
	"io"

	"gorselink/internal/trace"
)

// maxSkipsReported is the number of skipped lines that are reported individually.
const maxSkipsReported = 10

// SkipReporter reports skipped trace lines, and counts those over the limit.
type SkipReporter struct {
	Out io.Writer
	n   int
}

// Report writes a line about one skipped line, up to maxSkipsReported of them.
func (s *SkipReporter) Report(file string, line *trace.BadLineError) {
	if s.n++; s.n <= maxSkipsReported {
		fmt.Fprintf(s.Out, "%s: skipped: %v\n", file, line)
	}
}

// Summarize writes the total if not every line was reported.
func (s *SkipReporter) Summarize() {
	if s.n > maxSkipsReported {
		fmt.Fprintf(s.Out, "%d trace lines were skipped in total\n", s.n)
	}
}
