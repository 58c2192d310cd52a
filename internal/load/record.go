package load

import (
	"errors"
	"math/bits"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a try, or a request with all of its tries, ended.
type Outcome int

const (
	OK         Outcome = iota // answered below 400
	Rejected                  // answered 4xx, but for 429
	Refused                   // answered 429 or 503: trying again is harmless
	Failed                    // answered with any other 5xx
	Broken                    // the connection broke, or the answer could not be read
	NoConn                    // no connection could be made
	TimedOut                  // not answered within the budget
	LeftEarly                 // the caller left on purpose
	Unanswered                // still waiting, or not yet sent, at the end of the run
	Outcomes
)

var outcomeNames = [Outcomes]string{"ok", "rejected", "refused", "failed", "broken", "no_conn", "timed_out", "left_early", "unanswered"}

func (o Outcome) String() string { return outcomeNames[o] }

// Histograms count microseconds, from 1 µs to 1 h, to three significant digits.
// What is over an hour counts as an hour: no run is that long.
const (
	histLow    = 1
	histHigh   = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(histLow, histHigh, histDigits) }

// micros is a time as the histograms count it. What is below 1 µs, also what a
// schedule was early by, counts as 1.
func micros(d time.Duration) int64 { return min(max(int64(d/time.Microsecond), histLow), histHigh) }

// Second is what happened to the requests that were due in one second.
type Second struct {
	Due      int64           // requests
	Ended    int64           // of whatever second, in this one, answered OK
	Outcomes [Outcomes]int64 // of the requests that were due
	Latency  Sparse          // of the requests that were due
}

// Sparse is a histogram that holds only the buckets that something fell into:
// there is one for each second of a run, and a whole one takes 200 KB. Its
// buckets are those of the whole histograms, by their lowest value.
type Sparse map[int64]int64

// subBuckets is how many buckets there are up to each power of two, in bits: as
// many as three significant digits take in an HdrHistogram that begins at 1.
const subBuckets = 11

func (s *Sparse) record(v, n int64) {
	if *s == nil {
		*s = Sparse{}
	}
	shift := max(0, bits.Len64(uint64(v))-subBuckets)
	(*s)[v>>shift<<shift] += n
}

// Histogram is s as a whole histogram.
func (s Sparse) Histogram() *hdrhistogram.Histogram {
	h := newHist()
	for v, n := range s {
		h.RecordValues(v, n)
	}
	return h
}

// Result is what a run has measured. Requests are counted with all of their
// tries, from the moment when they were due.
type Result struct {
	Span     time.Duration           // of the run
	Latency  *hdrhistogram.Histogram // from when a request was due to its last answer
	Service  *hdrhistogram.Histogram // of the first try, from when its sending began
	Retries  *hdrhistogram.Histogram // the same of the later tries
	Schedule *hdrhistogram.Histogram // the generator's own error, over all tries
	Held     *hdrhistogram.Histogram // the same with what it has held up behind it
	Waited   *hdrhistogram.Histogram // for a connection, over all tries
	Outcomes [Outcomes]int64         // of requests
	First    [Outcomes]int64         // of first tries
	Again    [Outcomes]int64         // of later ones
	Streams  []StreamResult
	Seconds  []Second
	Opened   int64         // connections
	Queued   int64         // requests that found every connection in use
	Conns    int           // at most
	CPU      time.Duration // of this process
	Cores    int
	Machine  machine // what all processes used
	Bytes    int64   // of answers' bodies
	Floor    *Floor  // what the machine costs by itself; nil if it was not measured
	Err      error   // what broke the plan off; nil if it came to its end
}

// StreamResult is the part of one stream.
type StreamResult struct {
	Name     string
	Latency  *hdrhistogram.Histogram
	Outcomes [Outcomes]int64
}

// Requests is how many were due.
func (r *Result) Requests() (n int64) {
	for _, k := range r.Outcomes {
		n += k
	}
	return n
}

// newResult returns an empty Result for streams with these names.
func newResult(names []string) *Result {
	r := &Result{Latency: newHist(), Service: newHist(), Retries: newHist(), Schedule: newHist(), Held: newHist(), Waited: newHist()}
	for _, name := range names {
		r.Streams = append(r.Streams, StreamResult{Name: name, Latency: newHist()})
	}
	return r
}

// second is the Second with this number, made if there is none.
func (r *Result) second(i int) *Second {
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// Merge adds what another run has measured at the same time, as one of several
// workers. It is exact: the histograms hold the same buckets.
func (r *Result) Merge(o *Result) {
	r.Span = max(r.Span, o.Span)
	r.Latency.Merge(o.Latency)
	r.Service.Merge(o.Service)
	r.Retries.Merge(o.Retries)
	r.Schedule.Merge(o.Schedule)
	r.Held.Merge(o.Held)
	r.Waited.Merge(o.Waited)
	for k := range Outcomes {
		r.Outcomes[k] += o.Outcomes[k]
		r.First[k] += o.First[k]
		r.Again[k] += o.Again[k]
	}
	for i := range o.Streams {
		r.Streams[i].Latency.Merge(o.Streams[i].Latency)
		for k := range Outcomes {
			r.Streams[i].Outcomes[k] += o.Streams[i].Outcomes[k]
		}
	}
	for i := range o.Seconds {
		s, from := r.second(i), &o.Seconds[i]
		s.Due += from.Due
		s.Ended += from.Ended
		for k := range Outcomes {
			s.Outcomes[k] += from.Outcomes[k]
		}
		for v, n := range from.Latency {
			s.Latency.record(v, n)
		}
	}
	r.Opened += o.Opened
	r.Queued += o.Queued
	r.Conns += o.Conns
	r.CPU += o.CPU
	r.Cores = max(r.Cores, o.Cores)
	r.Machine.merge(o.Machine)
	if r.Err == nil || o.Err != nil && r.Err.Error() != o.Err.Error() { // workers read the same traces
		r.Err = errors.Join(r.Err, o.Err)
	}
	r.Bytes += o.Bytes
}

// recorder takes what lanes have seen. Lanes share it, so it is cut into shards
// that few of them meet on; a record costs some ten nanoseconds under a lock.
type recorder struct {
	names  []string
	shards [shards]shard
}

const shards = 8

type shard struct {
	mu sync.Mutex
	r  *Result
	_  [64]byte // keeps two shards off one cache line
}

func newRecorder(names []string) *recorder {
	rec := &recorder{names: names}
	for i := range rec.shards {
		rec.shards[i].r = newResult(names)
	}
	return rec
}

// first books a first try: how long it took, and how it ended.
func (s *shard) first(service time.Duration, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Service.RecordValue(micros(service))
	s.r.First[o]++
}

// again books a later try.
func (s *shard) again(service time.Duration, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Retries.RecordValue(micros(service))
	s.r.Again[o]++
}

// end books a request that was due at a time and ended at another.
func (s *shard) end(stream int, due, ended time.Duration, o Outcome, t toll) {
	us := micros(ended - due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Latency.RecordValue(us)
	s.r.Schedule.RecordValue(micros(t.own))
	s.r.Held.RecordValue(micros(t.held))
	s.r.Waited.RecordValue(micros(t.waited))
	s.r.Outcomes[o]++
	st := &s.r.Streams[stream]
	st.Latency.RecordValue(us)
	st.Outcomes[o]++
	if o == OK {
		s.r.second(int(ended/time.Second)).Ended++
	}
	sec := s.r.second(int(due / time.Second))
	sec.Due++
	sec.Outcomes[o]++
	sec.Latency.record(us, 1)
}

// result is all that the shards have.
func (rec *recorder) result() *Result {
	r := newResult(rec.names)
	for i := range rec.shards {
		s := &rec.shards[i]
		s.mu.Lock()
		r.Merge(s.r)
		s.mu.Unlock()
	}
	return r
}
