package standin

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are the errors of accept(2) that say nothing of the listener. Of EAGAIN the
// Go runtime itself makes a wait.
var TransientAcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM, syscall.EINTR, syscall.ETIMEDOUT,
}

// Failing is a listener some of whose accepts fail, as those of the system do.
type FailingListener struct {
	net.Listener

	mu     sync.Mutex
	errs   []syscall.Errno
	failed int
}

// Fail makes the next accepts of l fail with errs, one after another.
func NewFailingListener(l net.Listener, errs ...syscall.Errno) *FailingListener {
	return &FailingListener{Listener: l, errs: errs}
}

// Failed is how many accepts have failed.
func (f *FailingListener) FailedAccepts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Accept implements net.Listener.
func (f *FailingListener) Accept() (net.Conn, error) {
	if err := f.next(); err != 0 {
		return nil, &net.OpError{Op: "accept", Net: f.Addr().Network(), Addr: f.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// next is the error of this accept, or 0.
func (f *FailingListener) next() syscall.Errno {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) == 0 {
		return 0
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	f.failed++
	return err
}

// SyscallConn implements syscall.Conn.
func (f *FailingListener) SyscallConn() (syscall.RawConn, error) {
	return f.Listener.(syscall.Conn).SyscallConn()
}
