package load

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
)

// Difference is one figure of two runs, A and B, and how it changed.
type Difference struct {
	Metric      string
	A, B        float64
	Low, High   float64 // 95% confidence interval of B/A, or of B-A for shares
	Ratio       bool    // Low and High are bounds of B/A
	Significant bool    // the interval does not contain "no difference"
}

const (
	// bootstrapRounds is the number of bootstrap samples.
	bootstrapRounds = 2000
	// minSeconds is the shortest run that can be compared, in seconds with requests.
	minSeconds = 5
)

// Compare compares two runs. The interval of each difference comes from a
// bootstrap over whole seconds, because the latencies of requests in one second
// are correlated (B. Efron, "Bootstrap methods: another look at the jackknife",
// 1979). The same reports and seed give the same intervals.
func Compare(a, b *Report, seed uint64) ([]Difference, error) {
	for _, r := range []*Report{a, b} {
		if len(activeSeconds(r)) < minSeconds {
			return nil, fmt.Errorf("compare: a run has requests in only %d seconds, want at least %d", len(activeSeconds(r)), minSeconds)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0x636f6d70617265))
	figures := []struct {
		metric string
		ratio  bool
		of     func(s *sample) float64
	}{
		{"p50 ms", true, func(s *sample) float64 { return s.quantile(0.5) }},
		{"p90 ms", true, func(s *sample) float64 { return s.quantile(0.9) }},
		{"p99 ms", true, func(s *sample) float64 { return s.quantile(0.99) }},
		{"p99.9 ms", true, func(s *sample) float64 { return s.quantile(0.999) }},
		{"mean ms", true, (*sample).mean},
		{"share ok", false, func(s *sample) float64 { return float64(s.ok) / float64(s.due) }},
	}
	sampleA, sampleB := newSample(a), newSample(b)
	all := make([]Difference, len(figures))
	for i, f := range figures {
		all[i] = Difference{Metric: f.metric, Ratio: f.ratio, A: f.of(sampleA), B: f.of(sampleB)}
	}
	draws := make([][]float64, len(figures))
	for range bootstrapRounds {
		sampleA.resample(rng)
		sampleB.resample(rng)
		for i, f := range figures {
			x, y := f.of(sampleA), f.of(sampleB)
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
		d.Low, d.High = draws[i][bootstrapRounds/40], draws[i][bootstrapRounds-1-bootstrapRounds/40]
		noChange := 0.0
		if d.Ratio {
			noChange = 1
		}
		d.Significant = d.Low > noChange || d.High < noChange
	}
	return all, nil
}

// activeSeconds returns the seconds of a run in which requests were due.
func activeSeconds(r *Report) []SecondReport {
	return slices.DeleteFunc(slices.Clone(r.Seconds), func(s SecondReport) bool { return s.Due == 0 })
}

// sample is a histogram of a set of seconds, over the buckets that occur in any
// second of the run.
type sample struct {
	seconds []SecondReport
	buckets [][]bucketCount // by second
	values  []int64         // lowest value of each bucket, µs
	counts  []int64
	total   int64
	ok, due int64
}

type bucketCount struct {
	index int // into values
	count int64
}

// newSample returns a sample with all seconds of r.
func newSample(r *Report) *sample {
	s := &sample{seconds: activeSeconds(r)}
	for i := range s.seconds {
		for v := range s.seconds[i].Buckets {
			s.values = append(s.values, v)
		}
	}
	slices.Sort(s.values)
	s.values = slices.Compact(s.values)
	s.counts = make([]int64, len(s.values))
	for i := range s.seconds {
		var counts []bucketCount
		for v, n := range s.seconds[i].Buckets {
			at, _ := slices.BinarySearch(s.values, v)
			counts = append(counts, bucketCount{at, n})
		}
		s.buckets = append(s.buckets, counts)
	}
	for i := range s.seconds {
		s.add(i)
	}
	return s
}

func (s *sample) add(i int) {
	for _, b := range s.buckets[i] {
		s.counts[b.index] += b.count
		s.total += b.count
	}
	s.ok += s.seconds[i].Outcomes[OK.String()]
	s.due += s.seconds[i].Due
}

// resample replaces the contents with as many seconds as the run has, drawn with
// replacement.
func (s *sample) resample(rng *rand.Rand) {
	clear(s.counts)
	s.total, s.ok, s.due = 0, 0, 0
	for range s.seconds {
		s.add(rng.IntN(len(s.seconds)))
	}
}

// quantile returns a quantile in milliseconds.
func (s *sample) quantile(q float64) float64 {
	want := int64(math.Ceil(q * float64(s.total)))
	for i, n := range s.counts {
		if want -= n; want <= 0 {
			return float64(s.values[i]) / 1000
		}
	}
	return math.NaN()
}

// mean returns the mean in milliseconds.
func (s *sample) mean() float64 {
	sum := 0.0
	for i, n := range s.counts {
		sum += float64(s.values[i]) * float64(n)
	}
	return sum / float64(s.total) / 1000
}

// WriteDifferences writes a table of the differences and returns how many are
// significant.
func WriteDifferences(w io.Writer, all []Difference) (significant int, err error) {
	t := tabwriter.NewWriter(w, 8, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tA\tB\tB vs. A\t95% from\tto\t\t")
	for _, d := range all {
		change, low, high := d.B-d.A, d.Low, d.High
		unit := " points"
		scale := 100.0
		if d.Ratio {
			change, low, high, unit = d.B/d.A-1, d.Low-1, d.High-1, "%"
		}
		note := "within noise"
		if d.Significant {
			significant++
			note = "BEYOND NOISE"
		}
		if math.IsNaN(change) || math.IsInf(change, 0) {
			note = "not available"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.1f%s\t%+.1f\t%+.1f\t%s\t\n", d.Metric, d.A, d.B, scale*change, unit, scale*low, scale*high, note)
	}
	return significant, t.Flush()
}
