// Package lease decides who alone holds a duty, and for how long by whose clock. It has
// two sides that meet only in messages: State, which a quorum keeps alike at every voter,
// and Holder, which asks for a lease and knows when its claim ends. Nothing here reads a
// clock, does I/O or starts a goroutine: times are those of the caller's own monotonic
// clock, and are never sent to anybody.
//
// A claim lasts for the lease's length on the holder's clock, counted from before it
// asked. The leader of the quorum gives a lease away only once the length and a margin
// for clocks of different rate have passed on its own clock since it learnt of the last
// renewal, or since it became leader: both are later than when the holder asked. So no
// two claims overlap while clocks run at most 1% apart in rate (promise 1). Epochs grow
// with each grant, over restarts and changes of leader, since they are part of the state
// (promise 2): whoever is acted upon refuses an older one, see Fence.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Epoch numbers grants. A later grant of any lease has a higher one.
type Epoch uint64

// Kind is what a command asks.
type Kind uint8

const (
	Acquire Kind = iota + 1 // to hold a lease that nobody holds, or that the client holds
	Renew                   // to go on holding it
	Release                 // to hold it no longer
	Put                     // to keep a value for the next holder
	Expire                  // of the leader: the holder's time is over
	Evict                   // of an operator: the holder is to be forgotten once its time is over
)

var kindNames = [...]string{"none", "acquire", "renew", "release", "put", "expire", "evict"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Command is one entry of the quorum's log.
type Command struct {
	Kind   Kind          `json:"kind"`
	Lease  string        `json:"lease"`
	Client string        `json:"client,omitempty"` // with its incarnation: a process that restarts is another client
	Length time.Duration `json:"length,omitempty"` // of Acquire
	Epoch  Epoch         `json:"epoch,omitempty"`  // of all but Acquire
	Seq    uint64        `json:"seq,omitempty"`    // of Expire: the renewal that the leader has waited out
	Value  []byte        `json:"value,omitempty"`  // of Put and Release
}

// What the state takes. A command beyond these bounds changes nothing.
const (
	MostLeases = 100_000
	MostName   = 200
	MostValue  = 4 << 10
	MinLength  = 100 * time.Millisecond
	MaxLength  = time.Hour
)

// Errors of commands. Held and Stale come with the Record as it is.
var (
	ErrHeld    = errors.New("held by another")
	ErrStale   = errors.New("no longer held with this epoch")
	ErrUnknown = errors.New("no such lease")
	ErrBounds  = errors.New("out of bounds")
)

// Record is one lease.
type Record struct {
	Holder string        `json:"holder,omitempty"` // "" while nobody has it
	Epoch  Epoch         `json:"epoch"`            // of the holder, or of the last one
	Seq    uint64        `json:"seq"`              // grows with each renewal
	Length time.Duration `json:"length"`
	Value  []byte        `json:"value,omitempty"`
	Evict  bool          `json:"evict,omitempty"` // the holder is not renewed any more
}

// State is what every voter keeps alike. The zero value is empty. It changes only by
// Apply, in the order of the log.
type State struct {
	leases map[string]*Record
	last   Epoch
}

// Reply is what a command has come to.
type Reply struct {
	Err    error
	Record Record // after it
}

// Apply carries out a command. The same commands in the same order give the same state
// and replies at every voter.
func (s *State) Apply(c Command) Reply {
	if err := c.check(); err != nil {
		return Reply{Err: err}
	}
	r := s.leases[c.Lease]
	if r == nil {
		if c.Kind != Acquire {
			return Reply{Err: ErrUnknown}
		}
		if len(s.leases) >= MostLeases {
			return Reply{Err: fmt.Errorf("%w: %d leases", ErrBounds, MostLeases)}
		}
		if s.leases == nil {
			s.leases = map[string]*Record{}
		}
		r = &Record{}
		s.leases[c.Lease] = r
	}
	return Reply{Err: s.change(r, &c), Record: r.clone()}
}

func (s *State) change(r *Record, c *Command) error {
	mine := r.Holder != "" && r.Holder == c.Client && r.Epoch == c.Epoch
	switch c.Kind {
	case Acquire:
		switch {
		case r.Holder == "":
			s.last++
			*r = Record{Holder: c.Client, Epoch: s.last, Seq: r.Seq + 1, Length: c.Length, Value: r.Value}
		case r.Holder == c.Client && !r.Evict:
			r.Seq++ // its first answer was lost; the length stays, as the leader may be counting it
		default:
			return ErrHeld
		}
		return nil
	case Expire:
		if r.Holder == "" || r.Epoch != c.Epoch || r.Seq != c.Seq {
			return ErrStale // renewed in between
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
	if !mine {
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

func (c *Command) check() error {
	switch {
	case c.Kind < Acquire || c.Kind > Evict:
		return fmt.Errorf("%w: %v", ErrBounds, c.Kind)
	case c.Lease == "" || len(c.Lease) > MostName:
		return fmt.Errorf("%w: a name of %d bytes, want 1 to %d", ErrBounds, len(c.Lease), MostName)
	case len(c.Value) > MostValue:
		return fmt.Errorf("%w: a value of %d bytes, want %d at most", ErrBounds, len(c.Value), MostValue)
	case c.Kind == Acquire && (c.Length < MinLength || c.Length > MaxLength):
		return fmt.Errorf("%w: a length of %v, want %v to %v", ErrBounds, c.Length, MinLength, MaxLength)
	case c.Kind != Expire && c.Kind != Evict && (c.Client == "" || len(c.Client) > MostName):
		return fmt.Errorf("%w: a client's name of %d bytes, want 1 to %d", ErrBounds, len(c.Client), MostName)
	}
	return nil
}

func (r *Record) clone() Record {
	c := *r
	c.Value = slices.Clone(r.Value)
	return c
}

// Get is a lease as it stands.
func (s *State) Get(name string) (Record, bool) {
	r := s.leases[name]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// Names are all leases, in order.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.leases)) }

// snapshot is a State as it is written.
type snapshot struct {
	Last   Epoch             `json:"last"` // also of leases that nobody holds: an epoch must not come back
	Leases map[string]Record `json:"leases"`
}

// Snapshot is the whole state; two that are alike have the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{Last: s.last, Leases: map[string]Record{}}
	for name, r := range s.leases {
		out.Leases[name] = *r
	}
	return json.Marshal(out) // writes maps in the order of their keys
}

// Restore replaces the state by a snapshot, or leaves it as it is with an error.
func (s *State) Restore(text []byte) error {
	var in snapshot
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("lease: snapshot: %w", err)
	}
	leases := make(map[string]*Record, len(in.Leases))
	for name, r := range in.Leases {
		if r.Epoch > in.Last {
			return fmt.Errorf("lease: snapshot: %s has epoch %d, the last one was %d", name, r.Epoch, in.Last)
		}
		leases[name] = &r
	}
	s.leases, s.last = leases, in.Last
	return nil
}

// Drift is how far clocks may run apart in rate. Twice of it is waited on top of a
// length, which leaves as much again for what the system's clock adjusts meanwhile.
const Drift = 0.01

// Patience is how long the leader waits, on its own clock, before it gives a lease of
// this length away.
func ExpiryDelay(length time.Duration) time.Duration {
	return length + time.Duration(2*Drift*float64(length)) + time.Millisecond
}

// Keeper is the leader's side: it knows when it learnt of each renewal, by its own clock,
// and which leases are over. It lives for one term of leadership: a new leader makes a
// new one, which counts every lease from then on.
type ExpiryTracker struct {
	seen map[string]seen
}

type seen struct {
	epoch Epoch
	seq   uint64
	since time.Duration
	asked bool // to expire
}

// NewKeeper is the keeper of a term that begins now, when all that was committed before
// has been applied to s.
func NewExpiryTracker(s *State, now time.Duration) *ExpiryTracker {
	k := &ExpiryTracker{seen: map[string]seen{}}
	for name, r := range s.leases {
		k.note(name, r, now)
	}
	return k
}

func (k *ExpiryTracker) note(name string, r *Record, now time.Duration) {
	if r.Holder == "" {
		delete(k.seen, name)
		return
	}
	if w, ok := k.seen[name]; !ok || w.epoch != r.Epoch || w.seq != r.Seq {
		k.seen[name] = seen{epoch: r.Epoch, seq: r.Seq, since: now}
	}
}

// Applied tells that a command about a lease has been applied.
func (k *ExpiryTracker) CommandApplied(s *State, name string, now time.Duration) {
	if r := s.leases[name]; r != nil {
		k.note(name, r, now)
	}
}

// Due are the commands that are to be proposed now, each once, and when to look again.
func (k *ExpiryTracker) Due(s *State, now time.Duration) (expire []Command, next time.Duration) {
	next = now + MaxLength
	for _, name := range slices.Sorted(maps.Keys(k.seen)) {
		w, r := k.seen[name], s.leases[name]
		if at := w.since + ExpiryDelay(r.Length); at > now {
			next = min(next, at)
		} else if !w.asked {
			w.asked = true
			k.seen[name] = w
			expire = append(expire, Command{Kind: Expire, Lease: name, Epoch: w.epoch, Seq: w.seq})
		}
	}
	return expire, next
}

// Forget lets what was proposed be proposed again: the engine has dropped it.
func (k *ExpiryTracker) ProposalDropped(name string) {
	if w, ok := k.seen[name]; ok {
		w.asked = false
		k.seen[name] = w
	}
}

// Fence is what whoever is acted upon keeps: the highest epoch that has come. The zero
// value has seen none.
type Fence struct{ highest Epoch }

// Admit tells whether an act with this epoch may be done: none with a higher one has
// been. It is refused otherwise, whatever the holder thinks.
func (f *Fence) Admit(e Epoch) bool {
	ok := e > 0 && e >= f.highest
	f.highest = max(f.highest, e)
	return ok
}
