package pool

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gorselink/balance"
)

// step is one attempt of a request, for the log.
type step struct {
	node       string
	result     balance.Result
	sent, took time.Duration // sent since the request was taken
}

// toldMost bounds the lines of requests that ended wrongly, a second: a storm of
// failures must not become a storm of lines, and a few tell what kind it is.
const toldMost = 8

// trace books an attempt of a request that may end wrongly; the mutex is held. The
// common request, served by its first attempt in good time, costs nothing.
func (p *Pool) trace(r *Request, a *attempt, result balance.Result, now time.Duration) {
	if result == balance.OK && len(r.trail) == 0 && now-a.sent <= r.Budget/2 {
		return
	}
	r.trail = append(r.trail, step{a.node, result, p.start.Add(a.sent).Sub(r.taken), now - a.sent})
}

// tell logs a request that ended wrongly: failed, left by its caller, or answered
// after its time. One that was refused had no effect, and the sums of Report tell of
// it. The id finds the same request in the logs of the sidecar that sent it and, by
// the node and the time, its calls in that of the node's own.
func (p *Pool) tell(r *Request) {
	took, verdict := time.Since(r.taken), r.verdict             // which stands since the answer came
	late := verdict == Served && took > r.Budget && !r.detached // a body takes what its caller takes
	if verdict <= Refused && !late {
		return
	}
	p.mu.Lock()
	p.wrongs++
	told, attempts, trail := p.wrongs <= toldMost, r.attempts, r.trail
	p.mu.Unlock()
	if !told {
		return
	}
	var steps strings.Builder
	for i, s := range trail {
		if i > 0 {
			steps.WriteString(", ")
		}
		fmt.Fprintf(&steps, "%s %s after %v at %v", s.node, results[s.result], s.took.Round(time.Millisecond), s.sent.Round(time.Millisecond))
	}
	slog.Info("ended wrongly", "pool", p.cfg.Name, "id", r.CallID, "class", r.Class, "end", verdict,
		"budget", r.Budget, "took", took.Round(time.Millisecond), "attempts", attempts, "trail", steps.String())
}

// results are the names of balance.Result, as Report has them.
var results = [...]string{"ok", "error", "overloaded", "timeout", "noconn", "reset", "cancelled", "notsent"}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	if v < Served || v > CallerGone {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return [...]string{"served", "refused", "failed", "late", "left"}[v]
}
