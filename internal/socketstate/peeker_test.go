package socketstate

import (
	"net"
	"testing"
	"time"
)

// A Peeker distinguishes idle, pending and closed connections without consuming data.
func TestPeekerState(t *testing.T) {
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
	peeker := NewPeeker(conn)
	waitForState := func(want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); peeker.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", peeker.State(), want)
			}
		}
	}
	waitForState(Idle)
	if HasPendingData(conn) || PeerClosed(conn) {
		t.Error("idle connection has pending data or its peer has closed")
	}
	peer.Write([]byte("x"))
	waitForState(DataPending)
	b := make([]byte, 2)
	if n, err := conn.Read(b); n != 1 || err != nil { // the check consumed nothing
		t.Fatalf("%d bytes, %v", n, err)
	}
	waitForState(Idle)
	conn.SetReadDeadline(time.Unix(1, 0))
	waitForState(Closed)
	peer.Write([]byte("y"))
	for end := time.Now().Add(20 * time.Second); !HasPendingData(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("pending data not reported after the read deadline")
		}
	}
	if PeerClosed(conn) {
		t.Error("connection with pending data reported as closed by its peer")
	}
	conn.SetReadDeadline(time.Time{})
	if n, err := conn.Read(b); n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	waitForState(Idle)
	if n := testing.AllocsPerRun(100, func() { peeker.State() }); n > 0 {
		t.Errorf("%v allocations per check", n)
	}
	peer.Write([]byte("z")) // a Peeker sees this byte and not the FIN behind it
	peer.Close()
	for end := time.Now().Add(20 * time.Second); !PeerClosed(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("close by the peer after unread data not reported")
		}
	}
	if s := peeker.State(); s != DataPending {
		t.Errorf("state %v, want DataPending", s)
	}
	conn.Read(b)
	waitForState(Closed)
	pipe, _ := net.Pipe()
	if s := NewPeeker(pipe).State(); s != Closed || HasPendingData(pipe) || PeerClosed(pipe) {
		t.Errorf("pipe: state %v", s)
	}
}
