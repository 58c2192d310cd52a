package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// pullDiscovery simulates a discovery service of limited capacity in virtual time. It
// handles the calls of all Balancers one at a time, and rejects a call that would wait
// for over 2 s.
type pullDiscovery struct {
	fleet         *fleet
	callDuration  time.Duration // of one call
	isUp          func() bool
	hangsWhenDown func() bool // while down, a call times out after 2 s instead of failing at once
	freeAt        time.Duration
	calls         []time.Duration
	notifiedAt    []time.Duration // when each Balancer first received the change; 0 means not yet
}

// call simulates the call to the service that follows a Watch of Balancer i. The Balancer
// receives an update when the call ends, or a failure.
func (d *pullDiscovery) call(i int) {
	const limit = 2 * time.Second
	f := d.fleet
	d.calls = append(d.calls, f.now)
	b := f.balancers[i]
	failAfter := func(after time.Duration) { f.after(after, func() { b.UpdateEndpoints(f.now, ListFailed, nil) }) }
	switch {
	case !d.isUp() && d.hangsWhenDown():
		failAfter(limit)
	case !d.isUp(), max(d.freeAt, f.now)+d.callDuration > f.now+limit:
		failAfter(ms)
	default:
		d.freeAt = max(d.freeAt, f.now) + d.callDuration
		f.after(d.freeAt-f.now, func() {
			if d.notifiedAt[i] == 0 {
				d.notifiedAt[i] = f.now
			}
			b.UpdateEndpoints(f.now, Delta, nil)
		})
	}
}

// simulateStartWithoutDiscovery starts n Balancers while discovery is down. Once it is
// up, it has a change for all of them, and capacity for n calls in 3 s. The results are
// the time until the last Balancer has the change, the number of calls, and the most
// calls within 100 ms.
func simulateStartWithoutDiscovery(t *testing.T, n int, watchInterval time.Duration, seed uint64) (latest time.Duration, calls, maxCalls int) {
	cfg := fleetConfig()
	cfg.PullDiscovery, cfg.MaxWatchInterval = true, watchInterval
	rng := rand.New(rand.NewPCG(seed, 9))
	upAt := 12*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	f := newFleet(t, cfg, n, seed)
	d := &pullDiscovery{fleet: f, callDuration: 3 * time.Second / time.Duration(n), notifiedAt: make([]time.Duration, n)}
	d.isUp = func() bool { return f.now >= upAt }
	d.hangsWhenDown = func() bool { return seed%2 == 1 }
	f.onWatch = d.call
	for _, b := range f.balancers { // the processes start within a second
		f.after(time.Duration(rng.Int64N(int64(time.Second))), func() { b.UpdateEndpoints(f.now, Cached, readyEndpoints("w", 3)) })
	}
	for len(f.events) > 0 && f.events[0].at < upAt+20*time.Second {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	for i, at := range d.notifiedAt {
		if at == 0 {
			t.Fatalf("%d Balancers, seed %d: Balancer %d has not received the change 20 s after the end of the outage", n, seed, i)
		}
		latest = max(latest, at-upAt)
	}
	first := 0
	for k, at := range d.calls {
		for at-d.calls[first] >= 100*ms {
			first++
		}
		maxCalls = max(maxCalls, k-first+1)
	}
	return latest, len(d.calls), maxCalls
}

// A change must arrive within 6 s of the end of an outage of discovery, whatever
// MaxWatchInterval is. A retry delay of half of MaxWatchInterval would exceed that.
func TestChangeArrivesWithinSixSeconds(t *testing.T) {
	const slack = 800 * ms // for scheduling delays
	for _, n := range []int{30, 300} {
		for _, watchInterval := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Hour} {
			for seed := range uint64(6) {
				latest, calls, _ := simulateStartWithoutDiscovery(t, n, watchInterval, seed)
				t.Logf("%d Balancers, MaxWatchInterval %v, seed %d: change received %v after the outage, %d calls", n, watchInterval, seed, latest.Round(ms), calls)
				if latest > 6*time.Second-slack {
					t.Errorf("%d Balancers, MaxWatchInterval %v, seed %d: change received %v after the outage, want at most 6 s less %v", n, watchInterval, seed, latest, slack)
				}
			}
		}
	}
}

// Synchronized calls could keep an overloaded discovery service down. The bounds lie
// between evenly spread calls, n/20 in 100 ms, and all n calls at once.
func TestDiscoveryCallsAreSpread(t *testing.T) {
	for _, c := range []struct{ n, maxCalls int }{{30, 14}, {300, 42}} {
		for seed := range uint64(6) {
			if _, calls, got := simulateStartWithoutDiscovery(t, c.n, 10*time.Second, seed); got > c.maxCalls {
				t.Errorf("%d Balancers, seed %d: %d of %d calls in 100 ms, want at most %d", c.n, seed, got, calls, c.maxCalls)
			} else {
				t.Logf("%d Balancers, seed %d: %d of %d calls in 100 ms", c.n, seed, got, calls)
			}
		}
	}
}
