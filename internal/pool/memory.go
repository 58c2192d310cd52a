package pool

import (
	"maps"

	"gorselink/balance"
)

// Memory is what a Pool has learnt, for the one that takes its place. It can be
// written as JSON.
type Memory struct {
	Learnt  balance.Memory
	Classes []balance.Class // of Learnt, in its order

	Out  map[string]int64    // endpoints that are left out by hand, since when in Unix ms
	Back map[string]Returned // those that were
}

// Memory is what the Pool has learnt by now.
func (p *Pool) Memory() Memory {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := Memory{
		Learnt:  p.balancer.Memory(p.now()),
		Classes: make([]balance.Class, len(p.classes)),
		Out:     maps.Clone(p.out),
		Back:    maps.Clone(p.back),
	}
	for c, i := range p.classes {
		m.Classes[i] = c
	}
	return m
}

// Recall takes up what another Pool has learnt, as far as it has the same classes
// and nodes. Without it the first jam shows what the first seconds have served for
// all that the service can take. It is to be called before the first request, and
// Exclude after it.
func (p *Pool) Recall(m Memory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	learnt := make([]balance.Learnt, len(p.classes))
	for i, c := range m.Classes {
		if k, ok := p.classes[c]; ok && i < len(m.Learnt.Classes) {
			learnt[k] = m.Learnt.Classes[i]
		}
	}
	m.Learnt.Classes = learnt
	maps.Copy(p.out, m.Out)
	maps.Copy(p.back, m.Back)
	p.balancer.Recall(p.now(), m.Learnt)
}
