package sidecar

import (
	"log/slog"
	"time"

	"gorselink/internal/fleet"
)

// operatorAPI gives the operator console access to a sidecar.
type operatorAPI struct{ sidecar *Sidecar }

// Ready implements fleet.Controller. A drained sidecar is ready because it still serves
// the requests that it receives.
func (o operatorAPI) Ready() bool { return o.sidecar.pool.HasList() }

// EverListed implements fleet.Controller.
func (o operatorAPI) EverListed(id string) bool {
	return o.sidecar.pool.EverListed(id) || o.sidecar.operatorState.State().Disabled[id]
}

// SetDisabled implements fleet.Controller.
func (o operatorAPI) SetDisabled(id string, disabled bool) error {
	return o.sidecar.operatorState.SetDisabled(id, disabled)
}

// SetDrained implements fleet.Controller.
func (o operatorAPI) SetDrained(on bool) error { return o.sidecar.operatorState.SetDrained(on) }

// applyOperatorState applies the endpoints that operators have disabled and the drain
// state that they have set, in this process or in another process of the same sidecar.
func (s *Sidecar) applyOperatorState(state fleet.OperatorState) {
	s.pool.SetDisabled(state.Disabled)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Drained == s.drained {
		return
	}
	s.drained = state.Drained
	slog.Info("operator drain state changed", "on", s.drained)
	s.router.SetDrained(s.drained)
	if s.closeIdleTimer != nil {
		s.closeIdleTimer.Stop()
	}
	if !s.drained {
		s.server.SetCloseIdle(false)
		return
	}
	// New connections still arrive until the front-end load balancer sees the drain state.
	s.closeIdleTimer = time.AfterFunc(newConnPeriod, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.drained {
			s.server.SetCloseIdle(true)
		}
	})
}
