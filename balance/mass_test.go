package balance

import (
	"fmt"
	"testing"
	"time"
)

// 300 Balancers with unequal traffic before 100 endpoints in zones of 60, 30 and 10.
// 36 endpoints are replaced within 7 s while all that could go past the cold budget
// happens to the Balancers: half of them start again from nothing with a list that
// knows of the cold ones; all take up new settings and a whole list; all warm endpoints
// refuse connections for two seconds, so that requests fall back from the subset to
// all there are.
//
// What all send to one endpoint within the span by which it is judged stays under the
// multiple of what it surely can do then. TestFleetKeepsColdBudget derives half the
// multiple for an endpoint of the mean size at a fleet that is asked for all it can do.
// Shares of traffic here vary from 0.6 to 3.3 times the mean, with a deviation of 0.49;
// those of the 30 Balancers that draw from an endpoint have 0.09 of their sum, so that
// the busiest of 36 endpoints is given some 1.2 times half the multiple. What is left
// to 4/5 of it is for chance: an endpoint of 4/5 of the mean size stands.
func TestMassKeepsColdBudget(t *testing.T) {
	const balancers, endpoints, replaced, perSecond, slowest = 300, 100, 36, 2400.0, 4.0 / 5
	const began, wave = 10 * time.Second, 7 * time.Second
	for _, trouble := range []string{"none", "restart", "settings", "fall back"} {
		t.Run(trouble, func(t *testing.T) {
			for seed := range uint64(2) {
				cfg := fleetConfig()
				f := newFleet(t, cfg, balancers, seed)
				shuffled := f.rng.Perm(balancers)
				f.choose = func() int { // densities from 1/2 of the mean to over three times
					x := f.rng.Float64()
					return shuffled[int(float64(balancers)*x*(0.3+0.7*x))]
				}
				list := ready("w", endpoints)
				for i := range list {
					list[i].Zone = []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[i%10]
				}
				now := map[string]Endpoint{}
				for _, e := range list {
					now[e.Addr] = e
				}
				whole := func() (all []Endpoint) { // in one order, as maps have none
					for _, names := range []string{"w", "c"} {
						for i := range endpoints {
							if e, ok := now[fmt.Sprint(names, i)]; ok {
								all = append(all, e)
							}
						}
					}
					return all
				}
				sends := map[string][]time.Duration{}
				refuses := func() bool {
					return trouble == "fall back" && f.now >= began+wave/2 && f.now < began+wave/2+2*time.Second
				}
				f.answer = func(addr string, _ int) (Result, time.Duration) {
					switch {
					case addr[0] == 'c':
						return OK, 60 * ms
					case refuses():
						return ConnectError, ms
					}
					return OK, 180 * ms
				}
				f.sent = func(addr string, _ int) { sends[addr] = append(sends[addr], f.now) }
				f.list(Full, list)
				since := map[string]time.Duration{}
				for i, e := range ready("c", replaced) {
					e.Since = began + time.Duration(i)*wave/replaced
					e.Zone = list[i].Zone
					since[e.Addr] = e.Since
					f.after(e.Since, func() {
						old := now[fmt.Sprint("w", i)]
						old.State = Draining
						delete(now, old.Addr)
						now[e.Addr] = e
						f.list(Delta, []Endpoint{e, old})
					})
				}
				f.after(began+wave/2, func() {
					switch trouble {
					case "restart":
						for i := range balancers / 2 {
							f.after(time.Duration(f.rng.Int64N(int64(wave/2))), func() { f.restart(shuffled[2*i], cfg, whole()) })
						}
					case "settings":
						for i, b := range f.at {
							f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
								c := cfg
								c.Index, c.Instances, c.AttemptLimit = i, balancers, 3
								if err := b.Reconfigure(c); err != nil {
									t.Error(err)
								}
								b.Members(f.now, Full, whole())
							})
						}
					}
				})
				f.run(30*time.Second, perSecond, 0, 1500*ms)
				left := float64(endpoints - replaced)
				for _, start := range since {
					left += cfg.ColdShare + (1-cfg.ColdShare)*min(1, (began+wave-start).Seconds()/cfg.RampTime.Seconds())
				}
				able := perSecond / left * cfg.OverloadWindow.Seconds() // of a whole one in the span
				most, cold := 0.0, 0
				for addr, start := range since {
					times, first := sends[addr], 0
					for k, at := range times {
						for at-times[first] >= cfg.OverloadWindow {
							first++
						}
						age := (times[first] - start + cfg.OverloadWindow/2).Seconds()
						most = max(most, float64(k-first+1)/able/min(1, cfg.ColdShare+(1-cfg.ColdShare)*age/cfg.RampTime.Seconds()))
						if at-start < cfg.RampTime {
							cold++
						}
					}
				}
				t.Logf("seed %d: at most %.2f times what an endpoint can do, %d sends to cold ones", seed, most, cold)
				if bound := cfg.OverloadFactor * slowest; most > bound {
					t.Errorf("seed %d: an endpoint was sent %.2f times what it can do for %v, want %.2f at most", seed, most, cfg.OverloadWindow, bound)
				}
				// Restarts begin with nothing to their credit: half of the even share is owed.
				if even := able / cfg.OverloadWindow.Seconds() * cfg.RampTime.Seconds() * (1 + cfg.ColdShare) / 2 * replaced; float64(cold) < even/2 {
					t.Errorf("seed %d: cold endpoints got %d sends, want half of their even share of %.0f at least", seed, cold, even)
				}
			}
		})
	}
}

// Two tiers: 50 Balancers at the front, and one beside each of the 100 endpoints that
// they choose from, each of which asks its own tier twice in a row for a request and
// fails if a call does. A third of the second tier falls silent and then, for two
// seconds, all of it answers with errors. Calls that reach the second tier are bounded
// over both: a first try makes 1 + retriesPerServed attempts in its tier, each of them two
// calls there, and each of those 1 + retriesPerServed attempts; beside them what each
// Balancer has saved up: minRetryBurst where it serves 15 a second in its tier.
func TestMassAttemptsBoundedOverTwoTiers(t *testing.T) {
	const fronts, middles, perSecond, calls = 50, 100, 1500.0, 2
	const cut, sick, healed = 6 * time.Second, 10 * time.Second, 12 * time.Second
	for seed := range uint64(2) {
		front := newFleet(t, fleetConfig(), fronts, seed)
		below := newFleet(t, fleetConfig(), middles, seed+100)
		below.clock = front // one clock, one queue of events
		var asked, attempts [40]int
		below.answer = func(addr string, _ int) (Result, time.Duration) {
			var n int
			fmt.Sscanf(addr, "l%d", &n)
			switch now := front.now; {
			case n%3 == 0 && now >= cut && now < cut+200*ms:
				return Timeout, time.Hour
			case n%3 == 0 && now >= cut && now < sick:
				return ConnectError, 150 * ms
			case now >= sick && now < healed:
				return Error, 5 * ms
			}
			return OK, time.Duration(20+front.rng.IntN(40)) * ms
		}
		below.sent = func(string, int) { attempts[front.now/(500*ms)]++ }
		front.sent = func(_ string, number int) {
			if number == 0 {
				asked[front.now/(500*ms)]++
			}
		}
		waiting := map[RequestID]func(bool){}
		below.endedID = func(id RequestID, ok bool) {
			if done := waiting[id]; done != nil {
				delete(waiting, id)
				done(ok)
			}
		}
		front.call = func(addr string, timeout time.Duration, done func(Result)) {
			var at int
			fmt.Sscanf(addr, "w%d", &at)
			end := front.now + timeout
			over := false
			finish := func(r Result) {
				if !over {
					over = true
					done(r)
				}
			}
			front.after(timeout, func() { finish(Timeout) })
			var next func(left int)
			next = func(left int) {
				if over || left == 0 {
					finish(OK)
					return
				}
				below.lastID++
				id := below.lastID
				waiting[id] = func(ok bool) {
					if !ok {
						finish(Error)
						return
					}
					next(left - 1)
				}
				below.at[at].Request(front.now, id, 0, -1, end-front.now)
			}
			next(calls)
		}
		front.list(Full, ready("w", middles))
		below.list(Full, ready("l", 2*middles))
		front.run(16*time.Second, perSecond, 0, 1500*ms)
		worst, saved := 0.0, perSecond*retryBurstWindow.Seconds()*calls+middles*minRetryBurst
		for k := 4; k+4 <= 32; k++ {
			a, b := 0, 0
			for i := k; i < k+4; i++ {
				a, b = a+attempts[i], b+asked[i]
			}
			worst = max(worst, (float64(a)-saved)/float64(b*calls))
		}
		t.Logf("seed %d: %.3f attempts a call in the worst 2 s, less what was saved up", seed, worst)
		if bound := (1 + retriesPerServed) * (1 + retriesPerServed); worst > bound {
			t.Errorf("seed %d: %.3f attempts a call in the worst 2 s, less what was saved up, want %.2f at most", seed, worst, bound)
		}
	}
}

// A release under 300 Balancers in which three of the 36 new endpoints are bad: they
// answer with errors at once, fall silent, or serve ten times as slowly. Each Balancer
// has to find out for itself, so a bad one is tried by all that draw from it; beyond
// that it gets less than a sound one beside it, though it is as cold, and what may be
// repeated is served elsewhere.
//
// Some 30 Balancers draw from an endpoint, two in three of them have budget for it, and
// each tries it four or five times at the most in 13 s, as its failures halve every 5 s:
// 100 attempts, where a sound one gets 190. Silence shows only when the time is up, and
// what waited for it is lost: 3 times 100 of 31,000 requests, a hundredth.
func TestMassBadEndpointAmongColdOnes(t *testing.T) {
	const began, perSecond = 6 * time.Second, 2400.0
	for _, c := range []struct {
		kind  string
		share float64 // of what a sound cold one gets, at the most
		least float64 // served of those that may be repeated
	}{{"errors", 0.65, 0.995}, {"silence", 0.65, 0.985}, {"slow", 0.65, 0.99}} {
		t.Run(c.kind, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newFleet(t, fleetConfig(), 300, seed)
				bad := func(addr string) bool { return addr == "c0" || addr == "c12" || addr == "c24" }
				f.answer = func(addr string, _ int) (Result, time.Duration) {
					took := time.Duration(40+f.rng.IntN(80)) * ms
					switch {
					case !bad(addr):
						return OK, took
					case c.kind == "errors":
						return Error, 3 * ms
					case c.kind == "silence":
						return Timeout, time.Hour
					}
					return OK, 10 * took
				}
				sends := map[string]int{}
				f.sent = func(addr string, _ int) { sends[addr]++ }
				asked, served := 0, 0
				f.ended = func(ok bool) {
					if f.now > began {
						asked++
						if ok {
							served++
						}
					}
				}
				f.list(Full, ready("w", 100))
				for i, e := range ready("c", 36) {
					e.Since = began + time.Duration(i%12)*500*ms
					f.after(e.Since, func() { f.list(Delta, []Endpoint{e, {Addr: fmt.Sprint("w", i), State: Gone}}) })
				}
				f.run(19*time.Second, perSecond, 0, 1500*ms)
				sick, sound := 0.0, 0.0
				for addr, n := range sends {
					if bad(addr) {
						sick += float64(n) / 3
					} else if addr[0] == 'c' {
						sound += float64(n) / 33
					}
				}
				t.Logf("seed %d: %.0f attempts at a bad one, %.0f at a sound cold one; %.4f served", seed, sick, sound, float64(served)/float64(asked))
				if sick > c.share*sound {
					t.Errorf("seed %d: a bad endpoint got %.0f attempts and a sound cold one %.0f, want %.2f of it at most", seed, sick, sound, c.share)
				}
				if float64(served) < c.least*float64(asked) {
					t.Errorf("seed %d: %d of %d served, want %.3f", seed, served, asked, c.least)
				}
			}
		})
	}
}

// A zone of a third of 100 endpoints is silent for 5 s and answers again, cold, 4 s before
// the list tells that its endpoints have started anew: until then no budget holds. What
// holds is that failures count: all that each Balancer knows of the zone are attempts
// without an answer, and each endpoint wins its share back as they are forgotten.
func TestMassLostZoneReturnsBeforeTheListTells(t *testing.T) {
	const lost, back, told, perSecond = 8 * time.Second, 13 * time.Second, 17 * time.Second, 1500.0
	for seed := range uint64(2) {
		cfg := fleetConfig()
		f := newFleet(t, cfg, 300, seed)
		zone := func(addr string) bool {
			var n int
			fmt.Sscanf(addr, "w%d", &n)
			return n%3 == 0
		}
		sends := map[string][]time.Duration{}
		f.answer = func(addr string, _ int) (Result, time.Duration) {
			took := time.Duration(40+f.rng.IntN(80)) * ms
			switch {
			case !zone(addr) || f.now < lost:
				return OK, took
			case f.now < lost+300*ms:
				return Timeout, time.Hour
			case f.now < back:
				return ConnectError, 150 * ms
			}
			return OK, 2 * took // it is cold
		}
		f.sent = func(addr string, _ int) {
			if zone(addr) && f.now >= back {
				sends[addr] = append(sends[addr], f.now)
			}
		}
		list := ready("w", 100)
		f.list(Full, list)
		f.after(told, func() {
			for i := range list {
				if zone(list[i].Addr) {
					list[i].Since = back
				}
			}
			f.list(Full, list)
		})
		served, asked := 0, 0
		f.ended = func(ok bool) {
			if f.now >= lost+3*time.Second {
				asked++
				if ok {
					served++
				}
			}
		}
		f.run(25*time.Second, perSecond, 0, 1500*ms)
		able, most := perSecond/0.6/100*cfg.OverloadWindow.Seconds(), 0.0 // where the fleet is used to 0.6
		for _, times := range sends {
			first := 0
			for k, at := range times {
				for at-times[first] >= cfg.OverloadWindow {
					first++
				}
				age := (times[first] - back + cfg.OverloadWindow/2).Seconds()
				most = max(most, float64(k-first+1)/able/min(1, cfg.ColdShare+(1-cfg.ColdShare)*age/cfg.RampTime.Seconds()))
			}
		}
		t.Logf("seed %d: at most %.2f times what an endpoint can do; %.4f served", seed, most, float64(served)/float64(asked))
		if most > 1 { // by their means alone they would get their even share at once, 1.6 times
			t.Errorf("seed %d: an endpoint that came back cold was sent %.2f times what it can do, want no more than that", seed, most)
		}
		if float64(served) < 0.98*float64(asked) {
			t.Errorf("seed %d: %d of %d served once the zone was known to be lost", seed, served, asked)
		}
	}
}
