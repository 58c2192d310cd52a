package balance

import (
	"fmt"
	"testing"
	"time"
)

// Everything fails for a while; the balancer recovers without a restart.
func TestRecoversAfterEverythingFailed(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	b, h := newTest(t, cfg, "a", "b", "c")
	id := RequestID(0)
	run := func(from, to time.Duration, result Result) (served, asked int) {
		for now := from; now < to; now += 10 * ms {
			id++
			asked++
			n := len(h.sends)
			b.Request(now, id, 0, 0, 200*ms)
			for k := 0; n < len(h.sends); k, n = k+1, n+1 {
				b.Outcome(now, id, k, result, 5*ms, result == OK)
				if result == OK {
					served++
				}
			}
			b.Timer(now+200*ms, uint64(id)<<timerBits|timerDeadline)
		}
		return served, asked
	}
	for _, result := range []Result{Error, Timeout, Overloaded, ConnectError, Reset} {
		start := time.Duration(id) * time.Second
		run(start, start+10*time.Second, result)
		run(start+10*time.Second, start+20*time.Second, OK)
		served, asked := run(start+20*time.Second, start+25*time.Second, OK)
		if served < asked*9/10 {
			t.Errorf("after result %d everywhere: served %d of %d ten seconds later", result, served, asked)
		}
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests left open", len(b.requests))
	}
}

// A clock that jumps hours ahead and an empty list leave no request without an
// answer, and the next list is used.
func TestClockJumpAndEmptyList(t *testing.T) {
	b, h := newTest(t, testConfig(), "a")
	b.Request(0, 1, 0, 0, time.Second)
	later := 30 * time.Hour
	b.Timer(later, 1<<timerBits|timerDeadline)
	b.Outcome(later, 1, 0, Timeout, later, false)
	b.Members(later, Full, nil)
	b.Request(later, 2, 0, 0, time.Second)
	b.Timer(later+time.Second, 2<<timerBits|timerDeadline)
	if len(h.refused)+len(h.failed) != 2 {
		t.Fatalf("answers: %d refused, %d failed, want 2 in all", len(h.refused), len(h.failed))
	}
	b.Members(later, Full, []Endpoint{{Addr: "a", State: Ready}})
	n := len(h.sends)
	b.Request(later+2*time.Second, 3, 0, 0, time.Second)
	if len(h.sends) != n+1 {
		t.Error("no send after the list came back")
	}
}

// What an embedding sidecar may get wrong does no harm.
func TestEventsOutOfPlaceAreIgnored(t *testing.T) {
	b, h := newTest(t, testConfig(), "a")
	b.Outcome(0, 9, 0, OK, ms, true)
	b.Withdrawn(0, 9)
	b.Timer(0, 9<<timerBits|timerDeadline)
	b.Timer(0, 9<<timerBits|timerLate)
	b.Request(0, 1, 99, 0, time.Second)
	b.Request(0, 1, -1, 0, time.Second)
	if len(h.sends)+len(h.refused)+len(h.failed) != 0 {
		t.Error("acted on an unknown request or class")
	}
	b.Request(0, 1, 0, -5, time.Second)
	b.Request(0, 1, 0, 0, time.Second) // the id again
	b.Outcome(ms, 1, 7, OK, ms, true)
	b.Outcome(ms, 1, 0, OK, ms, true)
	b.Outcome(ms, 1, 0, Error, ms, false)
	if len(h.sends) != 1 || len(b.requests) != 0 || b.inFlight != 0 {
		t.Errorf("%d sends, %d open, %d out, want 1, 0, 0", len(h.sends), len(b.requests), b.inFlight)
	}
}

// Ever new endpoints take no ever new places, and an outcome that comes late
// is never booked with the endpoint that has its place now.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	cfg := testConfig()
	cfg.ColdShare = 1
	b, h := newTest(t, cfg)
	now := time.Duration(0)
	for k := range 1000 {
		now += time.Second
		b.Members(now, Full, []Endpoint{{Addr: fmt.Sprint("s-", k), State: Ready}, {Addr: fmt.Sprint("t-", k), State: Ready}})
	}
	if most := 2 * int(goneRetention/time.Second+2); len(b.endpoints) > most || len(b.indexByAddr) > most {
		t.Errorf("%d places and %d names for 2 endpoints, want %d at most", len(b.endpoints), len(b.indexByAddr), most)
	}

	b.Members(now, Full, []Endpoint{{Addr: "old", State: Ready}})
	b.Request(now, 1, 1, 0, 900*time.Second)
	if len(h.sends) != 1 || h.sends[0].addr != "old" {
		t.Fatalf("sends %v, want one to old", h.sends)
	}
	place := b.indexByAddr["old"]
	for k := range 200 {
		now += time.Second
		b.Members(now, Full, []Endpoint{{Addr: fmt.Sprint("u-", k), State: Ready}})
	}
	if b.indexByAddr["old"] != place || b.endpoints[place].Addr != "old" {
		t.Fatal("the place of an open attempt was given away")
	}
	b.Outcome(now, 1, 0, Timeout, time.Second, true)
	b.Members(now, Full, nil)
	if _, ok := b.indexByAddr["old"]; ok {
		t.Error("still remembered with nothing open")
	}
	for i := range b.endpoints {
		if e := &b.endpoints[i]; len(e.inFlight) != 0 || e.attemptRefs != 0 {
			t.Errorf("place %d (%s): %d flights, %d references left", i, e.Addr, len(e.inFlight), e.attemptRefs)
		}
	}
}

// Requests that wait for an endpoint leave nothing behind when none ever comes.
func TestHeldRequestsLeaveNothing(t *testing.T) {
	b, _ := newTest(t, testConfig())
	for k := range RequestID(10000) {
		now := time.Duration(k) * ms
		b.Request(now, k+1, 0, 0, 100*ms)
		b.Timer(now+50*ms, uint64(k+1)<<timerBits|timerHeld)
	}
	if len(b.held) > 100 {
		t.Errorf("%d requests held, want those that are open", len(b.held))
	}
}
