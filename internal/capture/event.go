// Package capture records the inputs and decisions of a Balancer in a file and replays
// the inputs to a new Balancer with the same settings and seed. Its decisions must be the
// same. The file format is described in docs/capture.md.
package capture

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gorselink/balance"
)

// Kind is the kind of an Event. Its values are stored in capture files.
type Kind uint8

// The kinds from Send to Watch are decisions of a Balancer; the others are its inputs.
const (
	Start       Kind = 1 + iota // a Balancer is created
	Reconfigure                 // its settings are replaced
	AddClass
	EndpointUpdate
	Request
	Outcome   // an attempt ended
	Cancelled // the caller of a request is gone
	Timer     // a timer that an After event requested expires
	Send
	Reject
	Fail
	After // requests a timer
	Watch // subscribes to the endpoint list
	Close // an input, unlike the kinds before it: the process ends
	kindCount
)

// isDecision reports whether events of kind k are decisions of the Balancer.
func (k Kind) isDecision() bool { return k >= Send && k <= Watch }

// Event is an input or a decision of a Balancer. Kind determines which fields are set.
type Event struct {
	Kind       Kind
	At         time.Duration // time of the input; for a decision, time of the input that caused it
	ID         uint64        // of the request, or the token of a Timer or After event
	Class      int
	Tenant     int
	Attempt    int // number of the attempt, from 0
	Result     balance.Result
	Final      bool               // of Outcome events; see Balancer.Outcome
	Duration   time.Duration      // budget, elapsed time, timeout, Retry-After or delay
	Addr       string             // the endpoint of a Send event
	UpdateKind balance.UpdateKind // of EndpointUpdate events
	Endpoints  []balance.Endpoint
	Seed       uint64
	Config     *balance.Config // of Start and Reconfigure events
	AddedClass *balance.Class  // of AddClass events
}

var kindNames = [kindCount]string{Start: "start", Reconfigure: "retune", AddClass: "add class", EndpointUpdate: "members", Request: "request", Outcome: "outcome",
	Cancelled: "withdrawn", Timer: "timer", Send: "send", Reject: "refuse", Fail: "fail", After: "after", Watch: "watch", Close: "close"}

// String describes the event for error messages and reports; nil is "nothing".
func (e *Event) String() string {
	if e == nil {
		return "nothing"
	}
	s := kindNames[e.Kind]
	switch e.Kind {
	case EndpointUpdate:
		return fmt.Sprintf("%s, kind %d, %d entries", s, e.UpdateKind, len(e.Endpoints))
	case Request:
		return fmt.Sprintf("%s %d of class %d with %v", s, e.ID, e.Class, e.Duration)
	case Outcome:
		return fmt.Sprintf("%s of attempt %d of %d: %d after %v", s, e.Attempt, e.ID, e.Result, e.Duration)
	case Send:
		return fmt.Sprintf("%s %d to %s for %v", s, e.ID, e.Addr, e.Duration)
	case Reject:
		return fmt.Sprintf("%s %d, come back in %v", s, e.ID, e.Duration)
	case After:
		return fmt.Sprintf("timer %d wanted in %v", e.ID, e.Duration)
	case Cancelled, Timer, Fail:
		return fmt.Sprintf("%s %d", s, e.ID)
	}
	return s
}

// codec encodes or decodes events. Times and IDs are stored as differences from the
// previous event, and an address is stored as a number after its first occurrence.
type codec struct {
	lastTime    time.Duration
	lastID      uint64
	addrNumbers map[string]uint64 // for encoding
	addrs       []string          // for decoding
}

// appendAddr appends s to b, as 0 and the text at its first occurrence and as its number
// from 1 afterwards.
func (c *codec) appendAddr(b []byte, s string) []byte {
	if n, ok := c.addrNumbers[s]; ok {
		return binary.AppendUvarint(b, n+1)
	}
	if c.addrNumbers == nil {
		c.addrNumbers = map[string]uint64{}
	}
	c.addrNumbers[s] = uint64(len(c.addrNumbers))
	b = append(b, 0)
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// appendEvent appends the encoding of e to b.
func (c *codec) appendEvent(b []byte, e *Event) ([]byte, error) {
	b = append(b, byte(e.Kind))
	b = binary.AppendVarint(b, int64(e.At-c.lastTime))
	c.lastTime = e.At
	switch e.Kind {
	case Request, Outcome, Cancelled, Timer, Send, Reject, Fail, After:
		b = binary.AppendVarint(b, int64(e.ID-c.lastID))
		c.lastID = e.ID
	}
	duration := func() { b = binary.AppendVarint(b, int64(e.Duration)) }
	switch e.Kind {
	case Start, Reconfigure, AddClass:
		if e.Kind == Start {
			b = binary.AppendUvarint(b, e.Seed)
		}
		var settings any = e.Config
		if e.Kind == AddClass {
			settings = e.AddedClass
		}
		text, err := json.Marshal(settings)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	case EndpointUpdate:
		b = binary.AppendUvarint(append(b, byte(e.UpdateKind)), uint64(len(e.Endpoints)))
		for i := range e.Endpoints {
			ep := &e.Endpoints[i]
			b = append(c.appendAddr(b, ep.Addr), byte(ep.State))
			b = binary.AppendVarint(b, int64(ep.Zone))
			b = binary.AppendVarint(b, int64(ep.Cell))
			b = binary.AppendVarint(b, int64(ep.Since))
		}
	case Request:
		b = binary.AppendVarint(b, int64(e.Class))
		b = binary.AppendVarint(b, int64(e.Tenant))
		duration()
	case Outcome:
		finalBit := byte(0)
		if e.Final {
			finalBit = 0x80
		}
		b = binary.AppendUvarint(append(b, byte(e.Result)|finalBit), uint64(e.Attempt))
		duration()
	case Send:
		b = c.appendAddr(b, e.Addr)
		duration()
	case Reject, After:
		duration()
	}
	return b, nil
}

// maxZone limits the zone number of an endpoint, as the memory of a Balancer grows with
// the highest one.
const maxZone = 1 << 16

var errTruncatedEvent = errors.New("capture: an event is truncated")

// parser decodes values from the start of rest. err is set if a value is invalid.
type parser struct {
	rest []byte
	err  error
}

func (p *parser) byte() byte {
	if len(p.rest) == 0 {
		p.err = errTruncatedEvent
		return 0
	}
	x := p.rest[0]
	p.rest = p.rest[1:]
	return x
}

func (p *parser) uint() uint64 {
	x, n := binary.Uvarint(p.rest)
	if n <= 0 {
		p.err, p.rest = errTruncatedEvent, nil
		return 0
	}
	p.rest = p.rest[n:]
	return x
}

func (p *parser) int() int64 {
	x, n := binary.Varint(p.rest)
	if n <= 0 {
		p.err, p.rest = errTruncatedEvent, nil
		return 0
	}
	p.rest = p.rest[n:]
	return x
}

// bytes decodes a length and that number of bytes, without a copy. A length beyond the
// end of rest is an error.
func (p *parser) bytes() []byte {
	n := p.uint()
	if n > uint64(len(p.rest)) {
		p.err, p.rest = errTruncatedEvent, nil
		return nil
	}
	x := p.rest[:n]
	p.rest = p.rest[n:]
	return x
}

func (c *codec) parseAddr(p *parser) string {
	n := p.uint()
	if n == 0 {
		s := string(p.bytes())
		c.addrs = append(c.addrs, s)
		return s
	}
	if n > uint64(len(c.addrs)) {
		p.err = fmt.Errorf("capture: unknown address number %d, want at most %d", n, len(c.addrs))
		return ""
	}
	return c.addrs[n-1]
}

// parseEvent decodes the next event from p into e.
func (c *codec) parseEvent(p *parser, e *Event) error {
	*e = Event{Kind: Kind(p.byte())}
	if p.err == nil && (e.Kind < Start || e.Kind >= kindCount) {
		return fmt.Errorf("capture: unknown event kind %d", e.Kind)
	}
	c.lastTime += time.Duration(p.int())
	e.At = c.lastTime
	switch e.Kind {
	case Request, Outcome, Cancelled, Timer, Send, Reject, Fail, After:
		c.lastID += uint64(p.int())
		e.ID = c.lastID
	}
	duration := func() { e.Duration = time.Duration(p.int()) }
	switch e.Kind {
	case Start, Reconfigure, AddClass:
		if e.Kind == Start {
			e.Seed = p.uint()
		}
		text := p.bytes()
		if p.err != nil {
			return p.err
		}
		var target any = &e.Config
		if e.Kind == AddClass {
			target = &e.AddedClass
		}
		if err := json.Unmarshal(text, target); err != nil {
			return fmt.Errorf("capture: settings: %w", err)
		}
		if e.Config == nil && e.AddedClass == nil {
			return errors.New("capture: settings are missing")
		}
	case EndpointUpdate:
		e.UpdateKind = balance.UpdateKind(p.byte())
		if n := p.uint(); n > uint64(len(p.rest)) {
			p.err = errTruncatedEvent
		} else {
			for range n {
				ep := balance.Endpoint{Addr: c.parseAddr(p), State: balance.State(p.byte())}
				ep.Zone, ep.Cell, ep.Since = int(p.int()), int(p.int()), time.Duration(p.int())
				if p.err != nil {
					return p.err
				}
				if ep.Zone < 0 || ep.Zone > maxZone {
					return fmt.Errorf("capture: zone %d, want 0 to %d", ep.Zone, maxZone)
				}
				e.Endpoints = append(e.Endpoints, ep)
			}
		}
	case Request:
		e.Class, e.Tenant = int(p.int()), int(p.int())
		duration()
	case Outcome:
		r := p.byte()
		e.Result, e.Final = balance.Result(r&0x7f), r&0x80 != 0
		e.Attempt = int(p.uint())
		duration()
	case Send:
		e.Addr = c.parseAddr(p)
		duration()
	case Reject, After:
		duration()
	}
	return p.err
}
