package balance

import (
	"container/heap"
	"testing"
	"time"
)

// The cold budget grows with the served rate. It must permit attempts even if all
// endpoints are cold and nothing has been served yet: no run of 15 or more refused
// requests may last over 4 s without an attempt.
func TestAllColdEndpointsReceiveRequests(t *testing.T) {
	const maxGap, minRefused, perSecond = 4 * time.Second, 15, 200
	for _, n := range []int{1, 20} {
		f := newFleet(t, fleetConfig(), n, 1)
		f.answer = func(string, int) (Result, time.Duration) { return OK, 20 * ms }
		lastSend, refused := time.Duration(0), 0
		longestGap, refusedInGap := time.Duration(0), 0
		f.onSend = func(string, int) { lastSend, refused = f.now, 0 }
		f.onRefuse = func(RequestID, time.Duration) {
			if refused++; refused >= minRefused && f.now-lastSend > longestGap {
				longestGap, refusedInGap = f.now-lastSend, refused
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
			t.Errorf("%d Balancers: %d consecutive requests refused over %v without an attempt, want at most %v", n, refusedInGap, longestGap.Round(ms), maxGap)
		}
	}
}
