package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// client sends the requests of one ClientPlan and records them.
type client struct {
	run    *run
	number int
	plan   ClientPlan

	conn      net.Conn
	reader    *bufio.Reader
	connectAt time.Duration
	answered  bool // the connection has served a request
	// lastResponse is set if the last response closes the connection.
	lastResponse bool
	requests     int
}

const (
	dialTimeout = time.Second
	// piecePause is the pause between two pieces of a request.
	piecePause = 3 * time.Millisecond
	// redialPause is the pause after a failed connection attempt.
	redialPause = 10 * time.Millisecond
	// answerTimeout is how long after its latest time a client waits for a response.
	answerTimeout = maxPause + time.Second
	// extraTimeout is how long a client looks for bytes after a response.
	extraTimeout = time.Millisecond
)

// loop sends requests until the run ends.
func (c *client) loop() {
	defer c.close()
	for !c.run.ended() {
		if c.conn == nil && !c.connect() {
			time.Sleep(redialPause)
			continue
		}
		c.send()
		time.Sleep(c.plan.Pause)
	}
}

// connect opens a connection, unless the front-end load balancer has taken out the sidecar.
func (c *client) connect() bool {
	if !c.run.frontOpen.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.run.listen, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.connectAt, c.answered = conn, bufio.NewReader(conn), c.run.now(), false
	c.lastResponse = false
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send writes one request, or two if the client pipelines, and reads the responses.
func (c *client) send() {
	if every := c.plan.Leave.Every; every > 0 && (c.requests+1)%every == 0 {
		c.sendAndLeave()
		return
	}
	batch := []*Request{c.newRequest()}
	if c.plan.Style == Pipelined {
		second := c.newRequest()
		batch[0].Pipelined, second.Pipelined, second.Behind = true, true, true
		batch = append(batch, second)
	}
	var text strings.Builder
	for _, q := range batch {
		text.WriteString(c.text(q))
	}
	err := c.write(text.String())
	if err != nil && c.plan.Body > 0 {
		err = nil // the response to a body that is not read may have arrived
	}
	sent := c.run.now()
	for _, q := range batch {
		q.Sent = sent
	}
	for _, q := range batch {
		if err == nil {
			err = c.readResponse(q)
		}
		if err != nil {
			q.Ending, q.Ended = endingOf(err), c.run.now()
		}
		c.run.record(q)
		if err == nil && c.lastResponse {
			err = errBehindClose // a request behind this one is not read
		}
	}
	if err != nil {
		c.close()
	}
}

func (c *client) newRequest() *Request {
	c.requests++
	return &Request{
		ID: fmt.Sprintf("%04x%04x%08x", c.run.plan.Seed&0xffff, c.number, c.requests), Class: c.plan.Class, Budget: c.plan.Budget,
		Reused: c.answered, ConnectAt: c.connectAt,
	}
}

// text returns the request as the platform's clients write it.
func (c *client) text(q *Request) string {
	head := fmt.Sprintf("Host: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n", q.ID, q.Budget.Milliseconds())
	body := "ok"
	if c.plan.Body > 0 {
		body = strings.Repeat("b", c.plan.Body)
	}
	body = fmt.Sprintf("Content-Length: %d%s%s", len(body), headEnd, body)
	switch q.Class {
	case "view":
		return "GET /view HTTP/1.1\r\n" + head + "\r\n"
	case "put":
		return "POST /put HTTP/1.1\r\n" + head + "Idempotency-Key: " + q.ID + "\r\n" + body
	}
	return "POST /pay HTTP/1.1\r\n" + head + body
}

// headEnd separates the head of a request from its body.
const headEnd = "\r\n\r\n"

func (c *client) write(text string) error {
	c.conn.SetWriteDeadline(time.Now().Add(c.plan.Budget + answerSlack + answerTimeout))
	pieces := 1
	if c.plan.Style == Pieces {
		pieces = 3
	}
	for i := range pieces {
		if i > 0 {
			time.Sleep(piecePause)
		}
		if _, err := io.WriteString(c.conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// errBehindClose is the end of a request that was pipelined behind the last response of its
// connection.
var errBehindClose = errors.New("the previous response closes the connection")

// errMalformed reports a response that is not complete or not HTTP.
var errMalformed = errors.New("malformed response")

// readResponse reads the response to q and records its end.
func (c *client) readResponse(q *Request) error {
	c.conn.SetReadDeadline(time.Now().Add(q.Budget + answerSlack + answerTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	q.Ending, q.Ended, q.Status, q.OwnBody = Answered, c.run.now(), resp.StatusCode, string(body) == q.ID
	c.answered = true
	if c.plan.Style != Pipelined {
		q.Extra = c.hasExtraBytes()
	}
	c.lastResponse = resp.Close
	return nil
}

// hasExtraBytes reports whether bytes follow a response although no request is open.
func (c *client) hasExtraBytes() bool {
	c.conn.SetReadDeadline(time.Now().Add(extraTimeout))
	_, err := c.reader.Peek(1)
	return err == nil
}

func endingOf(err error) Ending {
	switch {
	case errors.Is(err, errMalformed):
		return Malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return NoAnswer
	case errors.Is(err, errBehindClose):
		return BrokenOff
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return BrokenOff
	}
	return Closed
}

// crowd opens idle and slow connections for the time of the plan, and replaces those that end.
func (r *run) crowd() {
	if r.plan.Crowd.Idle == 0 {
		return
	}
	r.sleepUntil(r.plan.Crowd.From)
	r.crowdFrom.Store(int64(r.now()))
	var conns []net.Conn
	for r.now() < r.plan.Crowd.To && !r.ended() {
		for i := range conns {
			if i < r.plan.Crowd.Slow && conns[i] != nil {
				io.WriteString(conns[i], "G")
			}
		}
		if len(conns) < r.plan.Crowd.Idle+r.plan.Crowd.Slow {
			conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
			if err == nil {
				conns = append(conns, conn)
				continue
			}
		}
		time.Sleep(redialPause)
	}
	for _, conn := range conns {
		conn.Close()
	}
	r.crowdTo.Store(int64(r.now()))
}
