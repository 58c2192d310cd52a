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

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

const testLarge = 3 << 20

// script is an endpoint that reads a request and then does as told. It counts
// its connections.
func script(t *testing.T, do func(c net.Conn, n int)) (p *Pool, conns func() int) {
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
					do(c, i)
				}
			}()
		}
	}()
	p = New(Config{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConns: 8, LargeResponseBytes: testLarge})
	t.Cleanup(p.Close)
	p.Set("s-1", Target{Address: l.Addr().String()})
	return p, func() int {
		n := <-count
		count <- n
		return n
	}
}

func send(p *Pool, timeout time.Duration) (*Response, balance.Result) {
	return p.Do(new(Call), "s-1", &Request{Method: "GET", URI: "/x", Host: "x"}, time.Now().Add(timeout), nil)
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

func TestAnswers(t *testing.T) {
	pad := strings.Repeat("X-Pad: pppppppp\r\n", 10000)
	for _, c := range []struct {
		name, text string
		want       balance.Result
		again      bool // the connection is used again
	}{
		{"good", good, balance.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balance.OK, true},
		{"interim first", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + good, balance.OK, true},
		{"odd load report", "HTTP/1.1 200 OK\r\nX-Load-Report: %%%\r\nContent-Length: 4\r\n\r\ngood", balance.OK, true},
		{"closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", balance.OK, false},
		{"second copy behind", good + good, balance.OK, false},
		{"noise behind", good + "\x00\x01noise", balance.OK, false},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"turned away", "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balance.Overloaded, true},
		{"a 503 that may have run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"noise", "\xf7\xff\xd81 noise without an end", balance.Error, false},
		{"other protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"no colon", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"head without end", "HTTP/1.1 200 OK\r\n" + pad, balance.Error, false},
		{"head that stops", "HTTP/1.1 200 OK\r\nContent-", balance.Error, false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood", balance.Error, false},
		{"length and coding", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", balance.Error, false},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\ngood\r\n0\r\n\r\n", balance.Error, false},
		{"body that stops", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", balance.Error, false},
		{"over a megabyte", "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("g", 1048577), balance.Error, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\ngood", balance.Error, false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("g", 1<<20), balance.Error, false},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("g", 4096)+"\r\n", 300), balance.Error, false},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", balance.Error, false},
		{"interim without end", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 99), balance.Error, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, conns := script(t, func(nc net.Conn, n int) { fmt.Fprint(nc, c.text) })
			start := time.Now()
			a, result := send(p, patience)
			if result != c.want || (a != nil) != (c.want == balance.OK) {
				t.Fatalf("answer %v, result %v, want %v", a, result, c.want)
			}
			if a != nil && string(a.Body) != "good" {
				t.Errorf("body %q", a.Body)
			}
			if d := time.Since(start); d > patience/2 {
				t.Errorf("took %v of the request's time", d)
			}
			want := 2
			if c.again {
				want = 1
			}
			send(p, patience)
			if n := conns(); n != want {
				t.Errorf("%d connections for two attempts, want %d", n, want)
			}
		})
	}
}

// What comes once the connection has been given back is not the next answer.
func TestBytesBetweenAnswersSpoilTheConnection(t *testing.T) {
	back, extra := make(chan struct{}), make(chan struct{})
	first := make(chan struct{}, 1)
	first <- struct{}{}
	p, conns := script(t, func(c net.Conn, n int) {
		fmt.Fprint(c, good)
		select {
		case <-first:
			<-back
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			close(extra)
		default:
		}
	})
	if _, result := send(p, patience); result != balance.OK {
		t.Fatalf("result %v", result)
	}
	close(back)
	<-extra
	a, result := send(p, patience)
	if result != balance.OK || string(a.Body) != "good" {
		t.Errorf("result %v, answer %v, want the one of a new connection", result, a)
	}
	if n := conns(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestTruncatedAndCutAnswers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balance.Result
	}{
		{"break before", "", balance.Reset},
		{"break in the head", "HTTP/1.1 200 OK\r\nCont", balance.Reset},
		{"break in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", balance.Reset},
		{"whole by its end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ngood", balance.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := script(t, func(nc net.Conn, n int) {
				fmt.Fprint(nc, c.text)
				nc.Close()
			})
			if _, result := send(p, patience); result != c.want {
				t.Errorf("result %v, want %v", result, c.want)
			}
		})
	}
}

// An attempt that nobody waits for any more lets go of its connection.
func TestNobodyWaits(t *testing.T) {
	p, _ := script(t, func(c net.Conn, n int) {})
	call := new(Call)
	ended := make(chan balance.Result)
	go func() {
		_, result := p.Do(call, "s-1", &Request{Method: "GET", URI: "/x", Host: "x"}, time.Now().Add(10*patience), nil)
		ended <- result
	}()
	for end := time.Now().Add(patience); p.OpenConns() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // let it be sent; NotSent is right if it was not
	call.End()
	select {
	case result := <-ended:
		if result != balance.Cancelled && result != balance.NotSent {
			t.Errorf("result %v, want Cancelled", result)
		}
	case <-time.After(patience):
		t.Fatal("the attempt holds its connection until the time-out")
	}
	if n := p.OpenConns(); n != 0 {
		t.Errorf("%d connections open", n)
	}
}

// Once a kept connection has died unseen, what must not be sent twice goes on a
// new one, and what may be repeated on a kept one still.
func TestDeadConnectionsCastDoubt(t *testing.T) {
	var served atomic.Int64
	p, conns := script(t, func(c net.Conn, n int) {
		if n == 1 && served.Load() == 1 {
			c.(*net.TCPConn).SetLinger(0) // a reset
			c.Close()
			return
		}
		served.Add(1)
		fmt.Fprint(c, good)
	})
	try := func(once bool, want balance.Result, total int) {
		t.Helper()
		time.Sleep(2 * restless)
		r := &Request{Method: "GET", URI: "/x", Host: "x", NonIdempotent: once}
		if _, result := p.Do(new(Call), "s-1", r, time.Now().Add(patience), nil); result != want {
			t.Fatalf("result %v, want %v", result, want)
		}
		if n := conns(); n != total {
			t.Fatalf("%d connections so far, want %d", n, total)
		}
	}
	try(true, balance.OK, 1)
	try(true, balance.Reset, 1)
	try(true, balance.OK, 2)
	try(true, balance.OK, 3)
	try(false, balance.OK, 3)
	if n := p.OpenConns(); n != 1 {
		t.Errorf("%d connections open, want the last one", n)
	}
}

// An answer past the protocol's bound is served while there is room for it, and
// gives the room back.
func TestLargeAnswers(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20000)
	for _, c := range []struct {
		name, text string
		room       int64
		want       balance.Result
	}{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), testLarge, balance.OK},
		{"chunked", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), testLarge, balance.OK},
		{"to the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, testLarge, balance.OK},
		{"of an error", fmt.Sprintf("HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n%s", len(body), body), testLarge, balance.Error},
		{"that breaks off", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body), testLarge, balance.Reset},
		{"no room", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), int64(len(body)) - 1, balance.Error},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := script(t, func(nc net.Conn, n int) {
				fmt.Fprint(nc, c.text)
				if c.want == balance.Reset || strings.Contains(c.text[:40], "close") {
					nc.Close()
				}
			})
			p.large.Set(c.room)
			a, result := send(p, patience)
			if result != c.want || (a != nil) != (c.want == balance.OK) {
				t.Fatalf("answer given: %t, result %v, want %v", a != nil, result, c.want)
			}
			if a != nil {
				if string(a.Body) != body {
					t.Errorf("a body of %d bytes is not the one sent", len(a.Body))
				}
				if n := p.large.Left(); n >= c.room {
					t.Errorf("%d bytes of room left beside the answer, had %d", n, c.room)
				}
				a.Release()
				a.Release()
			}
			if n := p.large.Left(); n != c.room {
				t.Errorf("%d bytes of room left, had %d", n, c.room)
			}
		})
	}
}

// For ordinary services every answer below 500 serves, and the endpoint's own
// word comes with an error of it. What proves that it never ran stays so.
func TestAnyStatus(t *testing.T) {
	for _, c := range []struct {
		method, text string
		want         balance.Result
		status       int // 0 for no answer
		body         string
	}{
		{"GET", "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno", balance.OK, 404, "no"},
		{"GET", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", balance.OK, 302, ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", balance.OK, 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 700\r\n\r\n", balance.OK, 304, ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", balance.OK, 200, ""},
		{"GET", "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops", balance.Error, 500, "oops"},
		{"GET", "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balance.Overloaded, 0, ""},
		{"GET", "HTTP/1.1 404 No\r\nContent-Length: 5\r\n\r\nno", balance.Error, 0, ""}, // stops inside: spoilt
		{"GET", "noise\r\n\r\n", balance.Error, 0, ""},
	} {
		p, _ := script(t, func(nc net.Conn, n int) { fmt.Fprint(nc, c.text) })
		p.cfg.PassThroughStatus = true
		a, result := p.Do(new(Call), "s-1", &Request{Method: c.method, URI: "/", Host: "x"}, time.Now().Add(patience), nil)
		status, body := 0, ""
		if a != nil {
			status, body = a.Status, string(a.Body)
		}
		if result != c.want || status != c.status || body != c.body {
			t.Errorf("%s %q: %v %d %q, want %v %d %q", c.method, c.text, result, status, body, c.want, c.status, c.body)
		}
	}
}

// A lower bound closes idle connections at once and the others as they come
// back; a longer answer than allowed is spoilt, and a shorter one is not.
func TestLimit(t *testing.T) {
	p, conns := script(t, func(nc net.Conn, n int) { fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	send(p, patience)
	if n := p.OpenConns(); n != 1 || conns() != 1 {
		t.Fatalf("%d connections open", n)
	}
	p.SetLimits(0, 0)
	if n := p.OpenConns(); n != 0 {
		t.Errorf("%d connections open after a bound of none", n)
	}
	if _, result := send(p, patience); result != balance.NotSent {
		t.Errorf("result %v with no connection to be had", result)
	}
	p.SetLimits(1, 0)
	p.cfg.MaxResponseBytes = 1
	if _, result := send(p, patience); result != balance.Error {
		t.Errorf("result %v for an answer that is too long", result)
	}
	p.cfg.MaxResponseBytes = 2
	if _, result := send(p, patience); result != balance.OK {
		t.Errorf("result %v for an answer that is just allowed", result)
	}
}
