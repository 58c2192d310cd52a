package pool

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// Waits between calls of a pushing agent that fail. What it has counts as told from the
// moment that it is back, and the call after the wait brings it; the drains that it tells
// then leave no more time than a part of their grace, see nodes.PushTimes.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = 100 * time.Millisecond
)

// Waits of a source that is asked after a silence, and before it has told anything at
// all; those after failures that it has told itself are the Balancer's.
const (
	silenceMin = 50 * time.Millisecond
	silenceMax = 250 * time.Millisecond
	beginMin   = 300 * time.Millisecond
	beginMax   = time.Second
)

// source is a node source that is being followed.
type source struct {
	nodes.Source
	number int           // later ones are higher
	watch  chan struct{} // the Balancer wants a watch
	cancel context.CancelFunc
	failed int  // calls in a row; its follower's alone
	stands bool // a watch stands since its last word; its follower's alone
}

// fails books a failed call. Only the first in a row is logged: a discovery that is
// down for long would fill the log of every sidecar.
func (s *source) fails(pool string, err error) {
	if s.failed++; s.failed == 1 {
		slog.Warn("list not to be had, the last one stands", "pool", pool, "from", s.String(), "error", err)
	}
}

// tells books that a list has come.
func (s *source) tells(pool string) {
	if s.failed > 0 {
		slog.Info("list to be had again", "pool", pool, "from", s.String(), "failed", s.failed)
	}
	s.failed = 0
}

// Move names the source to follow from now on. The old one is followed until
// the new one has told its whole list, so that nothing goes untold in between;
// it guards as well against a new one that is dead or slow, as the old one then
// goes on telling for as long as it can. It does nothing if the new source has
// the name of the one last given.
func (p *Pool) SetSource(src nodes.Source) {
	select {
	case <-p.moves: // a newer one replaces one not yet heeded
	default:
	}
	p.moves <- src
}

// Run keeps the list of nodes up to date until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	p.follow(ctx, p.cfg.Source)
	for {
		select {
		case <-ctx.Done():
			return
		case src := <-p.moves:
			p.follow(ctx, src)
		}
	}
}

// follow starts to follow to, unless that is what was last named.
func (p *Pool) follow(ctx context.Context, to nodes.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := 1
	if n := len(p.sources); n > 0 {
		last := p.sources[n-1]
		if last.String() == to.String() {
			return
		}
		number = last.number + 1
		if n > 1 {
			// It was to take over and has told nothing yet.
			last.cancel()
			p.sources = p.sources[:n-1]
		}
		slog.Info("nodes move", "pool", p.cfg.Name, "from", last.String(), "to", to.String())
	}
	ctx, cancel := context.WithCancel(ctx)
	src := &source{Source: to, number: number, watch: make(chan struct{}, 1), cancel: cancel}
	p.sources = append(p.sources, src)
	if p.cfg.Balance.AskDiscovery {
		if number > 1 || p.wanted {
			src.watch <- struct{}{} // the Balancer's wish was for the source before
		}
		go p.followAsked(ctx, src)
	} else {
		go p.followPushed(ctx, src)
	}
}

func (p *Pool) followPushed(ctx context.Context, src *source) {
	defer src.Close()
	jitter := rand.New(rand.NewPCG(p.cfg.Seed, uint64(src.number)))
	for ctx.Err() == nil {
		src.stands = false
		err := src.Follow(ctx, func(l nodes.List) {
			src.tells(p.cfg.Name)
			p.told(src, l)
		})
		if ctx.Err() != nil {
			return
		}
		src.fails(p.cfg.Name, err)
		delay := min(backoffMin<<min(src.failed-1, 8), backoffMax)
		nodes.Sleep(ctx, delay/2+time.Duration(jitter.Int64N(int64(delay/2))))
	}
}

// followAsked watches when the Balancer wants it and tells it of failures: one
// discovery answers all sidecars, so when to ask again is a decision. Two cases are none.
// A watch that fell silent is broken without a word, and what it missed counts as told a
// second or two after its wait: it is opened anew at once. And one that a reload has named
// counts as heard 4 s later, whether or not it answers: it is asked until it does.
func (p *Pool) followAsked(ctx context.Context, src *source) {
	defer src.Close()
	jitter := rand.New(rand.NewPCG(p.cfg.Seed, uint64(src.number)))
	for heard := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-src.watch:
		}
		for silent := 0; ; {
			src.stands = false
			err := src.Follow(ctx, func(l nodes.List) {
				src.tells(p.cfg.Name)
				p.told(src, l)
				heard, silent = true, 0
			})
			if ctx.Err() != nil {
				return
			}
			src.fails(p.cfg.Name, err)
			least, most := beginMin, beginMax
			if heard || src.number == 1 {
				if silent++; silent > 1 || !nodes.Silent(err) {
					break
				}
				least, most = silenceMin, silenceMax
			}
			if !nodes.Sleep(ctx, least+time.Duration(jitter.Int64N(int64(most-least)))) {
				return
			}
		}
		p.mu.Lock()
		if p.sources[len(p.sources)-1] == src {
			p.update(balance.Failed, nodes.List{})
		}
		p.mu.Unlock()
	}
}

// told takes what a source tells. The first word of a new one is its whole list
// and ends the source before, whose changes cannot be applied to that list.
func (p *Pool) told(src *source, l nodes.List) {
	defer func() { src.stands = true }()
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.sources[0].number < src.number
	for p.sources[0].number < src.number {
		p.sources[0].cancel()
		p.sources = p.sources[1:]
	}
	if p.sources[0] != src {
		return // a late word of a source that has been replaced
	}
	kind := balance.Delta
	switch {
	case l.Snapshot:
		kind = balance.Full
	case l.Index < p.version:
		// From a source that goes on where the one before was, and lags behind it: what it
		// tells is older than what is known, and would bring back what has been drained.
		return
	}
	p.hears(src, first, &l)
	p.update(kind, l)
}

// Version is the newest version of the list that has been told, and whether any has been.
func (p *Pool) ListVersion() (index uint64, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.listed
}

// update takes a list, or the news that asking for one failed; the mutex is
// held.
func (p *Pool) update(kind balance.ListKind, l nodes.List) {
	if kind != balance.Failed {
		p.date(kind, &l)
		p.version, p.undated = l.Index, l.Undated
	}
	list := l.Endpoints
	entries := make([]balance.Endpoint, 0, len(list))
	for i := range list {
		entries = append(entries, p.entry(&list[i]))
	}
	// What is new can be reached before the Balancer knows of it, and what is
	// gone until the Balancer knows that.
	for _, e := range list {
		if e.Status != nodes.Terminated {
			p.conns.Set(e.Name, upstream.Target{Address: e.Address, StartMs: e.SinceMs})
		}
	}
	p.members(kind, entries)
	if kind == balance.Full || kind == balance.Delta {
		p.heard = p.now()
	}
	p.listed = p.listed || len(entries) > 0
	whole := kind == balance.Full || kind == balance.Cached
	was := p.known
	if whole {
		p.known = make(map[string]nodes.Endpoint, len(list))
	}
	for _, e := range list {
		if e.Status != nodes.Terminated {
			p.known[e.Name] = e
			continue
		}
		delete(p.known, e.Name)
		delete(p.entered, e.Name)
		p.conns.Remove(e.Name)
		p.remember(e.Name)
		p.leaves(e.Name)
	}
	if whole {
		for _, name := range slices.Sorted(maps.Keys(was)) {
			if _, stays := p.known[name]; !stays {
				p.remember(name)
				p.leaves(name)
			}
		}
		p.conns.Retain(func(name string) bool { _, ok := p.known[name]; return ok })
	}
}

// List is the list of nodes as it is known, by name.
func (p *Pool) List() nodes.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := nodes.List{Snapshot: true, Undated: p.undated}
	for _, name := range p.sorted() {
		l.Endpoints = append(l.Endpoints, p.known[name])
	}
	return l
}

// sorted is the names of the nodes that are known, in order.
func (p *Pool) sorted() []string { return slices.Sorted(maps.Keys(p.known)) }

// entry is an endpoint as the Balancer knows it. Its address there is the
// name, which all sidecars share: the Balancers must agree on the ring.
func (p *Pool) entry(listed *nodes.Endpoint) balance.Endpoint {
	e := p.byHand(*listed)
	b := balance.Endpoint{Addr: e.Name, Zone: p.zone(e.Zone), Cell: e.Group, Since: p.since(e.Name)}
	switch e.Status {
	case nodes.InService:
		b.State = balance.Ready
	case nodes.Terminating:
		b.State = balance.Draining
	}
	return b
}

// mostZones bounds the zones that are told apart where the configuration does
// not name them; all others count as one.
const mostZones = 64

// zone is the number of a zone; the mutex is held.
func (p *Pool) zone(name string) int {
	i, ok := p.zones[name]
	if !ok {
		i = len(p.zones) // one that the settings do not name
		if p.cfg.Zones == nil && i < mostZones {
			p.zones[name] = i
		}
	}
	return i
}
