package pool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gorselink/internal/nodes"
)

// scripted is a discovery whose calls are answered as a test says.
type scripted struct {
	*httptest.Server
	mu     sync.Mutex
	calls  int
	status string        // of the one endpoint that it lists
	hush   int           // so many calls from now on are never answered, also later
	refuse int           // so many are turned away
	cut    chan struct{} // when closed, the calls that are open are reset
	heard  chan struct{} // told of each call that is not answered
}

func newScripted(t *testing.T, address string) *scripted {
	s := &scripted{status: "in_service", heard: make(chan struct{}, 100), cut: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		hushed, refused := s.hush > 0, s.refuse > 0
		s.hush, s.refuse = max(0, s.hush-1), max(0, s.refuse-1)
		s.mu.Unlock()
		switch {
		case hushed:
			s.heard <- struct{}{}
			<-r.Context().Done()
			return
		case refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		after, watch := r.URL.Query()["after"]
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		end := time.Now().Add(wait)
		for {
			s.mu.Lock()
			index, status, cut := 7, s.status, s.cut
			s.mu.Unlock()
			if status != "in_service" {
				index = 8
			}
			if !watch || after[0] != fmt.Sprint(index) || time.Now().After(end) {
				fmt.Fprintf(w, `{"index":%d,"snapshot":%t,"endpoints":[{"name":"s-1","address":%q,"zone":"a","group":0,"status":%q,"since_ms":0}]}`, index, !watch, address, status)
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-cut:
				s.set(func() { s.cut = make(chan struct{}) })
				c, _, _ := w.(http.Hijacker).Hijack()
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *scripted) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// follows starts a pool that follows src.
func follows(t *testing.T, asked bool, src nodes.Source) *Pool {
	cfg := testConfig()
	cfg.Source = src
	if asked {
		// Failures that discovery tells are followed by waits of 3 to 15 s.
		cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval, cfg.Balance.Instances = true, time.Minute, 300
	}
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	if asked { // not after the Balancer's wait, which spreads the starts of so many
		eventually(t, "a source", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.sources) > 0 })
		p.sources[0].watchRequests <- struct{}{}
	}
	eventually(t, "the first list", p.HasList)
	return p
}

// drained tells whether the pool sends nothing to its endpoint any more.
func drained(p *Pool) func() bool {
	return func() bool {
		l := p.List().Endpoints
		return len(l) == 1 && l[0].Status == nodes.Terminating
	}
}

// An agent is silent for a while and never answers the calls of that time. What it has
// at its return counts at once: the endpoint that drains then has to be left alone 2 s
// later, whatever call was open. Seen by reading: a watch could hang for 3 s, and 1 s
// more went by before the next call.
func TestDrainRightAfterAgentReturns(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	t.Cleanup(node.Close)
	for _, calls := range []int{1, 2, 5} { // that are open, one after another, while it is silent
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, node.Listener.Addr().String())
			p := follows(t, false, nodes.NewDiscovery(s.Listener.Addr().String(), nodes.PushTimes(2*time.Second)))
			s.set(func() { s.hush = calls })
			for range calls {
				<-s.heard
			}
			// The last one has just begun, the agent is back, and the drain is told.
			back := time.Now()
			s.set(func() { s.status = "terminating" })
			eventually(t, "the drain is heard", drained(p))
			if took := time.Since(back); took > 2*time.Second {
				t.Errorf("heard %v after the agent's return, want 2 s at most", took)
			}
		})
	}
}

// All watches fall silent with a drain right behind, and so do those opened after them.
// What is missed counts as told 6 s after the first silence, and 2 s later nothing may go
// to the endpoint.
func TestWatchesFallSilentInARow(t *testing.T) {
	s := newScripted(t, "127.0.0.1:1")
	p := follows(t, false, nodes.NewDiscovery(s.Listener.Addr().String(), nodes.PushTimes(2*time.Second)))
	s.set(func() { s.hush = 4 })
	<-s.heard
	began := time.Now()
	s.set(func() { s.status = "terminating" })
	eventually(t, "the drain is heard", drained(p))
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("heard %v after the first silence, want 6 s at most", took)
	}
}

// All watches are reset, and the calls after that turned away for a while. A drain that is
// told some moments later is heard in time, as well where the reset comes right behind it.
func TestWatchesResetBeforeDrains(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, behind := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("asked %t, %v behind", asked, behind), func(t *testing.T) {
				t.Parallel()
				s := newScripted(t, "127.0.0.1:1")
				times := nodes.PushTimes(2 * time.Second)
				if asked {
					times = nodes.AskTimes()
				}
				p := follows(t, asked, nodes.NewDiscovery(s.Listener.Addr().String(), times))
				began := time.Now()
				s.set(func() {
					if !asked { // where it is asked, the wait after that is the Balancer's
						s.refuse = 6
					}
					close(s.cut)
				})
				time.Sleep(behind)
				s.set(func() { s.status = "terminating" })
				eventually(t, "the drain is heard", drained(p))
				// Asked, the reset of a connection that has been used is not yet a failure:
				// the call is made once more on a new one.
				if took := time.Since(began); took > behind+2*time.Second {
					t.Errorf("heard %v after the reset, want %v and 2 s at most", took, behind)
				}
			})
		}
	}
}

// Where discovery is asked, a watch that has fallen silent is opened anew at once: what
// it missed counts as told 2 s after its wait.
func TestAskedWatchFallsSilent(t *testing.T) {
	s := newScripted(t, "127.0.0.1:1")
	times := nodes.Times{Wait: time.Second, Answer: time.Second, List: 2 * time.Second}
	p := follows(t, true, nodes.NewDiscovery(s.Listener.Addr().String(), times))
	s.set(func() { s.hush = 1 })
	<-s.heard
	began := time.Now()
	s.set(func() { s.status = "terminating" })
	eventually(t, "the drain is heard", drained(p))
	// With the wait of the Balancer it would be 5 s at the least.
	if took := time.Since(began); took > times.Wait+2*time.Second+1500*time.Millisecond {
		t.Errorf("heard %v after the silence began, want 3 s and half of a grace of 3 s", took)
	}
}

// A reload names a discovery that turns the first calls away. What it has to tell counts
// as told 4 s after the reload, however often it is asked: the endpoint that it calls
// draining is left alone in time.
func TestReloadToABusyDiscovery(t *testing.T) {
	old, next := newScripted(t, "127.0.0.1:1"), newScripted(t, "127.0.0.1:1")
	next.status, next.refuse = "terminating", 2
	p := follows(t, true, nodes.NewDiscovery(old.Listener.Addr().String(), nodes.AskTimes()))
	began := time.Now()
	p.SetSource(nodes.NewDiscovery(next.Listener.Addr().String(), nodes.AskTimes()))
	eventually(t, "the drain is heard", drained(p))
	if took := time.Since(began); took > 4*time.Second+1500*time.Millisecond {
		t.Errorf("heard %v after the reload, want 4 s and half of a grace of 3 s", took)
	}
}

// The watches of many followers fall silent at once, and an endpoint begins to drain right
// behind: each of them opens its watch anew and has heard of it by the time at which it
// counts as told, pushed 6 s after the silence, asked 2 s after the wait.
func TestManyWatchesFallSilent(t *testing.T) {
	const many = 20
	asked := nodes.Times{Wait: time.Second, Answer: time.Second, List: 2 * time.Second}
	for _, c := range []struct {
		name  string
		asked bool
		times nodes.Times
		most  time.Duration
	}{{"pushed", false, nodes.PushTimes(2 * time.Second), 6 * time.Second}, {"asked", true, asked, asked.Wait + 2*time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, "127.0.0.1:1")
			pools := make([]*Pool, many)
			for i := range pools {
				pools[i] = follows(t, c.asked, nodes.NewDiscovery(s.Listener.Addr().String(), c.times))
			}
			s.set(func() { s.hush = many })
			for range many {
				<-s.heard
			}
			began := time.Now()
			s.set(func() { s.status = "terminating" })
			for _, p := range pools {
				eventually(t, "the drain is heard", drained(p))
			}
			if took := time.Since(began); took > c.most {
				t.Errorf("the last of %d has heard %v after the silence, want %v at most", many, took, c.most)
			}
		})
	}
}
