package balance

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// tierChain simulates a chain of tiers in virtual time: clients that repeat requests,
// Balancers at the entry, and nodes. Each node of a tier except the last has a Balancer
// for its calls to the next tier. Nodes complete the work that they have begun even if
// the caller has given up.
type tierChain struct {
	t        testing.TB
	entry    *fleet
	inner    []*fleet // inner[k] makes the calls of tier k
	tiers    [][]*node
	settings chainSettings
	calls    []map[RequestID]func(served bool)                                        // callbacks of the open calls of each tier
	clients  map[RequestID]func(served bool, rejected bool, retryAfter time.Duration) // callbacks of the open tries

	attempted   map[RequestID]bool // tries with at least one attempt
	offeredRate float64            // client requests per second, without repeats

	requests         [maxChainSeconds]int // client requests, by the second of their start, as are served and inTarget
	served           [maxChainSeconds]int // before the client gave up
	inTarget         [maxChainSeconds]int // within the latency target
	tries            [maxChainSeconds]int // client requests and their repeats, by second
	attempts         [maxChainSeconds]int // at all tiers
	lastTierAttempts [maxChainSeconds]int // at the last tier
	rejected         [maxChainSeconds]int // attempts rejected by nodes
	rejectedUnsent   [maxChainSeconds]int // tries rejected without an attempt
}

const maxChainSeconds = 60 // longest simulation in seconds

// chainSettings are the properties of a tierChain.
type chainSettings struct {
	entryBalancers  int
	nodes           []int     // number in each tier
	work            []float64 // mean core seconds of a call, by tier
	handshake       float64   // core seconds of a new connection
	slowdownPerTask float64   // relative slowdown of a node for each running task beyond four
	calls           int       // that a node makes to the next tier per request, in sequence
	clientRepeats   int       // most repeats of a client request
	retryAfterShare float64   // share of clients that honour Retry-After
	classes         []Class
	classShares     []float64 // of requests, by class
	tryTimeoutShare float64   // timeout of a try, as a share of the deadline
	patientShare    float64   // share of clients whose tries last for patientTimeoutShare of the deadline instead
}

const patientTimeoutShare = 0.6

// node is a simulated server process.
type node struct {
	c           *tierChain
	tier        int
	name        string
	cores       float64 // current capacity; less than 1 during a fault
	concurrency int
	queueLength int
	failing     func() (fails bool) // responds immediately with an error if true; may be nil

	connecting      int // connections being established
	busy            int // calls being processed
	waiting         []*task
	running         taskHeap                // tasks that share the cores evenly
	coreSeconds     float64                 // core seconds received by a task that has run since the start
	updatedAt       time.Duration           // when coreSeconds was last updated
	scheduleVersion int                     // invalidates older timers of scheduleNextEnd
	idleConns       map[int][]time.Duration // when each caller's idle connections became idle
}

// task is work that is running, or a call that waits for processing.
type task struct {
	endAt float64 // value of coreSeconds at its end
	onEnd func()
	call  *nodeCall
}

// nodeCall is an attempt at a node.
type nodeCall struct {
	deadline time.Duration
	class    int
	done     func(Result)
}

// taskHeap orders tasks by their end.
type taskHeap []*task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, k int) bool { return h[i].endAt < h[k].endAt }
func (h taskHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *taskHeap) Push(x any)        { *h = append(*h, x.(*task)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

const (
	chainIdleConnTimeout = 250 * time.Millisecond // after which idle connections are closed
	nodeMaxConns         = 60                     // limit on connections that are not idle
)

// coreShare returns the share of a core that each running task gets. It falls with the number
// of tasks.
func (n *node) coreShare() float64 {
	running := float64(len(n.running))
	return min(1, n.cores/running) / (1 + n.c.settings.slowdownPerTask*max(0, running-4))
}

// advance updates coreSeconds to the current time.
func (n *node) advance() {
	now := n.c.entry.now
	if len(n.running) > 0 {
		n.coreSeconds += (now - n.updatedAt).Seconds() * n.coreShare()
	}
	n.updatedAt = now
}

// scheduleNextEnd sets a timer for the end of the next task.
func (n *node) scheduleNextEnd() {
	n.scheduleVersion++
	version := n.scheduleVersion
	if len(n.running) == 0 || n.cores <= 0 {
		return
	}
	left := max(0, n.running[0].endAt-n.coreSeconds) / n.coreShare()
	n.c.entry.after(time.Duration(left*float64(time.Second))+1, func() {
		if n.scheduleVersion != version {
			return
		}
		n.advance()
		var ended []*task
		for len(n.running) > 0 && n.running[0].endAt <= n.coreSeconds+1e-12 {
			ended = append(ended, heap.Pop(&n.running).(*task))
		}
		n.scheduleNextEnd()
		for _, t := range ended {
			t.onEnd()
		}
	})
}

func (n *node) setCores(cores float64) {
	n.advance()
	n.cores = cores
	n.scheduleNextEnd()
}

// run starts a task that needs the given core seconds, and calls then at its end.
func (n *node) run(work float64, then func()) {
	n.advance()
	heap.Push(&n.running, &task{endAt: n.coreSeconds + work, onEnd: then})
	n.scheduleNextEnd()
}

// arrive accepts an attempt of a caller, on an idle connection if there is one.
func (n *node) arrive(from int, call *nodeCall) {
	now := n.c.entry.now
	idle := n.idleConns[from]
	for len(idle) > 0 && now-idle[0] > chainIdleConnTimeout {
		idle = idle[1:]
	}
	done := call.done
	call.done = func(r Result) {
		n.idleConns[from] = append(n.idleConns[from], n.c.entry.now)
		done(r)
	}
	if count := len(idle); count > 0 {
		n.idleConns[from] = idle[:count-1]
		n.admit(call)
		return
	}
	n.idleConns[from] = idle
	if n.connecting+n.busy+len(n.waiting) >= nodeMaxConns {
		n.c.rejected[n.c.currentSecond()]++
		call.done(Overloaded) // the connection table is full
		return
	}
	n.connecting++
	n.run(n.c.settings.handshake, func() {
		n.connecting--
		n.admit(call)
	})
}

// admit processes, queues or rejects an attempt that has a connection.
func (n *node) admit(call *nodeCall) {
	switch {
	case n.c.entry.now >= call.deadline, n.busy >= n.concurrency && len(n.waiting) >= n.queueLength:
		n.c.rejected[n.c.currentSecond()]++
		call.done(Overloaded)
	case n.failing != nil && n.failing():
		call.done(Error)
	case n.busy >= n.concurrency:
		n.waiting = append(n.waiting, &task{call: call})
	default:
		n.begin(call)
	}
}

// begin processes an attempt, with calls to the next tier in the middle of its work.
func (n *node) begin(call *nodeCall) {
	n.busy++
	finish := func(r Result) {
		n.busy--
		call.done(r)
		for len(n.waiting) > 0 && n.busy < n.concurrency {
			next := n.waiting[0].call
			n.waiting = n.waiting[1:]
			if n.c.entry.now >= next.deadline {
				next.done(Overloaded) // its caller has given up
				continue
			}
			n.begin(next)
		}
	}
	work := n.c.settings.work[n.tier] * n.c.entry.rng.ExpFloat64()
	if n.tier == len(n.c.tiers)-1 {
		n.run(work, func() { finish(OK) })
		return
	}
	b := n.c.inner[n.tier]
	var own int
	fmt.Sscanf(n.name, "s%d", &own)
	var next func(left int)
	next = func(left int) {
		if left == 0 {
			n.run(work/2, func() { finish(OK) })
			return
		}
		b.lastID++
		n.c.calls[n.tier][b.lastID] = func(ok bool) {
			if !ok {
				finish(Error)
				return
			}
			next(left - 1)
		}
		b.balancers[own].Request(n.c.entry.now, b.lastID, call.class, -1, call.deadline-n.c.entry.now)
	}
	n.run(work/2, func() { next(n.c.settings.calls) })
}

func (c *tierChain) currentSecond() int { return min(int(c.entry.now/time.Second), maxChainSeconds-1) }

func newTierChain(t testing.TB, settings chainSettings, seed uint64) *tierChain {
	c := &tierChain{t: t, settings: settings, clients: map[RequestID]func(bool, bool, time.Duration){}, attempted: map[RequestID]bool{}}
	cfg := fleetConfig()
	cfg.Classes = settings.classes
	cfg.AttemptLimit, cfg.AllowConcurrentAttempts, cfg.IdleConnTimeout = 4, false, chainIdleConnTimeout
	entryConfig := cfg
	entryConfig.Entry = true
	c.entry = newFleet(t, entryConfig, settings.entryBalancers, seed)
	c.entry.onSendID = func(id RequestID) { c.attempted[id] = true }
	c.entry.onReject = func(id RequestID, retryAfter time.Duration) {
		if !c.attempted[id] {
			c.rejectedUnsent[c.currentSecond()]++
		}
		delete(c.attempted, id)
		if respond := c.clients[id]; respond != nil {
			delete(c.clients, id)
			respond(false, true, retryAfter)
		}
	}
	c.entry.onEndID = func(id RequestID, served bool) {
		if respond := c.clients[id]; respond != nil {
			delete(c.clients, id)
			respond(served, false, 0)
		}
	}
	above := c.entry
	for k, n := range settings.nodes {
		nodes := make([]*node, n)
		for i := range nodes {
			nodes[i] = &node{c: c, tier: k, name: fmt.Sprint("s", i), cores: 1, concurrency: []int{30, 6, 6}[k], queueLength: 4, idleConns: map[int][]time.Duration{}}
		}
		c.tiers = append(c.tiers, nodes)
		caller := above
		above.serveFrom = func(from int, id RequestID, addr string, timeout time.Duration, done func(Result)) {
			c.attempts[c.currentSecond()]++
			if k == len(settings.nodes)-1 {
				c.lastTierAttempts[c.currentSecond()]++
			}
			var at int
			fmt.Sscanf(addr, "s%d", &at)
			ended := false
			finish := func(r Result) {
				if !ended {
					ended = true
					done(r)
				}
			}
			c.entry.after(timeout, func() { finish(Timeout) })
			nodes[at].arrive(from, &nodeCall{deadline: c.entry.now + timeout, class: caller.balancers[from].requests[id].class, done: finish})
		}
		above.sendList(Full, readyEndpoints("s", n))
		if k == len(settings.nodes)-1 {
			break
		}
		calls := map[RequestID]func(bool){}
		c.calls = append(c.calls, calls)
		next := newFleet(t, cfg, n, seed+100*uint64(k+1))
		next.clock = c.entry
		next.onEndID = func(id RequestID, served bool) {
			if respond := calls[id]; respond != nil {
				delete(calls, id)
				respond(served)
			}
		}
		c.inner = append(c.inner, next)
		above = next
	}
	return c
}

// capacity returns the number of requests per second that the tiers can serve, without the
// cost of connections.
func (c *tierChain) capacity() float64 {
	least, calls := 1e9, 1.0
	for k, n := range c.settings.nodes {
		least = min(least, float64(n)/(c.settings.work[k]*calls))
		calls *= float64(c.settings.calls)
	}
	return least
}

// arrive starts a client request, with its repeats.
func (c *tierChain) arrive() {
	number := 0
	for x := c.entry.rng.Float64(); number < len(c.settings.classShares)-1 && x >= c.settings.classShares[number]; number++ {
		x -= c.settings.classShares[number]
	}
	class := &c.settings.classes[number]
	startSecond, end := c.currentSecond(), c.entry.now+class.Deadline
	c.requests[startSecond]++
	start := c.entry.now
	honoursRetryAfter := c.entry.rng.Float64() < c.settings.retryAfterShare
	tryTimeoutShare := c.settings.tryTimeoutShare
	if c.settings.patientShare > 0 && c.entry.rng.Float64() < c.settings.patientShare {
		tryTimeoutShare = patientTimeoutShare
	}
	var try func(left int)
	try = func(left int) {
		now := c.entry.now
		budget := min(time.Duration(tryTimeoutShare*float64(class.Deadline)), end-now)
		if budget <= 0 {
			return
		}
		c.tries[c.currentSecond()]++
		c.entry.lastID++
		id := c.entry.lastID
		c.clients[id] = func(served, rejected bool, retryAfter time.Duration) {
			if served {
				c.served[startSecond]++
				if c.entry.now-start <= class.LatencyTarget {
					c.inTarget[startSecond]++
				}
				return
			}
			if left == 0 || !rejected && class.Idempotency == NonIdempotent {
				return
			}
			wait := time.Duration(10+c.entry.rng.IntN(80)) * ms
			if rejected && honoursRetryAfter {
				wait = max(wait, min(retryAfter, 800*ms))
			}
			c.entry.after(wait, func() { try(left - 1) })
		}
		c.entry.balancers[c.entry.rng.IntN(len(c.entry.balancers))].Request(now, id, number, -1, budget)
	}
	try(c.settings.clientRepeats)
}

// run simulates Poisson arrivals until the given time.
func (c *tierChain) run(until time.Duration) {
	f := c.entry
	var next func()
	next = func() {
		if c.offeredRate > 0 {
			c.arrive()
		}
		f.after(time.Duration(f.rng.ExpFloat64()/max(c.offeredRate, 1)*float64(time.Second)), next)
	}
	f.after(0, next)
	for len(f.events) > 0 && f.events[0].at < until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// sumSeconds returns the sum over the seconds from (included) to (excluded).
func sumSeconds(counts *[maxChainSeconds]int, from, to int) float64 {
	n := 0
	for _, x := range counts[from:to] {
		n += x
	}
	return float64(n)
}
