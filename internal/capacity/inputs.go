package capacity

import (
	"fmt"
	"math"
	"slices"

	"gorselink/internal/tomlfile"
)

// Fleet describes the size of a fleet and the bounds on its costs.
type Fleet struct {
	Name       string
	Dimensions map[string]float64 // by name; NaN if not specified
	Bounds     map[string]float64 // by name; absent if not specified
}

// fleetDimensions and fleetBounds are the keys of a fleet in its file, with their labels on
// the page.
var fleetDimensions = []struct{ name, label string }{
	{"sidecars", "endpoints, each with its sidecar"},
	{"services", "services"},
	{"calls", "calls a second"},
	{"depth", "calls deep"},
	{"regions", "regions"},
	{"zones", "zones"},
	{"changes", "changes of configuration a day"},
	{"restarts", "restarts a day"},
	{"failures", "machines that fail a day"},
}

var fleetBounds = []struct{ name, label string }{
	{"added_ms", "ms added to a call, for 99 in 100"},
	{"within_ms", "ms until a change is in force everywhere"},
	{"core", "thousandths of a core for control, a sidecar"},
	{"memory", "MB for control, a sidecar"},
	{"bytes", "bytes a second for control, a sidecar"},
	{"machines", "machines set aside for control"},
}

// Slope describes how a cost grows with a dimension, as written by a scale experiment.
type Slope struct {
	Name                           string // the dimension and the cost, for example sidecars.calls
	Dimension                      string
	Cost                           string
	Intercept, Slope               float64
	SlopeLow, SlopeHigh            float64 // 95% confidence interval; NaN if unknown
	SmallestSize, LargestSize      float64
	Predicted                      float64 // cost at the largest size, extrapolated from the smaller half; NaN without a prediction
	Measured                       float64 // cost at the largest size; NaN if the machine was the bottleneck
	PredictedLow, PredictedHigh    float64
	MinBusyPercent, MaxBusyPercent float64            // processor use of the whole machine, other processes included
	Base                           map[string]float64 // the other dimensions of the experiment's fleet
}

// prediction returns the prediction for the largest size, and whether that size was measured.
func (s *Slope) prediction() (p Prediction, tested bool) {
	return Prediction{Size: s.LargestSize, Predicted: s.Predicted, Measured: s.Measured}, !math.IsNaN(s.Predicted + s.Measured)
}

// usable reports whether estimates may use the slope, and if not, the reason.
func (s *Slope) usable() (bool, string) {
	p, tested := s.prediction()
	switch {
	case !tested:
		return false, "its prediction was not put to the test"
	case !p.WithinTolerance():
		return false, fmt.Sprintf("its prediction missed by %.0f%%", 100*p.RelativeError())
	}
	return true, ""
}

// Figure is one measured value of a scale experiment.
type Figure struct {
	Name  string // for example idle.real-150-0.bytes
	Value float64
}

// Row is one cost of a role: a slope, a figure or a constant, scaled to a fleet, or a text.
type Row struct {
	Label      string
	Source     string   // the name of a slope or a figure
	Constant   float64  // in place of Source, with its origin in Reference; NaN if not set
	DivideBy   []string // dimensions of the experiment's fleet for a slope, else of the fleet
	MultiplyBy []string // dimensions of the fleet
	Scale      float64  // unit conversion factor
	Bound      string   // the bound of the fleet that applies
	Fleet      string   // the only fleet that the row applies to; empty for all
	Text       string   // in place of a value, where none exists
	Reference  string   // origin of the value, shown on the page
}

// Role is a function that is performed for the fleet, with its costs.
type Role struct {
	Name          string
	ImplementedBy string // packages or programs
	State         string // what it stores
	Rows          []Row
}

// Run identifies the scale experiment that produced slopes and figures.
type Run struct {
	Experiment, Command string
	Seed                uint64
	Cores               int
	Speedup             float64
}

// Inputs holds the data from which the page is rendered.
type Inputs struct {
	Fleets  []Fleet
	Runs    []Run
	Slopes  []Slope
	Figures []Figure
	Roles   []Role
}

const maxValue = 1e15

// ReadFleets reads a fleets file and appends its fleets.
func (in *Inputs) ReadFleets(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	for _, t := range top.TableList("fleets") {
		f := Fleet{Name: t.Text("name", ""), Dimensions: map[string]float64{}, Bounds: map[string]float64{}}
		if f.Name == "" {
			t.AddError("name", nil, "the name of a fleet")
		}
		for _, d := range fleetDimensions {
			f.Dimensions[d.name] = t.Number(d.name, math.NaN(), 0, maxValue)
		}
		for _, b := range fleetBounds {
			if t.Has(b.name) {
				f.Bounds[b.name] = t.Number(b.name, 0, 0, maxValue)
			}
		}
		t.RejectUnknownKeys()
		in.Fleets = append(in.Fleets, f)
	}
	if len(in.Fleets) == 0 {
		top.AddErrorAt("fleets", "", "one or more [[fleets]] tables")
	}
	top.RejectUnknownKeys()
	return top.Err()
}

// ReadSlopes reads a slopes file written by a scale experiment and appends its contents. It
// may be called for several files.
func (in *Inputs) ReadSlopes(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	run := top.Table("run")
	in.Runs = append(in.Runs, Run{Experiment: run.Text("experiment", ""), Command: run.Text("command", ""), Seed: uint64(run.Integer("seed", 0, 0, math.MaxInt64)), Cores: run.Integer("cores", 0, 0, 4096), Speedup: run.Number("faster", 0, 0, maxValue)})
	run.RejectUnknownKeys()
	for _, t := range top.TableList("slopes") {
		number := func(key string) float64 { return t.Number(key, math.NaN(), -maxValue, maxValue) }
		s := Slope{Dimension: t.Text("by", ""), Cost: t.Text("cost", ""), Intercept: number("at0"), Slope: number("slope"), SlopeLow: number("low"), SlopeHigh: number("high"),
			SmallestSize: number("least"), LargestSize: number("largest"), Predicted: number("predicted"), PredictedLow: number("predicted_low"), PredictedHigh: number("predicted_high"), Measured: number("measured"), MinBusyPercent: number("busy_least"), MaxBusyPercent: number("busy_most"), Base: map[string]float64{}}
		s.Name = s.Dimension + "." + s.Cost
		base := t.Table("base")
		for _, d := range []string{"sidecars", "services", "endpoints", "changes"} {
			s.Base[d] = base.Number(d, 0, 0, maxValue)
		}
		base.RejectUnknownKeys()
		if math.IsNaN(s.Intercept + s.Slope) {
			t.AddError("slope", nil, "numbers for at0 and slope")
		}
		if in.slope(s.Name) != nil {
			t.AddError("cost", s.Name, "a dimension and cost that no other slope has")
		}
		t.RejectUnknownKeys()
		in.Slopes = append(in.Slopes, s)
	}
	for _, t := range top.TableList("figures") {
		f := Figure{t.Text("name", ""), t.Number("value", math.NaN(), -maxValue, maxValue)}
		if in.figure(f.Name) != nil {
			t.AddError("name", f.Name, "a name that no other figure has")
		}
		in.Figures = append(in.Figures, f)
		t.RejectUnknownKeys()
	}
	top.RejectUnknownKeys()
	return top.Err()
}

// ReadRoles reads a roles file. It must be called after ReadSlopes, since rows refer to slopes
// and figures by name.
func (in *Inputs) ReadRoles(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	for _, t := range top.TableList("roles") {
		r := Role{Name: t.Text("name", ""), ImplementedBy: t.Text("carried", "None yet"), State: t.Text("state", "")}
		for _, rt := range t.TableList("rows") {
			r.Rows = append(r.Rows, in.row(rt))
		}
		t.RejectUnknownKeys()
		in.Roles = append(in.Roles, r)
	}
	top.RejectUnknownKeys()
	return top.Err()
}

func (in *Inputs) row(t *tomlfile.Table) Row {
	r := Row{Label: t.Text("what", ""), Source: t.Text("of", ""), Constant: t.Number("each", math.NaN(), -maxValue, maxValue), DivideBy: t.TextList("over"), MultiplyBy: t.TextList("times"),
		Scale: t.Number("scale", 1, -maxValue, maxValue), Bound: t.Text("bound", ""), Fleet: t.Text("fleet", ""), Text: t.Text("says", ""), Reference: t.Text("from", "")}
	given := 0
	for _, set := range []bool{r.Source != "", !math.IsNaN(r.Constant), r.Text != ""} {
		if set {
			given++
		}
	}
	if given != 1 {
		t.AddError("of", r.Source, "exactly one of the keys of, each and says")
	}
	if r.Source != "" && in.slope(r.Source) == nil && in.figure(r.Source) == nil {
		t.AddError("of", r.Source, "the name of a slope or a figure in the slopes files")
	}
	if !math.IsNaN(r.Constant) && r.Reference == "" {
		t.AddError("from", nil, "the origin of the value in each")
	}
	checkNames := func(key string, names []string, allowed []struct{ name, label string }) {
		for _, n := range names {
			if !slices.ContainsFunc(allowed, func(d struct{ name, label string }) bool { return d.name == n }) {
				t.AddError(key, n, "a dimension or bound of a fleet")
			}
		}
	}
	checkNames("times", r.MultiplyBy, fleetDimensions)
	if r.Bound != "" {
		checkNames("bound", []string{r.Bound}, fleetBounds)
	}
	if s := in.slope(r.Source); s != nil {
		for _, o := range r.DivideBy {
			if s.Base[o] == 0 {
				t.AddError("over", o, "a dimension of the experiment's fleet in the key base of the slope")
			}
		}
	} else {
		checkNames("over", r.DivideBy, fleetDimensions)
	}
	t.RejectUnknownKeys()
	return r
}

func (in *Inputs) slope(name string) *Slope {
	for i := range in.Slopes {
		if in.Slopes[i].Name == name {
			return &in.Slopes[i]
		}
	}
	return nil
}

func (in *Inputs) figure(name string) *Figure {
	for i := range in.Figures {
		if in.Figures[i].Name == name {
			return &in.Figures[i]
		}
	}
	return nil
}
