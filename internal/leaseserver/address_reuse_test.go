package leaseserver

import (
	"context"
	"net"
	"testing"
	"time"

	"gorselink/internal/leaseclient"
)

// A voter sends nothing to another voter, or to a voter of another cluster, that has taken the address of the
// one it wants.
func TestVoterDetectsOtherVoterAtAddress(t *testing.T) {
	n := &Node{cfg: Config{ID: 1, Cluster: "c"}}
	for name, c := range map[string]struct {
		hello     leaseclient.Hello
		connected bool
	}{
		"the voter":               {leaseclient.Hello{Cluster: "c", Voter: 2}, true},
		"another voter":           {leaseclient.Hello{Cluster: "c", Voter: 3}, false},
		"a voter of another site": {leaseclient.Hello{Cluster: "d", Voter: 2}, false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			leaseclient.NewFrameConn(conn).Handshake(c.hello)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		connected := false
		err = n.sendOverConn(ctx, leaseclient.Voter{ID: 2, Address: l.Addr().String()}, nil, func() { connected = true })
		cancel()
		if connected != c.connected || err == nil {
			t.Errorf("%s: connected: %t, %v, want %t and an error at the end", name, connected, err, c.connected)
		}
	}
}
