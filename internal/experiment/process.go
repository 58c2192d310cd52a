package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processSpawner starts processes that end when this one ends. The kernel kills them when the
// thread that started them exits (prctl(2), PR_SET_PDEATHSIG), which is when the spawner is
// closed. This also ends processes that are stopped by a signal.
type processSpawner struct {
	requests chan func()
	done     chan struct{}
}

func newProcessSpawner() *processSpawner {
	n := &processSpawner{requests: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // not unlocked, so that the thread exits with the goroutine
		defer close(n.done)
		for f := range n.requests {
			f()
		}
	}()
	return n
}

func (n *processSpawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	got := make(chan error)
	n.requests <- func() { got <- cmd.Start() }
	return <-got
}

// close ends the thread, which kills all remaining processes (Pdeathsig).
func (n *processSpawner) close() {
	close(n.requests)
	<-n.done
}

// instance runs a process of the program, which may be started several times.
type instance struct {
	info         *InstanceInfo
	program      string
	args         []string
	config       string
	spawner      *processSpawner
	readyURL     string
	readyTimeout time.Duration
	drainTimeout time.Duration
	onCrash      func(text string) // called when a process exits unexpectedly

	mu      sync.Mutex
	process *process // the latest; nil before the first start
	starts  int
}

// process is one run of an instance.
type process struct {
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool
	state        *os.ProcessState
}

// start starts a process. It does not wait until the process is ready.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.hasExited() {
		return fmt.Errorf("%s: already running", n.info.Name)
	}
	if err := os.WriteFile(n.info.Config, []byte(n.config), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.info.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.program, n.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.info.Dir, log, log
	cmd.Env = append(os.Environ(), "TMPDIR="+n.info.Dir)
	if err := n.spawner.start(cmd); err != nil {
		return fmt.Errorf("%s: %w", n.info.Name, err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	n.process = p
	n.starts++
	go func() {
		cmd.Wait()
		n.mu.Lock()
		p.state = cmd.ProcessState
		expected := p.exitExpected
		close(p.exited)
		n.mu.Unlock()
		if !expected {
			n.onCrash(fmt.Sprintf("%s exited unexpectedly: %v%s", n.info.Name, cmd.ProcessState, n.logTail()))
		}
	}()
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logTail returns the end of the instance's log file.
func (n *instance) logTail() string {
	text, _ := os.ReadFile(filepath.Join(n.info.Dir, "log"))
	text = bytes.TrimSpace(text[max(0, len(text)-600):])
	if len(text) == 0 {
		return "; its log is empty"
	}
	return "; its log ends with\n\t" + strings.ReplaceAll(string(text), "\n", "\n\t")
}

// signal sends a signal to the process. exitExpected is set if the process may exit due to it.
func (n *instance) signal(s syscall.Signal, exitExpected bool) (*process, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.process
	if p == nil || p.hasExited() {
		return nil, fmt.Errorf("%s: not running", n.info.Name)
	}
	p.exitExpected = p.exitExpected || exitExpected
	return p, p.cmd.Process.Signal(s)
}

// kill kills the process group, if the process is running, and waits for the process to exit.
func (n *instance) kill() {
	n.mu.Lock()
	p := n.process
	if p != nil && !p.hasExited() {
		p.exitExpected = true
		syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
	n.mu.Unlock()
	if p != nil {
		<-p.exited
	}
}

var errDrainFailed = errors.New("did not exit cleanly after SIGTERM")

// terminate sends SIGTERM and waits for the process to drain and exit.
func (n *instance) terminate(ctx context.Context) error {
	p, err := n.signal(syscall.SIGTERM, true)
	if err != nil {
		return err
	}
	t := time.NewTimer(n.drainTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		n.kill()
		return fmt.Errorf("%s: %w within %v", n.info.Name, errDrainFailed, n.drainTimeout)
	case <-p.exited:
		if !p.state.Success() {
			return fmt.Errorf("%s: %w: %v", n.info.Name, errDrainFailed, p.state)
		}
		return nil
	}
}

// awaitReady waits until the process responds to a readiness request with status 200.
func (n *instance) awaitReady(ctx context.Context, client *http.Client) error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.readyTimeout)
	defer cancel()
	if n.readyURL == "" {
		return nil // without requests there is no readiness; a crash is reported by onCrash
	}
	last := errors.New("no readiness request sent yet")
	for sleep(ctx, 5*time.Millisecond) {
		if p.hasExited() {
			return fmt.Errorf("%s: exited before it was ready: %v%s", n.info.Name, p.state, n.logTail())
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.readyURL, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			if ctx.Err() == nil {
				last = err
			}
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %s", resp.Status)
	}
	return fmt.Errorf("%s: not ready within %v: %w%s", n.info.Name, n.readyTimeout, last, n.logTail())
}
