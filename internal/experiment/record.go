package experiment

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"gorselink/internal/load"
)

// Record holds the observations of a run: arrivals and executions at the nodes, and the
// outcome of each request at the callers. All measures are computed from it.
type Record struct {
	Seed          uint64
	Void          []string // reasons why the load generator was the bottleneck
	EventErrors   []string // events that could not be performed
	Crashes       []string // processes that exited unexpectedly
	DrainFailures []string // processes that did not exit cleanly after SIGTERM
	LostRequests  []LostRequest

	experiment *Experiment
	startedAt  time.Time

	mu            sync.Mutex
	arrivals      []arrival // sorted by time at the end
	endings       []load.Completion
	executions    map[string]int  // number of executions by request ID, over all nodes
	nonIdempotent map[string]bool // IDs of requests that must not be repeated
	coldSpans     []nodeSpan      // spans in which a node is cold
	absentSpans   []nodeSpan      // spans in which a node is not on the list
}

type arrival struct {
	at        time.Duration
	node      int
	requestID string // value of requestIDHeader
}

// requestIDHeader carries the ID of a request from the generator to the node. An instance may
// replace X-Call-Id.
const requestIDHeader = "X-Request-Id"

// nodeSpan is a time span of a node.
type nodeSpan struct {
	node     int
	from, to time.Duration
}

func newRecord(e *Experiment, seed uint64) *Record {
	return &Record{experiment: e, Seed: seed, executions: map[string]int{}, nonIdempotent: map[string]bool{}}
}

// begin discards the arrivals before the load.
func (r *Record) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt, r.arrivals = time.Now(), nil
	if g := r.experiment.lookupGroup(r.experiment.Nodes.AbsentGroup, KindNodes); g != nil {
		for _, i := range g.Members {
			r.absentSpans = append(r.absentSpans, nodeSpan{i, -r.experiment.Nodes.DrainTime, math.MaxInt64})
		}
	}
}

func (r *Record) recordArrival(node int, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startedAt.IsZero() {
		return
	}
	r.arrivals = append(r.arrivals, arrival{time.Since(r.startedAt), node, req.Header.Get(requestIDHeader)})
	if req.Method != http.MethodGet && req.Method != http.MethodHead && req.Header.Get("Idempotency-Key") == "" {
		r.nonIdempotent[req.Header.Get("X-Call-Id")] = true
	}
}

func (r *Record) recordEnding(e load.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings = append(r.endings, e)
}

// recordExecutions adds the executions at a node by request ID. Clients don't retry, so each ID
// belongs to one request.
func (r *Record) recordExecutions(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range runs {
		if id != "" {
			r.executions[id] += n
		}
	}
}

func (r *Record) recordReturn(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt)
	r.coldSpans = append(r.coldSpans, nodeSpan{node, at, at + r.experiment.Nodes.WarmUp})
}

func (r *Record) recordListChange(node int, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt)
	if !listed {
		r.absentSpans = append(r.absentSpans, nodeSpan{node, at, math.MaxInt64})
		return
	}
	for i := range r.absentSpans {
		if l := &r.absentSpans[i]; l.node == node {
			l.to = min(l.to, at)
		}
	}
}

func (r *Record) recordCrash(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Crashes = append(r.Crashes, text)
}

func (r *Record) recordEventError(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.EventErrors = append(r.EventErrors, text)
}

func (r *Record) recordAction(d action, err error) {
	switch {
	case err == nil || errors.Is(err, context.Canceled):
	case errors.Is(err, errDrainFailed):
		r.mu.Lock()
		r.DrainFailures = append(r.DrainFailures, err.Error())
		r.mu.Unlock()
	default:
		r.recordEventError(d.event.key + ": " + err.Error())
	}
}

func (r *Record) sortByTime() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	slices.SortStableFunc(r.endings, func(a, b load.Completion) int { return int(a.Due - b.Due) })
	return r
}
