package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gorselink/balance"
)

// A short response without available memory is streamed, and none holds memory that is not reserved.
func TestShortResponsesWithoutMemory(t *testing.T) {
	body := strings.Repeat("x", 40<<10)
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := scriptedEndpoint(t, func(nc net.Conn, n int) { io.WriteString(nc, text) })
			p.cfg.MaxStreamBytes = 1 << 20
			p.SetLimits(Limits{MaxConns: 8, BufferBytes: chunkSize})
			receive := func(wantStream bool) *Response {
				t.Helper()
				resp, result := sendGet(p, testTimeout)
				if result != balance.OK {
					t.Fatalf("result %v, want OK", result)
				}
				if streamed := resp.Remaining != nil; streamed != wantStream {
					t.Fatalf("streamed %t, want %t", streamed, wantStream)
				}
				return resp
			}
			first := receive(false)
			second := receive(true)
			data := bytes.Clone(second.Body)
			second.ReleaseBody()
			rest, err := io.ReadAll(second.Remaining)
			if data = append(data, rest...); err != nil || string(data) != body {
				t.Errorf("the streamed body has %d bytes, error %v, want all %d unchanged", len(data), err, len(body))
			}
			if string(first.Body) != body {
				t.Errorf("the buffered body has %d bytes, want all %d unchanged", len(first.Body), len(body))
			}
			second.Release()
			first.Release()
			if n := p.BufferMemory(); n != 0 {
				t.Errorf("%d bytes are reserved without an open response", n)
			}
			receive(false).Release()
		})
	}
}

// Buffers for forwarding bodies leave half of the memory to short responses. Unused chunks are kept
// only as long as their memory is not reserved for anything else.
func TestBuffersStayWithinTheirMemory(t *testing.T) {
	const chunks = 8
	p := New(Config{MaxConns: 1, BufferBytes: chunks * chunkSize})
	t.Cleanup(p.Close)
	var buffers []*CopyBuffer
	long := 0
	for range 2 * chunks {
		b := p.newCopyBuffer()
		if len(b.Bytes()) > minCopyBytes {
			long++
		}
		buffers = append(buffers, b)
	}
	if long != chunks/2 {
		t.Errorf("%d buffers are of full length, want %d", long, chunks/2)
	}
	for _, b := range buffers {
		b.Release()
	}
	if n := p.BufferMemory(); n != 0 {
		t.Errorf("%d bytes are reserved after all buffers were released", n)
	}
	if n := len(p.chunks.free); n != chunks/2 {
		t.Errorf("%d unused chunks are kept, want %d", n, chunks/2)
	}
	memory, ok := p.reserveBuffer((chunks - 1) * chunkSize)
	if !ok {
		t.Fatal("no memory, although nothing is reserved")
	}
	if n := len(p.chunks.free); n > 1 {
		t.Errorf("%d unused chunks are kept beside a reservation, want 1 at most", n)
	}
	memory.Release()
}
