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

// An endpoint answers every request twice, the second time some milliseconds late and
// whatever has come meanwhile. Requests follow one another without a pause, and none is
// given the answer to another.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns atomic.Int64
	go accept(l, func(c net.Conn, _ int) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
			io.WriteString(c, text)
			// The next one is read only after the second answer, which is so ahead of
			// the one that belongs to it.
			time.Sleep(3 * time.Millisecond)
			io.WriteString(c, text)
		}
	})
	p := New(Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 50, ReuseDelay: 30 * time.Millisecond})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	for i := range 15 {
		path := fmt.Sprintf("/%04d", i)
		a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: path, Host: "x"}, time.Now().Add(patience), nil)
		if result != balance.OK || string(a.Body) != path {
			t.Fatalf("request %d: %v, answer %q, want %q", i, result, a.Body, path)
		}
		a.Release()
		if i%5 == 4 { // one that has rested by itself and brought more is not used either
			time.Sleep(200 * time.Millisecond)
		}
	}
	if n := conns.Load(); n != 15 {
		t.Errorf("%d connections for 15 requests, none of which may be used again", n)
	}
}

// One answer with more behind it, long after, makes all connections rest for longer.
func TestStrayBytesMakeConnectionsRest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go accept(l, func(c net.Conn, n int) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if n == 0 {
				time.Sleep(20 * time.Millisecond)
				io.WriteString(c, "noise")
			}
		}
	})
	const rest = 5 * time.Millisecond
	p := New(Config{DialTimeout: patience, IdleTimeout: 200 * time.Millisecond, MaxConns: 50, ReuseDelay: rest})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	ask := func() {
		t.Helper()
		a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(patience), nil)
		if result != balance.OK {
			t.Fatalf("%v", result)
		}
		a.Release()
	}
	if ask(); p.rest(time.Now()) != rest {
		t.Error("one sound answer makes connections rest for longer")
	}
	time.Sleep(250 * time.Millisecond)
	p.CloseExpired(time.Now()) // which finds the noise on the one that was idle for too long
	if p.OpenConns() != 0 || p.rest(time.Now()) != unrulyRest*rest {
		t.Errorf("%d connections open, a rest of %v", p.OpenConns(), p.rest(time.Now()))
	}
	ask()
	began := time.Now()
	if ask(); time.Since(began) < unrulyRest*rest/2 || p.OpenConns() != 1 {
		t.Errorf("used again after %v, %d connections", time.Since(began), p.OpenConns())
	}
}

// accept hands each connection that comes to l, and its number, to serve.
func accept(l net.Listener, serve func(net.Conn, int)) {
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

// What has rested is used again, and a request that finds none that has waits for it.
func TestRestedConnectionsAreUsedAgain(t *testing.T) {
	const rest = 200 * time.Millisecond
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.RemoteAddr) })}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go srv.Serve(l)
	defer srv.Close()
	p := New(Config{DialTimeout: patience, IdleTimeout: 10 * patience, MaxConns: 50, ReuseDelay: rest})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	ask := func() string {
		t.Helper()
		a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, time.Now().Add(patience), nil)
		if result != balance.OK {
			t.Fatalf("%v", result)
		}
		defer a.Release()
		return string(a.Body)
	}
	first := ask()
	time.Sleep(rest)
	if again := ask(); again != first {
		t.Error("a connection that has rested is not used again")
	}
	began := time.Now()
	if again := ask(); again != first {
		t.Error("a connection is not waited for")
	}
	if took := time.Since(began); took < rest/2 {
		t.Errorf("a connection is used again after %v", took)
	}
	if p.OpenConns() != 1 {
		t.Errorf("%d connections, want 1", p.OpenConns())
	}
}
