// Command prove plays experiments with many processes of the program: on links with
// faults, before stand-in nodes, counted and judged from outside. It is a program of its
// own because its charts would cost every sidecar five megabytes of memory.
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

	"gorselink/internal/proving"
)

// commands are the subcommands; to play an experiment is the one that needs no name.
type commands struct {
	Play     playCommand     `cmd:"" default:"withargs" help:"Play an experiment."`
	Capacity capacityCommand `cmd:"" help:"Write the page of what a fleet costs from the files of its targets and slopes."`
	Role     roleCommand     `cmd:"" hidden:"" help:"Play one part of a scale run, asked over the input."`
}

type playCommand struct {
	File  string   `arg:"" type:"path" help:"The experiment, a TOML file."`
	Build []string `sep:"none" placeholder:"NAME=PROGRAM" help:"A build to play it with, in place of the file's program. Several are played in turn, and the last is compared with the first."`
	Turns int      `default:"1" help:"How often each build is played. Six pairs make an interval that is sure to 97 per cent."`
	Seed  uint64   `help:"In place of the file's."`
	Out   string   `type:"path" help:"A folder for the results: a JSON file for each play, the table and a page with charts."`
	Check bool     `help:"Read the file, tell what is wrong with it, and play nothing."`
	Quiet bool     `help:"Tell only the table."`
}

// Exit codes.
const (
	exitBroken     = 1 // a play could not be made or broke off
	exitUsage      = 2 // of the arguments or the file
	exitBottleneck = 3 // the generator was the bottleneck: the figures must not be used
	exitUnkept     = 4 // something that was wanted is not kept
)

// coded is an error with an exit code of its own.
type coded struct {
	error
	code int
}

// shell is what the command works with.
type shell struct {
	ctx      context.Context
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := run(&shell{ctx, os.Stdout, os.Stderr}, os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	code := exitBroken
	var c coded
	if errors.As(err, &c) {
		code = c.code
	}
	os.Exit(code)
}

// run does what the arguments say.
func run(s *shell, args []string) error {
	var c commands
	parser, err := kong.New(&c, kong.Name("prove"), kong.Description("Play an experiment: many processes before stand-in nodes, with faults, counted and judged from outside."),
		kong.Writers(s.out, s.err), kong.UsageOnError())
	if err != nil {
		return err
	}
	call, err := parser.Parse(args)
	if err != nil {
		return coded{fmt.Errorf("prove: %w", err), exitUsage}
	}
	return call.Run(s)
}

// Run plays the experiment and tells what it measured.
func (c *playCommand) Run(s *shell) error {
	e, scale, err := proving.ReadAny(c.File)
	if err != nil {
		return coded{err, exitUsage}
	}
	if scale != nil {
		return c.playScale(s, scale)
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: %d processes, %d nodes, %v, %d events, %d wants\n", c.File, e.Instances.Count, e.Nodes.Count, e.Span, len(e.Events), len(e.Wants))
		return nil
	}
	e.Seed = cmp.Or(c.Seed, e.Seed)
	names, programs, err := c.builds(e)
	if err != nil {
		return coded{fmt.Errorf("prove: %w", err), exitUsage}
	}
	if c.Turns < 1 {
		return coded{errors.New("prove: --turns: want 1 at least"), exitUsage}
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	var results []*proving.Result
	for turn := range c.Turns {
		for i, name := range names {
			o := proving.Options{Program: programs[i], Turn: uint64(turn)}
			if !c.Quiet {
				fmt.Fprintf(s.err, "%s, turn %d of %d\n", name, turn+1, c.Turns)
				o.Tell = func(line string) { fmt.Fprintf(s.err, "  %s\n", line) }
			}
			rec, err := proving.Run(s.ctx, e, o)
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
	return c.conclude(s, e, names, results)
}

// builds are the names and programs to play, in order.
func (c *playCommand) builds(e *proving.Experiment) (names, programs []string, err error) {
	for _, b := range c.Build {
		name, program, ok := strings.Cut(b, "=")
		if !ok || name == "" || program == "" || strings.ContainsAny(name, "/ ") || slices.Contains(names, name) {
			return nil, nil, fmt.Errorf("--build %q, want NAME=PROGRAM, each name once", b)
		}
		names, programs = append(names, name), append(programs, program)
	}
	if len(names) > 0 || e.Instances.Program != "" {
		if len(names) == 0 {
			names, programs = []string{"file"}, []string{""}
		}
		return names, programs, nil
	}
	return nil, nil, errors.New("no program: instances.program in the file, or --build NAME=PROGRAM")
}

// conclude writes what all plays say together.
func (c *playCommand) conclude(s *shell, e *proving.Experiment, names []string, results []*proving.Result) error {
	if err := proving.WriteTable(s.out, names, proving.Compare(names, results)); err != nil {
		return err
	}
	if c.Out != "" {
		if err := c.keep(e, names, results); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	unkept, void := 0, 0
	for _, res := range results {
		for _, line := range res.Void {
			fmt.Fprintf(s.out, "%s, turn %d is void: %s\n", res.Build, res.Turn+1, line)
			void++
		}
		// The earlier builds are there to be compared with.
		if res.Build != names[len(names)-1] {
			continue
		}
		for _, line := range res.Broken() {
			fmt.Fprintf(s.out, "%s, turn %d: %s\n", res.Build, res.Turn+1, line)
			unkept++
		}
	}
	switch {
	case void > 0:
		return coded{errors.New("prove: the generator was the bottleneck"), exitBottleneck}
	case unkept > 0:
		return coded{fmt.Errorf("prove: %d wants are not kept", unkept), exitUnkept}
	}
	return nil
}

func (c *playCommand) keep(e *proving.Experiment, names []string, results []*proving.Result) error {
	table, err := os.Create(filepath.Join(c.Out, "table.txt"))
	if err != nil {
		return err
	}
	defer table.Close()
	if err := proving.WriteTable(table, names, proving.Compare(names, results)); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(c.Out, "page.html"))
	if err != nil {
		return err
	}
	defer page.Close()
	return proving.WritePage(page, e, names, results)
}
