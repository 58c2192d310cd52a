package soak

import (
	"fmt"
	"time"
)

// The rules of the platform, as on its protocol page.
const (
	maxKillDeadline = 3 * time.Second        // longest deadline that delays SIGKILL
	killDelay       = 700 * time.Millisecond // from the longest deadline to SIGKILL
	answerSlack     = 500 * time.Millisecond // after its budget, a response earns nothing but counts
	drainGrace      = 2 * time.Second        // DrainGraceS of the configuration
	drainSlack      = 50 * time.Millisecond
	slowListDelay   = 6 * time.Second // until a change counts as told although it has not arrived
	readyTimeout    = 6 * time.Second
	recoveredShare  = 0.9
	leaveSlack      = 100 * time.Millisecond // an attempt that begins later after its client left is a fault
	maxLateAttempts = 2                      // of a run that are no break
)

const (
	// crossingTime is the longest time between the write of a request and the end of its
	// connection for which both may have crossed. After a longer time without a reset the
	// request had been read, because closing a connection with unread data resets it.
	crossingTime = 50 * time.Millisecond
	// spareDescriptors is how many more descriptors a process may hold at the end than when it
	// became ready: watches of discovery, connections to endpoints that are about to be closed.
	spareDescriptors = 8
)

// Verdict is the judgement of a run.
type Verdict struct {
	Breaks   []string       // violations of a rule
	Excuses  map[string]int // requests without a response that the rules allow, by reason
	Requests int
	Served   int
	Before   float64 // share of requests that are served, before the first signal
	After    float64 // the same after the recovery time

	lateAttempts []string // attempts that began after their client had left
}

// Judge compares a record with the rules.
func Judge(r *Record) *Verdict {
	v := &Verdict{Excuses: map[string]int{}, Requests: len(r.Requests)}
	for i := range r.Requests {
		v.judgeRequest(r, &r.Requests[i])
	}
	if n := len(v.lateAttempts); n > maxLateAttempts {
		v.Breaks = append(v.Breaks, v.lateAttempts...)
	} else if n > 0 {
		v.Excuses["attempt after its client had left, two of a run at most"] += n
	}
	for id, runs := range r.Runs {
		if runs > 1 && isNonIdempotent(r, id) {
			v.addBreak("request %s is not idempotent and ran %d times", id, runs)
		}
	}
	v.judgeDrains(r)
	for i := range r.Processes {
		v.judgeProcess(r, i, &r.Processes[i])
	}
	v.Before = servedShare(r, firstEpisode-recoveryWindow, firstEpisode)
	v.After = servedShare(r, r.Plan.Duration()-recoveryWindow, r.Plan.Duration())
	if v.After < recoveredShare*v.Before {
		v.addBreak("%.2f of the requests are served %v after the last signal, want %.1f of the %.2f before the first", v.After, recoveryTime, recoveredShare, v.Before)
	}
	return v
}

func (v *Verdict) addBreak(format string, args ...any) {
	v.Breaks = append(v.Breaks, fmt.Sprintf(format, args...))
}

func (v *Verdict) judgeRequest(r *Record, q *Request) {
	arrivals := r.Arrivals[q.ID]
	describe := func(what string) {
		v.addBreak("%s: request %s (%s, budget %v, reused connection %t, pipelined %t), connected at %v, sent at %v, %v at %v, status %d, arrivals %v",
			what, q.ID, q.Class, q.Budget, q.Reused, q.Behind, q.ConnectAt, q.Sent, q.Ending, q.Ended, q.Status, arrivals)
	}
	paused := r.pausedBetween(q.Sent, q.Ended)
	late := q.Ending == Answered && q.Ended-q.Sent > q.Budget+answerSlack
	if late && q.Ended-q.Sent <= q.Budget+answerSlack+paused {
		late = false
		v.Excuses["answer late by a pause"]++
	}
	switch {
	case q.Ending == Left:
		v.judgeLeft(r, q)
	case q.Extra:
		describe("second answer")
	case late:
		describe("late answer")
	case q.Ending == Answered && q.Status == 200 && !q.OwnBody:
		describe("foreign answer")
	case q.Ending == Answered && q.Class == "pay" && (q.Status == 429 || q.Status == 503) && r.Runs[q.ID] > 0:
		describe("refused although it ran")
	case q.Ending == Answered:
		if q.Status == 200 {
			v.Served++
		}
	case q.Ending == NoAnswer || q.Ending == Malformed:
		describe("lost")
	case len(arrivals) > 0:
		describe("lost after it was forwarded")
	case q.Ending == Closed && !q.Behind && q.Ended-q.Sent > crossingTime+paused:
		describe("lost after it was read")
	case q.Behind:
		v.Excuses["pipelined request behind an answer, not read"]++
	case !q.Reused && r.crowdBetween(q.ConnectAt, q.Ended):
		v.Excuses["new connection closed unread for want of descriptors"]++
	case q.Reused:
		v.Excuses["request crossed the close of its connection"]++
	default:
		describe("lost on a new connection")
	}
}

// judgeLeft judges a request that its client has left.
func (v *Verdict) judgeLeft(r *Record, q *Request) {
	v.Excuses["left by its client"]++
	for _, a := range r.Arrivals[q.ID] {
		if q.Incomplete {
			v.addBreak("request %s (%s) arrived at endpoint %d at %v, although its client left at %v before it was complete", q.ID, q.Class, a.Endpoint, a.At, q.Ended)
		} else if after := a.At - q.Ended; after > leaveSlack { // a pause is no excuse, as the client is checked right before an attempt
			v.lateAttempts = append(v.lateAttempts, fmt.Sprintf("request %s (%s) sent at %v arrived at endpoint %d at %v, %v after its client had left", q.ID, q.Class, q.Sent, a.Endpoint, a.At, after))
		}
	}
}

// limitDelay is the longest time from the end of a crowd until all descriptors can be used again.
const limitDelay = time.Second

// crowdBetween reports whether the crowd may have used all descriptors within an interval.
func (r *Record) crowdBetween(from, to time.Duration) bool {
	return r.CrowdTo > 0 && to >= r.CrowdFrom && from <= r.CrowdTo+limitDelay
}

func isNonIdempotent(r *Record, id string) bool {
	for i := range r.Requests {
		if r.Requests[i].ID == id {
			return r.Requests[i].Class == "pay"
		}
	}
	return false
}

// judgeDrains checks that no request arrives at a draining endpoint after the grace period.
func (v *Verdict) judgeDrains(r *Record) {
	delay := time.Duration(0)
	if r.Plan.Sidecar.PullDiscovery || r.Plan.Discovery.To > 0 {
		delay = slowListDelay
	}
	for _, drain := range r.Drained {
		limit := drain.At + delay + drainGrace + drainSlack
		for id, arrivals := range r.Arrivals {
			for _, a := range arrivals {
				if a.Endpoint == drain.Endpoint && a.At > limit+r.pausedBetween(drain.At, a.At) {
					v.addBreak("request %s arrived at endpoint %d at %v, which drains since %v", id, a.Endpoint, a.At, drain.At)
				}
			}
		}
	}
}

func (v *Verdict) judgeProcess(r *Record, i int, p *Process) {
	switch {
	case p.Killed:
		v.addBreak("process %d had to be killed at %v, after SIGTERM at %v; log %s", i, p.Exited, p.Terminated, p.LogPath)
	case p.ExitError != "":
		v.addBreak("process %d ended with %s at %v, after SIGTERM at %v; log %s", i, p.ExitError, p.Exited, p.Terminated, p.LogPath)
	}
	if p.Ready == 0 && p.Terminated > 0 && p.Terminated-p.Started < readyTimeout {
		return // it was told to end before it had to be ready
	}
	if p.Terminated > 0 && r.pausedBetween(p.Terminated, p.Exited) > 0 {
		v.Excuses["pause between SIGTERM and exit"]++
	}
	if p.Ready == 0 || p.Ready-p.Started > readyTimeout+r.pausedBetween(p.Started, p.Ready) {
		v.addBreak("process %d was ready after %v, want %v", i, p.Ready-p.Started, readyTimeout)
	}
	if p.LastDescriptors > p.FirstDescriptors+spareDescriptors {
		v.addBreak("process %d has %d descriptors without clients, %d when it became ready", i, p.LastDescriptors, p.FirstDescriptors)
	}
}

// servedShare returns the share of the requests sent in an interval that were served. It leaves
// out pipelined requests, which the sidecar answers with status 400, and those of clients that leave.
func servedShare(r *Record, from, to time.Duration) float64 {
	sent, served := 0, 0
	for i := range r.Requests {
		if q := &r.Requests[i]; !q.Pipelined && q.Ending != Left && !q.HalfClosed && q.Sent >= from && q.Sent < to {
			sent++
			if q.Ending == Answered && q.Status == 200 {
				served++
			}
		}
	}
	return float64(served) / float64(max(sent, 1))
}
