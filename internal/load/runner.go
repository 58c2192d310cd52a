// Package load makes the requests of a traffic plan when they are due, whatever
// becomes of those before, and measures how long each waited from that moment.
// It keeps its own error beside what it measures.
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

// Plan is the sequence of what is due; traffic.Plan and traffic.PlanPart are.
// After its end Err tells whether it has broken off.
type Plan interface {
	Next() (traffic.Arrival, bool)
	Err() error
}

// Config says what a run is.
type Config struct {
	Addr         string                             // address:port of the target
	Addrs        []string                           // of several targets, in place of Addr
	ChooseTarget func(stream int, index uint64) int // which of Addrs a request goes to; goes with them
	Streams      []traffic.Stream
	Plan         Plan
	Seed         uint64
	Client       traffic.Client
	Conns        int              // connections at most; requests beyond them wait, ageing
	PerConn      int              // requests on a connection before it is closed; 0 for no bound
	Open         int              // requests at most that are begun, those between two tries included; 0 for 16 for each connection
	Span         time.Duration    // of the plan; 0 if it is not known
	Grace        time.Duration    // how long answers are awaited after the last request was due
	OnProgress   func(Progress)   // called about once a second; may be nil
	OnCompletion func(Completion) // called with each request at its end; may be nil. It must be safe for concurrent use, and not wait
}

// Ending is how a request ended, with all of its tries.
type Completion struct {
	Stream  int
	Index   uint64 // in its stream
	Target  int    // of Config.Addrs
	Due     time.Duration
	Ended   time.Duration
	Outcome Outcome
}

// Live is how a run stands.
type Progress struct {
	At       time.Duration
	Due      int64 // requests so far
	Ended    int64
	InFlight int
}

func (c *Config) check() error {
	switch {
	case c.Plan == nil || len(c.Streams) == 0:
		return errors.New("load: no plan or no streams")
	case c.Conns < 1:
		return fmt.Errorf("load: %d connections, want 1 at least", c.Conns)
	case c.PerConn < 0 || c.Grace < 0 || c.Open < 0:
		return errors.New("load: negative bounds")
	}
	if (len(c.Addrs) > 0) != (c.ChooseTarget != nil) || len(c.Addrs) > 0 && c.Addr != "" {
		return errors.New("load: want one target, or several and what chooses among them")
	}
	for i := range c.Streams {
		if c.Span == 0 && c.Streams[i].Budget <= 0 {
			return fmt.Errorf("load: stream %s: a plan of unknown length and no budget: a target that falls silent would hold the run for ever", c.Streams[i].Name)
		}
	}
	return c.Client.Check()
}

// Runner makes one run.
type Runner struct {
	cfg    Config
	clock  func() time.Time // tells when the run begins
	start  time.Time
	rec    *recorder
	fill   []*filler
	opened atomic.Int64
	bytes  atomic.Int64
	most   int // requests that may be open

	due, ended atomic.Int64

	mu      sync.Mutex
	head    traffic.Arrival // the first of the plan that has not been sent
	more    bool            // there is a head
	last    time.Duration   // when the one before it was due
	queued  int64           // requests that waited for a connection
	full    bool            // the dispatcher has found all lanes at work
	idle    []*lane         // the one used last at the end
	lanes   int
	inUse   map[*lane]net.Conn
	over    bool
	ready   []job                // retries whose time has come
	pending map[*job]*time.Timer // retries whose time will come
	open    int                  // requests that have been begun and not ended
	account *traffic.Account     // of the generator's own lateness
	wake    chan struct{}        // something of these has changed, for the dispatcher
}

// filler guards a traffic.Filler, which lanes share.
type filler struct {
	mu sync.Mutex
	*traffic.Filler
}

// request is what one try sends.
type request struct {
	stream *traffic.Stream
	method string
	host   string
	class  string
	path   string
	key    string
	id     string
	budget time.Duration // 0 for none
	body   []byte
	leave  time.Time // zero for never
}

// appendHead appends the head of the request, whole.
func (r *request) appendHead(b []byte) []byte {
	b = append(b, r.method...)
	b = append(b, ' ')
	b = append(b, r.path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.host...)
	b = append(b, "\r\nX-Call-Id: "...)
	b = append(b, r.id...)
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
	most := cfg.Open
	if most == 0 {
		most = openFactor * cfg.Conns
	}
	r := &Runner{cfg: cfg, clock: time.Now, most: most, account: traffic.NewAccount(cfg.Conns, most), inUse: map[*lane]net.Conn{}, pending: map[*job]*time.Timer{}, wake: make(chan struct{}, 1)}
	var names []string
	for i := range cfg.Streams {
		f, err := traffic.NewFiller(&cfg.Streams[i], cfg.Seed)
		if err != nil {
			return nil, fmt.Errorf("load: stream %s: %w", cfg.Streams[i].Name, err)
		}
		r.fill = append(r.fill, &filler{Filler: f})
		names = append(names, cfg.Streams[i].Name)
	}
	r.rec = newRecorder(names)
	return r, nil
}

// Run makes the run and returns what it has measured. It ends when all that is
// due has been answered, at the latest Grace after the end of the plan, or with
// ctx; what is still waiting then counts as unanswered, with the time that it
// has waited.
func (r *Runner) Run(ctx context.Context) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.cfg.Span > 0 {
		ctx, cancel = context.WithTimeout(ctx, r.cfg.Span+r.cfg.Grace)
		defer cancel()
	}
	r.start = r.clock()
	began, machine := processCPU(), machineCPU()
	var lanes, live sync.WaitGroup
	liveCtx, stopLive := context.WithCancel(context.Background())
	live.Go(func() { r.live(liveCtx) })
	r.head, r.more = r.cfg.Plan.Next()
	r.dispatch(ctx, &lanes)
	end := r.stop()
	cancel()
	r.finish(end)
	lanes.Wait()
	for r.more && r.head.Due <= end {
		// The run was cut off: what was due by then has waited in vain.
		j := r.pop()
		r.giveUp(&j, end, Unanswered)
	}
	stopLive()
	live.Wait()
	res := r.rec.result()
	res.Span = end
	res.Opened, res.Bytes, res.Queued = r.opened.Load(), r.bytes.Load(), r.queued
	res.CPU, res.Cores = processCPU()-began, runtime.GOMAXPROCS(0)
	res.Machine = machineCPU().since(machine)
	res.Conns = r.cfg.Conns
	res.Err = r.cfg.Plan.Err()
	return res
}

// now is the time since the begin of the run. It does not follow steps of the
// system's clock.
func (r *Runner) now() time.Duration { return time.Since(r.start) }

// openFactor is how many requests may be begun for each connection: those that
// wait between two tries hold none.
const openFactor = 16

// dispatch hands out what is due until all has ended or ctx does.
//
// The plan itself is the queue: what finds no lane is not read before there is
// one, so that a target that stalls costs no memory, however much is due.
//
// What is overdue goes to whoever comes first, the dispatcher or a lane that comes
// free. When a target that stood still lets go of a hundred connections at once,
// handing them out one by one would take milliseconds that are the generator's.
func (r *Runner) dispatch(ctx context.Context, lanes *sync.WaitGroup) {
	for ctx.Err() == nil {
		until, done := r.handOut(ctx, lanes)
		if done {
			return
		}
		r.wait(ctx, until)
	}
}

// handOut gives what is due to lanes that are free, and tells until when there
// is nothing more to hand out, or that the run is done.
func (r *Runner) handOut(ctx context.Context, lanes *sync.WaitGroup) (until time.Duration, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		now := r.now()
		if r.full = len(r.idle) == 0 && r.lanes == r.cfg.Conns; r.full {
			return r.patience(now), false
		}
		j, ok := r.next(now)
		switch {
		case ok:
			l := r.lane(ctx, lanes, j.target)
			r.book(&j, now)
			l.work <- j
		case r.more && r.open >= r.most:
			return now + time.Second, false
		case r.more:
			return r.head.Due, false
		default:
			return r.last + r.cfg.Grace, r.open == 0 || now >= r.last+r.cfg.Grace
		}
	}
}

// patience gives up what its callers wait for no longer, all lanes being at
// work, and tells when there is more to look at. r.mu is held.
func (r *Runner) patience(now time.Duration) (until time.Duration) {
	for {
		a, from, ok := r.first()
		switch at, has := r.gone(&a); {
		case ok && from > now:
			return from
		case !ok || !has:
			return now + time.Second
		case now < at:
			return at
		}
		j := r.pop()
		r.abandon(&j, now)
	}
}

// next returns what is to be sent now, if there is anything: a retry whose wait
// is over, or what the plan has due. It gives up what has waited for a lane for
// longer than its caller does. r.mu is held.
func (r *Runner) next(now time.Duration) (j job, ok bool) {
	for {
		a, from, ok := r.first()
		if !ok || from > now {
			return job{}, false
		}
		j = r.pop()
		if at, has := r.gone(&a); !has || now < at {
			return j, true
		}
		r.abandon(&j, now)
	}
}

// gone is when the caller of a request goes, if it does.
func (r *Runner) gone(a *ask) (at time.Duration, has bool) {
	budget := r.cfg.Streams[a.stream].Budget
	return a.due + budget, budget > 0
}

// first is what pop would take and from when on it may be sent, if there is
// anything that may be begun. r.mu is held.
func (r *Runner) first() (a ask, from time.Duration, ok bool) {
	if len(r.ready) > 0 {
		return r.ready[0].ask, 0, true
	}
	return asked(r.head), r.head.Due, r.more && r.open < r.most
}

// pop takes a retry whose wait is over, or else the head of the plan. r.mu is held.
func (r *Runner) pop() (j job) {
	if len(r.ready) > 0 {
		j, r.ready = r.ready[0], r.ready[1:]
		return j
	}
	j = job{ask: asked(r.head), ready: r.head.Due}
	if r.cfg.ChooseTarget != nil {
		j.target = r.cfg.ChooseTarget(r.head.Stream, r.head.Index)
	}
	r.last = r.head.Due
	r.head, r.more = r.cfg.Plan.Next()
	return j
}

// book books that j is sent at a moment, over a lane that is free. r.mu is held.
func (r *Runner) book(j *job, now time.Duration) {
	late := r.account.Sent(j.ready, now, j.again)
	j.sent = now
	j.toll.add(late)
	if j.again {
		return
	}
	if late.Waited > 0 {
		r.queued++
	}
	r.due.Add(1)
	r.open++
}

// lane returns a lane that is free: the one used last that has a connection to
// the target, or a new one, or the one unused for longest. r.mu is held.
func (r *Runner) lane(ctx context.Context, lanes *sync.WaitGroup, target int) (l *lane) {
	for i := len(r.idle) - 1; i >= 0; i-- {
		if l = r.idle[i]; l.target == target {
			r.idle = slices.Delete(r.idle, i, i+1)
			return l
		}
	}
	if r.lanes == r.cfg.Conns {
		l = r.idle[0]
		r.idle = slices.Delete(r.idle, 0, 1)
		return l
	}
	l = &lane{r: r, shard: &r.rec.shards[r.lanes%shards], work: make(chan job, 1)}
	r.lanes++
	lanes.Go(func() { l.run(ctx) })
	return l
}

// How the dispatcher waits. The runtime's timers rest on epoll, which counts
// milliseconds, so they come up to one late; the system's own sleep comes some
// ten microseconds late; only staying awake is exact. Each is used for what is
// left when the one before has become too coarse.
const (
	coarse = 3 * time.Millisecond   // more than this is left to a timer, which can be woken
	fine   = 120 * time.Microsecond // less than this is spent awake
	nap    = 500 * time.Microsecond // the longest sleep that cannot be woken
)

// wait waits until a moment, or until something has changed, or ctx ends. It
// may return before.
func (r *Runner) wait(ctx context.Context, until time.Duration) {
	if d := until - r.now(); d > coarse {
		t := time.NewTimer(d - coarse/2)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-t.C:
		}
		return
	}
	for d := until - r.now(); d > 0; d = until - r.now() {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			return
		default:
		}
		if d > fine {
			ts := syscall.NsecToTimespec(int64(min(d-fine, nap)))
			syscall.Nanosleep(&ts, nil)
		} else {
			runtime.Gosched()
		}
	}
}

// rouse wakes the dispatcher.
func (r *Runner) rouse() {
	select {
	case r.wake <- struct{}{}:
	default: // it is to wake already
	}
}

// left books that a request which had been begun has ended.
func (r *Runner) left(at time.Duration) {
	r.mu.Lock()
	r.ends(at)
	r.mu.Unlock()
}

// ends is left with r.mu held.
func (r *Runner) ends(at time.Duration) {
	r.open--
	r.account.Ended(at)
	if !r.more || r.open+1 >= r.most {
		r.rouse()
	}
}

// abandon books that a request found no lane in time. r.mu is held.
func (r *Runner) abandon(j *job, now time.Duration) {
	r.giveUp(j, now, TimedOut)
	if j.again {
		r.ends(now)
	}
}

// giveUp books the end of a request that finds no lane any more. r.mu is held,
// or nothing else runs.
func (r *Runner) giveUp(j *job, at time.Duration, o Outcome) {
	if !j.again {
		r.due.Add(1)
		r.queued++
	}
	j.toll.add(r.account.GivenUp(j.ready, at, j.again))
	r.end(j, at, o)
}

// later has j made again after a wait from a time on.
func (r *Runner) later(j job, at, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.again, j.ready = true, at+wait
	if r.over {
		r.end(&j, at, Unanswered)
		return
	}
	p := &j
	r.pending[p] = time.AfterFunc(wait, func() {
		r.mu.Lock()
		if _, ok := r.pending[p]; ok && !r.over {
			delete(r.pending, p)
			r.ready = append(r.ready, *p)
		}
		r.mu.Unlock()
		r.rouse()
	})
}

// free takes a lane back which has had its answer at a time, or gives it what
// is overdue.
func (r *Runner) free(l *lane, at time.Duration) (j job, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Free(at)
	if r.over {
		close(l.work)
		return job{}, false
	}
	now := r.now()
	if j, ok = r.next(now); ok {
		r.book(&j, now)
		return j, true
	}
	r.idle = append(r.idle, l)
	if r.full {
		r.rouse()
	}
	return job{}, false
}

// stop has nothing more sent, and tells when.
func (r *Runner) stop() (end time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	return r.now()
}

// finish ends the lanes and all that waits between two tries.
func (r *Runner) finish(end time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.idle {
		close(l.work)
	}
	r.idle = nil
	for _, c := range r.inUse {
		c.SetDeadline(time.Unix(1, 0))
	}
	for p, t := range r.pending {
		t.Stop()
		r.end(p, end, Unanswered)
	}
	for i := range r.ready {
		r.giveUp(&r.ready[i], end, Unanswered)
	}
	r.pending, r.ready = map[*job]*time.Timer{}, nil
}

// track remembers the connection of a lane while it is open. It is false once
// the run is over.
func (r *Runner) track(l *lane, c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse[l] = c
	return !r.over
}

func (r *Runner) untrack(l *lane) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inUse, l)
}

// end books the end of a request.
func (r *Runner) end(j *job, at time.Duration, o Outcome) {
	r.booked(&r.rec.shards[j.ask.stream%shards], j, at, o)
}

// booked books the end of a request in a shard and tells it.
func (r *Runner) booked(s *shard, j *job, at time.Duration, o Outcome) {
	s.end(j.ask.stream, j.ask.due, at, o, j.toll)
	r.ended.Add(1)
	if r.cfg.OnCompletion != nil {
		r.cfg.OnCompletion(Completion{Stream: j.ask.stream, Index: j.ask.index, Target: j.target, Due: j.ask.due, Ended: at, Outcome: o})
	}
}

// live tells how the run stands until ctx ends.
func (r *Runner) live(ctx context.Context) {
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
		open := r.open
		r.mu.Unlock()
		r.cfg.OnProgress(Progress{At: r.now(), Due: r.due.Load(), Ended: r.ended.Load(), InFlight: open})
	}
}

// bodyOf is n bytes; all requests share them.
func bodyOf(n int) []byte {
	if n > len(bodyBytes) {
		return make([]byte, n)
	}
	return bodyBytes[:n]
}

var bodyBytes = make([]byte, 1<<20)
