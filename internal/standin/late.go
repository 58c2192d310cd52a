package standin

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Late is a listener to which connections come up only once it is opened: its queue is
// full until then, and the kernel drops what else knocks, which knocks again after 1, 3
// and 7 s.
type FullListener struct {
	net.Listener
	fill []net.Conn
}

// fullAfter is how long a connection takes to come up that finds no place.
const fullAfter = 200 * time.Millisecond

// ListenLate starts a Late on a free port of 127.0.0.1.
func ListenFull() (*FullListener, error) {
	l, err := listenOne()
	if err != nil {
		return nil, fmt.Errorf("stand-in that comes up late: %w", err)
	}
	k := &FullListener{Listener: l}
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), fullAfter)
		if err != nil {
			return k, nil
		}
		k.fill = append(k.fill, c)
	}
}

// listenOne listens with the shortest queue that there is, which net does not offer.
func listenOne() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "late")
	defer f.Close() // FileListener has a copy
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// Open lets connections come up; somebody has to accept them.
func (k *FullListener) Unblock() error {
	raw, err := k.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if control := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 1024) }); control != nil {
		return control
	}
	k.leave()
	return err
}

func (k *FullListener) leave() {
	for _, c := range k.fill {
		c.Close()
	}
}

// Close implements net.Listener.
func (k *FullListener) Close() error {
	k.leave()
	return k.Listener.Close()
}
