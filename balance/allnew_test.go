package balance

import (
	"container/heap"
	"testing"
	"time"
)

// All endpoints have just started, and so has each Balancer, or it has had an hour without
// a request. Some of what is asked is sent all the same: in no 4 s are 15 or more requests
// rejected with no attempt in between. Seen by a play of scenes: nothing is sent until the
// endpoints are warm, as the cold budget grows by what is served, which is nothing.
func TestAllNewEndpointsAreSentTo(t *testing.T) {
	const most, least, perSecond = 4 * time.Second, 15, 200
	for _, n := range []int{1, 20} {
		f := newFleet(t, fleetConfig(), n, 1)
		f.answer = func(string, int) (Result, time.Duration) { return OK, 20 * ms }
		last, rejected := time.Duration(0), 0
		longest, without := time.Duration(0), 0
		f.sent = func(string, int) { last, rejected = f.now, 0 }
		f.refused = func(RequestID, time.Duration) {
			if rejected++; rejected >= least && f.now-last > longest {
				longest, without = f.now-last, rejected
			}
		}
		list := ready("new", 12)
		for i := range list {
			list[i].Since = ms
		}
		for _, b := range f.at {
			b.Members(ms, Full, list)
		}
		var arrive func()
		arrive = func() {
			f.lastID++
			f.at[f.rng.IntN(n)].Request(f.now, f.lastID, 0, -1, time.Second)
			f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		f.after(ms, arrive)
		for f.events[0].at < 10*time.Second {
			e := heap.Pop(&f.events).(event)
			f.now = e.at
			e.do()
		}
		if longest > most {
			t.Errorf("%d Balancers: all of %d requests are rejected for %v with no attempt, want %v at most", n, without, longest.Round(ms), most)
		}
	}
}
