package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	congestionLeast = 10  // outcomes that a congested share is taken of, at the least
	congestionHigh  = 0.1 // above this share the tier is over its capacity: more is lost to lateness than let in
	congestionSure  = 2   // standard deviations above it that are no chance
	limitRaise      = 1.1 // per round trip
	limitMin        = 4
	jamFrom         = 3                      // times the usual round trip: errors of endpoints that take no longer are their own
	jamMost         = 5                      // times it, that as many may be out for as are served
	usualRise       = 1.02                   // that it is forgotten by, per round trip
	recentlyServed  = 500 * time.Millisecond // a server that answered within it is alive
	valueMemory     = 500                    // requests over which the mean value is taken
	budgetSpread    = 0.95                   // usual budgets of a class lie within this of each other: delays on the way differ
	shedFrom        = 0.5                    // requests of little value are refused from this share of the limit on
)

// admission limits the attempts out at once where clients enter. In overload
// servers turn away or finish late whatever comes last, after tiers above
// have worked for it; refusing at the door keeps the rest in time, and lets
// the worth of a request decide instead of its luck.
type admission struct {
	outcomes     int     // since the limit last moved
	congested    int     // of them turned away as full or late
	late         int     // of these, out past their aim
	ok, took     float64 // those served, and their seconds
	failed, lost float64 // those that ended as errors, and their seconds
	usual        float64 // seconds that a served one is out while few fail
	outBefore    int     // attempts out when the limit last moved
	limit        float64 // attempts out at once; 0 means none needed yet
	refused      bool    // a request since the last step
	quotas       []quota

	meanValue, seen float64
}

// quota is the part of a tenant's share that passes this balancer.
type quota struct {
	perSecond, tokens float64
	at                time.Duration
}

// within tells whether one more request is inside the share. Only what enters
// is booked: the repeats of refused clients would use the share up.
func (q *quota) within(now time.Duration) bool {
	if q.perSecond <= 0 {
		return true
	}
	q.tokens = min(q.tokens+q.perSecond*(now-q.at).Seconds(), max(1, q.perSecond))
	q.at = now
	return q.tokens >= 1
}

// observe books how an attempt ended. The limit moves once in as many outcomes as
// there were attempts out, one round trip: faster moves swing between jam and idleness.
// It falls only on a share that so few outcomes do not show by chance.
//
// Errors are a jam of the tier behind where what is served, or fails, takes longer than
// usual as well; endpoints that fail by themselves do so at once, beside others as quick as
// ever. Of more out than are served within a few times the usual round trip the mean one is
// late (Little's law): that is the room there is in a jam.
func (a *admission) observe(congested bool, out int, served, inAim float64) {
	a.outcomes++
	if congested {
		a.congested++
	}
	if a.outcomes < max(congestionLeast, a.outBefore) {
		return
	}
	n, mean := float64(a.outcomes), a.took/max(1, a.ok)
	sure := congestionHigh + congestionSure*math.Sqrt(congestionHigh*(1-congestionHigh)/n)
	over, bad := float64(a.congested)/n, (float64(a.congested)+a.failed)/n
	lately := max(mean, a.lost/max(1, a.failed))
	jam := bad > sure && lately > jamFrom*a.usual
	room := min(inAim, served*max(jamMost*a.usual, lately/2))
	switch {
	case over > sure || jam:
		a.limit = cmp.Or(a.limit, float64(out+1))
		a.limit *= 1 - max(0, over-congestionHigh)/2
		if 2*a.late > a.congested { // where servers turn away, the served count falls with the limit, and would pull it to nothing
			a.limit = min(a.limit, inAim)
		}
		if jam {
			a.limit = min(a.limit, room)
		}
		a.limit = max(limitMin, a.limit)
	case over <= congestionHigh && a.refused:
		// Not "out is near the limit": a small limit is never near to full
		// when an outcome comes in, and would stay small for good.
		a.limit = max(a.limit*limitRaise, min(2*a.limit, room))
	}
	if a.ok > 0 && (bad <= congestionHigh || a.limit == limitMin) {
		a.usual = min(mean, cmp.Or(a.usual, mean)*usualRise)
	}
	a.outcomes, a.congested, a.late, a.failed, a.ok, a.took, a.lost, a.refused, a.outBefore = 0, 0, 0, 0, 0, 0, 0, false, out
}

// admits tells whether a request that has this part of its value left may enter with
// so many attempts out. Below the mean value, which is of whole ones as late repeats
// would lower it until the classes no longer differed, the door closes earlier.
func (a *admission) admits(value, part float64, out int) bool {
	a.seen = min(a.seen+1, valueMemory)
	a.meanValue += (value - a.meanValue) / a.seen
	relative := min(1, value*part/max(a.meanValue, math.SmallestNonzeroFloat64))
	ok := a.limit == 0 || float64(out) < a.limit*(shedFrom+(1-shedFrom)*relative)
	a.refused = a.refused || !ok
	return ok
}

// enter tells whether a client's request may enter.
func (b *Balancer) enter(now time.Duration, r *request, tenant int) bool {
	part := 1.0
	if b.waited(r) >= b.cfg.Classes[r.class].LatencyTarget {
		part = b.cfg.Classes[r.class].LateWorth
	}
	if !b.door.admits(b.value(now, r.class, tenant), part, b.outTotal) {
		return false
	}
	if tenant >= 0 && tenant < len(b.door.quotas) {
		q := &b.door.quotas[tenant]
		q.tokens = max(0, q.tokens-1)
	}
	return true
}

// waited is how long the client has waited in tries before r, as far as its budget
// shows: most tries come with the same budget, the last one with what patience leaves.
// Serving such repeats first in an overload would make the fresh ones late as well.
func (b *Balancer) waited(r *request) time.Duration {
	c := &b.classes[r.class]
	budget := r.deadline - r.arrived
	if near := float64(budget) / float64(max(c.usual, 1)); near > budgetSpread && near*budgetSpread < 1 {
		c.votes = min(c.votes+1, valueMemory)
		return 0
	}
	if c.votes == 0 { // a majority vote: the largest is not the usual one
		c.usual = budget
		return 0
	}
	c.votes--
	return b.cfg.Classes[r.class].Deadline - budget
}

// value is what serving a request adds to the operators' goal for the work it costs:
// its worth beside the mean worth and its share of the worst served class, where the
// goal weighs that. Its cost is the square of its time, of which a part is waiting.
func (b *Balancer) value(now time.Duration, class, tenant int) float64 {
	c := &b.classes[class]
	c.asked++
	total, worth, worst := 0.0, 0.0, class
	for i := range b.classes {
		k := &b.classes[i]
		total += k.asked
		worth += k.asked * b.cfg.Classes[i].Worth
		w := &b.classes[worst]
		if k.served*w.asked < w.served*k.asked {
			worst = i
		}
	}
	if total > valueMemory {
		for i := range b.classes {
			b.classes[i].asked /= 2
			b.classes[i].served /= 2
		}
	}
	v := (1 - b.cfg.WorstClassWeight) * b.cfg.Classes[class].Worth
	if worth > 0 {
		v *= total / worth
	}
	if class == worst {
		v += b.cfg.WorstClassWeight * total / c.asked
	}
	if tenant >= 0 && tenant < len(b.door.quotas) && !b.door.quotas[tenant].within(now) {
		v *= b.cfg.OverQuotaWorth
	}
	return v / math.Pow(b.ratio(class), 2)
}

// congestion tells whether an outcome speaks of a tier over its capacity. A
// refused connection does if the endpoint has just served: then its connection
// table is full, while a dead or cut off one has not served.
func (b *Balancer) congestion(now time.Duration, r *request, a *attempt, result Result, elapsed time.Duration) bool {
	e := &b.eps[a.endpoint]
	if result == ConnectError {
		return e.servedAt > 0 && now-e.servedAt < recentlyServed
	}
	return result == Overloaded || result == Timeout || result == OK && elapsed > b.cfg.Classes[r.class].LatencyTarget
}

// noteLate tells the door of an attempt that is out past its aim: its outcome would
// show a jam only after the clients' whole patience.
func (b *Balancer) noteLate(now time.Duration, r *request) {
	if last := len(r.attempts) - 1; r.out > 0 && !r.attempts[last].done && !r.attempts[last].late {
		r.attempts[last].late = true
		b.door.late++
		b.door.observe(true, b.outTotal, b.servedRate.mean(now), b.aimRate.mean(now))
	}
}
