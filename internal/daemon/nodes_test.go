package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/standin"
)

// A node that discovery, a file or a reload takes away, or calls draining, is
// sent nothing more, and what it has is served to the end; under load, with the
// requests that go elsewhere all served.
func TestDrainsAreKept(t *testing.T) {
	for _, name := range []string{"discovery", "file", "reload"} {
		t.Run(name, func(t *testing.T) {
			all := startNodes(t, "n", 2, standin.NodeConfig{Latency: 3 * time.Millisecond})
			var nodes string
			var drain func(d *Daemon)
			switch name {
			case "discovery":
				agent, err := standin.StartAgent(standin.EntryOf(all[0], "in_service"), standin.EntryOf(all[1], "in_service"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(agent.Close)
				nodes = fmt.Sprintf("discovery = %q\n", agent.Addr())
				drain = func(*Daemon) { agent.Change(standin.EntryOf(all[0], "terminating")) }
			case "file":
				path := filepath.Join(t.TempDir(), "nodes")
				put(t, path, all[0].Addr()+"\n"+all[1].Addr()+"\n")
				nodes = "nodes_file = '" + path + "'\nrefresh = \"10ms\"\n"
				drain = func(*Daemon) { put(t, path, all[0].Addr()+" draining\n"+all[1].Addr()+"\n") }
			case "reload":
				nodes = list(all)
				drain = func(d *Daemon) { apply(t, d, head, poolText("a", list(all[1:])), routeText("", "a")) }
			}
			d := start(t, head, poolText("a", nodes), routeText("", "a"))
			cl := newClient(t, d.at(t))
			eventually(t, "both serve", func() bool {
				if r := cl.get("x", "/"); r.status != 200 && r.status != 503 {
					t.Fatalf("status %d, %v", r.status, r.err)
				}
				return all[0].Total() > 0 && all[1].Total() > 0
			})
			all[0].Set(standin.Freeze)
			statuses := make(chan int, 100)
			asked := 0
			for ; all[0].Open() == 0; asked++ { // one of them is held by the node that is to drain
				go func() { statuses <- cl.get("x", "/").status }()
				time.Sleep(5 * time.Millisecond)
				if asked == 100 {
					t.Fatal("none of 100 requests went to the first node")
				}
			}
			drain(d)
			eventually(t, "the news", func() bool {
				for _, e := range d.Pool("a").List().Endpoints {
					if e.Address == all[0].Addr() {
						return e.Status == "terminating"
					}
				}
				return true
			})
			eventually(t, "all that is open is at the node", func() bool { return d.Pool("a").OpenRequests() == all[0].Open() })
			before := all[0].Total() + all[0].Open()
			for range 100 {
				if r := cl.get("x", "/"); r.status != 200 {
					t.Errorf("status %d, %v", r.status, r.err)
				}
			}
			all[0].Set(standin.Serve)
			for range asked {
				if s := <-statuses; s != 200 {
					t.Errorf("status %d for what was out", s)
				}
			}
			if n := all[0].Total(); n != before {
				t.Errorf("%d requests sent to a node after it was to drain", n-before)
			}
		})
	}
}

// With all of one pool's requests open and its callers pressing on, callers of
// the other pool still find a connection.
func TestFullPoolLeavesRoomForCallers(t *testing.T) {
	a, b := startNodes(t, "a", 1, standin.NodeConfig{}), startNodes(t, "b", 1, standin.NodeConfig{})
	small := strings.Replace(head, "descriptors = 1032", "descriptors = 152", 1) // 60 for callers
	d := start(t, small, poolText("a", list(a)), poolText("b", list(b)), routeText("a", "a"), routeText("b", "b"))
	a[0].Set(standin.Freeze)
	var mu sync.Mutex
	var conns []net.Conn
	press := func(n int, text string) {
		for range n {
			conn, err := net.Dial("tcp", d.at(t))
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
	press(80, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")                                // more than it may have open
	press(80, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nhalf a") // and bodies that do not come
	press(80, "")
	eventually(t, "the pool is full", func() bool { return d.Pool("a").Full() })
	for range 20 {
		if status, body := raw(t, d.at(t), "GET / HTTP/1.1\r\nHost: b\r\n\r\n"); status != 200 {
			t.Fatalf("status %d %q", status, body)
		}
	}
	if n := d.Pool("a").OpenRequests(); n > 24 {
		t.Errorf("%d requests open in a pool, want 24 at most", n)
	}
}

// A body that could never find room is too long, not for later.
func TestPoolSmallerThanABody(t *testing.T) {
	nodes := startNodes(t, "n", 1, standin.NodeConfig{})
	d := start(t, head, poolText("a", list(nodes)+"memory = \"128 KiB\"\n"), routeText("", "a"))
	c := newClient(t, d.at(t))
	for size, want := range map[int]int{32 << 10: 200, 32<<10 + 1: 413} {
		if r := c.ask(http.MethodPost, "x", "/", strings.Repeat("b", size)); r.status != want {
			t.Errorf("a body of %d bytes: status %d, want %d", size, r.status, want)
		}
	}
	if n := nodes[0].Total(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}
