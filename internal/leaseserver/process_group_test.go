package leaseserver

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The task of the tests is a shell script that leaves the work to a child. The child writes its epoch
// in each step, as long as the configuration file exists.
const (
	ignoringChild  = `trap "" TERM; while [ -e %[2]s ]; do echo $LEASE_EPOCH >>%[1]s; sleep 0.02; done`
	finishingChild = `left=-1; trap 'left=20' TERM
while [ -e %[2]s ] && [ $left -ne 0 ]; do echo $LEASE_EPOCH >>%[1]s; sleep 0.02; if [ $left -gt 0 ]; then left=$((left-1)); fi; done`
)

const (
	groupTestLength = 2 * time.Second
	groupTestGrace  = 500 * time.Millisecond
	groupTestWait   = 15 * time.Second
)

// groupTest is a lease server of one voter and the file of the steps of all tasks.
type groupTest struct {
	config, steps string
	voter         *exec.Cmd
}

var lastGroupTestHost atomic.Int32

func newGroupTest(t *testing.T) *groupTest {
	t.Helper()
	dir := t.TempDir()
	// On a host of its own, no other socket takes the port before the voter listens on it.
	host := fmt.Sprintf("127.8.%d.%d:0", os.Getpid()>>8&0xff, lastGroupTestHost.Add(1))
	l, err := net.Listen("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	g := &groupTest{config: filepath.Join(dir, "voter.toml"), steps: filepath.Join(dir, "steps")}
	text := fmt.Sprintf("[quorum]\ncluster = \"test\"\ntick = \"50ms\"\nid = 1\ndir = %q\n[[quorum.voters]]\nid = 1\naddress = %q\n", filepath.Join(dir, "votes"), address)
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.voter = exec.Command(programDir+"/voter", "run", "--init", "-c", g.config)
	startForTest(t, "voter", g.voter)
	return g
}

// startForTest starts a program, which ends with the test. Its output is logged if the test fails.
func startForTest(t *testing.T, name string, cmd *exec.Cmd) {
	t.Helper()
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	cmd.WaitDelay = groupTestWait // tasks that are left hold the output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Logf("%s: %s\n%s", name, cmd.ProcessState, output.Bytes())
		}
	})
}

// startCandidate runs script whenever it holds the lease.
func (g *groupTest) startCandidate(t *testing.T, script string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(programDir+"/gorselink", "lease", "-c", g.config, "run", "--length", groupTestLength.String(), "--grace", groupTestGrace.String(),
		"--retry", "200ms", "backup", "--", "/bin/sh", "-c", fmt.Sprintf(script, g.steps, g.config))
	startForTest(t, "candidate", cmd)
	return cmd
}

// awaitStep waits until a task of an epoch from first on has worked.
func (g *groupTest) awaitStep(t *testing.T, first int) {
	t.Helper()
	for end := time.Now().Add(groupTestWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, epoch := range g.epochs(t) {
			if epoch >= first {
				return
			}
		}
	}
	list, err := exec.Command(programDir+"/gorselink", "lease", "-c", g.config, "list").CombinedOutput()
	t.Fatalf("no task of epoch %d or later has worked; leases, error %v:\n%s", first, err, list)
}

// epochs returns the epochs of all steps in their order.
func (g *groupTest) epochs(t *testing.T) (all []int) {
	t.Helper()
	text, err := os.ReadFile(g.steps)
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		epoch := 0
		if _, err := fmt.Sscanf(string(line), "%d\n", &epoch); err == nil {
			all = append(all, epoch)
		}
	}
	return all
}

// A lease is released only when no process of the task is left, and what is left is killed in time.
// Tasks of two epochs worked at the same time, as only the leader of the task's group was awaited.
func TestLeaseIsHeldUntilTaskGroupHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		script    string
		terminate int  // how often the first holder gets SIGTERM
		pause     bool // the voter stops meanwhile
	}{
		"child finishes after SIGTERM":   {"(" + finishingChild + ") & wait", 1, false},
		"child ignores SIGTERM":          {"(" + ignoringChild + ") & wait", 1, false},
		"two signals":                    {"(" + ignoringChild + ") & wait", 2, false},
		"voter is away":                  {"(" + ignoringChild + ") & wait", 1, true},
		"shell ends and its child works": {"(" + ignoringChild + ") & sleep 0.5", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroupTest(t)
			if err := os.WriteFile(g.steps, nil, 0o600); err != nil {
				t.Fatal(err)
			}
			defer os.Remove(g.config) // ends what is left of the tasks
			first := g.startCandidate(t, c.script)
			g.awaitStep(t, 1)
			g.startCandidate(t, c.script)
			if c.pause {
				g.voter.Process.Signal(syscall.SIGSTOP)
			}
			for range c.terminate {
				first.Process.Signal(syscall.SIGTERM)
				time.Sleep(groupTestGrace / 10)
			}
			if c.pause {
				time.Sleep(groupTestLength + groupTestGrace) // longer than the claim lasts
				g.voter.Process.Signal(syscall.SIGCONT)
			}
			g.awaitStep(t, 2)
			time.Sleep(groupTestGrace) // for steps of the first task beside the second
			last := 0
			for i, epoch := range g.epochs(t) {
				if epoch < last {
					t.Fatalf("step %d is of epoch %d, after one of epoch %d: %s", i, epoch, last, strings.Trim(fmt.Sprint(g.epochs(t)), "[]"))
				}
				last = epoch
			}
		})
	}
}
