package sidecar

import (
	"context"
	"log/slog"
	"time"

	"gorselink/balance"
)

// stats counts what happened since the last summary; Sidecar.mu guards it.
type stats struct {
	taken, refused, failed, withdrawn int
	results                           [balance.NotSent + 1]int
}

// Report logs a summary line a second while anything happens, until ctx ends.
func (s *Sidecar) Report(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.pool.Sweep(now)
			s.report()
		}
	}
}

func (s *Sidecar) report() {
	s.mu.Lock()
	st, open := s.stats, len(s.requests)
	s.stats = stats{}
	s.mu.Unlock()
	if st == (stats{}) && open == 0 {
		return
	}
	slog.Info("second", "taken", st.taken, "open", open,
		"refused", st.refused, "failed", st.failed, "withdrawn", st.withdrawn,
		"ok", st.results[balance.OK], "error", st.results[balance.Error],
		"overloaded", st.results[balance.Overloaded], "timeout", st.results[balance.Timeout],
		"noconn", st.results[balance.ConnectError], "reset", st.results[balance.Reset],
		"notsent", st.results[balance.NotSent], "conns", s.pool.Open(),
		"bodies_left", s.bodies.left.Load())
}
