package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// sentAttempt records the arguments of a call of Actions.Send.
type sentAttempt struct {
	id      RequestID
	addr    string
	timeout time.Duration
}

// recorder implements Actions and records the calls.
type recorder struct {
	sends    []sentAttempt
	rejected []RequestID
	failed   []RequestID
	timers   map[uint64]time.Duration
	watches  int
}

func (h *recorder) Send(id RequestID, addr string, timeout time.Duration) {
	h.sends = append(h.sends, sentAttempt{id, addr, timeout})
}
func (h *recorder) Reject(id RequestID, _ time.Duration) { h.rejected = append(h.rejected, id) }
func (h *recorder) Fail(id RequestID)                    { h.failed = append(h.failed, id) }
func (h *recorder) Watch()                               { h.watches++ }
func (h *recorder) After(d time.Duration, token uint64) {
	if h.timers == nil {
		h.timers = map[uint64]time.Duration{}
	}
	h.timers[token] = d
}

func testConfig() Config {
	return Config{
		Instances: 1, AttemptLimit: 3, AllowConcurrentAttempts: true, Multiplex: 1, IdleConnTimeout: 5 * time.Second,
		SlowStartInitialShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadWindow: 2 * time.Second,
		Classes: []Class{
			{LatencyTarget: 500 * ms, Deadline: time.Second, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyTarget: 500 * ms, Deadline: time.Second, Idempotency: NonIdempotent, PriorityWeight: 1},
			{LatencyTarget: 500 * ms, Deadline: time.Second, Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 300 * ms, PriorityWeight: 1},
		},
	}
}

func newTestBalancer(t testing.TB, cfg Config, addrs ...string) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i, a := range addrs {
		list = append(list, Endpoint{Addr: a, State: Ready, Cell: i / 2})
	}
	b.UpdateEndpoints(0, Full, list)
	return b, h
}

// pickShares returns the share of n selections that each address got.
func pickShares(b *Balancer, now time.Duration, n int) map[string]float64 {
	got := map[string]float64{}
	for range n {
		r := &request{deadline: now + time.Second}
		got[b.endpoints[b.pick(r, now)].Addr] += 1 / float64(n)
	}
	return got
}

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01 {
		t.Errorf("%s: got %.3f, want %.3f", what, got, want)
	}
}

// Means of 10, 20 and 40 ms have weights 1, 1/2 and 1/4, so the probabilities of a draw
// are 4/7, 2/7 and 1/7. The lower mean of two draws wins, so the highest is selected only
// if drawn twice.
func TestPickFollowsRatioWithTwoDraws(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a", "b", "c")
	for i, mean := range []float64{0.010, 0.020, 0.040} {
		for range windowSize {
			b.endpoints[i].addSample(0, mean)
		}
	}
	got := pickShares(b, 0, 100000)
	checkNear(t, "a", got["a"], 1-9.0/49)
	checkNear(t, "b", got["b"], 9.0/49-1.0/49)
	checkNear(t, "c", got["c"], 1.0/49)
}

func TestFailuresLowerWeightAboveZero(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a", "b")
	for i := range b.endpoints {
		b.endpoints[i].addSample(0, 0.010)
	}
	b.endpoints[1].failures.add(0, 1) // a quarter of a's weight, so it is drawn with probability 1/5; its mean is higher, so it must be drawn twice
	checkNear(t, "after a failure", pickShares(b, 0, 100000)["b"], 0.2*0.2)
	b.endpoints[1].failures.add(0, 1)
	if s := pickShares(b, 0, 10000)["b"]; s <= 0 || s > 0.15 {
		t.Errorf("after two failures: got share %v, want above 0 and at most 0.15", s)
	}
	checkNear(t, "after a long time", pickShares(b, time.Hour, 100000)["b"], 0.5)
}

// An endpoint that fails all attempts immediately keeps its earlier low mean, which must not
// make it win against healthy ones.
func TestFailingEndpointDoesNotWinByMean(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "failing", "b", "c", "d")
	for i := range b.endpoints {
		b.endpoints[i].addSample(0, 0.1)
	}
	b.endpoints[b.indexByAddr["failing"]].sampleSum = 0.05
	b.endpoints[b.indexByAddr["failing"]].failures.add(0, 3)
	got := pickShares(b, 0, 20000)
	// It is drawn with probability (1/16)/(3+1/16) = 1/49, and must be drawn twice.
	if got["failing"] > 0.005 {
		t.Errorf("the failing endpoint got share %.4f, want about (1/49)^2", got["failing"])
	}
}

func TestUnsampledEndpointCountsAsBest(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a", "b")
	b.endpoints[0].addSample(0, 0.010)
	checkNear(t, "unsampled", pickShares(b, 0, 100000)["b"], 0.5)
}

func TestMeanOfSampleWindow(t *testing.T) {
	var e endpoint
	for range 50 {
		e.addSample(0, 9)
	}
	for i := range windowSize {
		e.addSample(0, float64(i))
	}
	if got := e.mean(0); math.Abs(got-9.5) > 1e-9 {
		t.Errorf("mean: got %v, want 9.5", got)
	}
}

// An unresponsive endpoint adds no samples, so attempts in flight must raise its mean.
func TestUnresponsiveEndpointMeanRises(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a", "b")
	b.endpoints[0].addSample(0, 0.010)
	b.endpoints[1].addSample(0, 0.010)
	b.endpoints[1].inFlight = append(b.endpoints[1].inFlight, attemptRef{request: &request{attempts: []attempt{{durationRatio: 1}}}})
	if m := b.endpoints[1].mean(500 * ms); math.Abs(m-0.255) > 1e-9 {
		t.Errorf("mean with an attempt in flight for 500 ms: got %v, want 0.255", m)
	}
	if s := pickShares(b, 500*ms, 10000)["b"]; s > 0.05 {
		t.Errorf("share of the unresponsive endpoint: got %v, want at most 0.05", s)
	}
}

func TestRetriesFollowIdempotency(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		result    Result
		wantRetry bool
		rejected  bool
	}{
		{"idempotent after an error", 0, Error, true, false},
		{"non-idempotent after an error", 1, Error, false, false},
		{"non-idempotent after a reset", 1, Reset, false, false},
		{"non-idempotent rejected before processing", 1, Overloaded, true, false},
		{"non-idempotent not connected", 1, ConnectError, true, false},
		{"non-idempotent not sent", 1, NotSent, true, false},
		{"idempotent by key after an error", 2, Error, true, false},
	} {
		b, h := newTestBalancer(t, testConfig(), "a", "b", "c", "d")
		b.retryTokens = 5
		b.Request(0, 1, c.class, 0, time.Second)
		b.Outcome(ms, 1, 0, c.result, ms, false)
		if retried := len(h.sends) == 2; retried != c.wantRetry {
			t.Errorf("%s: retried %v, want %v", c.name, retried, c.wantRetry)
			continue
		}
		if !c.wantRetry && len(h.failed) != 1 {
			t.Errorf("%s: got rejected requests %v and failed requests %v, want one failed", c.name, h.rejected, h.failed)
		}
		if c.class == 2 && b.endpoints[b.indexByAddr[h.sends[0].addr]].Cell != b.endpoints[b.indexByAddr[h.sends[1].addr]].Cell {
			t.Errorf("%s: the retry went to another cell", c.name)
		}
	}
}

func TestIdempotentByKeyRetryOnlyWithinDeduplicationWindow(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b")
	b.retryTokens = 5
	b.Request(0, 1, 2, 0, time.Second)
	b.Outcome(400*ms, 1, 0, Error, 400*ms, false)
	if len(h.sends) != 1 || len(h.failed) != 1 {
		t.Errorf("got %d sends and %d failed requests, want 1 and 1", len(h.sends), len(h.failed))
	}
}

func TestNoSendToDrainingOrGone(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b")
	b.UpdateEndpoints(0, Delta, []Endpoint{{Addr: "a", State: Draining}, {Addr: "b", State: Gone}})
	b.Request(0, 1, 0, 0, time.Second)
	if len(h.sends) != 0 {
		t.Fatalf("sent to %v", h.sends)
	}
	b.UpdateEndpoints(ms, Delta, []Endpoint{{Addr: "c", State: Ready}})
	if len(h.sends) != 1 || h.sends[0].addr != "c" {
		t.Errorf("held request: got sends %v, want one to c", h.sends)
	}
}

func TestHeldRequestIsRejectedInTime(t *testing.T) {
	b, h := newTestBalancer(t, testConfig())
	b.Request(0, 1, 1, 0, time.Second)
	for token, d := range h.timers {
		b.Timer(d, token)
	}
	if len(h.rejected) != 1 || len(h.failed) != 0 {
		t.Errorf("got rejected requests %v and failed requests %v, want one rejected", h.rejected, h.failed)
	}
}

func TestColdBudgetLimitsToEvenShare(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b", "c", "d")
	now := 100 * time.Second
	b.UpdateEndpoints(now, Delta, []Endpoint{{Addr: "d", State: Ready, Since: now}})
	cold := 0
	for i := range RequestID(4000) { // 1000 per second for the first 4 s
		now += ms
		n := len(h.sends)
		b.Request(now, i, 0, 0, time.Second)
		if h.sends[n].addr == "d" {
			cold++
		}
		b.Outcome(now, i, 0, OK, 10*ms, true)
	}
	// d has 0.2 to 0.52 of its capacity, so its even share is 0.36 * 1000/4 per second.
	if cold == 0 || cold > 400 {
		t.Errorf("cold endpoint got %d of 4000 requests, want 1 to 400", cold)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	if _, err := New(testConfig(), 1, nil); err == nil {
		t.Error("nil Actions: want an error")
	}
	for name, invalidate := range map[string]func(*Config){
		"Classes":               func(c *Config) { c.Classes = nil },
		"Instances":             func(c *Config) { c.Instances = 0 },
		"Index":                 func(c *Config) { c.Index = 1 },
		"WorstClassWeight":      func(c *Config) { c.WorstClassWeight = 2 },
		"AttemptLimit":          func(c *Config) { c.AttemptLimit = 0 },
		"OverloadFactor":        func(c *Config) { c.OverloadFactor = -1 },
		"SlowStartInitialShare": func(c *Config) { c.SlowStartInitialShare = 2 },
		"Deadline":              func(c *Config) { c.Classes[0].Deadline = 0 },
		"Multiplex":             func(c *Config) { c.Multiplex = 0 },
		"MaxWatchInterval":      func(c *Config) { c.PullDiscovery = true },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1, &recorder{}); err == nil {
			t.Errorf("%s: want an error", name)
		}
	}
}

// Many rejected attempts at once must not multiply the load.
func TestRetryBudget(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b", "c", "d")
	for i := range RequestID(1000) {
		b.Request(0, i, 0, 0, time.Second)
	}
	for done := 0; done < len(h.sends); done++ {
		s := h.sends[done]
		b.Outcome(ms, s.id, len(b.requests[s.id].attempts)-1, Overloaded, ms, false)
	}
	if retries := len(h.sends) - 1000; retries == 0 || retries > minRetryBurst {
		t.Errorf("got %d retries at once, want 1 to %d", retries, minRetryBurst)
	}
}

// Failed non-idempotent requests, which are not sent again, must not use up the retries of
// idempotent ones.
func TestRetryBudgetIsSpentOnlyOnRetries(t *testing.T) {
	const idempotent, nonIdempotent = 0, 1
	b, h := newTestBalancer(t, testConfig(), "a", "b", "c", "d")
	for i := range RequestID(10 * minRetryBurst) {
		b.Request(0, i, nonIdempotent, 0, time.Second)
		b.Outcome(ms, i, 0, Reset, ms, false)
	}
	const last = 10 * minRetryBurst
	b.Request(2*ms, last, idempotent, 0, time.Second)
	b.Outcome(3*ms, last, 0, Reset, ms, false)
	if n := len(h.sends); n != last+2 || h.sends[n-1].id != last {
		t.Errorf("got %d attempts for %d requests, want a second one for the idempotent request", n, last+1)
	}
}

// A delayed attempt may start if no other attempt of its request may have run, also for
// a non-idempotent request. If Confirm counted the attempt itself, a request with a delayed
// connection would be rejected without having been sent.
func TestConfirmChecksEarlierAttempts(t *testing.T) {
	for class, c := range testConfig().Classes {
		b, _ := newTestBalancer(t, testConfig(), "a", "b", "c")
		b.Request(0, 1, class, 0, time.Second)
		if !b.Confirm(20*ms, 1, 0) {
			t.Errorf("idempotency %d: first attempt not confirmed after 20 ms", c.Idempotency)
		}
		b.Outcome(30*ms, 1, 0, ConnectError, 10*ms, false)
		if r := b.requests[1]; r == nil || len(r.attempts) != 2 || !b.Confirm(60*ms, 1, 1) {
			t.Fatalf("idempotency %d: second attempt not confirmed although the first never ran", c.Idempotency)
		}
		b.endpoints[b.requests[1].attempts[1].endpoint].State = Draining
		if b.Confirm(70*ms, 1, 1) {
			t.Errorf("idempotency %d: attempt at a draining endpoint confirmed", c.Idempotency)
		}
	}
}

// An endpoint that refuses connections keeps its mean, as a ConnectError adds no sample.
// The connect backoff must keep attempts away from it instead.
func TestConnectErrorStopsNewConnections(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b")
	b.endpoints[0].addSample(0, 0.001)
	b.endpoints[1].addSample(0, 0.010)
	b.recordOutcome(0, &request{}, &attempt{endpoint: 0, durationRatio: 1}, 0, ConnectError, ms)
	for i := range RequestID(50) {
		b.Request(100*ms, i, 0, 0, time.Second)
	}
	for _, s := range h.sends {
		if s.addr == "a" {
			t.Fatal("new connection to an endpoint during its connect backoff")
		}
	}
	if !b.connectable(&b.endpoints[0], 2*time.Second) {
		t.Error("not connectable 2 s after the ConnectError")
	}
}

// A burst arrives before any response. By the means alone all of it would go to the
// endpoint that was fastest without load.
func TestBurstSpreadsBeforeFirstResponse(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b", "c", "d")
	for i, mean := range []float64{0.010, 0.020, 0.020, 0.020} {
		b.endpoints[i].addSample(0, mean)
	}
	for i := range RequestID(100) {
		b.Request(ms, i, 0, 0, time.Second)
	}
	n := 0
	for _, s := range h.sends {
		if s.addr == "a" {
			n++
		}
	}
	if n < 25 || n > 50 {
		t.Errorf("the fastest endpoint got %d of 100 requests, want 25 to 50", n)
	}
}

// At low request rates in a large fleet each instance uses a stable subset, and all
// instances together use every endpoint.
func TestLowRatesUseStableSubsets(t *testing.T) {
	var addrs []string
	for i := range 60 {
		addrs = append(addrs, fmt.Sprint("e", i))
	}
	all := map[string]bool{}
	for index := range 12 {
		cfg := testConfig()
		cfg.Index, cfg.Instances = index, 12
		b, h := newTestBalancer(t, cfg, addrs...)
		used := map[string]bool{}
		for i := range RequestID(500) {
			b.Request(time.Duration(i)*10*ms, i, 0, 0, time.Second)
			b.Outcome(time.Duration(i)*10*ms, i, 0, OK, ms, true)
			used[h.sends[i].addr] = true
			all[h.sends[i].addr] = true
		}
		if len(used) > minSubsetSize {
			t.Errorf("instance %d used %d endpoints, want at most %d", index, len(used), minSubsetSize)
		}
	}
	if len(all) != 60 {
		t.Errorf("all instances together used %d endpoints, want 60", len(all))
	}
}

// In an overload, admission control at the entry tier rejects requests of low priority
// weight first.
func TestAdmissionRejectsLowPriorityWeightFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	cfg.Classes[0].PriorityWeight = 10
	b, h := newTestBalancer(t, cfg, "a", "b")
	rejected := [2]int{}
	for i := range RequestID(4000) {
		now := time.Duration(i) * ms
		n := len(h.rejected)
		b.Request(now, i, int(i%2), 0, time.Second)
		rejected[i%2] += len(h.rejected) - n
		if old := i - 40; i >= 40 && b.requests[old] != nil { // 40 ms each; slower with over 20 in flight
			elapsed := time.Duration(40*ms) + time.Duration(max(0, b.inFlight-20))*100*ms
			b.Outcome(now, old, 0, OK, elapsed, true)
		}
	}
	if rejected[1] < 500 || rejected[0] > rejected[1]/2 {
		t.Errorf("rejected %d of high priority weight and %d of low, want at least 500 of low and at most half as many of high", rejected[0], rejected[1])
	}
}

// Of two classes of equal priority weight, the one with twice the duration has a quarter of the
// priority, and is rejected well below the limit.
func TestCostlyClassIsRejectedFirst(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a")
	b.classes[0].meanSeconds, b.classes[0].sampleCount = 0.1, 100
	b.classes[1].meanSeconds, b.classes[1].sampleCount = 0.2, 100
	b.admission.limit = 20
	maxInFlight := [2]int{}
	for inFlight := range 20 {
		for class := range 2 {
			if b.admission.admits(b.priority(0, class, -1), 1, inFlight) {
				maxInFlight[class] = inFlight
			}
		}
	}
	if maxInFlight[0] < 18 || maxInFlight[1] > 15 {
		t.Errorf("admitted with up to %d attempts in flight, the costly class with up to %d, want at least 18 and at most 15", maxInFlight[0], maxInFlight[1])
	}
}

func TestTenantOverQuotaHasLowerPriority(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuotas, cfg.OverQuotaWeight = []float64{10, 0}, 0.1
	b, _ := newTestBalancer(t, cfg, "a")
	overQuota := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * ms
		if b.priority(now, 0, 0) < 1 {
			overQuota++
		} else {
			b.admit(now, &request{deadline: time.Second}, 0)
		}
		if b.priority(now, 0, 1) < 1 {
			t.Fatal("a quota was applied to a tenant without one")
		}
	}
	if overQuota < 880 || overQuota > 910 {
		t.Errorf("%d of 1000 requests over the quota at ten times the quota, want about 900", overQuota)
	}
}

// A connect error of an endpoint that served recently counts as congestion, as its
// connection table is full. One of an endpoint that is down must not.
func TestConnectErrorIsCongestionOnlyOfLiveEndpoint(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), "a")
	r, a := &request{}, &attempt{durationRatio: 1}
	if b.isCongestion(time.Second, r, a, ConnectError, ms) {
		t.Error("ConnectError of an endpoint that never served: counted as congestion")
	}
	b.recordOutcome(time.Second, r, a, 0, OK, ms)
	if !b.isCongestion(1100*ms, r, a, ConnectError, ms) {
		t.Error("ConnectError of an endpoint that served 100 ms ago: not counted as congestion")
	}
	if b.isCongestion(5*time.Second, r, a, ConnectError, ms) {
		t.Error("ConnectError of an endpoint that last served 4 s ago: counted as congestion")
	}
}

// A response on an open connection does not show that new connections succeed.
func TestSuccessDoesNotEndConnectBackoff(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b")
	b.recordOutcome(0, &request{}, &attempt{endpoint: 0, durationRatio: 1}, 0, ConnectError, ms)
	b.recordOutcome(ms, &request{}, &attempt{endpoint: 0, durationRatio: 1}, 0, OK, ms)
	for i := range RequestID(20) {
		b.Request(2*ms, i, 0, 0, time.Second)
		if h.sends[i].addr == "a" {
			t.Fatal("new connection 1 ms after a ConnectError")
		}
	}
}

// A limit at its minimum must grow again once the congestion has ended.
func TestLimitGrowsAfterCongestion(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	b, _ := newTestBalancer(t, cfg, "a", "b")
	b.admission.limit, b.admission.meanPriority, b.admission.prioritySamples = minLimit, 1, priorityWindow
	admitted := 0
	for i := range RequestID(20000) {
		now := time.Duration(i) * ms
		b.Request(now, i, 1, 0, time.Second)
		if i >= 20 && b.requests[i-20] != nil {
			b.Outcome(now, i-20, 0, OK, 20*ms, true)
		}
		if i >= 19000 && b.requests[i] != nil {
			admitted++
		}
	}
	if admitted < 950 {
		t.Errorf("admitted %d of the last 1000, want at least 950", admitted)
	}
}

// An unreachable zone must lose its share before each of its endpoints has failed, and
// regain it with the first response.
func TestUnreachableZoneLosesItsShare(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig())
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{Addr: fmt.Sprint("e", i), State: Ready, Zone: i % 2})
	}
	b.UpdateEndpoints(0, Full, list)
	for _, i := range []int{1, 3, 5, 1} {
		b.recordOutcome(0, &request{}, &attempt{endpoint: i, durationRatio: 1}, 0, Timeout, ms)
	}
	if s := pickShares(b, 0, 10000)["e7"]; s > 0.03 {
		t.Errorf("untried endpoint of the unreachable zone: got share %v, want at most 0.03", s)
	}
	b.recordOutcome(0, &request{}, &attempt{endpoint: 7, durationRatio: 1}, 0, OK, 10*ms)
	if s := pickShares(b, 0, 10000)["e7"]; s < 0.1 {
		t.Errorf("after a response from the zone: got share %v, want at least 0.1", s)
	}
}

// WorstClassWeight prevents starvation of the class with the least priority weight.
func TestWorstClassWeightRaisesPriority(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].PriorityWeight = 10
	b, _ := newTestBalancer(t, cfg, "a")
	b.classes[0] = classStats{requested: 100, servedInTarget: 90}
	b.classes[1] = classStats{requested: 100, servedInTarget: 10}
	if b.priority(0, 1, 0) >= b.priority(0, 0, 0) {
		t.Error("without WorstClassWeight, want the higher priority for the class with ten times the priority weight")
	}
	b.cfg.WorstClassWeight = 0.6
	if b.priority(0, 1, 0) <= b.priority(0, 0, 0) {
		t.Error("with WorstClassWeight, want the higher priority for the worst served class")
	}
}

// With a cross-zone price the own zone gets most requests, unless it is much slower.
func TestCrossZonePriceRaisesMean(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZonePrice = 0.01
	b, _ := newTestBalancer(t, cfg)
	b.UpdateEndpoints(0, Full, []Endpoint{{Addr: "near", State: Ready, Zone: 0}, {Addr: "far", State: Ready, Zone: 1}})
	b.endpoints[0].addSample(0, 0.010)
	b.endpoints[1].addSample(0, 0.010)
	checkNear(t, "far, with twice the mean", pickShares(b, 0, 100000)["far"], 1.0/9)
	for range windowSize {
		b.endpoints[0].addSample(0, 0.080)
	}
	if s := pickShares(b, 0, 10000)["far"]; s < 0.9 {
		t.Errorf("own zone eight times slower: far got share %v, want at least 0.9", s)
	}
}

// The budget of a client's last try is cut to the time that remains. If that shows that
// the latency target has passed, the request is admitted after fresh requests of its
// class.
func TestLateRepeatsAdmittedAfterFreshRequests(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	cfg.Classes[0].LatencyTarget, cfg.Classes[0].Deadline = 200*ms, time.Second
	b, _ := newTestBalancer(t, cfg, "a")
	b.admission.limit = 20
	admitted := [2]int{}
	for i := range RequestID(40) {
		budget := [4]time.Duration{600 * ms, 400 * ms, 600 * ms, 600 * ms}[i%4] // the client of the second has waited 600 ms
		n := b.inFlight
		b.Request(0, i, 0, 0, budget-time.Duration(i)*time.Microsecond)
		if i%4 < 2 {
			admitted[i%2] += b.inFlight - n
		}
	}
	// A last try with more than the usual budget was sent early. After it, the usual
	// budget must still not count as waiting.
	lastTry := &request{deadline: 900 * ms}
	fresh := &request{deadline: 600 * ms}
	if w := b.earlierWait(lastTry); w != 100*ms {
		t.Errorf("last try with 900 of 1000 ms left: got earlier wait %v, want 100 ms", w)
	}
	if w := b.earlierWait(fresh); w != 0 {
		t.Errorf("usual budget after a longer one: got earlier wait %v, want 0", w)
	}
	if admitted[0] <= admitted[1] || b.inFlight < 19 {
		t.Errorf("admitted %d fresh requests and %d late repeats at a limit of 20, want more fresh ones and at least 19 attempts in flight", admitted[0], admitted[1])
	}
}

// The limit must fall once attempts are in flight past their latency target. If it fell
// only at their deadline, too many requests would already have been admitted.
func TestLateAttemptsLowerLimitBeforeTheyEnd(t *testing.T) {
	cfg := testConfig()
	cfg.Entry = true
	cfg.Classes[0].LatencyTarget, cfg.Classes[0].Deadline = 200*ms, 5*time.Second
	b, h := newTestBalancer(t, cfg, "a", "b")
	for i := range RequestID(100) {
		now := time.Duration(i) * 10 * ms
		if i >= 20 {
			b.Timer(now, uint64(i-20)<<timerBits|timerLate)
		}
		b.Request(now, i, 0, 0, 5*time.Second)
	}
	if len(h.rejected) < 40 {
		t.Errorf("rejected %d of 100 requests with every attempt past its latency target, want at least 40", len(h.rejected))
	}
}

// More attempts in flight than can meet their latency targets are late on average. The
// limit falls to that number at once, and after that by the congested share.
func TestLimitFallsToInTargetConcurrency(t *testing.T) {
	a := admission{limit: 200}
	for range minCongestionOutcomes {
		a.lateInFlight++
		a.observe(true, 200, 1000, 30)
	}
	if a.limit != 30 {
		t.Errorf("limit %v after a round trip of late attempts, want 30", a.limit)
	}
	for range 200 { // rejected, not late: the lower inTarget must not apply
		a.observe(true, 30, 1000, 5)
	}
	if a.limit < 15 {
		t.Errorf("limit %v after a round trip of rejected attempts, want at least 15", a.limit)
	}
}

func TestLatencyTargetDefaultsToDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].LatencyTarget = 0
	b, _ := newTestBalancer(t, cfg, "a")
	if b.isCongestion(0, &request{}, &attempt{durationRatio: 1}, OK, cfg.Classes[0].Deadline/2) {
		t.Error("without a latency target, a response within the deadline counted as congestion")
	}
	if cfg.Classes[0].LatencyTarget != 0 {
		t.Error("New modified the caller's Config")
	}
}

// A class added later uses the measurements of the endpoints, and all measurements are
// kept.
func TestAddClassKeepsMeasurements(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "fast", "slow")
	now := time.Duration(0)
	for id := RequestID(1); id <= 60; id++ {
		b.Request(now, id, 0, -1, time.Second)
		took := 10 * ms
		if h.sends[len(h.sends)-1].addr == "slow" {
			took = 200 * ms
		}
		now += took
		b.Outcome(now, id, 0, OK, took, true)
	}
	before := pickShares(b, now, 2000)["fast"]
	if before < 0.9 {
		t.Fatalf("the fast endpoint got share %.2f, want at least 0.9", before)
	}
	class, err := b.AddClass(Class{Deadline: 2 * time.Second, Idempotency: NonIdempotent, PriorityWeight: 5})
	if err != nil || class != 3 {
		t.Fatalf("AddClass: got class %d, error %v, want class 3", class, err)
	}
	checkNear(t, "share of the fast endpoint", pickShares(b, now, 2000)["fast"], before)
	b.Request(now, 100, class, -1, 2*time.Second)
	if last := h.sends[len(h.sends)-1]; last.id != 100 || last.timeout != 2*time.Second {
		t.Errorf("last send %+v, want request 100 with a timeout of 2 s", last)
	}
	b.Outcome(now+10*ms, 100, 0, Reset, 10*ms, false)
	if n := len(h.sends); h.sends[n-1].id != 100 || len(h.failed) != 1 {
		t.Errorf("non-idempotent request that may have run: got failed requests %v, want only 100", h.failed)
	}
	if _, err := b.AddClass(Class{}); err == nil {
		t.Error("AddClass accepted a class without a deadline")
	}
}

// A lower AttemptLimit applies to open requests too, invalid settings change nothing, and
// a class added later is served.
func TestReconfigure(t *testing.T) {
	cfg := testConfig()
	b, h := newTestBalancer(t, cfg, "a", "b", "c")
	b.Request(0, 1, 0, 0, time.Second)
	cfg.AttemptLimit = 0
	if err := b.Reconfigure(cfg); err == nil || b.cfg.AttemptLimit != 3 {
		t.Errorf("AttemptLimit 0: got error %v and limit %d, want an error and 3", err, b.cfg.AttemptLimit)
	}
	cfg.AttemptLimit = 1
	if err := b.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	b.Outcome(5*ms, 1, 0, Error, 5*ms, false)
	if len(h.sends) != 1 || len(h.rejected)+len(h.failed) != 1 {
		t.Errorf("%d attempts, %d rejected or failed, want one of each", len(h.sends), len(h.rejected)+len(h.failed))
	}
	i, err := b.AddClass(Class{Deadline: time.Second, Idempotency: NonIdempotent, PriorityWeight: 1})
	if err != nil || i != len(cfg.Classes) {
		t.Fatalf("AddClass: got class %d, error %v, want class 3", i, err)
	}
	cfg.AttemptLimit = 3
	if err := b.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	b.Request(10*ms, 2, i, 0, time.Second)
	if len(h.sends) != 2 {
		t.Errorf("%d attempts after a request of the new class, want 2", len(h.sends))
	}
	b.Outcome(15*ms, 2, 0, Reset, 5*ms, false)
	if len(h.sends) != 2 || len(h.failed) != 1 {
		t.Errorf("non-idempotent request after a reset: %d attempts, %d failed, want 2 and 1", len(h.sends), len(h.failed))
	}
}

// Close ends each open request once: it rejects those that the client may repeat, and
// fails the others.
func TestCloseEndsAllOpenRequests(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), "a", "b")
	b.Request(0, 1, 0, -1, time.Second)
	b.Request(0, 2, 1, -1, time.Second)
	b.Request(0, 3, 1, -1, time.Second)
	b.Outcome(10*ms, 3, 0, OK, 10*ms, true)
	b.UpdateEndpoints(20*ms, Full, nil)
	b.Request(20*ms, 4, 1, -1, time.Second) // held, never sent
	b.Close(30 * ms)
	b.Close(40 * ms)
	if got, want := fmt.Sprint(h.rejected, h.failed), "[1 4] [2]"; got != want {
		t.Errorf("got rejected and failed requests %s, want %s", got, want)
	}
	b.Outcome(50*ms, 2, 0, NotSent, 30*ms, true)
	b.Timer(time.Second, 2<<timerBits|timerDeadline)
	if len(h.sends) != 3 || len(h.failed) != 1 {
		t.Errorf("after Close: %d attempts, %d failed, want 3 and 1", len(h.sends), len(h.failed))
	}
}

// A pause inside a response lets another attempt begin beside it where class, settings and retry
// budget permit one, and ends nothing.
func TestPausedResponse(t *testing.T) {
	for _, c := range []struct {
		name       string
		class      int
		concurrent bool
		noTokens   bool
		pausedAt   time.Duration
		want       int // attempts
	}{
		{"idempotent", 0, true, false, 500 * ms, 2},
		{"idempotent, one attempt at a time", 0, false, false, 500 * ms, 1},
		{"idempotent, no retry budget", 0, true, true, 500 * ms, 1},
		{"idempotent, no time left", 0, true, false, 990 * ms, 1},
		{"not idempotent", 1, true, false, 500 * ms, 1},
		{"by key, within the window", 2, true, false, 200 * ms, 2},
		{"by key, after the window", 2, true, false, 500 * ms, 1},
	} {
		cfg := testConfig()
		cfg.AllowConcurrentAttempts = c.concurrent
		b, h := newTestBalancer(t, cfg, "a", "b")
		for i := range b.endpoints {
			b.endpoints[i].addSample(0, 0.1)
		}
		if c.noTokens {
			b.retryTokens = 0
		}
		b.Request(0, 1, c.class, 0, time.Second)
		b.ResponsePaused(c.pausedAt, 1, 0)
		for number := range len(h.sends) { // a pause of the second attempt as well starts no third
			b.ResponsePaused(c.pausedAt+ms, 1, number)
		}
		if len(h.sends) != c.want || len(h.rejected)+len(h.failed) != 0 {
			t.Errorf("%s: %d attempts, %d rejections, %d failures, want %d attempts and no end", c.name, len(h.sends), len(h.rejected), len(h.failed), c.want)
		}
		b.Outcome(c.pausedAt+2*ms, 1, 0, OK, c.pausedAt+2*ms, true)
		if c.want == 2 {
			b.Outcome(c.pausedAt+3*ms, 1, 1, Cancelled, ms, true)
		}
		if len(b.requests) != 0 || b.inFlight != 0 {
			t.Errorf("%s: %d requests and %d attempts are left", c.name, len(b.requests), b.inFlight)
		}
	}
}

// A request with a key that may have run in another process than the listed one is not repeated, and the
// repeat of one that may have run is not sent to another process, where only a group of endpoints
// deduplicates repeats.
func TestKeyedRequestAndOtherProcess(t *testing.T) {
	for _, c := range []struct {
		name     string
		scope    DeduplicationScope
		first    bool // the first attempt may have reached another process
		attempts int
		allowed  bool // for a repeat that may reach another process
	}{
		{"cell", ScopeCell, true, 1, true},
		{"zone", ScopeZone, true, 1, true},
		{"all", ScopeAll, true, 2, true},
		{"cell, repeat", ScopeCell, false, 2, false},
		{"zone, repeat", ScopeZone, false, 2, false},
		{"all, repeat", ScopeAll, false, 2, true},
	} {
		cfg := testConfig()
		cfg.Classes[2].DeduplicationScope = c.scope
		b, h := newTestBalancer(t, cfg, "a", "b")
		b.Request(0, 1, 2, 0, time.Second)
		if c.first && !b.MayReachOtherProcess(1, 0) {
			t.Errorf("%s: the first attempt may not be sent", c.name)
		}
		b.Outcome(10*ms, 1, 0, Reset, 10*ms, false)
		if !c.first && b.MayReachOtherProcess(1, 1) != c.allowed {
			t.Errorf("%s: a repeat that may reach another process may be sent: %t, want %t", c.name, !c.allowed, c.allowed)
		}
		if len(h.sends) != c.attempts {
			t.Errorf("%s: %d attempts, want %d", c.name, len(h.sends), c.attempts)
		}
	}
}

// The outcomes of attempts at a process that has been replaced, and their time in flight, do not count for the
// process that has its name now.
func TestOutcomesOfReplacedProcess(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartWindow = 0
	b, h := newTestBalancer(t, cfg, "a")
	results := []Result{OK, Error, Overloaded, Timeout, Reset, ConnectError}
	for id := range results {
		b.Request(0, RequestID(id+1), 1, 0, time.Second)
	}
	if len(h.sends) != len(results) {
		t.Fatalf("%d attempts", len(h.sends))
	}
	b.UpdateEndpoints(100*ms, Delta, []Endpoint{{Addr: "a", State: Ready, Since: 90 * ms}})
	e := &b.endpoints[b.indexByAddr["a"]]
	if mean := e.mean(500 * ms); mean != 0 {
		t.Errorf("mean %v from attempts in flight at the old process", mean)
	}
	b.ResponsePaused(500*ms, 2, 0)
	for i, result := range results {
		b.Outcome(500*ms, RequestID(i+1), 0, result, 500*ms, true)
	}
	if e.sampleCount != 0 || e.failures.count(500*ms) != 0 || e.connectBackoff != 0 {
		t.Errorf("%d samples, %v failures, backoff %v from the old process", e.sampleCount, e.failures.count(500*ms), e.connectBackoff)
	}
	b.Request(600*ms, 10, 1, 0, time.Second)
	b.Outcome(700*ms, 10, 0, OK, 100*ms, true)
	if e.sampleCount != 1 || len(e.inFlight) != 0 || b.inFlight != 0 {
		t.Errorf("%d samples, %d in flight at the endpoint, %d in all after a request to the new process", e.sampleCount, len(e.inFlight), b.inFlight)
	}
}
