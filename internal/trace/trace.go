// Package trace reads recorded traffic from access logs of web servers, CSV and JSON
// lines, and returns the requests in the order of their due times. Its memory does not
// grow with the length of a trace.
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
	Line         int
	Time         time.Time     // when it was recorded; zero if the trace has due times
	Due          time.Duration // due time in the trace, or Time since that of the first record; may be negative
	WholeSeconds bool          // Time has a resolution of one second
	Method       string
	Host         string
	Path         string // includes the query
	Class        string
	Body         int // size in bytes
}

// Format is the file format of a trace.
type Format int

const (
	// AccessLog is the Common or Combined Log Format of web servers:
	//
	//	127.0.0.1 - - [29/Nov/2026:11:00:00 +0700] "GET /receipt/1 HTTP/1.1" 200 512 "ref" "agent"
	AccessLog Format = iota
	// CSV has a header row with the column path, either due (seconds, with fractions)
	// or time (RFC 3339), and optionally method, host, class and body.
	CSV
	// JSONLines has one JSON object per line, with the column names of CSV as keys.
	JSONLines
)

// ParseFormat returns the Format named log, csv or jsonl.
func ParseFormat(s string) (Format, error) {
	for f, name := range [...]string{"log", "csv", "jsonl"} {
		if s == name {
			return Format(f), nil
		}
	}
	return 0, fmt.Errorf("trace format %q, want log, csv or jsonl", s)
}

const (
	maxLine = 64 << 10 // maximum length of a line in bytes
	maxBody = 64 << 20 // maximum size of a request body in bytes
)

// BadLineError is the error of a line that could not be parsed.
type BadLineError struct {
	Line int
	Err  error
}

func (e *BadLineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }
func (e *BadLineError) Unwrap() error { return e.Err }

// ErrTooManyBadLines means that the share of bad lines exceeds the limit.
var ErrTooManyBadLines = errors.New("too many bad lines")

// Reader reads the records of a trace in the order of its lines.
type Reader struct {
	format       Format
	lines        *bufio.Scanner
	line         int
	columns      []string // column names of a CSV
	maxBadShare  float64
	badLines     int
	onBad        func(*BadLineError)
	firstTime    time.Time // Time of the first record that has one
	hasFirstTime bool
}

// minLinesForShare is the number of lines from which on the share of bad lines is checked
// at each bad line. A shorter trace is checked at its end.
const minLinesForShare = 100

// NewReader returns a Reader of in. Bad lines are passed to onBad, which may be nil, and
// skipped. If their share exceeds maxBadShare, Next returns ErrTooManyBadLines.
func NewReader(in io.Reader, f Format, maxBadShare float64, onBad func(*BadLineError)) *Reader {
	r := &Reader{format: f, lines: bufio.NewScanner(in), maxBadShare: maxBadShare, onBad: onBad}
	r.lines.Buffer(make([]byte, 0, 4096), maxLine)
	return r
}

// BadLines returns the number of bad lines and of all lines read.
func (r *Reader) BadLines() (bad, total int) { return r.badLines, r.line }

// Next returns the next record, or io.EOF after the last one.
func (r *Reader) Next() (Record, error) {
	for r.lines.Scan() {
		r.line++
		text := strings.TrimSuffix(r.lines.Text(), "\r")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if r.format == CSV && r.columns == nil {
			if err := r.parseHeader(text); err != nil {
				return Record{}, &BadLineError{r.line, err}
			}
			continue
		}
		rec, err := r.parse(text)
		if err == nil {
			rec.Line = r.line
			return rec, nil
		}
		r.badLines++
		if r.onBad != nil {
			r.onBad(&BadLineError{r.line, err})
		}
		if r.line >= minLinesForShare && float64(r.badLines) > r.maxBadShare*float64(r.line) {
			return Record{}, fmt.Errorf("%w: %d of %d, allowed share %v; last one in line %d: %w", ErrTooManyBadLines, r.badLines, r.line, r.maxBadShare, r.line, err)
		}
	}
	if err := r.lines.Err(); err != nil {
		return Record{}, &BadLineError{r.line + 1, err}
	}
	if r.badLines > 0 && float64(r.badLines) > r.maxBadShare*float64(r.line) && r.line < minLinesForShare {
		return Record{}, fmt.Errorf("%w: %d of %d, allowed share %v", ErrTooManyBadLines, r.badLines, r.line, r.maxBadShare)
	}
	return Record{}, io.EOF
}

func (r *Reader) parse(text string) (Record, error) {
	var rec Record
	var err error
	switch r.format {
	case AccessLog:
		rec, err = parseAccessLog(text)
	case CSV:
		rec, err = r.parseCSV(text)
	default:
		rec, err = parseJSON(text)
	}
	if err != nil {
		return Record{}, err
	}
	return rec, r.complete(&rec)
}

// complete checks the fields of a record, sets the default method and computes Due from
// Time if the record has one.
func (r *Reader) complete(rec *Record) error {
	if rec.Method == "" {
		rec.Method = "GET"
	}
	if strings.ToUpper(rec.Method) != rec.Method || strings.ContainsAny(rec.Method, " \t\"") || len(rec.Method) > 20 {
		return fmt.Errorf("method %.20q, want capital letters", rec.Method)
	}
	if !strings.HasPrefix(rec.Path, "/") || strings.ContainsFunc(rec.Path, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return fmt.Errorf("path %.60q, want a leading slash and no spaces or control characters", rec.Path)
	}
	if strings.ContainsFunc(rec.Host+rec.Class, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
		return fmt.Errorf("host %.60q and class %.60q, want printable ASCII characters without spaces", rec.Host, rec.Class)
	}
	if rec.Body < 0 || rec.Body > maxBody {
		return fmt.Errorf("body %d, want 0 to %d bytes", rec.Body, maxBody)
	}
	if !rec.Time.IsZero() {
		if !r.hasFirstTime {
			r.firstTime, r.hasFirstTime = rec.Time, true
		}
		rec.Due = rec.Time.Sub(r.firstTime)
	}
	if rec.Due > traffic.MaxSpan || rec.Due < -traffic.MaxSpan {
		return fmt.Errorf("due %v after the first record, want at most %v before or after it", rec.Due, traffic.MaxSpan)
	}
	return nil
}

// accessLogTime is the time layout of the Common and Combined Log Format.
const accessLogTime = "02/Jan/2006:15:04:05 -0700"

// parseAccessLog parses a line of the Common or Combined Log Format.
func parseAccessLog(text string) (rec Record, err error) {
	_, rest, ok := strings.Cut(text, " [")
	stamp, rest, ok2 := strings.Cut(rest, "] \"")
	if !ok || !ok2 {
		return rec, errors.New(`missing [time] "request"`)
	}
	if rec.Time, err = time.Parse(accessLogTime, stamp); err != nil {
		return rec, fmt.Errorf("time %.40q, want the form 29/Nov/2026:11:00:00 +0700", stamp)
	}
	request, _, ok := cutQuoted(rest)
	if !ok {
		return rec, errors.New("request has no closing quote")
	}
	words := strings.Split(request, " ")
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/") {
		return rec, fmt.Errorf("request %.60q, want method, path and HTTP version", request)
	}
	rec.Method, rec.Path, rec.WholeSeconds = words[0], words[1], true
	if scheme, after, absolute := strings.Cut(rec.Path, "://"); absolute && scheme == "http" {
		host, path, _ := strings.Cut(after, "/")
		rec.Host, rec.Path = host, "/"+path
	}
	return rec, nil
}

// cutQuoted cuts s at the first unescaped quote.
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

// parseHeader reads the column names of a CSV.
func (r *Reader) parseHeader(text string) error {
	names, err := splitCSV(text)
	if err != nil {
		return err
	}
	has := map[string]bool{}
	for i, name := range names {
		names[i] = strings.ToLower(strings.TrimSpace(name))
		has[names[i]] = true
	}
	if !has["path"] || has["due"] == has["time"] {
		return fmt.Errorf("columns %.80q, want path, one of due and time, and optionally method, host, class, body", names)
	}
	r.columns = names
	return nil
}

func splitCSV(text string) ([]string, error) {
	c := csv.NewReader(strings.NewReader(text))
	return c.Read()
}

func (r *Reader) parseCSV(text string) (rec Record, err error) {
	values, err := splitCSV(text)
	if err != nil {
		return rec, errors.New("invalid CSV: a quote is missing or stands inside a field")
	}
	if len(values) != len(r.columns) {
		return rec, fmt.Errorf("%d fields, want %d", len(values), len(r.columns))
	}
	for i, name := range r.columns {
		if err := rec.setField(name, values[i]); err != nil {
			return rec, err
		}
	}
	return rec, nil
}

func (rec *Record) setField(name, value string) (err error) {
	switch name {
	case "due":
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("due %.40q, want seconds", value)
		}
		return rec.setDue(seconds)
	case "time":
		if rec.Time, err = time.Parse(time.RFC3339Nano, value); err != nil {
			return fmt.Errorf("time %.40q, want the form 2026-11-29T11:00:00.25+07:00", value)
		}
	case "body":
		if rec.Body, err = strconv.Atoi(value); err != nil && value != "" {
			return fmt.Errorf("body %.40q, want a number of bytes", value)
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

func (rec *Record) setDue(seconds float64) error {
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
		return rec, errors.New("want exactly one of due and time")
	case v.Time != nil:
		rec.Time = *v.Time
	default:
		err = rec.setDue(*v.Due)
	}
	return rec, err
}
