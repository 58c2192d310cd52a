package pool

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/http1"
	"gorselink/internal/upstream"
)

// localErrnos are errors of connect(2) and socket(2) that this machine causes.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// ambiguousErrnos are errors that this machine or the endpoint may cause.
var ambiguousErrnos = []syscall.Errno{
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.ETIMEDOUT,
}

// faultyDialer is a dialer that makes some dials fail with a system error.
type faultyDialer struct {
	net.Dialer

	mu           sync.Mutex
	errno        syscall.Errno
	failuresLeft int    // dials that are still to fail
	failingAddr  string // dials to this address always fail
}

func (d *faultyDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.shouldFail(address) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", d.errno)}
	}
	return d.Dialer.DialContext(ctx, network, address)
}

func (d *faultyDialer) shouldFail(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.failingAddr {
		return true
	}
	if d.failuresLeft > 0 {
		d.failuresLeft--
		return true
	}
	return false
}

// newDialerPool starts nodeCount nodes and returns a Pool that connects to them with d.
func newDialerPool(t *testing.T, d *faultyDialer, nodeCount int) (*Pool, []*fakeserver.Node) {
	t.Helper()
	cfg := testConfig()
	for i := range cfg.Balance.Classes { // long enough for a busy machine
		cfg.Balance.Classes[i].Deadline, cfg.Balance.Classes[i].LatencyTarget = testTimeout, testTimeout
	}
	cfg.Known = discovery.List{Snapshot: true}
	var servers []*fakeserver.Node
	for i := range nodeCount {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprint("s-", i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		servers = append(servers, n)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, discovery.Endpoint{Name: n.Name(), Address: n.Addr(), Zone: "a", Status: discovery.InService})
	}
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: 5 * time.Second, MaxConns: 32, PassThroughStatus: true, Dialer: d})
	t.Cleanup(conns.Close)
	p, err := New(cfg, conns)
	if err != nil {
		t.Fatal(err)
	}
	return p, servers
}

// doMethodRequest makes one request, non-idempotent if it is a POST, and returns its outcome.
func (p *Pool) doMethodRequest(t *testing.T, method, callID string) Outcome {
	class := 0
	if method == "POST" {
		class = 1
	}
	r := &Request{
		Class: class, Tenant: -1, Budget: testTimeout,
		Outgoing: upstream.Request{Method: method, URI: "/", Host: "x", NonIdempotent: class == 1, Fields: http1.Fields{{Name: "X-Call-Id", Value: callID}}},
	}
	if err := p.Submit(r); err != nil {
		t.Error(err)
		return Rejected
	}
	p.RunFirstAttempt(r)
	a := <-r.Response()
	if a.Upstream != nil {
		a.Upstream.Release()
	}
	p.Done(r)
	return a.Outcome
}

// While all dials fail for a short time, every request is served once and no attempt counts
// against an endpoint.
func TestLocalDialErrorsDoNotCountAgainstEndpoints(t *testing.T) {
	const requests = 12
	for _, errno := range append(append([]syscall.Errno(nil), localErrnos...), ambiguousErrnos...) {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := &faultyDialer{errno: errno, failuresLeft: 3 * requests}
			p, servers := newDialerPool(t, d, 3)
			var pending sync.WaitGroup
			for i := range requests {
				pending.Go(func() {
					method := "GET"
					if i%3 == 0 {
						method = "POST"
					}
					if v := p.doMethodRequest(t, method, fmt.Sprint(method, i)); v != Served {
						t.Errorf("%s %d: outcome %d, want Served", method, i, v)
					}
				})
			}
			pending.Wait()
			runsByCallID := map[string]int{}
			for _, n := range servers {
				for id, k := range n.RunsByID() {
					runsByCallID[id] += k
				}
			}
			for id, k := range runsByCallID {
				if k != 1 {
					t.Errorf("request %s ran %d times, want once", id, k)
				}
			}
			st := p.Stats()
			for result, k := range st.Results {
				if k > 0 && balance.Result(result) != balance.OK && balance.Result(result) != balance.NotSent {
					t.Errorf("%d attempts ended with result %d, want only OK and NotSent", k, result)
				}
			}
			if len(runsByCallID) != requests || d.failuresLeft > 0 {
				t.Errorf("%d requests ran, want %d; %d dial failures are left, want 0", len(runsByCallID), requests, d.failuresLeft)
			}
		})
	}
}

// While dials to one endpoint fail, its requests are served by the others. The failures count
// against the endpoint only if it may have caused the error.
func TestDialErrorsOfOneEndpointFailOver(t *testing.T) {
	for _, errno := range append(append([]syscall.Errno(nil), localErrnos...), ambiguousErrnos...) {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := &faultyDialer{errno: errno}
			p, servers := newDialerPool(t, d, 3)
			d.failingAddr = servers[0].Addr()
			stop := make(chan struct{})
			var background sync.WaitGroup
			for i := range 3 { // dials to the other endpoints succeed all the time
				background.Go(func() {
					for k := 0; ; k++ {
						select {
						case <-stop:
							return
						default:
						}
						if v := p.doMethodRequest(t, "GET", fmt.Sprint("background", i, k)); v != Served {
							t.Errorf("background request %d: outcome %d, want Served", k, v)
							return
						}
						time.Sleep(time.Millisecond)
					}
				})
			}
			for i := range 20 {
				if v := p.doMethodRequest(t, "GET", fmt.Sprint(i)); v != Served {
					t.Errorf("request %d: outcome %d, want Served", i, v)
				}
			}
			close(stop)
			background.Wait()
			st := p.Stats()
			connectErrors := st.Results[balance.ConnectError]
			if local := isLocalErrno(errno); local && connectErrors > 0 || !local && connectErrors == 0 {
				t.Errorf("%d attempts count against the endpoint: %v", connectErrors, st.Results)
			}
		})
	}
}

func isLocalErrno(errno syscall.Errno) bool {
	for _, e := range localErrnos {
		if e == errno {
			return true
		}
	}
	return false
}

// Delays from local dial errors do not increase the mean response time of the endpoint.
func TestLocalDelayDoesNotCountAgainstEndpoint(t *testing.T) {
	d := &faultyDialer{errno: syscall.ENOBUFS, failuresLeft: 7} // 355 ms of delays between dials
	p, servers := newDialerPool(t, d, 1)
	began := time.Now()
	if v := p.doMethodRequest(t, "GET", "1"); v != Served {
		t.Fatalf("outcome %d, want Served", v)
	}
	took := time.Since(began)
	mean := p.LearnedState().Balancer.Endpoints[servers[0].Name()].Mean
	if mean <= 0 || took < 300*time.Millisecond || mean > took.Seconds()-0.3 {
		t.Errorf("the endpoint's mean is %.3f s after a request of %v, of which 355 ms were local delays", mean, took)
	}
}
