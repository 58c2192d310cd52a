package sidecar

import (
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/fakeserver"
	"gorselink/internal/upstream"
)

// A burst opens many connections to an endpoint. Connections that are idle afterwards are closed
// before the configured idle timeout, because other sidecars need the endpoint's capacity.
func TestIdleConnectionsAreClosed(t *testing.T) {
	node, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: "s-1", Latency: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	discovery := newDiscoveryServer(t, "s-1", node.Addr())
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configJSON(listen, serverAddr(discovery)))
	p, _ := startInstance(t, path, "")
	const burst = 20
	var all sync.WaitGroup
	for range burst {
		all.Add(1)
		go func() {
			defer all.Done()
			getWithNewID(listen)
		}()
	}
	all.Wait()
	if n := node.TotalConns(); n < burst/2 {
		t.Fatalf("a burst of %d requests opened %d connections, want at least half as many", burst, n)
	}
	configuredTimeout := 5 * time.Second
	began, target := time.Now(), 2
	eventually(t, "most connections are closed", func() bool {
		getWithNewID(listen)
		return p.upstream.OpenConns() <= target
	})
	if took := time.Since(began); took > configuredTimeout*3/4 {
		t.Errorf("%v until only %d connections were left, want about %v", took, target, upstream.OptimalIdleTimeout(0, 0))
	}
	// A connection in constant use stays open.
	openedBefore := node.TotalConns()
	for range 10 {
		getWithNewID(listen)
	}
	if n := node.TotalConns() - openedBefore; n > 2 {
		t.Errorf("10 consecutive requests opened %d connections, want 2 at most", n)
	}
}

// The idle timeout follows from the configured prices and never exceeds the configured limit.
func TestIdleTimeoutFromPrices(t *testing.T) {
	for text, want := range map[string]time.Duration{
		`"Prices":{}`:                             250 * time.Millisecond,
		`"Prices":{"Handshake":1}`:                2021 * time.Millisecond,
		`"Prices":{"Handshake":9}`:                5 * time.Second, // Limits.ConnIdleS
		`"Prices":{"Connection":1,"Handshake":0}`: 164 * time.Millisecond,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeFile(t, path, strings.Replace(configJSON("127.0.0.1:1", "127.0.0.1:2"), `"settings":{`, `"settings":{`+text+",", 1))
		cfg, err := config.LoadPlatform(path)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if got := limitIdleTimeout(cfg).Balance.IdleConnTimeout; (got - want).Abs() > time.Millisecond {
			t.Errorf("%s: connections kept for %v, want %v", text, got, want)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.Replace(configJSON("127.0.0.1:1", "127.0.0.1:2"), `"settings":{`, `"settings":{"Prices":{"Handshake":"much"},`, 1))
	if _, err := config.LoadPlatform(path); err == nil || !strings.Contains(err.Error(), "Prices.Handshake") {
		t.Errorf("invalid price: %v, want an error that names Prices.Handshake", err)
	}
}
