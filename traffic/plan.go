package traffic

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Stream is one kind of requests.
type Stream struct {
	Name               string
	Shape              *Shape
	Pattern            Pattern
	Method             string // "" for GET
	Host               string
	Path               string // a pattern, see Fill
	Class              string // named to the target, "" for none
	Headers            []Header
	Body               int     // bytes
	Keys               int     // how many subjects there are; 0 for none
	Skew               float64 // exponent of the Zipf distribution over them
	WithIdempotencyKey bool    // each request has an Idempotency-Key
	Budget             time.Duration
}

// Header is one field.
type Header struct{ Name, Value string }

// Arrival is one request that is due.
type Arrival struct {
	Due    time.Duration    // since the begin
	Stream int              // its place in the Plan's streams
	Index  uint64           // its number in the stream, from 0
	Ask    *RecordedRequest // what it asks, where a record says so; nil for what the stream says
}

// Ask is what one recorded request asks. What is empty the stream says.
type RecordedRequest struct {
	Method string
	Host   string
	Path   string
	Class  string
	Body   int // bytes
}

// Source is the sequence of one stream's arrivals, in the order in which they
// are due. Next is false after the last one and after an error, which Err tells.
type Source interface {
	Next() (due time.Duration, ask *RecordedRequest, ok bool)
	Err() error
}

// NewSource returns the arrivals of a stream by its shape.
func NewSource(s *Stream, seed uint64) Source {
	return shapedSource{NewTimes(s.Shape, s.Pattern, seedOf(seed, s.Name))}
}

type shapedSource struct{ Times }

func (s shapedSource) Next() (time.Duration, *RecordedRequest, bool) {
	at, ok := s.Times.Next()
	return at, nil, ok
}

func (s shapedSource) Err() error { return nil }

// Plan is the sequence of all arrivals of some streams, in the order in which
// they are due; those due at once come in the order of the streams. It reads
// its sources as it goes, in constant memory.
type Plan struct {
	heads   heads
	begun   bool
	sources []Source
}

// NewPlan returns the Plan of streams from a seed. A stream's arrivals do not
// hang on which others there are.
func NewPlan(streams []Stream, seed uint64) *Plan {
	var sources []Source
	for i := range streams {
		sources = append(sources, NewSource(&streams[i], seed))
	}
	return NewMerge(sources...)
}

// NewMerge returns the Plan of one source for each stream.
func NewMerge(sources ...Source) *Plan { return &Plan{sources: sources} }

// Err is what has ended a source before its end, if anything has.
func (p *Plan) Err() error {
	for _, s := range p.sources {
		if err := s.Err(); err != nil {
			return err
		}
	}
	return nil
}

// seedOf is the seed of a stream.
func seedOf(seed uint64, name string) uint64 {
	for _, c := range []byte(name) {
		seed = (seed ^ uint64(c)) * 0x100000001b3 // FNV-1a
	}
	return seed
}

// Next returns the next arrival, and false after the last one.
func (p *Plan) Next() (Arrival, bool) {
	if !p.begun {
		p.begun = true
		for i, s := range p.sources {
			if at, ask, ok := s.Next(); ok {
				p.heads = append(p.heads, Arrival{Due: at, Stream: i, Ask: ask})
			}
		}
		heap.Init(&p.heads)
	}
	if len(p.heads) == 0 {
		return Arrival{}, false
	}
	a := p.heads[0]
	if at, ask, ok := p.sources[a.Stream].Next(); ok {
		p.heads[0] = Arrival{Due: max(at, a.Due), Stream: a.Stream, Index: a.Index + 1, Ask: ask}
		heap.Fix(&p.heads, 0)
	} else {
		heap.Pop(&p.heads)
	}
	return a, true
}

// heads are the next arrivals of the streams, a heap by when they are due.
type heads []Arrival

func (h heads) Len() int      { return len(h) }
func (h heads) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h heads) Less(i, k int) bool {
	if h[i].Due != h[k].Due {
		return h[i].Due < h[k].Due
	}
	return h[i].Stream < h[k].Stream
}
func (h *heads) Push(x any) { *h = append(*h, x.(Arrival)) }
func (h *heads) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// PlanPart is the share of a Plan that one of several workers has: every one of
// them reads the whole sequence and keeps each of-th arrival, so that all parts
// together are the Plan, whatever it holds.
type PlanPart struct {
	plan  *Plan
	part  uint64
	of    uint64
	count uint64
}

// NewPart returns part, from 0, of so many parts of p, which nobody else may
// read.
func NewPart(p *Plan, part, of int) *PlanPart {
	return &PlanPart{plan: p, part: uint64(part), of: uint64(max(of, 1))}
}

// Err is that of the whole Plan.
func (p *PlanPart) Err() error { return p.plan.Err() }

// Next returns the next arrival of the part, and false after the last one.
func (p *PlanPart) Next() (Arrival, bool) {
	for {
		a, ok := p.plan.Next()
		if !ok {
			return Arrival{}, false
		}
		mine := p.count%p.of == p.part
		p.count++
		if mine {
			return a, true
		}
	}
}

// Content is what one arrival asks. It follows from the seed, the stream and
// the arrival's number alone, so that each worker, and each replay, makes the
// same.
type Content struct {
	Path string
	Key  string // Idempotency-Key, "" for none
	Rank int    // of its subject, from 1; 0 for none
}

// Filler makes the content of a stream's arrivals.
type Filler struct {
	s    *Stream
	seed uint64
	zipf *Zipf
	bits []string // of the path, literal and name in turn
	pcg  *rand.PCG
	rng  *rand.Rand
}

// NewFiller returns the Filler of a stream. It is not safe for concurrent use.
//
// In the path {n} stands for the arrival's number, {key} for its subject and
// {rand:FROM-TO} for a number drawn evenly.
func NewFiller(s *Stream, seed uint64) (*Filler, error) {
	f := &Filler{s: s, seed: seedOf(seed, s.Name), pcg: rand.NewPCG(0, 0)}
	f.rng = rand.New(f.pcg)
	if s.Keys > 0 {
		var err error
		if f.zipf, err = NewZipf(s.Keys, s.Skew); err != nil {
			return nil, err
		}
	}
	for rest := s.Path; ; {
		lit, more, open := strings.Cut(rest, "{")
		f.bits = append(f.bits, lit)
		if !open {
			break
		}
		name, after, closed := strings.Cut(more, "}")
		if !closed {
			return nil, fmt.Errorf("path %q: a brace that is not closed", s.Path)
		}
		if err := f.checkName(name); err != nil {
			return nil, fmt.Errorf("path %q: {%s}: %w", s.Path, name, err)
		}
		f.bits = append(f.bits, name)
		rest = after
	}
	return f, nil
}

func (f *Filler) checkName(name string) error {
	switch {
	case name == "n":
	case name == "key":
		if f.zipf == nil {
			return errors.New("the stream has no keys")
		}
	default:
		_, _, err := between(name)
		return err
	}
	return nil
}

// between reads rand:FROM-TO.
func between(name string) (from, to int64, err error) {
	text, ok := strings.CutPrefix(name, "rand:")
	low, high, ok2 := strings.Cut(text, "-")
	if ok && ok2 {
		if from, err = strconv.ParseInt(low, 10, 62); err == nil {
			to, err = strconv.ParseInt(high, 10, 62)
		}
	}
	if !ok || !ok2 || err != nil || from > to {
		return 0, 0, errors.New("want n, key or rand:FROM-TO")
	}
	return from, to, nil
}

// Content returns what the arrival with this number asks.
func (f *Filler) Content(index uint64) (c Content) {
	f.pcg.Seed(f.seed^streamContent, index)
	if f.zipf != nil {
		c.Rank = f.zipf.Draw(f.rng)
	}
	if f.s.WithIdempotencyKey {
		c.Key = fmt.Sprintf("%016x%016x", f.rng.Uint64(), f.rng.Uint64())
	}
	if len(f.bits) == 1 {
		c.Path = f.bits[0]
		return c
	}
	var path strings.Builder
	for i, bit := range f.bits {
		switch {
		case i%2 == 0:
			path.WriteString(bit)
		case bit == "n":
			path.WriteString(strconv.FormatUint(index, 10))
		case bit == "key":
			path.WriteString(strconv.Itoa(c.Rank))
		default:
			from, to, _ := between(bit)
			path.WriteString(strconv.FormatInt(from+f.rng.Int64N(to-from+1), 10))
		}
	}
	c.Path = path.String()
	return c
}

// Check tells what of the stream could not stand in a request, or nil.
func (s *Stream) Check() error {
	if s.Method != "" && !isToken(s.Method) {
		return fmt.Errorf("method %q, want a token", s.Method)
	}
	if !strings.HasPrefix(s.Path, "/") || !isText(s.Path) || strings.Contains(s.Path, " ") {
		return fmt.Errorf("path %q, want a slash first and no spaces", s.Path)
	}
	if !isText(s.Host) || strings.Contains(s.Host, " ") || !isText(s.Class) {
		return fmt.Errorf("host %q and class %q, want texts of one line", s.Host, s.Class)
	}
	if s.Body < 0 || s.Keys < 0 || s.Budget < 0 {
		return fmt.Errorf("body %d, keys %d, budget %v: want none below 0", s.Body, s.Keys, s.Budget)
	}
	for _, h := range s.Headers {
		if !isToken(h.Name) || !isText(h.Value) {
			return fmt.Errorf("header %q: %q, want a token and a text of one line", h.Name, h.Value)
		}
	}
	return nil
}

func isText(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c >= 0x7f })
}

func isToken(s string) bool {
	return s != "" && isText(s) && !strings.ContainsAny(s, " \"(),/:;<=>?@[\\]{}")
}
