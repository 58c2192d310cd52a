package acceptloop_test

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/fakeserver"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Accepting continues after any transient error and ends only when the listener is closed.
func TestAcceptContinuesAfterTransientErrors(t *testing.T) {
	for _, errno := range fakeserver.TransientAcceptErrors {
		l := fakeserver.NewFailingListener(listen(t), errno, errno)
		accepted, ended := make(chan net.Conn, 1), make(chan error, 1)
		go func() { ended <- acceptloop.Serve(l, func(c net.Conn) { accepted <- c }) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		select {
		case c := <-accepted:
			c.Close()
		case err := <-ended:
			t.Fatalf("%v ends Serve: %v", errno, err)
		}
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || l.FailedAccepts() != 2 {
			t.Errorf("%v: Serve returned %v after %d failed accepts, want net.ErrClosed after 2", errno, err, l.FailedAccepts())
		}
	}
}

// failingListener is a listener without a socket. Its Accept always fails. As a syscall.RawConn it
// reports whether it is closed.
type failingListener struct {
	mu     sync.Mutex
	closed bool
	times  []time.Time
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, net.ErrClosed
	}
	f.times = append(f.times, time.Now())
	return nil, syscall.ENOBUFS
}

func (f *failingListener) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	return nil
}

func (f *failingListener) Addr() net.Addr                           { return &net.TCPAddr{} }
func (f *failingListener) SyscallConn() (syscall.RawConn, error)    { return f, nil }
func (f *failingListener) Read(func(fd uintptr) (done bool)) error  { return nil }
func (f *failingListener) Write(func(fd uintptr) (done bool)) error { return nil }

// Control implements syscall.RawConn. It only reports whether the listener is closed.
func (f *failingListener) Control(func(fd uintptr)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return net.ErrClosed
	}
	return nil
}

// The backoff doubles from 5 ms to 100 ms, each failure is counted, at most one is logged
// per second, and closing the listener ends a wait within 5 ms.
func TestBackoffIsBounded(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	synctest.Test(t, func(t *testing.T) {
		f := &failingListener{}
		l := acceptloop.Wrap(f)
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		time.Sleep(3*time.Second + 61*time.Millisecond)
		f.Close()
		closed := time.Now()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(closed) > 5*time.Millisecond {
			t.Errorf("Accept returned %v %v after Close, want net.ErrClosed within 5 ms", err, time.Since(closed))
		}
		if l.Failures() != int64(len(f.times)) {
			t.Errorf("%d failures counted, want %d", l.Failures(), len(f.times))
		}
		want := 5 * time.Millisecond
		for i := range len(f.times) - 1 {
			if wait := f.times[i+1].Sub(f.times[i]); wait != want {
				t.Fatalf("wait %d is %v, want %v", i, wait, want)
			}
			want = min(2*want, 100*time.Millisecond)
		}
	})
	if n := strings.Count(log.String(), "accept failed"); n != 4 {
		t.Errorf("%d log lines in 3 s, want 4:\n%s", n, &log)
	}
}

// A successful accept resets the backoff.
func TestBackoffResetsAfterSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &alternatingListener{}
		l := acceptloop.Wrap(f)
		start := time.Now()
		for range 50 {
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		}
		if elapsed := time.Since(start); elapsed != 50*5*time.Millisecond || l.Failures() != 50 {
			t.Errorf("50 connections took %v with %d failures, want 250 ms with 50", elapsed, l.Failures())
		}
	})
}

// alternatingListener fails at every other accept.
type alternatingListener struct {
	failingListener
	failed bool
}

func (a *alternatingListener) Accept() (net.Conn, error) {
	a.failed = !a.failed
	if a.failed {
		return nil, syscall.EMFILE
	}
	c, _ := net.Pipe()
	return c, nil
}

// An expired deadline pauses a listener without counting failures. Removing the deadline
// resumes it.
func TestExpiredDeadlinePausesAccept(t *testing.T) {
	l := listen(t).(*net.TCPListener)
	l.SetDeadline(time.Unix(1, 0))
	wrapped := acceptloop.Wrap(l)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := wrapped.Accept()
		accepted <- c
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case <-accepted:
		t.Error("connection accepted after the deadline expired")
	case <-time.After(30 * time.Millisecond):
	}
	l.SetDeadline(time.Time{})
	conn := <-accepted
	if conn == nil || wrapped.Failures() != 0 {
		t.Fatalf("connection %v, %d failures, want a connection and 0", conn, wrapped.Failures())
	}
	conn.Close()
}
