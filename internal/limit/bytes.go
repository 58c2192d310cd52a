// Package limit bounds what is held in memory at once.
package limit

import "sync/atomic"

// Bytes is a budget of memory that many share. The zero value has nothing to
// give. It never waits: who finds no room turns its request away.
type Bytes struct {
	total, left atomic.Int64
}

// Set makes the budget total bytes. What is held stays held; after a cut there
// is no room until enough of it has been given back.
func (b *Bytes) SetTotal(total int64) { b.left.Add(total - b.total.Swap(total)) }

// Total is the size of the budget.
func (b *Bytes) Total() int64 { return b.total.Load() }

// Left is what can be reserved; below 0 after a cut.
func (b *Bytes) Available() int64 { return b.left.Load() }

// Reserve takes n bytes out of the budget, or tells that there is no room.
func (b *Bytes) Reserve(n int64) (Reservation, bool) {
	if n == 0 {
		return Reservation{from: b}, true
	}
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return Reservation{}, false
	}
	return Reservation{from: b, n: n}, true
}

// Hold is a part of a budget, or none. It is not safe for concurrent use.
type Reservation struct {
	from *Bytes
	n    int64
}

// Grow makes h hold n bytes, if it holds less. It tells whether there was room;
// if not, h stands as it was.
func (h *Reservation) Grow(n int64) bool {
	more, ok := h.from.Reserve(max(0, n-h.n))
	h.n += more.n
	return ok
}

// Held is how much h holds.
func (h *Reservation) Size() int64 { return h.n }

// Of tells whether h is a part of b.
func (h *Reservation) BelongsTo(b *Bytes) bool { return h.from == b }

// Shrink gives back what h holds over n.
func (h *Reservation) Shrink(n int64) {
	if n < h.n {
		h.from.left.Add(h.n - n)
		h.n = n
	}
}

// Release gives h back, once.
func (h *Reservation) Release() {
	if h.from != nil {
		h.from.left.Add(h.n)
	}
	*h = Reservation{}
}
