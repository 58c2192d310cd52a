// Package clock tells the two clocks of a machine apart. The wall clock is the time of
// day: it can be stepped, forward or back, by seconds or hours, and compares with times
// that others have written. The monotonic clock only runs on: deadlines, windows, waits
// and ages are spans of it.
package clock

import (
	"sync"
	"time"
)

// Clock reads both clocks. The zero value reads those of the system.
type Clock struct {
	manual *Manual // nil for the system's
}

// Now is this moment for Since and Sub, which go by the monotonic clock. It is no time of
// day: see Wall.
func (c Clock) Now() time.Time {
	if c.manual == nil {
		return time.Now()
	}
	now, _ := c.manual.read()
	return now
}

// Since is the span from an earlier Now to this moment.
func (c Clock) Since(earlier time.Time) time.Duration {
	if c.manual == nil {
		return time.Since(earlier)
	}
	return c.Now().Sub(earlier)
}

// Wall is the time of day. It has no monotonic reading, so that no span is taken of it
// by mistake as if it could not be stepped.
func (c Clock) Wall() time.Time {
	if c.manual == nil {
		return time.Now().Round(0)
	}
	_, wall := c.manual.read()
	return wall
}

// Manual is a pair of clocks for tests: its monotonic clock moves by Advance alone, and
// its wall clock by Advance and Step. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	stepped time.Duration
}

// NewManual returns a Manual whose wall clock is ahead of the system's; a negative span
// sets it behind.
func NewManual(ahead time.Duration) *Manual {
	return &Manual{now: time.Now(), stepped: ahead}
}

// Clock is the Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{m} }

// Advance lets time pass on both clocks.
func (m *Manual) Advance(span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(span)
}

// Step sets the wall clock forward, or back by a negative span.
func (m *Manual) Step(span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stepped += span
}

func (m *Manual) read() (now, wall time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now, m.now.Add(m.stepped).Round(0)
}
