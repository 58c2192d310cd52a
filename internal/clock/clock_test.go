package clock

import (
	"testing"
	"time"
)

// Step moves only the wall clock, and Advance moves both clocks.
func TestStepMovesOnlyWallClock(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		m := NewManual(0)
		c := m.Clock()
		start, wall := c.Now(), c.Wall()
		m.Step(step)
		if elapsed := c.Since(start); elapsed != 0 {
			t.Errorf("after a step of %v the monotonic clock has moved by %v, want 0", step, elapsed)
		}
		if moved := c.Wall().Sub(wall); moved != step {
			t.Errorf("after a step of %v the wall clock has moved by %v", step, moved)
		}
		m.Advance(time.Minute)
		if elapsed := c.Since(start); elapsed != time.Minute {
			t.Errorf("after a minute the monotonic clock has moved by %v", elapsed)
		}
		if moved := c.Wall().Sub(wall); moved != step+time.Minute {
			t.Errorf("after a minute the wall clock has moved by %v, want %v", moved, step+time.Minute)
		}
	}
}

// The zero value reads the system clocks without allocating.
func TestZeroClockReadsSystemClocks(t *testing.T) {
	var c Clock
	before := time.Now()
	now, wall := c.Now(), c.Wall()
	after := time.Now()
	if now.Before(before) || now.After(after) || c.Since(before) < now.Sub(before) {
		t.Errorf("monotonic time %v, want it between %v and %v", now, before, after)
	}
	if wall.Before(before.Round(0)) || wall.After(after.Round(0)) || wall != wall.Round(0) {
		t.Errorf("wall-clock time %v, want it between %v and %v, without a monotonic reading", wall, before, after)
	}
	if n := testing.AllocsPerRun(100, func() { c.Since(before) }); n != 0 {
		t.Errorf("%v allocations per call of Since, want 0", n)
	}
}
