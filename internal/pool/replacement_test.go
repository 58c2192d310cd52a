package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// countingNode is a node that counts its requests and records the time of the last one.
type countingNode struct {
	*httptest.Server
	requests    atomic.Int64
	lastRequest atomic.Int64 // Unix ns
}

// newCountingNode starts a countingNode on l, or on a free port if l is nil.
func newCountingNode(t *testing.T, l net.Listener) *countingNode {
	n := &countingNode{}
	n.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		n.lastRequest.Store(time.Now().UnixNano())
		io.WriteString(w, "ok")
	}))
	if l != nil {
		n.Server.Listener.Close()
		n.Server.Listener = l
	}
	n.Start()
	t.Cleanup(n.Close)
	return n
}

func (n *countingNode) address() string { return n.Server.Listener.Addr().String() }

// sendRequests makes requests of a class one after another until stop is closed and counts their
// outcomes.
func sendRequests(p *Pool, class int, stop <-chan struct{}) (outcomes [CallerGone + 1]int) {
	for {
		select {
		case <-stop:
			return outcomes
		case <-time.After(3 * time.Millisecond):
		}
		r := &Request{Class: class, Tenant: -1, Budget: 2 * time.Second, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x", NonIdempotent: class == 1}}
		if err := p.Submit(r); err != nil {
			continue
		}
		p.RunFirstAttempt(r)
		a := <-r.Response()
		if a.Upstream != nil {
			a.Upstream.Release()
		}
		outcomes[a.Outcome]++
		p.Done(r)
	}
}

// Three of six nodes are replaced one by one while discovery rejects two of three calls. Each drain
// is delivered within MaxWatchInterval, a draining node gets no new requests, and no request is
// lost.
func TestRollingReplacementDuringDiscoveryErrors(t *testing.T) {
	const maxWatchInterval = 4 * time.Second
	type change struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Group   int    `json:"group"`
		Status  string `json:"status"`
		SinceMs int64  `json:"since_ms"`
	}
	var mu sync.Mutex
	var changes []change // the list index is the number of changes
	calls, accepted := 0, 0
	drainSentAt := map[string]time.Time{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		reject := calls%3 != 0
		mu.Unlock()
		if reject {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		snapshot := err != nil
		for end := time.Now().Add(500 * time.Millisecond); !snapshot && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			changed := len(changes) > after
			mu.Unlock()
			if changed || r.Context().Err() != nil {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		list := changes[after:]
		if snapshot {
			now := map[string]change{}
			for _, c := range changes {
				now[c.Name] = c
			}
			list = nil
			for _, c := range now {
				list = append(list, c)
			}
		}
		body, _ := json.Marshal(map[string]any{"index": len(changes), "snapshot": snapshot, "endpoints": list})
		w.Write(body)
		accepted++
		for _, c := range list {
			if _, ok := drainSentAt[c.Name]; !ok && c.Status == string(discovery.Terminating) {
				drainSentAt[c.Name] = time.Now()
			}
		}
	}))
	t.Cleanup(srv.Close)
	nodesByName := map[string]*countingNode{}
	addChange := func(name, status string) {
		if nodesByName[name] == nil {
			nodesByName[name] = newCountingNode(t, nil)
		}
		c := change{Name: name, Address: nodesByName[name].address(), Zone: "a", Status: status}
		mu.Lock()
		changes = append(changes, c)
		mu.Unlock()
	}
	for i := range 6 {
		addChange(fmt.Sprintf("old-%d", i), string(discovery.InService))
	}
	cfg := testConfig()
	cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval = true, maxWatchInterval
	cfg.Source = discovery.NewDiscovery(srv.Listener.Addr().String(), discovery.Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second})
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	eventually(t, "the first list", p.HasList)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var unserved atomic.Int64
	for i := range 4 {
		callers.Go(func() {
			outcomes := sendRequests(p, i%2, stop)
			unserved.Add(int64(outcomes[Rejected] + outcomes[Failed] + outcomes[TimedOut]))
		})
	}
	drainAddedAt := map[string]time.Time{}
	for i := range 3 {
		time.Sleep(200 * time.Millisecond)
		addChange(fmt.Sprintf("new-%d", i), string(discovery.InService))
		name := fmt.Sprintf("old-%d", i)
		drainAddedAt[name] = time.Now()
		addChange(name, string(discovery.Terminating))
	}
	eventually(t, "all drains are delivered", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(drainSentAt) == 3
	})
	time.Sleep(time.Second) // draining nodes must get no requests in this time
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	for name, sentAt := range drainSentAt {
		if took := sentAt.Sub(drainAddedAt[name]); took > maxWatchInterval {
			t.Errorf("%s: drain delivered after %v, want at most %v", name, took, maxWatchInterval)
		}
		// The drain grace is 2 s; a request that is sent as the list arrives is received later.
		if last := time.Unix(0, nodesByName[name].lastRequest.Load()); last.After(sentAt.Add(500 * time.Millisecond)) {
			t.Errorf("%s received a request %v after its drain was delivered", name, last.Sub(sentAt))
		}
	}
	for name, n := range nodesByName {
		if n.requests.Load() == 0 {
			t.Errorf("%s received no request", name)
		}
	}
	if n := unserved.Load(); n > 0 {
		t.Errorf("%d requests were rejected, failed or timed out, want none", n)
	}
	if calls < 2*accepted {
		t.Errorf("discovery accepted %d of %d calls, want it to reject two of three", accepted, calls)
	}
}

// A node is replaced by another one with a new name at the same address while connections to the
// old one are still kept. No non-idempotent request fails on these connections.
func TestAddressIsReusedByAnotherNode(t *testing.T) {
	first, steady := newCountingNode(t, nil), newCountingNode(t, nil)
	entry := func(name string, n *countingNode, status discovery.Status, since time.Time) discovery.Endpoint {
		e := discovery.Endpoint{Name: name, Address: n.address(), Zone: "a", Status: status}
		if !since.IsZero() {
			e.SinceMs = since.UnixMilli()
		}
		return e
	}
	cfg := testConfig()
	cfg.Known = discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{
		entry("s-1", first, discovery.InService, time.Time{}), entry("s-0", steady, discovery.InService, time.Time{}),
	}}
	p := newPool(t, cfg)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	startCallers := func() (total func() [CallerGone + 1]int) {
		var mu sync.Mutex
		var sum [CallerGone + 1]int
		stop = make(chan struct{})
		for range 4 {
			callers.Go(func() {
				outcomes := sendRequests(p, 1, stop)
				mu.Lock()
				defer mu.Unlock()
				for i, n := range outcomes {
					sum[i] += n
				}
			})
		}
		return func() [CallerGone + 1]int { close(stop); callers.Wait(); return sum }
	}
	stopCallers := startCallers()
	eventually(t, "both nodes have received requests", func() bool { return first.requests.Load() > 20 && steady.requests.Load() > 20 })
	if sum := stopCallers(); sum[Failed]+sum[TimedOut]+sum[Rejected] > 0 {
		t.Fatalf("served, rejected, failed, timed out, caller gone: %v with two healthy nodes, want only served", sum)
	}

	address := first.address()
	first.Close() // as when its process exits: its connections end
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	second := newCountingNode(t, l)
	p.mu.Lock()
	p.applyList(balance.Delta, discovery.List{Endpoints: []discovery.Endpoint{
		entry("s-1", first, "terminated", time.Time{}),
		entry("s-2", second, discovery.InService, time.Now().Add(-time.Minute)),
	}})
	p.mu.Unlock()
	before := first.requests.Load()
	stopCallers = startCallers()
	eventually(t, "the new node has received requests", func() bool { return second.requests.Load() > 50 && steady.requests.Load() > 50 })
	if sum := stopCallers(); sum[Failed]+sum[TimedOut]+sum[Rejected] > 0 {
		t.Errorf("served, rejected, failed, timed out, caller gone: %v with another node at the address, want only served", sum)
	}
	if n := first.requests.Load() - before; n > 0 {
		t.Errorf("the replaced node received %d requests", n)
	}
	names := p.conns.Names()
	if len(names) != 2 {
		t.Errorf("connections are kept for %v, want s-0 and s-2", names)
	}
}
