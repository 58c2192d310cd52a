package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/traffic"
)

// A target that stalls for a second at 500 requests per second causes waits for
// connections, but no generator delay beyond that of the machine.
func TestTargetStallIsNotGeneratorDelay(t *testing.T) {
	floor, err := MeasureFloor(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, conns := range []int{10, 100} {
		t.Run(fmt.Sprint(conns), func(t *testing.T) {
			n := startNode(t, fakeserver.NodeConfig{})
			cfg := testConfig(n.Addr(), testStream(t, "hold 500 3s"))
			cfg.Conns = conns
			time.AfterFunc(1000*ms, func() { n.SetMode(fakeserver.ModeFreeze) })
			time.AfterFunc(2000*ms, func() { n.SetMode(fakeserver.ModeServe) })
			probe := startLatencyProbe()
			res := runLoad(t, cfg)
			worst := probe.stopAndWorst()
			generatorDelay, latency := res.GeneratorDelay.ValueAtQuantile(99.9), res.Latency.ValueAtQuantile(99.9)
			t.Logf("p99.9: generator delay %d µs, latency %d µs, induced delay %d µs, connection wait %d µs; worst delay of the probe %v",
				generatorDelay, latency, res.InducedDelay.ValueAtQuantile(99.9), res.ConnWait.ValueAtQuantile(99.9), worst)
			if limit := 5*ms + 2*worst; generatorDelay >= limit.Microseconds() || latency <= 900000 {
				t.Errorf("p99.9: generator delay %d µs, want below %v; latency %d µs, want above 900 ms", generatorDelay, limit, latency)
			}
			res.Floor = floor
			v := res.Verdict()
			checkVoidJustified(t, v, worst)
			if text := strings.Join(v.Notes, "; "); !strings.Contains(text, "too few connections") {
				t.Errorf("notes: %q", text)
			}
		})
	}
}

// delayedPlan is a plan that blocks the dispatcher once.
type delayedPlan struct {
	Plan
	n, delayAt int
	delay      time.Duration
}

func (h *delayedPlan) Next() (traffic.Arrival, bool) {
	if h.n++; h.n == h.delayAt {
		time.Sleep(h.delay)
	}
	return h.Plan.Next()
}

// A dispatcher that stalls for 300 ms while connections are free causes a generator
// delay and a void run. The queue that then forms for a few connections counts as
// induced delay.
func TestDispatcherStallIsGeneratorDelay(t *testing.T) {
	for _, conns := range []int{4, 200} {
		t.Run(fmt.Sprint(conns), func(t *testing.T) {
			n := startNode(t, fakeserver.NodeConfig{Latency: 5 * ms})
			cfg := testConfig(n.Addr(), testStream(t, "hold 500 1s"))
			cfg.Conns = conns
			cfg.Plan = &delayedPlan{Plan: cfg.Plan, delayAt: 200, delay: 300 * ms}
			res := runLoad(t, cfg)
			// About 150 of the 500 requests were due during the stall.
			if induced := res.InducedDelay.ValueAtQuantile(90); induced < 100000 {
				t.Errorf("p90 of the induced delay: %d µs, want at least 100 ms", induced)
			}
			if generatorDelay := res.GeneratorDelay.Max(); generatorDelay < 250000 {
				t.Errorf("largest generator delay %d µs, want about 300 ms", generatorDelay)
			}
			if latency := res.Latency.ValueAtQuantile(90); latency < 100000 {
				t.Errorf("p90 latency %d µs, want at least 100 ms", latency)
			}
			if void := res.Verdict().Void; len(void) != 1 {
				t.Errorf("void: %q, want one reason", void)
			}
		})
	}
}

// Against a fast target the generator's delay is a large share of a small latency,
// which alone must not make the run void. This is tested with simulated delays, and
// on this machine beside a probe of its scheduling delays.
func TestVerdictOnFastTarget(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0))
		step := func(median time.Duration, spread float64) time.Duration {
			return time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
		}
		simulate := func(n int) *Result {
			rec := newRecorder([]string{"a"})
			for i := range n {
				due, late, roundTrip := time.Duration(i)*2*ms, step(30*time.Microsecond, 1), step(90*time.Microsecond, 0.3)
				rec.shards[0].recordRequest(0, due, due+late+roundTrip, OK, delays{generator: late, induced: late})
			}
			return rec.result()
		}
		echo, res := simulate(floorRate*int(floorDuration/ms)/1000), simulate(500)
		if v := res.Verdict(); len(v.Void) == 0 {
			t.Errorf("seed %d: not void without a latency floor", seed)
		}
		res.Floor = echo.floor()
		if v := res.Verdict(); len(v.Void) > 0 {
			t.Errorf("seed %d: void: %q", seed, v.Void)
		}
	}
	n := startNode(t, fakeserver.NodeConfig{})
	for i := range 20 {
		floor, err := MeasureFloor(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		probe := startLatencyProbe()
		res := runLoad(t, testConfig(n.Addr(), testStream(t, "hold 500 1s")))
		worst := probe.stopAndWorst()
		res.Floor = floor
		if v := res.Verdict(); len(v.Void) > 0 {
			t.Logf("run %d: void: %q; worst delay of the probe %v", i, v.Void, worst)
			checkVoidJustified(t, v, worst)
		}
	}
}
