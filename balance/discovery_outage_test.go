package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// After an outage of discovery of any length, changes arrive within 6 s and the Watch
// calls are spread. During the outage, requests are served with the last endpoint list.
func TestChangeArrivesAfterDiscoveryOutage(t *testing.T) {
	const n, slack, perSecond = 30, 800 * ms, 20
	for name, outage := range map[string]time.Duration{"seconds": 5 * time.Second, "a minute": time.Minute, "an hour": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				cfg := fleetConfig()
				cfg.PullDiscovery, cfg.MaxWatchInterval = true, 10*time.Second
				rng := rand.New(rand.NewPCG(seed, 11))
				downAt := 2 * time.Second
				upAt := downAt + outage + time.Duration(rng.Int64N(int64(3*time.Second)))
				f := newFleet(t, cfg, n, seed)
				d := &pullDiscovery{fleet: f, callDuration: 3 * time.Second / n, notifiedAt: make([]time.Duration, n)}
				d.isUp = func() bool { return f.now < downAt || f.now >= upAt }
				d.hangsWhenDown = func() bool { return seed%2 == 1 }
				f.onWatch = d.call
				f.respond = func(string, int) (Result, time.Duration) { return OK, 20 * ms }
				served, ended := 0, 0
				f.onEnd = func(ok bool) {
					if ended++; ok {
						served++
					}
				}
				for _, b := range f.balancers {
					b.UpdateEndpoints(0, Full, readyEndpoints("w", 3))
					f.after(downAt+time.Duration(rng.Int64N(int64(100*ms))), func() { b.UpdateEndpoints(f.now, ListFailed, nil) }) // the subscriptions end
				}
				var arrive func()
				arrive = func() {
					f.lastID++
					f.balancers[f.rng.IntN(n)].Request(f.now, f.lastID, 0, -1, time.Second)
					f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
				}
				f.after(0, arrive)
				for len(f.events) > 0 && f.events[0].at < upAt+10*time.Second {
					e := heap.Pop(&f.events).(event)
					f.now = e.at
					e.run()
				}
				latest, maxCalls, first := time.Duration(0), 0, 0
				for i, at := range d.notifiedAt {
					if at == 0 {
						t.Fatalf("seed %d: Balancer %d has not received the change 10 s after the end of the outage", seed, i)
					}
					latest = max(latest, at-upAt)
				}
				for k, at := range d.calls {
					for at-d.calls[first] >= 100*ms {
						first++
					}
					maxCalls = max(maxCalls, k-first+1)
				}
				t.Logf("seed %d: change received %v after the outage, %d calls, at most %d in 100 ms; %d of %d requests served", seed, latest.Round(ms), len(d.calls), maxCalls, served, ended)
				if latest > 6*time.Second-slack {
					t.Errorf("seed %d: change received %v after the outage, want at most 6 s less %v", seed, latest, slack)
				}
				if maxCalls > 14 {
					t.Errorf("seed %d: %d calls in 100 ms, want at most 14", seed, maxCalls)
				}
				if served != ended {
					t.Errorf("seed %d: %d of %d requests served, want all", seed, served, ended)
				}
			}
		})
	}
}
