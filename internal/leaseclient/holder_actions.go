package leaseclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gorselink/lease"
)

// Grant is one grant of a lease, passed to the task that runs under it.
type Grant struct {
	Epoch lease.Epoch // the fencing token for all operations of the task
	Value []byte      // stored by an earlier holder

	actions *holderActions
}

// ReportProgress records that the task is making progress. If HolderConfig.StallTimeout is
// set, a task that does not call it in time is stopped and loses the lease.
func (g *Grant) ReportProgress() {
	g.actions.withLock(func(now time.Duration) { g.actions.holder.ReportProgress(now) })
}

// SetReleaseValue sets the value that is stored for the next holder on release.
func (g *Grant) SetReleaseValue(value []byte) {
	g.actions.withLock(func(time.Duration) { g.actions.holder.SetReleaseValue(value) })
}

// Put stores a value for the next holder at once, so that it survives a crash of this
// process.
func (g *Grant) Put(ctx context.Context, value []byte) error {
	r, err := g.actions.client.Do(ctx, lease.Command{Kind: lease.Put, Lease: g.actions.cfg.Lease, Client: g.actions.cfg.Client, Epoch: g.Epoch, Value: value})
	if err != nil {
		return err
	}
	return r.Err
}

// ClaimEnd returns the time, on the clock of Now, at which the claim ends unless it is
// renewed, and whether it is valid at present.
func (g *Grant) ClaimEnd() (at time.Duration, held bool) {
	g.actions.mu.Lock()
	defer g.actions.mu.Unlock()
	e, until, ok := g.actions.holder.Claim(Now())
	return until, ok && e == g.Epoch
}

// Remaining returns the time until the claim ends unless it is renewed, or 0 if it has
// ended.
func (g *Grant) Remaining() time.Duration {
	if until, held := g.ClaimEnd(); held {
		return until - Now()
	}
	return 0
}

// Task is work that only the holder of a lease may do. ctx is cancelled HolderConfig.Grace
// before the claim ends; the task must return before the end of the claim.
type Task func(ctx context.Context, g *Grant)

// holderActions implements lease.Actions for one lease.Holder: it provides timers, requests
// to the lease server and the goroutine of the task.
type holderActions struct {
	client *Client
	cfg    lease.HolderConfig
	task   Task
	onStop func(reason lease.Reason) // may be nil

	ctx      context.Context // parent of the contexts of requests and tasks
	requests sync.WaitGroup

	mu         sync.Mutex // guards the fields below and all calls of holder
	holder     *lease.Holder
	timer      *time.Timer
	cancelTask context.CancelFunc // cancels the context of the last task
	taskDone   chan struct{}      // closed when the last task has ended
}

// Hold runs the task whenever this process holds the lease, until ctx ends. It returns
// when the task has ended and the lease has been released or has expired. onStop is called
// with the reason each time the task is requested to stop; it may be nil.
func (c *Client) Hold(ctx context.Context, cfg lease.HolderConfig, task Task, onStop func(reason lease.Reason)) {
	holderCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	h := &holderActions{client: c, cfg: cfg, task: task, onStop: onStop, ctx: holderCtx}
	h.holder = lease.NewHolder(cfg, h)
	watchCtx, stopWatch := context.WithCancel(holderCtx)
	defer stopWatch()
	changes := c.Watch(watchCtx, cfg.Lease)
	h.withLock(h.holder.Start)
	for {
		select {
		case r := <-changes:
			if r.Holder == "" {
				h.withLock(h.holder.LeaseFreed)
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	h.withLock(h.holder.Stop)
	h.mu.Lock()
	taskDone := h.taskDone
	h.mu.Unlock()
	if taskDone != nil {
		<-taskDone
	}
	// Wait for the release to be sent, but no longer than the lease would take to expire.
	released := make(chan struct{})
	go func() { h.requests.Wait(); close(released) }()
	timer := time.NewTimer(cfg.Length)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
	h.mu.Lock()
	if h.timer != nil {
		h.timer.Stop()
	}
	h.mu.Unlock()
}

// withLock calls f with the current time while holding the lock of the Holder.
func (h *holderActions) withLock(f func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(Now())
}

// Send implements lease.Actions. The caller holds h.mu.
func (h *holderActions) Send(requestID uint64, cmd lease.Command) {
	h.requests.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, h.cfg.Length)
		defer cancel()
		r, err := h.client.Do(ctx, cmd)
		if err == nil {
			h.withLock(func(now time.Duration) { h.holder.HandleResult(now, requestID, r) })
		}
	})
}

// StartTask implements lease.Actions. The caller holds h.mu.
func (h *holderActions) StartTask(e lease.Epoch, value []byte) {
	ctx, cancel := context.WithCancel(h.ctx)
	taskDone := make(chan struct{})
	h.cancelTask, h.taskDone = cancel, taskDone
	g := &Grant{Epoch: e, Value: value, actions: h}
	go func() {
		defer cancel()
		h.task(ctx, g)
		h.withLock(h.holder.TaskEnded)
		close(taskDone)
	}()
}

// StopTask implements lease.Actions. The caller holds h.mu.
func (h *holderActions) StopTask(reason lease.Reason) {
	if h.onStop != nil {
		h.onStop(reason)
	}
	h.cancelTask()
}

// WakeAt implements lease.Actions. The caller holds h.mu.
func (h *holderActions) WakeAt(at time.Duration) {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(max(0, at-Now()), func() { h.withLock(h.holder.Wake) })
}
