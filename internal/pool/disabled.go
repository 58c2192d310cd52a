package pool

import (
	"cmp"
	"slices"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
)

// maxFormerNames bounds the number of names kept of endpoints that left the list.
const maxFormerNames = 4096

// EverListed reports whether an endpoint has ever been listed, in this process or the previous one.
func (p *Pool) EverListed(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.known[name]
	return known || p.isFormerName[name]
}

// EverListedNames returns the names for which EverListed returns true. Endpoints that left the
// list come first, in the order in which they left.
func (p *Pool) EverListedNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := slices.Clone(p.formerNames)
	for name := range p.known {
		names = append(names, name)
	}
	slices.Sort(names[len(p.formerNames):])
	return names
}

// AddEverListedNames makes EverListed return true for the names.
func (p *Pool) AddEverListedNames(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addFormerNames(names...)
}

// addFormerNames adds names of endpoints that left the list. The caller holds the mutex.
func (p *Pool) addFormerNames(names ...string) {
	for _, name := range names {
		if !p.isFormerName[name] {
			p.formerNames, p.isFormerName[name] = append(p.formerNames, name), true
		}
	}
	for len(p.formerNames) > maxFormerNames {
		delete(p.isFormerName, p.formerNames[0])
		p.formerNames = p.formerNames[1:]
	}
}

// SetDisabled disables the given endpoints and enables all others. The Balancer treats a
// disabled endpoint as draining, whatever its listed status: once SetDisabled returns it gets
// no new attempts, and pending ones continue.
//
// Operators disable endpoints to restart them, and the list may report the restart late. An
// endpoint that is enabled again therefore counts as started now, until the list reports a start
// time after it was disabled.
func (p *Pool) SetDisabled(disabled map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var changed []balance.Endpoint
	for name := range disabled {
		if _, already := p.disabled[name]; !already {
			p.disabled[name] = now
		}
	}
	for name, since := range p.disabled {
		if !disabled[name] {
			delete(p.disabled, name)
			p.reenabled[name] = disabledPeriod{start: since, end: now}
		}
	}
	for _, name := range p.sortedNames() {
		if e := p.known[name]; p.balancerView[name] != p.balancerEndpoint(&e) {
			changed = append(changed, p.balancerEndpoint(&e))
		}
	}
	if len(changed) > 0 {
		p.updateBalancer(balance.Delta, changed)
	}
	for name, period := range p.reenabled { // by then the list has reported any restart
		if now-period.end > p.cfg.Balance.SlowStartWindow+time.Minute {
			delete(p.reenabled, name)
		}
	}
}

// disabledPeriod is the period for which an endpoint was disabled, in Balancer time.
type disabledPeriod struct{ start, end time.Duration }

// applyDisabled returns e as draining if operators have disabled it, and unchanged otherwise.
func (p *Pool) applyDisabled(e discovery.Endpoint) discovery.Endpoint {
	if _, disabled := p.disabled[e.Name]; disabled && e.Status == discovery.InService {
		e.Status = discovery.Terminating
	}
	return e
}

// effectiveStart returns the start time of an endpoint for the Balancer.
func (p *Pool) effectiveStart(name string) time.Duration {
	start := p.incarnations[name].start
	if period, ok := p.reenabled[name]; ok && (start == 0 || start < period.start) {
		return cmp.Or(period.end, 1) // 0 would mean long ago
	}
	return start
}

// updateBalancer passes an endpoint update to the Balancer and records it in balancerView.
func (p *Pool) updateBalancer(kind balance.UpdateKind, entries []balance.Endpoint) {
	p.balancer.UpdateEndpoints(p.now(), kind, entries)
	if kind == balance.Full || kind == balance.Cached {
		clear(p.balancerView)
	}
	for _, e := range entries {
		p.balancerView[e.Addr] = e
	}
}
