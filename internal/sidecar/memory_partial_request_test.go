//go:build linux

package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// partialRequestTime is how long clients keep sending or stay in the middle of a request.
	partialRequestTime = 4 * time.Second
	// partialBodyBytes is the length of a body of which half is sent.
	partialBodyBytes = 1 << 20
)

// partialSenders are how clients send requests whose end is late or never comes. Each is called again, on a new
// connection, until the time is over.
var partialSenders = map[string]func(conn net.Conn, head string, done <-chan struct{}){
	"half a long body": func(conn net.Conn, head string, done <-chan struct{}) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, partialBodyBytes, strings.Repeat("x", partialBodyBytes/2))
		io.Copy(io.Discard, conn) // until the sidecar closes
	},
	"half a head": func(conn net.Conn, head string, done <-chan struct{}) {
		io.WriteString(conn, head+strings.Repeat("X-F: y\r\n", 800))
		io.Copy(io.Discard, conn)
	},
	"short fields": func(conn net.Conn, head string, done <-chan struct{}) {
		io.WriteString(conn, head+strings.Repeat("A:b\r\n", 12000)+"\r\n")
		io.Copy(io.Discard, conn)
	},
	"many short fields": func(conn net.Conn, head string, done <-chan struct{}) {
		io.WriteString(conn, head+strings.Repeat("A:b\r\n", 1500)+"Content-Length: 10\r\n\r\n12345")
		io.Copy(io.Discard, conn)
	},
	"chunks of one byte": func(conn net.Conn, head string, done <-chan struct{}) {
		io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
		for piece := strings.Repeat("1\r\nx\r\n", 500); ; {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
	},
	"slow writer": func(conn net.Conn, head string, done <-chan struct{}) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, partialBodyBytes)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if _, err := conn.Write(make([]byte, 2<<10)); err != nil {
				return
			}
		}
	},
}

// A sidecar stays within its memory limit while as many clients as its descriptors allow stop in the middle
// of a request or send one slowly, however many descriptors there are.
func TestMemoryLimitWithPartialRequests(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorselink")
	if out, err := exec.Command("go", "build", "-o", program, "gorselink/cmd/gorselink").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, limits := range []memoryCase{{memoryMB: 32, sockets: 1024}, {memoryMB: 48, sockets: 2048}, {memoryMB: 64, sockets: 4096}} {
		for name, send := range partialSenders {
			t.Run(fmt.Sprintf("%s, %d MB, %d descriptors", name, limits.memoryMB, limits.sockets), func(t *testing.T) {
				s := newMemoryTestSidecar(t, program, &limits, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
				s.start(t)
				done := make(chan struct{})
				var clients sync.WaitGroup
				for range limits.sockets / descriptorsPerRequest {
					clients.Go(func() { s.sendPartialRequests(send, done) })
				}
				time.Sleep(partialRequestTime)
				close(done)
				clients.Wait()
				peak := float64(s.peakMemory()) / (1 << 20)
				t.Logf("the sidecar used %.1f of %d MB", peak, limits.memoryMB)
				if peak > float64(limits.memoryMB) {
					t.Errorf("the sidecar used %.1f MB, want %d at most", peak, limits.memoryMB)
				}
			})
		}
	}
}

// sendPartialRequests sends requests one after another until done is closed, each on its own connection.
func (s *memoryTestSidecar) sendPartialRequests(send func(conn net.Conn, head string, done <-chan struct{}), done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		ended := make(chan struct{})
		go func() {
			select {
			case <-done:
			case <-ended:
			}
			conn.Close()
		}()
		send(conn, fmt.Sprintf("POST /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 9000\r\n", lastCallID.Add(1)), done)
		close(ended)
	}
}
