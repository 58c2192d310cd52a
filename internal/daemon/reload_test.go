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
	"gorselink/internal/standin"
)

// Two hundred reloads under load: the table moves, a pool goes and comes back
// with requests open, classes and limits change, some files are broken. By the
// nodes' own counts nothing is lost and nothing runs twice.
func TestReloadInFlight(t *testing.T) {
	const reloads = 200
	count := newTally()
	cfg := standin.NodeConfig{Latency: 4 * time.Millisecond, Answer: count.answer}
	a, b := startNodes(t, "a", 2, cfg), startNodes(t, "b", 2, cfg)
	file := func(i int) string {
		text := head + poolText("a", list(a))
		moving := "a"
		if i%2 == 1 {
			moving = "b"
		}
		if i%4 != 3 { // else nothing leads to b and it goes
			text += poolText("b", list(b)+fmt.Sprintf("attempts = %d\n", 3+i/50))
			text += routeText("going.example.org", "b")
		} else {
			moving = "a"
		}
		if i%5 == 0 {
			text += fmt.Sprintf("[classes.default]\ndeadline = \"%ds\"\n", 8+i%3)
		}
		return text + routeText("moving.example.org", moving) + routeText("staying.example.org", "a")
	}
	d := start(t, file(0))
	c := newClient(t, d.at(t))
	var sent, unsafe, gone atomic.Int64
	var mu sync.Mutex
	tokens := map[string]bool{} // of unsafe requests: whether they were served
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
				var r reply
				if i%2 == 0 {
					r = c.get(host, "/x", "X-Token", token)
				} else {
					unsafe.Add(1)
					r = c.ask(http.MethodPost, host, "/x", "pledge", "X-Token", token)
				}
				switch {
				case r.status == 200 && r.body == token:
				case r.status == 404 && host == "going.example.org":
					gone.Add(1)
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
	broken := 0
	for i := 1; i <= reloads; i++ {
		if i%10 == 0 {
			if _, err := config.ParseDaemon("x", []byte(file(i)+"[[routes]]\npool = \"none\"\n")); err == nil {
				t.Fatal("a broken file was taken")
			}
			// And one that is whole, but names an address that is in use.
			bad := parse(t, strings.Replace(file(i), "[pools.a]", "[listeners.more]\naddress = \""+a[0].Addr()+"\"\n[pools.a]", 1))
			if _, err := d.Apply(bad); err == nil {
				t.Error("an address in use was taken")
			}
			broken++
		}
		apply(t, d, file(i))
		time.Sleep(3 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	t.Logf("%d reloads and %d broken ones; %d requests, %d of them unsafe, %d without a route", reloads, broken, sent.Load(), unsafe.Load(), gone.Load())
	if sent.Load() < 500 || gone.Load() == 0 {
		t.Errorf("%d requests, %d to the service that went: the test tested little", sent.Load(), gone.Load())
	}
	for token, served := range tokens {
		if n := count.of(token); served && n != 1 || !served && n != 0 {
			t.Errorf("unsafe request %s ran %d times, served %t", token, n, served)
		}
	}
	for _, n := range append(a, b...) {
		for id, times := range n.Runs() {
			if times != 1 {
				t.Errorf("node %s ran %s %d times", n.Name(), id, times)
			}
		}
	}
}

// A pool that stays keeps what it has learnt and its connections, whatever else
// in the file changes; only other limits do not touch it either.
func TestKeptPoolKeepsWhatItHas(t *testing.T) {
	a, b := startNodes(t, "a", 1, standin.NodeConfig{}), startNodes(t, "b", 1, standin.NodeConfig{})
	d := start(t, head, poolText("a", list(a)), routeText("", "a"))
	c := newClient(t, d.at(t))
	c.get("x", "/")
	kept, opened := d.Pool("a"), a[0].Opened()
	changes := apply(t, d, head, "[classes.pay]\nworth = 5\n", poolText("a", list(a)+"requests = 7\nmemory = \"9 MiB\"\nmax_body = \"64 KiB\"\n"), poolText("b", list(b)),
		"[[routes]]\npath = \"/pay\"\npool = \"a\"\nclass = \"pay\"\n", routeText("", "a"), routeText("b.example.org", "b"))
	if d.Pool("a") != kept {
		t.Error("the pool was made anew")
	}
	if r := c.get("x", "/pay/1"); r.status != 200 || a[0].Opened() != opened {
		t.Errorf("status %d, %d connections opened, had %d", r.status, a[0].Opened(), opened)
	}
	if r := c.ask(http.MethodPost, "x", "/", strings.Repeat("b", 65<<10)); r.status != 413 {
		t.Errorf("status %d for a body over the new limit", r.status)
	}
	all := strings.Join(changes, "\n")
	for _, want := range []string{"pool a: requests 7", "pool a: bytes of the longest body 65536", "pool b: new, a fixed list", `route "/pay": new, to pool a as pay`, `route "b.example.org": new`} {
		if !strings.Contains(all, want) {
			t.Errorf("not told: %s; told:\n%s", want, all)
		}
	}
	// Another node list is followed by the pool that there is.
	apply(t, d, head, poolText("a", list(b)), routeText("", "a"))
	eventually(t, "the new node", func() bool { return strings.HasPrefix(c.get("x", "/").body, "b-0") })
	if d.Pool("a") != kept {
		t.Error("the pool was made anew for another list")
	}
	// Other rules of choosing begin anew, over the connections that there are.
	apply(t, d, head, poolText("a", list(b)+"attempts = 2\n"), routeText("", "a"))
	opened = b[0].Opened()
	if r := c.get("x", "/"); r.status != 200 || d.Pool("a") == kept || b[0].Opened() != opened {
		t.Errorf("status %d, the same pool %t, %d connections opened, had %d", r.status, d.Pool("a") == kept, b[0].Opened(), opened)
	}
}

// A removed pool ends what it has taken; one that is put back meanwhile is the
// one that was there.
func TestRemovedPoolDrains(t *testing.T) {
	a, b := startNodes(t, "a", 1, standin.NodeConfig{}), startNodes(t, "b", 1, standin.NodeConfig{})
	short := "[classes.default]\nmemory_span = \"50ms\"\n"
	with := []string{head, short, poolText("a", list(a)), poolText("b", list(b)), routeText("", "a"), routeText("b.example.org", "b")}
	without := []string{head, short, poolText("a", list(a)), routeText("", "a")}
	d := start(t, with...)
	c := newClient(t, d.at(t))
	old := d.Pool("b")
	b[0].Set(standin.Freeze)
	done := make(chan reply)
	ask := func() {
		go func() { done <- c.ask(http.MethodPost, "b.example.org", "/", "x") }()
		eventually(t, "the request at the node", func() bool { return b[0].Open() == 1 })
	}
	ask()
	apply(t, d, without...)
	if r := c.get("b.example.org", "/"); !strings.HasPrefix(r.body, "a-0") {
		t.Errorf("after the removal: %d %q", r.status, r.body)
	}
	time.Sleep(100 * time.Millisecond) // past the span of keys
	apply(t, d, with...)
	if d.Pool("b") != old || d.Retired() != 0 {
		t.Errorf("put back while it drains: the same pool %t, %d retired", d.Pool("b") == old, d.Retired())
	}
	apply(t, d, without...)
	b[0].Set(standin.Serve)
	if r := <-done; r.status != 200 || !strings.HasPrefix(r.body, "b-0") {
		t.Errorf("the request that was open: %d %q", r.status, r.body)
	}
	eventually(t, "the pool is let go", func() bool { return d.Retired() == 0 && d.Pool("b") == nil })
	if n := b[0].Total(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	eventually(t, "its connections are closed", func() bool { return b[0].Conns() == 0 })
}

// Between two requests on one connection the host moves to another pool.
func TestHostMovesBetweenTwoRequests(t *testing.T) {
	a, b := startNodes(t, "a", 1, standin.NodeConfig{}), startNodes(t, "b", 1, standin.NodeConfig{})
	pools := poolText("a", list(a)) + poolText("b", list(b))
	d := start(t, head, pools, routeText("x", "a"))
	conn, err := net.Dial("tcp", d.at(t))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(conn)
	for i, want := range []string{"a-0", "b-0", "a-0"} {
		apply(t, d, head, pools, routeText("x", want[:1]))
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

// A keyed request that comes again goes where it went before, though the table
// leads elsewhere now, and though that pool has been removed. Once the pool is
// gone the repeat is turned away: it may have run there.
func TestKeyedRepeatsDoNotCrossPools(t *testing.T) {
	count := newTally()
	cfg := standin.NodeConfig{Answer: func(req *http.Request, body []byte) standin.Answer {
		count.answer(req, body)
		return standin.Answer{Body: req.Host}
	}}
	a, b := startNodes(t, "a", 1, cfg), startNodes(t, "b", 1, cfg)
	d := start(t, head, poolText("a", list(a)), poolText("b", list(b)), routeText("x", "a"))
	c := newClient(t, d.at(t))
	pay := func(key string) int {
		return c.ask(http.MethodPost, "x", "/pay", "10", "Idempotency-Key", key).status
	}
	runs := func(wantA, wantB int) {
		t.Helper()
		if a[0].Total() != wantA || b[0].Total() != wantB {
			t.Errorf("%d and %d runs, want %d and %d", a[0].Total(), b[0].Total(), wantA, wantB)
		}
	}
	if s := pay("k1"); s != 200 {
		t.Fatalf("status %d", s)
	}
	runs(1, 0)
	apply(t, d, head, poolText("a", list(a)), poolText("b", list(b)), routeText("x", "b"))
	if s := pay("k1"); s != 200 {
		t.Errorf("the repeat: status %d", s)
	}
	runs(2, 0) // by the same nodes, which know the key
	if s := pay("k2"); s != 200 {
		t.Errorf("a new key: status %d", s)
	}
	runs(2, 1)
	apply(t, d, head, poolText("b", list(b)), routeText("x", "b"))
	if s := pay("k1"); s != 200 {
		t.Errorf("the repeat to a removed pool: status %d", s)
	}
	runs(3, 1)
	if s := c.ask(http.MethodPost, "x", "/pay", "10").status; s != 200 {
		t.Errorf("without a key: status %d", s)
	}
	runs(3, 2)
	// As if the drain had ended.
	d.mu.Lock()
	d.letGo(time.Now().Add(time.Hour))
	d.mu.Unlock()
	if s := pay("k1"); s != http.StatusConflict {
		t.Errorf("the repeat to a pool that is gone: status %d, want 409", s)
	}
	runs(3, 2)
}

// All pools together never hold more connections than there are for nodes, also
// while those that were replaced still hold theirs.
func TestConnectionsAreHandedOverNotDoubled(t *testing.T) {
	a, b := startNodes(t, "a", 1, standin.NodeConfig{}), startNodes(t, "b", 1, standin.NodeConfig{})
	small := strings.Replace(head, "descriptors = 1032", "descriptors = 152", 1) // 60 on each side
	d := start(t, small, poolText("a", list(a)), routeText("", "a"))
	c := newClient(t, d.at(t))
	a[0].Set(standin.Freeze)
	done := make(chan int, 40)
	for range 40 {
		go func() { done <- c.get("x", "/").status }()
	}
	eventually(t, "40 at the node", func() bool { return a[0].Open() == 40 })
	apply(t, d, small, poolText("b", list(b)), routeText("", "b"))
	if n := d.Pool("b").Conns().MaxConns(); n > 20 {
		t.Errorf("the new pool may open %d connections beside 40 of the old one, of 60", n)
	}
	if r := c.get("x", "/"); r.status != 200 {
		t.Errorf("status %d by the new pool", r.status)
	}
	a[0].Set(standin.Serve)
	for range 40 {
		if s := <-done; s != 200 {
			t.Errorf("status %d for what was open", s)
		}
	}
	eventually(t, "all connections are the new pool's", func() bool { return d.Pool("b").Conns().MaxConns() == 60 })
}

// Listeners come, go and change their form in place, with no moment in which
// the address is not served and no connection cut under a request.
func TestListenersChange(t *testing.T) {
	nodes := startNodes(t, "n", 1, standin.NodeConfig{Latency: 2 * time.Millisecond})
	addr := freeAddr(t)
	text := func(more string) string {
		return "[listeners.public]\naddress = \"" + addr + "\"\n" + more + poolText("a", list(nodes)) + routeText("", "a")
	}
	d := start(t, text(""))
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
		apply(t, d, text(fmt.Sprintf("idle_timeout = \"%ds\"\n", 5+i%2)))
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	<-done
	apply(t, d, text("[listeners.inner]\naddress = \"127.0.0.1:0\"\n"))
	inner := d.Addr("inner").String()
	if r := newClient(t, inner).get("x", "/"); r.status != 200 {
		t.Errorf("a new listener: %d, %v", r.status, r.err)
	}
	apply(t, d, strings.Replace(text(""), "listeners.public", "listeners.renamed", 1))
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

// freeAddr is an address that was free a moment ago.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A drain answers all that was taken and turns the callers away from then on.
func TestDrainAnswersAll(t *testing.T) {
	nodes := startNodes(t, "n", 1, standin.NodeConfig{Latency: 150 * time.Millisecond})
	d := start(t, head, poolText("a", list(nodes)), routeText("", "a"))
	addr := d.at(t)
	c := newClient(t, addr)
	statuses := make(chan int, 10)
	for range 10 {
		go func() { statuses <- c.get("x", "/").status }()
	}
	eventually(t, "all at the node", func() bool { return nodes[0].Open() == 10 })
	ended := make(chan struct{})
	go func() { d.Drain(50*time.Millisecond, time.Now().Add(patience)); close(ended) }()
	eventually(t, "not ready", func() bool { return c.get("x", "/-/ready").status != 200 })
	for range 10 {
		if s := <-statuses; s != 200 {
			t.Errorf("status %d for a request that was taken", s)
		}
	}
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the drain did not end")
	}
	if _, err := d.Apply(parse(t, head, poolText("a", list(nodes)), routeText("", "a"))); err == nil {
		t.Error("a configuration was taken after the drain")
	}
}
