package standin

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

// Registry is a stand-in for the discoveries of many services in one process: a listener
// for each, as an address tells one list only. It counts what comes and goes on its
// sockets, and sees from the calls alone when a change is in force: whoever asks for what
// came after a change has taken it, as a follower applies a list before it asks again.
type Registry struct {
	srv   *http.Server
	lists []*listed
	addrs []string
	in    atomic.Int64
	out   atomic.Int64

	mu      sync.Mutex // guards what is counted
	calls   int
	begin   time.Time
	buckets map[int64]int // calls by step of peakStep since begin
}

// listed is one service.
type listed struct {
	mu      sync.Mutex
	entries map[string]Entry
	index   int
	history []change
	changed chan struct{}
	subs    map[*subscriber]bool
	changes []*Change
	asked   []string // query strings, while they are kept
	keeps   bool
}

// subscriber is a connection that asks for a list.
type subscriber struct {
	known int // the index that it is known to have
	asked bool
	open  bool // a watch of it is open
	last  time.Time
	gone  bool
}

// Change is one change of a list and when subscribers had it.
type Change struct {
	Index   int
	At      time.Time
	Delays  []time.Duration // from At, one for each subscriber that has it
	Pending int             // subscribers that are there and do not have it
}

// Counts is what a Registry has counted since it was last asked.
type Counts struct {
	Span        time.Duration `json:"span_ns"`
	Calls       int           `json:"calls"`
	PeakCalls   int           `json:"peak"` // the most calls in 100 ms
	BytesIn     int64         `json:"in"`   // bytes from subscribers
	BytesOut    int64         `json:"out"`
	Subscribers int           `json:"sockets"` // subscribers that are there
}

const (
	peakStep = 100 * time.Millisecond
	// historyKept bounds the changes that a list can tell one by one; whoever is further
	// behind gets the whole list.
	historyKept = 512
	// staleAfter is when a connection without an open call counts as gone: a follower asks
	// at once again, and one behind a cut link has long opened another.
	staleAfter = 3 * time.Second
)

type subscriberKey struct{}

// metered counts the bytes of a connection.
type metered struct {
	net.Conn
	r *Registry
	s *subscriber
	l *listed
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.r.in.Add(int64(n))
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.r.out.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	r *Registry
	l *listed
}

func (m meteredListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &metered{c, m.r, &subscriber{}, m.l}, nil
}

// StartRegistry starts a Registry that tells these lists, each at a free port of host.
func StartRegistry(host string, lists [][]Entry) (*Registry, error) {
	r := &Registry{begin: time.Now(), buckets: map[int64]int{}}
	r.srv = &http.Server{
		Handler: http.HandlerFunc(r.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, subscriberKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if m, ok := c.(*metered); ok && (s == http.StateClosed || s == http.StateHijacked) {
				m.l.mu.Lock()
				m.s.gone = true
				delete(m.l.subs, m.s)
				m.l.mu.Unlock()
			}
		},
	}
	for i, list := range lists {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("stand-in registry, list %d: %w", i, err)
		}
		s := &listed{entries: map[string]Entry{}, index: 1, changed: make(chan struct{}), subs: map[*subscriber]bool{}}
		for _, e := range list {
			s.entries[e.Name] = e
		}
		r.lists, r.addrs = append(r.lists, s), append(r.addrs, l.Addr().String())
		go r.srv.Serve(meteredListener{acceptloop.Wrap(l), r, s})
	}
	return r, nil
}

// Addrs are where the lists are told, in their order.
func (r *Registry) Addrs() []string { return r.addrs }

// Close ends the Registry and all its watches.
func (r *Registry) Close() { r.srv.Close() }

// Change tells that entries of a list have changed, and returns its new index. A
// terminated one leaves the list.
func (r *Registry) Update(list int, entries ...Entry) (int, error) {
	if list < 0 || list >= len(r.lists) {
		return 0, fmt.Errorf("stand-in registry: list %d of %d", list, len(r.lists))
	}
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	for _, e := range entries {
		l.history = append(l.history, change{l.index, e})
		if l.entries[e.Name] = e; e.Status == "terminated" {
			delete(l.entries, e.Name)
		}
	}
	if over := len(l.history) - historyKept; over > 0 {
		l.history = slices.Delete(l.history, 0, over)
	}
	l.changes = append(l.changes, &Change{Index: l.index, At: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return l.index, nil
}

// List is a list as it is now, by name.
func (r *Registry) Entries(list int) []Entry {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sorted()
}

func (l *listed) sorted() []Entry {
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

// SoFar tells what has come and gone since the last Count.
func (r *Registry) Counts() Counts { return r.count(false) }

// Count tells what has come and gone since the last time, and begins anew.
func (r *Registry) ResetCounts() Counts { return r.count(true) }

func (r *Registry) count(anew bool) Counts {
	var c Counts
	for _, l := range r.lists {
		l.mu.Lock()
		c.Subscribers += len(l.subs)
		l.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	c.BytesIn, c.BytesOut, c.Span, c.Calls = r.in.Load(), r.out.Load(), now.Sub(r.begin), r.calls
	for _, n := range r.buckets {
		c.PeakCalls = max(c.PeakCalls, n)
	}
	if anew {
		r.in.Add(-c.BytesIn)
		r.out.Add(-c.BytesOut)
		r.begin, r.calls, r.buckets = now, 0, map[int64]int{}
	}
	return c
}

// Changes are the changes since the last time, with who has them by now.
func (r *Registry) TakeChanges() (all []Change) {
	for _, l := range r.lists {
		l.mu.Lock()
		for _, c := range l.changes {
			for s := range l.subs {
				if s.asked && s.known < c.Index && (s.open || time.Since(s.last) < staleAfter) {
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

// Keep has the query of each call of a list kept from now on; Asked gives them.
func (r *Registry) RecordQueries(list int) {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeps, l.asked = true, nil
}

// Asked are the queries since Keep, in order.
func (r *Registry) Queries(list int) []string {
	l := r.lists[list]
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.asked)
}

func (r *Registry) counted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.buckets[int64(time.Since(r.begin)/peakStep)]++
}

func (r *Registry) serve(w http.ResponseWriter, q *http.Request) {
	conn, ok := q.Context().Value(subscriberKey{}).(*metered)
	if !ok || q.URL.Path != "/api/targets" {
		http.NotFound(w, q)
		return
	}
	r.counted()
	after, watch := q.URL.Query()["after"]
	if !watch {
		conn.l.whole(w, conn.s, q.URL.RawQuery)
		return
	}
	from, err := strconv.Atoi(after[0])
	ms, err2 := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	if err := errors.Join(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conn.l.watch(w, q, conn.s, from, min(time.Duration(ms)*time.Millisecond, maxWait))
}

// enter books a call of a subscriber; the mutex is held.
func (l *listed) enter(s *subscriber, query string) {
	if l.keeps {
		l.asked = append(l.asked, query)
	}
	if !s.gone {
		l.subs[s] = true
	}
	s.last = time.Now()
}

func (l *listed) whole(w http.ResponseWriter, s *subscriber, query string) {
	l.mu.Lock()
	l.enter(s, query)
	s.known, s.asked = l.index, true // what is older it never lacked
	index, list := l.index, l.sorted()
	l.mu.Unlock()
	tellList(w, index, true, list)
}

func (l *listed) watch(w http.ResponseWriter, q *http.Request, s *subscriber, from int, wait time.Duration) {
	l.mu.Lock()
	l.enter(s, q.URL.RawQuery)
	if s.asked {
		for _, c := range l.changes {
			if c.Index > s.known && c.Index <= from {
				c.Delays = append(c.Delays, s.last.Sub(c.At))
			}
		}
	}
	s.known, s.asked, s.open = from, true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		s.open, s.last = false, time.Now()
		l.mu.Unlock()
	}()
	end := time.NewTimer(wait)
	defer end.Stop()
	for ended := false; ; {
		l.mu.Lock()
		var news []Entry
		index, changed := l.index, l.changed
		// A list that was started anew, or one further behind than the history, is told whole.
		whole := from > index || from < index && (len(l.history) == 0 || l.history[0].index > from+1)
		if whole {
			news = l.sorted()
		} else {
			for _, c := range l.history {
				if c.index > from {
					news = append(news, c.entry)
				}
			}
		}
		l.mu.Unlock()
		if len(news) > 0 || whole || ended {
			tellList(w, index, whole, news)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-q.Context().Done():
			return
		}
	}
}

func tellList(w http.ResponseWriter, index int, snapshot bool, list []Entry) {
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
