package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// process is a running process of the sidecar.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu     sync.Mutex
	record Process
}

// start starts a process of the program. It does not wait until the process is ready.
func (r *run) start(program string, args ...string) (*process, error) {
	r.started++
	path := filepath.Join(r.dir, fmt.Sprintf("process-%d.log", r.started))
	log, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.dir, log, log
	cmd.Env = append(os.Environ(), "TMPDIR="+r.tempDir)
	if r.agent != nil { // the process is a sidecar
		cmd.Env = append(cmd.Env, "ROUTER_NAME=soak", "ROUTER_LISTEN="+r.listen, "ROUTER_DISCOVERY="+r.agent.Addr(), "ROUTER_CONFIG="+r.configPath)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p := &process{cmd: cmd, exited: make(chan struct{}), record: Process{Started: r.now(), LogPath: path}}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.record.Exited = r.now()
		if err != nil {
			p.record.ExitError = err.Error()
		}
		p.mu.Unlock()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

// signal sends a signal, unless the process has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

// killAfter kills the process if it has run for longer than allowed since the given time, which
// is a break of the rules. Pauses do not count.
func (r *run) killAfter(p *process, since, allowed time.Duration) {
	for {
		left := allowed + r.pausedSince(since) - (r.now() - since)
		if left <= 0 {
			break
		}
		timer := time.NewTimer(left)
		select {
		case <-p.exited:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
	p.mu.Lock()
	p.record.Killed = true
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.exited
}

// servingLine is in the log of a process once it serves.
const servingLine = "INFO serving"

// awaitServing waits until a process that takes over logs that it serves. The address cannot
// tell, as the previous process accepts connections there too.
func (r *run) awaitServing(p *process) {
	for end := r.now() + 2*readyTimeout; r.now() < end; time.Sleep(5 * time.Millisecond) {
		if lines, err := ReadLog(p.record.LogPath, servingLine); err == nil && len(lines) > 0 {
			p.setReady(r.now())
			return
		}
	}
}

// setReady records the time at which the process was ready first, and its descriptors.
func (p *process) setReady(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.Ready == 0 {
		p.record.Ready, p.record.FirstDescriptors = at, p.descriptors()
	}
}

// awaitReady waits until the process reports that it is ready.
func (r *run) awaitReady(p *process) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: dialTimeout}
	ctx, cancel := context.WithTimeout(context.Background(), 2*readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-p.exited:
			return fmt.Errorf("exited before it was ready; see %s", p.record.LogPath)
		case <-time.After(5 * time.Millisecond):
		}
		resp, err := client.Get("http://" + r.listen + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.setReady(r.now())
			return nil
		}
	}
	return fmt.Errorf("not ready within %v; see %s", 2*readyTimeout, p.record.LogPath)
}

func (p *process) startedAt() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.Started
}

// descriptors returns the number of open file descriptors, or 0 if the process has exited.
func (p *process) descriptors() int {
	entries, err := os.ReadDir("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// isolatedAddr returns an address on a loopback host of its own, so that no ephemeral port takes it.
func isolatedAddr(slot int) string {
	pid := os.Getpid()
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+slot%254), "8000")
}
