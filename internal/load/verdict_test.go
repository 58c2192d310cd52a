package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gorselink/internal/standin"
	"gorselink/traffic"
)

// TestStallIsNotOwnError: a target that takes requests, stands still for a
// second and goes on, under 500 a second. What was due in between finds its
// connections when the target lets go of them; none of that is the generator's,
// but for what the machine holds everybody up.
func TestStallIsNotOwnError(t *testing.T) {
	floor, err := MeasureFloor(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, conns := range []int{10, 100} {
		t.Run(fmt.Sprint(conns), func(t *testing.T) {
			n := node(t, standin.NodeConfig{})
			cfg := config(n.Addr(), stream(t, "hold 500 3s"))
			cfg.Conns = conns
			time.AfterFunc(1000*ms, func() { n.SetMode(standin.ModeFreeze) })
			time.AfterFunc(2000*ms, func() { n.SetMode(standin.ModeServe) })
			w := newWitness()
			res := run(t, cfg)
			worst := w.worst()
			own, due := res.Schedule.ValueAtQuantile(99.9), res.Latency.ValueAtQuantile(99.9)
			t.Logf("p99.9: own error %d µs, since due %d µs; with what was held up %d µs, for a connection %d µs; the witness %v",
				own, due, res.Held.ValueAtQuantile(99.9), res.Waited.ValueAtQuantile(99.9), worst)
			if most := 5*ms + 2*worst; own >= most.Microseconds() || due <= 900000 {
				t.Errorf("p99.9: own error %d µs, want below %v; since due %d µs, want above 900 ms", own, most, due)
			}
			res.Floor = floor
			v := res.Verdict()
			borneOut(t, v, worst)
			if text := strings.Join(v.Notes, "; "); !strings.Contains(text, "too few connections") {
				t.Errorf("notes: %q", text)
			}
		})
	}
}

// heldUp is a plan that keeps the dispatcher for a while, once.
type heldUp struct {
	Plan
	n, at int
	long  time.Duration
}

func (h *heldUp) Next() (traffic.Arrival, bool) {
	if h.n++; h.n == h.at {
		time.Sleep(h.long)
	}
	return h.Plan.Next()
}

// TestSlowGeneratorIsOwnError: the dispatcher is held up for 300 ms while
// connections are free. Its own error shows it, the run is void, and the queue
// that then forms before a few connections is blamed on it as well.
func TestSlowGeneratorIsOwnError(t *testing.T) {
	for _, conns := range []int{4, 200} {
		t.Run(fmt.Sprint(conns), func(t *testing.T) {
			n := node(t, standin.NodeConfig{Latency: 5 * ms})
			cfg := config(n.Addr(), stream(t, "hold 500 1s"))
			cfg.Conns = conns
			cfg.Plan = &heldUp{Plan: cfg.Plan, at: 200, long: 300 * ms}
			res := run(t, cfg)
			// Of 500, some 150 were due while it was held up.
			if held := res.Held.ValueAtQuantile(90); held < 100000 {
				t.Errorf("p90 of its own error with what it held up: %d µs, want 100 ms at least", held)
			}
			if own := res.Schedule.Max(); own < 250000 {
				t.Errorf("its own error: %d µs at most, want about 300 ms", own)
			}
			if due := res.Latency.ValueAtQuantile(90); due < 100000 {
				t.Errorf("since due: p90 %d µs, want it blamed", due)
			}
			if void := res.Verdict().Void; len(void) != 1 {
				t.Errorf("void: %q, want a cause", void)
			}
		})
	}
}

// TestVerdictOnQuickTarget: against a target that answers at once the
// generator's own error is a large part of next to nothing. That is no reason
// to call the run void; that other work kept the processor is one.
//
// So it is shown twice: for a machine whose steps take a chance time, the same
// with every seed, and on the one there is, beside a witness of what else it does.
func TestVerdictOnQuickTarget(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0))
		step := func(median time.Duration, spread float64) time.Duration {
			return time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
		}
		play := func(n int) *Result {
			rec := newRecorder([]string{"a"})
			for i := range n {
				due, late, trip := time.Duration(i)*2*ms, step(30*time.Microsecond, 1), step(90*time.Microsecond, 0.3)
				rec.shards[0].end(0, due, due+late+trip, OK, toll{own: late, held: late})
			}
			return rec.result()
		}
		echo, res := play(floorRate*int(floorFor/ms)/1000), play(500)
		if v := res.Verdict(); len(v.Void) == 0 {
			t.Errorf("seed %d: not void though nothing tells what the machine costs", seed)
		}
		res.Floor = echo.asFloor()
		if v := res.Verdict(); len(v.Void) > 0 {
			t.Errorf("seed %d: void: %q", seed, v.Void)
		}
	}
	n := node(t, standin.NodeConfig{})
	for i := range 20 {
		floor, err := MeasureFloor(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		w := newWitness()
		res := run(t, config(n.Addr(), stream(t, "hold 500 1s")))
		worst := w.worst()
		res.Floor = floor
		if v := res.Verdict(); len(v.Void) > 0 {
			t.Logf("run %d: void: %q; the witness %v", i, v.Void, worst)
			borneOut(t, v, worst)
		}
	}
}
