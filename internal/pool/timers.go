package pool

import "time"

// timerQueue is a min-heap of the timers that the Balancer has set. The Balancer sets several
// per request and cancels none. They share one runtime timer, set for the earliest, because a
// runtime timer for each would need more memory and processor time.
type timerQueue struct {
	heap   []timerEntry
	timer  *time.Timer
	firing bool // fireTimers is running and sets the runtime timer at its end
}

type timerEntry struct {
	at    time.Duration // Balancer time
	token uint64
}

// push adds a timer and reports whether it is the earliest.
func (q *timerQueue) push(entry timerEntry) bool {
	q.heap = append(q.heap, entry)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q.heap[parent].at <= entry.at {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = entry
	return i == 0
}

// pop removes the earliest timer if it is due and returns its token.
func (q *timerQueue) pop(now time.Duration) (uint64, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return 0, false
	}
	first := q.heap[0]
	last := len(q.heap) - 1
	entry := q.heap[last]
	q.heap = q.heap[:last]
	if last == 0 {
		return first.token, true
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.heap[child+1].at < q.heap[child].at {
			child++
		}
		if entry.at <= q.heap[child].at {
			break
		}
		q.heap[i] = q.heap[child]
		i = child
	}
	q.heap[i] = entry
	// Free memory after a burst.
	if c := cap(q.heap); c > 1024 && last < c/8 {
		q.heap = append(make([]timerEntry, 0, c/4), q.heap...)
	}
	return first.token, true
}

// After implements balance.Actions.
func (h *balancerActions) After(d time.Duration, token uint64) {
	p := (*Pool)(h)
	if p.timers.push(timerEntry{p.now() + max(d, 0), token}) {
		p.scheduleNextTimer()
	}
}

// scheduleNextTimer sets the runtime timer for the earliest entry. The caller holds the mutex.
func (p *Pool) scheduleNextTimer() {
	q := &p.timers
	if len(q.heap) == 0 || q.firing {
		return
	}
	wait := q.heap[0].at - p.now()
	if q.timer == nil {
		q.timer = time.AfterFunc(wait, p.fireTimers)
	} else {
		q.timer.Reset(wait)
	}
}

// fireTimers delivers all due timers to the Balancer.
func (p *Pool) fireTimers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timers.firing = true
	for {
		token, ok := p.timers.pop(p.now())
		if !ok {
			break
		}
		p.balancer.Timer(p.now(), token)
	}
	p.timers.firing = false
	p.scheduleNextTimer()
}
