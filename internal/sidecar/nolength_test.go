package sidecar

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// At least half of the complete responses that have no length and announce the close of their
// connection are forwarded, even when others are reset. No truncated response is forwarded as
// complete.
func TestResponsesWithoutLengthAreForwarded(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for _, c := range []struct {
		name       string
		version    string
		size       int // minimum body size
		resetEvery int // every resetEvery-th response is reset; 0 for none
	}{
		{"complete", "HTTP/1.1", 0, 0},
		{"complete, HTTP/1.0", "HTTP/1.0", 0, 0},
		{"complete, long", "HTTP/1.1", 60000, 0},
		{"every fourth reset", "HTTP/1.1", 0, 4},
		{"every second reset", "HTTP/1.1", 0, 2},
		{"every second reset, long", "HTTP/1.1", 60000, 2},
	} {
		s := newScenario(t, c.name)
		s.startSidecar(0)
		s.bodyPadding = strings.Repeat("p", c.size)
		var started, complete atomic.Int64
		s.setBehaviour(scenarioEndpoints, behaviour{handle: func(x *receivedRequest) bool {
			x.write(c.version + " 200 OK\r\nConnection: close\r\n\r\n" + x.id[:8])
			time.Sleep(2 * time.Millisecond)
			if n := started.Add(1); c.resetEvery > 0 && n%int64(c.resetEvery) == 0 {
				x.write(x.id[8:12])
				return x.resetAfterDelay()
			}
			x.write(x.id[8:] + s.bodyPadding)
			complete.Add(1)
			return false
		}})
		done := make(chan struct{})
		time.AfterFunc(500*time.Millisecond, func() { close(done) })
		s.startClients(&all, 6, longBudget, 5*time.Millisecond, done)
		t.Cleanup(func() {
			served, total := s.servedCount()
			t.Logf("%-30s %d of %d complete, %d of them forwarded, %d requests", c.name, complete.Load(), started.Load(), served, total)
			if int64(served)*2 < complete.Load() || served == 0 {
				t.Errorf("%s: %d of %d complete responses forwarded, want at least half", c.name, served, complete.Load())
			}
		})
	}
	all.Wait()
}
