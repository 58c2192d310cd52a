// Package pool balances the requests to one service. A Pool combines a Balancer with the
// connections to the service's endpoints, the source of its endpoint list and its limits: HTTP
// servers submit requests, the Balancer decides, and the Pool carries out the decisions.
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
	Zones   map[string]int // zone numbers by name; if nil, zones are numbered as they appear in lists, OwnZone first
	OwnZone string
	Known   discovery.List // the last known list, which may be outdated
	Source  discovery.Source
	Limits  Limits

	Ages  *Ages       // from the previous Pool, with Known as its list; nil if there was none
	Clock clock.Clock // the zero value is the system clocks
}

// Limits bound the resources of a Pool. They can change while it serves.
type Limits struct {
	Requests  int   // requests between Submit and Done; 0 for no limit
	BodyBytes int64 // memory for request bodies
	LongBytes int64 // memory for request bodies over 64 KiB; if 0, they use BodyBytes too
}

// Pool balances the requests to the endpoints of one service.
type Pool struct {
	cfg        Config
	conns      *upstream.Pool
	clock      clock.Clock
	start      time.Time // Balancer time 0
	bodies     bytebudget.Budget
	longBodies bytebudget.Budget

	maxRequests  atomic.Int64 // Limits.Requests
	openRequests atomic.Int64 // requests between Submit and Done
	meanOpenNs   atomic.Int64 // moving average of the time between Submit and Done, in ns
	newSources   chan discovery.Source

	startWall time.Time // wall-clock time at start, for converting the timestamps of lists

	mu           sync.Mutex // guards the following fields and the marked ones of Request
	balancer     *balance.Balancer
	requests     map[balance.RequestID]*Request // requests without a response
	lastID       balance.RequestID
	classes      map[balance.Class]int // class numbers
	retired      bool
	hasList      bool
	listVersion  uint64                         // see discovery.List.Index
	known        map[string]discovery.Endpoint  // the current list by name
	balancerView map[string]balance.Endpoint    // known endpoints as last passed to the Balancer
	formerNames  []string                       // names of endpoints that left the list, oldest first; see EverListed
	isFormerName map[string]bool                // the names in formerNames
	disabled     map[string]time.Duration       // endpoints that operators have disabled, and since when in Balancer time
	reenabled    map[string]disabledPeriod      // endpoints that were enabled again, until the list must have reported any restart
	incarnations map[string]incarnation         // of the endpoints in known
	departed     map[string]departedIncarnation // of endpoints that recently left the list
	lastSync     time.Duration                  // when the list was last known to be current, or never
	undated      bool                           // the current list has no start times, see discovery.List.Undated
	zones        zoneNumbers
	watchWanted  bool      // the Balancer has requested a watch before Run set the first source
	sources      []*source // the source in use, followed by its replacement while that has no list
	timers       timerQueue
	stats        Stats
	lastReported Stats // as of the last Report
	closing      bool  // Close has been called
	abnormalEnds int   // requests that ended abnormally since the last Report
}

// Request is a request for a Pool.
type Request struct {
	Class       int // number from ClassNumber
	Tenant      int // -1 for none
	Budget      time.Duration
	Outgoing    upstream.Request
	Resubmitted bool   // may have been submitted to this Pool before, so a retired Pool accepts it
	OnFinished  func() // called once when the response is delivered and no attempt is pending

	ResponseChan chan Response // receives the response and needs a free slot; Submit creates it if it is nil

	// Caller is checked for a disconnect right before each attempt, unless it is nil.
	Caller Caller

	// CallID is the caller's identifier of the request, for the log only.
	CallID string

	// WriteError is why the response could not be written completely, for the log only. It may be
	// set before Done.
	WriteError error

	id          balance.RequestID
	submittedAt time.Time
	call        upstream.Call // ends when no more attempts may be sent
	first       attempt       // the attempt that RunFirstAttempt makes
	hasFirst    bool          // first is set

	// Guarded by Pool.mu.
	submitting     bool // Submit is in progress
	attempts       int
	pending        int // attempts without an outcome
	responded      bool
	cancelled      bool
	detached       bool               // removed from the Balancer, see detach
	errorResponse  *upstream.Response // the last error response of an endpoint
	outcome        Outcome            // set with responded
	held           int                // pending attempts whose response is held back
	postponed      *Response          // what the Balancer responds, unless a response that is held back is passed on
	attemptRecords []attemptRecord    // for the log, if the request may end abnormally
}

// Caller is the sender of a request.
type Caller interface {
	// Disconnected reports whether the caller has disconnected. It must be safe for concurrent use.
	Disconnected() bool
}

// Outcome is how a request ended.
type Outcome int

const (
	Served     Outcome = iota // an endpoint responded
	Rejected                  // the caller may safely repeat the request
	Failed                    // an endpoint responded with an error, or none could be reached
	TimedOut                  // the budget was exhausted; an attempt may still run
	CallerGone                // the caller disconnected
)

// Response is the only response to a Request. The receiver must release Upstream.
type Response struct {
	Outcome    Outcome
	Upstream   *upstream.Response // set with Served, and with Failed if an endpoint responded
	RetryAfter time.Duration      // with Rejected; 0 for none
}

// Errors of Submit. Nothing was sent for the request.
var (
	ErrFull    = errors.New("pool has reached its limit of open requests")
	ErrRetired = errors.New("pool has been replaced")
)

// New returns a Pool that sends over conns and starts with the list cfg.Known. Run makes it
// follow its source. The Pool does not close conns, so that later Pools can use them.
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
		zones:        newZoneNumbers(cfg.Zones, cfg.OwnZone, cfg.Balance.Zone),
	}
	p.startWall = cfg.Clock.Wall()
	p.SetLimits(cfg.Limits)
	var err error
	if p.balancer, err = balance.New(cfg.Balance, cfg.Seed, (*balancerActions)(p)); err != nil {
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

// BodyBudget returns the memory budget for request bodies.
func (p *Pool) BodyBudget() *bytebudget.Budget { return &p.bodies }

// LongBodyBudget returns the memory budget for request bodies over 64 KiB. If its total is 0,
// they use BodyBudget.
func (p *Pool) LongBodyBudget() *bytebudget.Budget { return &p.longBodies }

// StreamingEnabled reports whether a request body that does not fit into the memory budget is
// streamed to the endpoint.
func (p *Pool) StreamingEnabled() bool { return p.conns.StreamingEnabled() }

// SetLimits changes the limits. Open requests and reserved memory beyond the new limits remain
// until the requests end.
func (p *Pool) SetLimits(l Limits) {
	p.maxRequests.Store(int64(l.Requests))
	p.bodies.SetTotal(l.BodyBytes)
	p.longBodies.SetTotal(l.LongBytes)
}

// ClassNumber returns the number of a class. It adds the class to the Balancer if it is new.
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

// Reconfigure changes the settings of the Balancer, or none after an error. It does not change
// the classes, which ClassNumber adds. zones are the zones of the new settings by name; cfg.Zone is
// the index of one of them.
func (p *Pool) Reconfigure(cfg balance.Config, zones map[string]int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cfg.Zone = p.zones.reconfigure(zones, cfg.Zone)
	if err := p.balancer.Reconfigure(cfg); err != nil {
		return fmt.Errorf("pool %s: %w", p.cfg.Name, err)
	}
	p.cfg.Balance = cfg
	return nil
}

// ClassCount returns the number of classes of the Balancer, including unused ones.
func (p *Pool) ClassCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.classes)
}

// HasList reports whether a non-empty list has ever been received.
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

// Bounds of RetryAfter: the minimum keeps rejected callers from retrying at once, and users do
// not wait longer than the maximum.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// RetryAfter returns the delay after which a full Pool is likely to accept requests again. It
// is a quarter of the mean duration of a request, in which about a quarter of the open requests
// end.
func (p *Pool) RetryAfter() time.Duration {
	return min(max(time.Duration(p.meanOpenNs.Load())/4, minRetryAfter), maxRetryAfter)
}

// CountFull counts a request that was rejected because the Pool was full, before Submit was
// called for it.
func (p *Pool) CountFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Full++
}

// now returns the Balancer time. The caller holds the mutex, so that the times passed to the
// Balancer never decrease.
func (p *Pool) now() time.Duration { return p.clock.Since(p.start) }

// Submit passes a request to the Balancer, or returns ErrFull or ErrRetired. An accepted request
// gets one response, on the channel of Response. The caller must then call RunFirstAttempt, and
// Done at the end.
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

// Response returns the channel that receives the response to a submitted request.
func (r *Request) Response() <-chan Response { return r.ResponseChan }

// meanOpenSamples is the number of samples by which the moving average meanOpenNs is smoothed.
const meanOpenSamples = 16

// Done must be called when the response to r has been written or cannot be written.
func (p *Pool) Done(r *Request) {
	mean := p.meanOpenNs.Load() // a concurrent update may be lost, which is harmless
	p.meanOpenNs.Store(mean + (int64(time.Since(r.submittedAt))-mean)/meanOpenSamples)
	p.openRequests.Add(-1)
	p.logAbnormalEnd(r)
}

// Cancel ends r because its caller has disconnected. Pending attempts continue until Abort: a
// caller that has closed only its sending side still receives their response.
func (p *Pool) Cancel(r *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.responded || r.detached || r.cancelled {
		return
	}
	r.cancelled = true
	r.call.End()
	delete(p.requests, r.id)
	p.stats.Cancelled++
	p.balancer.Cancelled(p.now(), r.id)
	p.finishIfDone(r)
}

// Abort ends the pending attempts of r at once, because the connection of its caller, who has
// disconnected, is needed for another. r then gets its response.
func (p *Pool) Abort(r *Request) { r.call.Abort() }

// Retire makes Submit return ErrRetired for all but resubmitted requests. Open requests
// continue.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
}

// Reactivate makes Submit accept all requests again after Retire.
func (p *Pool) Reactivate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = false
}

// Close responds to all open requests at once. It is called when the process exits. It aborts
// pending attempts, because the goroutine that writes the response may be running the attempt.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, r := range p.requests {
		r.call.Abort()
	}
	p.balancer.Close(p.now())
	for _, r := range p.requests { // detached requests, which are unknown to the Balancer
		p.stats.Failed++
		p.deliver(r, Response{Outcome: TimedOut})
		p.finishIfDone(r)
	}
}

// finishIfDone finishes r if no attempt is pending: it delivers CallerGone for a cancelled
// request without a response, and calls OnFinished. The caller holds the mutex.
func (p *Pool) finishIfDone(r *Request) {
	if r.pending > 0 {
		return
	}
	if r.cancelled {
		p.deliver(r, Response{Outcome: CallerGone})
	}
	if r.responded && r.OnFinished != nil {
		r.OnFinished()
		r.OnFinished = nil
	}
}

// deliver sends the response to r to its channel, unless r has one, and reports whether it did.
// Afterwards nothing more is sent to endpoints for r. The caller holds the mutex.
func (p *Pool) deliver(r *Request, response Response) bool {
	if r.responded {
		return false
	}
	r.responded, r.outcome = true, response.Outcome
	if r.errorResponse != nil && r.errorResponse != response.Upstream {
		r.errorResponse.Release()
	}
	r.errorResponse = nil
	r.call.End()
	delete(p.requests, r.id)
	r.ResponseChan <- response
	return true
}

// attempt is an attempt that the Balancer has requested.
type attempt struct {
	pool          *Pool
	request       *Request
	number        int
	endpoint      string
	sent, timeout time.Duration
	failure       error // why there is no usable response; nil if none was due
	held          bool  // counted in request.held
}

// RunFirstAttempt makes the first attempt for a submitted request and waits for its outcome, if
// the Balancer has started one during Submit. It runs in the goroutine of the caller, which
// saves a goroutine for most requests. Later and concurrent attempts run in their own.
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
	// The deadline counts from a.sent and not from now, because this goroutine may start late
	// and the process may be suspended after the Balancer has read the clock.
	deadline := p.start.Add(a.sent + a.timeout)
	if end := r.submittedAt.Add(r.Budget); end.Before(deadline) {
		deadline = end
	}
	up, result := p.conns.Do(&r.call, a.endpoint, &r.Outgoing, deadline, a)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.detached {
		a.releaseHeld()
		p.stats.Results[result]++
		p.finishUpload(r, up, result)
		return
	}
	now := p.now()
	r.pending--
	p.stats.Results[result]++
	if errors.Is(a.failure, upstream.ErrDeliveryTooLate) {
		p.stats.Undelivered++
	}
	p.recordAttempt(r, a, result, now)
	elapsed := now - a.sent
	if up != nil {
		elapsed -= up.LocalDelay + up.HoldDelay
		if up.HoldDelay > 0 {
			p.stats.PassedOn++
		}
	}
	switch {
	case up == nil:
	case r.responded:
		up.Release()
	case result == balance.OK:
		if a != &r.first {
			r.call.Abort() // the goroutine that writes the response may be running the first attempt
		}
		p.stats.Served++
		p.deliver(r, Response{Outcome: Served, Upstream: up})
	default:
		if r.errorResponse != nil {
			r.errorResponse.Release()
		}
		r.errorResponse = up
	}
	a.releaseHeld()
	ended := r.responded || r.cancelled
	p.balancer.Outcome(now, r.id, a.number, result, elapsed, ended)
	p.finishIfDone(r)
}

// confirmInterval is how long a decision of the Balancer, or a check of the caller, stays valid.
const confirmInterval = 10 * time.Millisecond

// Confirm implements upstream.Confirmer. It checks the caller right before each attempt, because
// no attempt may begin 0.1 s or more after the caller has disconnected, and the goroutine that
// watches the caller may not have run yet. If the checks take longer than confirmInterval, they
// are repeated.
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
// established, the endpoint may begin to drain, or the deduplication window of a retry may end.
func (a *attempt) stillValid(now time.Time) bool {
	p := a.pool
	if now.Sub(p.start)-a.sent < confirmInterval {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Confirm(p.now(), a.request.id, a.number)
}

// balancerActions implements balance.Actions for a Pool. Its methods are called with the mutex held
// and do not block.
type balancerActions Pool

// Send implements balance.Actions. The first attempt made during Submit is only stored here;
// RunFirstAttempt runs it. All other attempts start at once.
func (h *balancerActions) Send(id balance.RequestID, addr string, timeout time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	a := attempt{pool: p, request: r, number: r.attempts, endpoint: addr, sent: p.now(), timeout: timeout}
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

// Reject implements balance.Actions.
func (h *balancerActions) Reject(id balance.RequestID, retryAfter time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	if r.errorResponse != nil && r.pending == 0 { // the caller learns more from the endpoint's error response
		h.Fail(id)
		return
	}
	p.respond(r, Response{Outcome: Rejected, RetryAfter: retryAfter})
}

// Fail implements balance.Actions.
func (h *balancerActions) Fail(id balance.RequestID) {
	p := (*Pool)(h)
	r := p.requests[id]
	if r.pending > 0 {
		p.respond(r, Response{Outcome: TimedOut})
		return
	}
	p.respond(r, Response{Outcome: Failed, Upstream: r.errorResponse})
}

// Watch implements balance.Actions.
func (h *balancerActions) Watch() {
	h.watchWanted = len(h.sources) == 0 // Run has not set a source yet
	for _, src := range h.sources {
		select {
		case src.watchRequests <- struct{}{}:
		default: // a request is already queued
		}
	}
}
