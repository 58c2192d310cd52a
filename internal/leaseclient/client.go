package leaseclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"gorselink/lease"
)

// Client sends requests to the lease server. It keeps at most one connection, to the leader once
// that is known, and is safe for concurrent use.
type Client struct {
	cluster string
	voters  []Voter

	mu            sync.Mutex
	target        int // index in voters of the voter to connect to
	conn          *clientConn
	lastRequestID uint64
	closed        bool
	watchers      map[string]map[chan lease.Record]bool // by the name of the lease
}

// NewClient returns a client of a cluster of voters. The voters' addresses must be reachable from
// this process; they may differ from the addresses that the voters use for each other.
func NewClient(cluster string, voters []Voter) (*Client, error) {
	if len(voters) == 0 {
		return nil, errors.New("leaseclient: no voters are configured")
	}
	return &Client{cluster: cluster, voters: voters, target: rand.IntN(len(voters)), watchers: map[string]map[chan lease.Record]bool{}}, nil
}

// clientConn is one connection and its requests in flight.
type clientConn struct {
	frames    *FrameConn
	voter     int // index in Client.voters
	closed    chan struct{}
	closeOnce sync.Once
	writeMu   sync.Mutex

	mu      sync.Mutex
	pending map[uint64]chan Response // by request ID
}

func (cc *clientConn) close() {
	cc.closeOnce.Do(func() {
		cc.frames.Close()
		close(cc.closed)
	})
}

// Close closes the connection. Requests in flight and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
}

// ErrNoResponse is wrapped by the error of a request that got no response from a leader.
// The request may have been executed or not.
var ErrNoResponse = errors.New("no response from the leader")

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 3 * time.Second // for one attempt on one connection
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = time.Second
)

// connect returns the open connection, or opens one to the target voter.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if cc := c.conn; cc != nil {
		c.mu.Unlock()
		return cc, nil
	}
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	target := c.target
	c.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", c.voters[target].Address)
	if err != nil {
		c.retarget(target, 0)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	frames := NewFrameConn(raw)
	if _, err := frames.Handshake(Hello{Cluster: c.cluster}); err != nil {
		raw.Close()
		c.retarget(target, 0)
		return nil, err
	}
	cc := &clientConn{frames: frames, voter: target, closed: make(chan struct{}), pending: map[uint64]chan Response{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil || c.closed { // another goroutine has connected or closed the client meanwhile
		raw.Close()
		if c.closed {
			return nil, net.ErrClosed
		}
		return c.conn, nil
	}
	c.conn = cc
	go c.readLoop(cc)
	return cc, nil
}

// retarget selects the leader as the next target, or another voter at random if leaderID
// is 0 or unknown. It does nothing if the target is no longer the voter at index from.
func (c *Client) retarget(from int, leaderID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != from {
		return
	}
	c.target = (from + 1 + rand.IntN(max(1, len(c.voters)-1))) % len(c.voters)
	for i, v := range c.voters {
		if v.ID == leaderID && leaderID != 0 {
			c.target = i
		}
	}
}

// drop closes a connection and selects the next target, see retarget.
func (c *Client) drop(cc *clientConn, leaderID uint64) {
	cc.close()
	c.mu.Lock()
	if c.conn == cc {
		c.conn = nil
	}
	c.mu.Unlock()
	c.retarget(cc.voter, leaderID)
}

// readLoop dispatches the frames that arrive on a connection until it fails.
func (c *Client) readLoop(cc *clientConn) {
	defer c.drop(cc, 0)
	for {
		kind, body, err := cc.frames.ReadFrame(MaxFrameBytes)
		if err != nil {
			return
		}
		switch kind {
		case FrameResponse:
			var response Response
			if json.Unmarshal(body, &response) != nil {
				return
			}
			cc.mu.Lock()
			responses := cc.pending[response.RequestID]
			delete(cc.pending, response.RequestID)
			cc.mu.Unlock()
			if responses != nil {
				responses <- response
			}
		case FrameLeaseChange:
			var change LeaseChange
			if json.Unmarshal(body, &change) != nil {
				return
			}
			c.mu.Lock()
			for ch := range c.watchers[change.Lease] {
				select {
				case ch <- change.Record:
				default: // the watcher has not read the previous record yet
				}
			}
			c.mu.Unlock()
		case FrameHello: // the voter rejects the connection
			return
		}
	}
}

// request repeats a request until a leader responds or ctx ends.
func (c *Client) request(ctx context.Context, req Request) (*Response, error) {
	var lastErr error
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		response, cc, err := c.requestOnce(ctx, req)
		switch {
		case err == nil && !response.NotLeader:
			return response, nil
		case err == nil:
			lastErr = fmt.Errorf("voter %d is not the leader", c.voters[cc.voter].ID)
			c.drop(cc, response.Leader)
			if response.Leader != 0 && delay == minRetryDelay {
				continue
			}
		case errors.Is(err, net.ErrClosed) && c.isClosed():
			return nil, err
		default:
			lastErr = err
		}
		timer := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, fmt.Errorf("leaseclient: %w: %w (last attempt: %w)", ErrNoResponse, ctx.Err(), lastErr)
		case <-timer.C:
		}
	}
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// requestOnce makes one attempt at a request.
func (c *Client) requestOnce(ctx context.Context, req Request) (*Response, *clientConn, error) {
	cc, err := c.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	c.lastRequestID++
	req.RequestID = c.lastRequestID
	c.mu.Unlock()
	responses := make(chan Response, 1)
	cc.mu.Lock()
	cc.pending[req.RequestID] = responses
	cc.mu.Unlock()
	cc.writeMu.Lock()
	cc.frames.SetWriteDeadline(time.Now().Add(requestTimeout))
	err = cc.frames.WriteJSON(FrameRequest, req)
	cc.writeMu.Unlock()
	if err != nil {
		c.drop(cc, 0)
		return nil, cc, err
	}
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case response := <-responses:
		return &response, cc, nil
	case <-cc.closed:
		return nil, cc, errors.New("connection closed before the response arrived")
	case <-timer.C:
		c.drop(cc, 0)
		return nil, cc, fmt.Errorf("voter %d did not respond in time", c.voters[cc.voter].ID)
	case <-ctx.Done():
		return nil, cc, ctx.Err()
	}
}

// Do executes a command. If the lease server rejects it, Result.Err is set; an error
// returned by Do means that the outcome is unknown.
func (c *Client) Do(ctx context.Context, cmd lease.Command) (lease.Result, error) {
	response, err := c.request(ctx, Request{Command: &cmd})
	if err != nil {
		return lease.Result{}, err
	}
	return response.result(), nil
}

// List returns the leader's records of all leases, by name.
func (c *Client) List(ctx context.Context) (map[string]lease.Record, error) {
	response, err := c.request(ctx, Request{List: true})
	if err != nil {
		return nil, err
	}
	return response.Leases, nil
}

// StatusOf returns the status of one voter, whether or not it is the leader.
func StatusOf(ctx context.Context, cluster string, v Voter) (*Status, error) {
	c, err := NewClient(cluster, []Voter{v})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	response, _, err := c.requestOnce(ctx, Request{Status: true})
	if err != nil {
		return nil, err
	}
	return response.Status, nil
}

// Watch sends the current record of a lease and then its changes, until ctx ends. Changes
// can be missed while the leader changes or the receiver is slow, so callers that wait for
// a state must also poll.
func (c *Client) Watch(ctx context.Context, name string) <-chan lease.Record {
	ch := make(chan lease.Record, 1)
	c.mu.Lock()
	if c.watchers[name] == nil {
		c.watchers[name] = map[chan lease.Record]bool{}
	}
	c.watchers[name][ch] = true
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			delete(c.watchers[name], ch)
			if len(c.watchers[name]) == 0 {
				delete(c.watchers, name)
			}
			c.mu.Unlock()
		}()
		for ctx.Err() == nil { // each new connection needs its own watch request
			response, err := c.request(ctx, Request{Watch: name})
			if err != nil {
				return
			}
			select {
			case ch <- response.Record:
			default:
			}
			c.mu.Lock()
			cc := c.conn
			c.mu.Unlock()
			if cc == nil {
				continue
			}
			select {
			case <-cc.closed:
			case <-ctx.Done():
			}
		}
	}()
	return ch
}
