// Command verdict reads the output of go test -json and decides whether the run passes.
//
//	go test -json ./... | go run ./scripts/verdict KNOWN-RED.txt
//
// It prints the whole output of packages that fail and the last line of all others. The file
// lists known failures: tests that may fail without failing the run. Any other failure fails
// the run, and so does a listed test that did not run. A listed test that passes is reported,
// so that its line can be removed. An invalid file is an error; a missing file lists no tests.
//
// A line of the file holds the package path below the module, the test, a colon, the cause and
// the issue: "internal/pool TestName: cause; issue 46". The file lists three tests at most.
// Empty lines and lines that begin with # are ignored.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
)

const (
	module           = "gorselink/"
	maxKnownFailures = 3 // tests that the file may list
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: verdict KNOWN-RED.txt <go-test.json")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		fmt.Fprintf(os.Stderr, "verdict: %s: %v\n", os.Args[1], err)
		os.Exit(2)
	}
	if !evaluate(os.Stdin, os.Stdout, known) {
		os.Exit(1)
	}
}

// parseKnownFailures parses the list of known failures and returns the cause of each by
// "package test".
func parseKnownFailures(text string) (map[string]string, error) {
	known := map[string]string{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, cause, _ := strings.Cut(line, ":")
		fields := strings.Fields(name)
		switch {
		case len(fields) != 2 || !strings.HasPrefix(fields[1], "Test"):
			return nil, fmt.Errorf("line %d: got %q, want a package and a test before the colon", i+1, name)
		case !strings.Contains(cause, "issue "):
			return nil, fmt.Errorf("line %d: want a cause and an issue (\"issue N\") after the colon", i+1)
		}
		known[fields[0]+" "+fields[1]] = strings.TrimSpace(cause)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("lists %d tests, want %d at most", len(known), maxKnownFailures)
	}
	return known, nil
}

// event is a line of the output of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// evaluate reads events from in, prints a summary to out, and reports whether the run passes.
func evaluate(in io.Reader, out io.Writer, known map[string]string) bool {
	ok, ran := true, 0
	output := map[string]*strings.Builder{} // by package, until the package ends
	knownFailed := map[string]int{}         // known failures by package
	failed := map[string]int{}              // all failed tests by package
	results := map[string]string{}          // result of each known failure
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil { // other output of the go command
			fmt.Fprintln(out, lines.Text())
			continue
		}
		topLevel := e.Test != "" && !strings.Contains(e.Test, "/")
		name := strings.TrimPrefix(e.Package, module) + " " + e.Test
		switch {
		case e.Action == "output" || e.Action == "build-output":
			b := output[e.Package]
			if b == nil {
				b = &strings.Builder{}
				output[e.Package] = b
			}
			if e.Package == "" {
				fmt.Fprint(out, e.Output)
			}
			b.WriteString(e.Output)
		case topLevel && e.Action == "fail":
			ran++
			failed[e.Package]++
			if _, listed := known[name]; listed {
				knownFailed[e.Package]++
				results[name] = "FAILED as expected"
			}
		case topLevel && e.Action == "pass":
			ran++
			if _, listed := known[name]; listed {
				results[name] = "PASSED: remove its line from the list"
			}
		case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
			b := output[e.Package]
			if b == nil {
				b = &strings.Builder{}
			}
			if e.Action == "fail" {
				fmt.Fprint(out, b.String())
				// A package that fails without a failed test crashed or was not built.
				if knownFailed[e.Package] == 0 || failed[e.Package] > knownFailed[e.Package] {
					ok = false
				}
			} else if text := strings.TrimSpace(b.String()); text != "" {
				fmt.Fprintln(out, text[strings.LastIndexByte(text, '\n')+1:])
			}
			delete(output, e.Package)
		case e.Action == "build-fail":
			ok = false
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintln(out, "verdict:", err)
		ok = false
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		result := results[name]
		if result == "" {
			result, ok = "DID NOT RUN", false
		}
		fmt.Fprintf(out, "known failure: %s %s (%s)\n", name, result, known[name])
	}
	if ran == 0 {
		fmt.Fprintln(out, "verdict: no test ran")
		ok = false
	}
	return ok
}
