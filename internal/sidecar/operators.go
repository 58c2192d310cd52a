package sidecar

import (
	"log/slog"
	"time"

	"gorselink/internal/fleet"
)

// operated is the sidecar as operators have it.
type operated struct{ s *Sidecar }

// Ready implements fleet.Operated. A drained sidecar is ready: it can serve, and
// only tells callers to go elsewhere.
func (o operated) Ready() bool { return o.s.pool.HasList() }

// Listed implements fleet.Operated.
func (o operated) EverListed(id string) bool {
	return o.s.pool.Knows(id) || o.s.marks.State().Disabled[id]
}

// Out implements fleet.Operated.
func (o operated) SetDisabled(id string, out bool) error { return o.s.marks.SetDisabled(id, out) }

// Drain implements fleet.Operated.
func (o operated) SetDrained(on bool) error { return o.s.marks.SetDrained(on) }

// heed takes up what operators have said, to this process or another one.
func (s *Sidecar) heed(said fleet.OperatorState) {
	s.pool.SetDisabled(said.Disabled)
	s.mu.Lock()
	defer s.mu.Unlock()
	if said.Drained == s.away {
		return
	}
	s.away = said.Drained
	slog.Info("drained by hand", "on", s.away)
	s.judge.SetDrained(s.away)
	if s.ebb != nil {
		s.ebb.Stop()
	}
	if !s.away {
		s.callers.SetCloseIdle(false)
		return
	}
	// New connections go on coming until the front has heard of it.
	s.ebb = time.AfterFunc(comingTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.away {
			s.callers.SetCloseIdle(true)
		}
	})
}
