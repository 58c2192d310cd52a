package balance

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// requestCounts counts requests from the start of a fault on.
type requestCounts struct{ requests, served, attempts int }

// simulateIdlePeriod runs 20 Balancers and 12 endpoints with traffic, then idle, then
// with traffic again. When traffic resumes, a third of the endpoints begins to fail, or
// the list changes. The result counts the requests of the next 5 s.
func simulateIdlePeriod(t *testing.T, idle time.Duration, fault func(addr string) (Result, time.Duration), list []Endpoint, seed uint64) (counts requestCounts) {
	const busyBefore, busyAfter, perSecond, took = 20 * time.Second, 5 * time.Second, 300, 20 * ms
	f := newFleet(t, fleetConfig(), 20, seed)
	faultAt, faulty := busyBefore+idle, map[string]bool{"a0": true, "a3": true, "a6": true, "a9": true}
	f.respond = func(addr string, _ int) (Result, time.Duration) {
		if f.now >= faultAt && faulty[addr] && fault != nil {
			return fault(addr)
		}
		return OK, took
	}
	f.onSend = func(string, int) {
		if f.now >= faultAt {
			counts.attempts++
		}
	}
	firstCounted := RequestID(0) // first request that is counted
	f.onEndID = func(id RequestID, served bool) {
		if firstCounted > 0 && id >= firstCounted && served {
			counts.served++
		}
	}
	for _, b := range f.balancers {
		b.UpdateEndpoints(0, Full, readyEndpoints("a", 12))
	}
	arrivals := func(from, until time.Duration) {
		var arrive func()
		arrive = func() {
			if f.now >= until {
				return
			}
			f.lastID++
			if f.now >= faultAt {
				counts.requests++
				firstCounted = f.lastID - RequestID(counts.requests-1)
			}
			f.balancers[f.rng.IntN(len(f.balancers))].Request(f.now, f.lastID, 0, -1, time.Second)
			f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		f.after(from, arrive)
	}
	arrivals(0, busyBefore)
	arrivals(faultAt, faultAt+busyAfter)
	if list != nil {
		f.after(faultAt-ms, func() {
			for i := range list {
				if list[i].Since != 0 {
					list[i].Since = f.now
				}
			}
			for _, b := range f.balancers {
				b.UpdateEndpoints(f.now, Delta, list)
			}
		})
	}
	for len(f.events) > 0 && f.events[0].at < faultAt+busyAfter+2*time.Second {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	return counts
}

// After an idle hour all measurements are outdated. A fault that begins then must not
// cost more requests or attempts than one under constant traffic.
func TestFaultAfterIdleHour(t *testing.T) {
	respondWith := func(result Result, took time.Duration) func(string) (Result, time.Duration) {
		return func(string) (Result, time.Duration) { return result, took }
	}
	draining := readyEndpoints("a", 12)[:4]
	for i := range draining {
		draining[i].State = Draining
	}
	added := readyEndpoints("b", 6)
	for i := range added {
		added[i].Since = 1 // replaced by the time of the change
	}
	for _, c := range []struct {
		name  string
		fault func(string) (Result, time.Duration)
		list  []Endpoint
	}{
		{"no fault", nil, nil},
		{"errors", respondWith(Error, 5*ms), nil},
		{"resets", respondWith(Reset, 5*ms), nil},
		{"refuses connections", respondWith(ConnectError, ms), nil},
		{"connect timeouts", respondWith(ConnectError, 400*ms), nil},
		{"rejects requests", respondWith(Overloaded, ms), nil},
		{"hangs", respondWith(Timeout, time.Hour), nil},
		{"slow", respondWith(OK, 200*ms), nil},
		{"endpoints drain", nil, draining},
		{"endpoints are added", nil, added},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var afterIdle, afterTraffic requestCounts
			for seed := range uint64(4) {
				for idle, sum := range map[time.Duration]*requestCounts{time.Hour: &afterIdle, 0: &afterTraffic} {
					counts := simulateIdlePeriod(t, idle, c.fault, append([]Endpoint(nil), c.list...), seed)
					sum.requests, sum.served, sum.attempts = sum.requests+counts.requests, sum.served+counts.served, sum.attempts+counts.attempts
				}
			}
			share := func(a requestCounts) float64 { return float64(a.served) / float64(a.requests) }
			attemptsPerRequest := func(a requestCounts) float64 { return float64(a.attempts) / float64(a.requests) }
			message := fmt.Sprintf("served %.3f after the idle hour and %.3f without it, %.3f and %.3f attempts per request (want at most 0.03 less served and 0.1 more attempts)", share(afterIdle), share(afterTraffic), attemptsPerRequest(afterIdle), attemptsPerRequest(afterTraffic))
			t.Log(message)
			if share(afterIdle) < share(afterTraffic)-0.03 || attemptsPerRequest(afterIdle) > attemptsPerRequest(afterTraffic)+0.1 {
				t.Error(message)
			}
		})
	}
}
