// Package standin holds scripted stand-ins for the systems around the program:
// nodes that serve and fail on command, and a discovery agent. Tests and the
// demo use them; they listen on loopback addresses only.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
)

// Mode is how a Node treats the requests that reach it.
type Mode int

const (
	ModeServe     Mode = iota
	ModeFreeze         // takes requests and begins none until the mode changes
	ModeNoAnswer       // runs each request and never answers
	ModeError          // runs each request and answers 500
	ModeMalformed      // runs each request and answers noise
	ModeReset          // runs each request and breaks the connection
	ModeReject         // runs nothing: 503 with X-Rejected
)

// Modes are the names of the modes, as the demo takes them.
var ModesByName = map[string]Mode{
	"serve": ModeServe, "freeze": ModeFreeze, "mute": ModeNoAnswer, "error": ModeError, "spoil": ModeMalformed, "reset": ModeReset, "refuse": ModeReject,
}

// NodeConfig says what a Node is. The zero value serves at once.
type NodeConfig struct {
	Name       string
	Latency    time.Duration  // of every answer, whatever else is running
	Work       time.Duration  // of one core, for every request
	WorkFactor func() float64 // how many times Work a request takes; nil for once. Safe for concurrent use
	Cores      int            // requests that are worked on at once; 0 for no bound
	Queue      int            // requests that wait for a core, more are turned away; 0 for no bound

	// Warm is how long a node that has come back is cold: its work takes
	// 1/ColdShare of the usual at first and the usual after Warm.
	WarmUp    time.Duration
	ColdShare float64

	// Answer, if set, makes the answer to a request that has run. It must be
	// safe for concurrent use.
	Answer func(req *http.Request, body []byte) Answer
	// Observe, if set, is called with each request that has come whole, before
	// it runs. It must be safe for concurrent use.
	Observe func(req *http.Request, body []byte)
}

// Answer is what a node answers.
type Answer struct {
	Status int // 0 for 200
	Header http.Header
	Body   string
}

// Node is a stand-in for one endpoint. It listens on a loopback address of its
// own and counts what it runs by X-Call-Id.
type Node struct {
	cfg   NodeConfig
	addr  string
	cores chan struct{} // one token for each core; nil for no bound

	mu      sync.Mutex
	l       net.Listener
	conns   map[net.Conn]bool
	mode    Mode
	changed chan struct{} // closed when the mode changes or the node goes
	life    int           // grows with each return
	since   time.Time     // of the last return; zero for the first life
	factor  float64       // of Work, see Slow; 0 for 1
	runs    map[string]int
	total   int
	opened  int // connections ever
	waiting int // for a core
	open    int // requests that are in
	most    int // requests that were in at once
}

// StartNode starts a Node on a free port of 127.0.0.1.
func StartNode(cfg NodeConfig) (*Node, error) {
	n := &Node{cfg: cfg, runs: map[string]int{}, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	if cfg.Cores > 0 {
		n.cores = make(chan struct{}, cfg.Cores)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in node %s: %w", cfg.Name, err)
	}
	n.l, n.addr = l, l.Addr().String()
	if n.cfg.Name == "" {
		n.cfg.Name = n.addr
	}
	go n.accept(l)
	return n, nil
}

// Addr is where the node listens, the same in all its lives.
func (n *Node) Addr() string { return n.addr }

// Name is the node's name; its address unless one was given.
func (n *Node) Name() string { return n.cfg.Name }

// Set changes how requests are treated from now on; those held by Freeze are
// looked at anew.
func (n *Node) SetMode(m Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = m
	close(n.changed)
	n.changed = make(chan struct{})
}

// Slow makes all work take factor times as long from now on; what is being worked
// on is not changed.
func (n *Node) SetSlowdown(factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.factor = factor
}

// Vanish ends the node as a process that dies: its connections are reset and
// new ones refused.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.l == nil {
		return
	}
	n.l.Close()
	n.l = nil
	for c := range n.conns {
		abort(c)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Return starts the node again at its address, cold and serving. What it has
// run in former lives stays counted.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.l != nil {
		return nil
	}
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("stand-in node %s: %w", n.cfg.Name, err)
	}
	n.l, n.mode, n.since = l, ModeServe, time.Now()
	n.life++
	go n.accept(l)
	return nil
}

// Close ends the node for good.
func (n *Node) Close() { n.Crash() }

// Since is when the node last returned; zero in its first life.
func (n *Node) RestartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.since
}

// Runs is how often each id has run. Requests without an id count under "".
func (n *Node) RunsByID() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.runs)
}

// Total is how many requests have run.
func (n *Node) TotalRuns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.total
}

// Open is how many requests are in, and MostOpen how many were at once.
func (n *Node) OpenRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

// MostOpen is the most requests that were in at once.
func (n *Node) MostOpen() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most
}

// Opened is how many connections have ever come.
func (n *Node) TotalConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opened
}

// Conns is how many connections are open.
func (n *Node) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Node) accept(l net.Listener) {
	acceptloop.Serve(l, func(c net.Conn) {
		n.mu.Lock()
		if n.l != l { // a connection of a life that has ended
			n.mu.Unlock()
			abort(c)
			return
		}
		n.conns[c] = true
		n.opened++
		n.mu.Unlock()
		go n.serve(c)
	})
}

// abort closes c so that the other side sees a reset.
func abort(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

// maxBody is the longest body that a node reads, beyond all that tests send.
const maxBody = 64 << 20

func (n *Node) serve(c net.Conn) {
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
		if err != nil {
			return
		}
		if !n.one(c, req, body) {
			return
		}
	}
}

// one treats one request and tells whether the connection goes on.
func (n *Node) one(c net.Conn, req *http.Request, body []byte) bool {
	life := n.enter(1)
	defer n.enter(-1)
	if n.cfg.Observe != nil {
		n.cfg.Observe(req, body)
	}
	for {
		mode, changed, alive := n.now(life)
		switch {
		case !alive:
			abort(c)
			return false
		case mode == ModeFreeze:
			<-changed
			continue
		case mode == ModeReject:
			return n.answer(c, req, Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"X-Rejected": {"1"}}})
		}
		break
	}
	if !n.work() {
		return n.answer(c, req, Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"X-Rejected": {"1"}}})
	}
	n.mu.Lock()
	n.runs[req.Header.Get("X-Call-Id")]++
	n.total++
	mode, changed := n.mode, n.changed
	n.mu.Unlock()
	switch mode {
	case ModeNoAnswer:
		<-changed
		return false
	case ModeReset:
		abort(c)
		return false
	case ModeError:
		return n.answer(c, req, Answer{Status: http.StatusInternalServerError, Body: n.cfg.Name + " failed\n"})
	case ModeMalformed:
		io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	}
	if n.cfg.Answer != nil {
		return n.answer(c, req, n.cfg.Answer(req, body))
	}
	return n.answer(c, req, Answer{Body: fmt.Sprintf("%s %s %s%s %d\n", n.cfg.Name, req.Method, req.Host, req.RequestURI, len(body))})
}

// now is how requests are treated, until when, and whether this life goes on.
func (n *Node) now(life int) (m Mode, changed <-chan struct{}, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode, n.changed, n.l != nil && n.life == life
}

// enter books that a request has come or gone, and tells the node's life.
func (n *Node) enter(d int) (life int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open += d
	n.most = max(n.most, n.open)
	return n.life
}

// work spends what a request costs. It is false if there was no place in the
// queue.
func (n *Node) work() bool {
	if n.cores != nil {
		n.mu.Lock()
		full := n.cfg.Queue > 0 && n.waiting >= n.cfg.Queue+n.cfg.Cores
		if !full {
			n.waiting++
		}
		n.mu.Unlock()
		if full {
			return false
		}
		n.cores <- struct{}{}
		defer func() {
			<-n.cores
			n.mu.Lock()
			n.waiting--
			n.mu.Unlock()
		}()
	}
	if d := n.cost(); d > 0 {
		time.Sleep(d)
	}
	return true
}

// cost is how long one request takes at present.
func (n *Node) cost() time.Duration {
	work := n.cfg.Work
	n.mu.Lock()
	since, factor := n.since, n.factor
	n.mu.Unlock()
	if n.cfg.WorkFactor != nil {
		work = time.Duration(float64(work) * n.cfg.WorkFactor())
	}
	if factor > 0 {
		work = time.Duration(float64(work) * factor)
	}
	if !since.IsZero() && n.cfg.WarmUp > 0 && n.cfg.ColdShare > 0 {
		if age := time.Since(since); age < n.cfg.WarmUp {
			share := n.cfg.ColdShare + (1-n.cfg.ColdShare)*age.Seconds()/n.cfg.WarmUp.Seconds()
			work = time.Duration(float64(work) / share)
		}
	}
	return n.cfg.Latency + work
}

func (n *Node) answer(c net.Conn, req *http.Request, a Answer) bool {
	if a.Status == 0 {
		a.Status = http.StatusOK
	}
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	a.Header.Write(&out)
	if a.Header.Get("Content-Length") == "" {
		out.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if req.Method != http.MethodHead {
		out.WriteString(a.Body)
	}
	_, err := io.WriteString(c, out.String())
	return err == nil && !req.Close
}
