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

// Requests in quick succession get extra connections, so that few wait for the reuse delay,
// but not if connections would expire before they are reused.
func TestExtraConnections(t *testing.T) {
	const reuseDelay, interval = 20 * time.Millisecond, 5 * time.Millisecond
	for name, c := range map[string]struct {
		idleTimeout time.Duration // of the endpoint
		extra       bool
	}{
		"long idle timeout":  {10 * time.Second, true},
		"short idle timeout": {50 * time.Millisecond, false}, // too short for minUsesPerConn requests on two connections
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
			defer srv.Close()
			p := New(Config{DialTimeout: testTimeout, IdleTimeout: c.idleTimeout, MaxConns: 50, ReuseDelay: reuseDelay})
			defer p.Close()
			p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
			waits := int64(0)
			for i := range 150 {
				before := p.reuseWaits.Load()
				resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(testTimeout), nil)
				if result != balance.OK {
					t.Fatalf("%v", result)
				}
				resp.Release()
				if i >= 100 {
					waits += p.reuseWaits.Load() - before
				}
				time.Sleep(interval)
			}
			t.Logf("%d of the last 50 requests waited, %d connections", waits, p.OpenConns())
			if c.extra && (waits > 10 || p.OpenConns() < 2) {
				t.Errorf("%d of the last 50 requests waited, %d connections; want at most 10 waits and at least 2 connections", waits, p.OpenConns())
			}
			if !c.extra && p.OpenConns() > 1 {
				t.Errorf("%d connections, want no extra ones", p.OpenConns())
			}
		})
	}
}

// BenchmarkReuseDelay reports how many of a hundred requests wait for the reuse delay, and how
// many connections are dialled, at a mean rate of 1,000 requests a second with exponential
// gaps.
func BenchmarkReuseDelay(b *testing.B) {
	for _, nodes := range []int{1, 4, 24, 100} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var dialled atomic.Int64
			p := New(Config{DialTimeout: testTimeout, IdleTimeout: 250 * time.Millisecond, MaxConns: 400, ReuseDelay: 5 * time.Millisecond})
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
			var requests sync.WaitGroup
			sendRequests := func(n int) {
				next := time.Now()
				for range n {
					time.Sleep(time.Until(next))
					requests.Go(func() {
						resp, result := p.Do(new(Call), fmt.Sprint(rand.IntN(nodes)), &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(testTimeout), nil)
						if result != balance.OK {
							b.Errorf("%v", result)
							return
						}
						resp.Release()
					})
					next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Millisecond)))
				}
			}
			sendRequests(1000)
			waitsBefore, dialledBefore := p.reuseWaits.Load(), dialled.Load()
			b.ResetTimer()
			sendRequests(b.N)
			requests.Wait()
			b.ReportMetric(100*float64(p.reuseWaits.Load()-waitsBefore)/float64(b.N), "waits/100")
			b.ReportMetric(100*float64(dialled.Load()-dialledBefore)/float64(b.N), "dialled/100")
			b.ReportMetric(float64(p.OpenConns()), "conns")
		})
	}
}
