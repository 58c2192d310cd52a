package traffic

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/quick"
	"time"
)

// simulateGenerator simulates a generator with random delays in front of a target
// with random service times. Requests are sent in order, each over any free
// connection.
func simulateGenerator(seed uint64, conns, n int) (due, freed, sent []time.Duration) {
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

// referenceDelay computes the generator delay of request k by brute force. For every
// millisecond from due to sent it compares the free connections with the earlier
// requests that are still queued. The delay starts after the last millisecond in which
// no connection was left for request k.
func referenceDelay(conns int, due, freed, sent []time.Duration, k int) time.Duration {
	sendable := due[k]
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
			sendable = at + ms
		}
	}
	return sent[k] - sendable
}

// The incremental DelayTracker agrees with the brute-force reference. The induced
// delay lies between the generator's delay and the whole delay.
func TestDelaysMatchReference(t *testing.T) {
	byGenerator, byTarget := 0, 0
	matches := func(seed uint64, c uint8) bool {
		conns := int(c%7) + 1
		due, freed, sent := simulateGenerator(seed, conns, 150)
		for k, l := range Delays(conns, due, freed, sent) {
			if want := referenceDelay(conns, due, freed, sent, k); l.Generator != want {
				t.Logf("%d connections, request %d: %v, want %v", conns, k, l.Generator, want)
				return false
			}
			if l.Induced < l.Generator || l.Induced > sent[k]-due[k] || l.Generator+l.ConnWait != sent[k]-due[k] {
				t.Logf("request %d: %+v of %v", k, l, sent[k]-due[k])
				return false
			}
			if l.Generator > 0 {
				byGenerator++
			}
			if l.ConnWait > 0 {
				byTarget++
			}
		}
		return true
	}
	if err := quick.Check(matches, &quick.Config{MaxCount: 60}); err != nil {
		t.Error(err)
	}
	if byGenerator < 100 || byTarget < 100 {
		t.Errorf("%d requests delayed by the generator and %d by the target, want at least 100 of each", byGenerator, byTarget)
	}
}

func TestDelayAttribution(t *testing.T) {
	d := func(ns ...int) (all []time.Duration) {
		for _, n := range ns {
			all = append(all, time.Duration(n)*ms)
		}
		return all
	}
	for _, c := range []struct {
		name                         string
		conns                        int
		due, freed, sent             []time.Duration
		generator, induced, connWait []time.Duration
	}{
		{"on time", 2, d(0, 1, 2), d(1, 2, 3), d(0, 1, 2), d(0, 0, 0), d(0, 0, 0), d(0, 0, 0)},
		// Both connections stall for a second and become free together: the
		// requests due in that second waited for the target.
		{"the target stalled", 2, d(0, 1, 2, 3, 4), d(1000, 1000, 1001, 1001, 1002), d(0, 1, 1000, 1000, 1001), d(0, 0, 0, 0, 0), d(0, 0, 0, 0, 0), d(0, 0, 998, 997, 997)},
		// The generator stalls with both connections free: the first two requests
		// are delayed, and those behind them wait for connections only because of it.
		{"the generator stalled", 2, d(0, 1, 2, 3, 900), d(310, 310, 320, 320, 901), d(300, 300, 310, 310, 900),
			d(300, 299, 0, 0, 0), d(300, 299, 300, 300, 0), d(0, 0, 308, 307, 0)},
	} {
		for k, l := range Delays(c.conns, c.due, c.freed, c.sent) {
			if l.Generator != c.generator[k] || l.Induced != c.induced[k] || l.ConnWait != c.connWait[k] {
				t.Errorf("%s: request %d: %+v, want generator %v, induced %v, connection wait %v", c.name, k, l, c.generator[k], c.induced[k], c.connWait[k])
			}
		}
	}
}

// An abandoned request has a generator delay only from the moment at which it
// could have been sent.
func TestDelayOfAbandonedRequests(t *testing.T) {
	a := NewDelayTracker(1, 2)
	if l := a.RequestAbandoned(5*ms, 50*ms, false); l.Generator != 45*ms {
		t.Errorf("with a free connection: %+v", l)
	}
	a = NewDelayTracker(1, 2)
	a.RequestSent(0, 0, false)
	if l := a.RequestAbandoned(5*ms, 50*ms, false); l.Generator != 0 || l.ConnWait != 45*ms {
		t.Errorf("with no free connection: %+v", l)
	}
	a.ConnFreed(20 * ms)
	if l := a.RequestAbandoned(5*ms, 60*ms, false); l.Generator != 40*ms {
		t.Errorf("with a connection that became free: %+v", l)
	}
	// Two requests are open and wait for their retry: a third one cannot start, a
	// retry can.
	a = NewDelayTracker(3, 2)
	a.RequestSent(0, 0, false)
	a.RequestSent(0, 0, false)
	a.ConnFreed(0)
	a.ConnFreed(0)
	if l := a.RequestAbandoned(5*ms, 50*ms, false); l.Generator != 0 {
		t.Errorf("at the limit of open requests: %+v", l)
	}
	if l := a.RequestSent(60*ms, 61*ms, true); l.Generator != ms {
		t.Errorf("retry: %+v", l)
	}
	a.RequestEnded(70 * ms)
	if l := a.RequestSent(5*ms, 75*ms, false); l.Generator != 5*ms || l.ConnWait != 65*ms {
		t.Errorf("after a request ended: %+v", l)
	}
}
