package httpfront

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

	"gorselink/internal/nodes"
	"gorselink/internal/pool"
)

// rig is a sidecar between a test's callers and one endpoint of its own.
type rig struct {
	*pool.Pool
	judge    *PlatformRouter
	callers  *Server
	addr     string
	requests atomic.Int64 // that reached the endpoint
	hold     chan struct{}
}

// newRig starts a sidecar that holds most callers. Its endpoint answers each
// request with the path and the body's length, once hold is nil or closed.
func newRig(t *testing.T, most int, hold chan struct{}) *rig {
	t.Helper()
	return newRigOf(t, testConfig(), most, hold)
}

// largeBody is over the protocol's bound; there is room for one at a time.
var largeBody = strings.Repeat("0123456789abcdef", 20000)

// newRigOf is newRig with settings, and with their endpoints if they name some.
// A path that ends in /now is not held.
func newRigOf(t *testing.T, cfg *testSettings, most int, hold chan struct{}) *rig {
	t.Helper()
	r := &rig{hold: hold}
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
		if r.hold != nil && !strings.HasSuffix(req.URL.Path, "/now") {
			<-r.hold
		}
		if strings.HasSuffix(req.URL.Path, "/large") {
			w.Header().Set("Content-Length", fmt.Sprint(len(largeBody)))
			io.WriteString(w, largeBody)
			return
		}
		fmt.Fprintf(w, "%s %d", req.URL.Path, n)
	})}
	go srv.Serve(endpoint)
	if len(cfg.Known.Endpoints) == 0 {
		cfg.Known.Endpoints = []nodes.Endpoint{
			{Name: "s-1", Address: endpoint.Addr().String(), Zone: "a", Status: nodes.InService},
		}
	}
	r.Pool = newPool(t, cfg)
	r.judge = NewPlatformRouter(r.Pool, testForm(cfg))
	r.callers = NewServer(r.judge, most, Timeouts{})
	l := listen()
	r.addr = l.Addr().String()
	go r.callers.Serve(l)
	t.Cleanup(func() {
		l.Close()
		srv.Close()
	})
	return r
}

func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// get reads one answer.
func get(in *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

func view(more string) string {
	return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\n" + more + "\r\n"
}

func pay(more string) string {
	return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\n" + more
}

func TestServesOnOneConnection(t *testing.T) {
	r := newRig(t, 4, nil)
	c := r.dial(t)
	in := bufio.NewReader(c)
	for _, q := range []struct{ text, want string }{
		{view(""), "/view/1 0"},
		{pay("Content-Length: 5\r\n\r\nhello"), "/pay 5"},
		{pay("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), "/pay 3"},
		{pay("Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 65536)), "/pay 65536"},
		{view("X-Budget-Ms: 1500\r\n"), "/view/1 0"},
	} {
		io.WriteString(c, q.text)
		if status, body, err := get(in); status != 200 || body != q.want {
			t.Fatalf("answer %d %q, %v, want 200 %q", status, body, err, q.want)
		}
	}
}

// Answers past the protocol's bound are passed on, and leave room for the next.
func TestLargeAnswersOneAfterAnother(t *testing.T) {
	r := newRig(t, 4, nil)
	c := r.dial(t)
	in := bufio.NewReader(c)
	for i := range 4 {
		io.WriteString(c, strings.Replace(view(""), "/view/1", "/view/large", 1))
		if status, body, err := get(in); status != 200 || body != largeBody {
			t.Fatalf("answer %d: %d with %d bytes, %v, want 200 with %d", i, status, len(body), err, len(largeBody))
		}
	}
}

// What cannot be used is answered, or closed on, and reaches no endpoint.
func TestTurnsAwayWhatCannotBeUsed(t *testing.T) {
	r := newRig(t, 64, nil)
	hidden := view("")
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"noise", "\x00\x01\x02 noise\r\n\r\n", 400},
		{"head without end", "GET /view HTTP/1.1\r\n" + strings.Repeat("X-Pad: pppppppppp\r\n", 4000), 431},
		{"no colon", view("no colon here\r\n"), 400},
		{"hidden request", pay(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)), 400},
		{"two lengths", pay("Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd"), 400},
		{"negative length", pay("Content-Length: -4\r\n\r\nabcd"), 400},
		{"huge length", pay("Content-Length: 99999999999999999\r\n\r\nabcd"), 413},
		{"bad chunk", pay("Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\nabcd\r\n0\r\n\r\n"), 400},
		{"endless chunks", pay("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 300)), 413},
		{"long body", pay("Content-Length: 8388608\r\n\r\n" + strings.Repeat("b", 8<<20)), 413},
		{"no such class", strings.Replace(view(""), "/view", "/views", 1), 404},
		{"a host in the path", strings.Replace(view(""), "/view", "//x/view", 1), 404},
		{"no id", "GET /view HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"two ids", view("X-Call-Id: 00ff\r\n"), 400},
		{"odd id", "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: a b\r\n\r\n", 400},
		{"budget no number", view("X-Budget-Ms: soon\r\n"), 400},
		{"budget empty", view("X-Budget-Ms: \r\n"), 400},
		{"budget zero", view("X-Budget-Ms: 0\r\n"), 400},
		{"budget negative", view("X-Budget-Ms: -5\r\n"), 400},
		{"budget overflow", view("X-Budget-Ms: 99999999999999999999999\r\n"), 400},
		{"method", "POST /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\nContent-Length: 0\r\n\r\n", 400},
		{"key of the wrong class", pay("Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"), 400},
		{"no host", "GET /view HTTP/1.1\r\nX-Call-Id: " + newID() + "\r\n\r\n", 400},
		{"many at once", strings.Repeat(view(""), 20), 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := r.requests.Load()
			conn := r.dial(t)
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatalf("the answer could not be had, writing: %v", err)
			}
			status, _, err := get(bufio.NewReader(conn))
			if err != nil || status != c.status {
				t.Errorf("status %d, %v, want %d", status, err, c.status)
			}
			if n := r.requests.Load() - before; n != 0 {
				t.Errorf("%d requests reached the endpoint", n)
			}
		})
	}
}

func TestHalfARequestReachesNobody(t *testing.T) {
	r := newRig(t, 4, nil)
	c := r.dial(t)
	io.WriteString(c, pay("Content-Length: 10\r\n\r\nhalf"))
	c.(*net.TCPConn).CloseWrite()
	if status, _, err := get(bufio.NewReader(c)); err == nil && status < 400 {
		t.Errorf("status %d, want an error or a close", status)
	}
	if n := r.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Silence, a slow head and a stalled body all end by themselves.
func TestStalledCallersAreLetGo(t *testing.T) {
	r := newRig(t, 8, nil)
	for name, text := range map[string]string{
		"silence": "", "slow head": "GET /view HT", "stalled body": pay("Content-Length: 10\r\n\r\nhalf"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			c := r.dial(t)
			io.WriteString(c, text)
			all, err := io.ReadAll(c)
			if err != nil {
				t.Fatalf("left with no word and no close: %v", err)
			}
			if text != "" && !strings.HasPrefix(string(all), "HTTP/1.1 408 ") {
				t.Errorf("answer %q, want 408", all)
			}
			if d := time.Since(start); d < helloTimeout/2 {
				t.Errorf("closed after %v, too soon for a slow caller", d)
			}
		})
	}
}

// An id belongs to one request, also when that one has just been answered.
func TestIDsAreNotSharedOrRepeated(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 8, hold)
	first, text := r.dial(t), pay("Content-Length: 0\r\n\r\n")
	io.WriteString(first, text)
	eventually(t, "the first at the endpoint", func() bool { return r.requests.Load() == 1 })
	again := func() {
		t.Helper()
		c := r.dial(t)
		io.WriteString(c, text)
		if status, _, err := get(bufio.NewReader(c)); status != http.StatusConflict {
			t.Errorf("the same id: status %d, %v, want 409", status, err)
		}
	}
	again()
	close(hold)
	if status, _, err := get(bufio.NewReader(first)); status != 200 {
		t.Fatalf("the first: status %d, %v, want 200", status, err)
	}
	again()
	if n := r.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

func TestSeenIDsForget(t *testing.T) {
	s := SeenIDs{retention: time.Second}
	for i := range 5 * maxIDsPerGeneration {
		if !s.recordAt(fmt.Sprint(i), 0) {
			t.Fatalf("id %d taken for one seen", i)
		}
		if n := len(s.current) + len(s.previous); n > 2*maxIDsPerGeneration {
			t.Fatalf("%d ids held", n)
		}
	}
	last := fmt.Sprint(5*maxIDsPerGeneration - 1)
	if s.recordAt(last, time.Second) || !s.recordAt(last, 3*time.Second) {
		t.Error("want an id known within the span and forgotten after two")
	}
}

// At the limit the silent give way to who asks, and a request that was taken
// is never given up.
func TestSilentConnectionsGiveWay(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 4, hold)
	busy := r.dial(t)
	io.WriteString(busy, view(""))
	eventually(t, "the first at the endpoint", func() bool { return r.requests.Load() == 1 })
	var silent sync.WaitGroup
	for range 40 {
		c := r.dial(t)
		silent.Go(func() { io.Copy(io.Discard, c) })
	}
	probe := r.dial(t)
	io.WriteString(probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _, err := get(bufio.NewReader(probe)); status != 200 {
		t.Errorf("behind silent connections: status %d, %v, want 200", status, err)
	}
	close(hold)
	if status, _, err := get(bufio.NewReader(busy)); status != 200 {
		t.Errorf("the request taken: status %d, %v, want 200", status, err)
	}
	silent.Wait()
}

// With a request open on every connection a new one is closed, not left to wait.
func TestFullMeansAClose(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 2, hold)
	defer close(hold)
	for range 2 {
		io.WriteString(r.dial(t), view(""))
	}
	eventually(t, "both at the endpoint", func() bool { return r.requests.Load() == 2 })
	c := r.dial(t)
	if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("read: %v, want the end of the connection", err)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Who sends on before the answer is there still gets the answer, and no more.
func TestTooEarlyBytesDoNotEatTheAnswer(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 4, hold)
	c := r.dial(t)
	io.WriteString(c, view(""))
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	io.WriteString(c, strings.Repeat(view(""), 2000))
	close(hold)
	in := bufio.NewReader(c)
	if status, _, err := get(in); status != 200 {
		t.Errorf("status %d, %v, want 200", status, err)
	}
	if status, _, err := get(in); err == nil {
		t.Errorf("a second answer, status %d", status)
	}
	if n := r.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

// A drain answers what was taken, tells that the connection ends, and ends.
func TestDrainAnswersWhatWasTaken(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 8, hold)
	idler := r.dial(t)
	busy := r.dial(t)
	io.WriteString(busy, view(""))
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	done := make(chan struct{})
	go func() {
		r.judge.MarkDraining()
		r.callers.Drain(time.Now().Add(patience))
		close(done)
	}()
	if _, err := idler.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	close(hold)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("answer %v, %v, want 200 and the end of the connection", resp, err)
	}
	select {
	case <-done:
	case <-time.After(patience):
		t.Error("the drain did not end")
	}
}

// Who leaves takes the request along: nothing is kept for it.
func TestLeavingEndsTheRequest(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 4, hold)
	defer close(hold)
	c := r.dial(t)
	io.WriteString(c, view(""))
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	c.Close()
	eventually(t, "nothing kept, long before the deadline", func() bool { return r.Pool.OpenRequests() == 0 })
	eventually(t, "the connection to the endpoint closed", func() bool { return r.Conns().OpenConns() == 0 })
}
