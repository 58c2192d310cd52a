// Package upstream sends attempts to endpoints and manages the connections to them.
//
// It does not use http.Transport, which retries some requests by itself, dials more connections
// than needed, and does not report whether it has written the last byte of a request. An
// endpoint may have executed a request only if it has received the last byte.
package upstream

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/bytebudget"
	"gorselink/internal/linkedlist"
	"gorselink/internal/socketstate"
)

// Config holds the settings of a Pool.
type Config struct {
	DialTimeout        time.Duration
	IdleTimeout        time.Duration // after which endpoints close an idle connection
	MaxConns           int           // to all endpoints together
	LargeResponseBytes int64         // memory for buffered responses over SmallResponseBytes, all together
	BufferBytes        int64         // see Limits

	// ReuseDelay is the time between a response and the next request on the same connection; 0
	// for none. An endpoint may send a duplicate response some milliseconds late, which would
	// be taken for the response to the next request. The delay is longer for some time after
	// stray data has been received. A request waits for the connection that becomes reusable
	// first, which costs less than a new one; if another one would be in use all the time, it is
	// dialed meanwhile.
	ReuseDelay time.Duration

	MaxResponseBytes     int           // longest buffered body; 0 for 1 MiB
	ResponseStallTimeout time.Duration // longest pause inside a response; 0 for 0.5 s, or for no limit with MaxStreamBytes

	// MaxStreamBytes is the longest response that is streamed: a response over
	// SmallResponseBytes is then forwarded while it is received, and MaxResponseBytes does not
	// apply. 0 disables streaming.
	MaxStreamBytes int64

	// PassThroughStatus makes every status below 500 a success and returns responses with other
	// statuses together with balance.Error. Without it, only status 200 is a success and no
	// other response is returned, as the platform protocol requires.
	PassThroughStatus bool

	Dialer Dialer // nil for a net.Dialer with DialTimeout
}

// Limits are the limits of a Pool that can change while it is in use.
type Limits struct {
	MaxConns           int   // connections to all endpoints together
	LargeResponseBytes int64 // memory for responses over SmallResponseBytes

	// BufferBytes is the memory for short responses and for forwarding bodies, if MaxStreamBytes
	// is set; 0 for no limit. Without available memory a short response is streamed too, and
	// bodies are forwarded in smaller pieces.
	BufferBytes int64
}

// Costs at an endpoint, in core-seconds.
const (
	handshakeCost = 0.0024 // of a new connection, which costs 0.0018 to 0.003
	openConnCost  = 0.0096 // of an open connection, per second
	requestCost   = 0.017  // of a request's first attempt
	typicalLoad   = 0.5    // share of an endpoint's capacity used by first attempts

	// Bounds of the idle timeout, in seconds: a connection that is idle between a response and
	// the next request of a burst is kept, whatever the prices, and none is kept forever.
	minIdleSeconds, maxIdleSeconds = 0.01, 3600.0
)

// OptimalIdleTimeout returns the time for which a sidecar keeps an idle connection. The prices
// are weights that operators set: handshakePrice for the number of new connections per first
// attempt, and connectionPrice for the mean number of open connections per hundred endpoints.
// Without prices it is 0.25 s. A price is converted to work by requestCost; an open connection
// per hundred endpoints counts as a hundredth of what an endpoint serves.
//
// A connection is kept until its idle cost equals the cost of a new one. The total cost is then
// at most twice that of an optimal choice that knows the time of the next use (ski-rental
// problem).
func OptimalIdleTimeout(handshakePrice, connectionPrice float64) time.Duration {
	newConnCost := handshakeCost + requestCost*max(0, handshakePrice)
	idleConnCost := openConnCost + typicalLoad/100*max(0, connectionPrice)
	return time.Duration(min(max(newConnCost/idleConnCost, minIdleSeconds), maxIdleSeconds) * float64(time.Second)).Round(time.Millisecond)
}

// SmallResponseBytes is the longest response body that the platform protocol allows. Bodies up
// to it do not count towards Config.LargeResponseBytes.
const SmallResponseBytes = 64 << 10

// Target is the address of an endpoint's process.
type Target struct {
	Address string
	StartMs int64 // start of the process; a change invalidates the open connections
}

// Pool holds the connections to all endpoints. Each connection carries one request at a time. The
// most recently used connection is normally reused first, so that surplus ones expire.
type Pool struct {
	cfg            Config
	now            func() time.Time // clock for the budgets sent to endpoints
	responseMemory bytebudget.Budget
	bufferMemory   bytebudget.Budget // for short responses, and for forwarding bodies
	chunks         chunkPool

	reuseWaits atomic.Int64 // waits for a reuse delay
	mu         sync.Mutex
	targets    map[string]*target
	idle       linkedlist.List[*conn] // least recently used first
	open       int                    // connections, including those being dialled
	closed     bool
	strayUntil time.Time // end of the longer reuse delay after stray data
	staleUntil time.Time // end of the period in which idle connections are suspected to be stale

	contacts     recentEvents // successful dials and responses
	dialFailures recentEvents // dials that failed on this machine or for an ambiguous cause
}

// target is one process of an endpoint at one address.
type target struct {
	Target
	pool      *Pool
	idle      []*conn // most recently used last
	open      int     // connections, including those being dialled
	removed   bool    // replaced or removed; its connections are not reused
	removedAt time.Time
	doubt     processDoubt
	unsettled atomic.Bool // removed is set or doubt has been; read without the mutex
	usage     usage       // counted only if there is a reuse delay
	pace      readingPace

	contactAt time.Time // when it last responded or accepted a connection
}

// New returns an empty Pool.
func New(cfg Config) *Pool {
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	if cfg.ResponseStallTimeout == 0 && cfg.MaxStreamBytes == 0 {
		cfg.ResponseStallTimeout = defaultStallTimeout
	}
	p := &Pool{cfg: cfg, now: time.Now, targets: map[string]*target{}}
	p.setMemory(cfg.LargeResponseBytes, cfg.BufferBytes)
	return p
}

// SetLimits changes the limits of the Pool. Surplus idle connections are closed at once, and
// surplus connections in use when their attempts end.
func (p *Pool) SetLimits(limits Limits) {
	p.setMemory(limits.LargeResponseBytes, limits.BufferBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxConns = limits.MaxConns
	for p.open > limits.MaxConns && p.idle.Len() > 0 {
		p.closeIdleConn(p.idle.Front().Value)
	}
}

// SetTimeouts changes Config.DialTimeout and Config.IdleTimeout.
func (p *Pool) SetTimeouts(dial, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.DialTimeout, p.cfg.IdleTimeout = dial, idle
}

// Timeouts returns the current Config.DialTimeout and Config.IdleTimeout.
func (p *Pool) Timeouts() (dial, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.DialTimeout, p.cfg.IdleTimeout
}

// unlimitedBytes is a budget that is never used up.
const unlimitedBytes = 1 << 50

func (p *Pool) setMemory(largeResponseBytes, bufferBytes int64) {
	p.responseMemory.SetTotal(largeResponseBytes)
	p.bufferMemory.SetTotal(cmp.Or(bufferBytes, unlimitedBytes))
}

// StreamingEnabled reports whether long responses, and request bodies that cannot be buffered,
// are forwarded while they are received.
func (p *Pool) StreamingEnabled() bool { return p.cfg.MaxStreamBytes > 0 }

// MaxConns returns the maximum number of connections.
func (p *Pool) MaxConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.MaxConns
}

// Set adds the named endpoint or changes its target. A change closes the idle connections, which
// lead to the previous process or address.
func (p *Pool) Set(name string, t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.targets[name]; old != nil {
		if old.Target == t {
			return
		}
		p.retire(old)
	}
	p.targets[name] = &target{Target: t, pool: p}
}

// Remove removes the named endpoint and closes its idle connections.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.targets[name]; old != nil {
		p.retire(old)
		delete(p.targets, name)
	}
}

// Retain removes all endpoints for which keep returns false.
func (p *Pool) Retain(keep func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.targets {
		if !keep(name) {
			p.retire(t)
			delete(p.targets, name)
		}
	}
}

// retire closes the idle connections of a target that has been replaced or removed. p.mu must
// be held.
func (p *Pool) retire(t *target) {
	t.removed, t.removedAt = true, time.Now()
	t.unsettled.Store(true)
	for len(t.idle) > 0 {
		p.closeIdleConn(t.idle[len(t.idle)-1])
	}
}

// Names returns the names of the endpoints, sorted.
func (p *Pool) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.targets))
}

// OpenConns returns the number of connections, including those being dialled.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// LongResponseMemory returns the memory reserved for responses over SmallResponseBytes, in bytes.
func (p *Pool) LongResponseMemory() int64 { return p.responseMemory.InUse() }

// BufferMemory returns the memory reserved for short responses and for forwarding bodies, in bytes.
func (p *Pool) BufferMemory() int64 { return p.bufferMemory.InUse() }

// ConnStats returns the number of endpoints with open connections and the largest number of
// connections to one of them.
func (p *Pool) ConnStats() (endpoints, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.open > 0 {
			endpoints, most = endpoints+1, max(most, t.open)
		}
	}
	return endpoints, most
}

// idleTimeoutFraction is the fraction of Config.IdleTimeout after which an idle connection is no
// longer reused. A request sent while the endpoint closes the connection would be reset, and a
// non-idempotent request cannot be retried after a reset.
const idleTimeoutFraction = 0.8

func (p *Pool) idleTimeout() time.Duration {
	return time.Duration(float64(p.cfg.IdleTimeout) * idleTimeoutFraction)
}

// CloseExpired closes the connections that have been idle for too long and frees unused
// read-ahead memory.
func (p *Pool) CloseExpired(now time.Time) {
	p.chunks.trim()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpiredLocked(now)
}

// closeExpiredLocked closes connections that have been idle for too long. p.mu must be held.
func (p *Pool) closeExpiredLocked(now time.Time) {
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value
		if now.Sub(c.idleSince) < p.idleTimeout() {
			return
		}
		p.noteStrayData(c)
		p.closeIdleConn(c)
	}
}

const (
	// For strayDataPeriod after stray data (data that no request has caused), the reuse delay
	// is multiplied by strayDelayFactor. Endpoints are likely to send more, and stray data on a
	// reused connection would be taken for the response to the next request.
	strayDataPeriod  = 30 * time.Second
	strayDelayFactor = 5

	// maxTrustedIdle is the idle time up to which a connection is not suspected to be stale:
	// network devices close connections only after a longer idle time.
	maxTrustedIdle = 100 * time.Millisecond

	// stalePeriod is the time after a stale connection for which other idle connections are
	// suspected to be stale too.
	stalePeriod = 10 * time.Second
)

// reuseDelay returns the current reuse delay.
func (p *Pool) reuseDelay(now time.Time) time.Duration {
	if now.Before(p.strayUntil) {
		return strayDelayFactor * p.cfg.ReuseDelay
	}
	return p.cfg.ReuseDelay
}

// noteStrayData starts the longer reuse delay if c, which is about to be closed, has received
// stray data. p.mu must be held.
func (p *Pool) noteStrayData(c *conn) {
	if p.cfg.ReuseDelay > 0 && (c.reader.Buffered() > 0 || c.peeker.State() == socketstate.DataPending) {
		p.strayUntil = time.Now().Add(strayDataPeriod)
	}
}

// noteStaleConn records that a reused connection broke before any byte of the response. If it
// had been idle for maxTrustedIdle, the endpoint or a network device had probably closed it.
// Non-idempotent requests then avoid idle connections for stalePeriod. This also covers idle
// timeouts of endpoints that are shorter than configured, and processes that are replaced at the
// same address. If the connection broke for another reason, it costs these requests a new
// connection each.
func (p *Pool) noteStaleConn(c *conn, sentAt time.Time) {
	if c.idleSince.IsZero() || sentAt.Sub(c.idleSince) < maxTrustedIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleUntil = time.Now().Add(stalePeriod)
}

// closeIdleConn closes an idle connection. p.mu must be held.
func (p *Pool) closeIdleConn(c *conn) {
	for i := len(c.target.idle) - 1; i >= 0; i-- {
		if c.target.idle[i] == c {
			c.target.idle = append(c.target.idle[:i], c.target.idle[i+1:]...)
			break
		}
	}
	p.idle.Remove(&c.idleLink)
	p.connClosedLocked(c.target)
	c.Close()
}

// checkoutResult is an idle connection, or, if conn is nil, the target to dial, for which a
// connection has already been counted as open. Both are nil if the endpoint is unknown or no
// further connection is allowed.
type checkoutResult struct {
	conn   *conn
	target *target
	wait   time.Duration // remaining reuse delay of conn, during which the connection may be closed

	// extra delivers another connection during the wait, if one is being dialled.
	extra <-chan *conn
}

// checkOut returns an idle connection to the named endpoint, or the target to dial. A connection
// without a remaining reuse delay has been checked and can be used at once.
func (p *Pool) checkOut(name string, nonIdempotent bool) checkoutResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	if t == nil {
		return checkoutResult{}
	}
	now := time.Now()
	p.closeExpiredLocked(now)
	if p.cfg.ReuseDelay > 0 {
		t.usage.countRequest(now, p.idleTimeout())
	}
	if len(t.idle) > 0 {
		c := t.idle[0] // the longest idle one: all others have to wait longer
		if wait := p.reuseDelay(now) - now.Sub(c.idleSince); wait > 0 {
			t.idle = slices.Delete(t.idle, 0, 1)
			p.idle.Remove(&c.idleLink)
			return checkoutResult{c, t, wait, p.dialExtra(t, now)}
		}
	}
	for minIdle := p.reuseDelay(now); ; {
		i := t.reusableIndex(now, minIdle)
		if i < 0 {
			break
		}
		c := t.idle[i]
		// A connection that may be stale is closed and replaced by a new one.
		maybeStale := nonIdempotent && now.Before(p.staleUntil) && now.Sub(c.idleSince) >= maxTrustedIdle
		if maybeStale || !c.reusable() {
			if c.peeker.State() == socketstate.Closed {
				t.noteSign(now)
			}
			p.noteStrayData(c)
			p.closeIdleConn(c)
			if maybeStale {
				break
			}
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		p.idle.Remove(&c.idleLink)
		return checkoutResult{conn: c, target: t}
	}
	if p.open >= p.cfg.MaxConns {
		oldest := p.idle.Front()
		if oldest == nil {
			return checkoutResult{}
		}
		p.closeIdleConn(oldest.Value)
	}
	p.open++
	t.open++
	return checkoutResult{target: t}
}

// checkIn returns a connection to the pool. responded reports whether the endpoint has just
// responded on it.
func (p *Pool) checkIn(c *conn, responded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if responded {
		p.noteContact(c.target, now)
	}
	if c.target.removed || c.aborted.Load() || p.closed || p.open > p.cfg.MaxConns {
		p.connClosedLocked(c.target)
		c.Close()
		return
	}
	c.idleSince = now
	p.idle.PushBack(&c.idleLink)
	c.target.idle = append(c.target.idle, c)
}

// closeConn closes a connection that cannot be reused. If the response was valid, data received
// after it is stray data.
func (p *Pool) closeConn(c *conn, valid bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if valid {
		p.noteStrayData(c)
	}
	c.Close()
	p.connClosedLocked(c.target)
}

// connClosed records that a connection to t, or the dialling of one, has ended.
func (p *Pool) connClosed(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connClosedLocked(t)
}

// connClosedLocked subtracts a connection to t from the open connections. p.mu must be held.
func (p *Pool) connClosedLocked(t *target) {
	p.open--
	t.open--
}

// Close closes the idle connections. Those in use are closed when their attempts end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the connections that no attempt uses.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		p.closeIdleConn(e.Value)
	}
}
