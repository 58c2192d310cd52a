package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/socketstate"
)

// Whatever closes a connection, a request that has been read gets a complete response. A caller
// without a response may retry a request that has run.
func TestEveryCloseRespondsToReadRequests(t *testing.T) {
	const settleTime = 100 * time.Millisecond // for the close to take effect while the reader is blocked
	for name, setup := range map[string]func(t *testing.T) (conn net.Conn, want int){
		"evicted after reading the first request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 1)
			r.dial(t)
			r.awaitCloseRequest(t)
			unblock()
			return conn, 200
		},
		"evicted after reading the second request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 2)
			r.dial(t)
			r.awaitCloseRequest(t)
			unblock()
			return conn, 200
		},
		"evicted while its rejection is delayed": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn := r.dial(t)
			in := bufio.NewReader(conn)
			for range 2 {
				io.WriteString(conn, strings.Replace(viewRequest(""), "/view", "/none", 1))
				if status, _, err := readResponse(in); status != 404 {
					t.Fatalf("status %d, error %v, want 404", status, err)
				}
			}
			io.WriteString(conn, strings.Replace(viewRequest(""), "/view", "/none", 1))
			eventually(t, "the rejection is delayed", func() bool {
				r.server.mu.Lock()
				defer r.server.mu.Unlock()
				return r.server.conns[stateRejected].Len() == 1
			})
			r.dial(t)
			return conn, 404
		},
		"rejected": func(t *testing.T) (net.Conn, int) {
			r, unblock := fullHarness(t)
			defer unblock()
			conn := r.dial(t)
			io.WriteString(conn, viewRequest(""))
			return awaitPeerClose(t, conn), 503
		},
		"rejected, followed by unread input": func(t *testing.T) (net.Conn, int) {
			r, unblock := fullHarness(t)
			defer unblock()
			text := payRequest("Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
			return awaitPeerClose(t, r.dialWithPendingInput(t, text)), 503
		},
		"rejected after a handover": func(t *testing.T) (net.Conn, int) {
			r, unblock := fullHarness(t)
			defer unblock()
			conn, serverConn := connected(t)
			r.server.Resume(serverConn, []byte(viewRequest("")))
			return awaitPeerClose(t, conn), 503
		},
		"panic before the request is forwarded": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			r.server.router = panickingRouter{}
			conn := r.dial(t)
			io.WriteString(conn, viewRequest(""))
			return conn, 503
		},
		"panic after the request may have run": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn := r.dialWrapped(t, func(c net.Conn) net.Conn { return &panickingConn{TCPConn: c.(*net.TCPConn)} })
			io.WriteString(conn, viewRequest(""))
			return conn, 500
		},
		"panic while the caller is watched": func(t *testing.T) (net.Conn, int) {
			release := make(chan struct{})
			r := newHarness(t, 1, release)
			conn := r.dialWrapped(t, func(c net.Conn) net.Conn { return &panickingConn{TCPConn: c.(*net.TCPConn)} })
			io.WriteString(conn, viewRequest(""))
			eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
			time.Sleep(2 * watchDelay)
			close(release)
			return conn, 500
		},
		"invalid request, followed by unread input": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			return r.dialWithPendingInput(t, "\x00 noise\r\n\r\n"+strings.Repeat("x", 40000)), 400
		},
		"last response, followed by unread input": func(t *testing.T) (net.Conn, int) {
			release := make(chan struct{})
			r := newHarness(t, 1, release)
			conn := r.dial(t)
			io.WriteString(conn, viewRequest("Connection: close\r\n"))
			eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
			io.WriteString(conn, strings.Repeat("x", 40000))
			close(release)
			return awaitPeerClose(t, conn), 200
		},
		"drain after reading the first request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 1)
			go r.server.Drain(time.Now().Add(testTimeout))
			time.Sleep(settleTime)
			unblock()
			return conn, 200
		},
		"drain after reading the second request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 2)
			go r.server.Drain(time.Now().Add(testTimeout))
			time.Sleep(settleTime)
			unblock()
			return conn, 200
		},
		"reading stopped after reading the request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 1)
			r.server.SetResponseDeadline(time.Now())
			r.server.StopReading()
			unblock()
			return conn, 503
		},
		"handover after reading the request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			conn, unblock := r.connBlockedAfterRead(t, 2)
			r.server.SetHandover(func(_ net.Conn, ahead []byte) error {
				if len(ahead) > 0 {
					t.Errorf("connection was handed over with %d bytes already read", len(ahead))
				}
				return errors.New("no receiving process")
			})
			unblock()
			return conn, 200
		},
		"idle timeout after reading the request": func(t *testing.T) (net.Conn, int) {
			r := newHarness(t, 1, nil)
			r.server.timeouts = Timeouts{Hello: settleTime / 2, Request: requestTimeout, Idle: settleTime / 2}
			conn, unblock := r.connBlockedAfterRead(t, 2)
			time.Sleep(settleTime)
			unblock()
			return conn, 200
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, want := setup(t)
			in := bufio.NewReader(conn)
			if status, _, err := readResponse(in); status != want {
				t.Errorf("status %d, error %v, want %d", status, err, want)
			}
			if !strings.Contains(name, "followed by unread input") {
				return
			}
			// Closing a connection with unread input resets it, and a slow caller loses the
			// response.
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("after the response: error %v, want EOF", err)
			}
		})
	}
}

// fullHarness returns a harness whose only connection has an open request until unblock is called.
func fullHarness(t *testing.T) (r *harness, unblock func()) {
	t.Helper()
	release := make(chan struct{})
	r = newHarness(t, 1, release)
	io.WriteString(r.dial(t), viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	return r, func() { close(release) }
}

// connBlockedAfterRead returns a connection after its n-th request has been read. The goroutine that
// read it is blocked until unblock is called.
func (r *harness) connBlockedAfterRead(t *testing.T, n int) (conn net.Conn, unblock func()) {
	t.Helper()
	s := &blockAfterReadConn{n: n, release: make(chan struct{}), blocked: make(chan struct{})}
	conn = r.dialWrapped(t, func(c net.Conn) net.Conn { s.TCPConn = c.(*net.TCPConn); return s })
	in := bufio.NewReader(conn)
	for range n - 1 {
		io.WriteString(conn, viewRequest(""))
		if status, _, err := readResponse(in); status != 200 {
			t.Fatalf("earlier request: status %d, error %v, want 200", status, err)
		}
	}
	io.WriteString(conn, viewRequest(""))
	<-s.blocked
	return conn, func() { close(s.release) }
}

// awaitCloseRequest waits until a connection is asked to close.
func (r *harness) awaitCloseRequest(t *testing.T) {
	t.Helper()
	eventually(t, "a connection is asked to close", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for st := range stateActive {
			if e := r.server.conns[st].Front(); e != nil && e.Value.closeRequested {
				return true
			}
		}
		return false
	})
}

// dialWithPendingInput opens a connection on which all of text has arrived before the server
// receives it.
func (r *harness) dialWithPendingInput(t *testing.T, text string) net.Conn {
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
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	serverConn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r.server.HandleConn(serverConn)
	return c
}

// awaitPeerClose waits until the server has closed its end of conn. Nothing has been read by then,
// as with a slow caller, so a reset would lose the response.
func awaitPeerClose(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	eventually(t, "the server closes the connection", func() bool { return socketstate.NewPoller(conn).State() == socketstate.Closed })
	return conn
}

// panickingRouter panics on every request.
type panickingRouter struct{}

func (panickingRouter) ReadyStatus() int { return 200 }

func (panickingRouter) Route(*Request) (*Plan, *Rejection) { panic("test panic") }

// panickingConn panics on the first write.
type panickingConn struct {
	*net.TCPConn
	wrote atomic.Bool
}

func (w *panickingConn) Write(b []byte) (int, error) {
	if !w.wrote.Swap(true) {
		panic("test panic")
	}
	return w.TCPConn.Write(b)
}
