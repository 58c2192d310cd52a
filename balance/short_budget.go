package balance

import (
	"math"
	"slices"
	"time"
)

const (
	outcomeHistorySize   = 64              // outcomes remembered to judge short budgets
	outcomeHistoryWindow = 2 * time.Second // older outcomes say nothing about the present
	longerBudgetFactor   = 1.5             // ratio from which one budget counts as longer than another
	minReferences        = 3               // outcomes with longer budgets needed to judge a short one
	maxReferences        = 8               // outcomes with longer budgets that are compared
)

// shortBudget is whether the short budget of an attempt explains its failure.
type shortBudget int

const (
	countsFully shortBudget = iota // it does not: the tier may be overloaded, the endpoint may be faulty
	tierServes                     // the tier is not overloaded, as longer budgets are served; the endpoint may be faulty
	neverServed                    // as before, and no endpoint serves the class with such a budget
)

// pastOutcome is the outcome of an attempt. took is its duration in seconds, divided by the
// duration ratio.
type pastOutcome struct {
	at             time.Duration
	budget         time.Duration
	took           float64
	servedInTarget bool // within the latency target of its class
}

// outcomeHistory holds the most recent outcomes of a Balancer's attempts.
type outcomeHistory struct {
	outcomes [outcomeHistorySize]pastOutcome
	next     int // index of the oldest outcome
	count    int
}

func (h *outcomeHistory) add(outcome pastOutcome) {
	h.outcomes[h.next] = outcome
	h.next = (h.next + 1) % outcomeHistorySize
	h.count = min(h.count+1, outcomeHistorySize)
}

// longestBudgets returns the recent outcomes with the longest budgets, longest first, among
// those whose budget is clearly longer than the given one. They are at most maxReferences.
func (h *outcomeHistory) longestBudgets(now, budget time.Duration) []pastOutcome {
	longest := make([]pastOutcome, 0, maxReferences+1)
	for _, outcome := range h.outcomes[:h.count] {
		if now-outcome.at > outcomeHistoryWindow || !clearlyLonger(outcome.budget, budget) {
			continue
		}
		k := len(longest)
		for k > 0 && longest[k-1].budget < outcome.budget {
			k--
		}
		longest = slices.Insert(longest, k, outcome)
		longest = longest[:min(len(longest), maxReferences)]
	}
	return longest
}

func clearlyLonger(long, short time.Duration) bool {
	return float64(long) >= longerBudgetFactor*float64(short)
}

// recordServedBudget updates the shortest budget with which requests of the class are served. It
// grows slowly, so that it is remembered through an overload.
func (c *classStats) recordServedBudget(budget time.Duration) {
	if c.shortestServed == 0 || budget < c.shortestServed {
		c.shortestServed = budget
		return
	}
	c.shortestServed += c.shortestServed / classWindow
}

// judgeBudget reports whether the budget of a failed attempt explains the failure: it is below
// the latency target of its class, and the attempts with the longest budgets are served
// meanwhile. Without such attempts the failure counts, because overload is the likely cause.
func (b *Balancer) judgeBudget(now time.Duration, r *request, a *attempt, result Result) shortBudget {
	budget := r.deadline - a.sent
	if result != Timeout && result != Overloaded || budget >= b.cfg.Classes[r.class].LatencyTarget {
		return countsFully
	}
	references := b.history.longestBudgets(now, budget)
	if len(references) < minReferences {
		return countsFully
	}
	verdict, limit := neverServed, math.Inf(1)
	if shortest := b.classes[r.class].shortestServed; shortest > 0 && !clearlyLonger(shortest, budget) {
		// In an overload the references would take longer as well.
		verdict, limit = tierServes, max(budget.Seconds()/a.durationRatio/2, slowdownThreshold*b.admission.baselineSeconds)
	}
	failed := 0
	for _, reference := range references {
		if !reference.servedInTarget || reference.took > limit {
			failed++
		}
	}
	shortest := references[len(references)-1].budget
	if failed > len(references)/maxReferences || b.hasOverdue(now, &b.endpoints[a.endpoint], shortest, limit) {
		return countsFully
	}
	return verdict
}

// hasOverdue reports whether e has had an attempt with at least the given budget in flight for
// more than limit seconds, times its duration ratio, or beyond its latency target.
func (b *Balancer) hasOverdue(now time.Duration, e *endpoint, budget time.Duration, limit float64) bool {
	for _, f := range e.inFlight {
		a := &f.request.attempts[f.number]
		age, target := now-a.sent, b.cfg.Classes[f.request.class].LatencyTarget
		if f.request.deadline-a.sent >= budget && (age > target || age.Seconds() > limit*a.durationRatio) {
			return true
		}
	}
	return false
}

// recordHistory adds an outcome to the history, unless it says nothing about how quickly
// endpoints serve.
func (b *Balancer) recordHistory(now time.Duration, r *request, a *attempt, result Result, elapsed time.Duration) {
	budget := r.deadline - a.sent
	switch result {
	case OK:
		b.classes[r.class].recordServedBudget(budget)
	case Timeout, Overloaded:
	default:
		return
	}
	b.history.add(pastOutcome{
		at:             now,
		budget:         budget,
		took:           elapsed.Seconds() / a.durationRatio,
		servedInTarget: result == OK && elapsed <= b.cfg.Classes[r.class].LatencyTarget,
	})
}
