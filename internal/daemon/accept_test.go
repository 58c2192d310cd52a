package daemon

import (
	"net"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/httpserver"
)

// A listener keeps accepting connections after each error that accept(2) can return for a
// single connection.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	server := httpserver.NewServer(nil, 8, httpserver.Timeouts{})
	waitForConns := func(want int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); server.OpenConns() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections are open, want %d", server.OpenConns(), want)
			}
		}
	}
	for _, errno := range fakeserver.TransientAcceptErrors {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := fakeserver.NewFailingListener(tcp, errno)
		a := &acceptor{listener: l, server: server}
		done := make(chan struct{})
		go func() { a.serve(); close(done) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		waitForConns(1)
		if l.FailedAccepts() != 1 {
			t.Errorf("%v: %d accepts failed, want 1", errno, l.FailedAccepts())
		}
		c.Close()
		waitForConns(0)
		l.Close()
		<-done
	}
}
