package httpfront

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

	"gorselink/internal/framing"
	"gorselink/internal/sock"
	"gorselink/internal/standin"
)

// goneAfter is how long after its client has left an attempt may still begin.
const goneAfter = 100 * time.Millisecond

// A client leaves, by an end or a reset, while its request waits in any way there is, and
// whoever reads its connection does not get to run meanwhile, or does. No attempt is whole
// at an endpoint more than 0.1 s after that, first or further. Half of the clients stay;
// their requests show what the endpoint would have seen.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	const clients = 8
	// Early bytes that fill the buffers of the connection, so that no end shows behind them.
	flood := strings.Repeat("e", 160<<10)
	get1 := func(id string) string { return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n" }
	long := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000)
	}
	chunked := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + strings.Repeat("b", 20000) + "\r\n0\r\n\r\n"
	}
	for name, w := range map[string]struct {
		rig    func(*testing.T) *departures
		text   func(id string) string
		early  string // sent by who leaves, right before
		reads  int    // of the connection until its reader does not get to run; 0 for never
		after  bool   // it does not get to run behind its read, not before it
		late   bool   // it runs again as the way is opened, not once all is over
		resume bool   // another process has passed the connection on, having read the request
	}{
		"queued":                            {rig: queuedWay, text: get1},
		"queued, nobody watches":            {rig: queuedWay, text: get1, reads: 2},
		"queued, more sent":                 {rig: queuedWay, text: get1, early: "x"},
		"queued, more sent, nobody watches": {rig: queuedWay, text: get1, early: "x", reads: 2},
		"queued, flooded":                   {rig: queuedWay, text: get1, early: flood},
		"queued, flooded, nobody watches":   {rig: queuedWay, text: get1, early: flood, reads: 2},
		"dialling, nobody watches":          {rig: diallingWay(8 << 20), text: get1, reads: 2},
		"dialling, flooded":                 {rig: diallingWay(8 << 20), text: get1, early: flood, reads: 2},
		"connections rest":                  {rig: restingWay, text: get1, reads: 2},
		"an attempt hangs":                  {rig: func(t *testing.T) *departures { return brokenOff(t, "") }, text: get1, reads: 2},
		"an attempt hangs, flooded":         {rig: func(t *testing.T) *departures { return brokenOff(t, "") }, text: get1, early: flood, reads: 2},
		"half an answer":                    {rig: func(t *testing.T) *departures { return brokenOff(t, "HTTP/1.1 200 OK\r\nContent-Le") }, text: get1, reads: 2},
		"rejected, then dialling":           {rig: rejectedWay, text: get1, reads: 2},
		"unread":                            {rig: openWay, text: get1, reads: 1, late: true},
		"unread, flooded":                   {rig: openWay, text: get1, early: flood, reads: 1, late: true},
		"read, and held up":                 {rig: openWay, text: get1, reads: 1, after: true, late: true},
		"read, and held up, flooded":        {rig: openWay, text: get1, early: flood, reads: 1, after: true, late: true},
		"body unread":                       {rig: openWay, text: long, reads: 2, late: true},
		"body read, and held up":            {rig: openWay, text: long, reads: 2, after: true, late: true},
		"a long body waits":                 {rig: diallingWay(1), text: long},
		"a long body waits, more sent":      {rig: diallingWay(1), text: long, early: "x"},
		"a long body waits, flooded":        {rig: diallingWay(1), text: long, early: flood},
		"a long chunked body waits":         {rig: diallingWay(1), text: chunked, early: flood},
		"a long body stops":                 {rig: streamingWay, text: long, reads: 2, after: true, late: true},
		"handed over, queued":               {rig: queuedWay, text: get1, resume: true, reads: 1},
		"handed over, flooded":              {rig: queuedWay, text: get1, early: flood, resume: true, reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := w.rig(t)
			before := d.Stats().Served
			var gone, stay []net.Conn
			var gates, ats []chan struct{}
			for i := range clients {
				id := newID()
				conn := d.connect(t, func(here net.Conn) net.Conn {
					gate, at, held := held(here, w.reads, w.after)
					if gate != nil {
						gates, ats = append(gates, gate), append(ats, at)
					}
					return held
				}, w.resume, w.text(id))
				conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
				d.ids[conn] = id
				if !w.resume {
					io.WriteString(conn, w.text(id))
				}
				if i%2 == 0 {
					gone = append(gone, conn)
				} else {
					stay = append(stay, conn)
				}
			}
			eventually(t, "all requests wait", func() bool { return d.ready(clients) })
			for _, at := range ats {
				<-at // the reader does not get to run from here on
			}
			for i, conn := range gone {
				io.WriteString(conn, w.early)
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			left := time.Now()
			time.Sleep(goneAfter)
			free := sync.OnceFunc(func() {
				for _, gate := range gates {
					close(gate)
				}
			})
			defer free()
			if w.late {
				free()
			}
			d.open()
			if !w.late {
				eventually(t, "the requests of who stays are served", func() bool { return d.Stats().Served-before >= len(stay) })
				free()
			}
			for _, conn := range stay {
				if status, _, err := get(bufio.NewReader(conn)); status != 200 {
					t.Errorf("who stays is answered %d, %v, want 200", status, err)
				}
			}
			eventually(t, "all requests are over", func() bool { return d.Pool.OpenRequests() == 0 })
			for _, conn := range stay {
				if n := d.seen.saw(d.ids[conn]); n != 1 {
					t.Errorf("the endpoint has seen %d requests of one who stays, want 1", n)
				}
			}
			for i, conn := range gone {
				if at := d.seen.lastSaw(d.ids[conn]); at.Sub(left) > goneAfter {
					t.Errorf("client %d: an attempt is whole %v after it has left", i, at.Sub(left))
				}
			}
		})
	}
}

// held is a connection whose reader does not get to run before its n-th read, or behind
// the n-th that brings bytes.
func held(c net.Conn, n int, after bool) (gate, at chan struct{}, conn net.Conn) {
	if n == 0 {
		return nil, nil, c
	}
	if after {
		s := &stalled{TCPConn: c.(*net.TCPConn), n: n, gate: make(chan struct{}), at: make(chan struct{})}
		return s.gate, s.at, s
	}
	g := newGated(c, n)
	return g.gate, g.at, g
}

// connect makes a connection whose other end the sidecar has as wrapped by wrap, taken or, with
// what another process has read of it, resumed.
func (d *departures) connect(t *testing.T, wrap func(net.Conn) net.Conn, resume bool, ahead string) net.Conn {
	t.Helper()
	c, there := connected(t)
	if resume {
		d.callers.Resume(wrap(there), []byte(ahead))
	} else {
		d.callers.HandleConn(wrap(there))
	}
	return c
}

// openWay is one in which nothing waits at the sidecar.
func openWay(t *testing.T) *departures {
	w := newWitness(t, nil)
	d := newDepartures(t, 8<<20, inService("s-1", w.addr))
	d.seen, d.open = w, func() {}
	d.ready = func(int) bool { return true }
	return d
}

// streamingWay is one in which a body is sent on while it comes.
func streamingWay(t *testing.T) *departures {
	w := newWitness(t, nil)
	d := newDepartures(t, 1, inService("s-1", w.addr))
	d.seen, d.open = w, func() {}
	d.ready = func(int) bool { return true }
	return d
}

// queuedWay has no endpoint until it is opened.
func queuedWay(t *testing.T) *departures {
	d := openWay(t)
	d.SetDisabled(map[string]bool{"s-1": true})
	d.ready = func(n int) bool { return d.Pool.OpenRequests() == n }
	d.open = func() { d.SetDisabled(nil) }
	return d
}

// diallingWay has an endpoint whose connections come up when it is opened.
func diallingWay(long int64) func(*testing.T) *departures {
	return func(t *testing.T) *departures {
		l, err := standin.ListenLate()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		d := newDepartures(t, long, inService("s-1", l.Addr().String()))
		d.ready = func(n int) bool { return d.Pool.OpenRequests() == n && d.Conns().OpenConns() == n }
		d.open = func() {
			if err := l.Open(); err != nil {
				t.Fatal(err)
			}
			d.seen = newWitness(t, l)
		}
		return d
	}
}

// restingWay has a connection for each of some clients to its endpoint, all of which rest
// for longer than a client takes to leave.
func restingWay(t *testing.T) *departures {
	w := newWitness(t, nil)
	d := newRestingDepartures(t, 8<<20, 4*goneAfter, inService("s-1", w.addr))
	d.seen, d.open = w, func() {}
	d.SetDisabled(map[string]bool{"s-1": true})
	var first []net.Conn
	for range 8 {
		c := d.join(t, func(c net.Conn) net.Conn { return c })
		io.WriteString(c, view(""))
		first = append(first, c)
	}
	eventually(t, "requests that each want a connection", func() bool { return d.Pool.OpenRequests() == len(first) })
	d.SetDisabled(nil)
	for _, c := range first {
		if status, _, err := get(bufio.NewReader(c)); status != 200 {
			t.Fatalf("answered %d, %v, want 200", status, err)
		}
		c.Close()
	}
	d.ready = func(int) bool { return true }
	return d
}

// rejectedWay has an endpoint that rejects all requests once they are there, and for the
// next attempts another one whose connections come up when it is opened.
func rejectedWay(t *testing.T) *departures {
	var mu sync.Mutex
	there, reject := 0, make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		there++
		mu.Unlock()
		<-reject
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(srv.Close)
	late, err := standin.ListenLate()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { late.Close() })
	d := newDepartures(t, 8<<20, inService("late", late.Addr().String()),
		inService("rejects", srv.Listener.Addr().String()), inService("first", newWitness(t, nil).addr))
	d.SetDisabled(map[string]bool{"late": true, "rejects": true})
	d.earnRetries(t)
	d.SetDisabled(map[string]bool{"late": true, "first": true})
	d.open = func() {
		if err := late.Open(); err != nil {
			t.Fatal(err)
		}
		d.seen = newWitness(t, late)
	}
	rejected := sync.OnceFunc(func() {
		d.SetDisabled(map[string]bool{"rejects": true, "first": true})
		close(reject)
	})
	t.Cleanup(rejected)
	d.ready = func(n int) bool {
		mu.Lock()
		all := there == n
		mu.Unlock()
		if all {
			rejected()
		}
		return d.Stats().LaterAttempts == n
	}
	return d
}

// A body that is sent on while it comes may have lain unread, whole, since its client left,
// and its watcher may not have got to run either: the read that would bring the end of it
// says so. Bytes behind a body may hide an end, and are an error as behind a body that is held.
func TestReadOfABodyTellsWhoLeft(t *testing.T) {
	for _, c := range []struct {
		name, coding, text, behind string
		leaves                     bool
		want                       error
	}{
		{"stays", "Content-Length: 4", "body", "", false, nil},
		{"leaves", "Content-Length: 4", "body", "", true, errCallerLeft},
		{"leaves behind more", "Content-Length: 4", "body", "x", true, errCallerLeft},
		{"more", "Content-Length: 4", "body", "x", false, errUnexpectedBytes},
		{"chunked, stays", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "", false, nil},
		{"chunked, leaves", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "", true, errCallerLeft},
		{"chunked, more", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "x", false, errUnexpectedBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			there, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer there.Close()
			here, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer here.Close()
			k := newCallerConn(NewServer(nil, 1, Timeouts{}), here)
			fmt.Fprintf(there, "POST /pay HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s%s", c.coding, c.text, c.behind)
			head, err := framing.PeekHead(k.in)
			if err != nil {
				t.Fatal(err)
			}
			if err := k.req.ParseRequest(head); err != nil {
				t.Fatal(err)
			}
			k.in.Discard(len(head))
			if c.leaves {
				there.Close()
				eventually(t, "the end has come", func() bool { return k.peer.State() == sock.Closed })
			}
			body := &checkedBody{k, &bodyReader{in: k.in, head: &k.req.Head, maxBytes: 1 << 20}}
			if got, err := io.ReadAll(body); !errors.Is(err, c.want) || err == nil && string(got) != "body" {
				t.Errorf("%q, %v, want %v", got, err, c.want)
			}
		})
	}
}
