package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gorselink/balance"
)

// processRecorder confirms every attempt and records whether it may reach another process.
type processRecorder struct {
	allow         bool
	before, after bool
}

func (r *processRecorder) Confirm() bool { return true }

func (r *processRecorder) MayReachOtherProcess() bool {
	r.before = true
	return r.allow
}

func (r *processRecorder) MayHaveReachedOtherProcess() { r.after = true }

// After a connection to an endpoint has broken, an attempt on a new connection may reach another process,
// and one on a connection that was open before does not.
func TestBrokenConnectionCastsDoubt(t *testing.T) {
	p, _ := scriptedEndpoint(t, func(c net.Conn, n int) { io.WriteString(c, okResponse) })
	send := func(recorder *processRecorder) balance.Result {
		resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/x", Host: "x"}, time.Now().Add(testTimeout), recorder)
		if resp != nil {
			resp.Release()
		}
		return result
	}
	first := &processRecorder{}
	if result := send(first); result != balance.OK || first.before {
		t.Fatalf("before any sign: %v, %+v", result, first)
	}
	time.Sleep(2 * doubtMargin) // the process lived until then
	p.mu.Lock()
	target := p.targets["s-1"]
	p.mu.Unlock()
	p.noteResult(target, balance.Reset)
	kept := &processRecorder{}
	if result := send(kept); result != balance.OK || kept.before {
		t.Errorf("on a connection that was open before: %v, %+v", result, kept)
	}
	p.CloseIdle()
	rejected, allowed := &processRecorder{}, &processRecorder{allow: true}
	if result := send(rejected); result != balance.NotSent || !rejected.before {
		t.Errorf("on a new connection: %v, %+v, want NotSent", result, rejected)
	}
	if result := send(allowed); result != balance.OK || !allowed.before {
		t.Errorf("on a new connection, allowed: %v, %+v", result, allowed)
	}
}

// delayedDialer calls delay before each dial returns.
type delayedDialer struct{ delay func() }

func (d *delayedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	d.delay()
	return c, err
}

// A connection that is opened while the list gives the endpoint another address is not used.
func TestAddressChangesDuringDial(t *testing.T) {
	endpoint := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, name) }))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	old, current := endpoint("old"), endpoint("current")
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 5})
	defer p.Close()
	p.cfg.Dialer = &delayedDialer{func() { p.Set("s-1", Target{Address: current}) }}
	p.Set("s-1", Target{Address: old})
	resp, result := sendGet(p, testTimeout)
	if result != balance.OK || string(resp.Body) != "current" {
		t.Fatalf("%v from %q, want the current address", result, resp.Body)
	}
	resp.Release()
	if n := p.OpenConns(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}
