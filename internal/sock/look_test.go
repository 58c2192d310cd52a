package sock

import (
	"net"
	"testing"
	"time"
)

func TestState(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	look := New(here)
	becomes := func(want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); look.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", look.State(), want)
			}
		}
	}
	becomes(Quiet)
	there.Write([]byte("x"))
	becomes(Bytes)
	b := make([]byte, 2)
	if n, err := here.Read(b); n != 1 || err != nil { // nothing was taken away
		t.Fatalf("%d bytes, %v", n, err)
	}
	becomes(Quiet)
	here.SetReadDeadline(time.Unix(1, 0))
	becomes(Ended)
	here.SetReadDeadline(time.Time{})
	becomes(Quiet)
	if n := testing.AllocsPerRun(100, func() { look.State() }); n > 0 {
		t.Errorf("%v allocations a look", n)
	}
	there.Close()
	becomes(Ended)
	a, _ := net.Pipe()
	if s := New(a).State(); s != Ended {
		t.Errorf("a pipe: %v", s)
	}
}
