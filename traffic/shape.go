// Package traffic computes which requests are due when. It does no I/O, reads no
// clock and starts no goroutine: a Plan follows from its streams and a seed, and
// the same seed gives the same sequence to the nanosecond.
//
// A load generator that follows a Plan is open loop: due times do not depend on
// responses. A closed loop waits for each response before it sends the next
// request and so omits the requests that would have waited (coordinated omission;
// G. Tene, "How NOT to Measure Latency", 2013).
package traffic

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Segment is a section of a Shape in which the arrival rate follows one function
// of time. Rates are requests per second.
type Segment struct {
	Kind     SegmentKind
	Duration time.Duration
	From     float64       // hold: the rate; wave: the mean; spike: the base; ramp, step: the first rate
	To       float64       // ramp, step: the last rate; spike: the peak; wave: the amplitude
	Rise     time.Duration // spike: time from base to peak; wave: the period
	Levels   int           // step: number of levels
}

// SegmentKind is the rate function of a Segment.
type SegmentKind int

const (
	Hold  SegmentKind = iota // constant rate
	Ramp                     // linear from one rate to another
	Step                     // levels of equal length, from one rate to another
	Spike                    // linear from the base to the peak within Rise, then linear back
	Wave                     // sine around the mean
)

var kindNames = [...]string{"hold", "ramp", "step", "spike", "wave"}

func (k SegmentKind) String() string { return kindNames[k] }

// kindSyntax is the syntax of each kind of segment in a script.
var kindSyntax = [...]string{
	"hold RATE FOR", "ramp FROM TO FOR", "step FROM TO LEVELS FOR", "spike BASE PEAK RISE FOR", "wave MEAN SWING PERIOD FOR",
}

// MaxRate and MaxSpan bound the rates, in requests per second, and the length of
// a shape.
const (
	MaxRate = 10e6
	MaxSpan = 7 * 24 * time.Hour
)

// Shape is the arrival rate as a function of time. The zero Shape has no segments.
type Shape struct {
	segments  []Segment
	intervals []interval
}

// interval is a section of a Shape with a closed-form integral: a linear rate,
// optionally with a sine added to it.
type interval struct {
	start, span float64 // seconds; start is relative to the start of the shape
	from, to    float64 // rate at the start and the end of the interval
	amplitude   float64
	omega       float64 // angular frequency of the sine, 1/s
	before      float64 // arrivals expected before the interval
}

// NewShape returns the Shape of consecutive segments.
func NewShape(segments ...Segment) (*Shape, error) {
	s := &Shape{segments: segments}
	var total time.Duration
	for i, segment := range segments {
		if err := segment.check(); err != nil {
			return nil, fmt.Errorf("segment %d: %w", i+1, err)
		}
		if total += segment.Duration; total > MaxSpan {
			return nil, fmt.Errorf("segment %d: the shape is longer than %v", i+1, MaxSpan)
		}
		s.addSegment(segment)
	}
	if len(s.intervals) == 0 {
		return nil, errors.New("shape without segments")
	}
	return s, nil
}

func (segment *Segment) check() error {
	rates := []float64{segment.From, segment.To}
	switch {
	case segment.Duration <= 0:
		return fmt.Errorf("%v: duration %v, want a duration above 0", segment.Kind, segment.Duration)
	case segment.Kind == Step && (segment.Levels < 1 || segment.Levels > 10000):
		return fmt.Errorf("step: %d levels, want 1 to 10000", segment.Levels)
	case segment.Kind == Spike && (segment.Rise < 0 || segment.Rise > segment.Duration):
		return fmt.Errorf("spike: rise %v, want 0 to the segment's duration, %v", segment.Rise, segment.Duration)
	case segment.Kind == Wave && segment.Rise <= 0:
		return fmt.Errorf("wave: period %v, want a duration above 0", segment.Rise)
	case segment.Kind == Wave && segment.To > segment.From:
		return fmt.Errorf("wave: amplitude %v around a mean of %v gives rates below 0", segment.To, segment.From)
	}
	for _, r := range rates {
		if !(r >= 0 && r <= MaxRate) {
			return fmt.Errorf("%v: rate %v, want 0 to %v requests per second", segment.Kind, r, MaxRate)
		}
	}
	return nil
}

// addSegment appends the intervals of a segment.
func (s *Shape) addSegment(segment Segment) {
	span := segment.Duration.Seconds()
	switch segment.Kind {
	case Hold:
		s.addInterval(interval{span: span, from: segment.From, to: segment.From})
	case Ramp:
		s.addInterval(interval{span: span, from: segment.From, to: segment.To})
	case Step:
		for i := range segment.Levels {
			r := segment.From
			if segment.Levels > 1 {
				r += (segment.To - segment.From) * float64(i) / float64(segment.Levels-1)
			}
			s.addInterval(interval{span: span / float64(segment.Levels), from: r, to: r})
		}
	case Spike:
		s.addInterval(interval{span: segment.Rise.Seconds(), from: segment.From, to: segment.To})
		s.addInterval(interval{span: span - segment.Rise.Seconds(), from: segment.To, to: segment.From})
	case Wave:
		s.addInterval(interval{span: span, from: segment.From, to: segment.From, amplitude: segment.To, omega: 2 * math.Pi / segment.Rise.Seconds()})
	}
}

func (s *Shape) addInterval(iv interval) {
	if iv.span <= 0 {
		return
	}
	if n := len(s.intervals); n > 0 {
		last := &s.intervals[n-1]
		iv.start, iv.before = last.start+last.span, last.before+last.expected(last.span)
	}
	s.intervals = append(s.intervals, iv)
}

// rate returns the rate x seconds after the start of the interval.
func (iv *interval) rate(x float64) float64 {
	return iv.from + (iv.to-iv.from)*x/iv.span + iv.amplitude*math.Sin(iv.omega*x)
}

// expected returns the number of arrivals expected in the first x seconds, which
// is the integral of rate.
func (iv *interval) expected(x float64) float64 {
	n := iv.from*x + (iv.to-iv.from)*x*x/(2*iv.span)
	if iv.amplitude > 0 {
		n += iv.amplitude / iv.omega * (1 - math.Cos(iv.omega*x))
	}
	return n
}

// timeOf returns the time x at which expected(x) is n, for n up to expected(span).
func (iv *interval) timeOf(n float64) float64 {
	if iv.amplitude == 0 {
		slope := (iv.to - iv.from) / iv.span
		if slope == 0 {
			return min(n/iv.from, iv.span)
		}
		// Root of slope/2 x² + from x - n, in the form that keeps precision for
		// small slopes.
		return min(2*n/(iv.from+math.Sqrt(max(0, iv.from*iv.from+2*slope*n))), iv.span)
	}
	low, high := 0.0, iv.span
	for x := min(n/iv.from, iv.span); ; {
		d := iv.expected(x) - n
		if d > 0 {
			high = x
		} else {
			low = x
		}
		next := x - d/iv.rate(x) // Newton's method; bisection if the step leaves the bracket
		if !(next > low && next < high) {
			next = (low + high) / 2
		}
		if math.Abs(next-x) < 1e-10 || next == low || next == high {
			return next
		}
		x = next
	}
}

// Span returns the length of the shape.
func (s *Shape) Span() time.Duration {
	last := &s.intervals[len(s.intervals)-1]
	return seconds(last.start + last.span)
}

// Total returns the number of arrivals expected in the whole shape.
func (s *Shape) Total() float64 {
	last := &s.intervals[len(s.intervals)-1]
	return last.before + last.expected(last.span)
}

// Rate returns the rate at a time since the start of the shape; 0 outside it.
func (s *Shape) Rate(at time.Duration) float64 {
	x := at.Seconds()
	for i := range s.intervals {
		if iv := &s.intervals[i]; x >= iv.start && x < iv.start+iv.span {
			return iv.rate(x - iv.start)
		}
	}
	return 0
}

// Expected returns the number of arrivals expected before a time.
func (s *Shape) Expected(at time.Duration) float64 {
	x, n := at.Seconds(), 0.0
	for i := range s.intervals {
		if iv := &s.intervals[i]; x >= iv.start {
			n = iv.before + iv.expected(min(x-iv.start, iv.span))
		}
	}
	return n
}

// cursor finds ascending times in a Shape.
type cursor struct {
	shape    *Shape
	interval int
}

// timeOf returns the time before which n arrivals are expected, and false if n is
// beyond the shape. n must not decrease between calls.
func (c *cursor) timeOf(n float64) (time.Duration, bool) {
	for ; c.interval < len(c.shape.intervals); c.interval++ {
		iv := &c.shape.intervals[c.interval]
		if inside := n - iv.before; inside < iv.expected(iv.span) {
			return seconds(iv.start + iv.timeOf(max(0, inside))), true
		}
	}
	return 0, false
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x * float64(time.Second))) }

// ParseShape parses a script: segments separated by commas, semicolons or line
// breaks, each a kind and its parameters.
//
//	hold 500 10s, ramp 500 2000 30s, spike 500 5000 100ms 10s
//
// Rates are requests per second; durations have a unit.
func ParseShape(script string) (*Shape, error) {
	var segments []Segment
	for i, text := range strings.FieldsFunc(script, func(r rune) bool { return r == ',' || r == ';' || r == '\n' }) {
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		segment, err := parseSegment(words)
		if err != nil {
			return nil, fmt.Errorf("segment %d %.60q: %w", i+1, strings.TrimSpace(text), err)
		}
		segments = append(segments, segment)
	}
	return NewShape(segments...)
}

func parseSegment(words []string) (Segment, error) {
	for k, name := range kindNames {
		if words[0] != name {
			continue
		}
		syntax := strings.Fields(kindSyntax[k])
		if len(words) != len(syntax) {
			return Segment{}, fmt.Errorf("got %d words, want %s", len(words), kindSyntax[k])
		}
		segment := Segment{Kind: SegmentKind(k)}
		for i, w := range words[1:] {
			if err := segment.set(syntax[i+1], w); err != nil {
				return Segment{}, err
			}
		}
		return segment, segment.check()
	}
	return Segment{}, fmt.Errorf("unknown kind, want one of %s", strings.Join(kindNames[:], ", "))
}

// set parses one parameter of a segment by its name in kindSyntax.
func (segment *Segment) set(name, word string) (err error) {
	switch name {
	case "FOR":
		segment.Duration, err = time.ParseDuration(word)
	case "RISE", "PERIOD":
		segment.Rise, err = time.ParseDuration(word)
	case "LEVELS":
		segment.Levels, err = strconv.Atoi(word)
	case "RATE", "FROM", "MEAN", "BASE":
		segment.From, err = strconv.ParseFloat(word, 64)
	default:
		segment.To, err = strconv.ParseFloat(word, 64)
	}
	if err != nil {
		return fmt.Errorf("%s %q: want a number, or a duration with a unit", name, word)
	}
	return nil
}

// String returns the shape as a script that ParseShape accepts.
func (s *Shape) String() string {
	var all []string
	for _, segment := range s.segments {
		words := []string{segment.Kind.String()}
		for _, name := range strings.Fields(kindSyntax[segment.Kind])[1:] {
			switch name {
			case "FOR":
				words = append(words, segment.Duration.String())
			case "RISE", "PERIOD":
				words = append(words, segment.Rise.String())
			case "LEVELS":
				words = append(words, strconv.Itoa(segment.Levels))
			case "RATE", "FROM", "MEAN", "BASE":
				words = append(words, strconv.FormatFloat(segment.From, 'g', -1, 64))
			default:
				words = append(words, strconv.FormatFloat(segment.To, 'g', -1, 64))
			}
		}
		all = append(all, strings.Join(words, " "))
	}
	return strings.Join(all, ", ")
}
