// Package processgroup runs a program in a process group of its own and tells when nothing of the
// group is left, not only when the program itself has ended. A process that leaves the group, as a
// daemon does, is not seen.
package processgroup

import (
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is how often the rest of a group is looked for after its leader has ended.
const pollInterval = 20 * time.Millisecond

// Group is a process group. Its leader is the program that was started.
type Group struct {
	cmd         *exec.Cmd
	leaderEnded chan struct{}
	ended       chan struct{}
	err         error // result of the leader; set when ended is closed
}

// Start starts cmd as the leader of a new group. The leader is killed if this process ends.
func Start(cmd *exec.Cmd) (*Group, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	g := &Group{cmd: cmd, leaderEnded: make(chan struct{}), ended: make(chan struct{})}
	started := make(chan error)
	go g.run(started)
	if err := <-started; err != nil {
		return nil, err
	}
	return g, nil
}

// run starts the leader and waits for the end of the group. It does so on a locked OS thread, because
// Pdeathsig kills the leader when the thread that started it exits.
func (g *Group) run(started chan<- error) {
	runtime.LockOSThread()
	err := g.cmd.Start()
	started <- err
	if err != nil {
		return
	}
	waitWithoutReaping(g.cmd.Process.Pid)
	close(g.leaderEnded)
	for !g.empty() {
		time.Sleep(pollInterval)
	}
	g.err = g.cmd.Wait()
	close(g.ended)
}

// waitWithoutReaping waits for the end of a child. Until it is reaped, its id and that of its group are
// not used again, so that signals reach no other process.
func waitWithoutReaping(pid int) {
	for unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil) == unix.EINTR {
	}
}

// LeaderEnded returns a channel that is closed when the leader has ended.
func (g *Group) LeaderEnded() <-chan struct{} { return g.leaderEnded }

// Ended returns a channel that is closed when nothing of the group is left.
func (g *Group) Ended() <-chan struct{} { return g.ended }

// Err returns the result of the leader as exec.Cmd.Wait does. Call it after the end of the group.
func (g *Group) Err() error { return g.err }

// Signal sends a signal to all processes of the group, if any is left.
func (g *Group) Signal(sig syscall.Signal) {
	select {
	case <-g.ended:
	default:
		syscall.Kill(-g.cmd.Process.Pid, sig)
	}
}
