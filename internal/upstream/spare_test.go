package upstream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
)

// An endpoint that is asked again and again while its connection rests is given spares, so
// that nearly no request waits; one whose idle connections are given up too soon for a
// spare to be of use is not.
func TestSparesWhereConnectionsAreUsedAllTheTime(t *testing.T) {
	const rest, pace = 20 * time.Millisecond, 5 * time.Millisecond
	for name, c := range map[string]struct {
		idle  time.Duration // for which connections are kept
		spare bool
	}{
		"used all the time": {10 * time.Second, true},
		"soon given up":     {50 * time.Millisecond, false}, // 0.04 s, in which there are 2 requests, or 3, and no use for more
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
			defer srv.Close()
			p := New(Config{DialTimeout: patience, IdleTimeout: c.idle, MaxConns: 50, ReuseDelay: rest})
			defer p.Close()
			p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
			waits := int64(0)
			for i := range 150 {
				before := p.waits.Load()
				a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(patience), nil)
				if result != balance.OK {
					t.Fatalf("%v", result)
				}
				a.Release()
				if i >= 100 {
					waits += p.waits.Load() - before
				}
				time.Sleep(pace)
			}
			t.Logf("%d of the last 50 requests waited, %d connections", waits, p.OpenConns())
			if c.spare && (waits > 10 || p.OpenConns() < 2) {
				t.Errorf("%d of the last 50 requests waited, %d connections; want nearly none to wait", waits, p.OpenConns())
			}
			if !c.spare && p.OpenConns() > 1 {
				t.Errorf("%d connections, want no spares that nobody would use", p.OpenConns())
			}
		})
	}
}

// BenchmarkRest is how many of a hundred requests wait for a connection that rests, and how
// many connections are dialled for it: 1,000 a second, as they come, over 24 endpoints,
// with the sidecar's rest and time for idle connections.
func BenchmarkRest(b *testing.B) {
	for _, nodes := range []int{1, 4, 24, 100} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var dialled atomic.Int64
			p := New(Config{DialTimeout: patience, IdleTimeout: 250 * time.Millisecond, MaxConns: 400, ReuseDelay: 5 * time.Millisecond})
			defer p.Close()
			for i := range nodes {
				srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
				srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
					if s == http.StateNew {
						dialled.Add(1)
					}
				}
				srv.Start()
				defer srv.Close()
				p.Set(fmt.Sprint(i), Target{Address: srv.Listener.Addr().String()})
			}
			var all sync.WaitGroup
			ask := func(n int) {
				next := time.Now()
				for range n {
					time.Sleep(time.Until(next))
					all.Go(func() {
						a, result := p.Do(new(Call), fmt.Sprint(rand.IntN(nodes)), &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(patience), nil)
						if result != balance.OK {
							b.Errorf("%v", result)
							return
						}
						a.Release()
					})
					next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Millisecond)))
				}
			}
			ask(1000)
			was, before := p.waits.Load(), dialled.Load()
			b.ResetTimer()
			ask(b.N)
			all.Wait()
			b.ReportMetric(100*float64(p.waits.Load()-was)/float64(b.N), "waits/100")
			b.ReportMetric(100*float64(dialled.Load()-before)/float64(b.N), "dialled/100")
			b.ReportMetric(float64(p.OpenConns()), "conns")
		})
	}
}
