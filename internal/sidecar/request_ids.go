package sidecar

import (
	"gorselink/internal/fleet"
	"gorselink/internal/httpserver"
)

// maxRecentIDBytes bounds the ids of ended requests that a process sends to its successor. Those of
// open requests, one for each connection at most, are sent in any case.
const maxRecentIDBytes = 256 << 10

// requestIDs are the ids of requests that a process sends to its successor, which then rejects other
// requests with these ids.
type requestIDs struct {
	Open   []string `json:"open"`
	Recent []string `json:"recent"`
}

// handOverRequestIDs returns the ids for a successor. Requests that begin or end from now on are queued
// for it.
func (s *Sidecar) handOverRequestIDs() *requestIDs {
	events := fleet.NewRequestEvents()
	s.mu.Lock()
	s.requestEvents = events
	s.mu.Unlock()
	ids := s.router.SeenIDs()
	open := ids.SetObserver(func(event httpserver.IDEvent) { events.Add(fleet.RequestEvent(event)) })
	return &requestIDs{Open: open, Recent: ids.Recent(maxRecentIDBytes)}
}

// shareRequestIDs takes over the ids of the previous process and exchanges request events with it until
// it ends. inherited is nil if that process does not accept request events.
func (s *Sidecar) shareRequestIDs(link *fleet.HandoverLink, inherited *requestIDs) {
	if inherited == nil {
		return
	}
	for _, id := range inherited.Open {
		s.observeRequestEvent(fleet.RequestEvent{ID: id, Open: true})
	}
	for _, id := range inherited.Recent {
		s.observeRequestEvent(fleet.RequestEvent{ID: id})
	}
	link.HandleRequestEvents(s.observeRequestEvent)
	events := fleet.NewRequestEvents()
	s.router.SeenIDs().SetObserver(func(event httpserver.IDEvent) { events.Add(fleet.RequestEvent(event)) })
	go events.Send(link)
}

// observeRequestEvent records an event of the other process.
func (s *Sidecar) observeRequestEvent(event fleet.RequestEvent) {
	s.router.SeenIDs().Observe(httpserver.IDEvent(event))
}
