package voter

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"

	"gorselink/internal/quorum"
	"gorselink/internal/standin"
)

// A client finds its voter after each error that an accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	const cluster = "test"
	for _, errno := range standin.AcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := standin.Fail(inner, errno)
		n := &Node{cfg: Config{ID: 1, Cluster: cluster}, l: l, log: slog.Default(), done: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		all.Go(func() { n.accept(ctx, &all) })
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if other, err := quorum.NewFrameConn(c).Handshake(quorum.Hello{Cluster: cluster}); err != nil || other.Voter != 1 || l.Failed() != 1 {
			t.Errorf("%v: voter %d, %v, %d accepts failed", errno, other.Voter, err, l.Failed())
		}
		c.Close()
		cancel()
		close(n.done)
		l.Close()
		all.Wait()
	}
}
