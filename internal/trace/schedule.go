package trace

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"time"
)

// Options say what is made of a trace.
type Options struct {
	Speed float64       // 2 makes it twice as fast; 0 for 1
	From  time.Duration // of the trace: what is before is left out
	To    time.Duration // what is from here on is left out; 0 for the end
	Loops int           // how often it is played; 0 for once
}

// Bounds of the memory that putting records in order takes.
const (
	// window is how far behind the latest record one may come and still find
	// its place: servers write a line when an answer has ended, some seconds
	// after its stamp.
	window = 10 * time.Second
	// mostHeld bounds the records that are held for it.
	mostHeld = 200000
)

// Schedule gives the records of a trace in the order in which they are due.
//
// Where stamps have whole seconds the n records of one second are spread evenly
// over it, in the order of their lines: the i-th, from 0, is due (i+0.5)/n into
// it. That is the least that the second can have been; real arrivals came in
// bunches, which the stamps do not tell.
//
// A record that comes over 10 s behind the latest one, or finds 200,000 waiting,
// is due at once, and counted as late.
type Schedule struct {
	open   func() (io.ReadCloser, error)
	read   func(io.Reader) *Reader
	opts   Options
	file   io.ReadCloser
	reader *Reader
	loop   int
	base   time.Duration // of the present loop, in the time of the trace
	end    time.Duration // the latest due time of the present loop
	held   records
	ready  []Record // of one second, spread
	latest time.Duration
	ended  bool // the reader
	last   time.Duration
	late   int
	given  int
}

// NewSchedule returns the Schedule of the trace that open opens, once for each
// loop, and read makes a Reader of.
func NewSchedule(open func() (io.ReadCloser, error), read func(io.Reader) *Reader, opts Options) (*Schedule, error) {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	switch {
	case !(opts.Speed > 0 && opts.Speed <= 1e6):
		return nil, fmt.Errorf("speed %v, want above 0 and 1e6 at most", opts.Speed)
	case opts.From < 0 || opts.To < 0 || opts.To > 0 && opts.To <= opts.From:
		return nil, fmt.Errorf("cut from %v to %v, want a stretch", opts.From, opts.To)
	case opts.Loops < 0:
		return nil, fmt.Errorf("%d loops, want 0 or more", opts.Loops)
	}
	return &Schedule{open: open, read: read, opts: opts, loop: -1}, nil
}

// Late is how many records were due at once because they came too late.
func (s *Schedule) Late() int { return s.late }

// Close closes the trace.
func (s *Schedule) Close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	return err
}

// Next returns the next record, its Due counted from the begin of the schedule.
// It is io.EOF after the last one. A trace with nothing in the cut is an error:
// a schedule of nothing is a slip.
func (s *Schedule) Next() (Record, error) {
	for {
		rec, err := s.ordered()
		if err == io.EOF {
			if err := s.again(); err != nil {
				return Record{}, err
			}
			continue
		}
		if err != nil {
			return Record{}, err
		}
		if rec.Due < s.opts.From || s.opts.To > 0 && rec.Due >= s.opts.To {
			continue
		}
		at := rec.Due - s.opts.From
		s.end = max(s.end, at)
		rec.Due = time.Duration(float64(s.base+at) / s.opts.Speed)
		if rec.Due < s.last {
			rec.Due = s.last
			s.late++
		}
		s.last = rec.Due
		s.given++
		return rec, nil
	}
}

// again begins the next loop, right behind the one before.
func (s *Schedule) again() error {
	if err := s.Close(); err != nil {
		return err
	}
	if s.loop >= 0 && s.given == 0 {
		return errors.New("the trace has no request in the cut")
	}
	if s.loop++; s.loop >= max(s.opts.Loops, 1) {
		return io.EOF
	}
	if s.loop > 0 {
		// As long as the cut, or to the end of its last second.
		length := (s.end/time.Second + 1) * time.Second
		if s.opts.To > 0 {
			length = s.opts.To - s.opts.From
		}
		s.base += length
	}
	s.end, s.latest, s.ended = 0, 0, false
	var err error
	if s.file, err = s.open(); err != nil {
		return err
	}
	s.reader = s.read(s.file)
	return nil
}

// ordered is the next record of the present loop.
func (s *Schedule) ordered() (Record, error) {
	if s.reader == nil {
		return Record{}, io.EOF
	}
	if len(s.ready) > 0 {
		rec := s.ready[0]
		s.ready = s.ready[1:]
		return rec, nil
	}
	for !s.ended && len(s.held) < mostHeld && (len(s.held) == 0 || s.latest-s.held[0].Due <= window) {
		rec, err := s.reader.Next()
		if err == io.EOF {
			s.ended = true
			break
		}
		if err != nil {
			return Record{}, err
		}
		s.latest = max(s.latest, rec.Due)
		heap.Push(&s.held, rec)
	}
	if len(s.held) == 0 {
		s.reader = nil
		return Record{}, io.EOF
	}
	rec := heap.Pop(&s.held).(Record)
	if !rec.Coarse {
		return rec, nil
	}
	s.ready = append(s.ready[:0:0], rec)
	for len(s.held) > 0 && s.held[0].Coarse && s.held[0].Due == rec.Due {
		s.ready = append(s.ready, heap.Pop(&s.held).(Record))
	}
	n := time.Duration(len(s.ready))
	for i := range s.ready {
		s.ready[i].Due += (2*time.Duration(i) + 1) * time.Second / (2 * n)
	}
	rec = s.ready[0]
	s.ready = s.ready[1:]
	return rec, nil
}

// records are a heap by when they are due, then by their lines.
type records []Record

func (h records) Len() int      { return len(h) }
func (h records) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h records) Less(i, k int) bool {
	if h[i].Due != h[k].Due {
		return h[i].Due < h[k].Due
	}
	return h[i].Line < h[k].Line
}
func (h *records) Push(x any) { *h = append(*h, x.(Record)) }
func (h *records) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = Record{} // lets go of its texts
	*h = old[:len(old)-1]
	return last
}
