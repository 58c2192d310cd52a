// Package capture writes down what a Balancer was told and what it decided, reads it
// again, and plays it to a Balancer of the same making, whose decisions must be the
// same. docs/capture.md tells the form and the ways weighed.
package capture

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gorselink/balance"
)

// Kind is what an Event is.
type Kind uint8

// What a Balancer is told, and from Send to Watch what it decides.
const (
	Start Kind = 1 + iota // a Balancer is made
	Retune
	AddClass
	Members
	Request
	Outcome
	Withdrawn
	Timer
	Send
	Refuse
	Fail
	After
	Watch
	Close // told again: the process ends
	kinds
)

// decides tells whether events of kind k are the Balancer's own.
func (k Kind) decides() bool { return k >= Send && k <= Watch }

// Event is one thing that a Balancer was told or decided. Which fields are set hangs
// on Kind.
type Event struct {
	Kind      Kind
	At        time.Duration // the Balancer's time; that of what it was told, for a decision
	ID        uint64        // of the request; the token of Timer and After
	Class     int
	Tenant    int
	Number    int // of the attempt
	Result    balance.Result
	Over      bool
	Duration  time.Duration // budget, elapsed, time-out, retry-after or delay
	Addr      string        // of Send
	ListKind  balance.ListKind
	Endpoints []balance.Endpoint
	Seed      uint64
	Config    *balance.Config // of Start and Retune
	Added     *balance.Class  // of AddClass
}

var words = [kinds]string{Start: "start", Retune: "retune", AddClass: "add class", Members: "members", Request: "request", Outcome: "outcome",
	Withdrawn: "withdrawn", Timer: "timer", Send: "send", Refuse: "refuse", Fail: "fail", After: "after", Watch: "watch", Close: "close"}

// String tells an event in words, for people; nil is nothing.
func (e *Event) String() string {
	if e == nil {
		return "nothing"
	}
	s := words[e.Kind]
	switch e.Kind {
	case Members:
		return fmt.Sprintf("%s, kind %d, %d entries", s, e.ListKind, len(e.Endpoints))
	case Request:
		return fmt.Sprintf("%s %d of class %d with %v", s, e.ID, e.Class, e.Duration)
	case Outcome:
		return fmt.Sprintf("%s of attempt %d of %d: %d after %v", s, e.Number, e.ID, e.Result, e.Duration)
	case Send:
		return fmt.Sprintf("%s %d to %s for %v", s, e.ID, e.Addr, e.Duration)
	case Refuse:
		return fmt.Sprintf("%s %d, come back in %v", s, e.ID, e.Duration)
	case After:
		return fmt.Sprintf("timer %d wanted in %v", e.ID, e.Duration)
	case Withdrawn, Timer, Fail:
		return fmt.Sprintf("%s %d", s, e.ID)
	}
	return s
}

// coder holds what one event is written against: the last time and id, and the
// addresses that have been named.
type coder struct {
	at    time.Duration
	id    uint64
	names map[string]uint64 // writing
	list  []string          // reading
}

func (c *coder) addr(b []byte, s string) []byte {
	if n, ok := c.names[s]; ok {
		return binary.AppendUvarint(b, n+1)
	}
	if c.names == nil {
		c.names = map[string]uint64{}
	}
	c.names[s] = uint64(len(c.names))
	b = append(b, 0)
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// append writes e behind b.
func (c *coder) append(b []byte, e *Event) ([]byte, error) {
	b = append(b, byte(e.Kind))
	b = binary.AppendVarint(b, int64(e.At-c.at))
	c.at = e.At
	switch e.Kind {
	case Request, Outcome, Withdrawn, Timer, Send, Refuse, Fail, After:
		b = binary.AppendVarint(b, int64(e.ID-c.id))
		c.id = e.ID
	}
	span := func() { b = binary.AppendVarint(b, int64(e.Duration)) }
	switch e.Kind {
	case Start, Retune, AddClass:
		if e.Kind == Start {
			b = binary.AppendUvarint(b, e.Seed)
		}
		var of any = e.Config
		if e.Kind == AddClass {
			of = e.Added
		}
		text, err := json.Marshal(of)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	case Members:
		b = binary.AppendUvarint(append(b, byte(e.ListKind)), uint64(len(e.Endpoints)))
		for i := range e.Endpoints {
			n := &e.Endpoints[i]
			b = append(c.addr(b, n.Addr), byte(n.State))
			b = binary.AppendVarint(b, int64(n.Zone))
			b = binary.AppendVarint(b, int64(n.Cell))
			b = binary.AppendVarint(b, int64(n.Since))
		}
	case Request:
		b = binary.AppendVarint(b, int64(e.Class))
		b = binary.AppendVarint(b, int64(e.Tenant))
		span()
	case Outcome:
		over := byte(0)
		if e.Over {
			over = 0x80
		}
		b = binary.AppendUvarint(append(b, byte(e.Result)|over), uint64(e.Number))
		span()
	case Send:
		b = c.addr(b, e.Addr)
		span()
	case Refuse, After:
		span()
	}
	return b, nil
}

// mostZone bounds the zones of a list: a Balancer keeps something of each up to it.
const mostZone = 1 << 16

var errShort = errors.New("capture: an event ends inside")

// parser takes values off a block and keeps the first error.
type parser struct {
	b   []byte
	err error
}

func (p *parser) byte() byte {
	if len(p.b) == 0 {
		p.err = errShort
		return 0
	}
	x := p.b[0]
	p.b = p.b[1:]
	return x
}

func (p *parser) uint() uint64 {
	x, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.err, p.b = errShort, nil
		return 0
	}
	p.b = p.b[n:]
	return x
}

func (p *parser) int() int64 {
	x, n := binary.Varint(p.b)
	if n <= 0 {
		p.err, p.b = errShort, nil
		return 0
	}
	p.b = p.b[n:]
	return x
}

// bytes takes a length and as many bytes. What lies about its length is an error and
// costs no memory.
func (p *parser) bytes() []byte {
	n := p.uint()
	if n > uint64(len(p.b)) {
		p.err, p.b = errShort, nil
		return nil
	}
	x := p.b[:n]
	p.b = p.b[n:]
	return x
}

func (c *coder) parseAddr(p *parser) string {
	n := p.uint()
	if n == 0 {
		s := string(p.bytes())
		c.list = append(c.list, s)
		return s
	}
	if n > uint64(len(c.list)) {
		p.err = fmt.Errorf("capture: address %d of %d named", n, len(c.list))
		return ""
	}
	return c.list[n-1]
}

// parse takes the next event off p.
func (c *coder) parse(p *parser, e *Event) error {
	*e = Event{Kind: Kind(p.byte())}
	if p.err == nil && (e.Kind < Start || e.Kind >= kinds) {
		return fmt.Errorf("capture: unknown kind of event %d", e.Kind)
	}
	c.at += time.Duration(p.int())
	e.At = c.at
	switch e.Kind {
	case Request, Outcome, Withdrawn, Timer, Send, Refuse, Fail, After:
		c.id += uint64(p.int())
		e.ID = c.id
	}
	span := func() { e.Duration = time.Duration(p.int()) }
	switch e.Kind {
	case Start, Retune, AddClass:
		if e.Kind == Start {
			e.Seed = p.uint()
		}
		text := p.bytes()
		if p.err != nil {
			return p.err
		}
		var into any = &e.Config
		if e.Kind == AddClass {
			into = &e.Added
		}
		if err := json.Unmarshal(text, into); err != nil {
			return fmt.Errorf("capture: settings: %w", err)
		}
		if e.Config == nil && e.Added == nil {
			return errors.New("capture: settings: none")
		}
	case Members:
		e.ListKind = balance.ListKind(p.byte())
		if n := p.uint(); n > uint64(len(p.b)) {
			p.err = errShort
		} else {
			for range n {
				n := balance.Endpoint{Addr: c.parseAddr(p), State: balance.State(p.byte())}
				n.Zone, n.Cell, n.Since = int(p.int()), int(p.int()), time.Duration(p.int())
				if p.err != nil {
					return p.err
				}
				if n.Zone < 0 || n.Zone > mostZone {
					return fmt.Errorf("capture: zone %d, want 0 to %d", n.Zone, mostZone)
				}
				e.Endpoints = append(e.Endpoints, n)
			}
		}
	case Request:
		e.Class, e.Tenant = int(p.int()), int(p.int())
		span()
	case Outcome:
		r := p.byte()
		e.Result, e.Over = balance.Result(r&0x7f), r&0x80 != 0
		e.Number = int(p.uint())
		span()
	case Send:
		e.Addr = c.parseAddr(p)
		span()
	case Refuse, After:
		span()
	}
	return p.err
}
