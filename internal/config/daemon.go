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
	"gorselink/internal/discovery"
	"gorselink/internal/tomlfile"
	"gorselink/route"
)

// Daemon is the configuration of a process that serves several services.
// docs/operating.md documents every key with its unit and default.
type Daemon struct {
	Process   Process
	Listeners []Listener // sorted by name
	Classes   []Class    // sorted by name; includes the class "default"
	Pools     []Pool     // sorted by name
	Routes    []Route    // in the order of the file
}

// Process holds the settings of the whole process.
type Process struct {
	Name        string
	Seed        uint64 // seed of the random number generators; 0 for a random seed
	Memory      int64  // bytes
	Descriptors int
	Cores       int // 0 for all cores
	Instance    int // index of this process, from 0 to Instances-1
	Instances   int // processes with the same configuration
}

// Form is the protocol that a listener requires of requests.
type Form string

// The supported forms.
const (
	FormOrdinary Form = "ordinary" // any HTTP/1.x client; the request ID is generated and the route selects the class
	FormPlatform Form = "platform" // the platform's protocol, which requires an ID, a budget and the method of the class
)

// Listener is an address that accepts connections from callers.
type Listener struct {
	Name           string
	Address        string
	Form           Form
	ClassHeader    string        // header field with the class of a request in the ordinary form; "" for none
	Connections    int           // maximum number of open connections
	HelloTimeout   time.Duration // limit for the first byte on a new connection
	RequestTimeout time.Duration // limit from the first to the last byte of a request
	IdleTimeout    time.Duration // limit between two requests on a connection
}

// Class is a class of requests.
type Class struct {
	Name     string
	ByMethod bool // the method and Idempotency-Key of a request determine its Idempotency
	balance.Class
}

// Pool is the configuration of one service and its endpoints.
type Pool struct {
	Name                  string
	EndpointSource        EndpointSource
	Zone                  string
	PreferOwnZone         bool
	Attempts              int // maximum number of attempts per request
	ConnectTimeout        time.Duration
	IdleTimeout           time.Duration
	ResponseStallTimeout  time.Duration // longest pause inside a response
	SlowStartWindow       time.Duration // slow-start window: time until a new endpoint gets its full share of requests
	SlowStartInitialShare float64       // initial share: part of its full share that a new endpoint gets at first

	Share       float64 // weight when pools without a limit divide what the others leave
	Connections int     // maximum number of open connections to endpoints
	Requests    int     // maximum number of requests in progress
	Memory      int64   // bytes
	MaxBody     int64   // bytes of a request body
	MaxResponse int64   // bytes of a response body
}

// EndpointSource specifies where the endpoint list of a pool comes from: a fixed list, a
// file or a discovery service.
type EndpointSource struct {
	Fixed     discovery.Fixed
	File      string        // path
	Refresh   time.Duration // interval at which File is read
	Discovery string        // address:port
}

// NewSource creates the source that supplies the endpoint list.
func (s *EndpointSource) NewSource() discovery.Source {
	switch {
	case s.File != "":
		return &discovery.File{Path: s.File, Interval: s.Refresh}
	case s.Discovery != "":
		return discovery.NewDiscovery(s.Discovery, discovery.LocalAgentTimeouts(0))
	}
	return s.Fixed
}

// String identifies the source: equal strings mean equal sources.
func (s *EndpointSource) String() string { return s.NewSource().String() }

// InitialList returns the endpoint list to use until the source supplies one; it is
// empty unless the list is fixed.
func (s *EndpointSource) InitialList() discovery.List {
	return discovery.List{Snapshot: true, Undated: true, Endpoints: s.Fixed}
}

// Route maps the requests that it matches to a pool and a class.
type Route struct {
	Listeners []string // empty for all
	Host      string
	Path      string
	Methods   []string // empty for any
	IfClass   string   // the class that the request must specify; "" for any
	Pool      string
	Class     string // class of requests that specify none
}

// Division of the resources of a process or a pool; see docs/pools.md.
const (
	// ReservedDescriptors are file descriptors for everything but connections of
	// callers and endpoints: logs, listeners, sources, the runtime's poller, the console,
	// and the connections beyond the limit whose requests are rejected.
	ReservedDescriptors = 32

	// spareConnectionShare is the share of the smallest listener's connections by
	// which they exceed the requests that all pools may have in progress, so that an
	// idle connection can always be closed for a new caller.
	spareConnectionShare = 0.2

	// Request bodies, large responses and open requests each get a part of the
	// pool's memory: the memory divided by their divisor.
	RequestBodyMemoryDivisor   = 4
	LargeResponseMemoryDivisor = 4
	openRequestMemoryDivisor   = 2
	// bytesPerOpenRequest bounds the memory of a request except for its body and a
	// large response: a response of 64 KiB, buffers on both sides and stacks.
	bytesPerOpenRequest = 128 << 10

	// maxFileBytes bounds the size of a configuration file.
	maxFileBytes = 4 << 20
)

// Bounds of settings.
const (
	minListenerConnections = 4
	minDescriptors         = 128
	maxDescriptors         = 1 << 20
)

// Defaults, documented in docs/operating.md.
const (
	defaultMemoryBytes         = 512 << 20
	defaultDescriptors         = 4096
	defaultMaxBodyBytes        = 1 << 20
	defaultMaxResponseBytes    = 1 << 20
	defaultDeadline            = 10 * time.Second
	defaultLatencyTarget       = 2 * time.Second
	defaultDeduplicationWindow = 30 * time.Second
	defaultClass               = "default"
)

// LoadDaemon reads the configuration file at path. Its error is tomlfile.Errors if
// the file can be read but is invalid.
func LoadDaemon(path string) (*Daemon, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("configuration %s: %d bytes, want at most %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseDaemon(path, text)
}

// ParseDaemon parses a configuration file. Relative paths in it start at the
// directory of file. The error is tomlfile.Errors, with a nil Daemon.
func ParseDaemon(file string, text []byte) (*Daemon, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	c := &Daemon{}
	c.readProcess(top.Table("process"))
	c.readClasses(top)
	c.readListeners(top)
	c.readPools(top, filepath.Dir(file))
	c.readRoutes(top)
	top.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// CheckFiles reads the endpoint lists in files that the configuration names and returns all
// errors in them.
func (c *Daemon) CheckFiles() error {
	var errs []error
	for i := range c.Pools {
		if path := c.Pools[i].EndpointSource.File; path != "" {
			if _, err := discovery.ReadFile(path); err != nil {
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

// LongestDeadline returns the longest deadline of all classes.
func (c *Daemon) LongestDeadline() (d time.Duration) {
	for i := range c.Classes {
		d = max(d, c.Classes[i].Deadline)
	}
	return d
}

func (c *Daemon) readProcess(t *tomlfile.Table) {
	host, _ := os.Hostname()
	p := &c.Process
	p.Name = t.Text("name", host)
	if s := t.Text("seed", "0"); s != "0" {
		var err error
		if p.Seed, err = strconv.ParseUint(s, 16, 64); err != nil {
			t.AddError("seed", s, "a 64-bit hexadecimal number")
		}
	}
	p.Memory = t.Bytes("memory", defaultMemoryBytes, 16<<20)
	p.Descriptors = t.Integer("descriptors", min(defaultDescriptors, descriptorLimit()), minDescriptors, maxDescriptors)
	p.Cores = t.Integer("cores", 0, 1, 1024)
	p.Instances = t.Integer("instances", 1, 1, 10000)
	p.Instance = t.Integer("instance", 0, 0, p.Instances-1)
	t.RejectUnknownKeys()
}

// descriptorLimit returns how many file descriptors the process may open, from
// minDescriptors to maxDescriptors.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Max > maxDescriptors {
		return maxDescriptors
	}
	return max(minDescriptors, int(l.Max))
}

func (c *Daemon) readClasses(top *tomlfile.Table) {
	names, tables := top.NamedTables("classes")
	if !slices.Contains(names, defaultClass) {
		names = append(names, defaultClass)
		slices.Sort(names)
		tables[defaultClass] = top.EmptyTable("classes.default")
	}
	for _, name := range names {
		t := tables[name]
		class := Class{Name: name}
		switch t.OneOf("semantics", "by-method", "by-method", "safe", "keyed", "unsafe") {
		case "by-method":
			class.ByMethod = true
		case "keyed":
			class.Idempotency = balance.IdempotentByKey
		case "unsafe":
			class.Idempotency = balance.NonIdempotent
		}
		class.Deadline = t.Duration("deadline", defaultDeadline, time.Millisecond)
		class.LatencyTarget = t.Duration("aim", min(defaultLatencyTarget, class.Deadline), time.Millisecond)
		if class.LatencyTarget > class.Deadline {
			t.AddError("aim", class.LatencyTarget, fmt.Sprintf("at most the deadline, %v", class.Deadline))
		}
		class.PriorityWeight = t.Number("worth", 1, 0, 1e6)
		class.LateWeight = t.Number("late_worth", 0.5, 0, 1)
		class.DeduplicationWindow = t.Duration("memory_span", defaultDeduplicationWindow, time.Millisecond)
		switch t.OneOf("key_scope", "all", "all", "zone", "cell") {
		case "zone":
			class.DeduplicationScope = balance.ScopeZone
		case "cell":
			class.DeduplicationScope = balance.ScopeCell
		}
		t.RejectUnknownKeys()
		c.Classes = append(c.Classes, class)
	}
}

func (c *Daemon) readListeners(top *tomlfile.Table) {
	names, tables := top.NamedTables("listeners")
	if len(names) == 0 {
		top.AddError("listeners", nil, "a table [listeners.NAME] with an address")
	}
	nameByAddress := map[string]string{}
	for _, name := range names {
		t := tables[name]
		listener := Listener{Name: name}
		if listener.Address = t.Text("address", ""); listener.Address == "" && !t.Has("address") {
			t.AddError("address", nil, "address:port")
		} else if _, err := netip.ParseAddrPort(listener.Address); err != nil && listener.Address != "" {
			t.AddError("address", listener.Address, "address:port")
		} else if other, ok := nameByAddress[listener.Address]; ok && !strings.HasSuffix(listener.Address, ":0") {
			t.AddError("address", listener.Address, "an address that listeners."+other+" does not use")
		}
		nameByAddress[listener.Address] = name
		listener.Form = Form(t.OneOf("form", string(FormOrdinary), string(FormOrdinary), string(FormPlatform)))
		if listener.ClassHeader = t.Text("class_header", ""); listener.ClassHeader != "" {
			if !tomlfile.ValidName(listener.ClassHeader) {
				t.AddError("class_header", listener.ClassHeader, "the name of a header field")
			}
			if listener.Form == FormPlatform {
				t.AddError("class_header", listener.ClassHeader, "no such key with form = \"platform\", where the path specifies the class")
			}
		}
		listener.Connections = t.Integer("connections", 0, minListenerConnections, maxDescriptors)
		listener.HelloTimeout = t.Duration("hello_timeout", 2*time.Second, 10*time.Millisecond)
		requestTime := 10 * time.Second
		if listener.Form == FormPlatform {
			requestTime = 2500 * time.Millisecond
		}
		listener.RequestTimeout = t.Duration("request_timeout", requestTime, 10*time.Millisecond)
		listener.IdleTimeout = t.Duration("idle_timeout", 10*time.Second, 10*time.Millisecond)
		t.RejectUnknownKeys()
		c.Listeners = append(c.Listeners, listener)
	}
	c.distributeConnections(top)
}

// distributeConnections divides the caller connections that are left equally among
// the listeners without a limit.
func (c *Daemon) distributeConnections(top *tomlfile.Table) {
	remaining, unlimited := c.connectionsPerSide(), 0
	for i := range c.Listeners {
		remaining -= c.Listeners[i].Connections
		if c.Listeners[i].Connections == 0 {
			unlimited++
		}
	}
	if remaining < minListenerConnections*unlimited || remaining < 0 {
		top.AddErrorAt("listeners", fmt.Sprintf("more connections than the %d available for callers", c.connectionsPerSide()),
			"fewer connections or more process.descriptors: callers get half of those that are not reserved")
		remaining = max(remaining, minListenerConnections*unlimited)
	}
	for i := range c.Listeners {
		if c.Listeners[i].Connections == 0 {
			c.Listeners[i].Connections = remaining / unlimited
		}
	}
}

// connectionsPerSide returns how many connections are available for callers, and
// how many for endpoints.
func (c *Daemon) connectionsPerSide() int { return (c.Process.Descriptors - ReservedDescriptors) / 2 }

func (c *Daemon) readPools(top *tomlfile.Table, dir string) {
	names, tables := top.NamedTables("pools")
	if len(names) == 0 {
		top.AddError("pools", nil, "a table [pools.NAME] with nodes")
	}
	for _, name := range names {
		t := tables[name]
		p := Pool{Name: name}
		p.readEndpointSource(t, dir)
		p.Zone = t.Text("zone", "")
		p.PreferOwnZone = t.Bool("prefer_own_zone", false)
		if p.PreferOwnZone && p.Zone == "" {
			t.AddError("prefer_own_zone", true, "a zone in the same table")
		}
		p.Attempts = t.Integer("attempts", 3, 1, 16)
		p.ConnectTimeout = t.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond)
		p.IdleTimeout = t.Duration("idle_timeout", 30*time.Second, 10*time.Millisecond)
		p.ResponseStallTimeout = t.Duration("answer_time", 5*time.Second, 10*time.Millisecond)
		p.SlowStartWindow = t.Duration("warm_up", 10*time.Second, 0)
		p.SlowStartInitialShare = t.Number("cold_share", 0.3, 0.01, 1)
		p.Share = t.Number("share", 1, 0.001, 1e6)
		p.Connections = t.Integer("connections", 0, 1, maxDescriptors)
		p.Requests = t.Integer("requests", 0, 1, 1<<20)
		p.Memory = t.Bytes("memory", 0, 64<<10)
		p.MaxBody = t.Bytes("max_body", 0, 1)
		p.MaxResponse = t.Bytes("max_answer", 0, 1)
		c.Pools = append(c.Pools, p)
	}
	c.distributePoolLimits(top, tables)
	for _, t := range tables {
		t.RejectUnknownKeys()
	}
}

// readEndpointSource reads the source of the pool's endpoint list. Relative paths start
// at dir.
func (p *Pool) readEndpointSource(t *tomlfile.Table, dir string) {
	p.EndpointSource.Refresh = t.Duration("refresh", time.Second, 10*time.Millisecond)
	keyCount := 0
	for _, key := range []string{"nodes", "nodes_file", "discovery"} {
		if t.Has(key) {
			keyCount++
		}
	}
	if keyCount != 1 {
		found := ""
		if keyCount > 1 {
			found = fmt.Sprintf("%d of the keys", keyCount)
		}
		t.AddErrorAt(t.KeyPath("nodes"), found, "exactly one of nodes, nodes_file and discovery")
	}
	if list := t.TextList("nodes"); t.Has("nodes") {
		var fixed discovery.Fixed
		for i, text := range list {
			node, err := discovery.ParseEndpoint(strings.Fields(text))
			if err != nil {
				t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("nodes"), i), tomlfile.FormatValue(text), "a node: "+err.Error())
				continue
			}
			fixed = append(fixed, node)
		}
		if err := fixed.Validate(); err != nil {
			t.AddErrorAt(t.KeyPath("nodes"), err.Error(), "unique nodes")
		}
		if len(list) == 0 {
			t.AddErrorAt(t.KeyPath("nodes"), "an empty list", "at least one node; only nodes_file and discovery may be empty temporarily")
		}
		p.EndpointSource.Fixed = fixed
	}
	if path := t.Text("nodes_file", ""); path != "" {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		p.EndpointSource.File = path
	}
	if addr := t.Text("discovery", ""); addr != "" {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			t.AddError("discovery", addr, "address:port")
		}
		p.EndpointSource.Discovery = addr
	}
}

// distributePoolLimits sets the limits that pools do not specify to shares of what
// the other pools leave. The limits never add up to more than the process has, so
// that no pool can use resources of another.
func (c *Daemon) distributePoolLimits(top *tomlfile.Table, tables map[string]*tomlfile.Table) {
	fewestConnections := 1 << 30
	for i := range c.Listeners {
		fewestConnections = min(fewestConnections, c.Listeners[i].Connections)
	}
	requests := int(float64(fewestConnections) * (1 - spareConnectionShare))
	distribute(c, top, "connections", int64(c.connectionsPerSide()), "connections to nodes", func(p *Pool) *int { return &p.Connections })
	distribute(c, top, "memory", c.Process.Memory, "bytes of process.memory", func(p *Pool) *int64 { return &p.Memory })
	configuredRequests := make([]int, len(c.Pools))
	for i := range c.Pools {
		configuredRequests[i] = c.Pools[i].Requests
	}
	distribute(c, top, "requests", int64(requests), "requests (four fifths of the connections of the smallest listener)", func(p *Pool) *int { return &p.Requests })
	for i := range c.Pools {
		p, t := &c.Pools[i], tables[c.Pools[i].Name]
		maximum := max(1, int(p.Memory/openRequestMemoryDivisor/bytesPerOpenRequest))
		if configuredRequests[i] > maximum {
			t.AddError("requests", configuredRequests[i], fmt.Sprintf("at most %d with a memory of %s", maximum, tomlfile.FormatSize(p.Memory)))
		} else if configuredRequests[i] == 0 {
			p.Requests = max(1, min(p.Requests, p.Connections, maximum))
		}
		p.setSizeLimit(t, "max_body", &p.MaxBody, defaultMaxBodyBytes, p.Memory/RequestBodyMemoryDivisor)
		p.setSizeLimit(t, "max_answer", &p.MaxResponse, defaultMaxResponseBytes, p.Memory/LargeResponseMemoryDivisor/2)
	}
}

// setSizeLimit checks a size limit against the maximum that the pool's memory
// allows, or sets the default if there is none.
func (p *Pool) setSizeLimit(t *tomlfile.Table, key string, value *int64, fallback, maximum int64) {
	if *value == 0 {
		*value = min(fallback, maximum)
	} else if *value > maximum {
		t.AddError(key, tomlfile.FormatSize(*value), fmt.Sprintf("at most %s with a memory of %s", tomlfile.FormatSize(maximum), tomlfile.FormatSize(p.Memory)))
	}
}

// distribute sets the limit of each pool that has none to its share of the total
// that the other pools leave. limit returns the field of a pool.
func distribute[N int | int64](c *Daemon, top *tomlfile.Table, key string, total int64, resource string, limit func(*Pool) *N) {
	remaining, shares := total, 0.0
	for i := range c.Pools {
		p := &c.Pools[i]
		if n := *limit(p); n > 0 {
			remaining -= int64(n)
		} else {
			shares += p.Share
		}
	}
	if remaining < 0 || shares > 0 && remaining < int64(len(c.Pools)) {
		top.AddErrorAt("pools", fmt.Sprintf("limits on %s that total %d of %d", key, total-remaining, total), "at most the available "+resource+", with a remainder for pools without a limit")
		remaining = max(remaining, int64(len(c.Pools)))
	}
	for i := range c.Pools {
		if p := &c.Pools[i]; *limit(p) == 0 {
			*limit(p) = max(1, N(float64(remaining)*p.Share/shares))
		}
	}
}

func (c *Daemon) readRoutes(top *tomlfile.Table) {
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
			t.AddError("pool", r.Pool, "the name of a configured pool")
		}
		for _, reference := range []struct{ key, name string }{{"class", r.Class}, {"if_class", r.IfClass}} {
			if reference.name != "" && c.Class(reference.name) == nil {
				t.AddError(reference.key, reference.name, "the name of a configured class")
			}
		}
		for i, name := range r.Listeners {
			if !slices.ContainsFunc(c.Listeners, func(l Listener) bool { return l.Name == name }) {
				t.AddErrorAt(tomlfile.ElementPath(t.KeyPath("listeners"), i), tomlfile.FormatValue(name), "the name of a configured listener")
			}
		}
		if t.Has("methods") && len(r.Methods) == 0 {
			t.AddErrorAt(t.KeyPath("methods"), "an empty list", "at least one method; omit the key for any method")
		}
		t.RejectUnknownKeys()
		c.Routes = append(c.Routes, r)
	}
	reported := map[string]bool{}
	for _, l := range c.Listeners {
		if _, err := c.RoutingTable(l.Name); err != nil {
			c.addRouteErrors(top, l.Name, err, reported)
		}
	}
}

// addRouteErrors records the errors in the routes of a listener. reported holds the
// paths that already have an error, as a route may belong to several listeners.
func (c *Daemon) addRouteErrors(top *tomlfile.Table, listener string, err error, reported map[string]bool) {
	joined, _ := err.(interface{ Unwrap() []error })
	rules := c.routeRules(listener)
	for _, err := range joined.Unwrap() {
		path, found, want := "", "", ""
		var conflict *route.ConflictError
		var invalid *route.InvalidRuleError
		switch {
		case errors.As(err, &conflict):
			path = tomlfile.ElementPath("routes", rules[conflict.Second].Target)
			found = "the same conditions as " + tomlfile.ElementPath("routes", rules[conflict.First].Target)
			want = "a different host, path, method or class"
		case errors.As(err, &invalid):
			path = tomlfile.JoinPath(tomlfile.ElementPath("routes", rules[invalid.Rule].Target), strings.Replace(invalid.Field, "method", "methods", 1))
			found, want = invalid.Err.Error(), "a value that a request can have"
		}
		if !reported[path] {
			reported[path] = true
			top.AddErrorAt(path, found, want)
		}
	}
}

// RoutingTable returns the routing table of a listener. Its targets are indexes in
// Routes.
func (c *Daemon) RoutingTable(listener string) (*route.Table, error) {
	return route.New(c.routeRules(listener))
}

// routeRules returns the routing rules of a listener, one for each method of a route.
func (c *Daemon) routeRules(listener string) (rules []route.Rule) {
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
