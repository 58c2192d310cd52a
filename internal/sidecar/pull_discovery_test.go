package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// versionedDiscovery is a pull discovery server. Its list has s-1 in service at version 41;
// at version 42 s-1 is draining and s-2 in service.
type versionedDiscovery struct {
	*httptest.Server
	mu      sync.Mutex
	queries []string
}

func newVersionedDiscovery(t *testing.T, drainingAddr, newAddr string) *versionedDiscovery {
	v := &versionedDiscovery{}
	v.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		v.queries = append(v.queries, r.URL.RawQuery)
		v.mu.Unlock()
		q := r.URL.Query()
		if q.Get("after") == "42" {
			if q.Get("wait_ms") != "0" {
				select {
				case <-r.Context().Done():
				case <-time.After(testTimeout):
				}
			}
			fmt.Fprint(w, `{"index":42,"snapshot":false,"endpoints":[]}`)
			return
		}
		const e = `{"name":%q,"address":%q,"zone":"a","group":0,"status":%q,"since_ms":0}`
		fmt.Fprintf(w, `{"index":42,"snapshot":%t,"endpoints":[`+e+","+e+"]}", !q.Has("after"), "s-1", drainingAddr, "terminating", "s-2", newAddr, "in_service")
	}))
	t.Cleanup(v.Close)
	return v
}

func (v *versionedDiscovery) recordedQueries() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.queries...)
}

// With pull discovery, a sidecar starts from the list in its configuration and requests only
// later changes, also after its discovery address changes. If many sidecars requested full
// lists at once, delayed ones would keep sending to drained endpoints.
func TestPullDiscoveryRequestsOnlyChanges(t *testing.T) {
	one, two := newEndpointServer(t, "s-1"), newEndpointServer(t, "s-2")
	first, second := newVersionedDiscovery(t, serverAddr(one), serverAddr(two)), newVersionedDiscovery(t, serverAddr(one), serverAddr(two))
	path, listen := filepath.Join(t.TempDir(), "config.json"), isolatedAddr(t)
	config := func(discovery string) string {
		s := strings.Replace(configJSON(listen, discovery), `"RegistryMode":"push"`, `"RegistryMode":"ask"`, 1)
		s = strings.Replace(s, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1)
		return strings.Replace(s, `"settings"`, fmt.Sprintf(`"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}]},"settings"`, serverAddr(one)), 1)
	}
	writeFile(t, path, config(serverAddr(first.Server)))
	p, _ := startInstance(t, path, "")
	eventually(t, "a response from the new endpoint", func() bool { return get(listen, int(time.Now().UnixNano())) == "s-2" })
	writeFile(t, path, config(serverAddr(second.Server)))
	p.reload <- syscall.SIGHUP
	eventually(t, "a watch request at the second discovery server", func() bool { return len(second.recordedQueries()) >= 2 })
	for _, c := range []struct {
		discovery *versionedDiscovery
		want      []string
	}{{first, []string{"after=41&wait_ms=0", "after=42&wait_ms=20000"}}, {second, []string{"after=42&wait_ms=0", "after=42&wait_ms=20000"}}} {
		if got := c.discovery.recordedQueries(); len(got) < 2 || got[0] != c.want[0] || got[1] != c.want[1] {
			t.Errorf("discovery queries %q, want %q", got, c.want)
		}
	}
	if got := get(listen, 7); got != "s-2" {
		t.Errorf("response from %q after the discovery address changed, want s-2", got)
	}
	p.finish(t)
}
