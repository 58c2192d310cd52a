package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	minCongestionOutcomes = 10  // outcomes needed to estimate the congested share
	congestionThreshold   = 0.1 // congested share above which the tier is overloaded
	congestionDeviations  = 2   // standard deviations above the threshold that count as significant
	limitGrowth           = 1.1 // per round trip
	minLimit              = 4
	slowdownThreshold     = 3                      // multiple of the baseline round trip above which errors count as overload
	maxSlowdown           = 5                      // multiple of the baseline round trip that the limit allows for
	baselineGrowth        = 1.02                   // per round trip, so that an outdated baseline rises
	recentlyServedWindow  = 500 * time.Millisecond // an endpoint that served within it is alive
	priorityWindow        = 500                    // requests over which the mean priority is taken
	budgetTolerance       = 0.95                   // ratio within which two budgets count as equal, as network delays differ
	lowPriorityLimitShare = 0.5                    // share of the limit from which requests of the lowest priority are rejected
)

// admission is the admission control of the entry tier: it limits the attempts in flight
// and rejects requests of low priority first. Without it an overloaded tier would reject
// or delay requests at random, after the tiers above have already worked for them.
type admission struct {
	outcomes                   int     // since the last adjustment of the limit
	congested                  int     // of outcomes: rejected as overloaded or late
	lateInFlight               int     // of congested: still in flight when the latency target passed
	servedCount, servedSeconds float64 // attempts served and their total duration
	failedCount, failedSeconds float64 // attempts ended by an error and their total duration
	baselineSeconds            float64 // mean duration of a served attempt while few fail
	inFlightBefore             int     // attempts in flight at the last adjustment
	limit                      float64 // admission limit: attempts in flight; 0 means no limit yet
	rejectedAny                bool    // a request was rejected since the last adjustment
	quotas                     []quota

	meanPriority, prioritySamples float64
}

// quota is a token bucket for this balancer's part of a tenant's quota.
type quota struct {
	perSecond, tokens float64
	refilledAt        time.Duration
}

// hasToken refills the bucket and reports whether the tenant is within its quota.
// The token is taken only on admission, so that repeats of rejected requests do not
// exhaust the quota.
func (q *quota) hasToken(now time.Duration) bool {
	if q.perSecond <= 0 {
		return true
	}
	q.tokens = min(q.tokens+q.perSecond*(now-q.refilledAt).Seconds(), max(1, q.perSecond))
	q.refilledAt = now
	return q.tokens >= 1
}

// observe records an outcome and adjusts the limit once per round trip, that is after
// as many outcomes as there were attempts in flight. Faster adjustments oscillate. The
// limit falls only if the congested share is significantly above the threshold.
//
// Errors count as overload only if attempts also take much longer than the baseline:
// an endpoint that fails by itself responds quickly, and the others keep their speed. In
// that case the limit is also bounded by the served rate times an acceptable duration,
// which is the number of attempts in flight by Little's law.
func (a *admission) observe(congested bool, inFlight int, servedRate, inTarget float64) {
	a.outcomes++
	if congested {
		a.congested++
	}
	if a.outcomes < max(minCongestionOutcomes, a.inFlightBefore) {
		return
	}
	n, mean := float64(a.outcomes), a.servedSeconds/max(1, a.servedCount)
	significant := congestionThreshold + congestionDeviations*math.Sqrt(congestionThreshold*(1-congestionThreshold)/n)
	congestedShare, unservedShare := float64(a.congested)/n, (float64(a.congested)+a.failedCount)/n
	recentSeconds := max(mean, a.failedSeconds/max(1, a.failedCount))
	slowFailures := unservedShare > significant && recentSeconds > slowdownThreshold*a.baselineSeconds
	sustainable := min(inTarget, servedRate*max(maxSlowdown*a.baselineSeconds, recentSeconds/2))
	switch {
	case congestedShare > significant || slowFailures:
		a.limit = cmp.Or(a.limit, float64(inFlight+1))
		a.limit *= 1 - max(0, congestedShare-congestionThreshold)/2
		// inTarget bounds the limit only if most congestion is lateness. If endpoints
		// reject, the served rate falls with the limit, and the bound would reduce
		// both to nothing.
		if 2*a.lateInFlight > a.congested {
			a.limit = min(a.limit, inTarget)
		}
		if slowFailures {
			a.limit = min(a.limit, sustainable)
		}
		a.limit = max(minLimit, a.limit)
	case congestedShare <= congestionThreshold && a.rejectedAny:
		// The limit grows after a rejection, and not when the attempts in flight are near
		// it: with a small limit few are in flight when an outcome arrives, so the limit
		// would never grow.
		a.limit = max(a.limit*limitGrowth, min(2*a.limit, sustainable))
	}
	if a.servedCount > 0 && (unservedShare <= congestionThreshold || a.limit == minLimit) {
		a.baselineSeconds = min(mean, cmp.Or(a.baselineSeconds, mean)*baselineGrowth)
	}
	a.outcomes, a.congested, a.lateInFlight, a.failedCount, a.servedCount, a.servedSeconds, a.failedSeconds, a.rejectedAny, a.inFlightBefore = 0, 0, 0, 0, 0, 0, 0, false, inFlight
}

// admits reports whether a request may enter. Priorities below the mean are rejected at a
// lower limit. remainingWeight is the share of the priority weight that the request can
// still earn. The mean ignores it, as late repeats would lower the mean until classes no
// longer differ.
func (a *admission) admits(priority, remainingWeight float64, inFlight int) bool {
	a.prioritySamples = min(a.prioritySamples+1, priorityWindow)
	a.meanPriority += (priority - a.meanPriority) / a.prioritySamples
	relative := min(1, priority*remainingWeight/max(a.meanPriority, math.SmallestNonzeroFloat64))
	ok := a.limit == 0 || float64(inFlight) < a.limit*(lowPriorityLimitShare+(1-lowPriorityLimitShare)*relative)
	a.rejectedAny = a.rejectedAny || !ok
	return ok
}

// admit reports whether a client's request may enter, and takes a token of its
// tenant's quota if so.
func (b *Balancer) admit(now time.Duration, r *request, tenant int) bool {
	remainingWeight := 1.0
	if b.earlierWait(r) >= b.cfg.Classes[r.class].LatencyTarget {
		remainingWeight = b.cfg.Classes[r.class].LateWeight
	}
	if !b.admission.admits(b.priority(now, r.class, tenant), remainingWeight, b.inFlight) {
		return false
	}
	if tenant >= 0 && tenant < len(b.admission.quotas) {
		q := &b.admission.quotas[tenant]
		q.tokens = max(0, q.tokens-1)
	}
	return true
}

// earlierWait estimates how long the client has waited in earlier tries of this request,
// from its budget. Most tries have the usual budget; the last try of a client has only the
// time that remains. Late repeats are admitted last, as fresh requests would otherwise
// become late too in an overload.
func (b *Balancer) earlierWait(r *request) time.Duration {
	c := &b.classes[r.class]
	budget := r.deadline - r.arrived
	if ratio := float64(budget) / float64(max(c.usualBudget, 1)); ratio > budgetTolerance && ratio*budgetTolerance < 1 {
		c.usualBudgetVotes = min(c.usualBudgetVotes+1, priorityWindow)
		return 0
	}
	if c.usualBudgetVotes == 0 { // majority vote (Boyer-Moore), as the largest budget may not be the usual one
		c.usualBudget = budget
		return 0
	}
	c.usualBudgetVotes--
	return b.cfg.Classes[r.class].Deadline - budget
}

// priority returns what serving a request adds to the objective, divided by its cost. The
// gain is its priority weight relative to the mean, plus its effect on the worst served
// class. The cost is the square of the class's relative duration.
func (b *Balancer) priority(now time.Duration, class, tenant int) float64 {
	c := &b.classes[class]
	c.requested++
	total, weightSum, worst := 0.0, 0.0, class
	for i := range b.classes {
		k := &b.classes[i]
		total += k.requested
		weightSum += k.requested * b.cfg.Classes[i].PriorityWeight
		w := &b.classes[worst]
		if k.servedInTarget*w.requested < w.servedInTarget*k.requested {
			worst = i
		}
	}
	if total > priorityWindow {
		for i := range b.classes {
			b.classes[i].requested /= 2
			b.classes[i].servedInTarget /= 2
		}
	}
	gain := (1 - b.cfg.WorstClassWeight) * b.cfg.Classes[class].PriorityWeight
	if weightSum > 0 {
		gain *= total / weightSum
	}
	if class == worst {
		gain += b.cfg.WorstClassWeight * total / c.requested
	}
	if tenant >= 0 && tenant < len(b.admission.quotas) && !b.admission.quotas[tenant].hasToken(now) {
		gain *= b.cfg.OverQuotaWeight
	}
	return gain / math.Pow(b.durationRatio(class), 2)
}

// isCongestion reports whether an outcome indicates an overloaded tier. A failure that a short
// budget explains does not. A connect error does only if the endpoint served recently: its
// connection table is full then, while an endpoint that is down or unreachable has not served.
func (b *Balancer) isCongestion(now time.Duration, r *request, a *attempt, result Result, elapsed time.Duration) bool {
	e := &b.endpoints[a.endpoint]
	switch {
	case a.shortBudget != countsFully:
		return false
	case result == ConnectError:
		return e.servedAt > 0 && now-e.servedAt < recentlyServedWindow
	}
	return result == Overloaded || result == Timeout || result == OK && elapsed > b.cfg.Classes[r.class].LatencyTarget
}

// markLate counts an attempt as congested once it is in flight past its latency
// target, since its outcome may not arrive until the client's deadline.
func (b *Balancer) markLate(now time.Duration, r *request) {
	if last := len(r.attempts) - 1; r.inFlight > 0 && !r.attempts[last].done && !r.attempts[last].late {
		r.attempts[last].late = true
		b.admission.lateInFlight++
		b.admission.observe(true, b.inFlight, b.servedRate.mean(now), b.inTargetConcurrency.mean(now))
	}
}
