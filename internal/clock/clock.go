// Package clock provides the wall clock and the monotonic clock of a machine. The wall clock is
// the time of day: it can be stepped in either direction and is comparable with times that other
// machines have written. The monotonic clock is not stepped; deadlines, windows, delays and ages
// use it.
package clock

import (
	"sync"
	"time"
)

// Clock reads both clocks. The zero value reads the system clocks.
type Clock struct {
	manual *Manual // nil for the system clocks
}

// Now returns the current monotonic time, for Since and Sub. It is not the time of day; use
// Wall for that.
func (c Clock) Now() time.Time {
	if c.manual == nil {
		return time.Now()
	}
	now, _ := c.manual.read()
	return now
}

// Since returns the monotonic time elapsed since earlier, a result of Now.
func (c Clock) Since(earlier time.Time) time.Duration {
	if c.manual == nil {
		return time.Since(earlier)
	}
	return c.Now().Sub(earlier)
}

// Wall returns the time of day. It has no monotonic reading, so that differences between two
// results include steps of the wall clock.
func (c Clock) Wall() time.Time {
	if c.manual == nil {
		return time.Now().Round(0)
	}
	_, wall := c.manual.read()
	return wall
}

// Manual is a pair of clocks for tests. Advance moves both clocks, and Step moves only the wall
// clock. It is safe for concurrent use.
type Manual struct {
	mu         sync.Mutex
	now        time.Time
	wallOffset time.Duration
}

// NewManual returns a Manual whose wall clock differs from the system's by wallOffset.
func NewManual(wallOffset time.Duration) *Manual {
	return &Manual{now: time.Now(), wallOffset: wallOffset}
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{m} }

// Advance moves both clocks forward.
func (m *Manual) Advance(span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(span)
}

// Step moves the wall clock forward, or back if span is negative.
func (m *Manual) Step(span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wallOffset += span
}

func (m *Manual) read() (now, wall time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now, m.now.Add(m.wallOffset).Round(0)
}
