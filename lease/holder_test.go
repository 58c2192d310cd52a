package lease

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// recordingActions implements Actions and records the calls of a Holder.
type recordingActions struct {
	commands []Command
	started  []Epoch
	stopped  []Reason
	wakeAt   time.Duration
}

func (r *recordingActions) Send(_ uint64, c Command)    { r.commands = append(r.commands, c) }
func (r *recordingActions) StartTask(e Epoch, _ []byte) { r.started = append(r.started, e) }
func (r *recordingActions) StopTask(reason Reason)      { r.stopped = append(r.stopped, reason) }
func (r *recordingActions) WakeAt(at time.Duration)     { r.wakeAt = at }

// sent returns the number of commands of a kind.
func (r *recordingActions) sent(k Kind) (n int) {
	return len(slices.DeleteFunc(slices.Clone(r.commands), func(c Command) bool { return c.Kind != k }))
}

// granted returns the result of a successful acquire or renew command.
func granted(e Epoch, seq uint64) Result {
	return Result{Record: Record{Holder: "me", Epoch: e, Seq: seq, Length: time.Second}}
}
func newRecordedHolder(stallTimeout time.Duration) (*Holder, *recordingActions) {
	r := &recordingActions{}
	return NewHolder(HolderConfig{Lease: "l", Client: "me", Length: time.Second, Grace: 100 * ms, StallTimeout: stallTimeout, RetryInterval: 200 * ms, Rand: func() float64 { return 0.5 }}, r), r
}

// wakeUntil calls Wake at each scheduled time before until, and beforeWake, if not nil,
// before each call.
func wakeUntil(h *Holder, r *recordingActions, until time.Duration, beforeWake func(now time.Duration)) {
	for n := 0; r.wakeAt < until; n++ {
		now := r.wakeAt
		r.wakeAt = until
		if beforeWake != nil {
			beforeWake(now)
		}
		if h.Wake(now); n > 1000 {
			panic("the Holder schedules more than 1000 wake-ups")
		}
	}
}

// A late result must not extend a claim beyond the length counted from its request, in
// whatever order results arrive. A grant that arrives too late is released.
func TestLateResultsGrantNothing(t *testing.T) {
	h, r := newRecordedHolder(0)
	h.Start(0)
	wakeUntil(h, r, 950*ms, nil) // five acquire attempts without a result
	attempts := h.lastRequestID
	if attempts != 5 || r.sent(Acquire) != 5 {
		t.Fatalf("%d requests, want 5, all of them to acquire", attempts)
	}
	for n := range attempts { // the claim of the request at 0 would have 50 ms left, less than the grace
		h.HandleResult(950*ms, attempts-n, granted(7, n))
	}
	if len(r.started) != 1 {
		t.Fatalf("tasks started with epochs %v, want one", r.started)
	}
	if _, until, ok := h.Claim(950 * ms); !ok || until > 800*ms+time.Second {
		t.Errorf("claim until %v, want a valid one until 1.8 s at most, a length after the last attempt", until)
	}
	// Results of renewals that arrive after the end of the claim must not restore it.
	wakeUntil(h, r, 1801*ms, nil)
	last := h.lastRequestID
	if r.sent(Renew) == 0 || !slices.Equal(r.stopped, []Reason{QuorumTimeout}) {
		t.Fatalf("%d renewals sent, task stopped for %v", r.sent(Renew), r.stopped)
	}
	h.HandleResult(1802*ms, last, granted(7, 9))
	if e, until, ok := h.Claim(1802 * ms); ok {
		t.Errorf("claim with epoch %d until %v is valid after its end", e, until)
	}
	h.TaskEnded(1900 * ms)
	if r.sent(Release) != 0 {
		t.Error("a release is sent for a claim that has ended")
	}
	// With less than the grace left, the task must not start at all.
	h2, r2 := newRecordedHolder(0)
	h2.Start(0)
	h2.HandleResult(901*ms, 1, granted(3, 1))
	if len(r2.started) != 0 || r2.sent(Release) != 1 {
		t.Errorf("tasks started with epochs %v, %d releases, want none and one", r2.started, r2.sent(Release))
	}
	h2.HandleResult(902*ms, 1, granted(3, 1)) // the same result again
	if r2.sent(Release) != 1 {
		t.Error("a duplicate result is handled twice")
	}
}

// A stalled task must be requested to stop and must lose its claim even if it keeps running,
// although the process still gets results from the lease server.
func TestStalledTaskLosesItsClaim(t *testing.T) {
	h, r := newRecordedHolder(300 * ms)
	h.Start(0)
	h.HandleResult(0, 1, granted(1, 1))
	if len(r.started) != 1 {
		t.Fatal("the task is not started")
	}
	lastRenewal := time.Duration(0)
	respond := func(now time.Duration) {
		if now <= 2*time.Second {
			h.ReportProgress(now)
		}
		for id := range h.pending {
			if h.pending[id].kind == Renew {
				lastRenewal = h.pending[id].sentAt
				h.HandleResult(now, id, granted(1, 2))
			}
		}
	}
	wakeUntil(h, r, 5*time.Second, respond)
	if !slices.Equal(r.stopped, []Reason{Stalled}) {
		t.Errorf("task stopped for %v, want stalled, once", r.stopped)
	}
	if _, until, ok := h.Claim(5 * time.Second); ok || until > 2*time.Second+300*ms+time.Second || lastRenewal < time.Second {
		t.Errorf("claim until %v, last renewed at %v, want it to end within a length after the stall", until, lastRenewal)
	}
}

// A rejected renewal must stop the task, but only if it was for the current claim.
func TestOnlyRejectionOfCurrentClaimStopsTask(t *testing.T) {
	h, r := newRecordedHolder(0)
	h.Start(0)
	h.HandleResult(0, 1, granted(4, 1))
	wakeUntil(h, r, 400*ms, nil)
	id := h.lastRequestID
	h.HandleResult(400*ms, id, Result{Err: ErrStale, Record: Record{Holder: "other", Epoch: 3}})
	if len(r.stopped) != 0 {
		t.Error("a rejected renewal of another epoch stops the task")
	}
	wakeUntil(h, r, 500*ms, nil)
	h.HandleResult(500*ms, h.lastRequestID, Result{Err: ErrStale, Record: Record{Epoch: 4}})
	if !slices.Equal(r.stopped, []Reason{Replaced}) {
		t.Errorf("task stopped for %v, want replaced, once", r.stopped)
	}
}

// TestState checks the results of a sequence of commands, a snapshot and a Fence.
func TestState(t *testing.T) {
	var s State
	apply := func(c Command) Result { return s.Apply(c) }
	acquire := func(client string) Command {
		return Command{Kind: Acquire, Lease: "l", Client: client, Length: time.Second}
	}
	first := apply(acquire("a"))
	if first.Err != nil || first.Record.Epoch != 1 {
		t.Fatal(first)
	}
	for _, c := range []struct {
		command Command
		want    error
	}{
		{acquire("b"), ErrHeld},
		{acquire("a"), nil}, // repeated after a lost response
		{Command{Kind: Renew, Lease: "l", Client: "b", Epoch: 1}, ErrStale},
		{Command{Kind: Renew, Lease: "l", Client: "a", Epoch: 2}, ErrStale},
		{Command{Kind: Expire, Lease: "l", Epoch: 1, Seq: 1}, ErrStale}, // renewed since
		{Command{Kind: Put, Lease: "l", Client: "a", Epoch: 1, Value: []byte("v")}, nil},
		{Command{Kind: Renew, Lease: "m", Client: "a", Epoch: 1}, ErrUnknownLease},
		{Command{Kind: Acquire, Lease: "m", Client: "a"}, ErrInvalidCommand},
		{Command{Kind: 99, Lease: "l"}, ErrInvalidCommand},
		{Command{Kind: Put, Lease: "l", Client: "a", Epoch: 1, Value: make([]byte, MaxValueBytes+1)}, ErrInvalidCommand},
		{Command{Kind: Evict, Lease: "l", Epoch: 1}, nil},
		{Command{Kind: Renew, Lease: "l", Client: "a", Epoch: 1}, ErrStale},
		{acquire("a"), ErrHeld},
		{Command{Kind: Expire, Lease: "l", Epoch: 1, Seq: 2}, nil},
		{Command{Kind: Release, Lease: "l", Client: "a", Epoch: 1}, ErrStale},
		{acquire("b"), nil},
	} {
		if r := apply(c.command); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.command, r.Err, c.want)
		}
	}
	if r, _ := s.Get("l"); r.Epoch != 2 || string(r.Value) != "v" || r.Holder != "b" {
		t.Errorf("%+v, want holder b, epoch 2 and the value v of the previous holder", r)
	}
	// A snapshot must keep the last epoch even if no lease is held.
	apply(Command{Kind: Release, Lease: "l", Client: "b", Epoch: 2})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if r := restored.Apply(acquire("c")); r.Record.Epoch != 3 {
		t.Errorf("epoch %d after a snapshot, want 3", r.Record.Epoch)
	}
	if err := restored.Restore([]byte(`{"last":1,"leases":{"l":{"epoch":2}}}`)); err == nil {
		t.Error("a snapshot with an epoch above its last one is accepted")
	}
	var f Fence
	for i, c := range []struct {
		e    Epoch
		want bool
	}{{0, false}, {2, true}, {2, true}, {1, false}, {5, true}, {4, false}} {
		if f.Admit(c.e) != c.want {
			t.Errorf("operation %d with epoch %d: want admitted %v", i, c.e, c.want)
		}
	}
}
