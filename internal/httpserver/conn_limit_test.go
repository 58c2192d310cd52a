package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/upstream"
)

// limitedConns is the maximum number of connections in these tests.
const limitedConns = 8

// newCallerStyles are ways in which a new caller sends its request.
var newCallerStyles = map[string]func(c net.Conn, text string) error{
	"at once":                func(c net.Conn, text string) error { return sendPieces(c, text, 1, 0) },
	"first byte after 1 ms":  func(c net.Conn, text string) error { return sendLate(c, text, time.Millisecond) },
	"first byte after 10 ms": func(c net.Conn, text string) error { return sendLate(c, text, 10*time.Millisecond) },
	"in three pieces":        func(c net.Conn, text string) error { return sendPieces(c, text, 3, 3*time.Millisecond) },
}

// sendLate sends text after a delay.
func sendLate(c net.Conn, text string, delay time.Duration) error {
	time.Sleep(delay)
	return sendPieces(c, text, 1, 0)
}

// sendPieces sends text in n pieces with a pause between them.
func sendPieces(c net.Conn, text string, n int, pause time.Duration) error {
	for i := range n {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, text[len(text)*i/n:len(text)*(i+1)/n]); err != nil {
			return err
		}
	}
	return nil
}

// statusesOf connects n callers at the same time, each of which sends a request, and counts the
// statuses of the responses. An error stands in place of a status.
func (r *harness) statusesOf(t *testing.T, n int, send func(net.Conn, string) error) map[string]int {
	t.Helper()
	counts, mu, callers := map[string]int{}, sync.Mutex{}, sync.WaitGroup{}
	for range n {
		c := r.dial(t)
		callers.Go(func() {
			defer c.Close()
			result := ""
			if err := send(c, strings.Replace(viewRequest(""), "/view/1", "/view/now", 1)); err != nil {
				result = "write: " + err.Error()
			} else if status, _, err := readResponse(bufio.NewReader(c)); err != nil {
				result = "read: " + err.Error()
			} else {
				result = fmt.Sprint(status)
			}
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
		})
	}
	callers.Wait()
	return counts
}

// Callers who have left hold all connections, and their attempts hang. New callers are served all
// the same, and a caller that has only ended its sending side gets exactly one response.
func TestCallersWhoLeftMakeRoom(t *testing.T) {
	leave := map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	}
	body := strings.Repeat("b", 100_000)
	for how, leaveConn := range leave {
		for style, send := range newCallerStyles {
			for _, newCallers := range []int{1, 4} {
				t.Run(fmt.Sprintf("%s, %d new, %s", how, newCallers, style), func(t *testing.T) {
					t.Parallel()
					release := make(chan struct{})
					r := newHarness(t, limitedConns, release)
					r.Conns().SetLimits(upstream.Limits{MaxConns: limitedConns}) // as many as the sidecar has
					var left []net.Conn
					for range limitedConns {
						c := r.dial(t)
						io.WriteString(c, payRequest(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
						left = append(left, c)
					}
					eventually(t, "the endpoint has all requests", func() bool { return r.requests.Load() == limitedConns })
					for _, c := range left {
						leaveConn(c.(*net.TCPConn))
					}
					eventually(t, "all disconnects are noticed", func() bool { return r.Stats().Cancelled == limitedConns })
					if got := r.statusesOf(t, newCallers, send); got["200"] != newCallers {
						t.Errorf("%d new callers got %v, want 200", newCallers, got)
					}
					close(release)
					if how == "half-close" {
						checkFinalResponses(t, left)
					}
					eventually(t, "all memory for bodies is free", func() bool {
						return r.Pool.LongBodyBudget().Available() == r.Pool.LongBodyBudget().Total()
					})
					eventually(t, "all connections are closed", func() bool { return r.server.OpenConns() == 0 })
				})
			}
		}
	}
}

// checkFinalResponses checks that each connection gets exactly one response: status 504 where room
// was needed, or else that of the endpoint.
func checkFinalResponses(t *testing.T, conns []net.Conn) {
	t.Helper()
	final := 0
	for _, c := range conns {
		in := bufio.NewReader(c)
		status, _, err := readResponse(in)
		if status == 504 {
			final++
		} else if status != 200 {
			t.Errorf("half-closed caller: status %d, error %v, want 200 or 504", status, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("half-closed caller: error %v after the response, want EOF", err)
		}
		c.Close()
	}
	if final == 0 {
		t.Error("no half-closed caller got status 504, want at least one")
	}
}

// A caller that has ended its sending side gets the response of the endpoint while there is room.
func TestHalfClosedCallerIsServedWhereThereIsRoom(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, limitedConns, release)
	c := r.dial(t)
	io.WriteString(c, viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	c.(*net.TCPConn).CloseWrite()
	eventually(t, "the disconnect is noticed", func() bool { return r.Stats().Cancelled == 1 })
	if got := r.statusesOf(t, 1, newCallerStyles["at once"]); got["200"] != 1 {
		t.Errorf("new caller got %v, want 200", got)
	}
	close(release)
	if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
		t.Errorf("half-closed caller: status %d, error %v, want 200", status, err)
	}
}

// stalledWrite is the duration of a write from which on the sidecar does not read.
const stalledWrite = 500 * time.Millisecond

// Callers who have left hold all connections, with bodies that are streamed: the endpoint has
// received them whole, or stops reading them. New callers are served all the same.
func TestUploadersWhoLeftMakeRoom(t *testing.T) {
	for name, readsBody := range map[string]bool{"body received": true, "body not read": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			headReceived, release := make(chan struct{}, limitedConns), make(chan struct{})
			var bodiesReceived sync.WaitGroup
			if readsBody {
				bodiesReceived.Add(limitedConns)
			}
			r := streamHarnessWithLongBudget(t, 0, 100<<10, func(w http.ResponseWriter, req *http.Request) {
				if strings.HasSuffix(req.URL.Path, "/now") {
					return
				}
				headReceived <- struct{}{}
				if readsBody {
					io.Copy(io.Discard, req.Body)
					bodiesReceived.Done()
				}
				<-release
			})
			defer close(release)
			r.server.SetMaxConns(limitedConns)
			const size = 32 << 20 // more than the buffers of a connection hold
			var callers sync.WaitGroup
			for range limitedConns {
				c := r.dial(t).(*net.TCPConn)
				io.WriteString(c, payRequest(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
				<-headReceived
				callers.Go(func() {
					if !readsBody {
						c.SetLinger(0) // a close behind unread bytes is not visible, a reset is
					}
					for range size >> 20 {
						c.SetWriteDeadline(time.Now().Add(stalledWrite))
						if _, err := c.Write(make([]byte, 1<<20)); err != nil {
							break // the endpoint reads no more
						}
					}
					bodiesReceived.Wait()
					c.Close()
				})
			}
			callers.Wait()
			eventually(t, "all disconnects are noticed", func() bool { return r.connsIn(stateCallerGone) == limitedConns })
			if got := r.statusesOf(t, 4, newCallerStyles["at once"]); got["200"] != 4 {
				t.Errorf("4 new callers got %v, want 200", got)
			}
		})
	}
}

// connsIn returns the number of connections in a state.
func (r *harness) connsIn(state connState) int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return r.server.conns[state].Len()
}

// fillConns opens n connections with requests that the endpoint does not answer until release is
// closed.
func (r *harness) fillConns(t *testing.T, n int) {
	t.Helper()
	for range n {
		io.WriteString(r.dial(t), viewRequest(""))
	}
	eventually(t, "the endpoint has all requests", func() bool { return r.requests.Load() == int64(n) })
}

// Callers who stay hold all connections. A new caller gets a complete rejection whenever its
// request arrives, and readiness checks are answered.
func TestRequestIsRejectedWhenAllAreActive(t *testing.T) {
	for style, send := range newCallerStyles {
		t.Run(style, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			r := newHarness(t, limitedConns, release)
			r.fillConns(t, limitedConns)
			if got := r.statusesOf(t, 1, send); got["503"] != 1 {
				t.Errorf("new caller got %v, want 503", got)
			}
			probe := r.dial(t)
			if err := send(probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				t.Errorf("readiness check: %v", err)
			}
			if status, _, err := readResponse(bufio.NewReader(probe)); status != 200 {
				t.Errorf("readiness check: status %d, error %v, want 200", status, err)
			}
		})
	}
}

// A body that is still to come does not reset the connection before its caller has the rejection.
func TestRejectionPrecedesBody(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	r := newHarness(t, limitedConns, release)
	r.fillConns(t, limitedConns)
	c := r.dial(t)
	body := strings.Repeat("b", 300_000)
	if err := sendPieces(c, payRequest(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)), 3, 3*time.Millisecond); err != nil {
		t.Errorf("write: %v", err)
	}
	if status, _, err := readResponse(bufio.NewReader(c)); status != 503 {
		t.Errorf("status %d, error %v, want 503", status, err)
	}
}

// A caller is answered although many silent connections have arrived before, each of which could
// hold up the accept loop for connRejectionTimeout.
func TestSilentConnectionsDoNotDelayOthers(t *testing.T) {
	const silent = 200
	release := make(chan struct{})
	defer close(release)
	r := newHarness(t, limitedConns, release)
	r.fillConns(t, limitedConns)
	for range silent {
		r.dial(t)
	}
	start := time.Now()
	if got := r.statusesOf(t, 1, newCallerStyles["at once"]); got["503"] != 1 {
		t.Errorf("new caller got %v, want 503", got)
	}
	if took := time.Since(start); took >= silent*connRejectionTimeout {
		t.Errorf("the response took %v behind %d silent connections, want less than %v", took, silent, silent*connRejectionTimeout)
	}
}

// One place is left when several callers connect at the same time. One of them is served, and
// the others get a complete rejection: none is closed before its first byte to make room for another.
func TestNewCallersDoNotReplaceEachOther(t *testing.T) {
	const newCallers = 4
	for style, send := range newCallerStyles {
		t.Run(style, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			r := newHarness(t, limitedConns, release)
			r.fillConns(t, limitedConns-1)
			got := r.statusesOf(t, newCallers, send)
			if got["200"] == 0 || got["200"]+got["503"] != newCallers {
				t.Errorf("%d new callers got %v, want 200 for one or more and 503 for the others", newCallers, got)
			}
		})
	}
}

// Idle connections fill the limit when several callers connect at the same time. All of them are
// served.
func TestNewCallersReplaceIdleConnections(t *testing.T) {
	const newCallers = 4
	for style, send := range newCallerStyles {
		t.Run(style, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, limitedConns, nil)
			for range limitedConns {
				c := r.dial(t)
				io.WriteString(c, viewRequest(""))
				if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
					t.Fatalf("status %d, error %v, want 200", status, err)
				}
			}
			if got := r.statusesOf(t, newCallers, send); got["200"] != newCallers {
				t.Errorf("%d new callers got %v, want 200", newCallers, got)
			}
		})
	}
}

// Connections without a request close after their first-byte period if others need the room, and
// do not displace the idle connections of callers.
func TestSilentConnectionsSpareIdleOnes(t *testing.T) {
	r := newHarness(t, limitedConns, nil)
	idle := r.dial(t)
	in := bufio.NewReader(idle)
	request := func() {
		t.Helper()
		io.WriteString(idle, viewRequest(""))
		if status, _, err := readResponse(in); status != 200 {
			t.Fatalf("caller with an idle connection: status %d, error %v, want 200", status, err)
		}
	}
	request()
	for range 10 * limitedConns {
		r.dial(t)
	}
	request()
	eventually(t, "no connection is open beyond the limit", func() bool { return r.server.OpenConns() <= limitedConns })
	request()
}
