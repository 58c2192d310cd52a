package httpfront

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

	"gorselink/internal/nodes"
	"gorselink/internal/pool"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// witness is an endpoint that remembers the ids that have come whole.
type witness struct {
	addr string
	mu   sync.Mutex
	ids  map[string]int
	last map[string]time.Time // when an id has come whole the last time
}

// lastSaw is when an id has come whole the last time, zero for never.
func (w *witness) lastSaw(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[id]
}

func (w *witness) saw(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ids[id]
}

// newWitness starts a witness, at l if there is one.
func newWitness(t *testing.T, l net.Listener) *witness {
	w := &witness{ids: map[string]int{}, last: map[string]time.Time{}}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // its last byte has not come
		}
		w.mu.Lock()
		w.ids[r.Header.Get("X-Call-Id")]++
		w.last[r.Header.Get("X-Call-Id")] = time.Now()
		w.mu.Unlock()
		io.WriteString(rw, "ok")
	}))
	if l != nil {
		srv.Listener.Close()
		srv.Listener = l
	}
	srv.Start()
	t.Cleanup(srv.Close)
	w.addr = srv.Listener.Addr().String()
	return w
}

// departures is a sidecar in which requests wait in some way, until their way is opened.
type departures struct {
	rig
	t     *testing.T
	seen  *witness            // where they get to, if they do
	ready func(n int) bool    // n requests wait
	open  func()              // the way, for those that still wait
	ids   map[net.Conn]string // of who is there
	via   func(net.Conn)      // how connections come, Server.HandleConn unless it is set
	serve func()              // from the first call on
}

func newDepartures(t *testing.T, long int64, list ...nodes.Endpoint) *departures {
	return newRestingDepartures(t, long, 0, list...)
}

// newRestingDepartures is newDepartures with connections to endpoints that rest for a while.
func newRestingDepartures(t *testing.T, long int64, rest time.Duration, list ...nodes.Endpoint) *departures {
	cfg := testConfig()
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].Deadline = 4 * patience
	}
	cfg.Balance.RampTime = 0 // what comes back is not cold
	conns := upstream.New(upstream.Config{DialTimeout: patience, IdleTimeout: 5 * time.Second, MaxConns: 200, LargeResponseBytes: 1 << 20, MaxStreamBytes: PlatformMaxBytes, ReuseDelay: rest})
	t.Cleanup(conns.Close)
	p, err := pool.New(pool.Config{Name: "test", Zones: map[string]int{"a": 0}, Balance: cfg.Balance,
		Known: nodes.List{Snapshot: true, Endpoints: list}, Limits: pool.Limits{BodyBytes: 8 << 20, LongBytes: long}}, conns)
	if err != nil {
		t.Fatal(err)
	}
	d := &departures{rig: rig{Pool: p}, t: t, ids: map[net.Conn]string{}}
	d.judge = NewPlatformRouter(p, testForm(cfg))
	d.callers = NewServer(d.judge, 200, Timeouts{})
	d.via = d.callers.HandleConn
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d.addr = l.Addr().String()
	d.serve = sync.OnceFunc(func() { go Accept(l, d.via) })
	return d
}

func inService(name, addr string) nodes.Endpoint {
	return nodes.Endpoint{Name: name, Address: addr, Zone: "a", Status: nodes.InService}
}

// Who leaves takes the request along, wherever it waits and however it leaves: nothing is
// sent on for it 0.3 s later. In each case half of the callers stay, whose requests show
// that the witness sees what is sent, and two thirds of the others send more than they
// should before they go. A second run, in which nobody leaves, has all of them served.
func TestNothingIsSentOnForWhoLeft(t *testing.T) {
	const callers = 96 // a case, of which half leave: 210 in the six ways to wait
	const few = 9      // where the budget allows no more to be tried again
	usual := func(id string, i int) string {
		if i%2 == 0 { // safe and unsafe alike, two of each kind in a row
			return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n"
		}
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	safe := func(id string, _ int) string { return usual(id, 0) }
	held := func(t *testing.T) *departures {
		w := newWitness(t, nil)
		d := newDepartures(t, 8<<20, inService("s-1", w.addr))
		d.SetDisabled(map[string]bool{"s-1": true})
		d.seen = w
		d.ready = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.open = func() { d.SetDisabled(nil) }
		return d
	}
	dialling := func(t *testing.T, long int64) *departures {
		l, err := standin.ListenLate()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		d := newDepartures(t, long, inService("s-1", l.Addr().String()))
		d.seen = &witness{}
		d.ready = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.open = func() {
			if err := l.Open(); err != nil {
				t.Fatal(err)
			}
			d.seen = newWitness(t, l)
		}
		return d
	}
	cases := map[string]struct {
		rig  func(t *testing.T) *departures
		text func(id string, i int) string
		more bool // early bytes may follow
		most int  // that stay; all if 0
	}{
		"held": {held, usual, true, 0},
		"held on a connection that was handed over": {func(t *testing.T) *departures {
			d := held(t)
			d.via = func(c net.Conn) { d.callers.Resume(c, nil) }
			return d
		}, usual, true, 0},
		"dialling": {func(t *testing.T) *departures { return dialling(t, 8<<20) }, usual, true, 0},
		"a long body, dialling": {func(t *testing.T) *departures { return dialling(t, 1) }, func(id string, _ int) string {
			return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 100000)
		}, false, 0},
		"a first attempt that hangs": {func(t *testing.T) *departures { return brokenOff(t, "") }, safe, true, few},
		"half an answer":             {func(t *testing.T) *departures { return brokenOff(t, "HTTP/1.1 200 OK\r\nContent-Le") }, safe, true, few},
	}
	for name, c := range cases {
		for _, leave := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, some leave %t", name, leave), func(t *testing.T) {
				t.Parallel()
				d := c.rig(t)
				d.serve()
				var stay, gone []net.Conn
				n := callers
				if c.most > 0 {
					n = c.most
					if leave {
						n *= 2
					}
				}
				for i := range n {
					conn, id := d.dial(t), newID()
					d.ids[conn] = id
					go io.WriteString(conn, c.text(id, i/2))
					if leave && i%2 == 0 {
						gone = append(gone, conn)
					} else {
						stay = append(stay, conn)
					}
				}
				eventually(t, "all requests wait", func() bool { return d.ready(n) })
				time.Sleep(50 * time.Millisecond) // past watchDelay, and a write that was still under way
				for i, conn := range gone {       // a burst, as ends and as resets
					if c.more && i%3 == 1 {
						io.WriteString(conn, "x")
					}
					if c.more && i%3 == 2 {
						io.WriteString(conn, strings.Repeat(view(""), 300))
					}
					if i%4 == 3 {
						conn.(*net.TCPConn).SetLinger(0)
					}
					conn.Close()
				}
				left := time.Now()
				// At 0.3 s, or when a machine that is busy with other things has come to it.
				time.Sleep(300 * time.Millisecond)
				for end := time.Now().Add(patience / 4); d.Stats().Withdrawn < len(gone) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				noticed := time.Since(left)
				d.open()
				for _, conn := range stay {
					if status, _, err := get(bufio.NewReader(conn)); status != 200 {
						t.Errorf("who stays is answered %d, %v, want 200", status, err)
					}
					if n := d.seen.saw(d.ids[conn]); n != 1 {
						t.Errorf("the witness has seen %d requests of one who stays, want 1", n)
					}
				}
				sent := 0
				for _, conn := range gone {
					sent += d.seen.saw(d.ids[conn])
				}
				if sent > 0 {
					t.Errorf("%d of %d requests are sent on %v after their callers left", sent, len(gone), noticed)
				}
				if noticed > 400*time.Millisecond {
					t.Logf("%v until all departures were noticed", noticed)
				}
			})
		}
	}
	// What has not come whole goes nowhere, whoever leaves.
	for name, text := range map[string]string{
		"head": "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n",
		"body": "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWitness(t, nil)
			d := newDepartures(t, 8<<20, inService("s-1", w.addr))
			d.serve()
			for i := range callers {
				conn := d.dial(t)
				fmt.Fprintf(conn, text, newID())
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			eventually(t, "all are gone", func() bool { return d.callers.OpenConns() == 0 })
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.ids) > 0 {
				t.Errorf("%d requests are sent on that never came whole", len(w.ids))
			}
		})
	}
}

// earnRetries has requests served whose shares make up the budget of what is tried again.
func (d *departures) earnRetries(t *testing.T) {
	t.Helper()
	d.serve()
	for range 60 {
		c := d.dial(t)
		io.WriteString(c, view(""))
		if status, _, err := get(bufio.NewReader(c)); status != 200 {
			t.Fatalf("answered %d, %v, want 200", status, err)
		}
		c.Close()
	}
}

// brokenOff is a first attempt at an endpoint that has it whole and then breaks off, having
// said so much; the second would go to the witness.
func brokenOff(t *testing.T, say string) *departures {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var hung []net.Conn
	go Accept(l, func(c net.Conn) {
		go func() {
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, say)
			mu.Lock()
			defer mu.Unlock()
			hung = append(hung, c)
		}()
	})
	w := newWitness(t, nil)
	d := newDepartures(t, 8<<20, inService("s-1", w.addr), inService("s-2", l.Addr().String()))
	d.SetDisabled(map[string]bool{"s-2": true})
	d.earnRetries(t)
	d.SetDisabled(map[string]bool{"s-1": true})
	d.seen = w
	d.ready = func(n int) bool { mu.Lock(); defer mu.Unlock(); return len(hung) == n }
	d.open = func() {
		d.SetDisabled(map[string]bool{"s-2": true})
		mu.Lock()
		defer mu.Unlock()
		for _, c := range hung {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	return d
}
