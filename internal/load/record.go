package load

import (
	"errors"
	"math/bits"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how an attempt, or a request with all of its attempts, ended.
type Outcome int

const (
	OK         Outcome = iota // response with a status below 400
	Rejected                  // status 4xx other than 429
	Refused                   // status 429 or 503; may be retried with every method
	Failed                    // any other status 5xx
	Broken                    // the connection broke, or the response was malformed
	NoConn                    // no connection could be opened
	Late                      // a response came after the budget, at most LateTolerance later
	TimedOut                  // no response within the budget and LateTolerance
	LeftEarly                 // the simulated caller disconnected
	Unanswered                // waiting, or not yet sent, at the end of the run
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"ok", "rejected", "refused", "failed", "broken", "no_conn", "late", "timed_out", "left_early", "unanswered"}

func (o Outcome) String() string { return outcomeNames[o] }

// LateTolerance is how long after the budget of a request a response still counts as Late. The
// rules of the platform allow a final response up to this long after a caller's time is over.
const LateTolerance = 500 * time.Millisecond

// Histograms hold microseconds, from 1 µs to 1 h, with three significant digits.
// Values outside the range are clamped.
const (
	histogramMinMicros = 1
	histogramMaxMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)
}

// histogramMicros converts a duration to a histogram value. Durations below 1 µs,
// also negative ones, count as 1 µs.
func histogramMicros(d time.Duration) int64 {
	return min(max(int64(d/time.Microsecond), histogramMinMicros), histogramMaxMicros)
}

// SecondResult describes the requests that were due in one second of the run.
type SecondResult struct {
	Due      int64              // requests due in this second
	Served   int64              // requests that ended OK in this second, whenever they were due
	Outcomes [numOutcomes]int64 // of the requests due in this second
	Latency  SparseHistogram    // of the requests due in this second
}

// SparseHistogram holds only the non-empty buckets, by their lowest value;
// a full histogram for each second would take 200 KB. The buckets are those of
// the full histograms.
type SparseHistogram map[int64]int64

// subBucketBits is the number of bits of a value that an HdrHistogram with a lowest
// value of 1 and three significant digits keeps.
const subBucketBits = 11

func (s *SparseHistogram) record(v, n int64) {
	if *s == nil {
		*s = SparseHistogram{}
	}
	shift := max(0, bits.Len64(uint64(v))-subBucketBits)
	(*s)[v>>shift<<shift] += n
}

// Histogram converts s to a full histogram.
func (s SparseHistogram) Histogram() *hdrhistogram.Histogram {
	h := newHistogram()
	for v, n := range s {
		h.RecordValues(v, n)
	}
	return h
}

// Result holds the measurements of a run. Requests are counted with all of their
// attempts, from the time when they were due.
type Result struct {
	Span           time.Duration           // of the run
	Latency        *hdrhistogram.Histogram // from a request's due time to its last response
	Service        *hdrhistogram.Histogram // of first attempts, from the send
	Retries        *hdrhistogram.Histogram // of retries, from the send
	GeneratorDelay *hdrhistogram.Histogram // caused by the generator, summed over a request's attempts
	InducedDelay   *hdrhistogram.Histogram // GeneratorDelay plus the waits that earlier delays caused
	ConnWait       *hdrhistogram.Histogram // wait for a connection, summed over a request's attempts
	Outcomes       [numOutcomes]int64      // of requests
	FirstAttempts  [numOutcomes]int64      // of first attempts
	RetryOutcomes  [numOutcomes]int64      // of retries
	Streams        []StreamResult
	Seconds        []SecondResult
	Opened         int64         // connections opened
	Queued         int64         // requests that waited for a connection
	Conns          int           // connection limit
	CPU            time.Duration // CPU time of this process
	Cores          int
	MachineCPU     machineCPU // CPU time of all processes
	Bytes          int64      // total size of response bodies
	Floor          *Floor     // latency floor of the machine; nil if not measured
	PlanError      error      // why the plan ended early; nil if it did not
}

// StreamResult holds the measurements of one stream.
type StreamResult struct {
	Name     string
	Latency  *hdrhistogram.Histogram
	Outcomes [numOutcomes]int64
}

// Requests returns the number of requests that were due.
func (r *Result) Requests() (n int64) {
	for _, k := range r.Outcomes {
		n += k
	}
	return n
}

// newResult returns an empty Result for streams with these names.
func newResult(names []string) *Result {
	r := &Result{Latency: newHistogram(), Service: newHistogram(), Retries: newHistogram(), GeneratorDelay: newHistogram(), InducedDelay: newHistogram(), ConnWait: newHistogram()}
	for _, name := range names {
		r.Streams = append(r.Streams, StreamResult{Name: name, Latency: newHistogram()})
	}
	return r
}

// second returns the SecondResult with this index, which it creates if necessary.
func (r *Result) second(i int) *SecondResult {
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondResult{})
	}
	return &r.Seconds[i]
}

// Merge adds the measurements of another worker of the same run. The result is
// exact, because the histograms have the same buckets.
func (r *Result) Merge(o *Result) {
	r.Span = max(r.Span, o.Span)
	r.Latency.Merge(o.Latency)
	r.Service.Merge(o.Service)
	r.Retries.Merge(o.Retries)
	r.GeneratorDelay.Merge(o.GeneratorDelay)
	r.InducedDelay.Merge(o.InducedDelay)
	r.ConnWait.Merge(o.ConnWait)
	for k := range numOutcomes {
		r.Outcomes[k] += o.Outcomes[k]
		r.FirstAttempts[k] += o.FirstAttempts[k]
		r.RetryOutcomes[k] += o.RetryOutcomes[k]
	}
	for i := range o.Streams {
		r.Streams[i].Latency.Merge(o.Streams[i].Latency)
		for k := range numOutcomes {
			r.Streams[i].Outcomes[k] += o.Streams[i].Outcomes[k]
		}
	}
	for i := range o.Seconds {
		s, from := r.second(i), &o.Seconds[i]
		s.Due += from.Due
		s.Served += from.Served
		for k := range numOutcomes {
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
	r.MachineCPU.merge(o.MachineCPU)
	if r.PlanError == nil || o.PlanError != nil && r.PlanError.Error() != o.PlanError.Error() { // workers read the same traces and report the same error
		r.PlanError = errors.Join(r.PlanError, o.PlanError)
	}
	r.Bytes += o.Bytes
}

// recorder collects measurements from senders. It is sharded to reduce lock
// contention.
type recorder struct {
	names  []string
	shards [recorderShards]shard
}

const recorderShards = 8

type shard struct {
	mu sync.Mutex
	r  *Result
	_  [64]byte // prevents false sharing between shards
}

func newRecorder(names []string) *recorder {
	rec := &recorder{names: names}
	for i := range rec.shards {
		rec.shards[i].r = newResult(names)
	}
	return rec
}

// recordFirstAttempt records the duration and outcome of a first attempt.
func (s *shard) recordFirstAttempt(service time.Duration, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Service.RecordValue(histogramMicros(service))
	s.r.FirstAttempts[o]++
}

// recordRetry records the duration and outcome of a retry.
func (s *shard) recordRetry(service time.Duration, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Retries.RecordValue(histogramMicros(service))
	s.r.RetryOutcomes[o]++
}

// recordRequest records a request that was due at one time and ended at another.
func (s *shard) recordRequest(stream int, due, ended time.Duration, o Outcome, d delays) {
	micros := histogramMicros(ended - due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Latency.RecordValue(micros)
	s.r.GeneratorDelay.RecordValue(histogramMicros(d.generator))
	s.r.InducedDelay.RecordValue(histogramMicros(d.induced))
	s.r.ConnWait.RecordValue(histogramMicros(d.connWait))
	s.r.Outcomes[o]++
	st := &s.r.Streams[stream]
	st.Latency.RecordValue(micros)
	st.Outcomes[o]++
	if o == OK {
		s.r.second(int(ended/time.Second)).Served++
	}
	sec := s.r.second(int(due / time.Second))
	sec.Due++
	sec.Outcomes[o]++
	sec.Latency.record(micros, 1)
}

// result merges all shards.
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
