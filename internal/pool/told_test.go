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
	"gorselink/internal/nodes"
	"gorselink/internal/standin"
	"gorselink/internal/upstream"
)

// told is what an endpoint was told, and when it had read it.
type told struct {
	budget time.Duration
	at     time.Time
}

// teller is an endpoint that tells what it is told, and serves.
type teller struct {
	net.Listener
	heard    chan told
	waits    chan struct{}  // for each connection that stands and brings nothing
	answered chan time.Time // just before each answer
}

func (e *teller) serve() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				e.waits <- struct{}{}
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
				e.heard <- told{time.Duration(ms) * time.Millisecond, now}
				io.Copy(io.Discard, r.Body)
				e.answered <- time.Now()
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

func newTeller(t *testing.T, l net.Listener) *teller {
	t.Helper()
	e := &teller{Listener: l, heard: make(chan told, 8), waits: make(chan struct{}, 64), answered: make(chan time.Time, 8)}
	if l == nil {
		var err error
		if e.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { e.Close() })
	return e
}

// What an attempt tells its endpoint is what is left as its head is written: not more, which
// is the time that was left before the wait was over, and no less than what was left once
// the endpoint had read it. The test stops the clock at the end of the wait, from outside,
// so that it says the same on a busy machine.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	const budget = patience
	const wait = 200 * time.Millisecond
	for name, c := range map[string]struct {
		late    bool // connections to the endpoint come up late
		resting bool // it has one, which rests
		held    bool // Confirm has to wait
		unrun   bool // the goroutine that makes the attempt does not get to run
		further bool // a first attempt has broken off
		dialled bool // a first connection has not come up
		once    bool
		upload  bool // there is a body to be sent on while it comes
		coming  bool // of which some is still to come
	}{
		"at once":                            {},
		"not run":                            {unrun: true},
		"late":                               {late: true},
		"late, once":                         {late: true, once: true},
		"resting":                            {resting: true},
		"resting, once":                      {resting: true, once: true},
		"after Confirm":                      {late: true, held: true},
		"further":                            {further: true},
		"further, late":                      {further: true, late: true},
		"further, late, after Confirm":       {further: true, late: true, held: true},
		"further, once":                      {dialled: true, once: true},
		"upload":                             {upload: true},
		"upload still coming":                {upload: true, coming: true},
		"upload, late":                       {upload: true, late: true},
		"upload still coming, late":          {upload: true, coming: true, late: true},
		"upload, after Confirm":              {upload: true, late: true, held: true},
		"upload, resting":                    {upload: true, resting: true},
		"upload, not run":                    {upload: true, unrun: true},
		"upload, further":                    {upload: true, dialled: true},
		"upload, further, once":              {upload: true, dialled: true, once: true},
		"upload still coming, further, once": {upload: true, dialled: true, once: true, coming: true},
		"upload, further, late and after Confirm": {upload: true, dialled: true, late: true, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at *teller
			var late *standin.Late
			if c.late {
				var err error
				if late, err = standin.ListenLate(); err != nil {
					t.Fatal(err)
				}
				at = newTeller(t, late)
			} else {
				at = newTeller(t, nil)
				go at.serve()
			}
			cfg := testConfig()
			cfg.Balance.RampTime = 0
			semantics := balance.Safe
			if c.once {
				semantics = balance.Unsafe
			}
			cfg.Balance.Classes = []balance.Class{{Deadline: budget, Worth: 1, Semantics: semantics}}
			in := func(name string, l net.Listener) nodes.Endpoint {
				return nodes.Endpoint{Name: name, Address: l.Addr().String(), Zone: "a", Status: nodes.InService}
			}
			cfg.Known = nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{in("teller", at)}}
			var ended time.Time // of the first attempt, not later than it was
			before := make(chan struct{})
			end := make(chan struct{})
			if c.further {
				l := newTeller(t, nil)
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, in("other", l))
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					http.ReadRequest(bufio.NewReader(c))
					close(before)
					<-end
					c.Close()
				}()
			}
			if c.dialled {
				l, err := standin.ListenLate()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { l.Close() })
				cfg.Known.Endpoints = append(cfg.Known.Endpoints, in("other", l))
			}
			up := upstream.Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 32, MaxStreamBytes: 1 << 20}
			if c.resting {
				up.ReuseDelay = wait
			}
			if c.dialled {
				up.DialTimeout = wait
				if c.late {
					up.DialTimeout = 1500 * time.Millisecond // the kernel knocks once more after 1 s
				}
			}
			conns := upstream.New(up)
			t.Cleanup(conns.Close)
			p, err := New(cfg, conns)
			if err != nil {
				t.Fatal(err)
			}
			for range 60 { // whose shares make up the budget of what is tried again
				none := &Request{Tenant: -1, Outgoing: upstream.Request{Method: "GET", URI: "/", Host: "x"}}
				if err := p.Submit(none); err != nil {
					t.Fatal(err)
				}
				<-none.Answer()
				p.Done(none)
			}
			if c.further || c.dialled {
				p.SetDisabled(map[string]bool{"teller": true})
			}
			request := func() *Request {
				r := &Request{Tenant: -1, Budget: budget, Outgoing: upstream.Request{Method: "POST", URI: "/", Host: "x", NonIdempotent: c.once}}
				if c.upload {
					r.Outgoing.Upload = &upstream.Upload{Remaining: strings.NewReader("body"), Length: 4, Incomplete: func() bool { return c.coming }}
				}
				return r
			}
			var over time.Time // the wait, not later than it was
			if c.resting {
				r := request()
				r.Outgoing.Upload = nil
				if err := p.Submit(r); err != nil {
					t.Fatal(err)
				}
				p.RunFirstAttempt(r)
				a := <-r.Answer()
				a.Upstream.Release()
				p.Done(r)
				<-at.heard
				over = (<-at.answered).Add(wait)
			}
			r := request()
			began := time.Now()
			if err := p.Submit(r); err != nil {
				t.Fatal(err)
			}
			taken := time.Now()
			if c.further || c.dialled {
				p.SetDisabled(map[string]bool{"other": true}) // before the attempt is made
			}
			if c.unrun {
				time.Sleep(wait)
				over = time.Now()
			}
			go p.RunFirstAttempt(r)
			if c.further {
				<-before
				time.Sleep(wait)
				ended = time.Now()
				close(end)
			}
			if c.dialled {
				ended = taken.Add(up.DialTimeout)
				eventually(t, "the first attempt is over", func() bool { return p.Stats().LaterAttempts > 0 })
			}
			if over.IsZero() {
				over = ended
			}
			if c.late {
				again := 0
				if c.further || c.dialled {
					again = 1
				}
				eventually(t, "the late connection is being dialled", func() bool { s := p.Stats(); return conns.OpenConns() > 0 && s.LaterAttempts == again })
				time.Sleep(wait)
				if c.held {
					p.mu.Lock()
				}
				over = time.Now()
				if err := late.Open(); err != nil {
					t.Fatal(err)
				}
				go at.serve()
				if c.held {
					<-at.waits
					time.Sleep(wait)
					over = time.Now()
					p.mu.Unlock()
				}
			}
			a := <-r.Answer()
			if a.Verdict != Served {
				t.Fatalf("verdict %v", a.Verdict)
			}
			got := <-at.heard
			a.Upstream.Release()
			p.Done(r)
			if c.coming {
				if got.budget != budget {
					t.Errorf("told %v, want %v: the time of a body begins with its last byte", got.budget, budget)
				}
				return
			}
			most := budget
			if !over.IsZero() {
				most = budget - over.Sub(taken)
			}
			least := budget - got.at.Sub(began) - time.Millisecond // told whole
			if got.budget > most || got.budget < least {
				t.Errorf("told %v, want %v to %v", got.budget, least, most)
			}
			if most != budget && budget-most < wait-20*time.Millisecond {
				t.Errorf("waited for %v, want about %v: nothing is shown", budget-most, wait)
			}
		})
	}
}
