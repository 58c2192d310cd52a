package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A cold endpoint falls when, within the time that the settings name, it gets more than
// N + 2 root N + 2 requests, N being what the settings allow it then. Fleets from a few dozen
// to 300, whose Balancers have a half to over three times the mean of the traffic, which
// rises by half as the first of them come: a fifth of the endpoints is new and a seventh
// comes back cold at its old name within 4 s, and a third of the Balancers start then from
// nothing with a list that knows of them. The sum of what all send stays within it.
//
// N is that of an endpoint of the mean size in a fleet that is asked for all it can do, at
// the beginning of the span: in one that is asked for less it is larger.
func TestColdBudgetOfAFewDozen(t *testing.T) {
	const began, wave, rise, each = 8 * time.Second, 4 * time.Second, 1.5, 8.0
	for _, balancers := range []int{20, 30, 80, 300} {
		for seed := range uint64(2) {
			cfg := fleetConfig()
			f := newFleet(t, cfg, balancers, seed)
			endpoints := max(14, balancers/3)
			fresh, back := endpoints/5, endpoints/7
			shuffled := f.rng.Perm(balancers)
			f.choose = func() int {
				x := f.rng.Float64()
				return shuffled[int(float64(balancers)*x*(0.3+0.7*x))]
			}
			perSecond := each * float64(balancers)
			f.answer = func(addr string, _ int) (Result, time.Duration) {
				if addr[0] == 'c' {
					return OK, 60 * ms
				}
				return OK, 180 * ms
			}
			sends := map[string][]time.Duration{}
			f.sent = func(addr string, _ int) { sends[addr] = append(sends[addr], f.now) }
			list := ready("w", endpoints)
			f.list(Full, list)
			since := map[string]time.Duration{}
			comes := func(e Endpoint, i, n int) Endpoint {
				e.Since = began + time.Duration(i)*wave/time.Duration(n)
				since[e.Addr] = e.Since
				list = append(list, e)
				f.after(e.Since, func() { f.list(Delta, []Endpoint{e}) })
				return e
			}
			for i, e := range ready("c", fresh) {
				comes(e, i, fresh)
			}
			for i := range back {
				e := list[0]
				list = list[1:]
				gone := e
				gone.State = Gone
				f.after(began-time.Second, func() { f.list(Delta, []Endpoint{gone}) })
				comes(e, i, back)
			}
			for i := range balancers / 3 {
				f.after(began+time.Duration(f.rng.Int64N(int64(wave))), func() {
					known := make([]Endpoint, 0, len(list))
					for _, e := range list {
						if e.Since <= f.now {
							known = append(known, e)
						}
					}
					f.restart(shuffled[3*i], cfg, known)
				})
			}
			f.surge = func() float64 {
				if f.now >= began {
					return rise
				}
				return 1
			}
			f.run(26*time.Second, perSecond, 0, 1500*ms)
			whole := float64(endpoints - back)
			for _, at := range since {
				whole += cfg.ColdShare + (1-cfg.ColdShare)*min(1, (began+wave-at).Seconds()/cfg.RampTime.Seconds())
			}
			able := rise * perSecond / whole * cfg.OverloadWindow.Seconds()
			worst, what := 0.0, ""
			for addr, start := range since {
				first, times := 0, sends[addr]
				for k, at := range times {
					for at-times[first] >= cfg.OverloadWindow {
						first++
					}
					if times[first] < start || at >= start+cfg.RampTime {
						continue // before it was lost, or warm
					}
					growth := min(1, cfg.ColdShare+(1-cfg.ColdShare)*(times[first]-start).Seconds()/cfg.RampTime.Seconds())
					n := cfg.OverloadFactor * able * growth
					if got := float64(k-first+1) / (n + 2*math.Sqrt(n) + 2); got > worst {
						worst, what = got, fmt.Sprintf("%s, %d within %v from %v after its start", addr, k-first+1, cfg.OverloadWindow, times[first]-start)
					}
				}
			}
			t.Logf("%d Balancers, seed %d: %.2f of what makes one fall (%s)", balancers, seed, worst, what)
			if worst > 1 {
				t.Errorf("%d Balancers, seed %d: %.2f times what makes an endpoint fall: %s", balancers, seed, worst, what)
			}
		}
	}
}
