package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	windowSize = 20 // completed round trips remembered per endpoint (the paper's averaged variant)

	// failureHalfLife lets an endpoint that nobody draws win back its chance:
	// about the time a process restart or a network cut lasts.
	failureHalfLife = 5 * time.Second
	failureMost     = 10 // bounds how long a recovered endpoint or zone waits for its share

	noConnMin      = 500 * time.Millisecond // caution after a refused connection: at first an idle one's time to close
	noConnMax      = 4 * time.Second
	subsetMin      = 10  // sound endpoints of the smallest stable subset: two draws choose well with a fifth of it lost
	subsetMost     = 50  // of a stretch, where few balancers are before many endpoints: all are looked at for each request
	zoneSuspect    = 3   // failures in a row from one zone, over all its endpoints, are no longer single servers
	crossingWeight = 100 // price of a crossing as time: at one point in a hundred another zone reads twice as slow
)

// flight is an attempt that has no outcome yet, by its number.
type flight struct {
	of     *request
	number int
}

// endpoint is what one balancer knows about one server: its list entry and
// what the balancer's own attempts showed.
type endpoint struct {
	Endpoint
	hash     uint64
	ring     [windowSize]sample
	n, next  int
	sum      float64
	failures failures
	flights  []flight
	refs     int // attempts of requests that are still known

	servedAt, sentAt time.Duration
	goneAt           time.Duration // when the list dropped it, while it is Gone

	tokens   float64 // cold budget: sends allowed now
	tokensAt time.Duration

	peaks     [2]int // most flights at once in this and the last idle span: connections likely open
	peakSpan  time.Duration
	noConnAt  time.Duration // last ConnectError
	noConnFor time.Duration // caution after it; 0 means none
}

// open is how many connections to e are surely open: those that flights used
// at once within the last idle span.
func (e *endpoint) open(now, idle time.Duration) int {
	if past := now - e.peakSpan; past >= idle/2 {
		e.peaks = [2]int{len(e.flights), e.peaks[0]}
		if past >= idle {
			e.peaks[1] = len(e.flights)
		}
		e.peakSpan = now
	}
	return max(e.peaks[0], e.peaks[1])
}

// connectable tells whether e takes connections. After a ConnectError, which adds no
// time to the mean, only open ones are used for a while.
func (b *Balancer) connectable(e *endpoint, now time.Duration) bool {
	return now-e.noConnAt >= e.noConnFor || (len(e.flights)+1) <= e.open(now, b.cfg.IdleConnTimeout)*max(b.cfg.Multiplex, 1)
}

// noConn books a refused connection; caution doubles with each in a row. A
// success does not end it: it may have used a connection that was open.
func (b *Balancer) noConn(e *endpoint, now time.Duration) {
	n := (len(e.flights) + b.cfg.Multiplex - 1) / b.cfg.Multiplex
	e.peaks = [2]int{n, n} // none was idle, or it had been used
	if now-e.noConnAt < e.noConnFor {
		return // sent before the last one was known
	}
	if now-e.noConnAt > 2*noConnMax {
		e.noConnFor = 0 // that was another trouble
	}
	e.noConnFor = min(max(2*e.noConnFor, noConnMin), noConnMax)
	e.noConnFor += time.Duration(b.rng.Float64() * float64(e.noConnFor) / 2)
	e.noConnAt = now
}

// list books what the list says.
func (e *endpoint) list(now time.Duration, s State) {
	if s == Gone && e.State != Gone {
		e.goneAt = now
	}
	e.State = s
}

// restart forgets what was measured on the process before this one.
func (e *endpoint) restart(now time.Duration, phase float64) {
	e.n, e.next, e.sum, e.failures = 0, 0, 0, failures{}
	e.tokens, e.tokensAt = phase, now
}

// sample is a completed round trip, scaled to the mean class.
type sample struct {
	at      time.Duration
	seconds float64
}

func (e *endpoint) addSample(now time.Duration, seconds float64) {
	if e.n == windowSize {
		e.drop()
	}
	e.ring[e.next] = sample{now, seconds}
	e.n, e.next, e.sum = e.n+1, (e.next+1)%windowSize, e.sum+seconds
}

// oldest is the first sample of the window; drop forgets it.
func (e *endpoint) oldest() sample { return e.ring[(e.next-e.n+windowSize)%windowSize] }

func (e *endpoint) drop() {
	e.sum -= e.oldest().seconds
	if e.n--; e.n == 0 {
		e.sum = 0 // no rounding stays
	}
}

// failures is a count that decays with time.
type failures struct {
	n  float64
	at time.Duration
}

func (f *failures) add(now time.Duration, n float64) {
	f.n, f.at = min(f.count(now)+n, failureMost), now
}

// served halves the count: one that fails three of four calls must not win back all.
func (f *failures) served(now time.Duration) {
	f.n, f.at = f.count(now)/2, now
}

func (f *failures) count(now time.Duration) float64 {
	if f.n == 0 {
		return 0
	}
	return f.n * math.Exp2(-float64(now-f.at)/float64(failureHalfLife))
}

// chance is what the failures leave of a weight: little, never nothing.
func (f *failures) chance(now time.Duration) float64 {
	n := 1 + f.count(now)
	return 1 / (n * n)
}

// mean is t_i, 0 while nothing is known. An attempt that has been out for longer
// counts at its age, or a server that fell silent kept its good mean till a time-out.
func (e *endpoint) mean(now time.Duration) float64 {
	sum, n := e.sum, float64(e.n)
	known := sum / max(n, 1)
	for _, f := range e.flights {
		a := &f.of.attempts[f.number]
		if age := (now - a.sent).Seconds() / a.ratio; age > known {
			sum += age
			n++
		}
	}
	return sum / max(n, 1)
}

func (e *endpoint) land(landed flight) {
	if k := slices.Index(e.flights, landed); k >= 0 {
		e.flights = slices.Delete(e.flights, k, k+1)
	}
}

// growth is the share of its full capacity that an endpoint surely has: it
// starts at ColdShare and grows evenly over RampTime.
func (b *Balancer) growth(e *endpoint, now time.Duration) float64 {
	age := now - e.Since
	if e.Since == 0 || age >= b.cfg.RampTime {
		return 1
	}
	return b.cfg.ColdShare + (1-b.cfg.ColdShare)*float64(max(age, 0))/float64(b.cfg.RampTime)
}

const (
	warmthLeast = 0.01 // settings may let endpoints start at nothing
	askedPart   = 0.5  // of what is asked: clients may ask several times for one request
)

// coldAllowed tells whether the cold budget of e has room for one more send, topped up
// for the time since the last draw that reached it. It grows at the even share of this
// balancer's served attempts that e would get by its present capacity, times half the
// multiple that pushes e over (rule 4): the rest is for chance and unequal callers.
func (b *Balancer) coldAllowed(e *endpoint, now time.Duration) bool {
	g := b.growth(e, now)
	if g == 1 {
		return true
	}
	rate := b.coldRate(now) * g
	e.tokens += rate * max(0, now-max(e.tokensAt, b.draws[0])).Seconds()
	e.tokensAt = now
	e.tokens = min(e.tokens, 1+rate*b.cfg.OverloadWindow.Seconds()/2)
	return e.tokens >= 1
}

// coldRate is how many sends a second an endpoint with all of its capacity would have at its
// even share: of what was served, times half the multiple that pushes it over, or, where none
// is warm and nothing would ever be served without a beginning, of a part of what is asked.
func (b *Balancer) coldRate(now time.Duration) float64 {
	length := max(float64(b.subsetLength), b.lengthMean)
	rate := max(1, b.cfg.OverloadFactor/2) * b.servedRate.perSecond(now) / (length * max(b.warmth, warmthLeast))
	if !b.anyWarm {
		rate = max(rate, askedPart*b.askedRate.mean(now)/length)
	}
	return rate
}

// averageSubset averages over the time how long the subset is and what share of its full
// capacity it has, as servedRate averages what it served: what was served by more of them, or
// while more were warm, is too much for those that are left.
func (b *Balancer) averageSubset(share float64) {
	b.warmth = b.warmth*b.averageWeight + share*(1-b.averageWeight)
	b.lengthMean = b.lengthMean*b.averageWeight + float64(b.subsetLength)*(1-b.averageWeight)
}

// pick draws an endpoint for r by the paper's rule, or returns -1. Each candidate's weight
// is t_b/t_i; two are drawn with replacement and the lower mean wins, one that failures
// lower counting as slower by as much: what fails at once would win each draw by the mean
// of its better days. Where two differ by no more than chance makes of a few round trips,
// the one with less out wins, then the one that has been left alone for longer.
func (b *Balancer) pick(r *request, now time.Duration) int {
	if b.gather(r, now, subset) == 0 && b.gather(r, now, connectable) == 0 &&
		(len(r.attempts) > 0 || b.gather(r, now, anyReady) == 0) {
		return -1
	}
	low, high := &b.cands[b.draw()], &b.cands[b.draw()]
	if high.mean < low.mean {
		low, high = high, low
	}
	if d := high.mean/low.mean - 1; d*d < low.noise+high.noise && b.crossing(low.index) == b.crossing(high.index) {
		e, f := &b.eps[low.index], &b.eps[high.index]
		if cmp.Or(cmp.Compare(len(f.flights), len(e.flights)), cmp.Compare(f.sentAt, e.sentAt)) < 0 {
			return high.index
		}
	}
	return low.index
}

// candidate is an endpoint that may take the attempt, with its chance.
type candidate struct {
	index  int
	mean   float64
	noise  float64 // variance that the mean has by chance, over its square
	weight float64
}

// What a few round trips are worth, which is all that a thin stream has of an endpoint.
const (
	memoryLeast = 7500 * time.Millisecond // a round trip is remembered for as long,
	memoryTurns = 3                       // or for as many requests as the endpoint's even share has in it
	thinWindow  = 10                      // round trips from which on a mean stands for itself
	unsampled   = 0.5                     // round trips that t_b is worth for one without any
	shrink      = 5                       // round trips of t_b that thin windows are taken together with in a chance
	lookChance  = 0.8                     // one that failures leave less has failed just now
	waryChance  = 0.97                    // for what may not be repeated, or has failed once: it is not what finds out
)

// Where gather looks, each wider than the last.
const (
	subset      = iota // the stable subset, less what the request has tried
	connectable        // all but those that refuse connections
	anyReady           // for a first attempt when every server refuses them
)

// The parts of the ring: endpoints of the own zone come first where crossings are priced.
const (
	ownZone = iota
	otherZones
)

// gather fills b.cands and returns how many there are.
func (b *Balancer) gather(r *request, now time.Duration, reach int) int {
	b.cands = b.cands[:0]
	b.total, b.walked, b.warmSeen = 0, 0, false
	want := len(b.ready)
	if reach == subset {
		want, b.draws = b.subsetSize(now), [2]time.Duration{b.draws[1], now}
	}
	_, part := b.stretch(len(b.ready), want)
	among := min(want, b.local) + min(want, len(b.ready)-b.local)
	b.memory = max(memoryLeast, memoryTurns*time.Duration(float64(min(part, len(b.ready)))/max(b.servedRate.mean(now), 1.0/20)*float64(time.Second)))
	best := min(b.gatherFrom(ownZone, r, now, reach, want, among), b.gatherFrom(otherZones, r, now, reach, want, among))
	if reach == subset && b.own != [2]int{} {
		b.subsetLength = b.own[ownZone] + b.own[otherZones]
		b.averageSubset(b.walked / float64(b.subsetLength))
		b.anyWarm = b.warmSeen
	}
	if math.IsInf(best, 1) {
		best = 1 // all are unsampled and alike
	}
	once := b.cfg.Classes[r.class].Semantics == Unsafe
	for k := range b.cands {
		c := &b.cands[k]
		e, n := &b.eps[c.index], float64(b.eps[c.index].n)
		alike := best * b.crossing(c.index)
		if e.n == 0 { // unsampled counts as t_b, or as what is out shows
			c.mean, n = max(c.mean, alike), unsampled
		}
		thin := max(0, 1-n/thinWindow)
		c.noise, c.weight = b.spread*thin/n, 1
		if c.mean > best {
			c.weight = best * (n + thin*shrink) / (n*c.mean + thin*shrink*alike)
		}
		chance := e.failures.chance(now)
		if chance < lookChance || (once || len(r.attempts) > 0) && chance < waryChance {
			c.noise = math.Inf(-1) // this is no chance, and nothing to find out with this request
			if e.n == 0 && once {
				c.mean, c.weight = c.mean*windowSize, c.weight/4 // failures are all that is known of it
			}
		}
		c.weight, c.mean = c.weight*b.growth(e, now)*chance, c.mean/chance
		if zone := b.zoneFailures(e.Zone); zone.count(now) >= zoneSuspect {
			c.weight *= zone.chance(now)
		}
		b.total += c.weight
	}
	return len(b.cands)
}

// subsetSize is how many sound endpoints this balancer draws from: a stretch of the
// ring that is its own, as long as its attempts out at once, as a thin stream would
// know each server of a large fleet too little. A burst widens it.
func (b *Balancer) subsetSize(now time.Duration) int {
	b.averageWeight = math.Exp(-float64(now-b.averagedAt) / float64(rateSpan))
	b.averagedAt = now
	b.outMean = b.outMean*b.averageWeight + float64(b.outTotal)*(1-b.averageWeight)
	return max(subsetMin, int(math.Ceil(max(b.outMean, float64(b.outTotal)))))
}

// stretch is where this balancer's part of a ring begins, and its length, want or more: it
// ends where another's begins, so that each endpoint is in as many as any other.
func (b *Balancer) stretch(ring, want int) (start, length int) {
	start = b.cfg.Index * ring / b.cfg.Instances
	turns := (want*b.cfg.Instances + ring - 1) / max(ring, 1)
	return start, min((b.cfg.Index+turns)*ring/b.cfg.Instances-start, max(want, subsetMost))
}

// zoneFailures counts what failed in a zone since anything there was served.
func (b *Balancer) zoneFailures(zone int) *failures {
	for zone >= len(b.zones) {
		b.zones = append(b.zones, failures{})
	}
	return &b.zones[zone]
}

// crowding guards against herding, as what is out shows in no mean yet: where more of
// ours are out at e than on average in the subset, its mean grows by that ratio.
func (b *Balancer) crowding(e *endpoint, among int) float64 {
	even := float64(b.outTotal) / float64(among)
	return max(1, (1+float64(len(e.flights)))/(1+even))
}

// gatherFrom adds the candidates of one part of the ring, from this balancer's
// place on, until it holds want sound endpoints. It returns the lowest mean.
//
// Past the stretch no cold one is added: its budget is shared among those that have it in
// theirs, as many as any other has. More look at it where their own endpoints fail.
func (b *Balancer) gatherFrom(part int, r *request, now time.Duration, reach, want, among int) float64 {
	ring := b.ready[:b.local]
	if part == otherZones {
		ring = b.ready[b.local:]
	}
	best := math.Inf(1)
	start, want := b.stretch(len(ring), want)
	if reach == subset {
		b.own[part] = min(want, len(ring))
	}
	for k := 0; k < len(ring) && want > 0; k++ {
		i := ring[(start+k)%len(ring)]
		e := &b.eps[i]
		zone := b.zoneFailures(e.Zone)
		sound := e.failures.count(now) < 1
		growth := b.growth(e, now)
		if sound && zone.count(now) < zoneSuspect {
			want--
		}
		if k < b.own[part] {
			b.walked += growth // sound or not: what the others lack is no reason to push a cold one
			b.warmSeen = b.warmSeen || growth == 1
		} else if growth < 1 {
			continue
		}
		if reach == subset && r.tried(i) || reach < anyReady && !b.connectable(e, now) || !b.maySend(r, i, now) {
			continue
		}
		for e.n > 0 && now-e.oldest().at > b.memory {
			e.drop()
		}
		m := e.mean(now) * b.crowding(e, among) * b.crossing(i)
		if e.n > 0 && m > 0 && sound {
			best = min(best, m)
		} else if e.n > 0 && m > 0 { // one that fails fast must not make the others look slow
			best = min(best, m/e.failures.chance(now))
		}
		b.cands = append(b.cands, candidate{index: i, mean: m})
	}
	return best
}

func (b *Balancer) draw() int {
	x := b.rng.Float64() * b.total
	for k := range b.cands {
		if x -= b.cands[k].weight; x < 0 {
			return k
		}
	}
	return len(b.cands) - 1
}

// rate is a decaying sum of what comes a second.
type rate struct {
	sum   float64
	start time.Duration // of what is known
	at    time.Duration
}

const rateSpan = 4 * time.Second // long enough to average a bursty second, short enough to follow a surge

// rateOf is a rate that has had this mean for long.
func rateOf(now time.Duration, mean float64) rate {
	return rate{mean * rateSpan.Seconds(), now - 10*rateSpan, now}
}

func (r *rate) add(now time.Duration, x float64) {
	if r.sum == 0 {
		r.start, r.at = now, now
	}
	r.decay(now)
	r.sum += x
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.sum *= math.Exp(-float64(now-r.at) / float64(rateSpan))
		r.at = now
	}
}

// perSecond is a low estimate in the first seconds of a fresh instance.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateSpan.Seconds()
}

// mean is perSecond over the time for which anything is known, and not low.
func (r *rate) mean(now time.Duration) float64 {
	known := max(now-r.start, rateSpan/4)
	return r.perSecond(now) / (1 - math.Exp(-float64(known)/float64(rateSpan)))
}
