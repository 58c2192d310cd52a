package lease

import "time"

// Host carries out what a Holder decides. Its methods are called from within the
// Holder's, must not call it and must not wait.
type Host interface {
	// Ask sends a command to the quorum; its answer, if any comes, is told by Answer with
	// the same number.
	Ask(number uint64, c Command)
	// Begin begins the duty.
	Begin(e Epoch, value []byte)
	// End has the duty end; it must have by the time the claim does.
	End(why Reason)
	// Wake has Wake called at a time, or sooner.
	Wake(at time.Duration)
}

// Reason is why a duty ends.
type Reason uint8

const (
	Asked    Reason = iota + 1 // by its own side, in good order
	Unheard                    // the quorum has not answered in time: cut off, or it has no majority
	Stalled                    // it has made no progress
	Replaced                   // the quorum says that it is no longer held
)

var reasonNames = [...]string{"none", "asked", "unheard", "stalled", "replaced"}

func (r Reason) String() string { return reasonNames[min(int(r), len(reasonNames)-1)] }

// HolderConfig says what a Holder wants.
type HolderConfig struct {
	Lease         string
	Client        string // with its incarnation
	Length        time.Duration
	Grace         time.Duration  // that the duty takes to end; the claim is as much longer
	Stall         time.Duration  // without progress after which the duty counts as stalled; 0 for never
	RetryInterval time.Duration  // between two tries to get a lease that another has, in the mean
	Draw          func() float64 // from 0 to 1, for jitter
}

// Holder asks for one lease and knows when its claim on it ends. Its duty runs from Begin
// to Ended; it never runs without a claim.
type Holder struct {
	cfg  HolderConfig
	host Host

	on       bool // wants the lease
	number   uint64
	asked    map[uint64]question // without an answer yet
	epoch    Epoch               // of the claim, 0 without one
	until    time.Duration       // its end
	running  bool                // the duty has begun and has not ended
	ending   bool                // and has been told to end
	progress time.Duration       // when it last made any
	renewAt  time.Duration
	tryAt    time.Duration
	released Epoch  // the highest that was asked to be released: it is not taken up again
	value    []byte // to leave to the next holder
	why      Reason
}

type question struct {
	kind Kind
	at   time.Duration
}

// NewHolder returns a Holder that wants nothing yet.
func NewHolder(cfg HolderConfig, host Host) *Holder {
	return &Holder{cfg: cfg, host: host, asked: map[uint64]question{}}
}

// Claims tells whether the lease is held, by this side's own clock, and until when.
func (h *Holder) Claims(now time.Duration) (e Epoch, until time.Duration, ok bool) {
	return h.epoch, h.until, h.epoch > 0 && now < h.until
}

// Start has it want the lease.
func (h *Holder) Start(now time.Duration) {
	h.on = true
	h.tryAt = now
	h.Wake(now)
}

// Stop has it want the lease no longer: the duty ends, then the lease is released.
func (h *Holder) Stop(now time.Duration) {
	h.on = false
	h.finish(now, Asked)
	h.Wake(now)
}

// Progress tells that the duty goes on.
func (h *Holder) Progress(now time.Duration) { h.progress = now }

// Freed tells that the lease may be had: nobody holds it, as far as the quorum has told.
// Many hear that at once, so they ask spread over a part of their usual wait.
func (h *Holder) Freed(now time.Duration) {
	if h.on && !h.running {
		h.tryAt = min(h.tryAt, now+time.Duration(h.cfg.Draw()*float64(h.cfg.RetryInterval)/4))
		h.Wake(now)
	}
}

// Leave keeps a value for the next holder, told with the release.
func (h *Holder) Leave(value []byte) { h.value = value }

// Ended tells that the duty has ended, told to or by itself.
func (h *Holder) Ended(now time.Duration) {
	if !h.running {
		return
	}
	h.running, h.ending = false, false
	if h.why == 0 {
		h.why = Asked
	}
	if h.epoch > 0 && now < h.until && h.why != Replaced {
		h.release(now, h.epoch, h.value)
	}
	h.epoch, h.why = 0, 0
	h.tryAt = now + h.spread(h.cfg.RetryInterval)
	h.Wake(now)
}

// finish tells the duty to end, once.
func (h *Holder) finish(_ time.Duration, why Reason) {
	if h.running && !h.ending {
		h.ending, h.why = true, why
		h.host.End(why)
	}
}

func (h *Holder) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + h.cfg.Draw()))
}

func (h *Holder) ask(now time.Duration, c Command) {
	h.number++
	h.asked[h.number] = question{c.Kind, now}
	h.host.Ask(h.number, c)
}

// release gives a grant back. What is on its way may come in any order: an answer that
// speaks of this grant, but was given before, must not begin the duty once more.
func (h *Holder) release(now time.Duration, e Epoch, value []byte) {
	h.released = max(h.released, e)
	h.ask(now, Command{Kind: Release, Lease: h.cfg.Lease, Client: h.cfg.Client, Epoch: e, Value: value})
}

// Answer tells what a question has come to. Whatever it grants counts from when it was
// asked, so an answer that comes late grants little or nothing, however many come at once.
func (h *Holder) Answer(now time.Duration, number uint64, r Reply) {
	q, ok := h.asked[number]
	if !ok {
		return // of before, or twice
	}
	delete(h.asked, number)
	switch q.kind {
	case Acquire:
		if r.Err != nil || r.Record.Holder != h.cfg.Client || r.Record.Epoch == h.epoch {
			break
		}
		// The length is the record's: an earlier acquire of ours may have set it.
		until := q.at + r.Record.Length
		if !h.on || h.running || r.Record.Epoch <= h.released || now+h.cfg.Grace >= until {
			h.release(now, r.Record.Epoch, nil) // or all would wait until it is over
			break
		}
		h.epoch, h.until, h.running, h.progress = r.Record.Epoch, until, true, now
		h.renewAt = q.at + r.Record.Length/3
		h.host.Begin(h.epoch, r.Record.Value)
	case Renew:
		switch {
		case r.Record.Epoch != h.epoch || h.epoch == 0: // of an earlier claim
		case r.Err == nil && now < h.until: // what has ended is not brought back
			h.until = max(h.until, q.at+r.Record.Length)
			h.renewAt = max(h.renewAt, q.at+r.Record.Length/3)
		case r.Err != nil:
			h.finish(now, Replaced)
		}
	}
	h.Wake(now)
}

// Wake does what is due.
func (h *Holder) Wake(now time.Duration) {
	for n, q := range h.asked { // no answer is worth anything after a length
		if now-q.at > h.cfg.Length {
			delete(h.asked, n)
		}
	}
	if h.epoch > 0 && h.running && now >= h.until-h.cfg.Grace {
		h.finish(now, Unheard)
	}
	if h.epoch > 0 && now >= h.until {
		h.epoch = 0 // whether the duty has heeded its end or not
	}
	stalled := h.running && h.cfg.Stall > 0 && now-h.progress >= h.cfg.Stall
	if stalled {
		h.finish(now, Stalled) // and no renewal: the claim runs out even if it heeds nothing
	}
	next := now + h.cfg.Length
	switch {
	case h.epoch > 0 && h.running:
		if now >= h.renewAt && !stalled && !h.ending {
			h.ask(now, Command{Kind: Renew, Lease: h.cfg.Lease, Client: h.cfg.Client, Epoch: h.epoch})
			h.renewAt = now + h.spread(h.cfg.Length/12)
		}
		next = min(next, h.until-h.cfg.Grace, h.until)
		if !stalled && !h.ending {
			next = min(next, h.renewAt)
		}
		if h.cfg.Stall > 0 && !stalled {
			next = min(next, h.progress+h.cfg.Stall)
		}
		if next <= now { // it is ending: only the end of the claim is left
			next = h.until
		}
	case h.on && !h.running:
		if now >= h.tryAt {
			h.ask(now, Command{Kind: Acquire, Lease: h.cfg.Lease, Client: h.cfg.Client, Length: h.cfg.Length})
			h.tryAt = now + h.spread(h.cfg.RetryInterval)
		}
		next = h.tryAt
	default:
		return
	}
	h.host.Wake(next)
}
