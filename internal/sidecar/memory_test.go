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

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

// The memory of a sidecar stays bounded while ids, connections, endpoints and classes change
// constantly. Between the two measurements the heap may grow by 2.5 MB: 1.2 MB of ids,
// 0.8 MB of removed endpoints, which are kept for 30 s, and a quarter more for uncollected
// garbage. A leak of connection buffers or request bodies would exceed this.
func TestMemoryBoundedUnderChurn(t *testing.T) {
	var served atomic.Int64 // unlike fakeserver.Node, does not store request ids
	var list []fakeserver.Entry
	for i := range 3 {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { served.Add(1) }))
		t.Cleanup(node.Close)
		list = append(list, fakeserver.Entry{Name: fmt.Sprintf("s-%d", i), Address: serverAddr(node), Zone: "a", Status: string(discovery.InService)})
	}
	agent, err := fakeserver.StartAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	// All endpoints are new to the process. With a slow-start window they would be
	// cold, and some requests would not be served.
	text := strings.Replace(configJSON(listen, agent.Addr()), `"RampTimeS":5`, `"RampTimeS":0`, 1)
	writeFile(t, path, text)
	p, _ := startInstance(t, path, t.TempDir())

	const clients, requestsPerConn = 8, 30
	churn := func(requests, endpoints, reloads int) {
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for n := 0; n < requests/clients; n += requestsPerConn {
					c, err := net.Dial("tcp", listen)
					if err != nil {
						t.Error(err)
						return
					}
					in := bufio.NewReader(c)
					for range requestsPerConn {
						fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastCallID.Add(1))
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
		for i := range endpoints { // replace an endpoint by a new name at the same address
			e := list[i%len(list)]
			removed := e
			removed.Status = string(discovery.Terminated)
			e.Name = fmt.Sprintf("s-%d-%d", lastCallID.Add(1), i)
			list[i%len(list)] = e
			agent.Update(e, removed)
			time.Sleep(5 * time.Millisecond)
		}
		for i := range reloads {
			writeFile(t, path, strings.Replace(text, `"Worth":1}`, fmt.Sprintf(`"Worth":1},{"Name":"c%d","AimS":1,"DeadlineS":2,"Semantics":"free","Worth":2}`, i%4), 1))
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
	// The number of idle connections after churn varies, so all are closed before the heap
	// is measured.
	closeIdleConns := func() {
		http.DefaultClient.CloseIdleConnections()
		eventually(t, "idle connections are closed", func() bool { return p.upstream.OpenConns() == 0 })
	}
	churn(6000, 80, 20)
	closeIdleConns()
	before, running := heap(), goroutines()
	churn(30000, 400, 100)
	closeIdleConns()
	after := heap()
	t.Logf("%d KB after the first churn, %d KB after the second; %d and %d goroutines", before>>10, after>>10, running, goroutines())
	if growth := int64(after) - int64(before); growth > 5<<19 {
		t.Errorf("heap grew by %d KB, want %d KB at most", growth>>10, 5<<9)
	}
	eventually(t, "goroutines of closed connections have ended", func() bool { return goroutines() <= running+8 })
	if n := p.pool.ClassCount(); n > 5 {
		t.Errorf("%d classes registered, want 5 at most", n)
	}
	if n := served.Load(); n < 36000 {
		t.Errorf("%d requests reached a node, want at least 36000", n)
	}
	p.finish(t)
}
