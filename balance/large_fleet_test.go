package balance

import (
	"fmt"
	"testing"
	"time"
)

// A large fleet with unequal request rates must not overload cold endpoints, also while
// Balancers restart, are reconfigured, or fall back from their subsets to all endpoints.
//
// As in TestFleetKeepsColdBudget, a cold endpoint of mean capacity gets half of
// OverloadFactor. The rates of the 30 Balancers that use an endpoint vary, so that the
// busiest of 36 endpoints gets about 1.2 times that. The rest, up to 4/5 of
// OverloadFactor, is for random variation.
func TestLargeFleetKeepsColdBudget(t *testing.T) {
	const balancers, endpoints, replaced, perSecond, smallest = 300, 100, 36, 2400.0, 4.0 / 5
	const startAt, startSpan = 10 * time.Second, 7 * time.Second
	for _, scenario := range []string{"none", "restart", "reconfigure", "fallback"} {
		t.Run(scenario, func(t *testing.T) {
			for seed := range uint64(2) {
				cfg := fleetConfig()
				f := newFleet(t, cfg, balancers, seed)
				shuffled := f.rng.Perm(balancers)
				f.chooseBalancer = func() int { // rates from half to over three times the mean
					x := f.rng.Float64()
					return shuffled[int(float64(balancers)*x*(0.3+0.7*x))]
				}
				list := readyEndpoints("w", endpoints)
				for i := range list {
					list[i].Zone = []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[i%10]
				}
				current := map[string]Endpoint{}
				for _, e := range list {
					current[e.Addr] = e
				}
				currentList := func() (all []Endpoint) { // in a fixed order
					for _, names := range []string{"w", "c"} {
						for i := range endpoints {
							if e, ok := current[fmt.Sprint(names, i)]; ok {
								all = append(all, e)
							}
						}
					}
					return all
				}
				sends := map[string][]time.Duration{}
				failsToConnect := func() bool {
					return scenario == "fallback" && f.now >= startAt+startSpan/2 && f.now < startAt+startSpan/2+2*time.Second
				}
				f.respond = func(addr string, _ int) (Result, time.Duration) {
					switch {
					case addr[0] == 'c':
						return OK, 60 * ms
					case failsToConnect():
						return ConnectError, ms
					}
					return OK, 180 * ms
				}
				f.onSend = func(addr string, _ int) { sends[addr] = append(sends[addr], f.now) }
				f.sendList(Full, list)
				since := map[string]time.Duration{}
				for i, e := range readyEndpoints("c", replaced) {
					e.Since = startAt + time.Duration(i)*startSpan/replaced
					e.Zone = list[i].Zone
					since[e.Addr] = e.Since
					f.after(e.Since, func() {
						old := current[fmt.Sprint("w", i)]
						old.State = Draining
						delete(current, old.Addr)
						current[e.Addr] = e
						f.sendList(Delta, []Endpoint{e, old})
					})
				}
				f.after(startAt+startSpan/2, func() {
					switch scenario {
					case "restart":
						for i := range balancers / 2 {
							f.after(time.Duration(f.rng.Int64N(int64(startSpan/2))), func() { f.restart(shuffled[2*i], cfg, currentList()) })
						}
					case "reconfigure":
						for i, b := range f.balancers {
							f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
								c := cfg
								c.Index, c.Instances, c.AttemptLimit = i, balancers, 3
								if err := b.Reconfigure(c); err != nil {
									t.Error(err)
								}
								b.UpdateEndpoints(f.now, Full, currentList())
							})
						}
					}
				})
				f.run(30*time.Second, perSecond, 0, 1500*ms)
				capacity := float64(endpoints - replaced)
				for _, start := range since {
					capacity += cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*min(1, (startAt+startSpan-start).Seconds()/cfg.SlowStartWindow.Seconds())
				}
				perWindow := perSecond / capacity * cfg.OverloadWindow.Seconds() // capacity of a warm endpoint in OverloadWindow
				maxRatio, coldSends := 0.0, 0
				for addr, start := range since {
					times, first := sends[addr], 0
					for k, at := range times {
						for at-times[first] >= cfg.OverloadWindow {
							first++
						}
						age := (times[first] - start + cfg.OverloadWindow/2).Seconds()
						maxRatio = max(maxRatio, float64(k-first+1)/perWindow/min(1, cfg.SlowStartInitialShare+(1-cfg.SlowStartInitialShare)*age/cfg.SlowStartWindow.Seconds()))
						if at-start < cfg.SlowStartWindow {
							coldSends++
						}
					}
				}
				t.Logf("seed %d: cold endpoints were sent at most %.2f times their capacity, %d attempts in all", seed, maxRatio, coldSends)
				if bound := cfg.OverloadFactor * smallest; maxRatio > bound {
					t.Errorf("seed %d: an endpoint was sent %.2f times its capacity within %v, want at most %.2f", seed, maxRatio, cfg.OverloadWindow, bound)
				}
				// Restarted Balancers have no cold budget yet, so only half of the share is required.
				if even := perWindow / cfg.OverloadWindow.Seconds() * cfg.SlowStartWindow.Seconds() * (1 + cfg.SlowStartInitialShare) / 2 * replaced; float64(coldSends) < even/2 {
					t.Errorf("seed %d: cold endpoints got %d attempts, want at least half of their share by capacity, %.0f", seed, coldSends, even)
				}
			}
		})
	}
}

// Retries of two tiers multiply, but stay within the product of their budgets. Each
// endpoint of the first tier has a Balancer and makes two calls in sequence to the second
// tier, of which a third becomes unreachable and then all returns errors. Each tier makes
// at most 1 + retriesPerServed attempts per request, plus the retries that its Balancers
// have saved.
func TestAttemptsBoundedOverTwoTiers(t *testing.T) {
	const entryBalancers, innerBalancers, perSecond, calls = 50, 100, 1500.0, 2
	const failsAt, errorsFrom, errorsUntil = 6 * time.Second, 10 * time.Second, 12 * time.Second
	for seed := range uint64(2) {
		entry := newFleet(t, fleetConfig(), entryBalancers, seed)
		inner := newFleet(t, fleetConfig(), innerBalancers, seed+100)
		inner.clock = entry // both fleets share the clock and the events
		var firstAttempts, attempts [40]int
		inner.respond = func(addr string, _ int) (Result, time.Duration) {
			var n int
			fmt.Sscanf(addr, "l%d", &n)
			switch now := entry.now; {
			case n%3 == 0 && now >= failsAt && now < failsAt+200*ms:
				return Timeout, time.Hour
			case n%3 == 0 && now >= failsAt && now < errorsFrom:
				return ConnectError, 150 * ms
			case now >= errorsFrom && now < errorsUntil:
				return Error, 5 * ms
			}
			return OK, time.Duration(20+entry.rng.IntN(40)) * ms
		}
		inner.onSend = func(string, int) { attempts[entry.now/(500*ms)]++ }
		entry.onSend = func(_ string, number int) {
			if number == 0 {
				firstAttempts[entry.now/(500*ms)]++
			}
		}
		waiting := map[RequestID]func(bool){}
		inner.onEndID = func(id RequestID, ok bool) {
			if done := waiting[id]; done != nil {
				delete(waiting, id)
				done(ok)
			}
		}
		entry.serve = func(addr string, timeout time.Duration, done func(Result)) {
			var at int
			fmt.Sscanf(addr, "w%d", &at)
			end := entry.now + timeout
			ended := false
			finish := func(r Result) {
				if !ended {
					ended = true
					done(r)
				}
			}
			entry.after(timeout, func() { finish(Timeout) })
			var next func(left int)
			next = func(left int) {
				if ended || left == 0 {
					finish(OK)
					return
				}
				inner.lastID++
				id := inner.lastID
				waiting[id] = func(ok bool) {
					if !ok {
						finish(Error)
						return
					}
					next(left - 1)
				}
				inner.balancers[at].Request(entry.now, id, 0, -1, end-entry.now)
			}
			next(calls)
		}
		entry.sendList(Full, readyEndpoints("w", innerBalancers))
		inner.sendList(Full, readyEndpoints("l", 2*innerBalancers))
		entry.run(16*time.Second, perSecond, 0, 1500*ms)
		maxRatio, saved := 0.0, perSecond*retryBurstWindow.Seconds()*calls+innerBalancers*minRetryBurst
		for k := 4; k+4 <= 32; k++ {
			a, b := 0, 0
			for i := k; i < k+4; i++ {
				a, b = a+attempts[i], b+firstAttempts[i]
			}
			maxRatio = max(maxRatio, (float64(a)-saved)/float64(b*calls))
		}
		t.Logf("seed %d: at most %.3f attempts per call in 2 s, without the saved retries", seed, maxRatio)
		if bound := (1 + retriesPerServed) * (1 + retriesPerServed); maxRatio > bound {
			t.Errorf("seed %d: %.3f attempts per call in 2 s, without the saved retries, want at most %.2f", seed, maxRatio, bound)
		}
	}
}

// Three of 36 new endpoints fail, and each Balancer has to detect that by itself. A
// failing endpoint must get fewer attempts than a healthy one that is equally cold, and
// idempotent requests are served by other endpoints. A request is lost if an attempt gets
// no response, as the attempt uses up the deadline.
func TestLargeFleetAvoidsFailingColdEndpoints(t *testing.T) {
	const startAt, perSecond = 6 * time.Second, 2400.0
	for _, c := range []struct {
		kind      string
		share     float64 // highest number of attempts, relative to a healthy cold endpoint
		minServed float64 // lowest share of requests served
	}{{"errors", 0.65, 0.995}, {"no response", 0.65, 0.985}, {"slow", 0.65, 0.99}} {
		t.Run(c.kind, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newFleet(t, fleetConfig(), 300, seed)
				isFailing := func(addr string) bool { return addr == "c0" || addr == "c12" || addr == "c24" }
				f.respond = func(addr string, _ int) (Result, time.Duration) {
					took := time.Duration(40+f.rng.IntN(80)) * ms
					switch {
					case !isFailing(addr):
						return OK, took
					case c.kind == "errors":
						return Error, 3 * ms
					case c.kind == "no response":
						return Timeout, time.Hour
					}
					return OK, 10 * took
				}
				sends := map[string]int{}
				f.onSend = func(addr string, _ int) { sends[addr]++ }
				ended, served := 0, 0
				f.onEnd = func(ok bool) {
					if f.now > startAt {
						ended++
						if ok {
							served++
						}
					}
				}
				f.sendList(Full, readyEndpoints("w", 100))
				for i, e := range readyEndpoints("c", 36) {
					e.Since = startAt + time.Duration(i%12)*500*ms
					f.after(e.Since, func() { f.sendList(Delta, []Endpoint{e, {Addr: fmt.Sprint("w", i), State: Gone}}) })
				}
				f.run(19*time.Second, perSecond, 0, 1500*ms)
				failing, healthy := 0.0, 0.0
				for addr, n := range sends {
					if isFailing(addr) {
						failing += float64(n) / 3
					} else if addr[0] == 'c' {
						healthy += float64(n) / 33
					}
				}
				t.Logf("seed %d: %.0f attempts at a failing endpoint, %.0f at a healthy cold one; %.4f served", seed, failing, healthy, float64(served)/float64(ended))
				if failing > c.share*healthy {
					t.Errorf("seed %d: a failing endpoint got %.0f attempts and a healthy cold one %.0f, want at most %.2f of that", seed, failing, healthy, c.share)
				}
				if float64(served) < c.minServed*float64(ended) {
					t.Errorf("seed %d: %d of %d requests served, want at least %.3f of them", seed, served, ended, c.minServed)
				}
			}
		})
	}
}

// A zone fails for 5 s and returns cold, 4 s before the list shows that its endpoints
// have restarted. Until then no cold budget applies, and only the failure counts keep the
// Balancers from overloading it.
func TestLargeFleetZoneReturnsBeforeListUpdate(t *testing.T) {
	const failsAt, returnAt, listAt, perSecond = 8 * time.Second, 13 * time.Second, 17 * time.Second, 1500.0
	for seed := range uint64(2) {
		cfg := fleetConfig()
		f := newFleet(t, cfg, 300, seed)
		inZone := func(addr string) bool {
			var n int
			fmt.Sscanf(addr, "w%d", &n)
			return n%3 == 0
		}
		sends := map[string][]time.Duration{}
		f.respond = func(addr string, _ int) (Result, time.Duration) {
			took := time.Duration(40+f.rng.IntN(80)) * ms
			switch {
			case !inZone(addr) || f.now < failsAt:
				return OK, took
			case f.now < failsAt+300*ms:
				return Timeout, time.Hour
			case f.now < returnAt:
				return ConnectError, 150 * ms
			}
			return OK, 2 * took // the endpoint is cold
		}
		f.onSend = func(addr string, _ int) {
			if inZone(addr) && f.now >= returnAt {
				sends[addr] = append(sends[addr], f.now)
			}
		}
		list := readyEndpoints("w", 100)
		f.sendList(Full, list)
		f.after(listAt, func() {
			for i := range list {
				if inZone(list[i].Addr) {
					list[i].Since = returnAt
				}
			}
			f.sendList(Full, list)
		})
		served, ended := 0, 0
		f.onEnd = func(ok bool) {
			if f.now >= failsAt+3*time.Second {
				ended++
				if ok {
					served++
				}
			}
		}
		f.run(25*time.Second, perSecond, 0, 1500*ms)
		perWindow, maxRatio := perSecond/0.6/100*cfg.OverloadWindow.Seconds(), 0.0 // at a utilization of 0.6
		for _, times := range sends {
			first := 0
			for k, at := range times {
				for at-times[first] >= cfg.OverloadWindow {
					first++
				}
				age := (times[first] - returnAt + cfg.OverloadWindow/2).Seconds()
				maxRatio = max(maxRatio, float64(k-first+1)/perWindow/min(1, cfg.SlowStartInitialShare+(1-cfg.SlowStartInitialShare)*age/cfg.SlowStartWindow.Seconds()))
			}
		}
		t.Logf("seed %d: an endpoint was sent at most %.2f times its capacity; %.4f served", seed, maxRatio, float64(served)/float64(ended))
		if maxRatio > 1 { // by the means alone they would get the share of a warm endpoint at once
			t.Errorf("seed %d: a returned endpoint was sent %.2f times its capacity, want at most 1", seed, maxRatio)
		}
		if float64(served) < 0.98*float64(ended) {
			t.Errorf("seed %d: %d of %d requests served from 3 s after the zone failed, want at least 0.98 of them", seed, served, ended)
		}
	}
}
