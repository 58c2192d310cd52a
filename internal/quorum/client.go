package quorum

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

// Client asks a quorum. It is safe for concurrent use, and holds one connection at a time:
// to the leader, once it has found it.
type Client struct {
	cluster string
	voters  []Voter

	mu     sync.Mutex
	guess  int // of voters
	conn   *clientConn
	number uint64
	ended  bool
	watch  map[string]map[chan lease.Record]bool
}

// NewClient returns a client of a cluster. The voters' addresses are as this process
// reaches them.
func NewClient(cluster string, voters []Voter) (*Client, error) {
	if len(voters) == 0 {
		return nil, errors.New("quorum: no voters")
	}
	return &Client{cluster: cluster, voters: voters, guess: rand.IntN(len(voters)), watch: map[string]map[chan lease.Record]bool{}}, nil
}

// clientConn is one connection with what is asked over it.
type clientConn struct {
	l      *FrameConn
	voter  int
	broken chan struct{}
	once   sync.Once
	write  sync.Mutex

	mu      sync.Mutex
	waiting map[uint64]chan Response
}

func (cc *clientConn) close() {
	cc.once.Do(func() {
		cc.l.Close()
		close(cc.broken)
	})
}

// Close ends the connection; what is asked fails.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.conn != nil {
		c.conn.close()
	}
}

// ErrUnheard is in the chain of errors of what got no answer from a leader. Whether it
// was done is not known.
var ErrUnheard = errors.New("no answer from the quorum")

const (
	dialPatience = 2 * time.Second
	askPatience  = 3 * time.Second // on one connection
	againLeast   = 20 * time.Millisecond
	againMost    = time.Second
)

// connect returns the connection there is, or makes one to the guess.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if cc := c.conn; cc != nil {
		c.mu.Unlock()
		return cc, nil
	}
	if c.ended {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	k := c.guess
	c.mu.Unlock()
	d := net.Dialer{Timeout: dialPatience}
	raw, err := d.DialContext(ctx, "tcp", c.voters[k].Address)
	if err != nil {
		c.next(k, 0)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	l := NewFrameConn(raw)
	if _, err := l.Handshake(Hello{Cluster: c.cluster}); err != nil {
		raw.Close()
		c.next(k, 0)
		return nil, err
	}
	cc := &clientConn{l: l, voter: k, broken: make(chan struct{}), waiting: map[uint64]chan Response{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil || c.ended { // somebody else was faster
		raw.Close()
		if c.ended {
			return nil, net.ErrClosed
		}
		return c.conn, nil
	}
	c.conn = cc
	go c.hear(cc)
	return cc, nil
}

// next leaves a voter for the one that leads, if that is known, or for another.
func (c *Client) next(from int, leader uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guess != from {
		return
	}
	c.guess = (from + 1 + rand.IntN(max(1, len(c.voters)-1))) % len(c.voters)
	for i, v := range c.voters {
		if v.ID == leader && leader != 0 {
			c.guess = i
		}
	}
}

// drop gives a connection up.
func (c *Client) drop(cc *clientConn, leader uint64) {
	cc.close()
	c.mu.Lock()
	if c.conn == cc {
		c.conn = nil
	}
	c.mu.Unlock()
	c.next(cc.voter, leader)
}

// hear takes what comes over a connection.
func (c *Client) hear(cc *clientConn) {
	defer c.drop(cc, 0)
	for {
		kind, body, err := cc.l.ReadFrame(MaxFrameBytes)
		if err != nil {
			return
		}
		switch kind {
		case FrameResponse:
			var a Response
			if json.Unmarshal(body, &a) != nil {
				return
			}
			cc.mu.Lock()
			got := cc.waiting[a.RequestID]
			delete(cc.waiting, a.RequestID)
			cc.mu.Unlock()
			if got != nil {
				got <- a
			}
		case FrameLeaseChange:
			var x LeaseChange
			if json.Unmarshal(body, &x) != nil {
				return
			}
			c.mu.Lock()
			for ch := range c.watch[x.Lease] {
				select {
				case ch <- x.Record:
				default: // it has one to look at already
				}
			}
			c.mu.Unlock()
		case FrameHello: // why we are turned away
			return
		}
	}
}

// ask asks until the leader answers or ctx ends.
func (c *Client) ask(ctx context.Context, q Request) (*Response, error) {
	var last error
	for wait := againLeast; ; wait = min(2*wait, againMost) {
		a, cc, err := c.once(ctx, q)
		switch {
		case err == nil && !a.NotLeader:
			return a, nil
		case err == nil:
			last = fmt.Errorf("voter %d does not lead", c.voters[cc.voter].ID)
			c.drop(cc, a.Leader)
			if a.Leader != 0 && wait == againLeast {
				continue
			}
		case errors.Is(err, net.ErrClosed) && c.closed():
			return nil, err
		default:
			last = err
		}
		t := time.NewTimer(wait/2 + time.Duration(rand.Int64N(int64(wait))))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, fmt.Errorf("quorum: %w: %w (last: %w)", ErrUnheard, ctx.Err(), last)
		case <-t.C:
		}
	}
}

func (c *Client) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *Client) once(ctx context.Context, q Request) (*Response, *clientConn, error) {
	cc, err := c.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	c.number++
	q.RequestID = c.number
	c.mu.Unlock()
	got := make(chan Response, 1)
	cc.mu.Lock()
	cc.waiting[q.RequestID] = got
	cc.mu.Unlock()
	cc.write.Lock()
	cc.l.SetWriteDeadline(time.Now().Add(askPatience))
	err = cc.l.WriteJSON(FrameRequest, q)
	cc.write.Unlock()
	if err != nil {
		c.drop(cc, 0)
		return nil, cc, err
	}
	t := time.NewTimer(askPatience)
	defer t.Stop()
	select {
	case a := <-got:
		return &a, cc, nil
	case <-cc.broken:
		return nil, cc, errors.New("the connection broke")
	case <-t.C:
		c.drop(cc, 0)
		return nil, cc, fmt.Errorf("voter %d is silent", c.voters[cc.voter].ID)
	case <-ctx.Done():
		return nil, cc, ctx.Err()
	}
}

// Do has a command done. The Reply's error is the quorum's word; the other error means
// that there was none.
func (c *Client) Do(ctx context.Context, cmd lease.Command) (lease.Reply, error) {
	a, err := c.ask(ctx, Request{Command: &cmd})
	if err != nil {
		return lease.Reply{}, err
	}
	return a.reply(), nil
}

// List is all leases as the leader has them.
func (c *Client) List(ctx context.Context) (map[string]lease.Record, error) {
	a, err := c.ask(ctx, Request{List: true})
	if err != nil {
		return nil, err
	}
	return a.Leases, nil
}

// StatusOf is how one voter stands, whether it leads or not.
func StatusOf(ctx context.Context, cluster string, v Voter) (*Status, error) {
	c, err := NewClient(cluster, []Voter{v})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	a, _, err := c.once(ctx, Request{Status: true})
	if err != nil {
		return nil, err
	}
	return a.Status, nil
}

// Watch tells the lease as it is now, and then each change that this client hears of: a
// change of leader may hide one, so whoever waits also looks now and then. It ends with
// ctx.
func (c *Client) Watch(ctx context.Context, name string) <-chan lease.Record {
	ch := make(chan lease.Record, 1)
	c.mu.Lock()
	if c.watch[name] == nil {
		c.watch[name] = map[chan lease.Record]bool{}
	}
	c.watch[name][ch] = true
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			delete(c.watch[name], ch)
			if len(c.watch[name]) == 0 {
				delete(c.watch, name)
			}
			c.mu.Unlock()
		}()
		for ctx.Err() == nil { // once for each connection
			a, err := c.ask(ctx, Request{Watch: name})
			if err != nil {
				return
			}
			select {
			case ch <- a.Record:
			default:
			}
			c.mu.Lock()
			cc := c.conn
			c.mu.Unlock()
			if cc == nil {
				continue
			}
			select {
			case <-cc.broken:
			case <-ctx.Done():
			}
		}
	}()
	return ch
}
