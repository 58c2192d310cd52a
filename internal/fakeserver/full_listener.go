package fakeserver

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// FullListener is a listener with an accept queue that is full until Unblock is called. Until
// then the kernel drops SYNs; clients retransmit them 1, 3 and 7 s after the first.
type FullListener struct {
	net.Listener
	queued []net.Conn // fill the accept queue
}

// fullTimeout is the time after which a connection that is not yet open shows that the
// queue is full.
const fullTimeout = 200 * time.Millisecond

// ListenFull starts a FullListener on a free port of 127.0.0.1.
func ListenFull() (*FullListener, error) {
	inner, err := listenShortest()
	if err != nil {
		return nil, fmt.Errorf("listen with a full accept queue: %w", err)
	}
	l := &FullListener{Listener: inner}
	for { // until the queue is full
		c, err := net.DialTimeout("tcp", inner.Addr().String(), fullTimeout)
		if err != nil {
			return l, nil
		}
		l.queued = append(l.queued, c)
	}
}

// listenShortest listens with the shortest possible accept queue. Package net cannot set
// its length.
func listenShortest() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "full listener")
	defer f.Close() // FileListener duplicates the descriptor
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// Unblock enlarges the accept queue, so that the kernel completes new connections. The
// connections that filled the queue are closed.
func (l *FullListener) Unblock() error {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 1024) }); controlErr != nil {
		return controlErr
	}
	l.closeQueued()
	return err
}

func (l *FullListener) closeQueued() {
	for _, c := range l.queued {
		c.Close()
	}
}

// Close implements net.Listener.
func (l *FullListener) Close() error {
	l.closeQueued()
	return l.Listener.Close()
}
