// Package sidecar answers callers. It takes their requests, drives the
// Balancer with what happens and carries out what the Balancer decides.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/config"
	"gorselink/internal/upstream"
)

// Sidecar balances the requests before one tier.
type Sidecar struct {
	cfg    *config.Config
	pool   *upstream.Pool
	start  time.Time // the Balancer's time 0
	bodies bodyBudget
	stats  stats

	moves    chan string // discovery services to follow from now on
	draining atomic.Bool

	mu       sync.Mutex // guards what follows and all in a request that says so
	balancer *balance.Balancer
	requests map[balance.RequestID]*request // those that are owed an answer
	lastID   balance.RequestID
	seen     seenIDs // ids of requests taken
	listed   bool
	wanted   bool      // a watch was wanted before there was a source
	sources  []*source // discovery followed: the one that tells and, after Move, the one to take over
}

// request is a request that the Balancer has been given.
type request struct {
	id     balance.RequestID
	callID string
	out    upstream.Request
	budget time.Duration
	body   *body
	answer chan answer // takes the one answer
	wake   func()      // called before the answer is there; must not block

	ctx    context.Context // ends once nothing more may be sent for the request
	cancel context.CancelFunc

	// Guarded by Sidecar.mu.
	attempts  int
	pending   int // attempts without an outcome
	answered  bool
	withdrawn bool
}

// New returns a Sidecar that sends through pool and starts from the known list.
func New(cfg *config.Config, pool *upstream.Pool) (*Sidecar, error) {
	s := &Sidecar{
		cfg:      cfg,
		pool:     pool,
		start:    time.Now(),
		moves:    make(chan string, 1),
		seen:     seenIDs{span: 2 * cfg.LongestDeadline()},
		requests: map[balance.RequestID]*request{},
	}
	s.bodies.left.Store(int64(cfg.Limits.MemoryMB) << 20 / bodyShare)
	var err error
	if s.balancer, err = balance.New(cfg.Balance, cfg.Seed, (*host)(s)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(balance.Cached, cfg.Known.Endpoints)
	return s, nil
}

// Drain makes the sidecar say that it is not ready; it goes on serving.
func (s *Sidecar) Drain() { s.draining.Store(true) }

// now is the Balancer's time. It is read under the mutex, so that the Balancer
// never sees it run back.
func (s *Sidecar) now() time.Duration { return time.Since(s.start) }

// errSeen tells of a request whose id is not its own.
var errSeen = errors.New("X-Call-Id: a request with this id has come before")

// take hands a request to the Balancer, or tells why not.
func (s *Sidecar) take(r *request, class, tenant int) error {
	r.answer = make(chan answer, 1)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen.add(r.callID, s.now()) {
		r.cancel()
		return errSeen
	}
	s.lastID++
	r.id = s.lastID
	s.requests[r.id] = r
	s.stats.taken++
	s.balancer.Request(s.now(), r.id, class, tenant, r.budget)
	return nil
}

// withdraw tells the Balancer that the client of r has gone away. Attempts
// that are out go on: a client that has only closed its sending side can still
// be given their answer, and nothing else is lost by waiting for it.
func (s *Sidecar) withdraw(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.answered {
		return
	}
	r.withdrawn = true
	r.cancel()
	delete(s.requests, r.id)
	s.stats.withdrawn++
	s.balancer.Withdrawn(s.now(), r.id)
	s.settle(r)
}

// settle ends what can be ended of r; the mutex is held.
func (s *Sidecar) settle(r *request) {
	if r.pending > 0 {
		return
	}
	if r.withdrawn {
		s.give(r, answer{status: http.StatusGatewayTimeout})
	}
	if r.answered {
		r.body.release()
	}
}

// give gives r its answer and tells whether it is the first; the mutex is
// held. Nothing is sent for r from here on.
func (s *Sidecar) give(r *request, a answer) bool {
	if r.answered {
		return false
	}
	r.answered = true
	r.cancel()
	delete(s.requests, r.id)
	if r.wake != nil {
		r.wake()
	}
	r.answer <- a
	return true
}

// attempt makes one attempt and tells the Balancer how it ended.
func (s *Sidecar) attempt(r *request, number int, name string, sent, timeout time.Duration) {
	up, result := s.pool.Do(r.ctx, name, &r.out, timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r.pending--
	s.stats.results[result]++
	if result == balance.OK && !s.give(r, answer{status: http.StatusOK, up: up}) {
		up.Release()
	}
	over := r.answered || r.withdrawn
	s.balancer.Outcome(now, r.id, number, result, now-sent, over)
	s.settle(r)
}

// host is the Sidecar as the Balancer sees it. The mutex is held in all its
// methods, which only start work.
type host Sidecar

// Send implements balance.Host.
func (h *host) Send(id balance.RequestID, addr string, timeout time.Duration) {
	s := (*Sidecar)(h)
	r := s.requests[id]
	number := r.attempts
	r.attempts++
	r.pending++
	go s.attempt(r, number, addr, s.now(), timeout)
}

// Refuse implements balance.Host.
func (h *host) Refuse(id balance.RequestID, retryAfter time.Duration) {
	s := (*Sidecar)(h)
	r := s.requests[id]
	s.stats.refused++
	s.give(r, answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
	s.settle(r)
}

// Fail implements balance.Host.
func (h *host) Fail(id balance.RequestID) {
	s := (*Sidecar)(h)
	r := s.requests[id]
	s.stats.failed++
	status := http.StatusBadGateway
	if r.pending > 0 {
		status = http.StatusGatewayTimeout
	}
	s.give(r, answer{status: status})
	s.settle(r)
}

// After implements balance.Host.
func (h *host) After(d time.Duration, token uint64) {
	s := (*Sidecar)(h)
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.balancer.Timer(s.now(), token)
	})
}

// Watch implements balance.Host.
func (h *host) Watch() {
	h.wanted = len(h.sources) == 0 // Follow has not begun
	for _, src := range h.sources {
		select {
		case src.watch <- struct{}{}:
		default: // one is wanted already
		}
	}
}
