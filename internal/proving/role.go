package proving

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

// role is a process that plays one part of a scale run and is asked over its input.
type role struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{}

	mu  sync.Mutex // one question at a time
	out *json.Decoder
}

// startRole starts a process of ourselves that plays a part.
func startRole(n *nursery, self []string, part, name, dir string, procs int) (*role, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(self[0], append(append([]string(nil), self[1:]...), part)...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "TMPDIR="+dir, "GOMAXPROCS="+strconv.Itoa(procs))
	r := &role{name: name, cmd: cmd, ended: make(chan struct{})}
	if r.in, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	// Not StdoutPipe, which Wait closes while an answer may still be read.
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
	r.out = json.NewDecoder(bufio.NewReader(outRead))
	go func() {
		cmd.Wait()
		outRead.Close()
		close(r.ended)
	}()
	return r, nil
}

// ask has the role do something and waits for its answer.
func (r *role) ask(c *hollow.Command) (*hollow.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(c)
	if err == nil {
		_, err = r.in.Write(append(text, '\n'))
	}
	a := &hollow.Answer{}
	if err == nil {
		err = r.out.Decode(a)
	}
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s", a.Error)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.name, err)
	}
	return a, nil
}

// end ends the process: by the end of its input, and by force where it does not heed it.
func (r *role) end() {
	r.in.Close()
	t := time.NewTimer(2 * time.Second)
	defer t.Stop()
	select {
	case <-r.ended:
	case <-t.C:
		syscall.Kill(r.cmd.Process.Pid, syscall.SIGKILL)
		<-r.ended
	}
}

// used is what a process has used of the machine, as the system counts it.
type used struct {
	cpu    time.Duration
	memory int64 // resident bytes
}

// usedBy asks the system for what a process has used. Its threads' times are to the
// nanosecond, where the process's own are to the hundredth of a second; a thread that has
// ended takes its time along, but a program in Go ends next to none.
func usedBy(pid int) (u used, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return u, fmt.Errorf("process %d: not there", pid)
	}
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has just ended
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
		return u, fmt.Errorf("process %d: statm %q", pid, text)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	u.memory = pages * int64(os.Getpagesize())
	return u, err
}

// machine is what the whole machine has done and has.
type machine struct {
	busy, all int64 // ticks
	memory    int64 // bytes there are
}

func theMachine() (m machine, err error) {
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
		if m.all += n; i != 4 && i != 5 { // idle and waiting for disks
			m.busy += n
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
