package nodes

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

const patience = 20 * time.Second

const entry = `{"name":"s-1","address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":0}`

// follow runs a Discovery against the handler until it has n lists.
func follow(t *testing.T, n int, h http.HandlerFunc) (lists []List, err error) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := NewDiscovery(srv.Listener.Addr().String(), Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second})
	defer c.Close()
	err = c.Follow(ctx, func(l List) {
		if lists = append(lists, l); len(lists) == n {
			cancel()
		}
	})
	return lists, err
}

// The first call asks for everything, the next ones from there on, and an
// index that runs back makes the list whole again.
func TestFollow(t *testing.T) {
	var asked []string
	lists, _ := follow(t, 3, func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RawQuery)
		index, snapshot := 40+len(asked), len(asked) == 1
		if len(asked) > 2 {
			index = 5 // it has restarted
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, entry)
	})
	if len(lists) != 3 || !lists[0].Snapshot || lists[1].Snapshot || !lists[2].Snapshot || lists[2].Index != 5 {
		t.Fatalf("lists %+v", lists)
	}
	if asked[0] != "" || !strings.HasPrefix(asked[1], "after=41&") || asked[3] != "" {
		t.Errorf("asked %q", asked)
	}
}

// Whoever knows a version of the list asks for what has changed since, at once, and for the
// whole list only where versions have begun anew.
func TestResume(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string // answer
		asked string // right after it
		whole bool   // what is told first
	}{
		{"changes", `{"index":43,"snapshot":false,"endpoints":[%s]}`, "after=43&wait_ms=1000", false},
		{"nothing new", `{"index":41,"snapshot":false,"endpoints":[]}`, "after=41&wait_ms=1000", false},
		{"too long ago", `{"index":99,"snapshot":true,"endpoints":[%s]}`, "after=99&wait_ms=1000", true},
		{"begun anew", `{"index":5,"snapshot":false,"endpoints":[%s]}`, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asked []string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if asked = append(asked, r.URL.RawQuery); len(asked) == 1 {
					io.WriteString(w, strings.Replace(c.first, "%s", entry, 1))
					return
				}
				fmt.Fprintf(w, `{"index":99,"snapshot":%t,"endpoints":[%s]}`, c.whole, entry)
			}))
			t.Cleanup(srv.Close)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			d := NewDiscovery(srv.Listener.Addr().String(), Timeouts{LongPoll: time.Second, Response: time.Second, Immediate: 2 * time.Second})
			defer d.Close()
			d.Resume(41)
			var lists []List
			d.Follow(ctx, func(l List) {
				if lists = append(lists, l); len(asked) == 2 {
					cancel()
				}
			})
			if len(asked) < 2 || asked[0] != "after=41&wait_ms=0" || asked[1] != c.asked {
				t.Errorf("asked %q, want what changed since 41 at once, then %q", asked, c.asked)
			}
			if len(lists) == 0 || lists[0].Snapshot != c.whole {
				t.Errorf("told %+v first, want a whole list: %t", lists, c.whole)
			}
		})
	}
}

// An answer that cannot be used is an error, and nothing of it is told.
func TestBadAnswers(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"status":  func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) },
		"no JSON": func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "noise") },
		"half":    func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, `{"index":4,"snapshot":true,"endpoi`) },
		"endless": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, strings.Repeat(" ", 1<<16)); err != nil {
					return
				}
			}
		},
	} {
		if lists, err := follow(t, 1, h); err == nil || len(lists) > 0 {
			t.Errorf("%s: %d lists, error %v", name, len(lists), err)
		}
	}
}

func TestDecode(t *testing.T) {
	list := func(e string) string { return `{"index":1,"snapshot":true,"endpoints":[` + e + `]}` }
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{list(entry), true},
		{list(""), true},
		{`{"snapshot":true,"endpoints":[]}`, false},
		{`{"index":1,"snapshot":true}`, false},
		{`{"index":-1,"endpoints":[]}`, false},
		{list(strings.Replace(entry, "s-1", "", 1)), false},
		{list(strings.Replace(entry, "127.0.0.1:1", "nowhere", 1)), false},
		{list(strings.Replace(entry, "in_service", "unheard", 1)), false},
		{list(strings.Replace(entry, `"since_ms":0`, `"since_ms":-1`, 1)), false},
		{list(strings.Replace(strings.Replace(entry, "127.0.0.1:1", "", 1), "in_service", "terminated", 1)), true},
	} {
		if _, err := Decode([]byte(c.text)); (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %t", c.text, err, c.ok)
		}
	}
}
