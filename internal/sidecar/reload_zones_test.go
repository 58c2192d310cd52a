package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

// A request that is deduplicated within a zone runs in one zone only, also if new settings have added
// the zones. It ran in two of them when its first response got lost.
func TestRequestStaysInZoneAfterReload(t *testing.T) {
	const requests = 40
	var mu sync.Mutex
	zonesByKey := map[string]map[string]bool{}
	var list []fakeserver.Entry
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 2 {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				key := r.Header.Get("Idempotency-Key")
				mu.Lock()
				first := zonesByKey[key] == nil
				if first {
					zonesByKey[key] = map[string]bool{}
				}
				zonesByKey[key][zone] = true
				mu.Unlock()
				if first {
					panic(http.ErrAbortHandler) // the response gets lost
				}
			}))
			t.Cleanup(node.Close)
			list = append(list, fakeserver.Entry{Name: fmt.Sprintf("s-%s-%d", zone, i), Address: serverAddr(node), Zone: zone, Status: string(discovery.InService)})
		}
	}
	agent, err := fakeserver.StartAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	before := strings.NewReplacer(`"RampTimeS":5`, `"RampTimeS":0`, `"Semantics":"free"`, `"Semantics":"guarded","KeyScope":"zone","MemorySpanS":5`).Replace(configJSON(listen, agent.Addr()))
	writeFile(t, path, before)
	p, _ := startInstance(t, path, t.TempDir())
	writeFile(t, path, strings.Replace(before, `"Zones":["a"]`, `"Zones":["a","b","c"]`, 1))
	p.reload <- syscall.SIGHUP
	eventually(t, "the new settings apply", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.cfg.Zones) == 3
	})
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			id := lastCallID.Add(1)
			req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/view", nil)
			req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", id))
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", id))
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		})
		time.Sleep(2 * time.Millisecond) // some retries are in the budget of each second
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(zonesByKey) < requests/2 {
		t.Errorf("%d of %d requests reached an endpoint, want at least half", len(zonesByKey), requests)
	}
	for key, zones := range zonesByKey {
		if len(zones) > 1 {
			t.Errorf("key %s ran in zones %v, want one", key, zones)
		}
	}
	p.finish(t)
}

// Every timeout of new settings reaches the connections to endpoints.
func TestReloadChangesTimeouts(t *testing.T) {
	discovery := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "s-1")))
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	before := configJSON(listen, serverAddr(discovery))
	for name, c := range map[string]struct {
		old, new           string
		wantDial, wantIdle time.Duration
	}{
		"ConnectTimeoutS": {`"ConnectTimeoutS":1,`, `"ConnectTimeoutS":0.5,`, 500 * time.Millisecond, 250 * time.Millisecond},
		"ConnIdleS":       {`"ConnIdleS":5,`, `"ConnIdleS":0.1,`, time.Second, 100 * time.Millisecond},
		"Handshake price": {`"Obligations":`, `"Prices":{"Handshake":1},"Obligations":`, time.Second, 2021 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			writeFile(t, path, before)
			p, _ := startInstance(t, path, t.TempDir())
			writeFile(t, path, strings.Replace(before, c.old, c.new, 1))
			p.reload <- syscall.SIGHUP
			eventually(t, "the new timeouts apply", func() bool {
				dial, idle := p.upstream.Timeouts()
				return dial == c.wantDial && idle == c.wantIdle
			})
			p.finish(t)
		})
	}
}
