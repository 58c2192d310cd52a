package fakeserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/acceptloop"
)

// Registry is a fake of the discovery servers of many services, with one listener per
// service. It counts calls and bytes, and measures how soon subscribers apply a change.
// A change counts as applied when a subscriber starts a watch for later ones.
type Registry struct {
	server   *http.Server
	lists    []*serviceList
	addrs    []string
	bytesIn  atomic.Int64
	bytesOut atomic.Int64

	mu              sync.Mutex // guards the fields below
	calls           int
	countedFrom     time.Time
	callsByInterval map[int64]int // number of calls by peakInterval since countedFrom
}

// serviceList is the endpoint list of one service.
type serviceList struct {
	mu             sync.Mutex
	entries        map[string]Entry
	index          int
	history        []entryChange // at most maxHistory
	changed        chan struct{} // closed at the next change
	subscribers    map[*subscriber]bool
	changes        []*Change // since the last call of TakeChanges
	queries        []string  // URL queries, if recordsQueries is set
	recordsQueries bool
}

// subscriber is a connection that requests a list.
type subscriber struct {
	knownIndex int       // index of the list that it has applied
	hasCalled  bool      // knownIndex is set
	watching   bool      // a watch is open
	lastCall   time.Time // start of the last call, or end of the last watch
	closed     bool      // the connection is closed
}

// Change is one change of a list, with the delays until subscribers applied it.
type Change struct {
	Index   int             `json:"Index"`
	At      time.Time       `json:"At"`
	Delays  []time.Duration `json:"Took"`    // since At, one for each subscriber that has applied it
	Pending int             `json:"Waiting"` // number of connected subscribers that have not applied it
}

// Counts has the counters of a Registry since they were last reset.
type Counts struct {
	Span        time.Duration `json:"span_ns"` // since the last reset
	Calls       int           `json:"calls"`
	PeakCalls   int           `json:"peak"`    // maximum number of calls in 100 ms
	BytesIn     int64         `json:"in"`      // bytes received from subscribers
	BytesOut    int64         `json:"out"`     // bytes sent to subscribers
	Subscribers int           `json:"sockets"` // number of connected subscribers
}

const (
	// peakInterval is the interval in which calls are counted for Counts.PeakCalls.
	peakInterval = 100 * time.Millisecond
	// maxHistory limits the changed entries that a list keeps. A watch from an older index
	// gets a snapshot.
	maxHistory = 512
	// staleTimeout is the time after which a connection without an open watch no longer
	// counts as connected. A subscriber starts its next call right after a response.
	staleTimeout = 3 * time.Second
)

type subscriberKey struct{}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	registry   *Registry
	subscriber *subscriber
	list       *serviceList
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.registry.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.registry.bytesOut.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	registry *Registry
	list     *serviceList
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.registry, &subscriber{}, l.list}, nil
}

// StartRegistry starts a Registry with these lists, each on a free port of host.
func StartRegistry(host string, lists [][]Entry) (*Registry, error) {
	r := &Registry{countedFrom: time.Now(), callsByInterval: map[int64]int{}}
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, subscriberKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if conn, ok := c.(*countedConn); ok && (s == http.StateClosed || s == http.StateHijacked) {
				conn.list.mu.Lock()
				conn.subscriber.closed = true
				delete(conn.list.subscribers, conn.subscriber)
				conn.list.mu.Unlock()
			}
		},
	}
	for i, list := range lists {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("start fake registry, list %d: %w", i, err)
		}
		s := &serviceList{entries: map[string]Entry{}, index: 1, changed: make(chan struct{}), subscribers: map[*subscriber]bool{}}
		for _, e := range list {
			s.entries[e.Name] = e
		}
		r.lists, r.addrs = append(r.lists, s), append(r.addrs, l.Addr().String())
		go r.server.Serve(countedListener{acceptloop.Wrap(l), r, s})
	}
	return r, nil
}

// Addrs returns the listen addresses in the order of the lists.
func (r *Registry) Addrs() []string { return r.addrs }

// Close stops the Registry and all watches.
func (r *Registry) Close() { r.server.Close() }

// Update adds or replaces entries of a list, notifies watches and returns the new index.
// A terminated entry is removed from the list.
func (r *Registry) Update(list int, entries ...Entry) (int, error) {
	if list < 0 || list >= len(r.lists) {
		return 0, fmt.Errorf("fake registry: no list %d, have %d lists", list, len(r.lists))
	}
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	for _, e := range entries {
		l.history = append(l.history, entryChange{l.index, e})
		if l.entries[e.Name] = e; e.Status == "terminated" {
			delete(l.entries, e.Name)
		}
	}
	if excess := len(l.history) - maxHistory; excess > 0 {
		l.history = slices.Delete(l.history, 0, excess)
	}
	l.changes = append(l.changes, &Change{Index: l.index, At: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return l.index, nil
}

// Entries returns the current entries of a list, sorted by name.
func (r *Registry) Entries(list int) []Entry {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sorted()
}

func (l *serviceList) sorted() []Entry {
	all := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return all
}

// Counts returns the counters since the last call of ResetCounts.
func (r *Registry) Counts() Counts { return r.readCounts(false) }

// ResetCounts returns the counters since its last call and resets them.
func (r *Registry) ResetCounts() Counts { return r.readCounts(true) }

func (r *Registry) readCounts(reset bool) Counts {
	var c Counts
	for _, l := range r.lists {
		l.mu.Lock()
		c.Subscribers += len(l.subscribers)
		l.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	c.BytesIn, c.BytesOut, c.Span, c.Calls = r.bytesIn.Load(), r.bytesOut.Load(), now.Sub(r.countedFrom), r.calls
	for _, n := range r.callsByInterval {
		c.PeakCalls = max(c.PeakCalls, n)
	}
	if reset {
		r.bytesIn.Add(-c.BytesIn)
		r.bytesOut.Add(-c.BytesOut)
		r.countedFrom, r.calls, r.callsByInterval = now, 0, map[int64]int{}
	}
	return c
}

// TakeChanges returns the changes since its last call, with the current number of pending
// subscribers of each.
func (r *Registry) TakeChanges() (all []Change) {
	for _, l := range r.lists {
		l.mu.Lock()
		for _, c := range l.changes {
			for s := range l.subscribers {
				if s.hasCalled && s.knownIndex < c.Index && (s.watching || time.Since(s.lastCall) < staleTimeout) {
					c.Pending++
				}
			}
			all = append(all, *c)
		}
		l.changes = nil
		l.mu.Unlock()
	}
	return all
}

// RecordQueries starts to record the URL query of each call for a list, without the
// queries recorded before.
func (r *Registry) RecordQueries(list int) {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordsQueries, l.queries = true, nil
}

// Queries returns the URL queries of a list since RecordQueries, in order.
func (r *Registry) Queries(list int) []string {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.queries)
}

// countCall counts a call in the total and in its interval, from which the peak rate is computed.
func (r *Registry) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.callsByInterval[int64(time.Since(r.countedFrom)/peakInterval)]++
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	conn, ok := req.Context().Value(subscriberKey{}).(*countedConn)
	if !ok || req.URL.Path != "/api/targets" {
		http.NotFound(w, req)
		return
	}
	r.countCall()
	after, isWatch := req.URL.Query()["after"]
	if !isWatch {
		conn.list.serveSnapshot(w, conn.subscriber, req.URL.RawQuery)
		return
	}
	from, err := strconv.Atoi(after[0])
	ms, err2 := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	if err := errors.Join(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conn.list.serveWatch(w, req, conn.subscriber, from, min(time.Duration(ms)*time.Millisecond, maxWatchWait))
}

// addCall records a call of a subscriber. l.mu must be held.
func (l *serviceList) addCall(s *subscriber, query string) {
	if l.recordsQueries {
		l.queries = append(l.queries, query)
	}
	if !s.closed {
		l.subscribers[s] = true
	}
	s.lastCall = time.Now()
}

func (l *serviceList) serveSnapshot(w http.ResponseWriter, s *subscriber, query string) {
	l.mu.Lock()
	l.addCall(s, query)
	s.knownIndex, s.hasCalled = l.index, true // earlier changes are not pending for it
	index, list := l.index, l.sorted()
	l.mu.Unlock()
	writeList(w, index, true, list)
}

func (l *serviceList) serveWatch(w http.ResponseWriter, req *http.Request, s *subscriber, from int, wait time.Duration) {
	l.mu.Lock()
	l.addCall(s, req.URL.RawQuery)
	if s.hasCalled {
		for _, c := range l.changes {
			if c.Index > s.knownIndex && c.Index <= from {
				c.Delays = append(c.Delays, s.lastCall.Sub(c.At))
			}
		}
	}
	s.knownIndex, s.hasCalled, s.watching = from, true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		s.watching, s.lastCall = false, time.Now()
		l.mu.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		l.mu.Lock()
		var entries []Entry
		index, changed := l.index, l.changed
		// An index that is unknown or older than the history gets a snapshot.
		snapshot := from > index || from < index && (len(l.history) == 0 || l.history[0].index > from+1)
		if snapshot {
			entries = l.sorted()
		} else {
			for _, c := range l.history {
				if c.index > from {
					entries = append(entries, c.entry)
				}
			}
		}
		l.mu.Unlock()
		if len(entries) > 0 || snapshot || timedOut {
			writeList(w, index, snapshot, entries)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-req.Context().Done():
			return
		}
	}
}

func writeList(w http.ResponseWriter, index int, snapshot bool, list []Entry) {
	if list == nil {
		list = []Entry{}
	}
	text, err := json.Marshal(struct {
		Index     int     `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{index, snapshot, list})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
