package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	windowSize = 20 // samples averaged per endpoint, as in the paper's averaged variant

	// failureHalfLife lets an endpoint without requests regain its weight. It is about the
	// duration of a process restart or a network failure.
	failureHalfLife = 5 * time.Second
	maxFailures     = 10 // bounds the time until a recovered endpoint or zone has its full weight

	minConnectBackoff    = 500 * time.Millisecond // after a connect error
	maxConnectBackoff    = 4 * time.Second
	minSubsetSize        = 10  // healthy endpoints; enough for two random choices when a fifth of them fail
	maxRangeLength       = 50  // bounds the search per request where few balancers share many endpoints
	zoneFailureThreshold = 3   // consecutive failures over all endpoints of a zone that indicate a failure of the zone
	crossZoneWeight      = 100 // converts CrossZonePrice to latency: at a price of 0.01 another zone counts as twice as slow
)

// attemptRef identifies an attempt in flight.
type attemptRef struct {
	request *request
	number  int
}

// endpoint holds an endpoint's list entry and the measurements from this balancer's own
// attempts.
type endpoint struct {
	Endpoint
	hash                    uint64
	samples                 [windowSize]sample
	sampleCount, nextSample int
	sampleSum               float64
	failures                failures
	inFlight                []attemptRef
	attemptRefs             int // attempts at this endpoint whose requests are not yet deleted
	restarts                int // restarts of its process; attempts before the last one are not measured

	servedAt, sentAt time.Duration
	goneAt           time.Duration // when its state became Gone

	coldTokens   float64 // cold budget: attempts allowed now
	coldTokensAt time.Duration

	peakConns       [2]int // peaks of connections in use in this and the previous idle timeout: likely still open
	peakWindowStart time.Duration
	connectErrorAt  time.Duration // last ConnectError that changed connectBackoff
	connectBackoff  time.Duration // time after it without new connections; 0 means none
}

// openConns estimates the number of open connections to e: the most that were in use at
// the same time within the idle timeout.
func (e *endpoint) openConns(now, idle time.Duration) int {
	if elapsed := now - e.peakWindowStart; elapsed >= idle/2 {
		e.peakConns = [2]int{len(e.inFlight), e.peakConns[0]}
		if elapsed >= idle {
			e.peakConns[1] = len(e.inFlight)
		}
		e.peakWindowStart = now
	}
	return max(e.peakConns[0], e.peakConns[1])
}

// connectable reports whether an attempt at e can get a connection. After a ConnectError,
// which adds no sample to the mean, only open connections are used during the backoff.
func (b *Balancer) connectable(e *endpoint, now time.Duration) bool {
	return now-e.connectErrorAt >= e.connectBackoff || (len(e.inFlight)+1) <= e.openConns(now, b.cfg.IdleConnTimeout)*max(b.cfg.Multiplex, 1)
}

// recordConnectError doubles the connection backoff. A success does not end the backoff,
// as it may have used an open connection.
func (b *Balancer) recordConnectError(e *endpoint, now time.Duration) {
	n := (len(e.inFlight) + b.cfg.Multiplex - 1) / b.cfg.Multiplex
	e.peakConns = [2]int{n, n} // an idle connection would have been used
	if now-e.connectErrorAt < e.connectBackoff {
		return // sent before the previous error was known
	}
	if now-e.connectErrorAt > 2*maxConnectBackoff {
		e.connectBackoff = 0 // unrelated to the previous error
	}
	e.connectBackoff = min(max(2*e.connectBackoff, minConnectBackoff), maxConnectBackoff)
	e.connectBackoff += time.Duration(b.rng.Float64() * float64(e.connectBackoff) / 2)
	e.connectErrorAt = now
}

// setState applies the state from an endpoint list.
func (e *endpoint) setState(now time.Duration, s State) {
	if s == Gone && e.State != Gone {
		e.goneAt = now
	}
	e.State = s
}

// reset discards the measurements of a previous process at this address. initialTokens is
// the cold budget at the start; it is random, so that Balancers do not all send at once.
func (e *endpoint) reset(now time.Duration, initialTokens float64) {
	e.sampleCount, e.nextSample, e.sampleSum, e.failures = 0, 0, 0, failures{}
	e.coldTokens, e.coldTokensAt = initialTokens, now
}

// sample is a completed round trip, divided by the duration ratio of its class.
type sample struct {
	at      time.Duration
	seconds float64
}

func (e *endpoint) addSample(now time.Duration, seconds float64) {
	if e.sampleCount == windowSize {
		e.dropOldestSample()
	}
	e.samples[e.nextSample] = sample{now, seconds}
	e.sampleCount, e.nextSample, e.sampleSum = e.sampleCount+1, (e.nextSample+1)%windowSize, e.sampleSum+seconds
}

func (e *endpoint) oldestSample() sample {
	return e.samples[(e.nextSample-e.sampleCount+windowSize)%windowSize]
}

func (e *endpoint) dropOldestSample() {
	e.sampleSum -= e.oldestSample().seconds
	if e.sampleCount--; e.sampleCount == 0 {
		e.sampleSum = 0 // discards rounding errors
	}
}

// failures is a count of failures that decays exponentially with failureHalfLife.
type failures struct {
	decayedCount float64
	at           time.Duration
}

func (f *failures) add(now time.Duration, n float64) {
	f.decayedCount, f.at = min(f.count(now)+n, maxFailures), now
}

// recordSuccess halves the count. It does not clear it, so that an endpoint that fails most
// calls does not regain its full weight.
func (f *failures) recordSuccess(now time.Duration) {
	f.decayedCount, f.at = f.count(now)/2, now
}

func (f *failures) count(now time.Duration) float64 {
	if f.decayedCount == 0 {
		return 0
	}
	return f.decayedCount * math.Exp2(-float64(now-f.at)/float64(failureHalfLife))
}

// weightFactor returns the factor by which failures lower a weight. It is never 0.
func (f *failures) weightFactor(now time.Duration) float64 {
	n := 1 + f.count(now)
	return 1 / (n * n)
}

// mean returns the mean round trip in seconds (t_i of the paper), or 0 without samples. An
// attempt in flight for longer than the
// mean counts with its age, so that an unresponsive endpoint does not keep a low mean until
// the timeout.
func (e *endpoint) mean(now time.Duration) float64 {
	sum, n := e.sampleSum, float64(e.sampleCount)
	known := sum / max(n, 1)
	for _, f := range e.inFlight {
		a := &f.request.attempts[f.number]
		if age := (now - a.sent).Seconds() / a.durationRatio; age > known {
			sum += age
			n++
		}
	}
	return sum / max(n, 1)
}

func (e *endpoint) removeInFlight(ended attemptRef) {
	if k := slices.Index(e.inFlight, ended); k >= 0 {
		e.inFlight = slices.Delete(e.inFlight, k, k+1)
	}
}

// capacityShare returns the share of its full capacity that an endpoint is known to have.
// It starts at SlowStartInitialShare and grows linearly over SlowStartWindow.
func (b *Balancer) capacityShare(e *endpoint, now time.Duration) float64 {
	age := now - e.Since
	if e.Since == 0 || age >= b.cfg.SlowStartWindow {
		return 1
	}
	return b.cfg.SlowStartInitialShare + (1-b.cfg.SlowStartInitialShare)*float64(max(age, 0))/float64(b.cfg.SlowStartWindow)
}

const (
	minCapacityShare = 0.01 // SlowStartInitialShare may be 0
	coldRequestShare = 0.5  // of the request rate, as clients may repeat a request several times
)

// coldBudgetAllows refills the cold budget of an endpoint in slow start and reports whether it permits an attempt. The refill rate is e's share, by its present
// capacity, of the attempts that this balancer serves, times half of OverloadFactor. The
// other half allows for random variation and unequal callers.
func (b *Balancer) coldBudgetAllows(e *endpoint, now time.Duration) bool {
	share := b.capacityShare(e, now)
	if share == 1 {
		return true
	}
	rate := b.coldRate(now) * share
	e.coldTokens += rate * max(0, now-max(e.coldTokensAt, b.subsetPicks[0])).Seconds()
	e.coldTokensAt = now
	e.coldTokens = min(e.coldTokens, 1+rate*b.cfg.OverloadWindow.Seconds()/2)
	return e.coldTokens >= 1
}

// coldRate returns the refill rate, in attempts per second, for an endpoint with its full
// capacity. It follows the served rate, or, while no endpoint of the subset has its full
// capacity, also the request rate: otherwise nothing might ever be served.
func (b *Balancer) coldRate(now time.Duration) float64 {
	length := max(float64(b.subsetLength), b.meanSubsetLength)
	rate := max(1, b.cfg.OverloadFactor/2) * b.servedRate.perSecond(now) / (length * max(b.meanCapacityShare, minCapacityShare))
	if !b.anyWarm {
		rate = max(rate, coldRequestShare*b.requestRate.mean(now)/length)
	}
	return rate
}

// averageSubset updates the time averages of the subset's length and capacity share, with
// the time constant of servedRate. coldRate divides the served rate by them: divided by
// the present values, a rate that a larger or warmer subset served would overload the
// endpoints that are left.
func (b *Balancer) averageSubset(share float64) {
	b.meanCapacityShare = b.meanCapacityShare*b.decayFactor + share*(1-b.decayFactor)
	b.meanSubsetLength = b.meanSubsetLength*b.decayFactor + float64(b.subsetLength)*(1-b.decayFactor)
}

// pick selects an endpoint for r by the paper's rule, or returns -1. A candidate's weight is
// t_b/t_i, the lowest mean of all candidates divided by its own. Two candidates are drawn
// with replacement, and the one with the lower mean wins. Failures raise the mean,
// as an endpoint that fails quickly may still have a low one. If the difference is within
// random variation, fewer attempts in flight win, then the longer time without an attempt.
func (b *Balancer) pick(r *request, now time.Duration) int {
	if b.gatherCandidates(r, now, searchSubset) == 0 && b.gatherCandidates(r, now, searchConnectable) == 0 &&
		(len(r.attempts) > 0 || b.gatherCandidates(r, now, searchAnyReady) == 0) {
		return -1
	}
	low, high := &b.candidates[b.drawCandidate()], &b.candidates[b.drawCandidate()]
	if high.mean < low.mean {
		low, high = high, low
	}
	if d := high.mean/low.mean - 1; d*d < low.meanVariance+high.meanVariance && b.zoneFactor(low.index) == b.zoneFactor(high.index) {
		e, f := &b.endpoints[low.index], &b.endpoints[high.index]
		if cmp.Or(cmp.Compare(len(f.inFlight), len(e.inFlight)), cmp.Compare(f.sentAt, e.sentAt)) < 0 {
			return high.index
		}
	}
	return low.index
}

// candidate is an endpoint that may get the attempt.
type candidate struct {
	index        int
	mean         float64
	meanVariance float64 // variance of the mean divided by its square
	weight       float64
}

// How samples are weighted. At low request rates there are few for each endpoint.
const (
	minSampleRetention         = 7500 * time.Millisecond // samples are kept for this time,
	retentionRequests          = 3                       // or for this many requests at the endpoint's even share, if that is longer
	reliableSamples            = 10                      // samples from which on a mean is used unadjusted
	unsampledCount             = 0.5                     // samples that an endpoint without any counts as having, with mean t_b
	priorSamples               = 5                       // samples of t_b added to the mean of an endpoint with few samples, for its weight
	suspectFactor              = 0.8                     // weight factor below which an endpoint has failed recently
	suspectFactorNonIdempotent = 0.97                    // the same for non-idempotent requests and retries, which should not probe an endpoint
)

// Sets of endpoints that gatherCandidates searches, each larger than the previous one.
const (
	searchSubset      = iota // the subset of this balancer, without endpoints already tried
	searchConnectable        // all ready endpoints that accept connections
	searchAnyReady           // all ready endpoints, for a first attempt
)

// The parts of the ring of ready endpoints, see Balancer.ready.
const (
	ownZone = iota
	otherZones
)

// gatherCandidates fills b.candidates with the endpoints of a search set that may get an
// attempt of r, computes their weights, and returns their number.
func (b *Balancer) gatherCandidates(r *request, now time.Duration, search int) int {
	b.candidates = b.candidates[:0]
	b.totalWeight, b.gatheredCapacity, b.gatheredWarm = 0, 0, false
	want := len(b.ready)
	if search == searchSubset {
		want, b.subsetPicks = b.subsetSize(now), [2]time.Duration{b.subsetPicks[1], now}
	}
	_, length := b.subsetRange(len(b.ready), want)
	searched := min(want, b.ownZoneReady) + min(want, len(b.ready)-b.ownZoneReady)
	b.sampleRetention = max(minSampleRetention, retentionRequests*time.Duration(float64(min(length, len(b.ready)))/max(b.servedRate.mean(now), 1.0/20)*float64(time.Second)))
	best := min(b.gatherFromPart(ownZone, r, now, search, want, searched), b.gatherFromPart(otherZones, r, now, search, want, searched))
	if search == searchSubset && b.rangeLengths != [2]int{} {
		b.subsetLength = b.rangeLengths[ownZone] + b.rangeLengths[otherZones]
		b.averageSubset(b.gatheredCapacity / float64(b.subsetLength))
		b.anyWarm = b.gatheredWarm
	}
	if math.IsInf(best, 1) {
		best = 1 // no candidate has samples
	}
	nonIdempotent := b.cfg.Classes[r.class].Idempotency == NonIdempotent
	for k := range b.candidates {
		c := &b.candidates[k]
		e, n := &b.endpoints[c.index], float64(b.endpoints[c.index].sampleCount)
		reference := best * b.zoneFactor(c.index)
		if e.sampleCount == 0 { // t_b, or the age of attempts in flight if higher
			c.mean, n = max(c.mean, reference), unsampledCount
		}
		uncertainty := max(0, 1-n/reliableSamples)
		c.meanVariance, c.weight = b.relativeVariance*uncertainty/n, 1
		if c.mean > best {
			c.weight = best * (n + uncertainty*priorSamples) / (n*c.mean + uncertainty*priorSamples*reference)
		}
		factor := e.failures.weightFactor(now)
		if factor < suspectFactor || (nonIdempotent || len(r.attempts) > 0) && factor < suspectFactorNonIdempotent {
			c.meanVariance = math.Inf(-1) // the failures are significant, and this request must not probe the endpoint
			if e.sampleCount == 0 && nonIdempotent {
				c.mean, c.weight = c.mean*windowSize, c.weight/4 // only failures of the endpoint are known
			}
		}
		c.weight, c.mean = c.weight*b.capacityShare(e, now)*factor, c.mean/factor
		if zone := b.zoneFailures(e.Zone); zone.count(now) >= zoneFailureThreshold {
			c.weight *= zone.weightFactor(now)
		}
		b.totalWeight += c.weight
	}
	return len(b.candidates)
}

// subsetSize returns the number of healthy endpoints in this balancer's subset. It follows the
// attempts in flight: at a low request rate there would be too few samples for each
// endpoint of a large fleet.
func (b *Balancer) subsetSize(now time.Duration) int {
	b.decayFactor = math.Exp(-float64(now-b.averagedAt) / float64(rateTimeConstant))
	b.averagedAt = now
	b.meanInFlight = b.meanInFlight*b.decayFactor + float64(b.inFlight)*(1-b.decayFactor)
	return max(minSubsetSize, int(math.Ceil(max(b.meanInFlight, float64(b.inFlight)))))
}

// subsetRange returns this balancer's range of a ring, of length want or more. It ends where
// the range of another balancer starts, so that each endpoint is in equally many ranges.
func (b *Balancer) subsetRange(ring, want int) (start, length int) {
	start = b.cfg.Index * ring / b.cfg.Instances
	steps := (want*b.cfg.Instances + ring - 1) / max(ring, 1)
	return start, min((b.cfg.Index+steps)*ring/b.cfg.Instances-start, max(want, maxRangeLength))
}

// zoneFailures returns the failure count of a zone, which a success in the zone resets.
func (b *Balancer) zoneFailures(zone int) *failures {
	for zone >= len(b.failuresByZone) {
		b.failuresByZone = append(b.failuresByZone, failures{})
	}
	return &b.failuresByZone[zone]
}

// inFlightFactor returns the factor by which the mean of an endpoint is raised if it has
// more attempts in flight than the average of the searched endpoints. It prevents herding,
// as the samples do not yet include the attempts in flight.
func (b *Balancer) inFlightFactor(e *endpoint, searched int) float64 {
	average := float64(b.inFlight) / float64(searched)
	return max(1, (1+float64(len(e.inFlight)))/(1+average))
}

// gatherFromPart adds the candidates of one part of the ring, starting at this balancer's
// range, until it has found want healthy endpoints. It returns the lowest mean. searched
// is the number of endpoints that are searched in both parts.
//
// Cold endpoints outside the range are skipped: their budget is divided among the balancers
// that have them in their ranges.
func (b *Balancer) gatherFromPart(part int, r *request, now time.Duration, search, want, searched int) float64 {
	ring := b.ready[:b.ownZoneReady]
	if part == otherZones {
		ring = b.ready[b.ownZoneReady:]
	}
	best := math.Inf(1)
	start, want := b.subsetRange(len(ring), want)
	if search == searchSubset {
		b.rangeLengths[part] = min(want, len(ring))
	}
	for k := 0; k < len(ring) && want > 0; k++ {
		i := ring[(start+k)%len(ring)]
		e := &b.endpoints[i]
		zone := b.zoneFailures(e.Zone)
		healthy := e.failures.count(now) < 1
		share := b.capacityShare(e, now)
		if healthy && zone.count(now) < zoneFailureThreshold {
			want--
		}
		if k < b.rangeLengths[part] {
			b.gatheredCapacity += share // also if unhealthy, as missing capacity must not raise the cold budget
			b.gatheredWarm = b.gatheredWarm || share == 1
		} else if share < 1 {
			continue
		}
		if search == searchSubset && r.tried(i) || search < searchAnyReady && !b.connectable(e, now) || !b.maySend(r, i, now) {
			continue
		}
		for e.sampleCount > 0 && now-e.oldestSample().at > b.sampleRetention {
			e.dropOldestSample()
		}
		m := e.mean(now) * b.inFlightFactor(e, searched) * b.zoneFactor(i)
		if e.sampleCount > 0 && m > 0 && healthy {
			best = min(best, m)
		} else if e.sampleCount > 0 && m > 0 { // an endpoint that fails quickly must not lower best
			best = min(best, m/e.failures.weightFactor(now))
		}
		b.candidates = append(b.candidates, candidate{index: i, mean: m})
	}
	return best
}

// drawCandidate returns the index of a random candidate, drawn with probability
// proportional to its weight.
func (b *Balancer) drawCandidate() int {
	x := b.rng.Float64() * b.totalWeight
	for k := range b.candidates {
		if x -= b.candidates[k].weight; x < 0 {
			return k
		}
	}
	return len(b.candidates) - 1
}

// rate is an exponentially weighted moving average of amounts per second.
type rate struct {
	sum   float64
	start time.Duration // of the measurement
	at    time.Duration // of the last update
}

const rateTimeConstant = 4 * time.Second // averages over bursts and still follows a surge

// steadyRate returns a rate that has had this mean for a long time.
func steadyRate(now time.Duration, mean float64) rate {
	return rate{mean * rateTimeConstant.Seconds(), now - 10*rateTimeConstant, now}
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
		r.sum *= math.Exp(-float64(now-r.at) / float64(rateTimeConstant))
		r.at = now
	}
}

// perSecond returns the average. It is too low until several time constants after the start.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}

// mean returns perSecond corrected for the time since the start.
func (r *rate) mean(now time.Duration) float64 {
	known := max(now-r.start, rateTimeConstant/4)
	return r.perSecond(now) / (1 - math.Exp(-float64(known)/float64(rateTimeConstant)))
}
