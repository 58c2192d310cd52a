package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"gorselink/balance"
)

// Recorder wraps a Balancer. It forwards calls to the Balancer and decisions to the
// Actions, and emits both as events in their order. Like a Balancer, it is not safe for
// concurrent use.
type Recorder struct {
	balancer *balance.Balancer
	actions  balance.Actions
	emit     func(*Event)
	event    Event // reused for each call of emit
	now      time.Duration
}

// NewRecorder creates a Balancer that passes its decisions to actions, and returns its Recorder.
// Events are passed to emit, which must not retain them.
func NewRecorder(cfg balance.Config, seed uint64, actions balance.Actions, emit func(*Event)) (*Recorder, error) {
	r := &Recorder{actions: actions, emit: emit}
	r.record(Event{Kind: Start, Seed: seed, Config: &cfg})
	var err error
	r.balancer, err = balance.New(cfg, seed, r)
	return r, err
}

func (r *Recorder) record(e Event) {
	e.At = r.now
	r.event = e
	r.emit(&r.event)
}

// Reconfigure records and forwards a call of Balancer.Reconfigure.
func (r *Recorder) Reconfigure(cfg balance.Config) error {
	r.record(Event{Kind: Reconfigure, Config: &cfg})
	return r.balancer.Reconfigure(cfg)
}

// AddClass records and forwards a call of Balancer.AddClass.
func (r *Recorder) AddClass(c balance.Class) (int, error) {
	r.record(Event{Kind: AddClass, AddedClass: &c})
	return r.balancer.AddClass(c)
}

// UpdateEndpoints records and forwards a call of Balancer.UpdateEndpoints.
func (r *Recorder) UpdateEndpoints(now time.Duration, kind balance.UpdateKind, list []balance.Endpoint) {
	r.now = now
	r.record(Event{Kind: EndpointUpdate, UpdateKind: kind, Endpoints: list})
	r.balancer.UpdateEndpoints(now, kind, list)
}

// Request records and forwards a call of Balancer.Request.
func (r *Recorder) Request(now time.Duration, id balance.RequestID, class, tenant int, budget time.Duration) {
	r.now = now
	r.record(Event{Kind: Request, ID: uint64(id), Class: class, Tenant: tenant, Duration: budget})
	r.balancer.Request(now, id, class, tenant, budget)
}

// Outcome records and forwards a call of Balancer.Outcome.
func (r *Recorder) Outcome(now time.Duration, id balance.RequestID, number int, result balance.Result, elapsed time.Duration, final bool) {
	r.now = now
	r.record(Event{Kind: Outcome, ID: uint64(id), Attempt: number, Result: result, Duration: elapsed, Final: final})
	r.balancer.Outcome(now, id, number, result, elapsed, final)
}

// Cancelled records and forwards a call of Balancer.Cancelled.
func (r *Recorder) Cancelled(now time.Duration, id balance.RequestID) {
	r.now = now
	r.record(Event{Kind: Cancelled, ID: uint64(id)})
	r.balancer.Cancelled(now, id)
}

// Timer records and forwards a call of Balancer.Timer.
func (r *Recorder) Timer(now time.Duration, token uint64) {
	r.now = now
	r.record(Event{Kind: Timer, ID: token})
	r.balancer.Timer(now, token)
}

// Close records and forwards a call of Balancer.Close.
func (r *Recorder) Close(now time.Duration) {
	r.now = now
	r.record(Event{Kind: Close})
	r.balancer.Close(now)
}

// Send implements balance.Actions.
func (r *Recorder) Send(id balance.RequestID, addr string, timeout time.Duration) {
	r.record(Event{Kind: Send, ID: uint64(id), Addr: addr, Duration: timeout})
	r.actions.Send(id, addr, timeout)
}

// Reject implements balance.Actions.
func (r *Recorder) Reject(id balance.RequestID, retryAfter time.Duration) {
	r.record(Event{Kind: Reject, ID: uint64(id), Duration: retryAfter})
	r.actions.Reject(id, retryAfter)
}

// Fail implements balance.Actions.
func (r *Recorder) Fail(id balance.RequestID) {
	r.record(Event{Kind: Fail, ID: uint64(id)})
	r.actions.Fail(id)
}

// After implements balance.Actions.
func (r *Recorder) After(d time.Duration, token uint64) {
	r.record(Event{Kind: After, ID: token, Duration: d})
	r.actions.After(d, token)
}

// Watch implements balance.Actions.
func (r *Recorder) Watch() {
	r.record(Event{Kind: Watch})
	r.actions.Watch()
}

// Difference is the first decision of a replay that differs from the capture.
type Difference struct {
	Index    int    // position of the event in the capture, from 0
	Input    Event  // the last input before the decision
	Captured *Event // nil if the replay has an additional decision
	Replayed *Event // nil if the replay lacks a decision
}

// Error implements error.
func (d *Difference) Error() string {
	return fmt.Sprintf("capture: event %d: after %v, captured decision %v, replayed decision %v", d.Index, &d.Input, d.Captured, d.Replayed)
}

// Replay replays the inputs of a capture and compares every decision. It returns the
// number of events before the first error. The error is a *Difference if a decision
// differs, and another one if the capture is invalid.
func Replay(r *Reader) (replayed int, err error) {
	var balancer *balance.Balancer
	var e, input Event
	var decisions []Event
	collector := &decisionCollector{&decisions, &input}
	newDifference := func(captured *Event) error {
		d := &Difference{Index: replayed, Input: input, Captured: captured}
		if len(decisions) > 0 {
			d.Replayed = &decisions[0]
		}
		return d
	}
	for ; ; replayed++ {
		err := r.Next(&e)
		if err == io.EOF && len(decisions) > 0 {
			return replayed, newDifference(nil)
		}
		if err == io.EOF {
			return replayed, nil
		}
		if err != nil {
			return replayed, err
		}
		if e.Kind.isDecision() {
			if len(decisions) == 0 || !sameDecision(&decisions[0], &e) {
				return replayed, newDifference(&e)
			}
			decisions = decisions[1:]
			continue
		}
		if len(decisions) > 0 {
			return replayed, newDifference(nil)
		}
		if balancer == nil && e.Kind != Start {
			return replayed, errors.New("capture: first event is not a start")
		}
		input, decisions = e, decisions[:0]
		switch e.Kind {
		case Start:
			if balancer, err = balance.New(*e.Config, e.Seed, collector); err != nil {
				return replayed, err
			}
		case Reconfigure:
			balancer.Reconfigure(*e.Config)
		case AddClass:
			balancer.AddClass(*e.AddedClass)
		case EndpointUpdate:
			balancer.UpdateEndpoints(e.At, e.UpdateKind, e.Endpoints)
		case Request:
			balancer.Request(e.At, balance.RequestID(e.ID), e.Class, e.Tenant, e.Duration)
		case Outcome:
			balancer.Outcome(e.At, balance.RequestID(e.ID), e.Attempt, e.Result, e.Duration, e.Final)
		case Cancelled:
			balancer.Cancelled(e.At, balance.RequestID(e.ID))
		case Timer:
			balancer.Timer(e.At, e.ID)
		case Close:
			balancer.Close(e.At)
		}
	}
}

// sameDecision reports whether two decisions are equal.
func sameDecision(a, b *Event) bool {
	return a.Kind == b.Kind && a.At == b.At && a.ID == b.ID && a.Addr == b.Addr && a.Duration == b.Duration
}

// decisionCollector is a balance.Actions that collects the decisions of a replayed Balancer.
type decisionCollector struct {
	decisions *[]Event
	input     *Event
}

func (d *decisionCollector) add(e Event) {
	e.At = d.input.At
	*d.decisions = append(*d.decisions, e)
}

func (d *decisionCollector) Send(id balance.RequestID, addr string, timeout time.Duration) {
	d.add(Event{Kind: Send, ID: uint64(id), Addr: addr, Duration: timeout})
}

func (d *decisionCollector) Reject(id balance.RequestID, retryAfter time.Duration) {
	d.add(Event{Kind: Reject, ID: uint64(id), Duration: retryAfter})
}
func (d *decisionCollector) Fail(id balance.RequestID) { d.add(Event{Kind: Fail, ID: uint64(id)}) }
func (d *decisionCollector) After(delay time.Duration, token uint64) {
	d.add(Event{Kind: After, ID: token, Duration: delay})
}
func (d *decisionCollector) Watch() { d.add(Event{Kind: Watch}) }
