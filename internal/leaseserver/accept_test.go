package leaseserver

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"

	"gorselink/internal/fakeserver"
	"gorselink/internal/leaseclient"
)

// The accept loop must continue after every transient accept error.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	const cluster = "test"
	for _, errno := range fakeserver.TransientAcceptErrors {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		failingListener := fakeserver.NewFailingListener(listener, errno)
		n := &Node{cfg: Config{ID: 1, Cluster: cluster}, listener: failingListener, log: slog.Default(), done: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { n.acceptConns(ctx, &wg) })
		conn, err := net.Dial("tcp", failingListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if peer, err := leaseclient.NewFrameConn(conn).Handshake(leaseclient.Hello{Cluster: cluster}); err != nil || peer.Voter != 1 || failingListener.FailedAccepts() != 1 {
			t.Errorf("after accept error %v: handshake with voter %d, error %v, %d accepts failed; want voter 1, no error, 1 accept failed", errno, peer.Voter, err, failingListener.FailedAccepts())
		}
		conn.Close()
		cancel()
		close(n.done)
		failingListener.Close()
		wg.Wait()
	}
}
