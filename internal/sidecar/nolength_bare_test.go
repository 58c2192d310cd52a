package sidecar

import (
	"sync"
	"testing"
	"time"
)

// A response without a length ends when its connection closes, even without a Connection:
// close header (RFC 9112, section 6.3). At least half of such complete responses are forwarded.
func TestResponsesWithoutLengthOrCloseHeaderAreForwarded(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		s := newScenario(t, "responses without length or close header, "+version)
		s.startSidecar(0)
		s.setBehaviour(scenarioEndpoints, behaviour{handle: func(x *receivedRequest) bool {
			x.write(version + " 200 OK\r\n\r\n" + x.id)
			return false
		}})
		done := make(chan struct{})
		time.AfterFunc(400*time.Millisecond, func() { close(done) })
		s.startClients(&all, 6, longBudget, 5*time.Millisecond, done)
		t.Cleanup(func() {
			if outcomes, attempts := s.outcomesSoFar(); outcomes.served*2 < attempts {
				t.Errorf("%s: %d of %d complete responses forwarded, want at least half", s.name, outcomes.served, attempts)
			}
		})
	}
	all.Wait()
}
