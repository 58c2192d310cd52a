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
	"gorselink/internal/fakeserver"
)

// failingConn is a connection with short reads that fails after some reads or writes.
type failingConn struct {
	net.Conn
	maxRead    int           // bytes per read; 0 for no limit
	writesLeft int           // writes that succeed; -1 for no limit
	bytesLeft  int           // bytes that can be read; -1 for no limit
	errno      syscall.Errno // error of the failing call
}

func (c *failingConn) Read(b []byte) (int, error) {
	if c.bytesLeft == 0 {
		return 0, c.failure("read")
	}
	if c.maxRead > 0 {
		b = b[:min(len(b), c.maxRead)]
	}
	if c.bytesLeft > 0 {
		b = b[:min(len(b), c.bytesLeft)]
	}
	n, err := c.Conn.Read(b)
	if c.bytesLeft > 0 {
		c.bytesLeft -= n
	}
	return n, err
}

func (c *failingConn) Write(b []byte) (int, error) {
	if c.writesLeft == 0 {
		n, _ := c.Conn.Write(b[:len(b)/2]) // a partial write
		return n, c.failure("write")
	}
	if c.writesLeft > 0 {
		c.writesLeft--
	}
	return c.Conn.Write(b)
}

func (c *failingConn) failure(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, c.errno)}
}

// failingDialer opens connections that are copies of template.
type failingDialer struct {
	net.Dialer
	template failingConn
}

func (d *failingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	failing := d.template
	failing.Conn = c
	return &failing, nil
}

// sendBody sends a request with a body of n bytes.
func sendBody(p *Pool, n int) balance.Result {
	r := &Request{Method: "POST", URI: "/x", Host: "x", Body: make([]byte, n), NonIdempotent: true}
	resp, result := p.Do(new(Call), "s-1", r, time.Now().Add(testTimeout), nil)
	if resp != nil {
		resp.Release()
	}
	return result
}

// A request that was sent completely may have been executed. An incomplete one has not been. A resource shortage of this machine does not count against the
// endpoint.
func TestConnectionFailureResults(t *testing.T) {
	connErrnos := []syscall.Errno{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ECONNABORTED, syscall.EPROTO, syscall.EIO,
	}
	resourceErrnos := []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}
	bytesInHead, bytesInBody := len("HTTP/1.1 200"), 1000
	node, err := fakeserver.StartNode(fakeserver.NodeConfig{Respond: func(*http.Request, []byte) fakeserver.Response {
		return fakeserver.Response{Body: strings.Repeat("x", 2*bytesInBody)}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	totalRuns, opened := 0, 0
	for _, c := range []struct {
		name      string
		template  failingConn
		bodyBytes int
		errnos    []syscall.Errno
		want      balance.Result
		runs      int
	}{
		{"before the response", failingConn{writesLeft: -1}, 0, connErrnos, balance.Reset, 1},
		{"before the response, local", failingConn{writesLeft: -1}, 0, resourceErrnos, balance.Reset, 1},
		{"inside the head", failingConn{writesLeft: -1, bytesLeft: bytesInHead}, 0, connErrnos, balance.Reset, 1},
		{"inside the body", failingConn{writesLeft: -1, bytesLeft: bytesInBody}, 0, connErrnos, balance.Reset, 1},
		{"inside the request", failingConn{bytesLeft: -1}, 0, connErrnos, balance.ConnectError, 0},
		{"inside a long request", failingConn{bytesLeft: -1, writesLeft: 1}, 3 * writeBufferSize, connErrnos, balance.ConnectError, 0},
		{"inside the request, local", failingConn{bytesLeft: -1}, 0, resourceErrnos, balance.NotSent, 0},
	} {
		for _, errno := range c.errnos {
			t.Run(fmt.Sprint(c.name, " ", errno), func(t *testing.T) {
				template := c.template
				template.errno = errno
				p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 8, Dialer: &failingDialer{template: template}})
				defer p.Close()
				p.Set("s-1", Target{Address: node.Addr()})
				totalRuns, opened = totalRuns+c.runs, opened+1
				result := sendBody(p, c.bodyBytes)
				if result != c.want || p.OpenConns() != 0 {
					t.Errorf("result %v, want %v; %d connections open, want 0", result, c.want, p.OpenConns())
				}
				for end := time.Now().Add(testTimeout); node.TotalConns() < opened || node.OpenConns() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the node's connection does not end")
					}
				}
				if n := node.TotalRuns(); n != totalRuns { // all complete requests have been executed by now
					t.Fatalf("%d requests executed so far, want %d", n, totalRuns)
				}
			})
		}
	}
}

// Responses are parsed correctly from reads of one byte.
func TestShortReads(t *testing.T) {
	for _, text := range []string{
		okResponse,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\nA: b\r\n\r\n",
	} {
		p, _ := scriptedEndpoint(t, func(nc net.Conn, _ int) { io.WriteString(nc, text) })
		p.cfg.Dialer = &failingDialer{template: failingConn{writesLeft: -1, bytesLeft: -1, maxRead: 1}}
		resp, result := sendGet(p, testTimeout)
		if result != balance.OK || string(resp.Body) != "good" {
			t.Errorf("%q: result %v, response %v", text, result, resp)
		}
	}
}

// An errno is classified even if it is wrapped in other errors.
func TestClassifyFaultUnwrapsErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want faultSource
	}{
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, localFault},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, ambiguousFault},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, endpointFault},
		{os.ErrDeadlineExceeded, endpointFault},
		{errors.New("anything"), endpointFault},
	} {
		if got := classifyFault(c.err); got != c.want {
			t.Errorf("%v: fault %d, want %d", c.err, got, c.want)
		}
	}
}
