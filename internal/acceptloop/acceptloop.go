// Package acceptloop accepts connections for as long as their listener stands.
//
// accept(2) passes on errors that say nothing of the listener: descriptors, memory or
// buffers that are short for a moment, an error of the network that was already pending on
// the new connection, a firewall's word against it. Go calls only few of them temporary. A
// loop that ends at such an error leaves a process that lives on and serves nobody, so only
// a listener that this process has closed ends a loop of this package.
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
	// leastBackoff is the wait after the first failure: long enough not to spin, short
	// beside any deadline. It is also how soon a listener that was closed during a wait
	// ends it.
	leastBackoff = 5 * time.Millisecond
	// mostBackoff bounds the waits. Clients are waiting in the listener's queue meanwhile,
	// and the shortest deadlines are some tenths of a second.
	mostBackoff = 100 * time.Millisecond
	// logInterval is the least time between two log lines of one listener.
	logInterval = time.Second
)

// Listener is a net.Listener whose Accept fails only once it has been closed. Any other
// failure is counted, logged at a bounded rate and followed by another accept, after a wait
// that begins at 5 ms, doubles up to 100 ms and starts anew after a success.
type Listener struct {
	net.Listener

	mu       sync.Mutex
	failures int64     // since the start
	logged   time.Time // when one was logged last
}

// Wrap returns l as a Listener.
func Wrap(l net.Listener) *Listener { return &Listener{Listener: l} }

// Serve hands each connection that comes to l to take, until l is closed. The error that it
// returns is the one of the closed listener.
func Serve(l net.Listener, take func(net.Conn)) error {
	from := Wrap(l)
	for {
		c, err := from.Accept()
		if err != nil {
			return err
		}
		take(c)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := leastBackoff
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Whoever set a deadline holds the listener back for a while, and wants it
			// to go on as soon as the deadline is lifted.
			time.Sleep(leastBackoff)
			continue
		}
		l.note(err)
		l.wait(backoff)
		backoff = min(2*backoff, mostBackoff)
	}
}

// Failures is how many accepts have failed while the listener was open.
func (l *Listener) Failures() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

// note counts a failure, and logs it unless another one has just been logged.
func (l *Listener) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	now := time.Now()
	if now.Sub(l.logged) < logInterval {
		return
	}
	l.logged = now
	slog.Warn("accept failed, listening on", "address", l.Addr().String(), "failures", l.failures, "error", err)
}

// wait waits for d, or until the listener is closed. It is closed through whatever holds
// the socket, often not through l, so the wait goes in short steps and looks.
func (l *Listener) wait(d time.Duration) {
	for ; d > 0 && !l.closed(); d -= leastBackoff {
		time.Sleep(min(d, leastBackoff))
	}
}

// closed tells whether the listener is known to be closed; one that is no socket never is.
func (l *Listener) closed() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err == nil {
		err = raw.Control(func(uintptr) {})
	}
	return err != nil // a socket that stands has nothing to fail at
}
