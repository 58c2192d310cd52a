package httpserver

import (
	"log/slog"
	"time"
)

// limitStats counts what the maximum number of connections has caused.
type limitStats struct {
	closed         [stateCount]int // connections asked to close to make room, by state
	youngestUnused time.Duration   // lowest age of those in stateUnused
	rejected       int             // new connections and requests rejected for want of room
}

// countClosed counts c, which is asked to close to make room.
func (l *limitStats) countClosed(c *callerConn) {
	if age := time.Since(c.acceptedAt); c.state == stateUnused && (l.closed[stateUnused] == 0 || age < l.youngestUnused) {
		l.youngestUnused = age
	}
	l.closed[c.state]++
}

// Report logs what the maximum number of connections has caused since the last call, if anything.
// Call it about once a second.
func (s *Server) Report() {
	s.mu.Lock()
	stats, maxConns := s.limitStats, s.maxConns
	s.limitStats = limitStats{}
	s.mu.Unlock()
	closed := 0
	for _, n := range stats.closed {
		closed += n
	}
	if closed > 0 || stats.rejected > 0 {
		slog.Info("too many caller connections; closing those without a request", "closed", closed, "callers gone", stats.closed[stateCallerGone], "unused", stats.closed[stateUnused],
			"youngest unused", stats.youngestUnused, "idle", stats.closed[stateIdle], "reading", stats.closed[stateReading],
			"rejected", stats.rejected, "limit", maxConns)
	}
}
