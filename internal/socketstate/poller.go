package socketstate

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Poller checks whether the peer of one connection has closed it, without allocating. It is
// safe for concurrent use, may be used while another goroutine reads, and ignores the read
// deadline.
type Poller struct {
	raw  syscall.RawConn
	poll func(fd uintptr)

	mu    sync.Mutex
	fds   [1]unix.PollFd
	state State
}

// NewPoller returns a Poller for c. If c is not a socket, its state is Idle.
func NewPoller(c net.Conn) *Poller {
	p := &Poller{}
	if sys, ok := c.(syscall.Conn); ok {
		p.raw, _ = sys.SyscallConn() // nil after an error
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

// State returns Closed if the peer has closed or reset the connection, even if there is still
// unread data. If it returns DataPending the peer may have closed the connection too: the end
// (FIN) does not arrive while the receive buffer is full.
func (p *Poller) State() State {
	if p.raw == nil {
		return Idle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = Idle
	p.raw.Control(p.poll) // if this side has closed the connection, Control fails and the state stays Idle
	return p.state
}

// ReadAvailable reads unread data of c into b without waiting and returns the number of bytes. It
// ignores the read deadline.
func ReadAvailable(c net.Conn, b []byte) (n int) {
	withFD(c, func(fd int) {
		var err error
		for {
			if n, _, err = syscall.Recvfrom(fd, b, syscall.MSG_DONTWAIT); err != syscall.EINTR {
				break
			}
		}
		n = max(n, 0) // -1 after an error
	})
	return n
}

// maxDiscardReads bounds the reads of one Discard call, because the peer may keep sending.
const maxDiscardReads = 32

// Discard reads and discards the unread data of c, using b as a buffer, without waiting for more.
// It returns the number of discarded bytes. It ignores the read deadline and may be called while
// another goroutine reads, which then does not receive these bytes.
func Discard(c net.Conn, b []byte) (n int) {
	withFD(c, func(fd int) {
		for range maxDiscardReads {
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
