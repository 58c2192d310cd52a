// Package traffic says which request is due when. It is pure: a Plan is a
// sequence that follows from its streams and a seed, and nothing else; there is
// no I/O, clock or goroutine in it. The same seed gives the same sequence, to
// the nanosecond, however often and in how many parts it is read.
//
// A load generator that sends by such a plan is open loop: what is due does not
// hang on what has been answered. Closed loops wait for the answer before they
// ask again and so leave out just those requests that would have waited
// (coordinated omission; G. Tene, "How NOT to Measure Latency", 2013).
package traffic

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Part is a stretch of a Shape: the rate of arrivals as a function of the time
// since it began. Rates are requests a second.
type Part struct {
	Kind Kind
	For  time.Duration
	From float64       // hold: the rate; wave: the mean; spike: the base
	To   float64       // ramp, step: the last rate; spike: the peak; wave: the swing
	Rise time.Duration // spike: from base to peak; wave: the period
	N    int           // step: how many levels
}

// Kind is the form of a Part.
type Kind int

const (
	Hold  Kind = iota // one rate
	Ramp              // evenly from one rate to another
	Step              // levels of equal length, from one rate to another
	Spike             // from the base to the peak within Rise, then evenly back
	Wave              // a sine about the mean
)

var kindNames = [...]string{"hold", "ramp", "step", "spike", "wave"}

func (k Kind) String() string { return kindNames[k] }

// forms are what the parts look like in a script.
var forms = [...]string{
	"hold RATE FOR", "ramp FROM TO FOR", "step FROM TO LEVELS FOR", "spike BASE PEAK RISE FOR", "wave MEAN SWING PERIOD FOR",
}

// MaxRate and MaxSpan bound what a script may ask: more is a slip.
const (
	MaxRate = 10e6
	MaxSpan = 7 * 24 * time.Hour
)

// Shape is how the rate of arrivals goes over time. The zero Shape has none.
type Shape struct {
	parts  []Part
	pieces []piece
}

// piece is what parts are made of for reckoning: a rate that changes evenly, or
// a sine about such a one.
type piece struct {
	at, span float64 // seconds from the begin of the shape
	from, to float64 // rate at its begin and its end
	swing    float64
	omega    float64 // of the sine, 1/s
	before   float64 // arrivals expected before it
}

// NewShape makes a Shape of parts, one after the other.
func NewShape(parts ...Part) (*Shape, error) {
	s := &Shape{parts: parts}
	var total time.Duration
	for i, p := range parts {
		if err := p.check(); err != nil {
			return nil, fmt.Errorf("part %d: %w", i+1, err)
		}
		if total += p.For; total > MaxSpan {
			return nil, fmt.Errorf("part %d: the shape is over %v long", i+1, MaxSpan)
		}
		s.add(p)
	}
	if len(s.pieces) == 0 {
		return nil, errors.New("a shape without parts")
	}
	return s, nil
}

func (p *Part) check() error {
	rates := []float64{p.From, p.To}
	switch {
	case p.For <= 0:
		return fmt.Errorf("%v: %v long, want a time above 0", p.Kind, p.For)
	case p.Kind == Step && (p.N < 1 || p.N > 10000):
		return fmt.Errorf("step: %d levels, want 1 to 10000", p.N)
	case p.Kind == Spike && (p.Rise < 0 || p.Rise > p.For):
		return fmt.Errorf("spike: a rise of %v, want 0 to its length, %v", p.Rise, p.For)
	case p.Kind == Wave && p.Rise <= 0:
		return fmt.Errorf("wave: a period of %v, want a time above 0", p.Rise)
	case p.Kind == Wave && p.To > p.From:
		return fmt.Errorf("wave: a swing of %v about %v, want no rate below 0", p.To, p.From)
	}
	for _, r := range rates {
		if !(r >= 0 && r <= MaxRate) {
			return fmt.Errorf("%v: a rate of %v, want 0 to %v a second", p.Kind, r, MaxRate)
		}
	}
	return nil
}

// add appends the pieces of p.
func (s *Shape) add(p Part) {
	span := p.For.Seconds()
	switch p.Kind {
	case Hold:
		s.piece(piece{span: span, from: p.From, to: p.From})
	case Ramp:
		s.piece(piece{span: span, from: p.From, to: p.To})
	case Step:
		for i := range p.N {
			r := p.From
			if p.N > 1 {
				r += (p.To - p.From) * float64(i) / float64(p.N-1)
			}
			s.piece(piece{span: span / float64(p.N), from: r, to: r})
		}
	case Spike:
		s.piece(piece{span: p.Rise.Seconds(), from: p.From, to: p.To})
		s.piece(piece{span: span - p.Rise.Seconds(), from: p.To, to: p.From})
	case Wave:
		s.piece(piece{span: span, from: p.From, to: p.From, swing: p.To, omega: 2 * math.Pi / p.Rise.Seconds()})
	}
}

func (s *Shape) piece(p piece) {
	if p.span <= 0 {
		return
	}
	if n := len(s.pieces); n > 0 {
		last := &s.pieces[n-1]
		p.at, p.before = last.at+last.span, last.before+last.expected(last.span)
	}
	s.pieces = append(s.pieces, p)
}

// rate is the rate x seconds after the piece has begun.
func (p *piece) rate(x float64) float64 {
	return p.from + (p.to-p.from)*x/p.span + p.swing*math.Sin(p.omega*x)
}

// expected is how many arrivals are expected in its first x seconds: the
// integral of rate.
func (p *piece) expected(x float64) float64 {
	n := p.from*x + (p.to-p.from)*x*x/(2*p.span)
	if p.swing > 0 {
		n += p.swing / p.omega * (1 - math.Cos(p.omega*x))
	}
	return n
}

// when is the time x at which expected(x) is n, for n up to expected(span).
func (p *piece) when(n float64) float64 {
	if p.swing == 0 {
		slope := (p.to - p.from) / p.span
		if slope == 0 {
			return min(n/p.from, p.span)
		}
		// The root of slope/2 x² + from x - n, in the form that loses no digits
		// when the slope is small.
		return min(2*n/(p.from+math.Sqrt(max(0, p.from*p.from+2*slope*n))), p.span)
	}
	low, high := 0.0, p.span
	for x := min(n/p.from, p.span); ; {
		d := p.expected(x) - n
		if d > 0 {
			high = x
		} else {
			low = x
		}
		next := x - d/p.rate(x) // Newton's step, as long as it stays inside
		if !(next > low && next < high) {
			next = (low + high) / 2
		}
		if math.Abs(next-x) < 1e-10 || next == low || next == high {
			return next
		}
		x = next
	}
}

// Span is how long the shape is.
func (s *Shape) Span() time.Duration {
	last := &s.pieces[len(s.pieces)-1]
	return seconds(last.at + last.span)
}

// Total is how many arrivals are expected in all.
func (s *Shape) Total() float64 {
	last := &s.pieces[len(s.pieces)-1]
	return last.before + last.expected(last.span)
}

// Rate is the rate at a time since the shape's begin; 0 outside it.
func (s *Shape) Rate(at time.Duration) float64 {
	x := at.Seconds()
	for i := range s.pieces {
		if p := &s.pieces[i]; x >= p.at && x < p.at+p.span {
			return p.rate(x - p.at)
		}
	}
	return 0
}

// Expected is how many arrivals are expected before a time.
func (s *Shape) Expected(at time.Duration) float64 {
	x, n := at.Seconds(), 0.0
	for i := range s.pieces {
		if p := &s.pieces[i]; x >= p.at {
			n = p.before + p.expected(min(x-p.at, p.span))
		}
	}
	return n
}

// cursor finds ever later times in a Shape.
type cursor struct {
	s *Shape
	i int
}

// when is the time before which n arrivals are expected; n must not fall. It is
// false once n is beyond the shape.
func (c *cursor) when(n float64) (time.Duration, bool) {
	for ; c.i < len(c.s.pieces); c.i++ {
		p := &c.s.pieces[c.i]
		if inside := n - p.before; inside < p.expected(p.span) {
			return seconds(p.at + p.when(max(0, inside))), true
		}
	}
	return 0, false
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x * float64(time.Second))) }

// ParseShape reads a script: parts set apart by commas, semicolons or ends of
// lines, each a kind and its figures.
//
//	hold 500 10s, ramp 500 2000 30s, spike 500 5000 100ms 10s
//
// Rates are requests a second, times have their unit.
func ParseShape(script string) (*Shape, error) {
	var parts []Part
	for i, text := range strings.FieldsFunc(script, func(r rune) bool { return r == ',' || r == ';' || r == '\n' }) {
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		p, err := parsePart(words)
		if err != nil {
			return nil, fmt.Errorf("part %d %.60q: %w", i+1, strings.TrimSpace(text), err)
		}
		parts = append(parts, p)
	}
	return NewShape(parts...)
}

func parsePart(words []string) (Part, error) {
	for k, name := range kindNames {
		if words[0] != name {
			continue
		}
		form := strings.Fields(forms[k])
		if len(words) != len(form) {
			return Part{}, fmt.Errorf("%d words, want %s", len(words), forms[k])
		}
		p := Part{Kind: Kind(k)}
		for i, w := range words[1:] {
			if err := p.set(form[i+1], w); err != nil {
				return Part{}, err
			}
		}
		return p, p.check()
	}
	return Part{}, fmt.Errorf("no such kind, want one of %s", strings.Join(kindNames[:], ", "))
}

// set reads one figure of a part by its name in the form.
func (p *Part) set(name, word string) (err error) {
	switch name {
	case "FOR":
		p.For, err = time.ParseDuration(word)
	case "RISE", "PERIOD":
		p.Rise, err = time.ParseDuration(word)
	case "LEVELS":
		p.N, err = strconv.Atoi(word)
	case "RATE", "FROM", "MEAN", "BASE":
		p.From, err = strconv.ParseFloat(word, 64)
	default:
		p.To, err = strconv.ParseFloat(word, 64)
	}
	if err != nil {
		return fmt.Errorf("%s %q: want a number, or a time with its unit", name, word)
	}
	return nil
}

// String is a script of the shape.
func (s *Shape) String() string {
	var all []string
	for _, p := range s.parts {
		words := []string{p.Kind.String()}
		for _, name := range strings.Fields(forms[p.Kind])[1:] {
			switch name {
			case "FOR":
				words = append(words, p.For.String())
			case "RISE", "PERIOD":
				words = append(words, p.Rise.String())
			case "LEVELS":
				words = append(words, strconv.Itoa(p.N))
			case "RATE", "FROM", "MEAN", "BASE":
				words = append(words, strconv.FormatFloat(p.From, 'g', -1, 64))
			default:
				words = append(words, strconv.FormatFloat(p.To, 'g', -1, 64))
			}
		}
		all = append(all, strings.Join(words, " "))
	}
	return strings.Join(all, ", ")
}
