package fakeserver

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
)

// Entry is one endpoint in an endpoint list of discovery.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`   // "in_service", "terminating" or, only in a change, "terminated"
	SinceMs int64  `json:"since_ms"` // start of the process, in milliseconds of Unix time
}

// NewEntry returns the entry of n with its current start time.
func NewEntry(n *Node, status string) Entry {
	e := Entry{Name: n.Name(), Address: n.Addr(), Zone: "a", Status: status}
	if since := n.RestartedAt(); !since.IsZero() {
		e.SinceMs = since.UnixMilli()
	}
	return e
}

// Agent is a fake of the discovery HTTP API of one service. It serves snapshots of the
// list and watches, which wait for changes and return a delta.
type Agent struct {
	server *http.Server
	addr   string

	mu           sync.Mutex
	entries      []Entry
	index        int
	history      []entryChange // all changes since the start
	changed      chan struct{} // closed at the next change
	unresponsive chan struct{} // non-nil while calls get no response; closed to let them continue
	calls        int
}

type entryChange struct {
	index int
	entry Entry
}

// StartAgent starts an Agent with these entries on a free port of 127.0.0.1.
func StartAgent(entries ...Entry) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start fake discovery agent: %w", err)
	}
	a := &Agent{addr: l.Addr().String(), entries: entries, index: 1, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(acceptloop.Wrap(l))
	return a, nil
}

// Addr returns the listen address.
func (a *Agent) Addr() string { return a.addr }

// Close stops the agent and all watches.
func (a *Agent) Close() { a.server.Close() }

// Calls returns the number of calls received.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Update adds or replaces entries of the list and notifies watches. A terminated entry
// is removed from the list.
func (a *Agent) Update(entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	for _, e := range entries {
		a.history = append(a.history, entryChange{a.index, e})
		a.entries = slices.DeleteFunc(a.entries, func(o Entry) bool { return o.Name == e.Name })
		if e.Status != "terminated" {
			a.entries = append(a.entries, e)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetUnresponsive sets whether calls wait without a response.
func (a *Agent) SetUnresponsive(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case on && a.unresponsive == nil:
		a.unresponsive = make(chan struct{})
	case !on && a.unresponsive != nil:
		close(a.unresponsive)
		a.unresponsive = nil
	}
}

// maxWatchWait limits the duration of a watch.
const maxWatchWait = time.Minute

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.calls++
	unresponsive := a.unresponsive
	a.mu.Unlock()
	if unresponsive != nil {
		select {
		case <-unresponsive:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	after, isWatch := r.URL.Query()["after"]
	if !isWatch {
		a.mu.Lock()
		defer a.mu.Unlock()
		writeList(w, a.index, true, a.entries)
		return
	}
	from, err := strconv.Atoi(after[0])
	if err != nil {
		http.Error(w, "after: want an integer", http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms: want an integer", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for timedOut := false; ; {
		a.mu.Lock()
		var entries []Entry
		for _, c := range a.history {
			if c.index > from {
				entries = append(entries, c.entry)
			}
		}
		index, changed := a.index, a.changed
		a.mu.Unlock()
		if len(entries) > 0 || timedOut {
			writeList(w, index, false, entries)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
