// Package load is an open-loop load generator. It sends the requests of a traffic
// plan when they are due, independently of earlier responses, and measures
// latency from the due time. It also measures the delay that it adds itself.
package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gorselink/traffic"
)

// Plan is the sequence of arrivals, such as a traffic.Plan or a traffic.PlanPart.
// After the last arrival Err returns why the plan ended early, or nil.
type Plan interface {
	Next() (traffic.Arrival, bool)
	Err() error
}

// Config configures a run.
type Config struct {
	Addr         string                             // address:port of the target
	Addrs        []string                           // several targets, instead of Addr
	ChooseTarget func(stream int, index uint64) int // returns the index in Addrs for a request; required with Addrs
	Streams      []traffic.Stream
	Plan         Plan
	Seed         uint64
	Client       traffic.Client
	Conns        int              // connection limit; further requests wait
	PerConn      int              // requests per connection before it is closed; 0 for no limit
	MaxOpen      int              // limit of open requests, including those that wait for a retry; 0 for 16 per connection
	Span         time.Duration    // length of the plan; 0 if unknown
	Grace        time.Duration    // how long to wait for responses after the last request was due
	IDHeader     string           // a further field with the value of X-Call-Id, which proxies may replace; "" for none
	OnProgress   func(Progress)   // called about once a second; may be nil
	OnCompletion func(Completion) // called at the end of each request; may be nil. It must be safe for concurrent use and must not block
}

// Completion describes the end of a request, after all of its attempts.
type Completion struct {
	Stream  int
	Index   uint64 // in its stream
	Target  int    // index in Config.Addrs
	Due     time.Duration
	Ended   time.Duration
	Outcome Outcome

	// Of the last attempt; zero if none was sent.
	CallID string
	Sent   time.Duration
}

// Progress is the state of a running load test.
type Progress struct {
	At       time.Duration // since the start of the run
	Due      int64         // requests due so far
	Ended    int64
	InFlight int
}

func (c *Config) check() error {
	switch {
	case c.Plan == nil || len(c.Streams) == 0:
		return errors.New("load: the plan or the streams are missing")
	case c.Conns < 1:
		return fmt.Errorf("load: %d connections, want at least 1", c.Conns)
	case c.PerConn < 0 || c.Grace < 0 || c.MaxOpen < 0:
		return errors.New("load: requests per connection, grace and open requests must not be negative")
	}
	if (len(c.Addrs) > 0) != (c.ChooseTarget != nil) || len(c.Addrs) > 0 && c.Addr != "" {
		return errors.New("load: want either one target, or several targets and a function that chooses among them")
	}
	for i := range c.Streams {
		if c.Span == 0 && c.Streams[i].Budget <= 0 {
			return fmt.Errorf("load: stream %s: the plan's length is unknown and there is no budget, so a target that never responds would block the run", c.Streams[i].Name)
		}
	}
	return c.Client.Check()
}

// Runner executes one run.
type Runner struct {
	cfg      Config
	clock    func() time.Time // returns the start of the run
	start    time.Time
	rec      *recorder
	contents []*contentGenerator
	opened   atomic.Int64
	bytes    atomic.Int64
	maxOpen  int // limit of open requests

	due, ended atomic.Int64

	mu             sync.Mutex
	nextArrival    traffic.Arrival // the next arrival of the plan
	hasNext        bool            // nextArrival is valid
	lastDue        time.Duration   // due time of the previous arrival
	queued         int64           // requests that waited for a connection
	allBusy        bool            // the dispatcher found all senders busy
	idle           []*sender       // in order of last use
	senders        int
	openConns      map[*sender]net.Conn
	stopped        bool
	readyRetries   []attempt                // retries that are due
	pendingRetries map[*attempt]*time.Timer // retries whose wait is not over
	openRequests   int                      // requests that have started and not ended
	delays         *traffic.DelayTracker
	wake           chan struct{} // wakes the dispatcher after a change to the fields above
}

// contentGenerator guards a traffic.ContentGenerator that senders share.
type contentGenerator struct {
	mu sync.Mutex
	*traffic.ContentGenerator
}

// request is what one attempt sends.
type request struct {
	stream  *traffic.Stream
	method  string
	host    string
	class   string
	path    string
	key     string
	id      string
	idField string        // name of a further field for id; "" for none
	budget  time.Duration // 0 for none
	body    []byte
	leaveAt time.Time // when the caller disconnects; zero for never
}

// appendHead appends the complete request head.
func (r *request) appendHead(b []byte) []byte {
	b = append(b, r.method...)
	b = append(b, ' ')
	b = append(b, r.path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.host...)
	b = append(b, "\r\nX-Call-Id: "...)
	b = append(b, r.id...)
	if r.idField != "" {
		b = append(b, "\r\n"...)
		b = append(b, r.idField...)
		b = append(b, ": "...)
		b = append(b, r.id...)
	}
	if r.budget > 0 {
		b = append(b, "\r\nX-Budget-Ms: "...)
		b = strconv.AppendInt(b, max(1, r.budget.Milliseconds()), 10)
	}
	if r.key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, r.key...)
	}
	if r.class != "" {
		b = append(b, "\r\nX-Class: "...)
		b = append(b, r.class...)
	}
	for _, h := range r.stream.Headers {
		b = append(b, "\r\n"...)
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
	}
	if len(r.body) > 0 || r.method != http.MethodGet && r.method != http.MethodHead {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// New returns a Runner for cfg.
func New(cfg Config) (*Runner, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	maxOpen := cfg.MaxOpen
	if maxOpen == 0 {
		maxOpen = openPerConn * cfg.Conns
	}
	r := &Runner{cfg: cfg, clock: time.Now, maxOpen: maxOpen, delays: traffic.NewDelayTracker(cfg.Conns, maxOpen), openConns: map[*sender]net.Conn{}, pendingRetries: map[*attempt]*time.Timer{}, wake: make(chan struct{}, 1)}
	var names []string
	for i := range cfg.Streams {
		generator, err := traffic.NewContentGenerator(&cfg.Streams[i], cfg.Seed)
		if err != nil {
			return nil, fmt.Errorf("load: stream %s: %w", cfg.Streams[i].Name, err)
		}
		r.contents = append(r.contents, &contentGenerator{ContentGenerator: generator})
		names = append(names, cfg.Streams[i].Name)
	}
	r.rec = newRecorder(names)
	return r, nil
}

// Run executes the run and returns its measurements. It ends when all requests
// have ended, at the latest Grace after the end of the plan, or with ctx. Requests
// that are still open or queued then count as Unanswered, with the time waited so
// far.
func (r *Runner) Run(ctx context.Context) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.cfg.Span > 0 {
		ctx, cancel = context.WithTimeout(ctx, r.cfg.Span+r.cfg.Grace)
		defer cancel()
	}
	r.start = r.clock()
	startCPU, machine := processCPU(), readMachineCPU()
	var senders, progress sync.WaitGroup
	progressCtx, stopProgress := context.WithCancel(context.Background())
	progress.Go(func() { r.reportProgress(progressCtx) })
	r.nextArrival, r.hasNext = r.cfg.Plan.Next()
	r.dispatch(ctx, &senders)
	end := r.stop()
	cancel()
	r.finish(end)
	senders.Wait()
	for r.hasNext && r.nextArrival.Due <= end {
		// The run ended early: these requests were due by then and not yet sent.
		a := r.pop()
		r.abandonAs(&a, end, Unanswered)
	}
	stopProgress()
	progress.Wait()
	res := r.rec.result()
	res.Span = end
	res.Opened, res.Bytes, res.Queued = r.opened.Load(), r.bytes.Load(), r.queued
	res.CPU, res.Cores = processCPU()-startCPU, runtime.GOMAXPROCS(0)
	res.MachineCPU = readMachineCPU().since(machine)
	res.Conns = r.cfg.Conns
	res.PlanError = r.cfg.Plan.Err()
	return res
}

// elapsed returns the time since the start of the run, by the monotonic clock.
func (r *Runner) elapsed() time.Duration { return time.Since(r.start) }

// openPerConn is the default number of open requests per connection. Requests that
// wait for a retry are open and hold no connection.
const openPerConn = 16

// dispatch sends requests when they are due, until all have ended or ctx is done.
//
// The plan is the queue: arrivals are read only when a sender is free, so a stalled
// target costs no memory.
//
// Overdue requests are taken by the dispatcher or by a sender that becomes free.
// If a stalled target frees many connections at once, dispatching one by one would
// add milliseconds of generator delay.
func (r *Runner) dispatch(ctx context.Context, senders *sync.WaitGroup) {
	for ctx.Err() == nil {
		until, done := r.dispatchDue(ctx, senders)
		if done {
			return
		}
		r.wait(ctx, until)
	}
}

// dispatchDue gives due requests to free senders. It returns the time at which to
// check again, and whether the run is complete.
func (r *Runner) dispatchDue(ctx context.Context, senders *sync.WaitGroup) (until time.Duration, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		now := r.elapsed()
		if r.allBusy = len(r.idle) == 0 && r.senders == r.cfg.Conns; r.allBusy {
			return r.expireWaiting(now), false
		}
		a, ok := r.nextAttempt(now)
		switch {
		case ok:
			s := r.takeSender(ctx, senders, a.target)
			r.recordSent(&a, now)
			s.attempts <- a
		case r.hasNext && r.openRequests >= r.maxOpen:
			return now + time.Second, false
		case r.hasNext:
			return r.nextArrival.Due, false
		default:
			return r.lastDue + r.cfg.Grace, r.openRequests == 0 || now >= r.lastDue+r.cfg.Grace
		}
	}
}

// expireWaiting ends requests whose budget is over while all senders are busy, and
// returns the time at which to check again. r.mu must be held.
func (r *Runner) expireWaiting(now time.Duration) (until time.Duration) {
	for {
		d, earliest, ok := r.peek()
		switch at, hasBudget := r.budgetEnd(&d); {
		case ok && earliest > now:
			return earliest
		case !ok || !hasBudget:
			return now + time.Second
		case now < at:
			return at
		}
		a := r.pop()
		r.expire(&a, now)
	}
}

// nextAttempt returns the attempt to send now, if there is one: a due retry or the
// next due arrival. It ends requests whose budget is over. r.mu must be held.
func (r *Runner) nextAttempt(now time.Duration) (a attempt, ok bool) {
	for {
		d, earliest, ok := r.peek()
		if !ok || earliest > now {
			return attempt{}, false
		}
		a = r.pop()
		if at, hasBudget := r.budgetEnd(&d); !hasBudget || now < at {
			return a, true
		}
		r.expire(&a, now)
	}
}

// budgetEnd returns when the budget of a request ends, if it has one.
func (r *Runner) budgetEnd(d *dueRequest) (at time.Duration, hasBudget bool) {
	budget := r.cfg.Streams[d.stream].Budget
	return d.due + budget, budget > 0
}

// peek returns the request that pop would return and the earliest time at which it
// may be sent, and false if none may be started. r.mu must be held.
func (r *Runner) peek() (d dueRequest, earliest time.Duration, ok bool) {
	if len(r.readyRetries) > 0 {
		return r.readyRetries[0].request, 0, true
	}
	return newDueRequest(r.nextArrival), r.nextArrival.Due, r.hasNext && r.openRequests < r.maxOpen
}

// pop removes and returns a due retry, or else the next arrival. r.mu must be held.
func (r *Runner) pop() (a attempt) {
	if len(r.readyRetries) > 0 {
		a, r.readyRetries = r.readyRetries[0], r.readyRetries[1:]
		return a
	}
	a = attempt{request: newDueRequest(r.nextArrival), due: r.nextArrival.Due}
	if r.cfg.ChooseTarget != nil {
		a.target = r.cfg.ChooseTarget(r.nextArrival.Stream, r.nextArrival.Index)
	}
	r.lastDue = r.nextArrival.Due
	r.nextArrival, r.hasNext = r.cfg.Plan.Next()
	return a
}

// recordSent records that an attempt is sent over a free connection. r.mu must be held.
func (r *Runner) recordSent(a *attempt, now time.Duration) {
	delay := r.delays.RequestSent(a.due, now, a.isRetry)
	a.sent = now
	a.delays.add(delay)
	if a.isRetry {
		return
	}
	if delay.ConnWait > 0 {
		r.queued++
	}
	r.due.Add(1)
	r.openRequests++
}

// takeSender returns a free sender: the one used last that is connected to the
// target, else a new one, else the one idle for longest. r.mu must be held.
func (r *Runner) takeSender(ctx context.Context, senders *sync.WaitGroup, target int) (s *sender) {
	for i := len(r.idle) - 1; i >= 0; i-- {
		if s = r.idle[i]; s.target == target {
			r.idle = slices.Delete(r.idle, i, i+1)
			return s
		}
	}
	if r.senders == r.cfg.Conns {
		s = r.idle[0]
		r.idle = slices.Delete(r.idle, 0, 1)
		return s
	}
	s = &sender{r: r, shard: &r.rec.shards[r.senders%recorderShards], attempts: make(chan attempt, 1)}
	r.senders++
	senders.Go(func() { s.run(ctx) })
	return s
}

// How the dispatcher waits. Timers of the runtime fire up to 1 ms late, because
// epoll has a resolution of milliseconds; nanosleep is some 10 µs late; yielding in
// a loop is exact. Each is used where the previous one is too coarse.
const (
	timerThreshold = 3 * time.Millisecond   // longer waits use a timer, which can be interrupted
	spinThreshold  = 120 * time.Microsecond // shorter waits yield in a loop
	maxSleep       = 500 * time.Microsecond // longest nanosleep, which cannot be interrupted
)

// wait waits until the given time, a change of state or the end of ctx. It may
// return early.
func (r *Runner) wait(ctx context.Context, until time.Duration) {
	if d := until - r.elapsed(); d > timerThreshold {
		t := time.NewTimer(d - timerThreshold/2)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-t.C:
		}
		return
	}
	for d := until - r.elapsed(); d > 0; d = until - r.elapsed() {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			return
		default:
		}
		if d > spinThreshold {
			ts := syscall.NsecToTimespec(int64(min(d-spinThreshold, maxSleep)))
			syscall.Nanosleep(&ts, nil)
		} else {
			runtime.Gosched()
		}
	}
}

// wakeDispatcher wakes the dispatcher.
func (r *Runner) wakeDispatcher() {
	select {
	case r.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// requestEnded records that a started request ended.
func (r *Runner) requestEnded(at time.Duration) {
	r.mu.Lock()
	r.requestEndedLocked(at)
	r.mu.Unlock()
}

// requestEndedLocked is requestEnded with r.mu held.
func (r *Runner) requestEndedLocked(at time.Duration) {
	r.openRequests--
	r.delays.RequestEnded(at)
	if !r.hasNext || r.openRequests+1 >= r.maxOpen {
		r.wakeDispatcher()
	}
}

// expire ends a request whose budget ended before it was sent. r.mu must be held.
func (r *Runner) expire(a *attempt, now time.Duration) {
	r.abandonAs(a, now, TimedOut)
	if a.isRetry {
		r.requestEndedLocked(now)
	}
}

// abandonAs records the end of a request that was not sent. r.mu must be held, or
// all senders must have stopped.
func (r *Runner) abandonAs(a *attempt, at time.Duration, o Outcome) {
	if !a.isRetry {
		r.due.Add(1)
		r.queued++
	}
	a.delays.add(r.delays.RequestAbandoned(a.due, at, a.isRetry))
	r.recordEnd(a, at, o)
}

// scheduleRetry schedules a retry of a, which ended at the given time, after a wait.
func (r *Runner) scheduleRetry(a attempt, at, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.isRetry, a.due = true, at+wait
	if r.stopped {
		r.recordEnd(&a, at, Unanswered)
		return
	}
	p := &a
	r.pendingRetries[p] = time.AfterFunc(wait, func() {
		r.mu.Lock()
		if _, ok := r.pendingRetries[p]; ok && !r.stopped {
			delete(r.pendingRetries, p)
			r.readyRetries = append(r.readyRetries, *p)
		}
		r.mu.Unlock()
		r.wakeDispatcher()
	})
}

// releaseSender returns a sender to the idle list, or returns an overdue attempt
// for it to send. at is when it became free.
func (r *Runner) releaseSender(s *sender, at time.Duration) (a attempt, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays.ConnFreed(at)
	if r.stopped {
		close(s.attempts)
		return attempt{}, false
	}
	now := r.elapsed()
	if a, ok = r.nextAttempt(now); ok {
		r.recordSent(&a, now)
		return a, true
	}
	r.idle = append(r.idle, s)
	if r.allBusy {
		r.wakeDispatcher()
	}
	return attempt{}, false
}

// stop prevents further sends and returns the end of the run.
func (r *Runner) stop() (end time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.elapsed()
}

// finish stops the senders and ends all requests that wait for a retry.
func (r *Runner) finish(end time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.idle {
		close(s.attempts)
	}
	r.idle = nil
	for _, c := range r.openConns {
		c.SetDeadline(time.Unix(1, 0))
	}
	for p, t := range r.pendingRetries {
		t.Stop()
		r.recordEnd(p, end, Unanswered)
	}
	for i := range r.readyRetries {
		r.abandonAs(&r.readyRetries[i], end, Unanswered)
	}
	r.pendingRetries, r.readyRetries = map[*attempt]*time.Timer{}, nil
}

// track registers the open connection of a sender. It returns false once the run
// has ended.
func (r *Runner) track(s *sender, c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openConns[s] = c
	return !r.stopped
}

func (r *Runner) untrack(s *sender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openConns, s)
}

// recordEnd records the end of a request.
func (r *Runner) recordEnd(a *attempt, at time.Duration, o Outcome) {
	r.recordEndIn(&r.rec.shards[a.request.stream%recorderShards], a, at, o)
}

// recordEndIn records the end of a request in a shard and calls OnCompletion.
func (r *Runner) recordEndIn(s *shard, a *attempt, at time.Duration, o Outcome) {
	s.recordRequest(a.request.stream, a.request.due, at, o, a.delays)
	r.ended.Add(1)
	if r.cfg.OnCompletion != nil {
		r.cfg.OnCompletion(Completion{Stream: a.request.stream, Index: a.request.index, Target: a.target, Due: a.request.due, Ended: at, Outcome: o, CallID: a.id, Sent: a.started})
	}
}

// reportProgress calls OnProgress periodically until ctx ends.
func (r *Runner) reportProgress(ctx context.Context) {
	if r.cfg.OnProgress == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		open := r.openRequests
		r.mu.Unlock()
		r.cfg.OnProgress(Progress{At: r.elapsed(), Due: r.due.Load(), Ended: r.ended.Load(), InFlight: open})
	}
}

// zeroBody returns n zero bytes, which requests share and must not modify.
func zeroBody(n int) []byte {
	if n > len(zeroBytes) {
		return make([]byte, n)
	}
	return zeroBytes[:n]
}

var zeroBytes = make([]byte, 1<<20)
