package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"

	"gorselink/internal/load"
)

// isTerminal tells whether what is written to f is seen by a person, on a
// screen that can be drawn over.
func isTerminal(f *os.File) bool {
	return term.IsTerminal(int(f.Fd())) && os.Getenv("TERM") != "dumb"
}

// Control sequences of ECMA-48: to the line's begin, erase to its end, up so
// many lines.
const (
	lineBegin = "\r"
	eraseRest = "\x1b[K"
	upLines   = "\x1b[%dA"
)

// drawing is a block of lines that is drawn over itself on a terminal, and
// written anew each time elsewhere.
type drawing struct {
	to     io.Writer
	redraw bool
	drawn  int // lines of the last time
}

func (d *drawing) show(text string) {
	if !d.redraw {
		io.WriteString(d.to, text)
		return
	}
	var out strings.Builder
	if d.drawn > 0 {
		fmt.Fprintf(&out, upLines, d.drawn)
	}
	d.drawn = 0
	for line := range strings.Lines(text) {
		out.WriteString(lineBegin + strings.TrimSuffix(line, "\n") + eraseRest + "\n")
		d.drawn++
	}
	io.WriteString(d.to, out.String())
}

// liveLine shows how a run stands.
type liveLine struct{ drawing }

func newLiveLine(to io.Writer, redraw bool) *liveLine {
	return &liveLine{drawing{to: to, redraw: redraw}}
}

func (l *liveLine) show(v load.Live) {
	l.drawing.show(fmt.Sprintf("%5.0f s  %d due  %d ended  %d open\n", v.At.Seconds(), v.Due, v.Ended, v.InFlight))
}
