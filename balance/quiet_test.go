package balance

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// afterQuiet is what came of a fleet's requests in the seconds after a fault began.
type afterQuiet struct{ asked, served, attempts int }

// quietDay plays 20 Balancers before 12 endpoints: traffic, then none at all for quiet, and
// then traffic again, with which a fault at a third of the endpoints begins. It tells what
// came of the requests of the 5 s from there on.
func quietDay(t *testing.T, quiet time.Duration, fault func(addr string) (Result, time.Duration), list []Endpoint, seed uint64) (came afterQuiet) {
	const warm, after, perSecond, took = 20 * time.Second, 5 * time.Second, 300, 20 * ms
	f := newFleet(t, fleetConfig(), 20, seed)
	began, bad := warm+quiet, map[string]bool{"a0": true, "a3": true, "a6": true, "a9": true}
	f.answer = func(addr string, _ int) (Result, time.Duration) {
		if f.now >= began && bad[addr] && fault != nil {
			return fault(addr)
		}
		return OK, took
	}
	f.sent = func(string, int) {
		if f.now >= began {
			came.attempts++
		}
	}
	first := RequestID(0) // of those that are counted
	f.endedID = func(id RequestID, served bool) {
		if first > 0 && id >= first && served {
			came.served++
		}
	}
	for _, b := range f.at {
		b.Members(0, Full, ready("a", 12))
	}
	arrivals := func(from, until time.Duration) {
		var arrive func()
		arrive = func() {
			if f.now >= until {
				return
			}
			f.lastID++
			if f.now >= began {
				came.asked++
				first = f.lastID - RequestID(came.asked-1)
			}
			f.at[f.rng.IntN(len(f.at))].Request(f.now, f.lastID, 0, -1, time.Second)
			f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		f.after(from, arrive)
	}
	arrivals(0, warm)
	arrivals(began, began+after)
	if list != nil {
		f.after(began-ms, func() {
			for i := range list {
				if list[i].Since != 0 {
					list[i].Since = f.now
				}
			}
			for _, b := range f.at {
				b.Members(f.now, Delta, list)
			}
		})
	}
	for len(f.events) > 0 && f.events[0].at < began+after+2*time.Second {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return came
}

// A fault that begins after an hour in which nothing was asked, when all that was learnt has
// aged, is borne as one in the midst of traffic: as many requests are served, with as few
// attempts.
func TestQuietHourBeforeTheFault(t *testing.T) {
	answers := func(result Result, took time.Duration) func(string) (Result, time.Duration) {
		return func(string) (Result, time.Duration) { return result, took }
	}
	gone := ready("a", 12)[:4]
	for i := range gone {
		gone[i].State = Draining
	}
	fresh := ready("b", 6)
	for i := range fresh {
		fresh[i].Since = 1 // as it comes
	}
	for _, c := range []struct {
		name  string
		fault func(string) (Result, time.Duration)
		list  []Endpoint
	}{
		{"no fault", nil, nil},
		{"errors", answers(Error, 5*ms), nil},
		{"resets", answers(Reset, 5*ms), nil},
		{"refuses", answers(ConnectError, ms), nil},
		{"never comes up", answers(ConnectError, 400*ms), nil},
		{"rejects", answers(Overloaded, ms), nil},
		{"hangs", answers(Timeout, time.Hour), nil},
		{"slow", answers(OK, 200*ms), nil},
		{"drains", nil, gone},
		{"new ones join", nil, fresh},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var rested, busy afterQuiet
			for seed := range uint64(4) {
				for quiet, sum := range map[time.Duration]*afterQuiet{time.Hour: &rested, 0: &busy} {
					came := quietDay(t, quiet, c.fault, append([]Endpoint(nil), c.list...), seed)
					sum.asked, sum.served, sum.attempts = sum.asked+came.asked, sum.served+came.served, sum.attempts+came.attempts
				}
			}
			share := func(a afterQuiet) float64 { return float64(a.served) / float64(a.asked) }
			each := func(a afterQuiet) float64 { return float64(a.attempts) / float64(a.asked) }
			told := fmt.Sprintf("served %.3f after the quiet hour and %.3f without, attempts a request %.3f and %.3f", share(rested), share(busy), each(rested), each(busy))
			t.Log(told)
			if share(rested) < share(busy)-0.03 || each(rested) > each(busy)+0.1 {
				t.Error(told)
			}
		})
	}
}
