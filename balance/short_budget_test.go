package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// shortBudgetFleet is a fleet whose endpoints never respond to requests with less than
// minBudget, and to others after servingTime.
type shortBudgetFleet struct {
	*fleet
	isLong                   map[RequestID]bool
	longRequests, longServed int
}

const (
	minBudget   = 30 * ms
	servingTime = 2 * ms
	longBudget  = 1300 * ms
)

func newShortBudgetFleet(t *testing.T, seed uint64) *shortBudgetFleet {
	cfg := fleetConfig()
	cfg.Entry = true
	s := &shortBudgetFleet{fleet: newFleet(t, cfg, 1, seed), isLong: map[RequestID]bool{}}
	s.serve = func(_ string, timeout time.Duration, done func(Result)) {
		if timeout < minBudget {
			s.after(timeout, func() { done(Timeout) })
			return
		}
		s.after(servingTime, func() { done(OK) })
	}
	s.onEndID = func(id RequestID, served bool) {
		if s.isLong[id] && served {
			s.longServed++
		}
	}
	s.onBegin = func(id RequestID) {
		if s.now >= time.Second { // the endpoint list has arrived
			s.isLong[id] = true
			s.longRequests++
		}
	}
	s.sendList(Full, readyEndpoints("w", 10))
	return s
}

// runLong sends requests with a long budget until the given time.
func (s *shortBudgetFleet) runLong(until time.Duration) { s.run(until, 50, 0, longBudget) }

// sendShort starts requests with a shorter budget, beside those of runLong.
func (s *shortBudgetFleet) sendShort(perSecond float64, budget time.Duration) {
	var next func()
	next = func() {
		s.lastID++
		s.balancers[0].Request(s.now, s.lastID, 0, -1, budget)
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// Callers whose budgets are too short to be served must not take the service away from other
// callers: their failures neither lower the admission limit nor count against endpoints and
// zones.
func TestShortBudgetsDoNotAffectOtherCallers(t *testing.T) {
	const duration = 5 * time.Second
	for _, shorts := range []float64{20, 200, 2000} {
		for seed := range uint64(5) {
			s := newShortBudgetFleet(t, seed)
			for _, budget := range []time.Duration{ms, 5 * ms, 15 * ms, 29 * ms} {
				s.sendShort(shorts/4, budget)
			}
			s.runLong(duration)
			m := s.balancers[0].Metrics()
			if s.longServed*100 < s.longRequests*99 {
				t.Errorf("%v short budgets per second, seed %d: %d of %d requests with a long budget served, want 99 in 100; metrics %+v", shorts, seed, s.longServed, s.longRequests, m)
			}
			for zone := range s.balancers[0].failuresByZone {
				if n := s.balancers[0].failuresByZone[zone].count(s.now); n >= zoneFailureThreshold {
					t.Errorf("%v short budgets per second, seed %d: zone %d has %.1f failures, want under %d", shorts, seed, zone, n, zoneFailureThreshold)
				}
			}
		}
	}
}

// An endpoint that stops responding is avoided although most budgets are short.
func TestUnresponsiveEndpointIsFoundWithShortBudgets(t *testing.T) {
	const hangsFrom, duration = 2 * time.Second, 6 * time.Second
	for seed := range uint64(5) {
		s := newShortBudgetFleet(t, seed)
		const hanging = "w0"
		var afterDetection, all int
		respond := s.serve
		s.serve = func(addr string, timeout time.Duration, done func(Result)) {
			if s.now > hangsFrom+2*time.Second {
				all++
			}
			if addr == hanging && s.now > hangsFrom {
				if s.now > hangsFrom+2*time.Second {
					afterDetection++
				}
				s.after(timeout, func() { done(Timeout) })
				return
			}
			respond(addr, timeout, done)
		}
		s.sendShort(400, 100*ms)
		s.runLong(duration)
		if afterDetection*50 > all {
			t.Errorf("seed %d: %d of %d attempts at the unresponsive endpoint from 2 s on, want at most 1 in 50", seed, afterDetection, all)
		}
	}
}

// Where short budgets are the overload's own sign, it must still be found: clients give up at a
// third of the latency target, all of them or most, and the tiers receive twice their capacity.
// They must serve 0.8 of it.
func TestOverloadWithShortBudgets(t *testing.T) {
	for _, patientShare := range []float64{0, 0.1, 0.5} {
		t.Run(fmt.Sprintf("%v of the clients are patient", patientShare), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				c := randomChain(t, 2, 1, seed)
				c.settings.tryTimeoutShare = 1.0 / 6 // latency targets are half of the deadlines
				c.settings.patientShare = patientShare
				capacity := math.Inf(1)
				for k, n := range c.settings.nodes {
					capacity = min(capacity, float64(n)/(c.settings.work[k]+c.settings.handshake))
				}
				c.offeredRate = 0.4 * capacity
				c.entry.after(4*time.Second, func() { c.offeredRate = 2 * capacity })
				c.run(18 * time.Second)
				served := sumSeconds(&c.served, 8, 16) / 8
				t.Logf("seed %d: served %.0f per second at a capacity of %.0f", seed, served, capacity)
				if served < 0.8*capacity {
					t.Errorf("seed %d: served %.0f per second, want at least 0.8 of %.0f", seed, served, capacity)
				}
			}
		})
	}
}
