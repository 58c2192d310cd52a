package httpserver

import (
	"errors"
	"sync"
	"time"
)

// maxIDsPerGeneration limits the memory for ids to a few hundred kilobytes.
const maxIDsPerGeneration = 8 << 10

// SeenIDs remembers the ids of requests as long as the requests are open, in this process or in another
// one of the same sidecar, and for at least the retention time afterwards. Every request, also a repeat,
// has its own id. A duplicate id therefore belongs to another request, which may still be running. If more than
// maxIDsPerGeneration ids arrive within the retention time, the oldest of requests that are not open are
// evicted early. There are no more open ids than connections.
type SeenIDs struct {
	start time.Time

	mu                sync.Mutex
	retention         time.Duration
	current, previous map[string]struct{} // previous is dropped as a whole
	generationStart   time.Duration       // when current was started
	open              map[string]bool     // ids of open requests; true for those of the other process
	observer          func(IDEvent)       // told of the requests of this process; nil for none
}

// IDEvent is the beginning or the end of the request with an id.
type IDEvent struct {
	ID   string
	Open bool
}

// NewSeenIDs returns SeenIDs that remembers ids for twice the longest deadline, within
// which a request may still run.
func NewSeenIDs(longest time.Duration) *SeenIDs {
	return &SeenIDs{retention: 2 * longest, start: time.Now(), open: map[string]bool{}}
}

// SetLongestDeadline sets the longest deadline of later requests. The retention time is
// never shortened, because open requests may have longer deadlines.
func (s *SeenIDs) SetLongestDeadline(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = max(s.retention, 2*d)
}

// begin records the id of a request that begins and reports whether it is new. If it is, finish must be
// called at the end of the request.
func (s *SeenIDs) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[id]; open || !s.recordLocked(id, time.Since(s.start)) {
		return false
	}
	s.open[id] = false
	if s.observer != nil {
		s.observer(IDEvent{id, true})
	}
	return true
}

// finish records the end of a request. The retention time of its id begins.
func (s *SeenIDs) finish(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(id)
	if s.observer != nil {
		s.observer(IDEvent{id, false})
	}
}

func (s *SeenIDs) finishLocked(id string) {
	delete(s.open, id)
	delete(s.previous, id) // so that it is remembered from now on
	s.recordLocked(id, time.Since(s.start))
}

// SetObserver sets a function that is told of each request of this process that begins or ends from
// now on, and returns the ids of the open ones. The function must not block.
func (s *SeenIDs) SetObserver(observer func(IDEvent)) (open []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
	for id, elsewhere := range s.open {
		if !elsewhere {
			open = append(open, id)
		}
	}
	return open
}

// Recent returns ids of requests that have ended, up to maxBytes in all.
func (s *SeenIDs) Recent(maxBytes int) (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, generation := range []map[string]struct{}{s.current, s.previous} {
		for id := range generation {
			if _, open := s.open[id]; open {
				continue
			}
			if maxBytes -= len(id); maxBytes < 0 {
				return ids
			}
			ids = append(ids, id)
		}
	}
	return ids
}

// Observe records an event of a request of the other process.
func (s *SeenIDs) Observe(event IDEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elsewhere, open := s.open[event.ID]
	switch {
	case open && !elsewhere: // an open request of this process has the same id
	case event.Open:
		s.open[event.ID] = true
	default:
		s.finishLocked(event.ID)
	}
}

// OtherProcessEnded records that the other process, and with it all of its requests, has ended.
func (s *SeenIDs) OtherProcessEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, elsewhere := range s.open {
		if elsewhere {
			s.finishLocked(id)
		}
	}
}

// errDuplicateID is the reason to reject a request whose id another request has used.
var errDuplicateID = errors.New("X-Call-Id: another request has already used this id")

// recordAt records an id in the current generation and reports whether it is new.
func (s *SeenIDs) recordAt(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordLocked(id, now)
}

// recordLocked is recordAt for callers that hold the mutex.
func (s *SeenIDs) recordLocked(id string, now time.Duration) bool {
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
