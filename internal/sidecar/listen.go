package sidecar

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen listens on addr with SO_REUSEPORT, so that a successor process of the same user
// can listen on it too when the handover of this socket fails.
func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}
