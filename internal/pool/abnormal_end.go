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
	node       string
	result     balance.Result
	sent, took time.Duration // sent counts from the submission of the request
}

// maxAbnormalEndLines bounds the log lines per second for requests that ended abnormally.
const maxAbnormalEndLines = 8

// recordAttempt records an attempt of a request that may end abnormally. It records nothing
// for a request that its first attempt serves within half of the budget. The caller holds the
// mutex.
func (p *Pool) recordAttempt(r *Request, a *attempt, result balance.Result, now time.Duration) {
	if result == balance.OK && len(r.attemptRecords) == 0 && now-a.sent <= r.Budget/2 {
		return
	}
	r.attemptRecords = append(r.attemptRecords, attemptRecord{a.node, result, p.start.Add(a.sent).Sub(r.submittedAt), now - a.sent})
}

// logAbnormalEnd logs a request that failed, whose caller disconnected or that was answered
// after its budget. Refused requests had no effect and are only counted in Report. The id
// identifies the request in the sender's log, and node and time identify its attempts in the
// log of the node's sidecar.
func (p *Pool) logAbnormalEnd(r *Request) {
	took, verdict := time.Since(r.submittedAt), r.verdict       // the verdict does not change after the answer
	late := verdict == Served && took > r.Budget && !r.detached // the time of an upload depends on its caller
	if verdict <= Rejected && !late {
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
		fmt.Fprintf(&trail, "%s %s after %v at %v", record.node, resultNames[record.result], record.took.Round(time.Millisecond), record.sent.Round(time.Millisecond))
	}
	slog.Info("request ended abnormally", "pool", p.cfg.Name, "id", r.CallID, "class", r.Class, "end", verdict,
		"budget", r.Budget, "took", took.Round(time.Millisecond), "attempts", attempts, "trail", trail.String())
}

// resultNames are the names of the values of balance.Result, as in the log lines of Report.
var resultNames = [...]string{"ok", "error", "overloaded", "timeout", "noconn", "reset", "cancelled", "notsent"}

// String implements fmt.Stringer.
func (v Outcome) String() string {
	if v < Served || v > CallerGone {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return [...]string{"served", "refused", "failed", "late", "left"}[v]
}
