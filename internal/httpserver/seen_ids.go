package httpserver

import (
	"errors"
	"sync"
	"time"
)

// maxIDsPerGeneration limits the memory for ids to a few hundred kilobytes.
const maxIDsPerGeneration = 8 << 10

// SeenIDs remembers the ids of requests for at least the retention time. Every request,
// also a repeat, has its own id. A duplicate id therefore belongs to another request,
// which may still be running. If more than maxIDsPerGeneration ids arrive within the retention
// time, the oldest are evicted early.
type SeenIDs struct {
	start time.Time

	mu                sync.Mutex
	retention         time.Duration
	current, previous map[string]struct{} // previous is dropped as a whole
	generationStart   time.Duration       // when current was started
}

// NewSeenIDs returns SeenIDs that remembers ids for twice the longest deadline, within
// which a request may still run.
func NewSeenIDs(longest time.Duration) *SeenIDs {
	return &SeenIDs{retention: 2 * longest, start: time.Now()}
}

// SetLongestDeadline sets the longest deadline of later requests. The retention time is
// never shortened, because open requests may have longer deadlines.
func (s *SeenIDs) SetLongestDeadline(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = max(s.retention, 2*d)
}

// record records id and reports whether it is new.
func (s *SeenIDs) record(id string) bool { return s.recordAt(id, time.Since(s.start)) }

// errDuplicateID is the reason to reject a request whose id another request has used.
var errDuplicateID = errors.New("X-Call-Id: another request has already used this id")

// recordAt is record at the time now.
func (s *SeenIDs) recordAt(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now-s.generationStart >= s.retention || len(s.current) >= maxIDsPerGeneration {
		s.previous, s.current, s.generationStart = s.current, map[string]struct{}{}, now
	}
	if _, ok := s.current[id]; ok {
		return false
	}
	if _, ok := s.previous[id]; ok {
		return false
	}
	s.current[id] = struct{}{}
	return true
}
