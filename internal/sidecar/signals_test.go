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

	"gorselink/internal/socketstate"
)

// startWithHungEndpoint starts a sidecar with the given deadline and an endpoint that does not
// respond.
func startWithHungEndpoint(t *testing.T, deadline string) (p *sidecarInstance, listen, path string) {
	t.Helper()
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(node.Close)
	t.Cleanup(func() { close(release) })
	listen, path = isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, withDeadline(configJSON(listen, serverAddr(newDiscoveryServer(t, "s-1", serverAddr(node)))), deadline))
	p, _ = startInstance(t, path, t.TempDir())
	return p, listen, path
}

// withDeadline sets the latency target and the deadline of the class in a configuration.
func withDeadline(text, deadline string) string {
	return strings.Replace(text, `"AimS":1,"DeadlineS":2`, `"AimS":`+deadline+`,"DeadlineS":`+deadline, 1)
}

// After a reload changes the deadlines, the platform may compute the time of SIGKILL from the
// old or the new ones. The shorter ones bound the shutdown, and open requests get responses.
func TestShutdownUsesShortestConfiguredDeadline(t *testing.T) {
	for name, c := range map[string]struct{ before, after string }{"shorter": {"2", "0.4"}, "longer": {"0.4", "2"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, listen, path := startWithHungEndpoint(t, c.before)
			writeFile(t, path, withDeadline(configJSON(listen, p.cfg.Discovery), c.after))
			p.reload <- nil
			eventually(t, "the new configuration is in use", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return fmt.Sprint(p.cfg.LongestDeadline().Seconds()) == c.after
			})
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 5000\r\n\r\n", lastCallID.Add(1))
			eventually(t, "a request is sent to the endpoint", func() bool { return p.pool.OpenRequests() == 1 })
			began := time.Now()
			p.finish(t)
			// Expected after 0.9 s, or 2 s with the longer deadline. The limit lies between
			// the two to allow for a busy machine.
			if took := time.Since(began); took > 1600*time.Millisecond {
				t.Errorf("the process exited %v after SIGTERM, want before SIGKILL, due after 1.1 s", took)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("the open request got no response: %v", err)
			} else if resp.StatusCode == http.StatusOK {
				t.Error("the response has status 200, but no endpoint has responded")
			}
		})
	}
}

// Partially received requests get an error response when the process exits, because their
// last byte may arrive at that moment.
func TestShutdownRespondsToPartialRequests(t *testing.T) {
	p, listen, _ := startWithHungEndpoint(t, "0.4")
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
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, text)
		conns = append(conns, c)
	}
	eventually(t, "both connections are accepted", func() bool { return p.server.OpenConns() == len(conns) })
	p.finish(t)
	for i, c := range conns {
		if !socketstate.HasPendingData(c) { // must be sent before the exit
			t.Errorf("partial request %d: no response before the process exited", i)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout {
			t.Errorf("partial request %d: %v, %v, want 408", i, resp, err)
		}
	}
}

// On SIGTERM and SIGHUP in any order, the process exits before SIGKILL and responds to
// open requests.
func TestConcurrentSignals(t *testing.T) {
	for _, order := range []string{"term, hup", "hup, term", "hup, hup, term, hup"} {
		t.Run(order, func(t *testing.T) {
			t.Parallel()
			p, listen, path := startWithHungEndpoint(t, "0.4")
			writeFile(t, path, "{") // invalid, so a reload keeps the current configuration
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastCallID.Add(1))
			eventually(t, "a request is sent to the endpoint", func() bool { return p.pool.OpenRequests() == 1 })
			began := time.Now()
			for signal := range strings.SplitSeq(order, ", ") {
				if signal == "term" {
					p.stop()
					continue
				}
				select { // a signal is dropped when the channel is full, as in package os/signal
				case p.reload <- nil:
				default:
				}
			}
			p.finish(t)
			if took := time.Since(began); took > 1600*time.Millisecond {
				t.Errorf("the process exited %v after SIGTERM, want before SIGKILL, due after 1.1 s", took)
			}
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("the open request got no response: %v", err)
			}
		})
	}
}
