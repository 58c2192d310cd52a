package httpfront

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/standin"
)

// stalled is a caller's connection whose reader does not get to run once it has been brought
// bytes for the n-th time.
type stalled struct {
	*net.TCPConn
	n    int // guarded by there being one reader at a time that is brought any
	gate chan struct{}
	at   chan struct{}
}

func (s *stalled) Read(b []byte) (int, error) {
	n, err := s.TCPConn.Read(b)
	if n > 0 {
		if s.n--; s.n == 0 {
			close(s.at)
			<-s.gate
		}
	}
	return n, err
}

// The goroutine that reads a caller's connection does not get to run, be it before the
// request, inside its body or while it watches for the caller's leaving, and the caller
// leaves meanwhile. 0.1 s later whatever the request waits for is there; no attempt begins,
// first or further. Half of the callers stay, whose requests show what would be sent.
func TestNothingBeginsAfterWhoLeft(t *testing.T) {
	const callers = 8
	get1 := func(id string) string { return "GET /view/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n" }
	long := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000)
	}
	served := func(t *testing.T) *departures {
		w := newWitness(t, nil)
		d := newDepartures(t, 8<<20, inService("s-1", w.addr))
		d.seen = w
		d.ready = func(int) bool { return true }
		d.open = func() {}
		return d
	}
	held := func(t *testing.T) *departures {
		d := served(t)
		d.SetDisabled(map[string]bool{"s-1": true})
		d.ready = func(n int) bool { return d.Pool.OpenRequests() == n }
		d.open = func() { d.SetDisabled(nil) }
		return d
	}
	dialling := func(long int64) func(*testing.T) *departures {
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
	again := func(say string) func(*testing.T) *departures {
		return func(t *testing.T) *departures { return brokenOff(t, say) }
	}
	for name, c := range map[string]struct {
		rig     func(*testing.T) *departures
		text    func(id string) string
		reads   int  // of the connection until its reader does not get to run
		another bool // it has read another request, which was served, and then waits behind a read
		late    bool // it runs again as the way is opened, and not after all is over
	}{
		"unread":                     {served, get1, 1, false, true},
		"unread, after another":      {served, get1, 2, true, true},
		"body unread":                {served, long, 2, false, true},
		"held":                       {held, get1, 2, false, false},
		"dialling":                   {dialling(8 << 20), get1, 2, false, false},
		"a long body, dialling":      {dialling(1), long, 0, false, false}, // its bytes are read by nobody until then
		"a first attempt that hangs": {again(""), get1, 2, false, false},
		"half an answer":             {again("HTTP/1.1 200 OK\r\nContent-Le"), get1, 2, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := c.rig(t)
			before := d.Stats().Served
			var gone, stay []net.Conn
			var gates, ats []chan struct{}
			for i := range callers {
				conn := d.join(t, func(c2 net.Conn) net.Conn {
					if c.another {
						s := &stalled{TCPConn: c2.(*net.TCPConn), n: c.reads, gate: make(chan struct{}), at: make(chan struct{})}
						gates, ats = append(gates, s.gate), append(ats, s.at)
						return s
					}
					g := newGated(c2, c.reads)
					if c.reads > 0 {
						gates, ats = append(gates, g.gate), append(ats, g.at)
					}
					return g
				})
				if c.another {
					io.WriteString(conn, view(""))
					if status, _, err := get(bufio.NewReader(conn)); status != 200 {
						t.Fatalf("answered %d, %v, want 200", status, err)
					}
				}
				id := newID()
				d.ids[conn] = id
				io.WriteString(conn, c.text(id))
				if i%2 == 0 {
					gone = append(gone, conn)
				} else {
					stay = append(stay, conn)
				}
			}
			eventually(t, "all requests wait", func() bool { return d.ready(callers) })
			for _, at := range ats {
				<-at // the reader does not get to run from here on
			}
			for i, conn := range gone {
				if i%2 == 1 {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
			time.Sleep(100 * time.Millisecond)
			free := sync.OnceFunc(func() {
				for _, g := range gates {
					close(g)
				}
			})
			defer free()
			if c.late {
				free()
			}
			d.open()
			if !c.late { // until whatever could be sent has been
				eventually(t, "the requests of who stays are served", func() bool { return d.Stats().Served-before >= len(stay) })
				time.Sleep(50 * time.Millisecond)
				free()
			}
			for _, conn := range stay {
				if status, _, err := get(bufio.NewReader(conn)); status != 200 {
					t.Errorf("who stays is answered %d, %v, want 200", status, err)
				}
				if n := d.seen.saw(d.ids[conn]); n != 1 {
					t.Errorf("the witness has seen %d requests of one who stays, want 1", n)
				}
			}
			eventually(t, "all requests are over", func() bool { return d.Pool.OpenRequests() == 0 })
			sent := 0
			for _, conn := range gone {
				sent += d.seen.saw(d.ids[conn])
			}
			if sent > 0 {
				t.Errorf("%d of %d attempts begin after their callers left", sent, len(gone))
			}
		})
	}
}
