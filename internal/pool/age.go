package pool

import (
	"math"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
)

// never is the Balancer's time of what has not happened, earlier than all that has.
const never = time.Duration(math.MinInt64)

// leftMemory is how long the life of an endpoint that has left the list is remembered:
// what a hiccup of discovery drops comes back within it.
const leftMemory = 30 * time.Second

// watchLag is how late a standing watch may tell what has changed: the time that discovery
// gets to answer. A change that it tells had not been made before that, however long ago the
// watch told anything else.
const watchLag = time.Second

// life is one run of an endpoint's process. Its start is reckoned once, when the list
// first tells of it, and stands for as long as the list tells the same stamp: the wall
// clock may be stepped meanwhile, and says nothing new of what has been seen.
type life struct {
	stamp int64         // since_ms of the list, which tells this life from others
	since time.Duration // its start by the Balancer's time, as balance.Endpoint has it: 0 means long ago
}

// departed is the life of an endpoint that has left the list.
type departed struct {
	life
	at time.Duration
}

// date reckons the start of each life that l tells of and that was not known; the mutex
// is held. In an undated list it also gives entries the stamp of their life.
func (p *Pool) date(kind balance.ListKind, l *nodes.List) {
	now := p.now()
	p.forgetDeparted(now)
	floor := p.latestWithout(kind, l)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		if e.Status == nodes.Terminated {
			continue
		}
		was, known := p.lives[e.Name]
		if known && l.Undated && e.SinceMs == 0 {
			e.SinceMs = was.stamp // it tells nothing of starts, so none is news
		}
		if known && was.stamp == e.SinceMs {
			continue
		}
		if left, ok := p.left[e.Name]; ok && e.SinceMs != 0 && left.stamp == e.SinceMs {
			p.lives[e.Name] = left.life // a restart would have changed the stamp
			continue
		}
		is := life{e.SinceMs, p.startOf(e.SinceMs, floor, now)}
		if l.Undated && is.stamp == 0 && is.since != 0 {
			is.stamp = p.startWall.Add(is.since).UnixMilli()
			e.SinceMs = is.stamp
		}
		p.lives[e.Name] = is
	}
}

// latestWithout is the last moment at which the list was known to be as it was before l,
// by the Balancer's time: no life that l is the first to tell of began before it. It is
// never where nothing is known of an earlier list.
//
// That moment is the last answer, with or without news, or a moment ago where a watch has
// stood since (see hears). It is not the answer that brings l: an endpoint that shows after
// an outage of discovery may be as old as the outage.
func (p *Pool) latestWithout(kind balance.ListKind, l *nodes.List) time.Duration {
	switch {
	case kind == balance.Cached:
		return never // nobody knows how old that list is
	case l.Undated && !p.sharesNames(l):
		// Another service, not a fresh start of this one; with nobody warm beside them its
		// nodes would be given next to nothing.
		return never
	}
	return p.heard
}

// hears books what a word of src says of the time before it; the mutex is held. first tells
// that src has just taken the place of another.
func (p *Pool) hears(src *source, first bool, l *nodes.List) {
	if first && l.Snapshot && (l.Undated != p.undated || !p.sharesNames(l)) {
		p.heard = never // what another list did not name may have been there for long
	}
	if p.heard == never {
		return
	}
	_, answers := src.Source.(*nodes.Discovery)
	switch {
	case !answers:
		p.heard = p.now() // it is looked at all the time, and tells changes alone
	case src.stands:
		p.heard = max(p.heard, p.now()-watchLag)
	}
}

// sharesNames tells whether any endpoint of l is known.
func (p *Pool) sharesNames(l *nodes.List) bool {
	for i := range l.Endpoints {
		if _, known := p.known[l.Endpoints[i].Name]; known {
			return true
		}
	}
	return false
}

// startOf is when a life began, by the Balancer's time: what its stamp says by the wall
// clock as it stood when the Pool was made, within what was seen. Whoever wrote the stamp
// may have another clock, and this machine's may have been wrong. So it is no earlier than
// floor; and one from the future starts now. Where nothing was seen before, as in the first
// list of a process, the stamp is all there is: a clock that was behind then makes those
// cold for one ramp that started while it was wrong, and not for longer.
func (p *Pool) startOf(stamp int64, floor, now time.Duration) time.Duration {
	at := never
	if stamp != 0 {
		at = time.UnixMilli(stamp).Sub(p.startWall) // keeps within the bounds of a Duration
	}
	at = min(max(at, floor), now)
	switch at {
	case never:
		return 0
	case 0:
		return 1 // as 0 means long ago
	}
	return at
}

// leaves books that an endpoint has left the list; the mutex is held.
func (p *Pool) leaves(name string) {
	if was, ok := p.lives[name]; ok {
		p.left[name] = departed{was, p.now()}
		delete(p.lives, name)
	}
}

// forgetDeparted drops the lives that have been gone for long.
func (p *Pool) forgetDeparted(now time.Duration) {
	for name, d := range p.left {
		if now-d.at > leftMemory {
			delete(p.left, name)
		}
	}
}
