package httpfront

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/nodes"
)

// An endpoint that fails three calls of four, and those faster than any good
// answer, is drawn little though it serves one now and then.
func TestSickEndpointIsDrawnLittle(t *testing.T) {
	const work = 20 * time.Millisecond // of the good ones; the sick one is quick
	var sick, all atomic.Int64
	cfg := testConfig()
	cfg.Balance.AttemptLimit = 1
	for i := range 4 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			all.Add(1)
			if i == 0 && sick.Add(1)%4 != 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			if i > 0 {
				time.Sleep(work)
			}
			fmt.Fprint(w, "good")
		}))
		t.Cleanup(srv.Close)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, nodes.Endpoint{
			Name: fmt.Sprintf("s-%d", i), Address: srv.Listener.Addr().String(), Zone: "a", Status: nodes.InService,
		})
	}
	r := newRigOf(t, cfg, 64, nil)
	for range 200 {
		<-r.ask(t, 1, "/view/1")
	}
	if n := all.Load(); n < 200 {
		t.Fatalf("%d of 200 requests reached an endpoint", n)
	}
	if n := sick.Load(); n > 200/5 {
		t.Errorf("%d of 200 calls at the sick endpoint, want a fifth at most", n)
	}
}
