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
	"gorselink/internal/discovery"
)

// manualClockPool is a Pool with manual clocks and one source. The test delivers its lists.
type manualClockPool struct {
	*Pool
	t         *testing.T
	clocks    *clock.Manual
	lastIndex uint64
}

const testSlowStartWindow = 10 * time.Second

func manualClockConfig(clocks *clock.Manual) Config {
	cfg := testConfig()
	cfg.Balance.SlowStartWindow, cfg.Balance.SlowStartInitialShare = testSlowStartWindow, 0.1
	cfg.Balance.OverloadWindow, cfg.Balance.OverloadFactor = 2*time.Second, 2
	cfg.Clock = clocks.Clock()
	return cfg
}

func newManualClockPool(t *testing.T, clocks *clock.Manual, cfg Config) *manualClockPool {
	t.Helper()
	p := &manualClockPool{Pool: newPool(t, cfg), t: t, clocks: clocks}
	p.sources = []*source{{Source: discovery.NewDiscovery("127.0.0.1:1", discovery.LocalAgentTimeouts(0)), number: 1, cancel: func() {}}}
	return p
}

// endpointSince returns an endpoint with the given timestamp.
func endpointSince(name string, sinceMs int64) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: discovery.InService, SinceMs: sinceMs}
}

// receiveList delivers a list from the source: a snapshot, or the changed endpoints only.
func (p *manualClockPool) receiveList(snapshot bool, list ...discovery.Endpoint) {
	p.lastIndex++
	p.handleList(p.sources[0], discovery.List{Index: p.lastIndex, Snapshot: snapshot, Endpoints: list})
}

// startOf returns the start time of an endpoint that the Balancer was given.
func (p *manualClockPool) startOf(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.balancerView[name]
	if !ok {
		p.t.Fatalf("%s is not known", name)
	}
	return e.Since
}

// timestampAgo returns the timestamp of a process that started age before trueNow.
func timestampAgo(trueNow time.Time, age time.Duration) int64 { return trueNow.Add(-age).UnixMilli() }

// wallOffsets are the differences tested between the wall clock of this machine and that of the
// machine that writes the timestamps.
var wallOffsets = []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour}

// A new endpoint beside known ones starts between the last list without it and now, whatever
// its timestamp and the wall clock of this machine are. It gets the share of a cold endpoint at
// first and an equal share after the slow-start window.
func TestNewEndpointIsColdWhateverItsTimestamp(t *testing.T) {
	for _, offset := range wallOffsets {
		for _, delivery := range []string{"delta", "snapshot", "restart", "delta in a long watch"} {
			sincePreviousList := 700 * time.Millisecond // between the last list without it and the one with it
			if delivery == "delta in a long watch" {
				sincePreviousList = 20 * time.Second
			}
			clocks := clock.NewManual(offset)
			trueNow := clocks.Clock().Wall().Add(-offset)
			for name, sinceMs := range map[string]int64{
				"0":            0,
				"negative":     -1,
				"minimum":      math.MinInt64,
				"now":          timestampAgo(trueNow, 0),
				"an hour ago":  timestampAgo(trueNow, time.Hour),
				"5 s ago":      timestampAgo(trueNow, 5*time.Second),
				"in 5 s":       timestampAgo(trueNow, -5*time.Second),
				"in an hour":   timestampAgo(trueNow, -time.Hour),
				"in 200 years": timestampAgo(trueNow, -200*365*24*time.Hour),
				"maximum":      math.MaxInt64,
			} {
				t.Run(fmt.Sprintf("clock %+v/%s/%s", offset, delivery, name), func(t *testing.T) {
					clocks := clock.NewManual(offset)
					p := newManualClockPool(t, clocks, manualClockConfig(clocks))
					known := []discovery.Endpoint{endpointSince("a", 0), endpointSince("b", timestampAgo(trueNow, 24*time.Hour))}
					p.receiveList(true, known...)
					clocks.Advance(time.Minute)
					if delivery == "restart" {
						p.receiveList(false, endpointSince("c", timestampAgo(trueNow, 12*time.Hour)))
						clocks.Advance(time.Minute)
					}
					p.receiveList(false) // an empty delta confirms that the list is current
					lastSync := p.now()
					clocks.Advance(sincePreviousList)
					if delivery == "delta in a long watch" {
						lastSync = p.now() - maxWatchDelay // an open watch reports a change within this delay
					}
					if delivery == "snapshot" {
						p.receiveList(true, append(known, endpointSince("c", sinceMs))...)
					} else {
						p.receiveList(false, endpointSince("c", sinceMs))
					}
					start := p.startOf("c")
					if start < lastSync || start > p.now() {
						t.Errorf("start %v, want it between %v, the last list without the endpoint, and %v", start, lastSync, p.now())
					}
					if p.startOf("a") != 0 || p.startOf("b") > -12*time.Hour {
						t.Errorf("the known endpoints have the starts %v and %v, want 0 and at least 12 h ago", p.startOf("a"), p.startOf("b"))
					}
					cold, warm := p.attemptShares(t, "c")
					if cold > 0.2 || warm < 0.25 {
						t.Errorf("it gets %.2f of the attempts at first and %.2f after the slow start, want about 0.05 and a third", cold, warm)
					}
				})
			}
		}
	}
}

// After a reload to another discovery service, an endpoint that is new in its first list cannot
// have started before the last list of the previous source, whatever its timestamp says. This
// does not apply to a snapshot without any known endpoint, which belongs to another service.
func TestNewEndpointInFirstListOfNewSource(t *testing.T) {
	const gap = 700 * time.Millisecond
	for name, c := range map[string]struct {
		snapshot bool
		names    []string
		bounded  bool
	}{
		"delta":                       {false, []string{"new"}, true},
		"delta with a known endpoint": {false, []string{"a", "new"}, true},
		"snapshot":                    {true, []string{"a", "b", "new"}, true},
		"snapshot of another service": {true, []string{"new"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clocks := clock.NewManual(0)
			p := newManualClockPool(t, clocks, manualClockConfig(clocks))
			p.receiveList(true, endpointSince("a", 0), endpointSince("b", 0))
			clocks.Advance(time.Minute)
			p.receiveList(false)
			lastSync := p.now()
			clocks.Advance(gap)
			next := &source{Source: p.sources[0].Source, number: 2, cancel: func() {}}
			p.sources = append(p.sources, next)
			l := discovery.List{Index: p.lastIndex + 1, Snapshot: c.snapshot}
			for _, name := range c.names {
				e := endpointSince(name, 0)
				if name == "new" {
					e.SinceMs = timestampAgo(clocks.Clock().Wall(), time.Hour)
				}
				l.Endpoints = append(l.Endpoints, e)
			}
			p.handleList(next, l)
			if start := p.startOf("new"); (start == lastSync) != c.bounded || !c.bounded && start > -50*time.Minute {
				t.Errorf("start %v, previous list at %v, want it bounded: %t", start, lastSync, c.bounded)
			}
		})
	}
}

// When a source with timestamps replaces an undated one with the same endpoint names, the new
// timestamps do not count as restarts.
func TestTimestampsAfterUndatedList(t *testing.T) {
	clocks := clock.NewManual(0)
	p := newManualClockPool(t, clocks, manualClockConfig(clocks))
	listSource := p.sources[0].Source
	p.sources[0].Source = &discovery.File{}
	p.handleList(p.sources[0], undatedList("127.0.0.1:1", "127.0.0.1:2"))
	clocks.Advance(time.Minute)
	p.sources = append(p.sources, &source{Source: listSource, number: 2, cancel: func() {}})
	sinceMs := timestampAgo(clocks.Clock().Wall(), time.Hour)
	p.handleList(p.sources[1], discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{endpointSince("127.0.0.1:1", sinceMs), endpointSince("127.0.0.1:2", sinceMs)}})
	for name, age := range p.balancerAges() {
		if age < 59*time.Minute {
			t.Errorf("%s has the age %v, want an hour", name, age)
		}
	}
	if n := len(p.balancerAges()); n != 2 {
		t.Errorf("%d endpoints have an age, want 2", n)
	}
}

// attemptShares returns the shares of all attempts that an endpoint gets in the first second and
// after its slow start, in virtual time, from a Balancer with the same endpoints as the Pool's.
func (p *manualClockPool) attemptShares(t *testing.T, name string) (first, after float64) {
	t.Helper()
	host := &attemptCounter{}
	cfg := p.cfg.Balance
	cfg.Entry = false
	b, err := balance.New(cfg, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	now, end := p.now(), p.now()
	var entries []balance.Endpoint
	for _, e := range p.balancerView {
		entries = append(entries, e)
	}
	b.UpdateEndpoints(now, balance.Full, entries)
	id := balance.RequestID(0)
	run := func(span time.Duration) (share float64) {
		host.attempts = map[string]int{}
		n := 0
		for end += span; now < end; now += 20 * time.Millisecond {
			id++
			host.lastAddr = ""
			b.Request(now, id, 0, -1, time.Second)
			if host.lastAddr != "" {
				n++
				b.Outcome(now+4*time.Millisecond, id, 0, balance.OK, 4*time.Millisecond, true)
			}
		}
		return float64(host.attempts[name]) / float64(n)
	}
	first = run(time.Second)
	run(testSlowStartWindow)
	return first, run(5 * time.Second)
}

// attemptCounter implements balance.Actions and counts attempts by endpoint.
type attemptCounter struct {
	attempts map[string]int
	lastAddr string
}

func (c *attemptCounter) Send(_ balance.RequestID, addr string, _ time.Duration) {
	c.attempts[addr]++
	c.lastAddr = addr
}
func (r *attemptCounter) Reject(balance.RequestID, time.Duration) {}
func (r *attemptCounter) Fail(balance.RequestID)                  {}
func (r *attemptCounter) After(time.Duration, uint64)             {}
func (r *attemptCounter) Watch()                                  {}

// balancerAges returns the ages of the endpoints by the starts that the Balancer was given, as
// negative numbers for draining endpoints. It omits endpoints that started long ago.
func (p *manualClockPool) balancerAges() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ages := map[string]time.Duration{}
	for name, e := range p.balancerView {
		switch age := p.now() - e.Since; {
		case e.Since == 0:
		case e.State == balance.Draining:
			ages[name] = -age
		default:
			ages[name] = age
		}
	}
	return ages
}

// skewedClocks are manual clocks with a second wall clock that is never stepped.
type skewedClocks struct {
	*clock.Manual
	start, trueStartWall time.Time // creation time on the monotonic and the correct wall clock
}

func newSkewedClocks() *skewedClocks {
	m := clock.NewManual(0)
	return &skewedClocks{m, m.Clock().Now(), m.Clock().Wall()}
}

// trueWall returns the time of the correct wall clock.
func (c *skewedClocks) trueWall() time.Time { return c.trueStartWall.Add(c.Clock().Since(c.start)) }

// stepScenario is a sequence of lists and operator actions with a step of the wall clock.
type stepScenario struct {
	listInterval time.Duration            // between the first list with an endpoint and the list before it
	wantAges     map[string]time.Duration // final ages of some of the endpoints
	run          func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool
}

// stepScenarios are scenarios that call step, which steps the wall clock, at different points. A
// scenario returns the Pool, and its final ages are compared.
var stepScenarios = map[string]stepScenario{
	"before a new endpoint": {500 * time.Millisecond, map[string]time.Duration{"fresh": 100 * time.Millisecond, "late": 500 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		step()
		clocks.Advance(500 * time.Millisecond)
		p.receiveList(false, endpointSince("fresh", timestampAgo(clocks.trueWall(), 100*time.Millisecond)), endpointSince("late", timestampAgo(clocks.trueWall(), 3*time.Second)))
		return p
	}},
	"during a long watch": {maxWatchDelay, map[string]time.Duration{"late": maxWatchDelay - 200*time.Millisecond, "wrong": maxWatchDelay}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		step()
		clocks.Advance(20 * time.Second)
		p.receiveList(false, endpointSince("late", timestampAgo(clocks.trueWall(), maxWatchDelay-200*time.Millisecond)), endpointSince("wrong", timestampAgo(clocks.trueWall(), time.Hour)))
		return p
	}},
	"during a slow start": {500 * time.Millisecond, map[string]time.Duration{"fresh": 4200 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := endpointSince("fresh", timestampAgo(clocks.trueWall(), 200*time.Millisecond))
		p.receiveList(false, fresh)
		clocks.Advance(3 * time.Second)
		step()
		p.receiveList(false, fresh)
		clocks.Advance(time.Second)
		p.receiveList(true, endpointSince("old", 0), endpointSince("dated", p.known["dated"].SinceMs), fresh)
		p.SetDisabled(nil)
		return p
	}},
	"during a drain that is cancelled": {500 * time.Millisecond, map[string]time.Duration{"fresh": 2200 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := endpointSince("fresh", timestampAgo(clocks.trueWall(), 200*time.Millisecond))
		p.receiveList(false, fresh)
		draining := fresh
		draining.Status = discovery.Terminating
		clocks.Advance(time.Second)
		p.receiveList(false, draining)
		step()
		clocks.Advance(time.Second)
		p.receiveList(false, fresh)
		return p
	}},
	"while disabled by an operator": {500 * time.Millisecond, map[string]time.Duration{"old": 2100 * time.Millisecond, "dated": time.Second}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(3 * time.Second)
		step()
		clocks.Advance(3 * time.Second)
		p.SetDisabled(map[string]bool{"dated": true})
		clocks.Advance(500 * time.Millisecond)
		p.receiveList(false)
		clocks.Advance(500 * time.Millisecond)
		p.receiveList(false, endpointSince("old", timestampAgo(clocks.trueWall(), 100*time.Millisecond))) // restarted
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		clocks.Advance(time.Second)
		return p
	}},
	"after being enabled again": {0, map[string]time.Duration{"old": testSlowStartWindow + 30*time.Second}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(time.Second)
		p.SetDisabled(nil)
		clocks.Advance(testSlowStartWindow + 30*time.Second) // less than the time for which the period is kept
		step()
		p.SetDisabled(nil)
		return p
	}},
	"during a handover": {3 * time.Second, map[string]time.Duration{"old": 3 * time.Second, "fresh": 3200 * time.Millisecond, "missed": 2 * time.Second, "wrong": 3100 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		p.SetDisabled(map[string]bool{"old": true, "dated": true})
		clocks.Advance(500 * time.Millisecond)
		p.receiveList(false, endpointSince("fresh", timestampAgo(clocks.trueWall(), 100*time.Millisecond)))
		p.receiveList(false, endpointSince("wrong", timestampAgo(clocks.trueWall(), time.Hour)), endpointSince("disabled", timestampAgo(clocks.trueWall(), 0)))
		clocks.Advance(100 * time.Millisecond)
		p.SetDisabled(map[string]bool{"dated": true, "disabled": true})
		clocks.Advance(2 * time.Second)
		text, err := json.Marshal(p.LearnedState())
		if err != nil {
			t.Fatal(err)
		}
		cfg := manualClockConfig(clocks.Manual)
		cfg.Known = p.List()
		step()
		var m LearnedState
		if err := json.Unmarshal(text, &m); err != nil {
			t.Fatal(err)
		}
		cfg.Ages = m.Ages
		next := newManualClockPool(t, clocks.Manual, cfg)
		next.Restore(m)
		next.SetDisabled(map[string]bool{"dated": true, "disabled": true})
		clocks.Advance(time.Second)
		next.SetDisabled(map[string]bool{"dated": true})
		next.lastIndex = p.lastIndex
		next.receiveList(false, endpointSince("missed", timestampAgo(clocks.trueWall(), 2*time.Second)), endpointSince("fresh", p.known["fresh"].SinceMs))
		return next
	}},
	"during a reload": {3 * time.Second, map[string]time.Duration{"fresh": 3100 * time.Millisecond, "wrong": 3500 * time.Millisecond, "missed": 500 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		p.receiveList(false, endpointSince("fresh", timestampAgo(clocks.trueWall(), 100*time.Millisecond)), endpointSince("wrong", timestampAgo(clocks.trueWall(), time.Hour)))
		clocks.Advance(2 * time.Second)
		step()
		cfg := manualClockConfig(clocks.Manual)
		cfg.Known, cfg.Ages = p.List(), p.Ages()
		next := newManualClockPool(t, clocks.Manual, cfg)
		clocks.Advance(time.Second)
		next.receiveList(true, append(p.List().Endpoints, endpointSince("missed", timestampAgo(clocks.trueWall(), 500*time.Millisecond)))...)
		return next
	}},
	"during a discovery outage": {8 * time.Second, map[string]time.Duration{"new3": 3 * time.Second, "new8": 8 * time.Second}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		clocks.Advance(4 * time.Second)
		step()
		clocks.Advance(4 * time.Second)
		p.sources[0].watchOpen = false // the calls have failed
		list := []discovery.Endpoint{endpointSince("old", 0), endpointSince("dated", timestampAgo(clocks.trueWall(), time.Second))}
		for s := range 9 {
			list = append(list, endpointSince(fmt.Sprint("new", s), timestampAgo(clocks.trueWall(), time.Duration(s)*time.Second)))
		}
		p.receiveList(true, list...)
		return p
	}},
	"while missing from the list": {500 * time.Millisecond, map[string]time.Duration{"fresh": 2100 * time.Millisecond}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		clocks.Advance(500 * time.Millisecond)
		fresh := endpointSince("fresh", timestampAgo(clocks.trueWall(), 100*time.Millisecond))
		p.receiveList(false, fresh)
		clocks.Advance(time.Second)
		p.receiveList(true, endpointSince("old", 0))
		step()
		clocks.Advance(time.Second)
		p.receiveList(true, endpointSince("old", 0), fresh)
		return p
	}},
	"in a file with timestamps": {0, map[string]time.Duration{"new": time.Second, "wrong": time.Second}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newSyncedPool(t, clocks)
		p.sources[0].Source = &discovery.File{}
		clocks.Advance(time.Hour) // no change
		step()
		p.receiveList(true, endpointSince("old", 0), endpointSince("dated", p.known["dated"].SinceMs), endpointSince("new", timestampAgo(clocks.trueWall(), 0)), endpointSince("wrong", timestampAgo(clocks.trueWall(), time.Hour)))
		clocks.Advance(time.Second)
		return p
	}},
	"in an undated list": {0, map[string]time.Duration{"one": time.Second, "three": 4 * time.Second, "four": 3 * time.Second}, func(t *testing.T, clocks *skewedClocks, step func()) *manualClockPool {
		p := newManualClockPool(t, clocks.Manual, manualClockConfig(clocks.Manual))
		p.sources[0].Source = &discovery.File{}
		receive := func(names ...string) {
			l := undatedList(names...)
			p.handleList(p.sources[0], l)
			clocks.Advance(time.Second)
		}
		receive("one", "two")
		clocks.Advance(time.Hour)
		receive("one", "two", "three")
		step()
		receive("one", "two", "three", "four")
		receive("two", "three", "four")
		receive("one", "two", "three", "four") // "one" returns
		return p
	}},
}

// newSyncedPool returns a Pool that has known two endpoints for a minute and has a current list:
// "old" has no timestamp, and "dated" has one from an hour before the first list.
func newSyncedPool(t *testing.T, clocks *skewedClocks) *manualClockPool {
	t.Helper()
	p := newManualClockPool(t, clocks.Manual, manualClockConfig(clocks.Manual))
	p.receiveList(true, endpointSince("old", 0), endpointSince("dated", timestampAgo(clocks.trueWall(), time.Hour)))
	clocks.Advance(time.Minute)
	p.receiveList(false)
	return p
}

// A step of the wall clock does not change the starts that the Balancer is given. A wall clock
// that is wrong from the beginning makes an age wrong by at most the time between the first list
// with the endpoint and the list before it.
func TestWallClockStepsDoNotAffectStarts(t *testing.T) {
	const rounding = time.Millisecond // resolution of timestamps
	noStep := func() {}
	for name, scenario := range stepScenarios {
		t.Run(name, func(t *testing.T) {
			unstepped := scenario.run(t, newSkewedClocks(), noStep).balancerAges()
			for name, want := range scenario.wantAges {
				if d := (unstepped[name] - want).Abs(); d > rounding {
					t.Errorf("with correct clocks %s has the age %v, want %v", name, unstepped[name], want)
				}
			}
			checkAges := func(situation string, got map[string]time.Duration, tolerance time.Duration) {
				t.Helper()
				for name, want := range unstepped {
					if d := (got[name] - want).Abs(); d > tolerance {
						t.Errorf("%s: %s has the age %v, want %v", situation, name, got[name], want)
					}
				}
				if len(got) != len(unstepped) {
					t.Errorf("%s: ages %v, want %v", situation, got, unstepped)
				}
			}
			for _, offset := range wallOffsets[1:] {
				clocks := newSkewedClocks()
				got := scenario.run(t, clocks, func() { clocks.Step(offset) }).balancerAges()
				checkAges(fmt.Sprintf("stepped by %v", offset), got, rounding)

				clocks = newSkewedClocks()
				clocks.Step(offset)
				got = scenario.run(t, clocks, noStep).balancerAges()
				if age, ok := unstepped["dated"]; ok { // no bound applies to the first list of a process
					got["dated"] = age
				}
				checkAges(fmt.Sprintf("wrong by %v from the beginning", offset), got, scenario.listInterval+rounding)
			}
		})
	}
}

// An endpoint that appears after an outage of discovery may have started at any time during the
// outage, because no watch was open. Its start is bounded by the last list before the outage.
func TestStartAfterDiscoveryOutage(t *testing.T) {
	const outage, maxEarly, maxLate = 1600 * time.Millisecond, time.Second, 500 * time.Millisecond // the last two are tolerances for a busy machine
	for _, onDemand := range []bool{false, true} {
		t.Run(fmt.Sprintf("on demand %t", onDemand), func(t *testing.T) {
			t.Parallel()
			var down, recovered atomic.Bool
			var newSinceMs atomic.Int64 // correct timestamp of the new endpoint
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				const entry = `{"name":%q,"address":"127.0.0.1:1","zone":"a","group":0,"status":"in_service","since_ms":%d}`
				switch {
				case down.Load():
					http.Error(w, "down", http.StatusServiceUnavailable)
				case recovered.Load():
					fmt.Fprintf(w, `{"index":2,"snapshot":true,"endpoints":[`+entry+","+entry+","+entry+`]}`, "old", 0, "right", newSinceMs.Load(), "wrong", 1)
				default:
					time.Sleep(10 * time.Millisecond) // responds before the wait of the watch ends
					fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[`+entry+`]}`, "old", 0)
				}
			}))
			defer server.Close()
			cfg := testConfig()
			times := discovery.LocalAgentTimeouts(0)
			if onDemand {
				cfg.Balance.PullDiscovery, cfg.Balance.MaxWatchInterval, times = true, 400*time.Millisecond, discovery.SharedServiceTimeouts()
			}
			cfg.Source = discovery.NewDiscovery(server.Listener.Addr().String(), times)
			p := newPool(t, cfg)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.Run(ctx)
			eventually(t, "the first list", p.HasList)
			down.Store(true)
			lastSync := p.now()
			newSinceMs.Store(time.Now().UnixMilli())
			time.Sleep(outage)
			recovered.Store(true)
			down.Store(false)
			startOf := func(name string) time.Duration {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.balancerView[name].Since
			}
			eventually(t, "the list after the outage", func() bool { return startOf("right") != 0 })
			for _, name := range []string{"right", "wrong"} {
				if start := startOf(name); start < lastSync-maxEarly || start > lastSync+maxLate {
					t.Errorf("%s has the start %v, want about %v, the last list before the outage", name, start, lastSync)
				}
			}
		})
	}
}
