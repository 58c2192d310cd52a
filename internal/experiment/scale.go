package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gorselink/internal/tomlfile"
)

// ScaleExperiment measures the control traffic of hundreds of hollow sidecars, at several fleet
// sizes and over a simulated day.
type ScaleExperiment struct {
	Name               string
	Seed               uint64
	Base               Size
	SidecarsPerProcess int
	SettleTime         time.Duration // wait before a measurement
	Duration           time.Duration // of a measurement
	Sweeps             []Sweep
	RealSidecars       []Size // processes of the program, each measured alone
	Reloads            []Size // sizes at which a configuration reload is measured
	Day                *Day
	Chains             *Chains // used by sweeps of depth
	BackgroundChurn    *BackgroundChurn
}

// Size is the size of a fleet.
type Size struct {
	Sidecars  int
	Services  int
	Endpoints int     // per service
	Changes   float64 // endpoint changes per minute, over all services
}

// Sweep measures one dimension at several sizes in rising order. The other dimensions are those
// of the base size.
type Sweep struct {
	Dimension string
	Sizes     []int
}

// dimensions holds the dimensions of sweeps, with functions that set them.
var dimensions = map[string]func(*Size, int){
	"sidecars":  func(s *Size, n int) { s.Sidecars = n },
	"services":  func(s *Size, n int) { s.Services = n },
	"endpoints": func(s *Size, n int) { s.Endpoints = n },
	"changes":   func(s *Size, n int) { s.Changes = float64(n) },
	"depth":     func(*Size, int) {}, // of chains, which use no hollow sidecars
}

// Day is a simulated day of the fleet, which takes Duration in real time.
type Day struct {
	Fleet              Size // Fleet.Changes are per minute of simulated time
	Duration           time.Duration
	Changes            int // in the day
	Restarts           int
	MachineFailures    int // each lasts one simulated hour
	SidecarsPerMachine int
	Regions            int           // zone z is in region z mod Regions
	Zones              int           // sidecar i is in zone i mod Zones
	RegionDelay        time.Duration // delay from the other regions to the first one
	ZoneDelay          time.Duration // delay from the other zones of the first region
	Events             []ScaleEvent
}

// Speedup returns the ratio of simulated time to real time.
func (d *Day) Speedup() float64 { return (24 * time.Hour).Seconds() / d.Duration.Seconds() }

// ScaleEvent is an action on a location at an hour of the day.
type ScaleEvent struct {
	Hour       float64
	Action     string // cut, heal or weather for the link to the registry; stop or start for sidecars
	Location   string // region-, zone-, rack- or machine- followed by a number
	Conditions Conditions
	key        string
}

const (
	maxConnections  = 12000 // sidecars times services, as each pair is a connection; a process has about 20,000 descriptors
	maxProcesses    = 300
	machinesPerRack = 4
	changesPerBatch = 20 // changes that happen at once
)

// ReadAny reads an experiment file of either kind; the other result is nil.
func ReadAny(path string) (*Experiment, *ScaleExperiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	top, err := tomlfile.Parse(path, text)
	if err != nil {
		return nil, nil, err
	}
	if top.Text("kind", "") != "scale" {
		e, err := Parse(path, text)
		return e, nil, err
	}
	s, err := ParseScale(path, text)
	return nil, s, err
}

// ParseScale parses the text of a scale experiment.
func ParseScale(file string, text []byte) (*ScaleExperiment, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := &ScaleExperiment{}
	top.OneOf("kind", "", "scale")
	s.Name = top.Text("name", strings.TrimSuffix(filepath.Base(file), ".toml"))
	s.Seed = uint64(top.Integer("seed", 1, 0, math.MaxInt64))
	s.SettleTime = top.Duration("settle", 1500*time.Millisecond, 10*time.Millisecond)
	s.Duration = top.Duration("span", 4*time.Second, 100*time.Millisecond)
	fleet := top.Table("fleet")
	s.SidecarsPerProcess = fleet.Integer("each", 100, 1, 1000)
	s.Base = parseSize(fleet, Size{Sidecars: 24, Services: 10, Endpoints: 10, Changes: 60})
	fleet.RejectUnknownKeys()
	s.Chains = parseChains(top.Table("chains"))
	for _, t := range top.TableList("sweeps") {
		s.parseSweep(t)
	}
	single := s.Base
	single.Sidecars = 1
	for _, key := range []string{"reals", "reloads"} {
		for _, t := range top.TableList(key) {
			x := parseSize(t, single)
			if x.Sidecars != 1 {
				t.AddError("sidecars", x.Sidecars, "exactly 1")
			}
			t.RejectUnknownKeys()
			if key == "reals" {
				s.RealSidecars = append(s.RealSidecars, x)
			} else {
				s.Reloads = append(s.Reloads, x)
			}
		}
	}
	if top.Has("beside") {
		s.BackgroundChurn = parseBackgroundChurn(top.Table("beside"), single)
	}
	if top.Has("day") {
		s.parseDay(top.Table("day"))
	}
	if len(s.Sweeps) == 0 && s.Day == nil && s.BackgroundChurn == nil && len(s.RealSidecars) == 0 && len(s.Reloads) == 0 {
		top.AddErrorAt("sweeps", "", "something to measure: [[sweeps]], [[reals]], [[reloads]], [beside] or [day]")
	}
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// NeedsProgram reports whether the experiment starts processes of the program.
func (s *ScaleExperiment) NeedsProgram() bool {
	return len(s.RealSidecars) > 0 || s.BackgroundChurn != nil || slices.ContainsFunc(s.Sweeps, func(w Sweep) bool { return w.Dimension == "depth" })
}

// parseSize reads a size; missing keys get their values from defaults.
func parseSize(t *tomlfile.Table, defaults Size) Size {
	s := Size{
		Sidecars: t.Integer("sidecars", defaults.Sidecars, 1, 5000), Services: t.Integer("services", defaults.Services, 1, 1000),
		Endpoints: t.Integer("endpoints", defaults.Endpoints, 1, 250), Changes: t.Number("changes", defaults.Changes, 0, 1e5),
	}
	if n := s.Sidecars * s.Services; n > maxConnections {
		t.AddError("sidecars", n, fmt.Sprintf("sidecars times services at most %d, as each pair is a connection", maxConnections))
	}
	return s
}

func (s *ScaleExperiment) parseSweep(t *tomlfile.Table) {
	names := make([]string, 0, len(dimensions))
	for name := range dimensions {
		names = append(names, name)
	}
	slices.Sort(names)
	w := Sweep{Dimension: t.OneOf("of", "", names...)}
	list, _ := t.Get("sizes")
	all, _ := list.([]any)
	for _, v := range all {
		n, ok := v.(int64)
		if !ok || n < 1 || len(w.Sizes) > 0 && int(n) <= w.Sizes[len(w.Sizes)-1] {
			t.AddError("sizes", v, "whole numbers in rising order")
			continue
		}
		w.Sizes = append(w.Sizes, int(n))
	}
	if len(w.Sizes) < 4 {
		t.AddError("sizes", list, "at least four sizes")
	} else if set := dimensions[w.Dimension]; set != nil {
		last := s.Base
		set(&last, w.Sizes[len(w.Sizes)-1])
		if w.Dimension == "depth" && w.Sizes[len(w.Sizes)-1] > maxChainDepth {
			t.AddError("sizes", list, fmt.Sprintf("a depth of at most %d, as each tier is a process", maxChainDepth))
		}
		if w.Dimension != "endpoints" && w.Dimension != "changes" && last.Sidecars*last.Services > maxConnections || last.Endpoints > 250 || last.Changes > 1e5 {
			t.AddError("sizes", list, fmt.Sprintf("sizes with at most %d for sidecars times services, 250 endpoints and 100,000 changes per minute", maxConnections))
		}
	}
	t.RejectUnknownKeys()
	s.Sweeps = append(s.Sweeps, w)
}

func (s *ScaleExperiment) parseDay(t *tomlfile.Table) {
	d := &Day{Fleet: parseSize(t, s.Base)}
	d.Duration = t.Duration("span", time.Minute, time.Second)
	d.Changes = t.Integer("changes_a_day", 2700, 0, 1e6)
	d.Restarts = t.Integer("restarts", 260, 0, 1e5)
	d.MachineFailures = t.Integer("machines_fail", 6, 0, 1000)
	d.SidecarsPerMachine = t.Integer("machine", 4, 1, 1000)
	d.Regions, d.Zones = t.Integer("regions", 3, 1, 50), t.Integer("zones", 7, 1, 100)
	d.RegionDelay, d.ZoneDelay = t.Duration("region_delay", 0, 0), t.Duration("zone_delay", 0, 0)
	d.Fleet.Changes = float64(d.Changes) / (24 * 60)
	for _, et := range t.TableList("events") {
		e := ScaleEvent{Hour: et.Number("hour", 0, 0, 24), Action: et.OneOf("do", "", "cut", "heal", "weather", "stop", "start"), Location: et.Text("on", ""), key: et.KeyPath("do")}
		if e.Action == "weather" {
			e.Conditions = parseConditions(et)
		}
		if len(d.sidecarsAt(e.Location)) == 0 {
			et.AddError("on", e.Location, "a location with sidecars: region-, zone-, rack- or machine- and a number from 0")
		} else if kind, _, _ := strings.Cut(e.Location, "-"); (kind == "rack" || kind == "machine") && e.Action != "stop" && e.Action != "start" {
			et.AddError("on", e.Location, "a region or a zone: "+e.Action+" applies to its link to the registry")
		}
		et.RejectUnknownKeys()
		d.Events = append(d.Events, e)
	}
	t.RejectUnknownKeys()
	s.Day = d
}

// zoneOf returns the zone of a sidecar.
func (d *Day) zoneOf(sidecar int) int { return sidecar % d.Zones }

// machineOf returns the machine of a sidecar. All sidecars of a machine are in one zone.
func (d *Day) machineOf(sidecar int) int {
	return d.zoneOf(sidecar) + d.Zones*(sidecar/d.Zones/d.SidecarsPerMachine)
}

// rackOf returns the rack of a machine. A rack holds machinesPerRack machines of one zone.
func (d *Day) rackOf(machine int) int {
	return machine%d.Zones + d.Zones*(machine/d.Zones/machinesPerRack)
}

// sidecarsAt returns the sidecars at a location, or none for an unknown location.
func (d *Day) sidecarsAt(place string) (all []int) {
	kind, number, _ := strings.Cut(place, "-")
	k, err := strconv.Atoi(number)
	if err != nil {
		return nil
	}
	for i := range d.Fleet.Sidecars {
		index, known := map[string]int{
			"region": d.zoneOf(i) % d.Regions, "zone": d.zoneOf(i), "rack": d.rackOf(d.machineOf(i)), "machine": d.machineOf(i),
		}[kind]
		if known && index == k {
			all = append(all, i)
		}
	}
	return all
}

// dayAction is an action in a simulated day.
type dayAction struct {
	hour       float64
	action     string // edit, restart or the action of a ScaleEvent
	editCount  int    // number of changes of an edit
	location   string
	sidecars   []int
	conditions Conditions
}

// actionsInOrder returns all actions of a day by time; they depend only on the seed. 60% of the
// changes are between 9:00 and 13:00, 20% are in batches at random hours, as in releases, and the
// rest are single changes at random hours.
func (d *Day) actionsInOrder(seed uint64) (all []dayAction) {
	rng := rand.New(rand.NewPCG(seed, 0x646179))
	batches := d.Changes / 5 / changesPerBatch
	for range batches {
		all = append(all, dayAction{hour: 24 * rng.Float64(), action: "edit", editCount: changesPerBatch})
	}
	for i := range d.Changes - batches*changesPerBatch {
		hour := 24 * rng.Float64()
		if i < d.Changes*6/10 {
			hour = 9 + 4*rng.Float64()
		}
		all = append(all, dayAction{hour: hour, action: "edit", editCount: 1})
	}
	for range d.Restarts {
		all = append(all, dayAction{hour: 24 * rng.Float64(), action: "restart", sidecars: []int{rng.IntN(d.Fleet.Sidecars)}})
	}
	for range d.MachineFailures {
		place := fmt.Sprintf("machine-%d", d.machineOf(rng.IntN(d.Fleet.Sidecars)))
		hour := 22 * rng.Float64()
		all = append(all, dayAction{hour: hour, action: "stop", location: place, sidecars: d.sidecarsAt(place)}, dayAction{hour: hour + 1, action: "start", location: place, sidecars: d.sidecarsAt(place)})
	}
	for _, e := range d.Events {
		x := dayAction{hour: e.Hour, action: e.Action, location: e.Location, conditions: e.Conditions}
		if x.action == "stop" || x.action == "start" {
			x.sidecars = d.sidecarsAt(e.Location)
		}
		all = append(all, x)
	}
	slices.SortStableFunc(all, func(a, b dayAction) int { return cmp.Compare(a.hour, b.hour) })
	return all
}
