package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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
	cfg.Balance.OverloadWindow, cfg.Balance.OverloadFactor = 2*time.Second, 2
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
	a.handleList(a.sources[0], nodes.List{Index: a.index, Snapshot: whole, Endpoints: list})
}

// sinceOf is the start of an endpoint as the Balancer was told.
func (a *aged) sinceOf(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.balancerView[name]
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
	for _, offset := range wallOffsets {
		for _, way := range []string{"change", "whole list", "restart", "change in a long watch"} {
			quiet := 700 * time.Millisecond // between the last list without it and the one with it
			if way == "change in a long watch" {
				quiet = 20 * time.Second
			}
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
					if way == "change in a long watch" {
						heard = p.now() - maxWatchDelay // which told the change when it was made
					}
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

// A reload names another discovery while endpoints come. What its first word tells of the
// list that is known is bounded by the last word of the one before; a whole list that names
// none of the known endpoints is of another service, whose stamps are all there is.
func TestFreshEndpointInTheFirstWordOfAnotherSource(t *testing.T) {
	const gap = 700 * time.Millisecond
	for name, c := range map[string]struct {
		whole   bool
		list    []string
		bounded bool
	}{
		"a change":                       {false, []string{"new"}, true},
		"a change beside a known one":    {false, []string{"a", "new"}, true},
		"the whole list":                 {true, []string{"a", "b", "new"}, true},
		"the whole list of another tier": {true, []string{"new"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clocks := clock.NewManual(0)
			p := newAged(t, clocks, agedConfig(clocks))
			p.tell(true, stamped("a", 0), stamped("b", 0))
			clocks.Advance(time.Minute)
			p.tell(false)
			heard := p.now()
			clocks.Advance(gap)
			next := &source{Source: p.sources[0].Source, number: 2, cancel: func() {}}
			p.sources = append(p.sources, next)
			l := nodes.List{Index: p.index + 1, Snapshot: c.whole}
			for _, name := range c.list {
				e := stamped(name, 0)
				if name == "new" {
					e.SinceMs = ago(clocks.Clock().Wall(), time.Hour)
				}
				l.Endpoints = append(l.Endpoints, e)
			}
			p.handleList(next, l)
			if since := p.sinceOf("new"); (since == heard) != c.bounded || !c.bounded && since > -50*time.Minute {
				t.Errorf("since %v, last heard at %v, want it bounded: %t", since, heard, c.bounded)
			}
		})
	}
}

// A source that tells starts takes the place of one that knows none, with the same names.
// The stamps that it is the first to tell are no restarts.
func TestStampsAfterAListWithoutThem(t *testing.T) {
	clocks := clock.NewManual(0)
	p := newAged(t, clocks, agedConfig(clocks))
	first := p.sources[0].Source
	p.sources[0].Source = &nodes.File{}
	p.handleList(p.sources[0], entries("127.0.0.1:1", "127.0.0.1:2"))
	clocks.Advance(time.Minute)
	p.sources = append(p.sources, &source{Source: first, number: 2, cancel: func() {}})
	stamp := ago(clocks.Clock().Wall(), time.Hour)
	p.handleList(p.sources[1], nodes.List{Snapshot: true, Endpoints: []nodes.Endpoint{stamped("127.0.0.1:1", stamp), stamped("127.0.0.1:2", stamp)}})
	for name, age := range p.agesNow() {
		if age < 59*time.Minute {
			t.Errorf("%s counts as %v old, want an hour", name, age)
		}
	}
	if n := len(p.agesNow()); n != 2 {
		t.Errorf("%d have an age, want 2", n)
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
	for _, e := range a.balancerView {
		entries = append(entries, e)
	}
	b.Members(now, balance.Full, entries)
	id := balance.RequestID(0)
	play := func(span time.Duration) (share float64) {
		h.sent = map[string]int{}
		n := 0
		for end += span; now < end; now += 20 * time.Millisecond {
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

// ages are how old the Balancer takes the ready endpoints for, and the draining ones with
// a minus; those that have been there for long are left out.
func (a *aged) agesNow() map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	ages := map[string]time.Duration{}
	for name, e := range a.balancerView {
		switch age := a.now() - e.Since; {
		case e.Since == 0:
		case e.State == balance.Draining:
			ages[name] = -age
		default:
			ages[name] = age
		}
	}
	return ages
}

// wrongClocks are clocks beside a right one.
type wrongClocks struct {
	*clock.Manual
	start, wall time.Time // when they were made, by the monotonic and the right wall clock
}

func newWrongClocks() *wrongClocks {
	m := clock.NewManual(0)
	return &wrongClocks{m, m.Clock().Now(), m.Clock().Wall()}
}

// truth is what a right wall clock shows.
func (w *wrongClocks) truth() time.Time { return w.wall.Add(w.Clock().Since(w.start)) }

// stepMoment is a moment in which the wall clock is stepped.
type stepMoment struct {
	gap  time.Duration            // between the list that is the first to tell of an endpoint and the one before
	ages map[string]time.Duration // of some of the endpoints in the end
	play func(t *testing.T, clocks *wrongClocks, step func()) *aged
}

// stepMoments are moments in which the wall clock is stepped, by step, and what then comes.
// Each ends with what the Balancer takes the endpoints for.
var stepMoments = map[string]stepMoment{
	"before anything new": {500 * time.Millisecond, map[string]time.Duration{"fresh": 100 * time.Millisecond, "late": 500 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		step()
		clocks.Advance(500 * time.Millisecond)
		p.tell(false, stamped("fresh", ago(clocks.truth(), 100*time.Millisecond)), stamped("late", ago(clocks.truth(), 3*time.Second)))
		return p
	}},
	"in a long watch": {maxWatchDelay, map[string]time.Duration{"late": maxWatchDelay - 200*time.Millisecond, "wrong": maxWatchDelay}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		step()
		clocks.Advance(20 * time.Second)
		p.tell(false, stamped("late", ago(clocks.truth(), maxWatchDelay-200*time.Millisecond)), stamped("wrong", ago(clocks.truth(), time.Hour)))
		return p
	}},
	"in a ramp": {500 * time.Millisecond, map[string]time.Duration{"fresh": 4200 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := stamped("fresh", ago(clocks.truth(), 200*time.Millisecond))
		p.tell(false, fresh)
		clocks.Advance(3 * time.Second)
		step()
		p.tell(false, fresh)
		clocks.Advance(time.Second)
		p.tell(true, stamped("old", 0), stamped("dated", p.known["dated"].SinceMs), fresh)
		p.SetDisabled(nil)
		return p
	}},
	"in a drain that is taken back": {500 * time.Millisecond, map[string]time.Duration{"fresh": 2200 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := stamped("fresh", ago(clocks.truth(), 200*time.Millisecond))
		p.tell(false, fresh)
		drains := fresh
		drains.Status = nodes.Terminating
		clocks.Advance(time.Second)
		p.tell(false, drains)
		step()
		clocks.Advance(time.Second)
		p.tell(false, fresh)
		return p
	}},
	"in a drain by hand": {500 * time.Millisecond, map[string]time.Duration{"old": 2100 * time.Millisecond, "dated": time.Second}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(3 * time.Second)
		step()
		clocks.Advance(3 * time.Second)
		p.SetDisabled(map[string]bool{"dated": true})
		clocks.Advance(500 * time.Millisecond)
		p.tell(false)
		clocks.Advance(500 * time.Millisecond)
		p.tell(false, stamped("old", ago(clocks.truth(), 100*time.Millisecond))) // it was restarted
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		clocks.Advance(time.Second)
		return p
	}},
	"after a drain by hand": {0, map[string]time.Duration{"old": agedRamp + 30*time.Second}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		clocks.Advance(agedRamp + 30*time.Second) // short of what it is remembered for
		step()
		p.SetDisabled(nil)
		return p
	}},
	"in a hand-over": {3 * time.Second, map[string]time.Duration{"old": 3 * time.Second, "fresh": 3200 * time.Millisecond, "missed": 2 * time.Second, "wrong": 3100 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(500 * time.Millisecond)
		p.tell(false, stamped("fresh", ago(clocks.truth(), 100*time.Millisecond)))
		p.tell(false, stamped("wrong", ago(clocks.truth(), time.Hour)), stamped("fixed", ago(clocks.truth(), 0)))
		clocks.Advance(100 * time.Millisecond)
		p.SetDisabled(map[string]bool{"dated": true, "fixed": true})
		clocks.Advance(2 * time.Second)
		text, err := json.Marshal(p.LearnedState())
		if err != nil {
			t.Fatal(err)
		}
		cfg := agedConfig(clocks.Manual)
		cfg.Known = p.List()
		step()
		var m LearnedState
		if err := json.Unmarshal(text, &m); err != nil {
			t.Fatal(err)
		}
		cfg.Ages = m.Ages
		next := newAged(t, clocks.Manual, cfg)
		next.Restore(m)
		next.SetDisabled(map[string]bool{"dated": true, "fixed": true})
		clocks.Advance(time.Second)
		next.SetDisabled(map[string]bool{"dated": true})
		next.index = p.index
		next.tell(false, stamped("missed", ago(clocks.truth(), 2*time.Second)), stamped("fresh", p.known["fresh"].SinceMs))
		return next
	}},
	"in a reload": {3 * time.Second, map[string]time.Duration{"fresh": 3100 * time.Millisecond, "wrong": 3500 * time.Millisecond, "missed": 500 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		p.tell(false, stamped("fresh", ago(clocks.truth(), 100*time.Millisecond)), stamped("wrong", ago(clocks.truth(), time.Hour)))
		clocks.Advance(2 * time.Second)
		step()
		cfg := agedConfig(clocks.Manual)
		cfg.Known, cfg.Ages = p.List(), p.Ages()
		next := newAged(t, clocks.Manual, cfg)
		clocks.Advance(time.Second)
		next.tell(true, append(p.List().Endpoints, stamped("missed", ago(clocks.truth(), 500*time.Millisecond)))...)
		return next
	}},
	"in an outage of discovery": {8 * time.Second, map[string]time.Duration{"new3": 3 * time.Second, "new8": 8 * time.Second}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		clocks.Advance(4 * time.Second)
		step()
		clocks.Advance(4 * time.Second)
		p.sources[0].watchOpen = false // its calls have failed
		list := []nodes.Endpoint{stamped("old", 0), stamped("dated", ago(clocks.truth(), time.Second))}
		for s := range 9 {
			list = append(list, stamped(fmt.Sprint("new", s), ago(clocks.truth(), time.Duration(s)*time.Second)))
		}
		p.tell(true, list...)
		return p
	}},
	"in a list that leaves some out": {500 * time.Millisecond, map[string]time.Duration{"fresh": 2100 * time.Millisecond}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := stamped("fresh", ago(clocks.truth(), 100*time.Millisecond))
		p.tell(false, fresh)
		clocks.Advance(time.Second)
		p.tell(true, stamped("old", 0))
		step()
		clocks.Advance(time.Second)
		p.tell(true, stamped("old", 0), fresh)
		return p
	}},
	"in a file that tells starts": {0, map[string]time.Duration{"new": time.Second, "wrong": time.Second}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newKnowing(t, clocks)
		p.sources[0].Source = &nodes.File{}
		clocks.Advance(time.Hour) // without a change
		step()
		p.tell(true, stamped("old", 0), stamped("dated", p.known["dated"].SinceMs), stamped("new", ago(clocks.truth(), 0)), stamped("wrong", ago(clocks.truth(), time.Hour)))
		clocks.Advance(time.Second)
		return p
	}},
	"in a list that knows no starts": {0, map[string]time.Duration{"one": time.Second, "three": 4 * time.Second, "four": 3 * time.Second}, func(t *testing.T, clocks *wrongClocks, step func()) *aged {
		p := newAged(t, clocks.Manual, agedConfig(clocks.Manual))
		p.sources[0].Source = &nodes.File{}
		tell := func(names ...string) {
			l := entries(names...)
			p.handleList(p.sources[0], l)
			clocks.Advance(time.Second)
		}
		tell("one", "two")
		clocks.Advance(time.Hour)
		tell("one", "two", "three")
		step()
		tell("one", "two", "three", "four")
		tell("two", "three", "four")
		tell("one", "two", "three", "four") // and back
		return p
	}},
}

// newKnowing is a Pool that has known two endpoints for some time.
func newKnowing(t *testing.T, clocks *wrongClocks) *aged {
	t.Helper()
	p := newAged(t, clocks.Manual, agedConfig(clocks.Manual))
	p.tell(true, stamped("old", 0), stamped("dated", ago(clocks.truth(), time.Hour)))
	clocks.Advance(time.Minute)
	p.tell(false)
	return p
}

// Whenever the wall clock is stepped, and by however much, the Balancer is told the same as
// if it had not been. Where it was wrong from the start, an endpoint's age may be wrong by
// the time between the first list that tells of it and the one before, and not by more.
func TestWallClockStepsChangeNothing(t *testing.T) {
	const rounding = time.Millisecond // of stamps
	nothing := func() {}
	for name, moment := range stepMoments {
		t.Run(name, func(t *testing.T) {
			right := moment.play(t, newWrongClocks(), nothing).agesNow()
			for name, want := range moment.ages {
				if d := (right[name] - want).Abs(); d > rounding {
					t.Errorf("with right clocks %s has the age %v, want %v", name, right[name], want)
				}
			}
			near := func(what string, got map[string]time.Duration, slack time.Duration) {
				t.Helper()
				for name, want := range right {
					if d := (got[name] - want).Abs(); d > slack {
						t.Errorf("%s: %s has the age %v, want %v", what, name, got[name], want)
					}
				}
				if len(got) != len(right) {
					t.Errorf("%s: ages %v, want %v", what, got, right)
				}
			}
			for _, span := range wallOffsets[1:] {
				clocks := newWrongClocks()
				got := moment.play(t, clocks, func() { clocks.Step(span) }).agesNow()
				near(fmt.Sprintf("stepped by %v", span), got, rounding)

				clocks = newWrongClocks()
				clocks.Step(span)
				got = moment.play(t, clocks, nothing).agesNow()
				if stamped, ok := right["dated"]; ok { // the first list of a process has nothing else to go by
					got["dated"] = stamped
				}
				near(fmt.Sprintf("wrong by %v from the start", span), got, moment.gap+rounding)
			}
		})
	}
}

// What appears after an outage of discovery may be as old as the outage: its calls have
// failed, so that no watch has stood. It is taken for no older than the last answer.
func TestAgeAfterAnOutageOfDiscovery(t *testing.T) {
	const outage, early, late = 1600 * time.Millisecond, time.Second, 500 * time.Millisecond // for a busy machine
	for _, asks := range []bool{false, true} {
		t.Run(fmt.Sprintf("asks %t", asks), func(t *testing.T) {
			t.Parallel()
			var down, back atomic.Bool
			var began atomic.Int64 // stamp of what is new
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				const entry = `{"name":%q,"address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":%d}`
				switch {
				case down.Load():
					http.Error(w, "down", http.StatusServiceUnavailable)
				case back.Load():
					fmt.Fprintf(w, `{"index":2,"snapshot":true,"endpoints":[`+entry+","+entry+","+entry+`]}`, "old", 0, "right", began.Load(), "wrong", 1)
				default:
					time.Sleep(10 * time.Millisecond) // a short watch
					fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[`+entry+`]}`, "old", 0)
				}
			}))
			defer server.Close()
			cfg := testConfig()
			times := nodes.PushTimes(0)
			if asks {
				cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval, times = true, 400*time.Millisecond, nodes.AskTimes()
			}
			cfg.Source = nodes.NewDiscovery(server.Listener.Addr().String(), times)
			p := newPool(t, cfg)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.Run(ctx)
			eventually(t, "the first list", p.HasList)
			down.Store(true)
			last := p.now()
			began.Store(time.Now().UnixMilli())
			time.Sleep(outage)
			back.Store(true)
			down.Store(false)
			since := func(name string) time.Duration {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.balancerView[name].Since
			}
			eventually(t, "the list after the outage", func() bool { return since("right") != 0 })
			for _, name := range []string{"right", "wrong"} {
				if at := since(name); at < last-early || at > last+late {
					t.Errorf("%s counts as started at %v, want %v, when discovery was last heard", name, at, last)
				}
			}
		})
	}
}
