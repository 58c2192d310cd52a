//go:build linux

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/fleet"
)

// loadClients continuously send requests to one address on persistent connections, and
// reconnect as soon as one is closed.
type loadClients struct {
	t         *testing.T
	listen    string
	done      chan struct{}
	wg        sync.WaitGroup
	runCounts sync.Map // id to *atomic.Int64

	drained                                      atomic.Bool // the front-end load balancer opens no new connections
	processKilled                                atomic.Bool // a process of the sidecar was killed by SIGKILL
	responses, served, closedIdle, connectFailed atomic.Int64
}

// newNode starts a node that responds with the request id after a delay, or hangs.
func (c *loadClients) newNode(hangs func() bool) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		n, _ := c.runCounts.LoadOrStore(id, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		if hangs() {
			<-r.Context().Done()
			return
		}
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, id)
	}))
	c.t.Cleanup(s.Close)
	return s
}

func (c *loadClients) start(clients int) {
	c.done = make(chan struct{})
	for i := range clients {
		c.wg.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			defer func() {
				if conn != nil {
					conn.Close()
				}
			}()
			for n := i; ; n++ {
				select {
				case <-c.done:
					return
				case <-time.After(2 * time.Millisecond):
				}
				used := conn != nil
				if conn == nil {
					if c.drained.Load() {
						continue
					}
					var err error
					if conn, err = net.DialTimeout("tcp", c.listen, time.Second); err != nil {
						conn = nil
						c.connectFailed.Add(1)
						continue
					}
					in = bufio.NewReader(conn)
				}
				if !c.sendRequest(conn, in, used, n%2 == 0) {
					conn.Close()
					conn = nil
				}
			}
		})
	}
}

// sendRequest sends a request and returns whether the connection stays open.
func (c *loadClients) sendRequest(conn net.Conn, in *bufio.Reader, used, idempotent bool) bool {
	id := fmt.Sprintf("%016x", lastCallID.Add(1))
	text := "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\n\r\n"
	if !idempotent {
		text = "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	_, err := io.WriteString(conn, text)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(in, nil)
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	runCount := int64(0)
	if v, ok := c.runCounts.Load(id); ok {
		runCount = v.(*atomic.Int64).Load()
	}
	switch {
	case runCount > 1 && !idempotent:
		c.t.Errorf("request %s ran %d times, want at most once", id, runCount)
	case err != nil && (c.processKilled.Load() || used && runCount == 0): // closed while idle
		c.closedIdle.Add(1)
	case err != nil:
		c.t.Errorf("request %s ran %d times, reused connection %t: no response: %v", id, runCount, used, err)
	case resp.StatusCode == http.StatusOK && string(body) != id:
		c.t.Errorf("request %s got %q, want its own response", id, body)
	case resp.StatusCode == http.StatusOK:
		c.served.Add(1)
		c.responses.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable && !idempotent && runCount > 0:
		c.t.Errorf("request %s was rejected but may have run", id)
	default:
		c.responses.Add(1)
	}
	return err == nil && !resp.Close
}

func (c *loadClients) stop() {
	close(c.done)
	c.wg.Wait()
	c.t.Logf("%d responses, %d of them served, %d closed while idle, %d could not connect", c.responses.Load(), c.served.Load(), c.closedIdle.Load(), c.connectFailed.Load())
}

// twoClassConfig returns a configuration with a idempotent and a non-idempotent class, both with
// short deadlines.
func twoClassConfig(listen, discovery string) string {
	return strings.Replace(configJSON(listen, discovery), `"AimS":1,"DeadlineS":2,"Semantics":"free","Worth":1}`,
		`"AimS":0.3,"DeadlineS":0.6,"Semantics":"free","Worth":1},{"Name":"pay","AimS":0.3,"DeadlineS":0.6,"Semantics":"single_shot","Worth":1}`, 1)
}

// expectEnd checks that a process that got SIGTERM at since exits in time without an error.
func (p *childProcess) expectEnd(t *testing.T, since time.Time) {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- nil // for the cleanup
		if err != nil {
			t.Errorf("the process exited after SIGTERM with: %v", err)
		}
		// Expected after 1.1 s, before SIGKILL after 1.3 s; the limit allows for a busy machine.
		if took := time.Since(since); took > 2500*time.Millisecond {
			t.Errorf("the process exited %v after SIGTERM, want 2.5 s at most", took)
		}
	case <-time.After(testTimeout):
		t.Error("the process did not exit after SIGTERM")
	}
}

// A sidecar restarts under load while half of its endpoints hang. All received requests get
// responses before the process exits, and non-idempotent ones run at most once and are not
// rejected after they may have run.
func TestRestartWhileEndpointsHang(t *testing.T) {
	c := &loadClients{t: t, listen: isolatedAddr(t)}
	var hang atomic.Bool
	var list []string
	for i := range 4 {
		s := c.newNode(func() bool { return i%2 == 0 && hang.Load() })
		list = append(list, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}`, i, serverAddr(s)))
	}
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
			}
			io.WriteString(w, `{"index":7,"snapshot":false,"endpoints":[]}`)
			return
		}
		fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, strings.Join(list, ","))
	}))
	t.Cleanup(disc.Close)
	m := &fleetMember{listen: c.listen, dir: t.TempDir()}
	m.configPath = filepath.Join(m.dir, "config.json")
	writeFile(t, m.configPath, twoClassConfig(m.listen, serverAddr(disc)))
	m.start(t)
	t.Cleanup(func() { m.process().cmd.Process.Kill(); <-m.process().ended })
	c.start(16)
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		hang.Store(true)
		time.Sleep(100 * time.Millisecond)
		terminatedAt, old := time.Now(), m.process()
		old.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(400 * time.Millisecond) // the front-end load balancer still opens new connections
		c.drained.Store(true)
		old.expectEnd(t, terminatedAt)
		hang.Store(false)
		m.start(t)
		c.drained.Store(false)
	}
	time.Sleep(200 * time.Millisecond)
	c.stop()
	if c.served.Load() < 100 {
		t.Errorf("%d served; the test is inconclusive", c.served.Load())
	}
}

// A takeover coincides with SIGTERM, SIGHUP or the death of either process. All requests that a
// process received get responses unless it was killed, and the sidecar serves afterwards.
func TestTakeoverWithConcurrentEvents(t *testing.T) {
	for _, name := range []string{"term after successor start", "hup to both, then term", "successor is killed", "old process is killed", "term, then successor is killed"} {
		t.Run(name, func(t *testing.T) {
			c := &loadClients{t: t, listen: isolatedAddr(t)}
			node := c.newNode(func() bool { return false })
			disc := newDiscoveryServer(t, "s-1", serverAddr(node))
			release := make(chan struct{})
			delayed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-release
				disc.Config.Handler.ServeHTTP(w, r)
			}))
			t.Cleanup(delayed.Close)
			releaseDiscovery := sync.OnceFunc(func() { close(release) })
			t.Cleanup(releaseDiscovery)
			m := &fleetMember{listen: c.listen, dir: t.TempDir()}
			m.configPath = filepath.Join(m.dir, "config.json")
			text := twoClassConfig(m.listen, serverAddr(disc))
			writeFile(t, m.configPath, text)
			m.start(t)
			old := m.process()
			var all []*childProcess
			t.Cleanup(func() {
				for _, p := range append(all, old) {
					p.cmd.Process.Kill()
					<-p.ended
				}
			})
			c.start(8)
			eventually(t, "clients are served", func() bool { return c.served.Load() > 20 })

			// startSuccessor starts a process and waits until it has replaced the handover
			// socket, from when on it accepts connections.
			startSuccessor := func() *childProcess {
				t.Helper()
				socketPath := filepath.Join(m.dir, "gorselink-n0", "next")
				before, err := os.Stat(socketPath)
				if err != nil {
					t.Fatal(err)
				}
				m.start(t)
				all = append(all, m.process())
				eventually(t, "the successor has replaced the handover socket", func() bool {
					now, err := os.Stat(socketPath)
					return err == nil && !os.SameFile(before, now)
				})
				return m.process()
			}
			var terminatedAt time.Time
			terminate := func() {
				terminatedAt = time.Now()
				old.cmd.Process.Signal(syscall.SIGTERM)
			}
			kill := func(p *childProcess) {
				c.processKilled.Store(true)
				p.cmd.Process.Kill()
				<-p.ended
				p.ended <- nil
			}
			switch name {
			case "term after successor start":
				// The successor has the handed-over list but no response from discovery yet.
				writeFile(t, m.configPath, strings.Replace(text, serverAddr(disc), serverAddr(delayed), 1))
				startSuccessor()
				terminate()
				old.expectEnd(t, terminatedAt)
				releaseDiscovery()
			case "hup to both, then term":
				n := startSuccessor()
				n.cmd.Process.Signal(syscall.SIGHUP)
				old.cmd.Process.Signal(syscall.SIGHUP)
				terminate()
				n.cmd.Process.Signal(syscall.SIGHUP)
				old.cmd.Process.Signal(syscall.SIGHUP)
				old.expectEnd(t, terminatedAt)
			case "successor is killed":
				n := startSuccessor()
				time.Sleep(200 * time.Millisecond) // it accepts all new connections by then
				kill(n)
			case "old process is killed":
				startSuccessor()
				kill(old)
			case "term, then successor is killed":
				n := startSuccessor()
				terminate()
				kill(n)
				old.expectEnd(t, terminatedAt)
				m.start(t)
				all = append(all, m.process())
			}
			time.Sleep(50 * time.Millisecond)
			servedBefore := c.served.Load()
			c.processKilled.Store(false)
			eventually(t, "clients are served again", func() bool { return c.served.Load() > servedBefore+50 })
			conn, err := net.Dial("tcp", c.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			c.sendRequest(conn, bufio.NewReader(conn), false, true) // on a new connection too
			c.stop()
		})
	}
}

// SIGTERM arrives after a successor has started but before it is ready. The previous process keeps
// its callers and responds to them.
func TestTermBeforeSuccessorServes(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	listen, path, temp := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, configJSON(listen, serverAddr(disc)))
	p, _ := startInstance(t, path, temp)
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(conn)
	expectServed := func(when string) {
		t.Helper()
		fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastCallID.Add(1))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v, want status 200", when, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	expectServed("before")
	var inherited handoverState
	link, l, err := fleet.TakeOver(p.sharedDir(), &inherited)
	if err != nil || link == nil {
		t.Fatalf("handover: %v, %v, want a link", link, err)
	}
	defer link.Close()
	defer l.Close()
	eventually(t, "the previous process knows the successor", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.successor != nil })
	p.stop()
	eventually(t, "the process is terminating", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.terminating })
	expectServed("after SIGTERM")
	p.finish(t)
}
