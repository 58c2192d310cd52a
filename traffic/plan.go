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

// Stream describes one kind of request and when its requests are due.
type Stream struct {
	Name               string
	Shape              *Shape
	Pattern            Pattern
	Method             string // "" for GET
	Host               string
	Path               string // a template, see NewContentGenerator
	Class              string // sent to the target as a header, "" for none
	Headers            []Header
	Body               int     // bytes
	Keys               int     // number of distinct keys; 0 for none
	Skew               float64 // exponent of the Zipf distribution of the keys
	WithIdempotencyKey bool    // each request has an Idempotency-Key header
	Budget             time.Duration
}

// Header is one header field.
type Header struct{ Name, Value string }

// Arrival is one request that is due.
type Arrival struct {
	Due      time.Duration    // relative to the start of the run
	Stream   int              // index in the Plan's streams
	Index    uint64           // position in the stream, from 0
	Recorded *RecordedRequest // the request from a trace; nil to use the stream's settings
}

// RecordedRequest is one request from a trace. An empty method, host or class takes
// the value of the stream.
type RecordedRequest struct {
	Method string
	Host   string
	Path   string
	Class  string
	Body   int // bytes
}

// Source is the sequence of one stream's arrivals, in due order. Next returns
// false after the last arrival and after an error, which Err returns.
type Source interface {
	Next() (due time.Duration, recorded *RecordedRequest, ok bool)
	Err() error
}

// NewSource returns the arrivals of a stream that has a shape.
func NewSource(s *Stream, seed uint64) Source {
	return shapeSource{NewArrivalTimes(s.Shape, s.Pattern, streamSeed(seed, s.Name))}
}

type shapeSource struct{ ArrivalTimes }

func (s shapeSource) Next() (time.Duration, *RecordedRequest, bool) {
	at, ok := s.ArrivalTimes.Next()
	return at, nil, ok
}

func (s shapeSource) Err() error { return nil }

// Plan merges the arrivals of several streams in due order; arrivals due at the
// same time come in stream order. It reads its sources on demand and uses
// constant memory.
type Plan struct {
	next    arrivalHeap
	started bool
	sources []Source
}

// NewPlan returns the Plan of streams that have shapes. A stream's arrivals do
// not depend on the other streams.
func NewPlan(streams []Stream, seed uint64) *Plan {
	var sources []Source
	for i := range streams {
		sources = append(sources, NewSource(&streams[i], seed))
	}
	return NewMergedPlan(sources...)
}

// NewMergedPlan returns the Plan of one source per stream.
func NewMergedPlan(sources ...Source) *Plan { return &Plan{sources: sources} }

// Err returns the first error of a source, or nil.
func (p *Plan) Err() error {
	for _, s := range p.sources {
		if err := s.Err(); err != nil {
			return err
		}
	}
	return nil
}

// streamSeed derives the seed of a stream from its name (FNV-1a).
func streamSeed(seed uint64, name string) uint64 {
	for _, c := range []byte(name) {
		seed = (seed ^ uint64(c)) * 0x100000001b3
	}
	return seed
}

// Next returns the next arrival, and false after the last one.
func (p *Plan) Next() (Arrival, bool) {
	if !p.started {
		p.started = true
		for i, s := range p.sources {
			if at, recorded, ok := s.Next(); ok {
				p.next = append(p.next, Arrival{Due: at, Stream: i, Recorded: recorded})
			}
		}
		heap.Init(&p.next)
	}
	if len(p.next) == 0 {
		return Arrival{}, false
	}
	a := p.next[0]
	if at, recorded, ok := p.sources[a.Stream].Next(); ok {
		p.next[0] = Arrival{Due: max(at, a.Due), Stream: a.Stream, Index: a.Index + 1, Recorded: recorded}
		heap.Fix(&p.next, 0)
	} else {
		heap.Pop(&p.next)
	}
	return a, true
}

// arrivalHeap is a heap of the next arrival of each stream, ordered by due time.
type arrivalHeap []Arrival

func (h arrivalHeap) Len() int      { return len(h) }
func (h arrivalHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h arrivalHeap) Less(i, k int) bool {
	if h[i].Due != h[k].Due {
		return h[i].Due < h[k].Due
	}
	return h[i].Stream < h[k].Stream
}
func (h *arrivalHeap) Push(x any) { *h = append(*h, x.(Arrival)) }
func (h *arrivalHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// PlanPart is one worker's part of a Plan. Each worker reads the whole sequence
// and keeps every n-th arrival, so that the parts together are the Plan.
type PlanPart struct {
	plan  *Plan
	part  uint64
	parts uint64
	count uint64
}

// NewPlanPart returns the part with the given index, from 0. p must not be used
// elsewhere.
func NewPlanPart(p *Plan, part, parts int) *PlanPart {
	return &PlanPart{plan: p, part: uint64(part), parts: uint64(max(parts, 1))}
}

// Err returns the error of the whole Plan.
func (p *PlanPart) Err() error { return p.plan.Err() }

// Next returns the next arrival of the part, and false after the last one.
func (p *PlanPart) Next() (Arrival, bool) {
	for {
		a, ok := p.plan.Next()
		if !ok {
			return Arrival{}, false
		}
		keep := p.count%p.parts == p.part
		p.count++
		if keep {
			return a, true
		}
	}
}

// Content is what one arrival sends. It depends only on the seed, the stream and
// the arrival's index, so that every worker and every replay sends the same.
type Content struct {
	Path           string
	IdempotencyKey string // "" for none
	KeyRank        int    // rank of the request's key, from 1; 0 for none
}

// ContentGenerator generates the content of a stream's arrivals.
type ContentGenerator struct {
	stream    *Stream
	seed      uint64
	zipf      *Zipf
	pathParts []string // alternating literals and placeholder names
	pcg       *rand.PCG
	rng       *rand.Rand
}

// NewContentGenerator returns the ContentGenerator of a stream. It is not safe
// for concurrent use.
//
// In the path, {n} stands for the arrival's index, {key} for the rank of its key
// and {rand:FROM-TO} for a uniformly distributed integer.
func NewContentGenerator(s *Stream, seed uint64) (*ContentGenerator, error) {
	g := &ContentGenerator{stream: s, seed: streamSeed(seed, s.Name), pcg: rand.NewPCG(0, 0)}
	g.rng = rand.New(g.pcg)
	if s.Keys > 0 {
		var err error
		if g.zipf, err = NewZipf(s.Keys, s.Skew); err != nil {
			return nil, err
		}
	}
	for rest := s.Path; ; {
		literal, more, open := strings.Cut(rest, "{")
		g.pathParts = append(g.pathParts, literal)
		if !open {
			break
		}
		name, after, closed := strings.Cut(more, "}")
		if !closed {
			return nil, fmt.Errorf("path %q: unclosed brace", s.Path)
		}
		if err := g.checkPlaceholder(name); err != nil {
			return nil, fmt.Errorf("path %q: {%s}: %w", s.Path, name, err)
		}
		g.pathParts = append(g.pathParts, name)
		rest = after
	}
	return g, nil
}

func (g *ContentGenerator) checkPlaceholder(name string) error {
	switch {
	case name == "n":
	case name == "key":
		if g.zipf == nil {
			return errors.New("the stream has no keys")
		}
	default:
		_, _, err := parseRange(name)
		return err
	}
	return nil
}

// parseRange parses the placeholder rand:FROM-TO.
func parseRange(name string) (from, to int64, err error) {
	text, ok := strings.CutPrefix(name, "rand:")
	low, high, ok2 := strings.Cut(text, "-")
	if ok && ok2 {
		if from, err = strconv.ParseInt(low, 10, 62); err == nil {
			to, err = strconv.ParseInt(high, 10, 62)
		}
	}
	if !ok || !ok2 || err != nil || from > to {
		return 0, 0, errors.New("unknown placeholder, want n, key or rand:FROM-TO")
	}
	return from, to, nil
}

// Content returns the content of the arrival with this index.
func (g *ContentGenerator) Content(index uint64) (c Content) {
	g.pcg.Seed(g.seed^seedContent, index)
	if g.zipf != nil {
		c.KeyRank = g.zipf.Draw(g.rng)
	}
	if g.stream.WithIdempotencyKey {
		c.IdempotencyKey = fmt.Sprintf("%016x%016x", g.rng.Uint64(), g.rng.Uint64())
	}
	if len(g.pathParts) == 1 {
		c.Path = g.pathParts[0]
		return c
	}
	var path strings.Builder
	for i, pathPart := range g.pathParts {
		switch {
		case i%2 == 0:
			path.WriteString(pathPart)
		case pathPart == "n":
			path.WriteString(strconv.FormatUint(index, 10))
		case pathPart == "key":
			path.WriteString(strconv.Itoa(c.KeyRank))
		default:
			from, to, _ := parseRange(pathPart)
			path.WriteString(strconv.FormatInt(from+g.rng.Int64N(to-from+1), 10))
		}
	}
	c.Path = path.String()
	return c
}

// Check returns an error if a field of the stream is not valid in an HTTP request.
func (s *Stream) Check() error {
	if s.Method != "" && !isToken(s.Method) {
		return fmt.Errorf("method %q, want an HTTP token", s.Method)
	}
	if !strings.HasPrefix(s.Path, "/") || !isPrintableASCII(s.Path) || strings.Contains(s.Path, " ") {
		return fmt.Errorf("path %q, want a leading slash, printable ASCII and no spaces", s.Path)
	}
	if !isPrintableASCII(s.Host) || strings.Contains(s.Host, " ") || !isPrintableASCII(s.Class) {
		return fmt.Errorf("host %q and class %q, want printable ASCII, and no spaces in the host", s.Host, s.Class)
	}
	if s.Body < 0 || s.Keys < 0 || s.Budget < 0 {
		return fmt.Errorf("body %d, keys %d, budget %v: negative values are not allowed", s.Body, s.Keys, s.Budget)
	}
	for _, h := range s.Headers {
		if !isToken(h.Name) || !isPrintableASCII(h.Value) {
			return fmt.Errorf("header %q: %q, want an HTTP token and a printable ASCII value", h.Name, h.Value)
		}
	}
	return nil
}

func isPrintableASCII(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c >= 0x7f })
}

func isToken(s string) bool {
	return s != "" && isPrintableASCII(s) && !strings.ContainsAny(s, " \"(),/:;<=>?@[\\]{}")
}
