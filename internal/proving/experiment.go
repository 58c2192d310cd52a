// Package proving plays experiments: many processes of the program before stand-in
// nodes, on links that can be made bad, under open-loop load, with what goes wrong
// written down beforehand. It counts at the nodes and at the callers, and judges by
// that alone.
package proving

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"
	"time"

	"gorselink/internal/standin"
	"gorselink/internal/tomlfile"
	"gorselink/traffic"
)

// Experiment is what a file describes.
type Experiment struct {
	Name      string
	Seed      uint64
	Span      time.Duration // of the load
	Step      time.Duration // in which peaks are counted
	Instances Instances
	Nodes     Nodes
	Streams   []traffic.Stream
	Conns     int // of all callers, at most
	Groups    []Group
	Links     []Link
	Events    []Event
	Windows   []Window
	Wants     []Want

	groups map[string]int // by name
	links  map[string]int
}

// Instances are the processes of the program.
type Instances struct {
	Count     int
	Program   string   // a path; "" where the caller names the builds
	Arguments []string // each a template of Place
	Config    string   // a template of Place, written to a file before each start
	Ports     []string // names; callers go to the first one
	Ready     string   // the path that is answered with 200 once it can serve; "none" where nobody calls
	Within    time.Duration
	Drain     time.Duration // in which it has ended after a SIGTERM
	Heavy     int           // how many of them have Weight times the callers of the others
	Weight    float64

	config    *template.Template
	arguments []*template.Template
}

// Nodes are the stand-in nodes.
type Nodes struct {
	Count  int
	Cores  int
	Work   time.Duration // of a request, in the mean
	Even   bool          // all work takes the same; else it is drawn from an exponential distribution
	Queue  int
	Warm   time.Duration // how long a node that has returned is cold
	Cold   float64       // the share of its speed that it begins with
	Drain  time.Duration // in which a node that has left the list may still be asked
	Absent string        // a group that is not on the list at first
}

// Kind is a kind of party.
type Kind string

const (
	KindCallers   Kind = "callers"
	KindInstances Kind = "instances"
	KindNodes     Kind = "nodes"
)

// Group is some parties of one kind, by number.
type Group struct {
	Name    string
	Of      Kind
	Members []int
}

// Has tells whether a party is of the group.
func (g *Group) Has(i int) bool { _, ok := slices.BinarySearch(g.Members, i); return ok }

// Link is the way from each party of a group to each of another. What is on no link
// goes straight.
type Link struct {
	Name     string
	From, To string // groups
	Weather  Weather
}

// Event is something that is done to a group of parties or to a link.
type Event struct {
	At     time.Duration
	Do     string
	On     string
	Factor float64       // of slow
	Way    Way           // of what is done to a link
	To     Weather       // of weather
	Every  time.Duration // from one party to the next
	Times  int           // how often it is done
	Period time.Duration // from one time to the next

	key string // where it stands in the file
}

// Window is a time that measures are taken over: requests that are due, and arrivals
// at nodes, from From to To.
type Window struct {
	Name     string
	From, To time.Duration
}

// Want is a bound on a measure.
type Want struct {
	Measure string
	Window  string // "" for the whole load
	Group   string // of nodes, or of the instances that callers asked
	Stream  string
	Least   float64 // -Inf without it
	Most    float64 // +Inf without it
}

func (w *Want) String() string {
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

// What an experiment says by itself.
const (
	defaultConns  = 1000
	defaultBudget = 10 * time.Second
	mostInstances = 1000
	mostNodes     = 1000
	longestSpan   = time.Hour
)

// Read reads an experiment. The error tells all that is wrong, with line and key.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of an experiment. Paths in it are relative to the folder of
// file.
func Parse(file string, text []byte) (*Experiment, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	e := &Experiment{groups: map[string]int{}, links: map[string]int{}}
	e.Name = top.Text("name", strings.TrimSuffix(filepath.Base(file), ".toml"))
	e.Seed = uint64(top.Integer("seed", 1, 0, math.MaxInt64))
	e.Step = top.Duration("step", 500*time.Millisecond, 10*time.Millisecond)
	e.Conns = top.Integer("connections", defaultConns, 1, 20000)
	e.instances(top.Table("instances"), filepath.Dir(file))
	e.nodes(top.Table("nodes"))
	e.streams(top)
	e.allGroups(top)
	if a := e.Nodes.Absent; a != "" && e.group(a, KindNodes) == nil {
		top.AddErrorAt("nodes.absent", tomlfile.FormatValue(a), "a group of nodes")
	}
	e.allLinks(top)
	e.events(top)
	e.windows(top)
	e.wants(top)
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) instances(t *tomlfile.Table, dir string) {
	n := &e.Instances
	n.Count = t.Integer("count", 1, 1, mostInstances)
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
		if seen[p] || !tomlfile.ValidName(p) || i >= portsEach {
			t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("ports"), i), tomlfile.FormatValue(p), fmt.Sprintf("a name, each once, %d at most", portsEach))
		}
		seen[p] = true
	}
	n.Ready = t.Text("ready", "/")
	if n.Ready != "none" && !strings.HasPrefix(n.Ready, "/") {
		t.AddError("ready", n.Ready, "a path, or none for processes that nobody calls")
	}
	n.Within = t.Duration("ready_within", 20*time.Second, time.Millisecond)
	n.Drain = t.Duration("drain", 20*time.Second, time.Millisecond)
	n.Heavy = t.Integer("heavy", 0, 0, n.Count)
	n.Weight = t.Number("weight", 1, 0.001, 1000)
	// A template is tried on a place like the real ones: what it names and there is
	// not is told now, not by the hundredth process.
	like := &Place{Index: 0, Count: n.Count, ports: n.Ports, peers: n.Count}
	try := func(path, text string) *template.Template {
		tm, err := template.New("").Option("missingkey=error").Parse(text)
		if err == nil {
			err = tm.Execute(new(strings.Builder), like)
		}
		if err != nil {
			t.AddErrorAt(path, "a template with a fault ("+strings.TrimPrefix(err.Error(), "template: ")+")", "a text of text/template")
		}
		return tm
	}
	n.config = try(t.KeyPath("config"), n.Config)
	for i, a := range n.Arguments {
		n.arguments = append(n.arguments, try(tomlfile.ElementPath(t.KeyPath("arguments"), i), a))
	}
	t.RejectUnknownKeys()
}

// defaultConfig is a file of gorselink serve with one pool of all nodes.
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

func (e *Experiment) nodes(t *tomlfile.Table) {
	n := &e.Nodes
	n.Count = t.Integer("count", 1, 1, mostNodes)
	n.Cores = t.Integer("cores", 4, 1, 1024)
	n.Work = t.Duration("work", 12*time.Millisecond, 0)
	n.Even = t.OneOf("spread", "exponential", "exponential", "none") == "none"
	n.Queue = t.Integer("queue", 0, 0, 1<<20)
	n.Warm = t.Duration("warm", 0, 0)
	n.Cold = t.Number("cold_share", 0.1, 0.001, 1)
	n.Drain = t.Duration("drain", time.Second, 0)
	n.Absent = t.Text("absent", "")
	t.RejectUnknownKeys()
}

func (e *Experiment) streams(top *tomlfile.Table) {
	names := map[string]bool{}
	for i, t := range top.TableList("streams") {
		s := traffic.Stream{
			Name: t.Text("name", fmt.Sprintf("stream-%d", i+1)), Method: t.Text("method", "GET"), Host: t.Text("host", "proving"), Path: t.Text("path", "/"),
			Class: t.Text("class", ""), Body: t.Integer("body", 0, 0, 1<<20), Keyed: t.Bool("keyed", false), Budget: t.Duration("budget", defaultBudget, time.Millisecond), Skew: 1,
		}
		if names[s.Name] {
			t.AddError("name", s.Name, "a name of its own")
		}
		names[s.Name] = true
		shape := t.Text("shape", "hold 100 10s")
		var err error
		if s.Shape, err = traffic.ParseShape(shape); err != nil {
			t.AddError("shape", shape, "a shape of gorselink load: "+err.Error())
		} else if e.Span = max(e.Span, s.Shape.Span()); e.Span > longestSpan {
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
		if e.Span = span; span == 0 {
			top.AddErrorAt("streams", "", "one stream at least, [[streams]], or a span without callers")
		}
	} else if span != 0 {
		top.AddError("span", span, "no such key beside streams: they say how long it is")
	}
}

// count is how many parties of a kind there are.
func (e *Experiment) count(k Kind) int {
	switch k {
	case KindInstances:
		return e.Instances.Count
	case KindNodes:
		return e.Nodes.Count
	}
	return 1
}

func (e *Experiment) allGroups(top *tomlfile.Table) {
	add := func(g Group) {
		e.groups[g.Name] = len(e.Groups)
		e.Groups = append(e.Groups, g)
	}
	for _, k := range []Kind{KindCallers, KindInstances, KindNodes} {
		g := Group{Name: string(k), Of: k}
		for i := range e.count(k) {
			g.Members = append(g.Members, i)
		}
		add(g)
	}
	for _, t := range top.TableList("groups") {
		g := Group{Name: t.Text("name", ""), Of: Kind(t.OneOf("of", "nodes", "nodes", "instances"))}
		if _, taken := e.groups[g.Name]; taken || !tomlfile.ValidName(g.Name) {
			t.AddError("name", g.Name, "a name of letters, digits, - and _ that no other group has")
		}
		n := e.count(g.Of)
		every, from := t.Integer("every", 1, 1, n), t.Integer("from", 0, 0, n-1)
		for most := t.Integer("members", n, 1, n); from < n && len(g.Members) < most; from += every {
			g.Members = append(g.Members, from)
		}
		t.RejectUnknownKeys()
		add(g)
	}
}

// group is the group with a name, if it is of one of some kinds.
func (e *Experiment) group(name string, of ...Kind) *Group {
	if i, ok := e.groups[name]; ok && slices.Contains(of, e.Groups[i].Of) {
		return &e.Groups[i]
	}
	return nil
}

func (e *Experiment) allLinks(top *tomlfile.Table) {
	paths := 0
	for _, t := range top.TableList("links") {
		l := Link{Name: t.Text("name", ""), From: t.Text("from", ""), To: t.Text("to", ""), Weather: weather(t)}
		_, taken := e.links[l.Name]
		if _, group := e.groups[l.Name]; taken || group || !tomlfile.ValidName(l.Name) {
			t.AddError("name", l.Name, "a name of letters, digits, - and _ that no other link or group has")
		}
		from, to := e.group(l.From, KindCallers, KindInstances), e.group(l.To, KindInstances, KindNodes)
		switch {
		case from == nil:
			t.AddError("from", l.From, "callers or a group of instances")
		case to == nil || from.Of == KindCallers && to.Of == KindNodes:
			t.AddError("to", l.To, "a group of instances, or of nodes where from is one of instances")
		default:
			each := 1
			if from.Of == KindInstances && to.Of == KindInstances {
				each = 2 * len(e.Instances.Ports)
			}
			if paths += len(from.Members) * len(to.Members) * each; paths > mostPaths {
				t.AddError("from", l.From, fmt.Sprintf("%d ways at most over all links, each is a listener of its own: smaller groups", mostPaths))
			}
		}
		t.RejectUnknownKeys()
		e.links[l.Name] = len(e.Links)
		e.Links = append(e.Links, l)
	}
}

// mostPaths is how many listeners the links may take: a process has some ten
// thousand descriptors, and each connection over a link takes two.
const mostPaths = 5000

func weather(t *tomlfile.Table) Weather {
	return Weather{
		Delay: t.Duration("delay", 0, 0), Jitter: t.Duration("jitter", 0, 0), Loss: t.Number("loss", 0, 0, 1),
		Rate: int64(t.Bytes("rate", 0, 1)),
	}
}

// What can be done to groups of nodes, to groups of instances and to links. What a
// node can be set to stands in standin.Modes besides.
var (
	nodeDeeds     = []string{"slow", "vanish", "return", "leave", "join"}
	instanceDeeds = []string{"kill", "stop", "continue", "term", "start", "restart"}
	linkDeeds     = []string{"weather", "cut", "reset", "heal"}
)

func (e *Experiment) events(top *tomlfile.Table) {
	modes := slices.Clone(nodeDeeds)
	for m := range standin.Modes {
		modes = append(modes, m)
	}
	slices.Sort(modes)
	for _, t := range top.TableList("events") {
		ev := Event{At: t.Duration("at", 0, 0), On: t.Text("on", ""), Every: t.Duration("every", 0, 0), Times: t.Integer("times", 1, 1, 10000), Period: t.Duration("period", 0, 0), key: t.KeyPath("do")}
		var deeds []string
		_, link := e.links[ev.On]
		switch {
		case link:
			deeds = linkDeeds
			ev.Way = Way(t.OneOf("way", string(Both), string(Both), string(Out), string(Back)))
		case e.group(ev.On, KindNodes) != nil:
			deeds = modes
		case e.group(ev.On, KindInstances) != nil:
			deeds = instanceDeeds
		default:
			t.AddError("on", ev.On, "a group of nodes or instances, or a link")
		}
		if ev.Do = t.Text("do", ""); deeds != nil && !slices.Contains(deeds, ev.Do) {
			t.AddError("do", ev.Do, "one of "+strings.Join(deeds, ", "))
		}
		switch ev.Do {
		case "slow":
			ev.Factor = t.Number("factor", 1, 0.001, 1e6)
		case "weather":
			ev.To = weather(t)
		}
		if ev.At > e.Span {
			t.AddError("at", ev.At, fmt.Sprintf("a time within the load, %v at most", e.Span))
		}
		if ev.Times > 1 && ev.Period == 0 {
			t.AddError("times", ev.Times, "a period with it")
		}
		t.RejectUnknownKeys()
		e.Events = append(e.Events, ev)
	}
	slices.SortStableFunc(e.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (e *Experiment) windows(top *tomlfile.Table) {
	for _, t := range top.TableList("windows") {
		w := Window{Name: t.Text("name", ""), From: t.Duration("from", 0, 0), To: t.Duration("to", e.Span, 0)}
		if w.Name == "" || e.window(w.Name) != nil {
			t.AddError("name", w.Name, "a name that no other window has")
		}
		if w.To <= w.From || w.To > e.Span {
			t.AddError("to", w.To, fmt.Sprintf("a time after from and within the load, %v at most", e.Span))
		}
		t.RejectUnknownKeys()
		e.Windows = append(e.Windows, w)
	}
}

// window is the window with a name, or nil; that of "" is the whole load.
func (e *Experiment) window(name string) *Window {
	if name == "" {
		return &Window{To: e.Span}
	}
	for i := range e.Windows {
		if e.Windows[i].Name == name {
			return &e.Windows[i]
		}
	}
	return nil
}

func (e *Experiment) wants(top *tomlfile.Table) {
	known := make([]string, 0, len(measures))
	for name := range measures {
		known = append(known, name)
	}
	slices.Sort(known)
	for _, t := range top.TableList("wants") {
		w := Want{Measure: t.OneOf("measure", "", known...), Window: t.Text("window", ""), Group: t.Text("group", ""), Stream: t.Text("stream", "")}
		w.Least, w.Most = t.Number("least", math.Inf(-1), -1e12, 1e12), t.Number("most", math.Inf(1), -1e12, 1e12)
		if e.window(w.Window) == nil {
			t.AddError("window", w.Window, "a window that there is")
		}
		if w.Stream != "" && !slices.ContainsFunc(e.Streams, func(s traffic.Stream) bool { return s.Name == w.Stream }) {
			t.AddError("stream", w.Stream, "a stream that there is")
		}
		if m, ok := measures[w.Measure]; ok {
			of := []Kind{KindNodes}
			if m.at == atCallers {
				of[0] = KindInstances
			}
			switch {
			case w.Group != "" && m.at == atAll:
				t.AddError("group", w.Group, "no such key: "+w.Measure+" is counted over all")
			case w.Group != "" && e.group(w.Group, of...) == nil:
				t.AddError("group", w.Group, "a group of "+string(of[0])+", where "+w.Measure+" is counted")
			}
			if w.Stream != "" && m.at != atCallers {
				t.AddError("stream", w.Stream, "no such key: "+w.Measure+" is not counted at callers")
			}
		}
		if math.IsInf(w.Least, 0) && math.IsInf(w.Most, 0) {
			t.AddErrorAt(t.KeyPath("most"), "", "one of least and most")
		}
		t.RejectUnknownKeys()
		e.Wants = append(e.Wants, w)
	}
}
