package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"

	"gorselink/internal/load"
)

// isTerminal reports whether f is a terminal on which lines can be overwritten.
func isTerminal(f *os.File) bool {
	return term.IsTerminal(int(f.Fd())) && os.Getenv("TERM") != "dumb"
}

// Control sequences of ECMA-48. upLinesFormat takes the number of lines.
const (
	toLineStart    = "\r"
	eraseToLineEnd = "\x1b[K"
	upLinesFormat  = "\x1b[%dA"
)

// textBlock is a block of lines. On a terminal each new version overwrites the previous
// one; otherwise it is appended.
type textBlock struct {
	out        io.Writer
	redraw     bool
	drawnLines int // number of lines of the previous version
}

func (d *textBlock) show(text string) {
	if !d.redraw {
		io.WriteString(d.out, text)
		return
	}
	var out strings.Builder
	if d.drawnLines > 0 {
		fmt.Fprintf(&out, upLinesFormat, d.drawnLines)
	}
	d.drawnLines = 0
	for line := range strings.Lines(text) {
		out.WriteString(toLineStart + strings.TrimSuffix(line, "\n") + eraseToLineEnd + "\n")
		d.drawnLines++
	}
	io.WriteString(d.out, out.String())
}

// progressLine shows the progress of a load run.
type progressLine struct{ textBlock }

func newProgressLine(to io.Writer, redraw bool) *progressLine {
	return &progressLine{textBlock{out: to, redraw: redraw}}
}

func (l *progressLine) show(v load.Progress) {
	l.textBlock.show(fmt.Sprintf("%5.0f s  %d due  %d ended  %d open\n", v.At.Seconds(), v.Due, v.Ended, v.InFlight))
}
