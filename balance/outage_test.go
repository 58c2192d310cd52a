package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// Discovery is asked, and is down for a few seconds, a minute, or an hour, with requests all
// the while. What it has to tell at its return is heard within 6 s however long it was away,
// its calls do not come together, and until then the last list serves.
func TestAskedChangeAfterALongOutage(t *testing.T) {
	const n, slack, perSecond = 30, 800 * ms, 20
	for name, outage := range map[string]time.Duration{"seconds": 5 * time.Second, "a minute": time.Minute, "an hour": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				cfg := fleetConfig()
				cfg.PullDiscovery, cfg.MaxWatchInterval = true, 10*time.Second
				rng := rand.New(rand.NewPCG(seed, 11))
				down := 2 * time.Second
				back := down + outage + time.Duration(rng.Int64N(int64(3*time.Second)))
				f := newFleet(t, cfg, n, seed)
				a := &asked{f: f, each: 3 * time.Second / n, told: make([]time.Duration, n)}
				a.up = func() bool { return f.now < down || f.now >= back }
				a.hangs = func() bool { return seed%2 == 1 }
				f.watch = a.call
				f.answer = func(string, int) (Result, time.Duration) { return OK, 20 * ms }
				served, ended := 0, 0
				f.ended = func(ok bool) {
					if ended++; ok {
						served++
					}
				}
				for _, b := range f.at {
					b.Members(0, Full, ready("w", 3))
					f.after(down+time.Duration(rng.Int64N(int64(100*ms))), func() { b.Members(f.now, ListFailed, nil) }) // watches end
				}
				var arrive func()
				arrive = func() {
					f.lastID++
					f.at[f.rng.IntN(n)].Request(f.now, f.lastID, 0, -1, time.Second)
					f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
				}
				f.after(0, arrive)
				for len(f.events) > 0 && f.events[0].at < back+10*time.Second {
					e := heap.Pop(&f.events).(event)
					f.now = e.at
					e.do()
				}
				latest, most, first := time.Duration(0), 0, 0
				for i, at := range a.told {
					if at == 0 {
						t.Fatalf("seed %d: number %d has not heard 10 s after the return", seed, i)
					}
					latest = max(latest, at-back)
				}
				for k, at := range a.calls {
					for at-a.calls[first] >= 100*ms {
						first++
					}
					most = max(most, k-first+1)
				}
				t.Logf("seed %d: heard %v after the return, %d calls, %d in 100 ms at the most; %d of %d served", seed, latest.Round(ms), len(a.calls), most, served, ended)
				if latest > 6*time.Second-slack {
					t.Errorf("seed %d: heard %v after the return, want 6 s less %v", seed, latest, slack)
				}
				if most > 14 {
					t.Errorf("seed %d: %d calls in 100 ms, want 14 at most", seed, most)
				}
				if served != ended {
					t.Errorf("seed %d: %d of %d served", seed, served, ended)
				}
			}
		})
	}
}
