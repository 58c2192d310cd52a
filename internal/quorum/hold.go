package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gorselink/lease"
)

// Grant is what a duty has of its lease.
type Grant struct {
	Epoch lease.Epoch // all that the duty does carries it
	Value []byte      // what the holder before has kept

	hold *hold
}

// Progress tells that the duty goes on. Where the lease is held with a Stall, a duty
// that tells none for so long loses its lease.
func (g *Grant) Progress() { g.hold.do(func(now time.Duration) { g.hold.h.Progress(now) }) }

// Keep keeps a value for the next holder, told with the release.
func (g *Grant) Keep(value []byte) { g.hold.do(func(time.Duration) { g.hold.h.Leave(value) }) }

// Put keeps a value now, so that it is there also if this process dies.
func (g *Grant) Put(ctx context.Context, value []byte) error {
	r, err := g.hold.c.Do(ctx, lease.Command{Kind: lease.Put, Lease: g.hold.cfg.Lease, Client: g.hold.cfg.Client, Epoch: g.Epoch, Value: value})
	if err != nil {
		return err
	}
	return r.Err
}

// Until is when the claim ends if nothing is heard any more, by Now, and whether it is
// held at this moment.
func (g *Grant) ClaimEnd() (at time.Duration, held bool) {
	g.hold.mu.Lock()
	defer g.hold.mu.Unlock()
	e, until, ok := g.hold.h.Claims(Now())
	return until, ok && e == g.Epoch
}

// Left is for how long the claim lasts if nothing is heard any more; 0 once it is over.
func (g *Grant) Remaining() time.Duration {
	if until, held := g.ClaimEnd(); held {
		return until - Now()
	}
	return 0
}

// Duty is what only the holder of a lease does. ctx ends some time before the claim does
// (HolderConfig.Grace); the duty must have ended by then.
type Duty func(ctx context.Context, g *Grant)

// hold drives a lease.Holder by the clock and the quorum.
type hold struct {
	c    *Client
	cfg  lease.HolderConfig
	duty Duty
	told func(why lease.Reason) // may be nil

	ctx  context.Context // of all it starts
	work sync.WaitGroup

	mu    sync.Mutex // the Holder is used under it
	h     *lease.Holder
	timer *time.Timer
	end   context.CancelFunc // of the duty that runs
	idle  chan struct{}      // closed when the last duty has ended
}

// Hold has the duty done whenever this process holds the lease, until ctx ends. It
// returns once the duty has ended and the lease is given back, or its time is over. told
// hears why a duty was ended; it may be nil.
func (c *Client) Hold(ctx context.Context, cfg lease.HolderConfig, duty Duty, told func(why lease.Reason)) {
	all, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if cfg.Draw == nil {
		cfg.Draw = rand.Float64
	}
	d := &hold{c: c, cfg: cfg, duty: duty, told: told, ctx: all}
	d.h = lease.NewHolder(cfg, d)
	watch, stopWatch := context.WithCancel(all)
	defer stopWatch()
	news := c.Watch(watch, cfg.Lease)
	d.do(d.h.Start)
	for {
		select {
		case r := <-news:
			if r.Holder == "" {
				d.do(d.h.Freed)
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	d.do(d.h.Stop)
	d.mu.Lock()
	idle := d.idle
	d.mu.Unlock()
	if idle != nil {
		<-idle
	}
	// The release is under way; it is worth a moment, not more than the lease itself.
	released := make(chan struct{})
	go func() { d.work.Wait(); close(released) }()
	t := time.NewTimer(cfg.Length)
	defer t.Stop()
	select {
	case <-released:
	case <-t.C:
	}
	d.mu.Lock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.mu.Unlock()
}

// do has the Holder do something.
func (d *hold) do(f func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(Now())
}

// Ask is of lease.Host; d.mu is held.
func (d *hold) Ask(number uint64, cmd lease.Command) {
	d.work.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.cfg.Length)
		defer cancel()
		r, err := d.c.Do(ctx, cmd)
		if err == nil {
			d.do(func(now time.Duration) { d.h.Answer(now, number, r) })
		}
	})
}

// Begin is of lease.Host; d.mu is held.
func (d *hold) Begin(e lease.Epoch, value []byte) {
	ctx, cancel := context.WithCancel(d.ctx)
	idle := make(chan struct{})
	d.end, d.idle = cancel, idle
	g := &Grant{Epoch: e, Value: value, hold: d}
	go func() {
		defer cancel()
		d.duty(ctx, g)
		d.do(d.h.Ended)
		close(idle)
	}()
}

// End is of lease.Host; d.mu is held.
func (d *hold) End(why lease.Reason) {
	if d.told != nil {
		d.told(why)
	}
	d.end()
}

// Wake is of lease.Host; d.mu is held.
func (d *hold) Wake(at time.Duration) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = time.AfterFunc(max(0, at-Now()), func() { d.do(d.h.Wake) })
}
