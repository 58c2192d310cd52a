package pool

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/upstream"
)

// If the connection for an attempt is established late, the attempt is sent only if the decision
// for it is still valid: not if the endpoint has begun to drain, or no longer deduplicates the retry.
func TestAttemptIsConfirmedAfterSlowConnect(t *testing.T) {
	for name, c := range map[string]struct {
		isRetry             bool // a first attempt fails at another endpoint
		drainsMeanwhile     bool
		deduplicationWindow time.Duration // time in which the endpoint deduplicates repeated requests
		wantRequests        int64         // at the late endpoint
	}{
		"unchanged":       {false, false, time.Hour, 1},
		"drain":           {false, true, time.Hour, 0},
		"retry in time":   {true, false, time.Hour, 1},
		"retry too late":  {true, false, 300 * time.Millisecond, 0},
		"retry and drain": {true, true, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late, err := fakeserver.ListenFull()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { late.Close() })
			firstReceived := make(chan struct{})
			abortFirst := make(chan struct{})
			aborting := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(firstReceived)
				select {
				case <-abortFirst:
				case <-r.Context().Done(): // the attempt has ended
				}
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(aborting.Close)
			cfg := testConfig()
			cfg.Balance.SlowStartWindow = 0
			cfg.Balance.Classes = []balance.Class{{Deadline: testTimeout, PriorityWeight: 1, Idempotency: balance.IdempotentByKey, DeduplicationWindow: c.deduplicationWindow}}
			cfg.Known = discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{{Name: "late", Address: late.Addr().String(), Zone: "a", Status: discovery.InService}}}
			if c.isRetry {
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, discovery.Endpoint{Name: "aborting", Address: aborting.Listener.Addr().String(), Zone: "a", Status: discovery.InService})
			}
			conns := upstream.New(upstream.Config{DialTimeout: testTimeout, IdleTimeout: 5 * time.Second, MaxConns: 32})
			t.Cleanup(conns.Close)
			p, err := New(cfg, conns)
			if err != nil {
				t.Fatal(err)
			}
			if c.isRetry {
				p.SetDisabled(map[string]bool{"late": true})
			}
			r := &Request{Tenant: -1, Budget: testTimeout, Outgoing: upstream.Request{Method: "POST", URI: "/", Host: "x"}}
			for range 10 { // each request adds to the retry budget
				expired := &Request{Tenant: -1, Outgoing: r.Outgoing}
				if err := p.Submit(expired); err != nil {
					t.Fatal(err)
				}
				<-expired.Response()
				p.Done(expired)
			}
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			go p.RunFirstAttempt(r)
			if c.isRetry {
				select {
				case <-firstReceived:
				case <-time.After(testTimeout):
					t.Fatal("timed out waiting for: the first attempt has reached its endpoint")
				}
				p.SetDisabled(map[string]bool{"aborting": true}) // the retry goes to the late endpoint
				close(abortFirst)
			}
			eventually(t, "the late endpoint is being dialled", func() bool {
				_, mostConns := conns.ConnStats()
				return mostConns == 1 && (!c.isRetry || p.Stats().LaterAttempts > 0)
			})
			time.Sleep(400 * time.Millisecond) // longer than the shorter deduplicationWindow
			if c.drainsMeanwhile {
				p.SetDisabled(map[string]bool{"late": true, "aborting": true})
			}
			var received atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			srv.Listener.Close()
			srv.Listener = late
			if err := late.Unblock(); err != nil {
				t.Fatal(err)
			}
			srv.Start()
			t.Cleanup(srv.Close)
			var a Response
			select {
			case a = <-r.Response():
			case <-time.After(testTimeout / 2): // the request waits for an endpoint
				p.Close()
				a = <-r.Response()
			}
			if a.Upstream != nil {
				a.Upstream.Release()
			}
			if n := received.Load(); n != c.wantRequests {
				t.Errorf("the late endpoint received %d requests, want %d", n, c.wantRequests)
			}
			if served := a.Outcome == Served; served != (c.wantRequests == 1) {
				t.Errorf("outcome %v, want Served only if the late endpoint is to receive the request", a.Outcome)
			}
		})
	}
}
