package proving

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

// What this test's own program does where its environment or arguments say so.
const (
	asRig  = "GORSELINK_TEST_RIG" // plays the experiment named there and prints the numbers of its processes
	asPeer = "be-a-peer"          // is an instance, see peer
)

func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == 3 && os.Args[1] == asRole:
		if err := hollow.Serve(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	case len(os.Args) > 3 && os.Args[1] == asPeer:
		peer(os.Args[2], os.Args[3:])
	case os.Getenv(asRig) != "":
		e, err := Read(os.Getenv(asRig))
		if err == nil {
			_, err = Run(context.Background(), e, Options{Program: os.Args[1], OnReady: func(pids []int) { fmt.Println(pids) }})
		}
		fmt.Println(err)
		return
	}
	dir, err := os.MkdirTemp("", "proving")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	built.path = filepath.Join(dir, "gorselink")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// built is the program, built once.
var built struct {
	sync.Once
	path string
	err  error
}

func program(t *testing.T) string {
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

// played are the experiments of testdata that have been played, each once for all tests
// that look at it.
var played sync.Map

// kept checks what an experiment wants: the figures whose names begin with one of these,
// and what is wanted of every play.
func kept(t *testing.T, name string, figures ...string) {
	t.Helper()
	path := program(t)
	once, _ := played.LoadOrStore(name, sync.OnceValues(func() (*Result, error) {
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
		i := slices.IndexFunc(res.Figures, func(f Figure) bool { return f.What == want })
		if i < 0 {
			t.Fatalf("%s.toml wants nothing of %s", name, want)
		}
		f := &res.Figures[i]
		if !f.Kept() {
			t.Errorf("%s: %v, want %s", f.What, number(*f.Value), f.bounds())
		} else {
			t.Logf("%s: %s, want %s", f.What, number(*f.Value), f.bounds())
		}
	}
	for _, x := range append(res.Faults, res.Crashes...) {
		t.Error(x)
	}
}

func TestStartTogetherNoHerd(t *testing.T) {
	t.Parallel()
	kept(t, "thin", "busiest in start", "failed")
}

func TestEvenOverProcesses(t *testing.T) {
	t.Parallel()
	kept(t, "thin", "scatter in sound", "least in sound")
}

func TestSlowNodeStaysShunned(t *testing.T) {
	t.Parallel()
	kept(t, "thin", "share of sick in slow", "failed")
}

func TestMendedNodeComesBack(t *testing.T) {
	t.Parallel()
	kept(t, "thin", "share of sick in back")
}

func TestNoHerdOnReturn(t *testing.T) {
	t.Parallel()
	kept(t, "thin", "peak of sick in return")
}

func TestCutLinkIsOneProcessOnly(t *testing.T) {
	t.Parallel()
	kept(t, "cut", "share of far in cut", "p99 of rest in cut", "failed of rest", "lost of one", "failed of one", "p50 of one in found out")
}

func TestLookingNeverCostsAnUnsafe(t *testing.T) {
	t.Parallel()
	kept(t, "unsafe", "failed of pledge in known", "failed of read", "share of sick in back")
}

// peer is an instance that answers its callers with 200 as long as it reaches all of its
// peers, over TCP and UDP, and echoes to them.
func peer(front string, addrs []string) {
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

// Links between instances: two that are cut off from each other, and from nobody else,
// know it both over TCP and over UDP, and so it ends. A process that is killed, stopped,
// started and continued is told from one that ended by itself.
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
arguments = ['be-a-peer', '{{.Address "front"}}', '{{.Address "peer"}}', '{{range $i, $p := .Peers}}{{if eq $i 0}}{{$p.Address "peer"}}{{end}}{{end}}', '{{range $i, $p := .Peers}}{{if eq $i 1}}{{$p.Address "peer"}}{{end}}{{end}}', '{{range $i, $p := .Peers}}{{if eq $i 2}}{{$p.Address "peer"}}{{end}}{{end}}']
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
	for _, x := range rec.Result("this", 0).Broken() {
		t.Error(x)
	}
}

// gone waits until none of these processes is alive: a zombie is not.
func gone(t *testing.T, pids []int) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		left := slices.DeleteFunc(slices.Clone(pids), func(pid int) bool {
			stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			_, state, _ := strings.Cut(string(stat), ") ")
			return err != nil || strings.HasPrefix(state, "Z") || strings.HasPrefix(state, "X")
		})
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("processes %v are alive", left)
		}
	}
}

func dirs() []string {
	all, _ := filepath.Glob(filepath.Join(os.TempDir(), dirPrefix+"*"))
	return all
}

// However a play ends, its processes, folders and listeners are gone: one that is broken
// off, one whose program does not start, and one whose rig is killed in the middle, with
// a process that is stopped at that moment.
func TestRigLeavesNothing(t *testing.T) {
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
	path := program(t)
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	begun := make(chan bool)
	go func() { <-begun; time.Sleep(300 * time.Millisecond); cancel() }()
	if _, err := Run(ctx, e, Options{Program: path, OnReady: func(p []int) { pids = p; close(begun) }}); !errors.Is(err, context.Canceled) {
		t.Errorf("broken off: %v", err)
	}
	if len(pids) != 20 {
		t.Errorf("%d processes, want 20", len(pids))
	}
	gone(t, pids)
	if left := dirs(); len(left) > 0 {
		t.Errorf("folders %v", left)
	}

	_, err = Run(context.Background(), e, Options{Program: "/bin/false"})
	if err == nil || !strings.Contains(err.Error(), "i000: ended before it was ready") {
		t.Errorf("a program that ends: %v", err)
	}
	if _, err = Run(context.Background(), e, Options{Program: file}); err == nil || !strings.Contains(err.Error(), "long.toml: not a program") {
		t.Errorf("no program: %v", err)
	}
	if left := dirs(); len(left) > 0 {
		t.Errorf("folders %v", left)
	}

	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	rig := exec.Command(self, path)
	rig.Env = append(os.Environ(), asRig+"="+file)
	out, err := rig.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := rig.Start(); err != nil {
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
	time.Sleep(200 * time.Millisecond) // some are stopped now
	rig.Process.Signal(syscall.SIGKILL)
	rig.Wait()
	if len(pids) != 20 {
		t.Fatalf("processes: %s", line)
	}
	gone(t, pids)
	// The folder of a rig that was killed goes with the next play.
	if len(dirs()) != 1 {
		t.Errorf("folders %v, want that of the rig that was killed", dirs())
	}
	dir, err := takeDir()
	if err != nil {
		t.Fatal(err)
	}
	if left := dirs(); len(left) != 1 || left[0] != dir {
		t.Errorf("folders %v, want only %s", left, dir)
	}
}

// Everything that is wrong with an experiment is told at once, with line and key.
func TestExperimentFaults(t *testing.T) {
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
	var faults tomlfile.Errors
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%d: %s", f.Line, f.Key))
	}
	want := []string{
		"2: instances.count", "3: instances.ports[1]", "4: instances.config", "6: nodes.absent", "7: nodes.cores", "9: streams[0].shape",
		"11: groups[0].name", "14: links[0].from", "17: events[0].at", "19: events[0].do", "23: windows[0].to", "25: wants[0].measure",
		"24: wants[0].most", "28: wants[1].group", "29: wants[1].window", "31: wants[1].colour",
	}
	for _, w := range want {
		if !slices.Contains(got, w) {
			t.Errorf("%s is not told", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d faults, want %d:\n%v", len(got), len(want), err)
	}
}
