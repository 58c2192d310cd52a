package httpserver

import (
	"errors"
	"net"
	"testing"

	"gorselink/internal/fakeserver"
)

// The server accepts a connection after each error that accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	server := NewServer(nil, 8, Timeouts{})
	for _, errno := range fakeserver.TransientAcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := fakeserver.NewFailingListener(inner, errno)
		serveErr := make(chan error, 1)
		go func() { serveErr <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "a connection is open after "+errno.Error(), func() bool { return server.OpenConns() == 1 })
		conn.Close()
		listener.Close()
		if err := <-serveErr; !errors.Is(err, net.ErrClosed) || listener.FailedAccepts() != 1 {
			t.Errorf("accept error %v: Serve returned %v after %d failed accepts, want net.ErrClosed after 1", errno, err, listener.FailedAccepts())
		}
		eventually(t, "the connection is closed", func() bool { return server.OpenConns() == 0 })
	}
}
