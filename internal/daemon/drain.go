package daemon

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"gorselink/internal/httpserver"
)

const (
	// drainMargin is the time beyond the longest deadline for the last requests.
	drainMargin = 1500 * time.Millisecond

	// responseMargin is reserved for writing the last responses.
	responseMargin = 50 * time.Millisecond
)

// recordDeadlines records until when requests of the current configuration, which is about to be replaced,
// may be open. The caller must hold mu.
func (d *Daemon) recordDeadlines() {
	if end := time.Now().Add(d.cfg.LongestDeadline()); end.After(d.formerDeadline) {
		d.formerDeadline = end
	}
}

// DrainDeadline returns a deadline for a Drain with the given notice that leaves each request the time of
// the configuration under which it was received.
func (d *Daemon) DrainDeadline(notice time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	end := time.Now().Add(notice + d.cfg.LongestDeadline())
	if d.formerDeadline.After(end) {
		end = d.formerDeadline
	}
	return end.Add(drainMargin)
}

// dropDrainedListeners forgets the retired listeners without connections. The caller must hold mu.
func (d *Daemon) dropDrainedListeners() {
	d.retiredListeners = slices.DeleteFunc(d.retiredListeners, func(l *listener) bool {
		l.server.Report()
		if l.server.OpenConns() > 0 {
			return false
		}
		slog.Info("drained listener closed", "listener", l.cfg.Name, "generation", l.generation)
		return true
	})
}

// allListeners returns the current listeners and the retired ones that still have connections. The caller
// must hold mu.
func (d *Daemon) allListeners() []*listener {
	current := slices.SortedFunc(maps.Values(d.listeners), func(a, b *listener) int { return a.generation - b.generation })
	return append(slices.Clone(d.retiredListeners), current...)
}

// Drain makes all listeners report that they are not ready and keeps accepting
// connections for the notice period. Then it closes the listeners and ends once all
// accepted requests have responses, also those of listeners that a reload has replaced or removed, but no
// later than the deadline. It returns the number of requests that got no response.
func (d *Daemon) Drain(notice time.Duration, deadline time.Time) (unanswered int) {
	d.mu.Lock()
	d.closed = true
	listeners, current := d.allListeners(), slices.Collect(maps.Values(d.listeners))
	d.mu.Unlock()
	for _, l := range listeners {
		l.router.MarkDraining()
		l.server.SetResponseDeadline(deadline.Add(-responseMargin))
		l.logOpenRequests("draining listener")
	}
	// Requests that are still arriving then get an error response, and so do those whose
	// deadline is later, as they were read before the response deadline was set.
	defer time.AfterFunc(time.Until(deadline)-responseMargin, func() { d.endOpenRequests(listeners) }).Stop()
	time.Sleep(min(notice, time.Until(deadline)))
	for _, l := range current {
		l.acceptor.listener.Close()
	}
	var wg sync.WaitGroup
	for _, l := range listeners {
		wg.Go(func() { l.server.Drain(deadline) })
	}
	wg.Wait()
	for _, l := range listeners {
		open := l.logOpenRequests("drained listener")
		unanswered += open.Active + open.Arriving
	}
	d.Close()
	return unanswered
}

// logOpenRequests logs and returns the number of requests without a response.
func (l *listener) logOpenRequests(message string) httpserver.OpenRequests {
	open := l.server.OpenRequests()
	slog.Info(message, "listener", l.cfg.Name, "generation", l.generation, "open", open.Active, "arriving", open.Arriving, "connections", l.server.OpenConns())
	return open
}

// endOpenRequests ends the reading of requests and responds to all open ones at once.
func (d *Daemon) endOpenRequests(listeners []*listener) {
	for _, l := range listeners {
		l.server.StopReading()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.pool.Close()
	}
	for _, p := range d.retired {
		p.pool.Close()
	}
}
