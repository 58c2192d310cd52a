package sock

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Presence looks whether the other side of one connection is still there, without an
// allocation each time. It may be used beside a reader, whatever the read deadline, and
// from several goroutines at once.
type Poller struct {
	raw  syscall.RawConn
	poll func(fd uintptr)

	mu    sync.Mutex
	fds   [1]unix.PollFd
	state State
}

// NewPresence returns the Presence of c, which finds Quiet if c is no socket.
func NewPoller(c net.Conn) *Poller {
	p := &Poller{}
	if sys, ok := c.(syscall.Conn); ok {
		p.raw, _ = sys.SyscallConn() // nil if there is none
	}
	p.poll = func(fd uintptr) {
		p.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(p.fds[:], 0)
		for err == unix.EINTR {
			n, err = unix.Poll(p.fds[:], 0)
		}
		switch events := p.fds[0].Revents; {
		case err != nil || n == 0:
		case events&unix.POLLRDHUP != 0:
			p.state = Closed
		case events&unix.POLLIN != 0:
			p.state = DataPending
		}
	}
	return p
}

// State is Ended if the other side has closed the connection or broken it off, even with
// bytes before that still to be read. Bytes tells of those that wait, behind which an end
// may be that has found no room in the buffer of the connection.
func (p *Poller) State() State {
	if p.raw == nil {
		return Idle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = Idle
	p.raw.Control(p.poll) // on one that is closed here nothing is found
	return p.state
}

// dropPieces bounds what one call of Drop reads beside a writer that is as fast.
const dropPieces = 32

// Drop reads what waits on c piece by piece into b, of which nobody wants anything, without
// waiting for more. It may be called beside a reader, which then does not see those bytes,
// and whatever the read deadline.
func Discard(c net.Conn, b []byte) (n int) {
	control(c, func(fd int) {
		for range dropPieces {
			k, _, err := syscall.Recvfrom(fd, b, syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			if k <= 0 {
				return
			}
			n += k
		}
	})
	return n
}
