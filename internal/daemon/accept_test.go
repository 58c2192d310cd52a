package daemon

import (
	"net"
	"testing"
	"time"

	httpfront "gorselink/internal/front/http"
	"gorselink/internal/standin"
)

// A listener of the program stands after each error that an accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	callers := httpfront.NewServer(nil, 8, httpfront.Timeouts{})
	open := func(n int) {
		t.Helper()
		for end := time.Now().Add(patience); callers.OpenConns() != n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections, want %d", callers.OpenConns(), n)
			}
		}
	}
	for _, errno := range standin.AcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := standin.Fail(inner, errno)
		d := &door{l: l, to: callers}
		ended := make(chan struct{})
		go func() { d.serve(); close(ended) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		open(1)
		if l.Failed() != 1 {
			t.Errorf("%v: %d accepts failed, want 1", errno, l.Failed())
		}
		c.Close()
		open(0)
		l.Close()
		<-ended
	}
}
