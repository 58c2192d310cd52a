package traffic

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/quick"
	"time"
)

// play is a run of a generator that is late by chance, and now and then for
// long, before a target that is slow by chance: requests in order, each over
// any connection that is free.
func play(seed uint64, conns, n int) (due, freed, sent []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	free := make([]time.Duration, conns) // when each connection becomes free
	var at, now time.Duration
	for range n {
		at += time.Duration(rng.IntN(4)) * ms
		now = max(now, at, slices.Min(free))
		if rng.IntN(5) == 0 {
			now += time.Duration(rng.IntN(3)) * ms
		}
		if rng.IntN(40) == 0 {
			now += time.Duration(rng.IntN(60)) * ms
		}
		k := rng.IntN(conns)
		for free[k] > now {
			k = (k + 1) % conns
		}
		service := time.Duration(rng.IntN(2*conns)) * ms
		if rng.IntN(50) == 0 {
			service += 50 * ms
		}
		free[k] = now + service
		due, sent, freed = append(due, at), append(sent, now), append(freed, free[k])
	}
	return due, freed, sent
}

// slowly is the second account of a run: at every moment from when a request
// was due to when it was sent it counts the free connections and those before
// it in the queue, and remembers the last one at which none was left for it.
func slowly(conns int, due, freed, sent []time.Duration, k int) time.Duration {
	could := due[k]
	for at := due[k]; at < sent[k]; at += ms {
		free, before := conns, 0
		for i := range k {
			if sent[i] <= at {
				free--
			} else {
				before++
			}
		}
		for _, f := range freed {
			if f <= at {
				free++
			}
		}
		if free-before <= 0 {
			could = at + ms
		}
	}
	return sent[k] - could
}

// The account that the live path keeps is that of the plain, slow one, whatever
// the run; and what it calls held is never less than that, nor more than the
// whole wait.
func TestOwnErrorIsThatOfTheSlowAccount(t *testing.T) {
	ownLate, waited := 0, 0
	same := func(seed uint64, c uint8) bool {
		conns := int(c%7) + 1
		due, freed, sent := play(seed, conns, 150)
		for k, l := range OwnErrors(conns, due, freed, sent) {
			if want := slowly(conns, due, freed, sent, k); l.Own != want {
				t.Logf("%d connections, request %d: %v, want %v", conns, k, l.Own, want)
				return false
			}
			if l.Held < l.Own || l.Held > sent[k]-due[k] || l.Own+l.Waited != sent[k]-due[k] {
				t.Logf("request %d: %+v of %v", k, l, sent[k]-due[k])
				return false
			}
			if l.Own > 0 {
				ownLate++
			}
			if l.Waited > 0 {
				waited++
			}
		}
		return true
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 60}); err != nil {
		t.Error(err)
	}
	if ownLate < 100 || waited < 100 {
		t.Errorf("%d late by the generator, %d by the target: the runs show nothing", ownLate, waited)
	}
}

func TestOwnErrorTellsWhoseItIs(t *testing.T) {
	d := func(ns ...int) (all []time.Duration) {
		for _, n := range ns {
			all = append(all, time.Duration(n)*ms)
		}
		return all
	}
	for _, c := range []struct {
		name                 string
		conns                int
		due, freed, sent     []time.Duration
		own, held, waitedFor []time.Duration
	}{
		{"in time", 2, d(0, 1, 2), d(1, 2, 3), d(0, 1, 2), d(0, 0, 0), d(0, 0, 0), d(0, 0, 0)},
		// Both connections hang for a second and become free together: all
		// that were due in it have waited for the target.
		{"the target stood still", 2, d(0, 1, 2, 3, 4), d(1000, 1000, 1001, 1001, 1002), d(0, 1, 1000, 1000, 1001), d(0, 0, 0, 0, 0), d(0, 0, 0, 0, 0), d(0, 0, 998, 997, 997)},
		// The generator stood still with both free: the first two are late, and
		// those behind them wait for connections only because of it.
		{"the generator stood still", 2, d(0, 1, 2, 3, 900), d(310, 310, 320, 320, 901), d(300, 300, 310, 310, 900),
			d(300, 299, 0, 0, 0), d(300, 299, 300, 300, 0), d(0, 0, 308, 307, 0)},
	} {
		for k, l := range OwnErrors(c.conns, c.due, c.freed, c.sent) {
			if l.Own != c.own[k] || l.Held != c.held[k] || l.Waited != c.waitedFor[k] {
				t.Errorf("%s: request %d: %+v, want %v, %v, %v", c.name, k, l, c.own[k], c.held[k], c.waitedFor[k])
			}
		}
	}
}

// One that is given up on is the generator's fault only if it could have been
// sent.
func TestOwnErrorOfTheGivenUp(t *testing.T) {
	a := NewAccount(1, 2)
	if l := a.GivenUp(5*ms, 50*ms, false); l.Own != 45*ms {
		t.Errorf("with a connection free: %+v", l)
	}
	a = NewAccount(1, 2)
	a.Sent(0, 0, false)
	if l := a.GivenUp(5*ms, 50*ms, false); l.Own != 0 || l.Waited != 45*ms {
		t.Errorf("with none free: %+v", l)
	}
	a.Free(20 * ms)
	if l := a.GivenUp(5*ms, 60*ms, false); l.Own != 40*ms {
		t.Errorf("with one that became free: %+v", l)
	}
	// Two are begun and wait for their next try: a third cannot be, a later try
	// can.
	a = NewAccount(3, 2)
	a.Sent(0, 0, false)
	a.Sent(0, 0, false)
	a.Free(0)
	a.Free(0)
	if l := a.GivenUp(5*ms, 50*ms, false); l.Own != 0 {
		t.Errorf("with none to be begun: %+v", l)
	}
	if l := a.Sent(60*ms, 61*ms, true); l.Own != ms {
		t.Errorf("a later try: %+v", l)
	}
	a.Ended(70 * ms)
	if l := a.Sent(5*ms, 75*ms, false); l.Own != 5*ms || l.Waited != 65*ms {
		t.Errorf("once one has ended: %+v", l)
	}
}
