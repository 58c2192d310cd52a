package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
)

// longestHold is how long a part of a long response may be held back.
const longestHold = 2 * time.Second

// newStreamingEndpoint is scriptedEndpoint with a Pool that streams long responses.
func newStreamingEndpoint(t *testing.T, handle func(c net.Conn, n int)) *Pool {
	p, _ := scriptedEndpoint(t, handle)
	p.cfg.MaxStreamBytes = 1 << 20
	return p
}

// What has arrived of a long chunk is returned while its endpoint pauses inside it.
func TestStreamReturnsStartOfChunk(t *testing.T) {
	const chunkBytes, givenBytes = 200_000, 150_000
	hang := make(chan struct{})
	p := newStreamingEndpoint(t, func(c net.Conn, n int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", chunkBytes, strings.Repeat("x", givenBytes))
		<-hang
	})
	defer close(hang)
	resp, result := sendGet(p, testTimeout)
	if result != balance.OK || resp.Remaining == nil {
		t.Fatalf("response %v, result %v, want a stream", resp, result)
	}
	defer resp.Release()
	got := make(chan int, 1)
	go func() {
		n := len(resp.Body)
		for b := make([]byte, 64<<10); n < givenBytes; {
			k, err := resp.Remaining.Read(b)
			if n += k; err != nil {
				break
			}
		}
		got <- n
	}()
	select {
	case n := <-got:
		if n != givenBytes {
			t.Errorf("%d bytes, want %d", n, givenBytes)
		}
	case <-time.After(longestHold):
		t.Errorf("the %d bytes that the endpoint has given were held back for %v", givenBytes, longestHold)
	}
}
