package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one endpoint of a list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Discovery is a stand-in for the discovery agent on the sidecar's machine.
type Discovery struct {
	Address string

	Delay time.Duration // of each answer; set before the first call

	mu      sync.Mutex
	index   int
	entries []Entry
	changed chan struct{} // closed at the next change
}

// Discover starts a discovery agent with a list.
func (c *Case) Discover(entries []Entry) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), index: 41, entries: entries, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.answer)
	go http.Serve(l, mux)
	return d, nil
}

// Set replaces the list.
func (d *Discovery) Set(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	index, changed := d.index, d.changed
	d.mu.Unlock()
	if err == nil && after == index {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(d.Delay)
	d.mu.Lock()
	list := map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries}
	if err == nil && after == d.index {
		list["snapshot"], list["endpoints"] = false, []Entry{}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}
