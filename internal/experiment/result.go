package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gorselink/internal/load"
)

// Result is the result of one run of one build, written as JSON.
type Result struct {
	Experiment    string         `json:"experiment"`
	Build         string         `json:"build"`
	Turn          int            `json:"turn"`
	Seed          uint64         `json:"seed"`
	At            time.Time      `json:"at"`
	Figures       []Figure       `json:"figures"`  // of the file's expectations, followed by the standing ones
	Outcomes      map[string]int `json:"outcomes"` // number of requests by outcome
	Void          []string       `json:"void,omitempty"`
	EventErrors   []string       `json:"faults,omitempty"`
	Crashes       []string       `json:"crashes,omitempty"`
	DrainFailures []string       `json:"drains,omitempty"`
	Failures      []Failure      `json:"failures,omitempty"` // the first maxFailures
	LostRequests  []LostRequest  `json:"lost,omitempty"`
	Seconds       []Second       `json:"seconds"`
}

// Failure is a request that got no response, or one with a status of 400 or above.
type Failure struct {
	Due      float64 `json:"due_s"`
	Took     float64 `json:"took_s"`
	Stream   string  `json:"stream"`
	Instance int     `json:"instance"`
	Outcome  string  `json:"how"`
}

// maxFailures bounds the failures that a result lists.
const maxFailures = 200

// Figure is the value of a measure in one run, with the bounds that the experiment expects.
type Figure struct {
	Name  string   `json:"what"`
	Value *float64 `json:"value"` // null if there was nothing to measure
	Min   *float64 `json:"least,omitempty"`
	Max   *float64 `json:"most,omitempty"`
}

// Met reports whether the value is within its bounds. It is false without a value.
func (f *Figure) Met() bool {
	return f.Value != nil && (f.Min == nil || *f.Value >= *f.Min) && (f.Max == nil || *f.Value <= *f.Max)
}

func (f *Figure) bounds() string {
	switch {
	case f.Min != nil && f.Max != nil:
		return fmt.Sprintf("%.4g to %.4g", *f.Min, *f.Max)
	case f.Min != nil:
		return fmt.Sprintf("at least %.4g", *f.Min)
	case f.Max != nil:
		return fmt.Sprintf("at most %.4g", *f.Max)
	}
	return ""
}

// Second holds the measures of one second of a run.
type Second struct {
	Requests int                `json:"requests"`
	Failed   int                `json:"failed"`
	P50      float64            `json:"p50_ms"`
	P99      float64            `json:"p99_ms"`
	Shares   map[string]float64 `json:"shares"` // ratio to the fair share, by group of nodes
}

// Result computes the result of a run.
func (r *Record) Result(build string, turn int) *Result {
	res := &Result{Experiment: r.experiment.Name, Build: build, Turn: turn, Seed: r.Seed, At: r.startedAt.UTC(), Outcomes: map[string]int{}, Void: r.Void, EventErrors: r.EventErrors, Crashes: r.Crashes, DrainFailures: r.DrainFailures, LostRequests: r.LostRequests}
	for _, w := range append(slices.Clone(r.experiment.Expectations), standingExpectations...) {
		res.Figures = append(res.Figures, Figure{Name: w.String(), Value: finiteOrNil(r.Value(&w)), Min: finiteOrNil(w.Min), Max: finiteOrNil(w.Max)})
	}
	for _, x := range r.endings {
		res.Outcomes[x.Outcome.String()]++
		if x.Outcome != load.OK && len(res.Failures) < maxFailures {
			res.Failures = append(res.Failures, Failure{x.Due.Seconds(), (x.Ended - x.Due).Seconds(), r.experiment.Streams[x.Stream].Name, x.Target, x.Outcome.String()})
		}
	}
	for at := time.Duration(0); at+time.Second <= r.experiment.Duration; at += time.Second {
		w := Window{From: at, To: at + time.Second}
		c := &selection{record: r, Window: w, stream: -1, nodes: r.experiment.lookupGroup(string(KindNodes), KindNodes)}
		s := Second{Requests: len(c.endings()), Failed: int(measures["failed"].compute(c)), Shares: map[string]float64{}}
		if s.Requests > 0 {
			s.P50, s.P99 = c.quantile(0.5), c.quantile(0.99)
		}
		for i := range r.experiment.Groups {
			if g := &r.experiment.Groups[i]; g.Kind == KindNodes && g.Name != string(KindNodes) {
				c.nodes = g
				if x := c.fairShareRatio(); !math.IsNaN(x) {
					s.Shares[g.Name] = x
				}
			}
		}
		res.Seconds = append(res.Seconds, s)
	}
	return res
}

func finiteOrNil(x float64) *float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return nil
	}
	return &x
}

// Violations lists the expectations that are not met, and all other errors.
func (res *Result) Violations() (all []string) {
	for i := range res.Figures {
		if f := &res.Figures[i]; !f.Met() {
			got := "no value"
			if f.Value != nil {
				got = fmt.Sprintf("%.4g", *f.Value)
			}
			all = append(all, fmt.Sprintf("%s: %s, want %s", f.Name, got, f.bounds()))
		}
	}
	all = append(all, res.EventErrors...)
	all = append(all, res.Crashes...)
	return append(all, res.DrainFailures...)
}

// WriteFile writes the result as JSON.
func (res *Result) WriteFile(path string) error {
	text, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Row is one figure over all runs.
type Row struct {
	Name      string
	Bounds    string
	Medians   []float64 // by build; NaN without values
	MetCounts []int     // number of runs within bounds, by build
	Runs      int
	// The difference of the last build from the first, over paired runs; only with several
	// builds.
	HasDifference    bool
	MedianDifference float64
	Low, High        float64 // bounds of the interval that holds the median difference with Confidence
	Confidence       float64
}

// IsSignificant reports whether the interval excludes a difference of 0.
func (r *Row) IsSignificant() bool {
	return r.HasDifference && r.Confidence >= minConfidence && (r.Low > 0 || r.High < 0)
}

// minConfidence is the least confidence of a significant difference. It takes at least six
// pairs.
const minConfidence = 0.95

// Compare compares the runs of several builds. Runs with the same turn are a pair, as they use
// the same random numbers. The interval of the median difference is that of the sign test
// (order statistics of the pairs), which assumes no distribution.
func Compare(builds []string, results []*Result) (rows []Row) {
	if len(results) == 0 {
		return nil
	}
	for k := range results[0].Figures {
		row := Row{Name: results[0].Figures[k].Name, Bounds: results[0].Figures[k].bounds()}
		values := make([]map[int]float64, len(builds))
		for i, b := range builds {
			values[i] = map[int]float64{}
			met := 0
			var all []float64
			for _, res := range results {
				if res.Build != b {
					continue
				}
				f := &res.Figures[k]
				if f.Met() {
					met++
				}
				if f.Value != nil {
					values[i][res.Turn] = *f.Value
					all = append(all, *f.Value)
				}
				row.Runs = max(row.Runs, res.Turn+1)
			}
			row.Medians, row.MetCounts = append(row.Medians, median(all)), append(row.MetCounts, met)
		}
		if len(builds) > 1 {
			var diffs []float64
			for turn, a := range values[0] {
				if b, ok := values[len(builds)-1][turn]; ok {
					diffs = append(diffs, b-a)
				}
			}
			if len(diffs) > 0 {
				slices.Sort(diffs)
				row.HasDifference, row.MedianDifference = true, median(diffs)
				row.Low, row.High, row.Confidence = signInterval(diffs)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	all = slices.Sorted(slices.Values(all))
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

// signInterval returns the narrowest interval of order statistics that holds the median with
// minConfidence, or the widest one if none does, with its confidence. all must be sorted.
func signInterval(all []float64) (low, high, confidence float64) {
	n := len(all)
	tail := math.Pow(0.5, float64(n)) // probability that the median is below all[k]
	term, k := tail, 0
	for 2*k+2 < n {
		next := term * float64(n-k) / float64(k+1)
		if 1-2*(tail+next) < minConfidence {
			break
		}
		term, tail, k = next, tail+next, k+1
	}
	return all[k], all[n-1-k], 1 - 2*tail
}

// WriteTable writes rows as a text table.
func WriteTable(w io.Writer, builds []string, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "measure\texpected\t%s", strings.Join(builds, "\t"))
	if len(builds) > 1 {
		fmt.Fprintf(tw, "\tdifference\tinterval")
	}
	fmt.Fprintln(tw)
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s", r.Name, r.Bounds)
		for i, m := range r.Medians {
			fmt.Fprintf(tw, "\t%s", formatNumber(m))
			if r.MetCounts[i] < r.Runs {
				fmt.Fprintf(tw, " (met in %d of %d)", r.MetCounts[i], r.Runs)
			}
		}
		if r.HasDifference {
			fmt.Fprintf(tw, "\t%+.3g\t%.3g to %.3g, confidence %.0f%%", r.MedianDifference, r.Low, r.High, 100*r.Confidence)
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

func formatNumber(x float64) string {
	if math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3g", x)
}
