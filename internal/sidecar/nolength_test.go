package sidecar

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// An answer without a length that comes whole ends with its connection, which its endpoint
// has said that it closes. Half of those at least are forwarded, also right after some
// that were reset on the way, whatever their size and the pieces that they come in; and
// no half of one is given as a whole.
func TestAnswersWithoutALengthAreForwarded(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for _, c := range []struct {
		name    string
		version string
		size    int // of the body, at the least
		resets  int // each so many-th is reset on the way; 0 for none
	}{
		{"whole", "HTTP/1.1", 0, 0},
		{"whole, 1.0", "HTTP/1.0", 0, 0},
		{"whole, long", "HTTP/1.1", 60000, 0},
		{"each fourth reset", "HTTP/1.1", 0, 4},
		{"each second reset", "HTTP/1.1", 0, 2},
		{"each second reset, long", "HTTP/1.1", 60000, 2},
	} {
		s := newScene(t, c.name)
		s.begin(0)
		s.padding = strings.Repeat("p", c.size)
		var came, whole atomic.Int64
		s.set(sceneEndpoints, behaviour{do: func(x *exchange) bool {
			x.say(c.version + " 200 OK\r\nConnection: close\r\n\r\n" + x.id[:8])
			time.Sleep(2 * time.Millisecond)
			if n := came.Add(1); c.resets > 0 && n%int64(c.resets) == 0 {
				x.say(x.id[8:12])
				return x.resetLater()
			}
			x.say(x.id[8:] + s.padding)
			whole.Add(1)
			return false
		}})
		done := make(chan struct{})
		time.AfterFunc(500*time.Millisecond, func() { close(done) })
		s.ask(&all, 6, longBudget, 5*time.Millisecond, done)
		t.Cleanup(func() {
			served, asked := s.served()
			t.Logf("%-30s %d of %d came whole, %d of them forwarded, %d requests", c.name, whole.Load(), came.Load(), served, asked)
			if int64(served)*2 < whole.Load() || served == 0 {
				t.Errorf("%s: %d of %d answers that came whole are forwarded, want half at least", c.name, served, whole.Load())
			}
		})
	}
	all.Wait()
}
