package capacity

import (
	"fmt"
	"math"
	"slices"

	"gorselink/internal/tomlfile"
)

// Fleet is what a fleet has and what is allowed in it.
type Fleet struct {
	Name string
	Has  map[string]float64 // by dimension; NaN for what is not told
	May  map[string]float64 // by bound; one that is missing is not told
}

// dims and bounds are what a fleet's file may say, with the words of the page.
var dims = []struct{ name, words string }{
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

var bounds = []struct{ name, words string }{
	{"added_ms", "ms added to a call, for 99 in 100"},
	{"within_ms", "ms until a change is in force everywhere"},
	{"core", "thousandths of a core for control, a sidecar"},
	{"memory", "MB for control, a sidecar"},
	{"bytes", "bytes a second for control, a sidecar"},
	{"machines", "machines set aside for control"},
}

// Slope is how a cost grew with a dimension in a scale run. Its numbers are written by
// the run itself.
type Slope struct {
	Name                  string // as sidecars.calls
	By                    string
	Cost                  string
	At0, Slope            float64
	Low, High             float64 // NaN where not known
	Least, Largest        float64 // sizes
	Predicted             float64 // of the largest size, from the smaller half; NaN without
	Measured              float64 // NaN where the machine was the bottleneck
	PredLow, PredHigh     float64
	Quiet, MaxBusyPercent float64            // per cent that the machine was busy by, whoever made it so: least and most
	Base                  map[string]float64 // what else the fleet of the run had
}

// prediction is the slope's, if it was put to the test.
func (s *Slope) prediction() (p Prediction, tested bool) {
	return Prediction{Size: s.Largest, Predicted: s.Predicted, Measured: s.Measured}, !math.IsNaN(s.Predicted + s.Measured)
}

// used tells whether figures may be reckoned from the slope, and why not.
func (s *Slope) used() (bool, string) {
	p, tested := s.prediction()
	switch {
	case !tested:
		return false, "its prediction was not put to the test"
	case !p.WithinTolerance():
		return false, fmt.Sprintf("its prediction missed by %.0f%%", 100*p.RelativeError())
	}
	return true, ""
}

// Figure is one figure of a scale run.
type Figure struct {
	Name  string // as idle.real-150-0.bytes
	Value float64
}

// Row is a cost of a role.
type Row struct {
	What  string
	Of    string   // a slope or a figure
	Each  float64  // in place of it, from a page that From names
	Over  []string // dimensions that it is divided by: of a slope the run's, else the fleet's
	Times []string // dimensions of the fleet that it is multiplied with
	Scale float64  // its unit
	Bound string   // of the fleet
	Fleet string   // "" for all: the only one that it is of
	Says  string   // in place of a figure: what is not known, or not there
	From  string
}

// Role is somebody who does something for the fleet.
type Role struct {
	Name    string
	Carried string // by what, and where it lives
	State   string // what it keeps
	Rows    []Row
}

// Run is where the slopes and figures come from.
type Run struct {
	Experiment, Command string
	Seed                uint64
	Cores               int
	Speedup             float64
}

// Inputs are all that the page is made of.
type Inputs struct {
	Fleets  []Fleet
	Runs    []Run
	Slopes  []Slope
	Figures []Figure
	Roles   []Role
}

const most = 1e15

// ReadFleets reads the file of fleets.
func (in *Inputs) ReadFleets(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	for _, t := range top.TableList("fleets") {
		f := Fleet{Name: t.Text("name", ""), Has: map[string]float64{}, May: map[string]float64{}}
		if f.Name == "" {
			t.AddError("name", nil, "a name")
		}
		for _, d := range dims {
			f.Has[d.name] = t.Number(d.name, math.NaN(), 0, most)
		}
		for _, b := range bounds {
			if t.Has(b.name) {
				f.May[b.name] = t.Number(b.name, 0, 0, most)
			}
		}
		t.RejectUnknownKeys()
		in.Fleets = append(in.Fleets, f)
	}
	if len(in.Fleets) == 0 {
		top.AddErrorAt("fleets", "", "one fleet at least, [[fleets]]")
	}
	top.RejectUnknownKeys()
	return top.Err()
}

// ReadSlopes reads a file that a scale run has written, after those of others.
func (in *Inputs) ReadSlopes(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	run := top.Table("run")
	in.Runs = append(in.Runs, Run{Experiment: run.Text("experiment", ""), Command: run.Text("command", ""), Seed: uint64(run.Integer("seed", 0, 0, math.MaxInt64)), Cores: run.Integer("cores", 0, 0, 4096), Speedup: run.Number("faster", 0, 0, most)})
	run.RejectUnknownKeys()
	for _, t := range top.TableList("slopes") {
		number := func(key string) float64 { return t.Number(key, math.NaN(), -most, most) }
		s := Slope{By: t.Text("by", ""), Cost: t.Text("cost", ""), At0: number("at0"), Slope: number("slope"), Low: number("low"), High: number("high"),
			Least: number("least"), Largest: number("largest"), Predicted: number("predicted"), PredLow: number("predicted_low"), PredHigh: number("predicted_high"), Measured: number("measured"), Quiet: number("busy_least"), MaxBusyPercent: number("busy_most"), Base: map[string]float64{}}
		s.Name = s.By + "." + s.Cost
		base := t.Table("base")
		for _, d := range []string{"sidecars", "services", "endpoints", "changes"} {
			s.Base[d] = base.Number(d, 0, 0, most)
		}
		base.RejectUnknownKeys()
		if math.IsNaN(s.At0 + s.Slope) {
			t.AddError("slope", nil, "a line: at0 and slope")
		}
		if in.slope(s.Name) != nil {
			t.AddError("cost", s.Name, "a slope that no other run has")
		}
		t.RejectUnknownKeys()
		in.Slopes = append(in.Slopes, s)
	}
	for _, t := range top.TableList("figures") {
		f := Figure{t.Text("name", ""), t.Number("value", math.NaN(), -most, most)}
		if in.figure(f.Name) != nil {
			t.AddError("name", f.Name, "a name of its own")
		}
		in.Figures = append(in.Figures, f)
		t.RejectUnknownKeys()
	}
	top.RejectUnknownKeys()
	return top.Err()
}

// ReadRoles reads the file of roles, after fleets and slopes: what it names must be there.
func (in *Inputs) ReadRoles(file string, text []byte) error {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return err
	}
	for _, t := range top.TableList("roles") {
		r := Role{Name: t.Text("name", ""), Carried: t.Text("carried", "None yet"), State: t.Text("state", "")}
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
	r := Row{What: t.Text("what", ""), Of: t.Text("of", ""), Each: t.Number("each", math.NaN(), -most, most), Over: t.TextList("over"), Times: t.TextList("times"),
		Scale: t.Number("scale", 1, -most, most), Bound: t.Text("bound", ""), Fleet: t.Text("fleet", ""), Says: t.Text("says", ""), From: t.Text("from", "")}
	given := 0
	for _, is := range []bool{r.Of != "", !math.IsNaN(r.Each), r.Says != ""} {
		if is {
			given++
		}
	}
	if given != 1 {
		t.AddError("of", r.Of, "one of of, each and says")
	}
	if r.Of != "" && in.slope(r.Of) == nil && in.figure(r.Of) == nil {
		t.AddError("of", r.Of, "a slope or a figure that the run has written")
	}
	if !math.IsNaN(r.Each) && r.From == "" {
		t.AddError("from", nil, "where the figure is from")
	}
	known := func(key string, names []string, among []struct{ name, words string }) {
		for _, n := range names {
			if !slices.ContainsFunc(among, func(d struct{ name, words string }) bool { return d.name == n }) {
				t.AddError(key, n, "a key of a fleet")
			}
		}
	}
	known("times", r.Times, dims)
	if r.Bound != "" {
		known("bound", []string{r.Bound}, bounds)
	}
	if s := in.slope(r.Of); s != nil {
		for _, o := range r.Over {
			if s.Base[o] == 0 {
				t.AddError("over", o, "a dimension of the run's fleet")
			}
		}
	} else {
		known("over", r.Over, dims)
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
