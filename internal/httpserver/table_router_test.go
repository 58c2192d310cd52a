package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
	"gorselink/route"
)

// newTestRouter returns a router for two pools without endpoints. Pool closed has the path /closed
// of donate.example.org, and pool open the rest of that host.
func newTestRouter(t testing.TB) (router *TableRouter, open, closed *pool.Pool) {
	t.Helper()
	cfg := newTestConfig()
	makePool := func(name string) *pool.Pool {
		p, err := pool.New(pool.Config{Name: name, Balance: cfg.Balance, Limits: pool.Limits{BodyBytes: 1 << 20}}, upstream.New(upstream.Config{}))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	open, closed = makePool("open"), makePool("closed")
	routes, err := route.New([]route.Rule{
		{Host: "donate.example.org", Target: 0},
		{Host: "donate.example.org", Path: "/closed", Target: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	class := &Class{Name: "default", ByMethod: true}
	for i := range class.Variants {
		class.Variants[i] = balance.Class{Deadline: time.Second, Idempotency: balance.Idempotency(i)}
	}
	table := &Table{Routes: routes, FindPool: func(string) *pool.Pool { return nil }, Targets: []Target{{Pool: open, Class: class}, {Pool: closed, Class: class}}}
	return NewTableRouter(table, false, "", NewKeyBindings(time.Minute), NewSeenIDs(time.Second)), open, closed
}

func parseHead(text string) (*Request, error) {
	raw, err := http1.PeekHead(bufio.NewReaderSize(strings.NewReader(text), http1.MaxHeadBytes))
	if err != nil {
		return nil, err
	}
	req := &Request{}
	if err := req.ParseRequest(raw); err != nil {
		return nil, err
	}
	_, err = req.Path()
	return req, err
}

// A forwarded request is routed to the same pool if it is parsed again. No endpoint can read its
// path as one of the other pool.
func FuzzRouteWhatIsMatchedIsWhatIsSent(f *testing.F) {
	for _, s := range []string{"/closed", "/open/../closed", "/open/%2e%2e/closed", "//closed", "/%63losed", "http://donate.example.org/closed?x", "/closed;x/..;/open", "*", "/a?b=/../closed"} {
		f.Add(s, "donate.example.org", "GET")
	}
	f.Add("http://donate.example.org/closed", "other", "POST")
	f.Add("/closed", "DONATE.example.org.:80", "HEAD")
	router, _, closed := newTestRouter(f)
	f.Fuzz(func(t *testing.T, target, host, method string) {
		req, err := parseHead(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
		if err != nil {
			return
		}
		p, rejected := router.Route(req)
		if (p == nil) != (rejected != nil) {
			t.Fatalf("plan %v, rejection %v, want exactly one", p, rejected)
		}
		if rejected != nil {
			if rejected.Status < 400 || rejected.Status > 499 || rejected.Err == nil {
				t.Fatalf("rejection %+v, want a 4xx status and an error", rejected)
			}
			return
		}
		reread, err := parseHead(p.Upstream.Method + " " + p.Upstream.URI + " HTTP/1.1\r\nHost: " + p.Upstream.Host + "\r\n\r\n")
		if err != nil {
			t.Fatalf("target %q, host %q: forwarded as %q, host %q, which cannot be parsed: %v", target, host, p.Upstream.URI, p.Upstream.Host, err)
		}
		p2, rejected := router.Route(reread)
		if rejected != nil || p2.Pool != p.Pool || p2.Upstream.URI != p.Upstream.URI || p2.Upstream.Host != p.Upstream.Host {
			t.Fatalf("target %q, host %q: forwarded as %q, host %q, which is routed differently: plan %+v, rejection %v", target, host, p.Upstream.URI, p.Upstream.Host, p2, rejected)
		}
		// The path that net/http parses belongs to the same pool.
		node, err := http.ReadRequest(bufio.NewReader(strings.NewReader(reread.Method + " " + reread.Target + " HTTP/1.1\r\nHost: " + reread.Host + "\r\n\r\n")))
		if err != nil {
			t.Fatalf("target %q, host %q: forwarded as %q, host %q, which net/http cannot parse: %v", target, host, p.Upstream.URI, p.Upstream.Host, err)
		}
		first, _, _ := strings.Cut(strings.TrimPrefix(node.URL.Path, "/"), "/")
		if (first == "closed") != (p.Pool == closed) {
			t.Fatalf("target %q: routed to pool %s as %q, whose first segment net/http parses as %q", target, p.Pool.Name(), p.Upstream.URI, first)
		}
	})
}

func TestKeyBindings(t *testing.T) {
	k := NewKeyBindings(time.Second)
	key := func(s string) [2]uint64 { return k.hash("h", "/p", s) }
	if first, reread := key("a"), key("a"); first == key("b") || first != reread || k.hash("h", "/pa", "") == k.hash("h", "/p", "a") {
		t.Fatal("different keys have the same hash, or one key has two hashes")
	}
	checkBind := func(s, pool, want string, now time.Duration, wantCertain bool) {
		t.Helper()
		if got, certain := k.Bind(key(s), pool, now); got != want || certain != wantCertain {
			t.Errorf("key %s at %v: pool %s, certain %t, want %s, %t", s, now, got, certain, want, wantCertain)
		}
	}
	checkBind("a", "one", "one", 0, true)
	checkBind("a", "two", "one", time.Second-1, true)
	checkBind("a", "two", "one", time.Second, true) // found in the previous generation
	checkBind("a", "two", "two", 3*time.Second, true)
	for i := range 3 * maxKeysPerGeneration {
		k.Bind(key(fmt.Sprint(i)), "many", 4*time.Second)
	}
	if n := len(k.current.pools) + len(k.previous); n > 2*maxKeysPerGeneration {
		t.Errorf("%d keys are remembered, more than two generations", n)
	}
	checkBind("a", "one", "one", 4*time.Second, false) // evicted early, which is reported
	checkBind("b", "one", "one", 6*time.Second, true)
}

// Keys that were bound before the retention time was shortened are remembered for the longer time, and later
// ones no longer than necessary.
func TestShorterRetentionKeepsEarlierKeys(t *testing.T) {
	const long, short = 30 * time.Second, time.Second
	for boundAt := time.Duration(0); boundAt < 2*long; boundAt += long / 8 {
		k := NewKeyBindings(long)
		key := func(s string) [2]uint64 { return k.hash("h", "/p", s) }
		k.Bind(key("other"), "one", boundAt/2) // begins a generation
		k.Bind(key("early"), "one", boundAt)
		shortened := boundAt + short/2
		k.setRetention(long/3, shortened)
		k.setRetention(short, shortened+short)
		for now := shortened + 2*short; now < boundAt+long; now += short {
			k.Bind(key(now.String()), "two", now)
		}
		if pool, _ := k.Bind(key("early"), "two", boundAt+long-1); pool != "one" {
			t.Errorf("a key bound at %v was forgotten before the end of its time", boundAt)
		}
		after := shortened + 8*long
		k.Bind(key("late"), "one", after)
		for now := after; now < after+3*short; now += short / 2 {
			k.Bind(key(now.String()), "two", now)
		}
		if pool, _ := k.Bind(key("late"), "two", after+3*short); pool != "two" {
			t.Error("a late key was remembered for longer than the shorter time")
		}
	}
}

// While keys may have been evicted early, a request with a key is rejected if its route has
// changed, because the endpoints of the new pool cannot detect that it has run.
func TestUncertainKeysAreNotRerouted(t *testing.T) {
	router, open, closed := newTestRouter(t)
	routeKey := func(key string) (*Plan, *Rejection) {
		req, err := parseHead("POST /x HTTP/1.1\r\nHost: donate.example.org\r\nIdempotency-Key: " + key + "\r\nContent-Length: 0\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return router.Route(req)
	}
	if p, rejected := routeKey("k"); rejected != nil || p.Pool != open {
		t.Fatalf("first use of a key: plan %v, rejection %v, want pool open", p, rejected)
	}
	moved := *router.table.Load()
	moved.Targets = []Target{moved.Targets[1], moved.Targets[1]}
	router.SetTable(&moved, time.Minute)
	if p, rejected := routeKey("new"); rejected != nil || p.Pool != closed {
		t.Fatalf("new key after the route changed: plan %v, rejection %v, want pool closed", p, rejected)
	}
	if _, rejected := routeKey("k"); rejected == nil || rejected.Status != http.StatusConflict {
		t.Errorf("key of a removed pool: rejection %v, want status 409", rejected)
	}
	for i := range 3 * maxKeysPerGeneration {
		router.Keys.Bind(router.Keys.hash("h", "/p", fmt.Sprint(i)), "many", router.Keys.now())
	}
	if _, rejected := routeKey("k2"); rejected == nil || rejected.Status != http.StatusConflict {
		t.Errorf("key that may have been forgotten: rejection %v, want status 409", rejected)
	}
}

func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name     string
		budget   int64
		maxBytes int64
		text     string
		want     string // empty if an error is expected
		err      error
	}{
		{"known length", 1000, 100, "Content-Length: 5\r\n\r\nhello", "hello", nil},
		{"maximum length", 1000, 5, "Content-Length: 5\r\n\r\nhello", "hello", nil},
		{"too long", 1000, 4, "Content-Length: 5\r\n\r\nhello", "", errBodyTooLong},
		{"longer than the budget", 4, 100, "Content-Length: 5\r\n\r\nhello", "", errBodyTooLong},
		{"no memory left", 100, 100, "Content-Length: 60\r\n\r\n" + strings.Repeat("b", 60), "", errNoBodyMemory},
		{"chunked", 1000, 100, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "hello!", nil},
		{"chunked, maximum length", 1000, 6, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "hello!", nil},
		{"chunked, too long", 1000, 5, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "", errBodyTooLong},
		{"incomplete chunk", 1000, 100, "Transfer-Encoding: chunked\r\n\r\n5\r\nhe", "", io.ErrUnexpectedEOF},
		{"many chunks", 1 << 20, 1 << 20, "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 60) + "0\r\n\r\n", strings.Repeat("c", 60*4096), nil},
		{"many chunks, no memory left", 100 + 128<<10, 1 << 20, "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 60) + "0\r\n\r\n", "", errNoBodyMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := bufio.NewReaderSize(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\n"+c.text), http1.MaxHeadBytes)
			raw, err := http1.PeekHead(in)
			if err != nil {
				t.Fatal(err)
			}
			var h http1.Head
			if err := h.ParseRequest(raw); err != nil {
				t.Fatal(err)
			}
			in.Discard(len(raw))
			var b bytebudget.Budget
			b.SetTotal(c.budget)
			reserved, _ := b.Reserve(min(100, c.budget/2))
			if c.err == nil || c.err == errBodyTooLong || c.err == io.ErrUnexpectedEOF {
				reserved.Release()
			}
			before := b.Available()
			got, err := readBody(in, &h, bodyMemory{shortBudget: &b, longBudget: new(bytebudget.Budget)}, c.maxBytes)
			if c.err != nil {
				if err == nil || !strings.Contains(err.Error(), c.err.Error()) {
					t.Errorf("error %v, want it to contain %v", err, c.err)
				}
			} else if err != nil || string(got.data) != c.want || b.Available() != before-int64(len(c.want)) {
				t.Errorf("read %d bytes, error %v, %d bytes available of %d before", len(got.data), err, b.Available(), before)
			} else {
				got.release()
				got.release()
			}
			if b.Available() != before {
				t.Errorf("%d bytes available at the end, had %d", b.Available(), before)
			}
		})
	}
}
