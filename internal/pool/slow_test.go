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

	"gorselink/internal/nodes"
)

// slowDiscovery answers each call late and in small pieces. One endpoint of its list drains
// once it is told to.
func slowDiscovery(t *testing.T, late, piece time.Duration, drains *atomic.Bool) *httptest.Server {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(late)
		index, status := 7, nodes.InService
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
			if drains.Load() {
				index, status = 8, nodes.Terminating
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
			time.Sleep(piece)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

// Discovery is slow: its answers come late, and in pieces with pauses between them. The first
// list is there, and a drain is heard within the 6 s after which it counts as told, whether
// lists are pushed or asked for.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for _, c := range []struct {
		name        string
		asked       bool
		late, piece time.Duration
	}{
		{"pushed, late", false, 100 * time.Millisecond, 0},
		{"pushed, in pieces", false, 0, 15 * time.Millisecond},
		{"asked, late", true, 700 * time.Millisecond, 0},
		{"asked, in pieces", true, 0, 80 * time.Millisecond},
		{"asked, late and in pieces", true, 300 * time.Millisecond, 40 * time.Millisecond},
	} {
		var drains atomic.Bool
		srv := slowDiscovery(t, c.late, c.piece, &drains)
		times := nodes.PushTimes(2 * time.Second)
		if c.asked {
			times = nodes.AskTimes()
		}
		p := follows(t, c.asked, nodes.NewDiscovery(strings.TrimPrefix(srv.URL, "http://"), times))
		all.Go(func() {
			time.Sleep(200 * time.Millisecond) // a watch is open
			began := time.Now()
			drains.Store(true)
			for !drained(p)() {
				if time.Since(began) > patience {
					t.Errorf("%s: the drain is not heard", c.name)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			took := time.Since(began)
			t.Logf("%s: heard after %v", c.name, took.Round(time.Millisecond))
			if took > 6*time.Second {
				t.Errorf("%s: heard after %v, want 6 s at most", c.name, took)
			}
		})
	}
	all.Wait()
}
