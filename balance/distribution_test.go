package balance

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// distributionSimulation counts the requests that many Balancers send to each node. A
// node processes four requests at once, for 12 ms on average.
type distributionSimulation struct {
	*fleet
	nodes     int
	slowdown  func(node int) float64 // factor on the processing time; 1 if nil
	result    func(node int) Result  // OK if nil
	counts    [][]int                // by countInterval, then by node
	durations []float64              // in seconds, of the requests that ended since the last reset
	failed    int                    // requests
}

const countInterval = 100 * ms

func newDistributionSimulation(t testing.TB, cfg Config, balancers, nodes int, seed uint64) *distributionSimulation {
	r := &distributionSimulation{fleet: newFleet(t, cfg, balancers, seed), nodes: nodes}
	busy, queue := make([]int, nodes), make([][]func(), nodes)
	began := map[RequestID]time.Duration{}
	r.fleet.onBegin = func(id RequestID) { began[id] = r.now }
	r.fleet.onEndID = func(id RequestID, served bool) {
		r.durations = append(r.durations, (r.now - began[id]).Seconds())
		delete(began, id)
		if !served {
			r.failed++
		}
	}
	r.fleet.serve = func(addr string, timeout time.Duration, done func(Result)) {
		var n int
		fmt.Sscanf(addr, "w%d", &n)
		at := int(r.now / countInterval)
		for len(r.counts) <= at {
			r.counts = append(r.counts, make([]int, nodes))
		}
		r.counts[at][n]++
		ended := false
		finish := func(result Result) {
			if !ended {
				ended = true
				done(result)
			}
		}
		if r.result != nil && r.result(n) != OK {
			r.after(ms, func() { finish(r.result(n)) })
			return
		}
		begin := func() {
			busy[n]++
			duration := r.rng.ExpFloat64() * 0.012
			if r.slowdown != nil {
				duration *= r.slowdown(n)
			}
			r.after(time.Duration(duration*float64(time.Second)), func() {
				busy[n]--
				finish(OK)
				if len(queue[n]) > 0 {
					next := queue[n][0]
					queue[n] = queue[n][1:]
					next()
				}
			})
		}
		if busy[n] < 4 {
			begin()
		} else {
			queue[n] = append(queue[n], begin)
		}
		r.after(timeout, func() { finish(Timeout) })
	}
	r.sendList(Full, readyEndpoints("w", nodes))
	return r
}

// relativeShare returns the mean number of requests per selected node, divided by the
// mean over all nodes.
func (r *distributionSimulation) relativeShare(from, to time.Duration, in func(node int) bool) float64 {
	selected, all, n := 0, 0, 0
	for k := from / countInterval; k < to/countInterval && int(k) < len(r.counts); k++ {
		for i, c := range r.counts[k] {
			all += c
			if in(i) {
				selected += c
			}
		}
	}
	for i := range r.nodes {
		if in(i) {
			n++
		}
	}
	return float64(selected) / float64(all) * float64(r.nodes) / float64(n)
}

// variation returns the coefficient of variation of the requests per node, divided by
// that of a Poisson distribution, and the lowest number divided by the mean.
func (r *distributionSimulation) variation(from, to time.Duration) (relative, least float64) {
	sum := make([]float64, r.nodes)
	for k := from / countInterval; k < to/countInterval && int(k) < len(r.counts); k++ {
		for i, c := range r.counts[k] {
			sum[i] += float64(c)
		}
	}
	total, squares := 0.0, 0.0
	for _, c := range sum {
		total, squares = total+c, squares+c*c
	}
	mean := total / float64(r.nodes)
	return math.Sqrt(squares/float64(r.nodes)-mean*mean) / math.Sqrt(mean), slices.Min(sum) / mean
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(float64(len(sorted)-1)*q)]
}

func distributionConfig() Config {
	c := fleetConfig()
	c.Classes = []Class{{LatencyTarget: 2 * time.Second, Deadline: 10 * time.Second, Idempotency: Idempotent, PriorityWeight: 1, LateWeight: 0.5}}
	c.AttemptLimit = 3
	c.AllowConcurrentAttempts = false
	return c
}

// At low request rates, load must be even, slow nodes must get little of it, and nodes
// that have recovered must regain their share without herding.
//
// A Balancer with half a request per second per node keeps samples for 7.5 s, and cannot
// detect a recovery before it sends the next request to the node. The bounds on the share
// after a recovery allow for that.
func TestEvenDistributionAtLowRates(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		balancers, nodes       int
		perSecond              float64
		maxVariation, minLeast float64 // see variation
		maxSlow, minRecovered  float64 // relative shares from 5 s after a slowdown, and from 2 to 5 s after its end
		minRecoveredLate       float64 // relative share from 7 s after the end
	}{
		{200, 60, 1000, 1.25, 0.65, 0.37, 0.70, 0.85},
		{300, 60, 300, 1.40, 0.50, 0.65, 0.30, 0.60},
	} {
		t.Run(fmt.Sprint(c.balancers, " Balancers to ", c.nodes), func(t *testing.T) {
			for seed := range uint64(3) {
				r := newDistributionSimulation(t, distributionConfig(), c.balancers, c.nodes, seed)
				eighth := func(n int) bool { return n%8 == 4 }
				var p99 [5]float64
				for i, at := range []time.Duration{30 * s, 35 * s, 45 * s, 65 * s, 85 * s} {
					r.after(at, func() { p99[i], r.durations = quantile(r.durations, 0.99), nil })
				}
				r.slowdown = func(n int) float64 {
					switch {
					case eighth(n) && r.now >= 30*s && r.now < 45*s:
						return 8
					case eighth(n) && r.now >= 65*s && r.now < 85*s:
						return 2
					}
					return 1
				}
				r.result = func(n int) Result {
					if eighth(n) && r.now >= 110*s && r.now < 120*s {
						return Error
					}
					return OK
				}
				r.run(140*s, c.perSecond, 0, 10*s)
				variation, least := r.variation(20*s, 30*s)
				peak := 0.0
				for k := 45 * s; k < 60*s; k += 500 * ms {
					peak = max(peak, r.relativeShare(k, k+500*ms, eighth))
				}
				for _, measure := range []struct {
					what           string
					got, low, high float64
				}{
					{"variation", variation, 0, c.maxVariation},
					{"fewest requests of a node in 10 s divided by the mean", least, c.minLeast, 1},
					{"share of the slow eighth from 5 s after it became slow", r.relativeShare(35*s, 45*s, eighth), 0, c.maxSlow},
					{"its share from 2 to 5 s after its recovery", r.relativeShare(47*s, 50*s, eighth), c.minRecovered, 1.5},
					{"its share from 7 s after its recovery", r.relativeShare(52*s, 65*s, eighth), c.minRecoveredLate, 1.25},
					{"its highest share in half a second after its recovery", peak, 0, 1.6},
					{"share of the eighth at half the speed", r.relativeShare(70*s, 85*s, eighth), 0.4, 0.8 + 0.1*float64(c.balancers/300)},
					{"share of the eighth from 10 s after it stopped failing", r.relativeShare(130*s, 140*s, eighth), 0.8, 1.3},
					{"failed requests", float64(r.failed), 0, 1}, // three attempts in a row may reach nodes that have just begun to fail
				} {
					t.Logf("seed %d: %s %.2f", seed, measure.what, measure.got)
					if measure.got < measure.low || measure.got > measure.high {
						t.Errorf("seed %d: %s: %.2f, want %.2f to %.2f", seed, measure.what, measure.got, measure.low, measure.high)
					}
				}
				t.Logf("seed %d: p99 before the slowdown, in its first 5 s, in the rest of it, after it, at half speed: %.3f s", seed, p99)
			}
		})
	}
}

// For any size, request rate and number of slow nodes, no node is left without requests.
// Nodes that have recovered regain most of their share once the old samples are dropped.
func TestEvenDistributionAtAnySize(t *testing.T) {
	const s = time.Second
	// Draw the same values each time, unless the command line has a seed.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		f.Value.Set("1")
	}
	rapid.Check(t, func(d *rapid.T) {
		balancers := rapid.IntRange(2, 60).Draw(d, "balancers")
		nodes := rapid.IntRange(4, 40).Draw(d, "nodes")
		perNode := rapid.Float64Range(0.3, 3).Draw(d, "requests per second per node of a Balancer's subset")
		slowEvery := rapid.IntRange(2, 8).Draw(d, "nodes per slow node")
		factor := rapid.Float64Range(3, 10).Draw(d, "slowdown factor")
		subset := float64(min(nodes, minSubsetSize))
		perSecond := min(perNode*subset*float64(balancers), 40*float64(nodes)) // an eighth of the capacity of healthy nodes
		perNode = perSecond / subset / float64(balancers)
		retention := max(minSampleRetention, time.Duration(retentionRequests/perNode*float64(s)))
		isSlow := func(n int) bool { return n%slowEvery == 1 }
		r := newDistributionSimulation(t, distributionConfig(), balancers, nodes, rapid.Uint64().Draw(d, "seed"))
		slowFrom, slowUntil := 10*s, 20*s
		from := slowUntil + 2*retention // all old samples are dropped, and each node has had a request
		to := from + max(5*s, time.Duration(100*float64(nodes)/perSecond*float64(s)))
		r.slowdown = func(n int) float64 {
			if isSlow(n) && r.now >= slowFrom && r.now < slowUntil {
				return factor
			}
			return 1
		}
		r.run(to, perSecond, 0, 10*s)
		if share := r.relativeShare(from, to, isSlow); balancers >= 10 && (share < 0.5 || share > 1.6) { // with fewer Balancers, the random choices of one shift the share
			d.Errorf("relative share of the slow nodes %.2f from %v after their recovery, want 0.5 to 1.6", share, from-slowUntil)
		}
		if _, least := r.variation(from, to); least < 0.2 {
			d.Errorf("fewest requests of a node: %.2f of the mean of about 100, want at least 0.2", least)
		}
		if r.failed > 0 {
			d.Errorf("%d requests failed, want 0", r.failed)
		}
	})
}

// BenchmarkEvenDistribution simulates one seed per operation and reports means over all
// seeds. An eighth of the nodes is slow from 30 to 45 s, and returns errors from 65 to 75
// s.
func BenchmarkEvenDistribution(b *testing.B) {
	const s = time.Second
	for _, c := range []struct {
		balancers, nodes int
		perSecond        float64
	}{{200, 60, 1000}, {300, 60, 1500}, {300, 60, 300}, {300, 60, 60}, {60, 60, 300}, {60, 8, 300}, {300, 300, 1500}, {20, 60, 1000}} {
		b.Run(fmt.Sprintf("%d-%d-%v", c.balancers, c.nodes, c.perSecond), func(b *testing.B) {
			sum := map[string]float64{}
			eighth := func(n int) bool { return n%8 == 4 }
			for seed := 0; b.Loop(); seed++ {
				r := newDistributionSimulation(b, distributionConfig(), c.balancers, c.nodes, uint64(seed))
				r.slowdown = func(n int) float64 {
					if eighth(n) && r.now >= 30*s && r.now < 45*s {
						return 8
					}
					return 1
				}
				r.after(35*s, func() { r.durations = nil })
				r.after(45*s, func() { sum["p99-ms"] += 1000 * quantile(r.durations, 0.99) })
				r.result = func(n int) Result {
					if eighth(n) && r.now >= 65*s {
						return Error
					}
					return OK
				}
				r.run(75*s, c.perSecond, 0, 10*s)
				variation, least := r.variation(20*s, 30*s)
				sum["scatter"] += variation
				sum["least"] += least
				sum["slow"] += r.relativeShare(35*s, 45*s, eighth)
				sum["back2-5s"] += r.relativeShare(47*s, 50*s, eighth)
				sum["back10s"] += r.relativeShare(55*s, 65*s, eighth)
				peak := 0.0
				for k := 45 * s; k < 65*s; k += 500 * ms {
					if x := r.relativeShare(k, k+500*ms, eighth); x > peak {
						peak = x
					}
				}
				sum["peak"] += peak
				sum["failed"] += float64(r.failed)
			}
			for what, x := range sum {
				b.ReportMetric(x/float64(b.N), what)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Non-idempotent requests, which cannot be retried, are sent to failing nodes at most a
// third as often as idempotent ones.
func TestNonIdempotentRequestsSeldomProbe(t *testing.T) {
	const s = time.Second
	var probes [2]int
	for class := range probes {
		cfg := distributionConfig()
		cfg.Classes = append(cfg.Classes, cfg.Classes[0])
		cfg.Classes[1].Idempotency = NonIdempotent
		r := newDistributionSimulation(t, cfg, 200, 60, 1)
		eighth := func(n int) bool { return n%8 == 4 }
		r.result = func(n int) Result {
			if eighth(n) && r.now >= 20*s {
				return Error
			}
			return OK
		}
		r.run(50*s, 1000, class, 10*s)
		for k := 35 * s / countInterval; k < 50*s/countInterval; k++ {
			for n, count := range r.counts[k] {
				if eighth(n) {
					probes[class] += count
				}
			}
		}
	}
	t.Logf("requests to nodes that have failed for 15 s, in 15 s: %d idempotent, %d non-idempotent", probes[0], probes[1])
	if probes[1]*3 > probes[0] || probes[0] == 0 {
		t.Errorf("failing nodes got %d non-idempotent and %d idempotent requests, want at least 1 idempotent and at most a third as many non-idempotent", probes[1], probes[0])
	}
}
