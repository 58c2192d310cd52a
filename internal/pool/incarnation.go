package pool

import (
	"math"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
)

// never is the Balancer time of an event that has not happened. It is earlier than every other time.
const never = time.Duration(math.MinInt64)

// departedRetention is how long the incarnation of an endpoint that left the list is kept.
// An endpoint that a faulty list omits for less than this keeps its start time.
const departedRetention = 30 * time.Second

// maxWatchDelay is the longest delay with which an open watch reports a change. A change that
// the watch reports now is at most this old.
const maxWatchDelay = time.Second

// incarnation is one run of an endpoint's process. Its start time is computed when the list
// first reports it and kept until the list reports another timestamp, so that later steps of
// the wall clock have no effect on it.
type incarnation struct {
	sinceMs int64         // since_ms of the list, which identifies the incarnation
	start   time.Duration // Balancer time, as in balance.Endpoint; 0 means long ago
}

// departedIncarnation is the incarnation of an endpoint that left the list.
type departedIncarnation struct {
	incarnation
	departedAt time.Duration
}

// recordStarts computes the start time of each incarnation in l that is not known yet. If l is
// undated it also sets the missing timestamps of its entries. The caller holds the mutex.
func (p *Pool) recordStarts(kind balance.UpdateKind, l *discovery.List) {
	now := p.now()
	p.evictDeparted(now)
	lowerBound := p.startLowerBound(kind, l)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		if e.Status == discovery.Terminated {
			continue
		}
		last, known := p.incarnations[e.Name]
		if known && l.Undated && e.SinceMs == 0 {
			e.SinceMs = last.sinceMs // an undated list cannot report a restart
		}
		if known && last.sinceMs == e.SinceMs {
			continue
		}
		if departed, ok := p.departed[e.Name]; ok && e.SinceMs != 0 && departed.sinceMs == e.SinceMs {
			p.incarnations[e.Name] = departed.incarnation // a restart would have changed the timestamp
			continue
		}
		current := incarnation{e.SinceMs, p.startTime(e.SinceMs, lowerBound, now)}
		if l.Undated && current.sinceMs == 0 && current.start != 0 {
			current.sinceMs = p.startWall.Add(current.start).UnixMilli()
			e.SinceMs = current.sinceMs
		}
		p.incarnations[e.Name] = current
	}
}

// startLowerBound returns the earliest Balancer time at which an incarnation that l is the
// first to report can have started: the time at which the previous list was last known to be
// current. It returns never if the previous list gives no bound.
//
// The arrival of l itself is no bound: an endpoint that appears after an outage of discovery may
// have started at any time during the outage.
func (p *Pool) startLowerBound(kind balance.UpdateKind, l *discovery.List) time.Duration {
	switch {
	case kind == balance.Cached:
		return never // the age of a cached list is unknown
	case l.Undated && !p.knowsAny(l):
		// The list belongs to another service: not all endpoints of this one were restarted.
		// If all were cold, each would get very little load.
		return never
	}
	return p.lastSync
}

// recordSync sets lastSync to the time until which the previous list was current, as far as the
// arrival of l from src shows. first reports whether src has just replaced another source. The
// caller holds the mutex.
func (p *Pool) recordSync(src *source, first bool, l *discovery.List) {
	if first && l.Snapshot && (l.Undated != p.undated || !p.knowsAny(l)) {
		p.lastSync = never // endpoints that the other source did not list may be old
	}
	if p.lastSync == never {
		return
	}
	_, isDiscovery := src.Source.(*discovery.Discovery)
	switch {
	case !isDiscovery:
		p.lastSync = p.now() // other sources are read continuously and report only changes
	case src.watchOpen:
		p.lastSync = max(p.lastSync, p.now()-maxWatchDelay)
	}
}

// knowsAny reports whether any endpoint of l is known.
func (p *Pool) knowsAny(l *discovery.List) bool {
	for i := range l.Endpoints {
		if _, known := p.known[l.Endpoints[i].Name]; known {
			return true
		}
	}
	return false
}

// startTime converts a list timestamp to Balancer time, limited to the range from lowerBound
// to now, because the clock of its writer or of this machine may be wrong. It uses the wall
// clock as it was when the Pool was created. Without a lower bound, as in the first list of a
// process, an endpoint that started while the wall clock was slow is cold for at most one
// slow-start window.
func (p *Pool) startTime(sinceMs int64, lowerBound, now time.Duration) time.Duration {
	start := never
	if sinceMs != 0 {
		start = time.UnixMilli(sinceMs).Sub(p.startWall) // Sub saturates at the limits of Duration
	}
	start = min(max(start, lowerBound), now)
	switch start {
	case never:
		return 0
	case 0:
		return 1 // 0 means long ago
	}
	return start
}

// recordDeparture records that an endpoint left the list. The caller holds the mutex.
func (p *Pool) recordDeparture(name string) {
	if last, ok := p.incarnations[name]; ok {
		p.departed[name] = departedIncarnation{last, p.now()}
		delete(p.incarnations, name)
	}
}

// evictDeparted removes the departed incarnations that are older than departedRetention.
func (p *Pool) evictDeparted(now time.Duration) {
	for name, d := range p.departed {
		if now-d.departedAt > departedRetention {
			delete(p.departed, name)
		}
	}
}
