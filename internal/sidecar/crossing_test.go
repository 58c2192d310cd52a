package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gorselink/internal/sock"
)

// hungSidecar is a sidecar before an endpoint that answers nothing, with this deadline.
func hungSidecar(t *testing.T, deadline string) (p *process, listen, path string) {
	t.Helper()
	hung := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-hung:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(node.Close)
	t.Cleanup(func() { close(hung) })
	listen, path = freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	put(t, path, deadlines(configuration(listen, address(told(t, "s-1", address(node)))), deadline))
	p, _ = start(t, path, t.TempDir())
	return p, listen, path
}

func deadlines(text, deadline string) string {
	return strings.Replace(text, `"AimS":1,"DeadlineS":2`, `"AimS":`+deadline+`,"DeadlineS":`+deadline, 1)
}

// A reload makes deadlines shorter or longer, and SIGTERM comes. Whoever kills the process
// may reckon with the deadlines before or after: the shorter ones bound its time, and
// what is open by then has its answer.
func TestEndReckonsWithTheShorterDeadline(t *testing.T) {
	for name, c := range map[string]struct{ before, after string }{"shorter": {"2", "0.4"}, "longer": {"0.4", "2"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, listen, path := hungSidecar(t, c.before)
			put(t, path, deadlines(configuration(listen, p.cfg.Discovery), c.after))
			p.reload <- nil
			eventually(t, "the new configuration", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return fmt.Sprint(p.cfg.LongestDeadline().Seconds()) == c.after
			})
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 5000\r\n\r\n", lastAsk.Add(1))
			eventually(t, "a request is out", func() bool { return p.pool.OpenRequests() == 1 })
			began := time.Now()
			p.finish(t)
			// 0.9 s, and 2 s by the longer deadline: the bound lies between the two, as a
			// machine that is busy may be late.
			if took := time.Since(began); took > 1600*time.Millisecond {
				t.Errorf("the process ends %v after SIGTERM, the kill may come after 1.1 s", took)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("what was open has no answer: %v", err)
			} else if resp.StatusCode == http.StatusOK {
				t.Error("an answer that no endpoint made")
			}
		})
	}
}

// Requests that are still coming when the process ends are told so: the last byte of one
// may have come in that very moment.
func TestEndTellsWhatIsStillComing(t *testing.T) {
	p, listen, _ := hungSidecar(t, "0.4")
	var conns []net.Conn
	for _, text := range []string{
		"GET /view HTTP/1.1\r\nHost: x\r\n",
		"GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: ffff\r\nX-Budg",
	} {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, text)
		conns = append(conns, c)
	}
	eventually(t, "both are there", func() bool { return p.callers.OpenConns() == len(conns) })
	p.finish(t)
	for i, c := range conns {
		if !sock.HasPendingData(c) { // the test outlives what would be the process
			t.Errorf("half a request, %d: not told before the end", i)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout {
			t.Errorf("half a request, %d: %v, %v, want 408", i, resp, err)
		}
	}
}

// SIGTERM and SIGHUP, in either order and at once: the process ends once, in its time, and
// answers what it holds.
func TestSignalsThatCross(t *testing.T) {
	for _, order := range []string{"term, hup", "hup, term", "hup, hup, term, hup"} {
		t.Run(order, func(t *testing.T) {
			t.Parallel()
			p, listen, path := hungSidecar(t, "0.4")
			put(t, path, "{") // a broken file changes nothing
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastAsk.Add(1))
			eventually(t, "a request is out", func() bool { return p.pool.OpenRequests() == 1 })
			began := time.Now()
			for signal := range strings.SplitSeq(order, ", ") {
				if signal == "term" {
					p.stop()
					continue
				}
				select { // as the runtime hands signals over: one that finds no room is dropped
				case p.reload <- nil:
				default:
				}
			}
			p.finish(t)
			if took := time.Since(began); took > 1600*time.Millisecond {
				t.Errorf("the process ends %v after SIGTERM, the kill may come after 1.1 s", took)
			}
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("what was open has no answer: %v", err)
			}
		})
	}
}
