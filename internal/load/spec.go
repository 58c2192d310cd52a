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

// Spec describes a run as written in a TOML file or given by flags. Its JSON form
// is sent to workers.
type Spec struct {
	Target   string       `toml:"target" json:"target"` // address:port
	Anywhere bool         `toml:"-" json:"anywhere"`    // allow a target on another machine
	Seed     uint64       `toml:"seed" json:"seed"`
	Conns    int          `toml:"connections" json:"connections"`
	PerConn  int          `toml:"requests_per_connection" json:"requests_per_connection"`
	Open     int          `toml:"open" json:"open"`
	Grace    Duration     `toml:"grace" json:"grace"`
	Client   ClientSpec   `toml:"client" json:"client"`
	Streams  []StreamSpec `toml:"streams" json:"streams"`
}

// ClientSpec configures how callers behave, see traffic.Client.
type ClientSpec struct {
	Retries    int      `toml:"retries" json:"retries"`
	RetryWait  Duration `toml:"retry_wait" json:"retry_wait"`
	RetryGrow  bool     `toml:"retry_grow" json:"retry_grow"`
	Honour     *float64 `toml:"honour" json:"honour"` // share of callers that honour Retry-After; nil for 1
	Leave      float64  `toml:"leave" json:"leave"`
	LeaveAfter Duration `toml:"leave_after" json:"leave_after"`
}

// StreamSpec describes one stream, whose arrivals come from a shape or a trace.
type StreamSpec struct {
	Name     string            `toml:"name" json:"name"`
	Shape    string            `toml:"shape" json:"shape"`
	Arrivals string            `toml:"arrivals" json:"arrivals"` // even or poisson; "" for poisson
	Method   string            `toml:"method" json:"method"`
	Host     string            `toml:"host" json:"host"` // "" for the target's address
	Path     string            `toml:"path" json:"path"` // "" for /
	Class    string            `toml:"class" json:"class"`
	Headers  map[string]string `toml:"headers" json:"headers"`
	Body     int               `toml:"body" json:"body"`
	Keys     int               `toml:"keys" json:"keys"`
	Skew     *float64          `toml:"skew" json:"skew"` // nil for 1
	Keyed    bool              `toml:"keyed" json:"keyed"`
	Budget   *Duration         `toml:"budget" json:"budget"` // nil for 10 s, 0 for no limit

	Trace    string   `toml:"trace" json:"trace"`   // path of a file
	Format   string   `toml:"format" json:"format"` // log, csv or jsonl; "" to detect it from the file extension
	Speed    float64  `toml:"speed" json:"speed"`
	From     Duration `toml:"from" json:"from"`
	To       Duration `toml:"to" json:"to"`
	Loops    int      `toml:"loops" json:"loops"`
	BadShare float64  `toml:"bad_share" json:"bad_share"` // highest accepted share of invalid lines
}

// Duration is a time.Duration that is written with a unit, as 1.5s.
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q, want a duration with a unit, such as 1.5s", text)
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Defaults of a Spec.
const (
	DefaultConns  = 100
	DefaultGrace  = 10 * time.Second
	DefaultBudget = 10 * time.Second
)

// NewSpec returns a Spec with default settings and no streams.
func NewSpec() *Spec {
	return &Spec{Seed: 1, Conns: DefaultConns, Grace: Duration(DefaultGrace)}
}

// ReadSpec reads a TOML file. Errors name the file and, if known, the line; unknown
// keys are errors. Relative trace paths are resolved from the file's directory.
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
				all = append(all, fmt.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(e.Key(), ".")))
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

// WorkerPart identifies one worker's part of a run.
type WorkerPart struct {
	Index int // from 0
	Of    int // number of workers; 0 for 1
}

// Config returns the run that the Spec describes, or a worker's part of it. It
// calls skipped, unless nil, for each skipped trace line.
func (s *Spec) Config(part WorkerPart, skipped func(file string, line *trace.BadLineError)) (*Config, error) {
	workers := max(part.Of, 1)
	switch {
	case part.Index < 0 || part.Index >= workers:
		return nil, fmt.Errorf("worker index %d is out of range for %d workers", part.Index, workers)
	case len(s.Streams) == 0:
		return nil, errors.New("streams: none, want at least one")
	case s.Conns < workers:
		return nil, fmt.Errorf("connections: %d for %d workers, want at least one per worker", s.Conns, workers)
	case s.Open > 0 && s.Open < workers:
		return nil, fmt.Errorf("open: %d for %d workers, want at least one per worker", s.Open, workers)
	case s.Seed > 1<<63-1: // largest integer in TOML
		return nil, fmt.Errorf("seed: %d, want at most %d", s.Seed, uint64(1<<63-1))
	}
	if err := checkTarget(s.Target, s.Anywhere); err != nil {
		return nil, err
	}
	client := &s.Client
	cfg := &Config{
		Addr: s.Target, Seed: s.Seed, Conns: workerShare(s.Conns, part.Index, workers), PerConn: s.PerConn, MaxOpen: workerShare(s.Open, part.Index, workers), Grace: time.Duration(s.Grace),
		Client: traffic.Client{Retries: client.Retries, RetryWait: time.Duration(client.RetryWait), RetryGrow: client.RetryGrow, HonourShare: 1, LeaveShare: client.Leave, LeaveAfter: time.Duration(client.LeaveAfter)},
	}
	if client.Honour != nil {
		cfg.Client.HonourShare = *client.Honour
	}
	if err := checkDescriptors(cfg.Conns); err != nil {
		return nil, err
	}
	var sources []traffic.Source
	names := map[string]bool{}
	spanKnown := true
	for i := range s.Streams {
		spec := &s.Streams[i]
		name := s.streamName(i)
		if names[name] {
			return nil, fmt.Errorf("streams: two have the name %q", name)
		}
		names[name] = true
		stream, source, err := spec.stream(name, s, skipped)
		if err != nil {
			return nil, fmt.Errorf("stream %s: %w", name, err)
		}
		if stream.Shape != nil {
			cfg.Span = max(cfg.Span, stream.Shape.Span())
		} else {
			spanKnown = false
		}
		cfg.Streams = append(cfg.Streams, *stream)
		sources = append(sources, source)
	}
	if !spanKnown { // the length of a trace is unknown until its end
		cfg.Span = 0
	}
	plan := traffic.NewMergedPlan(sources...)
	cfg.Plan = plan
	if workers > 1 {
		cfg.Plan = traffic.NewPlanPart(plan, part.Index, workers)
	}
	return cfg, nil
}

func (s *Spec) streamName(i int) string {
	return cmp.Or(s.Streams[i].Name, fmt.Sprintf("stream-%d", i+1))
}

// workerShare returns a worker's share of n. The first workers get the remainder.
func workerShare(n, index, workers int) int {
	k := n / workers
	if index < n%workers {
		k++
	}
	return k
}

func (spec *StreamSpec) stream(name string, run *Spec, skipped func(string, *trace.BadLineError)) (*traffic.Stream, traffic.Source, error) {
	s := &traffic.Stream{
		Name: name, Method: spec.Method, Host: cmp.Or(spec.Host, run.Target), Path: cmp.Or(spec.Path, "/"), Class: spec.Class,
		Body: spec.Body, Keys: spec.Keys, Skew: 1, WithIdempotencyKey: spec.Keyed, Budget: DefaultBudget,
	}
	if spec.Skew != nil {
		s.Skew = *spec.Skew
	}
	if spec.Budget != nil {
		s.Budget = time.Duration(*spec.Budget)
	}
	for k, v := range spec.Headers {
		s.Headers = append(s.Headers, traffic.Header{Name: k, Value: v})
	}
	slices.SortFunc(s.Headers, func(a, b traffic.Header) int { return strings.Compare(a.Name, b.Name) })
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	if (spec.Shape == "") == (spec.Trace == "") {
		return nil, nil, errors.New("want either shape or trace")
	}
	if spec.Trace != "" {
		source, err := spec.traceSource(skipped)
		return s, source, err
	}
	if spec.Speed != 0 || spec.From != 0 || spec.To != 0 || spec.Loops != 0 || spec.Format != "" || spec.BadShare != 0 {
		return nil, nil, errors.New("speed, from, to, loops, format and bad_share require a trace")
	}
	var err error
	if s.Shape, err = traffic.ParseShape(spec.Shape); err != nil {
		return nil, nil, fmt.Errorf("shape: %w", err)
	}
	if s.Pattern, err = traffic.ParsePattern(cmp.Or(spec.Arrivals, "poisson")); err != nil {
		return nil, nil, err
	}
	return s, traffic.NewSource(s, run.Seed), nil
}

// formatByExtension maps file extensions to trace formats.
var formatByExtension = map[string]string{".log": "log", ".csv": "csv", ".jsonl": "jsonl", ".ndjson": "jsonl"}

func (spec *StreamSpec) traceSource(skipped func(string, *trace.BadLineError)) (traffic.Source, error) {
	if spec.Arrivals != "" || spec.Path != "" || spec.Body != 0 {
		return nil, errors.New("arrivals, path and body come from the trace and cannot be set")
	}
	if !(spec.BadShare >= 0 && spec.BadShare <= 1) {
		return nil, fmt.Errorf("bad_share: %v, want 0 to 1", spec.BadShare)
	}
	format, err := trace.ParseFormat(cmp.Or(spec.Format, formatByExtension[filepath.Ext(spec.Trace)]))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Trace, err)
	}
	if _, err := os.Stat(spec.Trace); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	loops := 0
	open := func() (io.ReadCloser, error) {
		loops++
		return os.Open(spec.Trace)
	}
	read := func(r io.Reader) *trace.Reader {
		var onBad func(*trace.BadLineError)
		if skipped != nil && loops == 1 { // later loops skip the same lines again
			onBad = func(b *trace.BadLineError) { skipped(spec.Trace, b) }
		}
		return trace.NewReader(r, format, spec.BadShare, onBad)
	}
	sched, err := trace.NewSchedule(open, read, trace.Options{Speed: spec.Speed, From: time.Duration(spec.From), To: time.Duration(spec.To), Loops: spec.Loops})
	if err != nil {
		return nil, err
	}
	return trace.NewSource(spec.Trace, sched), nil
}

// checkTarget rejects targets on other machines unless they are allowed, so that a
// mistyped address does not receive load.
func checkTarget(target string, anywhere bool) error {
	if anywhere {
		_, _, err := net.SplitHostPort(target)
		return err
	}
	at, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q, want address:port, such as 127.0.0.1:8080", target)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("target %s is not on this machine; --anywhere allows it", target)
	}
	return nil
}

// reservedDescriptors is the number of file descriptors needed besides connections.
const reservedDescriptors = 24

// checkDescriptors checks the limit of file descriptors. If there are too few, failures
// to open a connection would be counted as the target's.
func checkDescriptors(conns int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("connections: %w", err)
	}
	if available := int64(l.Cur) - reservedDescriptors; int64(conns) > available { // the Go runtime has raised the soft limit to the hard limit
		return fmt.Errorf("connections: %d, want at most %d: the process is limited to %d file descriptors (ulimit -n)", conns, max(available, 0), l.Cur)
	}
	return nil
}
