// Package fakeserver has fakes of the systems that the program talks to: nodes with
// configurable failures, discovery servers and listeners. They listen on loopback
// addresses, unless a Registry is started on another host.
package fakeserver

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/acceptloop"
)

// Mode is how a Node handles requests.
type Mode int

const (
	ModeServe      Mode = iota
	ModeFreeze          // accepts requests and holds them until the mode changes
	ModeNoResponse      // runs each request and sends no response
	ModeError           // runs each request and responds with status 500
	ModeMalformed       // runs each request and sends bytes that are not HTTP
	ModeReset           // runs each request and resets the connection
	ModeReject          // responds with status 503 and X-Rejected, without running the request
	ModeCutHead         // runs each request and closes the connection within the head of the response
	ModeCutBody         // runs each request and closes the connection within the body of the response
	ModeTrickle         // runs each request and sends the response byte by byte
)

// ModesByName has the modes by their names in experiments and in the demo.
var ModesByName = map[string]Mode{
	"serve": ModeServe, "freeze": ModeFreeze, "mute": ModeNoResponse, "error": ModeError, "spoil": ModeMalformed, "reset": ModeReset, "refuse": ModeReject,
	"cut-head": ModeCutHead, "cut-body": ModeCutBody, "trickle": ModeTrickle,
}

// NodeConfig configures a Node. With the zero value, it responds immediately.
type NodeConfig struct {
	Name       string
	Latency    time.Duration  // added to every request, independent of load
	Work       time.Duration  // time of one core per request
	WorkFactor func() float64 // returns a factor on Work for each request; nil means 1. It must be safe for concurrent use
	Cores      int            // limit of requests that run concurrently; 0 means no limit
	Queue      int            // limit of requests that wait for a core, others are rejected; 0 means no limit

	// WarmUp is the time after a restart during which the node is slower. Its speed
	// rises linearly from ColdShare of the normal speed to the normal speed.
	WarmUp    time.Duration
	ColdShare float64

	// Respond, if set, returns the response to a request that has run. It must be safe
	// for concurrent use.
	Respond func(req *http.Request, body []byte) Response
	// Observe, if set, is called with each request that was received completely,
	// before it runs. It must be safe for concurrent use.
	Observe func(req *http.Request, body []byte)
}

// Response is what a node sends back for a request.
type Response struct {
	Status int // 0 means 200
	Header http.Header
	Body   string
}

// Node is a fake server process. It listens on its own loopback address and counts the
// requests that it runs by their X-Call-Id header.
type Node struct {
	cfg   NodeConfig
	addr  string
	cores chan struct{} // semaphore of the cores in use; nil without a limit

	mu              sync.Mutex
	listener        net.Listener // nil while the node is down
	conns           map[net.Conn]bool
	mode            Mode
	changed         chan struct{} // closed when the mode changes or the node crashes
	generation      int           // number of restarts
	restartedAt     time.Time     // zero before the first restart
	slowdown        float64       // factor on Work, see SetSlowdown; 0 means 1
	runsByID        map[string]int
	totalRuns       int
	totalConns      int // connections accepted since the start
	coreRequests    int // requests that use a core or wait for one
	openRequests    int // requests received and not finished
	maxOpenRequests int // maximum of openRequests
}

var lastNodeHost atomic.Uint32

// nodeHost returns a loopback host that no other Node of this process uses, and no outgoing
// connection as its source, so that nothing takes the port of a node that is down.
func nodeHost() string {
	n := lastNodeHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()&63, n>>8&255, n&255)
}

// StartNode starts a Node on a free port of a loopback host of its own.
func StartNode(cfg NodeConfig) (*Node, error) {
	n := &Node{cfg: cfg, runsByID: map[string]int{}, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	if cfg.Cores > 0 {
		n.cores = make(chan struct{}, cfg.Cores)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(nodeHost(), "0"))
	if err != nil {
		return nil, fmt.Errorf("start fake node %s: %w", cfg.Name, err)
	}
	n.listener, n.addr = l, l.Addr().String()
	if n.cfg.Name == "" {
		n.cfg.Name = n.addr
	}
	go n.accept(l)
	return n, nil
}

// Addr returns the listen address, which a restart does not change.
func (n *Node) Addr() string { return n.addr }

// Name returns the configured name, or the address if there is none.
func (n *Node) Name() string { return n.cfg.Name }

// SetMode sets the mode for new requests and for those held by ModeFreeze. Requests held
// by ModeNoResponse lose their connection.
func (n *Node) SetMode(m Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = m
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetSlowdown sets a factor on the work of requests that start after the call.
func (n *Node) SetSlowdown(factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowdown = factor
}

// Crash simulates the crash of the process: connections are reset and new ones are
// refused.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return
	}
	n.listener.Close()
	n.listener = nil
	for c := range n.conns {
		abort(c)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Restart starts the node after a crash, at the same address, in ModeServe and at the
// start of its WarmUp. Counters are kept.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("restart fake node %s: %w", n.cfg.Name, err)
	}
	n.listener, n.mode, n.restartedAt = l, ModeServe, time.Now()
	n.generation++
	go n.accept(l)
	return nil
}

// Close stops the node.
func (n *Node) Close() { n.Crash() }

// RestartedAt returns the time of the last restart, or zero.
func (n *Node) RestartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.restartedAt
}

// RunsByID returns the number of runs by X-Call-Id, which is "" for requests without it.
func (n *Node) RunsByID() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.runsByID)
}

// TotalRuns returns the number of requests that ran.
func (n *Node) TotalRuns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.totalRuns
}

// OpenRequests returns the number of requests received and not finished.
func (n *Node) OpenRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openRequests
}

// MaxOpenRequests returns the maximum of OpenRequests since the start.
func (n *Node) MaxOpenRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maxOpenRequests
}

// TotalConns returns the number of connections accepted since the start.
func (n *Node) TotalConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.totalConns
}

// OpenConns returns the number of open connections.
func (n *Node) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Node) accept(l net.Listener) {
	acceptloop.Serve(l, func(c net.Conn) {
		n.mu.Lock()
		if n.listener != l { // the node has crashed since the connection was accepted
			n.mu.Unlock()
			abort(c)
			return
		}
		n.conns[c] = true
		n.totalConns++
		n.mu.Unlock()
		go n.serve(c)
	})
}

// abort closes c with a TCP reset.
func abort(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

// maxBody is the maximum number of bytes that a node reads from a request body.
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
		if !n.handle(c, req, body) {
			return
		}
	}
}

// handle treats one request as the mode requires: it runs, rejects or holds it, and sends
// the response. It reports whether the connection stays open.
func (n *Node) handle(c net.Conn, req *http.Request, body []byte) bool {
	generation := n.countOpen(1)
	defer n.countOpen(-1)
	if n.cfg.Observe != nil {
		n.cfg.Observe(req, body)
	}
	for {
		mode, changed, alive := n.state(generation)
		switch {
		case !alive:
			abort(c)
			return false
		case mode == ModeFreeze:
			<-changed
			continue
		case mode == ModeReject:
			return n.writeResponse(c, req, Response{Status: http.StatusServiceUnavailable, Header: http.Header{"X-Rejected": {"1"}}})
		}
		break
	}
	if !n.work() {
		return n.writeResponse(c, req, Response{Status: http.StatusServiceUnavailable, Header: http.Header{"X-Rejected": {"1"}}})
	}
	n.mu.Lock()
	n.runsByID[req.Header.Get("X-Call-Id")]++
	n.totalRuns++
	mode, changed := n.mode, n.changed
	n.mu.Unlock()
	switch mode {
	case ModeNoResponse:
		<-changed
		return false
	case ModeReset:
		abort(c)
		return false
	case ModeError:
		return n.writeResponse(c, req, Response{Status: http.StatusInternalServerError, Body: n.cfg.Name + " failed\n"})
	case ModeMalformed:
		io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	}
	var response Response
	if n.cfg.Respond != nil {
		response = n.cfg.Respond(req, body)
	} else {
		response = Response{Body: fmt.Sprintf("%s %s %s%s %d\n", n.cfg.Name, req.Method, req.Host, req.RequestURI, len(body))}
	}
	text := encodeResponse(req, response)
	switch mode {
	case ModeCutHead:
		io.WriteString(c, text[:strings.Index(text, headEnd)])
		return false
	case ModeCutBody:
		io.WriteString(c, text[:max(strings.Index(text, headEnd)+len(headEnd), len(text)-1)])
		return false
	case ModeTrickle:
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return false
			}
			time.Sleep(trickleInterval)
		}
		return !req.Close
	}
	_, err := io.WriteString(c, text)
	return err == nil && !req.Close
}

// headEnd separates the head of a response from its body.
const headEnd = "\r\n\r\n"

// trickleInterval is the time between two bytes in ModeTrickle.
const trickleInterval = time.Millisecond

// state returns the mode, a channel that is closed when it changes, and whether the node
// is still in this generation, that is, has not crashed since.
func (n *Node) state(generation int) (m Mode, changed <-chan struct{}, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode, n.changed, n.listener != nil && n.generation == generation
}

// countOpen adds delta to the number of open requests and returns the generation.
func (n *Node) countOpen(delta int) (generation int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openRequests += delta
	n.maxOpenRequests = max(n.maxOpenRequests, n.openRequests)
	return n.generation
}

// work waits for a core and for the time that a request takes. It returns false if the
// queue is full.
func (n *Node) work() bool {
	if n.cores != nil {
		n.mu.Lock()
		full := n.cfg.Queue > 0 && n.coreRequests >= n.cfg.Queue+n.cfg.Cores
		if !full {
			n.coreRequests++
		}
		n.mu.Unlock()
		if full {
			return false
		}
		n.cores <- struct{}{}
		defer func() {
			<-n.cores
			n.mu.Lock()
			n.coreRequests--
			n.mu.Unlock()
		}()
	}
	if d := n.workTime(); d > 0 {
		time.Sleep(d)
	}
	return true
}

// workTime returns the time that one request takes, without the wait for a core.
func (n *Node) workTime() time.Duration {
	work := n.cfg.Work
	n.mu.Lock()
	restartedAt, slowdown := n.restartedAt, n.slowdown
	n.mu.Unlock()
	if n.cfg.WorkFactor != nil {
		work = time.Duration(float64(work) * n.cfg.WorkFactor())
	}
	if slowdown > 0 {
		work = time.Duration(float64(work) * slowdown)
	}
	if !restartedAt.IsZero() && n.cfg.WarmUp > 0 && n.cfg.ColdShare > 0 {
		if age := time.Since(restartedAt); age < n.cfg.WarmUp {
			speed := n.cfg.ColdShare + (1-n.cfg.ColdShare)*age.Seconds()/n.cfg.WarmUp.Seconds()
			work = time.Duration(float64(work) / speed)
		}
	}
	return n.cfg.Latency + work
}

// writeResponse sends a response and reports whether the connection stays open.
func (n *Node) writeResponse(c net.Conn, req *http.Request, response Response) bool {
	_, err := io.WriteString(c, encodeResponse(req, response))
	return err == nil && !req.Close
}

// encodeResponse returns a response to req as it is sent.
func encodeResponse(req *http.Request, response Response) string {
	if response.Status == 0 {
		response.Status = http.StatusOK
	}
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", response.Status, http.StatusText(response.Status))
	response.Header.Write(&out)
	if response.Header.Get("Content-Length") == "" {
		out.WriteString("Content-Length: " + strconv.Itoa(len(response.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if req.Method != http.MethodHead {
		out.WriteString(response.Body)
	}
	return out.String()
}
