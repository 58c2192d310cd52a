package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/acceptloop"
)

// uploadBodyBytes is over an eighth of the sidecar's memory, so that the body is forwarded while it
// arrives, and little enough for the kernel to take all of it from the client.
const uploadBodyBytes = 4_300_000

// uploadEndpoints are how an endpoint treats a request body, by the last segment of the path. Each has
// read what the kernel gave it of the first bytes.
var uploadEndpoints = map[string]func(conn net.Conn, body io.Reader) error{
	"hangs": func(conn net.Conn, body io.Reader) error {
		time.Sleep(testTimeout)
		return io.ErrUnexpectedEOF
	},
	"takesLittle": func(conn net.Conn, body io.Reader) error {
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
			if _, err := io.CopyN(io.Discard, body, 16<<10); err != nil {
				return err
			}
		}
		return io.ErrUnexpectedEOF
	},
	"respondsEarly": func(conn net.Conn, body io.Reader) error {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(testTimeout)
		return io.ErrUnexpectedEOF
	},
	"reads": func(conn net.Conn, body io.Reader) error {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return err
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err
	},
}

// A request whose body is forwarded while it arrives gets its final response in time, counted from the
// last byte that its client has written, whatever its endpoint does with the body.
func TestUploadHasDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go acceptloop.Serve(l, func(conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil || uploadEndpoints[filepath.Base(r.URL.Path)](conn, r.Body) != nil {
					return
				}
			}
		}()
	})
	discovery := newDiscoveryServer(t, "s-1", l.Addr().String())
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.NewReplacer(`"memory_mb":64`, `"memory_mb":32`, `"Semantics":"free"`, `"Semantics":"single_shot"`, `"RampTimeS":5`, `"RampTimeS":0`).Replace(configJSON(listen, serverAddr(discovery))))
	startInstance(t, path, t.TempDir())
	var all sync.WaitGroup
	for name, status := range map[string]int{"hangs": http.StatusServiceUnavailable, "takesLittle": http.StatusServiceUnavailable, "respondsEarly": http.StatusServiceUnavailable, "reads": http.StatusOK} {
		for _, framing := range []responseFraming{byLength, byChunks} {
			all.Go(func() {
				if err := upload(listen, name, framing, status); err != nil {
					t.Errorf("endpoint %s, %s: %v", name, framing, err)
				}
			})
		}
	}
	all.Wait()
}

// upload sends a long body and checks the status and the time of the response.
func upload(listen, endpoint string, framing responseFraming, status int) error {
	const budget = time.Second
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /view/%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: %d\r\n", endpoint, lastCallID.Add(1), budget.Milliseconds())
	body := bytes.Repeat([]byte("x"), uploadBodyBytes)
	if framing == byLength {
		fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	written := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(written)
	if err != nil {
		return fmt.Errorf("no response after %v: %w", took, err)
	}
	if resp.StatusCode != status || took > budget+finalResponseSlack {
		return fmt.Errorf("status %d, %v after the last byte, want %d within %v", resp.StatusCode, took, status, budget)
	}
	return nil
}
