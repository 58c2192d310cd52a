package nodes

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

// Times are how long calls of a Discovery may take.
type Timeouts struct {
	LongPoll  time.Duration // that a watch may wait for news
	Response  time.Duration // that it gets beyond its wait, and a connection to come up
	Immediate time.Duration // that a call for the whole list gets, or one that does not wait
}

// usualGrace is the drain grace where none is told.
const usualGrace = 2 * time.Second

// PushTimes are those where an agent on this machine answers at no cost, and grace is
// how long after the news of a drain the last request may go to it.
//
// A call that was open when the agent fell silent may never be answered, while what the
// agent has to tell counts as told from the moment it is back. So no call may hang for as
// long as half of the grace, and a silence that comes twice, or three times, in a row is
// still over within the 6 s after which the news counts as told.
func LocalAgentTimeouts(grace time.Duration) Timeouts {
	quarter := min(max(cmp.Or(grace, usualGrace)/4, leastWait), mostPushWait)
	return Timeouts{LongPoll: quarter, Response: max(quarter/2, leastWait), Immediate: max(quarter, 2*leastWait)}
}

// AskTimes are those where one service answers all sidecars: each call costs it a share
// of a fixed capacity, so they are few, and it works through them in turn.
func SharedServiceTimeouts() Timeouts {
	return Timeouts{
		LongPoll: 20 * time.Second,
		// Half of the 2 s after which the news counts as told, so that a second
		// call can still bring it.
		Response: time.Second,
		// Of the 6 s after which the whole list counts as told.
		Immediate: 2 * time.Second,
	}
}

const (
	// leastWait is what an agent on this machine always gets: a process that has a part
	// of a core may not run for some of it.
	leastWait    = 100 * time.Millisecond
	mostPushWait = 500 * time.Millisecond

	// pace is the least time between calls that bring nothing, well inside the
	// 200 ms after which a watch counts as ended.
	pace = 50 * time.Millisecond

	maxAnswer = 2 << 20 // bytes of an answer: some thousand endpoints have under 1 MiB, and 32 MB is all there may be
)

// Discovery is a Source: it follows the endpoint list of one discovery service
// over HTTP.
type Discovery struct {
	addr    string
	base    string
	times   Timeouts
	http    http.Client
	index   uint64
	started bool // index is of an answer of this service
	failed  bool // the last call has
	prompt  bool // the next call is not to wait
}

// NewDiscovery returns a Discovery of the discovery at addr.
func NewDiscovery(addr string, times Timeouts) *Discovery {
	return &Discovery{
		addr:  addr,
		base:  "http://" + addr + "/api/targets",
		times: times,
		http: http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: times.Response}).DialContext,
			MaxIdleConnsPerHost: 1,
		}},
	}
}

// Resume makes the first call ask for what has changed since index, which is a version of
// the list that this discovery serves: a whole list costs a discovery that answers all
// sidecars of a large fleet some ten times as much as a change, and with all of them asking
// for one at once it was half a minute until the last had been answered. Where its versions
// have begun anew since, or its history does not reach back, the whole list comes all the
// same.
//
// The call does not wait for news: what discovery has by then, and that it is heard at all,
// is to be known at once. Call Resume before Follow.
func (c *Discovery) Resume(index uint64) {
	c.index, c.started, c.prompt = index, true, true
}

// String implements Source.
func (c *Discovery) String() string { return "discovery " + c.addr }

// Silent tells of a failure to follow whether nothing came at all, which may be a
// connection that has fallen silent and no word of discovery.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Close lets go of the connection that waits for the next call.
func (c *Discovery) Close() { c.http.CloseIdleConnections() }

// Follow hands each answer to update, the whole list first, then what changes,
// until a call fails or ctx ends; it returns why. A Discovery that is followed
// again goes on from where it was.
func (c *Discovery) Follow(ctx context.Context, update func(List)) error {
	for {
		asked, before := time.Now(), c.index
		list, err := c.next(ctx)
		c.failed = err != nil
		if err != nil {
			return err
		}
		c.prompt = false
		update(list)
		if c.index == before && time.Since(asked) < pace {
			// Nothing new and no wait: not to spin on a discovery that does
			// not hold its watches.
			if !Sleep(ctx, pace) {
				return ctx.Err()
			}
		}
	}
}

// next makes one call and returns its answer.
func (c *Discovery) next(ctx context.Context) (List, error) {
	if !c.started {
		return c.whole(ctx)
	}
	wait, limit := c.times.LongPoll, c.times.LongPoll+c.times.Response
	if c.failed || c.prompt {
		// What was missed is to be had at once or not at all; a wait would only hide
		// that this call is not heard either.
		wait, limit = 0, c.times.Immediate
	}
	url := fmt.Sprintf("%s?after=%d&wait_ms=%d", c.base, c.index, wait.Milliseconds())
	list, err := c.call(ctx, url, limit)
	if err != nil {
		return List{}, err
	}
	if list.Index < c.index && !list.Snapshot {
		// Discovery has restarted: changes to its new list cannot be applied
		// to the old one.
		return c.whole(ctx)
	}
	c.index = list.Index
	return list, nil
}

func (c *Discovery) whole(ctx context.Context) (List, error) {
	list, err := c.call(ctx, c.base, c.times.Immediate)
	if err != nil {
		return List{}, err
	}
	list.Snapshot = true // this call gives nothing else
	c.index, c.started = list.Index, true
	return list, nil
}

func (c *Discovery) call(ctx context.Context, url string, limit time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	return list, nil
}
