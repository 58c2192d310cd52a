package httpserver

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// blockAfterReadConn is a connection. Its n-th read that returns data does not return
// until release is closed. It simulates a reading goroutine that is not scheduled.
type blockAfterReadConn struct {
	*net.TCPConn
	n       int // not locked, because only one goroutine reads data at a time
	release chan struct{}
	blocked chan struct{} // closed once the read has its data
}

func (s *blockAfterReadConn) Read(b []byte) (int, error) {
	n, err := s.TCPConn.Read(b)
	if n > 0 {
		if s.n--; s.n == 0 {
			close(s.blocked)
			<-s.release
		}
	}
	return n, err
}

// The goroutine that reads a caller's connection is blocked when the caller disconnects: before
// the request, inside its body, or while it watches for a disconnect. No attempt may start 0.1 s
// later, when the request can proceed. Callers that stay connected show which requests are sent.
func TestNoAttemptAfterDisconnectWithBlockedReader(t *testing.T) {
	const callers = 8
	getRequest := func(id string) string { return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n" }
	postRequest := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000)
	}
	unblocked := func(t *testing.T) *disconnectHarness {
		rec := newRecorder(t, nil)
		d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("s-1", rec.addr))
		d.recorder = rec
		d.allWaiting = func(int) bool { return true }
		d.unblock = func() {}
		return d
	}
	queued := func(t *testing.T) *disconnectHarness {
		d := unblocked(t)
		d.SetDisabled(map[string]bool{"s-1": true})
		d.allWaiting = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.unblock = func() { d.SetDisabled(nil) }
		return d
	}
	dialing := func(longBodyBytes int64) func(*testing.T) *disconnectHarness {
		return func(t *testing.T) *disconnectHarness {
			l, err := fakeserver.ListenFull()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			d := newDisconnectHarness(t, longBodyBytes, inServiceEndpoint("s-1", l.Addr().String()))
			d.allWaiting = func(n int) bool { return d.Pool.OpenRequests() == n && d.Conns().OpenConns() == n }
			d.unblock = func() {
				if err := l.Unblock(); err != nil {
					t.Fatal(err)
				}
				d.recorder = newRecorder(t, l)
			}
			return d
		}
	}
	retried := func(partialResponse string) func(*testing.T) *disconnectHarness {
		return func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, partialResponse) }
	}
	for name, c := range map[string]struct {
		newHarness   func(*testing.T) *disconnectHarness
		text         func(id string) string
		blockAtRead  int  // the read at which the reading goroutine is blocked; 0 for none
		afterRequest bool // an earlier request is served first, and the read blocks after it has data
		releaseFirst bool // the reader continues before requests can proceed, not after the others are served
	}{
		"unread":                {unblocked, getRequest, 1, false, true},
		"second request unread": {unblocked, getRequest, 2, true, true},
		"body unread":           {unblocked, postRequest, 2, false, true},
		"queued":                {queued, getRequest, 2, false, false},
		"dialing":               {dialing(8 << 20), getRequest, 2, false, false},
		"long body, dialing":    {dialing(1), postRequest, 0, false, false}, // the body is not read before an attempt starts
		"first attempt hangs":   {retried(""), getRequest, 2, false, false},
		"incomplete response":   {retried("HTTP/1.1 200 OK\r\nContent-Le"), getRequest, 2, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := c.newHarness(t)
			servedBefore := d.Stats().Served
			var leaving, staying []net.Conn
			var releases, allBlocked []chan struct{}
			for i := range callers {
				conn := d.dialWrapped(t, func(serverConn net.Conn) net.Conn {
					if c.afterRequest {
						s := &blockAfterReadConn{TCPConn: serverConn.(*net.TCPConn), n: c.blockAtRead, release: make(chan struct{}), blocked: make(chan struct{})}
						releases, allBlocked = append(releases, s.release), append(allBlocked, s.blocked)
						return s
					}
					g := newBlockBeforeReadConn(serverConn, c.blockAtRead)
					if c.blockAtRead > 0 {
						releases, allBlocked = append(releases, g.release), append(allBlocked, g.blocked)
					}
					return g
				})
				if c.afterRequest {
					io.WriteString(conn, viewRequest(""))
					if status, _, err := readResponse(bufio.NewReader(conn)); status != 200 {
						t.Fatalf("earlier request: status %d, error %v, want 200", status, err)
					}
				}
				id := newID()
				d.ids[conn] = id
				io.WriteString(conn, c.text(id))
				if i%2 == 0 {
					leaving = append(leaving, conn)
				} else {
					staying = append(staying, conn)
				}
			}
			eventually(t, "all requests are waiting", func() bool { return d.allWaiting(callers) })
			for _, blocked := range allBlocked {
				<-blocked // the reader does not run from here on
			}
			for i, conn := range leaving {
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			time.Sleep(100 * time.Millisecond)
			releaseReaders := sync.OnceFunc(func() {
				for _, g := range releases {
					close(g)
				}
			})
			defer releaseReaders()
			if c.releaseFirst {
				releaseReaders()
			}
			d.unblock()
			if !c.releaseFirst { // until everything that could be sent has been sent
				eventually(t, "the requests of the remaining callers are served", func() bool { return d.Stats().Served-servedBefore >= len(staying) })
				time.Sleep(50 * time.Millisecond)
				releaseReaders()
			}
			for _, conn := range staying {
				if status, _, err := readResponse(bufio.NewReader(conn)); status != 200 {
					t.Errorf("remaining caller: status %d, error %v, want 200", status, err)
				}
				if n := d.recorder.count(d.ids[conn]); n != 1 {
					t.Errorf("endpoint received %d requests of a remaining caller, want 1", n)
				}
			}
			eventually(t, "no request is open", func() bool { return d.Pool.OpenRequests() == 0 })
			attempts := 0
			for _, conn := range leaving {
				attempts += d.recorder.count(d.ids[conn])
			}
			if attempts > 0 {
				t.Errorf("%d attempts started for %d disconnected callers, want none", attempts, len(leaving))
			}
		})
	}
}
