//go:build linux

package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// A sidecar is paused after SIGTERM until SIGKILL is due. If it gets to run again, it responds to all
// requests that it has received before it exits.
func TestResponsesAfterPauseOverDrain(t *testing.T) {
	t.Parallel()
	const requests, deadline = 24, 2 * time.Second
	hung, release := context.WithCancel(context.Background())
	var received atomic.Int64
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		<-hung.Done()
	}))
	t.Cleanup(node.Close)
	t.Cleanup(release)
	m := &fleetMember{listen: isolatedAddr(t), dir: t.TempDir()}
	m.configPath = filepath.Join(m.dir, "config.json")
	writeFile(t, m.configPath, configJSON(m.listen, serverAddr(newDiscoveryServer(t, "s-1", serverAddr(node)))))
	m.start(t)
	p := m.process()
	if p == nil {
		t.Fatal("the sidecar process did not start")
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	responses := make(chan error, requests)
	for range requests {
		c, err := net.Dial("tcp", m.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: %d\r\n\r\n", lastCallID.Add(1), deadline.Milliseconds())
		go func() {
			c.SetReadDeadline(time.Now().Add(testTimeout))
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			responses <- err
		}()
	}
	eventually(t, "a request reaches the endpoint", func() bool { return received.Load() > 0 })
	p.cmd.Process.Signal(syscall.SIGTERM)
	eventually(t, "the sidecar drains", func() bool {
		resp, err := http.Get("http://" + m.listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(deadline + killDelay + 100*time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	lost := 0
	for range requests {
		if err := <-responses; err != nil {
			lost++
			t.Log(err)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no response, want none", lost, requests)
	}
	if err := <-p.ended; err != nil {
		t.Errorf("the process ended with %v, want no error", err)
	}
}
