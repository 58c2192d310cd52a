// Command verdict reads the output of go test -json and decides whether the run passes.
//
//	go test -json ./... | go run ./scripts/verdict KNOWN-RED.txt
//
// It prints the whole output of packages that fail and the last line of all others. The file
// lists known failures: tests and subtests that may fail without failing the run. Any other
// failure fails the run, and so does a listed test that did not run. A listed test that passes
// is reported, so that its entry can be removed. An invalid file is an error; a missing file
// lists no tests. See parseKnownFailures for its form.
//
// A listed subtest is passed over alone: its parent may fail only if all of its failed subtests
// are listed and it reports nothing itself.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strings"
)

const module = "gorselink/"

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

// event is a line of the output of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// run collects the results of a run.
type run struct {
	out       io.Writer
	ok        bool
	ran       int
	output    map[string]*strings.Builder // by package, until the package ends
	failed    map[string][]string         // failed tests by package
	messages  map[string]bool             // tests that report something themselves, as "package test"
	results   map[string]string           // "fail" or "pass" by "package test"
	tolerated map[string]bool             // listed tests
}

// testMessage matches the output of testing.T.Log and Error.
var testMessage = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// evaluate reads events from in, prints a summary to out, and reports whether the run passes.
func evaluate(in io.Reader, out io.Writer, known []knownFailure) bool {
	r := &run{out: out, ok: true, output: map[string]*strings.Builder{}, failed: map[string][]string{},
		messages: map[string]bool{}, results: map[string]string{}, tolerated: map[string]bool{}}
	for i := range known {
		r.tolerated[known[i].test] = true
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil { // other output of the go command
			fmt.Fprintln(out, lines.Text())
			continue
		}
		r.add(&e)
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintln(out, "verdict:", err)
		r.ok = false
	}
	r.reportKnown(known)
	if r.ran == 0 {
		fmt.Fprintln(out, "verdict: no test ran")
		r.ok = false
	}
	return r.ok
}

// add processes one event.
func (r *run) add(e *event) {
	name := testName(e.Package, e.Test)
	switch {
	case e.Action == "output" || e.Action == "build-output":
		r.addOutput(e)
	case e.Action == "build-fail":
		r.ok = false
	case e.Test != "" && (e.Action == "fail" || e.Action == "pass"):
		r.ran++
		r.results[name] = e.Action
		if e.Action == "fail" {
			r.failed[e.Package] = append(r.failed[e.Package], e.Test)
		}
	case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
		r.endPackage(e)
	}
}

func testName(pkg, test string) string { return strings.TrimPrefix(pkg, module) + " " + test }

func (r *run) addOutput(e *event) {
	if e.Package == "" {
		fmt.Fprint(r.out, e.Output)
		return
	}
	if r.output[e.Package] == nil {
		r.output[e.Package] = &strings.Builder{}
	}
	r.output[e.Package].WriteString(e.Output)
	if testMessage.MatchString(e.Output) {
		r.messages[testName(e.Package, e.Test)] = true
	}
}

// endPackage prints the output of a package that has ended, and judges its failures. A package
// that fails without a failed test crashed or was not built.
func (r *run) endPackage(e *event) {
	text := ""
	if b := r.output[e.Package]; b != nil {
		text = b.String()
	}
	delete(r.output, e.Package)
	if e.Action != "fail" {
		if text = strings.TrimSpace(text); text != "" {
			fmt.Fprintln(r.out, text[strings.LastIndexByte(text, '\n')+1:])
		}
		return
	}
	fmt.Fprint(r.out, text)
	failed := r.failed[e.Package]
	if len(failed) == 0 || slices.ContainsFunc(failed, func(test string) bool { return !r.isTolerated(e.Package, test) }) {
		r.ok = false
	}
}

// isListed reports whether a test or one of its parents is listed.
func (r *run) isListed(pkg, test string) bool {
	for name := test; name != ""; name = name[:max(0, strings.LastIndexByte(name, '/'))] {
		if r.tolerated[testName(pkg, name)] {
			return true
		}
	}
	return false
}

// isTolerated reports whether a failed test is listed, or fails only by listed subtests.
func (r *run) isTolerated(pkg, test string) bool {
	name := testName(pkg, test)
	if r.isListed(pkg, test) {
		return true
	}
	if r.messages[name] {
		return false
	}
	subtests := 0
	for _, other := range r.failed[pkg] {
		if strings.HasPrefix(other, test+"/") {
			subtests++
			if !r.isTolerated(pkg, other) {
				return false
			}
		}
	}
	return subtests > 0
}

// reportKnown prints the result of each listed test.
func (r *run) reportKnown(known []knownFailure) {
	for i := range known {
		k := &known[i]
		result := "DID NOT RUN"
		switch r.results[k.test] {
		case "fail":
			result = "FAILED as expected"
		case "pass":
			result = "PASSED: remove its line from the list"
		default:
			r.ok = false
		}
		fmt.Fprintf(r.out, "known failure: %s %s (%s; issue %s; seed %s; %s)\n", k.test, result, k.seen, k.issue, k.seed, k.command)
	}
}
