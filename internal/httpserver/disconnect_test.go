package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/http1"
	"gorselink/internal/socketstate"
)

// attemptCutoff is how long after the disconnect of its client an attempt may still start.
const attemptCutoff = 100 * time.Millisecond

// A client closes or resets its connection while its request waits, with the goroutine that reads
// the connection running or blocked. No attempt may be complete at an endpoint more than
// attemptCutoff later. Clients that stay connected show what the endpoint receives.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	const clients = 8
	// Early bytes that fill the receive buffer, so that the close behind them is not visible.
	flood := strings.Repeat("e", 160<<10)
	getRequest := func(id string) string { return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n" }
	postRequest := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000)
	}
	chunkedPost := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + strings.Repeat("b", 20000) + "\r\n0\r\n\r\n"
	}
	for name, w := range map[string]struct {
		newHarness     func(*testing.T) *disconnectHarness
		text           func(id string) string
		earlyBytes     string // sent right before the disconnect
		blockAtRead    int    // the read at which the reading goroutine is blocked; 0 for none
		blockAfterRead bool   // the goroutine is blocked after the read, not before it
		releaseFirst   bool   // it continues before requests can proceed, not after the others are served
		resume         bool   // another process has read the request and handed the connection over
	}{
		"queued":                             {newHarness: queuedHarness, text: getRequest},
		"queued, reader blocked":             {newHarness: queuedHarness, text: getRequest, blockAtRead: 2},
		"queued, early byte":                 {newHarness: queuedHarness, text: getRequest, earlyBytes: "x"},
		"queued, early byte, reader blocked": {newHarness: queuedHarness, text: getRequest, earlyBytes: "x", blockAtRead: 2},
		"queued, flooded":                    {newHarness: queuedHarness, text: getRequest, earlyBytes: flood},
		"queued, flooded, reader blocked":    {newHarness: queuedHarness, text: getRequest, earlyBytes: flood, blockAtRead: 2},
		"dialing, reader blocked":            {newHarness: dialingHarness(8 << 20), text: getRequest, blockAtRead: 2},
		"dialing, flooded":                   {newHarness: dialingHarness(8 << 20), text: getRequest, earlyBytes: flood, blockAtRead: 2},
		"connections in reuse delay":         {newHarness: reuseDelayHarness, text: getRequest, blockAtRead: 2},
		"attempt hangs":                      {newHarness: func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, "") }, text: getRequest, blockAtRead: 2},
		"attempt hangs, flooded":             {newHarness: func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, "") }, text: getRequest, earlyBytes: flood, blockAtRead: 2},
		"incomplete response":                {newHarness: func(t *testing.T) *disconnectHarness { return brokenAttemptHarness(t, "HTTP/1.1 200 OK\r\nContent-Le") }, text: getRequest, blockAtRead: 2},
		"rejected, then dialing":             {newHarness: rejectedHarness, text: getRequest, blockAtRead: 2},
		"unread":                             {newHarness: unblockedHarness, text: getRequest, blockAtRead: 1, releaseFirst: true},
		"unread, flooded":                    {newHarness: unblockedHarness, text: getRequest, earlyBytes: flood, blockAtRead: 1, releaseFirst: true},
		"blocked after read":                 {newHarness: unblockedHarness, text: getRequest, blockAtRead: 1, blockAfterRead: true, releaseFirst: true},
		"blocked after read, flooded":        {newHarness: unblockedHarness, text: getRequest, earlyBytes: flood, blockAtRead: 1, blockAfterRead: true, releaseFirst: true},
		"body unread":                        {newHarness: unblockedHarness, text: postRequest, blockAtRead: 2, releaseFirst: true},
		"blocked after body read":            {newHarness: unblockedHarness, text: postRequest, blockAtRead: 2, blockAfterRead: true, releaseFirst: true},
		"long body waits":                    {newHarness: dialingHarness(1), text: postRequest},
		"long body waits, early byte":        {newHarness: dialingHarness(1), text: postRequest, earlyBytes: "x"},
		"long body waits, flooded":           {newHarness: dialingHarness(1), text: postRequest, earlyBytes: flood},
		"long chunked body waits":            {newHarness: dialingHarness(1), text: chunkedPost, earlyBytes: flood},
		"blocked within long body":           {newHarness: streamingHarness, text: postRequest, blockAtRead: 2, blockAfterRead: true, releaseFirst: true},
		"handed over, queued":                {newHarness: queuedHarness, text: getRequest, resume: true, blockAtRead: 1},
		"handed over, flooded":               {newHarness: queuedHarness, text: getRequest, earlyBytes: flood, resume: true, blockAtRead: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := w.newHarness(t)
			servedBefore := d.Stats().Served
			var leaving, staying []net.Conn
			var releases, allBlocked []chan struct{}
			for i := range clients {
				id := newID()
				conn := d.connect(t, func(serverConn net.Conn) net.Conn {
					release, blocked, wrapped := blockReads(serverConn, w.blockAtRead, w.blockAfterRead)
					if release != nil {
						releases, allBlocked = append(releases, release), append(allBlocked, blocked)
					}
					return wrapped
				}, w.resume, w.text(id))
				conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
				d.ids[conn] = id
				if !w.resume {
					io.WriteString(conn, w.text(id))
				}
				if i%2 == 0 {
					leaving = append(leaving, conn)
				} else {
					staying = append(staying, conn)
				}
			}
			eventually(t, "all requests are waiting", func() bool { return d.allWaiting(clients) })
			for _, blocked := range allBlocked {
				<-blocked // the reader does not run from here on
			}
			for i, conn := range leaving {
				io.WriteString(conn, w.earlyBytes)
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			leftAt := time.Now()
			time.Sleep(attemptCutoff)
			releaseReaders := sync.OnceFunc(func() {
				for _, release := range releases {
					close(release)
				}
			})
			defer releaseReaders()
			if w.releaseFirst {
				releaseReaders()
			}
			d.unblock()
			if !w.releaseFirst {
				eventually(t, "the requests of the remaining clients are served", func() bool { return d.Stats().Served-servedBefore >= len(staying) })
				releaseReaders()
			}
			for _, conn := range staying {
				if status, _, err := readResponse(bufio.NewReader(conn)); status != 200 {
					t.Errorf("remaining client: status %d, error %v, want 200", status, err)
				}
			}
			eventually(t, "no request is open", func() bool { return d.Pool.OpenRequests() == 0 })
			for _, conn := range staying {
				if n := d.recorder.count(d.ids[conn]); n != 1 {
					t.Errorf("endpoint received %d requests of a remaining client, want 1", n)
				}
			}
			for i, conn := range leaving {
				if arrival := d.recorder.lastArrival(d.ids[conn]); arrival.Sub(leftAt) > attemptCutoff {
					t.Errorf("client %d: an attempt arrived %v after the disconnect", i, arrival.Sub(leftAt))
				}
			}
		})
	}
}

// blockReads wraps c so that its reader is blocked before the n-th read or, if after is set, after
// the n-th read that returns data. With n 0 it returns c unchanged.
func blockReads(c net.Conn, n int, blockAfterRead bool) (release, blocked chan struct{}, conn net.Conn) {
	if n == 0 {
		return nil, nil, c
	}
	if blockAfterRead {
		s := &blockAfterReadConn{TCPConn: c.(*net.TCPConn), n: n, release: make(chan struct{}), blocked: make(chan struct{})}
		return s.release, s.blocked, s
	}
	g := newBlockBeforeReadConn(c, n)
	return g.release, g.blocked, g
}

// connect opens a connection and wraps its server end with wrap. If resume is set, the connection
// is handed over with ahead already read.
func (d *disconnectHarness) connect(t *testing.T, wrap func(net.Conn) net.Conn, resume bool, ahead string) net.Conn {
	t.Helper()
	c, serverConn := connected(t)
	if resume {
		d.server.Resume(wrap(serverConn), []byte(ahead))
	} else {
		d.server.HandleConn(wrap(serverConn))
	}
	return c
}

// unblockedHarness returns a harness in which requests do not wait.
func unblockedHarness(t *testing.T) *disconnectHarness {
	rec := newRecorder(t, nil)
	d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("s-1", rec.addr))
	d.recorder, d.unblock = rec, func() {}
	d.allWaiting = func(int) bool { return true }
	return d
}

// streamingHarness returns a harness that forwards bodies while they arrive.
func streamingHarness(t *testing.T) *disconnectHarness {
	rec := newRecorder(t, nil)
	d := newDisconnectHarness(t, 1, inServiceEndpoint("s-1", rec.addr))
	d.recorder, d.unblock = rec, func() {}
	d.allWaiting = func(int) bool { return true }
	return d
}

// queuedHarness returns a harness without an available endpoint until unblock is called.
func queuedHarness(t *testing.T) *disconnectHarness {
	d := unblockedHarness(t)
	d.SetDisabled(map[string]bool{"s-1": true})
	d.allWaiting = func(n int) bool { return d.Pool.OpenRequests() == n }
	d.unblock = func() { d.SetDisabled(nil) }
	return d
}

// dialingHarness returns a harness with an endpoint that accepts connections only once unblock is called.
func dialingHarness(longBodyBytes int64) func(*testing.T) *disconnectHarness {
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

// reuseDelayHarness returns a harness with one connection per client to its endpoint. None may be
// reused until after the clients have disconnected.
func reuseDelayHarness(t *testing.T) *disconnectHarness {
	rec := newRecorder(t, nil)
	d := newDisconnectHarnessWithReuseDelay(t, 8<<20, 4*attemptCutoff, inServiceEndpoint("s-1", rec.addr))
	d.recorder, d.unblock = rec, func() {}
	d.SetDisabled(map[string]bool{"s-1": true})
	var conns []net.Conn
	for range 8 {
		c := d.dialWrapped(t, func(c net.Conn) net.Conn { return c })
		io.WriteString(c, viewRequest(""))
		conns = append(conns, c)
	}
	eventually(t, "each request waits for a connection", func() bool { return d.Pool.OpenRequests() == len(conns) })
	d.SetDisabled(nil)
	for _, c := range conns {
		if status, _, err := readResponse(bufio.NewReader(c)); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
		c.Close()
	}
	d.allWaiting = func(int) bool { return true }
	return d
}

// rejectedHarness returns a harness in which one endpoint rejects all requests once it has received
// them. The endpoint for the next attempts accepts connections only once unblock is called.
func rejectedHarness(t *testing.T) *disconnectHarness {
	var mu sync.Mutex
	received, rejectNow := 0, make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		received++
		mu.Unlock()
		<-rejectNow
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(srv.Close)
	lateListener, err := fakeserver.ListenFull()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lateListener.Close() })
	d := newDisconnectHarness(t, 8<<20, inServiceEndpoint("late", lateListener.Addr().String()),
		inServiceEndpoint("rejects", srv.Listener.Addr().String()), inServiceEndpoint("first", newRecorder(t, nil).addr))
	d.SetDisabled(map[string]bool{"late": true, "rejects": true})
	d.fillRetryBudget(t)
	d.SetDisabled(map[string]bool{"late": true, "first": true})
	d.unblock = func() {
		if err := lateListener.Unblock(); err != nil {
			t.Fatal(err)
		}
		d.recorder = newRecorder(t, lateListener)
	}
	rejectAll := sync.OnceFunc(func() {
		d.SetDisabled(map[string]bool{"rejects": true, "first": true})
		close(rejectNow)
	})
	t.Cleanup(rejectAll)
	d.allWaiting = func(n int) bool {
		mu.Lock()
		all := received == n
		mu.Unlock()
		if all {
			rejectAll()
		}
		return d.Stats().LaterAttempts == n
	}
	return d
}

// A whole streamed body may have been unread since its caller disconnected, with no goroutine
// watching. The read of its last bytes then fails. It also fails if extra bytes follow the body,
// because they may hide a disconnect.
func TestStreamedBodyReadDetectsDisconnect(t *testing.T) {
	for _, c := range []struct {
		name, framingField, text, extra string
		disconnects                     bool
		want                            error
	}{
		{"connected", "Content-Length: 4", "body", "", false, nil},
		{"disconnected", "Content-Length: 4", "body", "", true, errCallerLeft},
		{"disconnected after extra byte", "Content-Length: 4", "body", "x", true, errCallerLeft},
		{"extra byte", "Content-Length: 4", "body", "x", false, errUnexpectedBytes},
		{"chunked, connected", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "", false, nil},
		{"chunked, disconnected", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "", true, errCallerLeft},
		{"chunked, extra byte", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "x", false, errUnexpectedBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			serverConn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer serverConn.Close()
			caller := newCallerConn(NewServer(nil, 1, Timeouts{}), serverConn)
			fmt.Fprintf(client, "POST /pay HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s%s", c.framingField, c.text, c.extra)
			head, err := http1.PeekHead(caller.in)
			if err != nil {
				t.Fatal(err)
			}
			if err := caller.req.ParseRequest(head); err != nil {
				t.Fatal(err)
			}
			caller.in.Discard(len(head))
			if c.disconnects {
				client.Close()
				eventually(t, "the disconnect is visible", func() bool { return caller.peer.State() == socketstate.Closed })
			}
			body := &checkedBody{caller, &bodyReader{in: caller.in, head: &caller.req.Head, maxBytes: 1 << 20}}
			if got, err := io.ReadAll(body); !errors.Is(err, c.want) || err == nil && string(got) != "body" {
				t.Errorf("read %q, error %v, want error %v", got, err, c.want)
			}
		})
	}
}
