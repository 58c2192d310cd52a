package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// rawNode is a node that does as told with each connection.
func rawNode(t testing.TB, serve func(c net.Conn)) string {
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

// answerCanned answers each head that comes with the same bytes, and allocates
// nothing for it.
func answerCanned(c net.Conn) {
	buf := make([]byte, 8<<10)
	for n := 0; ; {
		k, err := c.Read(buf[n:])
		if err != nil {
			return
		}
		if n += k; !bytes.HasSuffix(buf[:n], crlf2) {
			continue
		}
		n = 0
		if _, err := c.Write(canned); err != nil {
			return
		}
	}
}

var (
	crlf2  = []byte("\r\n\r\n")
	canned = []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Tue, 01 Dec 2026 11:00:00 GMT\r\nContent-Length: 16\r\n\r\n{\"total\": 12345}")
)

// asker asks over one connection and allocates nothing for it.
func asker(t testing.TB) func() {
	t.Helper()
	text := strings.Replace(head, "128 MiB", "512 MiB", 1) + fmt.Sprintf("[pools.a]\nnodes = [%q]\n", rawNode(t, answerCanned)) + routeText("a.example.org", "a")
	conn, err := net.Dial("tcp", start(t, text).at(t))
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

// mostAllocs is what a request may cost in allocations, from the caller's first
// byte to its answer's last.
const mostAllocs = 12

// TestAllocationsOfARequest: what the path allocates for a common request is
// bounded; neither the node nor the asking side allocates anything.
func TestAllocationsOfARequest(t *testing.T) {
	ask := asker(t)
	for range 200 {
		ask()
	}
	n := testing.AllocsPerRun(2000, ask)
	t.Logf("%.1f allocations a request", n)
	if n > mostAllocs {
		t.Errorf("%.1f allocations a request, want %d at most", n, mostAllocs)
	}
}

// BenchmarkPath is one request over one connection with nothing but the daemon's
// own allocations in it.
func BenchmarkPath(b *testing.B) {
	ask := asker(b)
	for range 200 {
		ask()
	}
	b.ReportAllocs()
	for b.Loop() {
		ask()
	}
}
