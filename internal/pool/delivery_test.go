package pool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// pacedEndpoints reset the connection under the first request that one of them has run, and read the
// bodies of all later ones slowly.
type pacedEndpoints struct {
	pause time.Duration // after each pacedPieceBytes of the body of a retry

	mu   sync.Mutex
	runs []time.Time // when the last byte of each request had arrived
}

const pacedPieceBytes = 64 << 10

// listen starts an endpoint and returns its address.
func (e *pacedEndpoints) listen(t *testing.T) string {
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
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (e *pacedEndpoints) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		isRetry := len(e.runTimes()) > 0
		for err == nil {
			if _, err = io.CopyN(io.Discard, r.Body, pacedPieceBytes); err == nil && isRetry {
				time.Sleep(e.pause)
			}
		}
		if err != io.EOF {
			return
		}
		e.mu.Lock()
		e.runs = append(e.runs, time.Now())
		e.mu.Unlock()
		if !isRetry {
			c.SetLinger(0)
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (e *pacedEndpoints) runTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.runs...)
}

// A retry of a request with a key does not run after the deduplication window, although its body is
// long; one that arrives in time is made.
func TestRetryWithLongBodyArrivesWithinDeduplicationWindow(t *testing.T) {
	const window = time.Second
	for _, c := range []struct {
		name  string
		size  int
		pause time.Duration
		scope balance.DeduplicationScope
		want  Outcome
	}{
		{"fast", 8 << 20, 0, balance.ScopeAll, Served},
		{"fast, short", 5 << 10, 0, balance.ScopeAll, Served},
		{"fast, as long as the receive buffer", 60 << 10, 0, balance.ScopeCell, Served},
		{"fast enough", 1 << 20, 10 * time.Millisecond, balance.ScopeZone, Served},
		{"too slow", 8 << 20, 25 * time.Millisecond, balance.ScopeAll, Rejected},
		{"too slow, zone", 8 << 20, 25 * time.Millisecond, balance.ScopeZone, TimedOut},
		{"too slow, cell", 8 << 20, 25 * time.Millisecond, balance.ScopeCell, TimedOut},
		{"hangs", 1 << 20, testTimeout, balance.ScopeAll, Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := &pacedEndpoints{pause: c.pause}
			cfg := testConfig()
			cfg.Balance.Classes = []balance.Class{{Deadline: testTimeout, PriorityWeight: 1, Idempotency: balance.IdempotentByKey, DeduplicationScope: c.scope, DeduplicationWindow: window}}
			cfg.Known.Snapshot = true
			for _, name := range []string{"e-0", "e-1"} {
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, discovery.Endpoint{Name: name, Address: e.listen(t), Zone: "a", Status: discovery.InService})
			}
			conns := upstream.New(upstream.Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 8})
			t.Cleanup(conns.Close)
			p, err := New(cfg, conns)
			if err != nil {
				t.Fatal(err)
			}
			r := &Request{Tenant: -1, Budget: testTimeout, Outgoing: upstream.Request{Method: "POST", URI: "/", Host: "x", Body: make([]byte, c.size)}}
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			p.RunFirstAttempt(r)
			response := <-r.Response()
			if response.Upstream != nil {
				response.Upstream.Release()
			}
			if response.Outcome != c.want && !(c.want == TimedOut && response.Outcome == Failed) {
				t.Errorf("outcome %v, want %v", response.Outcome, c.want)
			}
			if took := time.Since(began); took > window+testTimeout/4 {
				t.Errorf("the response took %v", took)
			}
			p.Done(r)
			if undelivered := p.Stats().Undelivered; undelivered > 0 != (c.want != Served) {
				t.Errorf("%d retries counted as undelivered", undelivered)
			}
			time.Sleep(2 * window) // a body in the buffers of both machines would arrive meanwhile
			runs := e.runTimes()
			if c.want == Served && len(runs) != 2 {
				t.Errorf("%d runs, want 2", len(runs))
			}
			for _, at := range runs[1:] {
				if late := at.Sub(runs[0]) - window; late > 0 {
					t.Errorf("the retry arrived %v after the end of the deduplication window", late)
				}
			}
		})
	}
}
