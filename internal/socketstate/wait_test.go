package socketstate

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A wait ends when the peer reads, when it closes the connection, and at the write deadline.
func TestWaitWritable(t *testing.T) {
	for name, c := range map[string]struct {
		free      func(conn, peer net.Conn)
		wantError error
	}{
		"peer reads":  {func(_, peer net.Conn) { go io.Copy(io.Discard, peer) }, nil},
		"peer closes": {func(_, peer net.Conn) { peer.Close() }, nil},
		"deadline":    {func(conn, _ net.Conn) { conn.SetWriteDeadline(time.Unix(1, 0)) }, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := WaitWritable(conn); err != nil {
				t.Fatalf("a new connection: %v", err)
			}
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for buf := make([]byte, 1<<20); err == nil; {
				_, err = conn.Write(buf)
			}
			conn.SetWriteDeadline(time.Time{})
			waited := make(chan error, 1)
			go func() { waited <- WaitWritable(conn) }()
			select {
			case err := <-waited:
				t.Fatalf("the wait ended with a full send buffer: %v", err)
			case <-time.After(50 * time.Millisecond):
			}
			c.free(conn, peer)
			select {
			case err := <-waited:
				if !errors.Is(err, c.wantError) {
					t.Errorf("error %v, want %v", err, c.wantError)
				}
			case <-time.After(10 * time.Second):
				t.Error("the wait did not end")
			}
		})
	}
}
