package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/framing"
	"gorselink/internal/limit"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
	"gorselink/route"
)

// newRouted judges by two pools without nodes: /open and all else of
// donate.example.org, and /closed there.
func newRouted(t testing.TB) (j *TableRouter, open, closed *pool.Pool) {
	t.Helper()
	cfg := testConfig()
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
		class.Variants[i] = balance.Class{Deadline: time.Second, Semantics: balance.Semantics(i)}
	}
	table := &Table{Routes: routes, FindPool: func(string) *pool.Pool { return nil }, Targets: []Target{{Pool: open, Class: class}, {Pool: closed, Class: class}}}
	return NewTableRouter(table, false, "", NewKeyBindings(time.Minute), NewSeenIDs(time.Second)), open, closed
}

func parseHead(text string) (*Request, error) {
	raw, err := framing.PeekHead(bufio.NewReaderSize(strings.NewReader(text), framing.MaxHeadBytes))
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

// FuzzRouteWhatIsMatchedIsWhatIsSent: what goes on of a request is judged the
// same when it is read again, and for the same pool; and it has no form left
// that a node could read as a path of the other pool.
func FuzzRouteWhatIsMatchedIsWhatIsSent(f *testing.F) {
	for _, s := range []string{"/closed", "/open/../closed", "/open/%2e%2e/closed", "//closed", "/%63losed", "http://donate.example.org/closed?x", "/closed;x/..;/open", "*", "/a?b=/../closed"} {
		f.Add(s, "donate.example.org", "GET")
	}
	f.Add("http://donate.example.org/closed", "other", "POST")
	f.Add("/closed", "DONATE.example.org.:80", "HEAD")
	j, _, closed := newRouted(f)
	f.Fuzz(func(t *testing.T, target, host, method string) {
		req, err := parseHead(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
		if err != nil {
			return
		}
		p, wrong := j.Route(req)
		if (p == nil) != (wrong != nil) {
			t.Fatalf("plan %v, rejection %v", p, wrong)
		}
		if wrong != nil {
			if wrong.Status < 400 || wrong.Status > 499 || wrong.Err == nil {
				t.Fatalf("rejection %+v", wrong)
			}
			return
		}
		again, err := parseHead(p.Upstream.Method + " " + p.Upstream.URI + " HTTP/1.1\r\nHost: " + p.Upstream.Host + "\r\n\r\n")
		if err != nil {
			t.Fatalf("%q %q went on as %q %q, which cannot be read: %v", target, host, p.Upstream.URI, p.Upstream.Host, err)
		}
		p2, wrong := j.Route(again)
		if wrong != nil || p2.Pool != p.Pool || p2.Upstream.URI != p.Upstream.URI || p2.Upstream.Host != p.Upstream.Host {
			t.Fatalf("%q %q went on as %q %q, which is judged otherwise: %+v %v", target, host, p.Upstream.URI, p.Upstream.Host, p2, wrong)
		}
		// What net/http's own reading of it names is on the same side.
		node, err := http.ReadRequest(bufio.NewReader(strings.NewReader(again.Method + " " + again.Target + " HTTP/1.1\r\nHost: " + again.Host + "\r\n\r\n")))
		if err != nil {
			t.Fatalf("%q %q went on as %q %q, which a node cannot read: %v", target, host, p.Upstream.URI, p.Upstream.Host, err)
		}
		first, _, _ := strings.Cut(strings.TrimPrefix(node.URL.Path, "/"), "/")
		if (first == "closed") != (p.Pool == closed) {
			t.Fatalf("%q went to pool %s as %q, whose first segment a node reads as %q", target, p.Pool.Name(), p.Upstream.URI, first)
		}
	})
}

func TestKeysBind(t *testing.T) {
	k := NewKeyBindings(time.Second)
	key := func(s string) [2]uint64 { return k.hash("h", "/p", s) }
	if first, again := key("a"), key("a"); first == key("b") || first != again || k.hash("h", "/pa", "") == k.hash("h", "/p", "a") {
		t.Fatal("keys are not told apart")
	}
	at := func(s, pool, want string, now time.Duration, wantSure bool) {
		t.Helper()
		if got, sure := k.Bind(key(s), pool, now); got != want || sure != wantSure {
			t.Errorf("key %s at %v: %s, sure %t, want %s, %t", s, now, got, sure, want, wantSure)
		}
	}
	at("a", "one", "one", 0, true)
	at("a", "two", "one", time.Second-1, true)
	at("a", "two", "one", time.Second, true) // the older half holds it
	at("a", "two", "two", 3*time.Second, true)
	for i := range 3 * maxKeysPerGeneration {
		k.Bind(key(fmt.Sprint(i)), "many", 4*time.Second)
	}
	if n := len(k.current) + len(k.previous); n > 2*maxKeysPerGeneration {
		t.Errorf("%d keys held", n)
	}
	at("a", "one", "one", 4*time.Second, false) // forgotten too soon, and it says so
	at("b", "one", "one", 6*time.Second, true)
}

// While keys may have been forgotten, a request whose route has moved is turned
// away rather than sent where its key is not known.
func TestUnsureKeysDoNotCross(t *testing.T) {
	j, open, closed := newRouted(t)
	ask := func(key string) (*Plan, *Rejection) {
		req, err := parseHead("POST /x HTTP/1.1\r\nHost: donate.example.org\r\nIdempotency-Key: " + key + "\r\nContent-Length: 0\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return j.Route(req)
	}
	if p, wrong := ask("k"); wrong != nil || p.Pool != open {
		t.Fatalf("%v %v", p, wrong)
	}
	moved := *j.table.Load()
	moved.Targets = []Target{moved.Targets[1], moved.Targets[1]}
	j.SetTable(&moved, time.Minute)
	if p, wrong := ask("new"); wrong != nil || p.Pool != closed {
		t.Fatalf("a new key after the move: %v %v", p, wrong)
	}
	if _, wrong := ask("k"); wrong == nil || wrong.Status != http.StatusConflict {
		t.Errorf("a key of a pool that is gone: %v", wrong)
	}
	for i := range 3 * maxKeysPerGeneration {
		j.Keys.Bind(j.Keys.hash("h", "/p", fmt.Sprint(i)), "many", j.Keys.now())
	}
	if _, wrong := ask("k2"); wrong == nil || wrong.Status != http.StatusConflict {
		t.Errorf("a key that may have been forgotten: %v", wrong)
	}
}

func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int64
		most   int64
		text   string
		want   string // "" for none
		err    error
	}{
		{"a length", 1000, 100, "Content-Length: 5\r\n\r\nhello", "hello", nil},
		{"just as long as allowed", 1000, 5, "Content-Length: 5\r\n\r\nhello", "hello", nil},
		{"too long", 1000, 4, "Content-Length: 5\r\n\r\nhello", "", errBodyTooLong},
		{"longer than all the room", 4, 100, "Content-Length: 5\r\n\r\nhello", "", errBodyTooLong},
		{"no room left", 100, 100, "Content-Length: 60\r\n\r\n" + strings.Repeat("b", 60), "", errNoBodyMemory},
		{"chunks", 1000, 100, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "hello!", nil},
		{"chunks just as long", 1000, 6, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "hello!", nil},
		{"chunks too long", 1000, 5, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n", "", errBodyTooLong},
		{"half a chunk", 1000, 100, "Transfer-Encoding: chunked\r\n\r\n5\r\nhe", "", io.ErrUnexpectedEOF},
		{"many chunks", 1 << 20, 1 << 20, "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 60) + "0\r\n\r\n", strings.Repeat("c", 60*4096), nil},
		{"many chunks and no room", 100 + 128<<10, 1 << 20, "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 60) + "0\r\n\r\n", "", errNoBodyMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := bufio.NewReaderSize(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\n"+c.text), framing.MaxHeadBytes)
			raw, err := framing.PeekHead(in)
			if err != nil {
				t.Fatal(err)
			}
			var h framing.Head
			if err := h.ParseRequest(raw); err != nil {
				t.Fatal(err)
			}
			in.Discard(len(raw))
			var b limit.Bytes
			b.SetTotal(c.budget)
			other, _ := b.Reserve(min(100, c.budget/2))
			if c.err == nil || c.err == errBodyTooLong || c.err == io.ErrUnexpectedEOF {
				other.Release()
			}
			before := b.Available()
			got, err := readBody(in, &h, bodyMemory{shortBudget: &b, longBudget: new(limit.Bytes)}, c.most)
			if c.err != nil {
				if err == nil || !strings.Contains(err.Error(), c.err.Error()) {
					t.Errorf("error %v, want %v", err, c.err)
				}
			} else if err != nil || string(got.data) != c.want || b.Available() != before-int64(len(c.want)) {
				t.Errorf("%d bytes, %v, %d left of %d", len(got.data), err, b.Available(), before)
			} else {
				got.release()
				got.release()
			}
			if b.Available() != before {
				t.Errorf("%d left at the end, had %d", b.Available(), before)
			}
		})
	}
}
