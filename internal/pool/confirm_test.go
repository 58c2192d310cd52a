package pool

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// A connection comes up late, and what was right when it was begun is not any more: its
// endpoint has been told to be draining, or the time has run out in which it drops a
// repeat. Nothing is sent there; a request that nothing has changed for is.
func TestLateConnectionIsAskedForAgain(t *testing.T) {
	for name, c := range map[string]struct {
		first  bool // at an endpoint that breaks it off, so that the late one is the second
		drains bool
		span   time.Duration // in which repeats are dropped
		want   int64         // requests at the late endpoint
	}{
		"nothing changes":     {false, false, time.Hour, 1},
		"it drains":           {false, true, time.Hour, 0},
		"a repeat in time":    {true, false, time.Hour, 1},
		"a repeat too late":   {true, false, 300 * time.Millisecond, 0},
		"a repeat and drains": {true, true, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late, err := standin.ListenLate()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { late.Close() })
			begun := make(chan struct{})
			breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(begun)
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(breaks.Close)
			cfg := testConfig()
			cfg.Balance.RampTime = 0
			cfg.Balance.Classes = []balance.Class{{Deadline: patience, Worth: 1, Semantics: balance.Keyed, DeduplicationWindow: c.span}}
			cfg.Known = nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{{Name: "late", Address: late.Addr().String(), Zone: "a", Status: nodes.InService}}}
			if c.first {
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, nodes.Endpoint{Name: "breaks", Address: breaks.Listener.Addr().String(), Zone: "a", Status: nodes.InService})
			}
			conns := upstream.New(upstream.Config{DialTimeout: patience, IdleTimeout: 5 * time.Second, MaxConns: 32})
			t.Cleanup(conns.Close)
			p, err := New(cfg, conns)
			if err != nil {
				t.Fatal(err)
			}
			if c.first {
				p.SetDisabled(map[string]bool{"late": true})
			}
			r := &Request{Tenant: -1, Budget: patience, Outgoing: upstream.Request{Method: "POST", URI: "/", Host: "x"}}
			for range 10 { // whose shares make up the budget of one that is tried again
				none := &Request{Tenant: -1, Outgoing: r.Outgoing}
				if err := p.Submit(none); err != nil {
					t.Fatal(err)
				}
				<-none.Answer()
				p.Done(none)
			}
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			if c.first {
				p.SetDisabled(map[string]bool{"breaks": true}) // before the first attempt is made
			}
			ended := make(chan struct{})
			go func() { p.RunFirstAttempt(r); close(ended) }()
			if c.first {
				<-begun
			}
			eventually(t, "the late connection is being dialled", func() bool {
				_, most := conns.ConnStats()
				return most == 1 && (!c.first || p.Stats().LaterAttempts > 0)
			})
			time.Sleep(400 * time.Millisecond) // over the shorter span
			if c.drains {
				p.SetDisabled(map[string]bool{"late": true, "breaks": true})
			}
			var got atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
			srv.Listener.Close()
			srv.Listener = late
			if err := late.Open(); err != nil {
				t.Fatal(err)
			}
			srv.Start()
			t.Cleanup(srv.Close)
			var a Answer
			select {
			case a = <-r.Answer():
			case <-time.After(patience / 2): // one that waits for an endpoint has its time
				p.Close()
				a = <-r.Answer()
			}
			if a.Upstream != nil {
				a.Upstream.Release()
			}
			if n := got.Load(); n != c.want {
				t.Errorf("%d requests at the endpoint that came up late, want %d", n, c.want)
			}
			if served := a.Verdict == Served; served != (c.want == 1) {
				t.Errorf("verdict %v", a.Verdict)
			}
		})
	}
}
