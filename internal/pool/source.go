package pool

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// Retry delays after failed calls to an agent that pushes its list. A drain must be applied
// within the drain grace after the agent is reachable again, so the delays are much shorter; see
// discovery.LocalAgentTimeouts.
const (
	pushRetryMin = 50 * time.Millisecond
	pushRetryMax = 100 * time.Millisecond
)

// Retry delays for a source that is watched on demand: the silent ones after a call without any
// response, the others before the first list. After an error response the Balancer chooses the
// delay.
const (
	silentRetryMin    = 50 * time.Millisecond
	silentRetryMax    = 250 * time.Millisecond
	firstListRetryMin = 300 * time.Millisecond
	firstListRetryMax = time.Second
)

// source is a source of the endpoint list that the Pool follows.
type source struct {
	discovery.Source
	number        int           // increases with each new source
	watchRequests chan struct{} // the Balancer's requests for a watch
	cancel        context.CancelFunc
	failures      int  // consecutive failed calls; used only by the following goroutine
	watchOpen     bool // a watch has been open since the last list; used only by the following goroutine
}

// recordFailure counts a failed call. It logs only the first of consecutive failures, so that
// a long outage of discovery does not fill the log of every sidecar.
func (s *source) recordFailure(pool string, err error) {
	if s.failures++; s.failures == 1 {
		slog.Warn("fetching the endpoint list failed; using the last list until a retry succeeds", "pool", pool, "from", s.String(), "error", err)
	}
}

// recordSuccess resets the count of failed calls.
func (s *source) recordSuccess(pool string) {
	if s.failures > 0 {
		slog.Info("endpoint list available again", "pool", pool, "from", s.String(), "failed", s.failures)
	}
	s.failures = 0
}

// SetSource sets the source to follow from now on. The previous source is followed until the
// new one has delivered a snapshot, so that no change is missed if the new one is slow or
// unreachable. It does nothing if the new source has the same name as the one last set.
func (p *Pool) SetSource(src discovery.Source) {
	select {
	case <-p.newSources: // discards a source that Run has not received yet
	default:
	}
	p.newSources <- src
}

// Run keeps the endpoint list up to date until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	p.startFollowing(ctx, p.cfg.Source)
	for {
		select {
		case <-ctx.Done():
			return
		case src := <-p.newSources:
			p.startFollowing(ctx, src)
		}
	}
}

// startFollowing starts to follow the source to, unless it has the name of the last one.
func (p *Pool) startFollowing(ctx context.Context, to discovery.Source) {
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
			// The last source has not delivered a list, so the one before it is still in use.
			last.cancel()
			p.sources = p.sources[:n-1]
		}
		slog.Info("switching to another endpoint list source", "pool", p.cfg.Name, "from", last.String(), "to", to.String())
	}
	ctx, cancel := context.WithCancel(ctx)
	src := &source{Source: to, number: number, watchRequests: make(chan struct{}, 1), cancel: cancel}
	p.sources = append(p.sources, src)
	if p.cfg.Balance.PullDiscovery {
		if number > 1 || p.watchWanted {
			src.watchRequests <- struct{}{} // the Balancer requested a watch before this source was set
		}
		go p.followOnDemand(ctx, src)
	} else {
		go p.followPush(ctx, src)
	}
}

// followPush follows a source continuously and retries after failures.
func (p *Pool) followPush(ctx context.Context, src *source) {
	defer src.Close()
	jitter := rand.New(rand.NewPCG(p.cfg.Seed, uint64(src.number)))
	for ctx.Err() == nil {
		src.watchOpen = false
		err := src.Follow(ctx, func(l discovery.List) {
			src.recordSuccess(p.cfg.Name)
			p.handleList(src, l)
		})
		if ctx.Err() != nil {
			return
		}
		src.recordFailure(p.cfg.Name, err)
		delay := min(pushRetryMin<<min(src.failures-1, 8), pushRetryMax)
		discovery.Sleep(ctx, delay/2+time.Duration(jitter.Int64N(int64(delay/2))))
	}
}

// followOnDemand opens a watch when the Balancer requests one and reports failures to the
// Balancer, which limits the load on a discovery service that all sidecars share. In two cases
// the delay of the Balancer would be too long and it retries by itself: once after a call
// without any response, and until a source set by a reload delivers its first list.
func (p *Pool) followOnDemand(ctx context.Context, src *source) {
	defer src.Close()
	jitter := rand.New(rand.NewPCG(p.cfg.Seed, uint64(src.number)))
	for listReceived := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-src.watchRequests:
		}
		for failures := 0; ; {
			src.watchOpen = false
			err := src.Follow(ctx, func(l discovery.List) {
				src.recordSuccess(p.cfg.Name)
				p.handleList(src, l)
				listReceived, failures = true, 0
			})
			if ctx.Err() != nil {
				return
			}
			src.recordFailure(p.cfg.Name, err)
			least, most := firstListRetryMin, firstListRetryMax
			if listReceived || src.number == 1 {
				if failures++; failures > 1 || !discovery.IsTimeout(err) {
					break
				}
				least, most = silentRetryMin, silentRetryMax
			}
			if !discovery.Sleep(ctx, least+time.Duration(jitter.Int64N(int64(most-least)))) {
				return
			}
		}
		p.mu.Lock()
		if p.sources[len(p.sources)-1] == src {
			p.applyList(balance.ListFailed, discovery.List{})
		}
		p.mu.Unlock()
	}
}

// handleList applies a list from a source. The first list of a new source is a snapshot. It ends
// the previous source, because further changes of that source do not apply to the snapshot.
func (p *Pool) handleList(src *source, l discovery.List) {
	defer func() { src.watchOpen = true }()
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.sources[0].number < src.number
	for p.sources[0].number < src.number {
		p.sources[0].cancel()
		p.sources = p.sources[1:]
	}
	if p.sources[0] != src {
		return // the source has been replaced
	}
	kind := balance.Delta
	switch {
	case l.Snapshot:
		kind = balance.Full
	case l.Index < p.listVersion:
		// The source continues from the version of the previous one but lags behind it.
		// Its older state would make drained endpoints available again.
		return
	}
	p.recordSync(src, first, &l)
	p.applyList(kind, l)
}

// ListVersion returns the version of the current list. known reports whether a non-empty list
// has ever been received.
func (p *Pool) ListVersion() (index uint64, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listVersion, p.hasList
}

// applyList applies a list, or reports to the Balancer that fetching one failed. The caller
// holds the mutex.
func (p *Pool) applyList(kind balance.UpdateKind, l discovery.List) {
	if kind != balance.ListFailed {
		p.recordStarts(kind, &l)
		p.listVersion, p.undated = l.Index, l.Undated
	}
	list := l.Endpoints
	entries := make([]balance.Endpoint, 0, len(list))
	for i := range list {
		entries = append(entries, p.balancerEndpoint(&list[i]))
	}
	// Endpoints are added to conns before, and removed after, the update of the Balancer, so
	// that conns knows every endpoint that the Balancer may choose.
	for _, e := range list {
		if e.Status != discovery.Terminated {
			p.conns.Set(e.Name, upstream.Target{Address: e.Address, StartMs: e.SinceMs})
		}
	}
	p.updateBalancer(kind, entries)
	if kind == balance.Full || kind == balance.Delta {
		p.lastSync = p.now()
	}
	p.hasList = p.hasList || len(entries) > 0
	complete := kind == balance.Full || kind == balance.Cached
	previous := p.known
	if complete {
		p.known = make(map[string]discovery.Endpoint, len(list))
	}
	for _, e := range list {
		if e.Status != discovery.Terminated {
			p.known[e.Name] = e
			continue
		}
		delete(p.known, e.Name)
		delete(p.balancerView, e.Name)
		p.conns.Remove(e.Name)
		p.addFormerNames(e.Name)
		p.recordDeparture(e.Name)
	}
	if complete {
		for _, name := range slices.Sorted(maps.Keys(previous)) {
			if _, stays := p.known[name]; !stays {
				p.addFormerNames(name)
				p.recordDeparture(name)
			}
		}
		p.conns.Retain(func(name string) bool { _, ok := p.known[name]; return ok })
	}
}

// List returns the current endpoint list, sorted by name.
func (p *Pool) List() discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := discovery.List{Snapshot: true, Undated: p.undated}
	for _, name := range p.sortedNames() {
		l.Endpoints = append(l.Endpoints, p.known[name])
	}
	return l
}

// sortedNames returns the names of the listed endpoints in order.
func (p *Pool) sortedNames() []string { return slices.Sorted(maps.Keys(p.known)) }

// balancerEndpoint converts a listed endpoint for the Balancer. Its Addr is the endpoint's
// name, which is the same in all sidecars, so that their Balancers agree on the hash ring.
func (p *Pool) balancerEndpoint(listed *discovery.Endpoint) balance.Endpoint {
	e := p.applyDisabled(*listed)
	b := balance.Endpoint{Addr: e.Name, Zone: p.zones.number(e.Zone), Cell: e.Group, Since: p.effectiveStart(e.Name)}
	switch e.Status {
	case discovery.InService:
		b.State = balance.Ready
	case discovery.Terminating:
		b.State = balance.Draining
	}
	return b
}
