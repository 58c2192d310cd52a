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
	Folder string `type:"path" default:"experiments/capacity" help:"Where fleets.toml, slopes-*.toml, roles.toml and page.md are."`
	Fleets string `type:"path" help:"Another file of fleets."`
}

// Run writes the page.
func (c *capacityCommand) Run(s *shell) error {
	at := func(name string) string { return filepath.Join(c.Folder, name) }
	var in capacity.Inputs
	read := func(path string, read func(file string, text []byte) error) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return coded{fmt.Errorf("prove: %w", err), exitUsage}
		}
		if err := read(path, text); err != nil {
			return coded{err, exitUsage}
		}
		return nil
	}
	if err := read(cmp.Or(c.Fleets, at("fleets.toml")), in.ReadFleets); err != nil {
		return err
	}
	runs, err := filepath.Glob(at("slopes-*.toml")) // by name, so that the page is always the same
	if err != nil {
		return coded{fmt.Errorf("prove: %w", err), exitUsage}
	}
	for _, path := range runs {
		if err := read(path, in.ReadSlopes); err != nil {
			return err
		}
	}
	if err := read(at("roles.toml"), in.ReadRoles); err != nil {
		return err
	}
	text, err := os.ReadFile(at("page.md"))
	if err != nil {
		return coded{fmt.Errorf("prove: %w", err), exitUsage}
	}
	page, err := in.Page(string(text))
	if err != nil {
		return coded{fmt.Errorf("prove: %w", err), exitUsage}
	}
	_, err = io.WriteString(s.out, page)
	return err
}
