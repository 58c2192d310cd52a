package pool

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/discovery"
)

// newSlowDiscovery starts a discovery service that sends each response after responseDelay, in
// pieces with pauses of pieceDelay. Its endpoint drains once draining is set.
func newSlowDiscovery(t *testing.T, responseDelay, pieceDelay time.Duration, draining *atomic.Bool) *httptest.Server {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(responseDelay)
		index, status := 7, discovery.InService
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
			if draining.Load() {
				index, status = 8, discovery.Terminating
			}
			if after := r.URL.Query().Get("after"); after != fmt.Sprint(index) || time.Now().After(end) || r.Context().Err() != nil {
				break
			}
		}
		text := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:1","zone":"a","group":0,"status":%q,"since_ms":0}]}`, index, status)
		const pieces = 8
		for i := range pieces {
			if _, err := w.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces])); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(pieceDelay)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

// From a slow discovery service, the first list arrives and a drain is received within 6 s, both
// for pushed and for on-demand lists.
func TestDrainFromSlowDiscovery(t *testing.T) {
	t.Parallel()
	var pending sync.WaitGroup
	for _, c := range []struct {
		name                      string
		onDemand                  bool
		responseDelay, pieceDelay time.Duration
	}{
		{"push, late", false, 100 * time.Millisecond, 0},
		{"push, in pieces", false, 0, 15 * time.Millisecond},
		{"on demand, late", true, 700 * time.Millisecond, 0},
		{"on demand, in pieces", true, 0, 80 * time.Millisecond},
		{"on demand, late and in pieces", true, 300 * time.Millisecond, 40 * time.Millisecond},
	} {
		var draining atomic.Bool
		srv := newSlowDiscovery(t, c.responseDelay, c.pieceDelay, &draining)
		times := discovery.LocalAgentTimeouts(2 * time.Second)
		if c.onDemand {
			times = discovery.SharedServiceTimeouts()
		}
		p := newFollowingPool(t, c.onDemand, discovery.NewDiscovery(strings.TrimPrefix(srv.URL, "http://"), times))
		pending.Go(func() {
			time.Sleep(200 * time.Millisecond) // until a watch is open
			began := time.Now()
			draining.Store(true)
			for !drainReceived(p)() {
				if time.Since(began) > testTimeout {
					t.Errorf("%s: the drain was not received", c.name)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			took := time.Since(began)
			t.Logf("%s: drain received after %v", c.name, took.Round(time.Millisecond))
			if took > 6*time.Second {
				t.Errorf("%s: drain received after %v, want at most 6 s", c.name, took)
			}
		})
	}
	pending.Wait()
}
