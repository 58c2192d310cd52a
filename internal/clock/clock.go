// Package clock reads the wall clock and the monotonic clock of a machine. The wall clock gives
// the time of day: it can be stepped in either direction, and its times can be compared with
// those of other machines. The monotonic clock is never stepped, so deadlines, windows, delays
// and ages use it.
package clock

import (
	"sync"
	"time"
)

// Clock reads both clocks. The zero value reads the system clocks.
type Clock struct {
	manual *Manual // nil for the system clocks
}

// Now returns the current monotonic time, for use with Since and time.Time.Sub. For the time of
// day use Wall.
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

// Manual is a pair of clocks for tests. Advance moves both, and Step moves only the wall clock. It
// is safe for concurrent use.
type Manual struct {
	mu         sync.Mutex
	now        time.Time
	wallOffset time.Duration
}

// NewManual returns a Manual that starts at the system time, with the wall clock ahead by
// wallOffset.
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
