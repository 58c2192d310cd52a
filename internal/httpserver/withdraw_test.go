package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// recorder is an endpoint that records the ids of complete requests.
type recorder struct {
	addr         string
	mu           sync.Mutex
	counts       map[string]int
	heads        map[string]int       // requests of which the head has arrived, by id
	lastArrivals map[string]time.Time // time of the last complete request by id
}

// lastArrival returns the time of the last complete request with this id, or the zero time.
func (rec *recorder) lastArrival(id string) time.Time {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.lastArrivals[id]
}

// headCount returns the number of requests with this id of which the head has arrived.
func (rec *recorder) headCount(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.heads[id]
}

// count returns the number of complete requests with this id.
func (rec *recorder) count(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.counts[id]
}

// newRecorder starts a recorder that listens on l, or on a free port if l is nil.
func newRecorder(t *testing.T, l net.Listener) *recorder {
	rec := &recorder{counts: map[string]int{}, heads: map[string]int{}, lastArrivals: map[string]time.Time{}}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rec.mu.Lock()
		rec.heads[r.Header.Get("X-Call-Id")]++
		rec.mu.Unlock()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the body is incomplete
		}
		rec.mu.Lock()
		rec.counts[r.Header.Get("X-Call-Id")]++
		rec.lastArrivals[r.Header.Get("X-Call-Id")] = time.Now()
		rec.mu.Unlock()
		io.WriteString(rw, "ok")
	}))
	if l != nil {
		srv.Listener.Close()
		srv.Listener = l
	}
	srv.Start()
	t.Cleanup(srv.Close)
	rec.addr = srv.Listener.Addr().String()
	return rec
}

// disconnectHarness is a sidecar in which requests wait until unblock is called.
type disconnectHarness struct {
	harness
	t              *testing.T
	recorder       *recorder           // the endpoint that receives requests once they can proceed
	allWaiting     func(n int) bool    // reports whether n requests are waiting
	unblock        func()              // lets waiting requests proceed
	ids            map[net.Conn]string // request id by caller connection
	handleConn     func(net.Conn)      // receives accepted connections; Server.HandleConn by default
	startAccepting func()              // starts the accept loop; later calls do nothing
}

// newDisconnectHarness starts a sidecar with these endpoints. Its memory for long bodies is
// longBodyBytes.
func newDisconnectHarness(t *testing.T, longBodyBytes int64, list ...discovery.Endpoint) *disconnectHarness {
	return newDisconnectHarnessWithReuseDelay(t, longBodyBytes, 0, list...)
}

// newDisconnectHarnessWithReuseDelay is newDisconnectHarness with a delay before a connection to an
// endpoint is used again.
func newDisconnectHarnessWithReuseDelay(t *testing.T, longBodyBytes int64, reuseDelay time.Duration, list ...discovery.Endpoint) *disconnectHarness {
	cfg := newTestConfig()
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].Deadline = 4 * testTimeout
	}
	cfg.Balance.SlowStartWindow = 0 // an endpoint that is enabled again gets its full share
	conns := upstream.New(upstream.Config{DialTimeout: testTimeout, IdleTimeout: 5 * time.Second, MaxConns: 200, LargeResponseBytes: 1 << 20, MaxStreamBytes: PlatformMaxBytes, ReuseDelay: reuseDelay})
	t.Cleanup(conns.Close)
	p, err := pool.New(pool.Config{Name: "test", Zones: map[string]int{"a": 0}, Balance: cfg.Balance,
		Known: discovery.List{Snapshot: true, Endpoints: list}, Limits: pool.Limits{BodyBytes: 8 << 20, LongBytes: longBodyBytes}}, conns)
	if err != nil {
		t.Fatal(err)
	}
	d := &disconnectHarness{harness: harness{Pool: p}, t: t, ids: map[net.Conn]string{}}
	d.router = NewPlatformRouter(p, testPlatformConfig(cfg))
	d.server = NewServer(d.router, 200, Timeouts{})
	d.handleConn = d.server.HandleConn
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d.addr = l.Addr().String()
	d.startAccepting = sync.OnceFunc(func() { go Accept(l, d.handleConn) })
	return d
}

func inServiceEndpoint(name, addr string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: addr, Zone: "a", Status: discovery.InService}
}

// A waiting request is cancelled when its caller disconnects, whatever it waits for, and is not
// forwarded. Callers that stay connected show that requests reach the endpoint. A second run
// without disconnects serves all requests.
func TestWaitingRequestsAreCancelledOnDisconnect(t *testing.T) {
	const callers = 96   // half of which disconnect
	const maxRetried = 9 // callers in cases that need retries, which the retry budget limits
	mixedRequest := func(id string, i int) string {
		if i%2 == 0 { // i counts pairs of callers, one of which disconnects, so both kinds occur in each half
			return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n"
		}
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	idempotentRequest := func(id string, _ int) string { return mixedRequest(id, 0) }
	queued := func(t *testing.T) *disconnectHarness {
		rec := newRecorder(t, nil)
		d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("s-1", rec.addr))
		d.SetDisabled(map[string]bool{"s-1": true})
		d.recorder = rec
		d.allWaiting = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.unblock = func() { d.SetDisabled(nil) }
		return d
	}
	dialing := func(t *testing.T, longBodyBytes int64) *disconnectHarness {
		l, err := fakeserver.ListenFull()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		d := newDisconnectHarness(t, longBodyBytes, inServiceEndpoint("s-1", l.Addr().String()))
		d.recorder = &recorder{}
		d.allWaiting = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.unblock = func() {
			if err := l.Unblock(); err != nil {
				t.Fatal(err)
			}
			d.recorder = newRecorder(t, l)
		}
		return d
	}
	resumed := func(newHarness func(t *testing.T) *disconnectHarness) func(t *testing.T) *disconnectHarness {
		return func(t *testing.T) *disconnectHarness {
			d := newHarness(t)
			d.handleConn = func(c net.Conn) { d.server.Resume(c, nil) }
			return d
		}
	}
	withoutMemory := func(t *testing.T) *disconnectHarness { return dialing(t, 1) }
	lengthBody := func(size int) func(id string, _ int) string {
		return func(id string, _ int) string {
			return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("b", size))
		}
	}
	chunkedBody := func(size int) func(id string, _ int) string {
		return func(id string, _ int) string {
			return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, size, strings.Repeat("b", size))
		}
	}
	const fewCallers = 8 // for whose bodies there is memory to read ahead
	cases := map[string]struct {
		newHarness func(t *testing.T) *disconnectHarness
		text       func(id string, i int) string
		earlyBytes bool // some callers send early bytes before they disconnect
		maxStaying int  // callers that stay connected; 0 for no limit
		endHidden  bool // the end may be behind more bytes than can be read ahead
	}{
		"queued": {queued, mixedRequest, true, 0, false},
		"queued on a connection that was handed over": {resumed(queued), mixedRequest, true, 0, false},
		"dialing": {func(t *testing.T) *disconnectHarness { return dialing(t, 8<<20) }, mixedRequest, true, 0, false},
		"long body, dialing": {func(t *testing.T) *disconnectHarness { return dialing(t, 1) }, func(id string, _ int) string {
			return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 100000)
		}, false, 0, false},
		"body of 200,000 bytes, dialing":               {withoutMemory, lengthBody(200_000), false, fewCallers, false},
		"body of 200,000 bytes, dialing, many callers": {withoutMemory, lengthBody(200_000), false, 0, true},
		"body of 200,000 bytes, dialing, handed over":  {resumed(withoutMemory), lengthBody(200_000), false, fewCallers, false},
		"chunked body of 200,000 bytes, dialing":       {withoutMemory, chunkedBody(200_000), false, fewCallers, false},
		"body of 2,000,000 bytes, dialing":             {withoutMemory, lengthBody(2_000_000), false, 0, true},
		"chunked body of 2,000,000 bytes, dialing":     {withoutMemory, chunkedBody(2_000_000), false, 0, true},
		"first attempt hangs":                          {func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, "") }, idempotentRequest, true, maxRetried, false},
		"incomplete response":                          {func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, "HTTP/1.1 200 OK\r\nContent-Le") }, idempotentRequest, true, maxRetried, false},
	}
	for name, c := range cases {
		for _, disconnect := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, some disconnect %t", name, disconnect), func(t *testing.T) {
				t.Parallel()
				d := c.newHarness(t)
				d.startAccepting()
				var staying, leaving []net.Conn
				n := callers
				if c.maxStaying > 0 {
					n = c.maxStaying
					if disconnect {
						n *= 2
					}
				}
				for i := range n {
					conn, id := d.dial(t), newID()
					d.ids[conn] = id
					go io.WriteString(conn, c.text(id, i/2))
					if disconnect && i%2 == 0 {
						leaving = append(leaving, conn)
					} else {
						staying = append(staying, conn)
					}
				}
				eventually(t, "all requests are waiting", func() bool { return d.allWaiting(n) })
				time.Sleep(50 * time.Millisecond) // longer than watchDelay and any write still in progress
				for i, conn := range leaving {    // all at once, by close or by reset
					if c.earlyBytes && i%3 == 1 {
						io.WriteString(conn, "x")
					}
					if c.earlyBytes && i%3 == 2 {
						io.WriteString(conn, strings.Repeat(viewRequest(""), 300))
					}
					if i%4 == 3 {
						conn.(*net.TCPConn).SetLinger(0)
					}
					conn.Close()
				}
				leftAt := time.Now()
				// The disconnects are noticed within 0.3 s, or later on a busy machine.
				time.Sleep(300 * time.Millisecond)
				for end := time.Now().Add(testTimeout / 4); d.Stats().Cancelled < len(leaving) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				elapsed := time.Since(leftAt)
				d.unblock()
				for _, conn := range staying {
					if status, _, err := readResponse(bufio.NewReader(conn)); status != 200 {
						t.Errorf("remaining caller: status %d, error %v, want 200", status, err)
					}
					if n := d.recorder.count(d.ids[conn]); n != 1 {
						t.Errorf("endpoint received %d requests of a remaining caller, want 1", n)
					}
				}
				forwarded := 0
				for _, conn := range leaving {
					forwarded += d.recorder.count(d.ids[conn])
				}
				if forwarded > 0 {
					t.Errorf("%d of %d requests were forwarded %v after their callers disconnected, want 0", forwarded, len(leaving), elapsed)
				}
				begun := 0
				for _, conn := range leaving {
					begun += d.recorder.headCount(d.ids[conn])
				}
				if begun > 0 && !c.endHidden {
					t.Errorf("attempts were begun for %d of %d callers that had disconnected, want none", begun, len(leaving))
				} else if begun > 0 {
					t.Logf("attempts were begun for %d of %d callers that had disconnected", begun, len(leaving))
				}
				if elapsed > 400*time.Millisecond {
					t.Logf("it took %v until all disconnects were noticed", elapsed)
				}
			})
		}
	}
	// An incomplete request is not forwarded when its caller disconnects.
	for name, text := range map[string]string{
		"head": "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n",
		"body": "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := newRecorder(t, nil)
			d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("s-1", rec.addr))
			d.startAccepting()
			for i := range callers {
				conn := d.dial(t)
				fmt.Fprintf(conn, text, newID())
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			eventually(t, "all connections are closed", func() bool { return d.server.OpenConns() == 0 })
			rec.mu.Lock()
			defer rec.mu.Unlock()
			if len(rec.counts) > 0 {
				t.Errorf("%d incomplete requests were forwarded, want 0", len(rec.counts))
			}
		})
	}
}

// fillRetryBudget sends requests until the retry budget allows the retries of a test.
func (d *disconnectHarness) fillRetryBudget(t *testing.T) {
	t.Helper()
	d.startAccepting()
	for range 60 {
		c := d.dial(t)
		io.WriteString(c, viewRequest(""))
		if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
		c.Close()
	}
}

// brokenAttemptHarness returns a harness whose first attempts reach an endpoint that sends
// partialResponse and resets the connection once unblock is called. Second attempts reach the
// recorder.
func brokenAttemptHarness(t *testing.T, partialResponse string) *disconnectHarness {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var hungConns []net.Conn
	go Accept(l, func(c net.Conn) {
		go func() {
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, partialResponse)
			mu.Lock()
			defer mu.Unlock()
			hungConns = append(hungConns, c)
		}()
	})
	rec := newRecorder(t, nil)
	d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("s-1", rec.addr), inServiceEndpoint("s-2", l.Addr().String()))
	d.SetDisabled(map[string]bool{"s-2": true})
	d.fillRetryBudget(t)
	d.SetDisabled(map[string]bool{"s-1": true})
	d.recorder = rec
	d.allWaiting = func(n int) bool { mu.Lock(); defer mu.Unlock(); return len(hungConns) == n }
	d.unblock = func() {
		d.SetDisabled(map[string]bool{"s-2": true})
		mu.Lock()
		defer mu.Unlock()
		for _, c := range hungConns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	return d
}
