package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gorselink/internal/load"
)

// measurePoint is where a measure is taken.
type measurePoint int

const (
	atNodes measurePoint = iota
	atCallers
	atAll
)

// measure computes one value over a selection.
type measure struct {
	point       measurePoint
	description string
	compute     func(c *selection) float64
}

// measures holds the measures by the names used in experiment files. A measure without
// any requests is NaN.
var measures = map[string]measure{
	"scatter": {atNodes, "coefficient of variation of requests per node, relative to that of a Poisson distribution", (*selection).scatter},
	"least":   {atNodes, "requests at the least used node, relative to the mean", func(c *selection) float64 { return slices.Min(c.requestsPerNode()) / c.meanPerNode() }},
	"busiest": {atNodes, "requests at the most used node, relative to the mean", func(c *selection) float64 { return slices.Max(c.requestsPerNode()) / c.meanPerNode() }},
	"share":   {atNodes, "requests at the group, relative to its fair share", (*selection).fairShareRatio},
	"peak":    {atNodes, "maximum of share over all steps", (*selection).peakShare},
	"cold":    {atNodes, "maximum of the work sent to a cold node in a step, relative to its capacity", (*selection).peakColdLoad},
	"strays":  {atNodes, "requests at nodes that are off the list, after their drain", (*selection).strayRequests},
	"p50":     {atCallers, "median latency since the request was due, ms", func(c *selection) float64 { return c.quantile(0.5) }},
	"p99":     {atCallers, "99th percentile of the latency, ms", func(c *selection) float64 { return c.quantile(0.99) }},
	"p999":    {atCallers, "99.9th percentile of the latency, ms", func(c *selection) float64 { return c.quantile(0.999) }},
	"rate":    {atCallers, "requests per second", func(c *selection) float64 { return float64(len(c.endings())) / (c.To - c.From).Seconds() }},
	"failed":  {atCallers, "requests without a response of a status below 400", func(c *selection) float64 { return c.count(func(o load.Outcome) bool { return o != load.OK }) }},
	"refused": {atCallers, "requests with a response of status 429 or 503", func(c *selection) float64 { return c.count(func(o load.Outcome) bool { return o == load.Refused }) }},
	"lost":    {atCallers, "requests without a response", func(c *selection) float64 { return c.count(hasNoResponse) }},
	"late":    {atCallers, "requests with a response after their budget, which are not lost", func(c *selection) float64 { return c.count(func(o load.Outcome) bool { return o == load.Late }) }},
	"tries":   {atAll, "requests at nodes per request of the callers", func(c *selection) float64 { return float64(len(c.arrivals())) / float64(len(c.endings())) }},
	"twice":   {atAll, "non-idempotent requests executed more than once, and requests with two responses, in the whole run", (*selection).duplicateExecutions},
	"crashes": {atAll, "processes that exited unexpectedly, in the whole run", func(c *selection) float64 { return float64(len(c.record.Crashes)) }},
	"drains":  {atAll, "processes that did not exit cleanly after SIGTERM, in the whole run", func(c *selection) float64 { return float64(len(c.record.DrainFailures)) }},
}

// standingExpectations are checked in every run: no non-idempotent request is executed twice, no
// request gets two responses, no process crashes, all drains complete, and no node gets requests
// after it left the list and its drain time passed.
var standingExpectations = []Expectation{
	{Measure: "twice", Min: math.Inf(-1)}, {Measure: "crashes", Min: math.Inf(-1)},
	{Measure: "drains", Min: math.Inf(-1)}, {Measure: "strays", Min: math.Inf(-1)},
}

func hasNoResponse(o load.Outcome) bool {
	return o == load.Broken || o == load.NoConn || o == load.TimedOut || o == load.Unanswered
}

// selection is a window of a Record, restricted to some nodes, instances or a stream.
type selection struct {
	record *Record
	Window
	nodes     *Group
	instances *Group // nil for all
	stream    int    // -1 for all
}

// Value returns a measure, or NaN if there is nothing to measure.
func (r *Record) Value(w *Expectation) float64 {
	c := &selection{record: r, Window: *r.experiment.lookupWindow(w.Window), nodes: r.experiment.lookupGroup(string(KindNodes), KindNodes), stream: -1}
	if g := r.experiment.lookupGroup(w.Group, KindNodes); g != nil {
		c.nodes = g
	}
	c.instances = r.experiment.lookupGroup(w.Group, KindInstances)
	for i := range r.experiment.Streams {
		if w.Stream != "" && r.experiment.Streams[i].Name == w.Stream {
			c.stream = i
		}
	}
	return measures[w.Measure].compute(c)
}

// arrivals returns the arrivals of all streams in the window.
func (c *selection) arrivals() []arrival {
	from, _ := slices.BinarySearchFunc(c.record.arrivals, c.From, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
	to, _ := slices.BinarySearchFunc(c.record.arrivals, c.To, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
	return c.record.arrivals[from:to]
}

func (c *selection) endings() (all []load.Completion) {
	from, _ := slices.BinarySearchFunc(c.record.endings, c.From, func(e load.Completion, at time.Duration) int { return cmp.Compare(e.Due, at) })
	to, _ := slices.BinarySearchFunc(c.record.endings, c.To, func(e load.Completion, at time.Duration) int { return cmp.Compare(e.Due, at) })
	if c.stream < 0 && c.instances == nil {
		return c.record.endings[from:to]
	}
	for _, e := range c.record.endings[from:to] {
		if (c.stream < 0 || e.Stream == c.stream) && (c.instances == nil || c.instances.Contains(e.Target)) {
			all = append(all, e)
		}
	}
	return all
}

// requestsPerNode returns the number of arrivals at each node of the group.
func (c *selection) requestsPerNode() []float64 {
	all := make([]float64, c.record.experiment.Nodes.Count)
	for _, a := range c.arrivals() {
		all[a.node]++
	}
	counts := make([]float64, len(c.nodes.Members))
	for i, m := range c.nodes.Members {
		counts[i] = all[m]
	}
	return counts
}

func (c *selection) meanPerNode() float64 {
	return sum(c.requestsPerNode()) / float64(len(c.nodes.Members))
}

func sum(all []float64) (s float64) {
	for _, x := range all {
		s += x
	}
	return s
}

// scatter compares the deviation to that of a Poisson distribution, which is the square root
// of the mean.
func (c *selection) scatter() float64 {
	mean, squares := c.meanPerNode(), 0.0
	for _, x := range c.requestsPerNode() {
		squares += (x - mean) * (x - mean)
	}
	return math.Sqrt(squares/float64(len(c.nodes.Members))) / math.Sqrt(mean)
}

func (c *selection) fairShareRatio() float64 {
	fair := float64(len(c.nodes.Members)) / float64(c.record.experiment.Nodes.Count)
	return sum(c.requestsPerNode()) / float64(len(c.arrivals())) / fair
}

// peakShare considers whole steps only.
func (c *selection) peakShare() float64 {
	peak := math.NaN()
	step := c.record.experiment.Step
	for at := c.From; at+step <= c.To; at += step {
		s := *c
		s.Window = Window{From: at, To: at + step}
		if x := s.fairShareRatio(); !(x <= peak) && !math.IsNaN(x) {
			peak = x
		}
	}
	return peak
}

// peakColdLoad considers the steps from a node's return until it is warm.
func (c *selection) peakColdLoad() float64 {
	peak, n := 0.0, &c.record.experiment.Nodes
	step := c.record.experiment.Step
	for _, x := range c.record.coldSpans {
		if !c.nodes.Contains(x.node) {
			continue
		}
		for at := x.from; at+step <= x.to && at+step <= c.To; at += step {
			if at < c.From {
				continue
			}
			requests := 0.0
			for _, a := range (&selection{record: c.record, Window: Window{From: at, To: at + step}}).arrivals() {
				if a.node == x.node {
					requests++
				}
			}
			speed := n.ColdShare + (1-n.ColdShare)*(at+step/2-x.from).Seconds()/n.WarmUp.Seconds()
			peak = max(peak, requests*n.Work.Seconds()/(float64(n.Cores)*step.Seconds()*speed))
		}
	}
	return peak
}

func (c *selection) strayRequests() (n float64) {
	for _, x := range c.record.absentSpans {
		if !c.nodes.Contains(x.node) {
			continue
		}
		for _, a := range c.arrivals() {
			if a.node == x.node && a.at > x.from+c.record.experiment.Nodes.DrainTime && a.at < x.to {
				n++
			}
		}
	}
	return n
}

func (c *selection) quantile(q float64) float64 {
	var all []float64
	for _, e := range c.endings() {
		all = append(all, (e.Ended-e.Due).Seconds()*1000)
	}
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return all[int(math.Ceil(q*float64(len(all))))-1]
}

func (c *selection) count(matches func(load.Outcome) bool) (n float64) {
	for _, e := range c.endings() {
		if matches(e.Outcome) {
			n++
		}
	}
	return n
}

func (c *selection) duplicateExecutions() (n float64) {
	for id := range c.record.nonIdempotent {
		if c.record.executions[id] > 1 {
			n++
		}
	}
	return n + float64(len(c.record.repeatedEndings()))
}

// repeatedEndings returns the indices of the endings of requests that have ended before. Such a
// request got more than one response.
func (r *Record) repeatedEndings() (repeated []int) {
	type request struct {
		stream int
		index  uint64
	}
	seen := map[request]bool{}
	for i, e := range r.endings {
		k := request{e.Stream, e.Index}
		if seen[k] {
			repeated = append(repeated, i)
		}
		seen[k] = true
	}
	return repeated
}
