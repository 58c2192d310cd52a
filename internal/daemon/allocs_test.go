package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// startRawNode starts a node that passes each connection to serve, and returns its address.
func startRawNode(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// serveCannedResponse responds to each request with the same bytes, without allocations.
func serveCannedResponse(c net.Conn) {
	buf := make([]byte, 8<<10)
	for n := 0; ; {
		k, err := c.Read(buf[n:])
		if err != nil {
			return
		}
		if n += k; !bytes.HasSuffix(buf[:n], headEnd) {
			continue
		}
		n = 0
		if _, err := c.Write(cannedResponse); err != nil {
			return
		}
	}
}

var (
	headEnd        = []byte("\r\n\r\n")
	cannedResponse = []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Tue, 01 Dec 2026 11:00:00 GMT\r\nContent-Length: 16\r\n\r\n{\"total\": 12345}")
)

// newRequester returns a function that sends a request over one connection and reads the
// response, without allocations.
func newRequester(t testing.TB) func() {
	t.Helper()
	text := strings.Replace(baseConfig, "128 MiB", "512 MiB", 1) + fmt.Sprintf("[pools.a]\nnodes = [%q]\n", startRawNode(t, serveCannedResponse)) + routeText("a.example.org", "a")
	conn, err := net.Dial("tcp", startDaemon(t, text).publicAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	request := []byte("GET /receipt/1 HTTP/1.1\r\nHost: a.example.org\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request: 0123456789abcdef\r\n\r\n")
	buf := make([]byte, 1<<10)
	return func() {
		if _, err := conn.Write(request); err != nil {
			t.Fatal(err)
		}
		for n := 0; !bytes.HasSuffix(buf[:n], []byte("12345}")); {
			k, err := conn.Read(buf[n:])
			if err != nil && err != io.EOF || k == 0 {
				t.Fatalf("%d bytes, %v: %q", k, err, buf[:n])
			}
			n += k
		}
	}
}

// maxAllocsPerRequest bounds the allocations from the first byte of a request to the last
// byte of its response.
const maxAllocsPerRequest = 12

// The allocations of a common request are bounded. The node and the client allocate nothing,
// so all counted allocations are the daemon's.
func TestRequestAllocations(t *testing.T) {
	request := newRequester(t)
	for range 200 {
		request()
	}
	n := testing.AllocsPerRun(2000, request)
	t.Logf("%.1f allocations per request", n)
	if n > maxAllocsPerRequest {
		t.Errorf("%.1f allocations per request, want at most %d", n, maxAllocsPerRequest)
	}
}

// BenchmarkAllocationsOfRequest measures a request over one connection, where only the daemon
// allocates.
func BenchmarkAllocationsOfRequest(b *testing.B) {
	request := newRequester(b)
	for range 200 {
		request()
	}
	b.ReportAllocs()
	for b.Loop() {
		request()
	}
}
