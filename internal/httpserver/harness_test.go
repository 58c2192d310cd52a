package httpserver

import (
	"net"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// testTimeout bounds every wait in these tests.
const testTimeout = 20 * time.Second

// testConfig is the configuration of a harness's pool.
type testConfig struct {
	Known   discovery.List
	Balance balance.Config
}

func newTestConfig() *testConfig {
	return &testConfig{
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, IdleConnTimeout: 5 * time.Second, SlowStartWindow: 5 * time.Second,
			Classes: []balance.Class{
				{Deadline: 2 * time.Second, Idempotency: balance.Idempotent, PriorityWeight: 1},
				{Deadline: 2 * time.Second, Idempotency: balance.NonIdempotent, PriorityWeight: 1},
			},
		},
	}
}

func newPool(t *testing.T, cfg *testConfig) *pool.Pool {
	t.Helper()
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: cfg.Balance.IdleConnTimeout, MaxConns: 32, LargeResponseBytes: 400 << 10})
	t.Cleanup(conns.Close)
	p, err := pool.New(pool.Config{
		Name:    "test",
		Zones:   map[string]int{"a": 0},
		Balance: cfg.Balance,
		Known:   cfg.Known,
		Limits:  pool.Limits{BodyBytes: 8 << 20, LongBytes: 1 << 20},
	}, conns)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// eventually waits until ok returns true, and fails the test after testTimeout. what states
// the condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func testPlatformConfig(cfg *testConfig) *PlatformConfig {
	return &PlatformConfig{Classes: map[string]PlatformClass{
		"view": {Class: cfg.Balance.Classes[0], Number: 0},
		"pay":  {Class: cfg.Balance.Classes[1], Number: 1},
	}}
}

// connected returns both ends of a loopback connection. The client end is closed when the
// test ends, and its reads and writes time out after testTimeout.
func connected(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testTimeout))
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}
