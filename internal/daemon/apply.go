package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"gorselink/balance"
	"gorselink/internal/config"
	httpfront "gorselink/internal/front/http"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// plan is the way from the configuration in force to the next one. prepare
// makes all that is new beside the old and can fail; commit cannot.
type plan struct {
	d        *Daemon
	cfg      *config.Daemon
	services map[string]*service
	fresh    []*service // of services, made by this plan
	replaced map[string]*service
	revived  []*service
	opened   []*listener
	tables   map[string]*httpfront.Table
	changes  []string
}

func newPlan(d *Daemon, cfg *config.Daemon) *plan {
	return &plan{d: d, cfg: cfg, services: map[string]*service{}, replaced: map[string]*service{}, tables: map[string]*httpfront.Table{}}
}

// prepare makes pools, sockets and tables. Nothing that serves is touched, but
// that pools learn of new classes, which harms none.
func (p *plan) prepare() error {
	for i := range p.cfg.Pools {
		if err := p.service(&p.cfg.Pools[i]); err != nil {
			return err
		}
	}
	for i := range p.cfg.Listeners {
		l := &p.cfg.Listeners[i]
		table, err := p.table(l.Name)
		if err != nil {
			return err
		}
		p.tables[l.Name] = table
		if old := p.d.listeners[l.Name]; old != nil && sameListener(&old.cfg, l) {
			continue
		}
		if err := p.open(l, table); err != nil {
			return err
		}
	}
	return nil
}

// undo lets go of what prepare has made.
func (p *plan) undo() {
	for _, l := range p.opened {
		if !l.takesOver {
			l.door.l.Close()
		}
	}
	for _, s := range p.fresh {
		s.sharing = p.replaced[s.cfg.Name] != nil
		s.end()
	}
}

// sameListener tells whether a listener that serves can go on under l: what
// differs can be changed in place.
func sameListener(old, l *config.Listener) bool {
	a, b := *old, *l
	a.Connections, b.Connections = 0, 0
	return a == b
}

// open makes a listener. One that takes the address of another, which is to
// end, takes over its door: there is no moment without one.
func (p *plan) open(c *config.Listener, t *httpfront.Table) error {
	l := &listener{cfg: *c}
	l.judge = httpfront.NewTableRouter(t, c.Form == config.FormPlatform, c.ClassHeader, p.d.keys, p.d.ids)
	l.callers = httpfront.NewServer(l.judge, c.Connections, httpfront.Timeouts{Hello: c.HelloTimeout, Request: c.RequestTimeout, Idle: c.IdleTimeout})
	l.callers.ForwardCallerIP = c.Form == config.FormOrdinary
	if old := p.holds(c); old != nil {
		l.door, l.takesOver = old.door, true
	} else {
		var err error
		if l.door, err = newDoor(c.Address, l.callers); err != nil {
			return fmt.Errorf("listeners.%s: %w", c.Name, err)
		}
	}
	p.opened = append(p.opened, l)
	return nil
}

// holds is the listener that has the address of c now. As no two of the new
// configuration have one address, it is to end.
func (p *plan) holds(c *config.Listener) *listener {
	for _, l := range p.d.listeners {
		if l.cfg.Address == c.Address && (l.cfg.Name == c.Name || !strings.HasSuffix(c.Address, ":0")) {
			return l
		}
	}
	return nil
}

// service finds the pool that goes on under c, or makes one.
func (p *plan) service(c *config.Pool) error {
	old := p.d.services[c.Name]
	if old == nil {
		// One that still drains knows its nodes and its keys.
		for _, s := range p.d.retired {
			if s.cfg.Name == c.Name && p.goesOn(s, c) && !s.sharing {
				old = s
			}
		}
		if old != nil {
			p.revived = append(p.revived, old)
		}
	}
	if old != nil && p.goesOn(old, c) {
		p.services[c.Name] = old
		return nil
	}
	known := c.NodeSource.InitialList()
	var conns *upstream.Pool
	var ages *pool.Ages
	if old != nil && sameConns(&old.cfg, c) {
		// The connections go on, so the new Balancer starts from the list that
		// the old one has, and hears of another one once it runs.
		conns, known, ages = old.pool.Conns(), old.pool.List(), old.pool.Ages()
	} else {
		conns = newConns(c, 0) // granted once the others have made room
	}
	made, err := pool.New(pool.Config{
		Name:    c.Name,
		Seed:    seedOf(p.cfg, c.Name),
		Balance: balancing(p.cfg, c),
		OwnZone: c.Zone,
		Known:   known,
		Source:  c.NodeSource.NewSource(),
		Limits:  limits(c),
		Ages:    ages,
	}, conns)
	if err != nil {
		return err
	}
	s := &service{cfg: *c, pool: made, cancel: func() {}}
	if old != nil {
		p.replaced[c.Name] = old
	}
	p.services[c.Name] = s
	p.fresh = append(p.fresh, s)
	return nil
}

// mostClasses bounds the classes that a Balancer knows, used or not: a pool that
// has been through many changes of classes starts anew.
const mostClasses = 96

// goesOn tells whether a pool can go on under c.
func (p *plan) goesOn(s *service, c *config.Pool) bool {
	return sameBalance(&s.cfg, c) && s.pool.ClassCount() < mostClasses+3*len(p.cfg.Classes)
}

// sameBalance tells whether what differs between a and b can be changed while
// the pool serves.
func sameBalance(a, b *config.Pool) bool {
	return a.Zone == b.Zone && a.PreferOwnZone == b.PreferOwnZone && a.Attempts == b.Attempts &&
		a.WarmUp == b.WarmUp && a.ColdShare == b.ColdShare && sameConns(a, b)
}

func sameConns(a, b *config.Pool) bool {
	return a.ConnectTimeout == b.ConnectTimeout && a.IdleTimeout == b.IdleTimeout &&
		a.ResponseStallTimeout == b.ResponseStallTimeout && a.MaxResponse == b.MaxResponse
}

func limits(c *config.Pool) pool.Limits {
	return pool.Limits{Requests: c.Requests, BodyBytes: c.Memory / config.RequestBodyMemoryDivisor}
}

// zonePrice makes a node of another zone read twice as slow.
const zonePrice = 0.01

// overloadFor is the span over which a cold node's load is judged.
const overloadFor = 3 * time.Second

// balancing is what the Balancer of a pool is told.
func balancing(cfg *config.Daemon, c *config.Pool) balance.Config {
	b := balance.Config{
		Index:           cfg.Process.Instance,
		Instances:       cfg.Process.Instances,
		Entry:           true,
		AttemptLimit:    c.Attempts,
		ColdShare:       c.ColdShare,
		RampTime:        c.WarmUp,
		OverloadWindow:  overloadFor,
		IdleConnTimeout: c.IdleTimeout,
		Multiplex:       1,
	}
	if c.PreferOwnZone {
		b.CrossZonePrice = zonePrice
	}
	for _, r := range cfg.Routes {
		if r.Pool == c.Name {
			for _, form := range forms(cfg.Class(r.Class)) {
				if !slices.Contains(b.Classes, form) {
					b.Classes = append(b.Classes, form)
				}
			}
		}
	}
	if len(b.Classes) == 0 { // no route leads here yet
		f := forms(cfg.Class("default"))
		b.Classes = f[:1]
	}
	return b
}

// forms are the classes that a Balancer knows a class by.
func forms(c *config.Class) (all [3]balance.Class) {
	for i := range all {
		all[i] = c.Class
		if c.ByMethod {
			all[i].Semantics = balance.Semantics(i)
		}
		if all[i].Semantics != balance.Keyed {
			all[i].Scope, all[i].DeduplicationWindow = 0, 0
		}
	}
	return all
}

// table makes the routing table of a listener.
func (p *plan) table(name string) (*httpfront.Table, error) {
	routes, err := p.cfg.RoutingTable(name)
	if err != nil {
		return nil, fmt.Errorf("listeners.%s: %w", name, err)
	}
	t := &httpfront.Table{Routes: routes, ClassNames: map[string]bool{}, FindPool: p.d.Pool}
	for i := range p.cfg.Classes {
		t.ClassNames[p.cfg.Classes[i].Name] = true
	}
	named := map[string]map[string]*httpfront.Class{} // by pool
	for _, r := range p.cfg.Routes {
		s := p.services[r.Pool]
		if named[r.Pool] == nil {
			named[r.Pool] = map[string]*httpfront.Class{}
		}
		if _, err := p.class(named[r.Pool], s.pool, r.Class); err != nil {
			return nil, err
		}
		if p.namesClasses(name) {
			for i := range p.cfg.Classes {
				if _, err := p.class(named[r.Pool], s.pool, p.cfg.Classes[i].Name); err != nil {
					return nil, err
				}
			}
		}
		t.Targets = append(t.Targets, httpfront.Target{
			Pool:        s.pool,
			Class:       named[r.Pool][r.Class],
			ClassByName: named[r.Pool],
			MaxBody:     p.poolConfig(r.Pool).MaxBody,
		})
	}
	return t, nil
}

// namesClasses tells whether requests on a listener can name their class.
func (p *plan) namesClasses(listener string) bool {
	for _, l := range p.cfg.Listeners {
		if l.Name == listener {
			return l.Form == config.FormPlatform || l.ClassHeader != ""
		}
	}
	return false
}

func (p *plan) poolConfig(name string) *config.Pool {
	for i := range p.cfg.Pools {
		if p.cfg.Pools[i].Name == name {
			return &p.cfg.Pools[i]
		}
	}
	return nil
}

// class is a class as requests to a pool have it, made once for each pool.
func (p *plan) class(made map[string]*httpfront.Class, to *pool.Pool, name string) (*httpfront.Class, error) {
	if c := made[name]; c != nil {
		return c, nil
	}
	def := p.cfg.Class(name)
	c := &httpfront.Class{Name: name, ByMethod: def.ByMethod, Variants: forms(def)}
	for i, form := range c.Variants {
		var err error
		if c.Numbers[i], err = to.ClassNumber(form); err != nil {
			return nil, fmt.Errorf("classes.%s: %w", name, err)
		}
	}
	made[name] = c
	return c, nil
}

// commit takes up what prepare has made and tells what has changed. What is new
// serves before the tables lead there, and what is old takes requests until no
// table leads there: whoever meets a retired pool finds the new table.
func (p *plan) commit() []string {
	d, span := p.d, keySpan(p.cfg)
	d.keys.SetRetention(span)
	d.ids.SetLongestDeadline(p.cfg.LongestDeadline())
	left := p.commitServices(time.Now().Add(span))
	for i := range p.cfg.Listeners {
		c := &p.cfg.Listeners[i]
		if l := d.listeners[c.Name]; l != nil && sameListener(&l.cfg, c) {
			if l.cfg.Connections != c.Connections {
				p.say("listener %s: %d connections, had %d", c.Name, c.Connections, l.cfg.Connections)
				l.callers.SetMaxConns(c.Connections)
			}
			l.cfg = *c
			l.judge.SetTable(p.tables[c.Name], span)
		}
	}
	p.commitListeners()
	for _, s := range left {
		s.pool.Retire()
	}
	p.sayRoutes()
	d.cfg = p.cfg
	return p.changes
}

func (p *plan) say(format string, args ...any) {
	p.changes = append(p.changes, fmt.Sprintf(format, args...))
}

// commitServices starts the new pools and returns those that are to retire.
func (p *plan) commitServices(until time.Time) (left []*service) {
	d := p.d
	for _, s := range p.revived {
		d.retired = slices.DeleteFunc(d.retired, func(o *service) bool { return o == s })
		s.pool.Reactivate()
		d.services[s.cfg.Name] = s
		p.say("pool %s: back before it had drained", s.cfg.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		old, next := d.services[name], p.services[name]
		if next == old {
			p.adjust(old)
			continue
		}
		old.until = until
		if next == nil {
			p.say("pool %s: removed, drains", name)
		} else {
			p.say("pool %s: starts anew, the old one drains", name)
			old.sharing = next.pool.Conns() == old.pool.Conns()
			old.pool.SetSource(next.cfg.NodeSource.NewSource()) // it must hear of drains to the end
		}
		left = append(left, old)
	}
	d.retired = append(d.retired, left...)
	for _, s := range p.fresh {
		if p.replaced[s.cfg.Name] == nil {
			p.say("pool %s: new, %s", s.cfg.Name, &s.cfg.NodeSource)
		}
		var ctx context.Context
		ctx, s.cancel = context.WithCancel(d.ctx)
		go s.pool.Run(ctx)
		d.names.Store(s.cfg.Name, s.pool)
	}
	d.services = p.services
	d.grant()
	return left
}

// adjust gives a pool that stays its new limits and its new source.
func (p *plan) adjust(s *service) {
	c := p.poolConfig(s.cfg.Name)
	old := s.cfg
	s.cfg = *c
	for _, n := range []struct {
		what     string
		had, has any
	}{
		{"requests", old.Requests, c.Requests},
		{"connections", old.Connections, c.Connections},
		{"bytes of memory", old.Memory, c.Memory},
		{"bytes of the longest body", old.MaxBody, c.MaxBody},
		{"nodes from", old.NodeSource.String(), c.NodeSource.String()},
	} {
		if n.had != n.has {
			p.say("pool %s: %s %v, had %v", c.Name, n.what, n.has, n.had)
		}
	}
	s.pool.SetLimits(limits(c))
	if old.Memory != c.Memory {
		s.pool.Conns().SetLimits(s.pool.Conns().MaxConns(), c.Memory/config.LargeResponseMemoryDivisor)
	}
	if old.NodeSource.String() != c.NodeSource.String() {
		s.pool.SetSource(c.NodeSource.NewSource())
	}
}

// commitListeners puts the new listeners in the place of the old ones, which
// let go of their callers as no request is open on them.
func (p *plan) commitListeners() {
	d := p.d
	for _, l := range p.opened {
		if l.takesOver {
			l.door.leadTo(l.callers)
		} else {
			go l.door.serve()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.listeners)) {
		old := d.listeners[name]
		stays := slices.ContainsFunc(p.cfg.Listeners, func(c config.Listener) bool { return c.Name == name && sameListener(&old.cfg, &c) })
		if stays {
			continue
		}
		if !slices.ContainsFunc(p.opened, func(l *listener) bool { return l.door == old.door }) {
			old.door.l.Close()
		}
		delete(d.listeners, name)
		p.say("listener %s: %s is let go of", name, old.cfg.Address)
		if t := p.tables[name]; t != nil { // in another form
			last := *t
			old.judge.SetTable(&last, keySpan(p.cfg)) // for the last requests that come there
		}
		go old.callers.Drain(time.Now().Add(d.cfg.LongestDeadline() + time.Minute))
	}
	for _, l := range p.opened {
		d.listeners[l.cfg.Name] = l
		p.say("listener %s: %s, form %s", l.cfg.Name, l.door.l.Addr(), l.cfg.Form)
	}
}

// sayRoutes tells which routes have come and gone.
func (p *plan) sayRoutes() {
	text := func(r config.Route) string {
		return strings.Join(strings.Fields(fmt.Sprintf("%s%s %s %s %s", r.Host, r.Path, strings.Join(r.Methods, ","), r.IfClass, strings.Join(r.Listeners, ","))), " ")
	}
	was, is := map[string]config.Route{}, map[string]bool{}
	for _, r := range p.d.cfg.Routes {
		was[text(r)] = r
	}
	for _, r := range p.cfg.Routes {
		is[text(r)] = true
		switch old, ok := was[text(r)]; {
		case !ok:
			p.say("route %q: new, to pool %s as %s", text(r), r.Pool, r.Class)
		case old.Pool != r.Pool || old.Class != r.Class:
			p.say("route %q: to pool %s as %s, was %s as %s", text(r), r.Pool, r.Class, old.Pool, old.Class)
		}
	}
	for _, r := range p.d.cfg.Routes {
		if !is[text(r)] {
			p.say("route %q: removed", text(r))
		}
	}
}

// LogChanges logs one line for each change.
func LogChanges(changes []string) {
	for _, c := range changes {
		slog.Info("reload", "change", c)
	}
	if len(changes) == 0 {
		slog.Info("reload: nothing has changed")
	}
}
