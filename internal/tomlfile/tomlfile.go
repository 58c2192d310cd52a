// Package tomlfile reads TOML files and validates their values. It collects all
// errors of a file, including unknown keys, with their line and key.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	toml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is one invalid or missing value in a file.
type Error struct {
	File  string
	Line  int // from 1; 0 if unknown
	Key   string
	Found string // "" if the value is missing
	Want  string
}

func (e Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	if e.Found != "" {
		text += ": found " + e.Found
	} else {
		text += ": missing"
	}
	return text + ", want " + e.Want
}

// Errors are all errors of a file, sorted by line.
type Errors []Error

func (errs Errors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// document holds what the tables of one file share: the line of each value and
// the errors found.
type document struct {
	file   string
	lines  map[string]int // lines of keys and list elements by path
	errors Errors
}

// Parse parses a TOML file and returns its top-level table. file is the name used in
// errors. Text that is not valid TOML gives a single error.
func Parse(file string, text []byte) (*Table, error) {
	d := &document{file: file, lines: map[string]int{}}
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		e := Error{File: file, Found: strings.TrimPrefix(err.Error(), "toml: "), Want: "TOML 1.0"}
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			e.Line, _ = decodeErr.Position()
		}
		return nil, Errors{e}
	}
	d.recordLines(text)
	return &Table{doc: d, values: tree}, nil
}

// recordLines records the line of every key and list element. The decoder reports
// lines only in its own errors, so the text is parsed again with the library's
// parser.
func (d *document) recordLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	prefix, counts := "", map[string]int{}
	line := func(n *unstable.Node) int { return p.Shape(n.Raw).Start.Line }
	record := func(path string, lineNumber int) {
		if _, ok := d.lines[path]; !ok && lineNumber > 0 {
			d.lines[path] = lineNumber
		}
	}
	keys := func(base string, n *unstable.Node, last func(path string) string) string {
		path := base
		for it := n.Key(); it.Next(); {
			path = JoinPath(path, string(it.Node().Data))
			if it.IsLast() && last != nil {
				path = last(path)
			}
			record(path, line(it.Node()))
			// A key below a list of tables refers to the last table so far.
			if n := counts[path]; n > 0 && !it.IsLast() {
				path = ElementPath(path, n-1)
			}
		}
		return path
	}
	var value func(path string, v *unstable.Node)
	value = func(path string, v *unstable.Node) {
		switch v.Kind {
		case unstable.Array:
			i := 0
			for it := v.Children(); it.Next(); {
				if it.Node().Kind == unstable.Comment {
					continue
				}
				if it.Node().Kind != unstable.Array {
					record(ElementPath(path, i), line(it.Node()))
				}
				value(ElementPath(path, i), it.Node())
				i++
			}
		case unstable.InlineTable:
			for it := v.Children(); it.Next(); {
				if it.Node().Kind == unstable.KeyValue {
					value(keys(path, it.Node(), nil), it.Node().Value())
				}
			}
		}
	}
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			prefix = keys("", e, nil)
		case unstable.ArrayTable:
			prefix = keys("", e, func(path string) string {
				counts[path]++
				return ElementPath(path, counts[path]-1)
			})
		case unstable.KeyValue:
			value(keys(prefix, e, nil), e.Value())
		}
	}
}

// JoinPath returns the path of a key in the table at path.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// ElementPath returns the path of an element of the list at path.
func ElementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// addError records an error at a path. If the path is not in the file, the line
// is that of the closest enclosing table or list.
func (d *document) addError(path, found, want string) {
	e := Error{File: d.file, Key: path, Found: found, Want: want}
	for ancestor := path; ancestor != "" && e.Line == 0; {
		e.Line = d.lines[ancestor]
		ancestor = ancestor[:max(0, strings.LastIndexAny(ancestor, ".["))]
	}
	d.errors = append(d.errors, e)
}

// Err returns all errors recorded for the file as Errors, or nil.
func (t *Table) Err() error {
	d := t.doc
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return d.errors
}

// Table is a table of the file. Its accessors return the value of a key, or the
// fallback if the key is missing. For an invalid value they record an error and
// return the fallback.
type Table struct {
	doc      *document
	path     string
	values   map[string]any
	readKeys []string
}

// KeyPath returns the path of a key of t.
func (t *Table) KeyPath(key string) string { return JoinPath(t.path, key) }

// Get returns the value of a key without validation, and whether the key is present.
// Like all accessors except Has, it marks the key as known.
func (t *Table) Get(key string) (any, bool) {
	t.readKeys = append(t.readKeys, key)
	v, ok := t.values[key]
	return v, ok
}

// Has reports whether a key is present, without marking it as known.
func (t *Table) Has(key string) bool { _, ok := t.values[key]; return ok }

// AddErrorAt records an error at a path of the file.
func (t *Table) AddErrorAt(path, found, want string) { t.doc.addError(path, found, want) }

// EmptyTable returns an empty table at a path of the file of t.
func (t *Table) EmptyTable(path string) *Table {
	return &Table{doc: t.doc, path: path, values: map[string]any{}}
}

// AddError records an error for the value of a key.
func (t *Table) AddError(key string, found any, want string) {
	t.AddErrorAt(t.KeyPath(key), FormatValue(found), want)
}

// RejectUnknownKeys records an error for each key of t that no accessor has read.
func (t *Table) RejectUnknownKeys() {
	for key, v := range t.values {
		if !slices.Contains(t.readKeys, key) {
			t.AddError(key, v, "one of the keys "+strings.Join(t.readKeys, ", "))
		}
	}
}

// FormatValue returns a short text for a value in an error, "" for nil.
func FormatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return fmt.Sprintf("%.60q", v)
	case []any:
		return fmt.Sprintf("a list of %d elements", len(v))
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%.60s", fmt.Sprint(v))
}

// Text reads a non-empty string.
func (t *Table) Text(key, fallback string) string {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.AddError(key, v, "a non-empty string")
		return fallback
	}
	return s
}

// OneOf reads a string that must be one of allowed.
func (t *Table) OneOf(key, fallback string, allowed ...string) string {
	s := t.Text(key, fallback)
	if !slices.Contains(allowed, s) {
		t.AddError(key, s, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return s
}

// Bool reads a boolean. For an invalid value it returns false, not the fallback.
func (t *Table) Bool(key string, fallback bool) bool {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	b, ok := v.(bool)
	if !ok {
		t.AddError(key, v, "true or false")
	}
	return b
}

// Integer reads an integer from minimum to maximum.
func (t *Table) Integer(key string, fallback, minimum, maximum int) int {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < int64(minimum) || n > int64(maximum) {
		t.AddError(key, v, fmt.Sprintf("an integer from %d to %d", minimum, maximum))
		return fallback
	}
	return int(n)
}

// Number reads an integer or floating-point number from minimum to maximum.
func (t *Table) Number(key string, fallback, minimum, maximum float64) float64 {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	x, ok := v.(float64)
	if n, whole := v.(int64); whole {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < minimum || x > maximum {
		t.AddError(key, v, fmt.Sprintf("a number from %v to %v", minimum, maximum))
		return fallback
	}
	return x
}

// maxDuration bounds all durations in a file; longer ones are probably mistakes.
const maxDuration = 24 * time.Hour

// Duration reads a duration in the notation of time.ParseDuration, of at
// least minimum.
func (t *Table) Duration(key string, fallback, minimum time.Duration) time.Duration {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < minimum || d > maxDuration {
		t.AddError(key, v, fmt.Sprintf("a duration with a unit, such as \"250ms\", from %v to %v", minimum, maxDuration))
		return fallback
	}
	return d
}

// sizeUnits are the units of sizes, the largest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Bytes reads a size in bytes with a unit, of at least minimum.
func (t *Table) Bytes(key string, fallback, minimum int64) int64 {
	v, ok := t.Get(key)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	for _, u := range sizeUnits {
		text, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes || n*u.bytes < minimum {
			break
		}
		return n * u.bytes
	}
	t.AddError(key, v, fmt.Sprintf("a size with a unit, such as \"64 KiB\", of at least %s", FormatSize(minimum)))
	return fallback
}

// FormatSize formats a number of bytes with the largest unit that divides it.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + " " + u.name
		}
	}
	return strconv.FormatInt(n, 10) + " B"
}

// TextList reads a list of non-empty strings. Invalid elements are left out.
func (t *Table) TextList(key string) (texts []string) {
	v, ok := t.Get(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.AddError(key, v, "a list of strings")
		return nil
	}
	for i, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			t.AddErrorAt(ElementPath(t.KeyPath(key), i), FormatValue(v), "a non-empty string")
			continue
		}
		texts = append(texts, s)
	}
	return texts
}

// Table returns the table of a key, which is empty if the key is missing.
func (t *Table) Table(key string) *Table {
	sub := t.EmptyTable(t.KeyPath(key))
	if v, ok := t.Get(key); ok {
		if sub.values, ok = v.(map[string]any); !ok {
			t.AddError(key, v, "a table")
		}
	}
	return sub
}

// NamedTables reads a table that maps names to tables. It returns the sorted names
// and the tables by name.
func (t *Table) NamedTables(key string) (names []string, tables map[string]*Table) {
	table := t.Table(key)
	tables = map[string]*Table{}
	for name := range table.values {
		if !ValidName(name) {
			table.AddError(name, name, "a name of 1 to 64 letters, digits, - and _")
			continue
		}
		names = append(names, name)
		tables[name] = table.Table(name)
	}
	slices.Sort(names)
	return names, tables
}

// TableList reads a list of tables. Elements that are not tables are left out.
func (t *Table) TableList(key string) (tables []*Table) {
	v, ok := t.Get(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.AddError(key, v, "a list of tables, [["+key+"]]")
		return nil
	}
	for i, v := range list {
		path := ElementPath(t.KeyPath(key), i)
		values, ok := v.(map[string]any)
		if !ok {
			t.AddErrorAt(path, FormatValue(v), "a table")
			continue
		}
		tables = append(tables, &Table{doc: t.doc, path: path, values: values})
	}
	return tables
}

// ValidName reports whether s is usable as a name in files, logs and metrics: 1 to
// 64 ASCII letters, digits, hyphens and underscores.
func ValidName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
