package httpfront

import (
	"time"

	"gorselink/internal/framing"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// Judge says what a request is and which pool it belongs to.
type Router interface {
	// Judge reads the head of a request. The Plan is nil if there is none, and
	// the Rejection is nil if there is one. Neither has reached a pool.
	Route(req *Request) (*Plan, *Rejection)
	// Ready is the status that tells whether callers may be sent here.
	ReadyStatus() int
}

// Request is the head of a request, and whose it is.
type Request struct {
	framing.Head
	CallerIP string // the caller's address, if that is told on
}

// Plan is how a request is to be served.
type Plan struct {
	Pool     *pool.Pool
	Class    int // the pool's number of it
	Tenant   int // -1 for none
	Budget   time.Duration
	MaxBody  int64            // bytes
	Upstream upstream.Request // all but the body
	Repeat   bool             // may be a repeat of one that the pool has had

	// Ordinary tells that the caller is a plain HTTP client: Retry-After has
	// whole seconds, as RFC 9110, section 10.2.3, has it.
	Ordinary bool

	// judged judges the request once more after its pool has been replaced, nil
	// if that cannot happen.
	judged *judged
	id     string
	made   bool // the id was made here; another must not have come before
	seen   *SeenIDs
}

// Rejection is why a request cannot be used.
type Rejection struct {
	Status int
	Err    error
}

func reject(status int, err error) (*Plan, *Rejection) {
	return nil, &Rejection{Status: status, Err: err}
}

// isNew tells whether the request's id has not come before, and books it.
func (p *Plan) isNew() bool { return p.made || p.seen.isNew(p.id) }
