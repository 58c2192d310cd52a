package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"gorselink/balance"
)

// Dialer opens connections to endpoints. A *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// fault is what the failure of a dial tells.
type fault int

const (
	ofEndpoint fault = iota // it has answered so, or not at all
	ofMachine               // nothing of the endpoint: something is short, or forbidden, here
	unclear                 // of either, see Pool.blame
)

// ofMachineErrors come from this machine alone, before anything is sent.
var ofMachineErrors = [...]syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, // no port is free
	syscall.EPERM, syscall.EACCES, // a rule of this machine
}

// unclearErrors may mean that this machine has lost its network for a moment, or that the
// endpoint is not to be reached. ETIMEDOUT is the system's, which waits for longer than any
// dial here: it comes at once or not at all.
var unclearErrors = [...]syscall.Errno{
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.ETIMEDOUT,
}

func faultOf(err error) fault {
	for _, e := range ofMachineErrors {
		if errors.Is(err, e) {
			return ofMachine
		}
	}
	for _, e := range unclearErrors {
		if errors.Is(err, e) {
			return unclear
		}
	}
	return ofEndpoint
}

const (
	// Waits before an endpoint is dialled again. A failure of the moment is over after the
	// first ones; what lasts is not asked for without a pause.
	leastRedial, mostRedial = 5 * time.Millisecond, 100 * time.Millisecond

	// momentRedials is how often a dial is repeated before a failure counts as one that
	// lasts: it takes 15 ms, which is less than going elsewhere may cost.
	momentRedials = 2

	// sameMoment is how long after a failed dial to one endpoint that of another one
	// counts as of the same cause.
	sameMoment = 200 * time.Millisecond
)

// contact is what connections have told of an endpoint last.
type contact struct {
	of *target
	at time.Time
}

// contacts are the last ones of two endpoints, so that there is always one that is not a
// given endpoint.
type contacts [2]contact

func (k *contacts) note(t *target, now time.Time) {
	if k[0].of != t {
		k[1] = k[0]
	}
	k[0] = contact{t, now}
}

// other tells whether there was contact with an endpoint that is not t since then.
func (k *contacts) other(t *target, since time.Time) bool {
	for _, c := range k {
		if c.of != nil && c.of != t && !c.at.Before(since) {
			return true
		}
	}
	return false
}

// redial is the dialling of one attempt that has failed on this machine at least once.
type redial struct {
	began    time.Time // when the first dial failed
	failures int
	wait     time.Duration // before the next dial
	until    time.Time     // no further dial after it
	others   bool          // another endpoint was heard of since began, before the last dial
}

// look looks for others, before t is dialled again.
func (d *redial) look(p *Pool, t *target) {
	if d.failures > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		d.others = p.reached.other(t, d.began)
	}
}

// next books a failed dial to t and tells what it means: to wait and dial again, or else
// the outcome of the attempt. In any case nothing has been sent.
func (d *redial) next(p *Pool, t *target, err error, deadline time.Time) (again bool, result balance.Result) {
	now := time.Now()
	if d.failures++; d.failures == 1 {
		d.began, d.wait = now, leastRedial
		// Later attempts, at other endpoints, have to have time as well.
		d.until = now.Add(deadline.Sub(now) / 2)
	} else {
		d.wait = min(2*d.wait, mostRedial)
	}
	if result = p.blame(t, err, d); result == balance.OK {
		if now.Add(d.wait).Before(d.until) {
			return true, balance.OK
		}
		result = balance.NotSent
	}
	return false, result
}

// blame tells what a failed dial says: balance.OK for nothing yet, so that it is repeated,
// balance.NotSent for nothing of the endpoint, and balance.ConnectError.
//
// What is short or forbidden on this machine says nothing of the endpoint ever. ENETUNREACH
// and its like are the endpoint's if another one had been heard of, since the dialling failed
// first, when it failed again: this machine has its network then. They are this machine's if another one could not be dialled
// in the same moment either. Where nothing is known the next attempt goes elsewhere, and
// shows it.
func (p *Pool) blame(t *target, err error, d *redial) balance.Result {
	kind := faultOf(err)
	if kind == ofEndpoint {
		return balance.ConnectError
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.undialled.note(t, time.Now())
	if d.failures <= momentRedials || len(p.targets) < 2 {
		return balance.OK
	}
	switch {
	case d.others:
		if kind == unclear {
			return balance.ConnectError
		}
		return balance.NotSent
	case kind == unclear && !p.undialled.other(t, d.began.Add(-sameMoment)):
		return balance.NotSent
	}
	return balance.OK
}

// pause waits before the next dial. It is false if ctx has ended.
func (d *redial) pause(ctx context.Context) bool {
	timer := time.NewTimer(d.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// lost is how long an attempt has been held up by dials that failed on this machine.
func (d *redial) lost() time.Duration {
	if d.failures == 0 {
		return 0
	}
	return time.Since(d.began)
}

// dial opens a connection to t. The place for it has been taken.
func (p *Pool) dial(ctx context.Context, t *target, deadline time.Time) (*conn, error) {
	// No TCP keep-alive: connections idle for seconds at most.
	var d Dialer = &net.Dialer{Timeout: p.cfg.DialTimeout, Deadline: deadline, KeepAlive: -1}
	if p.cfg.Dialer != nil {
		d = p.cfg.Dialer
	}
	nc, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.forget(t)
		return nil, err
	}
	p.hear(t)
	return newConn(nc, t), nil
}

// hear books that t has been connected to.
func (p *Pool) hear(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached.note(t, time.Now())
}
