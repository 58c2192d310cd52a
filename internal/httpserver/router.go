package httpserver

import (
	"strings"
	"time"

	"gorselink/internal/http1"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// Router selects the pool for each request.
type Router interface {
	// Route returns the plan for a request from its head, or the reason for its
	// rejection. Exactly one of them is nil, and no pool has received the request.
	Route(req *Request) (*Plan, *Rejection)
	// ReadyStatus returns the HTTP status of the response to a readiness check.
	ReadyStatus() int
}

// Request is the head of a request and the address of its caller.
type Request struct {
	http1.Head
	CallerIP string // empty unless it is forwarded
}

// Plan describes how a request is served.
type Plan struct {
	Pool     *pool.Pool
	Class    int // number of the class in the pool
	Tenant   int // -1 for none
	Budget   time.Duration
	MaxBody  int64            // bytes
	Upstream upstream.Request // without the body
	Repeat   bool             // may repeat a request that the pool has already received

	// Ordinary is set if the caller is a plain HTTP client, for which Retry-After has
	// whole seconds (RFC 9110, section 10.2.3).
	Ordinary bool

	// routed routes the request again after its pool has been replaced. It is nil if the
	// pool is never replaced.
	routed      *routedRequest
	callID      string
	generatedID bool // callID was generated here, so it cannot be a duplicate
	seenIDs     *SeenIDs
	keys        *KeyBindings // nil without an idempotency key
	keyHash     [2]uint64
}

// rebindKey begins the retention time of the request's key anew, as the request is about to be sent: its
// body may have taken long to arrive. It reports whether the key still belongs to the pool.
func (p *Plan) rebindKey() bool {
	if p.keys == nil {
		return true
	}
	bound, _ := p.keys.Bind(p.keyHash, p.Pool.Name(), p.keys.now())
	return bound == p.Pool.Name()
}

// Rejection is the reason why a request cannot be served.
type Rejection struct {
	Status int
	Err    error
}

func rejection(status int, err error) (*Plan, *Rejection) {
	return nil, &Rejection{Status: status, Err: err}
}

// beginID records the request's id and reports whether it is new. If it is, finishID must be called
// at the end of the request.
func (p *Plan) beginID() bool {
	if p.generatedID {
		return true
	}
	p.callID = strings.Clone(p.callID) // a part of the head would keep all of it in memory
	return p.seenIDs.begin(p.callID)
}

func (p *Plan) finishID() {
	if !p.generatedID {
		p.seenIDs.finish(p.callID)
	}
}
