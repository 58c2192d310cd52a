package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// request is a request as an endpoint has received it.
type request struct {
	*http.Request
	id, key string
	first   time.Time // when its first byte came
	last    time.Time // when its last byte came
}

// endpoint is a stand-in server. It begins a request when its last byte has come.
type endpoint struct {
	lab        *lab
	name, addr string
	listener   net.Listener
	pace       func(r *request) time.Duration // pause for each 64 KiB of a body; nil for none
	serve      func(c net.Conn, r *request)   // answers; nil for a plain 200

	mu    sync.Mutex
	conns map[net.Conn]bool
	got   []*request
}

// newEndpoint starts an endpoint at addr, or at a free one.
func (l *lab) newEndpoint(name, addr string, serve func(net.Conn, *request)) *endpoint {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	l.must(err)
	e := &endpoint{lab: l, name: name, addr: ln.Addr().String(), listener: ln, serve: serve, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.handle(c)
		}
	}()
	l.note("endpoint %s listens at %s", name, e.addr)
	return e
}

// exit ends the endpoint's process: its connections are reset and new ones refused.
func (e *endpoint) exit() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		reset(c)
	}
	e.lab.note("endpoint %s has exited", e.name)
}

// reset closes c with a reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

// firstByte records when the first byte of each request came.
type firstByte struct {
	net.Conn
	at time.Time
}

func (f *firstByte) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if n > 0 && f.at.IsZero() {
		f.at = time.Now()
	}
	return n, err
}

func (e *endpoint) handle(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	if tc, ok := c.(*net.TCPConn); ok && e.pace != nil {
		tc.SetReadBuffer(64 << 10)
	}
	in := &firstByte{Conn: c}
	br := bufio.NewReaderSize(in, 16<<10)
	for {
		in.at = time.Time{}
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r := &request{Request: hr, id: hr.Header.Get("X-Call-Id"), key: hr.Header.Get("Idempotency-Key"), first: in.at}
		if r.first.IsZero() {
			r.first = time.Now()
		}
		var pause time.Duration
		if e.pace != nil {
			pause = e.pace(r)
		}
		n := int64(0)
		for {
			k, err := io.CopyN(io.Discard, hr.Body, 64<<10)
			n += k
			if err == io.EOF {
				break
			}
			if err != nil {
				e.lab.note("endpoint %s: request %s broke off after %d bytes of its body", e.name, r.id, n)
				return
			}
			time.Sleep(pause)
		}
		r.last = time.Now()
		e.mu.Lock()
		e.got = append(e.got, r)
		e.mu.Unlock()
		e.lab.note("endpoint %s runs %s (%s %s, key %q, X-Budget-Ms %s, body %d bytes, first byte at %.3f)", e.name, r.id, r.Method, r.URL.Path, r.key,
			hr.Header.Get("X-Budget-Ms"), n, r.first.Sub(e.lab.start).Seconds())
		if e.serve != nil {
			e.serve(c, r)
		} else {
			answer(c, 200, "served by "+e.name+" for "+r.id)
		}
	}
}

// requests returns what the endpoint has received.
func (e *endpoint) requests() []*request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*request(nil), e.got...)
}

// answer writes an answer with a length.
func answer(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// discovery is a stand-in for discovery.
type discovery struct {
	lab  *lab
	addr string

	mu      sync.Mutex
	list    []entry
	index   int
	changes []change
	changed chan struct{}
}

type change struct {
	index int
	entry entry
}

func (l *lab) newDiscovery(index int, entries ...entry) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	d := &discovery{lab: l, addr: ln.Addr().String(), list: entries, index: index, changed: make(chan struct{})}
	go http.Serve(ln, d)
	return d
}

// update changes entries and notifies watches. An entry that is terminated leaves the list.
func (d *discovery) update(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		d.changes = append(d.changes, change{d.index, e})
		kept := d.list[:0:0]
		for _, old := range d.list {
			if old.Name != e.Name {
				kept = append(kept, old)
			}
		}
		if d.list = kept; e.Status != "terminated" {
			d.list = append(d.list, e)
		}
		d.lab.note("discovery has, index %d: %s (%s) at %s, group %d", d.index, e.Name, e.Status, e.Address, e.Group)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	json.NewEncoder(w).Encode(d.answer(r))
}

// answer returns the whole list, or for a watch what has changed, for which it waits.
func (d *discovery) answer(r *http.Request) list {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		d.mu.Lock()
		out, changed := list{Index: d.index, Endpoints: []entry{}}, d.changed
		switch {
		case err != nil || after > d.index || after < d.index-len(d.changes):
			out.Snapshot, out.Endpoints = true, append(out.Endpoints, d.list...)
		default:
			for _, c := range d.changes {
				if c.index > after {
					out.Endpoints = append(out.Endpoints, c.entry)
				}
			}
		}
		d.mu.Unlock()
		if out.Snapshot || len(out.Endpoints) > 0 || timedOut {
			return out
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return out
		}
	}
}

// call is a request of a client.
type call struct {
	method, path, id, key string
	budget                time.Duration // X-Budget-Ms; 0 for none
	body                  []byte
	wait                  time.Duration // how long the client reads
	extra                 string        // further field lines
}

// reply is what a client got.
type reply struct {
	status   int // 0 for none
	body     []byte
	whole    bool // the answer came whole
	took     time.Duration
	problem  error
	lastByte time.Time // when the request's last byte was written
}

// send notes what it sends, and sends it as the function of this name does.
func (l *lab) send(addr string, q call) reply {
	l.note("client: sends %s (%s %s, key %q, X-Budget-Ms %d, body %d bytes)", q.id, q.method, q.path, q.key, q.budget.Milliseconds(), len(q.body))
	return send(addr, q)
}

// send sends one request on a new connection and reads its answer.
func send(addr string, q call) (a reply) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return reply{problem: err}
	}
	defer c.Close()
	return sendOn(c, bufio.NewReader(c), q)
}

// sendOn sends a request on an open connection.
func sendOn(c net.Conn, br *bufio.Reader, q call) (a reply) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: service.internal\r\n", q.method, q.path)
	if q.id != "" {
		fmt.Fprintf(&head, "X-Call-Id: %s\r\n", q.id)
	}
	if q.key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", q.key)
	}
	if q.budget > 0 {
		fmt.Fprintf(&head, "X-Budget-Ms: %d\r\n", q.budget.Milliseconds())
	}
	head.WriteString(q.extra)
	if q.method == "POST" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	head.Write(q.body)
	began := time.Now()
	c.SetDeadline(began.Add(q.wait + 20*time.Second))
	if _, err := c.Write(head.Bytes()); err != nil {
		return reply{problem: err, took: time.Since(began)}
	}
	a.lastByte = time.Now()
	c.SetReadDeadline(a.lastByte.Add(q.wait))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		a.problem, a.took = err, time.Since(a.lastByte)
		return a
	}
	a.status = resp.StatusCode
	a.body, a.problem = io.ReadAll(resp.Body)
	a.whole, a.took = a.problem == nil, time.Since(a.lastByte)
	return a
}

// String describes a reply in the record.
func (a reply) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %t, after %.3f s, %v", a.status, len(a.body), a.whole, a.took.Seconds(), a.problem)
}
