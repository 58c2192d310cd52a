package daemon

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// isolationClasses are the classes of these tests, and receiptsRoute is the route of the service
// that must not be affected. The latency target of its class is long, so that a short stall of the
// machine does not make requests late.
const (
	isolationClasses = "[classes.default]\ndeadline = \"1s\"\naim = \"300ms\"\n[classes.receipt]\ndeadline = \"20s\"\naim = \"10s\"\n"
	receiptsRoute    = "[[routes]]\nhost = \"" + receiptsHost + "\"\npool = \"receipts\"\nclass = \"receipt\"\n"
)

// A pool that receives ten times its capacity, with slow callers and large bodies, does not
// affect another pool: the other pool's latencies match those before and after the overload,
// and none of its requests is rejected.
func TestSaturatedPoolDoesNotAffectOther(t *testing.T) {
	const (
		work     = 40 * time.Millisecond
		capacity = 2 * int(time.Second/work) // requests per second of two nodes with one core each
		phase    = 2 * time.Second
		rate     = 100 // requests per second to the measured service
	)
	donate := startNodes(t, "donate", 2, fakeserver.NodeConfig{Work: work, Cores: 1, Queue: 8})
	receipts := startNodes(t, "receipts", 2, fakeserver.NodeConfig{Latency: 5 * time.Millisecond})
	d := startDaemon(t, baseConfig,
		isolationClasses, poolText("donate", nodeList(donate)), poolText("receipts", nodeList(receipts)),
		routeText(donateHost, "donate"), receiptsRoute)
	c, load := newClient(t, d.publicAddr(t)), newClient(t, d.publicAddr(t))

	direct := newClient(t, receipts[0].Addr())
	measure := func() (proxied, directTimes *latencies) {
		proxied, directTimes = new(latencies), new(latencies)
		openLoop(2*rate, phase, func(i int, due time.Time) {
			to, of := c, proxied
			if i%2 == 1 {
				to, of = direct, directTimes
			}
			if r := to.get(receiptsHost, "/receipt/1"); r.status != 200 {
				t.Errorf("receipts: status %d %q, %v", r.status, r.body, r.err)
			}
			of.add(time.Since(due))
		})
		return proxied, directTimes
	}
	measure() // warms up
	before, _ := measure()
	var sent, served, rejected, other atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		large := strings.Repeat("b", 200<<10)
		openLoop(10*capacity, phase+500*time.Millisecond, func(i int, _ time.Time) {
			sent.Add(1)
			var r response
			switch {
			case i%20 == 0:
				req, _ := http.NewRequest(http.MethodPost, "http://"+donateHost+"/pledge", &slowBody{size: 5000, delay: 40 * time.Millisecond})
				if resp, err := load.Do(req); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					r.status = resp.StatusCode
				}
			case i%20 < 4:
				r = load.send(http.MethodPost, donateHost, "/pledge", large)
			default:
				r = load.get(donateHost, "/pledge/1")
			}
			switch r.status {
			case 200:
				served.Add(1)
			case 503:
				rejected.Add(1)
			default:
				other.Add(1)
			}
		})
	}()
	time.Sleep(250 * time.Millisecond)
	during, directDuring := measure()
	<-done
	after, _ := measure()
	t.Logf("donate: %d requests, %d served, %d rejected, %d with another result", sent.Load(), served.Load(), rejected.Load(), other.Load())
	for name, l := range map[string]*latencies{"before": before, "during": during, "sent directly to the nodes during": directDuring, "after": after} {
		t.Logf("receipts %s: p50 %v p99 %v", name, l.quantile(0.5), l.quantile(0.99))
	}
	if n := rejected.Load(); n < sent.Load()/2 {
		t.Errorf("%d of %d requests rejected, want at least half: the pool was not overloaded", n, sent.Load())
	}
	if served.Load() == 0 {
		t.Error("the saturated pool served no request")
	}
	// The bounds allow for other load on the machine, which delays a request through the
	// daemon up to twice as much as one sent directly to a node. Without isolation the
	// latency would be that of the saturated pool, at least 300 ms.
	for _, b := range []struct{ quantile, slack float64 }{{0.5, 0.02}, {0.99, 0.1}} {
		overloaded, undisturbed, directly := during.quantile(b.quantile), max(before.quantile(b.quantile), after.quantile(b.quantile)), directDuring.quantile(b.quantile)
		if overloaded > 2*undisturbed+2*directly+time.Duration(b.slack*float64(time.Second)) {
			t.Errorf("quantile %v: %v during the overload, %v before or after, %v directly to the nodes", b.quantile, overloaded, undisturbed, directly)
		}
	}
}

// A pool without working nodes does not affect another pool, which serves all its requests.
// The failed pool responds within bounded time and recovers with its nodes.
func TestFailedPoolDoesNotAffectOther(t *testing.T) {
	for name, breakNodes := range map[string]func(t *testing.T, nodes []*fakeserver.Node, file string){
		"refuse": func(t *testing.T, nodes []*fakeserver.Node, _ string) {
			for _, n := range nodes {
				n.SetMode(fakeserver.ModeReject)
			}
		},
		"vanish": func(t *testing.T, nodes []*fakeserver.Node, _ string) {
			for _, n := range nodes {
				n.Crash()
			}
		},
		"silent": func(t *testing.T, nodes []*fakeserver.Node, _ string) {
			for _, n := range nodes {
				n.SetMode(fakeserver.ModeNoResponse)
			}
		},
		"empty list": func(t *testing.T, _ []*fakeserver.Node, file string) { writeFile(t, file, "# none\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			donate := startNodes(t, "donate", 3, fakeserver.NodeConfig{})
			receipts := startNodes(t, "receipts", 2, fakeserver.NodeConfig{})
			file := filepath.Join(t.TempDir(), "nodes")
			var lines strings.Builder
			for _, n := range donate {
				lines.WriteString(n.Addr() + "\n")
			}
			writeFile(t, file, lines.String())
			d := startDaemon(t, baseConfig, isolationClasses,
				poolText("donate", "nodes_file = '"+file+"'\nrefresh = \"10ms\"\nrequests = 20\n"), poolText("receipts", nodeList(receipts)),
				routeText(donateHost, "donate"), receiptsRoute)
			c := newClient(t, d.publicAddr(t))
			eventually(t, "donate serves a request", func() bool { return c.get(donateHost, "/").status == 200 })
			breakNodes(t, donate, file)
			if name == "empty list" {
				eventually(t, "the list is empty", func() bool { return len(d.Pool("donate").List().Endpoints) == 0 })
			}
			var failed, slow atomic.Int64
			done := make(chan struct{})
			go func() {
				defer close(done)
				openLoop(200, time.Second, func(i int, due time.Time) {
					switch r := c.get(donateHost, "/"); r.status {
					case 502, 503, 504:
						failed.Add(1)
						if time.Since(due) > 10*time.Second {
							slow.Add(1)
						}
					default:
						t.Errorf("failed pool: status %d %q, %v", r.status, r.body, r.err)
					}
				})
			}()
			openLoop(100, time.Second, func(_ int, due time.Time) {
				if r := c.get(receiptsHost, "/"); r.status != 200 {
					t.Errorf("receipts: status %d %q, %v", r.status, r.body, r.err)
				}
			})
			<-done
			if failed.Load() != 200 || slow.Load() > 0 {
				t.Errorf("%d error responses of the failed pool, %d after more than ten times its deadline; want 200 and 0", failed.Load(), slow.Load())
			}
			// The pool recovers with its nodes.
			for _, n := range donate {
				if err := n.Restart(); err != nil {
					t.Fatal(err)
				}
				n.SetMode(fakeserver.ModeServe)
			}
			writeFile(t, file, lines.String()+"# changed\n")
			eventually(t, "donate serves again", func() bool { return c.get(donateHost, "/").status == 200 })
		})
	}
}

// writeFile replaces a file atomically, so that no reader sees an incomplete one.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// A pool at its limit of open requests rejects further ones immediately with Retry-After in
// whole seconds (RFC 9110, section 10.2.3), and still serves the open ones.
func TestFullPoolRejectsImmediately(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	d := startDaemon(t, baseConfig, poolText("a", nodeList(nodes)+"requests = 3\n"), routeText("", "a"))
	c := newClient(t, d.publicAddr(t))
	nodes[0].SetMode(fakeserver.ModeFreeze)
	statuses := make(chan int, 3)
	for range 3 {
		go func() { statuses <- c.get("x", "/").status }()
	}
	eventually(t, "three requests are at the node", func() bool { return nodes[0].OpenRequests() == 3 })
	started := time.Now()
	for _, body := range []string{"", "some"} {
		r := c.send(http.MethodPost, "x", "/", body)
		if r.status != 503 || r.header.Get("Retry-After") != "1" {
			t.Errorf("status %d, Retry-After %q, want 503 and 1", r.status, r.header.Get("Retry-After"))
		}
	}
	if took := time.Since(started); took > testTimeout/4 {
		t.Errorf("two rejections took %v", took)
	}
	if n := d.Pool("a").Stats().Full; n != 2 {
		t.Errorf("%d requests counted as rejected, want 2", n)
	}
	nodes[0].SetMode(fakeserver.ModeServe)
	for range 3 {
		if s := <-statuses; s != 200 {
			t.Errorf("status %d for an accepted request", s)
		}
	}
	if r := c.get("x", "/"); r.status != 200 {
		t.Errorf("status %d below the limit", r.status)
	}
}
