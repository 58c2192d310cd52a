// Command prove runs experiments with many processes of the program, in front of fake nodes
// and over emulated network links. It is separate from gorselink because the chart library
// would add five megabytes to every sidecar's memory.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"gorselink/internal/experiment"
)

// commands holds the subcommands. The default one is play.
type commands struct {
	Play     playCommand     `cmd:"" default:"withargs" help:"Run an experiment."`
	Capacity capacityCommand `cmd:"" help:"Write the capacity page from the files of fleets and slopes."`
	Role     roleCommand     `cmd:"" hidden:"" help:"Run one role of a scale run, with commands on standard input."`
}

type playCommand struct {
	File  string   `arg:"" type:"path" help:"Experiment file in TOML."`
	Build []string `sep:"none" placeholder:"NAME=PROGRAM" help:"A build to run instead of the file's program. Several builds run alternately, and the last is compared with the first."`
	Turns int      `default:"1" help:"How often each build runs. Six turns give an interval with a confidence of 97 per cent."`
	Seed  uint64   `help:"Seed to use instead of the file's."`
	Out   string   `type:"path" help:"Folder for the results: a JSON file for each run, the table and a page with charts."`
	Check bool     `help:"Check the file without running it."`
	Quiet bool     `help:"Print only the table."`
}

// Exit codes.
const (
	exitFailed     = 1 // a run failed or was interrupted
	exitUsage      = 2 // wrong arguments or experiment file
	exitBottleneck = 3 // the load generator was the bottleneck, so the figures are invalid
	exitViolation  = 4 // an expectation is not met
)

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

// environment is the context and the output streams of a command.
type environment struct {
	ctx      context.Context
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := run(&environment{ctx, os.Stdout, os.Stderr}, os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	code := exitFailed
	var c exitError
	if errors.As(err, &c) {
		code = c.code
	}
	os.Exit(code)
}

// run parses the arguments and runs the command.
func run(env *environment, args []string) error {
	var c commands
	parser, err := kong.New(&c, kong.Name("prove"), kong.Description("Run an experiment: many processes in front of fake nodes, with faults, measured from outside."),
		kong.Writers(env.out, env.err), kong.UsageOnError())
	if err != nil {
		return err
	}
	call, err := parser.Parse(args)
	if err != nil {
		return exitError{fmt.Errorf("prove: %w", err), exitUsage}
	}
	return call.Run(env)
}

// Run runs the experiment and reports the results.
func (c *playCommand) Run(env *environment) error {
	e, scale, err := experiment.ReadAny(c.File)
	if err != nil {
		return exitError{err, exitUsage}
	}
	if scale != nil {
		return c.runScale(env, scale)
	}
	if c.Check {
		fmt.Fprintf(env.out, "%s: %d processes, %d nodes, %v, %d events, %d expectations\n", c.File, e.Instances.Count, e.Nodes.Count, e.Duration, len(e.Events), len(e.Expectations))
		return nil
	}
	e.Seed = cmp.Or(c.Seed, e.Seed)
	names, programs, err := c.selectBuilds(e)
	if err != nil {
		return exitError{fmt.Errorf("prove: %w", err), exitUsage}
	}
	if c.Turns < 1 {
		return exitError{errors.New("prove: --turns: want at least 1"), exitUsage}
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	var results []*experiment.Result
	for turn := range c.Turns {
		for i, name := range names {
			o := experiment.Options{Program: programs[i], Turn: uint64(turn)}
			if !c.Quiet {
				fmt.Fprintf(env.err, "%s, turn %d of %d\n", name, turn+1, c.Turns)
				o.Log = func(line string) { fmt.Fprintf(env.err, "  %s\n", line) }
			}
			rec, err := experiment.Run(env.ctx, e, o)
			if err != nil {
				return fmt.Errorf("prove: %s, turn %d: %w", name, turn+1, err)
			}
			res := rec.Result(name, turn)
			results = append(results, res)
			if c.Out != "" {
				if err := res.WriteFile(filepath.Join(c.Out, fmt.Sprintf("%s-%d.json", name, turn+1))); err != nil {
					return fmt.Errorf("prove: %w", err)
				}
			}
		}
	}
	return c.report(env, e, names, results)
}

// selectBuilds returns the names and programs to run, in order.
func (c *playCommand) selectBuilds(e *experiment.Experiment) (names, programs []string, err error) {
	for _, b := range c.Build {
		name, program, ok := strings.Cut(b, "=")
		if !ok || name == "" || program == "" || strings.ContainsAny(name, "/ ") || slices.Contains(names, name) {
			return nil, nil, fmt.Errorf("--build %q: want NAME=PROGRAM with unique names", b)
		}
		names, programs = append(names, name), append(programs, program)
	}
	if len(names) > 0 || e.Instances.Program != "" {
		if len(names) == 0 {
			names, programs = []string{"file"}, []string{""}
		}
		return names, programs, nil
	}
	return nil, nil, errors.New("no program given: want instances.program in the file, or --build NAME=PROGRAM")
}

// report writes the comparison of all runs and returns an error if an expectation is not met.
func (c *playCommand) report(env *environment, e *experiment.Experiment, names []string, results []*experiment.Result) error {
	if err := experiment.WriteTable(env.out, names, experiment.Compare(names, results)); err != nil {
		return err
	}
	if c.Out != "" {
		if err := c.writeFiles(e, names, results); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	violations, void := 0, 0
	for _, res := range results {
		for _, line := range res.Void {
			fmt.Fprintf(env.out, "%s, turn %d is void: %s\n", res.Build, res.Turn+1, line)
			void++
		}
		// Only the last build is checked; the earlier ones are for comparison.
		if res.Build != names[len(names)-1] {
			continue
		}
		for _, line := range res.Violations() {
			fmt.Fprintf(env.out, "%s, turn %d: %s\n", res.Build, res.Turn+1, line)
			violations++
		}
	}
	switch {
	case void > 0:
		return exitError{errors.New("prove: the load generator was the bottleneck; the figures are invalid"), exitBottleneck}
	case violations > 0:
		return exitError{fmt.Errorf("prove: %d expectations are not met", violations), exitViolation}
	}
	return nil
}

// writeFiles writes the table and the page with charts to the results folder.
func (c *playCommand) writeFiles(e *experiment.Experiment, names []string, results []*experiment.Result) error {
	table, err := os.Create(filepath.Join(c.Out, "table.txt"))
	if err != nil {
		return err
	}
	defer table.Close()
	if err := experiment.WriteTable(table, names, experiment.Compare(names, results)); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(c.Out, "page.html"))
	if err != nil {
		return err
	}
	defer page.Close()
	return experiment.WritePage(page, e, names, results)
}
