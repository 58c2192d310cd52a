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

// confirmer says yes, after some time.
type confirmer time.Duration

func (c confirmer) Confirm() bool {
	time.Sleep(time.Duration(c))
	return true
}

// An attempt that nothing is left for is not sent, and is nobody's fault: not while it
// begins, and not once the connection is there.
func TestNothingLeftIsNotSent(t *testing.T) {
	var got atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		io.WriteString(w, "ok")
	}))
	defer srv.Close()
	p := New(Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 5})
	defer p.Close()
	p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
	ask := func(timeout time.Duration, r *Request, may Confirmer) balance.Result {
		r.Method, r.URI, r.Host = "POST", "/", "x"
		a, result := p.Do(new(Call), "s-1", r, time.Now().Add(timeout), may)
		if a != nil {
			a.Release()
		}
		return result
	}
	if result := ask(leastLeft-1, &Request{}, nil); result != balance.NotSent || p.OpenConns() != 0 {
		t.Errorf("with nothing left at first: %v, %d connections; want it not sent, and none dialled", result, p.OpenConns())
	}
	upload := &Upload{Length: 4, Incomplete: func() bool { return false }, Commit: func() bool { t.Error("a body is begun"); return false }}
	const left = 500 * time.Millisecond
	for name, r := range map[string]*Request{"usual": {}, "once": {NonIdempotent: true}, "upload": {Upload: upload}} {
		if result := ask(left, r, confirmer(left)); result != balance.NotSent {
			t.Errorf("%s, with nothing left in the end: %v, want it not sent", name, result)
		}
		if p.OpenConns() != 1 {
			t.Errorf("%s: %d connections, want the one that was dialled kept", name, p.OpenConns())
		}
	}
	if n := got.Load(); n != 0 {
		t.Errorf("%d requests at the endpoint", n)
	}
	if result := ask(patience, &Request{}, confirmer(0)); result != balance.OK || got.Load() != 1 {
		t.Errorf("with time left: %v, %d requests at the endpoint", result, got.Load())
	}
}

// What is told on a connection that had to rest first, and after Confirm, is what is left
// then, whether or not the request may run twice.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	const rest, held = 150 * time.Millisecond, 100 * time.Millisecond
	for name, once := range map[string]bool{"usual": false, "once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told, seen := make(chan string, 1), make(chan time.Time, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen <- time.Now()
				told <- r.Header.Get("X-Budget-Ms")
				io.WriteString(w, "ok")
			}))
			defer srv.Close()
			p := New(Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 5, ReuseDelay: rest})
			defer p.Close()
			p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
			for i := range 3 { // the second and third on the connection of the first
				began := time.Now()
				a, result := p.Do(new(Call), "s-1", &Request{Method: "POST", URI: "/", Host: "x", NonIdempotent: once}, time.Now().Add(patience), confirmer(held))
				if result != balance.OK {
					t.Fatalf("%v", result)
				}
				a.Release()
				ms, err := strconv.Atoi(<-told)
				if err != nil {
					t.Fatal(err)
				}
				got, least := time.Duration(ms)*time.Millisecond, patience-(<-seen).Sub(began)-time.Millisecond
				if most := patience - held; got > most || got < least {
					t.Errorf("request %d: told %v, want %v to %v", i, got, least, most)
				}
			}
			if p.OpenConns() != 1 {
				t.Errorf("%d connections, want the one", p.OpenConns())
			}
		})
	}
}
