package fakeserver

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// TransientAcceptErrors are the errors of accept(2) after which the listener still works.
// EAGAIN is not among them, as the Go runtime handles it.
var TransientAcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM, syscall.EINTR, syscall.ETIMEDOUT,
}

// FailingListener is a listener that fails the first calls of Accept with given errors.
type FailingListener struct {
	net.Listener

	mu     sync.Mutex
	errs   []syscall.Errno
	failed int
}

// NewFailingListener wraps l. Each of the next calls of Accept fails with one of errs, in
// their order.
func NewFailingListener(l net.Listener, errs ...syscall.Errno) *FailingListener {
	return &FailingListener{Listener: l, errs: errs}
}

// FailedAccepts returns the number of failed calls of Accept.
func (f *FailingListener) FailedAccepts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Accept implements net.Listener.
func (f *FailingListener) Accept() (net.Conn, error) {
	if err := f.nextError(); err != 0 {
		return nil, &net.OpError{Op: "accept", Net: f.Addr().Network(), Addr: f.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// nextError returns the error of this call of Accept, or 0.
func (f *FailingListener) nextError() syscall.Errno {
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
