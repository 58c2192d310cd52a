package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gorselink/internal/hollow"
	"gorselink/internal/proving"
)

// playScale plays a scale run, keeps its tables and charts, and tells what is not as it
// must be.
func (c *playCommand) playScale(s *shell, e *proving.Scale) error {
	if c.Turns != 1 || len(c.Build) > 1 {
		return coded{errors.New("prove: a scale run is played once, with one --build at most"), exitUsage}
	}
	o := proving.ScaleOptions{}
	if len(c.Build) == 1 {
		var ok bool
		if _, o.Program, ok = strings.Cut(c.Build[0], "="); !ok || o.Program == "" {
			return coded{fmt.Errorf("prove: --build %q, want NAME=PROGRAM", c.Build[0]), exitUsage}
		}
	}
	if e.NeedsProgram() && o.Program == "" {
		return coded{errors.New("prove: real sidecars and chains need a program: --build NAME=PROGRAM"), exitUsage}
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: a scale run: %d sweeps, %d real sizes, %d reloads, a day: %t\n", c.File, len(e.Sweeps), len(e.Reals), len(e.Reloads), e.Day != nil)
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("prove: %w", err)
	}
	o.Self = []string{self, "role"}
	e.Seed = cmp.Or(c.Seed, e.Seed)
	if !c.Quiet {
		o.Tell = func(line string) { fmt.Fprintln(s.err, line) }
	}
	res, err := proving.PlayScale(s.ctx, e, o)
	if err != nil {
		return fmt.Errorf("prove: %w", err)
	}
	if err := res.WriteTable(s.out); err != nil {
		return err
	}
	if c.Out != "" {
		if err := keepScale(c.Out, c.File, res); err != nil {
			return fmt.Errorf("prove: %w", err)
		}
	}
	broken, void := res.Broken(), res.Void()
	for _, line := range append(void, broken...) {
		fmt.Fprintln(s.out, line)
	}
	switch {
	case len(broken) > 0:
		return coded{fmt.Errorf("prove: %d things are not as they must be", len(broken)), exitUnkept}
	case len(void) > 0:
		return coded{errors.New("prove: the machine was the bottleneck at some sizes: there is no figure of them"), exitBottleneck}
	}
	return nil
}

func keepScale(dir, file string, res *proving.ScaleResult) error {
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
	Part string `arg:"" help:"sidecars or registry."`
}

// Run plays the part until the input ends.
func (c *roleCommand) Run(s *shell) error { return hollow.Serve(c.Part, os.Stdin, s.out) }
