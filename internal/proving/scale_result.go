package proving

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"

	"gorselink/internal/capacity"
)

// ScaleResult is a scale run as it is kept in a file.
type ScaleResult struct {
	Experiment string        `json:"experiment"`
	Seed       uint64        `json:"seed"`
	At         time.Time     `json:"at"`
	Cores      int           `json:"cores"`
	Faster     float64       `json:"faster,omitempty"` // than life, of the day
	Sweeps     []SweepResult `json:"sweeps,omitempty"`
	Reals      []Measured    `json:"reals,omitempty"`
	Reloads    []Measured    `json:"reloads,omitempty"`
	Beside     *Measured     `json:"beside,omitempty"`
	Day        *Measured     `json:"day,omitempty"`
}

// Measured is what one size cost. Where the machine was the bottleneck there are no
// costs; what is wanted of every run is told all the same.
type Measured struct {
	At        int                `json:"at,omitempty"` // of a sweep
	Size      Size               `json:"size"`
	Costs     map[string]float64 `json:"costs,omitempty"`
	Void      []string           `json:"void,omitempty"`
	Changes   int                `json:"changes"`
	Unreached int                `json:"unreached"` // subscribers that are there and lack a change at the end, over all changes
	Apart     int                `json:"apart"`     // sidecars that do not have the registry's lists at the end
	Crashed   int                `json:"crashed,omitempty"`
}

// SweepResult is one dimension at all its sizes.
type SweepResult struct {
	Of    string       `json:"of"`
	Sizes []Measured   `json:"sizes"`
	Lines []LineResult `json:"lines"`
}

// LineResult is how a cost grows with a dimension. Slope, its interval and the residuals
// are of all sizes; the prediction of the largest one was made from the smaller half
// before it was run.
type LineResult struct {
	Cost      string    `json:"cost"`
	At0       float64   `json:"at0"`
	Slope     float64   `json:"slope"`
	Low       *float64  `json:"low"`
	High      *float64  `json:"high"`
	Residuals []float64 `json:"residuals"`
	Predicted *float64  `json:"predicted"` // of the largest size; null where the smaller ones are void
	PredLow   *float64  `json:"predicted_low"`
	PredHigh  *float64  `json:"predicted_high"`
	Measured  *float64  `json:"measured"` // null where the largest size is void
	Used      bool      `json:"used"`     // the prediction was at most a fifth off
}

// scaleCosts are the costs that lines are put through, with units, in the order of the
// tables. Those of start and reload are only told.
var scaleCosts = []struct{ name, unit string }{
	{"calls", "calls a second at the registry"},
	{"bytes", "bytes a second, both ways"},
	{"peak", "calls in the fullest 100 ms"},
	{"sidecar_cpu", "thousandths of a core, all sidecars"},
	{"sidecar_memory", "MiB resident, all sidecars"},
	{"registry_cpu", "thousandths of a core, the stand-in registry"},
	{"registry_memory", "MiB resident, the stand-in registry"},
	{"force50", "ms until a change is in force at 50 of 100, median of the changes"},
	{"force99", "ms, at 99 of 100"},
	{"force100", "ms, at all"},
	{"calm_p50", "ms through the whole chain, in calm, half of the requests"},
	{"calm_p99", "ms, 99 of 100"},
}

var toldCosts = []struct{ name, unit string }{
	{"force50_slowest", "ms, at 50 of 100, slowest change"},
	{"force99_slowest", "ms, at 99 of 100, slowest change"},
	{"force100_slowest", "ms, at all, slowest change"},
	{"calm_last", "attempts at the last tier for each request at the first, in calm"},
	{"calm_most", "attempts at the tier that had most, in calm"},
	{"calm_failed", "share that failed, in calm"},
	{"trouble_last", "attempts at the last tier, in trouble"},
	{"trouble_most", "attempts at the tier that had most, in trouble"},
	{"trouble_failed", "share that failed, in trouble"},
	{"after_last", "attempts at the last tier, after it"},
	{"after_most", "attempts at the tier that had most, after it"},
	{"after_failed", "share that failed, after it"},
	{"load_calm_p50", "ms of a request, half of them, in calm"},
	{"load_storm_p50", "ms, in the storm"},
	{"load_diff_p50", "ms, median difference of pairs"},
	{"load_low_p50", "ms, its interval from"},
	{"load_high_p50", "ms, to"},
	{"load_calm_p99", "ms of a request, 99 of 100, in calm"},
	{"load_storm_p99", "ms, in the storm"},
	{"load_diff_p99", "ms, median difference of pairs"},
	{"load_low_p99", "ms, its interval from"},
	{"load_high_p99", "ms, to"},
	{"load_sure", "per cent that the intervals hold with"},
	{"load_failed", "requests that failed"},
	{"start_calls", "calls of the start and of the time before measuring"},
	{"start_bytes", "their bytes"},
	{"busy", "per cent of the whole machine, by whoever"},
	{"reload_ms", "ms a reload"},
	{"reload_cpu_ms", "ms of a core a reload"},
}

func newScaleResult(s *Scale, now time.Time) *ScaleResult {
	r := &ScaleResult{Experiment: s.Name, Seed: s.Seed, At: now.UTC(), Cores: runtime.NumCPU()}
	if s.Day != nil {
		r.Faster = s.Day.Faster()
	}
	return r
}

// voided takes the costs away where the machine was the bottleneck.
func (m *Measured) voided() *Measured {
	if len(m.Void) > 0 {
		m.Costs = nil
	}
	return m
}

func (m *Measured) String() string {
	if len(m.Void) > 0 {
		return "void: " + strings.Join(m.Void, "; ")
	}
	var parts []string
	for _, c := range append(slices.Clone(scaleCosts), toldCosts...) {
		if x, ok := m.Costs[c.name]; ok {
			parts = append(parts, fmt.Sprintf("%s %.4g", c.name, x))
		}
	}
	return strings.Join(parts, ", ") + fmt.Sprintf("; %d changes, %d unreached, %d apart", m.Changes, m.Unreached, m.Apart)
}

// points are a cost at all sizes that are not void.
func (r *SweepResult) points(sizes []Measured, cost string) (all []capacity.Point) {
	for i := range sizes {
		if y, ok := sizes[i].Costs[cost]; ok {
			all = append(all, capacity.Point{X: float64(sizes[i].At), Y: y})
		}
	}
	return all
}

// predict tells the costs of the largest size from the smaller half of all sizes. It is
// called before the largest one is run.
func (r *SweepResult) predict(size int) {
	half := r.Sizes[:capacity.Half(len(r.Sizes)+1)]
	for _, c := range scaleCosts {
		line := LineResult{Cost: c.name}
		if l, err := capacity.Fit(r.points(half, c.name)); err == nil {
			low, high := l.Interval(float64(size))
			line.Predicted, line.PredLow, line.PredHigh = finite(l.At(float64(size))), finite(low), finite(high)
		}
		r.Lines = append(r.Lines, line)
	}
}

// conclude puts the lines through all sizes and the predictions to the test.
func (r *SweepResult) conclude() {
	last := &r.Sizes[len(r.Sizes)-1]
	r.Lines = slices.DeleteFunc(r.Lines, func(l LineResult) bool { return len(r.points(r.Sizes, l.Cost)) < 2 })
	for i := range r.Lines {
		line := &r.Lines[i]
		if l, err := capacity.Fit(r.points(r.Sizes, line.Cost)); err == nil {
			line.At0, line.Slope, line.Low, line.High, line.Residuals = l.At0, l.Slope, finite(l.SlopeLow), finite(l.SlopeHigh), l.Residuals
		}
		if y, ok := last.Costs[line.Cost]; ok && line.Predicted != nil {
			line.Measured = &y
			line.Used = (&capacity.Prediction{Predicted: *line.Predicted, Measured: y}).Holds()
		}
	}
}

// all are all measurements, with what they are of.
func (r *ScaleResult) all(do func(what string, m *Measured)) {
	for i := range r.Sweeps {
		for k := range r.Sweeps[i].Sizes {
			m := &r.Sweeps[i].Sizes[k]
			do(fmt.Sprintf("%s, %d", r.Sweeps[i].Of, m.At), m)
		}
	}
	for i := range r.Reals {
		do(fmt.Sprintf("real, %d services", r.Reals[i].Size.Services), &r.Reals[i])
	}
	for i := range r.Reloads {
		do(fmt.Sprintf("reload, %d services of %d endpoints", r.Reloads[i].Size.Services, r.Reloads[i].Size.Endpoints), &r.Reloads[i])
	}
	if r.Beside != nil {
		do("beside load", r.Beside)
	}
	if r.Day != nil {
		do("day", r.Day)
	}
}

// Broken is what is not as it must be in every run, whatever the machine did.
func (r *ScaleResult) Broken() (lines []string) {
	r.all(func(what string, m *Measured) {
		if m.Apart > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d sidecars do not have the lists at the end", what, m.Apart))
		}
		if m.Crashed > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d processes ended by themselves", what, m.Crashed))
		}
		if m.Unreached > 0 {
			lines = append(lines, fmt.Sprintf("%s: changes have not reached %d subscribers", what, m.Unreached))
		}
	})
	return lines
}

// Void is where the machine was the bottleneck.
func (r *ScaleResult) Void() (lines []string) {
	r.all(func(what string, m *Measured) {
		for _, v := range m.Void {
			lines = append(lines, what+": "+v)
		}
	})
	return lines
}

// WriteFile keeps the result as JSON.
func (r *ScaleResult) WriteFile(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func orDash(x *float64) string {
	if x == nil {
		return "-"
	}
	return number(*x)
}

// WriteTable writes all that was measured as text.
func (r *ScaleResult) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s, seed %d, %d cores\n", r.Experiment, r.Seed, r.Cores)
	for i := range r.Sweeps {
		s := &r.Sweeps[i]
		fmt.Fprintf(tw, "\nby %s", s.Of)
		for k := range s.Sizes {
			fmt.Fprintf(tw, "\t%d", s.Sizes[k].At)
		}
		fmt.Fprint(tw, "\nmachine busy, %")
		for n := range s.Sizes {
			x, ok := s.Sizes[n].Costs["busy"]
			if !ok {
				x = math.NaN()
			}
			fmt.Fprintf(tw, "\t%s", number(x))
		}
		fmt.Fprintf(tw, "\tslope\tinterval\tpredicted\tinterval\tmeasured\tmiss\n")
		for k := range s.Lines {
			l := &s.Lines[k]
			fmt.Fprint(tw, l.Cost)
			for n := range s.Sizes {
				x, ok := s.Sizes[n].Costs[l.Cost]
				if !ok {
					x = math.NaN()
				}
				fmt.Fprintf(tw, "\t%s", number(x))
			}
			fmt.Fprintf(tw, "\t%s\t%s to %s\t%s\t%s to %s\t%s\t%s\n", number(l.Slope), orDash(l.Low), orDash(l.High), orDash(l.Predicted), orDash(l.PredLow), orDash(l.PredHigh), orDash(l.Measured), l.miss())
		}
	}
	for i := range r.Sweeps {
		if s := &r.Sweeps[i]; s.Of == "depth" {
			for k := range s.Sizes {
				fmt.Fprintf(tw, "\ndepth %d: %s", s.Sizes[k].At, &s.Sizes[k])
			}
		}
	}
	fmt.Fprintln(tw)
	if r.Day != nil {
		fmt.Fprintf(tw, "the day was played %.0f times faster than life\n", r.Faster)
	}
	r.all(func(what string, m *Measured) {
		if m.At == 0 {
			fmt.Fprintf(tw, "%s: %s\n", what, m)
		}
	})
	return tw.Flush()
}

func (l *LineResult) miss() string {
	if l.Predicted == nil || l.Measured == nil {
		return "not put to the test"
	}
	p := capacity.Prediction{Predicted: *l.Predicted, Measured: *l.Measured}
	s := fmt.Sprintf("%.0f%%", 100*p.Miss())
	if !l.Used {
		s += ", slope not used"
	}
	return s
}

// WritePage writes the result as a page that needs nothing else: a chart for each cost of
// each sweep, with the line and the prediction of the largest size.
func (r *ScaleResult) WritePage(w io.Writer) error {
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	type drawing struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Name         string
		Table        string
		Broken, Void []string
		Drawings     []drawing
	}{Name: r.Experiment, Table: table.String(), Broken: r.Broken(), Void: r.Void()}
	for i := range r.Sweeps {
		for k := range r.Sweeps[i].Lines {
			l := &r.Sweeps[i].Lines[k]
			svg, err := drawLine(&r.Sweeps[i], l)
			if err != nil {
				return err
			}
			data.Drawings = append(data.Drawings, drawing{l.Cost + " by " + r.Sweeps[i].Of, template.HTML(svg)})
		}
	}
	return scalePage.Execute(w, data)
}

func drawLine(s *SweepResult, l *LineResult) (string, error) {
	p := plot.New()
	p.X.Label.Text = s.Of
	p.Legend.Top, p.Legend.Left = true, true
	for _, c := range scaleCosts {
		if c.name == l.Cost {
			p.Y.Label.Text, _, _ = strings.Cut(c.unit, ",")
		}
	}
	var points plotter.XYs
	for _, x := range s.points(s.Sizes, l.Cost) {
		points = append(points, plotter.XY(x))
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: l.At0}, {X: points[len(points)-1].X, Y: l.At0 + l.Slope*points[len(points)-1].X}})
	if err != nil {
		return "", err
	}
	p.Add(dots, line)
	p.Legend.Add("measured", dots)
	p.Legend.Add("line", line)
	if l.Predicted != nil {
		at, err := plotter.NewScatter(plotter.XYs{{X: float64(s.Sizes[len(s.Sizes)-1].At), Y: *l.Predicted}})
		if err != nil {
			return "", err
		}
		at.Shape, at.Radius = vgdraw.CrossGlyph{}, vg.Points(5)
		p.Add(at)
		p.Legend.Add("predicted", at)
	}
	p.X.Min, p.Y.Min = 0, min(0, p.Y.Min)
	return drawn(p, 14*vg.Centimeter)
}

var scalePage = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}pre{overflow-x:auto;background:#f4f4f4;padding:1em}h2{font-size:1.1em}</style></head>
<body><h1>{{.Name}}</h1>
<pre>{{.Table}}</pre>
{{range .Void}}<p>Void: {{.}}</p>{{end}}{{range .Broken}}<p>Not kept: {{.}}</p>{{end}}
{{range .Drawings}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))
