package socketstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WaitReadable waits until c has unread data, is closed or broken, or its read deadline has passed,
// which is an error. For a connection that is no socket it does not wait.
func WaitReadable(c net.Conn) error { return wait(c, syscall.RawConn.Read, unix.POLLIN) }

// WaitWritable waits until c takes more data, is broken or its write deadline has passed, which is an
// error. The next write then needs no wait if it is much shorter than the send buffer. For a connection
// that is no socket it does not wait.
func WaitWritable(c net.Conn) error { return wait(c, syscall.RawConn.Write, unix.POLLOUT) }

// wait waits for any of the given events or an error of the socket.
func wait(c net.Conn, until func(raw syscall.RawConn, f func(fd uintptr) (done bool)) error, events int16) error {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	return until(raw, func(fd uintptr) (done bool) {
		got, err := poll(int(fd), events)
		return err != nil || got != 0
	})
}
