package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/hollow"
	"gorselink/internal/tomlfile"
)

// Roles of the test binary, selected by its environment or arguments.
const (
	testbedEnv = "GORSELINK_TESTBED" // runs the experiment in this file and prints the process IDs
	peerArg    = "run-peer"          // runs an instance, see runPeer
)

func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == 3 && os.Args[1] == roleArg:
		if err := hollow.Serve(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	case len(os.Args) > 3 && os.Args[1] == peerArg:
		runPeer(os.Args[2], os.Args[3:])
	case os.Getenv(testbedEnv) != "":
		e, err := Read(os.Getenv(testbedEnv))
		if err == nil {
			_, err = Run(context.Background(), e, Options{Program: os.Args[1], OnReady: func(pids []int) { fmt.Println(pids) }})
		}
		fmt.Println(err)
		return
	}
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	built.path = filepath.Join(dir, "gorselink")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// built is the program, built once for all tests.
var built struct {
	sync.Once
	path string
	err  error
}

func buildProgram(t *testing.T) string {
	t.Helper()
	built.Do(func() {
		var out []byte
		if out, built.err = exec.Command("go", "build", "-o", built.path, "gorselink/cmd/gorselink").CombinedOutput(); built.err != nil {
			built.err = fmt.Errorf("%w: %s", built.err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.path
}

// testdataResults caches the results of the experiments in testdata, as several tests check the
// same experiment.
var testdataResults sync.Map

// checkExperiment checks that the named figures and the standing expectations of an experiment
// are met.
func checkExperiment(t *testing.T, name string, figures ...string) {
	t.Helper()
	path := buildProgram(t)
	once, _ := testdataResults.LoadOrStore(name, sync.OnceValues(func() (*Result, error) {
		e, err := Read(filepath.Join("testdata", name+".toml"))
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		rec, err := Run(ctx, e, Options{Program: path})
		if err != nil {
			return nil, err
		}
		return rec.Result("this", 0), nil
	}))
	res, err := once.(func() (*Result, error))()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range append(figures, "twice", "crashes", "drains", "strays") {
		i := slices.IndexFunc(res.Figures, func(f Figure) bool { return f.Name == want })
		if i < 0 {
			t.Fatalf("%s.toml has no expectation of %s", name, want)
		}
		f := &res.Figures[i]
		if !f.Met() {
			t.Errorf("%s: %v, want %s", f.Name, formatNumber(*f.Value), f.bounds())
		} else {
			t.Logf("%s: %s, want %s", f.Name, formatNumber(*f.Value), f.bounds())
		}
	}
	for _, x := range append(res.EventErrors, res.Crashes...) {
		t.Error(x)
	}
	for i := range res.LostRequests {
		t.Log(&res.LostRequests[i])
	}
}

func TestSimultaneousStartSpreadsLoad(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "thin", "busiest in start", "failed")
}

func TestLoadIsEvenOverProcesses(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "thin", "scatter in sound", "least in sound")
}

func TestSlowNodeKeepsSmallShare(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "thin", "share of sick in slow", "failed")
}

func TestRecoveredNodeRegainsShare(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "thin", "share of sick in back")
}

func TestReturnedNodeIsNotOverloaded(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "thin", "peak of sick in return")
}

func TestCutLinkAffectsOneProcessOnly(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "cut", "share of far in cut", "p99 of rest in cut", "failed of rest", "lost of one", "failed of one", "p50 of one in found out")
}

func TestNonIdempotentRequestsAreNotProbes(t *testing.T) {
	t.Parallel()
	checkExperiment(t, "unsafe", "failed of pledge in known", "failed of read", "share of sick in back")
}

// runPeer runs an instance that echoes to its peers, and responds to requests with status 200 only
// if it reaches all peers over TCP and UDP.
func runPeer(front string, addrs []string) {
	own, peers := addrs[0], addrs[1:]
	l, err := net.Listen("tcp", own)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	u, err := net.ListenPacket("udp", own)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := u.ReadFrom(buf)
			if err != nil {
				return
			}
			u.WriteTo(buf[:n], from)
		}
	}()
	reach := func(network, addr string) error {
		c, err := net.DialTimeout(network, addr, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(c, "x"); err != nil {
			return err
		}
		_, err = io.ReadFull(c, make([]byte, 1))
		return err
	}
	err = http.ListenAndServe(front, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			return
		}
		for _, p := range peers {
			if err := errors.Join(reach("tcp", p), reach("udp", p)); err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
		}
	}))
	fmt.Println(err)
	os.Exit(1)
}

// A cut link between two instances affects only these two, over TCP and UDP, until it heals. An
// instance killed by an event is not reported as a crash.
func TestLinksBetweenInstances(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse("peers.toml", []byte(`
[instances]
count = 4
ports = ["front", "peer"]
ready = "/ready"
config = "{{.Seed}}"
arguments = ['run-peer', '{{.Address "front"}}', '{{.Address "peer"}}', '{{range $i, $p := .Peers}}{{if eq $i 0}}{{$p.Address "peer"}}{{end}}{{end}}', '{{range $i, $p := .Peers}}{{if eq $i 1}}{{$p.Address "peer"}}{{end}}{{end}}', '{{range $i, $p := .Peers}}{{if eq $i 2}}{{$p.Address "peer"}}{{end}}{{end}}']
[[streams]]
shape = "hold 40 12s"
[[groups]]
name = "a"
of = "instances"
members = 1
[[groups]]
name = "b"
of = "instances"
from = 1
members = 1
[[groups]]
name = "others"
of = "instances"
from = 2
[[links]]
name = "between"
from = "a"
to = "b"
[[links]]
name = "all"
from = "instances"
to = "instances"
delay = "1ms"
[[events]]
at = "2s"
do = "cut"
on = "between"
[[events]]
at = "6s"
do = "heal"
on = "between"
[[events]]
at = "9s"
do = "kill"
on = "b"
[[events]]
at = "10s"
do = "start"
on = "b"
[[windows]]
name = "cut"
from = "2500ms"
to = "6s"
[[windows]]
name = "healed"
from = "7500ms"
to = "8500ms"
[[wants]]
measure = "failed"
group = "a"
window = "cut"
least = 10
[[wants]]
measure = "failed"
group = "others"
window = "cut"
most = 0
[[wants]]
measure = "failed"
window = "healed"
most = 0
[[wants]]
measure = "failed"
window = "healed"
group = "a"
most = 0
`))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	rec, err := Run(ctx, e, Options{Program: self})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range rec.Result("this", 0).Violations() {
		t.Error(x)
	}
}

// waitExited waits until none of the processes is alive; zombies count as exited.
func waitExited(t *testing.T, pids []int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		left := slices.DeleteFunc(slices.Clone(pids), func(pid int) bool {
			stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			_, state, _ := strings.Cut(string(stat), ") ")
			return err != nil || strings.HasPrefix(state, "Z") || strings.HasPrefix(state, "X")
		})
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("processes %v are still alive", left)
		}
	}
}

func runDirs() []string {
	all, _ := filepath.Glob(filepath.Join(os.TempDir(), dirPrefix+"*"))
	return all
}

// No processes or directories remain after a run is interrupted, after a program fails to start,
// or after the testbed process is killed while some instances are stopped.
func TestRunLeavesNothingBehind(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	file := filepath.Join(t.TempDir(), "long.toml")
	text := "[instances]\ncount = 20\n[nodes]\ncount = 5\n[[streams]]\nshape = \"hold 100 1h\"\n" +
		"[[groups]]\nname = \"some\"\nof = \"instances\"\nevery = 3\n[[links]]\nname = \"l\"\nfrom = \"some\"\nto = \"nodes\"\n" +
		"[[events]]\nat = \"0s\"\ndo = \"stop\"\non = \"some\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	path := buildProgram(t)
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	ready := make(chan bool)
	go func() { <-ready; time.Sleep(300 * time.Millisecond); cancel() }()
	if _, err := Run(ctx, e, Options{Program: path, OnReady: func(p []int) { pids = p; close(ready) }}); !errors.Is(err, context.Canceled) {
		t.Errorf("interrupted run: %v", err)
	}
	if len(pids) != 20 {
		t.Errorf("%d processes, want 20", len(pids))
	}
	waitExited(t, pids)
	if left := runDirs(); len(left) > 0 {
		t.Errorf("remaining directories: %v", left)
	}

	_, err = Run(context.Background(), e, Options{Program: "/bin/false"})
	if err == nil || !strings.Contains(err.Error(), "i000: exited before it was ready") {
		t.Errorf("program that exits: %v", err)
	}
	if _, err = Run(context.Background(), e, Options{Program: file}); err == nil || !strings.Contains(err.Error(), "long.toml: not an executable file") {
		t.Errorf("file that is not executable: %v", err)
	}
	if left := runDirs(); len(left) > 0 {
		t.Errorf("remaining directories: %v", left)
	}

	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(self, path)
	child.Env = append(os.Environ(), testbedEnv+"="+file)
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pids = nil
	for _, word := range strings.Fields(strings.Trim(line, "[]\n")) {
		var pid int
		fmt.Sscan(word, &pid)
		pids = append(pids, pid)
	}
	time.Sleep(200 * time.Millisecond) // some instances are stopped by now
	child.Process.Signal(syscall.SIGKILL)
	child.Wait()
	if len(pids) != 20 {
		t.Fatalf("process IDs: %s, want 20", line)
	}
	waitExited(t, pids)
	// The next run removes the directory of a killed one.
	if len(runDirs()) != 1 {
		t.Errorf("directories %v, want that of the killed testbed", runDirs())
	}
	dir, err := makeRunDir()
	if err != nil {
		t.Fatal(err)
	}
	if left := runDirs(); len(left) != 1 || left[0] != dir {
		t.Errorf("directories %v, want only %s", left, dir)
	}
}

// All errors in an experiment file are reported at once, with line and key.
func TestExperimentReportsAllErrors(t *testing.T) {
	_, err := Parse("bad.toml", []byte(`[instances]
count = 0
ports = ["front", "front"]
config = "{{.Nowhere}}"
[nodes]
absent = "nobody"
cores = 4.5
[[streams]]
shape = "hold fast"
[[groups]]
name = "nodes"
[[links]]
name = "l"
from = "nodes"
to = "callers"
[[events]]
at = "20s"
on = "nodes"
do = "explode"
[[windows]]
name = "w"
from = "3s"
to = "2s"
[[wants]]
measure = "beauty"
[[wants]]
measure = "p99"
group = "nodes"
window = "never"
most = 1
colour = "red"
`))
	var parseErrors tomlfile.Errors
	if !errors.As(err, &parseErrors) {
		t.Fatal(err)
	}
	var got []string
	for _, f := range parseErrors {
		got = append(got, fmt.Sprintf("%d: %s", f.Line, f.Key))
	}
	want := []string{
		"2: instances.count", "3: instances.ports[1]", "4: instances.config", "6: nodes.absent", "7: nodes.cores", "9: streams[0].shape",
		"11: groups[0].name", "14: links[0].from", "17: events[0].at", "19: events[0].do", "23: windows[0].to", "25: wants[0].measure",
		"24: wants[0].most", "28: wants[1].group", "29: wants[1].window", "31: wants[1].colour",
	}
	for _, w := range want {
		if !slices.Contains(got, w) {
			t.Errorf("%s is not reported", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d errors, want %d:\n%v", len(got), len(want), err)
	}
}
