package nodes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// What a discovery service in trouble says after its first list: none of it may
// reach the list that stands, and each is followed by a call for more.
func TestBadListsKeepRing(t *testing.T) {
	one := func(index int, snapshot bool, entries string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, entries)
	}
	whole := one(7, true, entry)
	for name, bad := range map[string]func(w http.ResponseWriter){
		"turned away":      func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		"nothing":          func(w http.ResponseWriter) {},
		"no list":          func(w http.ResponseWriter) { io.WriteString(w, `{"index":8,"snapshot":true}`) },
		"null":             func(w http.ResponseWriter) { io.WriteString(w, `{"index":8,"snapshot":true,"endpoints":null}`) },
		"no index":         func(w http.ResponseWriter) { io.WriteString(w, `{"snapshot":true,"endpoints":[]}`) },
		"one bad of three": func(w http.ResponseWriter) { io.WriteString(w, one(8, true, entry+`,{"name":"s-2"},`+entry)) },
		"half, then the end": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			io.WriteString(w, whole[:len(whole)/2])
		},
		"half, then a break": func(w http.ResponseWriter) {
			c, out, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole[:len(whole)/2])
			out.Flush()
			if tc, ok := c.(*net.TCPConn); ok {
				tc.SetLinger(0)
			}
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			lists, err := follow(t, 2, func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					io.WriteString(w, whole)
					return
				}
				bad(w)
			})
			if err == nil || len(lists) != 1 || len(lists[0].Endpoints) != 1 {
				t.Errorf("told %+v, error %v, want the first list alone and an error", lists, err)
			}
		})
	}
}

// An index that has run back, with changes, is of another list: the whole one is
// asked for and nothing else is told. A list that comes again costs no more than a
// call each.
func TestOldIndexIsAskedForWhole(t *testing.T) {
	var asked []string
	lists, _ := follow(t, 2, func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RawQuery)
		switch len(asked) {
		case 1:
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s]}`, entry)
		case 2:
			gone := strings.Replace(entry, "in_service", "terminated", 1)
			fmt.Fprintf(w, `{"index":3,"snapshot":false,"endpoints":[%s]}`, gone)
		default:
			fmt.Fprintf(w, `{"index":3,"snapshot":true,"endpoints":[%s]}`, entry)
		}
	})
	if len(lists) != 2 || !lists[1].Snapshot || lists[1].Endpoints[0].Status != InService {
		t.Fatalf("told %+v, want two whole lists", lists)
	}
	if asked[0] != "" || !strings.HasPrefix(asked[1], "after=9&") || asked[2] != "" {
		t.Errorf("asked %q", asked)
	}
}

// A stalled call ends by itself, in time for a second one to bring the news before it
// counts as told.
func TestStalledListEnds(t *testing.T) {
	began := time.Now()
	var calls atomic.Int32
	lists, err := follow(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s]}`, entry)
			return
		}
		io.WriteString(w, `{"index":10,`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if err == nil || len(lists) != 1 {
		t.Fatalf("told %d lists, error %v, want the first alone and an error", len(lists), err)
	}
	if took := time.Since(began); took > patience/2 {
		t.Errorf("ended after %v, want about %v", took, 2*time.Second)
	}
}
