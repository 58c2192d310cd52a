package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gorselink/internal/capacity"
)

type capacityCommand struct {
	Folder string `type:"path" default:"experiments/capacity" help:"Folder with fleets.toml, slopes-*.toml, roles.toml and page.md."`
	Fleets string `type:"path" help:"File to read instead of fleets.toml."`
}

// Run writes the capacity page to standard output.
func (c *capacityCommand) Run(env *environment) error {
	inFolder := func(name string) string { return filepath.Join(c.Folder, name) }
	var in capacity.Inputs
	read := func(path string, read func(file string, text []byte) error) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return exitError{fmt.Errorf("prove: %w", err), exitUsage}
		}
		if err := read(path, text); err != nil {
			return exitError{err, exitUsage}
		}
		return nil
	}
	if err := read(cmp.Or(c.Fleets, inFolder("fleets.toml")), in.ReadFleets); err != nil {
		return err
	}
	runs, err := filepath.Glob(inFolder("slopes-*.toml")) // Glob sorts the names, so the page is always the same
	if err != nil {
		return exitError{fmt.Errorf("prove: %w", err), exitUsage}
	}
	for _, path := range runs {
		if err := read(path, in.ReadSlopes); err != nil {
			return err
		}
	}
	if err := read(inFolder("roles.toml"), in.ReadRoles); err != nil {
		return err
	}
	text, err := os.ReadFile(inFolder("page.md"))
	if err != nil {
		return exitError{fmt.Errorf("prove: %w", err), exitUsage}
	}
	page, err := in.Page(string(text))
	if err != nil {
		return exitError{fmt.Errorf("prove: %w", err), exitUsage}
	}
	_, err = io.WriteString(env.out, page)
	return err
}
