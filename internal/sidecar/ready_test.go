package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A restarted process becomes ready and serves from the endpoint list in its configuration
// while discovery is down, silent or slow, in push and pull mode.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, discovery := range map[string]func(t *testing.T) string{
		"down": isolatedAddr,
		"silent": func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel completes connections; nothing reads them
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			return l.Addr().String()
		},
		"slow": func(t *testing.T) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(testTimeout):
				}
			}))
			t.Cleanup(s.Close)
			return serverAddr(s)
		},
	} {
		for _, mode := range []string{"ask", "push"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				one := newEndpointServer(t, "s-1")
				path, listen := filepath.Join(t.TempDir(), "config.json"), isolatedAddr(t)
				text := strings.Replace(configJSON(listen, discovery(t)), `"RegistryMode":"push"`, `"RegistryMode":"`+mode+`"`, 1)
				text = strings.Replace(text, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1)
				writeFile(t, path, strings.Replace(text, `"settings"`, fmt.Sprintf(`"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}]},"settings"`, serverAddr(one)), 1))
				began := time.Now()
				p, _ := startInstance(t, path, "")
				if resp, err := http.Get("http://" + listen + "/-/ready"); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("readiness endpoint: %v, %v, want 200", resp, err)
				}
				if took := time.Since(began); took > 6*time.Second {
					t.Errorf("ready after %v, want 6 s at most", took)
				}
				if got := get(listen, 5); got != "s-1" {
					t.Errorf("response from %q, want s-1", got)
				}
				p.finish(t)
			})
		}
	}
}
