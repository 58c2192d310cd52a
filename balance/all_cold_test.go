package balance

import (
	"container/heap"
	"testing"
	"time"
)

// The cold budget grows with the served rate. It must permit attempts even if all
// endpoints are cold and nothing has been served yet: there must
// be no 4 s in which 15 or more requests are rejected and no attempt is sent.
func TestAllColdEndpointsReceiveRequests(t *testing.T) {
	const maxGap, minRefused, perSecond = 4 * time.Second, 15, 200
	for _, n := range []int{1, 20} {
		f := newFleet(t, fleetConfig(), n, 1)
		f.respond = func(string, int) (Result, time.Duration) { return OK, 20 * ms }
		lastSend, rejected := time.Duration(0), 0
		longestGap, rejectedInGap := time.Duration(0), 0
		f.onSend = func(string, int) { lastSend, rejected = f.now, 0 }
		f.onReject = func(RequestID, time.Duration) {
			if rejected++; rejected >= minRefused && f.now-lastSend > longestGap {
				longestGap, rejectedInGap = f.now-lastSend, rejected
			}
		}
		list := readyEndpoints("new", 12)
		for i := range list {
			list[i].Since = ms
		}
		for _, b := range f.balancers {
			b.UpdateEndpoints(ms, Full, list)
		}
		var arrive func()
		arrive = func() {
			f.lastID++
			f.balancers[f.rng.IntN(n)].Request(f.now, f.lastID, 0, -1, time.Second)
			f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		f.after(ms, arrive)
		for f.events[0].at < 10*time.Second {
			e := heap.Pop(&f.events).(event)
			f.now = e.at
			e.run()
		}
		if longestGap > maxGap {
			t.Errorf("%d Balancers: %d consecutive requests rejected over %v without an attempt, want at most %v", n, rejectedInGap, longestGap.Round(ms), maxGap)
		}
	}
}
