package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Timers fire once each, in the order of their times, and a burst does not keep its memory.
func TestTimersFireInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var q timerQueue
	var want []time.Duration
	now, token := time.Duration(0), uint64(0)
	times := map[uint64]time.Duration{}
	for range 20000 {
		if rng.IntN(3) > 0 {
			at := now + time.Duration(rng.IntN(1000))
			earliest := len(want) == 0 || at < slices.Min(want)
			token++
			times[token] = at
			if first := q.push(timerEntry{at, token}); first != earliest {
				t.Fatalf("pushed %v: first %t, want %t", at, first, earliest)
			}
			want = append(want, at)
			continue
		}
		now += time.Duration(rng.IntN(20))
		for {
			got, ok := q.pop(now)
			if !ok {
				break
			}
			i := slices.Index(want, times[got])
			if times[got] > now || i < 0 || times[got] != slices.Min(want) {
				t.Fatalf("at %v: timer of %v fired", now, times[got])
			}
			want = slices.Delete(want, i, i+1)
			delete(times, got)
		}
		if len(want) > 0 && slices.Min(want) <= now {
			t.Fatalf("at %v a timer of %v has not fired", now, slices.Min(want))
		}
	}
	for i := range 100000 {
		q.push(timerEntry{now + time.Duration(i), 0})
	}
	for ok := true; ok; {
		_, ok = q.pop(now + time.Hour)
	}
	if len(q.heap) != 0 || cap(q.heap) > 2048 {
		t.Errorf("%d timers left, capacity %d", len(q.heap), cap(q.heap))
	}
}
