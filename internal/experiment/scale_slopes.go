package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// WriteSlopes writes the slopes and figures of a run as TOML for the capacity page. Void
// measurements have no costs and are left out.
func (r *ScaleResult) WriteSlopes(w io.Writer, command string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Written by a scale run; not to be changed by hand.\n\n[run]\nexperiment = %q\ncommand = %q\nseed = %d\ncores = %d\n", r.Experiment, command, r.Seed, r.Cores)
	if r.Speedup > 0 {
		fmt.Fprintf(&b, "faster = %.6g\n", r.Speedup)
	}
	for i := range r.Sweeps {
		s := &r.Sweeps[i]
		for k := range s.Lines {
			l := &s.Lines[k]
			last, base := s.Sizes[len(s.Sizes)-1], s.Sizes[0].Size
			fmt.Fprintf(&b, "\n[[slopes]]\nby = %q\ncost = %q\nat0 = %.6g\nslope = %.6g\nleast = %d\nlargest = %d\n", s.Dimension, l.Cost, l.Intercept, l.Slope, s.Sizes[0].At, last.At)
			for _, x := range []struct {
				key   string
				value *float64
			}{{"low", l.Low}, {"high", l.High}, {"predicted", l.Predicted}, {"predicted_low", l.PredictedLow}, {"predicted_high", l.PredictedHigh}, {"measured", l.Measured}} {
				if x.value != nil {
					fmt.Fprintf(&b, "%s = %.6g\n", x.key, *x.value)
				}
			}
			busy := []float64{}
			for _, x := range s.costPoints(s.Sizes, "busy") {
				busy = append(busy, x.Y)
			}
			if len(busy) > 0 {
				fmt.Fprintf(&b, "busy_least = %.3g\nbusy_most = %.3g\n", slices.Min(busy), slices.Max(busy))
			}
			// The base leaves out the dimension that the sweep varies.
			fmt.Fprint(&b, "base = {")
			sep := ""
			for _, d := range []struct {
				name  string
				value float64
			}{{"sidecars", float64(base.Sidecars)}, {"services", float64(base.Services)}, {"endpoints", float64(base.Endpoints)}, {"changes", base.Changes}} {
				if d.name != s.Dimension {
					fmt.Fprintf(&b, "%s %s = %.6g", sep, d.name, d.value)
					sep = ","
				}
			}
			fmt.Fprint(&b, " }\n")
		}
	}
	// The experiment's name makes the names unique across experiments.
	writeFigures := func(name string, m *Measured) {
		name = r.Experiment + "." + name
		for _, cost := range slices.Sorted(maps.Keys(m.Costs)) {
			fmt.Fprintf(&b, "\n[[figures]]\nname = %q\nvalue = %.6g\n", name+"."+cost, m.Costs[cost])
		}
		for _, x := range []struct {
			name  string
			value int
		}{{"changes", m.Changes}, {"unreached", m.Unreached}, {"apart", m.OutOfSync}} {
			fmt.Fprintf(&b, "\n[[figures]]\nname = %q\nvalue = %d\n", name+"."+x.name, x.value)
		}
	}
	for i := range r.RealSidecars {
		s := &r.RealSidecars[i].Size
		writeFigures(fmt.Sprintf("real-%d-%g", s.Services, s.Changes), &r.RealSidecars[i])
	}
	for i := range r.Reloads {
		s := &r.Reloads[i].Size
		writeFigures(fmt.Sprintf("reload-%d-%d", s.Services, s.Endpoints), &r.Reloads[i])
	}
	for i := range r.Sweeps {
		for k := range r.Sweeps[i].Sizes {
			if m := &r.Sweeps[i].Sizes[k]; r.Sweeps[i].Dimension == "depth" {
				writeFigures(fmt.Sprintf("depth-%d", m.At), m)
			}
		}
	}
	if r.BackgroundChurn != nil {
		writeFigures("beside", r.BackgroundChurn)
	}
	if r.Day != nil {
		writeFigures("day", r.Day)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
