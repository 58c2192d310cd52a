// Package tomlfile reads a TOML file as tables. It tells everything that is wrong
// with the file at once, with line and key, and keys that nothing heeds too.
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

// Fault is one thing that is wrong with a file.
type Fault struct {
	File  string
	Line  int // from 1; 0 if it stands nowhere
	Key   string
	Found string // "" if something is missing
	Want  string
}

func (f Fault) Error() string {
	s := f.File
	if f.Line > 0 {
		s += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	if f.Found != "" {
		s += ": found " + f.Found
	} else {
		s += ": missing"
	}
	return s + ", want " + f.Want
}

// Faults are all that is wrong with a file, in the order of its lines.
type Errors []Fault

func (fs Errors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// document is a TOML file that is being read. It collects what is wrong, so
// that everything can be told at once, and which keys have been asked for.
type document struct {
	file   string
	lines  map[string]int // of keys and elements, by path
	faults Errors
}

// Parse reads the text of a file. A file that is no TOML has one fault.
func Parse(file string, text []byte) (*Table, error) {
	d := &document{file: file, lines: map[string]int{}}
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		f := Fault{File: file, Found: strings.TrimPrefix(err.Error(), "toml: "), Want: "TOML 1.0"}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			f.Line, _ = de.Position()
		}
		return nil, Errors{f}
	}
	d.locate(text)
	return &Table{doc: d, values: tree}, nil
}

// locate notes the line of every key. The decoder tells them only for errors
// of its own, so the text is read once more, by the same library's parser.
func (d *document) locate(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	prefix, counts := "", map[string]int{}
	line := func(n *unstable.Node) int { return p.Shape(n.Raw).Start.Line }
	note := func(path string, at int) {
		if _, ok := d.lines[path]; !ok && at > 0 {
			d.lines[path] = at
		}
	}
	keys := func(base string, n *unstable.Node, last func(path string) string) string {
		path := base
		for it := n.Key(); it.Next(); {
			path = JoinPath(path, string(it.Node().Data))
			if it.IsLast() && last != nil {
				path = last(path)
			}
			note(path, line(it.Node()))
			// Below a list of tables a key belongs to the last of them.
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
					note(ElementPath(path, i), line(it.Node()))
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

// Join is the path of a key within what has a path.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index is the path of an element of a list.
func ElementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// fault books what is wrong at a path. Where the path itself stands nowhere,
// the line is that of what it would stand in.
func (d *document) fault(path, found, want string) {
	f := Fault{File: d.file, Key: path, Found: found, Want: want}
	for at := path; at != "" && f.Line == 0; {
		f.Line = d.lines[at]
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	d.faults = append(d.faults, f)
}

// Err is all that has been booked for the file, or nil.
func (t *Table) Err() error {
	d := t.doc
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

// Table is a table of the file. Its methods return the value under a key, or
// the default where it is missing or, with a fault booked, wrong.
type Table struct {
	doc    *document
	path   string
	values map[string]any
	asked  []string
}

// At is the path of a key.
func (t *Table) KeyPath(key string) string { return JoinPath(t.path, key) }

// Get is what stands under a key, which may be anything.
func (t *Table) Get(key string) (any, bool) {
	t.asked = append(t.asked, key)
	v, ok := t.values[key]
	return v, ok
}

// Has tells whether something stands under a key.
func (t *Table) Has(key string) bool { _, ok := t.values[key]; return ok }

// Wrong books what is wrong at a path of the file.
func (t *Table) AddErrorAt(path, found, want string) { t.doc.fault(path, found, want) }

// Empty is a table that stands nowhere in the file of t.
func (t *Table) EmptyTable(path string) *Table {
	return &Table{doc: t.doc, path: path, values: map[string]any{}}
}

// Fault books what is wrong with the value of a key.
func (t *Table) AddError(key string, found any, want string) {
	t.AddErrorAt(t.KeyPath(key), FormatValue(found), want)
}

// End books the keys that nobody has asked for.
func (t *Table) RejectUnknownKeys() {
	for key, v := range t.values {
		if !slices.Contains(t.asked, key) {
			t.AddError(key, v, "one of "+strings.Join(t.asked, ", "))
		}
	}
}

// Show words a value as it might stand in the file.
func FormatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return fmt.Sprintf("%.60q", v)
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%.60s", fmt.Sprint(v))
}

// Text is a text that is not empty.
func (t *Table) Text(key, without string) string {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.AddError(key, v, "a text in quotes")
		return without
	}
	return s
}

// OneOf is a text that must be one of some.
func (t *Table) OneOf(key, without string, among ...string) string {
	s := t.Text(key, without)
	if !slices.Contains(among, s) {
		t.AddError(key, s, "one of "+strings.Join(among, ", "))
		return without
	}
	return s
}

// Flag is true or false.
func (t *Table) Bool(key string, without bool) bool {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	b, ok := v.(bool)
	if !ok {
		t.AddError(key, v, "true or false")
	}
	return b
}

// Whole is a whole number within bounds.
func (t *Table) Integer(key string, without, least, most int) int {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	n, ok := v.(int64)
	if !ok || n < int64(least) || n > int64(most) {
		t.AddError(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
		return without
	}
	return int(n)
}

// Number is a number within bounds.
func (t *Table) Number(key string, without, least, most float64) float64 {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	x, ok := v.(float64)
	if n, whole := v.(int64); whole {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < least || x > most {
		t.AddError(key, v, fmt.Sprintf("a number from %v to %v", least, most))
		return without
	}
	return x
}

// longest bounds every time in a file: longer ones are slips.
const longest = 24 * time.Hour

// Time is a time with its unit.
func (t *Table) Duration(key string, without, least time.Duration) time.Duration {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > longest {
		t.AddError(key, v, fmt.Sprintf("a time with its unit, as \"250ms\", from %v to %v", least, longest))
		return without
	}
	return d
}

var units = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Bytes is a size with its unit.
func (t *Table) Bytes(key string, without, least int64) int64 {
	v, ok := t.Get(key)
	if !ok {
		return without
	}
	s, _ := v.(string)
	for _, u := range units {
		text, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes || n*u.bytes < least {
			break
		}
		return n * u.bytes
	}
	t.AddError(key, v, fmt.Sprintf("a size with its unit, as \"64 KiB\", of %s at least", FormatSize(least)))
	return without
}

// Size words a number of bytes.
func FormatSize(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + " " + u.name
		}
	}
	return strconv.FormatInt(n, 10) + " B"
}

// Texts is a list of texts that are not empty.
func (t *Table) TextList(key string) (all []string) {
	v, ok := t.Get(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.AddError(key, v, "a list of texts")
		return nil
	}
	for i, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			t.AddErrorAt(ElementPath(t.KeyPath(key), i), FormatValue(v), "a text in quotes")
			continue
		}
		all = append(all, s)
	}
	return all
}

// Table is the table under a key; without one it is empty.
func (t *Table) Table(key string) *Table {
	sub := t.EmptyTable(t.KeyPath(key))
	if v, ok := t.Get(key); ok {
		if sub.values, ok = v.(map[string]any); !ok {
			t.AddError(key, v, "a table")
		}
	}
	return sub
}

// Tables are the tables under a key that holds one for each name, by name.
func (t *Table) NamedTables(key string) (names []string, subs map[string]*Table) {
	all := t.Table(key)
	subs = map[string]*Table{}
	for name := range all.values {
		if !ValidName(name) {
			all.AddError(name, name, "a name of letters, digits, - and _, 64 at most")
			continue
		}
		names = append(names, name)
		subs[name] = all.Table(name)
	}
	slices.Sort(names)
	return names, subs
}

// List are the tables of a list of tables.
func (t *Table) TableList(key string) (all []*Table) {
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
		all = append(all, &Table{doc: t.doc, path: path, values: values})
	}
	return all
}

// GoodName tells whether s can name a thing in a file, in logs and in metrics.
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
