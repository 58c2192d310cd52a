package pool

import (
	"log/slog"
	"math"
	"time"

	"gorselink/balance"
)

// Stats counts the events of a Pool since its start.
type Stats struct {
	Submitted     int // requests passed to the Balancer
	Full          int // requests rejected because too many were open
	Served        int
	Rejected      int
	Failed        int
	Cancelled     int
	FirstAttempts int
	LaterAttempts int
	Paused        int                      // responses that have paused after their beginning
	PassedOn      int                      // responses that were passed on before their end was known
	Undelivered   int                      // retries whose last byte was not written, as it would have come after the deduplication window
	Results       [balance.NotSent + 1]int // attempts by result
	Balancer      balance.Metrics
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentStats()
}

// currentStats returns the counts with those of the Balancer. The caller holds the mutex.
func (p *Pool) currentStats() Stats {
	stats := p.stats
	stats.Balancer = p.balancer.Metrics()
	return stats
}

// Report logs a summary line if anything has happened since the last one, and closes
// connections that have been idle for too long. Call it about once a second.
func (p *Pool) Report(now time.Time) {
	p.conns.CloseExpired(now)
	p.mu.Lock()
	current, last, open := p.currentStats(), p.lastReported, len(p.requests)
	p.lastReported = current
	unlogged := max(0, p.abnormalEnds-maxAbnormalEndLines)
	p.abnormalEnds = 0
	p.mu.Unlock()
	if current == last && open == 0 {
		return
	}
	endpoints, most := p.conns.ConnStats()
	results := func(r balance.Result) int { return current.Results[r] - last.Results[r] }
	rejected := func(r balance.RejectReason) int { return current.Balancer.Rejected[r] - last.Balancer.Rejected[r] }
	slog.Info("second", "pool", p.cfg.Name, "taken", current.Submitted-last.Submitted, "open", open,
		"full", current.Full-last.Full, "refused", current.Rejected-last.Rejected, "failed", current.Failed-last.Failed, "withdrawn", current.Cancelled-last.Cancelled,
		"first", current.FirstAttempts-last.FirstAttempts, "again", current.LaterAttempts-last.LaterAttempts,
		"ok", results(balance.OK), "error", results(balance.Error),
		"overloaded", results(balance.Overloaded), "timeout", results(balance.Timeout),
		"noconn", results(balance.ConnectError), "reset", results(balance.Reset),
		"notsent", results(balance.NotSent), "conns", p.conns.OpenConns(), "endpoints", endpoints, "conns_most", most,
		"bodies_left", p.bodies.Available(), "untold", unlogged,
		"limit", math.Round(current.Balancer.AdmissionLimit*10)/10,
		"refused_limit", rejected(balance.RejectedByLimit), "refused_time", rejected(balance.RejectedForTime),
		"refused_endpoint", rejected(balance.RejectedNoEndpoint), "refused_deadline", rejected(balance.RejectedAtDeadline),
		"refused_failure", rejected(balance.RejectedAfterFailure), "refused_close", rejected(balance.RejectedOnClose),
		"paused", current.Paused-last.Paused, "passed_on", current.PassedOn-last.PassedOn, "undelivered", current.Undelivered-last.Undelivered,
		"short_budget", current.Balancer.ShortBudgetFailures-last.Balancer.ShortBudgetFailures)
}
