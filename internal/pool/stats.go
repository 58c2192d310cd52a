package pool

import (
	"log/slog"
	"time"

	"gorselink/balance"
)

// Stats counts what has happened in a Pool since its start.
type Stats struct {
	Taken         int // requests handed to the Balancer
	Full          int // turned away before that: too many were open
	Served        int
	Refused       int
	Failed        int
	Withdrawn     int
	FirstAttempts int                      // attempts that were a request's first
	LaterAttempts int                      // and those that followed
	Results       [balance.NotSent + 1]int // of attempts
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Report logs a summary line if anything has happened since the last one, and
// closes connections that have been idle for too long. It is to be called
// about once a second.
func (p *Pool) Report(now time.Time) {
	p.conns.CloseExpired(now)
	p.mu.Lock()
	st, was, open := p.stats, p.reported, len(p.requests)
	p.reported = st
	untold := max(0, p.wrongs-toldMost)
	p.wrongs = 0
	p.mu.Unlock()
	if st == was && open == 0 {
		return
	}
	endpoints, most := p.conns.ConnStats()
	since := func(r balance.Result) int { return st.Results[r] - was.Results[r] }
	slog.Info("second", "pool", p.cfg.Name, "taken", st.Taken-was.Taken, "open", open,
		"full", st.Full-was.Full, "refused", st.Refused-was.Refused, "failed", st.Failed-was.Failed, "withdrawn", st.Withdrawn-was.Withdrawn,
		"first", st.FirstAttempts-was.FirstAttempts, "again", st.LaterAttempts-was.LaterAttempts,
		"ok", since(balance.OK), "error", since(balance.Error),
		"overloaded", since(balance.Overloaded), "timeout", since(balance.Timeout),
		"noconn", since(balance.ConnectError), "reset", since(balance.Reset),
		"notsent", since(balance.NotSent), "conns", p.conns.OpenConns(), "endpoints", endpoints, "conns_most", most,
		"bodies_left", p.bodies.Available(), "untold", untold)
}
