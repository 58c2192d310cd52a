package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
)

// Whoever gives less than minStreamRate uses up the credit, however small the pauses are, and nobody can
// save up more than the limit.
func TestWaitCredit(t *testing.T) {
	for _, c := range []struct {
		name    string
		bytes   int64
		pause   time.Duration
		limit   time.Duration
		outlast bool // the credit is never used up
	}{
		{"drip", 1, 20 * time.Millisecond, maxLongSilence, false},
		{"long pauses", 16 << 10, 11 * time.Second, maxLongSilence, false},
		{"just enough", minStreamRate, time.Second, maxSilence, true},
		{"steady", 1 << 10, 62500 * time.Microsecond, maxSilence, true},
	} {
		credit := waitCredit{c.limit}
		steps := 0
		for credit.left > 0 && steps < 10_000 {
			credit.wait(c.pause)
			if credit.left > 0 {
				credit.receive(c.bytes, c.limit)
			}
			steps++
		}
		if outlast := credit.left > 0; outlast != c.outlast {
			t.Errorf("%s: credit %v after %d pauses, want some left: %t", c.name, credit.left, steps, c.outlast)
		}
		if held := time.Duration(steps) * c.pause; !c.outlast && held > 2*c.limit {
			t.Errorf("%s: held for %v", c.name, held)
		}
	}
}

// A stream of unknown length that has begun goes on after its deadline as long as its endpoint gives, and ends
// within a stated time if it only drips or hangs. A pause of the caller is none of the endpoint.
func TestStreamAfterItsDeadline(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, c := range []struct {
		name        string
		parts, size int
		pause       time.Duration // of the endpoint after each part
		callerPause time.Duration // before the stream is read
		whole       bool
		endsAfter   time.Duration // at most, after the deadline
	}{
		{"steady", 40, 256, 40 * time.Millisecond, 0, true, testTimeout},
		{"pauses", 4, 1 << 10, 900 * time.Millisecond, 0, true, testTimeout},
		{"caller pauses", 40, 256, 40 * time.Millisecond, 2 * maxSilence, true, testTimeout},
		{"drip", 1000, 1, 20 * time.Millisecond, 0, false, time.Second},
		{"hang", 2, 2 << 10, testTimeout, 0, false, maxSilence + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newStreamingEndpoint(t, func(nc net.Conn, _ int) {
				fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range c.parts {
					if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", c.size, strings.Repeat("x", c.size)); err != nil {
						return
					}
					time.Sleep(c.pause)
				}
				fmt.Fprint(nc, "0\r\n\r\n")
			})
			deadline := time.Now().Add(timeout)
			resp, result := sendGet(p, timeout)
			if result != balance.OK || resp.Remaining == nil {
				t.Fatalf("response %v, result %v, want a stream", resp, result)
			}
			defer resp.Release()
			time.Sleep(c.callerPause)
			n, err := io.Copy(io.Discard, resp.Remaining)
			n += int64(len(resp.Body))
			if whole := err == nil && n == int64(c.parts*c.size); whole != c.whole {
				t.Errorf("%d of %d bytes, %v; want the whole body: %t", n, c.parts*c.size, err, c.whole)
			}
			if took := time.Since(deadline); took > c.endsAfter {
				t.Errorf("ended %v after the deadline, want %v at most", took, c.endsAfter)
			}
		})
	}
}
