package httpserver

import (
	"net"

	"gorselink/internal/bytebudget"
	"gorselink/internal/socketstate"
)

const (
	// maxReadAheadBytes is how much of a streamed body is read before an attempt reads it.
	maxReadAheadBytes = 256 << 10
	// readAheadStep is the number of bytes for which memory is reserved at a time.
	readAheadStep = 64 << 10
)

// readAheadBuffer holds the beginning of the part of a streamed body that no attempt has read
// yet. Reading it makes room in the receive buffer, without which the end of the connection
// cannot arrive.
type readAheadBuffer struct {
	data   []byte // stored and not consumed
	closed bool   // nothing more is stored

	reserved  [maxReadAheadBytes / readAheadStep]bytebudget.Reservation
	steps     int // reservations in use
	allocated int // bytes reserved

	// Memory is reserved from longBudget, or else from shortBudget, of which half is left to
	// short bodies.
	longBudget, shortBudget *bytebudget.Budget
}

// fill stores what has arrived on c and returns the number of bytes.
func (a *readAheadBuffer) fill(c net.Conn) (n int) {
	for socketstate.HasPendingData(c) {
		if len(a.data) == a.allocated && !a.grow() {
			break
		}
		free := a.data[len(a.data):a.allocated]
		k := socketstate.ReadAvailable(c, free)
		if k == 0 {
			break
		}
		a.data = a.data[:len(a.data)+k]
		n += k
	}
	return n
}

// grow reserves and allocates another step, and reports whether there was memory for it.
func (a *readAheadBuffer) grow() bool {
	if a.steps == len(a.reserved) {
		return false
	}
	reservation, ok := a.longBudget.Reserve(readAheadStep)
	if !ok && a.shortBudget.Available()-readAheadStep >= a.shortBudget.Total()/2 {
		reservation, ok = a.shortBudget.Reserve(readAheadStep)
	}
	if !ok {
		return false
	}
	a.reserved[a.steps] = reservation
	a.steps++
	a.allocated += readAheadStep
	a.data = append(make([]byte, 0, a.allocated), a.data...)
	return true
}

// consume moves stored bytes to b and returns their number. Nothing may be stored afterwards.
func (a *readAheadBuffer) consume(b []byte) int {
	a.closed = true
	n := copy(b, a.data)
	if a.data = a.data[n:]; len(a.data) == 0 {
		a.release()
	}
	return n
}

// release frees the memory.
func (a *readAheadBuffer) release() {
	a.data, a.closed = nil, true
	for i := range a.steps {
		a.reserved[i].Release()
	}
	a.steps, a.allocated = 0, 0
}
