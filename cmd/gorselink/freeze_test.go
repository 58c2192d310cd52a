package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/load"
	"gorselink/internal/standin"
)

// asCommand in the environment makes this test's process the command itself.
const asCommand = "GORSELINK_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// The generator stands still for 30 s in the middle of a run. All that was due
// then counts from when it was due, the generator takes it upon itself, and the
// command ends with the exit code of a run that says nothing of its target.
func TestFreezeIsOwnedUp(t *testing.T) {
	t.Parallel()
	const freeze = 30 * time.Second
	n, err := standin.StartNode(standin.NodeConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	json := filepath.Join(t.TempDir(), "run.json")
	cmd := exec.Command(self, "load", "--target", n.Addr(), "--shape", "hold 100 33s", "--arrivals", "even", "--budget", "2m", "--grace", "20s", "--quiet", "--json", json)
	cmd.Env = append(os.Environ(), asCommand+"=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	for begin := time.Now(); n.Total() < 50; time.Sleep(time.Millisecond) {
		if time.Since(begin) > patience {
			t.Fatalf("%d requests after %v", n.Total(), patience)
		}
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(freeze)
	cmd.Process.Signal(syscall.SIGCONT)
	var exit *exec.ExitError
	select {
	case err := <-ended:
		if !errors.As(err, &exit) || exit.ExitCode() != exitBottleneck {
			t.Errorf("ended with %v, want exit code %d", err, exitBottleneck)
		}
	case <-time.After(freeze + patience):
		t.Fatal("it goes on")
	}
	f, err := os.Open(json)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rep, err := load.ReadReport(f)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Requests != 3300 || n.Total() != 3300 {
		t.Errorf("%d requests, %d came; want 3300", rep.Requests, n.Total())
	}
	// Of 3,300 requests 3,000 were due in the freeze, so that half of all waited for
	// 13 s at the least, and a tenth for 26 s.
	for _, row := range rep.Verdict.Rows {
		least, ok := map[float64]float64{50: 13000, 90: 26000}[row.Percentile]
		if ok && (row.SinceDue < least || row.Own < least) {
			t.Errorf("p%v: since due %.0f ms, own error %.0f ms, want %.0f at least", row.Percentile, row.SinceDue, row.Own, least)
		}
	}
}
