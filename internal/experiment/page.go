package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WritePage writes the results as a self-contained HTML page.
func WritePage(w io.Writer, e *Experiment, builds []string, results []*Result) error {
	rows := Compare(builds, results)
	var table strings.Builder
	if err := WriteTable(&table, builds, rows); err != nil {
		return err
	}
	type chart struct {
		Title string
		SVG   template.HTML
	}
	type runSummary struct {
		Title      string
		Violations []string
		Void       []string
	}
	var data struct {
		Name      string
		Table     string
		Charts    []chart
		Runs      []runSummary
		Seed      uint64
		Instances int
		Nodes     int
	}
	data.Name, data.Table, data.Seed, data.Instances, data.Nodes = e.Name, table.String(), e.Seed, e.Instances.Count, e.Nodes.Count
	addChart := func(title, unit string, value func(s *Second) float64) error {
		svg, err := drawSeconds(e, unit, builds, results, value)
		if err == nil {
			data.Charts = append(data.Charts, chart{title, template.HTML(svg)})
		}
		return err
	}
	for i := range e.Groups {
		if g := &e.Groups[i]; g.Kind == KindNodes && g.Name != string(KindNodes) {
			if err := addChart("Share of "+g.Name+" relative to its fair share", "", func(s *Second) float64 {
				if x, ok := s.Shares[g.Name]; ok {
					return x
				}
				return math.NaN()
			}); err != nil {
				return err
			}
		}
	}
	if err := addChart("99th percentile of latency", "ms", func(s *Second) float64 { return s.P99 }); err != nil {
		return err
	}
	if err := addChart("Failed requests per second", "", func(s *Second) float64 { return float64(s.Failed) }); err != nil {
		return err
	}
	for _, res := range results {
		data.Runs = append(data.Runs, runSummary{fmt.Sprintf("%s, turn %d, seed %d", res.Build, res.Turn+1, res.Seed), res.Violations(), res.Void})
	}
	return experimentPage.Execute(w, data)
}

// drawSeconds draws a value by second: a line for each run, a colour for each build and a
// dashed line for each event.
func drawSeconds(e *Experiment, unit string, builds []string, results []*Result, value func(s *Second) float64) (string, error) {
	p := plot.New()
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	colours, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", max(3, min(len(builds), 8)))
	if err != nil {
		return "", err
	}
	maxValue, inLegend := 0.0, map[string]bool{}
	for _, res := range results {
		var points plotter.XYs
		for i := range res.Seconds {
			if y := value(&res.Seconds[i]); !math.IsNaN(y) {
				points = append(points, plotter.XY{X: float64(i) + 0.5, Y: y})
				maxValue = max(maxValue, y)
			}
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		l.Color = colours.Colors()[slices.Index(builds, res.Build)%len(colours.Colors())]
		p.Add(l)
		if !inLegend[res.Build] {
			inLegend[res.Build] = true
			p.Legend.Add(res.Build, l)
		}
	}
	if maxValue == 0 {
		maxValue = 1
	}
	seen := map[float64]bool{}
	for _, d := range actionsInOrder(e) {
		at := math.Floor(d.at.Seconds()*10) / 10
		if seen[at] {
			continue
		}
		seen[at] = true
		l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: maxValue}})
		if err != nil {
			return "", err
		}
		l.Dashes = []vg.Length{vg.Points(2), vg.Points(3)}
		l.Width = vg.Points(0.5)
		p.Add(l)
	}
	p.X.Min, p.X.Max, p.Y.Max = 0, e.Duration.Seconds(), maxValue*1.05
	return renderSVG(p, 20*vg.Centimeter)
}

// renderSVG returns a chart as an SVG element.
func renderSVG(p *plot.Plot, width vg.Length) (string, error) {
	c := vgsvg.New(width, 6*vg.Centimeter)
	p.Draw(vgdraw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML prologue is not allowed within an HTML page.
	_, svg, ok := strings.Cut(b.String(), "<svg")
	if !ok {
		return "", fmt.Errorf("chart output contains no svg element")
	}
	return "<svg" + svg, nil
}

var experimentPage = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{overflow-x:auto;background:#f4f4f4;padding:1em}h2{font-size:1.1em}li{margin:.2em 0}</style></head>
<body><h1>{{.Name}}</h1>
<p>{{.Instances}} processes, {{.Nodes}} nodes, seed {{.Seed}}. Dashed lines are events.</p>
<pre>{{.Table}}</pre>
{{range .Charts}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}<h2>Runs</h2><ul>{{range .Runs}}<li>{{.Title}}: {{if or .Violations .Void}}<ul>{{range .Void}}<li>void: {{.}}</li>{{end}}{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}all expectations met{{end}}</li>
{{end}}</ul></body></html>
`))
