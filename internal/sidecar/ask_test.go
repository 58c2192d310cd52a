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

// versions is a discovery that is asked, whose list has had two versions: s-1 was in service
// in version 41, and drains in 42 while s-2 has come.
type versions struct {
	*httptest.Server
	mu    sync.Mutex
	asked []string
}

func newVersions(t *testing.T, drains, comes string) *versions {
	v := &versions{}
	v.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		v.asked = append(v.asked, r.URL.RawQuery)
		v.mu.Unlock()
		q := r.URL.Query()
		if q.Get("after") == "42" {
			if q.Get("wait_ms") != "0" {
				select {
				case <-r.Context().Done():
				case <-time.After(patience):
				}
			}
			fmt.Fprint(w, `{"index":42,"snapshot":false,"endpoints":[]}`)
			return
		}
		const e = `{"name":%q,"address":%q,"zone":"a","group":0,"status":%q,"since_ms":0}`
		fmt.Fprintf(w, `{"index":42,"snapshot":%t,"endpoints":[`+e+","+e+"]}", !q.Has("after"), "s-1", drains, "terminating", "s-2", comes, "in_service")
	}))
	t.Cleanup(v.Close)
	return v
}

func (v *versions) calls() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.asked...)
}

// A sidecar that is asked for its list begins with the list that its configuration brings,
// and asks for what has changed since; so does one whose discovery moves. Seen on a day with
// 270 of them: all asked for the whole list as they started, discovery answered ten a second,
// and those that had to wait went on sending to what had drained.
func TestAskedIsForWhatHasChanged(t *testing.T) {
	one, two := endpoint(t, "s-1"), endpoint(t, "s-2")
	first, second := newVersions(t, address(one), address(two)), newVersions(t, address(one), address(two))
	path, listen := filepath.Join(t.TempDir(), "config.json"), freeAddr(t)
	config := func(discovery string) string {
		s := strings.Replace(configuration(listen, discovery), `"RegistryMode":"push"`, `"RegistryMode":"ask"`, 1)
		s = strings.Replace(s, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1)
		return strings.Replace(s, `"settings"`, fmt.Sprintf(`"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}]},"settings"`, address(one)), 1)
	}
	put(t, path, config(address(first.Server)))
	p, _ := start(t, path, "")
	eventually(t, "the endpoint that has come", func() bool { return ask(listen, int(time.Now().UnixNano())) == "s-2" })
	put(t, path, config(address(second.Server)))
	p.reload <- syscall.SIGHUP
	eventually(t, "a watch at the second discovery", func() bool { return len(second.calls()) >= 2 })
	for _, c := range []struct {
		of   *versions
		want []string
	}{{first, []string{"after=41&wait_ms=0", "after=42&wait_ms=20000"}}, {second, []string{"after=42&wait_ms=0", "after=42&wait_ms=20000"}}} {
		if got := c.of.calls(); len(got) < 2 || got[0] != c.want[0] || got[1] != c.want[1] {
			t.Errorf("asked %q, want %q", got, c.want)
		}
	}
	if got := ask(listen, 7); got != "s-2" {
		t.Errorf("answered by %q after the move, want s-2", got)
	}
	p.finish(t)
}
