package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/hollow"
)

// roleProcess is a child process with one role in a scale run. It gets its commands on its
// standard input.
type roleProcess struct {
	name    string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}

	mu        sync.Mutex // serializes calls
	responses *json.Decoder
}

// startRoleProcess starts a role process with the command self and the role's name.
func startRoleProcess(n *processSpawner, self []string, roleName, name, dir string, maxProcs int) (*roleProcess, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(self[0], append(append([]string(nil), self[1:]...), roleName)...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "TMPDIR="+dir, "GOMAXPROCS="+strconv.Itoa(maxProcs))
	r := &roleProcess{name: name, command: cmd, exited: make(chan struct{})}
	if r.input, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	// StdoutPipe isn't used, as Wait would close it while a response may still be unread.
	outRead, outWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = outWrite
	err = n.start(cmd)
	outWrite.Close()
	if err != nil {
		outRead.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r.responses = json.NewDecoder(bufio.NewReader(outRead))
	go func() {
		cmd.Wait()
		outRead.Close()
		close(r.exited)
	}()
	return r, nil
}

// call sends a command to the role process and waits for its response.
func (r *roleProcess) call(c *hollow.Command) (*hollow.Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(c)
	if err == nil {
		_, err = r.input.Write(append(text, '\n'))
	}
	a := &hollow.Response{}
	if err == nil {
		err = r.responses.Decode(a)
	}
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s", a.Error)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.name, err)
	}
	return a, nil
}

// close closes the input of the process, and kills the process if it doesn't exit in time.
func (r *roleProcess) close() {
	r.input.Close()
	t := time.NewTimer(2 * time.Second)
	defer t.Stop()
	select {
	case <-r.exited:
	case <-t.C:
		syscall.Kill(r.command.Process.Pid, syscall.SIGKILL)
		<-r.exited
	}
}

// usage is the CPU time and memory that a process has used.
type usage struct {
	cpu    time.Duration
	memory int64 // resident bytes
}

// processUsage reads the usage of a process. It sums the CPU times of the threads, which have a
// resolution of one nanosecond; the CPU time of the process has one of 10 ms. The times of threads
// that exited are not included, but Go programs rarely end threads.
func processUsage(pid int) (u usage, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return u, fmt.Errorf("process %d: not found", pid)
	}
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has exited
		}
		if f := strings.Fields(string(text)); len(f) > 0 {
			ns, err := strconv.ParseInt(f[0], 10, 64)
			if err != nil {
				return u, fmt.Errorf("%s: %w", path, err)
			}
			u.cpu += time.Duration(ns)
		}
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return u, fmt.Errorf("process %d: unexpected content of statm: %q", pid, text)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	u.memory = pages * int64(os.Getpagesize())
	return u, err
}

// machineStats is the CPU time and the memory of the whole machine.
type machineStats struct {
	busyTicks, totalTicks int64
	memory                int64 // total bytes
}

func readMachineStats() (m machineStats, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return m, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, f := range strings.Fields(line) {
		n, err := strconv.ParseInt(f, 10, 64)
		if i == 0 || i > 8 {
			continue
		}
		if err != nil {
			return m, fmt.Errorf("/proc/stat: %w", err)
		}
		if m.totalTicks += n; i != 4 && i != 5 { // idle and iowait
			m.busyTicks += n
		}
	}
	text, err = os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		kb, err := strconv.ParseInt(f[1], 10, 64)
		if err != nil {
			return m, fmt.Errorf("/proc/meminfo: %w", err)
		}
		m.memory = kb << 10
	}
	return m, nil
}
