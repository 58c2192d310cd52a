// Package acceptloop accepts connections until their listener is closed.
//
// accept(2) can fail although the listener works: if file descriptors, memory or buffers are
// exhausted, if a network error is pending on the new connection, or if a firewall rejects
// it. The net package reports only some of these errors as temporary. If the loop ended on
// one of them, the process would keep running without serving requests.
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
	// minBackoff is the backoff after the first failure, and the interval at which a longer
	// backoff checks whether the listener has been closed.
	minBackoff = 5 * time.Millisecond
	// maxBackoff is well below the shortest request deadlines, because new connections wait
	// in the listen queue for that time.
	maxBackoff = 100 * time.Millisecond
	// logInterval is the minimum time between two log lines of one listener.
	logInterval = time.Second
)

// Listener is a net.Listener with an Accept that fails only after the listener has been closed.
// Any other failure is counted, logged at a limited rate and retried with exponential
// backoff. Each call of Accept starts with the minimum backoff.
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

// isClosed reports whether the listener is closed. It returns false for a listener without a
// socket.
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
