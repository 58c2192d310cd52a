package pool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/upstream"
)

// receivedBudget is the budget in a request that an endpoint received, and when it had read the
// header.
type receivedBudget struct {
	budget time.Duration
	at     time.Time
}

// budgetRecorder is an endpoint that records the budget in each request and serves it.
type budgetRecorder struct {
	net.Listener
	budgets       chan receivedBudget
	idleConns     chan struct{}  // receives a value for each connection without a request
	responseTimes chan time.Time // just before each response
}

func (b *budgetRecorder) serve() {
	for {
		c, err := b.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				b.idleConns <- struct{}{}
			}
			c.SetReadDeadline(time.Time{})
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				now := time.Now()
				ms, err := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
				if err != nil {
					ms = -1
				}
				b.budgets <- receivedBudget{time.Duration(ms) * time.Millisecond, now}
				io.Copy(io.Discard, r.Body)
				b.responseTimes <- time.Now()
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// newBudgetRecorder returns a budgetRecorder that listens on l, or on a free port if l is nil.
func newBudgetRecorder(t *testing.T, l net.Listener) *budgetRecorder {
	t.Helper()
	b := &budgetRecorder{Listener: l, budgets: make(chan receivedBudget, 8), idleConns: make(chan struct{}, 64), responseTimes: make(chan time.Time, 8)}
	if l == nil {
		var err error
		if b.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { b.Close() })
	return b
}

// An attempt forwards the time left when its header is written as the budget. The test measures
// an upper bound, the time left at the end of an earlier delay, and a lower bound, the time left
// when the endpoint has read the header, so that it is valid on a busy machine too.
func TestForwardedBudgetIsRemainingTime(t *testing.T) {
	const budget = testTimeout
	const wait = 200 * time.Millisecond
	for name, c := range map[string]struct {
		slowConnect           bool // the connection to the endpoint is established late
		reuseDelay            bool // the connection may be reused only after a delay
		confirmBlocked        bool // Confirm waits for the mutex
		startDelayed          bool // the goroutine of the attempt starts late
		retryAfterClose       bool // the connection of a first attempt is closed
		retryAfterDialTimeout bool // the dial of a first attempt times out
		nonIdempotent         bool
		upload                bool // the request has a streamed body
		uploadIncomplete      bool // part of the body has not been received
	}{
		"no delay":                        {},
		"late start":                      {startDelayed: true},
		"slow connect":                    {slowConnect: true},
		"slow connect, non-idempotent":    {slowConnect: true, nonIdempotent: true},
		"reuse delay":                     {reuseDelay: true},
		"reuse delay, non-idempotent":     {reuseDelay: true, nonIdempotent: true},
		"Confirm blocked":                 {slowConnect: true, confirmBlocked: true},
		"retry after close":               {retryAfterClose: true},
		"retry after close, slow connect": {retryAfterClose: true, slowConnect: true},
		"retry after close, slow connect, Confirm blocked": {retryAfterClose: true, slowConnect: true, confirmBlocked: true},
		"retry after dial timeout, non-idempotent":         {retryAfterDialTimeout: true, nonIdempotent: true},
		"upload":                                           {upload: true},
		"incomplete upload":                                {upload: true, uploadIncomplete: true},
		"upload, slow connect":                             {upload: true, slowConnect: true},
		"incomplete upload, slow connect":                  {upload: true, uploadIncomplete: true, slowConnect: true},
		"upload, Confirm blocked":                          {upload: true, slowConnect: true, confirmBlocked: true},
		"upload, reuse delay":                              {upload: true, reuseDelay: true},
		"upload, late start":                               {upload: true, startDelayed: true},
		"upload, retry after dial timeout":                 {upload: true, retryAfterDialTimeout: true},
		"upload, retry after dial timeout, non-idempotent": {upload: true, retryAfterDialTimeout: true, nonIdempotent: true},
		"incomplete upload, retry after dial timeout, non-idempotent":     {upload: true, retryAfterDialTimeout: true, nonIdempotent: true, uploadIncomplete: true},
		"upload, retry after dial timeout, slow connect, Confirm blocked": {upload: true, retryAfterDialTimeout: true, slowConnect: true, confirmBlocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var endpoint *budgetRecorder
			var late *fakeserver.FullListener
			if c.slowConnect {
				var err error
				if late, err = fakeserver.ListenFull(); err != nil {
					t.Fatal(err)
				}
				endpoint = newBudgetRecorder(t, late)
			} else {
				endpoint = newBudgetRecorder(t, nil)
				go endpoint.serve()
			}
			cfg := testConfig()
			cfg.Balance.SlowStartWindow = 0
			semantics := balance.Idempotent
			if c.nonIdempotent {
				semantics = balance.NonIdempotent
			}
			cfg.Balance.Classes = []balance.Class{{Deadline: budget, PriorityWeight: 1, Idempotency: semantics}}
			listed := func(name string, l net.Listener) discovery.Endpoint {
				return discovery.Endpoint{Name: name, Address: l.Addr().String(), Zone: "a", Status: discovery.InService}
			}
			cfg.Known = discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{listed("recorder", endpoint)}}
			var firstEndedAt time.Time // end of the first attempt, or slightly earlier
			firstReceived := make(chan struct{})
			breakFirst := make(chan struct{})
			if c.retryAfterClose {
				other := newBudgetRecorder(t, nil)
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, listed("other", other))
				go func() {
					c, err := other.Accept()
					if err != nil {
						return
					}
					http.ReadRequest(bufio.NewReader(c))
					close(firstReceived)
					<-breakFirst
					c.Close()
				}()
			}
			if c.retryAfterDialTimeout {
				other, err := fakeserver.ListenFull()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { other.Close() })
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, listed("other", other))
			}
			upstreamConfig := upstream.Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 32, MaxStreamBytes: 1 << 20}
			if c.reuseDelay {
				upstreamConfig.ReuseDelay = wait
			}
			if c.retryAfterDialTimeout {
				upstreamConfig.DialTimeout = wait
				if c.slowConnect {
					upstreamConfig.DialTimeout = 1500 * time.Millisecond // the kernel sends the next SYN after 1 s
				}
			}
			conns := upstream.New(upstreamConfig)
			t.Cleanup(conns.Close)
			p, err := New(cfg, conns)
			if err != nil {
				t.Fatal(err)
			}
			for range 60 { // each request adds to the retry budget
				expired := &Request{Tenant: -1, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
				if err := p.Submit(expired); err != nil {
					t.Fatal(err)
				}
				<-expired.Response()
				p.Done(expired)
			}
			if c.retryAfterClose || c.retryAfterDialTimeout {
				p.SetDisabled(map[string]bool{"recorder": true})
			}
			request := func() *Request {
				r := &Request{Tenant: -1, Budget: budget, Outgoing: upstream.Request{Method: "POST", URI: "/", Host: "x", NonIdempotent: c.nonIdempotent}}
				if c.upload {
					r.Outgoing.Upload = &upstream.Upload{Remaining: strings.NewReader("body"), Length: 4, Incomplete: func() bool { return c.uploadIncomplete }}
				}
				return r
			}
			var waitEndedAt time.Time // end of the delay, or slightly earlier
			if c.reuseDelay {
				r := request()
				r.Outgoing.Upload = nil
				if err := p.Submit(r); err != nil {
					t.Fatal(err)
				}
				p.RunFirstAttempt(r)
				a := <-r.Response()
				a.Upstream.Release()
				p.Done(r)
				<-endpoint.budgets
				waitEndedAt = (<-endpoint.responseTimes).Add(wait)
			}
			r := request()
			began := time.Now()
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			submittedAt := time.Now()
			if c.retryAfterClose || c.retryAfterDialTimeout {
				p.SetDisabled(map[string]bool{"other": true}) // before the attempt
			}
			if c.startDelayed {
				time.Sleep(wait)
				waitEndedAt = time.Now()
			}
			go p.RunFirstAttempt(r)
			if c.retryAfterClose {
				<-firstReceived
				time.Sleep(wait)
				firstEndedAt = time.Now()
				close(breakFirst)
			}
			if c.retryAfterDialTimeout {
				firstEndedAt = submittedAt.Add(upstreamConfig.DialTimeout)
				eventually(t, "the first attempt is over", func() bool { return p.Stats().LaterAttempts > 0 })
			}
			if waitEndedAt.IsZero() {
				waitEndedAt = firstEndedAt
			}
			if c.slowConnect {
				laterAttempts := 0
				if c.retryAfterClose || c.retryAfterDialTimeout {
					laterAttempts = 1
				}
				eventually(t, "the late endpoint is being dialled", func() bool { s := p.Stats(); return conns.OpenConns() > 0 && s.LaterAttempts == laterAttempts })
				time.Sleep(wait)
				if c.confirmBlocked {
					p.mu.Lock()
				}
				waitEndedAt = time.Now()
				if err := late.Unblock(); err != nil {
					t.Fatal(err)
				}
				go endpoint.serve()
				if c.confirmBlocked {
					<-endpoint.idleConns
					time.Sleep(wait)
					waitEndedAt = time.Now()
					p.mu.Unlock()
				}
			}
			a := <-r.Response()
			if a.Outcome != Served {
				t.Fatalf("outcome %v, want Served", a.Outcome)
			}
			got := <-endpoint.budgets
			a.Upstream.Release()
			p.Done(r)
			if c.uploadIncomplete {
				if got.budget != budget {
					t.Errorf("forwarded budget %v, want %v: the budget starts at the last byte of the body", got.budget, budget)
				}
				return
			}
			most := budget
			if !waitEndedAt.IsZero() {
				most = budget - waitEndedAt.Sub(submittedAt)
			}
			least := budget - got.at.Sub(began) - time.Millisecond // the header has whole milliseconds
			if got.budget > most || got.budget < least {
				t.Errorf("forwarded budget %v, want %v to %v", got.budget, least, most)
			}
			if most != budget && budget-most < wait-20*time.Millisecond {
				t.Errorf("the attempt was delayed by %v, want about %v, so the test shows nothing", budget-most, wait)
			}
		})
	}
}
