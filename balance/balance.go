// Package balance makes the decisions of a load balancer that sits beside a
// caller: which endpoint gets an attempt, when to try again, when to refuse.
//
// A Balancer is told what happens by method calls that carry the time, and acts through
// a Host. It does no I/O, keeps no clock and starts nothing; the same events and seed
// give the same actions. It is not safe for concurrent use. The rule for an ordinary
// request is the ratio approach of Küting et al., "Client-Based Adaptive Load Balancing
// in Service-Oriented Systems"; see docs/design.md.
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

// RequestID names a request; ids must be unique and below 1<<60.
type RequestID uint64

// Semantics tells what repeating a request does.
type Semantics int

const (
	Safe   Semantics = iota // any number of repeats is harmless
	Keyed                   // a group of endpoints drops repeats for a while
	Unsafe                  // must never run twice
)

// Scope is the group of endpoints that drops the repeats of a Keyed request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class holds the settings of one class of requests.
type Class struct {
	LatencyTarget       time.Duration // an answer within it earns full worth; 0 means Deadline
	Deadline            time.Duration // the client's whole patience
	Semantics           Semantics
	Scope               Scope
	DeduplicationWindow time.Duration // how long a Keyed repeat is dropped
	Worth               float64
	LateWorth           float64 // part of Worth that an answer after Aim earns
}

// Config holds the settings of a Balancer.
type Config struct {
	Index                   int // this instance among the tier's balancers
	Instances               int // how many balancers share the tier
	Zone                    int
	Classes                 []Class
	Entry                   bool      // clients send here, not balancers of a tier above
	TenantQuotas            []float64 // requests a second within each tenant's share, over all instances; 0 means no share
	AttemptLimit            int
	AllowConcurrentAttempts bool // two attempts of a request may be out at once

	CrossZonePrice   float64 // points of the goal, as a part of 1, for a crossing per request
	WorstClassWeight float64 // part of the goal that is the worst served class's share, 0 to 1
	OverQuotaWorth   float64 // worth of a request beyond its tenant's share

	ColdShare      float64       // an endpoint starts at this share of its capacity, or more
	RampTime       time.Duration // and has all of it after this
	OverloadWindow time.Duration // span over which a cold endpoint's load is judged
	OverloadFactor float64       // so many times its capacity for that long pushes it over; 0 if not known

	IdleConnTimeout time.Duration // idle connections close after this
	Multiplex       int           // attempts that share a connection

	PullDiscovery    bool          // lists come only after Watch
	MaxWatchInterval time.Duration // ask again at least this often while not watching
}

func (c *Config) validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("balance: Classes: none given")
	case min(c.Instances, c.AttemptLimit, c.Multiplex) < 1:
		return fmt.Errorf("balance: Instances, AttemptLimit, Multiplex: %d, %d, %d, want 1 or more", c.Instances, c.AttemptLimit, c.Multiplex)
	case c.Index < 0 || c.Index >= c.Instances:
		return fmt.Errorf("balance: Index: %d, want 0 to Instances-1", c.Index)
	case min(c.WorstClassWeight, c.ColdShare) < 0 || max(c.WorstClassWeight, c.ColdShare) > 1:
		return fmt.Errorf("balance: WorstClassWeight, ColdShare: %v, %v, want 0 to 1", c.WorstClassWeight, c.ColdShare)
	case c.RampTime < 0 || c.OverloadWindow < 0 || c.OverloadFactor < 0:
		return errors.New("balance: RampTime, OverloadFor and FallMultiple: want 0 or more")
	case c.PullDiscovery && c.MaxWatchInterval <= 0:
		return errors.New("balance: AskWithin: want more than 0 where AskDiscovery is set")
	}
	return nil
}

// Host carries out a Balancer's actions. Its methods must not call back.
type Host interface {
	// Send starts the request's next attempt; attempts count from 0. The time-out
	// is all that is left: a shorter one doubles the load when it is high.
	Send(id RequestID, addr string, timeout time.Duration)
	// Refuse ends the request, telling the client that a repeat is harmless.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends the request with no promise.
	Fail(id RequestID)
	// After asks for a Timer event with this token.
	After(d time.Duration, token uint64)
	// Watch subscribes to changes of the endpoint list.
	Watch()
}

// State is what the list says of an endpoint.
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
	Since time.Duration // start of the process; 0 means long ago
}

// ListKind tells how to read a Members event.
type ListKind int

const (
	Delta      ListKind = iota // changed entries only
	Full                       // all entries; what is missing is gone
	Cached                     // all entries, maybe outdated
	ListFailed                 // asking failed, the old list stands
)

// Result tells how an attempt ended.
type Result int

const (
	OK           Result = iota
	Error               // the endpoint answered with an error; it may have run
	Overloaded          // turned away unseen
	Timeout             // no answer in time; it may have run or still run
	ConnectError        // no connection; it never ran
	Reset               // the connection broke; it may have run
	Cancelled           // withdrawn; it may have run
	NotSent             // never transmitted
)

func (r Result) neverRan() bool { return r == Overloaded || r == ConnectError || r == NotSent }

type attempt struct {
	endpoint       int
	sent           time.Duration
	ratio          float64 // of its class, see Balancer.ratio
	done, neverRan bool
	late           bool // its aim passed while it was out, and the door knows
}

type request struct {
	id                RequestID
	class             int
	arrived, deadline time.Duration
	attempts          []attempt
	out               int
	closed            bool
}

func (r *request) tried(i int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == i })
}

// firstRun is the first attempt that may have run or may still, or nil.
func (r *request) firstRun() *attempt {
	for k := range r.attempts {
		if !r.attempts[k].neverRan {
			return &r.attempts[k]
		}
	}
	return nil
}

// classStats learns how long a class takes beside the others.
type classStats struct {
	mean, n float64

	asked, served float64 // decaying counts at the door and of answers in time

	usual time.Duration // budget that most requests come with
	votes int           // for it
}

const classMemory = 200 // samples over which a class's mean forgets, four times as many as the spread

// Balancer decides for one caller. Make it with New.
type Balancer struct {
	cfg  Config
	host Host
	rng  *rand.Rand

	eps           []endpoint
	byAddr        map[string]int
	spare         []int // places in eps that are free again
	local         int   // how many of ready come first as of the own zone; all where crossings cost nothing
	zones         []failures
	ready         []int            // endpoints that the list calls ready, by hash: the ring of subsets
	draws         [2]time.Duration // when the last two were made from a subset
	memory        time.Duration    // how long round trips are remembered
	spread        float64          // variance of a round trip over the square of its endpoint's mean
	own           [2]int           // length of the last subset's stretch, by part of the ring
	subsetLength  int              // of both, or of all that is ready until a subset is gathered
	walked        float64          // sum of growth over the stretch that is being gathered
	warmth        float64          // its mean, averaged over the time, as is
	lengthMean    float64          // subsetLength
	averagedAt    time.Duration    // when they and outMean were
	averageWeight float64          // of the averages before that in them
	anyWarm       bool             // the last subset had an endpoint that was warm
	warmSeen      bool             // the stretch that is being gathered has one

	requests map[RequestID]*request
	held     []RequestID // waiting for an endpoint

	outTotal    int // attempts without an outcome
	outMean     float64
	door        admission
	classes     []classStats
	servedRate  rate
	askedRate   rate
	aimRate     rate // of served requests, each counted with its aim in seconds: how many can be out and be in time
	cands       []candidate
	total       float64
	retryTokens float64
	watchFails  int
	watchDue    bool
}

// Kinds of timer, in the low bits of a token.
const (
	timerDeadline = iota
	timerHeld
	timerWatch
	timerLate
	timerBits = 3
)

// New returns a Balancer for cfg whose random draws come from seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if host == nil {
		return nil, errors.New("balance: nil Host")
	}
	b := &Balancer{
		host: host, retryTokens: retryLeast,
		rng:        rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byAddr:     map[string]int{},
		spread:     1,
		warmth:     1,
		averagedAt: -10 * rateSpan, // nothing was served yet
		requests:   map[RequestID]*request{},
	}
	for _, c := range cfg.Classes {
		if _, err := b.AddClass(c); err != nil {
			return nil, err
		}
	}
	return b, b.Reconfigure(cfg)
}

// Retune takes up new settings, all or none; classes and what has been learnt stand.
func (b *Balancer) Reconfigure(cfg Config) error {
	cfg.Classes = b.cfg.Classes
	if err := cfg.validate(); err != nil {
		return err
	}
	b.cfg, b.door.quotas = cfg, nil
	for _, perSecond := range cfg.TenantQuotas {
		b.door.quotas = append(b.door.quotas, quota{perSecond: perSecond / float64(cfg.Instances)})
	}
	return nil
}

// Learnt is of a class or an endpoint: its mean in seconds, of how many samples, failures.
type Estimate struct{ Mean, N, Failures float64 }

// Memory is what a Balancer has learnt, for one that goes on in its place.
type Snapshot struct {
	Limit, Served, InAim float64
	Classes              []Estimate
	Endpoints            map[string]Estimate
}

// Memory tells what has been learnt by now.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{b.door.limit, b.servedRate.mean(now), b.aimRate.mean(now), nil, map[string]Estimate{}}
	for i := range b.classes {
		m.Classes = append(m.Classes, Estimate{Mean: b.classes[i].mean, N: b.classes[i].n})
	}
	for addr, i := range b.byAddr {
		e := &b.eps[i]
		m.Endpoints[addr] = Estimate{e.sum / max(1, float64(e.n)), float64(e.n), e.failures.count(now)}
	}
	return m
}

// Recall takes up what another Balancer has learnt, as far as it knows of it.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.door.limit = m.Limit
	b.servedRate, b.aimRate = rateOf(now, m.Served), rateOf(now, m.InAim)
	b.warmth, b.averagedAt = 1, now // all may have been warm when that was served
	for i := range b.classes[:min(len(b.classes), len(m.Classes))] {
		b.classes[i].mean, b.classes[i].n = m.Classes[i].Mean, m.Classes[i].N
	}
	for addr, l := range m.Endpoints {
		if i, ok := b.byAddr[addr]; ok {
			for range min(int(l.N), windowSize) {
				b.eps[i].addSample(now, l.Mean)
			}
			b.eps[i].failures.add(now, l.Failures)
		}
	}
}

// AddClass makes room for one more class and returns its number; all that is learnt stands.
func (b *Balancer) AddClass(c Class) (int, error) {
	i := len(b.classes)
	switch {
	case c.Deadline <= 0 || c.LatencyTarget < 0:
		return 0, fmt.Errorf("balance: Classes[%d]: Deadline %v and Aim %v, want a Deadline above 0 and no negative Aim", i, c.Deadline, c.LatencyTarget)
	case c.Semantics < Safe || c.Semantics > Unsafe || c.Scope < ScopeAll || c.Scope > ScopeCell:
		return 0, fmt.Errorf("balance: Classes[%d]: unknown Semantics or Scope", i)
	case c.LatencyTarget == 0:
		c.LatencyTarget = c.Deadline
	}
	b.cfg.Classes, b.classes = append(b.cfg.Classes, c), append(b.classes, classStats{})
	return i, nil
}

// Members takes a list of endpoints, or the news that asking for it failed.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Endpoint) {
	if kind == ListFailed {
		b.watchFails++
		b.watchLater()
		return
	}
	if kind == Full || kind == Cached {
		for i := range b.eps {
			b.eps[i].list(now, Gone)
		}
	}
	for _, entry := range list {
		b.member(now, entry)
	}
	b.forget(now)
	b.ready, b.local = b.ready[:0], 0
	for i := range b.eps {
		if b.eps[i].State == Ready {
			b.ready = append(b.ready, i)
			if b.crossing(i) == 1 {
				b.local++
			}
		}
	}
	if b.subsetLength == 0 {
		b.subsetLength = len(b.ready)
	}
	// By hash, the own zone first where crossings are priced.
	slices.SortFunc(b.ready, func(i, k int) int {
		return cmp.Or(cmp.Compare(b.crossing(i), b.crossing(k)), cmp.Compare(b.eps[i].hash, b.eps[k].hash))
	})
	if kind != Cached {
		b.watchFails = 0
	} else if b.cfg.PullDiscovery {
		b.watchLater()
	}
	b.release(now)
}

// crossing is what an endpoint's mean is multiplied by for the price of its zone.
func (b *Balancer) crossing(i int) float64 {
	if b.eps[i].Zone == b.cfg.Zone {
		return 1
	}
	return 1 + b.cfg.CrossZonePrice*crossingWeight
}

func (b *Balancer) member(now time.Duration, entry Endpoint) {
	i, ok := b.byAddr[entry.Addr]
	if !ok {
		if entry.State == Gone {
			return
		}
		if n := len(b.spare); n > 0 {
			i, b.spare = b.spare[n-1], b.spare[:n-1]
		} else {
			i = len(b.eps)
			b.eps = append(b.eps, endpoint{})
		}
		b.byAddr[entry.Addr] = i
		h := fnv.New64a() // its place on the ring, on which all balancers agree
		h.Write([]byte(entry.Addr))
		b.eps[i] = endpoint{Endpoint: entry, hash: h.Sum64(), flights: b.eps[i].flights[:0]}
		b.eps[i].restart(now, b.rng.Float64())
		return
	}
	e := &b.eps[i]
	if entry.Since != e.Since {
		e.restart(now, b.rng.Float64())
	}
	e.list(now, entry.State)
	e.Endpoint = entry
}

const watchMost = 2500 * time.Millisecond // with the 2 s of a call well within the 6 s after which a change counts as told
const goneMemory = 30 * time.Second       // what a hiccup of discovery drops comes back well within it

// forget frees places of endpoints that are gone, once no request has an attempt there.
func (b *Balancer) forget(now time.Duration) {
	for i := range b.eps {
		e := &b.eps[i]
		if e.Addr != "" && e.State == Gone && e.refs == 0 && now-e.goneAt >= goneMemory {
			delete(b.byAddr, e.Addr)
			e.Addr = ""
			b.spare = append(b.spare, i)
		}
	}
}

// watchLater asks for the list after a delay that doubles, spread over the fleet.
func (b *Balancer) watchLater() {
	if b.watchDue {
		return
	}
	b.watchDue = true
	delay := min(b.cfg.MaxWatchInterval/2, watchMost, max(500, 10*time.Duration(b.cfg.Instances))*time.Millisecond<<min(b.watchFails, 8))
	b.host.After(time.Duration(float64(delay)*(0.2+0.8*b.rng.Float64())), timerWatch)
}

// Request takes a client's request that must be answered within budget.
func (b *Balancer) Request(now time.Duration, id RequestID, class, tenant int, budget time.Duration) {
	if class < 0 || class >= len(b.classes) || b.requests[id] != nil {
		return
	}
	r := &request{id: id, class: class, arrived: now, deadline: now + budget}
	b.requests[id] = r
	if b.cfg.Entry && !b.enter(now, r, tenant) && b.refuse(r, now) {
		return
	}
	b.after(r, budget, timerDeadline)
	if aim := b.cfg.Classes[class].LatencyTarget; b.cfg.Entry && aim < budget {
		b.after(r, aim, timerLate)
	}
	b.askedRate.add(now, 1)
	b.try(r, now)
}

// A retry budget: where nothing is served, further attempts are what keeps it so.
const (
	retryShare = 0.2                    // retries for each request that is served
	retrySpan  = 200 * time.Millisecond // of what is served may be saved up as retries: a fleet must not have saved up a storm
	retryLeast = 5                      // that a stream however thin may save up
	retryDelay = 10 * time.Millisecond  // the first wait where no connection came up, doubled each time
)

// try sends the next attempt of r if an endpoint can take it, or holds r.
func (b *Balancer) try(r *request, now time.Duration) {
	switch i := b.pick(r, now); {
	case i >= 0:
		// Over a third of all calls take less than half of the endpoint's mean: less is hopeless.
		if b.eps[i].mean(now)*b.ratio(r.class)/2 <= (r.deadline-now).Seconds() || !b.refuse(r, now) {
			b.send(r, i, now)
		}
	case r.out > 0:
	case len(r.attempts) > 0:
		b.giveUp(r, now)
	default:
		if len(b.held) > 2*len(b.requests) { // a list may not come for hours
			b.held = slices.DeleteFunc(b.held, func(id RequestID) bool { return b.requests[id] == nil })
		}
		b.held = append(b.held, r.id)
		b.after(r, (r.deadline-now)/2, timerHeld)
	}
}

// after asks for a timer of r.
func (b *Balancer) after(r *request, d time.Duration, kind uint64) {
	b.host.After(d, uint64(r.id)<<timerBits|kind)
}

// release tries the held requests again.
func (b *Balancer) release(now time.Duration) {
	held := b.held
	b.held = nil
	for _, id := range held {
		if r := b.requests[id]; r != nil && !r.closed && len(r.attempts) == 0 {
			b.try(r, now)
		}
	}
}

// maySend is the condition of every send: open and in time, within the attempt limit, to
// a ready endpoint, as semantics and cold budget permit. send checks it again.
func (b *Balancer) maySend(r *request, i int, now time.Duration) bool {
	e := &b.eps[i]
	if r.closed || now >= r.deadline || len(r.attempts) >= b.cfg.AttemptLimit || e.State != Ready || r.out > 0 && !b.cfg.AllowConcurrentAttempts {
		return false
	}
	return b.mayRepeat(r, e, now) && b.coldAllowed(e, now)
}

// mayRepeat tells whether the semantics of r allow an attempt at e.
func (b *Balancer) mayRepeat(r *request, e *endpoint, now time.Duration) bool {
	c, a := &b.cfg.Classes[r.class], r.firstRun()
	if c.Semantics == Safe || a == nil {
		return true
	}
	was := &b.eps[a.endpoint]
	return c.Semantics == Keyed && now-a.sent < c.DeduplicationWindow &&
		(c.Scope != ScopeZone || e.Zone == was.Zone) && (c.Scope != ScopeCell || e.Cell == was.Cell)
}

// send is the one gate through which every attempt leaves.
func (b *Balancer) send(r *request, i int, now time.Duration) bool {
	if !b.maySend(r, i, now) {
		return false
	}
	e := &b.eps[i]
	ratio := b.ratio(r.class)
	e.flights = append(e.flights, flight{r, len(r.attempts)})
	r.attempts = append(r.attempts, attempt{endpoint: i, sent: now, ratio: ratio})
	e.refs++
	r.out++
	b.outTotal++
	e.tokens--
	e.sentAt = now
	e.peaks[0] = max(e.open(now, b.cfg.IdleConnTimeout), (len(e.flights)+b.cfg.Multiplex-1)/b.cfg.Multiplex)
	b.host.Send(r.id, e.Addr, r.deadline-now)
	return true
}

// Confirm tells whether an attempt that could not begin at once may still begin.
func (b *Balancer) Confirm(now time.Duration, id RequestID, number int) bool {
	r := b.requests[id]
	if r == nil || r.closed || now >= r.deadline {
		return false
	}
	a := &r.attempts[number]
	a.neverRan = true // so far: it is not what it would repeat
	defer func() { a.neverRan = false }()
	return b.eps[a.endpoint].State == Ready && b.mayRepeat(r, &b.eps[a.endpoint], now)
}

// refuse is the gate for refusals: while a repeat is harmless anywhere.
func (b *Balancer) refuse(r *request, now time.Duration) bool {
	c := &b.cfg.Classes[r.class]
	harmless := c.Semantics == Safe || c.Semantics == Keyed && c.Scope == ScopeAll || r.firstRun() == nil
	if r.closed || !harmless {
		return false
	}
	b.host.Refuse(r.id, b.comeBack(r, now))
	b.end(r)
	return true
}

// comeBack is when a refused client may find room: once about a quarter of what
// is out has ended (Little's law), spread so that they do not come together.
func (b *Balancer) comeBack(r *request, now time.Duration) time.Duration {
	roundTrip := float64(b.outTotal) / max(b.servedRate.mean(now), 1)
	after := time.Duration(roundTrip / 4 * (0.5 + b.rng.Float64()) * float64(time.Second))
	return max(min(after, (r.deadline-now)/2), 0)
}

// fail is the one gate for failures.
func (b *Balancer) fail(r *request) {
	if !r.closed {
		b.host.Fail(r.id)
		b.end(r)
	}
}

func (b *Balancer) giveUp(r *request, now time.Duration) {
	if !b.refuse(r, now) {
		b.fail(r)
	}
}

// end closes r; its record goes once its last attempt has an outcome.
func (b *Balancer) end(r *request) {
	r.closed = true
	if r.out == 0 {
		for k := range r.attempts {
			b.eps[r.attempts[k].endpoint].refs--
		}
		delete(b.requests, r.id)
	}
}

// Outcome tells how an attempt ended, how long it took, and whether the
// request has its final answer (by this outcome or before).
func (b *Balancer) Outcome(now time.Duration, id RequestID, number int, result Result, elapsed time.Duration, over bool) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].done {
		return
	}
	a := &r.attempts[number]
	a.done = true
	a.neverRan = result.neverRan()
	r.out--
	b.outTotal--
	b.learn(now, r, a, number, result, elapsed)
	if !a.late {
		b.door.observe(b.congestion(now, r, a, result, elapsed), b.outTotal, b.servedRate.mean(now), b.aimRate.mean(now))
	}
	delay := retryDelay << min(len(r.attempts), 5)
	switch {
	case over || r.closed:
		b.end(r)
	case now < r.deadline && b.retryTokens >= 1:
		b.retryTokens--
		b.try(r, now)
	case r.out > 0:
	case now >= r.deadline:
		b.fail(r)
	case (result == ConnectError || result == NotSent) && now+2*delay-r.arrived <= min(b.cfg.Classes[r.class].LatencyTarget, r.deadline-r.arrived)/2:
		// Out of budget: what reached no endpoint waits its turn, which costs none of them anything.
		b.after(r, time.Duration((1+b.rng.Float64())*float64(delay)), timerHeld)
	default:
		b.giveUp(r, now)
	}
}

// learn books an outcome with its endpoint and class.
func (b *Balancer) learn(now time.Duration, r *request, a *attempt, number int, result Result, elapsed time.Duration) {
	e := &b.eps[a.endpoint]
	e.land(flight{r, number})
	switch result {
	case OK:
		b.servedRate.add(now, 1)
		b.retryTokens = min(b.retryTokens+retryShare, max(retryLeast, b.servedRate.mean(now)*retrySpan.Seconds()))
		b.aimRate.add(now, b.cfg.Classes[r.class].LatencyTarget.Seconds())
		b.door.ok, b.door.took = b.door.ok+1, b.door.took+elapsed.Seconds()
		e.servedAt = now
		took := elapsed.Seconds() / a.ratio
		if e.n > 0 {
			d := took*float64(e.n)/e.sum - 1
			b.spread += (min(d*d, 4) - b.spread) / (classMemory / 4)
		}
		e.addSample(now, took)
		e.failures.served(now)
		*b.zoneFailures(e.Zone) = failures{}
		c := &b.classes[r.class]
		if elapsed <= b.cfg.Classes[r.class].LatencyTarget {
			c.served++
		}
		c.n = min(c.n+1, classMemory)
		c.mean += (elapsed.Seconds() - c.mean) / c.n
	case Error: // may be the fault of a tier behind, or come from all alike: one alone says little
		e.failures.add(now, e.failures.count(now)+0.5)
		if !a.late {
			b.door.failed, b.door.lost = b.door.failed+1, b.door.lost+elapsed.Seconds()
		}
	case Overloaded, Timeout, ConnectError, Reset:
		e.failures.add(now, 1)
	}
	if result == ConnectError || result == Timeout || result == Reset {
		b.zoneFailures(e.Zone).add(now, 1)
	}
	if result == ConnectError {
		b.noConn(e, now)
	}
}

// ratio is how much longer a class takes than the mean class. The paper's own
// remedy for requests of different cost: times are scaled before comparison.
func (b *Balancer) ratio(class int) float64 {
	sum, n := 0.0, 0.0
	for i := range b.classes {
		sum += b.classes[i].mean
		n += min(b.classes[i].n, 1)
	}
	c := &b.classes[class]
	if c.n == 0 || c.mean <= 0 {
		return 1
	}
	return c.mean * n / sum
}

// Withdrawn tells that the client has left.
func (b *Balancer) Withdrawn(_ time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.closed {
		b.end(r)
	}
}

// Close gives up all that is open: the process ends before it could be answered.
func (b *Balancer) Close(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		b.giveUp(b.requests[id], now)
	}
}

// Timer tells that a timer asked for with After is due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token == timerWatch {
		b.watchDue = false
		b.host.Watch()
		return
	}
	r, kind := b.requests[RequestID(token>>timerBits)], token&(1<<timerBits-1)
	switch {
	case r == nil || r.closed:
	case kind == timerLate:
		b.noteLate(now, r)
	case kind == timerDeadline || len(r.attempts) == 0:
		b.giveUp(r, now)
	case r.out == 0: // held
		b.try(r, now)
	}
}
