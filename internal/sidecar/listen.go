package sidecar

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen listens at addr, and lets a later process of the same user do so too:
// where it cannot be handed this socket it need not wait for its end.
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
