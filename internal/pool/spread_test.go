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

	"gorselink/internal/nodes"
)

// Twenty sidecars start beside a discovery that turns all calls away, and comes back.
// They must not ask it together, neither at the start nor once it is back, and each
// must have the list well within the time by which it counts as told.
func TestDiscoveryCallsSpread(t *testing.T) {
	const followers, askWithin = 20, 10 * time.Second
	var mu sync.Mutex
	var calls []time.Time
	up := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, time.Now())
		ok := up
		mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Has("after") {
			<-r.Context().Done() // a watch without news
			return
		}
		io.WriteString(w, `{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}]}`)
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pools := make([]*Pool, followers)
	for i := range pools {
		cfg := testConfig()
		cfg.Seed = uint64(i)
		cfg.Balance.Index, cfg.Balance.Instances = i, followers
		cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval = true, askWithin
		cfg.Source = nodes.NewDiscovery(srv.Listener.Addr().String(), nodes.AskTimes())
		pools[i] = newPool(t, cfg)
		go pools[i].Run(ctx)
	}
	counted := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(calls)
	}
	eventually(t, "each has been turned away about twice", func() bool { return counted() >= 2*followers })
	mu.Lock()
	up = true
	back := time.Now()
	mu.Unlock()
	eventually(t, "each has the list", func() bool {
		return !slices.ContainsFunc(pools, func(p *Pool) bool { return !p.HasList() })
	})
	if took := time.Since(back); took > askWithin {
		t.Errorf("%v until all had the list again, want %v at most", took, askWithin)
	}
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i := range calls {
		n := i
		for n < len(calls) && calls[n].Sub(calls[i]) < 100*time.Millisecond {
			n++
		}
		// A call for the list and the watch right after it are one sidecar's.
		most = max(most, n-i)
	}
	t.Logf("%d calls, at most %d in 100 ms", len(calls), most)
	// Spread over 0.4 s and more they are 5 in 100 ms; with the watches 10.
	if most > 15 {
		t.Errorf("%d calls within 100 ms by %d sidecars, want them spread", most, followers)
	}
}

// A discovery that is down for long is one line in the log, and one when it is back.
func TestFailuresAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(old) })
	src := &source{Source: nodes.Fixed{}}
	for range 50 {
		src.recordFailure("p", errors.New("refused"))
	}
	src.recordSuccess("p")
	src.recordSuccess("p")
	if n := bytes.Count(log.Bytes(), []byte("\n")); n != 2 || !strings.Contains(log.String(), "failed=50") {
		t.Errorf("want a line for the first failure and one for the return:\n%s", log.String())
	}
}
