package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/pool"
)

// harness is a sidecar between the callers of a test and one endpoint.
type harness struct {
	*pool.Pool
	router   *PlatformRouter
	server   *Server
	addr     string
	requests atomic.Int64  // received by the endpoint
	release  chan struct{} // the endpoint responds once it is closed; nil for at once
}

// newHarness starts a sidecar for at most maxConns callers. Once release is nil or closed, its
// endpoint responds to each request with the path and the length of the body.
func newHarness(t *testing.T, maxConns int, release chan struct{}) *harness {
	t.Helper()
	return newHarnessWithConfig(t, newTestConfig(), maxConns, release)
}

// largeResponse is a body over upstream.SmallResponseBytes. The memory for large responses
// holds one at a time.
var largeResponse = strings.Repeat("0123456789abcdef", 20000)

// newHarnessWithConfig is newHarness with a configuration. Endpoints that it lists replace the
// harness's own. The endpoint responds to a path that ends in /now at once.
func newHarnessWithConfig(t *testing.T, cfg *testConfig, maxConns int, release chan struct{}) *harness {
	t.Helper()
	r := &harness{release: release}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	endpoint := listen()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.requests.Add(1)
		n, _ := io.Copy(io.Discard, req.Body)
		if r.release != nil && !strings.HasSuffix(req.URL.Path, "/now") {
			<-r.release
		}
		if strings.HasSuffix(req.URL.Path, "/large") {
			w.Header().Set("Content-Length", fmt.Sprint(len(largeResponse)))
			io.WriteString(w, largeResponse)
			return
		}
		fmt.Fprintf(w, "%s %d", req.URL.Path, n)
	})}
	go srv.Serve(endpoint)
	if len(cfg.Known.Endpoints) == 0 {
		cfg.Known.Endpoints = []discovery.Endpoint{
			{Name: "s-1", Address: endpoint.Addr().String(), Zone: "a", Status: discovery.InService},
		}
	}
	r.Pool = newPool(t, cfg)
	r.router = NewPlatformRouter(r.Pool, testPlatformConfig(cfg))
	r.server = NewServer(r.router, maxConns, Timeouts{})
	l := listen()
	r.addr = l.Addr().String()
	go r.server.Serve(l)
	t.Cleanup(func() {
		l.Close()
		srv.Close()
	})
	return r
}

func (r *harness) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// readResponse reads one response.
func readResponse(in *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

func viewRequest(rest string) string {
	return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\n" + rest + "\r\n"
}

func payRequest(rest string) string {
	return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\n" + rest
}

func TestSequentialRequestsOnOneConnection(t *testing.T) {
	r := newHarness(t, 4, nil)
	c := r.dial(t)
	in := bufio.NewReader(c)
	for _, q := range []struct{ text, want string }{
		{viewRequest(""), "/view/1 0"},
		{payRequest("Content-Length: 5\r\n\r\nhello"), "/pay 5"},
		{payRequest("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), "/pay 3"},
		{payRequest("Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 65536)), "/pay 65536"},
		{viewRequest("X-Budget-Ms: 1500\r\n"), "/view/1 0"},
	} {
		io.WriteString(c, q.text)
		if status, body, err := readResponse(in); status != 200 || body != q.want {
			t.Fatalf("status %d, body %q, error %v, want 200 with body %q", status, body, err, q.want)
		}
	}
}

// The memory for a large response is released for the next one.
func TestLargeResponsesInSequence(t *testing.T) {
	r := newHarness(t, 4, nil)
	c := r.dial(t)
	in := bufio.NewReader(c)
	for i := range 4 {
		io.WriteString(c, strings.Replace(viewRequest(""), "/view/1", "/view/large", 1))
		if status, body, err := readResponse(in); status != 200 || body != largeResponse {
			t.Fatalf("response %d: status %d, %d bytes, error %v, want 200 with %d bytes", i, status, len(body), err, len(largeResponse))
		}
	}
}

// Invalid requests get an error response and are not forwarded.
func TestInvalidRequestsAreRejected(t *testing.T) {
	r := newHarness(t, 64, nil)
	hidden := viewRequest("")
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"invalid bytes", "\x00\x01\x02 noise\r\n\r\n", 400},
		{"head without end", "GET /view HTTP/1.1\r\n" + strings.Repeat("X-Pad: pppppppppp\r\n", 4000), 431},
		{"field without colon", viewRequest("no colon here\r\n"), 400},
		{"request hidden in the body", payRequest(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)), 400},
		{"conflicting lengths", payRequest("Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd"), 400},
		{"negative length", payRequest("Content-Length: -4\r\n\r\nabcd"), 400},
		{"huge length", payRequest("Content-Length: 99999999999999999\r\n\r\nabcd"), 413},
		{"bad chunk", payRequest("Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\nabcd\r\n0\r\n\r\n"), 400},
		{"too many chunks", payRequest("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 300)), 413},
		{"body too long", payRequest("Content-Length: 8388608\r\n\r\n" + strings.Repeat("b", 8<<20)), 413},
		{"unknown class", strings.Replace(viewRequest(""), "/view", "/views", 1), 404},
		{"host in the path", strings.Replace(viewRequest(""), "/view", "//x/view", 1), 404},
		{"no id", "GET /view HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"duplicate id field", viewRequest("X-Call-Id: 00ff\r\n"), 400},
		{"space in the id", "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: a b\r\n\r\n", 400},
		{"budget not a number", viewRequest("X-Budget-Ms: soon\r\n"), 400},
		{"budget empty", viewRequest("X-Budget-Ms: \r\n"), 400},
		{"budget zero", viewRequest("X-Budget-Ms: 0\r\n"), 400},
		{"budget negative", viewRequest("X-Budget-Ms: -5\r\n"), 400},
		{"budget overflow", viewRequest("X-Budget-Ms: 99999999999999999999999\r\n"), 400},
		{"wrong method", "POST /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\nContent-Length: 0\r\n\r\n", 400},
		{"key in a class without keys", payRequest("Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"), 400},
		{"no host", "GET /view HTTP/1.1\r\nX-Call-Id: " + newID() + "\r\n\r\n", 400},
		{"pipelined requests", strings.Repeat(viewRequest(""), 20), 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := r.requests.Load()
			conn := r.dial(t)
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatalf("write request: %v", err)
			}
			status, _, err := readResponse(bufio.NewReader(conn))
			if err != nil || status != c.status {
				t.Errorf("status %d, error %v, want %d", status, err, c.status)
			}
			if n := r.requests.Load() - before; n != 0 {
				t.Errorf("endpoint received %d requests, want 0", n)
			}
		})
	}
}

func TestIncompleteRequestIsNotForwarded(t *testing.T) {
	r := newHarness(t, 4, nil)
	c := r.dial(t)
	io.WriteString(c, payRequest("Content-Length: 10\r\n\r\nhalf"))
	c.(*net.TCPConn).CloseWrite()
	if status, _, err := readResponse(bufio.NewReader(c)); err == nil && status < 400 {
		t.Errorf("status %d, want an error status or a closed connection", status)
	}
	if n := r.requests.Load(); n != 0 {
		t.Errorf("endpoint received %d requests, want 0", n)
	}
}

// A caller that sends nothing, or stops within a head or body, is disconnected.
func TestStalledCallersTimeOut(t *testing.T) {
	r := newHarness(t, 8, nil)
	for name, text := range map[string]string{
		"no input": "", "slow head": "GET /view HT", "stalled body": payRequest("Content-Length: 10\r\n\r\nhalf"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			c := r.dial(t)
			io.WriteString(c, text)
			all, err := io.ReadAll(c)
			if err != nil {
				t.Fatalf("connection was not closed: %v", err)
			}
			if text != "" && !strings.HasPrefix(string(all), "HTTP/1.1 408 ") {
				t.Errorf("response %q, want status 408", all)
			}
			if d := time.Since(start); d < helloTimeout/2 {
				t.Errorf("connection closed after %v, sooner than half of helloTimeout", d)
			}
		})
	}
}

// An id cannot be used again while its request is open, nor shortly after its response.
func TestDuplicateIDsAreRejected(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 8, release)
	first, text := r.dial(t), payRequest("Content-Length: 0\r\n\r\n")
	io.WriteString(first, text)
	eventually(t, "the endpoint has the first request", func() bool { return r.requests.Load() == 1 })
	sendDuplicate := func() {
		t.Helper()
		c := r.dial(t)
		io.WriteString(c, text)
		if status, _, err := readResponse(bufio.NewReader(c)); status != http.StatusConflict {
			t.Errorf("duplicate id: status %d, error %v, want 409", status, err)
		}
	}
	sendDuplicate()
	close(release)
	if status, _, err := readResponse(bufio.NewReader(first)); status != 200 {
		t.Fatalf("first request: status %d, error %v, want 200", status, err)
	}
	sendDuplicate()
	if n := r.requests.Load(); n != 1 {
		t.Errorf("endpoint received %d requests, want 1", n)
	}
}

func TestSeenIDsExpire(t *testing.T) {
	s := SeenIDs{retention: time.Second}
	for i := range 5 * maxIDsPerGeneration {
		if !s.recordAt(fmt.Sprint(i), 0) {
			t.Fatalf("new id %d was reported as seen", i)
		}
		if n := len(s.current) + len(s.previous); n > 2*maxIDsPerGeneration {
			t.Fatalf("%d ids are remembered, more than two generations", n)
		}
	}
	last := fmt.Sprint(5*maxIDsPerGeneration - 1)
	if s.recordAt(last, time.Second) || !s.recordAt(last, 3*time.Second) {
		t.Error("want the id known at the retention time and forgotten after more than twice that")
	}
}

// When all connections are in use, a new one replaces a connection without a request. An open
// request still gets its response.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 4, release)
	busy := r.dial(t)
	io.WriteString(busy, viewRequest(""))
	eventually(t, "the endpoint has the first request", func() bool { return r.requests.Load() == 1 })
	var readers sync.WaitGroup
	for range 40 {
		c := r.dial(t)
		readers.Go(func() { io.Copy(io.Discard, c) })
	}
	probe := r.dial(t)
	io.WriteString(probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _, err := readResponse(bufio.NewReader(probe)); status != 200 {
		t.Errorf("readiness check with silent connections open: status %d, error %v, want 200", status, err)
	}
	close(release)
	if status, _, err := readResponse(bufio.NewReader(busy)); status != 200 {
		t.Errorf("open request: status %d, error %v, want 200", status, err)
	}
	readers.Wait()
}

// If every connection has an open request, a new connection that sends none is closed.
func TestConnectionIsRejectedWhenAllAreActive(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 2, release)
	defer close(release)
	for range 2 {
		io.WriteString(r.dial(t), viewRequest(""))
	}
	eventually(t, "the endpoint has both requests", func() bool { return r.requests.Load() == 2 })
	c := r.dial(t)
	if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("read error %v, want a closed connection", err)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// A caller that pipelines requests gets the response to the first one and no other.
func TestEarlyBytesDoNotLoseTheResponse(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 4, release)
	c := r.dial(t)
	io.WriteString(c, viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	io.WriteString(c, strings.Repeat(viewRequest(""), 2000))
	close(release)
	in := bufio.NewReader(c)
	if status, _, err := readResponse(in); status != 200 {
		t.Errorf("status %d, error %v, want 200", status, err)
	}
	if status, _, err := readResponse(in); err == nil {
		t.Errorf("got a second response, status %d", status)
	}
	if n := r.requests.Load(); n != 1 {
		t.Errorf("endpoint received %d requests, want 1", n)
	}
}

// A drain closes idle connections, responds to open requests with Connection: close, and
// returns.
func TestDrainRespondsToOpenRequests(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 8, release)
	idle := r.dial(t)
	busy := r.dial(t)
	io.WriteString(busy, viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	done := make(chan struct{})
	go func() {
		r.router.MarkDraining()
		r.server.Drain(time.Now().Add(testTimeout))
		close(done)
	}()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: read error %v, want EOF", err)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %v, error %v, want status 200 with Connection: close", resp, err)
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("Drain did not return")
	}
}

// A request is cancelled when its caller disconnects, and its connection to the endpoint closes.
func TestDisconnectCancelsTheRequest(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 4, release)
	defer close(release)
	c := r.dial(t)
	io.WriteString(c, viewRequest(""))
	eventually(t, "the endpoint has the request", func() bool { return r.requests.Load() == 1 })
	c.Close()
	eventually(t, "no request is open", func() bool { return r.Pool.OpenRequests() == 0 })
	eventually(t, "the connection to the endpoint is closed", func() bool { return r.Conns().OpenConns() == 0 })
}
