package load

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteHTML writes the report as a self-contained HTML page without scripts. The
// charts are SVG.
func (rep *Report) WriteHTML(w io.Writer) error {
	latency, err := rep.Latency.Decode()
	if err != nil {
		return err
	}
	service, err := rep.Service.Decode()
	if err != nil {
		return err
	}
	generatorDelay, err := rep.GeneratorDelay.Decode()
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := rep.WriteText(&text); err != nil {
		return err
	}
	return page.Execute(w, struct {
		Report *Report
		Text   string
		Charts []chart
	}{rep, text.String(), []chart{
		rep.latencyChart(),
		spectrumChart([]line{spectrumLine("latency", "due", latency), spectrumLine("service time, first attempt", "service", service), spectrumLine("generator delay", "own", generatorDelay)}),
		rep.rateChart(),
	}})
}

// line is a data series of a chart, in data units.
type line struct {
	Name, Class string
	X, Y        []float64
	Stepped     bool // each value holds until the next point
}

// chart is a rendered chart.
type chart struct {
	Title, Caption string
	Lines          []curve
	XTicks         []tick
	YTicks         []tick
}

type curve struct {
	Name, Class, Points string
	LegendX             float64
}

type tick struct {
	At   float64
	Text string
}

// Size of the plot area in pixels; the ticks lie in the margins.
const (
	chartWidth  = 800.0
	chartHeight = 240.0
	legendWidth = 160.0
	maxPoints   = 2000 // per line, about the resolution of a screen
)

// scale maps values to pixels.
type scale struct {
	low, high float64
	log       bool
	length    float64
}

func (s scale) at(v float64) float64 {
	low, high := s.low, s.high
	if s.log {
		v, low, high = math.Log10(max(v, s.low)), math.Log10(low), math.Log10(high)
	}
	if high <= low {
		return 0
	}
	return s.length * (min(max(v, low), high) - low) / (high - low)
}

// logAxis returns the scale and ticks of a logarithmic axis over all positive
// values of the lines.
func logAxis(lines []line, length float64) (scale, []tick) {
	low, high := math.Inf(1), 0.0
	for _, l := range lines {
		for _, y := range l.Y {
			if y > 0 {
				low, high = min(low, y), max(high, y)
			}
		}
	}
	if high == 0 {
		low, high = 1, 1
	}
	s := scale{low: math.Pow(10, math.Floor(math.Log10(low))), high: math.Pow(10, math.Ceil(math.Log10(high))), log: true, length: length}
	if s.high <= s.low {
		s.high = 10 * s.low
	}
	var ticks []tick
	for v := s.low; v <= s.high*1.001; v *= 10 {
		ticks = append(ticks, tick{s.at(v), fmt.Sprintf("%g", v)})
	}
	return s, ticks
}

// linearAxis returns the scale and about five round ticks from 0 to high.
func linearAxis(high, length float64) (scale, []tick) {
	high = cmp.Or(high, 1)
	step := math.Pow(10, math.Floor(math.Log10(high)))
	for _, k := range []float64{0.2, 0.5, 1, 2} {
		if high/(step*k) <= 6 {
			step *= k
			break
		}
	}
	s := scale{high: high, length: length}
	var ticks []tick
	for v := 0.0; v <= high*1.001; v += step {
		ticks = append(ticks, tick{s.at(v), fmt.Sprintf("%g", math.Round(v*1e6)/1e6)})
	}
	return s, ticks
}

func newChart(title, under string, lines []line, x, y scale, xTicks, yTicks []tick) chart {
	c := chart{Title: title, Caption: under, XTicks: xTicks}
	for _, t := range yTicks {
		c.YTicks = append(c.YTicks, tick{chartHeight - t.At, t.Text})
	}
	for i, l := range lines {
		var b strings.Builder
		stride := len(l.X)/maxPoints + 1
		last := 0.0
		for k := range l.X {
			if k%stride != 0 && k != len(l.X)-1 {
				continue
			}
			px, py := x.at(l.X[k]), chartHeight-y.at(l.Y[k])
			if l.Stepped && k > 0 {
				fmt.Fprintf(&b, "%.1f,%.1f ", px, last)
			}
			fmt.Fprintf(&b, "%.1f,%.1f ", px, py)
			last = py
		}
		if l.Stepped && len(l.X) > 0 {
			fmt.Fprintf(&b, "%.1f,%.1f", x.at(l.X[len(l.X)-1]+1), last)
		}
		c.Lines = append(c.Lines, curve{l.Name, l.Class, strings.TrimSpace(b.String()), float64(i) * legendWidth})
	}
	return c
}

// latencyChart shows the latency of the requests that were due in each second.
func (rep *Report) latencyChart() chart {
	lines := []line{{Name: "max", Class: "max"}, {Name: "p99", Class: "due"}, {Name: "p50", Class: "service"}}
	for i := range rep.Seconds {
		s := &rep.Seconds[i]
		if s.Due == 0 {
			continue
		}
		for k, v := range []float64{s.Max, s.P99, s.P50} {
			lines[k].X, lines[k].Y = append(lines[k].X, float64(i)+0.5), append(lines[k].Y, v)
		}
	}
	x, xTicks := linearAxis(max(rep.Span, 1), chartWidth)
	y, yTicks := logAxis(lines, chartHeight)
	return newChart("Latency over time", "ms, by the second in which requests were due", lines, x, y, xTicks, yTicks)
}

// rateChart shows the requests that were due and that were served in each second.
func (rep *Report) rateChart() chart {
	lines := []line{{Name: "offered", Class: "max", Stepped: true}, {Name: "served", Class: "service", Stepped: true}}
	high := 0.0
	for i := range rep.Seconds {
		s := &rep.Seconds[i]
		for k, v := range []int64{s.Due, s.Served} {
			lines[k].X, lines[k].Y = append(lines[k].X, float64(i)), append(lines[k].Y, float64(v))
			high = max(high, float64(v))
		}
	}
	x, xTicks := linearAxis(max(rep.Span, float64(len(rep.Seconds)), 1), chartWidth)
	y, yTicks := linearAxis(high, chartHeight)
	return newChart("Offered and served", "requests per second, by second of the run", lines, x, y, xTicks, yTicks)
}

// spectrumLine returns the quantiles q of a histogram, with 1/(1-q) on the x axis.
func spectrumLine(name, class string, h *hdrhistogram.Histogram) line {
	l := line{Name: name, Class: class}
	for _, b := range h.CumulativeDistributionWithTicks(5) {
		if b.Quantile >= 100 || b.Count == 0 {
			continue
		}
		l.X, l.Y = append(l.X, 100/(100-b.Quantile)), append(l.Y, float64(b.ValueAt)/1000)
	}
	return l
}

// spectrumChart draws percentile spectra as HdrHistogram's plotter does.
func spectrumChart(lines []line) chart {
	maxX := 10.0
	for _, l := range lines {
		for _, x := range l.X {
			maxX = max(maxX, x)
		}
	}
	x := scale{low: 1, high: math.Pow(10, math.Ceil(math.Log10(maxX)-1e-9)), log: true, length: chartWidth}
	var xTicks []tick
	for v := 1.0; v <= x.high*1.001; v *= 10 {
		xTicks = append(xTicks, tick{x.at(v), fmt.Sprintf("p%.6g", 100*(1-1/v))})
	}
	y, yTicks := logAxis(lines, chartHeight)
	return newChart("Percentile spectrum", "ms, by percentile", lines, x, y, xTicks, yTicks)
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>gorselink load</title><style>
body { font: 14px/1.5 system-ui, sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; background: #fff }
pre { background: #f4f4f2; padding: 1em; overflow-x: auto }
svg { width: 100%; height: auto }
svg text { font: 11px system-ui, sans-serif; fill: #444 }
.grid { stroke: #ddd }
polyline, .key { fill: none; stroke-width: 1.6; stroke-linejoin: round }
.due { stroke: #b3261e } .service { stroke: #1a6fb0 } .own { stroke: #777; stroke-dasharray: 4 3 } .max { stroke: #d9962b }
.void { border-left: 4px solid #b3261e; padding-left: 1em } .note { border-left: 4px solid #d9962b; padding-left: 1em }
</style></head><body>
<h1>{{.Report.Requests}} requests in {{printf "%.1f" .Report.Span}} s</h1>
{{range .Report.Verdict.Void}}<p class="void"><strong>The generator was the bottleneck; do not use these figures.</strong> {{.}}</p>
{{end}}{{with .Report.PlanError}}<p class="void"><strong>The plan ended early.</strong> {{.}}</p>
{{end}}{{range .Report.Verdict.Notes}}<p class="note">{{.}}</p>
{{end}}<pre>{{.Text}}</pre>
{{range .Charts}}<h2>{{.Title}}</h2>
<svg viewBox="-60 -30 880 320" role="img" aria-label="{{.Title}}">
{{range .YTicks}}<line class="grid" x1="0" x2="800" y1="{{printf "%.1f" .At}}" y2="{{printf "%.1f" .At}}"/><text x="-6" y="{{printf "%.1f" .At}}" dy="4" text-anchor="end">{{.Text}}</text>
{{end}}{{range .XTicks}}<line class="grid" y1="0" y2="240" x1="{{printf "%.1f" .At}}" x2="{{printf "%.1f" .At}}"/><text x="{{printf "%.1f" .At}}" y="256" text-anchor="middle">{{.Text}}</text>
{{end}}<text x="400" y="280" text-anchor="middle">{{.Caption}}</text>
{{range .Lines}}<polyline class="{{.Class}}" points="{{.Points}}"/><line class="key {{.Class}}" x1="{{.LegendX}}" x2="{{.LegendX}}" y1="-20" y2="-10" /><text x="{{.LegendX}}" dx="6" y="-11">{{.Name}}</text>
{{end}}</svg>
{{end}}</body></html>
`))
