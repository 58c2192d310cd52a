package pool

import "time"

// alarms are the timers that the Balancer has asked for, earliest first. It asks
// for some with each request, by its deadline, and takes none back: as timers of
// the runtime, ten seconds of them made up most of the memory at saturation and
// a fifth of the processor time of a request at 2,000 a second. Here each is 16
// bytes in a heap, and one timer of the runtime wakes for the first of them.
type alarms struct {
	heap    []alarm
	timer   *time.Timer
	ringing bool // the timer is set when those that are due have been told
}

type alarm struct {
	at    time.Duration // the Balancer's time
	token uint64
}

// push adds an alarm and tells whether it is the first to come.
func (a *alarms) push(n alarm) bool {
	a.heap = append(a.heap, n)
	i := len(a.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if a.heap[up].at <= n.at {
			break
		}
		a.heap[i] = a.heap[up]
		i = up
	}
	a.heap[i] = n
	return i == 0
}

// pop takes the first alarm that is due by now.
func (a *alarms) pop(now time.Duration) (uint64, bool) {
	if len(a.heap) == 0 || a.heap[0].at > now {
		return 0, false
	}
	first := a.heap[0]
	last := len(a.heap) - 1
	n := a.heap[last]
	a.heap = a.heap[:last]
	if last == 0 {
		return first.token, true
	}
	i := 0
	for {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && a.heap[down+1].at < a.heap[down].at {
			down++
		}
		if n.at <= a.heap[down].at {
			break
		}
		a.heap[i] = a.heap[down]
		i = down
	}
	a.heap[i] = n
	// After a burst the room for its alarms is given back.
	if c := cap(a.heap); c > 1024 && last < c/8 {
		a.heap = append(make([]alarm, 0, c/4), a.heap...)
	}
	return first.token, true
}

// After implements balance.Host.
func (h *host) After(d time.Duration, token uint64) {
	p := (*Pool)(h)
	if p.alarms.push(alarm{p.now() + max(d, 0), token}) {
		p.setAlarm()
	}
}

// setAlarm sets the timer to the first alarm; the mutex is held.
func (p *Pool) setAlarm() {
	a := &p.alarms
	if len(a.heap) == 0 || a.ringing {
		return
	}
	wait := a.heap[0].at - p.now()
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, p.ring)
	} else {
		a.timer.Reset(wait)
	}
}

// ring tells the Balancer of all alarms that are due.
func (p *Pool) ring() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alarms.ringing = true
	for {
		token, ok := p.alarms.pop(p.now())
		if !ok {
			break
		}
		p.balancer.Timer(p.now(), token)
	}
	p.alarms.ringing = false
	p.setAlarm()
}
