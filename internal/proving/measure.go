package proving

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gorselink/internal/load"
)

// Where a measure is counted.
type place int

const (
	atNodes place = iota
	atCallers
	atAll
)

// measure is one figure of a window.
type measure struct {
	at   place
	what string // for tables
	of   func(c *cut) float64
}

// measures by the names that experiments use. A measure of nothing (no request in the
// window) is not a number.
var measures = map[string]measure{
	"scatter": {atNodes, "coefficient of variation of requests a node, over that of chance alone", (*cut).scatter},
	"least":   {atNodes, "requests of the least used node, over the mean", func(c *cut) float64 { return slices.Min(c.each()) / c.mean() }},
	"busiest": {atNodes, "requests of the most used node, over the mean", func(c *cut) float64 { return slices.Max(c.each()) / c.mean() }},
	"share":   {atNodes, "requests of the group over its fair share", (*cut).share},
	"peak":    {atNodes, "the most of that in any step", (*cut).peak},
	"cold":    {atNodes, "the most work that came to a cold node in a step, over what it can do", (*cut).pushed},
	"strays":  {atNodes, "requests at nodes that had left the list, after their drain", (*cut).strays},
	"p50":     {atCallers, "median time from due to answer, ms", func(c *cut) float64 { return c.quantile(0.5) }},
	"p99":     {atCallers, "99th percentile of it, ms", func(c *cut) float64 { return c.quantile(0.99) }},
	"p999":    {atCallers, "99.9th percentile of it, ms", func(c *cut) float64 { return c.quantile(0.999) }},
	"rate":    {atCallers, "requests a second", func(c *cut) float64 { return float64(len(c.endings())) / (c.To - c.From).Seconds() }},
	"failed":  {atCallers, "requests that were not answered below 400", func(c *cut) float64 { return c.count(func(o load.Outcome) bool { return o != load.OK }) }},
	"refused": {atCallers, "requests answered 429 or 503", func(c *cut) float64 { return c.count(func(o load.Outcome) bool { return o == load.Refused }) }},
	"lost":    {atCallers, "requests without an answer", func(c *cut) float64 { return c.count(lost) }},
	"tries":   {atAll, "requests at nodes for each request of callers", func(c *cut) float64 { return float64(len(c.arrivals())) / float64(len(c.endings())) }},
	"twice":   {atAll, "requests that may not be repeated and ran more than once, in the whole play", (*cut).twice},
	"crashes": {atAll, "processes that ended by themselves, in the whole play", func(c *cut) float64 { return float64(len(c.r.Crashes)) }},
	"drains":  {atAll, "processes that did not end well after SIGTERM, in the whole play", func(c *cut) float64 { return float64(len(c.r.DrainFailures)) }},
}

// always is what is wanted of every play, whatever its file says: no request has two
// ends, no effect comes twice, no process crashes, drains are kept.
var always = []Want{
	{Measure: "twice", Least: math.Inf(-1)}, {Measure: "crashes", Least: math.Inf(-1)},
	{Measure: "drains", Least: math.Inf(-1)}, {Measure: "strays", Least: math.Inf(-1)},
}

func lost(o load.Outcome) bool {
	return o == load.Broken || o == load.NoConn || o == load.TimedOut || o == load.Unanswered
}

// cut is a window of a Record, of some nodes or of one stream.
type cut struct {
	r *Record
	Window
	group  *Group // of nodes
	asked  *Group // of instances; nil for all
	stream int    // -1 for all
}

// Value is a measure of a window; NaN of nothing.
func (r *Record) Value(w *Want) float64 {
	c := &cut{r: r, Window: *r.e.window(w.Window), group: r.e.group(string(KindNodes), KindNodes), stream: -1}
	if g := r.e.group(w.Group, KindNodes); g != nil {
		c.group = g
	}
	c.asked = r.e.group(w.Group, KindInstances)
	for i := range r.e.Streams {
		if w.Stream != "" && r.e.Streams[i].Name == w.Stream {
			c.stream = i
		}
	}
	return measures[w.Measure].of(c)
}

func (c *cut) arrivals() []arrival {
	from, _ := slices.BinarySearchFunc(c.r.arrivals, c.From, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
	to, _ := slices.BinarySearchFunc(c.r.arrivals, c.To, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
	return c.r.arrivals[from:to]
}

func (c *cut) endings() (all []load.Ending) {
	from, _ := slices.BinarySearchFunc(c.r.endings, c.From, func(e load.Ending, at time.Duration) int { return cmp.Compare(e.Due, at) })
	to, _ := slices.BinarySearchFunc(c.r.endings, c.To, func(e load.Ending, at time.Duration) int { return cmp.Compare(e.Due, at) })
	if c.stream < 0 && c.asked == nil {
		return c.r.endings[from:to]
	}
	for _, e := range c.r.endings[from:to] {
		if (c.stream < 0 || e.Stream == c.stream) && (c.asked == nil || c.asked.Has(e.Target)) {
			all = append(all, e)
		}
	}
	return all
}

// each is what came to each node of the group.
func (c *cut) each() []float64 {
	all := make([]float64, c.r.e.Nodes.Count)
	for _, a := range c.arrivals() {
		all[a.node]++
	}
	mine := make([]float64, len(c.group.Members))
	for i, m := range c.group.Members {
		mine[i] = all[m]
	}
	return mine
}

func (c *cut) mean() float64 { return sum(c.each()) / float64(len(c.group.Members)) }

func sum(all []float64) (s float64) {
	for _, x := range all {
		s += x
	}
	return s
}

// scatter: requests that go to nodes by chance alone are Poisson, with a deviation of the
// square root of their mean.
func (c *cut) scatter() float64 {
	mean, squares := c.mean(), 0.0
	for _, x := range c.each() {
		squares += (x - mean) * (x - mean)
	}
	return math.Sqrt(squares/float64(len(c.group.Members))) / math.Sqrt(mean)
}

func (c *cut) share() float64 {
	fair := float64(len(c.group.Members)) / float64(c.r.e.Nodes.Count)
	return sum(c.each()) / float64(len(c.arrivals())) / fair
}

// peak looks at whole steps.
func (c *cut) peak() float64 {
	most := math.NaN()
	step := c.r.e.Step
	for at := c.From; at+step <= c.To; at += step {
		s := *c
		s.Window = Window{From: at, To: at + step}
		if x := s.share(); !(x <= most) && !math.IsNaN(x) {
			most = x
		}
	}
	return most
}

// pushed counts from a node's return on, in steps, for as long as it is cold.
func (c *cut) pushed() float64 {
	most, n := 0.0, &c.r.e.Nodes
	step := c.r.e.Step
	for _, x := range c.r.cold {
		if !c.group.Has(x.node) {
			continue
		}
		for at := x.from; at+step <= x.to && at+step <= c.To; at += step {
			if at < c.From {
				continue
			}
			came := 0.0
			for _, a := range (&cut{r: c.r, Window: Window{From: at, To: at + step}}).arrivals() {
				if a.node == x.node {
					came++
				}
			}
			speed := n.Cold + (1-n.Cold)*(at+step/2-x.from).Seconds()/n.Warm.Seconds()
			most = max(most, came*n.Work.Seconds()/(float64(n.Cores)*step.Seconds()*speed))
		}
	}
	return most
}

func (c *cut) strays() (n float64) {
	for _, x := range c.r.left {
		if !c.group.Has(x.node) {
			continue
		}
		for _, a := range c.arrivals() {
			if a.node == x.node && a.at > x.from+c.r.e.Nodes.Drain && a.at < x.to {
				n++
			}
		}
	}
	return n
}

func (c *cut) quantile(q float64) float64 {
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

func (c *cut) count(is func(load.Outcome) bool) (n float64) {
	for _, e := range c.endings() {
		if is(e.How) {
			n++
		}
	}
	return n
}

func (c *cut) twice() (n float64) {
	for id := range c.r.frail {
		if c.r.runs[id] > 1 {
			n++
		}
	}
	// An end that was told twice would be an answer too many.
	type request struct {
		stream int
		index  uint64
	}
	seen := map[request]bool{}
	for _, e := range c.r.endings {
		k := request{e.Stream, e.Index}
		if seen[k] {
			n++
		}
		seen[k] = true
	}
	return n
}
