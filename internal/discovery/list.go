package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// List is a snapshot of the endpoints of a service, or a delta to the previous List.
type List struct {
	Index     uint64 // version of the list at the source
	Snapshot  bool   // the list has all endpoints; otherwise only the changed ones
	Undated   bool   // the source does not report when processes started
	Endpoints []Endpoint
}

// Status is the state of an endpoint in a list.
type Status string

// The statuses of an endpoint.
const (
	InService   Status = "in_service"
	Terminating Status = "terminating" // draining: completes its requests and accepts no new ones
	Terminated  Status = "terminated"
)

// Endpoint is one entry of a List.
type Endpoint struct {
	Name    string `json:"name"` // the same for every sidecar
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  Status `json:"status"`
	SinceMs int64  `json:"since_ms"` // Unix time of the last start; 0 means long ago
}

// Decode parses a discovery response. One invalid endpoint makes the whole response
// invalid, because the current list is better than an incomplete one.
func Decode(text []byte) (List, error) { return decode(text, true) }

func decode(text []byte, indexRequired bool) (List, error) {
	var response struct {
		Index     *uint64    `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &response); err != nil {
		return List{}, err
	}
	if response.Index == nil && !indexRequired {
		response.Index = new(uint64)
	}
	if response.Index == nil {
		return List{}, errors.New("index: missing")
	}
	if response.Endpoints == nil {
		return List{}, errors.New("endpoints: missing")
	}
	for i := range response.Endpoints {
		if err := response.Endpoints[i].validate(); err != nil {
			return List{}, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
	}
	return List{Index: *response.Index, Snapshot: response.Snapshot, Endpoints: response.Endpoints}, nil
}

func (e *Endpoint) validate() error {
	if e.Name == "" {
		return errors.New("name: missing")
	}
	if e.SinceMs < 0 {
		return fmt.Errorf("since_ms: %d, want 0 or more", e.SinceMs)
	}
	switch e.Status {
	case Terminated:
		return nil // receives no requests, so it needs no address
	case InService, Terminating:
	default:
		return fmt.Errorf("status: %q, want in_service, terminating or terminated", e.Status)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: %q, want address:port", e.Address)
	}
	return nil
}
