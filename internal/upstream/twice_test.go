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
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
					io.WriteString(c, text)
					// The next one is read only after the second answer, which is
					// so ahead of the one that belongs to it.
					time.Sleep(3 * time.Millisecond)
					io.WriteString(c, text)
				}
			}()
		}
	}()
	p := New(Config{DialTimeout: patience, ConnIdle: patience, MaxConns: 50, Rest: 50 * time.Millisecond})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	for i := range 60 {
		path := fmt.Sprintf("/%04d", i)
		a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: path, Host: "x"}, patience, nil)
		if result != balance.OK || string(a.Body) != path {
			t.Fatalf("request %d: %v, answer %q, want %q", i, result, a.Body, path)
		}
		a.Release()
		if i%10 == 9 { // one that has rested and brought more is not used either
			time.Sleep(60 * time.Millisecond)
		}
	}
	if n := conns.Load(); n != 60 {
		t.Errorf("%d connections for 60 requests, none of which may be used again", n)
	}
}

// What has rested is used again, and the one used last of those first.
func TestRestedConnectionsAreUsedAgain(t *testing.T) {
	const rest = 200 * time.Millisecond
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.RemoteAddr) })}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go srv.Serve(l)
	defer srv.Close()
	p := New(Config{DialTimeout: patience, ConnIdle: 10 * patience, MaxConns: 50, Rest: rest})
	defer p.Close()
	p.Set("s-1", Target{Address: l.Addr().String()})
	ask := func() string {
		t.Helper()
		a, result := p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/", Host: "x"}, patience, nil)
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
	if p.Open() != 1 {
		t.Errorf("%d connections, want 1", p.Open())
	}
}
