// Package balance makes the decisions of a client-side load balancer: which
// endpoint gets an attempt, when to retry and when to reject a request.
//
// A Balancer receives events as method calls that carry the time, and acts through
// Actions. It does no I/O, reads no clock and starts no goroutines; the same events and seed
// give the same actions. It is not safe for concurrent use. Endpoints are selected by the
// ratio approach of Küting et al., "Client-Based Adaptive Load Balancing in
// Service-Oriented Systems"; see docs/design.md.
package balance

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// RequestID identifies a request; ids must be unique and below 1<<60.
type RequestID uint64

// Idempotency describes whether and how a request may be repeated.
type Idempotency int

const (
	Idempotent      Idempotency = iota // may be repeated any number of times
	IdempotentByKey                    // a group of endpoints deduplicates repeats for a limited time
	NonIdempotent                      // must not run twice
)

// DeduplicationScope is the group of endpoints that deduplicates the repeats of an
// IdempotentByKey request.
type DeduplicationScope int

const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Class holds the settings of one class of requests.
type Class struct {
	LatencyTarget       time.Duration      `json:"Aim"`      // a response within it earns the full PriorityWeight; 0 means Deadline
	Deadline            time.Duration      `json:"Deadline"` // total time that the client waits
	Idempotency         Idempotency        `json:"Semantics"`
	DeduplicationScope  DeduplicationScope `json:"Scope"`
	DeduplicationWindow time.Duration      `json:"MemorySpan"` // how long repeats of an IdempotentByKey request are deduplicated
	PriorityWeight      float64            `json:"Worth"`
	LateWeight          float64            `json:"LateWorth"` // share of PriorityWeight that a response after LatencyTarget earns
}

// Config holds the settings of a Balancer.
type Config struct {
	Index                   int       `json:"Index"`     // of this instance among those of the tier
	Instances               int       `json:"Instances"` // balancers that share the tier
	Zone                    int       `json:"Zone"`
	Classes                 []Class   `json:"Classes"`
	Entry                   bool      `json:"Entry"`   // requests come from clients, not from balancers of another tier
	TenantQuotas            []float64 `json:"Tenants"` // requests per second of each tenant, over all instances; 0 means no quota
	AttemptLimit            int       `json:"AttemptLimit"`
	AllowConcurrentAttempts bool      `json:"MayDuplicate"` // two attempts of a request may be in flight at once

	CrossZonePrice   float64 `json:"CrossZonePrice"`   // part of the objective (0 to 1) lost per request to another zone
	WorstClassWeight float64 `json:"WorstClassWeight"` // weight of the worst served class in the objective, 0 to 1
	OverQuotaWeight  float64 `json:"OverShareWorth"`   // factor on the priority of a request over its tenant's quota

	SlowStartInitialShare float64       `json:"ColdShare"`    // initial share: the least share of its capacity that a new endpoint has
	SlowStartWindow       time.Duration `json:"RampTime"`     // slow-start window: time until an endpoint has its full capacity
	OverloadWindow        time.Duration `json:"OverloadFor"`  // a cold endpoint is overloaded if excess load lasts for this period
	OverloadFactor        float64       `json:"FallMultiple"` // multiple of its capacity that overloads a cold endpoint; 0 means unknown

	IdleConnTimeout time.Duration `json:"ConnIdle"`  // after which idle connections are closed
	Multiplex       int           `json:"Multiplex"` // concurrent attempts per connection

	PullDiscovery    bool          `json:"AskDiscovery"` // endpoint updates arrive only after Actions.Watch
	MaxWatchInterval time.Duration `json:"AskWithin"`    // upper bound of the interval between Watch calls without a subscription
}

func (c *Config) validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("balance: Classes: none given")
	case min(c.Instances, c.AttemptLimit, c.Multiplex) < 1:
		return fmt.Errorf("balance: Instances, AttemptLimit, Multiplex: %d, %d, %d, want 1 or more", c.Instances, c.AttemptLimit, c.Multiplex)
	case c.Index < 0 || c.Index >= c.Instances:
		return fmt.Errorf("balance: Index: %d, want 0 to Instances-1", c.Index)
	case min(c.WorstClassWeight, c.SlowStartInitialShare) < 0 || max(c.WorstClassWeight, c.SlowStartInitialShare) > 1:
		return fmt.Errorf("balance: WorstClassWeight, SlowStartInitialShare: %v, %v, want 0 to 1", c.WorstClassWeight, c.SlowStartInitialShare)
	case c.SlowStartWindow < 0 || c.OverloadWindow < 0 || c.OverloadFactor < 0:
		return errors.New("balance: SlowStartWindow, OverloadWindow, OverloadFactor: want 0 or more")
	case c.PullDiscovery && c.MaxWatchInterval <= 0:
		return errors.New("balance: MaxWatchInterval: want more than 0 with PullDiscovery")
	}
	return nil
}

// Actions carries out the decisions of a Balancer. Its methods must not call the Balancer.
type Actions interface {
	// Send starts the request's next attempt; attempts are numbered from 0. The timeout
	// is the request's remaining time; a shorter one would cause more retries under high load.
	Send(id RequestID, addr string, timeout time.Duration)
	// Reject ends the request and tells the client that it may safely repeat it: no attempt
	// has run, or repeating the request is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends the request with an error. The request may have run.
	Fail(id RequestID)
	// After schedules a call of Balancer.Timer with this token after d.
	After(d time.Duration, token uint64)
	// Watch subscribes to endpoint updates.
	Watch()
}

// State is the state of an endpoint in the endpoint list.
type State int

const (
	Gone State = iota
	Draining
	Ready
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Addr  string
	State State
	Zone  int
	Cell  int
	Since time.Duration // start of its process; 0 means long ago
}

// UpdateKind determines how the list of an endpoint update is applied.
type UpdateKind int

const (
	Delta      UpdateKind = iota // changed entries only
	Full                         // a snapshot: all entries; missing endpoints are gone
	Cached                       // a snapshot that may be outdated
	ListFailed                   // discovery failed; the previous list stays in use
)

// Result is the outcome of an attempt.
type Result int

const (
	OK           Result = iota
	Error               // the endpoint responded with an error; the request may have run
	Overloaded          // rejected by the endpoint before processing; the request never ran
	Timeout             // no response in time; the request may have run or be running
	ConnectError        // no connection; the request never ran
	Reset               // the connection broke; the request may have run
	Cancelled           // cancelled by the caller; the request may have run
	NotSent             // never transmitted; the request never ran
)

func (r Result) neverRan() bool { return r == Overloaded || r == ConnectError || r == NotSent }

type attempt struct {
	endpoint       int
	sent           time.Duration
	lastByteSent   time.Duration // when its last byte was written at the earliest; 0 if that is not known
	durationRatio  float64       // of its class at the time of sending
	done, neverRan bool
	late           bool        // counted by markLate as past its latency target
	otherProcess   bool        // another process than that of endpoint may have run it
	restarts       int         // endpoint.restarts at the time of sending
	shortBudget    shortBudget // whether its budget explains its failure
}

type request struct {
	id                RequestID
	class             int
	arrived, deadline time.Duration
	attempts          []attempt
	inFlight          int
	closed            bool
}

func (r *request) tried(i int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == i })
}

// classStats holds what has been measured of a class.
type classStats struct {
	meanSeconds, sampleCount float64

	requested, servedInTarget float64 // decaying counts of requests and of responses within the latency target

	shortestServed   time.Duration // about the shortest budget of a served attempt; 0 if none was served
	usualBudget      time.Duration // budget of most requests, by majority vote
	usualBudgetVotes int
}

const classWindow = 200 // samples averaged for a class; Balancer.relativeVariance averages a quarter of them

// Balancer selects endpoints and makes retry and admission decisions for one caller. Use
// New to create one.
type Balancer struct {
	cfg     Config
	actions Actions
	rng     *rand.Rand

	endpoints         []endpoint
	indexByAddr       map[string]int
	freeSlots         []int // indices of unused elements of endpoints
	ownZoneReady      int   // length of the part of ready in the own zone; all of it if CrossZonePrice is 0
	failuresByZone    []failures
	ready             []int            // indices of ready endpoints by zone and hash: the ring that subsets are taken from
	subsetPicks       [2]time.Duration // times of the last two selections from the subset
	sampleRetention   time.Duration    // how long samples are kept
	relativeVariance  float64          // variance of a round trip divided by the square of its endpoint's mean
	rangeLengths      [2]int           // lengths of this balancer's ranges, by part of the ring
	subsetLength      int              // sum of rangeLengths, or of all ready endpoints before the first selection
	gatheredCapacity  float64          // sum of capacity shares in the ranges being searched
	meanCapacityShare float64          // time average of the mean capacity share of the subset
	meanSubsetLength  float64          // time average of subsetLength
	averagedAt        time.Duration    // when the time averages were last updated
	decayFactor       float64          // weight of the previous value in the next update of a time average
	anyWarm           bool             // the last subset had an endpoint with full capacity
	gatheredWarm      bool             // the ranges being searched have one

	requests map[RequestID]*request
	held     []RequestID // waiting for a ready endpoint

	inFlight            int     // attempts without an outcome
	meanInFlight        float64 // time average of inFlight
	admission           admission
	history             outcomeHistory
	metrics             Metrics
	classes             []classStats
	servedRate          rate
	requestRate         rate
	inTargetConcurrency rate // sum of the latency targets, in seconds, of the requests served per second: by Little's law, the attempts in flight that can meet them
	candidates          []candidate
	totalWeight         float64
	retryTokens         float64
	watchFailures       int
	watchScheduled      bool
}

// Kinds of timer, in the low timerBits of a token; the request id is above them.
const (
	timerDeadline = iota
	timerHeld
	timerWatch
	timerLate
	timerBits = 3
)

// New returns a Balancer for cfg whose random numbers are derived from seed.
func New(cfg Config, seed uint64, actions Actions) (*Balancer, error) {
	if actions == nil {
		return nil, errors.New("balance: Actions is nil")
	}
	b := &Balancer{
		actions: actions, retryTokens: minRetryBurst,
		rng:               rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		indexByAddr:       map[string]int{},
		relativeVariance:  1,
		meanCapacityShare: 1,
		averagedAt:        -10 * rateTimeConstant, // long ago, as nothing was served yet
		requests:          map[RequestID]*request{},
	}
	for _, c := range cfg.Classes {
		if _, err := b.AddClass(c); err != nil {
			return nil, err
		}
	}
	return b, b.Reconfigure(cfg)
}

// Reconfigure applies new settings, or none if one is invalid. The classes and all
// measurements are kept.
func (b *Balancer) Reconfigure(cfg Config) error {
	cfg.Classes = b.cfg.Classes
	if err := cfg.validate(); err != nil {
		return err
	}
	b.cfg, b.admission.quotas = cfg, nil
	b.sortReady()
	for _, perSecond := range cfg.TenantQuotas {
		b.admission.quotas = append(b.admission.quotas, quota{perSecond: perSecond / float64(cfg.Instances)})
	}
	return nil
}

// Estimate is what was measured of a class or an endpoint: the mean duration in seconds, the
// number N of samples, and the decaying count of failures.
type Estimate struct{ Mean, N, Failures float64 }

// Snapshot holds the measurements of a Balancer, to be passed to its successor.
// InTargetConcurrency is the number of attempts in flight that can meet their latency
// targets.
type Snapshot struct {
	Limit, Served       float64
	InTargetConcurrency float64 `json:"InAim"`
	Classes             []Estimate
	Endpoints           map[string]Estimate
}

// Snapshot returns the current measurements.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{b.admission.limit, b.servedRate.mean(now), b.inTargetConcurrency.mean(now), nil, map[string]Estimate{}}
	for i := range b.classes {
		m.Classes = append(m.Classes, Estimate{Mean: b.classes[i].meanSeconds, N: b.classes[i].sampleCount})
	}
	for addr, i := range b.indexByAddr {
		e := &b.endpoints[i]
		m.Endpoints[addr] = Estimate{e.sampleSum / max(1, float64(e.sampleCount)), float64(e.sampleCount), e.failures.count(now)}
	}
	return m
}

// Restore takes over the measurements of another Balancer, for classes and endpoints that
// both have.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.admission.limit = m.Limit
	b.servedRate, b.inTargetConcurrency = steadyRate(now, m.Served), steadyRate(now, m.InTargetConcurrency)
	b.meanCapacityShare, b.averagedAt = 1, now // the endpoints may have had full capacity when that was measured
	for i := range b.classes[:min(len(b.classes), len(m.Classes))] {
		b.classes[i].meanSeconds, b.classes[i].sampleCount = m.Classes[i].Mean, m.Classes[i].N
	}
	for addr, l := range m.Endpoints {
		if i, ok := b.indexByAddr[addr]; ok {
			for range min(int(l.N), windowSize) {
				b.endpoints[i].addSample(now, l.Mean)
			}
			b.endpoints[i].failures.add(now, l.Failures)
		}
	}
}

// AddClass adds a class and returns its index. All measurements are kept.
func (b *Balancer) AddClass(c Class) (int, error) {
	i := len(b.classes)
	switch {
	case c.Deadline <= 0 || c.LatencyTarget < 0:
		return 0, fmt.Errorf("balance: Classes[%d]: Deadline %v, LatencyTarget %v, want a Deadline above 0 and a LatencyTarget of 0 or more", i, c.Deadline, c.LatencyTarget)
	case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent || c.DeduplicationScope < ScopeAll || c.DeduplicationScope > ScopeCell:
		return 0, fmt.Errorf("balance: Classes[%d]: unknown Idempotency or DeduplicationScope", i)
	case c.LatencyTarget == 0:
		c.LatencyTarget = c.Deadline
	}
	b.cfg.Classes, b.classes = append(b.cfg.Classes, c), append(b.classes, classStats{})
	return i, nil
}

// UpdateEndpoints applies an endpoint update, or records that discovery failed.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Endpoint) {
	if kind == ListFailed {
		b.watchFailures++
		b.scheduleWatch()
		return
	}
	if kind == Full || kind == Cached {
		for i := range b.endpoints {
			b.endpoints[i].setState(now, Gone)
		}
	}
	for _, entry := range list {
		b.updateEndpoint(now, entry)
	}
	b.freeGoneEndpoints(now)
	b.sortReady()
	if b.subsetLength == 0 {
		b.subsetLength = len(b.ready)
	}
	if kind != Cached {
		b.watchFailures = 0
	} else if b.cfg.PullDiscovery {
		b.scheduleWatch()
	}
	b.dispatchHeld(now)
}

// sortReady collects the ready endpoints by hash, with the own zone first if other zones have a price.
func (b *Balancer) sortReady() {
	b.ready, b.ownZoneReady = b.ready[:0], 0
	for i := range b.endpoints {
		if b.endpoints[i].State == Ready {
			b.ready = append(b.ready, i)
			if b.zoneFactor(i) == 1 {
				b.ownZoneReady++
			}
		}
	}
	slices.SortFunc(b.ready, func(i, k int) int {
		return cmp.Or(cmp.Compare(b.zoneFactor(i), b.zoneFactor(k)), cmp.Compare(b.endpoints[i].hash, b.endpoints[k].hash))
	})
}

// zoneFactor returns the factor by which the mean of an endpoint in another zone is
// raised, to account for CrossZonePrice.
func (b *Balancer) zoneFactor(i int) float64 {
	if b.endpoints[i].Zone == b.cfg.Zone {
		return 1
	}
	return 1 + b.cfg.CrossZonePrice*crossZoneWeight
}

func (b *Balancer) updateEndpoint(now time.Duration, entry Endpoint) {
	i, ok := b.indexByAddr[entry.Addr]
	if !ok {
		if entry.State == Gone {
			return
		}
		if n := len(b.freeSlots); n > 0 {
			i, b.freeSlots = b.freeSlots[n-1], b.freeSlots[:n-1]
		} else {
			i = len(b.endpoints)
			b.endpoints = append(b.endpoints, endpoint{})
		}
		b.indexByAddr[entry.Addr] = i
		h := fnv.New64a() // the position on the ring, equal in all balancers
		h.Write([]byte(entry.Addr))
		b.endpoints[i] = endpoint{Endpoint: entry, hash: h.Sum64(), inFlight: b.endpoints[i].inFlight[:0]}
		b.endpoints[i].reset(now, b.rng.Float64())
		return
	}
	e := &b.endpoints[i]
	if entry.Since != e.Since {
		e.restarts++
		e.inFlight = e.inFlight[:0]
		e.reset(now, b.rng.Float64())
	}
	e.setState(now, entry.State)
	e.Endpoint = entry
}

const maxWatchDelay = 2500 * time.Millisecond // with a Watch call of 2 s, changes arrive within the required 6 s
const goneRetention = 30 * time.Second        // longer than a short outage of discovery

// freeGoneEndpoints frees the elements of gone endpoints to which no open request has an attempt.
func (b *Balancer) freeGoneEndpoints(now time.Duration) {
	for i := range b.endpoints {
		e := &b.endpoints[i]
		if e.Addr != "" && e.State == Gone && e.attemptRefs == 0 && now-e.goneAt >= goneRetention {
			delete(b.indexByAddr, e.Addr)
			e.Addr = ""
			b.freeSlots = append(b.freeSlots, i)
		}
	}
}

// scheduleWatch calls Actions.Watch after an exponential backoff with jitter.
func (b *Balancer) scheduleWatch() {
	if b.watchScheduled {
		return
	}
	b.watchScheduled = true
	delay := min(b.cfg.MaxWatchInterval/2, maxWatchDelay, max(500, 10*time.Duration(b.cfg.Instances))*time.Millisecond<<min(b.watchFailures, 8))
	b.actions.After(time.Duration(float64(delay)*(0.2+0.8*b.rng.Float64())), timerWatch)
}

// Request starts a client's request, which must get a response within budget.
func (b *Balancer) Request(now time.Duration, id RequestID, class, tenant int, budget time.Duration) {
	if class < 0 || class >= len(b.classes) || b.requests[id] != nil {
		return
	}
	r := &request{id: id, class: class, arrived: now, deadline: now + budget}
	b.requests[id] = r
	if b.cfg.Entry && !b.admit(now, r, tenant) && b.reject(r, now, RejectedByLimit) {
		return
	}
	b.setTimer(r, budget, timerDeadline)
	if target := b.cfg.Classes[class].LatencyTarget; b.cfg.Entry && target < budget {
		b.setTimer(r, target, timerLate)
	}
	b.requestRate.add(now, 1)
	b.dispatch(r, now)
}

// The retry budget grows with the served requests, so that retries cannot sustain an overload.
// It is small, so that a fleet has not saved up a burst of retries when an overload begins.
const (
	retriesPerServed  = 0.2                    // retries added per served request
	retryBurstWindow  = 200 * time.Millisecond // a full budget has as many retries as requests are served in this time
	minRetryBurst     = 5                      // least size of a full budget, for low request rates
	initialRetryDelay = 10 * time.Millisecond  // when the retry budget is used up and no endpoint was reached; doubled per attempt
)

// dispatch sends the next attempt of r, or holds r until an endpoint is ready. It reports
// whether it has sent one.
func (b *Balancer) dispatch(r *request, now time.Duration) (sent bool) {
	switch i := b.pick(r, now); {
	case i >= 0:
		switch {
		case b.hasTime(r, i, now):
			sent = b.send(r, i, now)
		case r.inFlight == 0 && !b.reject(r, now, RejectedForTime):
			sent = b.send(r, i, now)
		}
	case r.inFlight > 0:
	case len(r.attempts) > 0:
		b.rejectOrFail(r, now, RejectedNoEndpoint)
	default:
		if len(b.held) > 2*len(b.requests) { // no endpoint may become ready for hours
			b.held = slices.DeleteFunc(b.held, func(id RequestID) bool { return b.requests[id] == nil })
		}
		b.held = append(b.held, r.id)
		b.setTimer(r, (r.deadline-now)/2, timerHeld)
	}
	return sent
}

// hasTime reports whether at least half of the expected duration at endpoint i is left. Over a third of
// all calls take less than half of the endpoint's mean; with less time than that few succeed.
func (b *Balancer) hasTime(r *request, i int, now time.Duration) bool {
	return b.endpoints[i].mean(now)*b.durationRatio(r.class)/2 <= (r.deadline - now).Seconds()
}

// setTimer schedules a timer of the given kind for r.
func (b *Balancer) setTimer(r *request, d time.Duration, kind uint64) {
	b.actions.After(d, uint64(r.id)<<timerBits|kind)
}

// dispatchHeld dispatches the requests that were waiting for a ready endpoint.
func (b *Balancer) dispatchHeld(now time.Duration) {
	held := b.held
	b.held = nil
	for _, id := range held {
		if r := b.requests[id]; r != nil && !r.closed && len(r.attempts) == 0 {
			b.dispatch(r, now)
		}
	}
}

// maxConcurrentAttempts bounds the attempts of a request in flight if Config.AllowConcurrentAttempts
// is set.
const maxConcurrentAttempts = 2

// maySend reports whether r may be sent to endpoint i: the request is open and has time and
// attempts left, the endpoint is ready, and the request's idempotency and the cold budget permit it.
func (b *Balancer) maySend(r *request, i int, now time.Duration) bool {
	e := &b.endpoints[i]
	concurrent := 1
	if b.cfg.AllowConcurrentAttempts {
		concurrent = maxConcurrentAttempts
	}
	if r.closed || now >= r.deadline || len(r.attempts) >= b.cfg.AttemptLimit || e.State != Ready || r.inFlight >= concurrent {
		return false
	}
	return b.mayRepeat(r, e, now) && b.coldBudgetAllows(e, now)
}

// send starts an attempt if maySend permits it. No other code starts attempts.
func (b *Balancer) send(r *request, i int, now time.Duration) bool {
	if !b.maySend(r, i, now) {
		return false
	}
	e := &b.endpoints[i]
	ratio := b.durationRatio(r.class)
	e.inFlight = append(e.inFlight, attemptRef{r, len(r.attempts)})
	r.attempts = append(r.attempts, attempt{endpoint: i, sent: now, durationRatio: ratio, restarts: e.restarts})
	e.attemptRefs++
	r.inFlight++
	b.inFlight++
	e.coldTokens--
	e.sentAt = now
	e.peakConns[0] = max(e.openConns(now, b.cfg.IdleConnTimeout), (len(e.inFlight)+b.cfg.Multiplex-1)/b.cfg.Multiplex)
	b.actions.Send(r.id, e.Addr, r.deadline-now)
	return true
}

// reject rejects r if the client may repeat it at any endpoint, and reports whether it
// did. No other code rejects requests.
func (b *Balancer) reject(r *request, now time.Duration, reason RejectReason) bool {
	c := &b.cfg.Classes[r.class]
	harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DeduplicationScope == ScopeAll || r.firstMaybeRun() == nil
	if r.closed || !harmless {
		return false
	}
	b.metrics.Rejected[reason]++
	b.actions.Reject(r.id, b.retryAfter(r, now))
	b.closeRequest(r)
	return true
}

// retryAfter returns the time after which about a quarter of the attempts in flight have
// ended, by Little's law, with jitter so that clients do not repeat rejected requests together.
func (b *Balancer) retryAfter(r *request, now time.Duration) time.Duration {
	roundTrip := float64(b.inFlight) / max(b.servedRate.mean(now), 1)
	after := time.Duration(roundTrip / 4 * (0.5 + b.rng.Float64()) * float64(time.Second))
	return max(min(after, (r.deadline-now)/2), 0)
}

// fail fails r unless it is closed. No other code fails requests.
func (b *Balancer) fail(r *request) {
	if !r.closed {
		b.actions.Fail(r.id)
		b.closeRequest(r)
	}
}

// rejectOrFail rejects r if that is permitted, and fails it otherwise.
func (b *Balancer) rejectOrFail(r *request, now time.Duration, reason RejectReason) {
	if !b.reject(r, now, reason) {
		b.fail(r)
	}
}

// closeRequest closes r, and deletes it once none of its attempts is in flight.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if r.inFlight == 0 {
		for k := range r.attempts {
			b.endpoints[r.attempts[k].endpoint].attemptRefs--
		}
		delete(b.requests, r.id)
	}
}

// Outcome records the result and duration of an attempt, and retries or ends the request.
// If final is set, the request already has its response, from this attempt or another.
func (b *Balancer) Outcome(now time.Duration, id RequestID, number int, result Result, elapsed time.Duration, final bool) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].done {
		return
	}
	a := &r.attempts[number]
	a.done = true
	a.neverRan = result.neverRan()
	r.inFlight--
	b.inFlight--
	if a.shortBudget = b.judgeBudget(now, r, a, result); a.shortBudget != countsFully {
		b.metrics.ShortBudgetFailures++
	} else {
		b.recordHistory(now, r, a, result, elapsed)
	}
	b.recordOutcome(now, r, a, number, result, elapsed)
	if !a.late {
		b.admission.observe(b.isCongestion(now, r, a, result, elapsed), b.inFlight, b.servedRate.mean(now), b.inTargetConcurrency.mean(now))
	}
	delay := initialRetryDelay << min(len(r.attempts), 5)
	switch {
	case final || r.closed:
		b.closeRequest(r)
	case now < r.deadline && b.retryTokens >= 1:
		if b.dispatch(r, now) { // a request that may not be repeated takes no token from the others
			b.retryTokens--
		}
	case r.inFlight > 0:
	case now >= r.deadline:
		b.fail(r)
	case (result == ConnectError || result == NotSent) && now+2*delay-r.arrived <= min(b.cfg.Classes[r.class].LatencyTarget, r.deadline-r.arrived)/2:
		// When the retry budget is used up, only attempts that reached no endpoint are
		// retried, as they add no load.
		b.setTimer(r, time.Duration((1+b.rng.Float64())*float64(delay)), timerHeld)
	default:
		b.rejectOrFail(r, now, RejectedAfterFailure)
	}
}

// ResponsePaused records that the endpoint of an attempt has begun its response and paused. As it may
// go on, the attempt does not end. If the settings and the retry budget permit it, another attempt is made
// beside it.
func (b *Balancer) ResponsePaused(now time.Duration, id RequestID, number int) {
	r := b.requests[id]
	if r == nil || r.closed || number < 0 || number >= len(r.attempts) || r.attempts[number].done {
		return
	}
	a := &r.attempts[number]
	if e := &b.endpoints[a.endpoint]; a.restarts == e.restarts {
		e.failures.add(now, pauseFailure)
	}
	if !b.cfg.AllowConcurrentAttempts || b.retryTokens < 1 {
		return
	}
	if i := b.pick(r, now); i >= 0 && b.hasTime(r, i, now) && b.send(r, i, now) {
		b.retryTokens--
	}
}

// pauseFailure is what a pause inside a response counts as, compared with a failure.
const pauseFailure = 0.5

// recordOutcome adds an outcome to the measurements of its endpoint, zone and class.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, number int, result Result, elapsed time.Duration) {
	b.endpoints[a.endpoint].removeInFlight(attemptRef{r, number})
	switch {
	case result == OK:
		b.recordServed(now, r, a, elapsed)
	case a.shortBudget != neverServed:
		b.recordFailure(now, a, result, elapsed)
	}
}

func (b *Balancer) recordServed(now time.Duration, r *request, a *attempt, elapsed time.Duration) {
	e, class := &b.endpoints[a.endpoint], &b.cfg.Classes[r.class]
	b.servedRate.add(now, 1)
	b.retryTokens = min(b.retryTokens+retriesPerServed, max(minRetryBurst, b.servedRate.mean(now)*retryBurstWindow.Seconds()))
	b.inTargetConcurrency.add(now, class.LatencyTarget.Seconds())
	b.admission.servedCount++
	b.admission.servedSeconds += elapsed.Seconds()
	if a.restarts == e.restarts {
		b.recordSample(now, e, elapsed.Seconds()/a.durationRatio)
	}
	*b.zoneFailures(e.Zone) = failures{}
	c := &b.classes[r.class]
	if elapsed <= class.LatencyTarget {
		c.servedInTarget++
	}
	c.sampleCount = min(c.sampleCount+1, classWindow)
	c.meanSeconds += (elapsed.Seconds() - c.meanSeconds) / c.sampleCount
}

// recordSample adds a completed round trip to the measurements of an endpoint.
func (b *Balancer) recordSample(now time.Duration, e *endpoint, seconds float64) {
	e.servedAt = now
	if e.sampleCount > 0 {
		d := seconds*float64(e.sampleCount)/e.sampleSum - 1
		b.relativeVariance += (min(d*d, 4) - b.relativeVariance) / (classWindow / 4)
	}
	e.addSample(now, seconds)
	e.failures.recordSuccess(now)
}

func (b *Balancer) recordFailure(now time.Duration, a *attempt, result Result, elapsed time.Duration) {
	e := &b.endpoints[a.endpoint]
	if result == Error && !a.late {
		b.admission.failedCount++
		b.admission.failedSeconds += elapsed.Seconds()
	}
	if result == ConnectError || result == Timeout || result == Reset {
		b.zoneFailures(e.Zone).add(now, 1)
	}
	if a.restarts != e.restarts {
		return // the process that failed has been replaced
	}
	switch result {
	case Error: // counts half, as the cause may be a tier behind the endpoint
		e.failures.add(now, e.failures.count(now)+0.5)
	case Overloaded, Timeout, ConnectError, Reset:
		e.failures.add(now, 1)
	}
	if result == ConnectError {
		b.recordConnectError(e, now)
	}
}

// durationRatio returns the mean duration of a class divided by that of all classes. Durations
// are divided by it before comparison, as in the paper for requests of different cost.
func (b *Balancer) durationRatio(class int) float64 {
	sum, n := 0.0, 0.0
	for i := range b.classes {
		sum += b.classes[i].meanSeconds
		n += min(b.classes[i].sampleCount, 1)
	}
	c := &b.classes[class]
	if c.sampleCount == 0 || c.meanSeconds <= 0 {
		return 1
	}
	return c.meanSeconds * n / sum
}

// Cancelled closes a request that the client has cancelled.
func (b *Balancer) Cancelled(_ time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.closed {
		b.closeRequest(r)
	}
}

// Close rejects or fails all open requests. It is called before the process ends.
func (b *Balancer) Close(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		b.rejectOrFail(b.requests[id], now, RejectedOnClose)
	}
}

// Timer handles a timer that was scheduled with Actions.After.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token == timerWatch {
		b.watchScheduled = false
		b.actions.Watch()
		return
	}
	r, kind := b.requests[RequestID(token>>timerBits)], token&(1<<timerBits-1)
	switch {
	case r == nil || r.closed:
	case kind == timerLate:
		b.markLate(now, r)
	case kind == timerDeadline:
		b.rejectOrFail(r, now, RejectedAtDeadline)
	case len(r.attempts) == 0:
		b.rejectOrFail(r, now, RejectedNoEndpoint)
	case r.inFlight == 0: // a delayed retry
		b.dispatch(r, now)
	}
}
