package main

import (
	"context"
	"errors"
	"gorselink/internal/sidecar"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gorselink/internal/fakeserver"
	"gorselink/internal/load"
)

// load sends the requests that its flags describe and writes a report.
func TestLoadCommand(t *testing.T) {
	var mu sync.Mutex
	var last *http.Request
	n, err := fakeserver.StartNode(fakeserver.NodeConfig{Observe: func(req *http.Request, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		last = req
		if len(body) != 10 {
			t.Errorf("body of %d bytes, want 10", len(body))
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	dir := t.TempDir()
	json, hgrm := filepath.Join(dir, "a.json"), filepath.Join(dir, "a.hgrm")
	var out syncBuffer
	err = run(&environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}, []string{"load", "--target", n.Addr(), "--shape", "hold 200 500ms", "--arrivals", "even",
		"--method", "POST", "--host", "donate.example.org", "--path", "/pledge/{n}", "--body", "10", "--keyed", "--class", "pay", "--header", "X-Tenant: acme",
		"--json", json, "--hgrm", hgrm, "--quiet"}, sidecar.Options{})
	var c exitError
	if err != nil && !(errors.As(err, &c) && c.code == exitBottleneck) { // possible on a busy machine
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "100 requests") || !strings.Contains(out.String(), "requests: ok 100") {
		t.Errorf("output:\n%s", out.String())
	}
	if n.TotalRuns() != 100 || last.Host != "donate.example.org" || last.Header.Get("X-Tenant") != "acme" || last.Header.Get("X-Class") != "pay" || last.Header.Get("Idempotency-Key") == "" {
		t.Errorf("%d runs, the last request was %+v", n.TotalRuns(), last)
	}
	f, err := os.Open(json)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if rep, err := load.ReadReport(f); err != nil || rep.Requests != 100 {
		t.Errorf("%+v, %v", rep, err)
	}
	if text, err := os.ReadFile(hgrm); err != nil || !strings.Contains(string(text), "Percentile") {
		t.Errorf("%q, %v", text, err)
	}
}

// Invalid arguments are reported before a request is sent. A target on another machine is
// rejected without --anywhere.
func TestLoadCommandRejectsInvalidArguments(t *testing.T) {
	for name, args := range map[string][]string{
		"other machine": {"--target", "192.0.2.1:80"},
		"host name":     {"--target", "example.org:80"},
		"no port":       {"--target", "127.0.0.1"},
		"shape":         {"--target", "127.0.0.1:1", "--shape", "hold"},
		"arrivals":      {"--target", "127.0.0.1:1", "--arrivals", "closed"},
		"path":          {"--target", "127.0.0.1:1", "--path", "x"},
		"header":        {"--target", "127.0.0.1:1", "--header", "x"},
		"connections":   {"--target", "127.0.0.1:1", "--conns", "0"},
		"retries":       {"--target", "127.0.0.1:1", "--retries", "-1"},
	} {
		var out syncBuffer
		if err := run(&environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}, append([]string{"load"}, args...), sidecar.Options{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// The error for a report that cannot be compared names its file.
func TestLoadCompareCommand(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.json")
	writeTestFile(t, broken, "{}")
	for _, path := range []string{broken, filepath.Join(dir, "none.json")} {
		var out syncBuffer
		err := run(&environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}, []string{"load", "compare", path, path}, sidecar.Options{})
		if err == nil || !strings.Contains(err.Error(), filepath.Base(path)) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// A file replaces the flags that describe the run; flags that cannot be combined with it are
// rejected. A malformed trace has its own exit code.
func TestLoadCommandFile(t *testing.T) {
	n, err := fakeserver.StartNode(fakeserver.NodeConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	dir := t.TempDir()
	file, page, trace := filepath.Join(dir, "run.toml"), filepath.Join(dir, "a.html"), filepath.Join(dir, "t.csv")
	writeTestFile(t, file, "target = \"127.0.0.1:1\"\n[[streams]]\nshape = \"hold 100 300ms\"\narrivals = \"even\"\n")
	writeTestFile(t, trace, "due,path\n0,/a\n0.1,x\n0.2,/c\n")
	call := func(args ...string) (string, int) {
		var out, errs syncBuffer
		err := run(&environment{ctx: context.Background(), stdout: &out, stderr: &errs}, append([]string{"load", "--quiet"}, args...), sidecar.Options{})
		var c exitError
		if errors.As(err, &c) {
			return out.String() + errs.String(), c.code
		}
		if err != nil {
			return err.Error(), 1
		}
		return out.String() + errs.String(), 0
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--file", file, "--target", n.Addr(), "--seed", "9", "--html", page}, 0, "requests: ok 30"},
		{[]string{"--file", file, "--keys", "3"}, 1, "--keys and --file"},
		{[]string{"--file", file + "x"}, 1, "no such file"},
		{[]string{"--target", n.Addr(), "--speed", "3"}, 1, "--speed requires --trace"},
		{[]string{"--target", n.Addr(), "--trace", trace, "--path", "/x"}, 1, "--path and --trace"},
		{[]string{"--target", n.Addr(), "--workers", "0"}, 1, "--workers 0"},
		{[]string{"--target", n.Addr(), "--trace", trace}, exitAborted, "too many bad lines"},
		{[]string{"--target", n.Addr(), "--trace", trace, "--bad-share", "0.5"}, 0, "t.csv: skipped: line 3"},
	} {
		text, code := call(c.args...)
		if code == exitBottleneck { // possible on a busy machine
			code = 0
		}
		if code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%v: code %d, want %d and %q in\n%s", c.args, code, c.code, c.want, text)
		}
	}
	if text, err := os.ReadFile(page); err != nil || !strings.Contains(string(text), "</html>") {
		t.Errorf("%.100q, %v", text, err)
	}
}

// On a terminal a text block overwrites its previous version; otherwise it is appended as plain
// lines.
func TestTextBlock(t *testing.T) {
	var terminal, pipe strings.Builder
	for _, text := range []string{"a 1\nb 1\n", "a 2\nb 2\n"} {
		(&textBlock{out: &pipe}).show(text)
	}
	d := textBlock{out: &terminal, redraw: true}
	d.show("a 1\nb 1\n")
	d.show("a 2\nb 2\n")
	if got := pipe.String(); got != "a 1\nb 1\na 2\nb 2\n" {
		t.Errorf("piped: %q", got)
	}
	if got, want := terminal.String(), "\ra 1\x1b[K\n\rb 1\x1b[K\n\x1b[2A\ra 2\x1b[K\n\rb 2\x1b[K\n"; got != want {
		t.Errorf("on a terminal: %q, want %q", got, want)
	}
}
