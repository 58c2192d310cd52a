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

// stallingClock is a clock that blocks its reader for a while after one of its readings.
type stallingClock struct {
	stall      time.Duration
	stallAfter int       // number of the reading, from 1; 0 for none
	reads      int       // readings so far
	stallStart time.Time // result of that reading
	stallEnd   time.Time // time after the stall
}

func (c *stallingClock) now() time.Time {
	now := time.Now()
	if c.reads++; c.reads == c.stallAfter {
		time.Sleep(c.stall)
		c.stallStart, c.stallEnd = now, time.Now()
	}
	return now
}

// recordingConfirmer records the time of its last call.
type recordingConfirmer struct{ last time.Time }

func (c *recordingConfirmer) Confirm() bool {
	c.last = time.Now()
	return true
}

// A stall of the process after a clock reading does not extend the budget sent to the
// endpoint, and Confirm is called again after it. Only a stall right before the write
// is not detected.
func TestBudgetAfterStall(t *testing.T) {
	const stallTime = 150 * time.Millisecond
	// Do reads the clock at its start, before and after Confirm, and after encoding the head.
	const clockReads = 4
	for name, request := range map[string]func() *Request{
		"idempotent":     func() *Request { return &Request{} },
		"non-idempotent": func() *Request { return &Request{NonIdempotent: true} },
		"long body":      func() *Request { return &Request{Body: make([]byte, 2*writeBufferSize)} },
		"upload": func() *Request {
			return &Request{Upload: &Upload{Buffered: []byte("body"), Length: 4, Remaining: emptyBody{}, Commit: func() bool { return true }}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budgets := make(chan string, 1)
			var received atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				budgets <- r.Header.Get("X-Budget-Ms")
				io.WriteString(w, "ok")
			}))
			defer srv.Close()
			// attempt makes one attempt and returns the budget sent, the result and the deadline.
			attempt := func(clock *stallingClock, confirmer *recordingConfirmer, timeout time.Duration, connected bool) (time.Duration, balance.Result, time.Time) {
				p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 5})
				defer p.Close()
				p.Set("s-1", Target{Address: srv.Listener.Addr().String()})
				if connected {
					if resp, result := sendGet(p, testTimeout); result != balance.OK {
						t.Errorf("request that opens the connection: %v", result)
					} else {
						resp.Release()
						<-budgets
					}
				}
				p.now = clock.now
				r := request()
				r.Method, r.URI, r.Host = "POST", "/", "x"
				deadline := time.Now().Add(timeout)
				resp, result := p.Do(new(Call), "s-1", r, deadline, confirmer)
				if resp == nil {
					return 0, result, deadline
				}
				resp.Release()
				ms, err := strconv.Atoi(<-budgets)
				if err != nil {
					t.Error(err)
				}
				return time.Duration(ms) * time.Millisecond, result, deadline
			}
			noStall := &stallingClock{}
			if _, result, _ := attempt(noStall, &recordingConfirmer{}, testTimeout, false); result != balance.OK || noStall.reads < clockReads {
				t.Fatalf("without a stall: %v after %d clock readings, want %d or more", result, noStall.reads, clockReads)
			}
			for after := 1; after <= clockReads; after++ {
				clock, confirmer := &stallingClock{stall: stallTime, stallAfter: after}, &recordingConfirmer{}
				budget, result, deadline := attempt(clock, confirmer, testTimeout, false)
				maxBudget := deadline.Sub(clock.stallEnd)
				if after == clockReads {
					maxBudget += clock.stallEnd.Sub(clock.stallStart) + stallThreshold
				}
				if result != balance.OK || budget > maxBudget {
					t.Errorf("stall after reading %d of %d: %v, budget %v, want %v at most", after, clockReads, result, budget, maxBudget)
				}
				if after < clockReads && confirmer.last.Before(clock.stallEnd) {
					t.Errorf("stall after reading %d of %d: not confirmed again", after, clockReads)
				}
			}
			for after := 1; after < clockReads; after++ {
				connected := after > 1 // otherwise dialling could use up the time on a busy machine
				before := received.Load()
				_, result, _ := attempt(&stallingClock{stall: stallTime, stallAfter: after}, &recordingConfirmer{}, stallTime, connected)
				n := received.Load() - before
				if connected {
					n--
				}
				if result != balance.NotSent || n != 0 {
					t.Errorf("no time left after reading %d of %d: %v, %d requests at the endpoint", after, clockReads, result, n)
				}
			}
		})
	}
}

// emptyBody is a body without data.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
