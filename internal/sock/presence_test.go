package sock

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A look at who is there tells an end behind bytes, costs no allocation and may be taken
// from several goroutines beside a reader.
func TestPresence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	join := func() (there *net.TCPConn, here net.Conn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if here, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { here.Close() })
		return c.(*net.TCPConn), here
	}
	becomes := func(p *Poller, want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); p.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", p.State(), want)
			}
		}
	}
	there, here := join()
	p := NewPoller(here)
	becomes(p, Idle)
	here.SetReadDeadline(time.Unix(1, 0)) // changes nothing
	becomes(p, Idle)
	there.Write([]byte("x"))
	becomes(p, DataPending)
	if n := testing.AllocsPerRun(100, func() { p.State() }); n > 0 {
		t.Errorf("%v allocations a look", n)
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
	if n := Discard(here, make([]byte, 4)); n != 1 {
		t.Errorf("%d bytes dropped, want 1", n)
	}
	becomes(p, Idle)
	there.Write([]byte(strings.Repeat("y", 1000)))
	there.Close()
	becomes(p, Closed)
	if n := Discard(here, make([]byte, 64)); n != 1000 {
		t.Errorf("%d bytes dropped, want 1000", n)
	}
	becomes(p, Closed)
	here.Close()
	becomes(p, Idle) // nothing is known of it any more

	there, here = join()
	p = NewPoller(here)
	there.SetLinger(0)
	there.Close()
	becomes(p, Closed)

	pipe, _ := net.Pipe()
	if s := NewPoller(pipe).State(); s != Idle || Discard(pipe, make([]byte, 1)) != 0 {
		t.Errorf("a pipe: %v", s)
	}
}
