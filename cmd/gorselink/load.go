package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"gorselink/internal/load"
	"gorselink/traffic"
)

type loadCommand struct {
	Run     loadRun     `cmd:"" default:"withargs" help:"Make a run; what load does by itself."`
	Compare loadCompare `cmd:"" help:"Pair the reports of two runs and tell what is beyond noise."`
}

type loadCompare struct {
	A    string `arg:"" type:"path" help:"The report of a run, as --json writes it."`
	B    string `arg:"" type:"path" help:"The report of another one."`
	Seed uint64 `default:"1" help:"Of the bootstrap's draws."`
}

// exitDifferent is the exit code of a comparison in which something is beyond
// noise.
const exitDifferent = 4

// Run compares two reports.
func (c *loadCompare) Run(s *shell) error {
	var reports [2]*load.Report
	for i, path := range []string{c.A, c.B} {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("gorselink: load compare: %w", err)
		}
		reports[i], err = load.ReadReport(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("gorselink: load compare: %s: %w", path, err)
		}
	}
	all, err := load.Compare(reports[0], reports[1], c.Seed)
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	beyond, err := load.WriteDifferences(s.out, all)
	if err != nil {
		return err
	}
	if beyond > 0 {
		return coded{fmt.Errorf("gorselink: load compare: %d figures differ beyond noise", beyond), exitDifferent}
	}
	return nil
}

type loadRun struct {
	Target   string        `required:"" help:"Where the requests go, address:port."`
	Shape    string        `default:"hold 100 10s" help:"The rate over time: parts of hold RATE FOR, ramp FROM TO FOR, step FROM TO LEVELS FOR, spike BASE PEAK RISE FOR, wave MEAN SWING PERIOD FOR, set apart by commas."`
	Arrivals string        `default:"poisson" enum:"even,poisson" help:"How the requests lie within the shape."`
	Seed     uint64        `default:"1" help:"The same seed makes the same requests at the same times."`
	Method   string        `default:"GET"`
	Host     string        `help:"The Host field; the target without it."`
	Path     string        `default:"/" help:"{n} stands for the request's number, {key} for its subject, {rand:1-6} for a number."`
	Class    string        `help:"Named in X-Class."`
	Header   []string      `help:"A further field, name: value."`
	Body     int           `help:"Bytes of the body."`
	Keys     int           `help:"How many subjects there are."`
	Skew     float64       `default:"1" help:"Exponent of the Zipf distribution over the subjects."`
	Keyed    bool          `help:"Each request has an Idempotency-Key."`
	Budget   time.Duration `default:"10s" help:"How long a caller waits, from when its request is due; 0 for ever."`

	Conns   int           `default:"100" help:"Connections at most. Requests beyond them wait, and go on ageing."`
	PerConn int           `help:"Requests on a connection before it is closed."`
	Grace   time.Duration `default:"10s" help:"How long answers are awaited after the last request was due."`

	Retries    int           `help:"Tries after the first one, at most."`
	RetryWait  time.Duration `help:"Before a retry; at once without it."`
	RetryGrow  bool          `help:"The wait doubles with each."`
	Honour     float64       `default:"1" help:"Share of callers that heed Retry-After."`
	Leave      float64       `help:"Share of callers that leave before the answer."`
	LeaveAfter time.Duration `default:"100ms" help:"How long those wait."`

	JSON     string `type:"path" help:"Write the report there, for gorselink load compare and scripts."`
	Hgrm     string `type:"path" help:"Write the percentiles there, for HdrHistogram's plotter."`
	Quiet    bool   `help:"No line a second."`
	Anywhere bool   `help:"Let the target be on another machine. You answer for whose it is."`
}

// exitBottleneck is the exit code of a run in which the generator, and not the
// target, was the bottleneck: its figures must not be used.
const exitBottleneck = 3

// coded is an error with an exit code of its own.
type coded struct {
	error
	code int
}

// Run makes the run and writes what it has measured.
func (c *loadRun) Run(s *shell) error {
	cfg, err := c.config()
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	if !c.Quiet {
		cfg.Live = func(l load.Live) {
			fmt.Fprintf(os.Stderr, "%5.0f s  %d due  %d ended  %d open\n", l.At.Seconds(), l.Due, l.Ended, l.InFlight)
		}
	}
	r, err := load.New(*cfg)
	if err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	floor, err := load.MeasureFloor(s.ctx)
	if err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	res := r.Run(s.ctx)
	res.Floor = floor
	rep, err := res.Report()
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	if err := c.write(s.out, rep); err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	if len(rep.Verdict.Void) > 0 {
		return coded{errors.New("gorselink: load: the generator was the bottleneck"), exitBottleneck}
	}
	return nil
}

// config is the run that the flags ask for.
func (c *loadRun) config() (*load.Config, error) {
	if err := c.checkTarget(); err != nil {
		return nil, err
	}
	shape, err := traffic.ParseShape(c.Shape)
	if err != nil {
		return nil, fmt.Errorf("--shape: %w", err)
	}
	pattern, err := traffic.ParsePattern(c.Arrivals)
	if err != nil {
		return nil, fmt.Errorf("--arrivals: %w", err)
	}
	stream := traffic.Stream{
		Name: "load", Shape: shape, Pattern: pattern, Method: c.Method, Host: c.Host, Path: c.Path, Class: c.Class,
		Body: c.Body, Keys: c.Keys, Skew: c.Skew, Keyed: c.Keyed, Budget: c.Budget,
	}
	if stream.Host == "" {
		stream.Host = c.Target
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("--header %q, want name: value", h)
		}
		stream.Headers = append(stream.Headers, traffic.Header{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	if err := stream.Check(); err != nil {
		return nil, err
	}
	streams := []traffic.Stream{stream}
	return &load.Config{
		Addr: c.Target, Streams: streams, Plan: traffic.NewPlan(streams, c.Seed), Seed: c.Seed,
		Client: traffic.Client{Retries: c.Retries, Wait: c.RetryWait, Grow: c.RetryGrow, Honour: c.Honour, Leave: c.Leave, LeaveAfter: c.LeaveAfter},
		Conns:  c.Conns, PerConn: c.PerConn, Span: shape.Span(), Grace: c.Grace,
	}, nil
}

// checkTarget refuses what is not on this machine: a generator that is aimed
// wrong is an attack.
func (c *loadRun) checkTarget() error {
	if c.Anywhere {
		_, _, err := net.SplitHostPort(c.Target)
		return err
	}
	at, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return fmt.Errorf("--target %q, want address:port, as 127.0.0.1:8080", c.Target)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("--target %s is not on this machine; --anywhere lets it be", c.Target)
	}
	return nil
}

func (c *loadRun) write(out io.Writer, rep *load.Report) error {
	if err := rep.WriteText(out); err != nil {
		return err
	}
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{c.JSON, rep.WriteJSON}, {c.Hgrm, rep.WriteHgrm}} {
		if f.path == "" {
			continue
		}
		if err := writeFile(f.path, f.write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
