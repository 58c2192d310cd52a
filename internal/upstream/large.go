package upstream

import (
	"fmt"
	"sync/atomic"
)

// budget bounds what all answers over maxAnswer hold in memory together, from
// when they are read until their callers have them.
type budget struct{ left atomic.Int64 }

// hold is a part of a budget, or none.
type hold struct {
	from *budget
	n    int64
}

func (b *budget) reserve(n int64) (hold, error) {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return hold{}, fmt.Errorf("no room for a body of %d bytes", n)
	}
	return hold{from: b, n: n}, nil
}

// shrink gives back what h holds over n.
func (h *hold) shrink(n int64) {
	if n < h.n {
		h.from.left.Add(h.n - n)
		h.n = n
	}
}

// release gives h back, once.
func (h *hold) release() {
	if h.from != nil {
		h.from.left.Add(h.n)
	}
	*h = hold{}
}
