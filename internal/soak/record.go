package soak

import "time"

// Record is what clients, endpoints and processes observed in a run. Times count as in the Plan.
type Record struct {
	Plan      *Plan
	Requests  []Request
	Arrivals  map[string][]Arrival // at endpoints, by request id
	Runs      map[string]int       // executions by request id, over all endpoints
	Processes []Process
	Drained   []Drain // with the actual times
	Pauses    []Pause // with the actual times
	CrowdFrom time.Duration
	CrowdTo   time.Duration
}

// Arrival is the receipt of a complete request by an endpoint.
type Arrival struct {
	Endpoint int
	At       time.Duration
}

// Ending is how a request ended for its client.
type Ending int

const (
	Answered  Ending = iota
	Closed           // the connection ended without a response
	BrokenOff        // the connection was reset without a response
	NoAnswer         // no response until long after the budget
	Malformed        // the response was incomplete or malformed
	Left             // the client left and did not wait for a response
)

func (e Ending) String() string {
	return [...]string{"answered", "closed", "reset", "no answer", "malformed", "left"}[e]
}

// Request is one request of a client.
type Request struct {
	ID        string
	Class     string
	Budget    time.Duration
	Reused    bool          // the connection had served a request before
	Pipelined bool          // it was written together with another request
	Behind    bool          // it was the second of them
	ConnectAt time.Duration // when the connection was opened
	Sent      time.Duration // when its last byte was written
	Ended     time.Duration
	Ending    Ending
	Status    int
	OwnBody   bool // the body is the one that endpoints send for this id
	Extra     bool // bytes followed the response that no request has caused

	Incomplete bool // the client left before it had sent the whole request
	HalfClosed bool // the client ended its sending side after the request
}

// pausedBetween returns for how long the sidecar was paused in an interval.
func (r *Record) pausedBetween(from, to time.Duration) (paused time.Duration) {
	for _, x := range r.Pauses {
		paused += max(0, min(to, x.end())-max(from, x.At))
	}
	return paused
}

// Process is one process of the sidecar.
type Process struct {
	Started, Ready   time.Duration
	Terminated       time.Duration // first SIGTERM; 0 if none was sent
	Exited           time.Duration
	Killed           bool   // it had to be killed
	ExitError        string // "" for exit status 0
	FirstDescriptors int    // open when ready, before its clients connected
	LastDescriptors  int    // open at the end, without clients; 0 if it was not running
	LogPath          string
}
