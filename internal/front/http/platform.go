package httpfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	readyPath = "/-/ready"

	// transit is held back from the client's time for the way to it and for
	// waking up: an answer a moment after its deadline is a lost request, one
	// a moment before it costs nothing.
	transit = 20 * time.Millisecond

	// platformBody is the protocol's bound for a body, in bytes.
	platformBody = 64 << 10
)

// Platform judges requests in the platform's form: one service, the class is
// the first part of the path, the id is the client's and the method follows
// from the class. The path goes on as it came.
type Platform struct {
	Pool    *pool.Pool
	Classes map[string]int // by the first part of the path
	Form    []balance.Class
	Tenants map[string]int // by X-Caller

	seen     *IDs
	draining atomic.Bool
}

// NewPlatform returns a Platform in front of p. Ids are remembered for two of
// the longest deadlines.
func NewPlatform(p *pool.Pool, names, tenants map[string]int, classes []balance.Class) *Platform {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return &Platform{Pool: p, Classes: names, Form: classes, Tenants: tenants, seen: NewIDs(longest)}
}

// Drain makes Ready say no; requests go on being served.
func (j *Platform) Drain() { j.draining.Store(true) }

// Ready implements Judge.
func (j *Platform) Ready() int {
	if !j.Pool.Listed() || j.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Judge implements Judge.
func (j *Platform) Judge(req *http.Request) (*Plan, *Rejection) {
	if req.ProtoMajor != 1 || req.Host == "" {
		return reject(http.StatusBadRequest, errors.New("want HTTP/1.1 and a Host"))
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class, ok := j.Classes[name]
	// With two slashes the first part would be read as a host, and the path
	// sent on would not be the one that was judged.
	if !ok || strings.HasPrefix(req.RequestURI, "//") {
		return reject(http.StatusNotFound, fmt.Errorf("no class %q", name))
	}
	c := &j.Form[class]
	p := &Plan{Pool: j.Pool, Class: class, Tenant: -1, MaxBody: platformBody, seen: j.seen}
	if err := p.form(req, c); err != nil {
		return reject(http.StatusBadRequest, err)
	}
	if i, ok := j.Tenants[req.Header.Get("X-Caller")]; ok {
		p.Tenant = i
	}
	p.Out = outgoing(req, requestURI(req), req.Host, c.Semantics)
	return p, nil
}

// form reads what the platform's form asks of a request of class c.
func (p *Plan) form(req *http.Request, c *balance.Class) (err error) {
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
func budget(req *http.Request, most time.Duration) (time.Duration, error) {
	if texts, ok := req.Header["X-Budget-Ms"]; ok {
		ms, err := strconv.ParseUint(texts[0], 10, 32)
		if err != nil || ms == 0 || len(texts) > 1 {
			return 0, fmt.Errorf("X-Budget-Ms %.40q, want whole milliseconds above 0", texts)
		}
		most = min(most, time.Duration(ms)*time.Millisecond)
	}
	return max(0, most-transit), nil
}

// outgoing is what is sent on of a request, but for the body.
func outgoing(req *http.Request, uri, host string, semantics balance.Semantics) upstream.Request {
	out := upstream.Request{
		Method: req.Method,
		URI:    uri,
		Host:   host,
		Header: endToEnd(req.Header),
		Once:   semantics == balance.Unsafe,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps the codec from adding its own
	}
	return out
}

// Ids have 16 hexadecimal digits; others are let through as far as they can
// stand in a log and in a table of bounded size.
const maxCallID = 64

// callID reads the id of a request. One without an id, or with several, cannot
// be told from another, and no endpoint may see it.
func callID(req *http.Request) (string, error) {
	ids := req.Header["X-Call-Id"]
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxCallID {
		return "", fmt.Errorf("X-Call-Id %.80q, want one id", ids)
	}
	for _, c := range []byte(ids[0]) {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return "", fmt.Errorf("X-Call-Id %.80q, want letters and digits", ids[0])
		}
	}
	return ids[0], nil
}

// checkMethod tells whether a request comes in the form of its class. One that
// does not may not mean what the settings say of repeating it.
func checkMethod(semantics balance.Semantics, req *http.Request) error {
	method, key := http.MethodPost, semantics == balance.Keyed
	if semantics == balance.Safe {
		method = http.MethodGet
	}
	_, hasKey := req.Header["Idempotency-Key"]
	if req.Method != method {
		return fmt.Errorf("method %s, want %s for this class", req.Method, method)
	}
	if semantics == balance.Safe && req.ContentLength != 0 {
		return errors.New("a body, want none for this class")
	}
	if keys := req.Header["Idempotency-Key"]; len(keys) > 1 || len(keys) == 1 && keys[0] == "" {
		return fmt.Errorf("Idempotency-Key %.80q, want one", keys)
	}
	if semantics != balance.Safe && hasKey != key {
		return fmt.Errorf("Idempotency-Key: given is %t, want %t for this class", hasKey, key)
	}
	return nil
}

// requestURI is the path and query as they came.
func requestURI(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI() // the absolute form, as to a proxy
}

// hopByHop are the fields that concern one connection only, and those that the
// codec writes itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// endToEnd is the part of a header that goes on to the other side.
func endToEnd(h http.Header) http.Header {
	h = h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
