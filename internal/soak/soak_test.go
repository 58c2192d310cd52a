package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gorselink/internal/config"
)

const (
	testSeeds     = 12 // TestSoak performs the plans of the seeds from 1 to testSeeds
	parallelPlans = 3  // of them at the same time
	// leaversSeed is the seed of a plan in which clients that have left took the connections of
	// others, see docs/incidents/callers-who-left.md.
	leaversSeed = 35
)

// Real sidecar processes keep the rules under faults, crowds and series of signals that are drawn
// from a few fixed seeds. go run ./scripts/soak runs more of them.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorselink")
	if out, err := exec.Command("go", "build", "-o", program, "gorselink/cmd/gorselink").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	free := make(chan int, parallelPlans) // slots
	for slot := range parallelPlans {
		free <- slot
	}
	seeds := []uint64{leaversSeed}
	for seed := uint64(1); seed <= testSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			slot := <-free
			defer func() { free <- slot }()
			plan := NewPlan(seed)
			record, err := Run(plan, Options{Program: program, Dir: t.TempDir(), Slot: slot})
			if err != nil {
				t.Fatal(err)
			}
			verdict := Judge(record)
			t.Logf("%d requests, %d served, %.2f and %.2f of them before and after the signals; excuses %v", verdict.Requests, verdict.Served, verdict.Before, verdict.After, verdict.Excuses)
			for _, text := range verdict.Breaks {
				t.Error(text)
			}
			if t.Failed() {
				t.Logf("plan: %s", plan)
			}
		})
	}
}

// A seed always gives the same plan, and plans of several seeds cover all kinds of events.
func TestPlansAreReproducible(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(100) {
		plan := NewPlan(seed)
		if again := NewPlan(seed); plan.String() != again.String() {
			t.Fatalf("seed %d: two plans differ", seed)
		}
		ends := false
		for i := range plan.Episodes {
			e := &plan.Episodes[i]
			ends = ends || e.Next != NoSuccessor
			seen["next "+string(e.Next)] = true
			seen["early"] = seen["early"] || e.SinceStart > 0
			for _, s := range e.Signals {
				seen["signal "+s.Name] = true
			}
			if i > 0 && e.At < plan.Episodes[i-1].end() {
				t.Errorf("seed %d: episode %d begins before the end of the previous one", seed, i)
			}
		}
		if !ends {
			t.Errorf("seed %d: no process ends", seed)
		}
		for _, f := range plan.Endpoints {
			seen["fault "+f.Mode] = true
		}
		seen["crowd"] = seen["crowd"] || plan.Crowd.Idle > 0
		seen["discovery fault"] = seen["discovery fault"] || plan.Discovery.To > 0
		seen["drain"] = seen["drain"] || len(plan.Drains) > 0
		seen["poll"] = seen["poll"] || plan.Sidecar.PullDiscovery
		for i, x := range plan.Pauses {
			seen["pause"] = true
			if i > 0 && x.At <= plan.Pauses[i-1].end() {
				t.Errorf("seed %d: two pauses overlap", seed)
			}
		}
		for _, c := range plan.Clients {
			seen["long body"] = seen["long body"] || c.Body > 0
			if c.Leave.Every > 0 {
				seen["leave by "+string(c.Leave.How)] = true
				seen["leave in "+string(c.Leave.Where)] = true
			}
		}
	}
	for _, want := range []string{"next ", "next restart", "next takeover", "signal HUP", "signal TERM", "fault freeze", "fault mute", "fault error", "fault spoil",
		"fault reset", "fault refuse", "fault slow", "fault cut-head", "fault cut-body", "fault trickle", "fault late", "fault down", "fault hang", "pause", "long body", "leave by close", "leave by reset",
		"leave by half-close", "leave in head", "leave in body", "leave in response", "crowd", "discovery fault", "drain", "poll", "early"} {
		if !seen[want] {
			t.Errorf("no plan of 100 has %q", want)
		}
	}
}

// The judge finds each violation, and excuses only what the rules allow.
func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	plan := NewPlan(1)
	plan.Sidecar.PullDiscovery, plan.Discovery = false, DiscoveryFault{}
	plan.Sidecar.Sockets = 2*config.ReservedDescriptors + 4*len(plan.Clients) - 4 // one too few for two processes
	served := Request{ID: "a", Class: "view", Budget: time.Second, Sent: time.Second, Ended: time.Second + 5*ms, Ending: Answered, Status: 200, OwnBody: true}
	change := func(f func(q *Request)) Request {
		q := served
		f(&q)
		return q
	}
	closed := change(func(q *Request) { q.Ending, q.Status, q.Reused = Closed, 0, true })
	forwarded := map[string][]Arrival{"a": {{0, time.Second}}}
	for _, c := range []struct {
		name      string
		request   Request
		record    Record
		wantBreak string
		excuses   int
	}{
		{name: "served", request: served},
		{name: "late", request: change(func(q *Request) { q.Ended = q.Sent + q.Budget + answerSlack + ms }), wantBreak: "late answer"},
		{name: "in the slack", request: change(func(q *Request) { q.Ended = q.Sent + q.Budget + answerSlack })},
		{name: "foreign body", request: change(func(q *Request) { q.OwnBody = false }), wantBreak: "foreign answer"},
		{name: "extra bytes", request: change(func(q *Request) { q.Extra = true }), wantBreak: "second answer"},
		{name: "no answer", request: change(func(q *Request) { q.Ending = NoAnswer }), wantBreak: "lost"},
		{name: "crossed the close", request: closed, excuses: 1},
		{name: "read and closed", request: change(func(q *Request) { *q = closed; q.Ended = q.Sent + crossingTime + ms }), wantBreak: "lost after it was read"},
		{name: "reset unread after a while", request: change(func(q *Request) { *q = closed; q.Ending, q.Ended = BrokenOff, q.Sent+crossingTime+ms }), excuses: 1},
		{name: "closed after forwarding", request: closed, record: Record{Arrivals: forwarded}, wantBreak: "lost after it was forwarded"},
		{name: "new connection", request: change(func(q *Request) { *q = closed; q.Reused = false }), wantBreak: "lost on a new connection"},
		{name: "new connection in a crowd", request: change(func(q *Request) { *q = closed; q.Reused = false }), record: Record{CrowdTo: time.Second}, excuses: 1},
		{name: "new connection closed before a crowd", request: change(func(q *Request) { *q = closed; q.Reused = false }), record: Record{CrowdFrom: served.Ended + ms, CrowdTo: served.Ended + time.Second}, wantBreak: "lost on a new connection"},
		{name: "new connection before a crowd, closed in it", request: change(func(q *Request) { *q = closed; q.Reused, q.ConnectAt = false, 0 }), record: Record{CrowdFrom: served.Ended, CrowdTo: served.Ended + time.Second}, excuses: 1},
		{name: "new connection beside two processes with few descriptors", request: change(func(q *Request) { *q = closed; q.Reused = false }), record: Record{Processes: []Process{{Ready: ms}, {Ready: ms}}}, wantBreak: "lost on a new connection"},
		{name: "new connection after the first of two processes", request: change(func(q *Request) {
			*q = closed
			q.Reused, q.ConnectAt, q.Sent, q.Ended = false, 3*time.Second, 3*time.Second, 3*time.Second
		}), record: Record{Processes: []Process{{Ready: ms, Exited: ms}, {Ready: ms}}}, wantBreak: "lost on a new connection"},
		{name: "refused although it ran", request: change(func(q *Request) { q.Class, q.Status = "pay", 503 }), record: Record{Runs: map[string]int{"a": 1}}, wantBreak: "refused although it ran"},
		{name: "ran twice", request: change(func(q *Request) { q.Class = "pay" }), record: Record{Runs: map[string]int{"a": 2}}, wantBreak: "ran 2 times"},
		{name: "after a drain", request: served, record: Record{Arrivals: map[string][]Arrival{"a": {{0, 4 * time.Second}}}, Drained: []Drain{{0, time.Second}}}, wantBreak: "which drains since"},
		{name: "killed", request: served, record: Record{Processes: []Process{{Ready: ms, Killed: true}}}, wantBreak: "had to be killed"},
		{name: "exit status", request: served, record: Record{Processes: []Process{{Ready: ms, ExitError: "exit status 1"}}}, wantBreak: "exit status 1"},
		{name: "ready late", request: served, record: Record{Processes: []Process{{Ready: readyTimeout + ms}}}, wantBreak: "was ready after"},
		{name: "descriptors left", request: served, record: Record{Processes: []Process{{Ready: ms, FirstDescriptors: 9, LastDescriptors: 30}}}, wantBreak: "descriptors without clients"},
	} {
		c.record.Plan, c.record.Requests = plan, []Request{c.request}
		at := plan.Duration() - recoveryWindow/2 // requests that show the recovery
		for _, sent := range []time.Duration{firstEpisode - recoveryWindow/2, at} {
			c.record.Requests = append(c.record.Requests, change(func(q *Request) { q.ID, q.Sent, q.Ended = "b", sent, sent+ms }))
		}
		v := Judge(&c.record)
		excuses := 0
		for _, n := range v.Excuses {
			excuses += n
		}
		breaks := strings.Join(v.Breaks, "; ")
		if c.wantBreak == "" && breaks != "" || !strings.Contains(breaks, c.wantBreak) || excuses != c.excuses {
			t.Errorf("%s: breaks %q, %d excuses, want %q and %d", c.name, breaks, excuses, c.wantBreak, c.excuses)
		}
	}
	judgeCallerFaults(t, plan, served)
	record := Record{Plan: plan, Requests: []Request{change(func(q *Request) { q.Sent, q.Ended = firstEpisode-ms, firstEpisode })}}
	if v := Judge(&record); len(v.Breaks) != 1 {
		t.Errorf("nothing served at the end: breaks %q, want one", v.Breaks)
	}
}

// judgeCallerFaults checks the judgement of clients that leave and of pauses. served is a request
// that was served.
func judgeCallerFaults(t *testing.T, plan *Plan, served Request) {
	const ms = time.Millisecond
	left := served
	left.Ending, left.Ended = Left, served.Sent+5*ms
	arrivedAfter := func(after time.Duration) []Arrival { return []Arrival{{0, left.Ended + after}} }
	pause := Pause{At: served.Sent, Length: time.Second}
	slow := served
	slow.Ended = slow.Sent + slow.Budget + answerSlack + pause.Length
	for _, c := range []struct {
		name       string
		request    Request
		requests   int // with this request's times
		arrival    []Arrival
		pauses     []Pause
		incomplete bool
		wantBreaks int
	}{
		{name: "left, attempt before", request: left, requests: 5, arrival: arrivedAfter(-ms)},
		{name: "left, attempt in the slack", request: left, requests: 5, arrival: arrivedAfter(leaveSlack)},
		{name: "left, two late attempts", request: left, requests: maxLateAttempts, arrival: arrivedAfter(leaveSlack + ms)},
		{name: "left, three late attempts", request: left, requests: maxLateAttempts + 1, arrival: arrivedAfter(leaveSlack + ms), wantBreaks: maxLateAttempts + 1},
		{name: "left, late attempts after a pause", request: left, requests: 5, arrival: arrivedAfter(leaveSlack + ms), pauses: []Pause{{At: left.Ended, Length: ms}}, wantBreaks: 5},
		{name: "left before it was complete", request: left, requests: 1, arrival: arrivedAfter(0), incomplete: true, wantBreaks: 1},
		{name: "late by a pause", request: slow, requests: 1, pauses: []Pause{pause}},
		{name: "later than by a pause", request: slow, requests: 1, pauses: []Pause{{At: pause.At, Length: pause.Length - ms}}, wantBreaks: 1},
	} {
		record := Record{Plan: plan, Arrivals: map[string][]Arrival{}, Pauses: c.pauses}
		for i := range c.requests {
			q := c.request
			q.ID, q.Incomplete = fmt.Sprint(i), c.incomplete
			record.Requests, record.Arrivals[q.ID] = append(record.Requests, q), c.arrival
		}
		for _, sent := range []time.Duration{firstEpisode - recoveryWindow/2, plan.Duration() - recoveryWindow/2} {
			q := served
			q.ID, q.Sent, q.Ended = "b", sent, sent+ms
			record.Requests = append(record.Requests, q)
		}
		if v := Judge(&record); len(v.Breaks) != c.wantBreaks {
			t.Errorf("%s: breaks %q, want %d", c.name, v.Breaks, c.wantBreaks)
		}
	}
}
