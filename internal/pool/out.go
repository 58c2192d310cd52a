package pool

import (
	"cmp"
	"slices"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
)

// mostListed bounds the names that Knows remembers of endpoints that are gone:
// some hundred kilobytes.
const mostListed = 4096

// Knows tells whether an endpoint has ever been listed, or was known to the
// process before this one.
func (p *Pool) Knows(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.known[name]
	return known || p.passed[name]
}

// Names are the endpoints that Knows knows, those gone longest first.
func (p *Pool) KnownNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := slices.Clone(p.past)
	for name := range p.known {
		names = append(names, name)
	}
	slices.Sort(names[len(p.past):])
	return names
}

// Remember makes Knows know more names.
func (p *Pool) AddKnownNames(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remember(names...)
}

func (p *Pool) remember(names ...string) {
	for _, name := range names {
		if !p.passed[name] {
			p.past, p.passed[name] = append(p.past, name), true
		}
	}
	for len(p.past) > mostListed {
		delete(p.passed, p.past[0])
		p.past = p.past[1:]
	}
}

// Exclude makes the endpoints of a set be left out, and those of the set before
// that are not in it be put back. To the Balancer one that is out drains,
// whatever the list says of it. It holds from the return on; attempts that are
// out go on.
//
// One that comes back counts as started now until the list dates its start
// later than it went out: an operator takes an endpoint out to restart it, and
// the news of that may be late. It costs one that was not restarted the time to
// warm up.
func (p *Pool) SetDisabled(out map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var changed []balance.Endpoint
	for name := range out {
		if _, was := p.out[name]; !was {
			p.out[name] = now
		}
	}
	for name, since := range p.out {
		if !out[name] {
			delete(p.out, name)
			p.back[name] = returned{out: since, back: now}
		}
	}
	for _, name := range p.sorted() {
		if e := p.known[name]; p.entered[name] != p.entry(&e) {
			changed = append(changed, p.entry(&e))
		}
	}
	if len(changed) > 0 {
		p.members(balance.Delta, changed)
	}
	for name, r := range p.back { // the list has dated all by then
		if now-r.back > p.cfg.Balance.RampTime+time.Minute {
			delete(p.back, name)
		}
	}
}

// returned is when an endpoint went out and came back, by the Balancer's time.
type returned struct{ out, back time.Duration }

// byHand is what the endpoint e is beside what operators have said of it.
func (p *Pool) byHand(e nodes.Endpoint) nodes.Endpoint {
	if _, out := p.out[e.Name]; out && e.Status == nodes.InService {
		e.Status = nodes.Terminating
	}
	return e
}

// since is the start of an endpoint's life, as the Balancer is told.
func (p *Pool) since(name string) time.Duration {
	since := p.lives[name].since
	if r, ok := p.back[name]; ok && (since == 0 || since < r.out) {
		return cmp.Or(r.back, 1) // 0 would mean long ago
	}
	return since
}

// members tells the Balancer of endpoints and books what it was told.
func (p *Pool) members(kind balance.ListKind, entries []balance.Endpoint) {
	p.balancer.Members(p.now(), kind, entries)
	if kind == balance.Full || kind == balance.Cached {
		clear(p.entered)
	}
	for _, e := range entries {
		p.entered[e.Addr] = e
	}
}
