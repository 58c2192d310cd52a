package standin

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

// Entry is one endpoint in the list that an Agent tells.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"` // "in_service", "terminating" or, as a change, "terminated"
	SinceMs int64  `json:"since_ms"`
}

// EntryOf is the entry of a Node as it is now.
func NewEntry(n *Node, status string) Entry {
	e := Entry{Name: n.Name(), Address: n.Addr(), Zone: "a", Status: status}
	if since := n.RestartedAt(); !since.IsZero() {
		e.SinceMs = since.UnixMilli()
	}
	return e
}

// Agent is a stand-in for discovery over HTTP: the whole list, and watches that
// wait for what changes.
type Agent struct {
	srv  *http.Server
	addr string

	mu      sync.Mutex
	list    []Entry
	index   int
	history []change
	changed chan struct{}
	silent  chan struct{} // not nil while calls get no answer; closed when they do again
	calls   int
}

type change struct {
	index int
	entry Entry
}

// StartAgent starts an Agent on a free port of 127.0.0.1 that tells list.
func StartAgent(list ...Entry) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	a := &Agent{addr: l.Addr().String(), list: list, index: 1, changed: make(chan struct{})}
	a.srv = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.srv.Serve(acceptloop.Wrap(l))
	return a, nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() string { return a.addr }

// Close ends the agent and all its watches.
func (a *Agent) Close() { a.srv.Close() }

// Calls is how many calls have come.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Change tells that these entries have changed. A terminated one leaves the
// list.
func (a *Agent) Update(entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	for _, e := range entries {
		a.history = append(a.history, change{a.index, e})
		a.list = slices.DeleteFunc(a.list, func(o Entry) bool { return o.Name == e.Name })
		if e.Status != "terminated" {
			a.list = append(a.list, e)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Silence makes calls wait without an answer, or ends that.
func (a *Agent) SetUnresponsive(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case on && a.silent == nil:
		a.silent = make(chan struct{})
	case !on && a.silent != nil:
		close(a.silent)
		a.silent = nil
	}
}

// maxWait bounds a watch, as discovery does.
const maxWait = time.Minute

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.calls++
	silent := a.silent
	a.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	after, watch := r.URL.Query()["after"]
	if !watch {
		a.mu.Lock()
		defer a.mu.Unlock()
		tellList(w, a.index, true, a.list)
		return
	}
	from, err := strconv.Atoi(after[0])
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms: want a number", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer end.Stop()
	for ended := false; ; {
		a.mu.Lock()
		var news []Entry
		for _, c := range a.history {
			if c.index > from {
				news = append(news, c.entry)
			}
		}
		index, changed := a.index, a.changed
		a.mu.Unlock()
		if len(news) > 0 || ended {
			tellList(w, index, false, news)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
