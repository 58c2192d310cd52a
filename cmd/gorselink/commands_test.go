package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/capture"
	"gorselink/internal/fakeserver"
	"gorselink/internal/sidecar"
)

// testTimeout bounds each wait in these tests.
const testTimeout = 20 * time.Second

// syncBuffer is a buffer that can be read while it is being written.
type syncBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.String()
}

// The curl commands that the demo prints work, its table shows both services, and while one
// service fails the other serves all requests.
func TestDemoFailsOneServiceOnly(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var out syncBuffer
	done := make(chan error, 1)
	go func() {
		done <- run(&environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}, []string{"demo", "--for", "6s", "--rate", "20"}, sidecar.Options{})
	}()
	var lines []string
	for end := time.Now().Add(testTimeout); len(lines) < 2 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		lines = nil
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, "curl -H") && strings.HasSuffix(line, "\n") {
				lines = append(lines, line)
			}
		}
	}
	if len(lines) != 2 {
		t.Fatalf("want two curl lines:\n%s", out.String())
	}
	for _, line := range lines {
		host := strings.Split(line, "'")[1]
		url := strings.Fields(line)[4]
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = strings.TrimPrefix(host, "Host: ")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if service, _, _ := strings.Cut(req.Host, "."); resp.StatusCode != 200 || !strings.HasPrefix(string(body), service) {
			t.Errorf("%q: %d %q", line, resp.StatusCode, body)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	unserved := map[string]int{}
	rows := 0
	for line := range strings.Lines(out.String()) {
		f := strings.Fields(line)
		if len(f) != 9 || f[0] == "second" {
			continue
		}
		rows++
		for _, n := range f[5:7] { // rejected and failed
			k, err := strconv.Atoi(n)
			if err != nil {
				t.Errorf("row %q: %v", line, err)
			}
			unserved[f[1]] += k
		}
	}
	if rows < 6 || unserved["receipts"] != 0 || unserved["donate"] == 0 {
		t.Errorf("%d rows, unserved requests %v; want at least 6 rows, unserved requests of donate and none of receipts\n%s", rows, unserved, out.String())
	}
}

func writeServeConfig(t *testing.T, path, listen string, nodes ...*fakeserver.Node) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "[listeners.public]\naddress = %q\n[[routes]]\npool = \"a\"\n[pools.a]\nnodes = [", listen)
	for _, n := range nodes {
		fmt.Fprintf(&text, "%q,", n.Addr()+" name="+n.Name())
	}
	text.WriteString("]\n[classes.default]\ndeadline = \"1s\"\n")
	writeTestFile(t, path, text.String())
}

// serve reloads its configuration file at SIGHUP, keeps the current configuration if the file is
// invalid, and drains when its context ends.
func TestServeReloadsAndDrains(t *testing.T) {
	var nodes []*fakeserver.Node
	for _, name := range []string{"one", "two"} {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	path := filepath.Join(t.TempDir(), "gorselink.toml")
	listen := freeAddr(t)
	writeServeConfig(t, path, listen, nodes[0])
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reload, done := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		done <- run(&environment{ctx: ctx, reload: reload, stdout: io.Discard}, []string{"serve", "--config", path}, sidecar.Options{})
	}()
	waitServedBy := func(want string) {
		t.Helper()
		got := ""
		for end := time.Now().Add(testTimeout); !strings.HasPrefix(got, want) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if resp, err := http.Get("http://" + listen + "/"); err == nil {
				text, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				got = string(text)
			}
		}
		if !strings.HasPrefix(got, want) {
			t.Fatalf("got response %q, want one from node %s", got, want)
		}
	}
	waitServedBy("one")
	writeTestFile(t, path, "[[routes]]\n")
	reload <- syscall.SIGHUP
	waitServedBy("one")
	writeServeConfig(t, path, listen, nodes[1])
	reload <- syscall.SIGHUP
	waitServedBy("two")
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("serve did not exit after its context ended")
	}
}

// check accepts a valid file and reports all errors of an invalid one.
func TestCheckCommand(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "gorselink.toml")
	check := func(text string) (string, error) {
		writeTestFile(t, path, text)
		var out syncBuffer
		err := run(&environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}, []string{"check", path}, sidecar.Options{})
		return out.String(), err
	}
	const good = "[listeners.l]\naddress = \"127.0.0.1:1\"\n[pools.a]\nnodes_file = \"a.nodes\"\n[[routes]]\npool = \"a\"\n"
	if _, err := check(good); err == nil || !strings.Contains(err.Error(), "a.nodes") {
		t.Errorf("missing node file: %v", err)
	}
	writeTestFile(t, filepath.Join(dir, "a.nodes"), "127.0.0.1:1\n")
	if out, err := check(good); err != nil || !strings.Contains(out, "valid: 1 listeners, 1 routes, 1 pools") {
		t.Errorf("%q, %v", out, err)
	}
	_, err := check("[listeners.l]\naddress = 1\n[[routes]]\npool = \"b\"\n")
	if err == nil || !strings.Contains(err.Error(), path+":2: listeners.l.address: found 1") || !strings.Contains(err.Error(), "3 errors") {
		t.Errorf("%v", err)
	}
}

func TestCommandLine(t *testing.T) {
	var out syncBuffer
	env := &environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}
	if err := run(env, []string{"version"}, sidecar.Options{ConfigPath: "ignored"}); err != nil || !strings.HasPrefix(out.String(), "gorselink ") {
		t.Errorf("version: %q, %v", out.String(), err)
	}
	for _, args := range [][]string{{"serve"}, {"nonsense"}, {"check"}, {"demo", "--for", "1h"}, {"demo", "--rate", "0"}, {"serve", "--config", "/nowhere"}} {
		if err := run(env, args, sidecar.Options{}); err == nil {
			t.Errorf("%v: no error", args)
		}
	}
	if err := run(env, nil, sidecar.Options{ConfigPath: "/nowhere"}); err == nil || !strings.Contains(err.Error(), "/nowhere") {
		t.Errorf("missing platform configuration: %v", err)
	}
}

// freeAddr returns an address that was free when it was checked.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func writeTestFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A sidecar without ROUTER_CONFIG exits at once with an error that names the variable.
func TestMissingConfigurationIsAnError(t *testing.T) {
	t.Setenv("ROUTER_LISTEN", "127.0.0.1:1")
	err := run(&environment{ctx: context.Background(), stdout: io.Discard, stderr: io.Discard}, nil, sidecar.Options{})
	if err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG: missing") {
		t.Errorf("got %v, want that ROUTER_CONFIG is missing", err)
	}
}

// replay accepts a capture with the same decisions. For a capture with another decision it
// prints that decision with the preceding input and exits with code 1.
func TestReplayCommand(t *testing.T) {
	dir := t.TempDir()
	good, other := filepath.Join(dir, "good"), filepath.Join(dir, "other")
	cfg := balance.Config{Instances: 1, AttemptLimit: 1, Multiplex: 1, Classes: []balance.Class{{Deadline: time.Second}}}
	for _, path := range []string{good, other} {
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		w := capture.NewWriter(f)
		events := []capture.Event{
			{Kind: capture.Start, Config: &cfg},
			{Kind: capture.EndpointUpdate, UpdateKind: balance.Full, Endpoints: []balance.Endpoint{{Addr: "s-1", State: balance.Ready}}},
			{Kind: capture.Request, At: time.Second, ID: 7, Duration: time.Second},
			{Kind: capture.After, At: time.Second, ID: 7 << 3, Duration: time.Second},
			{Kind: capture.Send, At: time.Second, ID: 7, Addr: "s-1", Duration: time.Second},
		}
		if path == other {
			events[4].Addr = "s-2"
		}
		for i := range events {
			if err := w.Write(&events[i]); err != nil {
				t.Fatal(err)
			}
		}
		if err := errors.Join(w.Flush(), f.Close()); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	env := &environment{ctx: context.Background(), stdout: &out, stderr: io.Discard}
	if err := run(env, []string{"replay", good}, sidecar.Options{}); err != nil {
		t.Errorf("good: %v\n%s", err, out.String())
	}
	err := run(env, []string{"replay", good, other}, sidecar.Options{})
	var c exitError
	if !errors.As(err, &c) || c.code != 1 {
		t.Errorf("differing decision: %v, want code 1", err)
	}
	for _, want := range []string{"request 7 of class 0", "send 7 to s-2", "send 7 to s-1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
