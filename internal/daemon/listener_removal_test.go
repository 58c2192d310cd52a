package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// If a reload removes or replaces a listener, it still serves requests that have been received
// fully or in part, and closes idle connections.
func TestRemovedListenerServesOpenRequests(t *testing.T) {
	for name, next := range map[string]string{
		"removed":  "",
		"replaced": "[listeners.inner]\naddress = %q\nidle_timeout = \"7s\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{Latency: 300 * time.Millisecond})
			addr := freeAddr(t)
			common := poolText("a", nodeList(nodes)) + routeText("", "a")
			d := startDaemon(t, baseConfig, "[listeners.inner]\naddress = \""+addr+"\"\n", common)
			dial := func(text string) (net.Conn, *bufio.Reader) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(testTimeout))
				io.WriteString(c, text)
				return c, bufio.NewReader(c)
			}
			_, pendingIn := dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			partialHead, partialHeadIn := dial("GET / HTTP/1.1\r\nHost: x\r\n")
			partialBody, partialBodyIn := dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
			_, idle := dial("")
			wantOK := func(what string, in *bufio.Reader) {
				t.Helper()
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%s: %v, %v, want 200", what, resp, err)
				}
			}
			eventually(t, "the first request is at the node", func() bool { return nodes[0].OpenRequests() == 1 })
			eventually(t, "all connections are open", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.listeners["inner"].server.OpenConns() == 4
			})
			if next != "" {
				next = fmt.Sprintf(next, addr)
			}
			applyConfig(t, d, baseConfig, next, common)
			if _, err := idle.ReadByte(); err != io.EOF {
				t.Errorf("idle connection: %v, want EOF", err)
			}
			io.WriteString(partialHead, "\r\n")
			io.WriteString(partialBody, "cd")
			wantOK("request at the node", pendingIn)
			wantOK("request with a partial head", partialHeadIn)
			wantOK("request with a partial body", partialBodyIn)
		})
	}
}
