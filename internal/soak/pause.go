package soak

import (
	"syscall"
	"time"
)

// applyPauses stops the processes of the sidecar at the times of the plan.
func (r *run) applyPauses() {
	for _, x := range r.plan.Pauses {
		r.sleepUntil(x.At)
		r.pause(x.Length)
	}
}

// pause stops all processes of the sidecar for a time, and records the pause.
func (r *run) pause(length time.Duration) {
	r.mu.Lock()
	processes := append([]*process(nil), r.processes...)
	r.mu.Unlock()
	at := r.now()
	for _, p := range processes {
		p.signal(syscall.SIGSTOP)
	}
	r.mu.Lock()
	r.pauses = append(r.pauses, Pause{At: at, Length: length})
	r.mu.Unlock()
	time.Sleep(length)
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
	}
	r.mu.Lock()
	r.pauses[len(r.pauses)-1].Length = r.now() - at
	r.mu.Unlock()
}

// pausedSince returns for how long the sidecar has been paused since a time, including the whole
// length of a pause in progress.
func (r *run) pausedSince(since time.Duration) (paused time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.pauses {
		paused += max(0, x.end()-max(since, x.At))
	}
	return paused
}
