package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
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

// Discover starts a discovery agent that always has the same list, and returns its address.
func (c *Case) Discover(entries []Entry) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	const index = 41
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		list := map[string]any{"index": index, "snapshot": true, "endpoints": entries}
		if after, err := strconv.Atoi(r.URL.Query().Get("after")); err == nil && after == index {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			list["snapshot"], list["endpoints"] = false, []Entry{}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(list)
	})
	go http.Serve(l, mux)
	return l.Addr().String(), nil
}
