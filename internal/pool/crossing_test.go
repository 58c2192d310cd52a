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
	"gorselink/internal/nodes"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// runs counts what has come whole, by path.
type runs struct {
	mu sync.Mutex
	of map[string]int
}

func (r *runs) add(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of == nil {
		r.of = map[string]int{}
	}
	r.of[path]++
}

func (r *runs) count(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of[path]
}

// twoNodes is a pool before a node that serves and another one, with a class that is safe
// and one that must not run twice. It has the budget to try some requests again.
func twoNodes(t *testing.T, other string, dial time.Duration) (*Pool, *runs) {
	t.Helper()
	sound := &runs{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sound.add(r.URL.Path)
		io.WriteString(w, "ok")
	}))
	t.Cleanup(srv.Close)
	cfg := testConfig()
	cfg.Balance.RampTime = 0
	cfg.Balance.Classes = []balance.Class{{Deadline: patience, Worth: 1}, {Deadline: patience, Worth: 1, Semantics: balance.Unsafe}}
	cfg.Known = nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{
		{Name: "sound", Address: srv.Listener.Addr().String(), Zone: "a", Status: nodes.InService},
		{Name: "other", Address: other, Zone: "a", Status: nodes.InService},
	}}
	conns := upstream.New(upstream.Config{DialTimeout: dial, IdleTimeout: 5 * time.Second, MaxConns: 64})
	t.Cleanup(conns.Close)
	p, err := New(cfg, conns)
	if err != nil {
		t.Fatal(err)
	}
	for range 60 {
		none := &Request{Tenant: -1, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
		if err := p.Submit(none); err != nil {
			t.Fatal(err)
		}
		<-none.Answer()
		p.Done(none)
	}
	return p, sound
}

// one makes a request of a class to its end.
func one(t *testing.T, p *Pool, class int, path string) Verdict {
	t.Helper()
	r := &Request{Class: class, Tenant: -1, Budget: patience, Outgoing: upstream.Request{Method: "POST", URI: path, Host: "x", NonIdempotent: class == 1}}
	if err := p.Submit(r); err != nil {
		t.Fatal(err)
	}
	p.RunFirstAttempt(r)
	a := <-r.Answer()
	if a.Upstream != nil {
		a.Upstream.Release()
	}
	p.Done(r)
	return a.Verdict
}

// Connections to one of two endpoints come up later than the time that they are given.
// What was to go there goes to the other one, once, whether or not it may run twice, and
// nothing of it reaches the first one when it comes up after all.
func TestConnectionsComeUpTooLate(t *testing.T) {
	late, err := standin.ListenLate()
	if err != nil {
		t.Fatal(err)
	}
	p, sound := twoNodes(t, late.Addr().String(), 150*time.Millisecond)
	p.SetDisabled(map[string]bool{"sound": true}) // so that the first choice is the late one
	const requests = 8
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			if v := one(t, p, i%2, fmt.Sprint("/", i)); v != Served {
				t.Errorf("request %d: verdict %v, want it served", i, v)
			}
		})
	}
	eventually(t, "all are being dialled", func() bool { return p.conns.OpenConns() == requests })
	p.SetDisabled(nil)
	all.Wait()
	time.Sleep(250 * time.Millisecond) // 0.4 s after the first was dialled
	there := &runs{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { there.add(r.URL.Path) }))
	srv.Listener.Close()
	srv.Listener = late
	if err := late.Open(); err != nil {
		t.Fatal(err)
	}
	srv.Start()
	defer srv.Close()
	time.Sleep(1200 * time.Millisecond) // the kernel knocks again after 1 s
	for i := range requests {
		if n, m := sound.count(fmt.Sprint("/", i)), there.count(fmt.Sprint("/", i)); n != 1 || m != 0 {
			t.Errorf("request %d ran %d times, and %d times where it came up late", i, n, m)
		}
	}
}

// An endpoint takes a whole request and dies before it answers, inside the head of its
// answer or inside the body. What must not run twice has failed, and neither is sent again
// nor called harmless to repeat; what may is served by the other endpoint.
func TestEndpointDiesUnderARequest(t *testing.T) {
	for name, said := range map[string]string{
		"before":          "",
		"inside the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"inside the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			died := &runs{}
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
						died.add(r.URL.Path)
						p.SetDisabled(map[string]bool{"other": true}) // the next choice is the other one
						io.WriteString(c, said)
						time.Sleep(10 * time.Millisecond) // a reset would overtake what was said
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
					}()
				}
			}()
			p, sound := twoNodes(t, l.Addr().String(), time.Second)
			for class, want := range []Verdict{Served, Failed} {
				p.SetDisabled(map[string]bool{"sound": true})
				path := fmt.Sprint("/", class)
				if v := one(t, p, class, path); v != want {
					t.Errorf("class %d: verdict %v, want %v", class, v, want)
				}
				if n, again := died.count(path), sound.count(path); n != 1 || again != 1-class {
					t.Errorf("class %d: %d attempts where it died, %d elsewhere", class, n, again)
				}
			}
		})
	}
}
