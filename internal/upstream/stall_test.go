package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/balance"
)

// heldUp is a clock whose reader is held up for a while right after one of its reads.
type heldUp struct {
	stall time.Duration
	after int       // which read, from 1 on; 0 for none
	reads int       // so far
	read  time.Time // what that one has shown
	until time.Time // the end of the stall
}

func (h *heldUp) now() time.Time {
	now := time.Now()
	if h.reads++; h.reads == h.after {
		time.Sleep(h.stall)
		h.read, h.until = now, time.Now()
	}
	return now
}

// asked is a Confirmer that notes when it was asked last.
type asked struct{ last time.Time }

func (a *asked) Confirm() bool {
	a.last = time.Now()
	return true
}

// The process is held up for 0.15 s after any of the clock's reads. What the endpoint is told
// is what is left after that, and so is what is asked before the first byte; only behind the
// very last read, right before the write, is the stall within the slack of what is told.
// Where the stall leaves nothing, nothing is sent.
func TestToldTimeHoldsAfterAStall(t *testing.T) {
	const held = 150 * time.Millisecond
	// The clock is read as Do begins, and before and after Confirm and behind the encoding.
	const last = 4
	for name, request := range map[string]func() *Request{
		"usual":     func() *Request { return &Request{} },
		"once":      func() *Request { return &Request{NonIdempotent: true} },
		"long body": func() *Request { return &Request{Body: make([]byte, 2*writeBuffer)} },
		"upload": func() *Request {
			return &Request{Upload: &Upload{Buffered: []byte("body"), Length: 4, Remaining: eof{}, Commit: func() bool { return true }}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told := make(chan string, 1)
			var got atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got.Add(1)
				told <- r.Header.Get("X-Budget-Ms")
				io.WriteString(w, "ok")
			}))
			defer srv.Close()
			// attempt makes one that is held up after a read, and returns what was told.
			attempt := func(clock *heldUp, may *asked, left time.Duration, connected bool) (time.Duration, balance.Result, time.Time) {
				p := New(Config{DialTimeout: patience, IdleTimeout: patience, MaxConns: 5})
				defer p.Close()
				p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
				if connected {
					if a, result := send(p, patience); result != balance.OK {
						t.Errorf("to be connected: %v", result)
					} else {
						a.Release()
						<-told
					}
				}
				p.now = clock.now
				r := request()
				r.Method, r.URI, r.Host = "POST", "/", "x"
				deadline := time.Now().Add(left)
				a, result := p.Do(new(Call), "s-1", r, deadline, may)
				if a == nil {
					return 0, result, deadline
				}
				a.Release()
				ms, err := strconv.Atoi(<-told)
				if err != nil {
					t.Error(err)
				}
				return time.Duration(ms) * time.Millisecond, result, deadline
			}
			plain := &heldUp{}
			if _, result, _ := attempt(plain, &asked{}, patience, false); result != balance.OK || plain.reads < last {
				t.Fatalf("with no stall: %v after %d reads, want %d or more", result, plain.reads, last)
			}
			for after := 1; after <= last; after++ {
				clock, may := &heldUp{stall: held, after: after}, &asked{}
				got, result, deadline := attempt(clock, may, patience, false)
				most := deadline.Sub(clock.until)
				if after == last {
					most += clock.until.Sub(clock.read) + stall
				}
				if result != balance.OK || got > most {
					t.Errorf("held up after read %d of %d: %v, told %v, want %v at most", after, last, result, got, most)
				}
				if after < last && may.last.Before(clock.until) {
					t.Errorf("held up after read %d of %d: not asked again after the stall", after, last)
				}
			}
			for after := 1; after < last; after++ {
				connected := after > 1 // else a busy machine may take all of the time for it
				before := got.Load()
				_, result, _ := attempt(&heldUp{stall: held, after: after}, &asked{}, held, connected)
				n := got.Load() - before
				if connected {
					n--
				}
				if result != balance.NotSent || n != 0 {
					t.Errorf("nothing left after read %d of %d: %v, %d requests at the endpoint", after, last, result, n)
				}
			}
		})
	}
}

// eof is a body of which nothing is still to come.
type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }
