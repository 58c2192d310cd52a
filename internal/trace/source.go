package trace

import (
	"errors"
	"fmt"
	"io"
	"time"

	"gorselink/traffic"
)

// Source gives the records of a Schedule as the arrivals of a stream.
type Source struct {
	name string
	s    *Schedule
	err  error
}

// NewSource returns the arrivals of s; errors name the trace so. It owns s.
func NewSource(name string, s *Schedule) *Source { return &Source{name: name, s: s} }

// Next returns the next arrival. It is false after the last one, and after an
// error.
func (s *Source) Next() (time.Duration, *traffic.Ask, bool) {
	if s.err != nil {
		return 0, nil, false
	}
	rec, err := s.s.Next()
	if err != nil {
		s.err = errors.Join(err, s.s.Close())
		return 0, nil, false
	}
	return rec.Due, &traffic.Ask{Method: rec.Method, Host: rec.Host, Path: rec.Path, Class: rec.Class, Body: rec.Body}, true
}

// Err is what has ended the trace before its end, if anything has.
func (s *Source) Err() error {
	if s.err == nil || errors.Is(s.err, io.EOF) {
		return nil
	}
	return fmt.Errorf("trace %s: %w", s.name, s.err)
}
