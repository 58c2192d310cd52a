package sock

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Signals interrupt every call some times before it is answered: what is found is the same.
func TestInterruptedCallsAreMadeAgain(t *testing.T) {
	const times = 3
	interrupted := 0
	interrupt := func() bool {
		interrupted++
		return interrupted%(times+1) != 0
	}
	recvfrom = func(fd int) (int, error) {
		if interrupt() {
			return -1, syscall.EINTR
		}
		return peekOnce(fd)
	}
	pollCall = func(fd int, events int16) (int16, error) {
		if interrupt() {
			return 0, syscall.EINTR
		}
		return pollOnce(fd, events)
	}
	defer func() { recvfrom, pollCall = peekOnce, pollOnce }()
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
	if s := look.State(); s != Idle || HasPendingData(here) || Left(here) {
		t.Errorf("a quiet connection is in state %v, with bytes %t, left %t", s, HasPendingData(here), Left(here))
	}
	there.Write([]byte("x"))
	there.(*net.TCPConn).CloseWrite()
	raw, err := here.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Read(func(fd uintptr) bool { // until the byte and the end are there
		events, err := pollOnce(int(fd), pollRead)
		return err != nil || events&pollRead == pollRead
	})
	if s := look.State(); s != DataPending || !HasPendingData(here) || !Left(here) {
		t.Errorf("one with a byte and an end is in state %v, with bytes %t, left %t", s, HasPendingData(here), Left(here))
	}
	if interrupted == 0 {
		t.Error("no call was interrupted")
	}
}

const pollRead = unix.POLLIN | unix.POLLRDHUP
