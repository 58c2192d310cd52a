package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gorselink/internal/experiment"
	"gorselink/internal/hollow"
)

// runScale runs a scale experiment, writes its result files and reports violations.
func (c *playCommand) runScale(env *environment, e *experiment.ScaleExperiment) error {
	if c.Turns != 1 || len(c.Build) > 1 {
		return exitError{errors.New("prove: a scale experiment runs once, with at most one --build"), exitUsage}
	}
	o := experiment.ScaleOptions{}
	if len(c.Build) == 1 {
		var ok bool
		if _, o.Program, ok = strings.Cut(c.Build[0], "="); !ok || o.Program == "" {
			return exitError{fmt.Errorf("prove: --build %q: want NAME=PROGRAM", c.Build[0]), exitUsage}
		}
	}
	if e.NeedsProgram() && o.Program == "" {
		return exitError{errors.New("prove: real sidecars and chains need a program: want --build NAME=PROGRAM"), exitUsage}
	}
	if c.Check {
		fmt.Fprintf(env.out, "%s: a scale experiment: %d sweeps, %d real sidecars, %d reloads, simulated day: %t\n", c.File, len(e.Sweeps), len(e.RealSidecars), len(e.Reloads), e.Day != nil)
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("prove: %w", err)
	}
	o.RoleCommand = []string{self, "role"}
	e.Seed = cmp.Or(c.Seed, e.Seed)
	if !c.Quiet {
		o.Log = func(line string) { fmt.Fprintln(env.err, line) }
	}
	res, err := experiment.RunScale(env.ctx, e, o)
	if err != nil {
		return fmt.Errorf("prove: %w", err)
	}
	if err := res.WriteTable(env.out); err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeScaleFiles(c.Out, c.File, res); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	violations, void := res.Violations(), res.Void()
	for _, line := range append(void, violations...) {
		fmt.Fprintln(env.out, line)
	}
	switch {
	case len(violations) > 0:
		return exitError{fmt.Errorf("prove: %d requirements are not met", len(violations)), exitViolation}
	case len(void) > 0:
		return exitError{errors.New("prove: the machine was the bottleneck at some sizes; their figures are left out"), exitBottleneck}
	}
	return nil
}

// writeScaleFiles writes the result as JSON, the slopes for the capacity page, the table and the
// page with charts.
func writeScaleFiles(dir, file string, res *experiment.ScaleResult) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := res.WriteFile(filepath.Join(dir, "scale.json")); err != nil {
		return err
	}
	slopes, err := os.Create(filepath.Join(dir, "slopes.toml"))
	if err != nil {
		return err
	}
	defer slopes.Close()
	command := "bin/prove experiments/" + filepath.Base(file) + " --build now=bin/gorselink --out results/" + strings.TrimSuffix(filepath.Base(file), ".toml")
	if err := res.WriteSlopes(slopes, command); err != nil {
		return err
	}
	table, err := os.Create(filepath.Join(dir, "table.txt"))
	if err != nil {
		return err
	}
	defer table.Close()
	if err := res.WriteTable(table); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(dir, "page.html"))
	if err != nil {
		return err
	}
	defer page.Close()
	return res.WritePage(page)
}

type roleCommand struct {
	Part string `arg:"" help:"The role: sidecars or registry."`
}

// Run runs the role until its input ends.
func (c *roleCommand) Run(env *environment) error { return hollow.Serve(c.Part, os.Stdin, env.out) }
