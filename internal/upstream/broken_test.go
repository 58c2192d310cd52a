package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/standin"
)

// brokenConn is a connection that reads and writes little at a time, and breaks.
type brokenConn struct {
	net.Conn
	readMost int           // bytes at a time; 0 for no bound
	writes   int           // that may succeed; -1 for no bound
	reads    int           // bytes that may be read; -1 for no bound
	errno    syscall.Errno // what it breaks by
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if c.reads == 0 {
		return 0, c.broken("read")
	}
	if c.readMost > 0 {
		b = b[:min(len(b), c.readMost)]
	}
	if c.reads > 0 {
		b = b[:min(len(b), c.reads)]
	}
	n, err := c.Conn.Read(b)
	if c.reads > 0 {
		c.reads -= n
	}
	return n, err
}

func (c *brokenConn) Write(b []byte) (int, error) {
	if c.writes == 0 {
		n, _ := c.Conn.Write(b[:len(b)/2]) // a part goes out first
		return n, c.broken("write")
	}
	if c.writes > 0 {
		c.writes--
	}
	return c.Conn.Write(b)
}

func (c *brokenConn) broken(call string) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, c.errno)}
}

// brokenDialer makes its connections such.
type brokenDialer struct {
	net.Dialer
	as brokenConn
}

func (d *brokenDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	broken := d.as
	broken.Conn = c
	return &broken, nil
}

// sendBody sends a request with a body of so many bytes.
func sendBody(p *Pool, n int) balance.Result {
	r := &Request{Method: "POST", URI: "/x", Host: "x", Body: make([]byte, n), NonIdempotent: true}
	a, result := p.Do(new(Call), "s-1", r, time.Now().Add(patience), nil)
	if a != nil {
		a.Release()
	}
	return result
}

// However a broken connection shows, a request that was out whole may have run, and one
// whose last byte did not go out never has; what is short on this machine is nobody's fault.
func TestBrokenConnectionsAreTold(t *testing.T) {
	broken := []syscall.Errno{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ECONNABORTED, syscall.EPROTO, syscall.EIO,
	}
	short := []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}
	inHead, inBody := len("HTTP/1.1 200"), 1000
	node, err := standin.StartNode(standin.NodeConfig{Answer: func(*http.Request, []byte) standin.Answer {
		return standin.Answer{Body: strings.Repeat("x", 2*inBody)}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	runs, opened := 0, 0
	for _, c := range []struct {
		name string
		at   brokenConn
		body int
		on   []syscall.Errno
		want balance.Result
		runs int
	}{
		{"before the answer", brokenConn{writes: -1}, 0, broken, balance.Reset, 1},
		{"before the answer, short", brokenConn{writes: -1}, 0, short, balance.Reset, 1},
		{"inside the head", brokenConn{writes: -1, reads: inHead}, 0, broken, balance.Reset, 1},
		{"inside the body", brokenConn{writes: -1, reads: inBody}, 0, broken, balance.Reset, 1},
		{"in the request", brokenConn{reads: -1}, 0, broken, balance.ConnectError, 0},
		{"in a long request", brokenConn{reads: -1, writes: 1}, 3 * writeBuffer, broken, balance.ConnectError, 0},
		{"in the request, short", brokenConn{reads: -1}, 0, short, balance.NotSent, 0},
	} {
		for _, errno := range c.on {
			t.Run(fmt.Sprint(c.name, " ", errno), func(t *testing.T) {
				at := c.at
				at.errno = errno
				p := New(Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 8, Dialer: &brokenDialer{as: at}})
				defer p.Close()
				p.Set("s-1", Target{Address: node.Addr()})
				runs, opened = runs+c.runs, opened+1
				result := sendBody(p, c.body)
				if result != c.want || p.OpenConns() != 0 {
					t.Errorf("result %v, want %v; %d connections are kept", result, c.want, p.OpenConns())
				}
				for end := time.Now().Add(patience); node.Opened() < opened || node.Conns() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the connection does not end")
					}
				}
				if n := node.Total(); n != runs { // all that has come has run by now
					t.Fatalf("%d runs so far, want %d", n, runs)
				}
			})
		}
	}
}

// Reads that bring a byte at a time change nothing.
func TestShortReads(t *testing.T) {
	for _, text := range []string{
		good,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + good,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\nA: b\r\n\r\n",
	} {
		p, _ := script(t, func(nc net.Conn, _ int) { io.WriteString(nc, text) })
		p.cfg.Dialer = &brokenDialer{as: brokenConn{writes: -1, reads: -1, readMost: 1}}
		a, result := send(p, patience)
		if result != balance.OK || string(a.Body) != "good" {
			t.Errorf("%q: result %v, answer %v", text, result, a)
		}
	}
}

// An error of the machine is one whatever it is wrapped in.
func TestFaultsAreFoundInWhatWrapsThem(t *testing.T) {
	for _, c := range []struct {
		err  error
		want fault
	}{
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, ofMachine},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, unclear},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, ofEndpoint},
		{os.ErrDeadlineExceeded, ofEndpoint},
		{errors.New("anything"), ofEndpoint},
	} {
		if got := faultOf(c.err); got != c.want {
			t.Errorf("%v: fault %d, want %d", c.err, got, c.want)
		}
	}
}
