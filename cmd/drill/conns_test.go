package main

import (
	"slices"
	"testing"
)

// TestSweepReleasesIdleConnections checks that connections unused since the last sweep are
// released, that those in use are kept, and that sweeps stop when none are left.
func TestSweepReleasesIdleConnections(t *testing.T) {
	var c connTracker
	runSweep := func() (got []string, again bool) {
		again = c.sweep(func(addr string) { got = append(got, addr) })
		return got, again
	}
	if !c.sent(1, 0, "a") || c.sent(2, 0, "a") || c.sent(3, 0, "b") {
		t.Fatal("only the first attempt must schedule a sweep")
	}
	if got, again := runSweep(); got != nil || !again {
		t.Errorf("all in use: released %v, again %t, want none released and another sweep", got, again)
	}
	c.ended(2, 0)
	c.ended(3, 0)
	c.ended(3, 0) // repeated
	c.ended(9, 0) // never sent
	if got, again := runSweep(); got != nil || !again {
		t.Errorf("used since the last sweep: released %v, again %t, want none released and another sweep", got, again)
	}
	if got, again := runSweep(); !slices.Equal(got, []string{"a", "b"}) || !again {
		t.Errorf("unused since the last sweep: released %v, again %t, want a and b in this order and another sweep", got, again)
	}
	c.ended(1, 0)
	runSweep()
	if got, again := runSweep(); !slices.Equal(got, []string{"a"}) || again {
		t.Errorf("no attempts in flight: released %v, again %t, want a and no further sweep", got, again)
	}
	if !c.sent(4, 0, "b") {
		t.Error("the first attempt after the last sweep must schedule a sweep")
	}
	if len(c.inFlight) != 1 || len(c.endpoints) != 1 {
		t.Errorf("%d attempts and %d endpoints tracked, want 1 of each", len(c.inFlight), len(c.endpoints))
	}
}
