package experiment

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

// ScaleResult is the result of a scale run, written as JSON.
type ScaleResult struct {
	Experiment      string        `json:"experiment"`
	Seed            uint64        `json:"seed"`
	At              time.Time     `json:"at"`
	Cores           int           `json:"cores"`
	Speedup         float64       `json:"faster,omitempty"` // of the simulated day
	Sweeps          []SweepResult `json:"sweeps,omitempty"`
	RealSidecars    []Measured    `json:"reals,omitempty"`
	Reloads         []Measured    `json:"reloads,omitempty"`
	BackgroundChurn *Measured     `json:"beside,omitempty"`
	Day             *Measured     `json:"day,omitempty"`
}

// Measured is the measurement of one size. A void measurement has no costs, but its other
// fields are set.
type Measured struct {
	At        int                `json:"at,omitempty"` // the size within its sweep
	Size      Size               `json:"size"`
	Costs     map[string]float64 `json:"costs,omitempty"`
	Void      []string           `json:"void,omitempty"`
	Changes   int                `json:"changes"`
	Unreached int                `json:"unreached"` // connected subscribers that lack a change at the end, summed over all changes
	OutOfSync int                `json:"apart"`     // sidecars with lists that differ from the registry's at the end
	Crashed   int                `json:"crashed,omitempty"`
}

// SweepResult is the result of a sweep.
type SweepResult struct {
	Dimension string       `json:"of"`
	Sizes     []Measured   `json:"sizes"`
	Lines     []LineResult `json:"lines"`
}

// LineResult is a linear fit of a cost over a dimension. Slope, its interval and the residuals
// use all sizes. The prediction of the largest size uses the smaller half, and is made before
// the largest size is measured.
type LineResult struct {
	Cost          string    `json:"cost"`
	Intercept     float64   `json:"at0"`
	Slope         float64   `json:"slope"`
	Low           *float64  `json:"low"`
	High          *float64  `json:"high"`
	Residuals     []float64 `json:"residuals"`
	Predicted     *float64  `json:"predicted"` // cost at the largest size; null if the smaller sizes are void
	PredictedLow  *float64  `json:"predicted_low"`
	PredictedHigh *float64  `json:"predicted_high"`
	Measured      *float64  `json:"measured"` // null if the largest size is void
	Used          bool      `json:"used"`     // true if the prediction is within capacity.PredictionTolerance
}

// fittedCosts are the costs that get a linear fit, with their units, in the order of the tables.
var fittedCosts = []struct{ name, unit string }{
	{"calls", "calls per second at the registry"},
	{"bytes", "bytes per second, both directions"},
	{"peak", "calls in the busiest 100 ms"},
	{"sidecar_cpu", "thousandths of a core, all sidecars"},
	{"sidecar_memory", "MiB resident, all sidecars"},
	{"registry_cpu", "thousandths of a core, the fake registry"},
	{"registry_memory", "MiB resident, the fake registry"},
	{"force50", "ms until a change reaches 50% of the sidecars, median over changes"},
	{"force99", "ms, 99% of the sidecars"},
	{"force100", "ms, all sidecars"},
	{"calm_p50", "ms through the whole chain without overload, median"},
	{"calm_p99", "ms, 99th percentile"},
}

var unfittedCosts = []struct{ name, unit string }{
	{"force50_slowest", "ms until the slowest change reaches 50% of the sidecars"},
	{"force99_slowest", "ms, 99% of the sidecars, slowest change"},
	{"force100_slowest", "ms, all sidecars, slowest change"},
	{"calm_last", "attempts at the last tier per request at the first, without overload"},
	{"calm_most", "attempts at the tier with the most, without overload"},
	{"calm_failed", "share of failed requests, without overload"},
	{"trouble_last", "attempts at the last tier, during overload"},
	{"trouble_most", "attempts at the tier with the most, during overload"},
	{"trouble_failed", "share of failed requests, during overload"},
	{"after_last", "attempts at the last tier, after recovery"},
	{"after_most", "attempts at the tier with the most, after recovery"},
	{"after_failed", "share of failed requests, after recovery"},
	{"load_calm_p50", "median latency in ms, calm windows"},
	{"load_storm_p50", "ms, windows with changes"},
	{"load_diff_p50", "ms, median difference within pairs"},
	{"load_low_p50", "ms, lower bound of the interval"},
	{"load_high_p50", "ms, upper bound"},
	{"load_calm_p99", "99th percentile of latency in ms, calm windows"},
	{"load_storm_p99", "ms, windows with changes"},
	{"load_diff_p99", "ms, median difference within pairs"},
	{"load_low_p99", "ms, lower bound of the interval"},
	{"load_high_p99", "ms, upper bound"},
	{"load_sure", "confidence of the intervals in per cent"},
	{"load_failed", "requests that failed"},
	{"start_calls", "calls during the start and the settle time"},
	{"start_bytes", "bytes of these calls"},
	{"busy", "per cent of the machine's CPU time, by all programs"},
	{"reload_ms", "ms per reload"},
	{"reload_cpu_ms", "CPU ms per reload"},
}

func newScaleResult(s *ScaleExperiment, now time.Time) *ScaleResult {
	r := &ScaleResult{Experiment: s.Name, Seed: s.Seed, At: now.UTC(), Cores: runtime.NumCPU()}
	if s.Day != nil {
		r.Speedup = s.Day.Speedup()
	}
	return r
}

// withoutVoidCosts removes the costs from m if the measurement is void. It returns m.
func (m *Measured) withoutVoidCosts() *Measured {
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
	for _, c := range append(slices.Clone(fittedCosts), unfittedCosts...) {
		if x, ok := m.Costs[c.name]; ok {
			parts = append(parts, fmt.Sprintf("%s %.4g", c.name, x))
		}
	}
	return strings.Join(parts, ", ") + fmt.Sprintf("; %d changes, %d deliveries missing, %d sidecars out of sync", m.Changes, m.Unreached, m.OutOfSync)
}

// costPoints returns the values of a cost at the sizes that are not void.
func (r *SweepResult) costPoints(sizes []Measured, cost string) (all []capacity.Point) {
	for i := range sizes {
		if y, ok := sizes[i].Costs[cost]; ok {
			all = append(all, capacity.Point{X: float64(sizes[i].At), Y: y})
		}
	}
	return all
}

// predict predicts the costs of the largest size from the smaller half of the sizes, before the
// largest one is measured.
func (r *SweepResult) predict(size int) {
	half := r.Sizes[:capacity.SmallerHalf(len(r.Sizes)+1)]
	for _, c := range fittedCosts {
		line := LineResult{Cost: c.name}
		if l, err := capacity.Fit(r.costPoints(half, c.name)); err == nil {
			low, high := l.PredictionInterval(float64(size))
			line.Predicted, line.PredictedLow, line.PredictedHigh = finiteOrNil(l.Predict(float64(size))), finiteOrNil(low), finiteOrNil(high)
		}
		r.Lines = append(r.Lines, line)
	}
}

// fitLines fits the lines to all sizes and compares the predictions with the measurements.
func (r *SweepResult) fitLines() {
	last := &r.Sizes[len(r.Sizes)-1]
	r.Lines = slices.DeleteFunc(r.Lines, func(l LineResult) bool { return len(r.costPoints(r.Sizes, l.Cost)) < 2 })
	for i := range r.Lines {
		line := &r.Lines[i]
		if l, err := capacity.Fit(r.costPoints(r.Sizes, line.Cost)); err == nil {
			line.Intercept, line.Slope, line.Low, line.High, line.Residuals = l.Intercept, l.Slope, finiteOrNil(l.SlopeLow), finiteOrNil(l.SlopeHigh), l.Residuals
		}
		if y, ok := last.Costs[line.Cost]; ok && line.Predicted != nil {
			line.Measured = &y
			line.Used = (&capacity.Prediction{Predicted: *line.Predicted, Measured: y}).WithinTolerance()
		}
	}
}

// forEach calls do with each measurement and its name.
func (r *ScaleResult) forEach(do func(what string, m *Measured)) {
	for i := range r.Sweeps {
		for k := range r.Sweeps[i].Sizes {
			m := &r.Sweeps[i].Sizes[k]
			do(fmt.Sprintf("%s, %d", r.Sweeps[i].Dimension, m.At), m)
		}
	}
	for i := range r.RealSidecars {
		do(fmt.Sprintf("real, %d services", r.RealSidecars[i].Size.Services), &r.RealSidecars[i])
	}
	for i := range r.Reloads {
		do(fmt.Sprintf("reload, %d services of %d endpoints", r.Reloads[i].Size.Services, r.Reloads[i].Size.Endpoints), &r.Reloads[i])
	}
	if r.BackgroundChurn != nil {
		do("background churn", r.BackgroundChurn)
	}
	if r.Day != nil {
		do("day", r.Day)
	}
}

// Violations lists the requirements of every scale run that are not met.
func (r *ScaleResult) Violations() (lines []string) {
	r.forEach(func(what string, m *Measured) {
		if m.OutOfSync > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d sidecars do not have the registry's lists at the end", what, m.OutOfSync))
		}
		if m.Crashed > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d processes exited unexpectedly", what, m.Crashed))
		}
		if m.Unreached > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d deliveries of changes to subscribers are missing", what, m.Unreached))
		}
	})
	return lines
}

// Void lists the measurements for which the machine was the bottleneck.
func (r *ScaleResult) Void() (lines []string) {
	r.forEach(func(what string, m *Measured) {
		for _, v := range m.Void {
			lines = append(lines, what+": "+v)
		}
	})
	return lines
}

// WriteFile writes the result as JSON.
func (r *ScaleResult) WriteFile(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func formatOptional(x *float64) string {
	if x == nil {
		return "-"
	}
	return formatNumber(*x)
}

// WriteTable writes all measurements as a text table.
func (r *ScaleResult) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s, seed %d, %d cores\n", r.Experiment, r.Seed, r.Cores)
	for i := range r.Sweeps {
		s := &r.Sweeps[i]
		fmt.Fprintf(tw, "\nby %s", s.Dimension)
		for k := range s.Sizes {
			fmt.Fprintf(tw, "\t%d", s.Sizes[k].At)
		}
		fmt.Fprint(tw, "\nmachine busy, %")
		for n := range s.Sizes {
			x, ok := s.Sizes[n].Costs["busy"]
			if !ok {
				x = math.NaN()
			}
			fmt.Fprintf(tw, "\t%s", formatNumber(x))
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
				fmt.Fprintf(tw, "\t%s", formatNumber(x))
			}
			fmt.Fprintf(tw, "\t%s\t%s to %s\t%s\t%s to %s\t%s\t%s\n", formatNumber(l.Slope), formatOptional(l.Low), formatOptional(l.High), formatOptional(l.Predicted), formatOptional(l.PredictedLow), formatOptional(l.PredictedHigh), formatOptional(l.Measured), l.missText())
		}
	}
	for i := range r.Sweeps {
		if s := &r.Sweeps[i]; s.Dimension == "depth" {
			for k := range s.Sizes {
				fmt.Fprintf(tw, "\ndepth %d: %s", s.Sizes[k].At, &s.Sizes[k])
			}
		}
	}
	fmt.Fprintln(tw)
	if r.Day != nil {
		fmt.Fprintf(tw, "simulated day: %.0f times real time\n", r.Speedup)
	}
	r.forEach(func(what string, m *Measured) {
		if m.At == 0 {
			fmt.Fprintf(tw, "%s: %s\n", what, m)
		}
	})
	return tw.Flush()
}

// missText returns the relative error of the prediction, and whether the slope is used.
func (l *LineResult) missText() string {
	if l.Predicted == nil || l.Measured == nil {
		return "not tested"
	}
	p := capacity.Prediction{Predicted: *l.Predicted, Measured: *l.Measured}
	s := fmt.Sprintf("%.0f%%", 100*p.RelativeError())
	if !l.Used {
		s += ", slope not used"
	}
	return s
}

// WritePage writes the result as a self-contained HTML page, with a chart for each cost of each
// sweep.
func (r *ScaleResult) WritePage(w io.Writer) error {
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	type chart struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Name             string
		Table            string
		Violations, Void []string
		Charts           []chart
	}{Name: r.Experiment, Table: table.String(), Violations: r.Violations(), Void: r.Void()}
	for i := range r.Sweeps {
		for k := range r.Sweeps[i].Lines {
			l := &r.Sweeps[i].Lines[k]
			svg, err := drawFit(&r.Sweeps[i], l)
			if err != nil {
				return err
			}
			data.Charts = append(data.Charts, chart{l.Cost + " by " + r.Sweeps[i].Dimension, template.HTML(svg)})
		}
	}
	return scalePage.Execute(w, data)
}

// drawFit draws the measured costs, the fitted line and the prediction of a sweep.
func drawFit(s *SweepResult, l *LineResult) (string, error) {
	p := plot.New()
	p.X.Label.Text = s.Dimension
	p.Legend.Top, p.Legend.Left = true, true
	for _, c := range fittedCosts {
		if c.name == l.Cost {
			p.Y.Label.Text, _, _ = strings.Cut(c.unit, ",")
		}
	}
	var points plotter.XYs
	for _, x := range s.costPoints(s.Sizes, l.Cost) {
		points = append(points, plotter.XY(x))
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: l.Intercept}, {X: points[len(points)-1].X, Y: l.Intercept + l.Slope*points[len(points)-1].X}})
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
	return renderSVG(p, 14*vg.Centimeter)
}

var scalePage = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}pre{overflow-x:auto;background:#f4f4f4;padding:1em}h2{font-size:1.1em}</style></head>
<body><h1>{{.Name}}</h1>
<pre>{{.Table}}</pre>
{{range .Void}}<p>Void: {{.}}</p>{{end}}{{range .Violations}}<p>Not met: {{.}}</p>{{end}}
{{range .Charts}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))
