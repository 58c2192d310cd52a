//go:build linux

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// restartableDiscovery is a discovery server that can be stopped and restarted at the same
// address. It lists one endpoint, or that one as draining and a second one in service.
type restartableDiscovery struct {
	addr          string
	endpointAddrs [2]string
	draining      atomic.Bool
	drainSent     atomic.Bool // the draining state was sent
	server        *http.Server
}

func (d *restartableDiscovery) start(t *testing.T) {
	t.Helper()
	var l net.Listener
	eventually(t, "the discovery address is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", d.addr)
		return err == nil
	})
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		draining := d.draining.Load()
		index, status, more := 41, "in_service", ""
		const e = `{"name":%q,"address":%q,"zone":"a","group":0,"status":%q,"since_ms":0}`
		if draining {
			index, status, more = 42, "terminating", ","+fmt.Sprintf(e, "s-2", d.endpointAddrs[1], "in_service")
		}
		if r.URL.Query().Get("after") == fmt.Sprint(index) {
			time.Sleep(20 * time.Millisecond) // shortened long poll
		}
		if _, err := fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[`+e+"%s]}", index, "s-1", d.endpointAddrs[0], status, more); err == nil && draining {
			d.drainSent.Store(true)
		}
	})}
	go d.server.Serve(l)
	t.Cleanup(func() { d.server.Close() })
}

// Idle clients use all descriptors available to callers while discovery is down, and the
// kernel enforces the descriptor limit. Descriptors stay reserved for the console, endpoints
// and discovery, so a drain is noticed within its grace period once discovery is back.
func TestReservedDescriptorsUnderIdleClients(t *testing.T) {
	const sockets, idle = 64, 200
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			one, two := newEndpointServer(t, "s-1"), newEndpointServer(t, "s-2")
			d := &restartableDiscovery{addr: isolatedAddr(t), endpointAddrs: [2]string{serverAddr(one), serverAddr(two)}}
			d.start(t)
			m := &fleetMember{listen: isolatedAddr(t), dir: t.TempDir()}
			m.configPath = filepath.Join(m.dir, "config.json")
			console := isolatedAddr(t)
			text := strings.Replace(configJSON(m.listen, d.addr), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
			text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n0","console":%q`, console), 1)
			text = strings.Replace(text, `"RegistryMode":"push"`, `"RegistryMode":"`+mode+`"`, 1)
			// The second endpoint is new to the process. With a slow-start window it would
			// be cold and would not get all requests at once.
			text = strings.Replace(text, `"RampTimeS":5`, `"RampTimeS":0`, 1)
			writeFile(t, m.configPath, strings.Replace(text, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1))
			m.start(t)
			p := m.process()
			if p == nil {
				t.Fatal("the sidecar process did not start")
			}
			t.Cleanup(func() { p.cmd.Process.Kill(); <-p.ended })
			if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", m.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			n := 0
			request := func() string {
				n++
				fmt.Fprintf(conn, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 1500\r\n\r\n", n)
				conn.SetReadDeadline(time.Now().Add(testTimeout))
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return err.Error()
				}
				defer resp.Body.Close()
				body, _ := io.ReadAll(resp.Body)
				return string(body)
			}
			eventually(t, "a response from the first endpoint", func() bool { return request() == "s-1" })
			d.server.Close()
			for range idle {
				c, err := net.DialTimeout("tcp", m.listen, time.Second)
				if err != nil {
					break // the accept queue is full
				}
				defer c.Close()
			}
			for range 10 { // over 1 s without free descriptors
				if got := request(); got != "s-1" {
					t.Fatalf("the connected client got %q, want s-1", got)
				}
				requestedAt := time.Now()
				if status := callStatus(console, "GET", "/ready", ""); status != 200 || time.Since(requestedAt) > 4*time.Second {
					t.Fatalf("console status %d after %v, want 200 within 4 s", status, time.Since(requestedAt))
				}
				time.Sleep(100 * time.Millisecond)
			}
			d.draining.Store(true)
			restartedAt := time.Now()
			d.start(t)
			eventually(t, "the drain is applied", func() bool { return d.drainSent.Load() && request() == "s-2" })
			limit := 2 * time.Second
			if mode == "ask" {
				limit = 6 * time.Second
			}
			if took := time.Since(restartedAt); took > limit {
				t.Errorf("drain applied %v after discovery restarted, want %v at most", took, limit)
			}
			for range 20 {
				if got := request(); got != "s-2" {
					t.Errorf("response from %q after the drain, want s-2", got)
				}
			}
		})
	}
}
