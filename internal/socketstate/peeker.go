// Package socketstate checks the state of sockets without blocking.
package socketstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection, as a Peeker or Poller reports it.
type State int

const (
	Closed      State = iota // closed by the peer or broken; from a Peeker also if the read deadline has passed
	Idle                     // open, no unread data
	DataPending              // unread data
)

// Peeker checks one connection by peeking at its unread data, without allocating. It is not safe
// for concurrent use.
type Peeker struct {
	raw   syscall.RawConn
	peek  func(fd uintptr) bool
	state State
}

// HasPendingData reports whether c has unread data. It ignores the read deadline and may be called
// while another goroutine reads. Unlike a Peeker it allocates.
func HasPendingData(c net.Conn) bool {
	n := 0
	withFD(c, func(fd int) { n, _ = peek(fd) })
	return n > 0
}

// PeerClosed reports whether the peer has closed or reset c, even if there is still unread data.
// It may be called while another goroutine reads.
func PeerClosed(c net.Conn) (closed bool) {
	withFD(c, func(fd int) {
		events, err := poll(fd, unix.POLLRDHUP)
		closed = err == nil && events&unix.POLLRDHUP != 0
	})
	return closed
}

// The system calls of peek and poll, which tests replace.
var (
	peekCall = peekOnce
	pollCall = pollOnce
)

// peek returns the number of bytes, at most 1, that can be read from the socket fd. A call
// interrupted by a signal is repeated.
func peek(fd int) (int, error) {
	for {
		if n, err := peekCall(fd); err != syscall.EINTR {
			return n, err
		}
	}
}

func peekOnce(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// poll returns which of the given events are pending on the socket fd, without waiting. A call
// interrupted by a signal is repeated.
func poll(fd int, events int16) (int16, error) {
	for {
		if got, err := pollCall(fd, events); err != syscall.EINTR {
			return got, err
		}
	}
}

func pollOnce(fd int, events int16) (int16, error) {
	p := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
	_, err := unix.Poll(p[:], 0)
	return p[0].Revents, err
}

// withFD calls f with the file descriptor of c if c is an open socket.
func withFD(c net.Conn, f func(fd int)) {
	if sys, ok := c.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// NewPeeker returns a Peeker for c. If c is not a socket, its state is Closed.
func NewPeeker(c net.Conn) *Peeker {
	p := &Peeker{}
	if sys, ok := c.(syscall.Conn); ok {
		p.raw, _ = sys.SyscallConn() // nil after an error
	}
	p.peek = func(fd uintptr) bool {
		switch n, err := peek(int(fd)); {
		case err == syscall.EAGAIN:
			p.state = Idle
		case err == nil && n > 0:
			p.state = DataPending
		}
		return true
	}
	return p
}

// State returns the current state of the connection.
func (p *Peeker) State() State {
	if p.raw == nil {
		return Closed
	}
	p.state = Closed
	if p.raw.Read(p.peek) != nil {
		return Closed
	}
	return p.state
}
