package nodes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// PushWait is how long a watch may wait where an agent on this machine
	// answers at no cost. It is short because a silent agent is found out only
	// after it, and what it had to tell counts as told 2 s after it.
	PushWait = 2 * time.Second
	// AskWait is the same where one service answers all sidecars: each call
	// costs it a share of a fixed capacity, so they are few.
	AskWait = 20 * time.Second

	// answerTime is what a call gets beyond its wait: half of the 2 s after
	// which the news counts as told, so that a second call can still bring it.
	answerTime = time.Second
	// listTime is what a call for the whole list gets, of the 6 s after which
	// it counts as told; asked discovery works through calls in turn.
	listTime = 2 * time.Second

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
	wait    time.Duration
	http    http.Client
	index   uint64
	started bool // index is of an answer of this service
}

// NewDiscovery returns a Discovery of the discovery at addr, whose watches wait for
// as long as wait.
func NewDiscovery(addr string, wait time.Duration) *Discovery {
	return &Discovery{
		addr: addr,
		base: "http://" + addr + "/api/targets",
		wait: wait,
		http: http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: answerTime}).DialContext,
			MaxIdleConnsPerHost: 1,
		}},
	}
}

// String implements Source.
func (c *Discovery) String() string { return "discovery " + c.addr }

// Close lets go of the connection that waits for the next call.
func (c *Discovery) Close() { c.http.CloseIdleConnections() }

// Follow hands each answer to update, the whole list first, then what changes,
// until a call fails or ctx ends; it returns why. A Discovery that is followed
// again goes on from where it was.
func (c *Discovery) Follow(ctx context.Context, update func(List)) error {
	for {
		asked, before := time.Now(), c.index
		list, err := c.next(ctx)
		if err != nil {
			return err
		}
		update(list)
		if c.index == before && time.Since(asked) < pace {
			// Nothing new and no wait: not to spin on a discovery that does
			// not hold its watches.
			if !sleep(ctx, pace) {
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
	url := fmt.Sprintf("%s?after=%d&wait_ms=%d", c.base, c.index, c.wait.Milliseconds())
	list, err := c.call(ctx, url, c.wait+answerTime)
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
	list, err := c.call(ctx, c.base, listTime)
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
