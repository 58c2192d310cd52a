package sidecar

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// maxRejectionPeriod is how long a sidecar may reject all requests while some endpoints
	// are healthy. It is stricter than the required 4 s.
	maxRejectionPeriod = time.Second
	// minRejections is the number of rejections from which a period counts.
	minRejections = 15
)

// longestRejection returns the longest period without an attempt in which at least
// minRejections requests were rejected, and the number of those requests.
func (s *scenario) longestRejection(end time.Time) (longest time.Duration, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := append(slices.Clone(s.attemptTimes), end)
	slices.SortFunc(attempts, time.Time.Compare)
	for i, k := 1, 0; i < len(attempts); i++ {
		from, until := attempts[i-1], attempts[i]
		n := 0
		for ; k < len(s.rejectionTimes) && s.rejectionTimes[k].Before(until); k++ {
			if s.rejectionTimes[k].After(from) {
				n++
			}
		}
		if took := until.Sub(from); n >= minRejections && took > longest {
			longest, rejected = took, n
		}
	}
	return longest, rejected
}

// All endpoints are faulty at first, and all but one later. Sidecars under constant load do not
// reject all requests for long without an attempt, and serve some.
func TestSidecarDoesNotRejectEverythingForLong(t *testing.T) {
	const faulty, clients, budget, duration = scenarioEndpoints - 1, 8, 250 * time.Millisecond, 2 * time.Second
	const allFaultyPeriod = 400 * time.Millisecond
	names := []string{"hangs", "resets before the response", "closes before the response", "fails", "rejects", "sends an invalid status line", "stalls in the response body"}
	all := make([]faultCase, 0, len(names)+2)
	for _, name := range names {
		all = append(all, faultCase{name: name, inject: func(s *scenario) {
			s.setBehaviour(scenarioEndpoints, endpointFaults[name])
			time.Sleep(allFaultyPeriod)
			s.setBehaviour(scenarioEndpoints, healthy)
			s.setBehaviour(faulty, endpointFaults[name])
		}})
	}
	all = append(all,
		faultCase{name: "is killed", inject: func(s *scenario) {
			for _, e := range s.endpoints[:faulty] {
				e.kill()
			}
		}},
		faultCase{name: "connect never completes", lateEndpoints: faulty, inject: func(*scenario) {}})
	began, late := time.Now(), lateListeners(t, all)
	var running sync.WaitGroup
	for i, tr := range all {
		s := newScenario(t, fmt.Sprintf("%s at %d of %d", tr.name, faulty, scenarioEndpoints), late[i]...)
		s.startSidecar(0)
		running.Go(func() {
			var requests sync.WaitGroup
			end := time.Now().Add(duration)
			for k := range clients {
				requests.Go(func() {
					c := &client{scenario: s, class: []string{"view", "put", "pay"}[k%3], budget: budget}
					defer c.close()
					for time.Now().Before(end) {
						c.sendAndRecord()
						time.Sleep(40 * time.Millisecond)
					}
				})
			}
			time.Sleep(faultDelay)
			tr.inject(s)
			requests.Wait()
			longest, n := s.longestRejection(end)
			outcomes, attempts := s.outcomesSoFar()
			t.Logf("%-40s %+v, %d attempts; longest period without one %v, %d rejected", s.name, outcomes, attempts, longest.Round(time.Millisecond), n)
			if longest > maxRejectionPeriod && !s.lag.stalled(began, time.Now()) {
				t.Errorf("%s: all %d requests rejected for %v without an attempt", s.name, n, longest)
			}
			if outcomes.served == 0 {
				s.reportFewServed(began, "no request served; the test is inconclusive")
			}
		})
	}
	running.Wait()
}

// longestRejection detects a sidecar that rejects all requests.
func TestLongestRejection(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	s := &scenario{attemptTimes: []time.Time{at(900), at(0), at(5)}}
	for k := range 40 {
		s.rejectionTimes = append(s.rejectionTimes, at(10+20*k))
	}
	if took, n := s.longestRejection(at(1000)); took != 895*time.Millisecond || n != 40 {
		t.Errorf("%d rejected in %v, want 40 in 895 ms", n, took)
	}
	s.rejectionTimes = s.rejectionTimes[:minRejections-1]
	if took, n := s.longestRejection(at(1000)); took != 0 || n != 0 {
		t.Errorf("%d rejected in %v, want 0 below minRejections", n, took)
	}
}
