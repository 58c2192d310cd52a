package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Timeouts bound the HTTP calls of a Discovery.
type Timeouts struct {
	LongPoll  time.Duration // how long the service may hold a call open until the list changes
	Response  time.Duration // added to LongPoll for the response; also the connect timeout
	Immediate time.Duration // for a call without long polling
}

// defaultDrainGrace applies when no drain grace is given.
const defaultDrainGrace = 2 * time.Second

// LocalAgentTimeouts returns the timeouts for a discovery agent on this machine, where
// calls cost little. drainGrace is how long after the announcement of a drain a request may
// still be sent to the endpoint; 0 means the default.
//
// A call that is open when the agent stalls may never get a response, so every call times
// out in less than half of drainGrace. Three consecutive timeouts end within 6 s, the time
// within which the sidecar has to apply a change.
func LocalAgentTimeouts(drainGrace time.Duration) Timeouts {
	quarter := min(max(cmp.Or(drainGrace, defaultDrainGrace)/4, minTimeout), maxAgentLongPoll)
	return Timeouts{LongPoll: quarter, Response: max(quarter/2, minTimeout), Immediate: max(quarter, 2*minTimeout)}
}

// SharedServiceTimeouts returns the timeouts for one discovery service that serves all
// sidecars with a fixed capacity. Long polls keep the number of calls low.
func SharedServiceTimeouts() Timeouts {
	return Timeouts{
		LongPoll: 20 * time.Second,
		// Half of the 2 s within which a change has to be applied, so that a second
		// call can still fetch it.
		Response: time.Second,
		// A part of the 6 s within which a snapshot has to be applied.
		Immediate: 2 * time.Second,
	}
}

const (
	// minTimeout allows for an agent that has only a share of a core and is therefore not
	// scheduled for some time.
	minTimeout       = 100 * time.Millisecond
	maxAgentLongPoll = 500 * time.Millisecond

	// minCallInterval is the minimum interval between calls that return no change. It is
	// below 200 ms, because a client without an open call for that long counts as one that
	// has stopped long polling.
	minCallInterval = 50 * time.Millisecond

	maxResponseBytes = 2 << 20 // several thousand endpoints take less than 1 MiB
)

// Discovery is a Source that follows the endpoint list of a discovery service over HTTP
// by long polling.
type Discovery struct {
	addr       string
	url        string
	timeouts   Timeouts
	client     http.Client
	index      uint64
	hasIndex   bool // index was reported by this service, or set by Resume
	lastFailed bool // the last call failed
	immediate  bool // the next call is made without long polling
}

// NewDiscovery returns a Discovery for the service at addr.
func NewDiscovery(addr string, timeouts Timeouts) *Discovery {
	return &Discovery{
		addr:     addr,
		url:      "http://" + addr + "/api/targets",
		timeouts: timeouts,
		client: http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeouts.Response}).DialContext,
			MaxIdleConnsPerHost: 1,
		}},
	}
}

// Resume makes the first call request only the changes since index, which costs a shared
// service much less than a snapshot. If the service cannot provide these changes, Follow
// delivers a snapshot first. Resume must be called before Follow.
//
// The first call is made without long polling, so that a service that does not respond is
// detected early.
func (d *Discovery) Resume(index uint64) {
	d.index, d.hasIndex, d.immediate = index, true, true
}

// String implements Source.
func (d *Discovery) String() string { return "discovery " + d.addr }

// IsTimeout reports whether an error of Follow is a timeout. The cause may be a broken
// connection rather than a failure of the service.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Close closes the idle connection to the service.
func (d *Discovery) Close() { d.client.CloseIdleConnections() }

// Follow implements Source. It passes a snapshot and then each delta to update until a
// call fails or ctx ends. A later call of Follow continues from the last index.
func (d *Discovery) Follow(ctx context.Context, update func(List)) error {
	for {
		started, lastIndex := time.Now(), d.index
		list, err := d.fetchUpdate(ctx)
		d.lastFailed = err != nil
		if err != nil {
			return err
		}
		d.immediate = false
		update(list)
		if d.index == lastIndex && time.Since(started) < minCallInterval {
			// Avoids a busy loop on a service that does not hold long polls.
			if !Sleep(ctx, minCallInterval) {
				return ctx.Err()
			}
		}
	}
}

// fetchUpdate makes one call and returns the snapshot or changes that it delivers.
func (d *Discovery) fetchUpdate(ctx context.Context) (List, error) {
	if !d.hasIndex {
		return d.fetchSnapshot(ctx)
	}
	longPoll, timeout := d.timeouts.LongPoll, d.timeouts.LongPoll+d.timeouts.Response
	if d.lastFailed || d.immediate {
		// Missed changes are returned at once, and long polling would only delay the
		// detection of a service that does not respond.
		longPoll, timeout = 0, d.timeouts.Immediate
	}
	url := fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, d.index, longPoll.Milliseconds())
	list, err := d.fetch(ctx, url, timeout)
	if err != nil {
		return List{}, err
	}
	if list.Index < d.index && !list.Snapshot {
		// The service has restarted, so its delta does not apply to the previous list.
		return d.fetchSnapshot(ctx)
	}
	d.index = list.Index
	return list, nil
}

func (d *Discovery) fetchSnapshot(ctx context.Context) (List, error) {
	list, err := d.fetch(ctx, d.url, d.timeouts.Immediate)
	if err != nil {
		return List{}, err
	}
	list.Snapshot = true // a call without an index always returns a snapshot
	d.index, d.hasIndex = list.Index, true
	return list, nil
}

func (d *Discovery) fetch(ctx context.Context, url string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: create request: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery: status %d, want 200", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return List{}, fmt.Errorf("discovery: read response: %w", err)
	}
	list, err := Decode(body)
	if err != nil {
		return List{}, fmt.Errorf("discovery: invalid response: %w", err)
	}
	return list, nil
}
