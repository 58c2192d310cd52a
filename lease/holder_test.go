package lease

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// desk is a Host that writes down what a Holder does.
type desk struct {
	asks  []Command
	begun []Epoch
	ended []Reason
	wake  time.Duration
}

func (d *desk) Ask(_ uint64, c Command) { d.asks = append(d.asks, c) }
func (d *desk) Begin(e Epoch, _ []byte) { d.begun = append(d.begun, e) }
func (d *desk) End(why Reason)          { d.ended = append(d.ended, why) }
func (d *desk) Wake(at time.Duration)   { d.wake = at }
func (d *desk) asked(k Kind) (n int) {
	return len(slices.DeleteFunc(slices.Clone(d.asks), func(c Command) bool { return c.Kind != k }))
}
func granted(e Epoch, seq uint64) Reply {
	return Reply{Record: Record{Holder: "me", Epoch: e, Seq: seq, Length: time.Second}}
}
func newDesk(stall time.Duration) (*Holder, *desk) {
	d := &desk{}
	return NewHolder(HolderConfig{Lease: "l", Client: "me", Length: time.Second, Grace: 100 * ms, Stall: stall, RetryInterval: 200 * ms, Draw: func() float64 { return 0.5 }}, d), d
}

// wakeUntil wakes the Holder whenever it has asked for it.
func wakeUntil(h *Holder, d *desk, until time.Duration, at func(now time.Duration)) {
	for n := 0; d.wake < until; n++ {
		now := d.wake
		d.wake = until
		if at != nil {
			at(now)
		}
		if h.Wake(now); n > 1000 {
			panic("it wakes without end")
		}
	}
}

// Answers that come late grant what is left since they were asked, however many come at
// once and in whatever order; one that comes too late gives the lease back.
func TestLateAnswersGrantNothing(t *testing.T) {
	h, d := newDesk(0)
	h.Start(0)
	wakeUntil(h, d, 950*ms, nil) // five tries without an answer
	asks := h.number
	if asks != 5 || d.asked(Acquire) != 5 {
		t.Fatalf("%d tries", asks)
	}
	for n := range asks { // all at once, the first one asked at 0: 50 ms are left, and the grace is longer
		h.Answer(950*ms, asks-n, granted(7, n))
	}
	if len(d.begun) != 1 {
		t.Fatalf("begun %v, want once", d.begun)
	}
	if _, until, ok := h.Claims(950 * ms); !ok || until > 800*ms+time.Second {
		t.Errorf("claim until %v, want a second after the last try at 800 ms at most", until)
	}
	// Renewals that are answered after the claim's end bring nothing back.
	wakeUntil(h, d, 1801*ms, nil)
	last := h.number
	if d.asked(Renew) == 0 || !slices.Equal(d.ended, []Reason{Unheard}) {
		t.Fatalf("%d renewals asked, ended %v", d.asked(Renew), d.ended)
	}
	h.Answer(1802*ms, last, granted(7, 9))
	if e, until, ok := h.Claims(1802 * ms); ok {
		t.Errorf("claims %d until %v after its end", e, until)
	}
	h.Ended(1900 * ms)
	if d.asked(Release) != 0 {
		t.Error("a lease that was over is released")
	}
	// Too late even to begin.
	h2, d2 := newDesk(0)
	h2.Start(0)
	h2.Answer(901*ms, 1, granted(3, 1))
	if len(d2.begun) != 0 || d2.asked(Release) != 1 {
		t.Errorf("begun %v, %d releases, want none and one", d2.begun, d2.asked(Release))
	}
	h2.Answer(902*ms, 1, granted(3, 1)) // twice
	if d2.asked(Release) != 1 {
		t.Error("an answer that came twice counts twice")
	}
}

// A duty that makes no progress is told to end, and loses its lease even if it does not
// heed that: the process itself is well and hears the quorum all the time.
func TestStalledDutyGivesWay(t *testing.T) {
	h, d := newDesk(300 * ms)
	h.Start(0)
	h.Answer(0, 1, granted(1, 1))
	if len(d.begun) != 1 {
		t.Fatal("not begun")
	}
	renewed := time.Duration(0)
	answer := func(now time.Duration) {
		if now <= 2*time.Second {
			h.Progress(now)
		}
		for n := range h.asked {
			if h.asked[n].kind == Renew {
				renewed = h.asked[n].at
				h.Answer(now, n, granted(1, 2))
			}
		}
	}
	wakeUntil(h, d, 5*time.Second, answer)
	if !slices.Equal(d.ended, []Reason{Stalled}) {
		t.Errorf("ended %v, want stalled, once", d.ended)
	}
	if _, until, ok := h.Claims(5 * time.Second); ok || until > 2*time.Second+300*ms+time.Second || renewed < time.Second {
		t.Errorf("claim until %v, last renewed at %v, want it over a length after the stall", until, renewed)
	}
}

// The quorum's no ends the duty; an answer about an earlier claim does not.
func TestReplacedOnlyByItsOwnAnswer(t *testing.T) {
	h, d := newDesk(0)
	h.Start(0)
	h.Answer(0, 1, granted(4, 1))
	wakeUntil(h, d, 400*ms, nil)
	n := h.number
	h.Answer(400*ms, n, Reply{Err: ErrStale, Record: Record{Holder: "other", Epoch: 3}})
	if len(d.ended) != 0 {
		t.Error("ended by the answer about another epoch")
	}
	wakeUntil(h, d, 500*ms, nil)
	h.Answer(500*ms, h.number, Reply{Err: ErrStale, Record: Record{Epoch: 4}})
	if !slices.Equal(d.ended, []Reason{Replaced}) {
		t.Errorf("ended %v", d.ended)
	}
}

// What the state takes and refuses.
func TestState(t *testing.T) {
	var s State
	do := func(c Command) Reply { return s.Apply(c) }
	acquire := func(client string) Command {
		return Command{Kind: Acquire, Lease: "l", Client: client, Length: time.Second}
	}
	a := do(acquire("a"))
	if a.Err != nil || a.Record.Epoch != 1 {
		t.Fatal(a)
	}
	for _, c := range []struct {
		do   Command
		want error
	}{
		{acquire("b"), ErrHeld},
		{acquire("a"), nil}, // its first answer was lost
		{Command{Kind: Renew, Lease: "l", Client: "b", Epoch: 1}, ErrStale},
		{Command{Kind: Renew, Lease: "l", Client: "a", Epoch: 2}, ErrStale},
		{Command{Kind: Expire, Lease: "l", Epoch: 1, Seq: 1}, ErrStale}, // renewed since
		{Command{Kind: Put, Lease: "l", Client: "a", Epoch: 1, Value: []byte("v")}, nil},
		{Command{Kind: Renew, Lease: "m", Client: "a", Epoch: 1}, ErrUnknown},
		{Command{Kind: Acquire, Lease: "m", Client: "a"}, ErrBounds},
		{Command{Kind: 99, Lease: "l"}, ErrBounds},
		{Command{Kind: Put, Lease: "l", Client: "a", Epoch: 1, Value: make([]byte, MostValue+1)}, ErrBounds},
		{Command{Kind: Evict, Lease: "l", Epoch: 1}, nil},
		{Command{Kind: Renew, Lease: "l", Client: "a", Epoch: 1}, ErrStale},
		{acquire("a"), ErrHeld},
		{Command{Kind: Expire, Lease: "l", Epoch: 1, Seq: 2}, nil},
		{Command{Kind: Release, Lease: "l", Client: "a", Epoch: 1}, ErrStale},
		{acquire("b"), nil},
	} {
		if r := do(c.do); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.do, r.Err, c.want)
		}
	}
	if r, _ := s.Get("l"); r.Epoch != 2 || string(r.Value) != "v" || r.Holder != "b" {
		t.Errorf("%+v, want epoch 2 and the value of the holder before", r)
	}
	// A snapshot keeps the last epoch also of what nobody holds.
	do(Command{Kind: Release, Lease: "l", Client: "b", Epoch: 2})
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var o State
	if err := o.Restore(text); err != nil {
		t.Fatal(err)
	}
	if r := o.Apply(acquire("c")); r.Record.Epoch != 3 {
		t.Errorf("epoch %d after a snapshot, want 3", r.Record.Epoch)
	}
	if err := o.Restore([]byte(`{"last":1,"leases":{"l":{"epoch":2}}}`)); err == nil {
		t.Error("a snapshot that has lost epochs is taken")
	}
	var f Fence
	for i, c := range []struct {
		e    Epoch
		want bool
	}{{0, false}, {2, true}, {2, true}, {1, false}, {5, true}, {4, false}} {
		if f.Admit(c.e) != c.want {
			t.Errorf("act %d with epoch %d: want %v", i, c.e, c.want)
		}
	}
}
