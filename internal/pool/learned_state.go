package pool

import (
	"cmp"
	"time"

	"gorselink/balance"
)

// LearnedState is what a Pool has learned, for the Pool that replaces it. Other versions of the
// program read its JSON encoding, so the names in its tags must not change.
type LearnedState struct {
	Balancer balance.Snapshot `json:"Learnt"`
	Classes  []balance.Class  `json:"Classes"` // the classes of Balancer, in the same order

	// Disabled and Reenabled are for processes that do not support Ages. They are wall-clock
	// times and wrong if the clock is stepped between writing and reading.
	Disabled  map[string]int64          `json:"Out"`  // endpoints that operators have disabled, and since when in Unix ms
	Reenabled map[string]DisabledPeriod `json:"Back"` // endpoints that operators have enabled again

	Ages *Ages `json:"Ages,omitempty"` // nil from a process that does not support them
}

// DisabledPeriod is the period for which an endpoint was disabled, in Unix ms.
type DisabledPeriod struct {
	Start int64 `json:"Out"`
	End   int64 `json:"Back"`
}

// Ages are the ages of events at the time of the call of Pool.Ages. Steps of the wall clock do
// not affect them. The next Pool does not add the duration of the handover, so it takes all
// events for slightly more recent than they are.
type Ages struct {
	// WallMs is the wall-clock time at the first start plus the monotonic time since, in Unix
	// ms, so that it excludes later steps. The next Pool uses it to convert timestamps of lists.
	WallMs int64 `json:"Wall"`

	LastSync     *time.Duration                `json:"Heard,omitempty"` // since the list was last known to be current; nil if it never was
	Incarnations map[string]IncarnationAge     `json:"Lives,omitempty"` // by endpoint; without those that started long ago
	Disabled     map[string]time.Duration      `json:"Out,omitempty"`   // endpoints that operators have disabled
	Reenabled    map[string]DisabledPeriodAges `json:"Back,omitempty"`  // endpoints that operators have enabled again
}

// IncarnationAge is the age of one run of an endpoint's process, which SinceMs identifies.
type IncarnationAge struct {
	SinceMs int64         `json:"Stamp"`
	Age     time.Duration `json:"Age"`
}

// DisabledPeriodAges is how long ago an endpoint was disabled and how long ago enabled again.
type DisabledPeriodAges struct {
	Start time.Duration `json:"Out"`
	End   time.Duration `json:"Back"`
}

// LearnedState returns what the Pool has learned so far.
func (p *Pool) LearnedState() LearnedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := LearnedState{
		Balancer:  p.balancer.Snapshot(p.now()),
		Classes:   make([]balance.Class, len(p.classes)),
		Disabled:  map[string]int64{},
		Reenabled: map[string]DisabledPeriod{},
		Ages:      p.agesLocked(),
	}
	wall := p.clock.Wall()
	for name, age := range s.Ages.Disabled {
		s.Disabled[name] = wall.Add(-age).UnixMilli()
	}
	for name, period := range s.Ages.Reenabled {
		s.Reenabled[name] = DisabledPeriod{wall.Add(-period.Start).UnixMilli(), wall.Add(-period.End).UnixMilli()}
	}
	for class, i := range p.classes {
		s.Classes[i] = class
	}
	return s
}

// Ages returns the current ages, for a Pool that replaces this one in the same process.
func (p *Pool) Ages() *Ages {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agesLocked()
}

// agesLocked implements Ages. The caller holds the mutex.
func (p *Pool) agesLocked() *Ages {
	now := p.now()
	a := &Ages{WallMs: p.startWall.Add(now).UnixMilli(), Incarnations: map[string]IncarnationAge{}, Disabled: map[string]time.Duration{}, Reenabled: map[string]DisabledPeriodAges{}}
	if p.lastSync != never {
		age := now - p.lastSync
		a.LastSync = &age
	}
	for name, current := range p.incarnations {
		if current.start != 0 {
			a.Incarnations[name] = IncarnationAge{current.sinceMs, now - current.start}
		}
	}
	for name, since := range p.disabled {
		a.Disabled[name] = now - since
	}
	for name, period := range p.reenabled {
		a.Reenabled[name] = DisabledPeriodAges{now - period.start, now - period.end}
	}
	return a
}

// restoreAges restores the start times of the endpoints in Config.Known from the previous Pool.
// An endpoint without an age started long ago. The caller holds the mutex.
func (p *Pool) restoreAges(a *Ages) {
	if a == nil {
		return
	}
	p.startWall = time.UnixMilli(a.WallMs)
	if a.LastSync != nil {
		p.lastSync = -max(*a.LastSync, 0)
	}
	for i := range p.cfg.Known.Endpoints {
		e := &p.cfg.Known.Endpoints[i]
		current := incarnation{sinceMs: e.SinceMs}
		if previous, ok := a.Incarnations[e.Name]; ok {
			current = incarnation{previous.SinceMs, cmp.Or(-max(previous.Age, 0), 1)}
		}
		p.incarnations[e.Name] = current
	}
}

// restoreDisabled restores which endpoints operators have disabled and enabled again. Without
// Ages it ignores the wall-clock times, which a step of the clock may have made wrong, and
// counts all changes as made now: an endpoint then goes through at most one more slow
// start. The caller holds the mutex.
func (p *Pool) restoreDisabled(s *LearnedState) {
	for name := range s.Disabled {
		p.disabled[name] = 0
	}
	for name := range s.Reenabled {
		p.reenabled[name] = disabledPeriod{}
	}
	if s.Ages == nil {
		return
	}
	for name, age := range s.Ages.Disabled {
		p.disabled[name] = -max(age, 0)
	}
	for name, period := range s.Ages.Reenabled {
		p.reenabled[name] = disabledPeriod{-max(period.Start, 0), -max(period.End, 0)}
	}
}

// Restore sets the learned state of those classes and endpoints that this Pool has too. Without
// it, admission control would be based only on the load served in the first seconds. It must be
// called before the first request and before SetDisabled.
func (p *Pool) Restore(s LearnedState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	learned := make([]balance.Estimate, len(p.classes))
	for i, class := range s.Classes {
		if number, ok := p.classes[class]; ok && i < len(s.Balancer.Classes) {
			learned[number] = s.Balancer.Classes[i]
		}
	}
	s.Balancer.Classes = learned
	p.restoreDisabled(&s)
	p.balancer.Restore(p.now(), s.Balancer)
}
