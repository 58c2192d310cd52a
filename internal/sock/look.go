// Package sock looks at sockets without waiting and without reading.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a look at a connection finds.
type State int

const (
	Closed      State = iota // closed by the other side, broken, or past its read deadline
	Idle                     // open, and nothing has come
	DataPending              // something has come
)

// Look looks at one connection, without an allocation each time. It is not safe
// for concurrent use.
type Peeker struct {
	raw   syscall.RawConn
	peek  func(fd uintptr) bool
	state State
}

// Waiting tells whether bytes of c wait to be read. It may be called beside a reader
// and whatever the read deadline, and costs an allocation.
func HasPendingData(c net.Conn) bool {
	n := 0
	control(c, func(fd int) { n, _ = peek(fd) })
	return n > 0
}

// Left tells whether the other side of c has closed it or broken it off, even with bytes
// before that still to be read. It may be called beside a reader.
func Left(c net.Conn) (left bool) {
	control(c, func(fd int) {
		events, err := poll(fd, unix.POLLRDHUP)
		left = err == nil && events&unix.POLLRDHUP != 0
	})
	return left
}

// The calls that this package makes itself; tests make them fail.
var (
	recvfrom = peekOnce
	pollCall = pollOnce
)

// peek looks for a byte that has come on the socket fd. A signal that interrupts it is no
// answer, and the call is made again.
func peek(fd int) (int, error) {
	for {
		if n, err := recvfrom(fd); err != syscall.EINTR {
			return n, err
		}
	}
}

func peekOnce(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// poll tells which events there are on fd, without a wait. It makes the call again like peek.
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

// control calls f with the descriptor of c, if it is a socket that is open.
func control(c net.Conn, f func(fd int)) {
	if sys, ok := c.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// New returns the Look of c, which finds Ended if c is no socket.
func NewPeeker(c net.Conn) *Peeker {
	l := &Peeker{}
	if sys, ok := c.(syscall.Conn); ok {
		l.raw, _ = sys.SyscallConn() // nil if there is none
	}
	l.peek = func(fd uintptr) bool {
		switch n, err := peek(int(fd)); {
		case err == syscall.EAGAIN:
			l.state = Idle
		case err == nil && n > 0:
			l.state = DataPending
		}
		return true
	}
	return l
}

// State is the state of the connection just now.
func (l *Peeker) State() State {
	if l.raw == nil {
		return Closed
	}
	l.state = Closed
	if l.raw.Read(l.peek) != nil {
		return Closed
	}
	return l.state
}
