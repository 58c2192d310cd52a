package httpserver

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

// readinessCheck is a readiness check request.
const readinessCheck = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// incompleteRequestLimit is how soon after its last byte the platform expects an error response to
// an incomplete request, or its connection to be closed.
const incompleteRequestLimit = 3 * time.Second

// Clients stop at various points of a request and keep their connections open, while others keep
// the sidecar busy. Each connection gets an error response or is closed within
// incompleteRequestLimit, and no incomplete request reaches an endpoint in full.
func TestIncompleteRequestsGetTimelyResponses(t *testing.T) {
	r := streamHarness(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err == nil && strings.HasSuffix(req.URL.Path, "/half") {
			t.Error("endpoint received an incomplete request in full")
		}
		io.WriteString(w, "ok")
	})
	streaming := streamHarnessWithLongBudget(t, 8<<20, 1, func(w http.ResponseWriter, req *http.Request) { // long bodies are streamed
		if _, err := io.Copy(io.Discard, req.Body); err == nil && strings.HasSuffix(req.URL.Path, "/half") {
			t.Error("endpoint received an incomplete streamed request in full")
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
				io.WriteString(c, viewRequest(""))
				if _, _, err := readResponse(in); err != nil {
					return
				}
			}
		}()
	}
	unknownClass := strings.Replace(viewRequest(""), "/view", "/none", 1)
	incompleteRequest := func(rest string) string { return strings.Replace(payRequest(rest), "/pay", "/pay/half", 1) }
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		harness            *harness
		precedingResponses int    // responses before the incomplete request
		precedingRequest   string // the requests for these responses
		text               string // the incomplete request
		status             int    // 0 if the connection closes without a response
	}{
		"no input":                              {r, 0, "", "", 0},
		"one byte":                              {r, 0, "", "G", 408},
		"partial head":                          {r, 0, "", "GET /view/half HTTP/1.1\r\nHost: x\r\nX-Call", 408},
		"head without its last byte":            {r, 0, "", "GET /view/half HTTP/1.1\r\nHost: x\r\n\r", 408},
		"partial head after a request":          {r, 1, viewRequest(""), "GET /view/half HTTP/1.1\r\nHost", 408},
		"partial head after a readiness check":  {r, 1, readinessCheck, "GET /view/half HTTP/1.1\r\nHost", 408},
		"partial head after a rejection":        {r, 1, unknownClass, "GET /view/half HTTP/1.1\r\nHost", 408},
		"no input after a readiness check":      {r, 1, readinessCheck, "", 0},
		"partial body":                          {r, 0, "", incompleteRequest("Content-Length: 10\r\n\r\nhalf"), 408},
		"partial body after a request":          {r, 1, viewRequest(""), incompleteRequest("Content-Length: 10\r\n\r\nhalf"), 408},
		"missing body":                          {r, 0, "", incompleteRequest("Content-Length: 10\r\n\r\n"), 408},
		"missing body after 100 Continue":       {r, 0, "", incompleteRequest("Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"), 100},
		"partial chunk":                         {r, 0, "", incompleteRequest("Transfer-Encoding: chunked\r\n\r\na\r\nhalf"), 408},
		"end between chunks":                    {r, 0, "", incompleteRequest("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), 408},
		"partial chunk size":                    {r, 0, "", incompleteRequest("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n1"), 408},
		"partial trailers":                      {r, 0, "", incompleteRequest("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-Trail"), 408},
		"partial long body":                     {streaming, 0, "", incompleteRequest("Content-Length: 300000\r\n\r\n" + strings.Repeat("b", 200000)), 408},
		"partial long chunked body":             {streaming, 0, "", incompleteRequest("Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("b", 190000)), 408},
		"request and partial pipelined request": {r, 0, "", viewRequest("") + "GET /view/half HTTP/1.1\r\nHost", 400},
	} {
		conn := c.harness.dial(t)
		all.Go(func() { // concurrently, because each takes up to incompleteRequestLimit
			in := bufio.NewReader(conn)
			if c.precedingResponses > 0 {
				io.WriteString(conn, c.precedingRequest)
				if _, _, err := readResponse(in); err != nil {
					t.Errorf("%s: preceding request: %v", name, err)
				}
			}
			io.WriteString(conn, c.text)
			stopped := time.Now()
			status, _, err := readResponse(in)
			if c.status == 100 && status == 100 {
				if status, _, err = readResponse(in); status == 408 {
					status = 100
				}
			}
			if elapsed := time.Since(stopped); elapsed > incompleteRequestLimit {
				t.Errorf("%s: ended %v after the last byte, want %v at most", name, elapsed, incompleteRequestLimit)
			}
			if status != c.status || status != 0 && err != nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: status %d, error %v, want %d", name, status, err, c.status)
			}
		})
	}
	all.Wait()
}

// Requests with little time left get their final response at once, whatever the state of the
// endpoints. Requests with no more than transitMargin are rejected.
func TestRequestsWithSmallBudgetsGetImmediateResponses(t *testing.T) {
	const maxElapsed = 500 * time.Millisecond // without the delays of the machine
	blocked := func(t *testing.T) *harness {
		release := make(chan struct{})
		r := newHarness(t, 64, release)
		t.Cleanup(func() { close(release) })
		return r
	}
	streaming := func(t *testing.T) *harness {
		release := make(chan struct{})
		r := streamHarnessWithLongBudget(t, 8<<20, 1, func(http.ResponseWriter, *http.Request) { <-release })
		t.Cleanup(func() { close(release) }) // runs before the endpoint closes, which waits for its handlers
		return r
	}
	dialing := func(t *testing.T) *harness {
		d := dialingHarness(8 << 20)(t)
		d.startAccepting()
		return &d.harness
	}
	queued := func(t *testing.T) *harness {
		d := queuedHarness(t)
		d.startAccepting()
		return &d.harness
	}
	for name, newHarness := range map[string]func(*testing.T) *harness{"endpoint hangs": blocked, "streaming": streaming, "dialing": dialing, "no endpoint available": queued} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t)
			r.server.SetMaxConns(128)
			type result struct {
				text    string
				ms      int
				status  int
				elapsed time.Duration
				err     error
			}
			results := make(chan result, 100)
			sent := 0
			for ms := range 25 {
				budgetField := fmt.Sprintf("X-Budget-Ms: %d\r\n", ms)
				for _, text := range []string{readinessCheck, viewRequest(budgetField), payRequest(budgetField + "Content-Length: 2\r\n\r\nok"), payRequest(budgetField + "Content-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000))} {
					conn := r.dial(t)
					sent++
					go func() {
						defer conn.(*net.TCPConn).Close()
						io.WriteString(conn, text)
						start := time.Now()
						status, _, err := readResponse(bufio.NewReader(conn))
						results <- result{text[:9], ms, status, time.Since(start), err}
					}()
				}
			}
			var all []result
			var slowest time.Duration // of the readiness checks, which shows the delays of the machine
			for range sent {
				a := <-results
				if a.text == readinessCheck[:9] {
					slowest = max(slowest, a.elapsed)
					continue
				}
				all = append(all, a)
			}
			for _, a := range all {
				if a.err != nil || a.status == 200 || a.elapsed > maxElapsed+slowest {
					t.Errorf("%s with %d ms: status %d, error %v after %v, want an error status at once", a.text, a.ms, a.status, a.err, a.elapsed)
				}
				if want := http.StatusBadRequest; a.ms == 0 && a.status != want {
					t.Errorf("%s with 0 ms: status %d, want %d", a.text, a.status, want)
				}
				if want := http.StatusServiceUnavailable; a.ms > 0 && a.ms <= int(transitMargin.Milliseconds()) && a.status != want {
					t.Errorf("%s with %d ms: status %d, want %d", a.text, a.ms, a.status, want)
				}
			}
			eventually(t, "no request is open", func() bool { return r.Pool.OpenRequests() == 0 })
		})
	}
}
