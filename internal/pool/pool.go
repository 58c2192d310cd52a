// Package pool runs one service: its Balancer, the connections to its nodes,
// the source of its node list and its limits. Fronts hand it requests; it
// drives the Balancer with what happens and carries out what the Balancer
// decides. Pools share nothing but the process.
package pool

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/clock"
	"gorselink/internal/limit"
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// Config is what a Pool is made of.
type Config struct {
	Name    string
	Seed    uint64 // of the Balancer's draws
	Balance balance.Config
	Zones   map[string]int // by name; nil to number zones as they appear, from OwnZone on
	OwnZone string
	Known   nodes.List // as last known, maybe outdated
	Source  nodes.Source
	Limits  Limits

	Ages  *Ages       // of what Known lists, from the Pool before; nil for none
	Clock clock.Clock // the system's unless a test sets another
}

// Limits bound what a Pool takes at once. They can change while it serves.
type Limits struct {
	Requests  int   // that are open, from the whole request to the written answer; 0 for no bound
	BodyBytes int64 // memory for request bodies
	LongBytes int64 // memory for those over 64 KiB; 0 for none of their own
}

// Pool balances the requests to the nodes of one service.
type Pool struct {
	cfg    Config
	conns  *upstream.Pool
	clock  clock.Clock
	start  time.Time // the Balancer's time 0
	bodies limit.Bytes
	long   limit.Bytes

	most  atomic.Int64 // Limits.Requests
	open  atomic.Int64 // requests taken and not Done
	held  atomic.Int64 // mean time that one is open, in ns
	moves chan nodes.Source

	startWall time.Time // the wall clock at start, by which the stamps of lists are read

	mu       sync.Mutex // guards what follows and all in a Request that says so
	balancer *balance.Balancer
	requests map[balance.RequestID]*Request // those that are owed an answer
	lastID   balance.RequestID
	classes  map[balance.Class]int // numbers of classes, for Class
	retired  bool
	listed   bool
	version  uint64 // of the list as it is known, see nodes.List.Index
	known    map[string]nodes.Endpoint
	entered  map[string]balance.Endpoint // of them, as the Balancer was told
	past     []string                    // names of some that are gone, see Knows
	passed   map[string]bool             // those in past
	out      map[string]time.Duration    // left out by hand, since when by the Balancer's time
	back     map[string]returned         // were out, and the list may not have dated their start yet
	lives    map[string]life             // of the endpoints in known
	left     map[string]departed         // lives of some that have left the list lately
	heard    time.Duration               // when discovery last told that the list is up to date; never before
	undated  bool                        // the list is of a source that cannot know when a process started
	zones    map[string]int
	wanted   bool      // a watch was wanted before there was a source
	sources  []*source // followed: the one that tells and, after Move, the one to take over
	alarms   alarms
	stats    Stats
	reported Stats // what the last Report has told
	wrongs   int   // ends of requests that were wrong since then, see tell
}

// Request is a request that a Pool is given.
type Request struct {
	Class       int // of the Pool's
	Tenant      int // -1 for none
	Budget      time.Duration
	Outgoing    upstream.Request
	Resubmitted bool   // may have been here before, and belongs to this pool even when retired
	OnFinished  func() // called once when nothing is sent any more and no attempt is out

	Reply chan Answer // takes the one answer, with room for it; made if it is nil

	// Caller is asked, unless it is nil, whether it is still there right before each attempt.
	Caller Caller

	// Name is what the caller calls the request, for the log alone.
	CallID string

	id    balance.RequestID
	taken time.Time
	call  upstream.Call // ends once nothing more may be sent for the request
	first attempt       // that the caller's goroutine is to make, see Attempt
	mine  bool          // there is one

	// Guarded by Pool.mu.
	taking    bool // Take is under way
	attempts  int
	pending   int // attempts without an outcome
	answered  bool
	withdrawn bool
	detached  bool               // see detach
	own       *upstream.Response // what the last node said that failed
	verdict   Verdict            // once answered
	trail     []step             // attempts, of a request that may end wrongly
}

// Caller is who sent a request.
type Caller interface {
	// Left tells whether it has gone away. It may be called beside all else.
	Disconnected() bool
}

// Verdict is how a request ended.
type Verdict int

const (
	Served     Verdict = iota // by a node's answer
	Refused                   // it had no effect; a repeat is harmless
	Failed                    // by a node's error, or by none that could be reached
	TimedOut                  // its time was up, and an attempt may still run
	CallerGone                // the caller had gone
)

// Answer is the one answer to a Request. Who gets one must release Up.
type Answer struct {
	Verdict    Verdict
	Upstream   *upstream.Response // with Served and, if a node made one, with Failed
	RetryAfter time.Duration      // with Refused; 0 for none
}

// Why a Pool does not take a request; nothing was sent for it.
var (
	ErrFull    = errors.New("the pool has all the requests that it may hold open")
	ErrRetired = errors.New("the pool has been replaced")
)

// New returns a Pool that sends over conns and starts from the known list. It
// does not follow its source before Run. Connections may be used by one Pool
// after another, and are closed by neither.
func New(cfg Config, conns *upstream.Pool) (*Pool, error) {
	p := &Pool{
		cfg:      cfg,
		conns:    conns,
		clock:    cfg.Clock,
		start:    cfg.Clock.Now(),
		moves:    make(chan nodes.Source, 1),
		requests: map[balance.RequestID]*Request{},
		classes:  map[balance.Class]int{},
		known:    map[string]nodes.Endpoint{},
		entered:  map[string]balance.Endpoint{},
		passed:   map[string]bool{},
		out:      map[string]time.Duration{},
		back:     map[string]returned{},
		lives:    map[string]life{},
		left:     map[string]departed{},
		heard:    never,
		zones:    cfg.Zones,
	}
	if p.zones == nil {
		p.zones = map[string]int{cfg.OwnZone: 0}
	}
	p.startWall = cfg.Clock.Wall()
	p.SetLimits(cfg.Limits)
	var err error
	if p.balancer, err = balance.New(cfg.Balance, cfg.Seed, (*host)(p)); err != nil {
		return nil, fmt.Errorf("pool %s: %w", cfg.Name, err)
	}
	for i, c := range cfg.Balance.Classes {
		p.classes[c] = i
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recallAges(cfg.Ages)
	p.cfg.Ages = nil // not to be held for the life of the Pool
	p.update(balance.Cached, cfg.Known)
	return p, nil
}

// Name is the name of the service.
func (p *Pool) Name() string { return p.cfg.Name }

// Conns are the connections that the Pool sends over.
func (p *Pool) Conns() *upstream.Pool { return p.conns }

// Bodies is the memory for request bodies.
func (p *Pool) Bodies() *limit.Bytes { return &p.bodies }

// LongBodies is the memory for request bodies over 64 KiB; without a size they
// share that of the others.
func (p *Pool) LongBodies() *limit.Bytes { return &p.long }

// Streams tells whether a body that finds no room is sent on while it comes.
func (p *Pool) Streams() bool { return p.conns.StreamingEnabled() }

// Limit changes the limits. What is held beyond them ends by itself.
func (p *Pool) SetLimits(l Limits) {
	p.most.Store(int64(l.Requests))
	p.bodies.SetTotal(l.BodyBytes)
	p.long.SetTotal(l.LongBytes)
}

// Class returns the number of a class, which the Balancer learns of if it is
// new. What it has learnt of the others stands.
func (p *Pool) ClassNumber(c balance.Class) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.classes[c]; ok {
		return i, nil
	}
	i, err := p.balancer.AddClass(c)
	if err != nil {
		return 0, fmt.Errorf("pool %s: %w", p.cfg.Name, err)
	}
	p.classes[c] = i
	return i, nil
}

// Retune gives the Balancer new settings, all or none. Its classes stand; new
// ones come by Class.
func (p *Pool) Reconfigure(cfg balance.Config) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.balancer.Retune(cfg); err != nil {
		return fmt.Errorf("pool %s: %w", p.cfg.Name, err)
	}
	p.cfg.Balance = cfg
	return nil
}

// Classes is how many classes the Balancer knows, used or not.
func (p *Pool) ClassCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.classes)
}

// Listed tells whether any node has ever been told.
func (p *Pool) HasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// Open is how many requests are open.
func (p *Pool) OpenRequests() int { return int(p.open.Load()) }

// Full tells, without a lock, whether Take would find no room.
func (p *Pool) Full() bool {
	most := p.most.Load()
	return most > 0 && p.open.Load() >= most
}

// Times that a caller who found the pool full is told: not so short that all
// come back at once, nor longer than people wait.
const (
	fullLeast = 100 * time.Millisecond
	fullMost  = 5 * time.Second
)

// RetryAfter is when a pool that is full may have room: when about a quarter of
// what is open should have ended.
func (p *Pool) RetryAfter() time.Duration {
	return min(max(time.Duration(p.held.Load())/4, fullLeast), fullMost)
}

// NoteFull counts a request that was turned away because the pool was full
// before it was whole.
func (p *Pool) CountFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Full++
}

// now is the Balancer's time. It is read under the mutex, so that the Balancer
// never sees it run back.
func (p *Pool) now() time.Duration { return p.clock.Since(p.start) }

// Take hands a request to the Balancer, or tells why not. One that was taken is
// answered once over Answer, needs a call of Attempt, which may be the first
// attempt, and must be given back with Done.
func (p *Pool) Submit(r *Request) error {
	if r.Reply == nil {
		r.Reply = make(chan Answer, 1)
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
	p.open.Add(1)
	p.lastID++
	r.id = p.lastID
	r.taken = time.Now()
	p.requests[r.id] = r
	p.stats.Taken++
	r.taking = true
	p.balancer.Request(p.now(), r.id, r.Class, r.Tenant, r.Budget)
	r.taking = false
	return nil
}

// Answer is where the one answer to a request that was taken comes.
func (r *Request) Answer() <-chan Answer { return r.Reply }

// heldMemory is over how many requests the mean time that one is open forgets.
const heldMemory = 16

// Done tells that the answer to r has been written, or cannot be.
func (p *Pool) Done(r *Request) {
	mean := p.held.Load() // two at once may lose one of them, which harms nothing
	p.held.Store(mean + (int64(time.Since(r.taken))-mean)/heldMemory)
	p.open.Add(-1)
	p.tell(r)
}

// Withdraw tells the Balancer that the client of r has gone away. Attempts
// that are out go on: a client that has only closed its sending side can still
// be given their answer, and nothing else is lost by waiting for it.
func (p *Pool) Withdraw(r *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.answered || r.detached || r.withdrawn {
		return
	}
	r.withdrawn = true
	r.call.End()
	delete(p.requests, r.id)
	p.stats.Withdrawn++
	p.balancer.Withdrawn(p.now(), r.id)
	p.settle(r)
}

// Retire ends the Pool for new requests: Take gives ErrRetired but for those
// that come again. What is open goes on.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
}

// Revive takes Retire back.
func (p *Pool) Reactivate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = false
}

// Close answers all requests that are open at once: the process ends before their
// own time is up. Attempts that are out are cut, as the goroutine that answers may
// be the one that makes the attempt.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		r.call.Abort()
	}
	p.balancer.Close(p.now())
	for _, r := range p.requests { // those that the Balancer has no say in, see detach
		p.stats.Failed++
		p.give(r, Answer{Verdict: TimedOut})
		p.settle(r)
	}
}

// settle ends what can be ended of r; the mutex is held.
func (p *Pool) settle(r *Request) {
	if r.pending > 0 {
		return
	}
	if r.withdrawn {
		p.give(r, Answer{Verdict: CallerGone})
	}
	if r.answered && r.OnFinished != nil {
		r.OnFinished()
		r.OnFinished = nil
	}
}

// give gives r its answer and tells whether it is the first; the mutex is
// held. Nothing is sent for r from here on.
func (p *Pool) give(r *Request, a Answer) bool {
	if r.answered {
		return false
	}
	r.answered, r.verdict = true, a.Verdict
	if r.own != nil && r.own != a.Upstream {
		r.own.Release()
	}
	r.own = nil
	r.call.End()
	delete(p.requests, r.id)
	r.Reply <- a
	return true
}

// attempt is one that the Balancer wants made.
type attempt struct {
	pool          *Pool
	of            *Request
	number        int
	node          string
	sent, timeout time.Duration
}

// Attempt makes the first attempt for a request that Take has taken, if the
// Balancer wants one at once, and returns with its outcome. Whoever gave the
// request has a goroutine that would only wait; with it the common request costs
// none of its own. Later attempts, and those beside the first, have theirs.
func (p *Pool) RunFirstAttempt(r *Request) {
	if r.mine {
		p.attempt(r, &r.first)
	}
}

// attempt makes one attempt and tells the Balancer how it ended.
func (p *Pool) attempt(r *Request, a *attempt) {
	if u := r.Outgoing.Upload; u != nil {
		u.ResponseTimeout = r.Budget
		u.Commit = func() bool { return p.detach(r, a) }
	}
	// An instant, as this goroutine may not have got to run at once; and counted from before
	// the Balancer read the clock, as the process may have been held up after that.
	deadline := p.start.Add(a.sent + a.timeout)
	if end := r.taken.Add(r.Budget); end.Before(deadline) {
		deadline = end
	}
	up, result := p.conns.Do(&r.call, a.node, &r.Outgoing, deadline, a)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.detached {
		p.stats.Results[result]++
		p.uploaded(r, up, result)
		return
	}
	now := p.now()
	r.pending--
	p.stats.Results[result]++
	p.trace(r, a, result, now)
	elapsed := now - a.sent
	if up != nil {
		elapsed -= up.LocalDelay // it is none of the node's
	}
	switch {
	case up == nil:
	case r.answered:
		up.Release()
	case result == balance.OK:
		p.stats.Served++
		p.give(r, Answer{Verdict: Served, Upstream: up})
	default:
		if r.own != nil {
			r.own.Release()
		}
		r.own = up
	}
	over := r.answered || r.withdrawn
	p.balancer.Outcome(now, r.id, a.number, result, elapsed, over)
	p.settle(r)
}

// confirmAfter is how long a decision stands without being asked for again.
const confirmAfter = 10 * time.Millisecond

// Confirm implements upstream.Confirmer. The caller may have left unseen: what begins 0.1 s
// after it has is work for nobody, and who watches for that, or whoever read the request,
// may not have got to run. So every attempt has a look at the caller as the last step,
// however short a time ago the caller was there by some clock: a process may be held up
// between reading it and going on.
func (a *attempt) Confirm() bool {
	for {
		began := time.Now()
		if !a.stands(began) {
			return false
		}
		if a.of.Caller != nil && a.of.Caller.Disconnected() {
			a.pool.Withdraw(a.of)
			return false
		}
		if time.Since(began) < confirmAfter {
			return true
		}
		// The look has taken long, or the process did not get to run.
	}
}

// stands tells whether the decision for the attempt holds. While a connection came up the
// node may have been told to be draining, or the time in which it drops a repeat may have
// run out.
func (a *attempt) stands(now time.Time) bool {
	p := a.pool
	if now.Sub(p.start)-a.sent < confirmAfter {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Confirm(p.now(), a.of.id, a.number)
}

// host is the Pool as the Balancer sees it. The mutex is held in all its
// methods, which only start work.
type host Pool

// Send implements balance.Host.
func (h *host) Send(id balance.RequestID, addr string, timeout time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	a := attempt{pool: p, of: r, number: r.attempts, node: addr, sent: p.now(), timeout: timeout}
	if r.attempts++; r.attempts == 1 {
		p.stats.FirstAttempts++
	} else {
		p.stats.LaterAttempts++
	}
	r.pending++
	if r.taking && !r.mine {
		r.first, r.mine = a, true
		return
	}
	own := a
	go p.attempt(r, &own)
}

// Refuse implements balance.Host.
func (h *host) Refuse(id balance.RequestID, retryAfter time.Duration) {
	p := (*Pool)(h)
	r := p.requests[id]
	if r.own != nil && r.pending == 0 { // says more than that there was none
		h.Fail(id)
		return
	}
	p.stats.Refused++
	p.give(r, Answer{Verdict: Refused, RetryAfter: retryAfter})
	p.settle(r)
}

// Fail implements balance.Host.
func (h *host) Fail(id balance.RequestID) {
	p := (*Pool)(h)
	r := p.requests[id]
	p.stats.Failed++
	switch {
	case r.pending > 0:
		p.give(r, Answer{Verdict: TimedOut})
	default:
		p.give(r, Answer{Verdict: Failed, Upstream: r.own})
	}
	p.settle(r)
}

// Watch implements balance.Host.
func (h *host) Watch() {
	h.wanted = len(h.sources) == 0 // Run has not begun
	for _, src := range h.sources {
		select {
		case src.watch <- struct{}{}:
		default: // one is wanted already
		}
	}
}
