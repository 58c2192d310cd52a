package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// asked is a discovery in virtual time that answers all Balancers of a fleet in turn, and
// turns a call away that would have to wait for over 2 s.
type asked struct {
	f     *fleet
	each  time.Duration // that a call takes
	up    func() bool
	hangs func() bool // while it is down, a call is not refused but given up after 2 s
	free  time.Duration
	calls []time.Duration
	told  []time.Duration // when each Balancer first heard of what is new, 0 before
}

// call is one of a Balancer that asks for what is new.
func (a *asked) call(i int) {
	const limit = 2 * time.Second
	f := a.f
	a.calls = append(a.calls, f.now)
	b := f.at[i]
	fails := func(after time.Duration) { f.after(after, func() { b.Members(f.now, ListFailed, nil) }) }
	switch {
	case !a.up() && a.hangs():
		fails(limit)
	case !a.up(), max(a.free, f.now)+a.each > f.now+limit:
		fails(ms)
	default:
		a.free = max(a.free, f.now) + a.each
		f.after(a.free-f.now, func() {
			if a.told[i] == 0 {
				a.told[i] = f.now
			}
			b.Members(f.now, Delta, nil) // and watches on
		})
	}
}

// askedDay plays n Balancers through a discovery that is down, from before they start until
// a moment that nobody knows, and has room for one call of each in 3 s. A change is there
// right at its return. It tells when the last of them has heard of it, and the most calls
// within 100 ms.
func askedDay(t *testing.T, n int, within time.Duration, seed uint64) (latest time.Duration, calls, most int) {
	cfg := fleetConfig()
	cfg.PullDiscovery, cfg.MaxWatchInterval = true, within
	rng := rand.New(rand.NewPCG(seed, 9))
	back := 12*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	f := newFleet(t, cfg, n, seed)
	a := &asked{f: f, each: 3 * time.Second / time.Duration(n), told: make([]time.Duration, n)}
	a.up = func() bool { return f.now >= back }
	a.hangs = func() bool { return seed%2 == 1 }
	f.watch = a.call
	for _, b := range f.at { // as processes start, within a second
		f.after(time.Duration(rng.Int64N(int64(time.Second))), func() { b.Members(f.now, Cached, ready("w", 3)) })
	}
	for len(f.events) > 0 && f.events[0].at < back+20*time.Second {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	for i, at := range a.told {
		if at == 0 {
			t.Fatalf("%d Balancers, seed %d: number %d has not heard 20 s after the return", n, seed, i)
		}
		latest = max(latest, at-back)
	}
	first := 0
	for k, at := range a.calls {
		for at-a.calls[first] >= 100*ms {
			first++
		}
		most = max(most, k-first+1)
	}
	return latest, len(a.calls), most
}

// What discovery has to tell counts as told 6 s after it can be had, whatever call failed
// before, and at any time by which the settings want a Balancer to ask. Seen to fail where
// one waited for half of that time after a failure: 17 s later, and more.
func TestAskedChangeIsToldInSixSeconds(t *testing.T) {
	const slack = 800 * ms // for a process that does not get to run
	for _, n := range []int{30, 300} {
		for _, within := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Hour} {
			for seed := range uint64(6) {
				latest, calls, _ := askedDay(t, n, within, seed)
				t.Logf("%d Balancers, MaxWatchInterval %v, seed %d: %v, %d calls", n, within, seed, latest.Round(ms), calls)
				if latest > 6*time.Second-slack {
					t.Errorf("%d Balancers, MaxWatchInterval %v, seed %d: told %v after the return, want 6 s less %v", n, within, seed, latest, slack)
				}
			}
		}
	}
}

// A storm of calls is how a discovery of fixed capacity is kept down. Spread evenly over the
// longest wait, the calls of n Balancers are n/20 in 100 ms; start and return are all of
// them at once.
func TestAskedCallsStaySpread(t *testing.T) {
	for _, c := range []struct{ n, most int }{{30, 14}, {300, 42}} {
		for seed := range uint64(6) {
			if _, calls, most := askedDay(t, c.n, 10*time.Second, seed); most > c.most {
				t.Errorf("%d Balancers, seed %d: %d of %d calls in 100 ms, want %d at most", c.n, seed, most, calls, c.most)
			} else {
				t.Logf("%d Balancers, seed %d: %d of %d calls in 100 ms", c.n, seed, most, calls)
			}
		}
	}
}
