package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/socketstate"
)

// blockBeforeReadConn is a connection. Its n-th read does not start until release is closed. It
// simulates a reading goroutine that is not scheduled.
type blockBeforeReadConn struct {
	*net.TCPConn
	mu      sync.Mutex
	n       int
	release chan struct{}
	blocked chan struct{} // closed once the read is blocked
	readErr error         // returned by the blocked read unless nil
}

func newBlockBeforeReadConn(c net.Conn, n int) *blockBeforeReadConn {
	return &blockBeforeReadConn{TCPConn: c.(*net.TCPConn), n: n, release: make(chan struct{}), blocked: make(chan struct{})}
}

func (g *blockBeforeReadConn) Read(b []byte) (int, error) {
	g.mu.Lock()
	g.n--
	waits := g.n == 0
	g.mu.Unlock()
	if waits {
		close(g.blocked)
		<-g.release
		if g.readErr != nil {
			return 0, g.readErr
		}
	}
	return g.TCPConn.Read(b)
}

// dialWrapped opens a connection and wraps its server end with wrap.
func (r *harness) dialWrapped(t *testing.T, wrap func(net.Conn) net.Conn) net.Conn {
	t.Helper()
	c, serverConn := connected(t)
	r.server.HandleConn(wrap(serverConn))
	return c
}

// A request that arrives just as the wait for it times out is served.
func TestRequestArrivesAtWaitDeadline(t *testing.T) {
	r := newHarness(t, 4, nil)
	var g *blockBeforeReadConn
	c := r.dialWrapped(t, func(c net.Conn) net.Conn { g = newBlockBeforeReadConn(c, 1); return g })
	g.readErr = os.ErrDeadlineExceeded
	<-g.blocked
	io.WriteString(c, viewRequest(""))
	eventually(t, "the request is pending", func() bool { return socketstate.HasPendingData(g.TCPConn) })
	close(g.release)
	if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
		t.Errorf("status %d, error %v, want 200", status, err)
	}
}

// No connection is free when another one arrives, and the eviction candidate has a complete
// request unread, part of one, or one that has just been read. Each gets a response.
func TestEvictionLosesNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		blockAtRead int // the read that is blocked; 0 for none, with routing blocked instead
		first, rest string
		want        int
	}{
		"complete, unread":    {1, "", viewRequest(""), 200},
		"end of head, unread": {2, "GET /view/1 HTTP/1.1\r\nHost: x\r\n", "X-Call-Id: " + newID() + "\r\n\r\n", 408},
		"end of body, unread": {2, payRequest("Content-Length: 4\r\n\r\nab"), "cd", 408},
		"partial head":        {2, "GET /view/1 HTTP/1.1\r\n", "", 408},
		"complete, just read": {0, "", viewRequest(""), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, 1, nil)
			routing, release := make(chan struct{}), make(chan struct{})
			if c.blockAtRead == 0 {
				r.server.router = blockingRouter{r.server.router, routing, release}
			}
			var g *blockBeforeReadConn
			first := r.dialWrapped(t, func(serverConn net.Conn) net.Conn { g = newBlockBeforeReadConn(serverConn, c.blockAtRead); return g })
			io.WriteString(first, c.first)
			if c.blockAtRead > 0 {
				<-g.blocked
			}
			io.WriteString(first, c.rest)
			if c.blockAtRead == 0 {
				<-routing
			} else if c.rest != "" {
				eventually(t, "the rest of the request is pending", func() bool { return socketstate.HasPendingData(g.TCPConn) })
			}
			second := r.dial(t)
			if c.want == 200 { // no connection is evicted, and the new one is rejected
				if _, err := second.Read(make([]byte, 1)); err == nil {
					t.Error("the excess connection got data, want it closed")
				}
			} else {
				eventually(t, "the first connection is asked to close", func() bool {
					r.server.mu.Lock()
					defer r.server.mu.Unlock()
					e := r.server.conns[stateReading].Front()
					return e == nil || e.Value.closeRequested
				})
			}
			close(g.release)
			close(release)
			if status, _, err := readResponse(bufio.NewReader(first)); status != c.want {
				t.Errorf("status %d, error %v, want %d", status, err, c.want)
			}
		})
	}
}

// blockingRouter closes routing when a request arrives, and routes it once release is closed.
type blockingRouter struct {
	router           Router
	routing, release chan struct{}
}

func (b blockingRouter) ReadyStatus() int { return b.router.ReadyStatus() }

func (b blockingRouter) Route(req *Request) (*Plan, *Rejection) {
	close(b.routing)
	<-b.release
	return b.router.Route(req)
}

// StopReading responds to a request whose last bytes have arrived unread, and to requests whose
// last bytes never arrive.
func TestStopReadingRespondsToIncompleteRequests(t *testing.T) {
	r := newHarness(t, 4, nil)
	var g *blockBeforeReadConn
	complete := r.dialWrapped(t, func(c net.Conn) net.Conn { g = newBlockBeforeReadConn(c, 2); return g })
	partialHead, partialBody := r.dial(t), r.dial(t)
	io.WriteString(complete, "GET /view/1 HTTP/1.1\r\nHost: x\r\n")
	io.WriteString(partialHead, "GET /view/1 HTTP/1.1\r\n")
	io.WriteString(partialBody, payRequest("Content-Length: 9\r\n\r\nhalf"))
	<-g.blocked
	io.WriteString(complete, "X-Call-Id: "+newID()+"\r\n\r\n")
	eventually(t, "the rest of the request is pending and the others are being read", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return socketstate.HasPendingData(g.TCPConn) && r.server.conns[stateReading].Len() == 3
	})
	start := time.Now()
	r.server.StopReading()
	close(g.release)
	for name, c := range map[string]net.Conn{"complete request": complete, "partial head": partialHead, "partial body": partialBody} {
		if status, _, err := readResponse(bufio.NewReader(c)); status != 408 {
			t.Errorf("%s: status %d, error %v, want 408", name, status, err)
		}
	}
	if elapsed := time.Since(start); elapsed > requestTimeout*3/4 {
		t.Errorf("responses took %v, want them without waiting for the request timeout", elapsed)
	}
}

// A connection arrives after a drain has finished. Once the listener is closed, a second Drain
// waits for that connection.
func TestSecondDrainWaitsForLateConnection(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 4, release)
	r.server.Drain(time.Now().Add(testTimeout)) // no connection is open
	c := r.dial(t)
	io.WriteString(c, viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		time.Sleep(50 * time.Millisecond)
		close(release)
		if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
			t.Errorf("status %d, error %v, want 200", status, err)
		}
	}()
	r.server.Drain(time.Now().Add(testTimeout))
	if n := r.server.OpenConns(); n > 0 {
		t.Errorf("%d connections are open after Drain, want 0", n)
	}
	select {
	case <-responded:
	case <-time.After(testTimeout):
		t.Error("no response")
	}
}

// The process was not scheduled at the deadline of a drain. The response to an open request is
// still written, and a drain that ends in time does not wait for it.
func TestDrainAfterMissedDeadline(t *testing.T) {
	for name, missedBy := range map[string]time.Duration{"in time": 0, "late": time.Second} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			r := newHarness(t, 4, release)
			c := r.dial(t)
			io.WriteString(c, viewRequest(""))
			eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
			time.AfterFunc(missedDeadlinePeriod/10, func() { close(release) })
			r.server.Drain(time.Now().Add(-missedBy))
			if n := r.server.OpenConns(); (n == 0) != (missedBy > 0) {
				t.Errorf("%d connections are open after Drain", n)
			}
			if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
				t.Errorf("status %d, error %v, want 200", status, err)
			}
		})
	}
}

// The process that takes over the connections dies during the handover. Idle connections then
// close here, well before their idle timeout.
func TestDrainAfterFailedHandover(t *testing.T) {
	r := newHarness(t, 8, nil)
	for range 3 {
		c := r.dial(t)
		io.WriteString(c, viewRequest(""))
		if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
	}
	r.server.SetHandover(func(net.Conn, []byte) error { return errors.New("no receiving process") })
	start := time.Now()
	r.server.Drain(time.Now().Add(testTimeout))
	if elapsed := time.Since(start); elapsed > idleTimeout/2 || r.server.OpenConns() > 0 {
		t.Errorf("%d connections open after %v, want 0 before the idle timeout", r.server.OpenConns(), elapsed)
	}
}

// A reload shortens the deadlines while a request with an older deadline is open. Its id must stay
// remembered.
func TestIDsAreRememberedAfterDeadlinesShrink(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	r := newHarness(t, 8, release)
	c, text := r.dial(t), viewRequest("")
	io.WriteString(c, text)
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	form := testPlatformConfig(newTestConfig())
	for name, class := range form.Classes {
		class.Deadline = 10 * time.Millisecond
		form.Classes[name] = class
	}
	r.router.SetConfig(form)
	for range 3 { // other ids, each after more than twice the new deadline
		time.Sleep(30 * time.Millisecond)
		otherConn := r.dial(t)
		io.WriteString(otherConn, viewRequest("X-Budget-Ms: 1\r\n"))
		readResponse(bufio.NewReader(otherConn))
	}
	duplicate := r.dial(t)
	io.WriteString(duplicate, strings.Replace(text, "/view/1", "/view/now", 1))
	if status, _, err := readResponse(bufio.NewReader(duplicate)); status != 409 {
		t.Errorf("duplicate id: status %d, error %v, want 409", status, err)
	}
}
