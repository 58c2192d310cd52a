package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// Waits between calls of a pushing agent that fail: its first new answer
// should not be waited for long, and a dead one not be called without end.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// source is one discovery service that is being followed.
type source struct {
	addr   string
	number int           // later ones are higher
	watch  chan struct{} // the Balancer wants a watch
	cancel context.CancelFunc
}

// Move names the discovery service to follow from now on. The old one is
// followed until the new one has told its whole list, so that nothing goes
// untold in between; it guards as well against a new address that is dead or
// slow, as the old service then goes on telling for as long as it can.
func (s *Sidecar) Move(addr string) {
	select {
	case <-s.moves: // a newer address replaces one not yet heeded
	default:
	}
	s.moves <- addr
}

// Follow keeps the list of endpoints up to date until ctx ends.
func (s *Sidecar) Follow(ctx context.Context) {
	s.follow(ctx, s.cfg.Discovery)
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-s.moves:
			s.follow(ctx, addr)
		}
	}
}

// follow starts to follow addr, unless that is what was last named.
func (s *Sidecar) follow(ctx context.Context, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := 1
	if n := len(s.sources); n > 0 {
		last := s.sources[n-1]
		if last.addr == addr {
			return
		}
		number = last.number + 1
		if n > 1 {
			// It was to take over and has told nothing yet.
			last.cancel()
			s.sources = s.sources[:n-1]
		}
		slog.Info("discovery moves", "from", last.addr, "to", addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	src := &source{addr: addr, number: number, watch: make(chan struct{}, 1), cancel: cancel}
	s.sources = append(s.sources, src)
	if s.cfg.Balance.AskDiscovery {
		if number > 1 || s.wanted {
			src.watch <- struct{}{} // the Balancer's wish was for the service before
		}
		go s.followAsked(ctx, src)
	} else {
		go s.followPushed(ctx, src)
	}
}

func (s *Sidecar) followPushed(ctx context.Context, src *source) {
	client := discovery.NewClient(src.addr, discovery.PushWait)
	defer client.Close()
	for fails := 0; ctx.Err() == nil; fails++ {
		err := client.Follow(ctx, func(l discovery.List) {
			fails = 0
			s.told(src, l)
		})
		if ctx.Err() != nil {
			return
		}
		slog.Warn("list not to be had", "discovery", src.addr, "error", err)
		delay := min(backoffMin<<min(fails, 8), backoffMax)
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
	}
}

// followAsked watches when the Balancer wants it and tells it of failures: one
// discovery answers all sidecars, so when to ask again is a decision.
func (s *Sidecar) followAsked(ctx context.Context, src *source) {
	client := discovery.NewClient(src.addr, discovery.AskWait)
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-src.watch:
		}
		err := client.Follow(ctx, func(l discovery.List) { s.told(src, l) })
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch ended", "discovery", src.addr, "error", err)
		s.mu.Lock()
		if s.sources[len(s.sources)-1] == src {
			s.update(balance.Failed, nil)
		}
		s.mu.Unlock()
	}
}

// told takes an answer of a discovery service. The first one of a new service
// is its whole list and ends the service before, whose changes cannot be
// applied to that list.
func (s *Sidecar) told(src *source, l discovery.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.sources[0].number < src.number {
		s.sources[0].cancel()
		s.sources = s.sources[1:]
	}
	if s.sources[0] != src {
		return // a late word of a service that has been replaced
	}
	kind := balance.Delta
	if l.Snapshot {
		kind = balance.Full
	}
	s.update(kind, l.Endpoints)
}

// update takes a list, or the news that asking for one failed; the mutex is
// held.
func (s *Sidecar) update(kind balance.ListKind, list []discovery.Endpoint) {
	entries := make([]balance.Endpoint, 0, len(list))
	for i := range list {
		entries = append(entries, s.entry(&list[i]))
	}
	// What is new can be reached before the Balancer knows of it, and what is
	// gone until the Balancer knows that.
	for _, e := range list {
		if e.Status != discovery.Terminated {
			s.pool.Set(e.Name, upstream.Target{Address: e.Address, Since: e.SinceMs})
		}
	}
	s.balancer.Members(s.now(), kind, entries)
	s.listed = s.listed || len(entries) > 0
	switch kind {
	case balance.Full, balance.Cached:
		keep := map[string]bool{}
		for _, e := range list {
			keep[e.Name] = e.Status != discovery.Terminated
		}
		s.pool.Keep(keep)
	case balance.Delta:
		for _, e := range list {
			if e.Status == discovery.Terminated {
				s.pool.Remove(e.Name)
			}
		}
	}
}

// entry is an endpoint as the Balancer knows it. Its address there is the
// name, which all sidecars share: the Balancers must agree on the ring.
func (s *Sidecar) entry(e *discovery.Endpoint) balance.Endpoint {
	zone, ok := s.cfg.Zones[e.Zone]
	if !ok {
		zone = len(s.cfg.Zones) // one that the settings do not name
	}
	b := balance.Endpoint{Addr: e.Name, Zone: zone, Cell: e.Group}
	switch e.Status {
	case discovery.InService:
		b.State = balance.Ready
	case discovery.Terminating:
		b.State = balance.Draining
	}
	if e.SinceMs != 0 {
		// The offset is that of the start, read once: a clock that is set
		// later must not make old processes look restarted.
		b.Since = time.UnixMilli(e.SinceMs).Sub(s.start.Round(0))
		if b.Since == 0 {
			b.Since = 1 // 0 would mean long ago
		}
	}
	return b
}
