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
	"gorselink/internal/httpserver"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// transaction replaces the current configuration by cfg. prepare creates all new
// objects beside the current ones and can fail; commit cannot.
type transaction struct {
	daemon       *Daemon
	cfg          *config.Daemon
	pools        map[string]*managedPool
	created      []*managedPool          // the pools that this transaction has created
	replaced     map[string]*managedPool // current pools that have a replacement in created, by name
	reactivated  []*managedPool
	newListeners []*listener
	tables       map[string]*httpserver.Table
	changes      []string
}

func newTransaction(d *Daemon, cfg *config.Daemon) *transaction {
	return &transaction{daemon: d, cfg: cfg, pools: map[string]*managedPool{}, replaced: map[string]*managedPool{}, tables: map[string]*httpserver.Table{}}
}

// prepare creates pools, listening sockets and routing tables. The only change to
// objects in use is that classes are added to pools, which has no effect on requests.
func (tx *transaction) prepare() error {
	for i := range tx.cfg.Pools {
		if err := tx.preparePool(&tx.cfg.Pools[i]); err != nil {
			return err
		}
	}
	for i := range tx.cfg.Listeners {
		l := &tx.cfg.Listeners[i]
		table, err := tx.buildTable(l.Name)
		if err != nil {
			return err
		}
		tx.tables[l.Name] = table
		if old := tx.daemon.listeners[l.Name]; old != nil && canReuseListener(&old.cfg, l) {
			continue
		}
		if err := tx.openListener(l, table); err != nil {
			return err
		}
	}
	return nil
}

// rollback releases everything that prepare has created.
func (tx *transaction) rollback() {
	for _, l := range tx.newListeners {
		if !l.reusesAcceptor {
			l.acceptor.listener.Close()
		}
	}
	for _, p := range tx.created {
		p.sharesConns = tx.replaced[p.cfg.Name] != nil
		p.close()
	}
}

// extraConns returns how many connections beyond its limit each listener admits, of those that
// all listeners may admit together.
func (tx *transaction) extraConns() int {
	return max(1, httpserver.ExtraConns/len(tx.cfg.Listeners))
}

// canReuseListener reports whether a running listener can be kept because all
// settings that differ can be changed in place.
func canReuseListener(old, l *config.Listener) bool {
	a, b := *old, *l
	a.Connections, b.Connections = 0, 0
	return a == b
}

// openListener creates a listener. If a listener that is about to be removed has
// the same address, its socket is reused, so that the address is always served.
func (tx *transaction) openListener(c *config.Listener, t *httpserver.Table) error {
	l := &listener{cfg: *c}
	l.router = httpserver.NewTableRouter(t, c.Form == config.FormPlatform, c.ClassHeader, tx.daemon.keyBindings, tx.daemon.seenIDs)
	l.server = httpserver.NewServer(l.router, c.Connections, httpserver.Timeouts{Hello: c.HelloTimeout, Request: c.RequestTimeout, Idle: c.IdleTimeout})
	l.server.SetExtraConns(tx.extraConns())
	l.server.ForwardCallerIP = c.Form == config.FormOrdinary
	if old := tx.listenerAt(c); old != nil {
		l.acceptor, l.reusesAcceptor = old.acceptor, true
	} else {
		var err error
		if l.acceptor, err = newAcceptor(c.Address, l.server); err != nil {
			return fmt.Errorf("listeners.%s: %w", c.Name, err)
		}
	}
	tx.newListeners = append(tx.newListeners, l)
	return nil
}

// listenerAt returns the running listener with the address of c, or nil. It is
// about to be removed, because addresses are unique within a configuration.
func (tx *transaction) listenerAt(c *config.Listener) *listener {
	for _, l := range tx.daemon.listeners {
		if l.cfg.Address == c.Address && (l.cfg.Name == c.Name || !strings.HasSuffix(c.Address, ":0")) {
			return l
		}
	}
	return nil
}

// preparePool selects a current pool that can be kept for c, or creates a new one.
func (tx *transaction) preparePool(c *config.Pool) error {
	old := tx.daemon.pools[c.Name]
	if old == nil {
		// A draining pool is reused, because it knows its endpoints and the keys of requests.
		for _, p := range tx.daemon.retired {
			if p.cfg.Name == c.Name && tx.canReusePool(p, c) && !p.sharesConns {
				old = p
			}
		}
		if old != nil {
			tx.reactivated = append(tx.reactivated, old)
		}
	}
	if old != nil && tx.canReusePool(old, c) {
		tx.pools[c.Name] = old
		return nil
	}
	known := c.EndpointSource.InitialList()
	var conns *upstream.Pool
	var ages *pool.Ages
	if old != nil && sameConnSettings(&old.cfg, c) {
		// The connections are kept, so the new Balancer starts with the current
		// list; Run follows the new source.
		conns, known, ages = old.pool.Conns(), old.pool.List(), old.pool.Ages()
	} else {
		conns = newConnPool(c, 0) // distributeConns sets the limit once other pools have released connections
	}
	newPool, err := pool.New(pool.Config{
		Name:    c.Name,
		Seed:    poolSeed(tx.cfg, c.Name),
		Balance: balanceConfig(tx.cfg, c),
		OwnZone: c.Zone,
		Known:   known,
		Source:  c.EndpointSource.NewSource(),
		Limits:  poolLimits(c),
		Ages:    ages,
	}, conns)
	if err != nil {
		return err
	}
	p := &managedPool{cfg: *c, pool: newPool, stop: func() {}}
	if old != nil {
		tx.replaced[c.Name] = old
	}
	tx.pools[c.Name] = p
	tx.created = append(tx.created, p)
	return nil
}

// maxReusedClasses limits the classes of earlier configurations that a reused pool
// may still have, as a Balancer cannot remove classes.
const maxReusedClasses = 96

// canReusePool reports whether a pool can be kept for c.
func (tx *transaction) canReusePool(p *managedPool, c *config.Pool) bool {
	return sameBalancerSettings(&p.cfg, c) && p.pool.ClassCount() < maxReusedClasses+3*len(tx.cfg.Classes)
}

// sameBalancerSettings reports whether a and b agree in all settings that cannot
// be changed while the pool is running.
func sameBalancerSettings(a, b *config.Pool) bool {
	return a.Zone == b.Zone && a.PreferOwnZone == b.PreferOwnZone && a.Attempts == b.Attempts &&
		a.SlowStartWindow == b.SlowStartWindow && a.SlowStartInitialShare == b.SlowStartInitialShare && sameConnSettings(a, b)
}

// sameConnSettings reports whether connections opened for a can be used for b.
func sameConnSettings(a, b *config.Pool) bool {
	return a.ConnectTimeout == b.ConnectTimeout && a.IdleTimeout == b.IdleTimeout &&
		a.ResponseStallTimeout == b.ResponseStallTimeout && a.MaxResponse == b.MaxResponse
}

func poolLimits(c *config.Pool) pool.Limits {
	return pool.Limits{Requests: c.Requests, BodyBytes: c.Memory / config.RequestBodyMemoryDivisor}
}

// crossZonePrice makes an endpoint in another zone count as twice as slow.
const crossZonePrice = 0.01

// overloadWindow is the period over which the load of a cold endpoint is evaluated.
const overloadWindow = 3 * time.Second

// balanceConfig returns the settings of a pool's Balancer.
func balanceConfig(cfg *config.Daemon, c *config.Pool) balance.Config {
	b := balance.Config{
		Index:                 cfg.Process.Instance,
		Instances:             cfg.Process.Instances,
		Entry:                 true,
		AttemptLimit:          c.Attempts,
		SlowStartInitialShare: c.SlowStartInitialShare,
		SlowStartWindow:       c.SlowStartWindow,
		OverloadWindow:        overloadWindow,
		IdleConnTimeout:       c.IdleTimeout,
		Multiplex:             1,
	}
	if c.PreferOwnZone {
		b.CrossZonePrice = crossZonePrice
	}
	for _, r := range cfg.Routes {
		if r.Pool == c.Name {
			for _, variant := range classVariants(cfg.Class(r.Class)) {
				if !slices.Contains(b.Classes, variant) {
					b.Classes = append(b.Classes, variant)
				}
			}
		}
	}
	if len(b.Classes) == 0 { // no route refers to this pool yet
		variants := classVariants(cfg.Class("default"))
		b.Classes = variants[:1]
	}
	return b
}

// classVariants returns the classes of the Balancer for a configured class, indexed
// by idempotency.
func classVariants(c *config.Class) (all [3]balance.Class) {
	for i := range all {
		all[i] = c.Class
		if c.ByMethod {
			all[i].Idempotency = balance.Idempotency(i)
		}
		if all[i].Idempotency != balance.IdempotentByKey {
			all[i].DeduplicationScope, all[i].DeduplicationWindow = 0, 0
		}
	}
	return all
}

// buildTable returns the routing table of a listener.
func (tx *transaction) buildTable(name string) (*httpserver.Table, error) {
	routes, err := tx.cfg.RoutingTable(name)
	if err != nil {
		return nil, fmt.Errorf("listeners.%s: %w", name, err)
	}
	t := &httpserver.Table{Routes: routes, ClassNames: map[string]bool{}, FindPool: tx.daemon.Pool}
	for i := range tx.cfg.Classes {
		t.ClassNames[tx.cfg.Classes[i].Name] = true
	}
	classes := map[string]map[string]*httpserver.Class{} // by pool and class name
	for _, r := range tx.cfg.Routes {
		p := tx.pools[r.Pool]
		if classes[r.Pool] == nil {
			classes[r.Pool] = map[string]*httpserver.Class{}
		}
		if _, err := tx.poolClass(classes[r.Pool], p.pool, r.Class); err != nil {
			return nil, err
		}
		if tx.requestsNameClass(name) {
			for i := range tx.cfg.Classes {
				if _, err := tx.poolClass(classes[r.Pool], p.pool, tx.cfg.Classes[i].Name); err != nil {
					return nil, err
				}
			}
		}
		t.Targets = append(t.Targets, httpserver.Target{
			Pool:        p.pool,
			Class:       classes[r.Pool][r.Class],
			ClassByName: classes[r.Pool],
			MaxBody:     tx.poolConfig(r.Pool).MaxBody,
		})
	}
	return t, nil
}

// requestsNameClass reports whether requests on a listener can name their class.
func (tx *transaction) requestsNameClass(listener string) bool {
	for _, l := range tx.cfg.Listeners {
		if l.Name == listener {
			return l.Form == config.FormPlatform || l.ClassHeader != ""
		}
	}
	return false
}

func (tx *transaction) poolConfig(name string) *config.Pool {
	for i := range tx.cfg.Pools {
		if tx.cfg.Pools[i].Name == name {
			return &tx.cfg.Pools[i]
		}
	}
	return nil
}

// poolClass returns the class of requests to a pool. Results are cached.
func (tx *transaction) poolClass(cache map[string]*httpserver.Class, target *pool.Pool, name string) (*httpserver.Class, error) {
	if c := cache[name]; c != nil {
		return c, nil
	}
	class := tx.cfg.Class(name)
	c := &httpserver.Class{Name: name, ByMethod: class.ByMethod, Variants: classVariants(class)}
	for i, variant := range c.Variants {
		var err error
		if c.Numbers[i], err = target.ClassNumber(variant); err != nil {
			return nil, fmt.Errorf("classes.%s: %w", name, err)
		}
	}
	cache[name] = c
	return c, nil
}

// commit puts the prepared configuration into use and returns what has changed.
// New pools run before a table refers to them, and old pools accept requests until
// no table does, so a request that a retired pool rejects finds the new table.
func (tx *transaction) commit() []string {
	d := tx.daemon
	d.generation++
	d.recordDeadlines()
	d.keyBindings.SetRetention(keyRetention(tx.cfg))
	retention := d.keyBindings.Retention()
	d.seenIDs.SetLongestDeadline(tx.cfg.LongestDeadline())
	retired := tx.commitPools(time.Now().Add(retention))
	for i := range tx.cfg.Listeners {
		c := &tx.cfg.Listeners[i]
		if l := d.listeners[c.Name]; l != nil && canReuseListener(&l.cfg, c) {
			if l.cfg.Connections != c.Connections {
				tx.addChange("listener %s: connection limit is now %d, was %d", c.Name, c.Connections, l.cfg.Connections)
				l.server.SetMaxConns(c.Connections)
			}
			l.server.SetExtraConns(tx.extraConns())
			l.cfg = *c
			l.router.SetTable(tx.tables[c.Name], retention)
		}
	}
	tx.commitListeners()
	for _, p := range retired {
		p.pool.Retire()
	}
	tx.addRouteChanges()
	d.cfg = tx.cfg
	return tx.changes
}

func (tx *transaction) addChange(format string, args ...any) {
	tx.changes = append(tx.changes, fmt.Sprintf(format, args...))
}

// commitPools starts the new pools and returns the pools to retire.
func (tx *transaction) commitPools(retainUntil time.Time) (retired []*managedPool) {
	d := tx.daemon
	for _, p := range tx.reactivated {
		d.retired = slices.DeleteFunc(d.retired, func(o *managedPool) bool { return o == p })
		p.pool.Reactivate()
		d.pools[p.cfg.Name] = p
		tx.addChange("pool %s: restored while draining", p.cfg.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		old, next := d.pools[name], tx.pools[name]
		if next == old {
			tx.updatePool(old)
			continue
		}
		old.retainUntil = retainUntil
		if next == nil {
			tx.addChange("pool %s: removed, draining", name)
		} else {
			tx.addChange("pool %s: replaced, the previous one is draining", name)
			old.sharesConns = next.pool.Conns() == old.pool.Conns()
			old.pool.SetSource(next.cfg.EndpointSource.NewSource()) // it needs endpoint updates until it is closed
		}
		retired = append(retired, old)
	}
	d.retired = append(d.retired, retired...)
	for _, p := range tx.created {
		if tx.replaced[p.cfg.Name] == nil {
			tx.addChange("pool %s: added, endpoint list source: %s", p.cfg.Name, &p.cfg.EndpointSource)
		}
		var ctx context.Context
		ctx, p.stop = context.WithCancel(d.ctx)
		go p.pool.Run(ctx)
		d.poolsByName.Store(p.cfg.Name, p.pool)
	}
	d.pools = tx.pools
	d.distributeConns()
	return retired
}

// updatePool gives a pool that is kept its new limits and endpoint list source.
func (tx *transaction) updatePool(p *managedPool) {
	c := tx.poolConfig(p.cfg.Name)
	old := p.cfg
	p.cfg = *c
	for _, setting := range []struct {
		name              string
		previous, current any
	}{
		{"request limit", old.Requests, c.Requests},
		{"connection limit", old.Connections, c.Connections},
		{"memory in bytes", old.Memory, c.Memory},
		{"maximum body size in bytes", old.MaxBody, c.MaxBody},
		{"endpoint list source", old.EndpointSource.String(), c.EndpointSource.String()},
	} {
		if setting.previous != setting.current {
			tx.addChange("pool %s: %s is now %v, was %v", c.Name, setting.name, setting.current, setting.previous)
		}
	}
	p.pool.SetLimits(poolLimits(c))
	if old.Memory != c.Memory {
		p.pool.Conns().SetLimits(connLimits(c, p.pool.Conns().MaxConns()))
	}
	if old.EndpointSource.String() != c.EndpointSource.String() {
		p.pool.SetSource(c.EndpointSource.NewSource())
	}
}

// commitListeners replaces the old listeners by the new ones. The old ones close
// each connection once no request is open on it.
func (tx *transaction) commitListeners() {
	d := tx.daemon
	for _, l := range tx.newListeners {
		if l.reusesAcceptor {
			l.acceptor.setServer(l.server)
		} else {
			go l.acceptor.serve()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.listeners)) {
		old := d.listeners[name]
		kept := slices.ContainsFunc(tx.cfg.Listeners, func(c config.Listener) bool { return c.Name == name && canReuseListener(&old.cfg, &c) })
		if kept {
			continue
		}
		if !slices.ContainsFunc(tx.newListeners, func(l *listener) bool { return l.acceptor == old.acceptor }) {
			old.acceptor.listener.Close()
		}
		delete(d.listeners, name)
		tx.addChange("listener %s: removed from %s", name, old.cfg.Address)
		old.server.BeginDrain()
		d.retiredListeners = append(d.retiredListeners, old)
	}
	for _, old := range d.retiredListeners {
		if t := tx.tables[old.cfg.Name]; t != nil { // replaced by a listener of this name
			tableCopy := *t
			old.router.SetTable(&tableCopy, d.keyBindings.Retention()) // for requests on its remaining connections
		}
	}
	for _, l := range tx.newListeners {
		l.generation = d.generation
		d.listeners[l.cfg.Name] = l
		tx.addChange("listener %s: listening on %s, form %s", l.cfg.Name, l.acceptor.listener.Addr(), l.cfg.Form)
	}
}

// addRouteChanges records which routes were added, changed or removed.
func (tx *transaction) addRouteChanges() {
	text := func(r config.Route) string {
		return strings.Join(strings.Fields(fmt.Sprintf("%s%s %s %s %s", r.Host, r.Path, strings.Join(r.Methods, ","), r.IfClass, strings.Join(r.Listeners, ","))), " ")
	}
	previous, current := map[string]config.Route{}, map[string]bool{}
	for _, r := range tx.daemon.cfg.Routes {
		previous[text(r)] = r
	}
	for _, r := range tx.cfg.Routes {
		current[text(r)] = true
		switch old, ok := previous[text(r)]; {
		case !ok:
			tx.addChange("route %q: added, pool %s, class %s", text(r), r.Pool, r.Class)
		case old.Pool != r.Pool || old.Class != r.Class:
			tx.addChange("route %q: now pool %s, class %s; was pool %s, class %s", text(r), r.Pool, r.Class, old.Pool, old.Class)
		}
	}
	for _, r := range tx.daemon.cfg.Routes {
		if !current[text(r)] {
			tx.addChange("route %q: removed", text(r))
		}
	}
}

// LogChanges logs one line for each change, or one line if there are none.
func LogChanges(changes []string) {
	for _, c := range changes {
		slog.Info("reload", "change", c)
	}
	if len(changes) == 0 {
		slog.Info("reload: configuration unchanged")
	}
}
