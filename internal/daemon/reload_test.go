package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/fakeserver"
)

// Reloads under load change routes, classes and limits and remove and restore a pool, and some
// of them are invalid. No request is lost or runs twice.
func TestReloadUnderLoad(t *testing.T) {
	const reloads = 200
	counter := newRunCounter()
	cfg := fakeserver.NodeConfig{Latency: 4 * time.Millisecond, Respond: counter.respond}
	a, b := startNodes(t, "a", 2, cfg), startNodes(t, "b", 2, cfg)
	configText := func(i int) string {
		text := baseConfig + poolText("a", nodeList(a))
		movingPool := "a"
		if i%2 == 1 {
			movingPool = "b"
		}
		if i%4 != 3 { // otherwise no route refers to b, and it is removed
			text += poolText("b", nodeList(b)+fmt.Sprintf("attempts = %d\n", 3+i/50))
			text += routeText("going.example.org", "b")
		} else {
			movingPool = "a"
		}
		if i%5 == 0 {
			text += fmt.Sprintf("[classes.default]\ndeadline = \"%ds\"\n", 8+i%3)
		}
		return text + routeText("moving.example.org", movingPool) + routeText("staying.example.org", "a")
	}
	d := startDaemon(t, configText(0))
	c := newClient(t, d.publicAddr(t))
	var sent, nonIdempotentSent, unrouted atomic.Int64
	var mu sync.Mutex
	tokens := map[string]bool{} // whether a non-idempotent request was served, by token
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 12 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				host := []string{"staying.example.org", "moving.example.org", "going.example.org"}[(w+i)%3]
				token := newToken()
				sent.Add(1)
				var r response
				if i%2 == 0 {
					r = c.get(host, "/x", "X-Token", token)
				} else {
					nonIdempotentSent.Add(1)
					r = c.send(http.MethodPost, host, "/x", "pledge", "X-Token", token)
				}
				switch {
				case r.status == 200 && r.body == token:
				case r.status == 404 && host == "going.example.org":
					unrouted.Add(1)
				default:
					t.Errorf("%s: status %d %q, %v", host, r.status, r.body, r.err)
				}
				if i%2 == 1 {
					mu.Lock()
					tokens[token] = r.status == 200
					mu.Unlock()
				}
			}
		})
	}
	rejected := 0
	for i := 1; i <= reloads; i++ {
		if i%10 == 0 {
			if _, err := config.ParseDaemon("x", []byte(configText(i)+"[[routes]]\npool = \"none\"\n")); err == nil {
				t.Fatal("an invalid configuration was accepted")
			}
			// This configuration is valid, but one of its addresses is in use.
			bad := parseConfig(t, strings.Replace(configText(i), "[pools.a]", "[listeners.more]\naddress = \""+a[0].Addr()+"\"\n[pools.a]", 1))
			if _, err := d.Apply(bad); err == nil {
				t.Error("a configuration with an address in use was applied")
			}
			rejected++
		}
		applyConfig(t, d, configText(i))
		time.Sleep(3 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	t.Logf("%d reloads, %d rejected ones; %d requests, %d of them non-idempotent, %d without a route", reloads, rejected, sent.Load(), nonIdempotentSent.Load(), unrouted.Load())
	if sent.Load() < 500 || unrouted.Load() == 0 {
		t.Errorf("%d requests, %d without a route, want at least 500 and 1", sent.Load(), unrouted.Load())
	}
	for token, served := range tokens {
		if n := counter.count(token); served && n != 1 || !served && n != 0 {
			t.Errorf("non-idempotent request %s ran %d times, served %t", token, n, served)
		}
	}
	for _, n := range append(a, b...) {
		for id, times := range n.RunsByID() {
			if times != 1 {
				t.Errorf("node %s ran %s %d times", n.Name(), id, times)
			}
		}
	}
}

// A pool that is reused keeps its learned state and its connections when its limits, its node
// list or other parts of the configuration change.
func TestReusedPoolKeepsState(t *testing.T) {
	a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
	d := startDaemon(t, baseConfig, poolText("a", nodeList(a)), routeText("", "a"))
	c := newClient(t, d.publicAddr(t))
	c.get("x", "/")
	kept, opened := d.Pool("a"), a[0].TotalConns()
	changes := applyConfig(t, d, baseConfig, "[classes.pay]\nworth = 5\n", poolText("a", nodeList(a)+"requests = 7\nmemory = \"9 MiB\"\nmax_body = \"64 KiB\"\n"), poolText("b", nodeList(b)),
		"[[routes]]\npath = \"/pay\"\npool = \"a\"\nclass = \"pay\"\n", routeText("", "a"), routeText("b.example.org", "b"))
	if d.Pool("a") != kept {
		t.Error("the pool was replaced")
	}
	if r := c.get("x", "/pay/1"); r.status != 200 || a[0].TotalConns() != opened {
		t.Errorf("status %d, %d connections opened, want %d", r.status, a[0].TotalConns(), opened)
	}
	if r := c.send(http.MethodPost, "x", "/", strings.Repeat("b", 65<<10)); r.status != 413 {
		t.Errorf("status %d for a body over the new limit", r.status)
	}
	all := strings.Join(changes, "\n")
	for _, want := range []string{"pool a: request limit is now 7", "pool a: maximum body size in bytes is now 65536", "pool b: added, endpoint list source: a fixed list", `route "/pay": added, pool a, class pay`, `route "b.example.org": added`} {
		if !strings.Contains(all, want) {
			t.Errorf("change not reported: %s; reported:\n%s", want, all)
		}
	}
	// The pool follows another node list without being replaced.
	applyConfig(t, d, baseConfig, poolText("a", nodeList(b)), routeText("", "a"))
	eventually(t, "the new node serves", func() bool { return strings.HasPrefix(c.get("x", "/").body, "b-0") })
	if d.Pool("a") != kept {
		t.Error("the pool was replaced for another node list")
	}
	// Other Balancer settings replace the pool, which keeps its connections.
	applyConfig(t, d, baseConfig, poolText("a", nodeList(b)+"attempts = 2\n"), routeText("", "a"))
	opened = b[0].TotalConns()
	if r := c.get("x", "/"); r.status != 200 || d.Pool("a") == kept || b[0].TotalConns() != opened {
		t.Errorf("status %d, same pool %t, %d connections opened, want 200, false and %d", r.status, d.Pool("a") == kept, b[0].TotalConns(), opened)
	}
}

// A removed pool completes its open requests. If it is added again before that, it is reused.
func TestRemovedPoolDrains(t *testing.T) {
	a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
	short := "[classes.default]\nmemory_span = \"50ms\"\n"
	with := []string{baseConfig, short, poolText("a", nodeList(a)), poolText("b", nodeList(b)), routeText("", "a"), routeText("b.example.org", "b")}
	without := []string{baseConfig, short, poolText("a", nodeList(a)), routeText("", "a")}
	d := startDaemon(t, with...)
	c := newClient(t, d.publicAddr(t))
	old := d.Pool("b")
	b[0].SetMode(fakeserver.ModeFreeze)
	done := make(chan response)
	startRequest := func() {
		go func() { done <- c.send(http.MethodPost, "b.example.org", "/", "x") }()
		eventually(t, "the request is at the node", func() bool { return b[0].OpenRequests() == 1 })
	}
	startRequest()
	applyConfig(t, d, without...)
	if r := c.get("b.example.org", "/"); !strings.HasPrefix(r.body, "a-0") {
		t.Errorf("after the removal: %d %q", r.status, r.body)
	}
	time.Sleep(100 * time.Millisecond) // longer than the retention time of keys
	applyConfig(t, d, with...)
	if d.Pool("b") != old || d.RetiredCount() != 0 {
		t.Errorf("restored while draining: same pool %t, %d retired", d.Pool("b") == old, d.RetiredCount())
	}
	applyConfig(t, d, without...)
	b[0].SetMode(fakeserver.ModeServe)
	if r := <-done; r.status != 200 || !strings.HasPrefix(r.body, "b-0") {
		t.Errorf("the open request: %d %q", r.status, r.body)
	}
	eventually(t, "the pool is closed", func() bool { return d.RetiredCount() == 0 && d.Pool("b") == nil })
	if n := b[0].TotalRuns(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	eventually(t, "its connections are closed", func() bool { return b[0].OpenConns() == 0 })
}

// A host can move to another pool between two requests on one connection.
func TestHostMovesBetweenRequests(t *testing.T) {
	a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
	pools := poolText("a", nodeList(a)) + poolText("b", nodeList(b))
	d := startDaemon(t, baseConfig, pools, routeText("x", "a"))
	conn, err := net.Dial("tcp", d.publicAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(conn)
	for i, want := range []string{"a-0", "b-0", "a-0"} {
		applyConfig(t, d, baseConfig, pools, routeText("x", want[:1]))
		fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || !strings.HasPrefix(string(body), want) {
			t.Errorf("request %d: %d %q, want %s", i, resp.StatusCode, body, want)
		}
	}
}

// A repeated request with a key goes to the same pool as before, even if the routing table has
// changed or the pool is draining. Once the pool is closed the repeat is rejected, because the
// request may have run there.
func TestRepeatsWithKeyStayInTheirPool(t *testing.T) {
	counter := newRunCounter()
	cfg := fakeserver.NodeConfig{Respond: func(req *http.Request, body []byte) fakeserver.Response {
		counter.respond(req, body)
		return fakeserver.Response{Body: req.Host}
	}}
	a, b := startNodes(t, "a", 1, cfg), startNodes(t, "b", 1, cfg)
	d := startDaemon(t, baseConfig, poolText("a", nodeList(a)), poolText("b", nodeList(b)), routeText("x", "a"))
	c := newClient(t, d.publicAddr(t))
	pay := func(key string) int {
		return c.send(http.MethodPost, "x", "/pay", "10", "Idempotency-Key", key).status
	}
	runs := func(wantA, wantB int) {
		t.Helper()
		if a[0].TotalRuns() != wantA || b[0].TotalRuns() != wantB {
			t.Errorf("%d and %d runs, want %d and %d", a[0].TotalRuns(), b[0].TotalRuns(), wantA, wantB)
		}
	}
	if s := pay("k1"); s != 200 {
		t.Fatalf("status %d", s)
	}
	runs(1, 0)
	applyConfig(t, d, baseConfig, poolText("a", nodeList(a)), poolText("b", nodeList(b)), routeText("x", "b"))
	if s := pay("k1"); s != 200 {
		t.Errorf("the repeat: status %d", s)
	}
	runs(2, 0) // by the same node, which knows the key
	if s := pay("k2"); s != 200 {
		t.Errorf("a new key: status %d", s)
	}
	runs(2, 1)
	applyConfig(t, d, baseConfig, poolText("b", nodeList(b)), routeText("x", "b"))
	if s := pay("k1"); s != 200 {
		t.Errorf("the repeat to a draining pool: status %d", s)
	}
	runs(3, 1)
	if s := c.send(http.MethodPost, "x", "/pay", "10").status; s != 200 {
		t.Errorf("without a key: status %d", s)
	}
	runs(3, 2)
	// Closes the pool as if its drain had ended.
	d.mu.Lock()
	d.closeDrained(time.Now().Add(time.Hour))
	d.mu.Unlock()
	if s := pay("k1"); s != http.StatusConflict {
		t.Errorf("the repeat to a closed pool: status %d, want 409", s)
	}
	runs(3, 2)
}

// A repeat with a key goes to the pool that has run the request, also if the request's body took longer
// to arrive than the key is remembered.
func TestRepeatAfterSlowBodyStaysInItsPool(t *testing.T) {
	const classes = "[classes.default]\ndeadline = \"400ms\"\nmemory_span = \"50ms\"\n"
	const bodyTime = 1200 * time.Millisecond // longer than any key is remembered
	cfg := fakeserver.NodeConfig{}
	a, b := startNodes(t, "a", 1, cfg), startNodes(t, "b", 1, cfg)
	pools := poolText("a", nodeList(a)) + poolText("b", nodeList(b))
	d := startDaemon(t, baseConfig, classes, pools, routeText("x", "a"))
	head := "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n"
	conn, err := net.Dial("tcp", d.publicAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, head+"1")
	time.Sleep(bodyTime)
	io.WriteString(conn, "0")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v", resp, err)
	}
	applyConfig(t, d, baseConfig, classes, pools, routeText("x", "b"))
	if status, body := sendRaw(t, d.publicAddr(t), head+"10"); status != 200 {
		t.Errorf("the repeat: status %d %q", status, body)
	}
	if b[0].TotalRuns() != 0 {
		t.Error("the repeat ran in the other pool")
	}
}

// A repeat with a key goes to the pool that has run the request, also after a reload that moves its route and
// shortens the time for which keys are deduplicated, or that removes the pool.
func TestRepeatAfterShorterWindowStaysInItsPool(t *testing.T) {
	classes := func(window string) string {
		return "[classes.default]\ndeadline = \"400ms\"\nmemory_span = \"" + window + "\"\n"
	}
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed_%t", removed), func(t *testing.T) {
			t.Parallel()
			a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
			poolA, poolB := poolText("a", nodeList(a)), poolText("b", nodeList(b))
			d := startDaemon(t, baseConfig, classes("30s"), poolA, poolB, routeText("x", "a"))
			c := newClient(t, d.publicAddr(t))
			pay := func() response { return c.send(http.MethodPost, "x", "/pay", "10", "Idempotency-Key", "k") }
			if r := pay(); r.status != 200 {
				t.Fatalf("status %d, %v", r.status, r.err)
			}
			if removed {
				poolA = ""
			}
			applyConfig(t, d, baseConfig, classes("10ms"), poolA, poolB, routeText("x", "b"))
			time.Sleep(1200 * time.Millisecond) // over twice the shorter window and the deadline, and a maintenance interval
			if r := pay(); r.status != 200 {
				t.Errorf("the repeat: status %d, %v", r.status, r.err)
			}
			if b[0].TotalRuns() != 0 {
				t.Error("the repeat ran in the other pool")
			}
		})
	}
}

// All pools together never exceed the connection limit for nodes, also while retired pools
// still have open connections.
func TestReplacedPoolsShareConnectionLimit(t *testing.T) {
	a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
	small := strings.Replace(baseConfig, "descriptors = 1032", "descriptors = 152", 1) // 60 each for callers and nodes
	d := startDaemon(t, small, poolText("a", nodeList(a)), routeText("", "a"))
	c := newClient(t, d.publicAddr(t))
	a[0].SetMode(fakeserver.ModeFreeze)
	done := make(chan int, 40)
	for range 40 {
		go func() { done <- c.get("x", "/").status }()
	}
	eventually(t, "40 requests are at the node", func() bool { return a[0].OpenRequests() == 40 })
	applyConfig(t, d, small, poolText("b", nodeList(b)), routeText("", "b"))
	if n := d.Pool("b").Conns().MaxConns(); n > 20 {
		t.Errorf("the new pool may open %d connections, want at most 20: 40 of 60 are in use", n)
	}
	if r := c.get("x", "/"); r.status != 200 {
		t.Errorf("status %d from the new pool", r.status)
	}
	a[0].SetMode(fakeserver.ModeServe)
	for range 40 {
		if s := <-done; s != 200 {
			t.Errorf("status %d for an open request", s)
		}
	}
	eventually(t, "the new pool may open all connections", func() bool { return d.Pool("b").Conns().MaxConns() == 60 })
}

// Adding, removing and replacing listeners neither interrupts service at their address nor
// closes a connection with an open request.
func TestListenerChanges(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{Latency: 2 * time.Millisecond})
	addr := freeAddr(t)
	text := func(more string) string {
		return "[listeners.public]\naddress = \"" + addr + "\"\n" + more + poolText("a", nodeList(nodes)) + routeText("", "a")
	}
	d := startDaemon(t, text(""))
	c := newClient(t, addr)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if r := c.get("x", "/"); r.status != 200 {
				t.Errorf("status %d, %v", r.status, r.err)
			}
		}
	}()
	for i := range 20 {
		applyConfig(t, d, text(fmt.Sprintf("idle_timeout = \"%ds\"\n", 5+i%2)))
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	<-done
	applyConfig(t, d, text("[listeners.inner]\naddress = \"127.0.0.1:0\"\n"))
	inner := d.Addr("inner").String()
	if r := newClient(t, inner).get("x", "/"); r.status != 200 {
		t.Errorf("a new listener: %d, %v", r.status, r.err)
	}
	applyConfig(t, d, strings.Replace(text(""), "listeners.public", "listeners.renamed", 1))
	if r := newClient(t, addr).get("x", "/"); r.status != 200 {
		t.Errorf("a renamed listener: %d, %v", r.status, r.err)
	}
	eventually(t, "the removed listener is closed", func() bool {
		conn, err := net.Dial("tcp", inner)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// freeAddr returns an address that was free when it was checked.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A drain reports not ready, responds to all accepted requests and ends.
func TestDrainServesOpenRequests(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{Latency: 150 * time.Millisecond})
	d := startDaemon(t, baseConfig, poolText("a", nodeList(nodes)), routeText("", "a"))
	addr := d.publicAddr(t)
	c := newClient(t, addr)
	statuses := make(chan int, 10)
	for range 10 {
		go func() { statuses <- c.get("x", "/").status }()
	}
	eventually(t, "all requests are at the node", func() bool { return nodes[0].OpenRequests() == 10 })
	ended := make(chan struct{})
	go func() { d.Drain(50*time.Millisecond, time.Now().Add(testTimeout)); close(ended) }()
	eventually(t, "the daemon reports not ready", func() bool { return c.get("x", "/-/ready").status != 200 })
	for range 10 {
		if s := <-statuses; s != 200 {
			t.Errorf("status %d for an accepted request", s)
		}
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
	if _, err := d.Apply(parseConfig(t, baseConfig, poolText("a", nodeList(nodes)), routeText("", "a"))); err == nil {
		t.Error("a configuration was applied after the drain")
	}
}
