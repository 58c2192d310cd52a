package httpserver

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/discovery"
)

// An endpoint that fails three requests of four faster than the others respond is rarely
// selected,
// although some of its responses succeed.
func TestFailingEndpointIsSelectedRarely(t *testing.T) {
	const serviceTime = 20 * time.Millisecond // of the working endpoints; the failing one responds at once
	var failing, total atomic.Int64
	cfg := newTestConfig()
	cfg.Balance.AttemptLimit = 1
	for i := range 4 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			total.Add(1)
			if i == 0 && failing.Add(1)%4 != 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			if i > 0 {
				time.Sleep(serviceTime)
			}
			fmt.Fprint(w, "good")
		}))
		t.Cleanup(srv.Close)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, discovery.Endpoint{
			Name: fmt.Sprintf("s-%d", i), Address: srv.Listener.Addr().String(), Zone: "a", Status: discovery.InService,
		})
	}
	r := newHarnessWithConfig(t, cfg, 64, nil)
	for range 200 {
		<-r.sendRequests(t, 1, "/view/1")
	}
	if n := total.Load(); n < 200 {
		t.Fatalf("endpoints received %d of 200 requests", n)
	}
	if n := failing.Load(); n > 200/5 {
		t.Errorf("failing endpoint received %d of 200 requests, want a fifth at most", n)
	}
}
