package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/discovery"
)

// The calls of many sidecars to a discovery service that rejects all calls are spread over time,
// also after its recovery. Each sidecar has the list within MaxWatchInterval of the recovery.
func TestDiscoveryCallsAreSpread(t *testing.T) {
	const sidecars, maxWatchInterval = 20, 10 * time.Second
	var mu sync.Mutex
	var calls []time.Time
	available := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, time.Now())
		ok := available
		mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Has("after") {
			<-r.Context().Done() // a watch without changes
			return
		}
		io.WriteString(w, `{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}]}`)
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pools := make([]*Pool, sidecars)
	for i := range pools {
		cfg := testConfig()
		cfg.Seed = uint64(i)
		cfg.Balance.Index, cfg.Balance.Instances = i, sidecars
		cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval = true, maxWatchInterval
		cfg.Source = discovery.NewDiscovery(srv.Listener.Addr().String(), discovery.SharedServiceTimeouts())
		pools[i] = newPool(t, cfg)
		go pools[i].Run(ctx)
	}
	callCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(calls)
	}
	eventually(t, "each sidecar has been rejected about twice", func() bool { return callCount() >= 2*sidecars })
	mu.Lock()
	available = true
	recoveredAt := time.Now()
	mu.Unlock()
	eventually(t, "each sidecar has the list", func() bool {
		return !slices.ContainsFunc(pools, func(p *Pool) bool { return !p.HasList() })
	})
	if took := time.Since(recoveredAt); took > maxWatchInterval {
		t.Errorf("all sidecars had the list %v after the recovery, want at most %v", took, maxWatchInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	mostCalls := 0
	for i := range calls {
		n := i
		for n < len(calls) && calls[n].Sub(calls[i]) < 100*time.Millisecond {
			n++
		}
		// Includes the watch that each sidecar opens right after its call for the list.
		mostCalls = max(mostCalls, n-i)
	}
	t.Logf("%d calls, at most %d in 100 ms", len(calls), mostCalls)
	// If the 20 calls for the list are spread evenly over 0.4 s, 5 of them fall within 100 ms, or
	// 10 calls with the watches.
	if mostCalls > 15 {
		t.Errorf("%d calls within 100 ms by %d sidecars, want them spread", mostCalls, sidecars)
	}
}

// An outage of discovery is logged in one line when it begins and in one when it ends.
func TestFailuresAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	src := &source{Source: discovery.Fixed{}}
	for range 50 {
		src.recordFailure("p", errors.New("refused"))
	}
	src.recordSuccess("p")
	src.recordSuccess("p")
	if n := bytes.Count(log.Bytes(), []byte("\n")); n != 2 || !strings.Contains(log.String(), "failed=50") {
		t.Errorf("want one line for the first failure and one for the recovery:\n%s", log.String())
	}
}
