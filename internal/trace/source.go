package trace

import (
	"errors"
	"fmt"
	"io"
	"time"

	"gorselink/traffic"
)

// Source provides the records of a Schedule as a traffic.Source.
type Source struct {
	name     string
	schedule *Schedule
	err      error
}

// NewSource returns a Source of the records of s, which it closes at the end. Errors
// contain name.
func NewSource(name string, s *Schedule) *Source { return &Source{name: name, schedule: s} }

// Next returns the next request and its due time. It returns false after the last one
// and after an error.
func (s *Source) Next() (time.Duration, *traffic.RecordedRequest, bool) {
	if s.err != nil {
		return 0, nil, false
	}
	rec, err := s.schedule.Next()
	if err != nil {
		s.err = errors.Join(err, s.schedule.Close())
		return 0, nil, false
	}
	return rec.Due, &traffic.RecordedRequest{Method: rec.Method, Host: rec.Host, Path: rec.Path, Class: rec.Class, Body: rec.Body}, true
}

// Err returns the error that ended the trace early, or nil.
func (s *Source) Err() error {
	if s.err == nil || errors.Is(s.err, io.EOF) {
		return nil
	}
	return fmt.Errorf("trace %s: %w", s.name, s.err)
}
