package processgroup

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func awaitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
	}
}

// A group has not ended while a process that ignores SIGTERM outlives its leader. SIGKILL reaches that
// process although the leader has ended.
func TestGroupOutlivesItsLeader(t *testing.T) {
	for name, script := range map[string]string{
		"leader ends by SIGTERM": `(trap "" TERM; echo ready; sleep 1000) & wait`,
		"leader ends by itself":  `(trap "" TERM; echo ready; sleep 1000) & exit 3`,
	} {
		t.Run(name, func(t *testing.T) {
			out, in, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer out.Close()
			cmd := exec.Command("/bin/sh", "-c", script)
			cmd.Stdout = in
			g, err := Start(cmd)
			in.Close()
			if err != nil {
				t.Fatal(err)
			}
			defer g.Signal(syscall.SIGKILL)
			if _, err := io.ReadFull(out, make([]byte, len("ready"))); err != nil {
				t.Fatal(err)
			}
			g.Signal(syscall.SIGTERM)
			awaitClosed(t, "the leader has ended", g.LeaderEnded())
			select {
			case <-g.Ended():
				t.Fatal("the group counts as ended, and a process of it runs")
			case <-time.After(10 * pollInterval):
			}
			g.Signal(syscall.SIGKILL)
			awaitClosed(t, "the group has ended", g.Ended())
			if g.Err() == nil {
				t.Error("no error, want that of the leader")
			}
		})
	}
}

// A program that cannot be started is an error, and one that ends alone ends its group.
func TestGroupOfOne(t *testing.T) {
	if _, err := Start(exec.Command("/nonexistent")); err == nil {
		t.Error("no error for a program that does not exist")
	}
	g, err := Start(exec.Command("/bin/sh", "-c", "exit 3"))
	if err != nil {
		t.Fatal(err)
	}
	awaitClosed(t, "the group has ended", g.Ended())
	if code := g.cmd.ProcessState.ExitCode(); code != 3 || g.Err() == nil {
		t.Errorf("exit code %d, error %v, want 3", code, g.Err())
	}
}

// The name of a process may contain spaces and parentheses.
func TestParseStat(t *testing.T) {
	for text, want := range map[string]struct {
		group   int
		running bool
	}{
		"12 (sh) S 1 10 10 0":     {10, true},
		"12 (a) Z 9) R 1 11 10 0": {11, true},
		"12 (sh) Z 1 10 10 0":     {10, false},
		"12 (sh) X 1 10 10 0":     {10, false},
		"":                        {0, false},
		"12 (sh) S":               {0, false},
	} {
		if group, running := parseStat(text); group != want.group || running != want.running {
			t.Errorf("%q: group %d, running %t, want %+v", text, group, running, want)
		}
	}
}
