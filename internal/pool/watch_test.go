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

	"gorselink/internal/discovery"
)

// scriptedDiscovery is a discovery service with responses that a test controls.
type scriptedDiscovery struct {
	*httptest.Server
	mu                 sync.Mutex
	calls              int
	status             string        // of its only endpoint
	silentCalls        int           // number of next calls that get no response
	rejectedCalls      int           // number of next calls that are rejected
	resetCalls         chan struct{} // closing it resets the open calls
	silentCallReceived chan struct{} // receives a value for each silent call
}

// newScriptedDiscovery starts a discovery service that lists one endpoint with this address.
func newScriptedDiscovery(t *testing.T, address string) *scriptedDiscovery {
	s := &scriptedDiscovery{status: "in_service", silentCallReceived: make(chan struct{}, 100), resetCalls: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		silent, rejected := s.silentCalls > 0, s.rejectedCalls > 0
		s.silentCalls, s.rejectedCalls = max(0, s.silentCalls-1), max(0, s.rejectedCalls-1)
		s.mu.Unlock()
		switch {
		case silent:
			s.silentCallReceived <- struct{}{}
			<-r.Context().Done()
			return
		case rejected:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		after, watch := r.URL.Query()["after"]
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		end := time.Now().Add(wait)
		for {
			s.mu.Lock()
			index, status, resetCalls := 7, s.status, s.resetCalls
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
			case <-resetCalls:
				s.update(func() { s.resetCalls = make(chan struct{}) })
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

// update calls f with the mutex held.
func (s *scriptedDiscovery) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// newFollowingPool starts a Pool that follows src and waits for its first list.
func newFollowingPool(t *testing.T, onDemand bool, src discovery.Source) *Pool {
	cfg := testConfig()
	cfg.Source = src
	if onDemand {
		// After an error response the Balancer waits for 3 to 15 s.
		cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval, cfg.Balance.Instances = true, time.Minute, 300
	}
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	if onDemand { // skips the initial delay, by which the Balancer spreads the calls of many instances
		eventually(t, "a source", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.sources) > 0 })
		p.sources[0].watchRequests <- struct{}{}
	}
	eventually(t, "the first list", p.HasList)
	return p
}

// drainReceived returns a function that reports whether the only endpoint of p is draining.
func drainReceived(p *Pool) func() bool {
	return func() bool {
		l := p.List().Endpoints
		return len(l) == 1 && l[0].Status == discovery.Terminating
	}
}

// After the recovery of an agent that did not respond, a drain is received within the drain grace
// of 2 s, although the calls that were open never get a response.
func TestDrainAfterAgentRecovers(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	t.Cleanup(node.Close)
	for _, calls := range []int{1, 2, 5} { // consecutive calls without a response
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			t.Parallel()
			s := newScriptedDiscovery(t, node.Listener.Addr().String())
			p := newFollowingPool(t, false, discovery.NewDiscovery(s.Listener.Addr().String(), discovery.LocalAgentTimeouts(2*time.Second)))
			s.update(func() { s.silentCalls = calls })
			for range calls {
				<-s.silentCallReceived
			}
			// The agent recovers just after the last silent call has begun.
			recoveredAt := time.Now()
			s.update(func() { s.status = "terminating" })
			eventually(t, "the drain is received", drainReceived(p))
			if took := time.Since(recoveredAt); took > 2*time.Second {
				t.Errorf("drain received %v after the agent recovered, want at most 2 s", took)
			}
		})
	}
}

// A drain right after the first of several consecutive silent watches is received within 6 s of
// the first one.
func TestConsecutiveSilentWatches(t *testing.T) {
	s := newScriptedDiscovery(t, "127.0.0.1:1")
	p := newFollowingPool(t, false, discovery.NewDiscovery(s.Listener.Addr().String(), discovery.LocalAgentTimeouts(2*time.Second)))
	s.update(func() { s.silentCalls = 4 })
	<-s.silentCallReceived
	began := time.Now()
	s.update(func() { s.status = "terminating" })
	eventually(t, "the drain is received", drainReceived(p))
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("drain received %v after the first silent call, want at most 6 s", took)
	}
}

// A drain at the time of a watch reset, or shortly after it, is received within 2 s. Pushed lists
// are also rejected for some calls after the reset.
func TestDrainAfterWatchReset(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		for _, drainDelay := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("on demand %t, drain after %v", onDemand, drainDelay), func(t *testing.T) {
				t.Parallel()
				s := newScriptedDiscovery(t, "127.0.0.1:1")
				times := discovery.LocalAgentTimeouts(2 * time.Second)
				if onDemand {
					times = discovery.SharedServiceTimeouts()
				}
				p := newFollowingPool(t, onDemand, discovery.NewDiscovery(s.Listener.Addr().String(), times))
				began := time.Now()
				s.update(func() {
					if !onDemand { // on demand, the Balancer chooses the delay after a rejection
						s.rejectedCalls = 6
					}
					close(s.resetCalls)
				})
				time.Sleep(drainDelay)
				s.update(func() { s.status = "terminating" })
				eventually(t, "the drain is received", drainReceived(p))
				// On demand, the reset of a reused connection is not a failure: the call is
				// repeated on a new connection.
				if took := time.Since(began); took > drainDelay+2*time.Second {
					t.Errorf("drain received %v after the reset, want at most %v and 2 s", took, drainDelay)
				}
			})
		}
	}
}

// A silent on-demand watch is opened again without the delay of the Balancer, so that a drain is
// received before its grace ends.
func TestSilentOnDemandWatch(t *testing.T) {
	s := newScriptedDiscovery(t, "127.0.0.1:1")
	times := discovery.Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second}
	p := newFollowingPool(t, true, discovery.NewDiscovery(s.Listener.Addr().String(), times))
	s.update(func() { s.silentCalls = 1 })
	<-s.silentCallReceived
	began := time.Now()
	s.update(func() { s.status = "terminating" })
	eventually(t, "the drain is received", drainReceived(p))
	// With the delay of the Balancer it would take at least 5 s.
	if took := time.Since(began); took > times.LongPoll+2*time.Second+1500*time.Millisecond {
		t.Errorf("drain received %v after the silent call, want at most 3 s and half of a grace of 3 s", took)
	}
}

// After a reload to a discovery service that rejects the first calls, a drain in its list is
// received within 4 s and half of the drain grace.
func TestReloadToRejectingDiscovery(t *testing.T) {
	old, next := newScriptedDiscovery(t, "127.0.0.1:1"), newScriptedDiscovery(t, "127.0.0.1:1")
	next.status, next.rejectedCalls = "terminating", 2
	p := newFollowingPool(t, true, discovery.NewDiscovery(old.Listener.Addr().String(), discovery.SharedServiceTimeouts()))
	began := time.Now()
	p.SetSource(discovery.NewDiscovery(next.Listener.Addr().String(), discovery.SharedServiceTimeouts()))
	eventually(t, "the drain is received", drainReceived(p))
	if took := time.Since(began); took > 4*time.Second+1500*time.Millisecond {
		t.Errorf("drain received %v after the reload, want at most 4 s and half of a grace of 3 s", took)
	}
}

// If the watches of many Pools become silent at once, each Pool receives a drain that follows:
// within 6 s if lists are pushed, and within 2 s of the end of the watch if it is on demand.
func TestManySilentWatches(t *testing.T) {
	const poolCount = 20
	onDemandTimes := discovery.Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second}
	for _, c := range []struct {
		name     string
		onDemand bool
		times    discovery.Timeouts
		maxDelay time.Duration
	}{{"push", false, discovery.LocalAgentTimeouts(2 * time.Second), 6 * time.Second}, {"on demand", true, onDemandTimes, onDemandTimes.LongPoll + 2*time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedDiscovery(t, "127.0.0.1:1")
			pools := make([]*Pool, poolCount)
			for i := range pools {
				pools[i] = newFollowingPool(t, c.onDemand, discovery.NewDiscovery(s.Listener.Addr().String(), c.times))
			}
			s.update(func() { s.silentCalls = poolCount })
			for range poolCount {
				<-s.silentCallReceived
			}
			began := time.Now()
			s.update(func() { s.status = "terminating" })
			for _, p := range pools {
				eventually(t, "the drain is received", drainReceived(p))
			}
			if took := time.Since(began); took > c.maxDelay {
				t.Errorf("the last of %d Pools received the drain %v after the silent calls, want at most %v", poolCount, took, c.maxDelay)
			}
		})
	}
}
