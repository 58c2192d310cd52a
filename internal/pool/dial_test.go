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
	"gorselink/internal/framing"
	"gorselink/internal/nodes"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// Errors of connect(2) and socket(2) that come from this machine, whatever the endpoint.
var ownErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// Errors that may be this machine's or the endpoint's.
var unclearErrors = []syscall.Errno{
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.ETIMEDOUT,
}

// faultyDialer is a dialer some of whose dials fail as the system makes them fail.
type faultyDialer struct {
	net.Dialer

	mu     sync.Mutex
	errno  syscall.Errno
	fail   int    // so many dials are still to fail
	always string // those to this address fail always
}

func (d *faultyDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.fails(address) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", d.errno)}
	}
	return d.Dialer.DialContext(ctx, network, address)
}

func (d *faultyDialer) fails(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.always {
		return true
	}
	if d.fail > 0 {
		d.fail--
		return true
	}
	return false
}

// dialPool is a Pool of so many nodes that connects by d.
func dialPool(t *testing.T, d *faultyDialer, nodesThere int) (*Pool, []*standin.Node) {
	t.Helper()
	cfg := testConfig()
	for i := range cfg.Balance.Classes { // no request runs out of time on a busy machine
		cfg.Balance.Classes[i].Deadline, cfg.Balance.Classes[i].LatencyTarget = patience, patience
	}
	cfg.Known = nodes.List{Snapshot: true}
	var all []*standin.Node
	for i := range nodesThere {
		n, err := standin.StartNode(standin.NodeConfig{Name: fmt.Sprint("s-", i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		all = append(all, n)
		cfg.Known.Endpoints = append(cfg.Known.Endpoints, nodes.Endpoint{Name: n.Name(), Address: n.Addr(), Zone: "a", Status: nodes.InService})
	}
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: 5 * time.Second, MaxConns: 32, PassThroughStatus: true, Dialer: d})
	t.Cleanup(conns.Close)
	p, err := New(cfg, conns)
	if err != nil {
		t.Fatal(err)
	}
	return p, all
}

// ask makes one request and returns how it ended.
func (p *Pool) ask(t *testing.T, method, id string) Verdict {
	class := 0
	if method == "POST" {
		class = 1
	}
	r := &Request{
		Class: class, Tenant: -1, Budget: patience,
		Outgoing: upstream.Request{Method: method, URI: "/", Host: "x", NonIdempotent: class == 1, Fields: framing.Fields{{Name: "X-Call-Id", Value: id}}},
	}
	if err := p.Submit(r); err != nil {
		t.Error(err)
		return Refused
	}
	p.RunFirstAttempt(r)
	a := <-r.Answer()
	if a.Upstream != nil {
		a.Upstream.Release()
	}
	p.Done(r)
	return a.Verdict
}

// For a moment no dial of this machine succeeds: no request is refused, none runs twice, and
// no attempt ends with a word against an endpoint.
func TestDialFailuresOfThisMachineBlameNoEndpoint(t *testing.T) {
	const requests = 12
	for _, errno := range append(append([]syscall.Errno(nil), ownErrors...), unclearErrors...) {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := &faultyDialer{errno: errno, fail: 3 * requests}
			p, all := dialPool(t, d, 3)
			var done sync.WaitGroup
			for i := range requests {
				done.Go(func() {
					method := "GET"
					if i%3 == 0 {
						method = "POST"
					}
					if v := p.ask(t, method, fmt.Sprint(method, i)); v != Served {
						t.Errorf("%s %d: verdict %d, want it served", method, i, v)
					}
				})
			}
			done.Wait()
			runs := map[string]int{}
			for _, n := range all {
				for id, k := range n.Runs() {
					runs[id] += k
				}
			}
			for id, k := range runs {
				if k != 1 {
					t.Errorf("%s has run %d times", id, k)
				}
			}
			st := p.Stats()
			for result, k := range st.Results {
				if k > 0 && balance.Result(result) != balance.OK && balance.Result(result) != balance.NotSent {
					t.Errorf("%d attempts ended with result %d", k, result)
				}
			}
			if len(runs) != requests || d.fail > 0 {
				t.Errorf("%d requests have run, want %d; %d failures are still to come", len(runs), requests, d.fail)
			}
		})
	}
}

// One endpoint alone cannot be dialled for long: the requests go to another one. Of an error
// that may be the endpoint's it is told so, of others nothing.
func TestEndpointThatCannotBeDialledIsLeftAlone(t *testing.T) {
	for _, errno := range append(append([]syscall.Errno(nil), ownErrors...), unclearErrors...) {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := &faultyDialer{errno: errno}
			p, all := dialPool(t, d, 3)
			d.always = all[0].Addr()
			stop := make(chan struct{})
			var other sync.WaitGroup
			for i := range 3 { // others are reached all the time
				other.Go(func() {
					for k := 0; ; k++ {
						select {
						case <-stop:
							return
						default:
						}
						if v := p.ask(t, "GET", fmt.Sprint("beside", i, k)); v != Served {
							t.Errorf("request %d beside: verdict %d, want it served", k, v)
							return
						}
						time.Sleep(time.Millisecond)
					}
				})
			}
			for i := range 20 {
				if v := p.ask(t, "GET", fmt.Sprint(i)); v != Served {
					t.Errorf("request %d: verdict %d, want it served", i, v)
				}
			}
			close(stop)
			other.Wait()
			st := p.Stats()
			told := st.Results[balance.ConnectError]
			if own := faultIsOwn(errno); own && told > 0 || !own && told == 0 {
				t.Errorf("%d attempts blame the endpoint: %v", told, st.Results)
			}
		})
	}
}

func faultIsOwn(errno syscall.Errno) bool {
	for _, e := range ownErrors {
		if e == errno {
			return true
		}
	}
	return false
}

// What this machine has held up is not the endpoint's time.
func TestTimeLostHereIsNotTheEndpoints(t *testing.T) {
	d := &faultyDialer{errno: syscall.ENOBUFS, fail: 7} // 355 ms of waits
	p, all := dialPool(t, d, 1)
	began := time.Now()
	if v := p.ask(t, "GET", "1"); v != Served {
		t.Fatalf("verdict %d", v)
	}
	took := time.Since(began)
	mean := p.LearnedState().Balancer.Endpoints[all[0].Name()].Mean
	if mean <= 0 || took < 300*time.Millisecond || mean > took.Seconds()-0.3 {
		t.Errorf("the endpoint's mean is %.3f s after a request of %v, of which 355 ms were lost here", mean, took)
	}
}
