package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
)

// testTimeout bounds every wait of the tests.
const testTimeout = 20 * time.Second

const testResponseMemory = 3 << 20

// scriptedEndpoint starts an endpoint that calls handle for each request and returns a Pool
// with it and a function that returns its number of accepted connections.
func scriptedEndpoint(t *testing.T, handle func(c net.Conn, n int)) (p *Pool, conns func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		n := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			<-count
			n++
			count <- n
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					handle(c, i)
				}
			}()
		}
	}()
	p = New(Config{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConns: 8, LargeResponseBytes: testResponseMemory})
	t.Cleanup(p.Close)
	p.Set("s-1", Target{Address: l.Addr().String()})
	return p, func() int {
		n := <-count
		count <- n
		return n
	}
}

func sendGet(p *Pool, timeout time.Duration) (*Response, balance.Result) {
	return p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/x", Host: "x"}, time.Now().Add(timeout), nil)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

// The result of an attempt and the reuse of its connection depend on the response. Invalid and
// endless responses end the attempt well before its deadline.
func TestResponses(t *testing.T) {
	pad := strings.Repeat("X-Pad: pppppppp\r\n", 10000)
	for _, c := range []struct {
		name, text string
		want       balance.Result
		reused     bool // the connection is reused
	}{
		{"good", okResponse, balance.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balance.OK, true},
		{"interim responses", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + okResponse, balance.OK, true},
		{"invalid load report", "HTTP/1.1 200 OK\r\nX-Load-Report: %%%\r\nContent-Length: 4\r\n\r\ngood", balance.OK, true},
		{"connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", balance.OK, false},
		{"duplicate response", okResponse + okResponse, balance.OK, false},
		{"garbage after the response", okResponse + "\x00\x01noise", balance.OK, false},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"rejected", "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balance.Overloaded, true},
		{"503 without X-Rejected", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"garbage", "\xf7\xff\xd81 noise without an end", balance.Error, false},
		{"not HTTP", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"field without colon", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"endless head", "HTTP/1.1 200 OK\r\n" + pad, balance.Error, false},
		{"stalled head", "HTTP/1.1 200 OK\r\nContent-", balance.Error, false},
		{"two Content-Length fields", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"Content-Length and Transfer-Encoding", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", balance.Error, false},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\ngood\r\n0\r\n\r\n", balance.Error, false},
		{"stalled body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", balance.Error, false},
		{"over a megabyte", "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("g", 1048577), balance.Error, false},
		{"stalled body without length", "HTTP/1.1 200 OK\r\n\r\ngood", balance.Error, false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("g", 1<<20), balance.Error, false},
		{"endless chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("g", 4096)+"\r\n", 300), balance.Error, false},
		{"101 Switching Protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", balance.Error, false},
		{"endless interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 99), balance.Error, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, conns := scriptedEndpoint(t, func(nc net.Conn, n int) { fmt.Fprint(nc, c.text) })
			start := time.Now()
			resp, result := sendGet(p, testTimeout)
			if result != c.want || (resp != nil) != (c.want == balance.OK) {
				t.Fatalf("response %v, result %v, want %v", resp, result, c.want)
			}
			if resp != nil && string(resp.Body) != "good" {
				t.Errorf("body %q", resp.Body)
			}
			if d := time.Since(start); d > testTimeout/2 {
				t.Errorf("attempt took %v, want less than half of the timeout", d)
			}
			want := 2
			if c.reused {
				want = 1
			}
			sendGet(p, testTimeout)
			if n := conns(); n != want {
				t.Errorf("%d connections after two attempts, want %d", n, want)
			}
		})
	}
}

// Data received on an idle connection is not taken for the next response.
func TestDataBetweenResponsesClosesConnection(t *testing.T) {
	checkedIn, written := make(chan struct{}), make(chan struct{})
	first := make(chan struct{}, 1)
	first <- struct{}{}
	p, conns := scriptedEndpoint(t, func(c net.Conn, n int) {
		fmt.Fprint(c, okResponse)
		select {
		case <-first:
			<-checkedIn
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			close(written)
		default:
		}
	})
	if _, result := sendGet(p, testTimeout); result != balance.OK {
		t.Fatalf("result %v", result)
	}
	close(checkedIn)
	<-written
	resp, result := sendGet(p, testTimeout)
	if result != balance.OK || string(resp.Body) != "good" {
		t.Errorf("result %v, response %v, want the one of a new connection", result, resp)
	}
	if n := conns(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// A connection closed before the end of the response is a reset, but it ends a body without length.
func TestConnectionClosedDuringResponse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balance.Result
	}{
		{"before the head", "", balance.Reset},
		{"inside the head", "HTTP/1.1 200 OK\r\nCont", balance.Reset},
		{"inside the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", balance.Reset},
		{"end of a body without length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ngood", balance.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := scriptedEndpoint(t, func(nc net.Conn, n int) {
				fmt.Fprint(nc, c.text)
				nc.Close()
			})
			if _, result := sendGet(p, testTimeout); result != c.want {
				t.Errorf("result %v, want %v", result, c.want)
			}
		})
	}
}

// An attempt whose call has ended does not hold its connection until the timeout.
func TestEndedCallReleasesConnection(t *testing.T) {
	p, _ := scriptedEndpoint(t, func(c net.Conn, n int) {})
	call := new(Call)
	ended := make(chan balance.Result)
	go func() {
		_, result := p.Do(call, "s-1", &Request{Method: "GET", URI: "/x", Host: "x"}, time.Now().Add(10*testTimeout), nil)
		ended <- result
	}()
	for end := time.Now().Add(testTimeout); p.OpenConns() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // usually enough to send the request; otherwise NotSent is correct
	call.End()
	select {
	case result := <-ended:
		if result != balance.Cancelled && result != balance.NotSent {
			t.Errorf("result %v, want Cancelled or NotSent", result)
		}
	case <-time.After(testTimeout):
		t.Fatal("the attempt did not end with its call")
	}
	if n := p.OpenConns(); n != 0 {
		t.Errorf("%d connections open", n)
	}
}

// After an idle connection was found closed, non-idempotent requests use new connections, and
// others still reuse idle ones.
func TestStaleConnectionsAreAvoided(t *testing.T) {
	var served atomic.Int64
	p, conns := scriptedEndpoint(t, func(c net.Conn, n int) {
		if n == 1 && served.Load() == 1 {
			c.(*net.TCPConn).SetLinger(0) // close sends a reset
			c.Close()
			return
		}
		served.Add(1)
		fmt.Fprint(c, okResponse)
	})
	attempt := func(nonIdempotent bool, want balance.Result, wantConns int) {
		t.Helper()
		time.Sleep(2 * maxTrustedIdle)
		r := &Request{Method: "GET", URI: "/x", Host: "x", NonIdempotent: nonIdempotent}
		if _, result := p.Do(new(Call), "s-1", r, time.Now().Add(testTimeout), nil); result != want {
			t.Fatalf("result %v, want %v", result, want)
		}
		if n := conns(); n != wantConns {
			t.Fatalf("%d connections so far, want %d", n, wantConns)
		}
	}
	attempt(true, balance.OK, 1)
	attempt(true, balance.Reset, 1)
	attempt(true, balance.OK, 2)
	attempt(true, balance.OK, 3)
	attempt(false, balance.OK, 3)
	if n := p.OpenConns(); n != 1 {
		t.Errorf("%d connections open, want 1", n)
	}
}

// A response over the platform protocol's limit is buffered while there is memory for it,
// which Release frees.
func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20000)
	for _, c := range []struct {
		name, text string
		memory     int64
		want       balance.Result
	}{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), testResponseMemory, balance.OK},
		{"chunked", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), testResponseMemory, balance.OK},
		{"until close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, testResponseMemory, balance.OK},
		{"error status", fmt.Sprintf("HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n%s", len(body), body), testResponseMemory, balance.Error},
		{"truncated", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body), testResponseMemory, balance.Reset},
		{"not enough memory", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), int64(len(body)) - 1, balance.Error},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := scriptedEndpoint(t, func(nc net.Conn, n int) {
				fmt.Fprint(nc, c.text)
				if c.want == balance.Reset || strings.Contains(c.text[:40], "close") {
					nc.Close()
				}
			})
			p.responseMemory.SetTotal(c.memory)
			resp, result := sendGet(p, testTimeout)
			if result != c.want || (resp != nil) != (c.want == balance.OK) {
				t.Fatalf("response returned: %t, result %v, want %v", resp != nil, result, c.want)
			}
			if resp != nil {
				if string(resp.Body) != body {
					t.Errorf("body of %d bytes differs from the one sent", len(resp.Body))
				}
				if n := p.responseMemory.Available(); n >= c.memory {
					t.Errorf("%d bytes of memory left while the response is held, had %d", n, c.memory)
				}
				resp.Release()
				resp.Release()
			}
			if n := p.responseMemory.Available(); n != c.memory {
				t.Errorf("%d bytes of memory left after release, had %d", n, c.memory)
			}
		})
	}
}

// With PassThroughStatus every status below 500 is a success, and the response comes with an
// error of the endpoint. A rejection is still detected.
func TestPassThroughStatus(t *testing.T) {
	for _, c := range []struct {
		method, text string
		want         balance.Result
		status       int // 0 for no response
		body         string
	}{
		{"GET", "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno", balance.OK, 404, "no"},
		{"GET", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", balance.OK, 302, ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", balance.OK, 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 700\r\n\r\n", balance.OK, 304, ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", balance.OK, 200, ""},
		{"GET", "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops", balance.Error, 500, "oops"},
		{"GET", "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balance.Overloaded, 0, ""},
		{"GET", "HTTP/1.1 404 No\r\nContent-Length: 5\r\n\r\nno", balance.Error, 0, ""}, // stalled body
		{"GET", "noise\r\n\r\n", balance.Error, 0, ""},
	} {
		p, _ := scriptedEndpoint(t, func(nc net.Conn, n int) { fmt.Fprint(nc, c.text) })
		p.cfg.PassThroughStatus = true
		resp, result := p.Do(new(Call), "s-1", &Request{Method: c.method, URI: "/", Host: "x"}, time.Now().Add(testTimeout), nil)
		status, body := 0, ""
		if resp != nil {
			status, body = resp.Status, string(resp.Body)
		}
		if result != c.want || status != c.status || body != c.body {
			t.Errorf("%s %q: %v %d %q, want %v %d %q", c.method, c.text, result, status, body, c.want, c.status, c.body)
		}
	}
}

// A lower limit closes idle connections at once. A response over the maximum length is an error,
// and one of the maximum length is not.
func TestSetLimits(t *testing.T) {
	p, conns := scriptedEndpoint(t, func(nc net.Conn, n int) { fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	sendGet(p, testTimeout)
	if n := p.OpenConns(); n != 1 || conns() != 1 {
		t.Fatalf("%d connections open", n)
	}
	p.SetLimits(Limits{})
	if n := p.OpenConns(); n != 0 {
		t.Errorf("%d connections open with a limit of 0", n)
	}
	if _, result := sendGet(p, testTimeout); result != balance.NotSent {
		t.Errorf("result %v without a connection, want NotSent", result)
	}
	p.SetLimits(Limits{MaxConns: 1})
	p.cfg.MaxResponseBytes = 1
	if _, result := sendGet(p, testTimeout); result != balance.Error {
		t.Errorf("result %v for a response over the maximum length, want Error", result)
	}
	p.cfg.MaxResponseBytes = 2
	if _, result := sendGet(p, testTimeout); result != balance.OK {
		t.Errorf("result %v for a response of the maximum length, want OK", result)
	}
}
