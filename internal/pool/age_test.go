package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/clock"
	"gorselink/internal/nodes"
)

// aged is a Pool whose clocks move by hand.
type aged struct {
	*Pool
	t      *testing.T
	clocks *clock.Manual
	index  uint64
}

const agedRamp = 10 * time.Second

func agedConfig(clocks *clock.Manual) Config {
	cfg := testConfig()
	cfg.Balance.RampTime, cfg.Balance.ColdShare = agedRamp, 0.1
	cfg.Balance.OverloadFor, cfg.Balance.FallMultiple = 2*time.Second, 2
	cfg.Clock = clocks.Clock()
	return cfg
}

func newAged(t *testing.T, clocks *clock.Manual, cfg Config) *aged {
	t.Helper()
	a := &aged{Pool: newPool(t, cfg), t: t, clocks: clocks}
	a.sources = []*source{{Source: nodes.NewDiscovery("127.0.0.1:1", nodes.PushTimes(0)), number: 1, cancel: func() {}}}
	return a
}

// stamped is an entry with a start.
func stamped(name string, stamp int64) nodes.Endpoint {
	return nodes.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: nodes.InService, SinceMs: stamp}
}

// tell has the source tell entries, the whole list or what has changed.
func (a *aged) tell(whole bool, list ...nodes.Endpoint) {
	a.index++
	a.told(a.sources[0], nodes.List{Index: a.index, Snapshot: whole, Endpoints: list})
}

// sinceOf is the start of an endpoint as the Balancer was told.
func (a *aged) sinceOf(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entered[name]
	if !ok {
		a.t.Fatalf("%s is not known", name)
	}
	return e.Since
}

// ago is the stamp of what started so long before now by a right clock.
func ago(trueNow time.Time, age time.Duration) int64 { return trueNow.Add(-age).UnixMilli() }

// wallOffsets are how far the wall clock of this machine may be from that of whoever stamps.
var wallOffsets = []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour}

// An endpoint that is told of beside known ones is no older than the last list without it,
// whatever its stamp says and whatever the wall clock of this machine has been set to, and
// no younger than now: it gets what a cold one may get, and its even share after one ramp.
func TestFreshEndpointWithAnyStampIsCold(t *testing.T) {
	const quiet = 700 * time.Millisecond // between the last list without it and the one with it
	for _, offset := range wallOffsets {
		for _, way := range []string{"change", "whole list", "restart"} {
			clocks := clock.NewManual(offset)
			trueNow := clocks.Clock().Wall().Add(-offset)
			for name, stamp := range map[string]int64{
				"0":            0,
				"negative":     -1,
				"least":        math.MinInt64,
				"now":          ago(trueNow, 0),
				"an hour ago":  ago(trueNow, time.Hour),
				"5 s ago":      ago(trueNow, 5*time.Second),
				"in 5 s":       ago(trueNow, -5*time.Second),
				"in an hour":   ago(trueNow, -time.Hour),
				"in 200 years": ago(trueNow, -200*365*24*time.Hour),
				"most":         math.MaxInt64,
			} {
				t.Run(fmt.Sprintf("clock %+v/%s/%s", offset, way, name), func(t *testing.T) {
					clocks := clock.NewManual(offset)
					p := newAged(t, clocks, agedConfig(clocks))
					known := []nodes.Endpoint{stamped("a", 0), stamped("b", ago(trueNow, 24*time.Hour))}
					p.tell(true, known...)
					clocks.Advance(time.Minute)
					if way == "restart" {
						p.tell(false, stamped("c", ago(trueNow, 12*time.Hour)))
						clocks.Advance(time.Minute)
					}
					p.tell(false) // nothing new, but it tells that all is up to date
					heard := p.now()
					clocks.Advance(quiet)
					if way == "whole list" {
						p.tell(true, append(known, stamped("c", stamp))...)
					} else {
						p.tell(false, stamped("c", stamp))
					}
					since := p.sinceOf("c")
					if since < heard || since > p.now() {
						t.Errorf("since %v, want one from %v, the last list without it, to %v", since, heard, p.now())
					}
					if p.sinceOf("a") != 0 || p.sinceOf("b") > -12*time.Hour {
						t.Errorf("the others count as started at %v and %v", p.sinceOf("a"), p.sinceOf("b"))
					}
					cold, warm := p.shares(t, "c")
					if cold > 0.2 || warm < 0.25 {
						t.Errorf("it gets %.2f of the attempts at first and %.2f after the ramp, want some 0.05 and a third", cold, warm)
					}
				})
			}
		}
	}
}

// shares are the parts of all attempts that an endpoint gets in the first second and, in
// virtual time, after its ramp, from a Balancer that was told what the Pool's was.
func (a *aged) shares(t *testing.T, name string) (first, after float64) {
	t.Helper()
	h := &recorder{}
	cfg := a.cfg.Balance
	cfg.Entry = false
	b, err := balance.New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	now, end := a.now(), a.now()
	var entries []balance.Endpoint
	for _, e := range a.entered {
		entries = append(entries, e)
	}
	b.Members(now, balance.Full, entries)
	id := balance.RequestID(0)
	play := func(span time.Duration) (share float64) {
		h.sent = map[string]int{}
		n := 0
		for end += span; now < end; now += 5 * time.Millisecond {
			id++
			h.last = ""
			b.Request(now, id, 0, -1, time.Second)
			if h.last != "" {
				n++
				b.Outcome(now+4*time.Millisecond, id, 0, balance.OK, 4*time.Millisecond, true)
			}
		}
		return float64(h.sent[name]) / float64(n)
	}
	first = play(time.Second)
	play(agedRamp)
	return first, play(5 * time.Second)
}

// recorder is a balance.Host that counts attempts.
type recorder struct {
	sent map[string]int
	last string
}

func (r *recorder) Send(_ balance.RequestID, addr string, _ time.Duration) {
	r.sent[addr]++
	r.last = addr
}
func (r *recorder) Refuse(balance.RequestID, time.Duration) {}
func (r *recorder) Fail(balance.RequestID)                  {}
func (r *recorder) After(time.Duration, uint64)             {}
func (r *recorder) Watch()                                  {}
