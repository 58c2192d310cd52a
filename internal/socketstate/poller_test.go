package socketstate

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A Poller detects that the peer has closed a connection with unread data, does not allocate, and
// can be used by several goroutines.
func TestPoller(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	connect := func() (peer *net.TCPConn, conn net.Conn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if conn, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return c.(*net.TCPConn), conn
	}
	waitForState := func(p *Poller, want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); p.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", p.State(), want)
			}
		}
	}
	peer, conn := connect()
	p := NewPoller(conn)
	waitForState(p, Idle)
	conn.SetReadDeadline(time.Unix(1, 0)) // ignored by the Poller
	waitForState(p, Idle)
	peer.Write([]byte("x"))
	waitForState(p, DataPending)
	if n := testing.AllocsPerRun(100, func() { p.State() }); n > 0 {
		t.Errorf("%v allocations per check", n)
	}
	done := make(chan struct{})
	for range 2 {
		go func() {
			for range 100 {
				p.State()
			}
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	if n := Discard(conn, make([]byte, 4)); n != 1 {
		t.Errorf("%d bytes discarded, want 1", n)
	}
	waitForState(p, Idle)
	peer.Write([]byte(strings.Repeat("y", 1000)))
	peer.Close()
	waitForState(p, Closed)
	if n := Discard(conn, make([]byte, 64)); n != 1000 {
		t.Errorf("%d bytes discarded, want 1000", n)
	}
	waitForState(p, Closed)
	conn.Close()
	waitForState(p, Idle) // locally closed

	peer, conn = connect()
	p = NewPoller(conn)
	peer.SetLinger(0)
	peer.Close()
	waitForState(p, Closed)

	pipe, _ := net.Pipe()
	if s := NewPoller(pipe).State(); s != Idle || Discard(pipe, make([]byte, 1)) != 0 {
		t.Errorf("pipe: state %v", s)
	}
}
