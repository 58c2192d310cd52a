package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/load"
)

// runAsCommandEnv is the environment variable that makes the test binary run the command.
const runAsCommandEnv = "GORSELINK_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommandEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// If the generator is stopped during a run, latencies still count from when requests were due,
// the delay is reported as the generator's own error, and the exit code marks the results as
// invalid.
func TestStoppedGeneratorReportsOwnError(t *testing.T) {
	t.Parallel()
	const freeze = 30 * time.Second
	n, err := fakeserver.StartNode(fakeserver.NodeConfig{})
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
	cmd.Env = append(os.Environ(), runAsCommandEnv+"=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	for begin := time.Now(); n.TotalRuns() < 50; time.Sleep(time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("%d requests after %v, want 50", n.TotalRuns(), testTimeout)
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
	case <-time.After(freeze + testTimeout):
		t.Fatal("the command did not exit")
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
	if rep.Requests != 3300 || n.TotalRuns() != 3300 {
		t.Errorf("%d requests reported, %d received; want 3300", rep.Requests, n.TotalRuns())
	}
	// 3,000 of the 3,300 requests were due during the stop, so half of all requests waited for
	// at least 13 s and a tenth for at least 26 s.
	for _, row := range rep.Verdict.Rows {
		least, ok := map[float64]float64{50: 13000, 90: 26000}[row.Percentile]
		if ok && (row.Latency < least || row.GeneratorDelay < least) {
			t.Errorf("p%v: since due %.0f ms, own error %.0f ms, want at least %.0f ms", row.Percentile, row.Latency, row.GeneratorDelay, least)
		}
	}
}
