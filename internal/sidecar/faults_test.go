package sidecar

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// faultCase is a fault to inject while the clients of a scenario send requests.
type faultCase struct {
	name          string
	sockets       int  // limit of the sidecar; 0 for the default
	mayCloseIdle  bool // the sidecar may close connections without open requests
	lateEndpoints int  // endpoints that accept no connections at first
	inject        func(s *scenario)
}

// faultCases returns faults of one endpoint and of all endpoints, faults of discovery, and
// misbehaviour of other clients.
func faultCases() (all []faultCase) {
	for _, n := range []int{1, scenarioEndpoints} {
		at := fmt.Sprintf(" at %d of %d", n, scenarioEndpoints)
		for _, name := range slices.Sorted(maps.Keys(endpointFaults)) {
			all = append(all, faultCase{name: "endpoint " + name + at, inject: func(s *scenario) { s.setBehaviour(n, endpointFaults[name]) }})
		}
		all = append(all,
			faultCase{name: "endpoint is killed" + at, inject: func(s *scenario) {
				for _, e := range s.endpoints[:n] {
					e.kill()
				}
			}},
			faultCase{name: "connect never completes" + at, lateEndpoints: n, inject: func(*scenario) {}},
			faultCase{name: "connect completes late" + at, lateEndpoints: n, inject: func(s *scenario) {
				for i := range s.endpoints[:n] {
					s.openLateEndpoint(i)
				}
			}},
			faultCase{name: "endpoint drains" + at, inject: func(s *scenario) {
				for i := range s.endpoints[:n] {
					s.agent.Update(s.entry(i, "terminating"))
				}
				s.setBehaviour(n, endpointFaults["rejects"])
			}},
			faultCase{name: "discovery is silent, endpoint hangs" + at, inject: func(s *scenario) {
				s.agent.SetUnresponsive(true)
				s.setBehaviour(n, endpointFaults["hangs"])
			}},
			faultCase{name: "discovery is down, endpoint is killed" + at, inject: func(s *scenario) {
				s.agent.Close()
				for _, e := range s.endpoints[:n] {
					e.kill()
				}
			}})
	}
	return append(all, otherClientCases...)
}

// otherClientCases are misbehaviours of other clients.
var otherClientCases = []faultCase{
	{name: "other client sends garbage", inject: func(s *scenario) {
		for _, text := range []string{"\x00\x01\x02\x03\r\n\r\n", "GET /view HTTP/9.7\r\n\r\n", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", strings.Repeat("x", 100<<10)} {
			s.startOtherClient(func(c net.Conn) {
				io.WriteString(c, text)
				c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				io.Copy(io.Discard, c)
			})
		}
	}},
	{name: "other client sends excess data", inject: func(s *scenario) {
		for range 4 {
			s.startOtherClient(func(c net.Conn) {
				io.WriteString(c, s.otherRequest())
				c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
				c.Write(make([]byte, 1<<20))
			})
		}
	}},
	{name: "other client stalls in a request header", inject: func(s *scenario) {
		for range 20 {
			s.startOtherClient(func(c net.Conn) { io.WriteString(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Ca"); <-s.clientsDone })
		}
	}},
	{name: "other client stalls in a request body", inject: func(s *scenario) {
		for range 20 {
			s.startOtherClient(func(c net.Conn) {
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nContent-Length: 60000\r\n\r\nhalf", lastCallID.Add(1))
				<-s.clientsDone
			})
		}
	}},
	{name: "other client disconnects", inject: func(s *scenario) {
		for range 4 {
			s.startOtherClient(func(c net.Conn) { io.WriteString(c, s.otherRequest()) })
			s.startOtherClient(func(c net.Conn) { io.WriteString(c, s.otherRequest()); c.(*net.TCPConn).SetLinger(0) })
		}
	}},
	{name: "other client disconnects, endpoint hangs", inject: func(s *scenario) {
		s.setBehaviour(1, endpointFaults["hangs"])
		for range 4 {
			s.startOtherClient(func(c net.Conn) { io.WriteString(c, s.otherRequest()) })
		}
	}},
	{name: "idle clients exhaust the descriptors", sockets: 64, mayCloseIdle: true, inject: func(s *scenario) {
		for range 100 {
			c, err := net.DialTimeout("tcp", *s.sidecarAddr.Load(), time.Second)
			if err != nil {
				return
			}
			s.t.Cleanup(func() { c.Close() })
		}
	}},
}

// startOtherClient starts a client that repeatedly connects and calls handle until the
// scenario's clients are done.
func (s *scenario) startOtherClient(handle func(c net.Conn)) {
	go func() {
		for {
			if c, err := net.DialTimeout("tcp", *s.sidecarAddr.Load(), time.Second); err == nil {
				handle(c)
				c.Close()
			}
			select {
			case <-s.clientsDone:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
}

// otherRequest returns a valid request of another client.
func (s *scenario) otherRequest() string {
	return (&client{scenario: s, class: "view", budget: longBudget}).requestText(fmt.Sprintf("%016x", lastCallID.Add(1)))
}

// Whatever fault occurs, every request gets a final response within its budget and
// responseSlack. Non-idempotent requests run at most once and are not rejected
// after they may have run, and no client receives the response of another.
func TestEveryRequestGetsFinalResponse(t *testing.T) {
	all := faultCases()
	began, late := time.Now(), lateListeners(t, all)
	scenarios := make([]*scenario, len(all))
	for i, tr := range all {
		s := newScenario(t, tr.name, late[i]...)
		s.mayCloseIdle = tr.mayCloseIdle
		s.startSidecar(tr.sockets)
		scenarios[i] = s
	}
	var running sync.WaitGroup
	for i, s := range scenarios {
		time.Sleep(10 * time.Millisecond) // stagger the scenarios
		running.Go(func() { s.runClients(func() { all[i].inject(s) }) })
	}
	running.Wait()
	for _, s := range scenarios {
		outcomes, attempts := s.outcomesSoFar()
		t.Logf("%-60s %+v, %d attempts", s.name, outcomes, attempts)
		if outcomes.noResponse > 0 || outcomes.repeated > 0 {
			t.Errorf("%s: %+v, want none without a response and none that ran twice", s.name, outcomes)
		}
		if outcomes.served == 0 && !strings.Contains(s.name, fmt.Sprintf("at %d of", scenarioEndpoints)) {
			s.reportFewServed(began, "%+v, want some served; the test is inconclusive", outcomes)
		}
		if strings.HasPrefix(s.name, "other client") && outcomes.served < outcomes.rejected+outcomes.failed {
			s.reportFewServed(began, "%+v, want most served", outcomes)
		}
	}
}

// lateListeners opens the late listeners of all cases concurrently, because each takes a while.
func lateListeners(t *testing.T, all []faultCase) [][]*fakeserver.FullListener {
	t.Helper()
	listeners := make([][]*fakeserver.FullListener, len(all))
	errs := make(chan error, len(all)*scenarioEndpoints)
	var opening sync.WaitGroup
	for i, tr := range all {
		listeners[i] = make([]*fakeserver.FullListener, tr.lateEndpoints)
		for k := range listeners[i] {
			opening.Go(func() {
				var err error
				if listeners[i][k], err = fakeserver.ListenFull(); err != nil {
					errs <- err
				}
			})
		}
	}
	opening.Wait()
	select {
	case err := <-errs:
		t.Fatal(err)
	default:
	}
	return listeners
}
