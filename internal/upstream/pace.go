package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// minPaceBytes is the length from which the time for writing a request says how fast an endpoint reads.
	minPaceBytes = 256 << 10

	// paceRetention is how long a measured pace is used.
	paceRetention = 5 * time.Second
)

// readingPace is how fast an endpoint has read the last long request. It is safe for concurrent use.
type readingPace struct{ last atomic.Pointer[paceSample] }

type paceSample struct {
	bytes int
	took  time.Duration
	at    time.Time
}

// record records that the endpoint has received so many bytes of a request.
func (p *readingPace) record(bytes int, took time.Duration) {
	if bytes >= minPaceBytes {
		p.last.Store(&paceSample{bytes, took, time.Now()})
	}
}

// expected returns the time that the endpoint would need for so many bytes; 0 if that is not known.
func (p *readingPace) expected(bytes int, now time.Time) time.Duration {
	if bytes < minPaceBytes {
		return 0
	}
	sample := p.last.Load()
	if sample == nil || now.Sub(sample.at) > paceRetention {
		return 0
	}
	return timeAtPace(bytes, sample.bytes, sample.took)
}

// timeAtPace returns the time for the remaining bytes at the pace at which others took the given time.
func timeAtPace(remaining, done int, took time.Duration) time.Duration {
	const never = time.Duration(1<<63 - 1)
	if done <= 0 {
		return never
	}
	seconds := took.Seconds() * float64(remaining) / float64(done)
	if seconds > never.Seconds()/2 {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}
