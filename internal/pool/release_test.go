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
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// tally is a node that remembers when it was last asked.
type tally struct {
	*httptest.Server
	asked atomic.Int64
	last  atomic.Int64 // Unix ns
}

func newTally(t *testing.T, l net.Listener) *tally {
	n := &tally{}
	n.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.asked.Add(1)
		n.last.Store(time.Now().UnixNano())
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

func (n *tally) address() string { return n.Server.Listener.Addr().String() }

// asks makes requests of a class one after another until stop, and counts how each ended.
func asks(p *Pool, class int, stop <-chan struct{}) (ends [CallerGone + 1]int) {
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(3 * time.Millisecond):
		}
		r := &Request{Class: class, Tenant: -1, Budget: 2 * time.Second, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x", NonIdempotent: class == 1}}
		if err := p.Submit(r); err != nil {
			continue
		}
		p.RunFirstAttempt(r)
		a := <-r.Answer()
		if a.Upstream != nil {
			a.Upstream.Release()
		}
		ends[a.Verdict]++
		p.Done(r)
	}
}

// Half of six nodes are replaced step by step while discovery turns away two calls in
// three. A node gets nothing new once its end has been told, the news comes within the
// time by which it counts as told, and no request is lost to it.
func TestReleaseWhileDiscoveryTurnsAway(t *testing.T) {
	const askWithin = 4 * time.Second
	type change struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Group   int    `json:"group"`
		Status  string `json:"status"`
		SinceMs int64  `json:"since_ms"`
	}
	var mu sync.Mutex
	var changes []change // the index is their number
	calls, told := 0, 0
	toldAt := map[string]time.Time{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		bad := calls%3 != 0
		mu.Unlock()
		if bad {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		whole := err != nil
		for end := time.Now().Add(500 * time.Millisecond); !whole && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			news := len(changes) > after
			mu.Unlock()
			if news || r.Context().Err() != nil {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		list := changes[after:]
		if whole {
			now := map[string]change{}
			for _, c := range changes {
				now[c.Name] = c
			}
			list = nil
			for _, c := range now {
				list = append(list, c)
			}
		}
		body, _ := json.Marshal(map[string]any{"index": len(changes), "snapshot": whole, "endpoints": list})
		w.Write(body)
		told++
		for _, c := range list {
			if _, ok := toldAt[c.Name]; !ok && c.Status == string(nodes.Terminating) {
				toldAt[c.Name] = time.Now()
			}
		}
	}))
	t.Cleanup(srv.Close)
	all := map[string]*tally{}
	tell := func(name, status string) {
		if all[name] == nil {
			all[name] = newTally(t, nil)
		}
		c := change{Name: name, Address: all[name].address(), Zone: "a", Status: status}
		mu.Lock()
		changes = append(changes, c)
		mu.Unlock()
	}
	for i := range 6 {
		tell(fmt.Sprintf("old-%d", i), string(nodes.InService))
	}
	cfg := testConfig()
	cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval = true, askWithin
	cfg.Source = nodes.NewDiscovery(srv.Listener.Addr().String(), nodes.Times{Wait: time.Second, Answer: time.Second, List: 2 * time.Second})
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	eventually(t, "the first list", p.HasList)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var bad atomic.Int64
	for i := range 4 {
		callers.Go(func() {
			ends := asks(p, i%2, stop)
			bad.Add(int64(ends[Refused] + ends[Failed] + ends[TimedOut]))
		})
	}
	began := map[string]time.Time{}
	for i := range 3 {
		time.Sleep(200 * time.Millisecond)
		tell(fmt.Sprintf("new-%d", i), string(nodes.InService))
		name := fmt.Sprintf("old-%d", i)
		began[name] = time.Now()
		tell(name, string(nodes.Terminating))
	}
	eventually(t, "all is told", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(toldAt) == 3
	})
	time.Sleep(time.Second) // in which nothing may come
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	for name, at := range toldAt {
		if took := at.Sub(began[name]); took > askWithin {
			t.Errorf("%s: told after %v, want %v at most", name, took, askWithin)
		}
		// The rule allows 2 s; what was sent as the news came arrives a moment later.
		if last := time.Unix(0, all[name].last.Load()); last.After(at.Add(500 * time.Millisecond)) {
			t.Errorf("%s drains and is asked %v after that was told", name, last.Sub(at))
		}
	}
	for name, n := range all {
		if n.asked.Load() == 0 {
			t.Errorf("%s is never asked", name)
		}
	}
	if n := bad.Load(); n > 0 {
		t.Errorf("%d requests refused or failed in a release without any fault", n)
	}
	if calls < 2*told {
		t.Errorf("%d of %d calls were heard: discovery did not turn away two in three", told, calls)
	}
}

// An address is used again: its node goes, and another one comes there under a new name
// while the old connections are still kept. What must not run twice is not lost to them,
// and what was learnt of the one is not held against the other.
func TestAddressUsedAgain(t *testing.T) {
	first, steady := newTally(t, nil), newTally(t, nil)
	entry := func(name string, n *tally, status nodes.Status, since time.Time) nodes.Endpoint {
		e := nodes.Endpoint{Name: name, Address: n.address(), Zone: "a", Status: status}
		if !since.IsZero() {
			e.SinceMs = since.UnixMilli()
		}
		return e
	}
	cfg := testConfig()
	cfg.Known = nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{
		entry("s-1", first, nodes.InService, time.Time{}), entry("s-0", steady, nodes.InService, time.Time{}),
	}}
	p := newPool(t, cfg)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	ask := func() (total func() [CallerGone + 1]int) {
		var mu sync.Mutex
		var sum [CallerGone + 1]int
		stop = make(chan struct{})
		for range 4 {
			callers.Go(func() {
				ends := asks(p, 1, stop)
				mu.Lock()
				defer mu.Unlock()
				for i, n := range ends {
					sum[i] += n
				}
			})
		}
		return func() [CallerGone + 1]int { close(stop); callers.Wait(); return sum }
	}
	ends := ask()
	eventually(t, "both are asked", func() bool { return first.asked.Load() > 20 && steady.asked.Load() > 20 })
	if sum := ends(); sum[Failed]+sum[TimedOut]+sum[Refused] > 0 {
		t.Fatalf("served, refused, failed, late, left: %v with two sound nodes", sum)
	}

	address := first.address()
	first.Close() // its process dies, and its connections with it
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	second := newTally(t, l)
	p.mu.Lock()
	p.applyList(balance.Delta, nodes.List{Endpoints: []nodes.Endpoint{
		entry("s-1", first, "terminated", time.Time{}),
		entry("s-2", second, nodes.InService, time.Now().Add(-time.Minute)),
	}})
	p.mu.Unlock()
	was := first.asked.Load()
	ends = ask()
	eventually(t, "the new one is asked", func() bool { return second.asked.Load() > 50 && steady.asked.Load() > 50 })
	if sum := ends(); sum[Failed]+sum[TimedOut]+sum[Refused] > 0 {
		t.Errorf("served, refused, failed, late, left: %v once another node is at the address", sum)
	}
	if n := first.asked.Load() - was; n > 0 {
		t.Errorf("the node that is gone got %d requests", n)
	}
	names := p.conns.Names()
	if len(names) != 2 {
		t.Errorf("connections are kept for %v, want s-0 and s-2", names)
	}
}
