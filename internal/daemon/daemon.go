// Package daemon runs many services in one process. It creates pools, listeners and
// routing tables from a configuration and replaces them while they are in use.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"gorselink/balance"
	"gorselink/internal/config"
	"gorselink/internal/httpserver"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// Daemon runs the services of one configuration, which can be replaced.
type Daemon struct {
	ctx         context.Context // ends the background goroutines
	cancel      context.CancelFunc
	keyBindings *httpserver.KeyBindings
	seenIDs     *httpserver.SeenIDs

	mu               sync.Mutex
	cfg              *config.Daemon // the current configuration
	generation       int            // number of the current configuration, from 1
	pools            map[string]*managedPool
	retired          []*managedPool
	listeners        map[string]*listener
	retiredListeners []*listener // listeners that a reload has removed or replaced, with open connections
	formerDeadline   time.Time   // when the last request of earlier configurations has reached its deadline
	closed           bool

	// poolsByName is read by requests, so it is not guarded by mu.
	poolsByName sync.Map // maps the names of pools that are running or draining to *pool.Pool
}

// managedPool is a pool and its settings.
type managedPool struct {
	cfg         config.Pool
	pool        *pool.Pool
	stop        context.CancelFunc // stops receiving updates from the endpoint list source
	retainUntil time.Time          // once retired: until when requests with a key may be repeated
	sharesConns bool               // once retired: its replacement uses the same connections
}

// listener serves the callers that connect to one address.
type listener struct {
	cfg      config.Listener
	acceptor *acceptor
	router   *httpserver.TableRouter
	server   *httpserver.Server

	generation     int  // of the configuration that has created the listener
	reusesAcceptor bool // the acceptor belongs to the previous listener at this address
}

// Start runs a Daemon with the given configuration. If it returns an error, nothing
// keeps running.
func Start(cfg *config.Daemon) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		ctx:         ctx,
		cancel:      cancel,
		keyBindings: httpserver.NewKeyBindings(keyRetention(cfg)),
		seenIDs:     httpserver.NewSeenIDs(cfg.LongestDeadline()),
		cfg:         &config.Daemon{},
		pools:       map[string]*managedPool{},
		listeners:   map[string]*listener{},
	}
	if _, err := d.Apply(cfg); err != nil {
		cancel()
		return nil, err
	}
	go d.maintain()
	return d, nil
}

// Addr returns the address of the listener with this name, or nil if there is none.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[name]; l != nil {
		return l.acceptor.listener.Addr()
	}
	return nil
}

// Pool returns the running or draining pool with this name, or nil.
func (d *Daemon) Pool(name string) *pool.Pool {
	if p, ok := d.poolsByName.Load(name); ok {
		return p.(*pool.Pool)
	}
	return nil
}

// RetiredCount returns the number of pools that are draining.
func (d *Daemon) RetiredCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.retired)
}

// keyRetention returns the longest time for which endpoints may remember an idempotency key, counted from
// when its request is sent: it runs by its deadline, and from then on they remember it.
func keyRetention(cfg *config.Daemon) (longest time.Duration) {
	for i := range cfg.Classes {
		if c := &cfg.Classes[i]; c.ByMethod || c.Idempotency == balance.IdempotentByKey {
			longest = max(longest, c.DeduplicationWindow)
		}
	}
	return longest + cfg.LongestDeadline()
}

// Apply replaces the current configuration by cfg and returns what has changed. If
// it returns an error, the current configuration remains in use. Open requests
// finish in the pool that accepted them.
func (d *Daemon) Apply(cfg *config.Daemon) (changes []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("daemon is draining; configuration not applied")
	}
	tx := newTransaction(d, cfg)
	if err := tx.prepare(); err != nil {
		tx.rollback()
		return nil, err
	}
	return tx.commit(), nil
}

const maintenanceInterval = time.Second

// maintain periodically logs counts, closes drained pools and idle connections, and
// adjusts the connection limits of pools.
func (d *Daemon) maintain() {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-tick.C:
			d.mu.Lock()
			for _, name := range slices.Sorted(maps.Keys(d.pools)) {
				d.pools[name].pool.Report(now)
			}
			for _, name := range slices.Sorted(maps.Keys(d.listeners)) {
				d.listeners[name].server.Report()
			}
			d.dropDrainedListeners()
			d.closeDrained(now)
			d.distributeConns()
			d.mu.Unlock()
		}
	}
}

// closeDrained closes the retired pools that have no open request, once their requests
// with an idempotency key can no longer be repeated. The caller must hold mu.
func (d *Daemon) closeDrained(now time.Time) {
	d.retired = slices.DeleteFunc(d.retired, func(p *managedPool) bool {
		if p.pool.OpenRequests() > 0 || now.Before(p.retainUntil) {
			return false
		}
		p.close()
		d.poolsByName.CompareAndDelete(p.cfg.Name, p.pool)
		slog.Info("drained pool closed", "pool", p.cfg.Name)
		return true
	})
}

// close stops the pool and closes its connections unless its replacement uses them.
func (p *managedPool) close() {
	p.stop()
	if !p.sharesConns {
		p.pool.Conns().Close()
	}
}

// distributeConns sets the connection limits of the pools. Increases are reduced by
// the connections that retired pools and pools above their new limit still have
// open, so that the process never exceeds its limit of file descriptors. The caller
// must hold mu.
func (d *Daemon) distributeConns() {
	excess, requested := 0, 0
	for _, p := range d.retired {
		if !p.sharesConns {
			p.pool.Conns().CloseIdle()
			excess += p.pool.Conns().OpenConns()
		}
	}
	for _, p := range d.pools {
		excess += max(0, p.pool.Conns().OpenConns()-p.cfg.Connections)
		requested += max(0, p.cfg.Connections-p.pool.Conns().MaxConns())
	}
	for _, p := range d.pools {
		limit, current := p.cfg.Connections, p.pool.Conns().MaxConns()
		if increase := limit - current; increase > 0 && excess > 0 {
			limit = max(current, limit-(excess*increase+requested-1)/requested)
		}
		if limit != current {
			p.pool.Conns().SetLimits(connLimits(&p.cfg, limit))
		}
	}
}

// Close stops everything at once. Open requests get no response.
func (d *Daemon) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, l := range d.listeners {
		l.acceptor.listener.Close()
		l.server.BeginDrain()
	}
	for _, p := range d.pools {
		p.close()
	}
	for _, p := range d.retired {
		p.close()
	}
}

// poolSeed returns the random seed of a pool. It differs between pools and is the
// same at each start if the configuration sets a seed.
func poolSeed(cfg *config.Daemon, name string) uint64 {
	if cfg.Process.Seed == 0 {
		return rand.Uint64()
	}
	seed := cfg.Process.Seed
	for _, c := range []byte(name) {
		seed = (seed ^ uint64(c)) * 0x100000001b3 // FNV-1a
	}
	return seed
}

// connLimits returns the limits of a pool's connections. Short responses have no budget, because the
// number of requests is limited by the memory.
func connLimits(p *config.Pool, maxConns int) upstream.Limits {
	return upstream.Limits{MaxConns: maxConns, LargeResponseBytes: p.Memory / config.LargeResponseMemoryDivisor}
}

func newConnPool(p *config.Pool, maxConns int) *upstream.Pool {
	return upstream.New(upstream.Config{
		DialTimeout:          p.ConnectTimeout,
		IdleTimeout:          p.IdleTimeout,
		MaxConns:             maxConns,
		LargeResponseBytes:   p.Memory / config.LargeResponseMemoryDivisor,
		MaxResponseBytes:     int(p.MaxResponse),
		ResponseStallTimeout: p.ResponseStallTimeout,
		PassThroughStatus:    true,
	})
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
