// Package experiment runs experiments against the program: many of its processes in front of
// fake nodes, with open-loop load, emulated network faults and scheduled events. All measures
// are taken at the nodes and at the callers.
package experiment

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/tomlfile"
	"gorselink/traffic"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name           string
	Seed           uint64
	Duration       time.Duration // of the load
	Step           time.Duration // interval over which the measures peak and cold are computed
	Instances      Instances
	Nodes          Nodes
	Streams        []traffic.Stream
	MaxConnections int // of all callers together
	Groups         []Group
	Links          []Link
	Events         []Event
	Windows        []Window
	Expectations   []Expectation

	groupIndex map[string]int // index in Groups by name
	linkIndex  map[string]int
}

// Instances describes the processes of the program.
type Instances struct {
	Count        int
	Program      string   // path; "" if the builds are given on the command line
	Arguments    []string // each is a template of InstanceInfo
	Config       string   // template of InstanceInfo, written to a file before each start
	Ports        []string // port names; callers use the first one
	Ready        string   // path that returns 200 once the instance can serve; "none" if it gets no requests
	ReadyTimeout time.Duration
	DrainTimeout time.Duration // time in which an instance must exit after SIGTERM
	HeavyCount   int           // number of instances that get HeavyWeight times the requests of the others
	HeavyWeight  float64

	configTemplate    *template.Template
	argumentTemplates []*template.Template
}

// Nodes describes the fake nodes.
type Nodes struct {
	Count        int
	Cores        int
	Work         time.Duration // mean time per request
	ConstantWork bool          // every request takes Work; otherwise its time is drawn from an exponential distribution
	Queue        int
	WarmUp       time.Duration // how long a returned node is cold
	ColdShare    float64       // share of its speed with which a cold node begins
	DrainTime    time.Duration // how long a node that has left the list may still get requests
	AbsentGroup  string        // group of nodes that are not on the list at the start
}

// Kind is the kind of the members of a group.
type Kind string

const (
	KindCallers   Kind = "callers"
	KindInstances Kind = "instances"
	KindNodes     Kind = "nodes"
)

// Group is a set of parties of one kind, by index. A party is an instance, a node, or all callers
// together.
type Group struct {
	Name    string
	Kind    Kind
	Members []int
}

// Contains reports whether the group has member i.
func (g *Group) Contains(i int) bool { _, ok := slices.BinarySearch(g.Members, i); return ok }

// Link sets the network conditions from each member of one group to each member of another.
// Members without a link are connected directly.
type Link struct {
	Name       string
	From, To   string // names of groups
	Conditions Conditions
}

// Event is an action on the members of a group or on a link.
type Event struct {
	At         time.Duration
	Action     string
	Target     string        // name of a group or a link
	Factor     float64       // of the action slow
	Direction  Direction     // for actions on a link
	Conditions Conditions    // of the action weather
	Stagger    time.Duration // delay from one member to the next
	Repeat     int           // number of times that the action is performed
	Period     time.Duration // time between repetitions

	key string // key in the file, for errors
}

// Window is a time range for measures. It selects requests by the time they are due, and
// arrivals by their time.
type Window struct {
	Name     string
	From, To time.Duration
}

// Expectation bounds a measure.
type Expectation struct {
	Measure string
	Window  string // "" for the whole load
	Group   string // of nodes, or of the instances that callers sent requests to
	Stream  string
	Min     float64 // -Inf if unset
	Max     float64 // +Inf if unset
}

func (w *Expectation) String() string {
	s := w.Measure
	if w.Group != "" {
		s += " of " + w.Group
	}
	if w.Stream != "" {
		s += " of " + w.Stream
	}
	if w.Window != "" {
		s += " in " + w.Window
	}
	return s
}

// Defaults and limits of experiment files.
const (
	defaultMaxConnections = 1000
	defaultBudget         = 10 * time.Second
	maxInstances          = 1000
	maxNodes              = 1000
	maxDuration           = time.Hour
)

// Read reads an experiment file. The error lists everything that is wrong, with line and key.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse parses the text of an experiment. Paths in it are relative to the folder of file.
func Parse(file string, text []byte) (*Experiment, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	e := &Experiment{groupIndex: map[string]int{}, linkIndex: map[string]int{}}
	e.Name = top.Text("name", strings.TrimSuffix(filepath.Base(file), ".toml"))
	e.Seed = uint64(top.Integer("seed", 1, 0, math.MaxInt64))
	e.Step = top.Duration("step", 500*time.Millisecond, 10*time.Millisecond)
	e.MaxConnections = top.Integer("connections", defaultMaxConnections, 1, 20000)
	e.parseInstances(top.Table("instances"), filepath.Dir(file))
	e.parseNodes(top.Table("nodes"))
	e.parseStreams(top)
	e.parseGroups(top)
	if a := e.Nodes.AbsentGroup; a != "" && e.lookupGroup(a, KindNodes) == nil {
		top.AddErrorAt("nodes.absent", tomlfile.FormatValue(a), "a group of nodes")
	}
	e.parseLinks(top)
	e.parseEvents(top)
	e.parseWindows(top)
	e.parseExpectations(top)
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) parseInstances(t *tomlfile.Table, dir string) {
	n := &e.Instances
	n.Count = t.Integer("count", 1, 1, maxInstances)
	if n.Program = t.Text("program", ""); n.Program != "" && !filepath.IsAbs(n.Program) {
		n.Program = filepath.Join(dir, n.Program)
	}
	if n.Arguments = t.TextList("arguments"); n.Arguments == nil {
		n.Arguments = []string{"serve", "--config", "{{.Config}}"}
	}
	n.Config = t.Text("config", defaultConfig)
	if n.Ports = t.TextList("ports"); len(n.Ports) == 0 {
		n.Ports = []string{"front"}
	}
	seen := map[string]bool{}
	for i, p := range n.Ports {
		if seen[p] || !tomlfile.ValidName(p) || i >= maxPorts {
			t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("ports"), i), tomlfile.FormatValue(p), fmt.Sprintf("unique names, %d at most", maxPorts))
		}
		seen[p] = true
	}
	n.Ready = t.Text("ready", "/")
	if n.Ready != "none" && !strings.HasPrefix(n.Ready, "/") {
		t.AddError("ready", n.Ready, "a path, or none for processes that get no requests")
	}
	n.ReadyTimeout = t.Duration("ready_within", 20*time.Second, time.Millisecond)
	n.DrainTimeout = t.Duration("drain", 20*time.Second, time.Millisecond)
	n.HeavyCount = t.Integer("heavy", 0, 0, n.Count)
	n.HeavyWeight = t.Number("weight", 1, 0.001, 1000)
	// Executing the templates with sample data reports unknown fields now rather than when
	// an instance starts.
	sample := &InstanceInfo{Index: 0, Count: n.Count, ports: n.Ports, peerCount: n.Count}
	parseTemplate := func(path, text string) *template.Template {
		tm, err := template.New("").Option("missingkey=error").Parse(text)
		if err == nil {
			err = tm.Execute(new(strings.Builder), sample)
		}
		if err != nil {
			t.AddErrorAt(path, "an invalid template ("+strings.TrimPrefix(err.Error(), "template: ")+")", "a template of text/template")
		}
		return tm
	}
	n.configTemplate = parseTemplate(t.KeyPath("config"), n.Config)
	for i, a := range n.Arguments {
		n.argumentTemplates = append(n.argumentTemplates, parseTemplate(tomlfile.ElementPath(t.KeyPath("arguments"), i), a))
	}
	t.RejectUnknownKeys()
}

// defaultConfig is a configuration for gorselink serve with one pool of all nodes.
const defaultConfig = `[process]
name = "{{.Name}}"
memory = "64 MiB"
descriptors = 512
cores = 1
instance = {{.Index}}
instances = {{.Count}}
[listeners.in]
address = "{{.Address "front"}}"
[pools.all]
nodes_file = "{{.NodesFile}}"
refresh = "100ms"
[[routes]]
pool = "all"
`

func (e *Experiment) parseNodes(t *tomlfile.Table) {
	n := &e.Nodes
	n.Count = t.Integer("count", 1, 1, maxNodes)
	n.Cores = t.Integer("cores", 4, 1, 1024)
	n.Work = t.Duration("work", 12*time.Millisecond, 0)
	n.ConstantWork = t.OneOf("spread", "exponential", "exponential", "none") == "none"
	n.Queue = t.Integer("queue", 0, 0, 1<<20)
	n.WarmUp = t.Duration("warm", 0, 0)
	n.ColdShare = t.Number("cold_share", 0.1, 0.001, 1)
	n.DrainTime = t.Duration("drain", time.Second, 0)
	n.AbsentGroup = t.Text("absent", "")
	t.RejectUnknownKeys()
}

func (e *Experiment) parseStreams(top *tomlfile.Table) {
	names := map[string]bool{}
	for i, t := range top.TableList("streams") {
		s := traffic.Stream{
			Name: t.Text("name", fmt.Sprintf("stream-%d", i+1)), Method: t.Text("method", "GET"), Host: t.Text("host", "proving"), Path: t.Text("path", "/"),
			Class: t.Text("class", ""), Body: t.Integer("body", 0, 0, 1<<20), WithIdempotencyKey: t.Bool("keyed", false), Budget: t.Duration("budget", defaultBudget, time.Millisecond), Skew: 1,
		}
		if names[s.Name] {
			t.AddError("name", s.Name, "a name that no other stream has")
		}
		names[s.Name] = true
		shape := t.Text("shape", "hold 100 10s")
		var err error
		if s.Shape, err = traffic.ParseShape(shape); err != nil {
			t.AddError("shape", shape, "a shape of gorselink load: "+err.Error())
		} else if e.Duration = max(e.Duration, s.Shape.Span()); e.Duration > maxDuration {
			t.AddError("shape", shape, "an hour at most")
		}
		s.Pattern, _ = traffic.ParsePattern(t.OneOf("arrivals", "poisson", "poisson", "even"))
		if err := s.Check(); err != nil {
			t.AddError("path", s.Path, err.Error())
		}
		t.RejectUnknownKeys()
		e.Streams = append(e.Streams, s)
	}
	if span := top.Duration("span", 0, time.Second); len(e.Streams) == 0 {
		if e.Duration = span; span == 0 {
			top.AddErrorAt("streams", "", "at least one stream, [[streams]], or a span without requests")
		}
	} else if span != 0 {
		top.AddError("span", span, "no span, as the streams determine it")
	}
}

// partyCount returns the number of parties of a kind. All callers together are one party.
func (e *Experiment) partyCount(k Kind) int {
	switch k {
	case KindInstances:
		return e.Instances.Count
	case KindNodes:
		return e.Nodes.Count
	}
	return 1
}

func (e *Experiment) parseGroups(top *tomlfile.Table) {
	add := func(g Group) {
		e.groupIndex[g.Name] = len(e.Groups)
		e.Groups = append(e.Groups, g)
	}
	for _, k := range []Kind{KindCallers, KindInstances, KindNodes} {
		g := Group{Name: string(k), Kind: k}
		for i := range e.partyCount(k) {
			g.Members = append(g.Members, i)
		}
		add(g)
	}
	for _, t := range top.TableList("groups") {
		g := Group{Name: t.Text("name", ""), Kind: Kind(t.OneOf("of", "nodes", "nodes", "instances"))}
		if _, exists := e.groupIndex[g.Name]; exists || !tomlfile.ValidName(g.Name) {
			t.AddError("name", g.Name, "a name of letters, digits, - and _ that no other group has")
		}
		n := e.partyCount(g.Kind)
		every, from := t.Integer("every", 1, 1, n), t.Integer("from", 0, 0, n-1)
		for maxMembers := t.Integer("members", n, 1, n); from < n && len(g.Members) < maxMembers; from += every {
			g.Members = append(g.Members, from)
		}
		t.RejectUnknownKeys()
		add(g)
	}
}

// lookupGroup returns the group with a name if it is of one of the given kinds, or nil.
func (e *Experiment) lookupGroup(name string, kinds ...Kind) *Group {
	if i, ok := e.groupIndex[name]; ok && slices.Contains(kinds, e.Groups[i].Kind) {
		return &e.Groups[i]
	}
	return nil
}

func (e *Experiment) parseLinks(top *tomlfile.Table) {
	paths := 0
	for _, t := range top.TableList("links") {
		l := Link{Name: t.Text("name", ""), From: t.Text("from", ""), To: t.Text("to", ""), Conditions: parseConditions(t)}
		_, exists := e.linkIndex[l.Name]
		if _, group := e.groupIndex[l.Name]; exists || group || !tomlfile.ValidName(l.Name) {
			t.AddError("name", l.Name, "a name of letters, digits, - and _ that no other link or group has")
		}
		from, to := e.lookupGroup(l.From, KindCallers, KindInstances), e.lookupGroup(l.To, KindInstances, KindNodes)
		switch {
		case from == nil:
			t.AddError("from", l.From, "callers or a group of instances")
		case to == nil || from.Kind == KindCallers && to.Kind == KindNodes:
			t.AddError("to", l.To, "a group of instances; or a group of nodes, if from is a group of instances")
		default:
			listenersPerPair := 1
			if from.Kind == KindInstances && to.Kind == KindInstances {
				listenersPerPair = 2 * len(e.Instances.Ports)
			}
			if paths += len(from.Members) * len(to.Members) * listenersPerPair; paths > maxLinkListeners {
				t.AddError("from", l.From, fmt.Sprintf("%d listeners at most over all links: use smaller groups", maxLinkListeners))
			}
		}
		t.RejectUnknownKeys()
		e.linkIndex[l.Name] = len(e.Links)
		e.Links = append(e.Links, l)
	}
}

// maxLinkListeners bounds the listeners of all links. Each connection over a link takes two
// file descriptors, and a process has about 10,000.
const maxLinkListeners = 5000

func parseConditions(t *tomlfile.Table) Conditions {
	return Conditions{
		Delay: t.Duration("delay", 0, 0), Jitter: t.Duration("jitter", 0, 0), Loss: t.Number("loss", 0, 0, 1),
		Rate: int64(t.Bytes("rate", 0, 1)),
	}
}

// Actions on groups of nodes, on groups of instances and on links. Nodes also accept the
// modes in fakeserver.ModesByName.
var (
	nodeActions     = []string{"slow", "vanish", "return", "leave", "join"}
	instanceActions = []string{"kill", "stop", "continue", "term", "start", "restart"}
	linkActions     = []string{"weather", "cut", "reset", "heal"}
)

func (e *Experiment) parseEvents(top *tomlfile.Table) {
	modes := slices.Clone(nodeActions)
	for m := range fakeserver.ModesByName {
		modes = append(modes, m)
	}
	slices.Sort(modes)
	for _, t := range top.TableList("events") {
		ev := Event{At: t.Duration("at", 0, 0), Target: t.Text("on", ""), Stagger: t.Duration("every", 0, 0), Repeat: t.Integer("times", 1, 1, 10000), Period: t.Duration("period", 0, 0), key: t.KeyPath("do")}
		var actions []string
		_, link := e.linkIndex[ev.Target]
		switch {
		case link:
			actions = linkActions
			ev.Direction = Direction(t.OneOf("way", string(DirectionBoth), string(DirectionBoth), string(DirectionOut), string(DirectionBack)))
		case e.lookupGroup(ev.Target, KindNodes) != nil:
			actions = modes
		case e.lookupGroup(ev.Target, KindInstances) != nil:
			actions = instanceActions
		default:
			t.AddError("on", ev.Target, "a group of nodes or instances, or a link")
		}
		if ev.Action = t.Text("do", ""); actions != nil && !slices.Contains(actions, ev.Action) {
			t.AddError("do", ev.Action, "one of "+strings.Join(actions, ", "))
		}
		switch ev.Action {
		case "slow":
			ev.Factor = t.Number("factor", 1, 0.001, 1e6)
		case "weather":
			ev.Conditions = parseConditions(t)
		}
		if ev.At > e.Duration {
			t.AddError("at", ev.At, fmt.Sprintf("a time within the load, %v at most", e.Duration))
		}
		if ev.Repeat > 1 && ev.Period == 0 {
			t.AddError("times", ev.Repeat, "a period with times above 1")
		}
		t.RejectUnknownKeys()
		e.Events = append(e.Events, ev)
	}
	slices.SortStableFunc(e.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (e *Experiment) parseWindows(top *tomlfile.Table) {
	for _, t := range top.TableList("windows") {
		w := Window{Name: t.Text("name", ""), From: t.Duration("from", 0, 0), To: t.Duration("to", e.Duration, 0)}
		if w.Name == "" || e.lookupWindow(w.Name) != nil {
			t.AddError("name", w.Name, "a name that no other window has")
		}
		if w.To <= w.From || w.To > e.Duration {
			t.AddError("to", w.To, fmt.Sprintf("a time after from and within the load, %v at most", e.Duration))
		}
		t.RejectUnknownKeys()
		e.Windows = append(e.Windows, w)
	}
}

// lookupWindow returns the window with a name, or nil. "" is the whole load.
func (e *Experiment) lookupWindow(name string) *Window {
	if name == "" {
		return &Window{To: e.Duration}
	}
	for i := range e.Windows {
		if e.Windows[i].Name == name {
			return &e.Windows[i]
		}
	}
	return nil
}

func (e *Experiment) parseExpectations(top *tomlfile.Table) {
	names := make([]string, 0, len(measures))
	for name := range measures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, t := range top.TableList("wants") {
		w := Expectation{Measure: t.OneOf("measure", "", names...), Window: t.Text("window", ""), Group: t.Text("group", ""), Stream: t.Text("stream", "")}
		w.Min, w.Max = t.Number("least", math.Inf(-1), -1e12, 1e12), t.Number("most", math.Inf(1), -1e12, 1e12)
		if e.lookupWindow(w.Window) == nil {
			t.AddError("window", w.Window, "the name of a window in this file")
		}
		if w.Stream != "" && !slices.ContainsFunc(e.Streams, func(s traffic.Stream) bool { return s.Name == w.Stream }) {
			t.AddError("stream", w.Stream, "the name of a stream in this file")
		}
		if m, ok := measures[w.Measure]; ok {
			kinds := []Kind{KindNodes}
			if m.point == atCallers {
				kinds[0] = KindInstances
			}
			switch {
			case w.Group != "" && m.point == atAll:
				t.AddError("group", w.Group, "no such key: "+w.Measure+" is measured over all members")
			case w.Group != "" && e.lookupGroup(w.Group, kinds...) == nil:
				t.AddError("group", w.Group, "a group of "+string(kinds[0])+", as "+w.Measure+" is measured there")
			}
			if w.Stream != "" && m.point != atCallers {
				t.AddError("stream", w.Stream, "no such key: "+w.Measure+" is not measured at callers")
			}
		}
		if math.IsInf(w.Min, 0) && math.IsInf(w.Max, 0) {
			t.AddErrorAt(t.KeyPath("most"), "", "at least one of least and most")
		}
		t.RejectUnknownKeys()
		e.Expectations = append(e.Expectations, w)
	}
}
