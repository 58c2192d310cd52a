package pool

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// While the beginning of a response is held back, a rejection by the Balancer waits: the response is passed
// on if the rest arrives, and the caller is rejected if it breaks off.
func TestHeldResponsePostponesRejection(t *testing.T) {
	for _, c := range []struct {
		name   string
		breaks bool
		want   Outcome
	}{
		{"the rest arrives", false, Served},
		{"the response breaks off", true, Rejected},
	} {
		proceed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.NewResponseController(w).Flush()
			<-proceed
			if c.breaks {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, "rest")
		}))
		defer server.Close()
		conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 8, MaxStreamBytes: 1 << 20, Dialer: &net.Dialer{}})
		defer conns.Close()
		p, err := New(Config{
			Balance: balance.Config{
				Instances: 1, AttemptLimit: 1, Multiplex: 1, IdleConnTimeout: time.Second,
				Classes: []balance.Class{{Deadline: testTimeout, Idempotency: balance.Idempotent, PriorityWeight: 1}},
			},
			Known: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-1", Address: server.Listener.Addr().String(), Status: discovery.InService}}},
		}, conns)
		if err != nil {
			t.Fatal(err)
		}
		r := &Request{Budget: testTimeout, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
		if err := p.Submit(r); err != nil {
			t.Fatal(err)
		}
		go p.RunFirstAttempt(r)
		eventually(t, "the response is held back", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return r.held == 1
		})
		p.mu.Lock()
		(*balancerActions)(p).Reject(r.id, 0)
		p.mu.Unlock()
		if len(r.Response()) > 0 {
			t.Errorf("%s: the caller was rejected while the response was held back", c.name)
		}
		close(proceed)
		response := <-r.Response()
		if response.Outcome != c.want {
			t.Errorf("%s: outcome %v, want %v", c.name, response.Outcome, c.want)
		}
		if response.Upstream != nil {
			response.Upstream.Release()
		}
		p.Done(r)
	}
}
