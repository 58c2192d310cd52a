package pool

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gorselink/balance"
)

// attemptRecord describes one attempt of a request for the log.
type attemptRecord struct {
	endpoint   string
	result     balance.Result
	sent, took time.Duration // sent counts from the submission of the request
	failure    error         // see attempt.failure
}

// maxAbnormalEndLines bounds the log lines per second for requests that ended abnormally.
const maxAbnormalEndLines = 8

// recordAttempt records an attempt for the log, unless it is the first of its request and
// succeeded within half of the budget. The caller holds the mutex.
func (p *Pool) recordAttempt(r *Request, a *attempt, result balance.Result, now time.Duration) {
	if result == balance.OK && len(r.attemptRecords) == 0 && now-a.sent <= r.Budget/2 {
		return
	}
	r.attemptRecords = append(r.attemptRecords, attemptRecord{a.endpoint, result, p.start.Add(a.sent).Sub(r.submittedAt), now - a.sent, a.failure})
}

// lateRejectionThreshold is how long after the end of its budget a rejection is logged. Requests
// that are rejected because their budget has ended exceed it by less.
const lateRejectionThreshold = 20 * time.Millisecond

// logAbnormalEnd logs a request that failed, was left by its caller, or got its response
// after the end of its budget or incomplete. Requests that are rejected in time can be repeated and are only
// counted in Report.
// The id identifies the request in the caller's log. Endpoint and time identify its attempts in
// the log of the endpoint's sidecar.
func (p *Pool) logAbnormalEnd(r *Request) {
	took, outcome := time.Since(r.submittedAt), r.outcome // the outcome does not change after the response
	late := outcome == Served && took > r.Budget || outcome == Rejected && took > r.Budget+lateRejectionThreshold
	if outcome <= Rejected && r.WriteError == nil && (!late || r.detached) { // the duration of an upload depends on its caller
		return
	}
	p.mu.Lock()
	p.abnormalEnds++
	logged, attempts, records := p.abnormalEnds <= maxAbnormalEndLines, r.attempts, r.attemptRecords
	p.mu.Unlock()
	if !logged {
		return
	}
	var trail strings.Builder
	for i, record := range records {
		if i > 0 {
			trail.WriteString(", ")
		}
		fmt.Fprintf(&trail, "%s %s after %v at %v", record.endpoint, resultNames[record.result], record.took.Round(time.Millisecond), record.sent.Round(time.Millisecond))
		if record.failure != nil {
			fmt.Fprintf(&trail, " (%v)", record.failure)
		}
	}
	writeError := ""
	if r.WriteError != nil {
		writeError = r.WriteError.Error()
	}
	slog.Info("request ended abnormally", "pool", p.cfg.Name, "id", r.CallID, "class", r.Class, "end", outcome,
		"budget", r.Budget, "took", took.Round(time.Millisecond), "attempts", attempts, "write_error", writeError, "trail", trail.String())
}

// resultNames are the names of the balance.Result values in log lines.
var resultNames = [...]string{"ok", "error", "overloaded", "timeout", "noconn", "reset", "cancelled", "notsent"}

// String implements fmt.Stringer. The texts appear as "end" in log lines.
func (o Outcome) String() string {
	if o < Served || o > CallerGone {
		return fmt.Sprintf("verdict %d", int(o))
	}
	return [...]string{"served", "refused", "failed", "late", "left"}[o]
}
