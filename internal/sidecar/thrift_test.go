package sidecar

import (
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// A burst needs many connections to an endpoint, and the thin stream after it one or
// two. Those that are not used must not hold places in the endpoint's table that the
// other sidecars of a fleet need: the settings would have them stay for 5 s.
func TestConnectionsKeptFew(t *testing.T) {
	node, err := standin.StartNode(standin.NodeConfig{Name: "s-1", Latency: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	discovery := told(t, "s-1", node.Addr())
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(listen, address(discovery)))
	p, _ := start(t, path, "")
	const burst = 20
	var all sync.WaitGroup
	for range burst {
		all.Add(1)
		go func() {
			defer all.Done()
			askNew(listen)
		}()
	}
	all.Wait()
	if n := node.TotalConns(); n < burst/2 {
		t.Fatalf("a burst of %d opened %d connections, want about as many", burst, n)
	}
	settings := 5 * time.Second
	began, few := time.Now(), 2
	eventually(t, "few connections left", func() bool {
		askNew(listen)
		return p.up.OpenConns() <= few
	})
	if took := time.Since(began); took > settings*3/4 {
		t.Errorf("%v until %d connections were left, want about %v", took, few, upstream.OptimalIdleTimeout(0, 0))
	}
	// One that is in use all the time is kept.
	was := node.TotalConns()
	for range 10 {
		askNew(listen)
	}
	if n := node.TotalConns() - was; n > 2 {
		t.Errorf("10 requests in a row opened %d connections, want none", n)
	}
}

// The prices come from the settings, and never make a connection outlive what they allow.
func TestPricesOfConnections(t *testing.T) {
	for text, want := range map[string]time.Duration{
		`"Prices":{}`:                             250 * time.Millisecond,
		`"Prices":{"Handshake":1}`:                2021 * time.Millisecond,
		`"Prices":{"Handshake":9}`:                5 * time.Second, // Limits.ConnIdleS
		`"Prices":{"Connection":1,"Handshake":0}`: 164 * time.Millisecond,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		put(t, path, strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:2"), `"settings":{`, `"settings":{`+text+",", 1))
		cfg, err := config.LoadPlatform(path)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if got := thrifty(cfg).Balance.IdleConnTimeout; (got - want).Abs() > time.Millisecond {
			t.Errorf("%s: connections kept for %v, want %v", text, got, want)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	put(t, path, strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:2"), `"settings":{`, `"settings":{"Prices":{"Handshake":"much"},`, 1))
	if _, err := config.LoadPlatform(path); err == nil || !strings.Contains(err.Error(), "Prices.Handshake") {
		t.Errorf("a price that is no number: %v, want an error that names it", err)
	}
}
