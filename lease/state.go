// Package lease implements leases that at most one client holds at a time. State is the
// state machine that the lease server replicates to every voter. Holder is the client's
// side and tracks when its claim ends. The package reads no clock, does no I/O and starts no
// goroutine: callers pass in times of their own monotonic clock, which are never sent.
//
// A claim is the time during which a holder may act under its lease. It lasts for the
// lease's length on the holder's clock, counted from before the request was sent. The
// leader of the lease server expires a lease only after the length plus a margin for clock
// drift, counted on its own clock from when it applied the last renewal or became
// leader. Both are later than the request, so no two claims on a lease overlap while the
// rates of the clocks differ by at most MaxClockDrift.
//
// Epochs are fencing tokens. They are part of the replicated state and grow with each
// grant, also across restarts and changes of leader.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Epoch numbers grants. Each grant has a higher epoch than all earlier grants of any lease.
type Epoch uint64

// Kind is the operation that a command performs.
type Kind uint8

const (
	Acquire Kind = iota + 1 // acquires a free lease, or repeats the client's own acquire
	Renew                   // extends the holder's claim
	Release                 // frees the lease
	Put                     // stores a value for the next holder
	Expire                  // sent by the leader: frees a lease that was not renewed in time
	Evict                   // sent by an operator: renewals by the holder are rejected from now on
)

var kindNames = [...]string{"none", "acquire", "renew", "release", "put", "expire", "evict"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Command is one entry of the lease server's log.
type Command struct {
	Kind   Kind          `json:"kind"`
	Lease  string        `json:"lease"`
	Client string        `json:"client,omitempty"` // unique to one run of a process: after a restart it is another client
	Length time.Duration `json:"length,omitempty"` // of Acquire
	Epoch  Epoch         `json:"epoch,omitempty"`  // of all kinds except Acquire
	Seq    uint64        `json:"seq,omitempty"`    // of Expire: the last renewal that the leader has seen
	Value  []byte        `json:"value,omitempty"`  // of Put and Release
}

// Limits of the state. A command that exceeds them is rejected and changes nothing.
const (
	MaxLeases     = 100_000
	MaxNameBytes  = 200
	MaxValueBytes = 4 << 10
	MinLength     = 100 * time.Millisecond
	MaxLength     = time.Hour
)

// Errors of commands. A result with ErrHeld or ErrStale carries the unchanged record.
var (
	ErrHeld           = errors.New("lease is held by another client")
	ErrStale          = errors.New("lease is not held with this epoch")
	ErrUnknownLease   = errors.New("lease does not exist")
	ErrInvalidCommand = errors.New("invalid command")
)

// Record is the replicated state of one lease.
type Record struct {
	Holder string        `json:"holder,omitempty"` // "" while the lease is free
	Epoch  Epoch         `json:"epoch"`            // of the current holder, or of the last one
	Seq    uint64        `json:"seq"`              // grows with each grant and renewal
	Length time.Duration `json:"length"`
	Value  []byte        `json:"value,omitempty"`
	Evict  bool          `json:"evict,omitempty"` // renewals by the holder are rejected
}

// State is the replicated state machine. The zero value has no leases. It changes only by
// Apply, in the order of the log, and by Restore.
type State struct {
	leases    map[string]*Record
	lastEpoch Epoch
}

// Result is the outcome of a command.
type Result struct {
	Err    error
	Record Record // after the command
}

// Apply executes a command. It is deterministic: the same commands in the same order
// produce the same state and results at every voter.
func (s *State) Apply(c Command) Result {
	if err := c.validate(); err != nil {
		return Result{Err: err}
	}
	r := s.leases[c.Lease]
	if r == nil {
		if c.Kind != Acquire {
			return Result{Err: ErrUnknownLease}
		}
		if len(s.leases) >= MaxLeases {
			return Result{Err: fmt.Errorf("%w: the limit of %d leases is reached", ErrInvalidCommand, MaxLeases)}
		}
		if s.leases == nil {
			s.leases = map[string]*Record{}
		}
		r = &Record{}
		s.leases[c.Lease] = r
	}
	return Result{Err: s.applyTo(r, &c), Record: r.clone()}
}

// applyTo applies a valid command to the record of its lease. On error the record is
// unchanged.
func (s *State) applyTo(r *Record, c *Command) error {
	heldByClient := r.Holder != "" && r.Holder == c.Client && r.Epoch == c.Epoch
	switch c.Kind {
	case Acquire:
		switch {
		case r.Holder == "":
			s.lastEpoch++
			*r = Record{Holder: c.Client, Epoch: s.lastEpoch, Seq: r.Seq + 1, Length: c.Length, Value: r.Value}
		case r.Holder == c.Client && !r.Evict:
			// The client repeats a request. The length stays, as the leader may already
			// be counting it.
			r.Seq++
		default:
			return ErrHeld
		}
		return nil
	case Expire:
		if r.Holder == "" || r.Epoch != c.Epoch || r.Seq != c.Seq {
			return ErrStale // renewed, released or granted again since the proposal
		}
		r.Holder, r.Evict = "", false
		return nil
	case Evict:
		if r.Holder == "" || r.Epoch != c.Epoch {
			return ErrStale
		}
		r.Evict = true
		return nil
	}
	if !heldByClient {
		return ErrStale
	}
	switch c.Kind {
	case Renew:
		if r.Evict {
			return ErrStale
		}
		r.Seq++
	case Put:
		r.Value = slices.Clone(c.Value)
	case Release:
		r.Holder, r.Evict = "", false
		if c.Value != nil {
			r.Value = slices.Clone(c.Value)
		}
	}
	return nil
}

func (c *Command) validate() error {
	switch {
	case c.Kind < Acquire || c.Kind > Evict:
		return fmt.Errorf("%w: unknown kind %v", ErrInvalidCommand, c.Kind)
	case c.Lease == "" || len(c.Lease) > MaxNameBytes:
		return fmt.Errorf("%w: lease name of %d bytes, want 1 to %d", ErrInvalidCommand, len(c.Lease), MaxNameBytes)
	case len(c.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes, want at most %d", ErrInvalidCommand, len(c.Value), MaxValueBytes)
	case c.Kind == Acquire && (c.Length < MinLength || c.Length > MaxLength):
		return fmt.Errorf("%w: lease length %v, want %v to %v", ErrInvalidCommand, c.Length, MinLength, MaxLength)
	case c.Kind != Expire && c.Kind != Evict && (c.Client == "" || len(c.Client) > MaxNameBytes):
		return fmt.Errorf("%w: client name of %d bytes, want 1 to %d", ErrInvalidCommand, len(c.Client), MaxNameBytes)
	}
	return nil
}

func (r *Record) clone() Record {
	c := *r
	c.Value = slices.Clone(r.Value)
	return c
}

// Get returns a copy of a lease's record, and whether the lease exists.
func (s *State) Get(name string) (Record, bool) {
	r := s.leases[name]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// Names returns the names of all leases, sorted.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.leases)) }

// snapshot is the encoded form of a State.
type snapshot struct {
	LastEpoch Epoch             `json:"last"` // may be higher than that of any record, and must not be granted again
	Leases    map[string]Record `json:"leases"`
}

// Snapshot encodes the whole state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{LastEpoch: s.lastEpoch, Leases: map[string]Record{}}
	for name, r := range s.leases {
		out.Leases[name] = *r
	}
	return json.Marshal(out) // sorts map keys
}

// Restore replaces the state by an encoded snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("lease: decode snapshot: %w", err)
	}
	leases := make(map[string]*Record, len(in.Leases))
	for name, r := range in.Leases {
		if r.Epoch > in.LastEpoch {
			return fmt.Errorf("lease: invalid snapshot: lease %s has epoch %d, above the last granted epoch %d", name, r.Epoch, in.LastEpoch)
		}
		leases[name] = &r
	}
	s.leases, s.lastEpoch = leases, in.LastEpoch
	return nil
}

// MaxClockDrift is the largest difference in rate between two clocks for which claims do
// not overlap. ExpiryDelay adds twice this share, to cover clock adjustments as well.
const MaxClockDrift = 0.01

// ExpiryDelay returns how long the leader waits on its own clock before it expires a lease
// of the given length.
func ExpiryDelay(length time.Duration) time.Duration {
	return length + time.Duration(2*MaxClockDrift*float64(length)) + time.Millisecond
}

// ExpiryTracker records when the leader applied the last grant or renewal of each lease, on
// its own clock. It is valid for one term of leadership: a new leader creates a new tracker,
// which counts every lease from then on.
type ExpiryTracker struct {
	observed map[string]observation
}

type observation struct {
	epoch      Epoch
	seq        uint64
	observedAt time.Duration
	proposed   bool // an Expire command has been proposed
}

// NewExpiryTracker returns the tracker for a term that begins now. All entries committed in
// earlier terms must have been applied to s.
func NewExpiryTracker(s *State, now time.Duration) *ExpiryTracker {
	t := &ExpiryTracker{observed: map[string]observation{}}
	for name, r := range s.leases {
		t.observe(name, r, now)
	}
	return t
}

// observe restarts the expiry delay of a lease whose record has changed, and removes a free lease.
func (t *ExpiryTracker) observe(name string, r *Record, now time.Duration) {
	if r.Holder == "" {
		delete(t.observed, name)
		return
	}
	if o, ok := t.observed[name]; !ok || o.epoch != r.Epoch || o.seq != r.Seq {
		t.observed[name] = observation{epoch: r.Epoch, seq: r.Seq, observedAt: now}
	}
}

// CommandApplied reports that a command for the named lease has been applied to s.
func (t *ExpiryTracker) CommandApplied(s *State, name string, now time.Duration) {
	if r := s.leases[name]; r != nil {
		t.observe(name, r, now)
	}
}

// Due returns the Expire commands to propose now, and the time of the next call. It
// returns each command once, or again after ProposalDropped.
func (t *ExpiryTracker) Due(s *State, now time.Duration) (expire []Command, next time.Duration) {
	next = now + MaxLength
	for _, name := range slices.Sorted(maps.Keys(t.observed)) {
		o, r := t.observed[name], s.leases[name]
		if at := o.observedAt + ExpiryDelay(r.Length); at > now {
			next = min(next, at)
		} else if !o.proposed {
			o.proposed = true
			t.observed[name] = o
			expire = append(expire, Command{Kind: Expire, Lease: name, Epoch: o.epoch, Seq: o.seq})
		}
	}
	return expire, next
}

// ProposalDropped reports that the Expire command for a lease was not accepted into the
// log. Due then returns it again.
func (t *ExpiryTracker) ProposalDropped(name string) {
	if o, ok := t.observed[name]; ok {
		o.proposed = false
		t.observed[name] = o
	}
}

// Fence belongs to a resource that lease holders act on. It rejects holders with an
// outdated epoch. The zero value has seen no epoch.
type Fence struct{ highest Epoch }

// Admit reports whether an operation with this epoch is allowed: the epoch is valid and no
// operation with a higher one has been seen.
func (f *Fence) Admit(e Epoch) bool {
	ok := e > 0 && e >= f.highest
	f.highest = max(f.highest, e)
	return ok
}
