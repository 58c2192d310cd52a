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

// A process that starts again is ready by the list that its configuration brings, and
// serves by it, while discovery is down, silent or slow, whether it is asked or pushes.
// Nine in ten have to be ready within 10 s; nothing that discovery does may cost any of it.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, discovery := range map[string]func(t *testing.T) string{
		"down": freeAddr,
		"silent": func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never reads
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
				case <-time.After(patience):
				}
			}))
			t.Cleanup(s.Close)
			return address(s)
		},
	} {
		for _, mode := range []string{"ask", "push"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				one := endpoint(t, "s-1")
				path, listen := filepath.Join(t.TempDir(), "config.json"), freeAddr(t)
				text := strings.Replace(configuration(listen, discovery(t)), `"RegistryMode":"push"`, `"RegistryMode":"`+mode+`"`, 1)
				text = strings.Replace(text, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1)
				put(t, path, strings.Replace(text, `"settings"`, fmt.Sprintf(`"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}]},"settings"`, address(one)), 1))
				began := time.Now()
				p, _ := start(t, path, "")
				if resp, err := http.Get("http://" + listen + "/-/ready"); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("the front is told %v, %v, want ready", resp, err)
				}
				if took := time.Since(began); took > 6*time.Second {
					t.Errorf("ready after %v, want 6 s at the most", took)
				}
				if got := ask(listen, 5); got != "s-1" {
					t.Errorf("answered by %q, want s-1", got)
				}
				p.finish(t)
			})
		}
	}
}
