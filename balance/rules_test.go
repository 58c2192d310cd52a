package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker implements Actions and simulates endpoints with random results. It checks the rules for
// attempts and responses from the calls alone, without access to the state of the Balancer.
type checker struct {
	t         *testing.T
	now       time.Duration
	rng       *rand.Rand
	cfg       Config
	endpoints map[string]Endpoint
	requests  map[RequestID]*requestState
	timers    map[uint64]time.Duration
	trace     []string
}

// requestState is what the checker knows of a request.
type requestState struct {
	class     int
	deadline  time.Duration
	responded bool
	attempts  []attemptState
}

type attemptState struct {
	addr   string
	sent   time.Duration
	endsAt time.Duration
	done   bool
	result Result
}

func (c *checker) errorf(format string, args ...any) {
	c.t.Helper()
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *checker) Send(id RequestID, addr string, timeout time.Duration) {
	c.trace = append(c.trace, fmt.Sprint(c.now, " send ", id, addr))
	w := c.requests[id]
	if w.responded || c.now >= w.deadline {
		c.errorf("request %d: attempt sent after its response or deadline", id)
	}
	if c.endpoints[addr].State != Ready {
		c.errorf("attempt sent to %s, which is not ready", addr)
	}
	if len(w.attempts) >= c.cfg.AttemptLimit {
		c.errorf("request %d: more attempts than AttemptLimit", id)
	}
	class := c.cfg.Classes[w.class]
	for _, t := range w.attempts {
		if t.done && (t.result == Overloaded || t.result == ConnectError || t.result == NotSent) {
			continue
		}
		if !t.done && !c.cfg.AllowConcurrentAttempts || class.Idempotency == NonIdempotent {
			c.errorf("request %d: retried although an attempt may have run", id)
		}
		if class.Idempotency == IdempotentByKey && (c.endpoints[t.addr].Cell != c.endpoints[addr].Cell || c.now-t.sent >= class.DeduplicationWindow) {
			c.errorf("request %d: retry of an IdempotentByKey request outside its cell or the deduplication window", id)
		}
	}
	inFlight := 0
	for _, t := range w.attempts {
		if !t.done {
			inFlight++
		}
	}
	if inFlight >= maxConcurrentAttempts {
		c.errorf("request %d: attempt sent beside %d others", id, inFlight)
	}
	due := c.now + min(timeout, time.Duration(c.rng.IntN(1200))*ms)
	w.attempts = append(w.attempts, attemptState{addr: addr, sent: c.now, endsAt: due})
}

// respond records that a request was rejected or failed.
func (c *checker) respond(id RequestID, what string) *requestState {
	c.trace = append(c.trace, fmt.Sprint(c.now, what, id))
	w := c.requests[id]
	if w.responded {
		c.errorf("request %d: got two responses", id)
	}
	if c.now > w.deadline+2*ms {
		c.errorf("request %d: response after its deadline", id)
	}
	w.responded = true
	return w
}

func (c *checker) Reject(id RequestID, _ time.Duration) {
	w := c.respond(id, " reject ")
	for _, t := range w.attempts {
		ran := !t.done || t.result != Overloaded && t.result != ConnectError && t.result != NotSent
		if ran && c.cfg.Classes[w.class].Idempotency != Idempotent {
			c.errorf("request %d: rejected although it may have run", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.respond(id, " fail ") }
func (c *checker) Watch()            {}
func (c *checker) After(d time.Duration, token uint64) {
	c.timers[token] = c.now + d
}

// step delivers the results and timers that are due, in a fixed order.
func (c *checker) step(b *Balancer, last RequestID) {
	for id := RequestID(1); id <= last; id++ {
		w := c.requests[id]
		for k := range w.attempts {
			t := &w.attempts[k]
			if !t.done && t.endsAt > c.now && c.rng.IntN(100) == 0 {
				b.ResponsePaused(c.now, id, k)
			}
			if t.done || t.endsAt > c.now {
				continue
			}
			t.done = true
			t.result = Result(c.rng.IntN(int(NotSent) + 1))
			if t.result == OK {
				w.responded = true
			}
			b.Outcome(c.now, id, k, t.result, c.now-t.sent, w.responded)
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

func runRandomEvents(t *testing.T, seed uint64) []string {
	cfg := testConfig()
	cfg.AttemptLimit = 1 + int(seed%3)
	cfg.Entry = seed%2 == 0
	cfg.AllowConcurrentAttempts = seed%3 != 0
	c := &checker{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, endpoints: map[string]Endpoint{}, requests: map[RequestID]*requestState{}, timers: map[uint64]time.Duration{}}
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
			c.endpoints[e.Addr] = e
			b.UpdateEndpoints(c.now, Delta, []Endpoint{e})
		}
		if c.rng.IntN(10) == 0 && id > 3 {
			cancelled := id - 1 - RequestID(c.rng.IntN(3))
			c.requests[cancelled].responded = true
			b.Cancelled(c.now, cancelled)
		}
		budget := time.Duration(1+c.rng.IntN(900)) * ms
		w := &requestState{class: c.rng.IntN(len(cfg.Classes)), deadline: c.now + budget}
		c.requests[id] = w
		b.Request(c.now, id, w.class, 0, budget)
	}
	for range 1000 {
		c.now += ms
		c.step(b, requests)
	}
	for id := RequestID(1); id <= requests; id++ {
		if !c.requests[id].responded {
			c.errorf("request %d: no response", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		c.errorf("%d requests and %d attempts left after the last response, want none", len(b.requests), b.inFlight)
	}
	return c.trace
}

func TestRandomEventsKeepRules(t *testing.T) {
	for seed := range uint64(20) {
		runRandomEvents(t, seed)
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := runRandomEvents(t, 7), runRandomEvents(t, 7)
	if len(a) == 0 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Error("two runs with the same events and seed made different calls")
	}
}

func benchmarkRequest(b *testing.B, n int) {
	cfg := testConfig()
	bal, err := New(cfg, 1, discardActions{})
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Addr: fmt.Sprint("e", i), State: Ready})
	}
	bal.UpdateEndpoints(0, Full, list)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * ms
		bal.Request(now, RequestID(i), 0, 0, time.Second)
		bal.Outcome(now, RequestID(i), 0, OK, 10*ms, true)
	}
}

func BenchmarkRequest20(b *testing.B)  { benchmarkRequest(b, 20) }
func BenchmarkRequest500(b *testing.B) { benchmarkRequest(b, 500) }

type discardActions struct{}

func (discardActions) Send(RequestID, string, time.Duration) {}
func (discardActions) Reject(RequestID, time.Duration)       {}
func (discardActions) Fail(RequestID)                        {}
func (discardActions) After(time.Duration, uint64)           {}
func (discardActions) Watch()                                {}
