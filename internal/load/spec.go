package load

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	toml "github.com/pelletier/go-toml/v2"

	"gorselink/internal/trace"
	"gorselink/traffic"
)

// Spec is a run as people write it: in a TOML file, or by flags that fill one.
// As JSON it is what a worker is told.
type Spec struct {
	Target   string       `toml:"target" json:"target"` // address:port
	Anywhere bool         `toml:"-" json:"anywhere"`    // the target may be on another machine
	Seed     uint64       `toml:"seed" json:"seed"`
	Conns    int          `toml:"connections" json:"connections"`
	PerConn  int          `toml:"requests_per_connection" json:"requests_per_connection"`
	Open     int          `toml:"open" json:"open"`
	Grace    Duration     `toml:"grace" json:"grace"`
	Client   ClientSpec   `toml:"client" json:"client"`
	Streams  []StreamSpec `toml:"streams" json:"streams"`
}

// ClientSpec is how callers behave, see traffic.Client.
type ClientSpec struct {
	Retries    int      `toml:"retries" json:"retries"`
	RetryWait  Duration `toml:"retry_wait" json:"retry_wait"`
	RetryGrow  bool     `toml:"retry_grow" json:"retry_grow"`
	Honour     *float64 `toml:"honour" json:"honour"` // nil for 1
	Leave      float64  `toml:"leave" json:"leave"`
	LeaveAfter Duration `toml:"leave_after" json:"leave_after"`
}

// StreamSpec is one stream: its arrivals by a shape or from a trace.
type StreamSpec struct {
	Name     string            `toml:"name" json:"name"`
	Shape    string            `toml:"shape" json:"shape"`
	Arrivals string            `toml:"arrivals" json:"arrivals"` // even or poisson, the default
	Method   string            `toml:"method" json:"method"`
	Host     string            `toml:"host" json:"host"` // "" for the target
	Path     string            `toml:"path" json:"path"` // "" for /
	Class    string            `toml:"class" json:"class"`
	Headers  map[string]string `toml:"headers" json:"headers"`
	Body     int               `toml:"body" json:"body"`
	Keys     int               `toml:"keys" json:"keys"`
	Skew     *float64          `toml:"skew" json:"skew"` // nil for 1
	Keyed    bool              `toml:"keyed" json:"keyed"`
	Budget   *Duration         `toml:"budget" json:"budget"` // nil for 10 s, 0 for ever

	Trace    string   `toml:"trace" json:"trace"`   // a file
	Format   string   `toml:"format" json:"format"` // log, csv or jsonl; "" to go by the file's name
	Speed    float64  `toml:"speed" json:"speed"`
	From     Duration `toml:"from" json:"from"`
	To       Duration `toml:"to" json:"to"`
	Loops    int      `toml:"loops" json:"loops"`
	BadShare float64  `toml:"bad_share" json:"bad_share"` // of lines that may be bad
}

// Duration is a time with its unit, as 1.5s.
type Duration time.Duration

// UnmarshalText reads it as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q, want a time with its unit, as 1.5s", text)
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes it as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// What a Spec says by itself.
const (
	DefaultConns  = 100
	DefaultGrace  = 10 * time.Second
	DefaultBudget = 10 * time.Second
)

// NewSpec returns a Spec with what it says by itself, and no streams.
func NewSpec() *Spec {
	return &Spec{Seed: 1, Conns: DefaultConns, Grace: Duration(DefaultGrace)}
}

// ReadSpec reads a TOML file. Errors name the file, and the line where the
// reader tells one; a key that nothing heeds is one, as it is mostly a slip.
// Traces are found from the file's own folder.
func ReadSpec(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := NewSpec()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) {
			var all []error
			for _, e := range missing.Errors {
				line, _ := e.Position()
				all = append(all, fmt.Errorf("%s:%d: %s: no such key", path, line, strings.Join(e.Key(), ".")))
			}
			return nil, errors.Join(all...)
		}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, fmt.Errorf("%s:%d: %s: %w", path, line, strings.Join(at.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range s.Streams {
		if t := &s.Streams[i].Trace; *t != "" && !filepath.IsAbs(*t) {
			*t = filepath.Join(filepath.Dir(path), *t)
		}
	}
	return s, nil
}

// Part is one of several workers' share of a run.
type WorkerPart struct {
	Index int // from 0
	Of    int // 0 for 1
}

// Config returns the run that the Spec describes, or a worker's part of it. Lines
// of traces that are skipped are told to skipped, which may be nil.
func (s *Spec) Config(part WorkerPart, skipped func(file string, line *trace.BadLine)) (*Config, error) {
	of := max(part.Of, 1)
	switch {
	case part.Index < 0 || part.Index >= of:
		return nil, fmt.Errorf("worker %d of %d", part.Index, of)
	case len(s.Streams) == 0:
		return nil, errors.New("streams: none, want one at least")
	case s.Conns < of:
		return nil, fmt.Errorf("connections: %d for %d workers, want one for each at least", s.Conns, of)
	case s.Open > 0 && s.Open < of:
		return nil, fmt.Errorf("open: %d for %d workers, want one for each at least", s.Open, of)
	case s.Seed > 1<<63-1: // what a TOML file can say
		return nil, fmt.Errorf("seed: %d, want %d at most", s.Seed, uint64(1<<63-1))
	}
	if err := checkTarget(s.Target, s.Anywhere); err != nil {
		return nil, err
	}
	c := &s.Client
	cfg := &Config{
		Addr: s.Target, Seed: s.Seed, Conns: share(s.Conns, part.Index, of), PerConn: s.PerConn, Open: share(s.Open, part.Index, of), Grace: time.Duration(s.Grace),
		Client: traffic.Client{Retries: c.Retries, Wait: time.Duration(c.RetryWait), Grow: c.RetryGrow, Honour: 1, Leave: c.Leave, LeaveAfter: time.Duration(c.LeaveAfter)},
	}
	if c.Honour != nil {
		cfg.Client.Honour = *c.Honour
	}
	if err := checkDescriptors(cfg.Conns); err != nil {
		return nil, err
	}
	var sources []traffic.Source
	names := map[string]bool{}
	known := true
	for i := range s.Streams {
		in := &s.Streams[i]
		name := s.streamName(i)
		if names[name] {
			return nil, fmt.Errorf("streams: two are called %q", name)
		}
		names[name] = true
		stream, source, err := in.stream(name, s, skipped)
		if err != nil {
			return nil, fmt.Errorf("stream %s: %w", name, err)
		}
		if stream.Shape != nil {
			cfg.Span = max(cfg.Span, stream.Shape.Span())
		} else {
			known = false
		}
		cfg.Streams = append(cfg.Streams, *stream)
		sources = append(sources, source)
	}
	if !known { // a trace tells its length at its end
		cfg.Span = 0
	}
	plan := traffic.NewMerge(sources...)
	cfg.Plan = plan
	if of > 1 {
		cfg.Plan = traffic.NewPart(plan, part.Index, of)
	}
	return cfg, nil
}

func (s *Spec) streamName(i int) string {
	return cmp.Or(s.Streams[i].Name, fmt.Sprintf("stream-%d", i+1))
}

// share is a worker's part of n, what is over going to the first ones.
func share(n, index, of int) int {
	k := n / of
	if index < n%of {
		k++
	}
	return k
}

func (in *StreamSpec) stream(name string, spec *Spec, skipped func(string, *trace.BadLine)) (*traffic.Stream, traffic.Source, error) {
	s := &traffic.Stream{
		Name: name, Method: in.Method, Host: cmp.Or(in.Host, spec.Target), Path: cmp.Or(in.Path, "/"), Class: in.Class,
		Body: in.Body, Keys: in.Keys, Skew: 1, WithIdempotencyKey: in.Keyed, Budget: DefaultBudget,
	}
	if in.Skew != nil {
		s.Skew = *in.Skew
	}
	if in.Budget != nil {
		s.Budget = time.Duration(*in.Budget)
	}
	for k, v := range in.Headers {
		s.Headers = append(s.Headers, traffic.Header{Name: k, Value: v})
	}
	slices.SortFunc(s.Headers, func(a, b traffic.Header) int { return strings.Compare(a.Name, b.Name) })
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	if (in.Shape == "") == (in.Trace == "") {
		return nil, nil, errors.New("want one of shape and trace")
	}
	if in.Trace != "" {
		source, err := in.replay(skipped)
		return s, source, err
	}
	if in.Speed != 0 || in.From != 0 || in.To != 0 || in.Loops != 0 || in.Format != "" || in.BadShare != 0 {
		return nil, nil, errors.New("speed, from, to, loops, format and bad_share go with a trace")
	}
	var err error
	if s.Shape, err = traffic.ParseShape(in.Shape); err != nil {
		return nil, nil, fmt.Errorf("shape: %w", err)
	}
	if s.Pattern, err = traffic.ParsePattern(cmp.Or(in.Arrivals, "poisson")); err != nil {
		return nil, nil, err
	}
	return s, traffic.NewSource(s, spec.Seed), nil
}

// formats are the endings of files.
var formats = map[string]string{".log": "log", ".csv": "csv", ".jsonl": "jsonl", ".ndjson": "jsonl"}

func (in *StreamSpec) replay(skipped func(string, *trace.BadLine)) (traffic.Source, error) {
	if in.Arrivals != "" || in.Path != "" || in.Body != 0 {
		return nil, errors.New("arrivals, path and body are the trace's own")
	}
	if !(in.BadShare >= 0 && in.BadShare <= 1) {
		return nil, fmt.Errorf("bad_share: %v, want 0 to 1", in.BadShare)
	}
	format, err := trace.ParseFormat(cmp.Or(in.Format, formats[filepath.Ext(in.Trace)]))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", in.Trace, err)
	}
	if _, err := os.Stat(in.Trace); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	loops := 0
	open := func() (io.ReadCloser, error) {
		loops++
		return os.Open(in.Trace)
	}
	read := func(r io.Reader) *trace.Reader {
		var onBad func(*trace.BadLine)
		if skipped != nil && loops == 1 { // later loops skip the same lines
			onBad = func(b *trace.BadLine) { skipped(in.Trace, b) }
		}
		return trace.NewReader(r, format, in.BadShare, onBad)
	}
	sched, err := trace.NewSchedule(open, read, trace.Options{Speed: in.Speed, From: time.Duration(in.From), To: time.Duration(in.To), Loops: in.Loops})
	if err != nil {
		return nil, err
	}
	return trace.NewSource(in.Trace, sched), nil
}

// checkTarget refuses what is not on this machine: a generator that is aimed
// wrong is an attack.
func checkTarget(target string, anywhere bool) error {
	if anywhere {
		_, _, err := net.SplitHostPort(target)
		return err
	}
	at, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q, want address:port, as 127.0.0.1:8080", target)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("target %s is not on this machine; --anywhere lets it be", target)
	}
	return nil
}

// spareDescriptors are what a run needs besides its connections.
const spareDescriptors = 24

// checkDescriptors tells whether the process may have so many connections: it
// would count its own poverty as the target's refusals otherwise.
func checkDescriptors(conns int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("connections: %w", err)
	}
	if have := int64(l.Cur) - spareDescriptors; int64(conns) > have { // the runtime has raised it as far as it may
		return fmt.Errorf("connections: %d, want %d at most: the system allows this process %d descriptors (ulimit -n)", conns, max(have, 0), l.Cur)
	}
	return nil
}
