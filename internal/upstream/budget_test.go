package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
)

// delayedConfirmer confirms after a delay.
type delayedConfirmer time.Duration

func (c delayedConfirmer) Confirm() bool {
	time.Sleep(time.Duration(c))
	return true
}

// An attempt with no time left, at its start or after Confirm, is not sent and keeps its
// connection.
func TestAttemptWithoutBudgetIsNotSent(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		io.WriteString(w, "ok")
	}))
	defer srv.Close()
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 5})
	defer p.Close()
	p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
	attempt := func(timeout time.Duration, r *Request, confirmer Confirmer) balance.Result {
		r.Method, r.URI, r.Host = "POST", "/", "x"
		resp, result := p.Do(new(Call), "s-1", r, time.Now().Add(timeout), confirmer)
		if resp != nil {
			resp.Release()
		}
		return result
	}
	if result := attempt(minBudget-1, &Request{}, nil); result != balance.NotSent || p.OpenConns() != 0 {
		t.Errorf("no time left at the start: %v, %d connections; want NotSent and no dial", result, p.OpenConns())
	}
	upload := &Upload{Length: 4, Incomplete: func() bool { return false }, Commit: func() bool { t.Error("Commit called"); return false }}
	const timeout = 500 * time.Millisecond
	for name, r := range map[string]*Request{"idempotent": {}, "non-idempotent": {NonIdempotent: true}, "upload": {Upload: upload}} {
		if result := attempt(timeout, r, delayedConfirmer(timeout)); result != balance.NotSent {
			t.Errorf("%s, no time left after Confirm: %v, want NotSent", name, result)
		}
		if p.OpenConns() != 1 {
			t.Errorf("%s: %d connections, want the dialled one kept", name, p.OpenConns())
		}
	}
	if n := received.Load(); n != 0 {
		t.Errorf("%d requests at the endpoint", n)
	}
	if result := attempt(testTimeout, &Request{}, delayedConfirmer(0)); result != balance.OK || received.Load() != 1 {
		t.Errorf("enough time left: %v, %d requests at the endpoint", result, received.Load())
	}
}

// X-Budget-Ms is the time left after the reuse delay and Confirm.
func TestBudgetHeaderIsTimeLeft(t *testing.T) {
	const reuseDelay, confirmDelay = 150 * time.Millisecond, 100 * time.Millisecond
	for name, nonIdempotent := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budgets, arrivals := make(chan string, 1), make(chan time.Time, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals <- time.Now()
				budgets <- r.Header.Get("X-Budget-Ms")
				io.WriteString(w, "ok")
			}))
			defer srv.Close()
			p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 5, ReuseDelay: reuseDelay})
			defer p.Close()
			p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
			for i := range 3 { // the later ones reuse the first connection
				start := time.Now()
				resp, result := p.Do(new(Call), "s-1", &Request{Method: "POST", URI: "/", Host: "x", NonIdempotent: nonIdempotent}, time.Now().Add(testTimeout), delayedConfirmer(confirmDelay))
				if result != balance.OK {
					t.Fatalf("%v", result)
				}
				resp.Release()
				ms, err := strconv.Atoi(<-budgets)
				if err != nil {
					t.Fatal(err)
				}
				budget, minWant := time.Duration(ms)*time.Millisecond, testTimeout-(<-arrivals).Sub(start)-time.Millisecond
				if maxWant := testTimeout - confirmDelay; budget > maxWant || budget < minWant {
					t.Errorf("request %d: budget %v, want %v to %v", i, budget, minWant, maxWant)
				}
			}
			if p.OpenConns() != 1 {
				t.Errorf("%d connections, want 1", p.OpenConns())
			}
		})
	}
}
