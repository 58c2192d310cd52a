package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gorselink/internal/load"
)

// LostRequest is a request that got no response, a late one, or more than one, with what is known
// of it. Times count from the start of the load.
type LostRequest struct {
	CallID   string   `json:"id"`
	Stream   string   `json:"stream"`
	Instance string   `json:"instance"`
	Outcome  string   `json:"how"`
	Due      float64  `json:"due_s"`
	Sent     float64  `json:"sent_s"`
	Ended    float64  `json:"ended_s"` // when the response was complete, or when the caller stopped waiting
	Budget   float64  `json:"budget_s"`
	Arrivals []string `json:"arrivals,omitempty"` // "node at time", at nodes
	Log      []string `json:"log,omitempty"`      // lines of the instance about the request and its last second
}

// String describes the request in one line, followed by its log lines.
func (l *LostRequest) String() string {
	return fmt.Sprintf("%s of %s at %s: %s; due at %.3f s, sent at %.3f s, ended at %.3f s, budget %.3f s; arrived at %q; log:\n\t%s",
		l.CallID, l.Stream, l.Instance, l.Outcome, l.Due, l.Sent, l.Ended, l.Budget, l.Arrivals, strings.Join(l.Log, "\n\t"))
}

const (
	maxLostRequests = 20 // that a result describes
	maxLostLogLines = 40 // of one request
)

// traceLostRequests describes the requests without a response in time and those with several.
// It reads the logs of their instances, which are removed at the end of the run.
func (r *testbed) traceLostRequests() (lost []LostRequest) {
	repeated := r.record.repeatedEndings()
	for i := range r.record.endings {
		e := &r.record.endings[i]
		if (hasNoResponse(e.Outcome) || e.Outcome == load.Late || slices.Contains(repeated, i)) && len(lost) < maxLostRequests {
			lost = append(lost, r.traceRequest(e))
		}
	}
	return lost
}

func (r *testbed) traceRequest(e *load.Completion) LostRequest {
	stream := &r.experiment.Streams[e.Stream]
	instance := r.instances[e.Target].info
	lost := LostRequest{
		CallID: e.CallID, Stream: stream.Name, Instance: instance.Name, Outcome: e.Outcome.String(),
		Due: e.Due.Seconds(), Sent: e.Sent.Seconds(), Ended: e.Ended.Seconds(), Budget: stream.Budget.Seconds(),
	}
	for _, a := range r.record.arrivals {
		if a.requestID == e.CallID {
			lost.Arrivals = append(lost.Arrivals, fmt.Sprintf("n%03d at %.3f s", a.node, a.at.Seconds()))
		}
	}
	lost.Log = readLogLines(filepath.Join(instance.Dir, "log"), e.CallID, r.record.startedAt.Add(e.Ended))
	return lost
}

// logTimeFormat is the time at the beginning of each log line.
const logTimeFormat = "2006/01/02 15:04:05"

// readLogLines returns the lines of a log that contain an id, and those of the second of the
// given time, the one before it and the one after it.
func readLogLines(path, id string, at time.Time) (lines []string) {
	text, err := os.ReadFile(path)
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(string(text)) {
		near := false
		for second := -time.Second; second <= time.Second; second += time.Second {
			near = near || strings.HasPrefix(line, at.Add(second).Format(logTimeFormat))
		}
		if (near || id != "" && strings.Contains(line, id)) && len(lines) < maxLostLogLines {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}
