package lease

import "time"

// Actions carries out the decisions of a Holder. The Holder calls its methods from within its
// own methods, so an implementation must neither block nor call the Holder back.
type Actions interface {
	// Send sends a command to the lease server. The result, if there is one, is passed to
	// Holder.HandleResult with the same request ID.
	Send(requestID uint64, c Command)
	// StartTask starts the task under a new claim.
	StartTask(e Epoch, value []byte)
	// StopTask requests the task to stop. The task must have ended when the claim ends.
	StopTask(reason Reason)
	// WakeAt schedules a call of Holder.Wake at the given time or earlier. It replaces the
	// call that was scheduled before.
	WakeAt(at time.Duration)
}

// Reason is the reason why a task is stopped.
type Reason uint8

const (
	StopRequested Reason = iota + 1 // Holder.Stop was called, or the task returned by itself
	QuorumTimeout                   // no renewal succeeded in time
	Stalled                         // the task reported no progress within the stall timeout
	Replaced                        // the lease server rejected a renewal: the lease is no longer held with this epoch
)

var reasonNames = [...]string{"none", "asked", "unheard", "stalled", "replaced"}

func (r Reason) String() string { return reasonNames[min(int(r), len(reasonNames)-1)] }

// HolderConfig configures a Holder.
type HolderConfig struct {
	Lease         string
	Client        string // unique to this run of the process
	Length        time.Duration
	Grace         time.Duration  // how long before the end of the claim the task is requested to stop
	StallTimeout  time.Duration  // time without progress after which the task is stopped; 0 disables the check
	RetryInterval time.Duration  // mean interval between attempts to acquire the lease
	Rand          func() float64 // returns a value from 0 to 1, for jitter
}

// Holder acquires and renews one lease and tracks the claim on it. The task runs from
// StartTask to TaskEnded and is only started under a claim.
type Holder struct {
	cfg     HolderConfig
	actions Actions

	wanted        bool // whether the lease is to be acquired and kept
	lastRequestID uint64
	pending       map[uint64]pendingRequest // requests without a result, by request ID
	claimEpoch    Epoch                     // 0 without a claim
	claimEnd      time.Duration
	taskRunning   bool          // the task has been started and has not ended
	taskStopping  bool          // the running task has been requested to stop
	lastProgress  time.Duration // when the task last reported progress
	nextRenewal   time.Duration
	nextAcquire   time.Duration
	releasedEpoch Epoch  // highest epoch released by this Holder
	releaseValue  []byte // sent with the release, for the next holder
	stopReason    Reason
}

type pendingRequest struct {
	kind   Kind
	sentAt time.Duration
}

// NewHolder returns a Holder that does nothing until Start is called.
func NewHolder(cfg HolderConfig, actions Actions) *Holder {
	return &Holder{cfg: cfg, actions: actions, pending: map[uint64]pendingRequest{}}
}

// Claim returns the epoch and the end of the current claim, and whether it is valid now.
func (h *Holder) Claim(now time.Duration) (e Epoch, until time.Duration, ok bool) {
	return h.claimEpoch, h.claimEnd, h.claimEpoch > 0 && now < h.claimEnd
}

// Start makes the Holder acquire the lease and keep it.
func (h *Holder) Start(now time.Duration) {
	h.wanted = true
	h.nextAcquire = now
	h.Wake(now)
}

// Stop stops the task. The lease is released when the task has ended.
func (h *Holder) Stop(now time.Duration) {
	h.wanted = false
	h.stopTask(now, StopRequested)
	h.Wake(now)
}

// ReportProgress records that the task is making progress.
func (h *Holder) ReportProgress(now time.Duration) { h.lastProgress = now }

// LeaseFreed reports that the lease is free. All waiting clients are notified at the same time, so
// the next attempt to acquire it is delayed at random to spread their requests.
func (h *Holder) LeaseFreed(now time.Duration) {
	if h.wanted && !h.taskRunning {
		h.nextAcquire = min(h.nextAcquire, now+time.Duration(h.cfg.Rand()*float64(h.cfg.RetryInterval)/4))
		h.Wake(now)
	}
}

// SetReleaseValue sets the value that is stored for the next holder on release.
func (h *Holder) SetReleaseValue(value []byte) { h.releaseValue = value }

// TaskEnded reports that the task has ended, whether or not it was requested to stop.
func (h *Holder) TaskEnded(now time.Duration) {
	if !h.taskRunning {
		return
	}
	h.taskRunning, h.taskStopping = false, false
	if h.stopReason == 0 {
		h.stopReason = StopRequested
	}
	if h.claimEpoch > 0 && now < h.claimEnd && h.stopReason != Replaced {
		h.release(now, h.claimEpoch, h.releaseValue)
	}
	h.claimEpoch, h.stopReason = 0, 0
	h.nextAcquire = now + h.jitter(h.cfg.RetryInterval)
	h.Wake(now)
}

// stopTask requests the task to stop, unless that has been done already.
func (h *Holder) stopTask(_ time.Duration, reason Reason) {
	if h.taskRunning && !h.taskStopping {
		h.taskStopping, h.stopReason = true, reason
		h.actions.StopTask(reason)
	}
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + h.cfg.Rand()))
}

func (h *Holder) send(now time.Duration, c Command) {
	h.lastRequestID++
	h.pending[h.lastRequestID] = pendingRequest{c.Kind, now}
	h.actions.Send(h.lastRequestID, c)
}

// release releases a granted lease. Results may arrive out of order, so the epoch is recorded:
// an older result for the same grant must not start the task again.
func (h *Holder) release(now time.Duration, e Epoch, value []byte) {
	h.releasedEpoch = max(h.releasedEpoch, e)
	h.send(now, Command{Kind: Release, Lease: h.cfg.Lease, Client: h.cfg.Client, Epoch: e, Value: value})
}

// HandleResult processes the result of a command. A claim is counted from the time when
// the request was sent, so a late result extends it by little or not at all.
func (h *Holder) HandleResult(now time.Duration, requestID uint64, r Result) {
	request, ok := h.pending[requestID]
	if !ok {
		return // expired or already handled
	}
	delete(h.pending, requestID)
	switch request.kind {
	case Acquire:
		if r.Err != nil || r.Record.Holder != h.cfg.Client || r.Record.Epoch == h.claimEpoch {
			break
		}
		// The record's length counts: an earlier acquire of this client may have set it.
		until := request.sentAt + r.Record.Length
		if !h.wanted || h.taskRunning || r.Record.Epoch <= h.releasedEpoch || now+h.cfg.Grace >= until {
			h.release(now, r.Record.Epoch, nil) // so that other clients need not wait for the expiry
			break
		}
		h.claimEpoch, h.claimEnd, h.taskRunning, h.lastProgress = r.Record.Epoch, until, true, now
		h.nextRenewal = request.sentAt + r.Record.Length/3
		h.actions.StartTask(h.claimEpoch, r.Record.Value)
	case Renew:
		switch {
		case r.Record.Epoch != h.claimEpoch || h.claimEpoch == 0: // result for an earlier claim
		case r.Err == nil && now < h.claimEnd: // a claim that has ended is not extended
			h.claimEnd = max(h.claimEnd, request.sentAt+r.Record.Length)
			h.nextRenewal = max(h.nextRenewal, request.sentAt+r.Record.Length/3)
		case r.Err != nil:
			h.stopTask(now, Replaced)
		}
	}
	h.Wake(now)
}

// Wake performs all actions that are due and schedules the next call.
func (h *Holder) Wake(now time.Duration) {
	for id, request := range h.pending { // a result older than the lease length grants nothing
		if now-request.sentAt > h.cfg.Length {
			delete(h.pending, id)
		}
	}
	if h.claimEpoch > 0 && h.taskRunning && now >= h.claimEnd-h.cfg.Grace {
		h.stopTask(now, QuorumTimeout)
	}
	if h.claimEpoch > 0 && now >= h.claimEnd {
		h.claimEpoch = 0 // even if the task is still running
	}
	stalled := h.taskRunning && h.cfg.StallTimeout > 0 && now-h.lastProgress >= h.cfg.StallTimeout
	if stalled {
		h.stopTask(now, Stalled) // no renewal follows, so the claim ends even if the task does not stop
	}
	next := now + h.cfg.Length
	switch {
	case h.claimEpoch > 0 && h.taskRunning:
		if now >= h.nextRenewal && !stalled && !h.taskStopping {
			h.send(now, Command{Kind: Renew, Lease: h.cfg.Lease, Client: h.cfg.Client, Epoch: h.claimEpoch})
			h.nextRenewal = now + h.jitter(h.cfg.Length/12)
		}
		next = min(next, h.claimEnd-h.cfg.Grace, h.claimEnd)
		if !stalled && !h.taskStopping {
			next = min(next, h.nextRenewal)
		}
		if h.cfg.StallTimeout > 0 && !stalled {
			next = min(next, h.lastProgress+h.cfg.StallTimeout)
		}
		if next <= now { // the task is stopping; only the end of the claim remains
			next = h.claimEnd
		}
	case h.wanted && !h.taskRunning:
		if now >= h.nextAcquire {
			h.send(now, Command{Kind: Acquire, Lease: h.cfg.Lease, Client: h.cfg.Client, Length: h.cfg.Length})
			h.nextAcquire = now + h.jitter(h.cfg.RetryInterval)
		}
		next = h.nextAcquire
	default:
		return
	}
	h.actions.WakeAt(next)
}
