// Package trace reads recorded traffic: access logs of web servers, CSV and JSON
// lines. It reads line by line, in constant memory however long a trace is, and
// gives the requests back in order with the times at which they are due.
package trace

import (
	"bufio"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"gorselink/traffic"
)

// Record is one request of a trace.
type Record struct {
	Line   int
	At     time.Time     // of the recording; zero where the trace has due times
	Due    time.Duration // since the first record, below 0 for one from before it
	Coarse bool          // At has whole seconds only
	Method string
	Host   string
	Path   string // with the query
	Class  string
	Body   int // bytes
}

// Format is the form of a trace.
type Format int

const (
	// AccessLog is the Common Log Format and the Combined one of web servers:
	//
	//	127.0.0.1 - - [29/Nov/2026:11:00:00 +0700] "GET /receipt/1 HTTP/1.1" 200 512 "ref" "agent"
	AccessLog Format = iota
	// CSV has a head that names its columns: due (seconds, with fractions) or
	// time (RFC 3339), path, and any of method, host, class, body.
	CSV
	// JSONLines has an object a line with the same names.
	JSONLines
)

// ParseFormat reads the name of a format.
func ParseFormat(s string) (Format, error) {
	for f, name := range [...]string{"log", "csv", "jsonl"} {
		if s == name {
			return Format(f), nil
		}
	}
	return 0, fmt.Errorf("trace format %q, want log, csv or jsonl", s)
}

// Bounds of a trace's lines.
const (
	maxLine = 64 << 10 // bytes of a line
	maxSize = 64 << 20 // bytes of a body that a line can ask for
)

// BadLine tells of a line that was skipped.
type BadLine struct {
	Line int
	Err  error
}

func (e *BadLine) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }
func (e *BadLine) Unwrap() error { return e.Err }

// ErrTooBad tells that more lines were bad than may be.
var ErrTooManyBadLines = errors.New("too many bad lines")

// Reader reads the records of a trace one by one, in constant memory.
type Reader struct {
	format  Format
	lines   *bufio.Scanner
	line    int
	columns []string // of a CSV
	skip    float64  // share of lines that may be bad
	bad     int
	onBad   func(*BadLine)
	begin   time.Time // of times that are no due times
	began   bool
}

// leastLines is how many lines must be read before a share of them means
// anything: one bad line of the first three is no bad trace.
const leastLines = 100

// NewReader returns a Reader of in. A share of at most skip of its lines may be
// bad; each is told to onBad, which may be nil, and skipped. Beyond it Next
// fails with ErrTooBad.
func NewReader(in io.Reader, f Format, skip float64, onBad func(*BadLine)) *Reader {
	r := &Reader{format: f, lines: bufio.NewScanner(in), skip: skip, onBad: onBad}
	r.lines.Buffer(make([]byte, 0, 4096), maxLine)
	return r
}

// Bad is how many lines have been skipped, of how many.
func (r *Reader) Bad() (bad, of int) { return r.bad, r.line }

// Next returns the next record. It is io.EOF after the last one.
func (r *Reader) Next() (Record, error) {
	for r.lines.Scan() {
		r.line++
		text := strings.TrimSuffix(r.lines.Text(), "\r")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if r.format == CSV && r.columns == nil {
			if err := r.head(text); err != nil {
				return Record{}, &BadLine{r.line, err}
			}
			continue
		}
		rec, err := r.parse(text)
		if err == nil {
			rec.Line = r.line
			return rec, nil
		}
		r.bad++
		if r.onBad != nil {
			r.onBad(&BadLine{r.line, err})
		}
		if r.line >= leastLines && float64(r.bad) > r.skip*float64(r.line) {
			return Record{}, fmt.Errorf("%w: %d of %d, %v may be; the last: line %d: %w", ErrTooManyBadLines, r.bad, r.line, r.skip, r.line, err)
		}
	}
	if err := r.lines.Err(); err != nil {
		return Record{}, &BadLine{r.line + 1, err}
	}
	if r.bad > 0 && float64(r.bad) > r.skip*float64(r.line) && r.line < leastLines {
		return Record{}, fmt.Errorf("%w: %d of %d, %v may be", ErrTooManyBadLines, r.bad, r.line, r.skip)
	}
	return Record{}, io.EOF
}

func (r *Reader) parse(text string) (Record, error) {
	var rec Record
	var err error
	switch r.format {
	case AccessLog:
		rec, err = parseAccess(text)
	case CSV:
		rec, err = r.parseCSV(text)
	default:
		rec, err = parseJSON(text)
	}
	if err != nil {
		return Record{}, err
	}
	return rec, r.finish(&rec)
}

// finish checks what all formats have, and counts times from the first one.
func (r *Reader) finish(rec *Record) error {
	if rec.Method == "" {
		rec.Method = "GET"
	}
	if strings.ToUpper(rec.Method) != rec.Method || strings.ContainsAny(rec.Method, " \t\"") || len(rec.Method) > 20 {
		return fmt.Errorf("method %.20q, want capital letters", rec.Method)
	}
	if !strings.HasPrefix(rec.Path, "/") || strings.ContainsFunc(rec.Path, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return fmt.Errorf("path %.60q, want a slash first and no spaces", rec.Path)
	}
	if strings.ContainsFunc(rec.Host+rec.Class, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
		return fmt.Errorf("host %.60q and class %.60q, want letters, digits and signs", rec.Host, rec.Class)
	}
	if rec.Body < 0 || rec.Body > maxSize {
		return fmt.Errorf("body %d, want 0 to %d bytes", rec.Body, maxSize)
	}
	if !rec.At.IsZero() {
		if !r.began {
			r.begin, r.began = rec.At, true
		}
		rec.Due = rec.At.Sub(r.begin)
	}
	if rec.Due > traffic.MaxSpan || rec.Due < -traffic.MaxSpan {
		return fmt.Errorf("due %v after the begin, want %v at most", rec.Due, traffic.MaxSpan)
	}
	return nil
}

// clfTime is the time of the Common Log Format.
const clfTime = "02/Jan/2006:15:04:05 -0700"

// parseAccess reads a line of the Common or Combined Log Format.
func parseAccess(text string) (rec Record, err error) {
	_, rest, ok := strings.Cut(text, " [")
	stamp, rest, ok2 := strings.Cut(rest, "] \"")
	if !ok || !ok2 {
		return rec, errors.New(`no [time] "request"`)
	}
	if rec.At, err = time.Parse(clfTime, stamp); err != nil {
		return rec, fmt.Errorf("time %.40q, want as 29/Nov/2026:11:00:00 +0700", stamp)
	}
	request, _, ok := cutQuoted(rest)
	if !ok {
		return rec, errors.New("a request without a closing quote")
	}
	words := strings.Split(request, " ")
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/") {
		return rec, fmt.Errorf("request %.60q, want method, path and HTTP/1.1", request)
	}
	rec.Method, rec.Path, rec.Coarse = words[0], words[1], true
	if scheme, after, absolute := strings.Cut(rec.Path, "://"); absolute && scheme == "http" {
		host, path, _ := strings.Cut(after, "/")
		rec.Host, rec.Path = host, "/"+path
	}
	return rec, nil
}

// cutQuoted cuts s at the first quote that is not escaped.
func cutQuoted(s string) (before, after string, ok bool) {
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// head reads the names of a CSV's columns.
func (r *Reader) head(text string) error {
	names, err := fields(text)
	if err != nil {
		return err
	}
	has := map[string]bool{}
	for i, name := range names {
		names[i] = strings.ToLower(strings.TrimSpace(name))
		has[names[i]] = true
	}
	if !has["path"] || has["due"] == has["time"] {
		return fmt.Errorf("columns %.80q, want path and one of due and time, then any of method, host, class, body", names)
	}
	r.columns = names
	return nil
}

func fields(text string) ([]string, error) {
	c := csv.NewReader(strings.NewReader(text))
	return c.Read()
}

func (r *Reader) parseCSV(text string) (rec Record, err error) {
	values, err := fields(text)
	if err != nil {
		return rec, errors.New("no line of a CSV: a quote is missing, or stands inside a field")
	}
	if len(values) != len(r.columns) {
		return rec, fmt.Errorf("%d fields, want %d", len(values), len(r.columns))
	}
	for i, name := range r.columns {
		if err := rec.set(name, values[i]); err != nil {
			return rec, err
		}
	}
	return rec, nil
}

func (rec *Record) set(name, value string) (err error) {
	switch name {
	case "due":
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("due %.40q, want seconds", value)
		}
		return rec.due(seconds)
	case "time":
		if rec.At, err = time.Parse(time.RFC3339Nano, value); err != nil {
			return fmt.Errorf("time %.40q, want as 2026-11-29T11:00:00.25+07:00", value)
		}
	case "body":
		if rec.Body, err = strconv.Atoi(value); err != nil && value != "" {
			return fmt.Errorf("body %.40q, want bytes", value)
		}
	case "path":
		rec.Path = value
	case "method":
		rec.Method = value
	case "host":
		rec.Host = value
	case "class":
		rec.Class = value
	}
	return nil
}

func (rec *Record) due(seconds float64) error {
	if !(math.Abs(seconds) <= traffic.MaxSpan.Seconds()) {
		return fmt.Errorf("due %v, want seconds up to %v", seconds, traffic.MaxSpan.Seconds())
	}
	rec.Due = time.Duration(math.Round(seconds * float64(time.Second)))
	return nil
}

func parseJSON(text string) (rec Record, err error) {
	var v struct {
		Due    *float64
		Time   *time.Time
		Method string
		Host   string
		Path   string
		Class  string
		Body   int
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return rec, err
	}
	rec = Record{Method: v.Method, Host: v.Host, Path: v.Path, Class: v.Class, Body: v.Body}
	switch {
	case (v.Due == nil) == (v.Time == nil):
		return rec, errors.New("want one of due and time")
	case v.Time != nil:
		rec.At = *v.Time
	default:
		err = rec.due(*v.Due)
	}
	return rec, err
}
