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
	becomes := func(p *Presence, want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); p.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", p.State(), want)
			}
		}
	}
	there, here := join()
	p := NewPresence(here)
	becomes(p, Quiet)
	here.SetReadDeadline(time.Unix(1, 0)) // changes nothing
	becomes(p, Quiet)
	there.Write([]byte("x"))
	becomes(p, Bytes)
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
	if n := Drop(here, make([]byte, 4)); n != 1 {
		t.Errorf("%d bytes dropped, want 1", n)
	}
	becomes(p, Quiet)
	there.Write([]byte(strings.Repeat("y", 1000)))
	there.Close()
	becomes(p, Ended)
	if n := Drop(here, make([]byte, 64)); n != 1000 {
		t.Errorf("%d bytes dropped, want 1000", n)
	}
	becomes(p, Ended)
	here.Close()
	becomes(p, Quiet) // nothing is known of it any more

	there, here = join()
	p = NewPresence(here)
	there.SetLinger(0)
	there.Close()
	becomes(p, Ended)

	pipe, _ := net.Pipe()
	if s := NewPresence(pipe).State(); s != Quiet || Drop(pipe, make([]byte, 1)) != 0 {
		t.Errorf("a pipe: %v", s)
	}
}
