package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gorselink/internal/load"
	"gorselink/internal/standin"
)

// The command makes the requests that its flags describe and writes what came
// of them.
func TestLoadCommand(t *testing.T) {
	var mu sync.Mutex
	var one *http.Request
	n, err := standin.StartNode(standin.NodeConfig{Observe: func(req *http.Request, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		one = req
		if len(body) != 10 {
			t.Errorf("a body of %d bytes", len(body))
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	dir := t.TempDir()
	json, hgrm := filepath.Join(dir, "a.json"), filepath.Join(dir, "a.hgrm")
	var out screen
	err = run(&shell{ctx: context.Background(), out: &out}, []string{"load", "--target", n.Addr(), "--shape", "hold 200 500ms", "--arrivals", "even",
		"--method", "POST", "--host", "donate.example.org", "--path", "/pledge/{n}", "--body", "10", "--keyed", "--class", "pay", "--header", "X-Tenant: acme",
		"--json", json, "--hgrm", hgrm, "--quiet"}, "")
	var c coded
	if err != nil && !(errors.As(err, &c) && c.code == exitBottleneck) { // on a busy machine it may have to own up
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "100 requests") || !strings.Contains(out.String(), "requests: ok 100") {
		t.Errorf("told:\n%s", out.String())
	}
	if n.Total() != 100 || one.Host != "donate.example.org" || one.Header.Get("X-Tenant") != "acme" || one.Header.Get("X-Class") != "pay" || one.Header.Get("Idempotency-Key") == "" {
		t.Errorf("%d runs, the last of %+v", n.Total(), one)
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

// What cannot be asked is told before anything is sent; a target elsewhere is
// not asked without being told to.
func TestLoadCommandRefuses(t *testing.T) {
	for name, args := range map[string][]string{
		"elsewhere":   {"--target", "192.0.2.1:80"},
		"a name":      {"--target", "example.org:80"},
		"no port":     {"--target", "127.0.0.1"},
		"shape":       {"--target", "127.0.0.1:1", "--shape", "hold"},
		"arrivals":    {"--target", "127.0.0.1:1", "--arrivals", "closed"},
		"path":        {"--target", "127.0.0.1:1", "--path", "x"},
		"header":      {"--target", "127.0.0.1:1", "--header", "x"},
		"connections": {"--target", "127.0.0.1:1", "--conns", "0"},
		"retries":     {"--target", "127.0.0.1:1", "--retries", "-1"},
	} {
		var out screen
		if err := run(&shell{ctx: context.Background(), out: &out}, append([]string{"load"}, args...), ""); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Reports that cannot be compared are told, with their file.
func TestLoadCompareCommand(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.json")
	put(t, broken, "{}")
	for _, path := range []string{broken, filepath.Join(dir, "none.json")} {
		var out screen
		err := run(&shell{ctx: context.Background(), out: &out}, []string{"load", "compare", path, path}, "")
		if err == nil || !strings.Contains(err.Error(), filepath.Base(path)) {
			t.Errorf("%s: %v", path, err)
		}
	}
}
