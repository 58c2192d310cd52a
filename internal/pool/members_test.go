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
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

func testConfig() Config {
	return Config{
		Name:  "test",
		Zones: map[string]int{"a": 0},
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 3, Multiplex: 1, IdleConnTimeout: 5 * time.Second, RampTime: 5 * time.Second,
			Classes: []balance.Class{
				{Deadline: 2 * time.Second, Semantics: balance.Safe, Worth: 1},
				{Deadline: 2 * time.Second, Semantics: balance.Unsafe, Worth: 1},
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

const listed = `{"index":%d,"snapshot":%t,"endpoints":[{"name":%q,"address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}]}`

// The old discovery service is heeded until the new one has told its list, and
// no longer: its endpoints go, and so does its watch.
func TestMoveLeavesNoGap(t *testing.T) {
	changes := make(chan string)
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("after") {
			fmt.Fprintf(w, listed, 40, true, "old-1")
			return
		}
		select {
		case name := <-changes:
			fmt.Fprintf(w, listed, 41, false, name)
		case <-r.Context().Done():
			end()
		case <-time.After(patience):
		}
	}))
	defer old.Close()
	tell := make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		select {
		case <-tell:
			fmt.Fprintf(w, listed, 3, true, "new-1")
		case <-r.Context().Done():
		}
	}))
	defer next.Close()

	cfg := testConfig()
	cfg.Source = nodes.NewDiscovery(old.Listener.Addr().String(), nodes.PushTimes(0))
	p := newPool(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	knows := func(want ...string) func() bool {
		return func() bool { return slices.Equal(p.conns.Names(), want) }
	}
	eventually(t, "the first list", knows("old-1"))
	p.SetSource(nodes.NewDiscovery(next.Listener.Addr().String(), nodes.PushTimes(0)))
	changes <- "old-2"
	eventually(t, "a change told by the old service after the move", knows("old-1", "old-2"))
	close(tell)
	eventually(t, "the list made whole from the new service", knows("new-1"))
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the old watch did not end")
	}
}

// A source that goes on where the one before was, and lags behind it, does not bring back
// what has been told to drain; what it tells once it has caught up counts.
func TestLaggingSourceBringsNothingBack(t *testing.T) {
	p := newPool(t, testConfig())
	one, two := &source{Source: nodes.Fixed{}, number: 1, cancel: func() {}}, &source{Source: nodes.Fixed{}, number: 2, cancel: func() {}}
	p.sources = []*source{one, two}
	entry := func(status nodes.Status) []nodes.Endpoint {
		return []nodes.Endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Status: status}}
	}
	p.handleList(one, nodes.List{Index: 40, Snapshot: true, Endpoints: entry(nodes.InService)})
	p.handleList(one, nodes.List{Index: 43, Endpoints: entry(nodes.Terminating)})
	p.handleList(two, nodes.List{Index: 42, Endpoints: entry(nodes.InService)}) // what was so before 43
	if l := p.List().Endpoints; len(l) != 1 || l[0].Status != nodes.Terminating {
		t.Fatalf("list %+v after a word that is older, want s-1 to drain", l)
	}
	if index, known := p.ListVersion(); index != 43 || !known {
		t.Errorf("version %d, %t, want 43", index, known)
	}
	p.handleList(two, nodes.List{Index: 44, Endpoints: entry(nodes.InService)})
	if l := p.List().Endpoints; len(l) != 1 || l[0].Status != nodes.InService {
		t.Errorf("list %+v after a newer word, want s-1 back", l)
	}
	p.handleList(two, nodes.List{Index: 2, Snapshot: true, Endpoints: entry(nodes.Terminating)}) // begun anew
	if index, _ := p.ListVersion(); index != 2 {
		t.Errorf("version %d after a whole list, want 2", index)
	}
}
