package clock

import (
	"testing"
	"time"
)

// A step moves the wall clock alone, and what passes moves both.
func TestStepsMoveTheWallClockAlone(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		m := NewManual(0)
		c := m.Clock()
		began, wall := c.Now(), c.Wall()
		m.Step(step)
		if since := c.Since(began); since != 0 {
			t.Errorf("stepped by %v, the monotonic clock has moved by %v", step, since)
		}
		if moved := c.Wall().Sub(wall); moved != step {
			t.Errorf("stepped by %v, the wall clock has moved by %v", step, moved)
		}
		m.Advance(time.Minute)
		if since := c.Since(began); since != time.Minute {
			t.Errorf("after a minute the monotonic clock has moved by %v", since)
		}
		if moved := c.Wall().Sub(wall); moved != step+time.Minute {
			t.Errorf("after a minute the wall clock has moved by %v, want %v", moved, step+time.Minute)
		}
	}
}

// The zero value reads the system's clocks, at no allocation.
func TestZeroClockIsTheSystems(t *testing.T) {
	var c Clock
	before := time.Now()
	now, wall := c.Now(), c.Wall()
	after := time.Now()
	if now.Before(before) || now.After(after) || c.Since(before) < now.Sub(before) {
		t.Errorf("now %v, want it from %v to %v", now, before, after)
	}
	if wall.Before(before.Round(0)) || wall.After(after.Round(0)) || wall != wall.Round(0) {
		t.Errorf("wall %v, want it from %v to %v without a monotonic reading", wall, before, after)
	}
	if n := testing.AllocsPerRun(100, func() { c.Since(before) }); n != 0 {
		t.Errorf("%v allocations a reading, want none", n)
	}
}
