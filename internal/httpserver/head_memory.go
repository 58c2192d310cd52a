package httpserver

import (
	"errors"

	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
)

const (
	// freeHeadBytes is the memory of a request's head for which nothing is reserved. The longest
	// head needs it with some 30 fields.
	freeHeadBytes = 10 << 10
	// defaultHeadMemory is the memory for larger heads of a Server for which none is set.
	defaultHeadMemory = 4 << 20
)

// errNoHeadMemory means that the head of a request has so many fields that there is no memory for it.
var errNoHeadMemory = errors.New("no memory available for the request head")

// SetHeadMemory sets the memory, in bytes, for what the heads of requests need beyond freeHeadBytes each. A head
// of very many short fields needs many times its length.
func (s *Server) SetHeadMemory(n int64) { s.headMemory.SetTotal(n) }

// reserveHead reserves the memory for a head that has not been parsed yet, and reports whether there was
// enough.
func (s *Server) reserveHead(raw []byte) (bytebudget.Reservation, bool) {
	// The fields are stored once as received and once as forwarded.
	need := int64(len(raw)) + 2*http1.FieldMemory(raw)
	return s.headMemory.Reserve(max(0, need-freeHeadBytes))
}
