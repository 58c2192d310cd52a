// Package pool runs the load balancing of one service. A Pool connects a Balancer with the
// connections to the service's nodes, the source of its node list and its limits: frontends
// submit requests, the Balancer decides, and the Pool carries out its decisions.
package pool

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/bytebudget"
	"gorselink/internal/clock"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// Config holds the settings of a Pool.
type Config struct {
	Name    string
	Seed    uint64 // for the random choices of the Balancer
	Balance balance.Config
	Zones   map[string]int // zone numbers by name; nil numbers zones in order of appearance, OwnZone first
	OwnZone string
	Known   discovery.List // the last known list, which may be outdated
	Source  discovery.Source
	Limits  Limits

	Ages  *Ages       // ages of the endpoints in Known, from the previous Pool; nil if there was none
	Clock clock.Clock // the zero value reads the system clocks
}

// Limits bound the resources of a Pool. They can change while it serves.
type Limits struct {
	Requests  int   // open requests, from the complete request to the written answer; 0 for no limit
	BodyBytes int64 // memory for request bodies
	LongBytes int64 // memory for request bodies over 64 KiB; 0 if they share BodyBytes
}

// Pool balances the requests to the nodes of one service.
type Pool struct {
	cfg        Config
	conns      *upstream.Pool
	clock      clock.Clock
	start      time.Time // Balancer time 0
	bodies     bytebudget.Budget
	longBodies bytebudget.Budget

	maxRequests  atomic.Int64 // Limits.Requests
	openRequests atomic.Int64 // requests between Submit and Done
	meanOpenNs   atomic.Int64 // mean time that a request is open, in ns
	newSources   chan discovery.Source

	startWall time.Time // wall-clock time at start, for converting the timestamps of lists

	mu           sync.Mutex // guards the following fields and the marked ones of Request
	balancer     *balance.Balancer
	requests     map[balance.RequestID]*Request // requests without an answer
	lastID       balance.RequestID
	classes      map[balance.Class]int // class numbers
	retired      bool
	hasList      bool
	listVersion  uint64 // see nodes.List.Index
	known        map[string]discovery.Endpoint
	balancerView map[string]balance.Endpoint    // known endpoints as last given to the Balancer
	formerNames  []string                       // names of endpoints that left the list, see Knows
	isFormerName map[string]bool                // the names in formerNames
	disabled     map[string]time.Duration       // endpoints that operators have disabled, and since when in Balancer time
	reenabled    map[string]disabledPeriod      // endpoints that were disabled; the list may not have reported a restart yet
	incarnations map[string]incarnation         // of the endpoints in known
	departed     map[string]departedIncarnation // of endpoints that recently left the list
	lastSync     time.Duration                  // when the list was last known to be current, or never
	undated      bool                           // the source of the list does not know start times
	zones        map[string]int
	watchWanted  bool      // the Balancer requested a watch before there was a source
	sources      []*source // the source in use and, after SetSource, the one to replace it
	timers       timerQueue
	stats        Stats
	lastReported Stats // as of the last Report
	abnormalEnds int   // requests that ended abnormally since the last Report
}

// Request is a request for a Pool.
type Request struct {
	Class       int // number from ClassNumber
	Tenant      int // -1 for none
	Budget      time.Duration
	Outgoing    upstream.Request
	Resubmitted bool   // the pool may have had the request before, so it accepts it even when retired
	OnFinished  func() // called once when nothing more is sent and no attempt is pending

	ResponseChan chan Response // receives the answer and needs a free slot; Submit creates it if it is nil

	// Caller, unless it is nil, is checked for a disconnect right before each attempt.
	Caller Caller

	// CallID is the caller's name for the request, for the log only.
	CallID string

	id          balance.RequestID
	submittedAt time.Time
	call        upstream.Call // ends when nothing more may be sent for the request
	first       attempt       // the attempt that RunFirstAttempt makes
	hasFirst    bool          // first is set

	// Guarded by Pool.mu.
	submitting     bool // Submit is in progress
	attempts       int
	pending        int // attempts without an outcome
	answered       bool
	withdrawn      bool
	detached       bool               // see detach
	errorAnswer    *upstream.Response // the last error answer of a node
	verdict        Outcome            // set when answered
	attemptRecords []attemptRecord    // for the log, if the request may end abnormally
}

// Caller is the sender of a request.
type Caller interface {
	// Disconnected reports whether the caller has gone away. It must be safe for concurrent use.
	Disconnected() bool
}

// Verdict tells how a request ended.
type Outcome int

const (
	Served     Outcome = iota // a node answered
	Rejected                  // the request had no effect and can be repeated safely
	Failed                    // a node answered with an error, or none could be reached
	TimedOut                  // the budget was exhausted; an attempt may still run
	CallerGone                // the caller disconnected
)

// Answer is the only answer to a Request. The receiver must release Upstream.
type Response struct {
	Outcome    Outcome
	Upstream   *upstream.Response // set with Served, and with Failed if a node answered
	RetryAfter time.Duration      // with Refused; 0 for none
}

// Errors of Submit. Nothing was sent for the request.
var (
	ErrFull    = errors.New("pool has reached its limit of open requests")
	ErrRetired = errors.New("pool has been replaced")
)

// New returns a Pool that sends over conns and starts with the list cfg.Known. It follows its
// source once Run is called. The Pool does not close conns, which later Pools may use.
func New(cfg Config, conns *upstream.Pool) (*Pool, error) {
	p := &Pool{
		cfg:          cfg,
		conns:        conns,
		clock:        cfg.Clock,
		start:        cfg.Clock.Now(),
		newSources:   make(chan discovery.Source, 1),
		requests:     map[balance.RequestID]*Request{},
		classes:      map[balance.Class]int{},
		known:        map[string]discovery.Endpoint{},
		balancerView: map[string]balance.Endpoint{},
		isFormerName: map[string]bool{},
		disabled:     map[string]time.Duration{},
		reenabled:    map[string]disabledPeriod{},
		incarnations: map[string]incarnation{},
		departed:     map[string]departedIncarnation{},
		lastSync:     never,
		zones:        cfg.Zones,
	}
	if p.zones == nil {
		p.zones = map[string]int{cfg.OwnZone: 0}
	}
	p.startWall = cfg.Clock.Wall()
	p.SetLimits(cfg.Limits)
	var err error
	if p.balancer, err = balance.New(cfg.Balance, cfg.Seed, (*balancerHost)(p)); err != nil {
		return nil, fmt.Errorf("pool %s: %w", cfg.Name, err)
	}
	for i, class := range cfg.Balance.Classes {
		p.classes[class] = i
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restoreAges(cfg.Ages)
	p.cfg.Ages = nil // frees the memory
	p.applyList(balance.Cached, cfg.Known)
	return p, nil
}

// Name returns the name of the service.
func (p *Pool) Name() string { return p.cfg.Name }

// Conns returns the connections that the Pool sends over.
func (p *Pool) Conns() *upstream.Pool { return p.conns }

// Bodies returns the memory budget for request bodies.
func (p *Pool) BodyBudget() *bytebudget.Budget { return &p.bodies }

// LongBodies returns the memory budget for request bodies over 64 KiB. If its total is 0 they
// share the budget of Bodies.
func (p *Pool) LongBodyBudget() *bytebudget.Budget { return &p.longBodies }

// Streams reports whether a body that does not fit into the memory budget is streamed to the
// node.
func (p *Pool) StreamingEnabled() bool { return p.conns.StreamingEnabled() }

// SetLimits changes the limits. Requests and memory beyond the new limits are kept until they
// end or are released.
func (p *Pool) SetLimits(l Limits) {
	p.maxRequests.Store(int64(l.Requests))
	p.bodies.SetTotal(l.BodyBytes)
	p.longBodies.SetTotal(l.LongBytes)
}

// ClassNumber returns the number of a class, and adds the class to the Balancer if it is new.
func (p *Pool) ClassNumber(class balance.Class) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.classes[class]; ok {
		return i, nil
	}
	i, err := p.balancer.AddClass(class)
	if err != nil {
		return 0, fmt.Errorf("pool %s: %w", p.cfg.Name, err)
	}
	p.classes[class] = i
	return i, nil
}

// Reconfigure gives the Balancer new settings; on an error it changes none. The classes stay
// the same: ClassNumber adds new ones.
func (p *Pool) Reconfigure(cfg balance.Config) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.balancer.Reconfigure(cfg); err != nil {
		return fmt.Errorf("pool %s: %w", p.cfg.Name, err)
	}
	p.cfg.Balance = cfg
	return nil
}

// ClassCount returns the number of classes that the Balancer has, used or not.
func (p *Pool) ClassCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.classes)
}

// HasList reports whether a list with any node has ever been received.
func (p *Pool) HasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasList
}

// OpenRequests returns the number of open requests.
func (p *Pool) OpenRequests() int { return int(p.openRequests.Load()) }

// Full reports whether the limit of open requests is reached. It takes no lock.
func (p *Pool) Full() bool {
	maxOpen := p.maxRequests.Load()
	return maxOpen > 0 && p.openRequests.Load() >= maxOpen
}

// Bounds of RetryAfter: long enough that rejected callers do not all retry at once, and no
// longer than users wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// RetryAfter returns when a full pool is likely to accept requests again: when about a quarter
// of the open requests should have ended.
func (p *Pool) RetryAfter() time.Duration {
	return min(max(time.Duration(p.meanOpenNs.Load())/4, minRetryAfter), maxRetryAfter)
}

// CountFull counts a request that was rejected before it was complete because the pool was
// full.
func (p *Pool) CountFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Full++
}

// now returns the Balancer time. The caller holds the mutex, so that the Balancer never sees
// time go backwards.
func (p *Pool) now() time.Duration { return p.clock.Since(p.start) }

// Submit gives a request to the Balancer, or returns ErrFull or ErrRetired. A request that was
// accepted is answered once on Answer. The caller must call RunFirstAttempt for it, and Done
// at its end.
func (p *Pool) Submit(r *Request) error {
	if r.ResponseChan == nil {
		r.ResponseChan = make(chan Response, 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	switch {
	case p.retired && !r.Resubmitted:
		err = ErrRetired
	case p.Full():
		p.stats.Full++
		err = ErrFull
	}
	if err != nil {
		return err
	}
	p.openRequests.Add(1)
	p.lastID++
	r.id = p.lastID
	r.submittedAt = time.Now()
	p.requests[r.id] = r
	p.stats.Submitted++
	r.submitting = true
	p.balancer.Request(p.now(), r.id, r.Class, r.Tenant, r.Budget)
	r.submitting = false
	return nil
}

// Answer returns the channel that receives the answer to a submitted request.
func (r *Request) Response() <-chan Response { return r.ResponseChan }

// meanOpenSamples is the number of samples over which meanOpenNs is averaged.
const meanOpenSamples = 16

// Done must be called when the answer to r has been written or cannot be written.
func (p *Pool) Done(r *Request) {
	mean := p.meanOpenNs.Load() // a concurrent update may be lost, which is harmless
	p.meanOpenNs.Store(mean + (int64(time.Since(r.submittedAt))-mean)/meanOpenSamples)
	p.openRequests.Add(-1)
	p.logAbnormalEnd(r)
}

// Withdraw tells the Balancer that the caller of r has disconnected. Pending attempts
// continue: a caller that has closed only its sending side still receives their answer.
func (p *Pool) Cancel(r *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.answered || r.detached || r.withdrawn {
		return
	}
	r.withdrawn = true
	r.call.End()
	delete(p.requests, r.id)
	p.stats.Cancelled++
	p.balancer.Cancelled(p.now(), r.id)
	p.finishIfDone(r)
}

// Retire makes Submit return ErrRetired for all but resubmitted requests. Open requests
// continue.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
}

// Reactivate undoes Retire.
func (p *Pool) Reactivate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = false
}

// Close answers all open requests at once, for a process that exits. It also cuts off pending
// attempts, because the goroutine that writes the answer may be running the attempt.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		r.call.Abort()
	}
	p.balancer.Close(p.now())
	for _, r := range p.requests { // detached requests, which the Balancer does not know
		p.stats.Failed++
		p.deliver(r, Response{Outcome: TimedOut})
		p.finishIfDone(r)
	}
}

// finishIfDone finishes r if no attempt is pending: it answers a withdrawn request and calls
// OnFinished for an answered one. The caller holds the mutex.
func (p *Pool) finishIfDone(r *Request) {
	if r.pending > 0 {
		return
	}
	if r.withdrawn {
		p.deliver(r, Response{Outcome: CallerGone})
	}
	if r.answered && r.OnFinished != nil {
		r.OnFinished()
		r.OnFinished = nil
	}
}

// deliver sends the answer to r unless it has one, and reports whether it did. Nothing is sent
// to nodes for r afterwards. The caller holds the mutex.
func (p *Pool) deliver(r *Request, a Response) bool {
	if r.answered {
		return false
	}
	r.answered, r.verdict = true, a.Outcome
	if r.errorAnswer != nil && r.errorAnswer != a.Upstream {
		r.errorAnswer.Release()
	}
	r.errorAnswer = nil
	r.call.End()
	delete(p.requests, r.id)
	r.ResponseChan <- a
	return true
}

// attempt is an attempt that the Balancer has requested.
type attempt struct {
	pool          *Pool
	request       *Request
	number        int
	node          string
	sent, timeout time.Duration
}

// RunFirstAttempt makes the first attempt for a submitted request, if the Balancer wants one
// at once, and returns after its outcome. Using the goroutine of the submitter saves one for
// most requests; later and concurrent attempts run in goroutines of their own.
func (p *Pool) RunFirstAttempt(r *Request) {
	if r.hasFirst {
		p.runAttempt(r, &r.first)
	}
}

// runAttempt makes one attempt and reports its outcome to the Balancer.
func (p *Pool) runAttempt(r *Request, a *attempt) {
	if u := r.Outgoing.Upload; u != nil {
		u.ResponseTimeout = r.Budget
		u.Commit = func() bool { return p.detach(r, a) }
	}
	// The deadline is a point in time that counts from a.sent, because this goroutine may
	// start late and the process may be suspended after the Balancer has read the clock.
	deadline := p.start.Add(a.sent + a.timeout)
	if end := r.submittedAt.Add(r.Budget); end.Before(deadline) {
		deadline = end
	}
	up, result := p.conns.Do(&r.call, a.node, &r.Outgoing, deadline, a)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.detached {
		p.stats.Results[result]++
		p.finishUpload(r, up, result)
		return
	}
	now := p.now()
	r.pending--
	p.stats.Results[result]++
	p.recordAttempt(r, a, result, now)
	elapsed := now - a.sent
	if up != nil {
		elapsed -= up.LocalDelay // delays on this machine do not count against the node
	}
	switch {
	case up == nil:
	case r.answered:
		up.Release()
	case result == balance.OK:
		p.stats.Served++
		p.deliver(r, Response{Outcome: Served, Upstream: up})
	default:
		if r.errorAnswer != nil {
			r.errorAnswer.Release()
		}
		r.errorAnswer = up
	}
	over := r.answered || r.withdrawn
	p.balancer.Outcome(now, r.id, a.number, result, elapsed, over)
	p.finishIfDone(r)
}

// confirmInterval is how long a decision of the Balancer, or a check of the caller, stays valid.
const confirmInterval = 10 * time.Millisecond

// Confirm implements upstream.Confirmer. It checks the caller as the last step before each
// attempt, because no attempt may begin 0.1 s or more after the caller has disconnected, and
// the goroutine that watches the caller may not have run. If the checks take longer than
// confirmInterval they are repeated.
func (a *attempt) Confirm() bool {
	for {
		began := time.Now()
		if !a.stillValid(began) {
			return false
		}
		if a.request.Caller != nil && a.request.Caller.Disconnected() {
			a.pool.Cancel(a.request)
			return false
		}
		if time.Since(began) < confirmInterval {
			return true
		}
	}
}

// stillValid reports whether the decision for the attempt still holds. While a connection is
// established, the node may begin to drain, or the time in which it drops a repeat may end.
func (a *attempt) stillValid(now time.Time) bool {
	p := a.pool
	if now.Sub(p.start)-a.sent < confirmInterval {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Confirm(p.now(), a.request.id, a.number)
}

// balancerHost implements balance.Host for a Pool. Its methods are called with the mutex held
// and do not block.
type balancerHost Pool

// Send implements balance.Host.
func (h *balancerHost) Send(id balance.RequestID, addr string, timeout time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	a := attempt{pool: p, request: r, number: r.attempts, node: addr, sent: p.now(), timeout: timeout}
	if r.attempts++; r.attempts == 1 {
		p.stats.FirstAttempts++
	} else {
		p.stats.LaterAttempts++
	}
	r.pending++
	if r.submitting && !r.hasFirst {
		r.first, r.hasFirst = a, true
		return
	}
	own := a
	go p.runAttempt(r, &own)
}

// Refuse implements balance.Host.
func (h *balancerHost) Reject(id balance.RequestID, retryAfter time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	if r.errorAnswer != nil && r.pending == 0 { // the node's error answer tells the caller more
		h.Fail(id)
		return
	}
	p.stats.Rejected++
	p.deliver(r, Response{Outcome: Rejected, RetryAfter: retryAfter})
	p.finishIfDone(r)
}

// Fail implements balance.Host.
func (h *balancerHost) Fail(id balance.RequestID) {
	p := (*Pool)(h)
	r := p.requests[id]
	p.stats.Failed++
	switch {
	case r.pending > 0:
		p.deliver(r, Response{Outcome: TimedOut})
	default:
		p.deliver(r, Response{Outcome: Failed, Upstream: r.errorAnswer})
	}
	p.finishIfDone(r)
}

// Watch implements balance.Host.
func (h *balancerHost) Watch() {
	h.watchWanted = len(h.sources) == 0 // Run has not started
	for _, src := range h.sources {
		select {
		case src.watchRequests <- struct{}{}:
		default: // a request is already queued
		}
	}
}
