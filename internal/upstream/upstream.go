// Package upstream carries attempts to endpoints: one attempt in, one result
// out. It owns the connections.
//
// It does not use http.Transport, which sends some requests again by itself,
// dials more than it is asked to and hides whether the last byte of a request
// went out; whether an attempt may have run hangs on that.
package upstream

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/limit"
	"gorselink/internal/ring"
	"gorselink/internal/sock"
)

// Config holds the settings of a Pool.
type Config struct {
	DialTimeout        time.Duration
	IdleTimeout        time.Duration // endpoints close what has been idle for longer
	MaxConns           int           // connections at most, to all endpoints
	LargeResponseBytes int64         // memory for answers over SmallAnswer, all together

	// Rest is how long a connection rests between an answer and the next request. An
	// endpoint that answers twice may do so some milliseconds late; on a connection that
	// is in use again by then, the second answer would be taken for the next request's.
	// A request for which there is none that has rested waits for the one nearest to it,
	// which costs less than a new one; where one more would be used all the time, it is
	// dialled beside. The rest is longer for a while once bytes have come that belong to no
	// request. 0 for no rest.
	ReuseDelay time.Duration

	MaxResponseBytes     int           // bytes of the longest body that is passed on; 0 for 1 MiB
	ResponseStallTimeout time.Duration // that an answer may stop inside; 0 for 0.5 s

	// Stream is the longest answer that is passed on while it comes, in bytes:
	// what is over SmallAnswer is not held. 0 for none; then MaxAnswer bounds it.
	MaxStreamBytes int64

	// AnyStatus makes an answer with a status under 500 a served one, and has
	// Do return also those from 500 on, with balance.Error. Without it only a
	// 200 serves, as the platform's protocol says.
	PassThroughStatus bool

	Dialer Dialer // opens the connections; nil for a net.Dialer with DialTimeout
}

// What connections cost an endpoint, and a request, in seconds of one core.
const (
	handshakeWork = 0.0024 // a new one: 1.8 to 3 ms
	placeWork     = 0.0096 // a second of a place in its table, as measured, see docs/fleet.md
	requestWork   = 0.017  // a first try, in its mean
	usualLoad     = 0.5    // share of an endpoint that first tries take

	// Bounds of what prices can make of it: what is idle between an answer and the next
	// request of a burst is kept, and nothing for ever.
	leastKept, mostKept = 0.01, 3600.0
)

// KeepIdle is how long a sidecar keeps an idle connection to an endpoint at the most,
// given what operators charge for new connections, by first try, and for open ones on
// average, over a hundred times the endpoints; 0.25 s if they charge nothing.
//
// An open one costs capacity by its place in the endpoint's table, and every sidecar of a
// large fleet keeps some; a new one costs its handshake, once. Kept for as long as that
// weighs the same, it costs at most twice what knowing the next use would (the ski-rental
// problem). Prices are of first tries' worth and are turned into work by what a first try
// takes: one open connection over a hundred endpoints' is a hundredth of what an endpoint
// serves.
func OptimalIdleTimeout(handshakePrice, connectionPrice float64) time.Duration {
	anew := handshakeWork + requestWork*max(0, handshakePrice)
	kept := placeWork + usualLoad/100*max(0, connectionPrice)
	return time.Duration(min(max(anew/kept, leastKept), mostKept) * float64(time.Second)).Round(time.Millisecond)
}

// SmallAnswer is the protocol's bound for a body, in bytes. Answers up to it
// are not taken from LargeBytes: there are as many as attempts at the most.
const SmallAnswer = 64 << 10

// Target is where an endpoint is reached.
type Target struct {
	Address string
	StartMs int64 // start of its process; a change makes old connections useless
}

// Pool holds the connections to all endpoints. Each carries one request at a
// time; the one used last is used first, so that those not needed go idle.
type Pool struct {
	cfg    Config
	now    func() time.Time // the clock that endpoints are told by
	large  limit.Bytes
	chunks chunks // of what is read ahead

	waits   atomic.Int64 // attempts that waited for a connection to have rested
	mu      sync.Mutex
	targets map[string]*target
	idle    ring.List[*conn] // the one idle longest in front
	open    int              // connections dialled or being dialled
	closed  bool
	unruly  time.Time // until then endpoints are known to send more than they should
	doubt   time.Time // until then a kept connection may be dead without showing it

	reached   contacts // endpoints that have been connected to, or have answered
	undialled contacts // endpoints that this machine has failed to dial
}

// target is an endpoint in one life of its process at one address.
type target struct {
	Target
	pool *Pool
	idle []*conn // the one used last at the end
	open int     // connections, those being dialled included
	gone bool    // replaced or no longer listed: its connections are not kept
	use  use     // where connections rest
}

// New returns an empty Pool.
func New(cfg Config) *Pool {
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = maxLarge
	}
	if cfg.ResponseStallTimeout == 0 {
		cfg.ResponseStallTimeout = answerTime
	}
	p := &Pool{cfg: cfg, now: time.Now, targets: map[string]*target{}}
	p.large.Set(cfg.LargeResponseBytes)
	return p
}

// Limit changes the bounds of the Pool. Connections over a lower bound end with
// the attempts that are out on them; idle ones are closed at once.
func (p *Pool) SetLimits(maxConns int, largeBytes int64) {
	p.large.Set(largeBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxConns = maxConns
	for p.open > maxConns && p.idle.Len() > 0 {
		p.drop(p.idle.Front().Of)
	}
}

// Streams tells whether long answers, and bodies without room, are passed on while
// they come.
func (p *Pool) StreamingEnabled() bool { return p.cfg.MaxStreamBytes > 0 }

// Bound is how many connections there may be.
func (p *Pool) MaxConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.MaxConns
}

// Set makes name known under t. If it was known otherwise, the connections to
// what it was are closed: they lead to a dead process or a former address.
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

// Remove forgets name and closes its idle connections.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.targets[name]; old != nil {
		p.retire(old)
		delete(p.targets, name)
	}
}

// Keep removes all names but those that it is told to keep.
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

func (p *Pool) retire(t *target) {
	t.gone = true
	for len(t.idle) > 0 {
		p.drop(t.idle[len(t.idle)-1])
	}
}

// Names are the endpoints that can be sent to, sorted.
func (p *Pool) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.targets))
}

// Open is the number of connections, those being dialled included.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Spread is how many endpoints connections are open to, and the most to one.
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

// idleMargin is the part of the endpoints' idle limit after which a connection
// is no longer used: a request that meets an endpoint closing it would be a
// reset, which an unsafe request does not survive.
const idleMargin = 0.8

func (p *Pool) idleLimit() time.Duration {
	return time.Duration(float64(p.cfg.IdleTimeout) * idleMargin)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.chunks.trim()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
}

func (p *Pool) sweep(now time.Time) {
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Of
		if now.Sub(c.idleSince) < p.idleLimit() {
			return
		}
		p.note(c)
		p.drop(c)
	}
}

const (
	// unrulyTime is how long bytes that belong to no request make connections rest
	// unrulyRest times as long. Who sends them does so again, and each is a chance to
	// give a caller another one's answer.
	unrulyTime = 30 * time.Second
	unrulyRest = 5

	// restless is how long a connection may have been idle to be as good as in
	// use: whatever closes idle ones on the way has longer to wait.
	restless = 100 * time.Millisecond

	// doubtTime is how long one dead connection casts doubt on the others. It
	// is some lives of a connection, so that a trouble that goes on is met by
	// the requests that bear it, and one that has gone is forgotten.
	doubtTime = 10 * time.Second
)

// rest is how long a connection rests now.
func (p *Pool) rest(now time.Time) time.Duration {
	if now.Before(p.unruly) {
		return unrulyRest * p.cfg.ReuseDelay
	}
	return p.cfg.ReuseDelay
}

// note looks whether an idle connection that is given up has brought more than it should;
// the mutex is held.
func (p *Pool) note(c *conn) {
	if p.cfg.ReuseDelay > 0 && (c.in.Buffered() > 0 || c.look.State() == sock.DataPending) {
		p.unruly = time.Now().Add(unrulyTime)
	}
}

// suspect books that a connection which had been idle broke under the next
// request before any answer: its endpoint, or something on the way, had let go
// of it unseen. For a while what must not be sent twice does not go on
// connections that have been idle. It guards as well against idle limits
// shorter than the settings tell, and against processes replaced behind one
// address. Where breaks have other causes it costs those requests a new
// connection each, a few per cent of an endpoint's work.
func (p *Pool) suspect(c *conn, sent time.Time) {
	if c.idleSince.IsZero() || sent.Sub(c.idleSince) < restless {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubt = time.Now().Add(doubtTime)
}

// drop closes an idle connection.
func (p *Pool) drop(c *conn) {
	for i := len(c.target.idle) - 1; i >= 0; i-- {
		if c.target.idle[i] == c {
			c.target.idle = append(c.target.idle[:i], c.target.idle[i+1:]...)
			break
		}
	}
	p.idle.Remove(&c.place)
	p.ended(c.target)
	c.Close()
}

// taken is what there is for an attempt: an idle connection, or none and the target to
// dial, with room made for one more connection. Both are nil if there is no such endpoint
// or no room.
type taken struct {
	c    *conn
	t    *target
	rest time.Duration // that c still needs before it is used; it may not stand any more then

	// fresh brings another connection meanwhile, if one is dialled beside.
	fresh <-chan *conn
}

// take returns an idle connection to name that still stands, or what there is instead. For
// once, see Request.
func (p *Pool) take(name string, once bool) taken {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	if t == nil {
		return taken{}
	}
	now := time.Now()
	p.sweep(now)
	if p.cfg.ReuseDelay > 0 {
		t.use.count(now, p.idleLimit())
	}
	if len(t.idle) > 0 {
		c := t.idle[0] // the one idle longest: while it rests so do all the others
		if rest := p.rest(now) - now.Sub(c.idleSince); rest > 0 {
			t.idle = slices.Delete(t.idle, 0, 1)
			p.idle.Remove(&c.place)
			return taken{c, t, rest, p.beside(t, now)}
		}
	}
	for least := p.rest(now); ; {
		i := t.rested(now, least)
		if i < 0 {
			break
		}
		c := t.idle[i]
		// One that is doubted is closed: the new one takes its place.
		doubted := once && now.Before(p.doubt) && now.Sub(c.idleSince) >= restless
		if doubted || !c.quiet() {
			p.note(c)
			p.drop(c)
			if doubted {
				break
			}
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		p.idle.Remove(&c.place)
		return taken{c: c, t: t}
	}
	if p.open >= p.cfg.MaxConns {
		oldest := p.idle.Front()
		if oldest == nil {
			return taken{}
		}
		p.drop(oldest.Of)
	}
	p.open++
	t.open++
	return taken{t: t}
}

// give takes a connection back for further use; answered tells that its endpoint has just
// answered on it.
func (p *Pool) give(c *conn, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if answered {
		p.reached.note(c.target, now)
	}
	if c.target.gone || p.closed || p.open > p.cfg.MaxConns {
		p.ended(c.target)
		c.Close()
		return
	}
	c.idleSince = now
	p.idle.PushBack(&c.place)
	c.target.idle = append(c.target.idle, c)
}

// lose closes a connection that cannot be used again. What it has brought behind a sound
// answer counts as stray.
func (p *Pool) lose(c *conn, sound bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sound {
		p.note(c)
	}
	c.Close()
	p.ended(c.target)
}

// forget books that a connection to t, or the dialling of one, has ended.
func (p *Pool) forget(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended(t)
}

// ended is forget with the mutex held.
func (p *Pool) ended(t *target) {
	p.open--
	t.open--
}

// Close closes the idle connections; those in use close when they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the connections that no attempt is out on.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		p.drop(e.Of)
	}
}
