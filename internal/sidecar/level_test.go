package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/nodes"
	"gorselink/internal/standin"
)

// The memory of a sidecar stays level while ids, connections, endpoints and classes
// are ever new. After a time of the same churn, what the churn leaves behind is what
// the tables are bounded to:
//
//	ids         2 spans of 8192, a map's entry of some 100 bytes each   1.6 MB
//	endpoints   4096 names of those gone, of some 100 bytes             0.4 MB
//	classes     of 4 that come by turns, none is new after the first round
//	connections none
//
// The first stretch fills the ids' tables to half or more, so that the second, of five
// times as many requests, may add 1.2 MB to them. An endpoint that is gone is held for
// 30 s, some 2 KB each with its target and window, and 400 of them come here: 0.8 MB.
// With a quarter as much again for what the collector has not reached: 2.5 MB, or 80 bytes a
// request, where a connection's buffers or a request's body are thousands.
func TestMemoryLevelUnderChurn(t *testing.T) {
	var served atomic.Int64 // not a standin.Node, which remembers every id
	var list []standin.Entry
	for i := range 3 {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { served.Add(1) }))
		t.Cleanup(node.Close)
		list = append(list, standin.Entry{Name: fmt.Sprintf("s-%d", i), Address: address(node), Zone: "a", Status: string(nodes.InService)})
	}
	agent, err := standin.StartAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	// All endpoints are ever new to the process, whatever their stamps say: with a ramp they
	// would be cold, and not all that is asked for would reach one.
	text := strings.Replace(configuration(listen, agent.Addr()), `"RampTimeS":5`, `"RampTimeS":0`, 1)
	put(t, path, text)
	p, _ := start(t, path, t.TempDir())

	const callers, each = 8, 30 // requests a connection
	stretch := func(requests, endpoints, reloads int) {
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for n := 0; n < requests/callers; n += each {
					c, err := net.Dial("tcp", listen)
					if err != nil {
						t.Error(err)
						return
					}
					in := bufio.NewReader(c)
					for range each {
						fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastAsk.Add(1))
						resp, err := http.ReadResponse(in, nil)
						if err != nil {
							t.Error(err)
							break
						}
						io.Copy(io.Discard, resp.Body)
					}
					c.Close()
				}
			})
		}
		for i := range endpoints { // a new name at the address of an old one
			e := list[i%len(list)]
			gone := e
			gone.Status = string(nodes.Terminated)
			e.Name = fmt.Sprintf("s-%d-%d", lastAsk.Add(1), i)
			list[i%len(list)] = e
			agent.Update(e, gone)
			time.Sleep(5 * time.Millisecond)
		}
		for i := range reloads {
			put(t, path, strings.Replace(text, `"Worth":1}`, fmt.Sprintf(`"Worth":1},{"Name":"c%d","AimS":1,"DeadlineS":2,"Semantics":"free","Worth":2}`, i%4), 1))
			p.reload <- syscall.SIGHUP
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
	}
	heap := func() uint64 {
		http.DefaultClient.CloseIdleConnections()
		var m runtime.MemStats
		for range 3 {
			runtime.GC()
		}
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	goroutines := func() int { return runtime.NumGoroutine() }
	// A connection that rests between two requests is memory in use. How many there are at
	// the end of a stretch is chance, so that none is left when the heap is measured.
	settled := func() {
		http.DefaultClient.CloseIdleConnections()
		eventually(t, "idle connections are closed", func() bool { return p.up.OpenConns() == 0 })
	}
	stretch(6000, 80, 20)
	settled()
	before, running := heap(), goroutines()
	stretch(30000, 400, 100)
	settled()
	after := heap()
	t.Logf("%d KB after the first stretch, %d KB after the second; %d and %d goroutines", before>>10, after>>10, running, goroutines())
	if grown := int64(after) - int64(before); grown > 5<<19 {
		t.Errorf("the heap grew by %d KB, want %d at most", grown>>10, 5<<9)
	}
	eventually(t, "no goroutine is left of what has ended", func() bool { return goroutines() <= running+8 })
	if n := p.pool.ClassCount(); n > 5 {
		t.Errorf("%d classes, want 5 at most", n)
	}
	if n := served.Load(); n < 36000 {
		t.Errorf("%d requests reached a node, want 36000", n)
	}
	p.finish(t)
}
