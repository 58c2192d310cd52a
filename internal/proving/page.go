package proving

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

// WritePage writes the plays of an experiment as a page that needs nothing else.
func WritePage(w io.Writer, e *Experiment, builds []string, results []*Result) error {
	rows := Compare(builds, results)
	var table strings.Builder
	if err := WriteTable(&table, builds, rows); err != nil {
		return err
	}
	type drawing struct {
		Title string
		SVG   template.HTML
	}
	type play struct {
		Title  string
		Broken []string
		Void   []string
	}
	var data struct {
		Name      string
		Table     string
		Drawings  []drawing
		Plays     []play
		Seed      uint64
		Instances int
		Nodes     int
	}
	data.Name, data.Table, data.Seed, data.Instances, data.Nodes = e.Name, table.String(), e.Seed, e.Instances.Count, e.Nodes.Count
	add := func(title, unit string, of func(s *Second) float64) error {
		svg, err := draw(e, unit, builds, results, of)
		if err == nil {
			data.Drawings = append(data.Drawings, drawing{title, template.HTML(svg)})
		}
		return err
	}
	for i := range e.Groups {
		if g := &e.Groups[i]; g.Of == KindNodes && g.Name != string(KindNodes) {
			if err := add("Share of "+g.Name+" over the fair one", "", func(s *Second) float64 {
				if x, ok := s.Shares[g.Name]; ok {
					return x
				}
				return math.NaN()
			}); err != nil {
				return err
			}
		}
	}
	if err := add("99th percentile from due to answer", "ms", func(s *Second) float64 { return s.P99 }); err != nil {
		return err
	}
	if err := add("Requests not answered below 400, a second", "", func(s *Second) float64 { return float64(s.Failed) }); err != nil {
		return err
	}
	for _, res := range results {
		data.Plays = append(data.Plays, play{fmt.Sprintf("%s, turn %d, seed %d", res.Build, res.Turn+1, res.Seed), res.Broken(), res.Void})
	}
	return page.Execute(w, data)
}

// draw draws a figure by second: a line for each play, a colour for each build, and a
// stroke at each event.
func draw(e *Experiment, unit string, builds []string, results []*Result, of func(s *Second) float64) (string, error) {
	p := plot.New()
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	colours, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", max(3, min(len(builds), 8)))
	if err != nil {
		return "", err
	}
	most, named := 0.0, map[string]bool{}
	for _, res := range results {
		var points plotter.XYs
		for i := range res.Seconds {
			if y := of(&res.Seconds[i]); !math.IsNaN(y) {
				points = append(points, plotter.XY{X: float64(i) + 0.5, Y: y})
				most = max(most, y)
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
		if !named[res.Build] {
			named[res.Build] = true
			p.Legend.Add(res.Build, l)
		}
	}
	if most == 0 {
		most = 1
	}
	seen := map[float64]bool{}
	for _, d := range deeds(e) {
		at := math.Floor(d.at.Seconds()*10) / 10
		if seen[at] {
			continue
		}
		seen[at] = true
		l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: most}})
		if err != nil {
			return "", err
		}
		l.Dashes = []vg.Length{vg.Points(2), vg.Points(3)}
		l.Width = vg.Points(0.5)
		p.Add(l)
	}
	p.X.Min, p.X.Max, p.Y.Max = 0, e.Span.Seconds(), most*1.05
	return drawn(p, 20*vg.Centimeter)
}

// drawn is a chart of this width as an element of a page.
func drawn(p *plot.Plot, width vg.Length) (string, error) {
	c := vgsvg.New(width, 6*vg.Centimeter)
	p.Draw(vgdraw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// Within a page the prologue of a file of its own has no place.
	_, svg, ok := strings.Cut(b.String(), "<svg")
	if !ok {
		return "", fmt.Errorf("a drawing without svg")
	}
	return "<svg" + svg, nil
}

var page = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{overflow-x:auto;background:#f4f4f4;padding:1em}h2{font-size:1.1em}li{margin:.2em 0}</style></head>
<body><h1>{{.Name}}</h1>
<p>{{.Instances}} processes before {{.Nodes}} nodes, seed {{.Seed}}. Dashed strokes are events.</p>
<pre>{{.Table}}</pre>
{{range .Drawings}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}<h2>Plays</h2><ul>{{range .Plays}}<li>{{.Title}}: {{if or .Broken .Void}}<ul>{{range .Void}}<li>void: {{.}}</li>{{end}}{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{else}}all as wanted{{end}}</li>
{{end}}</ul></body></html>
`))
