package proving

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

// Record is what a play has counted: at the nodes what came and what ran, at the callers
// how each request ended. Measures are taken from it alone.
type Record struct {
	Seed          uint64
	Void          []string // why the generator, and not what it measured, was the bottleneck
	EventErrors   []string // of what the script wanted and could not have
	Crashes       []string // processes that ended by themselves
	DrainFailures []string // processes that did not end after a SIGTERM as they should

	e     *Experiment
	start time.Time

	mu       sync.Mutex
	arrivals []arrival // by time once done
	endings  []load.Ending
	runs     map[string]int  // by id, over all nodes
	frail    map[string]bool // ids of requests that may not be repeated
	cold     []span          // by node, of each cold time
	left     []span
}

type arrival struct {
	at   time.Duration
	node int
}

// span is a time of a node.
type span struct {
	node     int
	from, to time.Duration
}

func newRecord(e *Experiment, seed uint64) *Record {
	return &Record{e: e, Seed: seed, runs: map[string]int{}, frail: map[string]bool{}}
}

// begin forgets what came before the load.
func (r *Record) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.arrivals = time.Now(), nil
	if g := r.e.group(r.e.Nodes.Absent, KindNodes); g != nil {
		for _, i := range g.Members {
			r.left = append(r.left, span{i, -r.e.Nodes.Drain, math.MaxInt64})
		}
	}
}

func (r *Record) arrived(node int, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		return
	}
	r.arrivals = append(r.arrivals, arrival{time.Since(r.start), node})
	if req.Method != http.MethodGet && req.Method != http.MethodHead && req.Header.Get("Idempotency-Key") == "" {
		r.frail[req.Header.Get("X-Call-Id")] = true
	}
}

func (r *Record) ended(e load.Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings = append(r.endings, e)
}

// ran books what has run at a node, by id. Callers make one try of a request, so that an
// id is a request.
func (r *Record) ran(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range runs {
		if id != "" {
			r.runs[id] += n
		}
	}
}

func (r *Record) returned(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	r.cold = append(r.cold, span{node, at, at + r.e.Nodes.Warm})
}

func (r *Record) listed(node int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	if !on {
		r.left = append(r.left, span{node, at, math.MaxInt64})
		return
	}
	for i := range r.left {
		if l := &r.left[i]; l.node == node {
			l.to = min(l.to, at)
		}
	}
}

func (r *Record) crashed(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Crashes = append(r.Crashes, text)
}

func (r *Record) fault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.EventErrors = append(r.EventErrors, text)
}

func (r *Record) happened(d deed, err error) {
	switch {
	case err == nil || errors.Is(err, context.Canceled):
	case errors.Is(err, errUndrained):
		r.mu.Lock()
		r.DrainFailures = append(r.DrainFailures, err.Error())
		r.mu.Unlock()
	default:
		r.fault(d.event.key + ": " + err.Error())
	}
}

func (r *Record) done() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	slices.SortStableFunc(r.endings, func(a, b load.Ending) int { return int(a.Due - b.Due) })
	return r
}
