package balance

import (
	"testing"
	"time"
)

// The deduplication window of a request counts from the last byte of its first attempt, and a retry has to
// arrive before its end.
func TestRetryWindowCountsFromLastByte(t *testing.T) {
	const window, bodyTime = time.Second, 3 * time.Second
	for _, longBody := range []bool{false, true} {
		h := &retryRecorder{}
		b, err := New(Config{Instances: 1, AttemptLimit: 2, Multiplex: 1, Classes: []Class{{Deadline: 10 * time.Second, Idempotency: IdempotentByKey, DeduplicationWindow: window}}}, 1, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(0, Full, []Endpoint{{Addr: "a", State: Ready}, {Addr: "b", State: Ready}})
		b.Request(0, 1, 0, -1, 10*time.Second)
		if longBody {
			b.LastByteSent(bodyTime, 1, 0)
		}
		b.Outcome(bodyTime+window/2, 1, 0, Reset, window/2, false)
		wantSent := map[bool]int{false: 1, true: 2}[longBody]
		if h.sent != wantSent {
			t.Errorf("long body %t: %d attempts, want %d", longBody, h.sent, wantSent)
		}
		if !longBody {
			continue
		}
		if deadline, bounded := b.ArrivalDeadline(1, 1); !bounded || deadline != bodyTime+window {
			t.Errorf("the retry has to arrive by %v (%t), want %v", deadline, bounded, bodyTime+window)
		}
	}
}

// retryRecorder counts attempts.
type retryRecorder struct{ sent int }

func (h *retryRecorder) Send(RequestID, string, time.Duration) { h.sent++ }
func (h *retryRecorder) Reject(RequestID, time.Duration)       {}
func (h *retryRecorder) Fail(RequestID)                        {}
func (h *retryRecorder) After(d time.Duration, token uint64)   {}
func (h *retryRecorder) Watch()                                {}
