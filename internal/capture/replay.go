package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"gorselink/balance"
)

// Tap stands between a pool and its Balancer: it passes on what the Balancer is told
// and what it decides, and writes both down in the order in which they happened. It is
// no safer for concurrent use than a Balancer.
type Recorder struct {
	b    *balance.Balancer
	host balance.Host
	to   func(*Event)
	e    Event // the one being written, used again
	now  time.Duration
}

// NewTap makes a Balancer whose events go to to, which must not keep them.
func NewRecorder(cfg balance.Config, seed uint64, host balance.Host, to func(*Event)) (*Recorder, error) {
	t := &Recorder{host: host, to: to}
	t.put(Event{Kind: Start, Seed: seed, Config: &cfg})
	var err error
	t.b, err = balance.New(cfg, seed, t)
	return t, err
}

func (t *Recorder) put(e Event) {
	e.At = t.now
	t.e = e
	t.to(&t.e)
}

// Retune is told to the Balancer and written down, as are all that follow.
func (t *Recorder) Retune(cfg balance.Config) error {
	t.put(Event{Kind: Retune, Config: &cfg})
	return t.b.Reconfigure(cfg)
}

// AddClass is as that of a Balancer.
func (t *Recorder) AddClass(c balance.Class) (int, error) {
	t.put(Event{Kind: AddClass, Added: &c})
	return t.b.AddClass(c)
}

// Members is as that of a Balancer.
func (t *Recorder) Members(now time.Duration, kind balance.ListKind, list []balance.Endpoint) {
	t.now = now
	t.put(Event{Kind: Members, ListKind: kind, Endpoints: list})
	t.b.Members(now, kind, list)
}

// Request is as that of a Balancer.
func (t *Recorder) Request(now time.Duration, id balance.RequestID, class, tenant int, budget time.Duration) {
	t.now = now
	t.put(Event{Kind: Request, ID: uint64(id), Class: class, Tenant: tenant, Duration: budget})
	t.b.Request(now, id, class, tenant, budget)
}

// Outcome is as that of a Balancer.
func (t *Recorder) Outcome(now time.Duration, id balance.RequestID, number int, result balance.Result, elapsed time.Duration, over bool) {
	t.now = now
	t.put(Event{Kind: Outcome, ID: uint64(id), Number: number, Result: result, Duration: elapsed, Over: over})
	t.b.Outcome(now, id, number, result, elapsed, over)
}

// Withdrawn is as that of a Balancer.
func (t *Recorder) Withdrawn(now time.Duration, id balance.RequestID) {
	t.now = now
	t.put(Event{Kind: Withdrawn, ID: uint64(id)})
	t.b.Withdrawn(now, id)
}

// Timer is as that of a Balancer.
func (t *Recorder) Timer(now time.Duration, token uint64) {
	t.now = now
	t.put(Event{Kind: Timer, ID: token})
	t.b.Timer(now, token)
}

// Close is as that of a Balancer.
func (t *Recorder) Close(now time.Duration) {
	t.now = now
	t.put(Event{Kind: Close})
	t.b.Close(now)
}

// Send implements balance.Host, as do the others.
func (t *Recorder) Send(id balance.RequestID, addr string, timeout time.Duration) {
	t.put(Event{Kind: Send, ID: uint64(id), Addr: addr, Duration: timeout})
	t.host.Send(id, addr, timeout)
}

// Refuse implements balance.Host.
func (t *Recorder) Refuse(id balance.RequestID, retryAfter time.Duration) {
	t.put(Event{Kind: Refuse, ID: uint64(id), Duration: retryAfter})
	t.host.Refuse(id, retryAfter)
}

// Fail implements balance.Host.
func (t *Recorder) Fail(id balance.RequestID) {
	t.put(Event{Kind: Fail, ID: uint64(id)})
	t.host.Fail(id)
}

// After implements balance.Host.
func (t *Recorder) After(d time.Duration, token uint64) {
	t.put(Event{Kind: After, ID: token, Duration: d})
	t.host.After(d, token)
}

// Watch implements balance.Host.
func (t *Recorder) Watch() {
	t.put(Event{Kind: Watch})
	t.host.Watch()
}

// Difference is the first decision of a replay that is not the captured one.
type Difference struct {
	Index    int    // its place in the capture, from 0
	Input    Event  // what the Balancer was told last
	Captured *Event // nil where the replay decided something more
	Replayed *Event // nil where it decided something less
}

// Error implements error.
func (d *Difference) Error() string {
	return fmt.Sprintf("capture: event %d: after %v the capture has %v, the replay %v", d.Index, &d.Input, d.Captured, d.Replayed)
}

// Replay plays a capture from its Start on and compares every decision. It returns how
// many events it has played, and a *Difference at the first decision that differs, or
// what is wrong with the capture.
func Replay(r *Reader) (played int, err error) {
	var b *balance.Balancer
	var e, told Event
	var decided []Event
	host := &deciding{&decided, &told}
	differs := func(captured *Event) error {
		d := &Difference{Index: played, Input: told, Captured: captured}
		if len(decided) > 0 {
			d.Replayed = &decided[0]
		}
		return d
	}
	for ; ; played++ {
		err := r.Next(&e)
		if err == io.EOF && len(decided) > 0 {
			return played, differs(nil)
		}
		if err == io.EOF {
			return played, nil
		}
		if err != nil {
			return played, err
		}
		if e.Kind.decides() {
			if len(decided) == 0 || !same(&decided[0], &e) {
				return played, differs(&e)
			}
			decided = decided[1:]
			continue
		}
		if len(decided) > 0 {
			return played, differs(nil)
		}
		if b == nil && e.Kind != Start {
			return played, errors.New("capture: begins with something else than a start")
		}
		told, decided = e, decided[:0]
		switch e.Kind {
		case Start:
			if b, err = balance.New(*e.Config, e.Seed, host); err != nil {
				return played, err
			}
		case Retune:
			b.Reconfigure(*e.Config)
		case AddClass:
			b.AddClass(*e.Added)
		case Members:
			b.Members(e.At, e.ListKind, e.Endpoints)
		case Request:
			b.Request(e.At, balance.RequestID(e.ID), e.Class, e.Tenant, e.Duration)
		case Outcome:
			b.Outcome(e.At, balance.RequestID(e.ID), e.Number, e.Result, e.Duration, e.Over)
		case Withdrawn:
			b.Withdrawn(e.At, balance.RequestID(e.ID))
		case Timer:
			b.Timer(e.At, e.ID)
		case Close:
			b.Close(e.At)
		}
	}
}

// same tells whether two decisions are one.
func same(a, b *Event) bool {
	return a.Kind == b.Kind && a.At == b.At && a.ID == b.ID && a.Addr == b.Addr && a.Duration == b.Duration
}

// deciding gathers what a replayed Balancer decides.
type deciding struct {
	to   *[]Event
	told *Event
}

func (d *deciding) put(e Event) {
	e.At = d.told.At
	*d.to = append(*d.to, e)
}

func (d *deciding) Send(id balance.RequestID, addr string, timeout time.Duration) {
	d.put(Event{Kind: Send, ID: uint64(id), Addr: addr, Duration: timeout})
}

func (d *deciding) Refuse(id balance.RequestID, after time.Duration) {
	d.put(Event{Kind: Refuse, ID: uint64(id), Duration: after})
}
func (d *deciding) Fail(id balance.RequestID) { d.put(Event{Kind: Fail, ID: uint64(id)}) }
func (d *deciding) After(span time.Duration, token uint64) {
	d.put(Event{Kind: After, ID: token, Duration: span})
}
func (d *deciding) Watch() { d.put(Event{Kind: Watch}) }
