package nodes

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// List is what a source tells.
type List struct {
	Index     uint64
	Snapshot  bool // all endpoints; otherwise the changed ones
	Undated   bool // its source cannot know when a process started
	Endpoints []Endpoint
}

// Status is what a list says of an endpoint.
type Status string

// The statuses that there are.
const (
	InService   Status = "in_service"
	Terminating Status = "terminating" // finishes what it has, wants nothing new
	Terminated  Status = "terminated"
)

// Endpoint is one entry of a List.
type Endpoint struct {
	Name    string `json:"name"` // the same at every sidecar
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  Status `json:"status"`
	SinceMs int64  `json:"since_ms"` // Unix time of the last start; 0 for long ago
}

// Decode reads an answer of discovery. One bad entry spoils the whole answer:
// the list that stands is worth more than half of a new one.
func Decode(text []byte) (List, error) { return decode(text, true) }

func decode(text []byte, indexed bool) (List, error) {
	var l struct {
		Index     *uint64    `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	if l.Index == nil && !indexed {
		l.Index = new(uint64)
	}
	if l.Index == nil {
		return List{}, errors.New("index: missing")
	}
	if l.Endpoints == nil {
		return List{}, errors.New("endpoints: missing")
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].check(); err != nil {
			return List{}, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
	}
	return List{Index: *l.Index, Snapshot: l.Snapshot, Endpoints: l.Endpoints}, nil
}

func (e *Endpoint) check() error {
	if e.Name == "" {
		return errors.New("name: missing")
	}
	if e.SinceMs < 0 {
		return fmt.Errorf("since_ms: %d, want 0 or more", e.SinceMs)
	}
	switch e.Status {
	case Terminated:
		return nil // nothing goes there any more, so its address does not matter
	case InService, Terminating:
	default:
		return fmt.Errorf("status: %q is unknown", e.Status)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: %q, want address:port", e.Address)
	}
	return nil
}
