package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/socketstate"
)

// A node that discovery, a file or a reload removes or marks as draining receives no new
// requests. Its open requests are completed, and the other node serves all later ones.
func TestDrainedNodeGetsNoNewRequests(t *testing.T) {
	for _, name := range []string{"discovery", "file", "reload"} {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, "n", 2, fakeserver.NodeConfig{Latency: 3 * time.Millisecond})
			var nodesText string
			var drain func(d *Daemon)
			switch name {
			case "discovery":
				agent, err := fakeserver.StartAgent(fakeserver.NewEntry(nodes[0], "in_service"), fakeserver.NewEntry(nodes[1], "in_service"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(agent.Close)
				nodesText = fmt.Sprintf("discovery = %q\n", agent.Addr())
				drain = func(*Daemon) { agent.Update(fakeserver.NewEntry(nodes[0], "terminating")) }
			case "file":
				path := filepath.Join(t.TempDir(), "nodes")
				writeFile(t, path, nodes[0].Addr()+"\n"+nodes[1].Addr()+"\n")
				nodesText = "nodes_file = '" + path + "'\nrefresh = \"10ms\"\n"
				drain = func(*Daemon) { writeFile(t, path, nodes[0].Addr()+" draining\n"+nodes[1].Addr()+"\n") }
			case "reload":
				nodesText = nodeList(nodes)
				drain = func(d *Daemon) { applyConfig(t, d, baseConfig, poolText("a", nodeList(nodes[1:])), routeText("", "a")) }
			}
			d := startDaemon(t, baseConfig, poolText("a", nodesText), routeText("", "a"))
			c := newClient(t, d.publicAddr(t))
			eventually(t, "both serve", func() bool {
				if r := c.get("x", "/"); r.status != 200 && r.status != 503 {
					t.Fatalf("status %d, %v", r.status, r.err)
				}
				return nodes[0].TotalRuns() > 0 && nodes[1].TotalRuns() > 0
			})
			nodes[0].SetMode(fakeserver.ModeFreeze)
			statuses := make(chan int, 100)
			sent := 0
			for ; nodes[0].OpenRequests() == 0; sent++ { // until the node to be drained holds a request
				go func() { statuses <- c.get("x", "/").status }()
				time.Sleep(5 * time.Millisecond)
				if sent == 100 {
					t.Fatal("none of 100 requests went to the first node")
				}
			}
			drain(d)
			eventually(t, "the pool knows of the drain", func() bool {
				for _, e := range d.Pool("a").List().Endpoints {
					if e.Address == nodes[0].Addr() {
						return e.Status == "terminating"
					}
				}
				return true
			})
			eventually(t, "all open requests are at the node", func() bool { return d.Pool("a").OpenRequests() == nodes[0].OpenRequests() })
			before := nodes[0].TotalRuns() + nodes[0].OpenRequests()
			for range 100 {
				if r := c.get("x", "/"); r.status != 200 {
					t.Errorf("status %d, %v", r.status, r.err)
				}
			}
			nodes[0].SetMode(fakeserver.ModeServe)
			for range sent {
				if s := <-statuses; s != 200 {
					t.Errorf("status %d for a request sent before the drain", s)
				}
			}
			if n := nodes[0].TotalRuns(); n != before {
				t.Errorf("%d requests sent to a draining node", n-before)
			}
		})
	}
}

// If the callers of a full pool keep opening connections, callers of another pool can still
// connect.
func TestFullPoolLeavesCallerConnections(t *testing.T) {
	a, b := startNodes(t, "a", 1, fakeserver.NodeConfig{}), startNodes(t, "b", 1, fakeserver.NodeConfig{})
	small := strings.Replace(baseConfig, "descriptors = 1032", "descriptors = 152", 1) // 60 of them for callers
	d := startDaemon(t, small, poolText("a", nodeList(a)), poolText("b", nodeList(b)), routeText("a", "a"), routeText("b", "b"))
	a[0].SetMode(fakeserver.ModeFreeze)
	var mu sync.Mutex
	var conns []net.Conn
	openConns := func(n int, text string) {
		for range n {
			conn, err := net.Dial("tcp", d.publicAddr(t))
			if err != nil {
				t.Error(err)
				return
			}
			io.WriteString(conn, text)
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	}()
	openConns(80, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")                                // more than the pool's limit of open requests
	openConns(80, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nhalf a") // bodies that are never completed
	openConns(80, "")
	eventually(t, "the pool is full", func() bool { return d.Pool("a").Full() })
	for range 20 {
		if status, body := sendRaw(t, d.publicAddr(t), "GET / HTTP/1.1\r\nHost: b\r\n\r\n"); status != 200 {
			t.Fatalf("status %d %q", status, body)
		}
	}
	if n := d.Pool("a").OpenRequests(); n > 24 {
		t.Errorf("%d requests open in the pool, want at most 24", n)
	}
}

// A body that exceeds the pool's whole memory for bodies is rejected as too long, not with a
// status that suggests a retry.
func TestBodyLargerThanPoolMemory(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	d := startDaemon(t, baseConfig, poolText("a", nodeList(nodes)+"memory = \"128 KiB\"\n"), routeText("", "a"))
	c := newClient(t, d.publicAddr(t))
	for size, want := range map[int]int{32 << 10: 200, 32<<10 + 1: 413} {
		if r := c.send(http.MethodPost, "x", "/", strings.Repeat("b", size)); r.status != want {
			t.Errorf("a body of %d bytes: status %d, want %d", size, r.status, want)
		}
	}
	if n := nodes[0].TotalRuns(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Requests that are still arriving, or open at a node that hangs, when a drain ends get a
// response before the process exits.
func TestDrainRespondsToUnfinishedRequests(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	d := startDaemon(t, baseConfig, poolText("a", nodeList(nodes)), routeText("", "a"))
	nodes[0].SetMode(fakeserver.ModeFreeze)
	partial := []string{
		"GET / HTTP/1.1\r\nHost: x\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf",
	}
	var conns []net.Conn
	for _, text := range append(partial, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") {
		conn, err := net.Dial("tcp", d.publicAddr(t))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(conn, text)
		conns = append(conns, conn)
	}
	eventually(t, "the complete request is at the node", func() bool { return nodes[0].OpenRequests() == 1 })
	d.Drain(0, time.Now().Add(500*time.Millisecond))
	for i, conn := range conns {
		if !socketstate.HasPendingData(conn) { // must be sent before the exit
			t.Errorf("request %d: no response before the end of the drain", i)
			continue
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode < 400 {
			t.Errorf("request %d: response %v, error %v, want an error response", i, resp, err)
		}
	}
}
