package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Each timer fires once, in the order of the due times, and the queue shrinks after a burst.
func TestTimersFireInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var q timerQueue
	var pending []time.Duration
	now, token := time.Duration(0), uint64(0)
	dueTimes := map[uint64]time.Duration{}
	for range 20000 {
		if rng.IntN(3) > 0 {
			at := now + time.Duration(rng.IntN(1000))
			earliest := len(pending) == 0 || at < slices.Min(pending)
			token++
			dueTimes[token] = at
			if first := q.push(timerEntry{at, token}); first != earliest {
				t.Fatalf("push of a timer due at %v: earliest %t, want %t", at, first, earliest)
			}
			pending = append(pending, at)
			continue
		}
		now += time.Duration(rng.IntN(20))
		for {
			fired, ok := q.pop(now)
			if !ok {
				break
			}
			i := slices.Index(pending, dueTimes[fired])
			if dueTimes[fired] > now || i < 0 || dueTimes[fired] != slices.Min(pending) {
				t.Fatalf("at %v: the timer due at %v fired out of order", now, dueTimes[fired])
			}
			pending = slices.Delete(pending, i, i+1)
			delete(dueTimes, fired)
		}
		if len(pending) > 0 && slices.Min(pending) <= now {
			t.Fatalf("at %v: the timer due at %v has not fired", now, slices.Min(pending))
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
