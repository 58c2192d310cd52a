// Package acceptloop accepts connections until their listener is closed.
//
// accept(2) can fail while the listener is sound: when descriptors, memory or buffers are
// short, on a network error pending on the new connection, or when a firewall rejects it.
// The net package reports only some of these errors as temporary. A loop that ended on any
// of them would leave a running process that serves no requests.
package acceptloop

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// minBackoff is the wait after the first failure. It is also the interval at which
	// a longer wait checks whether the listener has been closed.
	minBackoff = 5 * time.Millisecond
	// maxBackoff is well below the shortest request deadlines, because clients wait in
	// the listen queue meanwhile.
	maxBackoff = 100 * time.Millisecond
	// logInterval is the minimum time between two log lines of one listener.
	logInterval = time.Second
)

// Listener is a net.Listener whose Accept fails only after the listener has been closed.
// Any other failure is counted, logged at a limited rate and retried with an exponential
// backoff, which each call of Accept starts anew.
type Listener struct {
	net.Listener

	mu         sync.Mutex
	failures   int64     // since the start
	lastLogged time.Time // when a failure was last logged
}

// Wrap returns l as a Listener.
func Wrap(l net.Listener) *Listener { return &Listener{Listener: l} }

// Serve passes each connection accepted from l to handle until l is closed. It returns the
// error of the closed listener.
func Serve(l net.Listener, handle func(net.Conn)) error {
	listener := Wrap(l)
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		handle(c)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minBackoff
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// An expired deadline pauses the listener until the deadline is removed.
			time.Sleep(minBackoff)
			continue
		}
		l.recordFailure(err)
		l.waitUnlessClosed(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// Failures returns how many accepts have failed while the listener was open.
func (l *Listener) Failures() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

// recordFailure counts a failure and logs it unless one was logged within logInterval.
func (l *Listener) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	now := time.Now()
	if now.Sub(l.lastLogged) < logInterval {
		return
	}
	l.lastLogged = now
	slog.Warn("accept failed; retrying", "address", l.Addr().String(), "failures", l.failures, "error", err)
}

// waitUnlessClosed waits for d or until the listener is closed. It polls the socket, which
// may be closed without a call of Close on l.
func (l *Listener) waitUnlessClosed(d time.Duration) {
	for ; d > 0 && !l.isClosed(); d -= minBackoff {
		time.Sleep(min(d, minBackoff))
	}
}

// isClosed reports whether the listener is closed. It is false for one without a socket.
func (l *Listener) isClosed() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err == nil {
		err = raw.Control(func(uintptr) {})
	}
	return err != nil // Control fails only on a closed socket
}
