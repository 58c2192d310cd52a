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
	look := NewPeeker(here)
	becomes := func(want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); look.State() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %v, want %v", look.State(), want)
			}
		}
	}
	becomes(Idle)
	if HasPendingData(here) || Left(here) {
		t.Error("a quiet connection has bytes that wait, or has been left")
	}
	there.Write([]byte("x"))
	becomes(DataPending)
	b := make([]byte, 2)
	if n, err := here.Read(b); n != 1 || err != nil { // nothing was taken away
		t.Fatalf("%d bytes, %v", n, err)
	}
	becomes(Idle)
	here.SetReadDeadline(time.Unix(1, 0))
	becomes(Closed)
	there.Write([]byte("y"))
	for end := time.Now().Add(20 * time.Second); !HasPendingData(here); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("bytes under a deadline that has passed are not seen")
		}
	}
	if Left(here) {
		t.Error("a connection with bytes that wait has been left")
	}
	here.SetReadDeadline(time.Time{})
	if n, err := here.Read(b); n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	becomes(Idle)
	if n := testing.AllocsPerRun(100, func() { look.State() }); n > 0 {
		t.Errorf("%v allocations a look", n)
	}
	there.Write([]byte("z")) // hides the end from a look that peeks
	there.Close()
	for end := time.Now().Add(20 * time.Second); !Left(here); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an end behind bytes is not seen")
		}
	}
	if s := look.State(); s != DataPending {
		t.Errorf("state %v, want bytes", s)
	}
	here.Read(b)
	becomes(Closed)
	a, _ := net.Pipe()
	if s := NewPeeker(a).State(); s != Closed || HasPendingData(a) || Left(a) {
		t.Errorf("a pipe: %v", s)
	}
}
