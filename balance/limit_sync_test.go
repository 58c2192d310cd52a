package balance

import (
	"math"
	"testing"
	"time"
)

// Balancers at the entry that lower their limits at the same time would make the load of
// an overloaded fleet oscillate. The test counts the reductions in each 100 ms, after the
// first 4 s, in which all Balancers detect the overload.
//
// Independent reductions have a Poisson distribution, where variance and mean are equal.
// As all Balancers react to the same endpoints, the bound allows for a variance of 1.5
// times the mean, plus three standard deviations of its estimate.
func TestAdmissionLimitsNotSynchronized(t *testing.T) {
	const balancers, endpoints, cores, queueLength, perSecond = 50, 100, 4, 8, 1500.0
	const duration = time.Duration(float64(endpoints*cores) / perSecond * 1.5 * float64(time.Second))
	const from, until, interval = 4 * time.Second, 20 * time.Second, 100 * ms
	for seed := range uint64(3) {
		cfg := fleetConfig()
		cfg.Entry = true
		f := newFleet(t, cfg, balancers, seed)
		busy, queues := map[string]int{}, map[string][]func(){}
		f.serve = func(addr string, timeout time.Duration, done func(Result)) {
			ended := false
			finish := func(r Result) {
				if !ended {
					ended = true
					done(r)
				}
			}
			begin := func() {
				busy[addr]++
				f.after(time.Duration(float64(duration)*(0.5+f.rng.Float64())), func() {
					busy[addr]--
					finish(OK)
					if len(queues[addr]) > 0 {
						next := queues[addr][0]
						queues[addr] = queues[addr][1:]
						next()
					}
				})
			}
			switch {
			case busy[addr] < cores:
				begin()
			case len(queues[addr]) < queueLength:
				queues[addr] = append(queues[addr], begin)
			default:
				f.after(ms, func() { finish(Overloaded) })
			}
			f.after(timeout, func() { finish(Timeout) })
		}
		var reductions [until / interval]int
		limits := make([]float64, balancers)
		var countReductions func()
		countReductions = func() {
			for i, b := range f.balancers {
				if b.admission.limit < limits[i] && f.now < until {
					reductions[f.now/interval]++
				}
				limits[i] = b.admission.limit
			}
			f.after(5*ms, countReductions)
		}
		f.after(0, countReductions)
		served, ended := 0, 0
		f.onEnd = func(ok bool) {
			if f.now >= from {
				ended++
				if ok {
					served++
				}
			}
		}
		f.sendList(Full, readyEndpoints("w", endpoints))
		f.run(until, perSecond, 0, 1500*ms)
		n, sum, squares, maxReductions := 0.0, 0.0, 0.0, 0
		for _, c := range reductions[from/interval:] {
			n, sum, squares, maxReductions = n+1, sum+float64(c), squares+float64(c*c), max(maxReductions, c)
		}
		mean := sum / n
		dispersion := (squares/n - mean*mean) / mean
		t.Logf("seed %d: %.2f reductions by %d Balancers in 100 ms, at most %d; variance %.2f times the mean; %.3f served", seed, mean, balancers, maxReductions, dispersion, float64(served)/float64(ended))
		if bound := 1.5 * (1 + 3*math.Sqrt(2/n)); dispersion > bound {
			t.Errorf("seed %d: variance of the reductions in 100 ms is %.2f times the mean, want at most %.2f", seed, dispersion, bound)
		}
	}
}
