package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// All Balancers together must not overload a cold endpoint: within OverloadWindow it may
// get at most N + 2 sqrt(N) + 2 requests, where N is OverloadFactor times its capacity at
// the start of the window.
//
// The request rate rises while endpoints are added or return cold and Balancers restart
// with a current list. Balancers get from half to over three times the mean rate. N
// assumes an endpoint of average size in a fleet that is fully used.
func TestColdBudgetWithUnevenTraffic(t *testing.T) {
	const startAt, startSpan, rateIncrease, perBalancer = 8 * time.Second, 4 * time.Second, 1.5, 8.0
	for _, balancers := range []int{20, 30, 80, 300} {
		for seed := range uint64(2) {
			cfg := fleetConfig()
			f := newFleet(t, cfg, balancers, seed)
			endpoints := max(14, balancers/3)
			added, returned := endpoints/5, endpoints/7
			shuffled := f.rng.Perm(balancers)
			f.chooseBalancer = func() int {
				x := f.rng.Float64()
				return shuffled[int(float64(balancers)*x*(0.3+0.7*x))]
			}
			perSecond := perBalancer * float64(balancers)
			f.respond = func(addr string, _ int) (Result, time.Duration) {
				if addr[0] == 'c' {
					return OK, 60 * ms
				}
				return OK, 180 * ms
			}
			sends := map[string][]time.Duration{}
			f.onSend = func(addr string, _ int) { sends[addr] = append(sends[addr], f.now) }
			list := readyEndpoints("w", endpoints)
			f.sendList(Full, list)
			since := map[string]time.Duration{}
			scheduleStart := func(e Endpoint, i, n int) Endpoint {
				e.Since = startAt + time.Duration(i)*startSpan/time.Duration(n)
				since[e.Addr] = e.Since
				list = append(list, e)
				f.after(e.Since, func() { f.sendList(Delta, []Endpoint{e}) })
				return e
			}
			for i, e := range readyEndpoints("c", added) {
				scheduleStart(e, i, added)
			}
			for i := range returned {
				e := list[0]
				list = list[1:]
				gone := e
				gone.State = Gone
				f.after(startAt-time.Second, func() { f.sendList(Delta, []Endpoint{gone}) })
				scheduleStart(e, i, returned)
			}
			for i := range balancers / 3 {
				f.after(startAt+time.Duration(f.rng.Int64N(int64(startSpan))), func() {
					known := make([]Endpoint, 0, len(list))
					for _, e := range list {
						if e.Since <= f.now {
							known = append(known, e)
						}
					}
					f.restart(shuffled[3*i], cfg, known)
				})
			}
			f.rateFactor = func() float64 {
				if f.now >= startAt {
					return rateIncrease
				}
				return 1
			}
			f.run(26*time.Second, perSecond, 0, 1500*ms)
			capacity := float64(endpoints - returned)
			for _, at := range since {
				capacity += cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*min(1, (startAt+startSpan-at).Seconds()/cfg.SlowStartWindow.Seconds())
			}
			perWindow := rateIncrease * perSecond / capacity * cfg.OverloadWindow.Seconds()
			worstRatio, worstCase := 0.0, ""
			for addr, start := range since {
				first, times := 0, sends[addr]
				for k, at := range times {
					for at-times[first] >= cfg.OverloadWindow {
						first++
					}
					if times[first] < start || at >= start+cfg.SlowStartWindow {
						continue // sent before its last start, or it is warm
					}
					capacityShare := min(1, cfg.SlowStartInitialShare+(1-cfg.SlowStartInitialShare)*(times[first]-start).Seconds()/cfg.SlowStartWindow.Seconds())
					n := cfg.OverloadFactor * perWindow * capacityShare
					if got := float64(k-first+1) / (n + 2*math.Sqrt(n) + 2); got > worstRatio {
						worstRatio, worstCase = got, fmt.Sprintf("%s: %d requests within %v from %v after its start", addr, k-first+1, cfg.OverloadWindow, times[first]-start)
					}
				}
			}
			t.Logf("%d Balancers, seed %d: at most %.2f times the requests that a cold endpoint may get (%s)", balancers, seed, worstRatio, worstCase)
			if worstRatio > 1 {
				t.Errorf("%d Balancers, seed %d: %.2f times the requests that a cold endpoint may get, want at most 1: %s", balancers, seed, worstRatio, worstCase)
			}
		}
	}
}
