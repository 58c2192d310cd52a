package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// ready asks whether the sidecar is.
const ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// badOwed is within what a bad client is owed its error, or a close.
const badOwed = 3 * time.Second

// Clients stop in the middle of a request and stay, wherever that is, while others keep the
// sidecar busy. Each has its error, or a close, within what it is owed, counted from its last
// byte; those that got an answer before it have that too, and nothing reaches an endpoint.
func TestClientsThatStopAreToldInTime(t *testing.T) {
	r := longRig(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err == nil && strings.HasSuffix(req.URL.Path, "/half") {
			t.Error("a request that never came whole is whole at the endpoint")
		}
		io.WriteString(w, "ok")
	})
	tight := tightRig(t, 8<<20, 1, func(w http.ResponseWriter, req *http.Request) { // long bodies stream
		if _, err := io.Copy(io.Discard, req.Body); err == nil && strings.HasSuffix(req.URL.Path, "/half") {
			t.Error("a long request that never came whole is whole at the endpoint")
		}
		io.WriteString(w, "ok")
	})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	for range 4 {
		c := r.dial(t)
		go func() {
			for in := bufio.NewReader(c); ; {
				select {
				case <-done:
					return
				default:
				}
				io.WriteString(c, view(""))
				if _, _, err := get(in); err != nil {
					return
				}
			}
		}()
	}
	none := strings.Replace(view(""), "/view", "/none", 1)
	half := func(more string) string { return strings.Replace(pay(more), "/pay", "/pay/half", 1) }
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		rig     *rig
		answers int    // before the half request, to as many whole ones
		before  string // those
		text    string // the half one
		status  int    // 0 for a close
	}{
		"nothing":                            {r, 0, "", "", 0},
		"a byte":                             {r, 0, "", "G", 408},
		"a head":                             {r, 0, "", "GET /view/half HTTP/1.1\r\nHost: x\r\nX-Call", 408},
		"a head but for its end":             {r, 0, "", "GET /view/half HTTP/1.1\r\nHost: x\r\n\r", 408},
		"a head behind a request":            {r, 1, view(""), "GET /view/half HTTP/1.1\r\nHost", 408},
		"a head behind a question":           {r, 1, ready, "GET /view/half HTTP/1.1\r\nHost", 408},
		"a head behind a rejection":          {r, 1, none, "GET /view/half HTTP/1.1\r\nHost", 408},
		"nothing behind a question":          {r, 1, ready, "", 0},
		"a body":                             {r, 0, "", half("Content-Length: 10\r\n\r\nhalf"), 408},
		"a body behind a request":            {r, 1, view(""), half("Content-Length: 10\r\n\r\nhalf"), 408},
		"no body":                            {r, 0, "", half("Content-Length: 10\r\n\r\n"), 408},
		"a body that is waited for":          {r, 0, "", half("Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"), 100},
		"a chunk":                            {r, 0, "", half("Transfer-Encoding: chunked\r\n\r\na\r\nhalf"), 408},
		"between chunks":                     {r, 0, "", half("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), 408},
		"the size of a chunk":                {r, 0, "", half("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n1"), 408},
		"trailers":                           {r, 0, "", half("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-Trail"), 408},
		"a long body":                        {tight, 0, "", half("Content-Length: 300000\r\n\r\n" + strings.Repeat("b", 200000)), 408},
		"a long chunked body":                {tight, 0, "", half("Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("b", 190000)), 408},
		"a request and half of the next one": {r, 0, "", view("") + "GET /view/half HTTP/1.1\r\nHost", 400},
	} {
		conn := c.rig.dial(t)
		all.Go(func() { // all at once: each takes as long as a bad client is let
			in := bufio.NewReader(conn)
			if c.answers > 0 {
				io.WriteString(conn, c.before)
				if _, _, err := get(in); err != nil {
					t.Errorf("%s: what is before it: %v", name, err)
				}
			}
			io.WriteString(conn, c.text)
			stopped := time.Now()
			status, _, err := get(in)
			if c.status == 100 && status == 100 {
				if status, _, err = get(in); status == 408 {
					status = 100
				}
			}
			if took := time.Since(stopped); took > badOwed {
				t.Errorf("%s: told %v after the last byte, want %v at the most", name, took, badOwed)
			}
			if status != c.status || status != 0 && err != nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: answered %d, %v, want %d", name, status, err, c.status)
			}
		})
	}
	all.Wait()
}

// Requests with very little time left have their final answer at once, whatever state the
// endpoints are in, and are not sent on where nothing is left for them.
func TestRequestsWithNoTimeAreAnsweredAtOnce(t *testing.T) {
	const atOnce = 500 * time.Millisecond // as late as an answer may be that earns nothing
	hung := func(t *testing.T) *rig {
		hold := make(chan struct{})
		r := newRig(t, 64, hold)
		t.Cleanup(func() { close(hold) })
		return r
	}
	tight := func(t *testing.T) *rig {
		hold := make(chan struct{})
		r := tightRig(t, 8<<20, 1, func(http.ResponseWriter, *http.Request) { <-hold })
		t.Cleanup(func() { close(hold) }) // before the endpoint is closed, which waits for what is held
		return r
	}
	gone := func(t *testing.T) *rig {
		d := diallingWay(8 << 20)(t)
		d.serve()
		return &d.rig
	}
	queued := func(t *testing.T) *rig {
		d := queuedWay(t)
		d.serve()
		return &d.rig
	}
	for name, newRig := range map[string]func(*testing.T) *rig{"hang": hung, "stream": tight, "come up late": gone, "are all out": queued} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.callers.SetMaxConns(128)
			type told struct {
				text   string
				ms     int
				status int
				took   time.Duration
				err    error
			}
			answers := make(chan told, 100)
			asked := 0
			for ms := range 25 {
				more := fmt.Sprintf("X-Budget-Ms: %d\r\n", ms)
				for _, text := range []string{ready, view(more), pay(more + "Content-Length: 2\r\n\r\nok"), pay(more + "Content-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000))} {
					conn := r.dial(t)
					asked++
					go func() {
						defer conn.(*net.TCPConn).Close()
						io.WriteString(conn, text)
						began := time.Now()
						status, _, err := get(bufio.NewReader(conn))
						answers <- told{text[:9], ms, status, time.Since(began), err}
					}()
				}
			}
			var all []told
			var slowest time.Duration // of those that only ask whether the sidecar is ready: what the machine takes
			for range asked {
				a := <-answers
				if a.text == ready[:9] {
					slowest = max(slowest, a.took)
					continue
				}
				all = append(all, a)
			}
			for _, a := range all {
				if a.err != nil || a.status == 200 || a.took > atOnce+slowest {
					t.Errorf("%s with %d ms: %d, %v after %v", a.text, a.ms, a.status, a.err, a.took)
				}
				if want := http.StatusBadRequest; a.ms == 0 && a.status != want {
					t.Errorf("%s with 0 ms: %d, want %d", a.text, a.status, want)
				}
				if want := http.StatusServiceUnavailable; a.ms > 0 && a.ms <= int(transitMargin.Milliseconds()) && a.status != want {
					t.Errorf("%s with %d ms: %d, want %d", a.text, a.ms, a.status, want)
				}
			}
			eventually(t, "nothing is open", func() bool { return r.Pool.OpenRequests() == 0 })
		})
	}
}
