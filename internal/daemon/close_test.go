package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorselink/internal/standin"
)

// A reload removes a listener, or puts another in its place, under connections in every
// state. What has been read, and what is on its way, is served; what rests is closed.
func TestRemovedListenerAnswersWhatWasRead(t *testing.T) {
	for name, next := range map[string]string{
		"removed":  "",
		"replaced": "[listeners.inner]\naddress = %q\nidle_timeout = \"7s\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := startNodes(t, "n", 1, standin.NodeConfig{Latency: 300 * time.Millisecond})
			addr := freeAddr(t)
			rest := poolText("a", list(nodes)) + routeText("", "a")
			d := start(t, head, "[listeners.inner]\naddress = \""+addr+"\"\n", rest)
			dial := func(text string) (net.Conn, *bufio.Reader) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(patience))
				io.WriteString(c, text)
				return c, bufio.NewReader(c)
			}
			_, out := dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			half, halfIn := dial("GET / HTTP/1.1\r\nHost: x\r\n")
			body, bodyIn := dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
			_, silent := dial("")
			served := func(what string, in *bufio.Reader) {
				t.Helper()
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%s: %v, %v, want 200", what, resp, err)
				}
			}
			eventually(t, "the first at the node", func() bool { return nodes[0].Open() == 1 })
			eventually(t, "all are there", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.listeners["inner"].callers.OpenConns() == 4
			})
			if next != "" {
				next = fmt.Sprintf(next, addr)
			}
			apply(t, d, head, next, rest)
			if _, err := silent.ReadByte(); err != io.EOF {
				t.Errorf("one that rests: %v, want its end", err)
			}
			io.WriteString(half, "\r\n")
			io.WriteString(body, "cd")
			served("that was out", out)
			served("whose head was coming", halfIn)
			served("whose body was coming", bodyIn)
		})
	}
}
