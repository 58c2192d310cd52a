package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// manyPoolsConfig returns a configuration with n pools, each with its own host and one node.
func manyPoolsConfig(t testing.TB, n int, node *fakeserver.Node) string {
	var text strings.Builder
	text.WriteString(strings.Replace(baseConfig, "128 MiB", "512 MiB", 1))
	for i := range n {
		name := fmt.Sprintf("p%d", i)
		text.WriteString(poolText(name, nodeList([]*fakeserver.Node{node})))
		text.WriteString(routeText(name+".example.org", name))
	}
	return text.String()
}

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest measures a request over one connection through listener, route, pool and
// node. cpu-µs/op is the CPU time of the whole process. It includes the node and the client,
// which are the same in each case.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 50} {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			node := startNodes(b, "n", 1, fakeserver.NodeConfig{})[0]
			d := startDaemon(b, manyPoolsConfig(b, n, node))
			conn, err := net.Dial("tcp", d.publicAddr(b))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			request := func(i int) {
				fmt.Fprintf(conn, "GET /receipt/1 HTTP/1.1\r\nHost: p%d.example.org\r\n\r\n", i%n)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				if resp.StatusCode != 200 {
					b.Fatalf("status %d", resp.StatusCode)
				}
			}
			for i := range 10 * n { // opens the connections
				request(i)
			}
			b.ReportAllocs()
			startCPU := processCPU()
			for i := 0; b.Loop(); i++ {
				request(i)
			}
			b.ReportMetric(float64((processCPU()-startCPU).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkIdlePool measures the memory of an additional pool without requests.
func BenchmarkIdlePool(b *testing.B) {
	node := startNodes(b, "n", 1, fakeserver.NodeConfig{})[0]
	measure := func(n int) float64 {
		d := startDaemon(b, manyPoolsConfig(b, n, node))
		time.Sleep(50 * time.Millisecond) // until all pools have their node lists
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		d.Close()
		return float64(m.HeapAlloc + m.StackInuse)
	}
	var bytesPerPool float64
	for b.Loop() {
		one, many := measure(1), measure(101)
		bytesPerPool = (many - one) / 100
	}
	b.ReportMetric(bytesPerPool, "B/pool")
}
