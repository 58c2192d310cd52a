//go:build linux && amd64

package sidecar

import (
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A sidecar is paused for 0.15 s while discovery reports a drain. No attempt reaches the draining
// endpoint after its grace period, and every request gets a response.
func TestDrainGraceCoversProcessPause(t *testing.T) {
	t.Parallel()
	const grace, pause, drains = 600 * time.Millisecond, 150 * time.Millisecond, 3
	s := newScenario(t, "paused while a drain is reported")
	m := &fleetMember{listen: isolatedAddr(t), dir: t.TempDir()}
	m.configPath = filepath.Join(m.dir, "config.json")
	writeFile(t, m.configPath, strings.Replace(s.configText(m.listen, 256), `"DrainGraceS":2`, `"DrainGraceS":0.6`, 1))
	m.start(t)
	p := m.process()
	if p == nil {
		t.Fatal("the sidecar process did not start")
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); <-p.ended })
	s.sidecarAddr.Store(&m.listen)
	began, done := time.Now(), make(chan struct{})
	var all sync.WaitGroup
	s.startClients(&all, 12, longBudget, time.Millisecond, done)
	lastAttempt := func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.endpoints[0].lastAttempt
	}
	for n := range drains {
		before := time.Now()
		eventually(t, "the endpoint is used", func() bool { return lastAttempt().After(before) })
		// The pause begins before the drain is reported or at the same time.
		delay := time.Duration(n%2) * 100 * time.Millisecond
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(delay)
		drainedAt := time.Now()
		s.agent.Update(s.entry(0, "terminating"))
		time.Sleep(pause - delay)
		p.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(time.Until(drainedAt.Add(grace + 150*time.Millisecond)))
		if late := lastAttempt().Sub(drainedAt); late > grace+50*time.Millisecond && !s.lag.lagged(drainedAt, drainedAt.Add(late)) {
			t.Errorf("drain %d: an attempt %v after it was reported, want none after %v", n, late, grace)
		} else {
			t.Logf("drain %d: last attempt %v after it was reported", n, late.Round(time.Millisecond))
		}
		s.agent.Update(s.entry(0, "in_service"))
	}
	close(done)
	all.Wait()
	if served, total := s.servedCount(); served != total {
		s.reportFewServed(began, "%d of %d served, want all", served, total)
	}
}
