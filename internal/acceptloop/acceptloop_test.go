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
	"gorselink/internal/standin"
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

// Whatever error of the system comes before it, a connection is accepted, and the loop ends
// by the end of the listener alone.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	for _, errno := range standin.AcceptErrors {
		l := standin.Fail(listen(t), errno, errno)
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
			t.Fatalf("%v ends the listener: %v", errno, err)
		}
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || l.Failed() != 2 {
			t.Errorf("%v: ended by %v, %d accepts failed, want the close, 2", errno, err, l.Failed())
		}
	}
}

// failing is a listener without a system, each of whose accepts fails while it is open.
type failing struct {
	mu     sync.Mutex
	closed bool
	times  []time.Time
}

func (f *failing) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, net.ErrClosed
	}
	f.times = append(f.times, time.Now())
	return nil, syscall.ENOBUFS
}

func (f *failing) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	return nil
}

func (f *failing) Addr() net.Addr                           { return &net.TCPAddr{} }
func (f *failing) SyscallConn() (syscall.RawConn, error)    { return f, nil }
func (f *failing) Read(func(fd uintptr) (done bool)) error  { return nil }
func (f *failing) Write(func(fd uintptr) (done bool)) error { return nil }
func (f *failing) Control(func(fd uintptr)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return net.ErrClosed
	}
	return nil
}

// The waits double from 5 ms to 100 ms, a second brings one line to the log, all failures
// are counted, and a close ends a long wait at once.
func TestBackoffIsBounded(t *testing.T) {
	var log bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(was)
	synctest.Test(t, func(t *testing.T) {
		f := &failing{}
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
			t.Errorf("ended by %v %v after the close", err, time.Since(closed))
		}
		if l.Failures() != int64(len(f.times)) {
			t.Errorf("%d failures counted of %d", l.Failures(), len(f.times))
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
		t.Errorf("%d lines in 3 s, want 4:\n%s", n, &log)
	}
}

// A success makes the waits begin anew: between any two connections they are short.
func TestBackoffStartsAnewAfterASuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &alternating{}
		l := acceptloop.Wrap(f)
		begin := time.Now()
		for range 50 {
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		}
		if took := time.Since(begin); took != 50*5*time.Millisecond || l.Failures() != 50 {
			t.Errorf("50 connections took %v with %d failures", took, l.Failures())
		}
	})
}

// alternating fails at every other accept.
type alternating struct {
	failing
	good bool
}

func (a *alternating) Accept() (net.Conn, error) {
	a.good = !a.good
	if a.good {
		return nil, syscall.EMFILE
	}
	c, _ := net.Pipe()
	return c, nil
}

// Who holds a listener back by a deadline sees no failures, and it goes on as soon as that
// is lifted.
func TestDeadlineHoldsBack(t *testing.T) {
	l := listen(t).(*net.TCPListener)
	l.SetDeadline(time.Unix(1, 0))
	w := acceptloop.Wrap(l)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := w.Accept()
		accepted <- c
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case <-accepted:
		t.Error("accepted under a deadline that has passed")
	case <-time.After(30 * time.Millisecond):
	}
	l.SetDeadline(time.Time{})
	here := <-accepted
	if here == nil || w.Failures() != 0 {
		t.Fatalf("connection %v, %d failures", here, w.Failures())
	}
	here.Close()
}
