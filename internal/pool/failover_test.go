package pool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/upstream"
)

// requestCounter counts complete requests by path.
type requestCounter struct {
	mu     sync.Mutex
	byPath map[string]int
}

func (c *requestCounter) add(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPath == nil {
		c.byPath = map[string]int{}
	}
	c.byPath[path]++
}

func (c *requestCounter) count(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPath[path]
}

// newTwoNodePool returns a Pool with a healthy node and the node at otherAddr. Class 0 is
// idempotent and class 1 non-idempotent. The retry budget allows some retries.
func newTwoNodePool(t *testing.T, otherAddr string, dialTimeout time.Duration) (*Pool, *requestCounter) {
	t.Helper()
	healthy := &requestCounter{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		healthy.add(r.URL.Path)
		io.WriteString(w, "ok")
	}))
	t.Cleanup(srv.Close)
	cfg := testConfig()
	cfg.Balance.SlowStartWindow = 0
	cfg.Balance.Classes = []balance.Class{{Deadline: testTimeout, PriorityWeight: 1}, {Deadline: testTimeout, PriorityWeight: 1, Idempotency: balance.NonIdempotent}}
	cfg.Known = discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{
		{Name: "healthy", Address: srv.Listener.Addr().String(), Zone: "a", Status: discovery.InService},
		{Name: "other", Address: otherAddr, Zone: "a", Status: discovery.InService},
	}}
	conns := upstream.New(upstream.Config{DialTimeout: dialTimeout, IdleTimeout: 5 * time.Second, MaxConns: 64})
	t.Cleanup(conns.Close)
	p, err := New(cfg, conns)
	if err != nil {
		t.Fatal(err)
	}
	for range 60 {
		expired := &Request{Tenant: -1, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
		if err := p.Submit(expired); err != nil {
			t.Fatal(err)
		}
		<-expired.Response()
		p.Done(expired)
	}
	return p, healthy
}

// doClassRequest makes one request of a class and returns its outcome.
func doClassRequest(t *testing.T, p *Pool, class int, path string) Outcome {
	t.Helper()
	r := &Request{Class: class, Tenant: -1, Budget: testTimeout, Outgoing: upstream.Request{Method: "POST", URI: path, Host: "x", NonIdempotent: class == 1}}
	if err := p.Submit(r); err != nil {
		t.Fatal(err)
	}
	p.RunFirstAttempt(r)
	a := <-r.Response()
	if a.Upstream != nil {
		a.Upstream.Release()
	}
	p.Done(r)
	return a.Outcome
}

// Requests whose connection times out are sent once to the other endpoint, including
// non-idempotent ones. The first endpoint receives none of them when it accepts connections later.
func TestConnectTimeoutFailsOver(t *testing.T) {
	late, err := fakeserver.ListenFull()
	if err != nil {
		t.Fatal(err)
	}
	p, healthy := newTwoNodePool(t, late.Addr().String(), 150*time.Millisecond)
	p.SetDisabled(map[string]bool{"healthy": true}) // makes the late endpoint the first choice
	const requests = 8
	var pending sync.WaitGroup
	for i := range requests {
		pending.Go(func() {
			if v := doClassRequest(t, p, i%2, fmt.Sprint("/", i)); v != Served {
				t.Errorf("request %d: outcome %v, want it served", i, v)
			}
		})
	}
	eventually(t, "all requests are dialling", func() bool { return p.conns.OpenConns() == requests })
	p.SetDisabled(nil)
	pending.Wait()
	time.Sleep(250 * time.Millisecond) // at least 0.4 s after the first dial
	lateNode := &requestCounter{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { lateNode.add(r.URL.Path) }))
	srv.Listener.Close()
	srv.Listener = late
	if err := late.Unblock(); err != nil {
		t.Fatal(err)
	}
	srv.Start()
	defer srv.Close()
	time.Sleep(1200 * time.Millisecond) // the kernel sends the next SYN after 1 s
	for i := range requests {
		if n, m := healthy.count(fmt.Sprint("/", i)), lateNode.count(fmt.Sprint("/", i)); n != 1 || m != 0 {
			t.Errorf("request %d: ran %d times at the healthy endpoint and %d times at the late one, want 1 and 0", i, n, m)
		}
	}
}

// If an endpoint resets the connection before the end of its response, a non-idempotent request
// fails without a retry and is not reported as Rejected. An idempotent one is served by the other
// endpoint.
func TestNodeFailsDuringRequest(t *testing.T) {
	for name, response := range map[string]string{
		"before the response": "",
		"inside the header":   "HTTP/1.1 200 OK\r\nContent-Le",
		"inside the body":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			failing := &requestCounter{}
			var p *Pool
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						r, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						failing.add(r.URL.Path)
						p.SetDisabled(map[string]bool{"other": true}) // makes the healthy endpoint the next choice
						io.WriteString(c, response)
						time.Sleep(10 * time.Millisecond) // a reset at once would discard the response
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
					}()
				}
			}()
			p, healthy := newTwoNodePool(t, l.Addr().String(), time.Second)
			for class, want := range []Outcome{Served, Failed} {
				p.SetDisabled(map[string]bool{"healthy": true})
				path := fmt.Sprint("/", class)
				if v := doClassRequest(t, p, class, path); v != want {
					t.Errorf("class %d: outcome %v, want %v", class, v, want)
				}
				if n, retries := failing.count(path), healthy.count(path); n != 1 || retries != 1-class {
					t.Errorf("class %d: %d attempts at the failing endpoint and %d at the healthy one", class, n, retries)
				}
			}
		})
	}
}
