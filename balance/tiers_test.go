package balance

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// chain is a model of tiers in virtual time: clients that come again, Balancers where they
// enter, servers with cores, slots and a queue, and beside each server of a tier but the
// last a Balancer for its calls to the next. What a caller has given up on runs on; only
// what still waits is dropped.
type chain struct {
	t      testing.TB
	front  *fleet
	below  []*fleet // below[k] makes the calls of tier k
	tiers  [][]*station
	set    chainSettings
	calls  []map[RequestID]func(served bool) // open calls of each tier
	client map[RequestID]func(served bool, refused bool, retryAfter time.Duration)

	sent    map[RequestID]bool // requests of clients that have had an attempt
	offered float64            // requests of clients a second, without those that come again

	fresh    [chainSpan]int // requests of clients, by second of their beginning
	served   [chainSpan]int // of them served while the client waited
	inAim    [chainSpan]int
	tries    [chainSpan]int // what reaches the door, with those that come again
	attempts [chainSpan]int // at all tiers, by second
	last     [chainSpan]int // at the last tier
	full     [chainSpan]int // attempts that were turned away
	refused  [chainSpan]int // tries for which nothing was sent
}

const chainSpan = 60 // seconds at the most

// chainSettings are of one run.
type chainSettings struct {
	fronts    int
	servers   []int     // of each tier
	work      []float64 // seconds of a core for one call, in the mean
	handshake float64   // of a core, for a new connection
	thrash    float64   // of its speed that a server loses by each that it holds beyond four
	calls     int       // that each server makes to the next tier, in sequence
	again     int       // times that a client comes again
	honour    float64   // share of clients that heed Retry-After
	classes   []Class
	shares    []float64 // of requests, by class
	patience  float64   // share of the deadline after which a client gives up a try
}

// station is one server.
type station struct {
	c     *chain
	tier  int
	name  string
	cores float64 // by now: less while it is cold or in trouble
	slots int
	queue int
	bad   func() (fails bool) // answers with an error of its own at once

	coming  int // new connections that are not up yet
	busy    int // slots in use
	waiting []*visit
	running visits  // sharing the cores evenly
	done    float64 // seconds of core time that each that runs has had since the beginning
	at      time.Duration
	round   int                     // of the next end; older ones are void
	idle    map[int][]time.Duration // when connections of each caller's became idle
}

// visit is a piece of work that runs, or a call that waits.
type visit struct {
	until float64 // value of done at its end
	then  func()
	call  *visitor
}

// visitor is an attempt at a station.
type visitor struct {
	deadline time.Duration
	class    int
	done     func(Result)
}

type visits []*visit

func (v visits) Len() int           { return len(v) }
func (v visits) Less(i, k int) bool { return v[i].until < v[k].until }
func (v visits) Swap(i, k int)      { v[i], v[k] = v[k], v[i] }
func (v *visits) Push(x any)        { *v = append(*v, x.(*visit)) }
func (v *visits) Pop() any {
	last := len(*v) - 1
	x := (*v)[last]
	*v = (*v)[:last]
	return x
}

const (
	chainIdle     = 250 * time.Millisecond // that connections are kept
	stationPlaces = 60                     // for connections in use
)

// share is how much of a core each that runs gets: holding many costs some of it.
func (s *station) share() float64 {
	n := float64(len(s.running))
	return min(1, s.cores/n) / (1 + s.c.set.thrash*max(0, n-4))
}

// advance books the core time that has passed.
func (s *station) advance() {
	now := s.c.front.now
	if len(s.running) > 0 {
		s.done += (now - s.at).Seconds() * s.share()
	}
	s.at = now
}

// plan asks for the next end.
func (s *station) plan() {
	s.round++
	round := s.round
	if len(s.running) == 0 || s.cores <= 0 {
		return
	}
	left := max(0, s.running[0].until-s.done) / s.share()
	s.c.front.after(time.Duration(left*float64(time.Second))+1, func() {
		if s.round != round {
			return
		}
		s.advance()
		var over []*visit
		for len(s.running) > 0 && s.running[0].until <= s.done+1e-12 {
			over = append(over, heap.Pop(&s.running).(*visit))
		}
		s.plan()
		for _, v := range over {
			v.then()
		}
	})
}

// setCores changes what it can do.
func (s *station) setCores(cores float64) {
	s.advance()
	s.cores = cores
	s.plan()
}

func (s *station) run(work float64, then func()) {
	s.advance()
	heap.Push(&s.running, &visit{until: s.done + work, then: then})
	s.plan()
}

// arrive takes an attempt of a caller.
func (s *station) arrive(from int, v *visitor) {
	now := s.c.front.now
	idle := s.idle[from]
	for len(idle) > 0 && now-idle[0] > chainIdle {
		idle = idle[1:]
	}
	done := v.done
	v.done = func(r Result) {
		s.idle[from] = append(s.idle[from], s.c.front.now)
		done(r)
	}
	if n := len(idle); n > 0 {
		s.idle[from] = idle[:n-1]
		s.admit(v)
		return
	}
	s.idle[from] = idle
	if s.coming+s.busy+len(s.waiting) >= stationPlaces {
		s.c.full[s.c.second()]++
		v.done(Overloaded) // its connection table is full
		return
	}
	s.coming++
	s.run(s.c.set.handshake, func() {
		s.coming--
		s.admit(v)
	})
}

func (s *station) admit(v *visitor) {
	switch {
	case s.c.front.now >= v.deadline, s.busy >= s.slots && len(s.waiting) >= s.queue:
		s.c.full[s.c.second()]++
		v.done(Overloaded)
	case s.bad != nil && s.bad():
		v.done(Error)
	case s.busy >= s.slots:
		s.waiting = append(s.waiting, &visit{call: v})
	default:
		s.begin(v)
	}
}

func (s *station) begin(v *visitor) {
	s.busy++
	finish := func(r Result) {
		s.busy--
		v.done(r)
		for len(s.waiting) > 0 && s.busy < s.slots {
			next := s.waiting[0].call
			s.waiting = s.waiting[1:]
			if s.c.front.now >= next.deadline {
				next.done(Overloaded) // dropped, and nobody waits for it
				continue
			}
			s.begin(next)
		}
	}
	work := s.c.set.work[s.tier] * s.c.front.rng.ExpFloat64()
	if s.tier == len(s.c.tiers)-1 {
		s.run(work, func() { finish(OK) })
		return
	}
	b := s.c.below[s.tier]
	var own int
	fmt.Sscanf(s.name, "s%d", &own)
	var next func(left int)
	next = func(left int) {
		if left == 0 {
			s.run(work/2, func() { finish(OK) })
			return
		}
		b.lastID++
		s.c.calls[s.tier][b.lastID] = func(ok bool) {
			if !ok {
				finish(Error)
				return
			}
			next(left - 1)
		}
		b.at[own].Request(s.c.front.now, b.lastID, v.class, -1, v.deadline-s.c.front.now)
	}
	s.run(work/2, func() { next(s.c.set.calls) })
}

func (c *chain) second() int { return min(int(c.front.now/time.Second), chainSpan-1) }

func newChain(t testing.TB, set chainSettings, seed uint64) *chain {
	c := &chain{t: t, set: set, client: map[RequestID]func(bool, bool, time.Duration){}, sent: map[RequestID]bool{}}
	cfg := fleetConfig()
	cfg.Classes = set.classes
	cfg.AttemptLimit, cfg.AllowConcurrentAttempts, cfg.IdleConnTimeout = 4, false, chainIdle
	entry := cfg
	entry.Entry = true
	c.front = newFleet(t, entry, set.fronts, seed)
	c.front.sentID = func(id RequestID) { c.sent[id] = true }
	c.front.refused = func(id RequestID, retryAfter time.Duration) {
		if !c.sent[id] {
			c.refused[c.second()]++
		}
		delete(c.sent, id)
		if answer := c.client[id]; answer != nil {
			delete(c.client, id)
			answer(false, true, retryAfter)
		}
	}
	c.front.endedID = func(id RequestID, served bool) {
		if answer := c.client[id]; answer != nil {
			delete(c.client, id)
			answer(served, false, 0)
		}
	}
	above := c.front
	for k, n := range set.servers {
		stations := make([]*station, n)
		for i := range stations {
			stations[i] = &station{c: c, tier: k, name: fmt.Sprint("s", i), cores: 1, slots: []int{30, 6, 6}[k], queue: 4, idle: map[int][]time.Duration{}}
		}
		c.tiers = append(c.tiers, stations)
		caller := above
		above.callFrom = func(from int, id RequestID, addr string, timeout time.Duration, done func(Result)) {
			c.attempts[c.second()]++
			if k == len(set.servers)-1 {
				c.last[c.second()]++
			}
			var at int
			fmt.Sscanf(addr, "s%d", &at)
			over := false
			finish := func(r Result) {
				if !over {
					over = true
					done(r)
				}
			}
			c.front.after(timeout, func() { finish(Timeout) })
			stations[at].arrive(from, &visitor{deadline: c.front.now + timeout, class: caller.at[from].requests[id].class, done: finish})
		}
		above.list(Full, ready("s", n))
		if k == len(set.servers)-1 {
			break
		}
		calls := map[RequestID]func(bool){}
		c.calls = append(c.calls, calls)
		next := newFleet(t, cfg, n, seed+100*uint64(k+1))
		next.clock = c.front
		next.endedID = func(id RequestID, served bool) {
			if answer := calls[id]; answer != nil {
				delete(calls, id)
				answer(served)
			}
		}
		c.below = append(c.below, next)
		above = next
	}
	return c
}

// capacity is how many requests a second the tiers can serve, connections aside.
func (c *chain) capacity() float64 {
	least, calls := 1e9, 1.0
	for k, n := range c.set.servers {
		least = min(least, float64(n)/(c.set.work[k]*calls))
		calls *= float64(c.set.calls)
	}
	return least
}

// arrive is one request of a client, and those with which it comes again.
func (c *chain) arrive() {
	number := 0
	for x := c.front.rng.Float64(); number < len(c.set.shares)-1 && x >= c.set.shares[number]; number++ {
		x -= c.set.shares[number]
	}
	class := &c.set.classes[number]
	begun, end := c.second(), c.front.now+class.Deadline
	c.fresh[begun]++
	start := c.front.now
	heeds := c.front.rng.Float64() < c.set.honour
	var try func(left int)
	try = func(left int) {
		now := c.front.now
		budget := min(time.Duration(c.set.patience*float64(class.Deadline)), end-now)
		if budget <= 0 {
			return
		}
		c.tries[c.second()]++
		c.front.lastID++
		id := c.front.lastID
		c.client[id] = func(served, refused bool, retryAfter time.Duration) {
			if served {
				c.served[begun]++
				if c.front.now-start <= class.LatencyTarget {
					c.inAim[begun]++
				}
				return
			}
			if left == 0 || !refused && class.Semantics == Unsafe {
				return
			}
			wait := time.Duration(10+c.front.rng.IntN(80)) * ms
			if refused && heeds {
				wait = max(wait, min(retryAfter, 800*ms))
			}
			c.front.after(wait, func() { try(left - 1) })
		}
		c.front.at[c.front.rng.IntN(len(c.front.at))].Request(now, id, number, -1, budget)
	}
	try(c.set.again)
}

// run plays until then.
func (c *chain) run(until time.Duration) {
	f := c.front
	var next func()
	next = func() {
		if c.offered > 0 {
			c.arrive()
		}
		f.after(time.Duration(f.rng.ExpFloat64()/max(c.offered, 1)*float64(time.Second)), next)
	}
	f.after(0, next)
	for len(f.events) > 0 && f.events[0].at < until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// sum adds the seconds from, to excluded.
func sum(of *[chainSpan]int, from, to int) float64 {
	n := 0
	for _, x := range of[from:to] {
		n += x
	}
	return float64(n)
}
