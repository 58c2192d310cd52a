package httpserver

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The id of an open request is remembered as long as the request is open, and for the retention time from its
// end on, however many other ids come and whichever of two processes has the request.
func TestOpenIDIsRemembered(t *testing.T) {
	const deadline = 20 * time.Millisecond
	otherIDs := func(s *SeenIDs, prefix string) {
		for i := range 3 * maxIDsPerGeneration {
			s.begin(fmt.Sprint(prefix, i))
			s.finish(fmt.Sprint(prefix, i))
		}
	}
	for name, c := range map[string]struct{ begin, end func(s *SeenIDs) }{
		"own request":            {func(s *SeenIDs) { s.begin("a") }, func(s *SeenIDs) { s.finish("a") }},
		"of the other process":   {func(s *SeenIDs) { s.Observe(IDEvent{"a", true}) }, func(s *SeenIDs) { s.Observe(IDEvent{"a", false}) }},
		"the other process ends": {func(s *SeenIDs) { s.Observe(IDEvent{"a", true}) }, (*SeenIDs).OtherProcessEnded},
	} {
		s := NewSeenIDs(deadline)
		c.begin(s)
		time.Sleep(2 * s.retention)
		otherIDs(s, "x")
		if s.begin("a") {
			t.Errorf("%s: the id of an open request was accepted", name)
		}
		c.end(s)
		if s.begin("a") {
			t.Errorf("%s: the id was accepted right after the end of its request", name)
		}
		time.Sleep(2 * s.retention)
		otherIDs(s, "y")
		if !s.begin("a") {
			t.Errorf("%s: the id was rejected long after the end of its request", name)
		}
	}
}

// An observer is told of all requests from its start on, and gets the ids of the open ones before.
func TestIDObserver(t *testing.T) {
	s := NewSeenIDs(time.Second)
	s.begin("ended")
	s.finish("ended")
	s.begin("open")
	s.Observe(IDEvent{"elsewhere", true})
	var events []IDEvent
	open := s.SetObserver(func(e IDEvent) { events = append(events, e) })
	if !slices.Equal(open, []string{"open"}) || !slices.Equal(s.Recent(100), []string{"ended"}) || len(s.Recent(4)) != 0 {
		t.Errorf("open %q, recent %q and %q", open, s.Recent(100), s.Recent(4))
	}
	s.begin("next")
	s.begin("next")
	s.finish("open")
	if want := []IDEvent{{"next", true}, {"open", false}}; !slices.Equal(events, want) {
		t.Errorf("events %v, want %v", events, want)
	}
}
