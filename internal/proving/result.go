package proving

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

// Result is one play of one build, as it is kept in a file.
type Result struct {
	Experiment string         `json:"experiment"`
	Build      string         `json:"build"`
	Turn       int            `json:"turn"`
	Seed       uint64         `json:"seed"`
	At         time.Time      `json:"at"`
	Figures    []Figure       `json:"figures"`  // in the order of the file's wants, then of what is always wanted
	Outcomes   map[string]int `json:"outcomes"` // of all requests, by how they ended
	Void       []string       `json:"void,omitempty"`
	Faults     []string       `json:"faults,omitempty"`
	Crashes    []string       `json:"crashes,omitempty"`
	Drains     []string       `json:"drains,omitempty"`
	Failures   []Failure      `json:"failures,omitempty"` // the first of them
	Seconds    []Second       `json:"seconds"`
}

// Failure is a request that was not answered below 400.
type Failure struct {
	Due      float64 `json:"due_s"`
	Took     float64 `json:"took_s"`
	Stream   string  `json:"stream"`
	Instance int     `json:"instance"`
	How      string  `json:"how"`
}

// mostFailures is how many are kept of a play.
const mostFailures = 200

// Figure is a measure and what is wanted of it.
type Figure struct {
	What  string   `json:"what"`
	Value *float64 `json:"value"` // null of nothing: no request in the window
	Least *float64 `json:"least,omitempty"`
	Most  *float64 `json:"most,omitempty"`
}

// Kept tells whether the value is what is wanted. A measure of nothing is not.
func (f *Figure) Kept() bool {
	return f.Value != nil && (f.Least == nil || *f.Value >= *f.Least) && (f.Most == nil || *f.Value <= *f.Most)
}

func (f *Figure) bounds() string {
	switch {
	case f.Least != nil && f.Most != nil:
		return fmt.Sprintf("%.4g to %.4g", *f.Least, *f.Most)
	case f.Least != nil:
		return fmt.Sprintf("%.4g at least", *f.Least)
	case f.Most != nil:
		return fmt.Sprintf("%.4g at most", *f.Most)
	}
	return ""
}

// Second is one second of a play.
type Second struct {
	Requests int                `json:"requests"`
	Failed   int                `json:"failed"`
	P50      float64            `json:"p50_ms"`
	P99      float64            `json:"p99_ms"`
	Shares   map[string]float64 `json:"shares"` // by group of nodes, over the fair one
}

// Result is what is kept of a Record.
func (r *Record) Result(build string, turn int) *Result {
	res := &Result{Experiment: r.e.Name, Build: build, Turn: turn, Seed: r.Seed, At: r.start.UTC(), Outcomes: map[string]int{}, Void: r.Void, Faults: r.EventErrors, Crashes: r.Crashes, Drains: r.DrainFailures}
	for _, w := range append(slices.Clone(r.e.Wants), always...) {
		res.Figures = append(res.Figures, Figure{What: w.String(), Value: finite(r.Value(&w)), Least: finite(w.Least), Most: finite(w.Most)})
	}
	for _, x := range r.endings {
		res.Outcomes[x.How.String()]++
		if x.How != load.OK && len(res.Failures) < mostFailures {
			res.Failures = append(res.Failures, Failure{x.Due.Seconds(), (x.Ended - x.Due).Seconds(), r.e.Streams[x.Stream].Name, x.Target, x.How.String()})
		}
	}
	for at := time.Duration(0); at+time.Second <= r.e.Span; at += time.Second {
		w := Window{From: at, To: at + time.Second}
		c := &cut{r: r, Window: w, stream: -1, group: r.e.group(string(KindNodes), KindNodes)}
		s := Second{Requests: len(c.endings()), Failed: int(measures["failed"].of(c)), Shares: map[string]float64{}}
		if s.Requests > 0 {
			s.P50, s.P99 = c.quantile(0.5), c.quantile(0.99)
		}
		for i := range r.e.Groups {
			if g := &r.e.Groups[i]; g.Of == KindNodes && g.Name != string(KindNodes) {
				c.group = g
				if x := c.share(); !math.IsNaN(x) {
					s.Shares[g.Name] = x
				}
			}
		}
		res.Seconds = append(res.Seconds, s)
	}
	return res
}

func finite(x float64) *float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return nil
	}
	return &x
}

// Broken is what of the wants is not kept, and what else went wrong.
func (res *Result) Broken() (all []string) {
	for i := range res.Figures {
		if f := &res.Figures[i]; !f.Kept() {
			got := "nothing to measure"
			if f.Value != nil {
				got = fmt.Sprintf("%.4g", *f.Value)
			}
			all = append(all, fmt.Sprintf("%s: %s, want %s", f.What, got, f.bounds()))
		}
	}
	all = append(all, res.Faults...)
	all = append(all, res.Crashes...)
	return append(all, res.Drains...)
}

// WriteFile keeps the result as JSON.
func (res *Result) WriteFile(path string) error {
	text, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Row is one figure over all plays.
type Row struct {
	What   string
	Bounds string
	Median []float64 // by build; NaN of nothing
	Kept   []int     // plays in which it was kept, by build
	Plays  int
	// Of the last build less the first one, over plays that were paired; with one build
	// there is none.
	Paired    bool
	Diff      float64 // median of the pairs
	Low, High float64 // an interval that holds the median difference with Sure
	Sure      float64
}

// Beyond tells that the interval leaves out no difference.
func (r *Row) Beyond() bool {
	return r.Paired && r.Sure >= leastSure && (r.Low > 0 || r.High < 0)
}

// leastSure is what an interval has to hold with before a difference is called one: six
// pairs at least.
const leastSure = 0.95

// Compare puts the plays of builds beside each other. Plays of one turn are a pair: they
// drew the same and followed one another. The interval of the median difference is that
// of the sign test (order statistics of the pairs), which supposes nothing of how
// differences are spread; with few pairs it is wide and says how sure it is.
func Compare(builds []string, results []*Result) (rows []Row) {
	if len(results) == 0 {
		return nil
	}
	for k := range results[0].Figures {
		row := Row{What: results[0].Figures[k].What, Bounds: results[0].Figures[k].bounds()}
		values := make([]map[int]float64, len(builds))
		for i, b := range builds {
			values[i] = map[int]float64{}
			kept := 0
			var all []float64
			for _, res := range results {
				if res.Build != b {
					continue
				}
				f := &res.Figures[k]
				if f.Kept() {
					kept++
				}
				if f.Value != nil {
					values[i][res.Turn] = *f.Value
					all = append(all, *f.Value)
				}
				row.Plays = max(row.Plays, res.Turn+1)
			}
			row.Median, row.Kept = append(row.Median, median(all)), append(row.Kept, kept)
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
				row.Paired, row.Diff = true, median(diffs)
				row.Low, row.High, row.Sure = signInterval(diffs)
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

// signInterval is the narrowest interval of order statistics that holds the median with
// leastSure, or the widest there is and how sure that is. all is sorted.
func signInterval(all []float64) (low, high, sure float64) {
	n := len(all)
	tail := math.Pow(0.5, float64(n)) // chance that the median is below the k+1 lowest
	term, k := tail, 0
	for 2*k+2 < n {
		next := term * float64(n-k) / float64(k+1)
		if 1-2*(tail+next) < leastSure {
			break
		}
		term, tail, k = next, tail+next, k+1
	}
	return all[k], all[n-1-k], 1 - 2*tail
}

// WriteTable writes rows as text.
func WriteTable(w io.Writer, builds []string, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "measure\twanted\t%s", strings.Join(builds, "\t"))
	if len(builds) > 1 {
		fmt.Fprintf(tw, "\tdifference\tinterval")
	}
	fmt.Fprintln(tw)
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s", r.What, r.Bounds)
		for i, m := range r.Median {
			fmt.Fprintf(tw, "\t%s", number(m))
			if r.Kept[i] < r.Plays {
				fmt.Fprintf(tw, " (kept in %d of %d)", r.Kept[i], r.Plays)
			}
		}
		if r.Paired {
			fmt.Fprintf(tw, "\t%+.3g\t%.3g to %.3g, sure to %.0f%%", r.Diff, r.Low, r.High, 100*r.Sure)
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

func number(x float64) string {
	if math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3g", x)
}
