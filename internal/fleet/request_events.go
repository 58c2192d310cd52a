package fleet

import (
	"strings"
	"sync/atomic"
	"time"
)

// RequestEvent is the beginning or the end of a request in one of the two processes of a sidecar.
type RequestEvent struct {
	ID   string // without white space
	Open bool
}

const (
	// maxEventBytes bounds a message of request events.
	maxEventBytes = maxBufferedBytes
	// maxQueuedEvents bounds the events that wait to be sent, some 100 bytes each.
	maxQueuedEvents = 4 << 10
	// openPrefix and endPrefix begin a line of a message of request events, followed by an id.
	openPrefix, endPrefix = '+', '-'
)

// RequestEvents queues request events for the other process, so that requests do not wait for it. If
// the queue is full, or the other process has ended, events are dropped.
type RequestEvents struct {
	queue chan RequestEvent
	ended atomic.Bool
}

// NewRequestEvents returns an empty queue. Events can be added before Send runs.
func NewRequestEvents() *RequestEvents {
	return &RequestEvents{queue: make(chan RequestEvent, maxQueuedEvents)}
}

// Add queues an event. It does not wait.
func (e *RequestEvents) Add(event RequestEvent) {
	if e.ended.Load() {
		return
	}
	select {
	case e.queue <- event:
	default:
	}
}

// Send sends the queued events, and those that are added, over the link until it ends.
func (e *RequestEvents) Send(link *HandoverLink) {
	defer e.ended.Store(true)
	for {
		select {
		case <-link.Done():
			return
		case event := <-e.queue:
			if link.send(eventsMessage, e.encode(event), nil, sendTimeout) != nil {
				time.Sleep(minRetryWait) // the events are lost; the link may be about to end
			}
		}
	}
}

// encode returns a message of the first event and of those that are queued behind it.
func (e *RequestEvents) encode(first RequestEvent) []byte {
	text := appendEvent(nil, first)
	for len(text) < maxEventBytes/2 {
		select {
		case event := <-e.queue:
			text = appendEvent(text, event)
		default:
			return text
		}
	}
	return text
}

func appendEvent(text []byte, event RequestEvent) []byte {
	prefix := byte(endPrefix)
	if event.Open {
		prefix = openPrefix
	}
	return append(append(append(text, prefix), event.ID...), '\n')
}

// decodeEvents passes each event of a message to handle.
func decodeEvents(text []byte, handle func(RequestEvent)) {
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(line, "\n")
		if len(line) > 1 {
			handle(RequestEvent{ID: line[1:], Open: line[0] == openPrefix})
		}
	}
}
