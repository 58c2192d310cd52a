package httpfront

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
	"gorselink/internal/framing"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	readyPath = "/-/ready"

	// transit is held back from the client's time for the way to it and for
	// waking up: an answer a moment after its deadline is a lost request, one
	// a moment before it costs nothing.
	transit = 20 * time.Millisecond

	// PlatformLongest bounds bodies and answers, in bytes; they go up to 32 MB.
	PlatformMaxBytes = 33 << 20
)

// Platform judges requests in the platform's form: one service, the class is
// the first part of the path, the id is the client's and the method follows
// from the class. The path goes on as it came.
type PlatformRouter struct {
	Pool *pool.Pool

	form     atomic.Pointer[PlatformConfig]
	seen     *SeenIDs
	draining atomic.Bool
	away     atomic.Bool
}

// Form is what the requests of a platform are judged by.
type PlatformConfig struct {
	Classes map[string]PlatformClass // by the first part of the path
	Tenants map[string]int           // by X-Caller
}

// PlatformClass is a class of requests.
type PlatformClass struct {
	balance.Class
	Number int // the pool's
}

// NewPlatform returns a Platform in front of p. Ids are remembered for two of
// the longest deadlines.
func NewPlatformRouter(p *pool.Pool, form *PlatformConfig) *PlatformRouter {
	j := &PlatformRouter{Pool: p, seen: NewSeenIDs(form.longest())}
	j.form.Store(form)
	return j
}

// Set makes all requests be judged by form from now on.
func (j *PlatformRouter) SetConfig(form *PlatformConfig) {
	j.seen.SetLongestDeadline(form.longest())
	j.form.Store(form)
}

func (f *PlatformConfig) longest() (d time.Duration) {
	for _, c := range f.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// Drain makes Ready say no; requests go on being served.
func (j *PlatformRouter) MarkDraining() { j.draining.Store(true) }

// SendAway makes Ready say no, or takes that back; requests go on being served.
func (j *PlatformRouter) SetDrained(on bool) { j.away.Store(on) }

// Ready implements Judge.
func (j *PlatformRouter) ReadyStatus() int {
	if !j.Pool.Listed() || j.draining.Load() || j.away.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Judge implements Judge.
func (j *PlatformRouter) Route(req *Request) (*Plan, *Rejection) {
	uri, host, err := target(req)
	if err != nil || host == "" {
		return reject(http.StatusBadRequest, cmp.Or(err, errors.New("want a Host")))
	}
	path, err := req.Path()
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	form := j.form.Load()
	class, ok := form.Classes[name]
	// With two slashes the first part would be read as a host, and the path
	// sent on would not be the one that was judged.
	if !ok || strings.HasPrefix(req.Target, "//") {
		return reject(http.StatusNotFound, fmt.Errorf("no class %q", name))
	}
	c := &class.Class
	p := &Plan{Pool: j.Pool, Class: class.Number, Tenant: -1, MaxBody: PlatformMaxBytes, seen: j.seen}
	if err := p.form(req, c); err != nil {
		return reject(http.StatusBadRequest, err)
	}
	if i, ok := form.Tenants[req.Fields.Get("X-Caller")]; ok {
		p.Tenant = i
	}
	p.Upstream = outgoing(req, uri, host, c.Semantics, 0)
	return p, nil
}

// form reads what the platform's form asks of a request of class c.
func (p *Plan) form(req *Request, c *balance.Class) (err error) {
	if err := checkMethod(c.Semantics, req); err != nil {
		return err
	}
	if p.id, err = callID(req); err != nil {
		return err
	}
	p.Budget, err = budget(req, c.Deadline)
	return err
}

// budget is the time that the client gives, and most at the most.
func budget(req *Request, most time.Duration) (time.Duration, error) {
	if text, n := req.Fields.Lookup("X-Budget-Ms"); n > 0 {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil || ms == 0 || n > 1 {
			return 0, fmt.Errorf("X-Budget-Ms %.40q, %d of them, want whole milliseconds above 0, once", text, n)
		}
		most = min(most, time.Duration(ms)*time.Millisecond)
	}
	return max(0, most-transit), nil
}

// outgoing is what is sent on of a request, but for the body. Its fields have
// room for so many more.
func outgoing(req *Request, uri, host string, semantics balance.Semantics, more int) upstream.Request {
	out := upstream.Request{
		Method:        req.Method,
		URI:           uri,
		Host:          host,
		Fields:        make(framing.Fields, 0, len(req.Fields)+more),
		NonIdempotent: semantics == balance.Unsafe,
	}
	for _, f := range req.Fields {
		if !f.HopByHop && !strings.EqualFold(f.Name, "X-Budget-Ms") { // each attempt has its own
			out.Fields = append(out.Fields, f)
		}
	}
	return out
}

// Ids have 16 hexadecimal digits; others are let through as far as they can
// stand in a log and in a table of bounded size.
const maxCallID = 64

// callID reads the id of a request. One without an id, or with several, cannot
// be told from another, and no endpoint may see it.
func callID(req *Request) (string, error) {
	id, n := req.Fields.Lookup("X-Call-Id")
	if n != 1 || id == "" || len(id) > maxCallID {
		return "", fmt.Errorf("X-Call-Id %.80q, %d of them, want one id", id, n)
	}
	for _, c := range []byte(id) {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return "", fmt.Errorf("X-Call-Id %.80q, want letters and digits", id)
		}
	}
	return id, nil
}

// checkMethod tells whether a request comes in the form of its class. One that
// does not may not mean what the settings say of repeating it.
func checkMethod(semantics balance.Semantics, req *Request) error {
	method, key := http.MethodPost, semantics == balance.Keyed
	if semantics == balance.Safe {
		method = http.MethodGet
	}
	idem, keys := req.Fields.Lookup("Idempotency-Key")
	hasKey := keys > 0
	if req.Method != method {
		return fmt.Errorf("method %s, want %s for this class", req.Method, method)
	}
	if semantics == balance.Safe && req.Length != 0 {
		return errors.New("a body, want none for this class")
	}
	if keys > 1 || keys == 1 && idem == "" {
		return fmt.Errorf("Idempotency-Key %.80q, %d of them, want one", idem, keys)
	}
	if semantics != balance.Safe && hasKey != key {
		return fmt.Errorf("Idempotency-Key: given is %t, want %t for this class", hasKey, key)
	}
	return nil
}

// target is what a request is for: its path and query as they came, and its
// host. The absolute form names the host, whatever Host says (RFC 9112, section
// 3.2.2).
func target(req *Request) (uri, host string, err error) {
	if strings.HasPrefix(req.Target, "/") {
		return req.Target, req.Host, nil
	}
	u, err := req.URL()
	if err != nil {
		return "", "", err
	}
	if u.Scheme != "http" || u.User != nil || u.Opaque != "" || u.Host == "" {
		return "", "", fmt.Errorf("target %.80q, want a path or an http URI", req.Target)
	}
	return u.RequestURI(), u.Host, nil
}
