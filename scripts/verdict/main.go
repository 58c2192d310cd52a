// Command verdict reads the output of go test -json and tells whether it passes.
//
//	go test -json ./... | go run ./scripts/verdict KNOWN-RED.txt
//
// What packages print is shown where one fails, else only its closing line. A test that
// the file lists may fail: it is run and printed, and the verdict passes over it. Any other
// failure fails, and so do a listed test that is not there and a file that cannot be read.
// A listed test that passes is reported, so that its line goes.
//
// A line of the file is the package below the module, the test, a colon, the cause and the
// issue: "internal/pool TestName: cause; issue 46". There are three at the most. Empty lines
// and those that begin with # are left out.
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
	module  = "gorselink/"
	mostRed = 3 // tests that may be known to fail
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
	known, err := list(string(text))
	if err != nil {
		fmt.Fprintf(os.Stderr, "verdict: %s: %v\n", os.Args[1], err)
		os.Exit(2)
	}
	if !judge(os.Stdin, os.Stdout, known) {
		os.Exit(1)
	}
}

// list reads the tests that are known to fail, each with its cause.
func list(text string) (map[string]string, error) {
	known := map[string]string{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, cause, _ := strings.Cut(line, ":")
		at := strings.Fields(name)
		switch {
		case len(at) != 2 || !strings.HasPrefix(at[1], "Test"):
			return nil, fmt.Errorf("line %d: %q, want a package and a test before the colon", i+1, name)
		case !strings.Contains(cause, "issue "):
			return nil, fmt.Errorf("line %d: want a cause and its issue behind the colon", i+1)
		}
		known[at[0]+" "+at[1]] = strings.TrimSpace(cause)
	}
	if len(known) > mostRed {
		return nil, fmt.Errorf("%d tests, want %d at most", len(known), mostRed)
	}
	return known, nil
}

// event is one of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// judge tells whether all that failed is known.
func judge(in io.Reader, out io.Writer, known map[string]string) bool {
	ok, ran := true, 0
	output := map[string]*strings.Builder{} // of each package that is not over
	red := map[string]int{}                 // of each package: its tests that failed and are known
	failed := map[string]int{}              // and all that failed
	verdict := map[string]string{}          // of the known ones
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil { // what the tool says beside
			fmt.Fprintln(out, lines.Text())
			continue
		}
		top := e.Test != "" && !strings.Contains(e.Test, "/")
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
		case top && e.Action == "fail":
			ran++
			failed[e.Package]++
			if _, is := known[name]; is {
				red[e.Package]++
				verdict[name] = "fails"
			}
		case top && e.Action == "pass":
			ran++
			if _, is := known[name]; is {
				verdict[name] = "PASSES: take its line out"
			}
		case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
			b := output[e.Package]
			if b == nil {
				b = &strings.Builder{}
			}
			if e.Action == "fail" {
				fmt.Fprint(out, b.String())
				// A package that fails without a test that did broke off, or was not built.
				if red[e.Package] == 0 || failed[e.Package] > red[e.Package] {
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
		what := verdict[name]
		if what == "" {
			what, ok = "WAS NOT RUN", false
		}
		fmt.Fprintf(out, "known red: %s %s (%s)\n", name, what, known[name])
	}
	if ran == 0 {
		fmt.Fprintln(out, "verdict: no test ran")
		ok = false
	}
	return ok
}
