package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"oatgw/balance"
	"oatgw/internal/discovery"
	"oatgw/internal/upstream"
)

// Waits between calls of a pushing agent that fail: its first new answer
// should not be waited for long, and a dead one not be called without end.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// Follow keeps the list of endpoints up to date until ctx ends.
func (s *Sidecar) Follow(ctx context.Context) {
	if s.cfg.Balance.AskDiscovery {
		s.followAsked(ctx)
		return
	}
	client := discovery.NewClient(s.cfg.Discovery, discovery.PushWait)
	for fails := 0; ctx.Err() == nil; fails++ {
		err := client.Follow(ctx, func(l discovery.List) {
			fails = 0
			s.told(l)
		})
		if ctx.Err() != nil {
			return
		}
		slog.Warn("list not to be had", "error", err)
		delay := min(backoffMin<<min(fails, 8), backoffMax)
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
	}
}

// followAsked watches when the Balancer wants it and tells it of failures: one
// discovery answers all sidecars, so when to ask again is a decision.
func (s *Sidecar) followAsked(ctx context.Context) {
	client := discovery.NewClient(s.cfg.Discovery, discovery.AskWait)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.watches:
		}
		err := client.Follow(ctx, s.told)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch ended", "error", err)
		s.update(balance.Failed, nil)
	}
}

// told takes an answer of discovery.
func (s *Sidecar) told(l discovery.List) {
	kind := balance.Delta
	if l.Snapshot {
		kind = balance.Full
	}
	s.update(kind, l.Endpoints)
}

// update takes a list, or the news that asking for one failed.
func (s *Sidecar) update(kind balance.ListKind, list []discovery.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
