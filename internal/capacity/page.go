package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/template"
)

// Page fills the text of the page: {{fleets}}, {{roles}} and {{slopes}} are tables,
// {{figure "NAME"}} is a figure of a run, {{has "NAME"}} whether there is one, {{runs}} tells of them and {{faster}} of the day.
func (in *Inputs) Page(text string) (string, error) {
	t, err := template.New("page").Funcs(template.FuncMap{
		"fleets": in.fleets,
		"roles":  in.roles,
		"slopes": in.slopes,
		"runs":   in.runs,
		"faster": in.faster,
		"has":    func(name string) bool { return in.figure(name) != nil },
		"figure": func(name string) (string, error) {
			f := in.figure(name)
			if f == nil {
				return "", fmt.Errorf("figure %q: no run has it", name)
			}
			return plain(f.Value), nil
		},
	}).Parse(text)
	if err != nil {
		return "", fmt.Errorf("page: %w", err)
	}
	var b strings.Builder
	if err := t.Execute(&b, nil); err != nil {
		return "", fmt.Errorf("page: %w", err)
	}
	return b.String(), nil
}

// value is a row's figure for a fleet; without one, why not.
func (in *Inputs) value(r *Row, f *Fleet) (x float64, why string) {
	if r.Says != "" {
		return 0, r.Says
	}
	if r.Fleet != "" && r.Fleet != f.Name {
		return 0, "open"
	}
	over := f.Has
	switch s, g := in.slope(r.Of), in.figure(r.Of); {
	case s != nil:
		if ok, because := s.used(); !ok {
			return 0, "open: " + because
		}
		x, over = s.Slope, s.Base
	case g != nil:
		x = g.Value
	default:
		x = r.Each
	}
	for _, o := range r.Over {
		x /= over[o]
	}
	for _, d := range r.Times {
		x *= f.Has[d]
	}
	if x *= r.Scale; math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, "open: the fleet's file does not tell enough"
	}
	return x, ""
}

// how tells whether a figure of a row was measured or reckoned, and from what.
func (in *Inputs) how(r *Row) string {
	s := in.slope(r.Of)
	switch {
	case r.Says != "":
		return r.From
	case s != nil:
		return join("reckoned from the slope `"+s.Name+"`", r.From)
	case r.Of != "" && len(r.Times)+len(r.Over) > 0:
		return join("reckoned from `"+r.Of+"`", r.From)
	case r.Of != "":
		return join("measured, `"+r.Of+"`", r.From)
	}
	return join("reckoned from", r.From)
}

func join(a, b string) string {
	if b == "" {
		return a
	}
	if strings.HasSuffix(a, "from") {
		return a + " " + b
	}
	return a + ", " + b
}

func (in *Inputs) cell(r *Row, f *Fleet) string {
	x, why := in.value(r, f)
	if why != "" {
		return why
	}
	text := plain(x)
	if may, told := f.May[r.Bound]; told && may > 0 {
		text += fmt.Sprintf(" (%s of the %s allowed)", times(x/may), plain(may))
	}
	return text
}

// times words a ratio.
func times(x float64) string {
	if x < 1.995 {
		return fmt.Sprintf("%.0f%%", 100*x)
	}
	return fmt.Sprintf("%.1f times", x)
}

func (in *Inputs) names() (all []string) {
	for i := range in.Fleets {
		all = append(all, in.Fleets[i].Name)
	}
	return all
}

func table(b *strings.Builder, head []string, rows [][]string) {
	line := func(cells []string) { fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | ")) }
	line(head)
	line(strings.Split(strings.Repeat("--- ", len(head)-1)+"---", " "))
	for _, r := range rows {
		line(r)
	}
}

func (in *Inputs) fleets() string {
	var b strings.Builder
	var rows [][]string
	for _, d := range dims {
		row := []string{d.words}
		for i := range in.Fleets {
			cell := plain(in.Fleets[i].Has[d.name])
			if math.IsNaN(in.Fleets[i].Has[d.name]) {
				cell = "not told"
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	for _, d := range bounds {
		row := []string{"at most " + d.words}
		for i := range in.Fleets {
			cell := "not told"
			if x, ok := in.Fleets[i].May[d.name]; ok {
				cell = plain(x)
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	table(&b, append([]string{""}, in.names()...), rows)
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) roles() string {
	var b strings.Builder
	for i := range in.Roles {
		r := &in.Roles[i]
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "### %s\n\nCarried by: %s.", r.Name, strings.TrimSuffix(r.Carried, "."))
		if r.State != "" {
			fmt.Fprintf(&b, " State: %s.", strings.TrimSuffix(r.State, "."))
		}
		b.WriteString("\n\n")
		var rows [][]string
		for k := range r.Rows {
			row := []string{r.Rows[k].What}
			for f := range in.Fleets {
				row = append(row, in.cell(&r.Rows[k], &in.Fleets[f]))
			}
			rows = append(rows, append(row, in.how(&r.Rows[k])))
		}
		table(&b, append(append([]string{""}, in.names()...), "from"), rows)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) runs() string {
	var b strings.Builder
	var rows [][]string
	for _, r := range in.Runs {
		rows = append(rows, []string{"`" + r.Command + "`", strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Cores)})
	}
	table(&b, []string{"run", "seed", "cores"}, rows)
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) faster() (string, error) {
	for _, r := range in.Runs {
		if r.Speedup > 0 {
			return plain(r.Speedup), nil
		}
	}
	return "", errors.New("no run has a day")
}

func (in *Inputs) slopes() string {
	var b strings.Builder
	var rows [][]string
	for i := range in.Slopes {
		s := &in.Slopes[i]
		miss, used := "-", "no: not put to the test"
		if p, tested := s.prediction(); tested {
			miss, used = fmt.Sprintf("%.0f%%", 100*p.RelativeError()), "yes"
			if !p.WithinTolerance() {
				used = "no"
			}
		}
		rows = append(rows, []string{"`" + s.Name + "`", plain(s.Least) + " to " + plain(s.Largest), plain(s.Slope), plain(s.Low) + " to " + plain(s.High),
			plain(s.Predicted), plain(s.PredLow) + " to " + plain(s.PredHigh), plain(s.Measured), miss, used, plain(s.Quiet) + " to " + plain(s.MaxBusyPercent)})
	}
	table(&b, []string{"slope", "sizes", "for one more", "interval", "largest, predicted", "interval", "largest, measured", "miss", "used", "machine busy, %"}, rows)
	return strings.TrimSuffix(b.String(), "\n")
}

// plain words a number with three digits that count, and none lost before the point.
func plain(x float64) string {
	switch {
	case math.IsNaN(x):
		return "-"
	case x != 0 && math.Abs(x) < 100:
		return strconv.FormatFloat(must3(x), 'f', -1, 64)
	}
	s := strconv.FormatFloat(math.Abs(math.Round(x)), 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	if x < 0 && s != "0" {
		s = "-" + s
	}
	return s
}

// must3 is x to three digits that count.
func must3(x float64) float64 {
	y, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64)
	if err != nil {
		return x
	}
	return y
}
