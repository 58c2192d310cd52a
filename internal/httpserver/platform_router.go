package httpserver

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/http1"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	readyPath = "/-/ready"

	// transitMargin is the part of a client's time limit that is reserved for
	// transmission and scheduling, because a late response is lost.
	transitMargin = 20 * time.Millisecond

	// PlatformMaxBytes bounds the bodies of requests and responses, which are up to 32 MB
	// long.
	PlatformMaxBytes = 33 << 20
)

// PlatformRouter routes requests in the platform's form, all to one pool. The first path
// segment names the class, which determines the method, and the client provides the
// request id. The path is forwarded unchanged.
type PlatformRouter struct {
	Pool *pool.Pool

	config   atomic.Pointer[PlatformConfig]
	seenIDs  *SeenIDs
	draining atomic.Bool
	drained  atomic.Bool // by an operator
}

// PlatformConfig lists the classes and tenants that a PlatformRouter knows.
type PlatformConfig struct {
	Classes map[string]PlatformClass // by first path segment
	Tenants map[string]int           // by X-Caller
}

// PlatformClass is a class of requests.
type PlatformClass struct {
	balance.Class
	Number int // number of the class in the pool
}

// NewPlatformRouter returns a PlatformRouter in front of p. It remembers request ids for
// twice the longest deadline.
func NewPlatformRouter(p *pool.Pool, config *PlatformConfig) *PlatformRouter {
	r := &PlatformRouter{Pool: p, seenIDs: NewSeenIDs(config.longestDeadline())}
	r.config.Store(config)
	return r
}

// SeenIDs returns the ids of requests that the router remembers.
func (r *PlatformRouter) SeenIDs() *SeenIDs { return r.seenIDs }

// SetConfig replaces the configuration for all later requests.
func (r *PlatformRouter) SetConfig(config *PlatformConfig) {
	r.seenIDs.SetLongestDeadline(config.longestDeadline())
	r.config.Store(config)
}

func (pc *PlatformConfig) longestDeadline() (d time.Duration) {
	for _, c := range pc.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// MarkDraining makes ReadyStatus report that the sidecar is not ready; requests are
// still served.
func (r *PlatformRouter) MarkDraining() { r.draining.Store(true) }

// SetDrained sets whether ReadyStatus reports that an operator has drained the sidecar;
// requests are still served.
func (r *PlatformRouter) SetDrained(on bool) { r.drained.Store(on) }

// ReadyStatus implements Router.
func (r *PlatformRouter) ReadyStatus() int {
	if !r.Pool.HasList() || r.draining.Load() || r.drained.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Route implements Router.
func (r *PlatformRouter) Route(req *Request) (*Plan, *Rejection) {
	uri, host, err := requestTarget(req)
	if err != nil || host == "" {
		return rejection(http.StatusBadRequest, cmp.Or(err, errors.New("Host is missing")))
	}
	path, err := req.Path()
	if err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	config := r.config.Load()
	class, ok := config.Classes[name]
	// A target with two leading slashes would be parsed as a host, and the forwarded
	// path would differ from the one that was routed.
	if !ok || strings.HasPrefix(req.Target, "//") {
		return rejection(http.StatusNotFound, fmt.Errorf("unknown class %q", name))
	}
	c := &class.Class
	p := &Plan{Pool: r.Pool, Class: class.Number, Tenant: -1, MaxBody: PlatformMaxBytes, seenIDs: r.seenIDs}
	if err := p.parsePlatformFields(req, c); err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	if i, ok := config.Tenants[req.Fields.Get("X-Caller")]; ok {
		p.Tenant = i
	}
	p.Upstream = outgoingRequest(req, uri, host, c.Idempotency, 0)
	return p, nil
}

// parsePlatformFields reads the fields that the platform's form requires of a request of
// class c.
func (p *Plan) parsePlatformFields(req *Request, c *balance.Class) (err error) {
	if err := checkIdempotency(c.Idempotency, req); err != nil {
		return err
	}
	if p.callID, err = parseCallID(req); err != nil {
		return err
	}
	p.Budget, err = requestBudget(req, c.Deadline)
	return err
}

// requestBudget returns the time for a request: X-Budget-Ms or limit, whichever is less,
// minus transitMargin.
func requestBudget(req *Request, limit time.Duration) (time.Duration, error) {
	if text, n := req.Fields.Lookup("X-Budget-Ms"); n > 0 {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil || ms == 0 || n > 1 {
			return 0, fmt.Errorf("X-Budget-Ms %.40q (%d fields): want one field with a positive whole number of milliseconds", text, n)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return max(0, limit-transitMargin), nil
}

// outgoingRequest returns the request to forward, without its body. Its Fields have
// capacity for extraFields more.
func outgoingRequest(req *Request, uri, host string, idempotency balance.Idempotency, extraFields int) upstream.Request {
	out := upstream.Request{
		Method:        req.Method,
		URI:           uri,
		Host:          host,
		Fields:        make(http1.Fields, 0, len(req.Fields)+extraFields),
		NonIdempotent: idempotency == balance.NonIdempotent,
	}
	for _, f := range req.Fields {
		if !f.HopByHop && !strings.EqualFold(f.Name, "X-Budget-Ms") { // set for each attempt
			out.Fields = append(out.Fields, f)
		}
	}
	return out
}

// maxCallIDLength bounds ids, which are logged and remembered. The platform's ids have
// 16 hexadecimal digits; other ids are accepted.
const maxCallIDLength = 64

// parseCallID returns the id of a request. A request without an id or with several
// cannot be identified, and no endpoint may receive it.
func parseCallID(req *Request) (string, error) {
	id, n := req.Fields.Lookup("X-Call-Id")
	if n != 1 || id == "" || len(id) > maxCallIDLength {
		return "", fmt.Errorf("X-Call-Id %.80q (%d fields): want one field with a short, nonempty id", id, n)
	}
	for _, c := range []byte(id) {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return "", fmt.Errorf("X-Call-Id %.80q: want only letters, digits, '-' and '_'", id)
		}
	}
	return id, nil
}

// checkIdempotency checks that a request has the method, body and key that its class
// requires. Other requests may not be idempotent in the way that the class states.
func checkIdempotency(idempotency balance.Idempotency, req *Request) error {
	method, needsKey := http.MethodPost, idempotency == balance.IdempotentByKey
	if idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	value, count := req.Fields.Lookup("Idempotency-Key")
	hasKey := count > 0
	if req.Method != method {
		return fmt.Errorf("method %s: this class requires %s", req.Method, method)
	}
	if idempotency == balance.Idempotent && req.Length != 0 {
		return errors.New("unexpected body: requests of this class have none")
	}
	if count > 1 || count == 1 && value == "" {
		return fmt.Errorf("Idempotency-Key %.80q (%d fields): want one nonempty field", value, count)
	}
	if idempotency != balance.Idempotent && hasKey != needsKey {
		return fmt.Errorf("Idempotency-Key: present is %t, this class requires %t", hasKey, needsKey)
	}
	return nil
}

// requestTarget returns the path and query of a request as received, and its host. An
// absolute target overrides the Host field (RFC 9112, section 3.2.2).
func requestTarget(req *Request) (uri, host string, err error) {
	if strings.HasPrefix(req.Target, "/") {
		return req.Target, req.Host, nil
	}
	u, err := req.URL()
	if err != nil {
		return "", "", err
	}
	if u.Scheme != "http" || u.User != nil || u.Opaque != "" || u.Host == "" {
		return "", "", fmt.Errorf("request target %.80q: want a path or an absolute http URI", req.Target)
	}
	return u.RequestURI(), u.Host, nil
}
