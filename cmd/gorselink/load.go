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
	Run     loadRun     `cmd:"" default:"withargs" help:"Make a run; what load does by itself."`
	Compare loadCompare `cmd:"" help:"Pair the reports of two runs and tell what is beyond noise."`
	Worker  loadWorker  `cmd:"" hidden:"" help:"One of --workers; it is told what to do on its standard input."`
}

type loadRun struct {
	Target string `help:"Where the requests go, address:port."`
	File   string `type:"path" help:"A TOML file that describes the run; of the flags for what is asked only --target and --seed go with it."`

	Shape    string        `group:"What is asked" default:"hold 100 10s" help:"The rate over time: parts of hold RATE FOR, ramp FROM TO FOR, step FROM TO LEVELS FOR, spike BASE PEAK RISE FOR, wave MEAN SWING PERIOD FOR, set apart by commas."`
	Arrivals string        `group:"What is asked" default:"poisson" enum:"even,poisson" help:"How the requests lie within the shape."`
	Seed     uint64        `group:"What is asked" default:"1" help:"The same seed makes the same requests at the same times."`
	Method   string        `group:"What is asked" default:"GET"`
	Host     string        `group:"What is asked" help:"The Host field; the target without it."`
	Path     string        `group:"What is asked" default:"/" help:"{n} stands for the request's number, {key} for its subject, {rand:1-6} for a number."`
	Class    string        `group:"What is asked" help:"Named in X-Class."`
	Header   []string      `group:"What is asked" sep:"none" help:"A further field, name: value."`
	Body     int           `group:"What is asked" help:"Bytes of the body."`
	Keys     int           `group:"What is asked" help:"How many subjects there are."`
	Skew     float64       `group:"What is asked" default:"1" help:"Exponent of the Zipf distribution over the subjects."`
	Keyed    bool          `group:"What is asked" help:"Each request has an Idempotency-Key."`
	Budget   time.Duration `group:"What is asked" default:"10s" help:"How long a caller waits, from when its request is due; 0 for ever."`

	Trace    string        `group:"A trace instead of a shape" type:"path" help:"A file of recorded requests."`
	Format   string        `group:"A trace instead of a shape" help:"log (Common or Combined Log Format), csv or jsonl; by the file's name without it."`
	Speed    float64       `group:"A trace instead of a shape" default:"1" help:"2 makes it twice as fast."`
	From     time.Duration `group:"A trace instead of a shape" help:"What is before is left out."`
	To       time.Duration `group:"A trace instead of a shape" help:"What is from here on is left out."`
	Loops    int           `group:"A trace instead of a shape" default:"1" help:"How often it is played."`
	BadShare float64       `group:"A trace instead of a shape" help:"Share of its lines that may be bad; they are told and skipped."`

	Conns   int           `group:"How it is asked" default:"100" help:"Connections at most. Requests beyond them wait, and go on ageing."`
	PerConn int           `group:"How it is asked" help:"Requests on a connection before it is closed."`
	Grace   time.Duration `group:"How it is asked" default:"10s" help:"How long answers are awaited after the last request was due."`

	Retries    int           `group:"What callers do" help:"Tries after the first one, at most."`
	RetryWait  time.Duration `group:"What callers do" help:"Before a retry; at once without it."`
	RetryGrow  bool          `group:"What callers do" help:"The wait doubles with each."`
	Honour     float64       `group:"What callers do" default:"1" help:"Share of callers that heed Retry-After."`
	Leave      float64       `group:"What callers do" help:"Share of callers that leave before the answer."`
	LeaveAfter time.Duration `group:"What callers do" default:"100ms" help:"How long those wait."`

	Workers  int    `default:"1" help:"Processes that share the plan and the connections."`
	JSON     string `type:"path" help:"Write the report there, for gorselink load compare and scripts."`
	HTML     string `type:"path" name:"html" help:"Write the report there as a page with drawings, which needs nothing else."`
	Hgrm     string `type:"path" help:"Write the percentiles there, for HdrHistogram's plotter."`
	Quiet    bool   `help:"No line a second."`
	Anywhere bool   `help:"Let the target be on another machine. You answer for whose it is."`
}

const (
	// exitBottleneck is the exit code of a run in which the generator, and not
	// the target, was the bottleneck: its figures must not be used.
	exitBottleneck = 3
	// exitBroken is that of a run that broke off: a trace with a fault, a
	// worker that died. What it had measured by then is reported.
	exitBroken = 5
	// mostWorkers is more than any machine needs.
	mostWorkers = 256
)

// coded is an error with an exit code of its own.
type coded struct {
	error
	code int
}

// Run makes the run and writes what it has measured.
func (c *loadRun) Run(s *shell, call *kong.Context) error {
	spec, err := c.spec(call)
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	res, err := c.measure(s, spec)
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	rep, err := res.Report()
	if err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	if err := c.write(s.out, rep); err != nil {
		return fmt.Errorf("gorselink: load: %w", err)
	}
	switch {
	case rep.Broken != "":
		return coded{fmt.Errorf("gorselink: load: %s", rep.Broken), exitBroken}
	case len(rep.Verdict.Void) > 0:
		return coded{errors.New("gorselink: load: the generator was the bottleneck"), exitBottleneck}
	}
	return nil
}

// measure makes the run, in this process or in workers.
func (c *loadRun) measure(s *shell, spec *load.Spec) (*load.Result, error) {
	skips := load.Skips{To: s.err}
	cfg, err := spec.Config(load.Part{}, skips.Tell)
	if err != nil {
		return nil, err
	}
	if !c.Quiet {
		cfg.Live = newLiveLine(s.err, s.redraw).show
	}
	// Also where workers make the run: what is wrong is told here, once.
	r, err := load.New(*cfg)
	if err != nil {
		return nil, err
	}
	floor, err := load.MeasureFloor(s.ctx)
	if err != nil {
		return nil, err
	}
	var res *load.Result
	if c.Workers == 1 {
		res = r.Run(s.ctx)
		skips.End()
	} else {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		res, err = load.RunWorkers(s.ctx, c.Workers, spec, cfg.Live, func() *exec.Cmd {
			cmd := exec.Command(self, "load", "worker")
			cmd.Stderr = s.err
			return cmd
		})
		if err != nil {
			return nil, err
		}
	}
	res.Floor = floor
	return res, nil
}

// notWithFile are the groups of flags that a file takes the place of.
var notWithFile = []string{"What is asked", "A trace instead of a shape", "How it is asked", "What callers do"}

// given are the flags of some groups that the command line has.
func given(call *kong.Context, groups []string) (names []string) {
	for _, p := range call.Path {
		if p.Flag != nil && p.Flag.Group != nil && slices.Contains(groups, p.Flag.Group.Title) {
			names = append(names, p.Flag.Name)
		}
	}
	return names
}

// spec is the run that the flags ask for.
func (c *loadRun) spec(call *kong.Context) (*load.Spec, error) {
	if c.Workers < 1 || c.Workers > mostWorkers {
		return nil, fmt.Errorf("--workers %d, want 1 to %d", c.Workers, mostWorkers)
	}
	asked := given(call, notWithFile)
	if c.File != "" {
		spec, err := load.ReadSpec(c.File)
		if err != nil {
			return nil, err
		}
		for _, name := range asked {
			if name != "seed" {
				return nil, fmt.Errorf("--%s and --file: the file says what is asked", name)
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
	spec.ClientSpec = load.ClientSpec{Retries: c.Retries, Wait: load.Duration(c.RetryWait), Grow: c.RetryGrow, Honour: &c.Honour, Leave: c.Leave, LeaveAfter: load.Duration(c.LeaveAfter)}
	budget := load.Duration(c.Budget)
	stream := load.StreamSpec{
		Name: "load", Shape: c.Shape, Arrivals: c.Arrivals, Method: c.Method, Host: c.Host, Path: c.Path, Class: c.Class, Headers: map[string]string{},
		Body: c.Body, Keys: c.Keys, Skew: &c.Skew, Keyed: c.Keyed, Budget: &budget,
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("--header %q, want name: value", h)
		}
		stream.Headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	if c.Trace != "" {
		for _, name := range asked {
			if slices.Contains([]string{"shape", "arrivals", "path", "body"}, name) {
				return nil, fmt.Errorf("--%s and --trace: the trace says that itself", name)
			}
		}
		stream.Shape, stream.Arrivals, stream.Path, stream.Method = "", "", "", ""
		stream.Trace, stream.Format, stream.BadShare = c.Trace, c.Format, c.BadShare
		stream.Speed, stream.Loops, stream.From, stream.To = c.Speed, c.Loops, load.Duration(c.From), load.Duration(c.To)
	} else if more := given(call, []string{"A trace instead of a shape"}); len(more) > 0 {
		return nil, fmt.Errorf("--%s goes with --trace", more[0])
	}
	spec.Streams = []load.StreamSpec{stream}
	return spec, nil
}

func (c *loadRun) write(out io.Writer, rep *load.Report) error {
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

// Run does a worker's part.
func (loadWorker) Run(s *shell) error {
	return load.ServeWorker(s.ctx, os.Stdin, s.out, s.err)
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
