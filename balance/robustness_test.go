package balance

import (
	"fmt"
	"testing"
	"time"
)

// After a time in which all attempts failed, the Balancer recovers without a restart.
func TestRecoversAfterTotalFailure(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	b, h := newTestBalancer(t, cfg, "a", "b", "c")
	id := RequestID(0)
	run := func(from, to time.Duration, result Result) (served, total int) {
		for now := from; now < to; now += 10 * ms {
			id++
			total++
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
		return served, total
	}
	for _, result := range []Result{Error, Timeout, Overloaded, ConnectError, Reset} {
		start := time.Duration(id) * time.Second
		run(start, start+10*time.Second, result)
		run(start+10*time.Second, start+20*time.Second, OK)
		served, total := run(start+20*time.Second, start+25*time.Second, OK)
		if served < total*9/10 {
			t.Errorf("10 s after all attempts had result %d: served %d of %d requests, want at least 9 of 10", result, served, total)
		}
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests left open, want 0", len(b.requests))
	}
}

// After a clock jump and an empty list each request still gets a response, and the next
// list is used.
func TestClockJumpAndEmptyList(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a")
	b.Request(0, 1, 0, 0, time.Second)
	later := 30 * time.Hour
	b.Timer(later, 1<<timerBits|timerDeadline)
	b.Outcome(later, 1, 0, Timeout, later, false)
	b.UpdateEndpoints(later, Full, nil)
	b.Request(later, 2, 0, 0, time.Second)
	b.Timer(later+time.Second, 2<<timerBits|timerDeadline)
	if len(h.rejected)+len(h.failed) != 2 {
		t.Fatalf("%d requests rejected and %d failed, want 2 in all", len(h.rejected), len(h.failed))
	}
	b.UpdateEndpoints(later, Full, []Endpoint{{Addr: "a", State: Ready}})
	n := len(h.sends)
	b.Request(later+2*time.Second, 3, 0, 0, time.Second)
	if len(h.sends) != n+1 {
		t.Error("no attempt after the endpoint returned to the list")
	}
}

// Calls with an unknown request, class or attempt number, and repeated calls, are ignored.
func TestUnexpectedEventsAreIgnored(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a")
	b.Outcome(0, 9, 0, OK, ms, true)
	b.Cancelled(0, 9)
	b.Timer(0, 9<<timerBits|timerDeadline)
	b.Timer(0, 9<<timerBits|timerLate)
	b.Request(0, 1, 99, 0, time.Second)
	b.Request(0, 1, -1, 0, time.Second)
	if len(h.sends)+len(h.rejected)+len(h.failed) != 0 {
		t.Error("attempt or response for an unknown request or class")
	}
	b.Request(0, 1, 0, -5, time.Second)
	b.Request(0, 1, 0, 0, time.Second) // a duplicate id
	b.Outcome(ms, 1, 7, OK, ms, true)
	b.Outcome(ms, 1, 0, OK, ms, true)
	b.Outcome(ms, 1, 0, Error, ms, false)
	if len(h.sends) != 1 || len(b.requests) != 0 || b.inFlight != 0 {
		t.Errorf("%d sends, %d open requests, %d attempts in flight, want 1, 0, 0", len(h.sends), len(b.requests), b.inFlight)
	}
}

// The elements of gone endpoints are reused, but never while an open request has an
// attempt to one: its outcome would be recorded for another endpoint.
func TestGoneEndpointsAreFreed(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartInitialShare = 1
	b, h := newTestBalancer(t, cfg)
	now := time.Duration(0)
	for k := range 1000 {
		now += time.Second
		b.UpdateEndpoints(now, Full, []Endpoint{{Addr: fmt.Sprint("s-", k), State: Ready}, {Addr: fmt.Sprint("t-", k), State: Ready}})
	}
	if maxElements := 2 * int(goneRetention/time.Second+2); len(b.endpoints) > maxElements || len(b.indexByAddr) > maxElements {
		t.Errorf("%d elements and %d addresses for 2 endpoints, want at most %d", len(b.endpoints), len(b.indexByAddr), maxElements)
	}

	b.UpdateEndpoints(now, Full, []Endpoint{{Addr: "old", State: Ready}})
	b.Request(now, 1, 1, 0, 900*time.Second)
	if len(h.sends) != 1 || h.sends[0].addr != "old" {
		t.Fatalf("sends %v, want one to old", h.sends)
	}
	index := b.indexByAddr["old"]
	for k := range 200 {
		now += time.Second
		b.UpdateEndpoints(now, Full, []Endpoint{{Addr: fmt.Sprint("u-", k), State: Ready}})
	}
	if b.indexByAddr["old"] != index || b.endpoints[index].Addr != "old" {
		t.Fatal("the element of an endpoint with an attempt in flight was reused")
	}
	b.Outcome(now, 1, 0, Timeout, time.Second, true)
	b.UpdateEndpoints(now, Full, nil)
	if _, ok := b.indexByAddr["old"]; ok {
		t.Error("gone endpoint without open attempts was not freed")
	}
	for i := range b.endpoints {
		if e := &b.endpoints[i]; len(e.inFlight) != 0 || e.attemptRefs != 0 {
			t.Errorf("element %d (%s): %d attempts in flight and %d references left, want 0", i, e.Addr, len(e.inFlight), e.attemptRefs)
		}
	}
}

// Held requests must be freed after their response, even if no endpoint becomes ready.
func TestHeldRequestsAreFreed(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig())
	for k := range RequestID(10000) {
		now := time.Duration(k) * ms
		b.Request(now, k+1, 0, 0, 100*ms)
		b.Timer(now+50*ms, uint64(k+1)<<timerBits|timerHeld)
	}
	if len(b.held) > 100 {
		t.Errorf("%d requests held, want at most 100", len(b.held))
	}
}
