package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/fakeserver"
)

// responseSlack is how long after its budget a request's final response may arrive before
// the response counts as missing.
const responseSlack = 500 * time.Millisecond

// receivedRequest is a complete request received by a faultyEndpoint.
type receivedRequest struct {
	conn     net.Conn
	id       string
	budget   time.Duration // X-Budget-Ms of the attempt
	connIdle time.Duration // time since the last response on the connection; 0 for its first request
	stop     <-chan struct{}
}

// write sends text to the sidecar and ignores errors.
func (x *receivedRequest) write(text string) { io.WriteString(x.conn, text) }

// respond sends a valid response with the id as the body.
func (x *receivedRequest) respond() bool {
	x.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(x.id), x.id))
	return true
}

// hang sends nothing until the peer closes the connection or the test ends.
func (x *receivedRequest) hang() bool {
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, x.conn); close(gone) }()
	select {
	case <-gone:
	case <-x.stop:
	}
	return false
}

// reset makes closing the connection send a TCP reset.
func (x *receivedRequest) reset() bool {
	x.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// resetAfterDelay resets the connection after a delay in which the peer can read what was
// written, because a reset discards unread data.
func (x *receivedRequest) resetAfterDelay() bool {
	time.Sleep(10 * time.Millisecond)
	return x.reset()
}

// writeRepeatedly sends text once per pause until the peer or the test ends. Its result is
// always false, which closes the connection.
func (x *receivedRequest) writeRepeatedly(text string, pause time.Duration) bool {
	for {
		if _, err := io.WriteString(x.conn, text); err != nil {
			return false
		}
		select {
		case <-x.stop:
			return false
		case <-time.After(pause):
		}
	}
}

// behaviour is how an endpoint handles requests. handle returns whether the connection stays
// open. With rejects set, the endpoint does not run the request.
type behaviour struct {
	rejects bool
	handle  func(x *receivedRequest) bool
}

// Behaviours of endpoints.
var (
	healthy = behaviour{handle: (*receivedRequest).respond}

	endpointFaults = map[string]behaviour{
		"hangs":                         {handle: (*receivedRequest).hang},
		"closes before the response":    {handle: func(x *receivedRequest) bool { return false }},
		"resets before the response":    {handle: (*receivedRequest).reset},
		"closes in the response header": {handle: func(x *receivedRequest) bool { x.write("HTTP/1.1 200 OK\r\nContent-Le"); return false }},
		"resets in the response header": {handle: func(x *receivedRequest) bool { x.write("HTTP/1.1 200 OK\r\nContent-Le"); return x.resetAfterDelay() }},
		"stalls in the response header": {handle: func(x *receivedRequest) bool { x.write("HTTP/1.1 200 OK\r\nContent-Le"); return x.hang() }},
		"closes in the response body": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf")
			return false
		}},
		"resets in the response body": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf")
			return x.resetAfterDelay()
		}},
		"stalls in the response body": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf")
			return x.hang()
		}},
		"stalls in a chunk": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf")
			return x.hang()
		}},
		"sends chunks without end": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			return x.writeRepeatedly("1\r\nx\r\n", 20*time.Millisecond)
		}},
		"sends a body without length or end": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			return x.writeRepeatedly("x", 20*time.Millisecond)
		}},
		"sends interim responses without end": {handle: func(x *receivedRequest) bool {
			return x.writeRepeatedly("HTTP/1.1 100 Continue\r\n\r\n", 50*time.Millisecond)
		}},
		"resets a response without length": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			return x.resetAfterDelay()
		}},
		"sends an invalid status line": {handle: func(x *receivedRequest) bool { x.write("\x00\x01\x02 this is no answer\r\n\r\n"); return true }},
		"sends an invalid chunk": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n")
			return true
		}},
		"sends conflicting lengths": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 16\r\n\r\nhalf")
			return true
		}},
		"sends two responses at once": {handle: func(x *receivedRequest) bool {
			x.respond()
			x.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			return true
		}},
		"sends a second response later": {handle: func(x *receivedRequest) bool {
			x.respond()
			respondedAt := time.Now()
			time.Sleep(2 * time.Millisecond)
			if time.Since(respondedAt) < connReuseDelay-time.Millisecond { // later bytes cannot be distinguished from the next response
				x.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			}
			return true
		}},
		"fails": {handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"rejects": {rejects: true, handle: func(x *receivedRequest) bool {
			x.write("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"closes idle connections": {handle: func(x *receivedRequest) bool { x.respond(); time.Sleep(20 * time.Millisecond); return false }},
		"resets idle connections": {handle: func(x *receivedRequest) bool { x.respond(); time.Sleep(20 * time.Millisecond); return x.reset() }},
		"resets reused idle connections": {handle: func(x *receivedRequest) bool {
			if x.connIdle > endpointIdleTimeout {
				return x.reset()
			}
			return x.respond()
		}},
		"ignores requests on idle connections": {handle: func(x *receivedRequest) bool {
			if x.connIdle > endpointIdleTimeout {
				return x.hang()
			}
			return x.respond()
		}},
	}
)

// endpointIdleTimeout is how long faulty endpoints remember an idle connection.
const endpointIdleTimeout = 20 * time.Millisecond

// faultyEndpoint is an endpoint with a configurable behaviour.
type faultyEndpoint struct {
	net.Listener
	behaviour atomic.Pointer[behaviour]
	scenario  *scenario

	lastAttempt time.Time // guarded by scenario.mu

	mu    sync.Mutex
	conns []net.Conn
}

// kill simulates the death of the endpoint's process: it resets open connections and refuses
// new ones.
func (e *faultyEndpoint) kill() {
	e.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// newFaultyEndpoint starts a healthy endpoint on a separate loopback address, which sidecars
// of other tests do not connect to.
func newFaultyEndpoint(s *scenario) (*faultyEndpoint, error) {
	l, err := net.Listen("tcp", nextLoopbackHost()+":0")
	if err != nil {
		return nil, err
	}
	e := &faultyEndpoint{scenario: s, Listener: l}
	e.behaviour.Store(&healthy)
	go e.accept()
	return e, nil
}

func (e *faultyEndpoint) accept() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *faultyEndpoint) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var respondedAt time.Time
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		x := &receivedRequest{conn: c, id: req.Header.Get("X-Call-Id"), stop: e.scenario.stop}
		if !respondedAt.IsZero() {
			x.connIdle = time.Since(respondedAt)
		}
		ms, err := strconv.Atoi(req.Header.Get("X-Budget-Ms"))
		if err != nil {
			e.scenario.t.Errorf("%s: attempt has X-Budget-Ms %q, want a number", e.scenario.name, req.Header.Get("X-Budget-Ms"))
		}
		x.budget = time.Duration(ms) * time.Millisecond
		current := e.behaviour.Load()
		e.recordAttempt(x, !current.rejects)
		if !current.handle(x) {
			return
		}
		respondedAt = time.Now()
	}
}

// scenario is a sidecar with its endpoints and its discovery agent.
type scenario struct {
	t            *testing.T
	name         string
	lag          *lagMeter
	sidecarAddr  atomic.Pointer[string] // where clients connect
	configPath   string
	sidecar      *sidecarInstance
	endpoints    []*faultyEndpoint
	agent        *fakeserver.Agent
	stop         chan struct{}          // closed at the end of the test
	clientsDone  chan struct{}          // closed once all clients have finished
	bodyPadding  string                 // follows the id in response bodies
	drainedAddr  atomic.Pointer[string] // address that clients open no new connections to
	mayCloseIdle bool                   // the sidecar may close connections without open requests

	mu             sync.Mutex
	runCounts      map[string]int
	maxBudgets     map[string]time.Duration // largest X-Budget-Ms of any attempt
	attemptTimes   []time.Time
	rejectionTimes []time.Time
	outcomes       outcomeCounts
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct{ served, rejected, failed, noResponse, repeated int }

// recordAttempt records an attempt, and a run of its request if runs is set.
func (e *faultyEndpoint) recordAttempt(x *receivedRequest, runs bool) {
	s, now := e.scenario, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptTimes = append(s.attemptTimes, now)
	e.lastAttempt = now
	if runs {
		s.runCounts[x.id]++
	}
	s.maxBudgets[x.id] = max(s.maxBudgets[x.id], x.budget)
}

// outcomesSoFar returns the outcomes of requests and the number of attempts so far.
func (s *scenario) outcomesSoFar() (outcomes outcomeCounts, attempts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes, len(s.attemptTimes)
}

func (s *scenario) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

var lastLoopbackHost atomic.Int32

// nextLoopbackHost returns a loopback address that this process has not used yet.
func nextLoopbackHost() string {
	n := lastLoopbackHost.Add(1)
	return fmt.Sprintf("127.9.%d.%d", n>>8, n&0xff)
}

// isolatedAddr returns a free address on an unused loopback host, so that no ephemeral port
// takes it before the test listens on it.
func isolatedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", nextLoopbackHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const scenarioEndpoints = 3

// newScenario starts healthy endpoints and a discovery agent that lists them. The first
// endpoints use the listeners in late, which accept no connections until they are opened.
func newScenario(t *testing.T, name string, late ...*fakeserver.FullListener) *scenario {
	t.Helper()
	lag, err := machineLag()
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{t: t, name: name, lag: lag, stop: make(chan struct{}), clientsDone: make(chan struct{}), runCounts: map[string]int{}, maxBudgets: map[string]time.Duration{}}
	t.Cleanup(func() { close(s.stop) })
	var list []fakeserver.Entry
	for i := range scenarioEndpoints {
		var e *faultyEndpoint
		if i < len(late) { // accepting here would let connections complete
			e = &faultyEndpoint{scenario: s, Listener: late[i]}
			e.behaviour.Store(&healthy)
		} else {
			var err error
			if e, err = newFaultyEndpoint(s); err != nil {
				t.Fatal(err)
			}
		}
		t.Cleanup(func() { e.Close() })
		s.endpoints = append(s.endpoints, e)
		list = append(list, fakeserver.Entry{Name: fmt.Sprintf("s-%d", i), Address: e.Addr().String(), Zone: "a", Status: "in_service"})
	}
	if s.agent, err = fakeserver.StartAgent(list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.agent.Close)
	return s
}

// configText returns a configuration for a sidecar at listen with a limit of sockets.
func (s *scenario) configText(listen string, sockets int) string {
	text := strings.Replace(configJSON(listen, s.agent.Addr()), `"cores":1,"memory_mb":64,"sockets":256`,
		fmt.Sprintf(`"cores":4,"memory_mb":512,"sockets":%d`, sockets), 1)
	text = strings.Replace(text, `"Worth":1}`, `"Worth":1},
{"Name":"put","AimS":1,"DeadlineS":2,"Semantics":"guarded","KeyScope":"all","MemorySpanS":1,"Worth":1},
{"Name":"pay","AimS":1,"DeadlineS":2,"Semantics":"single_shot","Worth":1}`, 1)
	return strings.Replace(text, `"ConnectTimeoutS":1,`, `"ConnectTimeoutS":1.5,`, 1) // the kernel retransmits a SYN after 1 s
}

// startSidecar starts the sidecar with a limit of sockets; 0 selects the default.
func (s *scenario) startSidecar(sockets int) {
	s.t.Helper()
	if sockets == 0 {
		sockets = 256
	}
	s.startSidecarAt(isolatedAddr(s.t), func(listen string) string { return s.configText(listen, sockets) })
}

// startSidecarAt starts a sidecar at listen and directs clients to it.
func (s *scenario) startSidecarAt(listen string, configText func(listen string) string) {
	s.t.Helper()
	path := filepath.Join(s.t.TempDir(), "config.json")
	writeFile(s.t, path, configText(listen))
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		s.t.Fatal(err)
	}
	p := &sidecarInstance{
		Sidecar: &Sidecar{options: Options{ConfigPath: path}, cfg: cfg},
		reload:  make(chan os.Signal, 1),
		ended:   make(chan error, 1),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	s.t.Cleanup(p.stop)
	go func() { p.ended <- p.run(p.ctx, p.reload) }()
	eventually(s.t, s.name+": ready", func() bool {
		select {
		case err := <-p.ended:
			s.t.Fatalf("%s: the sidecar ended: %v", s.name, err)
		default:
		}
		return callStatus(listen, "GET", "/-/ready", "") == http.StatusOK
	})
	s.configPath, s.sidecar = path, p
	s.sidecarAddr.Store(&listen)
}

// entry returns the discovery entry of endpoint i.
func (s *scenario) entry(i int, status string) fakeserver.Entry {
	return fakeserver.Entry{Name: fmt.Sprintf("s-%d", i), Address: s.endpoints[i].Addr().String(), Zone: "a", Status: status}
}

// openLateEndpoint lets the late endpoint i accept connections.
func (s *scenario) openLateEndpoint(i int) {
	e := s.endpoints[i]
	if err := e.Listener.(*fakeserver.FullListener).Unblock(); err != nil {
		s.t.Errorf("%s: %v", s.name, err)
	}
	go e.accept()
}

// setBehaviour sets the behaviour of the first n endpoints.
func (s *scenario) setBehaviour(n int, b behaviour) {
	for _, e := range s.endpoints[:n] {
		e.behaviour.Store(&b)
	}
}

// client sends requests of one class sequentially on a persistent connection.
type client struct {
	scenario *scenario
	class    string
	budget   time.Duration
	conn     net.Conn
	in       *bufio.Reader
}

// requestText returns a request of the client's class.
func (c *client) requestText(id string) string {
	head := fmt.Sprintf("Host: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n", id, c.budget.Milliseconds())
	switch c.class {
	case "view":
		return "GET /view HTTP/1.1\r\n" + head + "\r\n"
	case "put":
		return "POST /put HTTP/1.1\r\n" + head + "Idempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	return "POST /pay HTTP/1.1\r\n" + head + "Content-Length: 2\r\n\r\nok"
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// errNoResponse reports a connection that ended without a response header.
var errNoResponse = errors.New("no response")

// dial connects to the current sidecar, and waits for the next one while it is draining.
func (c *client) dial() (err error) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		listen := c.scenario.sidecarAddr.Load()
		if c.scenario.drainedAddr.Load() == listen {
			continue
		}
		if c.conn, err = net.DialTimeout("tcp", *listen, testTimeout); err == nil || !c.scenario.mayCloseIdle {
			break
		}
	}
	if c.conn != nil {
		c.in = bufio.NewReader(c.conn)
	}
	return err
}

// send sends a request and reads the response. A response later than the budget and
// responseSlack is an error.
func (c *client) send(id string) (status int, body string, err error) {
	if c.conn == nil {
		if err := c.dial(); err != nil {
			return 0, "", fmt.Errorf("%w: %w", errNoResponse, err)
		}
	}
	sent := time.Now()
	c.conn.SetDeadline(sent.Add(c.budget + responseSlack + testTimeout))
	defer func() {
		// A late response counts as missing unless the machine was slow.
		now := time.Now()
		if now.Sub(sent) > c.budget+responseSlack && !c.scenario.lag.lagged(sent, now) {
			err = fmt.Errorf("%w in time: it took %v: %w", errNoResponse, now.Sub(sent), os.ErrDeadlineExceeded)
		}
	}()
	if _, err = io.WriteString(c.conn, c.requestText(id)); err != nil {
		return 0, "", fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %w", errNoResponse, err)
	}
	text, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, string(text), err
}

// sendAndRecord sends a request and records its outcome.
func (c *client) sendAndRecord() {
	id := fmt.Sprintf("%016x", lastCallID.Add(1))
	used, began := c.conn != nil, time.Now()
	status, body, err := c.send(id)
	if errors.Is(err, errNoResponse) && !errors.Is(err, os.ErrDeadlineExceeded) && (used && c.scenario.mayCloseIdle || c.scenario.lag.stalled(began.Add(-clientPause), time.Now())) {
		// The sidecar closed the idle connection while the request was sent, or the machine
		// stalled. Send it again: the sidecar recognises the id if it has read the request.
		c.close()
		if status, body, err = c.send(id); status == http.StatusConflict {
			err = fmt.Errorf("%w: the sidecar read the request and closed the connection", errNoResponse)
		}
	}
	if err != nil {
		c.close()
	}
	s := c.scenario
	runs := s.runCount(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if budget := s.maxBudgets[id]; budget > c.budget {
		s.t.Errorf("%s: an attempt of request %s has a budget of %v, want at most %v", s.name, id, budget, c.budget)
	}
	if c.class == "pay" && runs > 1 {
		s.outcomes.repeated++
		s.t.Errorf("%s: request %s ran %d times, want at most once", s.name, id, runs)
	}
	switch {
	case errors.Is(err, errNoResponse), errors.Is(err, os.ErrDeadlineExceeded):
		s.outcomes.noResponse++
		s.t.Errorf("%s: %s with %v, request %s, ran %d times: no final response: %v", s.name, c.class, c.budget, id, runs, err)
	case err != nil: // truncated in a way that the client detects
		s.outcomes.failed++
	case status == http.StatusOK && body != id+s.bodyPadding:
		s.t.Errorf("%s: %s, request %s got %.40q, %d bytes, want its own response", s.name, c.class, id, body, len(body))
	case status == http.StatusOK:
		s.outcomes.served++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.outcomes.rejected++
		s.rejectionTimes = append(s.rejectionTimes, time.Now())
		if c.class == "pay" && runs > 0 {
			s.t.Errorf("%s: request %s was rejected but may have run", s.name, id)
		}
	default:
		s.outcomes.failed++
	}
}

const (
	// Budgets of requests: few responses miss longBudget, many miss shortBudget.
	longBudget, shortBudget = 1300 * time.Millisecond, 150 * time.Millisecond
	// clientPause is the pause between requests of a client. It exceeds endpointIdleTimeout.
	clientPause = 80 * time.Millisecond
	// Clients send requests for scenarioDuration. The fault begins after faultDelay, when
	// connections are open and mean latencies are known.
	scenarioDuration, faultDelay = 800 * time.Millisecond, 100 * time.Millisecond
)

// runClients runs clients of all classes and both budgets, and injects the fault after
// faultDelay.
func (s *scenario) runClients(injectFault func()) {
	var all sync.WaitGroup
	all.Go(func() {
		time.Sleep(faultDelay)
		injectFault()
	})
	for _, class := range []string{"view", "put", "pay"} {
		for _, budget := range []time.Duration{longBudget, shortBudget} {
			all.Go(func() {
				c := &client{scenario: s, class: class, budget: budget}
				defer c.close()
				for end := time.Now().Add(scenarioDuration); time.Now().Before(end); time.Sleep(clientPause) {
					c.sendAndRecord()
				}
			})
		}
	}
	all.Wait()
	close(s.clientsDone)
}

// reportFewServed fails the test because too few requests were served. It only logs if the
// machine lagged, because sidecars then shed requests correctly.
func (s *scenario) reportFewServed(began time.Time, format string, args ...any) {
	s.t.Helper()
	if s.lag.lagged(began, time.Now()) {
		s.t.Logf(s.name+", machine lagged: "+format, args...)
		return
	}
	s.t.Errorf(s.name+": "+format, args...)
}
