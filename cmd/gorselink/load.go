package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"gorselink/internal/load"
)

type loadCommand struct {
	Run     loadRun     `cmd:"" default:"withargs" help:"Run a load test; the default subcommand."`
	Compare loadCompare `cmd:"" help:"Compare the reports of two runs and show the differences that exceed noise."`
	Worker  loadWorker  `cmd:"" hidden:"" help:"Worker process of a run with --workers; reads its task from standard input."`
}

type loadRun struct {
	Target string `help:"Target of the requests, as address:port."`
	File   string `type:"path" help:"TOML file that describes the run. --target and --seed override it; other flags that describe the run cannot be combined with it."`

	Shape    string        `group:"Requests" default:"hold 100 10s" help:"Request rate over time, as a comma-separated list of the parts hold RATE FOR, ramp FROM TO FOR, step FROM TO LEVELS FOR, spike BASE PEAK RISE FOR and wave MEAN SWING PERIOD FOR."`
	Arrivals string        `group:"Requests" default:"poisson" enum:"even,poisson" help:"Distribution of the requests over time within the shape."`
	Seed     uint64        `group:"Requests" default:"1" help:"Random seed. The same seed produces the same requests at the same times."`
	Method   string        `group:"Requests" default:"GET"`
	Host     string        `group:"Requests" help:"Host header field; the target by default."`
	Path     string        `group:"Requests" default:"/" help:"Path of the requests. {n} is replaced by the number of the request, {key} by its key and {rand:1-6} by a random number in that range."`
	Class    string        `group:"Requests" help:"Value of the X-Class header field."`
	Header   []string      `group:"Requests" sep:"none" help:"Additional header field, as name: value. Can be repeated."`
	Body     int           `group:"Requests" help:"Length of the body in bytes."`
	Keys     int           `group:"Requests" help:"Number of different keys."`
	Skew     float64       `group:"Requests" default:"1" help:"Exponent of the Zipf distribution of the keys."`
	Keyed    bool          `group:"Requests" help:"Send an Idempotency-Key with each request."`
	Budget   time.Duration `group:"Requests" default:"10s" help:"Time that a client waits for the response, from when its request is due; 0 for no limit."`

	Trace    string        `group:"Trace (instead of a shape)" type:"path" help:"File of recorded requests."`
	Format   string        `group:"Trace (instead of a shape)" help:"Format of the trace: log (Common or Combined Log Format), csv or jsonl. By default it is taken from the file name."`
	Speed    float64       `group:"Trace (instead of a shape)" default:"1" help:"Factor on the speed of the trace; 2 plays it twice as fast."`
	From     time.Duration `group:"Trace (instead of a shape)" help:"Skip the part of the trace before this time."`
	To       time.Duration `group:"Trace (instead of a shape)" help:"Skip the part of the trace from this time on."`
	Loops    int           `group:"Trace (instead of a shape)" default:"1" help:"Number of times the trace is played."`
	BadShare float64       `group:"Trace (instead of a shape)" help:"Share of lines that may be malformed; they are reported and skipped."`

	Conns   int           `group:"Sending" default:"100" help:"Maximum number of connections. Requests wait for a free one, and the wait is part of their latency."`
	PerConn int           `group:"Sending" help:"Number of requests after which a connection is closed."`
	Grace   time.Duration `group:"Sending" default:"10s" help:"Time to wait for responses after the last request was due."`

	Retries    int           `group:"Client behaviour" help:"Maximum number of retries of a request."`
	RetryWait  time.Duration `group:"Client behaviour" help:"Delay before a retry; none by default."`
	RetryGrow  bool          `group:"Client behaviour" help:"Double the delay with each retry."`
	Honour     float64       `group:"Client behaviour" default:"1" help:"Share of clients that honour Retry-After."`
	Leave      float64       `group:"Client behaviour" help:"Share of clients that disconnect before the response."`
	LeaveAfter time.Duration `group:"Client behaviour" default:"100ms" help:"Time after which these clients disconnect."`

	Workers  int    `default:"1" help:"Number of processes that share the schedule and the connections."`
	JSON     string `type:"path" help:"Write the report to this file as JSON, for gorselink load compare and scripts."`
	HTML     string `type:"path" name:"html" help:"Write the report to this file as a self-contained HTML page with charts."`
	Hgrm     string `type:"path" help:"Write the percentiles to this file, for the HdrHistogram plotter."`
	Quiet    bool   `help:"Do not print progress."`
	Anywhere bool   `help:"Allow a target on another machine. Make sure that you are permitted to load it."`
}

const (
	// exitBottleneck is the exit code of a run whose results are invalid because the
	// generator, not the target, was the bottleneck.
	exitBottleneck = 3
	// exitAborted is the exit code of a run that ended early, for example because of a
	// malformed trace or a failed worker. The report covers the time until then.
	exitAborted = 5
	maxWorkers  = 256
)

// exitError is an error that determines the exit code.
type exitError struct {
	error
	code int
}

// Run performs the load test and writes its report.
func (c *loadRun) Run(env *environment, call *kong.Context) error {
	spec, err := c.buildSpec(call)
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	res, err := c.execute(env, spec)
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	rep, err := res.Report()
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	if err := c.writeReport(env.stdout, rep); err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	switch {
	case rep.PlanError != "":
		return exitError{fmt.Errorf("gorselink: load: %s", rep.PlanError), exitAborted}
	case len(rep.Verdict.Void) > 0:
		return exitError{errors.New("gorselink: load: the generator was the bottleneck, the results are invalid"), exitBottleneck}
	}
	return nil
}

// execute performs the load test, in this process or in worker processes.
func (c *loadRun) execute(env *environment, spec *load.Spec) (*load.Result, error) {
	skips := load.SkipReporter{Out: env.stderr}
	cfg, err := spec.Config(load.WorkerPart{}, skips.Report)
	if err != nil {
		return nil, err
	}
	if !c.Quiet {
		cfg.OnProgress = newProgressLine(env.stderr, env.redraw).show
	}
	// The configuration is also checked here if workers perform the run, so that an error is
	// reported once.
	r, err := load.New(*cfg)
	if err != nil {
		return nil, err
	}
	floor, err := load.MeasureFloor(env.ctx)
	if err != nil {
		return nil, err
	}
	var res *load.Result
	if c.Workers == 1 {
		res = r.Run(env.ctx)
		skips.Summarize()
	} else {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		res, err = load.RunWorkers(env.ctx, c.Workers, spec, cfg.OnProgress, func() *exec.Cmd {
			cmd := exec.Command(self, "load", "worker")
			cmd.Stderr = env.stderr
			return cmd
		})
		if err != nil {
			return nil, err
		}
	}
	res.Floor = floor
	return res, nil
}

// groupsSetByFile lists the groups of flags that cannot be combined with --file.
var groupsSetByFile = []string{"Requests", "Trace (instead of a shape)", "Sending", "Client behaviour"}

// flagsGiven returns the flags of the given groups that are on the command line.
func flagsGiven(call *kong.Context, groups []string) (names []string) {
	for _, p := range call.Path {
		if p.Flag != nil && p.Flag.Group != nil && slices.Contains(groups, p.Flag.Group.Title) {
			names = append(names, p.Flag.Name)
		}
	}
	return names
}

// buildSpec returns the run that the flags or the file describe.
func (c *loadRun) buildSpec(call *kong.Context) (*load.Spec, error) {
	if c.Workers < 1 || c.Workers > maxWorkers {
		return nil, fmt.Errorf("--workers %d: must be from 1 to %d", c.Workers, maxWorkers)
	}
	flags := flagsGiven(call, groupsSetByFile)
	if c.File != "" {
		spec, err := load.ReadSpec(c.File)
		if err != nil {
			return nil, err
		}
		for _, name := range flags {
			if name != "seed" {
				return nil, fmt.Errorf("--%s and --file cannot be combined, because the file describes the run", name)
			}
			spec.Seed = c.Seed
		}
		if c.Target != "" {
			spec.Target = c.Target
		}
		spec.Anywhere = c.Anywhere
		return spec, nil
	}
	spec := load.NewSpec()
	spec.Target, spec.Anywhere, spec.Seed = c.Target, c.Anywhere, c.Seed
	spec.Conns, spec.PerConn, spec.Grace = c.Conns, c.PerConn, load.Duration(c.Grace)
	spec.Client = load.ClientSpec{Retries: c.Retries, RetryWait: load.Duration(c.RetryWait), RetryGrow: c.RetryGrow, Honour: &c.Honour, Leave: c.Leave, LeaveAfter: load.Duration(c.LeaveAfter)}
	budget := load.Duration(c.Budget)
	stream := load.StreamSpec{
		Name: "load", Shape: c.Shape, Arrivals: c.Arrivals, Method: c.Method, Host: c.Host, Path: c.Path, Class: c.Class, Headers: map[string]string{},
		Body: c.Body, Keys: c.Keys, Skew: &c.Skew, Keyed: c.Keyed, Budget: &budget,
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("--header %q: must have the form name: value", h)
		}
		stream.Headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	if c.Trace != "" {
		for _, name := range flags {
			if slices.Contains([]string{"shape", "arrivals", "path", "body"}, name) {
				return nil, fmt.Errorf("--%s and --trace cannot be combined, because the trace determines it", name)
			}
		}
		stream.Shape, stream.Arrivals, stream.Path, stream.Method = "", "", "", ""
		stream.Trace, stream.Format, stream.BadShare = c.Trace, c.Format, c.BadShare
		stream.Speed, stream.Loops, stream.From, stream.To = c.Speed, c.Loops, load.Duration(c.From), load.Duration(c.To)
	} else if traceFlags := flagsGiven(call, []string{"Trace (instead of a shape)"}); len(traceFlags) > 0 {
		return nil, fmt.Errorf("--%s requires --trace", traceFlags[0])
	}
	spec.Streams = []load.StreamSpec{stream}
	return spec, nil
}

func (c *loadRun) writeReport(out io.Writer, rep *load.Report) error {
	if err := rep.WriteText(out); err != nil {
		return err
	}
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{c.JSON, rep.WriteJSON}, {c.HTML, rep.WriteHTML}, {c.Hgrm, rep.WriteHgrm}} {
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

type loadWorker struct{}

// Run performs a worker's part of the load test.
func (loadWorker) Run(env *environment) error {
	return load.ServeWorker(env.ctx, os.Stdin, env.stdout, env.stderr)
}

type loadCompare struct {
	A    string `arg:"" type:"path" help:"Report of the first run, written by --json."`
	B    string `arg:"" type:"path" help:"Report of the second run."`
	Seed uint64 `default:"1" help:"Random seed of the bootstrap."`
}

// exitDifferent is the exit code of a comparison with a difference that exceeds noise.
const exitDifferent = 4

// Run compares two reports.
func (c *loadCompare) Run(env *environment) error {
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
	differences, err := load.Compare(reports[0], reports[1], c.Seed)
	if err != nil {
		return fmt.Errorf("gorselink: load compare: %w", err)
	}
	significant, err := load.WriteDifferences(env.stdout, differences)
	if err != nil {
		return err
	}
	if significant > 0 {
		return exitError{fmt.Errorf("gorselink: load compare: %d figures differ by more than noise", significant), exitDifferent}
	}
	return nil
}
