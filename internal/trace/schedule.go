package trace

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"time"
)

// Options selects the part of a trace to replay, its speed and its repetitions.
type Options struct {
	Speed float64       // factor on the speed of the trace; 0 means 1
	From  time.Duration // records with an earlier due time in the trace are left out
	To    time.Duration // records with this due time in the trace or a later one are left out; 0 means the end
	Loops int           // number of repetitions; 0 means 1
}

const (
	// reorderWindow is how far a record may be behind the latest one and still be
	// sorted. Servers log a request when its response has ended, so the lines of a
	// log are not in the order of their timestamps.
	reorderWindow = 10 * time.Second
	// maxPending limits the number of records that are kept for sorting.
	maxPending = 200000
)

// Schedule returns the records of a trace in the order of their due times.
//
// If the timestamps have whole seconds, the n records of a second are spaced evenly
// in the order of their lines: record i, counted from 0, is due (i+0.5)/n seconds
// into it. Bursts shorter than a second are lost.
//
// A record can come too late to be sorted, by more than reorderWindow or with maxPending
// records kept. If a later record has been returned before it, it is due immediately
// and counted as late.
type Schedule struct {
	open        func() (io.ReadCloser, error)
	read        func(io.Reader) *Reader
	opts        Options
	file        io.ReadCloser
	reader      *Reader
	loopIndex   int
	loopStart   time.Duration // start of the current loop, before Speed is applied
	loopEnd     time.Duration // latest due time in the current loop
	pending     recordHeap
	ready       []Record      // evenly spaced records of one second
	latestDue   time.Duration // of the records read in the current loop
	readerEnded bool
	lastDue     time.Duration // of the record returned last
	lateRecords int
	returned    int // number of records returned
}

// NewSchedule returns the Schedule of a trace. It calls open and read at the start of
// each loop to open the trace and to create its Reader.
func NewSchedule(open func() (io.ReadCloser, error), read func(io.Reader) *Reader, opts Options) (*Schedule, error) {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	switch {
	case !(opts.Speed > 0 && opts.Speed <= 1e6):
		return nil, fmt.Errorf("speed %v, want above 0 and at most 1e6", opts.Speed)
	case opts.From < 0 || opts.To < 0 || opts.To > 0 && opts.To <= opts.From:
		return nil, fmt.Errorf("range from %v to %v, want from at least 0 and to after it, or 0 for the end", opts.From, opts.To)
	case opts.Loops < 0:
		return nil, fmt.Errorf("%d loops, want 0 or more", opts.Loops)
	}
	return &Schedule{open: open, read: read, opts: opts, loopIndex: -1}, nil
}

// LateRecords returns the number of records that came too late to be sorted and were
// due immediately.
func (s *Schedule) LateRecords() int { return s.lateRecords }

// Close closes the trace file.
func (s *Schedule) Close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	return err
}

// Next returns the next record with its due time since the start of the schedule, or
// io.EOF after the last one. If no record is between From and To, it returns another
// error.
func (s *Schedule) Next() (Record, error) {
	for {
		rec, err := s.nextOrdered()
		if err == io.EOF {
			if err := s.startLoop(); err != nil {
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
		s.loopEnd = max(s.loopEnd, at)
		rec.Due = time.Duration(float64(s.loopStart+at) / s.opts.Speed)
		if rec.Due < s.lastDue {
			rec.Due = s.lastDue
			s.lateRecords++
		}
		s.lastDue = rec.Due
		s.returned++
		return rec, nil
	}
}

// startLoop starts the next loop. It begins where the previous one ends.
func (s *Schedule) startLoop() error {
	if err := s.Close(); err != nil {
		return err
	}
	if s.loopIndex >= 0 && s.returned == 0 {
		return errors.New("the trace has no request in the selected range")
	}
	if s.loopIndex++; s.loopIndex >= max(s.opts.Loops, 1) {
		return io.EOF
	}
	if s.loopIndex > 0 {
		// The length of the selected range, or of the trace in whole seconds.
		length := (s.loopEnd/time.Second + 1) * time.Second
		if s.opts.To > 0 {
			length = s.opts.To - s.opts.From
		}
		s.loopStart += length
	}
	s.loopEnd, s.latestDue, s.readerEnded = 0, 0, false
	var err error
	if s.file, err = s.open(); err != nil {
		return err
	}
	s.reader = s.read(s.file)
	return nil
}

// nextOrdered returns the next record of the current loop.
func (s *Schedule) nextOrdered() (Record, error) {
	if s.reader == nil {
		return Record{}, io.EOF
	}
	if len(s.ready) > 0 {
		rec := s.ready[0]
		s.ready = s.ready[1:]
		return rec, nil
	}
	for !s.readerEnded && len(s.pending) < maxPending && (len(s.pending) == 0 || s.latestDue-s.pending[0].Due <= reorderWindow) {
		rec, err := s.reader.Next()
		if err == io.EOF {
			s.readerEnded = true
			break
		}
		if err != nil {
			return Record{}, err
		}
		s.latestDue = max(s.latestDue, rec.Due)
		heap.Push(&s.pending, rec)
	}
	if len(s.pending) == 0 {
		s.reader = nil
		return Record{}, io.EOF
	}
	rec := heap.Pop(&s.pending).(Record)
	if !rec.WholeSeconds {
		return rec, nil
	}
	s.ready = append(s.ready[:0:0], rec)
	for len(s.pending) > 0 && s.pending[0].WholeSeconds && s.pending[0].Due == rec.Due {
		s.ready = append(s.ready, heap.Pop(&s.pending).(Record))
	}
	n := time.Duration(len(s.ready))
	for i := range s.ready {
		s.ready[i].Due += (2*time.Duration(i) + 1) * time.Second / (2 * n)
	}
	rec = s.ready[0]
	s.ready = s.ready[1:]
	return rec, nil
}

// recordHeap is a heap of records ordered by due time, then by line number.
type recordHeap []Record

func (h recordHeap) Len() int      { return len(h) }
func (h recordHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h recordHeap) Less(i, k int) bool {
	if h[i].Due != h[k].Due {
		return h[i].Due < h[k].Due
	}
	return h[i].Line < h[k].Line
}
func (h *recordHeap) Push(x any) { *h = append(*h, x.(Record)) }
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = Record{} // releases its strings
	*h = old[:len(old)-1]
	return last
}
