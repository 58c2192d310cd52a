package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker is a Host that plays servers at random and judges rules 1 to 3 from
// the actions alone, without looking into the Balancer.
type checker struct {
	t      *testing.T
	now    time.Duration
	rng    *rand.Rand
	cfg    Config
	list   map[string]Endpoint
	reqs   map[RequestID]*watched
	timers map[uint64]time.Duration
	trace  []string
}

type watched struct {
	class    int
	deadline time.Duration
	answered bool
	tries    []try
}

type try struct {
	addr   string
	sent   time.Duration
	due    time.Duration
	done   bool
	result Result
}

func (c *checker) errorf(format string, args ...any) {
	c.t.Helper()
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *checker) Send(id RequestID, addr string, timeout time.Duration) {
	c.trace = append(c.trace, fmt.Sprint(c.now, " send ", id, addr))
	w := c.reqs[id]
	if w.answered || c.now >= w.deadline {
		c.errorf("send for ended request %d", id)
	}
	if c.list[addr].State != Ready {
		c.errorf("send to %s, which is not ready", addr)
	}
	if len(w.tries) >= c.cfg.AttemptLimit {
		c.errorf("request %d: over the attempt limit", id)
	}
	class := c.cfg.Classes[w.class]
	for _, t := range w.tries {
		if t.done && (t.result == Overloaded || t.result == ConnectError || t.result == NotSent) {
			continue
		}
		if !t.done && !c.cfg.AllowConcurrentAttempts || class.Semantics == Unsafe {
			c.errorf("request %d: repeated while an attempt may have run", id)
		}
		if class.Semantics == Keyed && (c.list[t.addr].Cell != c.list[addr].Cell || c.now-t.sent >= class.DeduplicationWindow) {
			c.errorf("request %d: keyed repeat outside the group or its memory", id)
		}
	}
	due := c.now + min(timeout, time.Duration(c.rng.IntN(1200))*ms)
	w.tries = append(w.tries, try{addr: addr, sent: c.now, due: due})
}

func (c *checker) answer(id RequestID, what string) *watched {
	c.trace = append(c.trace, fmt.Sprint(c.now, what, id))
	w := c.reqs[id]
	if w.answered {
		c.errorf("request %d: answered twice", id)
	}
	if c.now > w.deadline+2*ms {
		c.errorf("request %d: answered late", id)
	}
	w.answered = true
	return w
}

func (c *checker) Refuse(id RequestID, _ time.Duration) {
	w := c.answer(id, " refuse ")
	for _, t := range w.tries {
		ran := !t.done || t.result != Overloaded && t.result != ConnectError && t.result != NotSent
		if ran && c.cfg.Classes[w.class].Semantics != Safe {
			c.errorf("request %d: refused though it may have run", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.answer(id, " fail ") }
func (c *checker) Watch()            {}
func (c *checker) After(d time.Duration, token uint64) {
	c.timers[token] = c.now + d
}

// step delivers what is due, in a fixed order.
func (c *checker) step(b *Balancer, last RequestID) {
	for id := RequestID(1); id <= last; id++ {
		w := c.reqs[id]
		for k := range w.tries {
			t := &w.tries[k]
			if t.done || t.due > c.now {
				continue
			}
			t.done = true
			t.result = Result(c.rng.IntN(int(NotSent) + 1))
			if t.result == OK {
				w.answered = true
			}
			b.Outcome(c.now, id, k, t.result, c.now-t.sent, w.answered)
		}
		for kind := range uint64(1 << timerBits) {
			token := uint64(id)<<timerBits | kind
			if at, ok := c.timers[token]; ok && at <= c.now {
				delete(c.timers, token)
				b.Timer(c.now, token)
			}
		}
	}
}

func randomRun(t *testing.T, seed uint64) []string {
	cfg := testConfig()
	cfg.AttemptLimit = 1 + int(seed%3)
	cfg.Entry = seed%2 == 0
	cfg.AllowConcurrentAttempts = seed%3 != 0
	c := &checker{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, list: map[string]Endpoint{}, reqs: map[RequestID]*watched{}, timers: map[uint64]time.Duration{}}
	b, err := New(cfg, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	const requests = 120
	for id := RequestID(1); id <= requests; id++ {
		for range c.rng.IntN(20) {
			c.now += ms
			c.step(b, id-1)
		}
		if c.rng.IntN(4) == 0 {
			i := c.rng.IntN(6)
			e := Endpoint{Addr: fmt.Sprint("e", i), State: State(c.rng.IntN(3)), Cell: i / 2, Zone: i % 2}
			if c.rng.IntN(2) == 0 {
				e.State, e.Since = Ready, c.now
			}
			c.list[e.Addr] = e
			b.Members(c.now, Delta, []Endpoint{e})
		}
		if c.rng.IntN(10) == 0 && id > 3 {
			gone := id - 1 - RequestID(c.rng.IntN(3))
			c.reqs[gone].answered = true
			b.Withdrawn(c.now, gone)
		}
		budget := time.Duration(1+c.rng.IntN(900)) * ms
		w := &watched{class: c.rng.IntN(len(cfg.Classes)), deadline: c.now + budget}
		c.reqs[id] = w
		b.Request(c.now, id, w.class, 0, budget)
	}
	for range 1000 {
		c.now += ms
		c.step(b, requests)
	}
	for id := RequestID(1); id <= requests; id++ {
		if !c.reqs[id].answered {
			c.errorf("request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		c.errorf("%d requests and %d attempts left behind", len(b.requests), b.inFlight)
	}
	return c.trace
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(20) {
		randomRun(t, seed)
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { randomRun(t, seed) })
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := randomRun(t, 7), randomRun(t, 7)
	if len(a) == 0 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Error("two runs of the same events differ")
	}
}

func benchmarkRequest(b *testing.B, n int) {
	cfg := testConfig()
	bal, err := New(cfg, 1, discard{})
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Addr: fmt.Sprint("e", i), State: Ready})
	}
	bal.Members(0, Full, list)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * ms
		bal.Request(now, RequestID(i), 0, 0, time.Second)
		bal.Outcome(now, RequestID(i), 0, OK, 10*ms, true)
	}
}

func BenchmarkRequest20(b *testing.B)  { benchmarkRequest(b, 20) }
func BenchmarkRequest500(b *testing.B) { benchmarkRequest(b, 500) }

type discard struct{}

func (discard) Send(RequestID, string, time.Duration) {}
func (discard) Refuse(RequestID, time.Duration)       {}
func (discard) Fail(RequestID)                        {}
func (discard) After(time.Duration, uint64)           {}
func (discard) Watch()                                {}
