package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/tomlfile"
	"gorselink/route"
)

// Product is the product's own configuration: many services in one process.
// docs/operating.md tells every key with its unit and default.
type Daemon struct {
	Process   Process
	Listeners []Listener // by name
	Classes   []Class    // by name; the one called "default" is always there
	Pools     []Pool     // by name
	Routes    []Route    // in the order of the file
}

// Process is what the whole process has.
type Process struct {
	Name        string
	Seed        uint64 // of all draws; 0 for one of the system's
	Memory      int64  // bytes
	Descriptors int
	Cores       int // 0 for all there are
	Instance    int // among Instances that serve the same
	Instances   int
}

// Form is what a listener asks of a request.
type Form string

// The forms that there are.
const (
	FormOrdinary Form = "ordinary" // any HTTP/1.x client: the id is made, the class is the route's
	FormPlatform Form = "platform" // id, budget and method by class, as the platform's protocol has it
)

// Listener is an address where callers come.
type Listener struct {
	Name           string
	Address        string
	Form           Form
	ClassHeader    string // names the class in the ordinary form; "" for none
	Connections    int
	HelloTimeout   time.Duration
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
}

// Class is a class of requests.
type Class struct {
	Name     string
	ByMethod bool // Semantics follow from the method and from Idempotency-Key
	balance.Class
}

// Pool is one service.
type Pool struct {
	Name                 string
	NodeSource           Nodes
	Zone                 string
	PreferOwnZone        bool
	Attempts             int
	ConnectTimeout       time.Duration
	IdleTimeout          time.Duration
	ResponseStallTimeout time.Duration
	WarmUp               time.Duration
	ColdShare            float64

	Share       float64 // of what the pools that name no limit have
	Connections int
	Requests    int
	Memory      int64 // bytes
	MaxBody     int64
	MaxResponse int64
}

// Nodes says where the node list of a pool comes from: one of three.
type Nodes struct {
	Fixed     nodes.Fixed
	File      string // path
	Refresh   time.Duration
	Discovery string // address
}

// Open returns a source that nobody else follows.
func (n *Nodes) NewSource() nodes.Source {
	switch {
	case n.File != "":
		return &nodes.File{Path: n.File, Interval: n.Refresh}
	case n.Discovery != "":
		return nodes.NewDiscovery(n.Discovery, nodes.LocalAgentTimeouts(0))
	}
	return n.Fixed
}

// String names the source; two of one name tell the same.
func (n *Nodes) String() string { return n.NewSource().String() }

// Known is what is known before the source has told anything.
func (n *Nodes) InitialList() nodes.List {
	return nodes.List{Snapshot: true, Undated: true, Endpoints: n.Fixed}
}

// Route sends what it matches to a pool.
type Route struct {
	Listeners []string // none for all
	Host      string
	Path      string
	Methods   []string // none for any
	IfClass   string   // the class that the request must name; "" for any
	Pool      string
	Class     string // what the requests are, unless they name their class
}

// Parts of what a process or a pool has. docs/pools.md tells why.
const (
	// OwnDescriptors are those not for connections of callers and nodes: logs,
	// listeners, sources, the runtime's poller.
	ReservedDescriptors = 32

	// callerMargin of a listener's connections is beyond all requests that the
	// pools may hold open, so that there is always one that can give way to a
	// new caller.
	callerMargin = 0.2

	// BodyShare, LargeShare and requestShare are the parts of a pool's memory
	// for request bodies, for long answers and for the requests themselves.
	RequestBodyMemoryDivisor   = 4
	LargeResponseMemoryDivisor = 4
	requestShare               = 2
	// requestBytes is what an open request may hold beside its body and a long
	// answer: an answer of 64 KiB, buffers on both sides, stacks.
	requestBytes = 128 << 10

	// fileLimit bounds a configuration file.
	fileLimit = 4 << 20
)

// Defaults, as docs/operating.md has them.
const (
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	defaultMaxBody     = 1 << 20
	defaultMaxAnswer   = 1 << 20
	defaultDeadline    = 10 * time.Second
	defaultAim         = 2 * time.Second
	defaultMemorySpan  = 30 * time.Second
	defaultClass       = "default"
)

// LoadProduct reads the file at path. The error is Faults, or tells why the
// file cannot be read.
func LoadDaemon(path string) (*Daemon, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > fileLimit {
		return nil, fmt.Errorf("configuration %s: %d bytes, want %d at most", path, info.Size(), fileLimit)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseDaemon(path, text)
}

// ParseProduct reads the text of a file. Paths in it are relative to the folder
// of file. A text with any fault gives none of a Product.
func ParseDaemon(file string, text []byte) (*Daemon, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	c := &Daemon{}
	c.process(top.Table("process"))
	c.classes(top)
	c.listeners(top)
	c.pools(top, filepath.Dir(file))
	c.routes(top)
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// CheckFiles tells what is wrong with the files that the configuration names.
func (c *Daemon) CheckFiles() error {
	var errs []error
	for i := range c.Pools {
		if path := c.Pools[i].NodeSource.File; path != "" {
			if _, err := nodes.ReadFile(path); err != nil {
				errs = append(errs, fmt.Errorf("pools.%s: nodes_file %s: %w", c.Pools[i].Name, path, err))
			}
		}
	}
	return errors.Join(errs...)
}

// Class returns the class with this name, or nil.
func (c *Daemon) Class(name string) *Class {
	i, ok := slices.BinarySearchFunc(c.Classes, name, func(c Class, name string) int { return strings.Compare(c.Name, name) })
	if !ok {
		return nil
	}
	return &c.Classes[i]
}

// LongestDeadline is the longest time that any request is owed an answer in.
func (c *Daemon) LongestDeadline() (d time.Duration) {
	for i := range c.Classes {
		d = max(d, c.Classes[i].Deadline)
	}
	return d
}

func (c *Daemon) process(t *tomlfile.Table) {
	host, _ := os.Hostname()
	p := &c.Process
	p.Name = t.Text("name", host)
	if s := t.Text("seed", "0"); s != "0" {
		var err error
		if p.Seed, err = strconv.ParseUint(s, 16, 64); err != nil {
			t.AddError("seed", s, "a hexadecimal number of 64 bits")
		}
	}
	p.Memory = t.Bytes("memory", defaultMemory, 16<<20)
	p.Descriptors = t.Integer("descriptors", min(defaultDescriptors, allowed()), 128, 1<<20)
	p.Cores = t.Integer("cores", 0, 1, 1024)
	p.Instances = t.Integer("instances", 1, 1, 10000)
	p.Instance = t.Integer("instance", 0, 0, p.Instances-1)
	t.RejectUnknownKeys()
}

// allowed is how many descriptors the system lets the process have.
func allowed() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Max > 1<<20 {
		return 1 << 20
	}
	return max(128, int(l.Max))
}

func (c *Daemon) classes(top *tomlfile.Table) {
	names, subs := top.NamedTables("classes")
	if !slices.Contains(names, defaultClass) {
		names = append(names, defaultClass)
		slices.Sort(names)
		subs[defaultClass] = top.EmptyTable("classes.default")
	}
	for _, name := range names {
		t := subs[name]
		k := Class{Name: name}
		switch t.OneOf("semantics", "by-method", "by-method", "safe", "keyed", "unsafe") {
		case "by-method":
			k.ByMethod = true
		case "keyed":
			k.Semantics = balance.Keyed
		case "unsafe":
			k.Semantics = balance.Unsafe
		}
		k.Deadline = t.Duration("deadline", defaultDeadline, time.Millisecond)
		k.LatencyTarget = t.Duration("aim", min(defaultAim, k.Deadline), time.Millisecond)
		if k.LatencyTarget > k.Deadline {
			t.AddError("aim", k.LatencyTarget, fmt.Sprintf("the deadline, %v, at most", k.Deadline))
		}
		k.Worth = t.Number("worth", 1, 0, 1e6)
		k.LateWorth = t.Number("late_worth", 0.5, 0, 1)
		k.DeduplicationWindow = t.Duration("memory_span", defaultMemorySpan, time.Millisecond)
		switch t.OneOf("key_scope", "all", "all", "zone", "cell") {
		case "zone":
			k.Scope = balance.ScopeZone
		case "cell":
			k.Scope = balance.ScopeCell
		}
		t.RejectUnknownKeys()
		c.Classes = append(c.Classes, k)
	}
}

func (c *Daemon) listeners(top *tomlfile.Table) {
	names, subs := top.NamedTables("listeners")
	if len(names) == 0 {
		top.AddError("listeners", nil, "a table [listeners.NAME] with an address")
	}
	at := map[string]string{}
	for _, name := range names {
		t := subs[name]
		l := Listener{Name: name}
		if l.Address = t.Text("address", ""); l.Address == "" && !t.Has("address") {
			t.AddError("address", nil, "address:port")
		} else if _, err := netip.ParseAddrPort(l.Address); err != nil && l.Address != "" {
			t.AddError("address", l.Address, "address:port")
		} else if other, ok := at[l.Address]; ok && !strings.HasSuffix(l.Address, ":0") {
			t.AddError("address", l.Address, "another one than listeners."+other+" has")
		}
		at[l.Address] = name
		l.Form = Form(t.OneOf("form", string(FormOrdinary), string(FormOrdinary), string(FormPlatform)))
		if l.ClassHeader = t.Text("class_header", ""); l.ClassHeader != "" {
			if !tomlfile.ValidName(l.ClassHeader) {
				t.AddError("class_header", l.ClassHeader, "the name of a header field")
			}
			if l.Form == FormPlatform {
				t.AddError("class_header", l.ClassHeader, "none with form = \"platform\", where the path names the class")
			}
		}
		l.Connections = t.Integer("connections", 0, 4, 1<<20)
		l.HelloTimeout = t.Duration("hello_timeout", 2*time.Second, 10*time.Millisecond)
		requestTime := 10 * time.Second
		if l.Form == FormPlatform {
			requestTime = 2500 * time.Millisecond
		}
		l.RequestTimeout = t.Duration("request_timeout", requestTime, 10*time.Millisecond)
		l.IdleTimeout = t.Duration("idle_timeout", 10*time.Second, 10*time.Millisecond)
		t.RejectUnknownKeys()
		c.Listeners = append(c.Listeners, l)
	}
	c.dealConnections(top)
}

// dealConnections gives the listeners that name no bound even shares of the
// half of the descriptors that is for callers.
func (c *Daemon) dealConnections(top *tomlfile.Table) {
	left, open := c.perSide(), 0
	for i := range c.Listeners {
		left -= c.Listeners[i].Connections
		if c.Listeners[i].Connections == 0 {
			open++
		}
	}
	if left < 4*open || left < 0 {
		top.AddErrorAt("listeners", fmt.Sprintf("connections beyond the %d for callers", c.perSide()),
			"fewer, or process.descriptors raised: half of them, less the process's own, are for callers")
		left = max(left, 4*open)
	}
	for i := range c.Listeners {
		if c.Listeners[i].Connections == 0 {
			c.Listeners[i].Connections = left / open
		}
	}
}

// perSide is how many descriptors there are for callers, and for nodes.
func (c *Daemon) perSide() int { return (c.Process.Descriptors - ReservedDescriptors) / 2 }

func (c *Daemon) pools(top *tomlfile.Table, dir string) {
	names, subs := top.NamedTables("pools")
	if len(names) == 0 {
		top.AddError("pools", nil, "a table [pools.NAME] with nodes")
	}
	for _, name := range names {
		t := subs[name]
		p := Pool{Name: name}
		p.source(t, dir)
		p.Zone = t.Text("zone", "")
		p.PreferOwnZone = t.Bool("prefer_own_zone", false)
		if p.PreferOwnZone && p.Zone == "" {
			t.AddError("prefer_own_zone", true, "a zone beside it")
		}
		p.Attempts = t.Integer("attempts", 3, 1, 16)
		p.ConnectTimeout = t.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond)
		p.IdleTimeout = t.Duration("idle_timeout", 30*time.Second, 10*time.Millisecond)
		p.ResponseStallTimeout = t.Duration("answer_time", 5*time.Second, 10*time.Millisecond)
		p.WarmUp = t.Duration("warm_up", 10*time.Second, 0)
		p.ColdShare = t.Number("cold_share", 0.3, 0.01, 1)
		p.Share = t.Number("share", 1, 0.001, 1e6)
		p.Connections = t.Integer("connections", 0, 1, 1<<20)
		p.Requests = t.Integer("requests", 0, 1, 1<<20)
		p.Memory = t.Bytes("memory", 0, 64<<10)
		p.MaxBody = t.Bytes("max_body", 0, 1)
		p.MaxResponse = t.Bytes("max_answer", 0, 1)
		c.Pools = append(c.Pools, p)
	}
	c.dealPools(top, subs)
	for _, t := range subs {
		t.RejectUnknownKeys()
	}
}

// source reads where the node list of a pool comes from.
func (p *Pool) source(t *tomlfile.Table, dir string) {
	p.NodeSource.Refresh = t.Duration("refresh", time.Second, 10*time.Millisecond)
	given := 0
	for _, key := range []string{"nodes", "nodes_file", "discovery"} {
		if t.Has(key) {
			given++
		}
	}
	if given != 1 {
		found := ""
		if given > 1 {
			found = fmt.Sprintf("%d of them", given)
		}
		t.AddErrorAt(t.KeyPath("nodes"), found, "one of nodes, nodes_file and discovery")
	}
	if list := t.TextList("nodes"); t.Has("nodes") {
		var fixed nodes.Fixed
		for i, s := range list {
			e, err := nodes.ParseEndpoint(strings.Fields(s))
			if err != nil {
				t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("nodes"), i), tomlfile.FormatValue(s), "a node: "+err.Error())
				continue
			}
			fixed = append(fixed, e)
		}
		if err := fixed.Validate(); err != nil {
			t.AddErrorAt(t.KeyPath("nodes"), err.Error(), "each node once")
		}
		if len(list) == 0 {
			t.AddErrorAt(t.KeyPath("nodes"), "an empty list", "one node at least; nodes_file and discovery may be empty for a while")
		}
		p.NodeSource.Fixed = fixed
	}
	if path := t.Text("nodes_file", ""); path != "" {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		p.NodeSource.File = path
	}
	if addr := t.Text("discovery", ""); addr != "" {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			t.AddError("discovery", addr, "address:port")
		}
		p.NodeSource.Discovery = addr
	}
}

// dealPools gives the pools that name no limit their shares of what the others
// leave. All shares together are never more than there is: what a pool has, no
// other pool can take.
func (c *Daemon) dealPools(top *tomlfile.Table, subs map[string]*tomlfile.Table) {
	least := 1 << 30
	for i := range c.Listeners {
		least = min(least, c.Listeners[i].Connections)
	}
	requests := int(float64(least) * (1 - callerMargin))
	deal(c, top, "connections", int64(c.perSide()), "connections to nodes", func(p *Pool) *int { return &p.Connections })
	deal(c, top, "memory", c.Process.Memory, "bytes of process.memory", func(p *Pool) *int64 { return &p.Memory })
	asked := make([]int, len(c.Pools))
	for i := range c.Pools {
		asked[i] = c.Pools[i].Requests
	}
	deal(c, top, "requests", int64(requests), "requests, four fifths of what the smallest listener has connections for", func(p *Pool) *int { return &p.Requests })
	for i := range c.Pools {
		p, t := &c.Pools[i], subs[c.Pools[i].Name]
		room := max(1, int(p.Memory/requestShare/requestBytes))
		if asked[i] > room {
			t.AddError("requests", asked[i], fmt.Sprintf("%d at most with a memory of %s", room, tomlfile.FormatSize(p.Memory)))
		} else if asked[i] == 0 {
			p.Requests = max(1, min(p.Requests, p.Connections, room))
		}
		p.fit(t, "max_body", &p.MaxBody, defaultMaxBody, p.Memory/RequestBodyMemoryDivisor)
		p.fit(t, "max_answer", &p.MaxResponse, defaultMaxAnswer, p.Memory/LargeResponseMemoryDivisor/2)
	}
}

// fit checks a size against the room that the pool's memory leaves for it, or
// gives the default.
func (p *Pool) fit(t *tomlfile.Table, key string, have *int64, without, room int64) {
	if *have == 0 {
		*have = min(without, room)
	} else if *have > room {
		t.AddError(key, tomlfile.FormatSize(*have), fmt.Sprintf("%s at most: a memory of %s has room for no more", tomlfile.FormatSize(room), tomlfile.FormatSize(p.Memory)))
	}
}

// deal gives each pool without a limit its share of what there is.
func deal[N int | int64](c *Daemon, top *tomlfile.Table, key string, all int64, what string, of func(*Pool) *N) {
	left, shares := all, 0.0
	for i := range c.Pools {
		p := &c.Pools[i]
		if n := *of(p); n > 0 {
			left -= int64(n)
		} else {
			shares += p.Share
		}
	}
	if left < 0 || shares > 0 && left < int64(len(c.Pools)) {
		top.AddErrorAt("pools", fmt.Sprintf("%s that take %d of %d", key, all-left, all), "no more than there are "+what)
		left = max(left, int64(len(c.Pools)))
	}
	for i := range c.Pools {
		if p := &c.Pools[i]; *of(p) == 0 {
			*of(p) = max(1, N(float64(left)*p.Share/shares))
		}
	}
}

func (c *Daemon) routes(top *tomlfile.Table) {
	list := top.TableList("routes")
	if !top.Has("routes") || len(list) == 0 {
		top.AddError("routes", nil, "a table [[routes]] with a pool")
	}
	for _, t := range list {
		r := Route{
			Listeners: t.TextList("listeners"),
			Host:      t.Text("host", ""),
			Path:      t.Text("path", ""),
			Methods:   t.TextList("methods"),
			IfClass:   t.Text("if_class", ""),
			Pool:      t.Text("pool", ""),
			Class:     t.Text("class", defaultClass),
		}
		if r.Pool == "" && !t.Has("pool") {
			t.AddError("pool", nil, "the name of a pool")
		} else if !slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.Name == r.Pool }) && r.Pool != "" {
			t.AddError("pool", r.Pool, "a pool that there is")
		}
		for _, k := range []struct{ key, name string }{{"class", r.Class}, {"if_class", r.IfClass}} {
			if k.name != "" && c.Class(k.name) == nil {
				t.AddError(k.key, k.name, "a class that there is")
			}
		}
		for i, name := range r.Listeners {
			if !slices.ContainsFunc(c.Listeners, func(l Listener) bool { return l.Name == name }) {
				t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("listeners"), i), tomlfile.FormatValue(name), "a listener that there is")
			}
		}
		if t.Has("methods") && len(r.Methods) == 0 {
			t.AddErrorAt(t.KeyPath("methods"), "an empty list", "methods, or no such key for any")
		}
		t.RejectUnknownKeys()
		c.Routes = append(c.Routes, r)
	}
	told := map[string]bool{}
	for _, l := range c.Listeners {
		if _, err := c.RoutingTable(l.Name); err != nil {
			c.routeFaults(top, l.Name, err, told)
		}
	}
}

// routeFaults books what is wrong with the routes of a listener, each once.
func (c *Daemon) routeFaults(top *tomlfile.Table, listener string, err error, told map[string]bool) {
	joined, _ := err.(interface{ Unwrap() []error })
	rules := c.rules(listener)
	for _, err := range joined.Unwrap() {
		path, found, want := "", "", ""
		var conflict *route.Conflict
		var invalid *route.Invalid
		switch {
		case errors.As(err, &conflict):
			path = tomlfile.ElementPath("routes", rules[conflict.Second].Target)
			found = "just what " + tomlfile.ElementPath("routes", rules[conflict.First].Target) + " matches"
			want = "a host, path, method or class that tells them apart"
		case errors.As(err, &invalid):
			path = tomlfile.JoinPath(tomlfile.ElementPath("routes", rules[invalid.Rule].Target), strings.Replace(invalid.Field, "method", "methods", 1))
			found, want = invalid.Err.Error(), "one that a request can have"
		}
		if !told[path] {
			told[path] = true
			top.AddErrorAt(path, found, want)
		}
	}
}

// Table is the routing table of a listener. Its targets are places in Routes.
func (c *Daemon) RoutingTable(listener string) (*route.Table, error) {
	return route.New(c.rules(listener))
}

func (c *Daemon) rules(listener string) (rules []route.Rule) {
	for i, r := range c.Routes {
		if len(r.Listeners) > 0 && !slices.Contains(r.Listeners, listener) {
			continue
		}
		rule := route.Rule{Host: r.Host, Path: r.Path, Class: r.IfClass, Target: i}
		if len(r.Methods) == 0 {
			rules = append(rules, rule)
		}
		for _, rule.Method = range r.Methods {
			rules = append(rules, rule)
		}
	}
	return rules
}
