package httpfront

import (
	"errors"
	"sync"
	"time"
)

// seenMost bounds the ids of one span, whatever their number a second: some
// hundred kilobytes.
const seenMost = 8 << 10

// IDs remembers the ids of requests for at least its span, in two halves of
// which the older is dropped whole. Every request has an id of its own, also a
// repeat, so one that has come before belongs to somebody else, who may still
// wait for its answer; sent on, it would run twice under one name. Under more
// ids than seenMost in a span it remembers less, and forgets the oldest first.
type SeenIDs struct {
	start time.Time

	mu       sync.Mutex
	span     time.Duration
	new, old map[string]struct{}
	since    time.Duration
}

// NewIDs remembers ids for two of the longest deadlines, within which a
// request may still run.
func NewSeenIDs(longest time.Duration) *SeenIDs {
	return &SeenIDs{span: 2 * longest, start: time.Now()}
}

// SetLongest tells the longest deadline of the requests that come from now on. Those that
// are open may have longer, so that the span never becomes shorter.
func (s *SeenIDs) SetLongestDeadline(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.span = max(s.span, 2*d)
}

// isNew tells whether id has not come before, and books it.
func (s *SeenIDs) isNew(id string) bool { return s.add(id, time.Since(s.start)) }

// errSeen tells of a request whose id is not its own.
var errSeen = errors.New("X-Call-Id: a request with this id has come before")

// add remembers id and tells whether it is new.
func (s *SeenIDs) add(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.new == nil || now-s.since >= s.span || len(s.new) >= seenMost {
		s.old, s.new, s.since = s.new, map[string]struct{}{}, now
	}
	if _, ok := s.new[id]; ok {
		return false
	}
	if _, ok := s.old[id]; ok {
		return false
	}
	s.new[id] = struct{}{}
	return true
}
