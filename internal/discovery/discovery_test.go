package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

const endpointJSON = `{"name":"s-1","address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}`

// follow runs a Discovery against the handler until it has delivered n lists.
func follow(t *testing.T, n int, handler http.HandlerFunc) (lists []List, err error) {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	discovery := NewDiscovery(srv.Listener.Addr().String(), Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second})
	defer discovery.Close()
	err = discovery.Follow(ctx, func(l List) {
		if lists = append(lists, l); len(lists) == n {
			cancel()
		}
	})
	return lists, err
}

// The first call requests a snapshot and the next ones request changes. A lower index
// makes Follow fetch a snapshot.
func TestFollow(t *testing.T) {
	var queries []string
	lists, _ := follow(t, 3, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		index, snapshot := 40+len(queries), len(queries) == 1
		if len(queries) > 2 {
			index = 5 // the service has restarted
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, endpointJSON)
	})
	if len(lists) != 3 || !lists[0].Snapshot || lists[1].Snapshot || !lists[2].Snapshot || lists[2].Index != 5 {
		t.Fatalf("lists %+v, want a snapshot, a change and a snapshot with index 5", lists)
	}
	if queries[0] != "" || !strings.HasPrefix(queries[1], "after=41&") || queries[3] != "" {
		t.Errorf("queries %q, want a snapshot, changes after 41 and a snapshot", queries)
	}
}

// After Resume the first call requests the changes since the index without long polling. A
// snapshot is requested only if the index has been reset.
func TestResume(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    string // response to the first call
		query    string // of the second call
		snapshot bool   // whether the first list delivered is a snapshot
	}{
		{"changes", `{"index":43,"snapshot":false,"endpoints":[%s]}`, "after=43&wait_ms=1000", false},
		{"no changes", `{"index":41,"snapshot":false,"endpoints":[]}`, "after=41&wait_ms=1000", false},
		{"history too short", `{"index":99,"snapshot":true,"endpoints":[%s]}`, "after=99&wait_ms=1000", true},
		{"index reset", `{"index":5,"snapshot":false,"endpoints":[%s]}`, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var queries []string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if queries = append(queries, r.URL.RawQuery); len(queries) == 1 {
					io.WriteString(w, strings.Replace(c.first, "%s", endpointJSON, 1))
					return
				}
				fmt.Fprintf(w, `{"index":99,"snapshot":%t,"endpoints":[%s]}`, c.snapshot, endpointJSON)
			}))
			t.Cleanup(srv.Close)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			discovery := NewDiscovery(srv.Listener.Addr().String(), Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second})
			defer discovery.Close()
			discovery.Resume(41)
			var lists []List
			discovery.Follow(ctx, func(l List) {
				if lists = append(lists, l); len(queries) == 2 {
					cancel()
				}
			})
			if len(queries) < 2 || queries[0] != "after=41&wait_ms=0" || queries[1] != c.query {
				t.Errorf("queries %q, want the changes since 41 without long polling, then %q", queries, c.query)
			}
			if len(lists) == 0 || lists[0].Snapshot != c.snapshot {
				t.Errorf("delivered %+v, want a snapshot first: %t", lists, c.snapshot)
			}
		})
	}
}

// An invalid first response is an error and is not delivered.
func TestInvalidResponseIsNotDelivered(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"status":         func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) },
		"not JSON":       func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "noise") },
		"truncated JSON": func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, `{"index":4,"snapshot":true,"endpoi`) },
		"too large": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, strings.Repeat(" ", 1<<16)); err != nil {
					return
				}
			}
		},
	} {
		if lists, err := follow(t, 1, handler); err == nil || len(lists) > 0 {
			t.Errorf("%s: %d lists, error %v, want an error only", name, len(lists), err)
		}
	}
}

// A response with a missing or invalid field is rejected. A terminated endpoint needs no address.
func TestDecode(t *testing.T) {
	response := func(endpoint string) string { return `{"index":1,"snapshot":true,"endpoints":[` + endpoint + `]}` }
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{response(endpointJSON), true},
		{response(""), true},
		{`{"snapshot":true,"endpoints":[]}`, false},
		{`{"index":1,"snapshot":true}`, false},
		{`{"index":-1,"endpoints":[]}`, false},
		{response(strings.Replace(endpointJSON, "s-1", "", 1)), false},
		{response(strings.Replace(endpointJSON, "127.0.0.1:1", "nowhere", 1)), false},
		{response(strings.Replace(endpointJSON, "in_service", "unknown", 1)), false},
		{response(strings.Replace(endpointJSON, `"since_ms":0`, `"since_ms":-1`, 1)), false},
		{response(strings.Replace(strings.Replace(endpointJSON, "127.0.0.1:1", "", 1), "in_service", "terminated", 1)), true},
	} {
		if _, err := Decode([]byte(c.text)); (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %t", c.text, err, c.ok)
		}
	}
}
