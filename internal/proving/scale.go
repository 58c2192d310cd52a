package proving

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

// Scale is an experiment of its own kind: hundreds of hollow sidecars, and what their
// control costs at several sizes and over a day that is played faster than life.
type Scale struct {
	Name    string
	Seed    uint64
	Base    Size
	Each    int           // sidecars in a process
	Settle  time.Duration // before a size is measured
	Span    time.Duration // in which it is
	Sweeps  []Sweep
	Reals   []Size // single processes of the program, measured in the same way
	Reloads []Size // of which one whole configuration is applied anew
	Day     *Day
	Chains  *Chains // what a sweep of depth plays
	Beside  *Beside
}

// Size is a fleet to be measured.
type Size struct {
	Sidecars  int
	Services  int
	Endpoints int     // of a service
	Changes   float64 // of lists, a minute
}

// Sweep measures one dimension at several sizes, in rising order; the others are the
// base's.
type Sweep struct {
	Of    string
	Sizes []int
}

// dimensions are what a sweep can be of.
var dimensions = map[string]func(*Size, int){
	"sidecars":  func(s *Size, n int) { s.Sidecars = n },
	"services":  func(s *Size, n int) { s.Services = n },
	"endpoints": func(s *Size, n int) { s.Endpoints = n },
	"changes":   func(s *Size, n int) { s.Changes = float64(n) },
	"depth":     func(*Size, int) {}, // of chains, which have no hollow sidecars
}

// Day is a day of the fleet, played within Span.
type Day struct {
	Fleet    Size // its Changes are those of the day by the minute of life
	Span     time.Duration
	Changes  int // of the day
	Restarts int
	Machines int           // that fail, each for an hour of life
	Machine  int           // sidecars of a machine
	Regions  int           // zone z is of region z mod Regions
	Zones    int           // sidecar i is of zone i mod Zones
	Region   time.Duration // delay of the way from the other regions to the first one
	Zone     time.Duration // and from the other zones of the first region
	Events   []ScaleEvent
}

// Faster is how much faster than life the day is played.
func (d *Day) Faster() float64 { return (24 * time.Hour).Seconds() / d.Span.Seconds() }

// ScaleEvent is done to a place at an hour of the day.
type ScaleEvent struct {
	Hour  float64
	Do    string // cut, heal and weather of the way to the registry; stop and start of sidecars
	Place string // region-, zone-, rack- or machine- and a number
	To    Weather
	key   string
}

const (
	mostPools     = 12000 // sidecars by services: each is a connection, and a process has some 20,000 descriptors
	mostProcesses = 300
	rackMachines  = 4
	heapOf        = 20 // changes that come at one moment
)

// ReadAny reads an experiment of either kind; one of the two is nil.
func ReadAny(path string) (*Experiment, *Scale, error) {
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

// ParseScale reads the text of a scale run.
func ParseScale(file string, text []byte) (*Scale, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := &Scale{}
	top.OneOf("kind", "", "scale")
	s.Name = top.Text("name", strings.TrimSuffix(filepath.Base(file), ".toml"))
	s.Seed = uint64(top.Integer("seed", 1, 0, math.MaxInt64))
	s.Settle = top.Duration("settle", 1500*time.Millisecond, 10*time.Millisecond)
	s.Span = top.Duration("span", 4*time.Second, 100*time.Millisecond)
	fleet := top.Table("fleet")
	s.Each = fleet.Integer("each", 100, 1, 1000)
	s.Base = size(fleet, Size{Sidecars: 24, Services: 10, Endpoints: 10, Changes: 60})
	fleet.RejectUnknownKeys()
	s.Chains = chains(top.Table("chains"))
	for _, t := range top.TableList("sweeps") {
		s.sweep(t)
	}
	one := s.Base
	one.Sidecars = 1
	for _, key := range []string{"reals", "reloads"} {
		for _, t := range top.TableList(key) {
			x := size(t, one)
			if x.Sidecars != 1 {
				t.AddError("sidecars", x.Sidecars, "one")
			}
			t.RejectUnknownKeys()
			if key == "reals" {
				s.Reals = append(s.Reals, x)
			} else {
				s.Reloads = append(s.Reloads, x)
			}
		}
	}
	if top.Has("beside") {
		s.Beside = beside(top.Table("beside"), one)
	}
	if top.Has("day") {
		s.day(top.Table("day"))
	}
	if len(s.Sweeps) == 0 && s.Day == nil && s.Beside == nil && len(s.Reals) == 0 && len(s.Reloads) == 0 {
		top.AddErrorAt("sweeps", "", "something to measure: [[sweeps]], [[reals]], [[reloads]], [beside] or [day]")
	}
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// NeedsProgram tells whether processes of the program are played besides hollow sidecars.
func (s *Scale) NeedsProgram() bool {
	return len(s.Reals) > 0 || s.Beside != nil || slices.ContainsFunc(s.Sweeps, func(w Sweep) bool { return w.Of == "depth" })
}

// size reads what a fleet has; what is not there is as in without.
func size(t *tomlfile.Table, without Size) Size {
	s := Size{
		Sidecars: t.Integer("sidecars", without.Sidecars, 1, 5000), Services: t.Integer("services", without.Services, 1, 1000),
		Endpoints: t.Integer("endpoints", without.Endpoints, 1, 250), Changes: t.Number("changes", without.Changes, 0, 1e5),
	}
	if n := s.Sidecars * s.Services; n > mostPools {
		t.AddError("sidecars", n, fmt.Sprintf("%d at most, times services: each is a connection", mostPools))
	}
	return s
}

func (s *Scale) sweep(t *tomlfile.Table) {
	names := make([]string, 0, len(dimensions))
	for name := range dimensions {
		names = append(names, name)
	}
	slices.Sort(names)
	w := Sweep{Of: t.OneOf("of", "", names...)}
	list, _ := t.Get("sizes")
	all, _ := list.([]any)
	for _, v := range all {
		n, ok := v.(int64)
		if !ok || n < 1 || len(w.Sizes) > 0 && int(n) <= w.Sizes[len(w.Sizes)-1] {
			t.AddError("sizes", v, "whole numbers, each above the one before")
			continue
		}
		w.Sizes = append(w.Sizes, int(n))
	}
	if len(w.Sizes) < 4 {
		t.AddError("sizes", list, "four sizes at least")
	} else if set := dimensions[w.Of]; set != nil {
		last := s.Base
		set(&last, w.Sizes[len(w.Sizes)-1])
		if w.Of == "depth" && w.Sizes[len(w.Sizes)-1] > mostDepth {
			t.AddError("sizes", list, fmt.Sprintf("a depth of %d at most, each tier is a process", mostDepth))
		}
		if w.Of != "endpoints" && w.Of != "changes" && last.Sidecars*last.Services > mostPools || last.Endpoints > 250 || last.Changes > 1e5 {
			t.AddError("sizes", list, fmt.Sprintf("sidecars times services of %d at most, 250 endpoints, 100,000 changes a minute", mostPools))
		}
	}
	t.RejectUnknownKeys()
	s.Sweeps = append(s.Sweeps, w)
}

func (s *Scale) day(t *tomlfile.Table) {
	d := &Day{Fleet: size(t, s.Base)}
	d.Span = t.Duration("span", time.Minute, time.Second)
	d.Changes = t.Integer("changes_a_day", 2700, 0, 1e6)
	d.Restarts = t.Integer("restarts", 260, 0, 1e5)
	d.Machines = t.Integer("machines_fail", 6, 0, 1000)
	d.Machine = t.Integer("machine", 4, 1, 1000)
	d.Regions, d.Zones = t.Integer("regions", 3, 1, 50), t.Integer("zones", 7, 1, 100)
	d.Region, d.Zone = t.Duration("region_delay", 0, 0), t.Duration("zone_delay", 0, 0)
	d.Fleet.Changes = float64(d.Changes) / (24 * 60)
	for _, et := range t.TableList("events") {
		e := ScaleEvent{Hour: et.Number("hour", 0, 0, 24), Do: et.OneOf("do", "", "cut", "heal", "weather", "stop", "start"), Place: et.Text("on", ""), key: et.KeyPath("do")}
		if e.Do == "weather" {
			e.To = weather(et)
		}
		if len(d.at(e.Place)) == 0 {
			et.AddError("on", e.Place, "a place with sidecars: region-, zone-, rack- or machine- and a number from 0")
		} else if kind, _, _ := strings.Cut(e.Place, "-"); (kind == "rack" || kind == "machine") && e.Do != "stop" && e.Do != "start" {
			et.AddError("on", e.Place, "a region or a zone: "+e.Do+" is of its way to the registry")
		}
		et.RejectUnknownKeys()
		d.Events = append(d.Events, e)
	}
	t.RejectUnknownKeys()
	s.Day = d
}

// zone and machine are where a sidecar is; a zone's sidecars fill its machines in turn.
func (d *Day) zone(sidecar int) int { return sidecar % d.Zones }

func (d *Day) machine(sidecar int) int {
	return d.zone(sidecar) + d.Zones*(sidecar/d.Zones/d.Machine)
}

// rack is the rack of a machine: rackMachines of a zone.
func (d *Day) rack(machine int) int {
	return machine%d.Zones + d.Zones*(machine/d.Zones/rackMachines)
}

// at are the sidecars of a place; none where there is no such place.
func (d *Day) at(place string) (all []int) {
	kind, number, _ := strings.Cut(place, "-")
	k, err := strconv.Atoi(number)
	if err != nil {
		return nil
	}
	for i := range d.Fleet.Sidecars {
		where, known := map[string]int{
			"region": d.zone(i) % d.Regions, "zone": d.zone(i), "rack": d.rack(d.machine(i)), "machine": d.machine(i),
		}[kind]
		if known && where == k {
			all = append(all, i)
		}
	}
	return all
}

// dayDeed is one thing that happens in a day.
type dayDeed struct {
	hour     float64
	do       string // edit, restart, and what a ScaleEvent does
	count    int    // of edits
	place    string
	sidecars []int
	to       Weather
}

// deeds is all that happens in a day, in order: the same seed gives the same day. Of the
// changes six in ten come between nine and one o'clock, two in ten in heaps, as a release
// does, and the rest at any hour.
func (d *Day) deeds(seed uint64) (all []dayDeed) {
	rng := rand.New(rand.NewPCG(seed, 0x646179))
	heaps := d.Changes / 5 / heapOf
	for range heaps {
		all = append(all, dayDeed{hour: 24 * rng.Float64(), do: "edit", count: heapOf})
	}
	for i := range d.Changes - heaps*heapOf {
		hour := 24 * rng.Float64()
		if i < d.Changes*6/10 {
			hour = 9 + 4*rng.Float64()
		}
		all = append(all, dayDeed{hour: hour, do: "edit", count: 1})
	}
	for range d.Restarts {
		all = append(all, dayDeed{hour: 24 * rng.Float64(), do: "restart", sidecars: []int{rng.IntN(d.Fleet.Sidecars)}})
	}
	for range d.Machines {
		place := fmt.Sprintf("machine-%d", d.machine(rng.IntN(d.Fleet.Sidecars)))
		hour := 22 * rng.Float64()
		all = append(all, dayDeed{hour: hour, do: "stop", place: place, sidecars: d.at(place)}, dayDeed{hour: hour + 1, do: "start", place: place, sidecars: d.at(place)})
	}
	for _, e := range d.Events {
		x := dayDeed{hour: e.Hour, do: e.Do, place: e.Place, to: e.To}
		if x.do == "stop" || x.do == "start" {
			x.sidecars = d.at(e.Place)
		}
		all = append(all, x)
	}
	slices.SortStableFunc(all, func(a, b dayDeed) int { return cmp.Compare(a.hour, b.hour) })
	return all
}
