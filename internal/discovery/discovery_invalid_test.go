package discovery

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

// An invalid or incomplete response after the first list must not change the list, and
// Follow must return an error.
func TestInvalidUpdateKeepsList(t *testing.T) {
	response := func(index int, isSnapshot bool, endpoints string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, isSnapshot, endpoints)
	}
	snapshot := response(7, true, endpointJSON)
	for name, respond := range map[string]func(w http.ResponseWriter){
		"status 503":     func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		"empty body":     func(w http.ResponseWriter) {},
		"no endpoints":   func(w http.ResponseWriter) { io.WriteString(w, `{"index":8,"snapshot":true}`) },
		"null endpoints": func(w http.ResponseWriter) { io.WriteString(w, `{"index":8,"snapshot":true,"endpoints":null}`) },
		"no index":       func(w http.ResponseWriter) { io.WriteString(w, `{"snapshot":true,"endpoints":[]}`) },
		"one invalid endpoint of three": func(w http.ResponseWriter) {
			io.WriteString(w, response(8, true, endpointJSON+`,{"name":"s-2"},`+endpointJSON))
		},
		"truncated body": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", fmt.Sprint(len(snapshot)))
			io.WriteString(w, snapshot[:len(snapshot)/2])
		},
		"connection reset": func(w http.ResponseWriter) {
			c, out, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(snapshot), snapshot[:len(snapshot)/2])
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
					io.WriteString(w, snapshot)
					return
				}
				respond(w)
			})
			if err == nil || len(lists) != 1 || len(lists[0].Endpoints) != 1 {
				t.Errorf("delivered %+v, error %v, want only the first list and an error", lists, err)
			}
		})
	}
}

// Changes with a lower index belong to another list: they are not delivered, and a
// snapshot is fetched.
func TestLowerIndexFetchesSnapshot(t *testing.T) {
	var queries []string
	lists, _ := follow(t, 2, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		switch len(queries) {
		case 1:
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s]}`, endpointJSON)
		case 2:
			terminated := strings.Replace(endpointJSON, "in_service", "terminated", 1)
			fmt.Fprintf(w, `{"index":3,"snapshot":false,"endpoints":[%s]}`, terminated)
		default:
			fmt.Fprintf(w, `{"index":3,"snapshot":true,"endpoints":[%s]}`, endpointJSON)
		}
	})
	if len(lists) != 2 || !lists[1].Snapshot || lists[1].Endpoints[0].Status != InService {
		t.Fatalf("delivered %+v, want two snapshots", lists)
	}
	if queries[0] != "" || !strings.HasPrefix(queries[1], "after=9&") || queries[2] != "" {
		t.Errorf("queries %q, want a snapshot, changes after 9 and a snapshot", queries)
	}
}

// A call whose response stalls times out, so that the next call can fetch the change in
// time.
func TestStalledResponseTimesOut(t *testing.T) {
	start := time.Now()
	var calls atomic.Int32
	lists, err := follow(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s]}`, endpointJSON)
			return
		}
		io.WriteString(w, `{"index":10,`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if err == nil || len(lists) != 1 {
		t.Fatalf("delivered %d lists, error %v, want only the first one and an error", len(lists), err)
	}
	if elapsed := time.Since(start); elapsed > testTimeout/2 {
		t.Errorf("Follow returned after %v, want about %v", elapsed, 2*time.Second)
	}
}
