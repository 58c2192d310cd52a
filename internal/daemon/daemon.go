// Package daemon runs many services in one process: it makes pools, listeners
// and routing tables of a configuration, and replaces them while they serve.
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
	httpfront "gorselink/internal/front/http"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// Daemon is a running configuration.
type Daemon struct {
	ctx    context.Context // ends what works in the background
	cancel context.CancelFunc
	keys   *httpfront.KeyBindings
	ids    *httpfront.SeenIDs

	mu        sync.Mutex
	cfg       *config.Daemon // the one in force
	services  map[string]*service
	retired   []*service
	listeners map[string]*listener
	closed    bool

	// names is read by requests, so it is apart from mu.
	names sync.Map // name of a pool that serves or drains to *pool.Pool
}

// service is a pool and what it was made of.
type service struct {
	cfg     config.Pool
	pool    *pool.Pool
	cancel  context.CancelFunc // ends its node source
	until   time.Time          // once retired: when the last repeat of a keyed request may come
	sharing bool               // once retired: its connections are used by its successor
}

// listener is an address and its callers.
type listener struct {
	cfg     config.Listener
	door    *door
	judge   *httpfront.TableRouter
	callers *httpfront.Server

	takesOver bool // the door of the listener that had its address
}

// Start serves by cfg. With an error nothing is left running.
func Start(cfg *config.Daemon) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		ctx:       ctx,
		cancel:    cancel,
		keys:      httpfront.NewKeyBindings(keySpan(cfg)),
		ids:       httpfront.NewSeenIDs(cfg.LongestDeadline()),
		cfg:       &config.Daemon{},
		services:  map[string]*service{},
		listeners: map[string]*listener{},
	}
	if _, err := d.Apply(cfg); err != nil {
		cancel()
		return nil, err
	}
	go d.tend()
	return d, nil
}

// Addr is where a listener listens, nil if there is none with this name.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[name]; l != nil {
		return l.door.l.Addr()
	}
	return nil
}

// Pool is the pool with this name that serves or still drains, or nil.
func (d *Daemon) Pool(name string) *pool.Pool {
	if p, ok := d.names.Load(name); ok {
		return p.(*pool.Pool)
	}
	return nil
}

// Retired is how many pools are draining.
func (d *Daemon) Retired() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.retired)
}

// keySpan is the longest time that nodes remember a key.
func keySpan(cfg *config.Daemon) (span time.Duration) {
	for i := range cfg.Classes {
		if c := &cfg.Classes[i]; c.ByMethod || c.Semantics == balance.Keyed {
			span = max(span, c.DeduplicationWindow)
		}
	}
	return span
}

// Apply makes cfg the configuration in force, as a whole or, with an error, not
// at all. It tells what has changed. Requests that are open end in the pool
// that took them.
func (d *Daemon) Apply(cfg *config.Daemon) (changes []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("the daemon is draining")
	}
	plan := newPlan(d, cfg)
	if err := plan.prepare(); err != nil {
		plan.undo()
		return nil, err
	}
	return plan.commit(), nil
}

// tendEvery is how often idle connections are swept, counts logged, and what
// has drained is let go.
const tendEvery = time.Second

func (d *Daemon) tend() {
	tick := time.NewTicker(tendEvery)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-tick.C:
			d.mu.Lock()
			for _, name := range slices.Sorted(maps.Keys(d.services)) {
				d.services[name].pool.Report(now)
			}
			d.letGo(now)
			d.grant()
			d.mu.Unlock()
		}
	}
}

// letGo closes the retired pools in which nothing is open and no repeat may
// come; the mutex is held.
func (d *Daemon) letGo(now time.Time) {
	d.retired = slices.DeleteFunc(d.retired, func(s *service) bool {
		if s.pool.OpenRequests() > 0 || now.Before(s.until) {
			return false
		}
		s.end()
		d.names.CompareAndDelete(s.cfg.Name, s.pool)
		slog.Info("pool has drained", "pool", s.cfg.Name)
		return true
	})
}

// end lets go of all that a service has.
func (s *service) end() {
	s.cancel()
	if !s.sharing {
		s.pool.Conns().Close()
	}
}

// grant gives the pools their connections; the mutex is held. What retired
// pools, and those with more than their new bound, still hold is kept back from
// the pools that have been given more, so that all together never hold more
// descriptors than there are.
func (d *Daemon) grant() {
	over, grown := 0, 0
	for _, s := range d.retired {
		if !s.sharing {
			s.pool.Conns().CloseIdle()
			over += s.pool.Conns().OpenConns()
		}
	}
	for _, s := range d.services {
		over += max(0, s.pool.Conns().OpenConns()-s.cfg.Connections)
		grown += max(0, s.cfg.Connections-s.pool.Conns().MaxConns())
	}
	for _, s := range d.services {
		most, has := s.cfg.Connections, s.pool.Conns().MaxConns()
		if more := most - has; more > 0 && over > 0 {
			most = max(has, most-(over*more+grown-1)/grown)
		}
		if most != has {
			s.pool.Conns().SetLimits(most, s.cfg.Memory/config.LargeResponseMemoryDivisor)
		}
	}
}

// Drain makes all listeners say that they are not ready, and waits as long as
// coming for callers that have not heard of it. Then it ends, by the deadline
// at the latest, once all that was taken is answered.
func (d *Daemon) Drain(coming time.Duration, deadline time.Time) {
	d.mu.Lock()
	d.closed = true
	listeners := slices.Collect(maps.Values(d.listeners))
	d.mu.Unlock()
	for _, l := range listeners {
		l.judge.MarkDraining()
		l.callers.SetResponseDeadline(deadline.Add(-answerMargin))
	}
	time.Sleep(min(coming, time.Until(deadline)))
	var wg sync.WaitGroup
	for _, l := range listeners {
		l.door.l.Close()
		wg.Go(func() { l.callers.Drain(deadline) })
	}
	wg.Wait()
	d.Close()
}

// answerMargin is what the very last answers have to be written.
const answerMargin = 50 * time.Millisecond

// Close ends all at once; what is open is lost.
func (d *Daemon) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, l := range d.listeners {
		l.door.l.Close()
		go l.callers.Drain(time.Now())
	}
	for _, s := range d.services {
		s.end()
	}
	for _, s := range d.retired {
		s.end()
	}
}

// seedOf is the seed of a pool's draws: all pools differ, and a seed in the
// file makes them the same at each start.
func seedOf(cfg *config.Daemon, name string) uint64 {
	if cfg.Process.Seed == 0 {
		return rand.Uint64()
	}
	seed := cfg.Process.Seed
	for _, c := range []byte(name) {
		seed = (seed ^ uint64(c)) * 0x100000001b3 // FNV-1a
	}
	return seed
}

func newConns(p *config.Pool, bound int) *upstream.Pool {
	return upstream.New(upstream.Config{
		DialTimeout:          p.ConnectTimeout,
		IdleTimeout:          p.IdleTimeout,
		MaxConns:             bound,
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
