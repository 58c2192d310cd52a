package sidecar

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// Sidecars restart while one endpoint starts to drain at SIGTERM, one drains during the start of
// the next process, and one hangs. Every request gets a response, the previous process exits before
// SIGKILL, and no attempt reaches a draining endpoint after its grace period.
func TestRestartDuringEndpointDrains(t *testing.T) {
	t.Parallel()
	const deadline, grace, sidecars = 600 * time.Millisecond, 500 * time.Millisecond, 3
	var all sync.WaitGroup
	for n := range sidecars {
		s := newScenario(t, "restarted during endpoint drains")
		s.mayCloseIdle = true
		text := func(listen string) string {
			text := strings.ReplaceAll(s.configText(listen, 256), `"AimS":1,"DeadlineS":2`, `"AimS":0.3,"DeadlineS":0.6`)
			return strings.Replace(text, `"DrainGraceS":2`, `"DrainGraceS":0.5`, 1)
		}
		s.startSidecarAt(isolatedAddr(t), text)
		newAddr := isolatedAddr(t)
		done := make(chan struct{})
		s.startClients(&all, 6, deadline, 3*time.Millisecond, done)
		all.Go(func() {
			defer close(done)
			time.Sleep(100*time.Millisecond + time.Duration(n)*20*time.Millisecond)
			hang := endpointFaults["hangs"]
			s.endpoints[2].behaviour.Store(&hang)
			old, terminatedAt := s.sidecar, time.Now()
			s.agent.Update(s.entry(0, "terminating"))
			old.stop()
			oldAddr := s.sidecarAddr.Load()
			time.AfterFunc(300*time.Millisecond, func() { s.drainedAddr.Store(oldAddr) })
			time.Sleep(50 * time.Millisecond)
			s.startSidecarAt(newAddr, text)
			secondDrainAt := time.Now()
			s.agent.Update(s.entry(1, "terminating"))
			recovered := s.endpoints[2]
			recovered.behaviour.Store(&healthy)
			select {
			case err := <-old.ended:
				// Expected after 1.1 s, before SIGKILL after 1.3 s; the limit allows for a busy machine.
				if took := time.Since(terminatedAt); err != nil || took > 2500*time.Millisecond && !s.lag.lagged(terminatedAt, time.Now()) {
					t.Errorf("the previous process exited %v after SIGTERM: %v, want 2.5 s at most and no error", took, err)
				}
			case <-time.After(testTimeout):
				t.Error("the previous process did not exit")
			}
			time.Sleep(max(0, time.Until(secondDrainAt.Add(grace+200*time.Millisecond))))
			s.mu.Lock()
			defer s.mu.Unlock()
			for i, at := range []time.Time{terminatedAt, secondDrainAt} {
				if last := s.endpoints[i].lastAttempt; last.Sub(at) > grace+50*time.Millisecond && !s.lag.lagged(at, last) {
					t.Errorf("endpoint %d got an attempt %v after it started to drain, want none after %v", i, last.Sub(at), grace)
				}
			}
		})
		t.Cleanup(func() {
			served, total := s.servedCount()
			t.Logf("%d of %d served: %+v", served, total, s.outcomes)
			if served == 0 {
				t.Error("no request served; the test is inconclusive")
			}
		})
	}
	all.Wait()
}

// Each fault follows a quiet period in which idle connections, mean latencies and discovery
// watches expire. A burst of requests then gets responses, and at least a third is served.
func TestFaultAfterQuietPeriod(t *testing.T) {
	t.Parallel()
	const connIdle, quiet = "0.1", 900 * time.Millisecond
	faults := map[string]func(s *scenario){
		"hangs":  func(s *scenario) { s.setBehaviour(1, endpointFaults["hangs"]) },
		"fails":  func(s *scenario) { s.setBehaviour(1, endpointFaults["fails"]) },
		"resets": func(s *scenario) { s.setBehaviour(1, endpointFaults["resets before the response"]) },
		"dies":   func(s *scenario) { s.endpoints[0].kill() },
		"drains": func(s *scenario) {
			s.agent.Update(s.entry(0, "terminating"))
			s.setBehaviour(1, endpointFaults["rejects"])
		},
		"is gone":   func(s *scenario) { s.agent.Update(s.entry(0, "terminated")); s.endpoints[0].kill() },
		"no fault":  func(s *scenario) {},
		"discovery": func(s *scenario) { s.agent.SetUnresponsive(true); s.endpoints[0].kill() },
		"replaced":  func(s *scenario) { s.replaceEndpoints(scenarioEndpoints - 1) },
	}
	var all sync.WaitGroup
	for name, fault := range faults {
		s := newScenario(t, "quiet period, then "+name)
		s.startSidecarAt(isolatedAddr(t), func(listen string) string {
			return strings.Replace(s.configText(listen, 256), `"ConnIdleS":5`, `"ConnIdleS":`+connIdle, 1)
		})
		all.Go(func() {
			runClients := func(clients int) (served, total int) {
				servedBefore, totalBefore := s.servedCount()
				done := make(chan struct{})
				time.AfterFunc(300*time.Millisecond, func() { close(done) })
				var requests sync.WaitGroup
				s.startClients(&requests, clients, longBudget, 10*time.Millisecond, done)
				requests.Wait()
				served, total = s.servedCount()
				return served - servedBefore, total - totalBefore
			}
			began := time.Now()
			runClients(6)
			time.Sleep(quiet)
			fault(s)
			served, total := runClients(24)
			t.Logf("%-25s %d of %d served", s.name, served, total)
			// Few retries are available after a quiet period, so some requests fail.
			if served*3 < total {
				s.reportFewServed(began, "%d of %d requests served after the quiet period, want a third", served, total)
			}
		})
	}
	all.Wait()
}

// replaceEndpoints replaces the first n endpoints with newly started ones at other addresses.
func (s *scenario) replaceEndpoints(n int) {
	for i := range s.endpoints[:n] {
		s.agent.Update(s.entry(i, "terminated"))
		s.endpoints[i].kill()
		e, err := newFaultyEndpoint(s)
		if err != nil {
			s.t.Error(err)
			return
		}
		s.t.Cleanup(func() { e.Close() })
		s.endpoints[i] = e
		entry := s.entry(i, "in_service")
		entry.SinceMs = time.Now().UnixMilli()
		s.agent.Update(entry)
	}
}
