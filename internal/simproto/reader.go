// Package simproto implements the text protocol of the simulator: it reads events and
// writes actions. Errors about malformed input contain the line number.
package simproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"gorselink/balance"
)

// Kind is the type of an Event.
type Kind int

// The kinds of event.
const (
	BatchStart     Kind = iota // a batch begins; Now is set
	BatchEnd                   // a batch ends and needs a reply
	InstanceStart              // an instance starts
	InstanceStop               // an instance was killed
	EndpointUpdate             // an endpoint update, or a failure of discovery
	Request
	Opened
	Outcome
	Cancelled
	Timer
	ProbeResult
	PeerMessage
)

// maxLists is the number of endpoint lists that can be defined at the same time.
const maxLists = 16

// Event is one event. Which fields are set depends on Kind.
type Event struct {
	Kind       Kind
	Now        time.Duration
	Instance   int
	Seed       uint64
	Settings   string
	ID         uint64 // of the request, or the token of a timer
	Class      int
	Tenant     int
	Flags      int
	Budget     time.Duration
	Number     int // of the attempt
	Result     balance.Result
	Elapsed    time.Duration
	Final      bool
	UpdateKind balance.UpdateKind
	List       []balance.Endpoint // valid until the list with its number is defined again
}

// Reader reads events and keeps the endpoint lists defined so far.
type Reader struct {
	in      *bufio.Reader
	line    int
	inBatch bool
	fields  [][]byte
	lists   [maxLists][]balance.Endpoint
	defined [maxLists]bool
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// Next reads the next event into e. It returns io.EOF if the input ends between batches.
func (r *Reader) Next(e *Event) error {
	text, err := r.read()
	if err != nil {
		return err
	}
	if err := r.decode(text, e); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	return nil
}

// read returns the next line without its newline. It returns io.EOF only between batches.
func (r *Reader) read() ([]byte, error) {
	text, err := r.in.ReadSlice('\n')
	if err == io.EOF && len(text) == 0 && !r.inBatch {
		return nil, io.EOF
	}
	r.line++
	if err == io.EOF {
		return nil, fmt.Errorf("line %d: input ends inside a batch or a line, want GO and a newline", r.line)
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return bytes.TrimSuffix(text, []byte("\n")), nil
}

// decode decodes one line, and for a MANIFEST also the list and the event that follow it.
func (r *Reader) decode(text []byte, e *Event) error {
	word, rest, _ := bytes.Cut(text, []byte(" "))
	if string(word) == "MARK" {
		return r.decodeMark(rest, e)
	}
	if !r.inBatch {
		return fmt.Errorf("event %q outside a batch, want MARK", word)
	}
	now := e.Now
	*e = Event{Now: now}
	if string(word) == "BORN" {
		return decodeBorn(rest, e)
	}
	r.split(text)
	switch string(word) {
	case "GO":
		e.Kind = BatchEnd
		r.inBatch = false
		return r.requireFields(1)
	case "MANIFEST":
		return r.decodeManifest(e)
	case "VIEW":
		return r.decodeView(e)
	case "ARRIVAL":
		return r.decodeArrival(e)
	case "REPLY":
		return r.decodeReply(e)
	case "TIMER":
		e.Kind = Timer
		return r.decodeID(e, 3)
	case "WITHDRAWN":
		e.Kind = Cancelled
		return r.decodeID(e, 3)
	case "KILLED":
		e.Kind = InstanceStop
		return r.decodeID(e, 2)
	case "OPENED":
		return r.decodeOpened(e)
	case "PING_RESULT":
		return r.decodeProbeResult(e)
	case "INBOX":
		e.Kind = PeerMessage
		return r.decodeInstance(e, 4)
	}
	return fmt.Errorf("unknown event %q", word)
}

// decodeMark decodes MARK, which starts a batch and sets its time.
func (r *Reader) decodeMark(rest []byte, e *Event) error {
	if r.inBatch {
		return errors.New("MARK inside a batch, want an event or GO")
	}
	now, err := parseSeconds(rest)
	if err != nil {
		return err
	}
	*e = Event{Kind: BatchStart, Now: now}
	r.inBatch = true
	return nil
}

// decodeBorn decodes BORN, the start of an instance. Its settings contain spaces.
func decodeBorn(rest []byte, e *Event) error {
	parts := strings.SplitN(string(rest), " ", 3)
	if len(parts) != 3 {
		return errors.New("BORN: too few fields, want an instance, a seed and settings")
	}
	e.Kind = InstanceStart
	var err error
	if e.Instance, err = parseInt([]byte(parts[0])); err != nil {
		return err
	}
	if e.Seed, err = strconv.ParseUint(parts[1], 10, 64); err != nil {
		return fmt.Errorf("BORN: seed %q, want an unsigned integer of 64 bits", parts[1])
	}
	e.Settings = parts[2]
	return nil
}

// split splits text at each space into r.fields.
func (r *Reader) split(text []byte) {
	r.fields = r.fields[:0]
	for {
		i := bytes.IndexByte(text, ' ')
		if i < 0 {
			r.fields = append(r.fields, text)
			return
		}
		r.fields = append(r.fields, text[:i])
		text = text[i+1:]
	}
}

func (r *Reader) requireFields(n int) error {
	if len(r.fields) != n {
		return fmt.Errorf("%s: %d fields, want %d", r.fields[0], len(r.fields), n)
	}
	return nil
}

// decodeInstance decodes the instance of a line of n fields.
func (r *Reader) decodeInstance(e *Event, n int) (err error) {
	if err := r.requireFields(n); err != nil {
		return err
	}
	e.Instance, err = parseInt(r.fields[1])
	return err
}

// decodeID decodes a line of n fields, 2 or 3: a word, an instance and possibly an id.
func (r *Reader) decodeID(e *Event, n int) (err error) {
	if err := r.decodeInstance(e, n); err != nil || n == 2 {
		return err
	}
	e.ID, err = parseID(r.fields[2])
	return err
}

// listNumber decodes the number of an endpoint list.
func (r *Reader) listNumber(field []byte) (int, error) {
	n, err := parseInt(field)
	if err == nil && n >= maxLists {
		err = fmt.Errorf("list number %d, want 0 to %d", n, maxLists-1)
	}
	return n, err
}

// decodeManifest decodes MANIFEST and the entries that follow it: an endpoint list, to
// which later VIEW events refer by its number. It then decodes the next event.
func (r *Reader) decodeManifest(e *Event) error {
	if err := r.requireFields(3); err != nil {
		return err
	}
	n, err := r.listNumber(r.fields[1])
	if err != nil {
		return err
	}
	count, err := parseInt(r.fields[2])
	if err != nil {
		return err
	}
	list := r.lists[n][:0]
	for range count {
		text, err := r.read()
		if err != nil {
			return err
		}
		r.split(text)
		entry, err := r.decodeItem()
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	r.lists[n], r.defined[n] = list, true
	return r.decodeNext(e)
}

// decodeNext decodes the event that follows a list.
func (r *Reader) decodeNext(e *Event) error {
	text, err := r.read()
	if err != nil {
		return err
	}
	return r.decode(text, e)
}

// decodeItem decodes ITEM, one entry of an endpoint list.
func (r *Reader) decodeItem() (entry balance.Endpoint, err error) {
	if string(r.fields[0]) != "ITEM" {
		return entry, fmt.Errorf("list entry starts with %q, want ITEM", r.fields[0])
	}
	if err := r.requireFields(8); err != nil {
		return entry, err
	}
	entry.Addr = string(r.fields[2])
	state, err := parseInt(r.fields[4])
	if err != nil {
		return entry, err
	}
	switch state {
	case 0:
		entry.State = balance.Gone
	case 1:
		entry.State = balance.Draining
	case 3:
		entry.State = balance.Ready
	default:
		return entry, fmt.Errorf("ITEM: availability %d, want 0, 1 or 3", state)
	}
	if entry.Zone, err = parseOptionalInt(r.fields[5]); err != nil {
		return entry, err
	}
	if entry.Since, err = parseOptionalSeconds(r.fields[6]); err != nil {
		return entry, err
	}
	entry.Cell, err = parseOptionalInt(r.fields[7])
	return entry, err
}

// decodeView decodes VIEW, an endpoint update for one instance with a list defined earlier.
func (r *Reader) decodeView(e *Event) error {
	e.Kind = EndpointUpdate
	if err := r.decodeInstance(e, 5); err != nil {
		return err
	}
	scope, err := parseInt(r.fields[2])
	if err != nil {
		return err
	}
	if scope > int(balance.ListFailed) {
		return fmt.Errorf("VIEW: scope %d, want 0 to 3", scope)
	}
	e.UpdateKind = balance.UpdateKind(scope)
	if e.UpdateKind == balance.ListFailed {
		return nil
	}
	n, err := r.listNumber(r.fields[4])
	if err != nil {
		return err
	}
	if !r.defined[n] {
		return fmt.Errorf("VIEW: list %d is not defined, want a MANIFEST for it first", n)
	}
	e.List = r.lists[n]
	return nil
}

// decodeArrival decodes ARRIVAL, a request of a client.
func (r *Reader) decodeArrival(e *Event) (err error) {
	e.Kind = Request
	if err := r.decodeInstance(e, 9); err != nil {
		return err
	}
	if e.ID, err = parseID(r.fields[2]); err != nil {
		return err
	}
	if e.Class, err = parseInt(r.fields[3]); err != nil {
		return err
	}
	if e.Tenant, err = parseOptionalInt(r.fields[4]); err != nil {
		return err
	}
	if e.Budget, err = parseSeconds(r.fields[6]); err != nil {
		return err
	}
	if _, err = parseOptionalSeconds(r.fields[7]); err != nil {
		return err
	}
	e.Flags, err = parseOptionalInt(r.fields[8])
	return err
}

var results = map[string]balance.Result{
	"GOOD": balance.OK, "BAD": balance.Error, "FULL": balance.Overloaded, "LATE": balance.Timeout,
	"NOCONN": balance.ConnectError, "RST": balance.Reset, "CXL": balance.Cancelled, "NOP": balance.NotSent,
}

// decodeResult decodes the result of an attempt or a probe.
func (r *Reader) decodeResult(field []byte, e *Event) error {
	result, ok := results[string(field)]
	if !ok {
		return fmt.Errorf("%s: unknown outcome %q", r.fields[0], field)
	}
	e.Result = result
	return nil
}

// decodeReply decodes REPLY, the outcome of an attempt.
func (r *Reader) decodeReply(e *Event) (err error) {
	e.Kind = Outcome
	if err := r.decodeInstance(e, 9); err != nil {
		return err
	}
	if e.ID, err = parseID(r.fields[2]); err != nil {
		return err
	}
	if e.Number, err = parseInt(r.fields[3]); err != nil {
		return err
	}
	if err := r.decodeResult(r.fields[5], e); err != nil {
		return err
	}
	if e.Elapsed, err = parseSeconds(r.fields[6]); err != nil {
		return err
	}
	switch string(r.fields[7]) {
	case "0", "1":
		e.Final = r.fields[7][0] == '1'
		return nil
	}
	return fmt.Errorf("REPLY: final flag %q, want 0 or 1", r.fields[7])
}

// decodeOpened decodes OPENED: a connection was opened for an attempt.
func (r *Reader) decodeOpened(e *Event) (err error) {
	e.Kind = Opened
	if err := r.decodeInstance(e, 6); err != nil {
		return err
	}
	if e.ID, err = parseID(r.fields[2]); err != nil {
		return err
	}
	if e.Number, err = parseInt(r.fields[3]); err != nil {
		return err
	}
	e.Elapsed, err = parseSeconds(r.fields[5])
	return err
}

// decodeProbeResult decodes PING_RESULT, the result of a probe.
func (r *Reader) decodeProbeResult(e *Event) (err error) {
	e.Kind = ProbeResult
	if err := r.decodeInstance(e, 6); err != nil {
		return err
	}
	if err := r.decodeResult(r.fields[3], e); err != nil {
		return err
	}
	e.Elapsed, err = parseSeconds(r.fields[4])
	return err
}

func parseID(field []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(field), 10, 63)
	if err != nil {
		return 0, fmt.Errorf("field %q, want a whole number", field)
	}
	return n, nil
}

func parseInt(field []byte) (int, error) {
	n, err := strconv.ParseUint(string(field), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("field %q, want a whole number", field)
	}
	return int(n), nil
}

// absent reports whether a field is "-", which stands for a missing value.
func absent(field []byte) bool { return len(field) == 1 && field[0] == '-' }

func parseOptionalInt(field []byte) (int, error) {
	if absent(field) {
		return 0, nil
	}
	return parseInt(field)
}

// maxSeconds is the largest absolute value of a time. It is well within the range of
// time.Duration.
const maxSeconds = 4e9

// parseSeconds parses a time in seconds, with microsecond precision.
func parseSeconds(field []byte) (time.Duration, error) {
	f, err := strconv.ParseFloat(string(field), 64)
	if err != nil || math.IsNaN(f) || f < -maxSeconds || f > maxSeconds {
		return 0, fmt.Errorf("field %q, want a time in seconds", field)
	}
	return time.Duration(math.Round(f*1e6)) * time.Microsecond, nil
}

func parseOptionalSeconds(field []byte) (time.Duration, error) {
	if absent(field) {
		return 0, nil
	}
	return parseSeconds(field)
}
