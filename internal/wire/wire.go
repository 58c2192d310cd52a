// Package wire reads the simulator's events and writes its actions. It
// decides nothing. Anything malformed is an error that names the line.
package wire

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

// The kinds of event, in the order of their words in kinds.
const (
	Batch   Kind = iota // a batch starts; Now is set
	EndOf               // a batch ends and wants its reply
	Start               // an instance starts
	Stop                // an instance is killed
	Members             // news of the endpoint list
	Request
	Opened
	Outcome
	Withdrawn
	Timer
	Probed
	Peer
)

// banks is how many numbered lists there are.
const banks = 16

// Event is one event. Which fields are set depends on Kind.
type Event struct {
	Kind     Kind
	Now      time.Duration
	Instance int
	Seed     uint64
	Settings string
	ID       uint64 // request, or the token of a timer
	Class    int
	Tenant   int
	Flags    int
	Budget   time.Duration
	Number   int // of the attempt
	Result   balance.Result
	Elapsed  time.Duration
	Over     bool
	ListKind balance.ListKind
	List     []balance.Endpoint // valid until its bank is defined anew
}

// Reader reads events.
type Reader struct {
	in      *bufio.Reader
	line    int
	inBatch bool
	fields  [][]byte
	banks   [banks][]balance.Endpoint
	known   [banks]bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// Next reads the next event into e. It returns io.EOF at the end of the
// input between batches.
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

func (r *Reader) read() ([]byte, error) {
	text, err := r.in.ReadSlice('\n')
	if err == io.EOF && len(text) == 0 && !r.inBatch {
		return nil, io.EOF
	}
	r.line++
	if err == io.EOF {
		return nil, fmt.Errorf("line %d: input ends inside a batch or line", r.line)
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return bytes.TrimSuffix(text, []byte("\n")), nil
}

func (r *Reader) decode(text []byte, e *Event) error {
	word, rest, _ := bytes.Cut(text, []byte(" "))
	if string(word) == "MARK" {
		return r.mark(rest, e)
	}
	if !r.inBatch {
		return fmt.Errorf("%q outside a batch, want MARK", word)
	}
	now := e.Now
	*e = Event{Now: now}
	if string(word) == "BORN" {
		return decodeBorn(rest, e)
	}
	r.split(text)
	switch string(word) {
	case "GO":
		e.Kind = EndOf
		r.inBatch = false
		return r.want(1)
	case "MANIFEST":
		return r.manifest(e)
	case "VIEW":
		return r.view(e)
	case "ARRIVAL":
		return r.arrival(e)
	case "REPLY":
		return r.reply(e)
	case "TIMER":
		e.Kind = Timer
		return r.plain(e, 3)
	case "WITHDRAWN":
		e.Kind = Withdrawn
		return r.plain(e, 3)
	case "KILLED":
		e.Kind = Stop
		return r.plain(e, 2)
	case "OPENED":
		return r.opened(e)
	case "PING_RESULT":
		return r.probed(e)
	case "INBOX":
		e.Kind = Peer
		return r.instance(e, 4)
	}
	return fmt.Errorf("unknown event %q", word)
}

func (r *Reader) mark(rest []byte, e *Event) error {
	if r.inBatch {
		return errors.New("MARK inside a batch, want an event or GO")
	}
	now, err := seconds(rest)
	if err != nil {
		return err
	}
	*e = Event{Kind: Batch, Now: now}
	r.inBatch = true
	return nil
}

func decodeBorn(rest []byte, e *Event) error {
	parts := strings.SplitN(string(rest), " ", 3)
	if len(parts) != 3 {
		return errors.New("BORN: want an instance, a seed and settings")
	}
	e.Kind = Start
	var err error
	if e.Instance, err = integer([]byte(parts[0])); err != nil {
		return err
	}
	if e.Seed, err = strconv.ParseUint(parts[1], 10, 64); err != nil {
		return fmt.Errorf("BORN: seed %q, want a whole number", parts[1])
	}
	e.Settings = parts[2]
	return nil
}

// split cuts text into r.fields at its spaces.
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

func (r *Reader) want(n int) error {
	if len(r.fields) != n {
		return fmt.Errorf("%s: %d parts, want %d", r.fields[0], len(r.fields), n)
	}
	return nil
}

// instance reads the instance of a line of n parts.
func (r *Reader) instance(e *Event, n int) (err error) {
	if err := r.want(n); err != nil {
		return err
	}
	e.Instance, err = integer(r.fields[1])
	return err
}

// plain reads a line that holds an instance and at most an id.
func (r *Reader) plain(e *Event, n int) (err error) {
	if err := r.instance(e, n); err != nil || n == 2 {
		return err
	}
	e.ID, err = id(r.fields[2])
	return err
}

func (r *Reader) bank(field []byte) (int, error) {
	n, err := integer(field)
	if err == nil && n >= banks {
		err = fmt.Errorf("list number %d, want 0 to %d", n, banks-1)
	}
	return n, err
}

func (r *Reader) manifest(e *Event) error {
	if err := r.want(3); err != nil {
		return err
	}
	n, err := r.bank(r.fields[1])
	if err != nil {
		return err
	}
	count, err := integer(r.fields[2])
	if err != nil {
		return err
	}
	list := r.banks[n][:0]
	for range count {
		text, err := r.read()
		if err != nil {
			return err
		}
		r.split(text)
		item, err := r.item()
		if err != nil {
			return err
		}
		list = append(list, item)
	}
	r.banks[n], r.known[n] = list, true
	return r.following(e)
}

// following reads the event that follows a list.
func (r *Reader) following(e *Event) error {
	text, err := r.read()
	if err != nil {
		return err
	}
	return r.decode(text, e)
}

func (r *Reader) item() (item balance.Endpoint, err error) {
	if string(r.fields[0]) != "ITEM" {
		return item, fmt.Errorf("%q, want ITEM", r.fields[0])
	}
	if err := r.want(8); err != nil {
		return item, err
	}
	item.Addr = string(r.fields[2])
	state, err := integer(r.fields[4])
	if err != nil {
		return item, err
	}
	switch state {
	case 0:
		item.State = balance.Gone
	case 1:
		item.State = balance.Draining
	case 3:
		item.State = balance.Ready
	default:
		return item, fmt.Errorf("ITEM: availability %d, want 0, 1 or 3", state)
	}
	if item.Zone, err = optionalInt(r.fields[5]); err != nil {
		return item, err
	}
	if item.Since, err = optionalSeconds(r.fields[6]); err != nil {
		return item, err
	}
	item.Cell, err = optionalInt(r.fields[7])
	return item, err
}

func (r *Reader) view(e *Event) error {
	e.Kind = Members
	if err := r.instance(e, 5); err != nil {
		return err
	}
	scope, err := integer(r.fields[2])
	if err != nil {
		return err
	}
	if scope > int(balance.ListFailed) {
		return fmt.Errorf("VIEW: scope %d, want 0 to 3", scope)
	}
	e.ListKind = balance.ListKind(scope)
	if e.ListKind == balance.ListFailed {
		return nil
	}
	n, err := r.bank(r.fields[4])
	if err != nil {
		return err
	}
	if !r.known[n] {
		return fmt.Errorf("VIEW: list %d was never given", n)
	}
	e.List = r.banks[n]
	return nil
}

func (r *Reader) arrival(e *Event) (err error) {
	e.Kind = Request
	if err := r.instance(e, 9); err != nil {
		return err
	}
	if e.ID, err = id(r.fields[2]); err != nil {
		return err
	}
	if e.Class, err = integer(r.fields[3]); err != nil {
		return err
	}
	if e.Tenant, err = optionalInt(r.fields[4]); err != nil {
		return err
	}
	if e.Budget, err = seconds(r.fields[6]); err != nil {
		return err
	}
	if _, err = optionalSeconds(r.fields[7]); err != nil {
		return err
	}
	e.Flags, err = optionalInt(r.fields[8])
	return err
}

var results = map[string]balance.Result{
	"GOOD": balance.OK, "BAD": balance.Error, "FULL": balance.Overloaded, "LATE": balance.Timeout,
	"NOCONN": balance.ConnectError, "RST": balance.Reset, "CXL": balance.Cancelled, "NOP": balance.NotSent,
}

func (r *Reader) result(field []byte, e *Event) error {
	result, ok := results[string(field)]
	if !ok {
		return fmt.Errorf("%s: unknown outcome %q", r.fields[0], field)
	}
	e.Result = result
	return nil
}

func (r *Reader) reply(e *Event) (err error) {
	e.Kind = Outcome
	if err := r.instance(e, 9); err != nil {
		return err
	}
	if e.ID, err = id(r.fields[2]); err != nil {
		return err
	}
	if e.Number, err = integer(r.fields[3]); err != nil {
		return err
	}
	if err := r.result(r.fields[5], e); err != nil {
		return err
	}
	if e.Elapsed, err = seconds(r.fields[6]); err != nil {
		return err
	}
	switch string(r.fields[7]) {
	case "0", "1":
		e.Over = r.fields[7][0] == '1'
		return nil
	}
	return fmt.Errorf("REPLY: over %q, want 0 or 1", r.fields[7])
}

func (r *Reader) opened(e *Event) (err error) {
	e.Kind = Opened
	if err := r.instance(e, 6); err != nil {
		return err
	}
	if e.ID, err = id(r.fields[2]); err != nil {
		return err
	}
	if e.Number, err = integer(r.fields[3]); err != nil {
		return err
	}
	e.Elapsed, err = seconds(r.fields[5])
	return err
}

func (r *Reader) probed(e *Event) (err error) {
	e.Kind = Probed
	if err := r.instance(e, 6); err != nil {
		return err
	}
	if err := r.result(r.fields[3], e); err != nil {
		return err
	}
	e.Elapsed, err = seconds(r.fields[4])
	return err
}

func id(field []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(field), 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%q, want a whole number", field)
	}
	return n, nil
}

func integer(field []byte) (int, error) {
	n, err := strconv.ParseUint(string(field), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%q, want a whole number", field)
	}
	return int(n), nil
}

func absent(field []byte) bool { return len(field) == 1 && field[0] == '-' }

func optionalInt(field []byte) (int, error) {
	if absent(field) {
		return 0, nil
	}
	return integer(field)
}

// maxSeconds keeps a time well inside a time.Duration.
const maxSeconds = 4e9

// seconds reads a time, which the simulator counts in microseconds.
func seconds(field []byte) (time.Duration, error) {
	f, err := strconv.ParseFloat(string(field), 64)
	if err != nil || math.IsNaN(f) || f < -maxSeconds || f > maxSeconds {
		return 0, fmt.Errorf("%q, want a time in seconds", field)
	}
	return time.Duration(math.Round(f*1e6)) * time.Microsecond, nil
}

func optionalSeconds(field []byte) (time.Duration, error) {
	if absent(field) {
		return 0, nil
	}
	return seconds(field)
}
