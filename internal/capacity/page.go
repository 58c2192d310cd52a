package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/template"
)

// Page renders the template of the page. {{fleets}}, {{runs}}, {{slopes}} and {{roles}} insert
// tables, {{figure "NAME"}} the value of a figure and {{faster}} the speedup of the simulated
// day; {{has "NAME"}} reports whether a figure exists.
func (in *Inputs) Page(text string) (string, error) {
	t, err := template.New("page").Funcs(template.FuncMap{
		"fleets": in.fleetsTable,
		"roles":  in.rolesTables,
		"slopes": in.slopesTable,
		"runs":   in.runsTable,
		"faster": in.daySpeedup,
		"has":    func(name string) bool { return in.figure(name) != nil },
		"figure": func(name string) (string, error) {
			f := in.figure(name)
			if f == nil {
				return "", fmt.Errorf("figure %q is not in any slopes file", name)
			}
			return formatNumber(f.Value), nil
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

// rowValue returns the value of a row for a fleet, or the text to show in its place.
func (in *Inputs) rowValue(r *Row, f *Fleet) (x float64, reason string) {
	if r.Text != "" {
		return 0, r.Text
	}
	if r.Fleet != "" && r.Fleet != f.Name {
		return 0, "open"
	}
	divisors := f.Dimensions
	switch s, g := in.slope(r.Source), in.figure(r.Source); {
	case s != nil:
		if ok, cause := s.usable(); !ok {
			return 0, "open: " + cause
		}
		x, divisors = s.Slope, s.Base
	case g != nil:
		x = g.Value
	default:
		x = r.Constant
	}
	for _, o := range r.DivideBy {
		x /= divisors[o]
	}
	for _, d := range r.MultiplyBy {
		x *= f.Dimensions[d]
	}
	if x *= r.Scale; math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, "open: the fleet's file does not tell enough"
	}
	return x, ""
}

// provenance returns the source of a row's value: measured or derived, and from which input.
func (in *Inputs) provenance(r *Row) string {
	s := in.slope(r.Source)
	switch {
	case r.Text != "":
		return r.Reference
	case s != nil:
		return joinReference("reckoned from the slope `"+s.Name+"`", r.Reference)
	case r.Source != "" && len(r.MultiplyBy)+len(r.DivideBy) > 0:
		return joinReference("reckoned from `"+r.Source+"`", r.Reference)
	case r.Source != "":
		return joinReference("measured, `"+r.Source+"`", r.Reference)
	}
	return joinReference("reckoned from", r.Reference)
}

func joinReference(a, b string) string {
	if b == "" {
		return a
	}
	if strings.HasSuffix(a, "from") {
		return a + " " + b
	}
	return a + ", " + b
}

func (in *Inputs) cell(r *Row, f *Fleet) string {
	x, reason := in.rowValue(r, f)
	if reason != "" {
		return reason
	}
	text := formatNumber(x)
	if limit, ok := f.Bounds[r.Bound]; ok && limit > 0 {
		text += fmt.Sprintf(" (%s of the %s allowed)", formatRatio(x/limit), formatNumber(limit))
	}
	return text
}

// formatRatio formats a ratio as a percentage, or as a multiple from about 2 on.
func formatRatio(x float64) string {
	if x < 1.995 {
		return fmt.Sprintf("%.0f%%", 100*x)
	}
	return fmt.Sprintf("%.1f times", x)
}

func (in *Inputs) fleetNames() (all []string) {
	for i := range in.Fleets {
		all = append(all, in.Fleets[i].Name)
	}
	return all
}

func writeTable(b *strings.Builder, header []string, rows [][]string) {
	writeRow := func(cells []string) { fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | ")) }
	writeRow(header)
	writeRow(strings.Split(strings.Repeat("--- ", len(header)-1)+"---", " "))
	for _, r := range rows {
		writeRow(r)
	}
}

func (in *Inputs) fleetsTable() string {
	var b strings.Builder
	var rows [][]string
	for _, d := range fleetDimensions {
		row := []string{d.label}
		for i := range in.Fleets {
			cell := formatNumber(in.Fleets[i].Dimensions[d.name])
			if math.IsNaN(in.Fleets[i].Dimensions[d.name]) {
				cell = "not told"
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	for _, d := range fleetBounds {
		row := []string{"at most " + d.label}
		for i := range in.Fleets {
			cell := "not told"
			if x, ok := in.Fleets[i].Bounds[d.name]; ok {
				cell = formatNumber(x)
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	writeTable(&b, append([]string{""}, in.fleetNames()...), rows)
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) rolesTables() string {
	var b strings.Builder
	for i := range in.Roles {
		r := &in.Roles[i]
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "### %s\n\nCarried by: %s.", r.Name, strings.TrimSuffix(r.ImplementedBy, "."))
		if r.State != "" {
			fmt.Fprintf(&b, " State: %s.", strings.TrimSuffix(r.State, "."))
		}
		b.WriteString("\n\n")
		var rows [][]string
		for k := range r.Rows {
			row := []string{r.Rows[k].Label}
			for f := range in.Fleets {
				row = append(row, in.cell(&r.Rows[k], &in.Fleets[f]))
			}
			rows = append(rows, append(row, in.provenance(&r.Rows[k])))
		}
		writeTable(&b, append(append([]string{""}, in.fleetNames()...), "from"), rows)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) runsTable() string {
	var b strings.Builder
	var rows [][]string
	for _, r := range in.Runs {
		rows = append(rows, []string{"`" + r.Command + "`", strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Cores)})
	}
	writeTable(&b, []string{"run", "seed", "cores"}, rows)
	return strings.TrimSuffix(b.String(), "\n")
}

func (in *Inputs) daySpeedup() (string, error) {
	for _, r := range in.Runs {
		if r.Speedup > 0 {
			return formatNumber(r.Speedup), nil
		}
	}
	return "", errors.New("no slopes file has a simulated day: the key faster is not set")
}

func (in *Inputs) slopesTable() string {
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
		rows = append(rows, []string{"`" + s.Name + "`", formatNumber(s.SmallestSize) + " to " + formatNumber(s.LargestSize), formatNumber(s.Slope), formatNumber(s.SlopeLow) + " to " + formatNumber(s.SlopeHigh),
			formatNumber(s.Predicted), formatNumber(s.PredictedLow) + " to " + formatNumber(s.PredictedHigh), formatNumber(s.Measured), miss, used, formatNumber(s.MinBusyPercent) + " to " + formatNumber(s.MaxBusyPercent)})
	}
	writeTable(&b, []string{"slope", "sizes", "for one more", "interval", "largest, predicted", "interval", "largest, measured", "miss", "used", "machine busy, %"}, rows)
	return strings.TrimSuffix(b.String(), "\n")
}

// formatNumber formats a number with three significant digits, or as an integer with
// thousands separators from 100 on.
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return "-"
	case x != 0 && math.Abs(x) < 100:
		return strconv.FormatFloat(roundToThreeDigits(x), 'f', -1, 64)
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

// roundToThreeDigits rounds x to three significant digits.
func roundToThreeDigits(x float64) float64 {
	y, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64)
	if err != nil {
		return x
	}
	return y
}
