package pool

import (
	"cmp"
	"time"

	"gorselink/balance"
)

// Memory is what a Pool has learnt, for the one that takes its place. It can be
// written as JSON.
type LearnedState struct {
	Balancer balance.Memory
	Classes  []balance.Class // of Learnt, in its order

	// Out and Back are for processes that know no Ages: times of the wall clock, which may
	// be stepped between their writing and their reading.
	Out  map[string]int64    // endpoints that are left out by hand, since when in Unix ms
	Back map[string]Returned // those that were

	Ages *Ages `json:",omitempty"` // nil from a process that knows none
}

// Returned is when an endpoint went out and came back, in Unix ms.
type Returned struct{ Out, Back int64 }

// Ages are spans up to the moment in which they are taken. A wall time would change its
// meaning with a step of the clock; an age is short by the time that it is on its way, so
// that nothing counts as older than it is.
type Ages struct {
	// Wall is what the wall clock would show by now, in Unix ms, had it not been set since it
	// was read: the time that stamps of the list are taken for. It is handed on so that the
	// next Pool need not read a clock that was stepped meanwhile, and is compared with none.
	Wall int64

	Heard        *time.Duration           `json:",omitempty"` // since the list was last known to be up to date; nil for never
	Incarnations map[string]LifeAge       `json:",omitempty"` // of endpoints that have not been there for as long as anybody knows
	Out          map[string]time.Duration `json:",omitempty"` // of endpoints that are left out by hand
	Back         map[string]ReturnedAges  `json:",omitempty"` // of those that were
}

// LifeAge is the age of one run of an endpoint's process, which its stamp in the list tells
// from others.
type LifeAge struct {
	Stamp int64
	Age   time.Duration
}

// ReturnedAges is for how long an endpoint has been out, and back.
type ReturnedAges struct{ Out, Back time.Duration }

// Memory is what the Pool has learnt by now.
func (p *Pool) LearnedState() LearnedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := LearnedState{
		Balancer: p.balancer.Memory(p.now()),
		Classes:  make([]balance.Class, len(p.classes)),
		Out:      map[string]int64{},
		Back:     map[string]Returned{},
		Ages:     p.ages(),
	}
	wall := p.clock.Wall()
	for name, age := range m.Ages.Out {
		m.Out[name] = wall.Add(-age).UnixMilli()
	}
	for name, r := range m.Ages.Back {
		m.Back[name] = Returned{wall.Add(-r.Out).UnixMilli(), wall.Add(-r.Back).UnixMilli()}
	}
	for c, i := range p.classes {
		m.Classes[i] = c
	}
	return m
}

// Ages are those of what the Pool knows now, for the one that takes its place in the same
// process.
func (p *Pool) Ages() *Ages {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ages()
}

func (p *Pool) ages() *Ages {
	now := p.now()
	a := &Ages{Wall: p.startWall.Add(now).UnixMilli(), Incarnations: map[string]LifeAge{}, Out: map[string]time.Duration{}, Back: map[string]ReturnedAges{}}
	if p.heard != never {
		heard := now - p.heard
		a.Heard = &heard
	}
	for name, is := range p.lives {
		if is.since != 0 {
			a.Incarnations[name] = LifeAge{is.stamp, now - is.since}
		}
	}
	for name, since := range p.out {
		a.Out[name] = now - since
	}
	for name, r := range p.back {
		a.Back[name] = ReturnedAges{now - r.out, now - r.back}
	}
	return a
}

// recallAges takes up what the Pool before knew of the list; the mutex is held. An endpoint
// that it listed and gave no age had been there for long.
func (p *Pool) recallAges(a *Ages) {
	if a == nil {
		return
	}
	p.startWall = time.UnixMilli(a.Wall)
	if a.Heard != nil {
		p.heard = -max(*a.Heard, 0)
	}
	for i := range p.cfg.Known.Endpoints {
		e := &p.cfg.Known.Endpoints[i]
		is := life{stamp: e.SinceMs}
		if l, ok := a.Incarnations[e.Name]; ok {
			is = life{l.Stamp, cmp.Or(-max(l.Age, 0), 1)}
		}
		p.lives[e.Name] = is
	}
}

// recallByHand takes up what operators have said to the Pool before; the mutex is held. One
// that knows no ages tells wall times alone, which the clock may have left behind: what it
// tells counts as done now, which costs an endpoint that is put back one ramp at most.
func (p *Pool) recallByHand(m *LearnedState) {
	for name := range m.Out {
		p.out[name] = 0
	}
	for name := range m.Back {
		p.back[name] = returned{}
	}
	if m.Ages == nil {
		return
	}
	for name, age := range m.Ages.Out {
		p.out[name] = -max(age, 0)
	}
	for name, r := range m.Ages.Back {
		p.back[name] = returned{-max(r.Out, 0), -max(r.Back, 0)}
	}
}

// Recall takes up what another Pool has learnt, as far as it has the same classes
// and nodes. Without it the first jam shows what the first seconds have served for
// all that the service can take. It is to be called before the first request, and
// Exclude after it.
func (p *Pool) Restore(m LearnedState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	learnt := make([]balance.Learnt, len(p.classes))
	for i, c := range m.Classes {
		if k, ok := p.classes[c]; ok && i < len(m.Balancer.Classes) {
			learnt[k] = m.Balancer.Classes[i]
		}
	}
	m.Balancer.Classes = learnt
	p.recallByHand(&m)
	p.balancer.Recall(p.now(), m.Balancer)
}
