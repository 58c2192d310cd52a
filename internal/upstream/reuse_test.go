package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
)

// An endpoint sends each response a second time some milliseconds later. No request gets the
// response to another one.
func TestLateDuplicateResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns atomic.Int64
	go acceptConns(l, func(c net.Conn, _ int) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
			io.WriteString(c, text)
			// The next request is read only after the duplicate, which therefore precedes its
			// response.
			time.Sleep(3 * time.Millisecond)
			io.WriteString(c, text)
		}
	})
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 50, ReuseDelay: 30 * time.Millisecond})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	for i := range 15 {
		path := fmt.Sprintf("/%04d", i)
		resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: path, Host: "x"}, time.Now().Add(testTimeout), nil)
		if result != balance.OK || string(resp.Body) != path {
			t.Fatalf("request %d: %v, response %q, want %q", i, result, resp.Body, path)
		}
		resp.Release()
		if i%5 == 4 { // longer than the reuse delay: the connection with stray data is not reused either
			time.Sleep(200 * time.Millisecond)
		}
	}
	if n := conns.Load(); n != 15 {
		t.Errorf("%d connections for 15 requests, want a new one for each", n)
	}
}

// Stray data on one connection extends the reuse delay of all connections.
func TestStrayDataExtendsReuseDelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go acceptConns(l, func(c net.Conn, n int) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if n == 0 {
				time.Sleep(20 * time.Millisecond)
				io.WriteString(c, "stray")
			}
		}
	})
	const reuseDelay = 5 * time.Millisecond
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: 200 * time.Millisecond, MaxConns: 50, ReuseDelay: reuseDelay})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	attempt := func() {
		t.Helper()
		resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(testTimeout), nil)
		if result != balance.OK {
			t.Fatalf("%v", result)
		}
		resp.Release()
	}
	if attempt(); p.reuseDelay(time.Now()) != reuseDelay {
		t.Error("a valid response extends the reuse delay")
	}
	time.Sleep(250 * time.Millisecond)
	p.CloseExpired(time.Now()) // finds the stray data on the expired connection
	if p.OpenConns() != 0 || p.reuseDelay(time.Now()) != strayDelayFactor*reuseDelay {
		t.Errorf("%d connections open, reuse delay %v", p.OpenConns(), p.reuseDelay(time.Now()))
	}
	attempt()
	start := time.Now()
	if attempt(); time.Since(start) < strayDelayFactor*reuseDelay/2 || p.OpenConns() != 1 {
		t.Errorf("reused after %v, %d connections", time.Since(start), p.OpenConns())
	}
}

// acceptConns calls serve with each connection to l and its number.
func acceptConns(l net.Listener, serve func(net.Conn, int)) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c, n)
		}()
	}
}

// A connection is reused after its reuse delay, and a request waits for it.
func TestConnectionIsReusedAfterDelay(t *testing.T) {
	const reuseDelay = 200 * time.Millisecond
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.RemoteAddr) })}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go srv.Serve(l)
	defer srv.Close()
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: 10 * testTimeout, MaxConns: 50, ReuseDelay: reuseDelay})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	attempt := func() string {
		t.Helper()
		resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(testTimeout), nil)
		if result != balance.OK {
			t.Fatalf("%v", result)
		}
		defer resp.Release()
		return string(resp.Body)
	}
	first := attempt()
	time.Sleep(reuseDelay)
	if again := attempt(); again != first {
		t.Error("the connection is not reused after its reuse delay")
	}
	start := time.Now()
	if again := attempt(); again != first {
		t.Error("the request does not wait for the connection")
	}
	if took := time.Since(start); took < reuseDelay/2 {
		t.Errorf("the connection is reused after %v", took)
	}
	if p.OpenConns() != 1 {
		t.Errorf("%d connections, want 1", p.OpenConns())
	}
}

// confirmFunc implements Confirmer.
type confirmFunc func() bool

func (f confirmFunc) Confirm() bool { return f() }

// An endpoint sends a response on a new connection before it has received a request. It is not
// taken for the response to the request, which is not sent.
func TestDataBeforeFirstRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sent := make(chan struct{})
	var requests atomic.Int64
	go acceptConns(l, func(c net.Conn, _ int) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		close(sent)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			requests.Add(1)
		}
	})
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 8})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	confirm := confirmFunc(func() bool { <-sent; return true }) // on loopback, the data has arrived then
	resp, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(testTimeout), confirm)
	if result != balance.ConnectError || resp != nil || requests.Load() != 0 {
		t.Errorf("result %v, response %v, %d requests received, want ConnectError and nothing sent", result, resp, requests.Load())
	}
	if n := p.OpenConns(); n != 0 {
		t.Errorf("%d connections open, want 0", n)
	}
}
