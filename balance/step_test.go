package balance

import (
	"math"
	"testing"
	"time"
)

// 50 doors before 100 endpoints that are asked for half as much again as they can do,
// for 20 s. An endpoint works on four requests at once, keeps eight waiting and turns
// away the rest. A door that cuts its limit lets the endpoints breathe for all: if doors
// cut together, the fleet swings between jam and idleness.
//
// Counted are the cuts within each 100 ms, once the first 4 s are over in which all
// doors learn of the overload at once. By chance they would be a Poisson count, whose
// variance is its mean: 160 stretches of it lie within 1 +- 3*sqrt(2/160), 0.66 to 1.34.
// Cuts follow what the endpoints do, which is one thing for all, so that some excess is
// due; the bound is that of half of all cuts in random pairs, 1.5 times, with the same
// scatter.
func TestMassDoorsNotInStep(t *testing.T) {
	const doors, endpoints, cores, queue, perSecond = 50, 100, 4, 8, 1500.0
	const work = time.Duration(float64(endpoints*cores) / perSecond * 1.5 * float64(time.Second))
	const from, until, span = 4 * time.Second, 20 * time.Second, 100 * ms
	for seed := range uint64(3) {
		cfg := fleetConfig()
		cfg.Entry = true
		f := newFleet(t, cfg, doors, seed)
		busy, line := map[string]int{}, map[string][]func(){}
		f.call = func(addr string, timeout time.Duration, done func(Result)) {
			over := false
			finish := func(r Result) {
				if !over {
					over = true
					done(r)
				}
			}
			begin := func() {
				busy[addr]++
				f.after(time.Duration(float64(work)*(0.5+f.rng.Float64())), func() {
					busy[addr]--
					finish(OK)
					if len(line[addr]) > 0 {
						next := line[addr][0]
						line[addr] = line[addr][1:]
						next()
					}
				})
			}
			switch {
			case busy[addr] < cores:
				begin()
			case len(line[addr]) < queue:
				line[addr] = append(line[addr], begin)
			default:
				f.after(ms, func() { finish(Overloaded) })
			}
			f.after(timeout, func() { finish(Timeout) })
		}
		var cuts [until / span]int
		limits := make([]float64, doors)
		var look func()
		look = func() {
			for i, b := range f.at {
				if b.admission.limit < limits[i] && f.now < until {
					cuts[f.now/span]++
				}
				limits[i] = b.admission.limit
			}
			f.after(5*ms, look)
		}
		f.after(0, look)
		served, asked := 0, 0
		f.ended = func(ok bool) {
			if f.now >= from {
				asked++
				if ok {
					served++
				}
			}
		}
		f.list(Full, ready("w", endpoints))
		f.run(until, perSecond, 0, 1500*ms)
		n, sum, squares, most := 0.0, 0.0, 0.0, 0
		for _, c := range cuts[from/span:] {
			n, sum, squares, most = n+1, sum+float64(c), squares+float64(c*c), max(most, c)
		}
		mean := sum / n
		dispersion := (squares/n - mean*mean) / mean
		t.Logf("seed %d: %.2f cuts by %d doors in 100 ms, at most %d; variance %.2f of the mean; %.3f served", seed, mean, doors, most, dispersion, float64(served)/float64(asked))
		if bound := 1.5 * (1 + 3*math.Sqrt(2/n)); dispersion > bound {
			t.Errorf("seed %d: the variance of cuts in 100 ms is %.2f times what chance gives, want %.2f at most", seed, dispersion, bound)
		}
	}
}
