package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// With deadlines of 18 s, SIGKILL still follows 3.7 s after SIGTERM. By then every received
// request has its final response and the process has exited.
func TestShutdownEndsBeforeKillWithLongDeadlines(t *testing.T) {
	var received atomic.Int64
	hung, cancel := context.WithCancel(context.Background())
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		received.Add(1)
		select {
		case <-hung.Done():
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(node.Close)
	t.Cleanup(cancel)
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configJSON(listen, serverAddr(newDiscoveryServer(t, "s-1", serverAddr(node)))), `"DeadlineS":2,"Semantics":"free","Worth":1}`,
		`"DeadlineS":18,"Semantics":"free","Worth":1},{"Name":"pay","AimS":1,"DeadlineS":18,"Semantics":"single_shot","Worth":1}`, 1)
	writeFile(t, path, text)
	p, _ := startInstance(t, path, t.TempDir())

	const requestsPerKind = 8 // per kind, before and again after SIGTERM
	type result struct {
		kind string
		resp *http.Response
		err  error
	}
	results := make(chan result, 6*requestsPerKind)
	sendAll := func() {
		for n := range 3 * requestsPerKind {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			kind := []string{"idempotent", "non-idempotent", "long"}[n%3]
			head := fmt.Sprintf("X-Call-Id: %016x\r\nX-Budget-Ms: 18000\r\n", lastCallID.Add(1))
			switch kind {
			case "idempotent":
				fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\n%s\r\n", head)
			case "non-idempotent":
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%sContent-Length: 2\r\n\r\nok", head)
			default: // too large to buffer, so it is streamed
				const long = 6 << 20
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", head, long)
				go c.Write(make([]byte, long))
			}
			go func() {
				c.SetReadDeadline(time.Now().Add(testTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				results <- result{kind, resp, err}
			}()
		}
	}
	sendAll()
	eventually(t, "all requests reach the endpoint", func() bool { return received.Load() == 3*requestsPerKind })
	terminatedAt := time.Now()
	p.stop()
	sendAll()
	for range 6 * requestsPerKind {
		r := <-results
		took := time.Since(terminatedAt)
		if r.err != nil {
			t.Errorf("%s request: no response after %v: %v", r.kind, took, r.err)
			continue
		}
		if r.kind != "idempotent" && received.Load() >= 6*requestsPerKind && r.resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s request: rejected but may have run", r.kind)
		}
		if took > maxKillDeadline+killDelay {
			t.Errorf("%s request: response %v after SIGTERM, want it before SIGKILL", r.kind, took)
		}
	}
	select {
	case err := <-p.ended:
		if took := time.Since(terminatedAt); err != nil || took > maxKillDeadline+killDelay {
			t.Errorf("the process exited %v after SIGTERM: %v, want no error before SIGKILL", took, err)
		}
	case <-time.After(testTimeout):
		t.Error("the process did not exit")
	}
}

// SIGTERM arrives while connections are in every state. Requests that are or become complete
// are served, partial ones get an error or a close, and new connections are served while the
// front-end load balancer still opens them.
func TestShutdownInEveryConnectionState(t *testing.T) {
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/view/held" {
			<-release
		}
		io.WriteString(w, r.Header.Get("X-Call-Id"))
	}))
	t.Cleanup(node.Close)
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configJSON(listen, serverAddr(newDiscoveryServer(t, "s-1", serverAddr(node)))), `"Worth":1}`,
		`"Worth":1},{"Name":"pay","AimS":1,"DeadlineS":2,"Semantics":"single_shot","Worth":1}`, 1)
	writeFile(t, path, text)
	p, _ := startInstance(t, path, t.TempDir())

	type client struct {
		net.Conn
		in *bufio.Reader
		id string
	}
	dial := func() *client {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return &client{c, bufio.NewReader(c), fmt.Sprintf("%016x", lastCallID.Add(1))}
	}
	get := func(c *client, path string) {
		c.id = fmt.Sprintf("%016x", lastCallID.Add(1))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n\r\n", path, c.id)
	}
	expectServed := func(what string, c *client) {
		t.Helper()
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK || string(body) != c.id {
			t.Errorf("%s: %d %q, want its own response", what, resp.StatusCode, body)
		}
	}

	silent, idle, partialHead, partialBody, inFlight, kept := dial(), dial(), dial(), dial(), dial(), dial()
	get(idle, "/view")
	expectServed("before", idle)
	get(kept, "/view")
	expectServed("before", kept)
	fmt.Fprintf(partialHead, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n", partialHead.id)
	fmt.Fprintf(partialBody, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nContent-Length: 4\r\n\r\nab", partialBody.id)
	get(inFlight, "/view/held")
	eventually(t, "a request is sent to the endpoint", func() bool { return p.pool.OpenRequests() == 1 })
	terminatedAt := time.Now()
	p.stop()
	eventually(t, "the sidecar reports not ready", func() bool {
		resp, err := http.Get("http://" + listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	newConn := dial()
	get(newConn, "/view")
	expectServed("on a connection opened after SIGTERM", newConn)
	get(kept, "/view")
	expectServed("on a kept connection", kept)
	io.WriteString(partialHead, "\r\n")
	expectServed("with a header completed after SIGTERM", partialHead)
	io.WriteString(partialBody, "cd")
	expectServed("with a body completed after SIGTERM", partialBody)
	neverCompleted := dial() // sends only a partial request
	io.WriteString(neverCompleted, "POST /pay HTTP/1.1\r\nHost: x\r\n")
	close(release)
	expectServed("in flight at SIGTERM", inFlight)
	for what, c := range map[string]*client{"silent": silent, "idle": idle, "kept": kept, "partial": neverCompleted} {
		if _, err := c.in.ReadByte(); err == nil && c != neverCompleted { // a partial request may get an error response
			t.Errorf("%s connection: unexpected data", what)
		}
	}
	select {
	case err := <-p.ended:
		if took := time.Since(terminatedAt); err != nil || took > 2*time.Second+killDelay {
			t.Errorf("the process exited %v after SIGTERM: %v, want no error before SIGKILL", took, err)
		}
	case <-time.After(testTimeout):
		t.Error("the process did not exit")
	}
}
