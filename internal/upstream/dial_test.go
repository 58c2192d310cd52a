package upstream

import (
	"syscall"
	"testing"
	"time"

	"gorselink/balance"
)

// What a failed dial is taken for, by its error, by how often it was repeated and by what is
// known of other endpoints at that moment. balance.OK is for nothing yet: it is repeated.
func TestWhoIsToBlameForAFailedDial(t *testing.T) {
	const again = balance.OK
	for _, c := range []struct {
		name      string
		errno     syscall.Errno
		failures  int
		alone     bool // no other endpoint is known
		reached   bool // another one was heard of since the first failure
		undialled bool // another one could not be dialled at that moment
		want      balance.Result
	}{
		{"refused", syscall.ECONNREFUSED, 1, false, false, true, balance.ConnectError},
		{"ours, for a moment", syscall.EMFILE, momentRedials, false, true, false, again},
		{"ours, others reached", syscall.EMFILE, momentRedials + 1, false, true, false, balance.NotSent},
		{"ours, nothing known", syscall.EMFILE, momentRedials + 1, false, false, false, again},
		{"ours, alone", syscall.EMFILE, momentRedials + 1, true, false, false, again},
		{"unclear, for a moment", syscall.ENETUNREACH, momentRedials, false, true, false, again},
		{"unclear, others reached", syscall.ENETUNREACH, momentRedials + 1, false, true, false, balance.ConnectError},
		{"unclear, some reached and some not", syscall.ENETUNREACH, momentRedials + 1, false, true, true, balance.ConnectError},
		{"unclear, others neither", syscall.EHOSTUNREACH, momentRedials + 1, false, false, true, again},
		{"unclear, nothing known", syscall.EHOSTUNREACH, momentRedials + 1, false, false, false, balance.NotSent},
		{"unclear, alone", syscall.EHOSTUNREACH, momentRedials + 1, true, false, false, again},
	} {
		p := New(Config{MaxConns: 8})
		p.Set("it", Target{Address: "127.0.0.1:1"})
		if !c.alone {
			p.Set("other", Target{Address: "127.0.0.1:2"})
		}
		it, other := p.targets["it"], p.targets["other"]
		now := time.Now()
		d := &redial{began: now.Add(-time.Millisecond), failures: c.failures}
		p.reached.note(it, now) // that of the endpoint itself says nothing
		if c.reached {
			p.reached.note(other, now)
		}
		if c.undialled {
			p.undialled.note(other, now)
		}
		d.look(p, it)
		if got := p.blame(it, c.errno, d); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// What was heard of others before the first failure, or long before, is no sign.
func TestOldContactsAreNoSign(t *testing.T) {
	p := New(Config{MaxConns: 8})
	p.Set("it", Target{Address: "127.0.0.1:1"})
	p.Set("other", Target{Address: "127.0.0.1:2"})
	it, other := p.targets["it"], p.targets["other"]
	now := time.Now()
	p.reached.note(other, now.Add(-time.Millisecond))
	p.undialled.note(other, now.Add(-2*sameMoment))
	d := &redial{began: now, failures: momentRedials + 1}
	d.look(p, it)
	if got := p.blame(it, syscall.ENETUNREACH, d); got != balance.NotSent {
		t.Errorf("%v, want %v", got, balance.NotSent)
	}
}

// The waits double from 5 ms to 100 ms, and end when half of the time is gone.
func TestRedialsAreBounded(t *testing.T) {
	p := New(Config{MaxConns: 8})
	p.Set("it", Target{Address: "127.0.0.1:1"})
	var d redial
	want := leastRedial
	deadline := time.Now().Add(patience)
	for range 10 {
		if again, _ := d.next(p, p.targets["it"], syscall.EMFILE, deadline); !again || d.wait != want {
			t.Fatalf("wait %v, again %t, want %v", d.wait, again, want)
		}
		want = min(2*want, mostRedial)
	}
	d.until = time.Now().Add(d.wait)
	if again, result := d.next(p, p.targets["it"], syscall.EMFILE, deadline); again || result != balance.NotSent {
		t.Errorf("once half of the time is gone: again %t, %v, want it not sent", again, result)
	}
}
