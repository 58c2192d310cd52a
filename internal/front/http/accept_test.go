package httpfront

import (
	"errors"
	"net"
	"testing"

	"gorselink/internal/standin"
)

// A client's connection is taken after each error that an accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	callers := NewServer(nil, 8, Timeouts{})
	for _, errno := range standin.AcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := standin.Fail(inner, errno)
		ended := make(chan error, 1)
		go func() { ended <- callers.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "a connection after "+errno.Error(), func() bool { return callers.OpenConns() == 1 })
		c.Close()
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || l.Failed() != 1 {
			t.Errorf("%v: ended by %v, %d accepts failed, want the close, 1", errno, err, l.Failed())
		}
		eventually(t, "its end", func() bool { return callers.OpenConns() == 0 })
	}
}
