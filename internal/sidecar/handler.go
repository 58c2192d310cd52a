package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oatgw/balance"
	"oatgw/internal/upstream"
)

const (
	readyPath = "/-/ready"

	// transit is held back from the client's time for the way to it and for
	// waking up: an answer a moment after its deadline is a lost request, one
	// a moment before it costs nothing.
	transit = 20 * time.Millisecond

	// bodyFullRetry is the advice to a client whose body found no room.
	bodyFullRetry = time.Second
)

// ServeHTTP implements http.Handler.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == readyPath {
		s.ready(w)
		return
	}
	p, status, err := s.plan(req)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	rc := http.NewResponseController(w)
	// A body may take longer than the last answer on this connection could.
	rc.SetWriteDeadline(time.Time{})
	body, err := s.bodies.read(rc, req)
	switch {
	case errors.Is(err, errBodyLong):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errBodyRoom):
		s.write(w, req, answer{status: http.StatusServiceUnavailable, retryAfter: bodyFullRetry})
		return
	case err != nil:
		// Half a request was not taken, and there may be nobody to tell.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r := &request{
		budget: p.budget,
		body:   body,
		out: upstream.Request{
			Method: req.Method,
			URI:    requestURI(req),
			Host:   req.Host,
			Header: endToEnd(req.Header),
			Body:   body.reader,
			Length: body.length,
		},
	}
	if _, ok := r.out.Header["User-Agent"]; !ok {
		r.out.Header["User-Agent"] = nil // keeps the codec from adding its own
	}
	s.take(r, p.class, p.tenant)
	var a answer
	select {
	case a = <-r.answer:
	case <-req.Context().Done():
		s.withdraw(r)
		a = <-r.answer
	}
	s.write(w, req, a)
}

// ready tells whether callers may be sent here.
func (s *Sidecar) ready(w http.ResponseWriter) {
	s.mu.Lock()
	listed := s.listed
	s.mu.Unlock()
	if !listed || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// plan is what the head of a request tells the Balancer.
type plan struct {
	class, tenant int
	budget        time.Duration
}

// plan reads the head of a request, or tells which status it is answered with.
func (s *Sidecar) plan(req *http.Request) (p plan, status int, err error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class, ok := s.cfg.Classes[name]
	if !ok {
		return p, http.StatusNotFound, fmt.Errorf("no class %q", name)
	}
	c := &s.cfg.Balance.Classes[class]
	if err := checkMethod(c.Semantics, req); err != nil {
		return p, http.StatusBadRequest, err
	}
	p = plan{class: class, tenant: -1, budget: c.Deadline}
	if i, ok := s.cfg.Tenants[req.Header.Get("X-Caller")]; ok {
		p.tenant = i
	}
	if text := req.Header.Get("X-Budget-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return p, http.StatusBadRequest, fmt.Errorf("X-Budget-Ms %q, want whole milliseconds", text)
		}
		p.budget = min(p.budget, time.Duration(ms)*time.Millisecond)
	}
	p.budget = max(0, p.budget-transit)
	return p, 0, nil
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
