// Package sock looks at sockets without waiting and without reading.
package sock

import (
	"net"
	"syscall"
)

// State is what a look at a connection finds.
type State int

const (
	Ended State = iota // closed by the other side, broken, or past its read deadline
	Quiet              // open, and nothing has come
	Bytes              // something has come
)

// Look looks at one connection, without an allocation each time. It is not safe
// for concurrent use.
type Look struct {
	raw   syscall.RawConn
	peek  func(fd uintptr) bool
	state State
}

// New returns the Look of c, which finds Ended if c is no socket.
func New(c net.Conn) *Look {
	l := &Look{}
	if sys, ok := c.(syscall.Conn); ok {
		l.raw, _ = sys.SyscallConn() // nil if there is none
	}
	l.peek = func(fd uintptr) bool {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			l.state = Quiet
		case err == nil && n > 0:
			l.state = Bytes
		}
		return true
	}
	return l
}

// State is the state of the connection just now.
func (l *Look) State() State {
	if l.raw == nil {
		return Ended
	}
	l.state = Ended
	if l.raw.Read(l.peek) != nil {
		return Ended
	}
	return l.state
}
