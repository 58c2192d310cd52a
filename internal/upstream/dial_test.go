package upstream

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gorselink/balance"
)

// The result of a failed dial depends on its error, the number of failures and recent events
// of other endpoints.
func TestClassifyDialFailure(t *testing.T) {
	const shouldRedial = balance.OK
	for _, c := range []struct {
		name         string
		errno        syscall.Errno
		failures     int
		onlyTarget   bool // the Pool has no other endpoint
		otherReached bool // another endpoint was contacted after the first failure
		otherFailed  bool // another endpoint could not be dialled
		want         balance.Result
	}{
		{"refused", syscall.ECONNREFUSED, 1, false, false, true, balance.ConnectError},
		{"local, transient", syscall.EMFILE, transientRedials, false, true, false, shouldRedial},
		{"local, other reached", syscall.EMFILE, transientRedials + 1, false, true, false, balance.NotSent},
		{"local, nothing known", syscall.EMFILE, transientRedials + 1, false, false, false, shouldRedial},
		{"local, only target", syscall.EMFILE, transientRedials + 1, true, false, false, shouldRedial},
		{"ambiguous, transient", syscall.ENETUNREACH, transientRedials, false, true, false, shouldRedial},
		{"ambiguous, other reached", syscall.ENETUNREACH, transientRedials + 1, false, true, false, balance.ConnectError},
		{"ambiguous, other reached and failed", syscall.ENETUNREACH, transientRedials + 1, false, true, true, balance.ConnectError},
		{"ambiguous, other failed", syscall.EHOSTUNREACH, transientRedials + 1, false, false, true, shouldRedial},
		{"ambiguous, nothing known", syscall.EHOSTUNREACH, transientRedials + 1, false, false, false, balance.NotSent},
		{"ambiguous, only target", syscall.EHOSTUNREACH, transientRedials + 1, true, false, false, shouldRedial},
	} {
		p := New(Config{MaxConns: 8})
		p.Set("tested", Target{Address: "127.0.0.1:1"})
		if !c.onlyTarget {
			p.Set("other", Target{Address: "127.0.0.1:2"})
		}
		endpoint, other := p.targets["tested"], p.targets["other"]
		now := time.Now()
		d := &redial{firstFailure: now.Add(-time.Millisecond), failures: c.failures}
		p.contacts.record(endpoint, now) // contact with the tested endpoint itself is ignored
		if c.otherReached {
			p.contacts.record(other, now)
		}
		if c.otherFailed {
			p.dialFailures.record(other, now)
		}
		d.checkOthers(p, endpoint)
		if got := p.classifyDialFailure(endpoint, c.errno, d); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Contacts before the first failure and dial failures long before it are ignored.
func TestOldContactsAreIgnored(t *testing.T) {
	p := New(Config{MaxConns: 8})
	p.Set("tested", Target{Address: "127.0.0.1:1"})
	p.Set("other", Target{Address: "127.0.0.1:2"})
	endpoint, other := p.targets["tested"], p.targets["other"]
	now := time.Now()
	p.contacts.record(other, now.Add(-time.Millisecond))
	p.dialFailures.record(other, now.Add(-2*sameCauseWindow))
	d := &redial{firstFailure: now, failures: transientRedials + 1}
	d.checkOthers(p, endpoint)
	if got := p.classifyDialFailure(endpoint, syscall.ENETUNREACH, d); got != balance.NotSent {
		t.Errorf("%v, want %v", got, balance.NotSent)
	}
}

// The delays double from minRedialDelay to maxRedialDelay, and redials end after half of the
// time until the deadline.
func TestRedialDelaysAreBounded(t *testing.T) {
	p := New(Config{MaxConns: 8})
	p.Set("tested", Target{Address: "127.0.0.1:1"})
	var d redial
	want := minRedialDelay
	deadline := time.Now().Add(testTimeout)
	for range 10 {
		if shouldRedial, _ := d.recordFailure(p, p.targets["tested"], syscall.EMFILE, deadline); !shouldRedial || d.delay != want {
			t.Fatalf("delay %v, redial %t, want %v", d.delay, shouldRedial, want)
		}
		want = min(2*want, maxRedialDelay)
	}
	d.redialUntil = time.Now().Add(d.delay)
	if shouldRedial, result := d.recordFailure(p, p.targets["tested"], syscall.EMFILE, deadline); shouldRedial || result != balance.NotSent {
		t.Errorf("after redialUntil: redial %t, result %v, want NotSent", shouldRedial, result)
	}
}

// A dial that timed out within minDialTime does not count against an endpoint that had contact
// recently: its caller had too little time. All other failed dials count.
func TestDialWithTooLittleTime(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		name         string
		err          error
		dialed       time.Duration // how long the dial took
		sinceContact time.Duration
		want         balance.Result
	}{
		{"little time, recent contact", timeout, minDialTime / 10, recentContact / 10, balance.NotSent},
		{"little time, no recent contact", timeout, minDialTime / 10, 2 * recentContact, balance.ConnectError},
		{"enough time", timeout, 2 * minDialTime, recentContact / 10, balance.ConnectError},
		{"refused", syscall.ECONNREFUSED, minDialTime / 10, recentContact / 10, balance.ConnectError},
	} {
		p := New(Config{MaxConns: 8})
		p.Set("tested", Target{Address: "127.0.0.1:1"})
		now := time.Now()
		p.noteContact(p.targets["tested"], now.Add(-c.sinceContact))
		d := redial{began: now.Add(-c.dialed)}
		if shouldRedial, result := d.recordFailure(p, p.targets["tested"], c.err, now); shouldRedial || result != c.want {
			t.Errorf("%s: redial %t, result %v, want %v", c.name, shouldRedial, result, c.want)
		}
	}
}
