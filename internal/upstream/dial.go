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

// faultSource is the cause of a dial failure.
type faultSource int

const (
	endpointFault  faultSource = iota // connection refused or reset, or timeout
	localFault                        // resource shortage or restriction on this machine
	ambiguousFault                    // one of the two, see Pool.classifyDialFailure
)

// localErrnos are errors of this machine that occur before anything is sent.
var localErrnos = [...]syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, // no free port
	syscall.EPERM, syscall.EACCES, // firewall rule of this machine
}

// ambiguousErrnos mean that this machine has lost its network or that the endpoint cannot be
// reached. ETIMEDOUT does not mean that a dial has timed out, because the kernel's connect timeout
// is longer than that of any dial.
var ambiguousErrnos = [...]syscall.Errno{
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.ETIMEDOUT,
}

func classifyFault(err error) faultSource {
	for _, e := range localErrnos {
		if errors.Is(err, e) {
			return localFault
		}
	}
	for _, e := range ambiguousErrnos {
		if errors.Is(err, e) {
			return ambiguousFault
		}
	}
	return endpointFault
}

const (
	// Backoff between dials to the same endpoint.
	minRedialDelay, maxRedialDelay = 5 * time.Millisecond, 100 * time.Millisecond

	// transientRedials is the number of redials after which a failure is no longer assumed to be
	// transient. They take 15 ms, less than a retry at another endpoint may cost.
	transientRedials = 2

	// minDialTime is the time in which a healthy endpoint accepts a connection. A dial with less
	// says nothing about an endpoint that had contact within recentContact.
	minDialTime   = 100 * time.Millisecond
	recentContact = 500 * time.Millisecond

	// sameCauseWindow is the time within which dial failures to two endpoints are attributed
	// to the same cause.
	sameCauseWindow = 200 * time.Millisecond
)

// targetEvent is the last event of one endpoint, such as a successful contact.
type targetEvent struct {
	target *target
	at     time.Time
}

// recentEvents holds the last events of two different endpoints, so that for any given endpoint it
// has an event of another one.
type recentEvents [2]targetEvent

func (e *recentEvents) record(t *target, now time.Time) {
	if e[0].target != t {
		e[1] = e[0]
	}
	e[0] = targetEvent{t, now}
}

// hasOther reports whether an endpoint other than t has had an event since the given time.
func (e *recentEvents) hasOther(t *target, since time.Time) bool {
	for _, event := range e {
		if event.target != nil && event.target != t && !event.at.Before(since) {
			return true
		}
	}
	return false
}

// redial is the state of the repeated dials of one attempt.
type redial struct {
	began        time.Time // time of the current dial
	firstFailure time.Time // time of the first failed dial
	failures     int
	delay        time.Duration // before the next dial
	redialUntil  time.Time     // no redial starts after it
	otherReached bool          // another endpoint was contacted between firstFailure and the last dial
}

// checkOthers updates otherReached before t is dialled again.
func (d *redial) checkOthers(p *Pool, t *target) {
	if d.failures > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		d.otherReached = p.contacts.hasOther(t, d.firstFailure)
	}
}

// recordFailure records a failed dial to t. It reports whether to dial again after d.delay; if
// not, it returns the result of the attempt.
func (d *redial) recordFailure(p *Pool, t *target, err error, deadline time.Time) (shouldRedial bool, result balance.Result) {
	now := time.Now()
	if d.failures++; d.failures == 1 {
		d.firstFailure, d.delay = now, minRedialDelay
		// The other half of the time is for attempts at other endpoints.
		d.redialUntil = now.Add(deadline.Sub(now) / 2)
	} else {
		d.delay = min(2*d.delay, maxRedialDelay)
	}
	if p.hadTooLittleTime(t, err, d.began) {
		return false, balance.NotSent
	}
	if result = p.classifyDialFailure(t, err, d); result == balance.OK {
		if now.Add(d.delay).Before(d.redialUntil) {
			return true, balance.OK
		}
		result = balance.NotSent
	}
	return false, result
}

// hadTooLittleTime reports whether a dial timed out only because its caller had too little time
// left, so that the endpoint is not at fault.
func (p *Pool) hadTooLittleTime(t *target, err error, began time.Time) bool {
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() || errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(began) < minDialTime && time.Since(t.contactAt) < recentContact
}

// classifyDialFailure returns balance.ConnectError if the endpoint is at fault, balance.NotSent if
// the attempt must end without counting against the endpoint, and balance.OK if the dial should
// be repeated. A local fault never counts against the endpoint.
func (p *Pool) classifyDialFailure(t *target, err error, d *redial) balance.Result {
	source := classifyFault(err)
	if source == endpointFault {
		return balance.ConnectError
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialFailures.record(t, time.Now())
	if d.failures <= transientRedials || len(p.targets) < 2 {
		return balance.OK
	}
	switch {
	case d.otherReached: // so the network of this machine works
		if source == ambiguousFault {
			return balance.ConnectError
		}
		return balance.NotSent
	case source == ambiguousFault && !p.dialFailures.hasOther(t, d.firstFailure.Add(-sameCauseWindow)):
		// The next attempt, at another endpoint, shows which side is at fault.
		return balance.NotSent
	}
	return balance.OK
}

// sleep waits before the next dial. It returns false if ctx ended meanwhile.
func (d *redial) sleep(ctx context.Context) bool {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// elapsed returns the time since the first failed dial, or 0 if none has failed.
func (d *redial) elapsed() time.Duration {
	if d.failures == 0 {
		return 0
	}
	return time.Since(d.firstFailure)
}

// dial opens a connection to t, which has already been counted as open.
func (p *Pool) dial(ctx context.Context, t *target, deadline time.Time) (*conn, error) {
	// TCP keep-alive is not needed: connections are idle for seconds at most.
	timeout, _ := p.Timeouts()
	var dialer Dialer = &net.Dialer{Timeout: timeout, Deadline: deadline, KeepAlive: -1}
	if p.cfg.Dialer != nil {
		dialer = p.cfg.Dialer
	}
	netConn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.connClosed(t)
		return nil, err
	}
	p.recordContact(t)
	return newConn(netConn, t), nil
}

// recordContact records a successful dial to t.
func (p *Pool) recordContact(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteContact(t, time.Now())
}

// noteContact records that an endpoint has responded or accepted a connection. p.mu must be held.
func (p *Pool) noteContact(t *target, now time.Time) {
	t.contactAt = now
	p.contacts.record(t, now)
}
