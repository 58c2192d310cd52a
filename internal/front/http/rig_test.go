package httpfront

import (
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

// testSettings are those of a rig's pool.
type testSettings struct {
	Known   nodes.List
	Balance balance.Config
}

func testConfig() *testSettings {
	return &testSettings{
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, ConnIdle: 5 * time.Second, RampTime: 5 * time.Second,
			Classes: []balance.Class{
				{Deadline: 2 * time.Second, Semantics: balance.Safe, Worth: 1},
				{Deadline: 2 * time.Second, Semantics: balance.Unsafe, Worth: 1},
			},
		},
	}
}

func newPool(t *testing.T, cfg *testSettings) *pool.Pool {
	t.Helper()
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, ConnIdle: cfg.Balance.ConnIdle, MaxConns: 32, LargeBytes: 400 << 10})
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func testForm(cfg *testSettings) *Form {
	return &Form{Classes: map[string]PlatformClass{
		"view": {Class: cfg.Balance.Classes[0], Number: 0},
		"pay":  {Class: cfg.Balance.Classes[1], Number: 1},
	}}
}
