package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gorselink/balance"
	"gorselink/internal/upstream"
)

const (
	readyPath = "/-/ready"

	// transit is held back from the client's time for the way to it and for
	// waking up: an answer a moment after its deadline is a lost request, one
	// a moment before it costs nothing.
	transit = 20 * time.Millisecond
)

// newRequest is what is sent on of a request.
func newRequest(req *http.Request, p plan, b *body) *request {
	r := &request{
		callID: p.callID,
		budget: p.budget,
		body:   b,
		out: upstream.Request{
			Method: req.Method,
			URI:    requestURI(req),
			Host:   req.Host,
			Header: endToEnd(req.Header),
			Body:   b.data,
		},
	}
	if _, ok := r.out.Header["User-Agent"]; !ok {
		r.out.Header["User-Agent"] = nil // keeps the codec from adding its own
	}
	return r
}

// ready is the status that tells whether callers may be sent here.
func (s *Sidecar) ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || s.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// plan is what the head of a request tells the Balancer.
type plan struct {
	class, tenant int
	budget        time.Duration
	callID        string
}

// plan reads the head of a request, or tells which status it is answered with.
func (s *Sidecar) plan(req *http.Request) (p plan, status int, err error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class, ok := s.cfg.Classes[name]
	// With two slashes the first part would be read as a host, and the path
	// sent on would not be the one that was judged.
	if !ok || strings.HasPrefix(req.RequestURI, "//") {
		return p, http.StatusNotFound, fmt.Errorf("no class %q", name)
	}
	c := &s.cfg.Balance.Classes[class]
	if err := checkMethod(c.Semantics, req); err != nil {
		return p, http.StatusBadRequest, err
	}
	p = plan{class: class, tenant: -1, budget: c.Deadline}
	if p.callID, err = callID(req); err != nil {
		return p, http.StatusBadRequest, err
	}
	if i, ok := s.cfg.Tenants[req.Header.Get("X-Caller")]; ok {
		p.tenant = i
	}
	if texts, ok := req.Header["X-Budget-Ms"]; ok {
		ms, err := strconv.ParseUint(texts[0], 10, 32)
		if err != nil || ms == 0 || len(texts) > 1 {
			return p, http.StatusBadRequest, fmt.Errorf("X-Budget-Ms %.40q, want whole milliseconds above 0", texts)
		}
		p.budget = min(p.budget, time.Duration(ms)*time.Millisecond)
	}
	p.budget = max(0, p.budget-transit)
	return p, 0, nil
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
