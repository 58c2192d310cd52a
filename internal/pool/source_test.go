package pool

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 20 * time.Second

func testConfig() Config {
	return Config{
		Name:  "test",
		Zones: map[string]int{"a": 0},
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, IdleConnTimeout: 5 * time.Second, SlowStartWindow: 5 * time.Second,
			Classes: []balance.Class{
				{Deadline: 2 * time.Second, Idempotency: balance.Idempotent, PriorityWeight: 1},
				{Deadline: 2 * time.Second, Idempotency: balance.NonIdempotent, PriorityWeight: 1},
			},
		},
		Limits: Limits{BodyBytes: 8 << 20},
	}
}

func newPool(t *testing.T, cfg Config) *Pool {
	t.Helper()
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: 5 * time.Second, MaxConns: 32, LargeResponseBytes: 400 << 10, PassThroughStatus: true})
	t.Cleanup(conns.Close)
	p, err := New(cfg, conns)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// eventually waits until ok returns true.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// listResponse is the format of a discovery response with one endpoint.
const listResponse = `{"index":%d,"snapshot":%t,"endpoints":[{"name":%q,"address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}]}`

// The previous discovery service is followed until the new one has delivered its list. Then its
// endpoints are removed and its watch ends.
func TestPreviousSourceIsFollowedUntilNewListArrives(t *testing.T) {
	changes := make(chan string)
	oldWatchEnded := make(chan struct{})
	endOldWatch := sync.OnceFunc(func() { close(oldWatchEnded) })
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("after") {
			fmt.Fprintf(w, listResponse, 40, true, "old-1")
			return
		}
		select {
		case name := <-changes:
			fmt.Fprintf(w, listResponse, 41, false, name)
		case <-r.Context().Done():
			endOldWatch()
		case <-time.After(testTimeout):
		}
	}))
	defer old.Close()
	sendNewList := make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		select {
		case <-sendNewList:
			fmt.Fprintf(w, listResponse, 3, true, "new-1")
		case <-r.Context().Done():
		}
	}))
	defer next.Close()

	cfg := testConfig()
	cfg.Source = discovery.NewDiscovery(old.Listener.Addr().String(), discovery.LocalAgentTimeouts(0))
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	namesAre := func(want ...string) func() bool {
		return func() bool { return slices.Equal(p.conns.Names(), want) }
	}
	eventually(t, "the first list", namesAre("old-1"))
	p.SetSource(discovery.NewDiscovery(next.Listener.Addr().String(), discovery.LocalAgentTimeouts(0)))
	changes <- "old-2"
	eventually(t, "a change from the previous service after the switch", namesAre("old-1", "old-2"))
	close(sendNewList)
	eventually(t, "the list of the new service", namesAre("new-1"))
	select {
	case <-oldWatchEnded:
	case <-time.After(testTimeout):
		t.Fatal("the watch of the previous service did not end")
	}
}

// A new source that lags behind the version of the previous one does not make a draining endpoint
// available again. Its changes apply once it has caught up, and its snapshots always do.
func TestOutdatedListOfNewSourceIsIgnored(t *testing.T) {
	p := newPool(t, testConfig())
	oldSource, newSource := &source{Source: discovery.Fixed{}, number: 1, cancel: func() {}}, &source{Source: discovery.Fixed{}, number: 2, cancel: func() {}}
	p.sources = []*source{oldSource, newSource}
	entry := func(status discovery.Status) []discovery.Endpoint {
		return []discovery.Endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Status: status}}
	}
	p.handleList(oldSource, discovery.List{Index: 40, Snapshot: true, Endpoints: entry(discovery.InService)})
	p.handleList(oldSource, discovery.List{Index: 43, Endpoints: entry(discovery.Terminating)})
	p.handleList(newSource, discovery.List{Index: 42, Endpoints: entry(discovery.InService)}) // older than 43
	if l := p.List().Endpoints; len(l) != 1 || l[0].Status != discovery.Terminating {
		t.Fatalf("list %+v after an older change, want s-1 draining", l)
	}
	if index, known := p.ListVersion(); index != 43 || !known {
		t.Errorf("version %d, known %t, want 43, true", index, known)
	}
	p.handleList(newSource, discovery.List{Index: 44, Endpoints: entry(discovery.InService)})
	if l := p.List().Endpoints; len(l) != 1 || l[0].Status != discovery.InService {
		t.Errorf("list %+v after a newer change, want s-1 in service", l)
	}
	p.handleList(newSource, discovery.List{Index: 2, Snapshot: true, Endpoints: entry(discovery.Terminating)}) // the versions of this source restarted
	if index, _ := p.ListVersion(); index != 2 {
		t.Errorf("version %d after a snapshot, want 2", index)
	}
}
