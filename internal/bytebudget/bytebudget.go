// Package bytebudget limits the memory in use by reservations from a shared budget.
package bytebudget

import "sync/atomic"

// Budget is a memory budget that is safe for concurrent use. The zero value has a total of 0.
// Reserve does not block: it fails if too little memory is available.
type Budget struct {
	total, available atomic.Int64
}

// SetTotal changes the size of the budget. Existing reservations stay valid; if they exceed the
// new total, Reserve fails until enough of them has been released.
func (b *Budget) SetTotal(total int64) { b.available.Add(total - b.total.Swap(total)) }

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.total.Load() }

// Available returns the number of bytes that can be reserved. It is negative while reservations
// exceed the total.
func (b *Budget) Available() int64 { return b.available.Load() }

// InUse returns the number of reserved bytes.
func (b *Budget) InUse() int64 { return b.Total() - b.Available() }

// Reserve reserves n bytes of the budget and reports whether they were available.
func (b *Budget) Reserve(n int64) (Reservation, bool) {
	if n == 0 {
		return Reservation{budget: b}, true
	}
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return Reservation{}, false
	}
	return Reservation{budget: b, bytes: n}, true
}

// Reservation is a part of a budget that is in use. The zero value is empty. A Reservation is
// not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow increases the reservation to n bytes if it is smaller. If too few are available, it
// returns false and does not change the reservation. The zero value must not grow.
func (r *Reservation) Grow(n int64) bool {
	more, ok := r.budget.Reserve(max(0, n-r.bytes))
	r.bytes += more.bytes
	return ok
}

// Size returns the number of reserved bytes.
func (r *Reservation) Size() int64 { return r.bytes }

// BelongsTo reports whether r is a part of b.
func (r *Reservation) BelongsTo(b *Budget) bool { return r.budget == b }

// Shrink reduces the reservation to n bytes if it is larger.
func (r *Reservation) Shrink(n int64) {
	if n < r.bytes {
		r.budget.available.Add(r.bytes - n)
		r.bytes = n
	}
}

// Release returns all reserved bytes to the budget. Further calls do nothing.
func (r *Reservation) Release() {
	if r.budget != nil {
		r.budget.available.Add(r.bytes)
	}
	*r = Reservation{}
}
