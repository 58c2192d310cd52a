package main

import (
	"fmt"
	"strings"
)

// knownFailure is an entry of the list: a test or subtest that may fail without failing the run.
type knownFailure struct {
	test                       string // "package test", with the package path below the module
	command, seed, seen, issue string
}

// fields returns the required fields of an entry by their names.
func (k *knownFailure) fields() map[string]*string {
	return map[string]*string{"command": &k.command, "seed": &k.seed, "seen": &k.seen, "issue": &k.issue}
}

// parseKnownFailures parses the list. An entry begins with a line "package test"; its fields
// follow on indented lines, "name: value", and may go on with lines that are indented further.
// All fields are required. Empty lines and lines that begin with # are ignored.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var known []knownFailure
	var last *string // field that a continuation line extends
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed == "" || trimmed[0] == '#' {
			continue
		}
		if line == strings.TrimLeft(line, " \t") {
			names := strings.Fields(line)
			if len(names) != 2 || !strings.HasPrefix(names[1], "Test") {
				return nil, fmt.Errorf("line %d: got %q, want a package and a test", i+1, line)
			}
			known, last = append(known, knownFailure{test: names[0] + " " + names[1]}), nil
			continue
		}
		if len(known) == 0 {
			return nil, fmt.Errorf("line %d: got a field before the first test", i+1)
		}
		name, value, _ := strings.Cut(trimmed, ":")
		if field := known[len(known)-1].fields()[name]; field != nil {
			*field, last = strings.TrimSpace(value), field
		} else if last != nil {
			*last += " " + trimmed
		} else {
			return nil, fmt.Errorf("line %d: got %q, want command, seed, seen or issue", i+1, trimmed)
		}
	}
	for i := range known {
		for name, value := range known[i].fields() {
			if *value == "" {
				return nil, fmt.Errorf("%s: no %s", known[i].test, name)
			}
		}
	}
	return known, nil
}
