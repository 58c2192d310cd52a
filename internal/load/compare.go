package load

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
)

// Difference is one figure of two runs side by side.
type Difference struct {
	What      string
	A, B      float64
	Low, High float64 // 95% interval of B/A, for shares of B-A
	Ratio     bool    // Low and High are of B/A
	Beyond    bool    // noise: the interval leaves out no difference
}

const (
	// resamples of a bootstrap: enough for the ends of a 95% interval.
	resamples = 2000
	// leastSeconds that a run must have: fewer say nothing of its noise.
	leastSeconds = 5
)

// Compare pairs two runs. The interval of each difference is that of a
// bootstrap over the seconds of each run (B. Efron, "Bootstrap methods: another
// look at the jackknife", 1979): seconds are drawn with replacement, whole, as
// requests of one second share their trouble and are no independent samples.
// The same reports and seed give the same intervals.
func Compare(a, b *Report, seed uint64) ([]Difference, error) {
	for _, r := range []*Report{a, b} {
		if len(used(r)) < leastSeconds {
			return nil, fmt.Errorf("compare: a run with requests in %d seconds, want %d at least", len(used(r)), leastSeconds)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0x636f6d70617265))
	figures := []struct {
		what  string
		ratio bool
		of    func(p *pile) float64
	}{
		{"p50 ms", true, func(p *pile) float64 { return p.quantile(0.5) }},
		{"p90 ms", true, func(p *pile) float64 { return p.quantile(0.9) }},
		{"p99 ms", true, func(p *pile) float64 { return p.quantile(0.99) }},
		{"p99.9 ms", true, func(p *pile) float64 { return p.quantile(0.999) }},
		{"mean ms", true, (*pile).mean},
		{"share answered", false, func(p *pile) float64 { return float64(p.ok) / float64(p.due) }},
	}
	pa, pb := newPile(a), newPile(b)
	all := make([]Difference, len(figures))
	for i, f := range figures {
		all[i] = Difference{What: f.what, Ratio: f.ratio, A: f.of(pa), B: f.of(pb)}
	}
	draws := make([][]float64, len(figures))
	for range resamples {
		pa.draw(rng)
		pb.draw(rng)
		for i, f := range figures {
			x, y := f.of(pa), f.of(pb)
			if f.ratio {
				draws[i] = append(draws[i], y/x)
			} else {
				draws[i] = append(draws[i], y-x)
			}
		}
	}
	for i := range all {
		d := &all[i]
		slices.Sort(draws[i])
		d.Low, d.High = draws[i][resamples/40], draws[i][resamples-1-resamples/40]
		same := 0.0
		if d.Ratio {
			same = 1
		}
		d.Beyond = d.Low > same || d.High < same
	}
	return all, nil
}

// used are the seconds of a run in which something was due.
func used(r *Report) []SecondReport {
	return slices.DeleteFunc(slices.Clone(r.Seconds), func(s SecondReport) bool { return s.Due == 0 })
}

// pile is a histogram that seconds are put on, over the buckets that any second
// of the run has.
type pile struct {
	seconds []SecondReport
	bars    [][]bar // of the seconds
	values  []int64 // of the buckets, µs
	counts  []int64
	total   int64
	ok, due int64
}

type bar struct {
	at int // in values
	n  int64
}

// newPile returns a pile with all seconds of r on it.
func newPile(r *Report) *pile {
	p := &pile{seconds: used(r)}
	for i := range p.seconds {
		for v := range p.seconds[i].Buckets {
			p.values = append(p.values, v)
		}
	}
	slices.Sort(p.values)
	p.values = slices.Compact(p.values)
	p.counts = make([]int64, len(p.values))
	for i := range p.seconds {
		var bars []bar
		for v, n := range p.seconds[i].Buckets {
			at, _ := slices.BinarySearch(p.values, v)
			bars = append(bars, bar{at, n})
		}
		p.bars = append(p.bars, bars)
	}
	for i := range p.seconds {
		p.put(i)
	}
	return p
}

func (p *pile) put(i int) {
	for _, b := range p.bars[i] {
		p.counts[b.at] += b.n
		p.total += b.n
	}
	p.ok += p.seconds[i].Outcomes[OK.String()]
	p.due += p.seconds[i].Due
}

// draw puts as many seconds on an empty pile as there are, drawn with
// replacement.
func (p *pile) draw(rng *rand.Rand) {
	clear(p.counts)
	p.total, p.ok, p.due = 0, 0, 0
	for range p.seconds {
		p.put(rng.IntN(len(p.seconds)))
	}
}

// quantile is in milliseconds.
func (p *pile) quantile(q float64) float64 {
	want := int64(math.Ceil(q * float64(p.total)))
	for i, n := range p.counts {
		if want -= n; want <= 0 {
			return float64(p.values[i]) / 1000
		}
	}
	return math.NaN()
}

// mean is in milliseconds.
func (p *pile) mean() float64 {
	sum := 0.0
	for i, n := range p.counts {
		sum += float64(p.values[i]) * float64(n)
	}
	return sum / float64(p.total) / 1000
}

// WriteDifferences writes a table of what Compare has found and tells how many
// are beyond noise.
func WriteDifferences(w io.Writer, all []Difference) (beyond int, err error) {
	t := tabwriter.NewWriter(w, 8, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tA\tB\tB against A\t95% from\tto\t\t")
	for _, d := range all {
		change, low, high := d.B-d.A, d.Low, d.High
		unit := " points"
		scale := 100.0
		if d.Ratio {
			change, low, high, unit = d.B/d.A-1, d.Low-1, d.High-1, "%"
		}
		note := "within noise"
		if d.Beyond {
			beyond++
			note = "BEYOND NOISE"
		}
		if math.IsNaN(change) || math.IsInf(change, 0) {
			note = "no figure"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.1f%s\t%+.1f\t%+.1f\t%s\t\n", d.What, d.A, d.B, scale*change, unit, scale*low, scale*high, note)
	}
	return beyond, t.Flush()
}
