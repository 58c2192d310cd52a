package sidecar

import (
	"sync"
	"testing"
	"time"
)

// An answer without a length ends with its connection, whether or not its endpoint has said
// that it closes it (RFC 9112, section 6.3), as those of HTTP/1.0 rarely do. Half at least of
// those that come whole are forwarded; one that is reset has no end.
func TestBareAnswersWithoutALengthAreForwarded(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		s := newScene(t, "bare answers of "+version)
		s.begin(0)
		s.set(sceneEndpoints, behaviour{do: func(x *exchange) bool {
			x.say(version + " 200 OK\r\n\r\n" + x.id)
			return false
		}})
		done := make(chan struct{})
		time.AfterFunc(400*time.Millisecond, func() { close(done) })
		s.ask(&all, 6, longBudget, 5*time.Millisecond, done)
		t.Cleanup(func() {
			if ends, attempts := s.tally(); ends.served*2 < attempts {
				t.Errorf("%s: %d of %d answers that came whole are forwarded, want half at least", s.name, ends.served, attempts)
			}
		})
	}
	all.Wait()
}
