package socketstate

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// System calls interrupted by signals are retried, so that the results are correct.
func TestInterruptedCallsAreRetried(t *testing.T) {
	const times = 3
	interrupted := 0
	interrupt := func() bool {
		interrupted++
		return interrupted%(times+1) != 0
	}
	peekCall = func(fd int) (int, error) {
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
	defer func() { peekCall, pollCall = peekOnce, pollOnce }()
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
	if s := peeker.State(); s != Idle || HasPendingData(conn) || PeerClosed(conn) {
		t.Errorf("idle connection: state %v, pending data %t, peer closed %t", s, HasPendingData(conn), PeerClosed(conn))
	}
	peer.Write([]byte("x"))
	peer.(*net.TCPConn).CloseWrite()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Read(func(fd uintptr) bool { // waits until the byte and the FIN have arrived
		events, err := pollOnce(int(fd), pollReadable)
		return err != nil || events&pollReadable == pollReadable
	})
	if s := peeker.State(); s != DataPending || !HasPendingData(conn) || !PeerClosed(conn) {
		t.Errorf("closed connection with unread data: state %v, pending data %t, peer closed %t", s, HasPendingData(conn), PeerClosed(conn))
	}
	if interrupted == 0 {
		t.Error("no call was interrupted")
	}
}

const pollReadable = unix.POLLIN | unix.POLLRDHUP
