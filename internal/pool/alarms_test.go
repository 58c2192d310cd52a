package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Alarms come in the order of their times, each once, however they were pushed;
// a burst does not hold its room for good.
func TestAlarmsComeInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var a alarms
	var want []time.Duration
	now, token := time.Duration(0), uint64(0)
	times := map[uint64]time.Duration{}
	for range 20000 {
		if rng.IntN(3) > 0 {
			at := now + time.Duration(rng.IntN(1000))
			earliest := len(want) == 0 || at < slices.Min(want)
			token++
			times[token] = at
			if first := a.push(alarm{at, token}); first != earliest {
				t.Fatalf("pushed %v: first %t, want %t", at, first, earliest)
			}
			want = append(want, at)
			continue
		}
		now += time.Duration(rng.IntN(20))
		for {
			got, ok := a.pop(now)
			if !ok {
				break
			}
			i := slices.Index(want, times[got])
			if times[got] > now || i < 0 || times[got] != slices.Min(want) {
				t.Fatalf("at %v: alarm of %v", now, times[got])
			}
			want = slices.Delete(want, i, i+1)
			delete(times, got)
		}
		if len(want) > 0 && slices.Min(want) <= now {
			t.Fatalf("at %v one of %v has not come", now, slices.Min(want))
		}
	}
	for i := range 100000 {
		a.push(alarm{now + time.Duration(i), 0})
	}
	for ok := true; ok; {
		_, ok = a.pop(now + time.Hour)
	}
	if len(a.heap) != 0 || cap(a.heap) > 2048 {
		t.Errorf("%d left, room for %d", len(a.heap), cap(a.heap))
	}
}
