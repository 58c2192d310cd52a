package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/sock"
)

// Whatever ends a connection, a request that has been read is answered first, whole: served,
// or told what became of it. What has not been read may be sent once more.
func TestEveryCloseAnswersWhatWasRead(t *testing.T) {
	const some = 100 * time.Millisecond // for what must not happen
	for name, way := range map[string]func(t *testing.T) (conn net.Conn, want int){
		"gives way as its first request has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 1)
			r.dial(t)
			r.awaitHurry(t)
			free()
			return conn, 200
		},
		"gives way as its second request has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 2)
			r.dial(t)
			r.awaitHurry(t)
			free()
			return conn, 200
		},
		"gives way as its rejection is held back": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn := r.dial(t)
			in := bufio.NewReader(conn)
			for range 2 {
				io.WriteString(conn, strings.Replace(view(""), "/view", "/none", 1))
				if status, _, err := get(in); status != 404 {
					t.Fatalf("answered %d, %v, want 404", status, err)
				}
			}
			io.WriteString(conn, strings.Replace(view(""), "/view", "/none", 1))
			eventually(t, "the answer waits", func() bool {
				r.callers.mu.Lock()
				defer r.callers.mu.Unlock()
				return r.callers.conns[stateRejected].Len() == 1
			})
			r.dial(t)
			return conn, 404
		},
		"finds no place": func(t *testing.T) (net.Conn, int) {
			r, free := fullRig(t)
			defer free()
			conn := r.dial(t)
			io.WriteString(conn, view(""))
			return readWhole(t, conn), 503
		},
		"finds no place, with more behind": func(t *testing.T) (net.Conn, int) {
			r, free := fullRig(t)
			defer free()
			text := pay("Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
			return readWhole(t, r.joinWritten(t, text)), 503
		},
		"finds no place, handed over": func(t *testing.T) (net.Conn, int) {
			r, free := fullRig(t)
			defer free()
			conn, here := connected(t)
			r.callers.Resume(here, []byte(view("")))
			return readWhole(t, conn), 503
		},
		"meets a fault before it is sent on": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			r.callers.router = faultyJudge{}
			conn := r.dial(t)
			io.WriteString(conn, view(""))
			return conn, 503
		},
		"meets a fault once it may have run": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn := r.join(t, func(c net.Conn) net.Conn { return &faultyWriter{TCPConn: c.(*net.TCPConn)} })
			io.WriteString(conn, view(""))
			return conn, 500
		},
		"meets a fault while it is watched": func(t *testing.T) (net.Conn, int) {
			hold := make(chan struct{})
			r := newRig(t, 1, hold)
			conn := r.join(t, func(c net.Conn) net.Conn { return &faultyWriter{TCPConn: c.(*net.TCPConn)} })
			io.WriteString(conn, view(""))
			eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
			time.Sleep(2 * watchDelay)
			close(hold)
			return conn, 500
		},
		"bad bytes, and more behind": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			return r.joinWritten(t, "\x00 noise\r\n\r\n"+strings.Repeat("x", 40000)), 400
		},
		"the last answer, and more behind": func(t *testing.T) (net.Conn, int) {
			hold := make(chan struct{})
			r := newRig(t, 1, hold)
			conn := r.dial(t)
			io.WriteString(conn, view("Connection: close\r\n"))
			eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
			io.WriteString(conn, strings.Repeat("x", 40000))
			close(hold)
			return readWhole(t, conn), 200
		},
		"a drain as it has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 1)
			go r.callers.Drain(time.Now().Add(patience))
			time.Sleep(some)
			free()
			return conn, 200
		},
		"a drain as the second has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 2)
			go r.callers.Drain(time.Now().Add(patience))
			time.Sleep(some)
			free()
			return conn, 200
		},
		"the end as it has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 1)
			r.callers.SetResponseDeadline(time.Now())
			r.callers.StopReading()
			free()
			return conn, 503
		},
		"a handover as it has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			conn, free := r.readAndHeld(t, 2)
			r.callers.SetHandover(func(_ net.Conn, ahead []byte) error {
				if len(ahead) > 0 {
					t.Errorf("passed on with %d bytes that have been read", len(ahead))
				}
				return errors.New("nobody there")
			})
			free()
			return conn, 200
		},
		"its wait ends as it has been read": func(t *testing.T) (net.Conn, int) {
			r := newRig(t, 1, nil)
			r.callers.timeouts = Timeouts{Hello: some / 2, Request: requestTimeout, Idle: some / 2}
			conn, free := r.readAndHeld(t, 2)
			time.Sleep(some)
			free()
			return conn, 200
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, want := way(t)
			in := bufio.NewReader(conn)
			if status, _, err := get(in); status != want {
				t.Errorf("answered %d, %v, want %d", status, err, want)
			}
			if !strings.Contains(name, "more behind") {
				return
			}
			// Bytes that nobody has read make a close a reset, which eats the answer of who is
			// slower to read than this client.
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("behind the answer: %v, want the end", err)
			}
		})
	}
}

// fullRig is a rig with one place, on which a request is out until it is freed.
func fullRig(t *testing.T) (r *rig, free func()) {
	t.Helper()
	hold := make(chan struct{})
	r = newRig(t, 1, hold)
	io.WriteString(r.dial(t), view(""))
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	return r, func() { close(hold) }
}

// readAndHeld is a connection whose n-th request has been read, and whoever reads it does
// not get to run until it is freed.
func (r *rig) readAndHeld(t *testing.T, n int) (conn net.Conn, free func()) {
	t.Helper()
	s := &stalled{n: n, gate: make(chan struct{}), at: make(chan struct{})}
	conn = r.join(t, func(c net.Conn) net.Conn { s.TCPConn = c.(*net.TCPConn); return s })
	in := bufio.NewReader(conn)
	for range n - 1 {
		io.WriteString(conn, view(""))
		if status, _, err := get(in); status != 200 {
			t.Fatalf("answered %d, %v, want 200", status, err)
		}
	}
	io.WriteString(conn, view(""))
	<-s.at
	return conn, func() { close(s.gate) }
}

// awaitHurry waits until a connection is asked to give way.
func (r *rig) awaitHurry(t *testing.T) {
	t.Helper()
	eventually(t, "it is asked to give way", func() bool {
		r.callers.mu.Lock()
		defer r.callers.mu.Unlock()
		for st := range stateActive {
			if e := r.callers.conns[st].Front(); e != nil && e.Value.closeRequested {
				return true
			}
		}
		return false
	})
}

// joinWritten is join with a connection on which all of text has come before it is taken.
func (r *rig) joinWritten(t *testing.T, text string) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r.callers.HandleConn(here)
	return c
}

// readWhole waits until the other side of conn has ended before anything is read, as a
// client would that is late: a reset would eat what it has not read.
func readWhole(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	eventually(t, "the connection ends", func() bool { return sock.NewPoller(conn).State() == sock.Closed })
	return conn
}

// faultyJudge fails on every request.
type faultyJudge struct{}

func (faultyJudge) ReadyStatus() int { return 200 }

func (faultyJudge) Route(*Request) (*Plan, *Rejection) { panic("a planted fault") }

// faultyWriter fails on the first write.
type faultyWriter struct {
	*net.TCPConn
	wrote atomic.Bool
}

func (w *faultyWriter) Write(b []byte) (int, error) {
	if !w.wrote.Swap(true) {
		panic("a planted fault")
	}
	return w.TCPConn.Write(b)
}
