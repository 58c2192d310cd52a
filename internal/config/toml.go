package config

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
type Faults []Fault

func (fs Faults) Error() string {
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
	faults Faults
}

// parse reads the text of a file. A file that is no TOML has one fault.
func parse(file string, text []byte) (*document, *table, error) {
	d := &document{file: file, lines: map[string]int{}}
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		f := Fault{File: file, Found: strings.TrimPrefix(err.Error(), "toml: "), Want: "TOML 1.0"}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			f.Line, _ = de.Position()
		}
		return nil, nil, Faults{f}
	}
	d.locate(text)
	return d, &table{doc: d, values: tree}, nil
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
			path = join(path, string(it.Node().Data))
			if it.IsLast() && last != nil {
				path = last(path)
			}
			note(path, line(it.Node()))
			// Below a list of tables a key belongs to the last of them.
			if n := counts[path]; n > 0 && !it.IsLast() {
				path = index(path, n-1)
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
					note(index(path, i), line(it.Node()))
				}
				value(index(path, i), it.Node())
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
				return index(path, counts[path]-1)
			})
		case unstable.KeyValue:
			value(keys(prefix, e, nil), e.Value())
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

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

// err is all that has been booked, or nil.
func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

// table is a table of the file. Its methods return the value under a key, or
// the default where it is missing or, with a fault booked, wrong.
type table struct {
	doc    *document
	path   string
	values map[string]any
	asked  []string
}

func (t *table) at(key string) string { return join(t.path, key) }

func (t *table) get(key string) (any, bool) {
	t.asked = append(t.asked, key)
	v, ok := t.values[key]
	return v, ok
}

func (t *table) has(key string) bool { _, ok := t.values[key]; return ok }

func (t *table) fault(key string, found any, want string) {
	t.doc.fault(t.at(key), show(found), want)
}

// end books the keys that nobody has asked for.
func (t *table) end() {
	for key, v := range t.values {
		if !slices.Contains(t.asked, key) {
			t.fault(key, v, "one of "+strings.Join(t.asked, ", "))
		}
	}
}

// show words a value as it might stand in the file.
func show(v any) string {
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

func (t *table) text(key, without string) string {
	v, ok := t.get(key)
	if !ok {
		return without
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.fault(key, v, "a text in quotes")
		return without
	}
	return s
}

// oneOf is a text that must be one of some.
func (t *table) oneOf(key, without string, among ...string) string {
	s := t.text(key, without)
	if !slices.Contains(among, s) {
		t.fault(key, s, "one of "+strings.Join(among, ", "))
		return without
	}
	return s
}

func (t *table) flag(key string, without bool) bool {
	v, ok := t.get(key)
	if !ok {
		return without
	}
	b, ok := v.(bool)
	if !ok {
		t.fault(key, v, "true or false")
	}
	return b
}

func (t *table) whole(key string, without, least, most int) int {
	v, ok := t.get(key)
	if !ok {
		return without
	}
	n, ok := v.(int64)
	if !ok || n < int64(least) || n > int64(most) {
		t.fault(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
		return without
	}
	return int(n)
}

func (t *table) number(key string, without, least, most float64) float64 {
	v, ok := t.get(key)
	if !ok {
		return without
	}
	x, ok := v.(float64)
	if n, whole := v.(int64); whole {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < least || x > most {
		t.fault(key, v, fmt.Sprintf("a number from %v to %v", least, most))
		return without
	}
	return x
}

// longest bounds every time in a file: longer ones are slips.
const longest = 24 * time.Hour

func (t *table) time(key string, without, least time.Duration) time.Duration {
	v, ok := t.get(key)
	if !ok {
		return without
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > longest {
		t.fault(key, v, fmt.Sprintf("a time with its unit, as \"250ms\", from %v to %v", least, longest))
		return without
	}
	return d
}

var units = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func (t *table) bytes(key string, without, least int64) int64 {
	v, ok := t.get(key)
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
	t.fault(key, v, fmt.Sprintf("a size with its unit, as \"64 KiB\", of %s at least", size(least)))
	return without
}

// size words a number of bytes.
func size(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + " " + u.name
		}
	}
	return strconv.FormatInt(n, 10) + " B"
}

func (t *table) texts(key string) (all []string) {
	v, ok := t.get(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.fault(key, v, "a list of texts")
		return nil
	}
	for i, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			t.doc.fault(index(t.at(key), i), show(v), "a text in quotes")
			continue
		}
		all = append(all, s)
	}
	return all
}

// table is the table under a key; without one it is empty.
func (t *table) table(key string) *table {
	sub := &table{doc: t.doc, path: t.at(key), values: map[string]any{}}
	if v, ok := t.get(key); ok {
		if sub.values, ok = v.(map[string]any); !ok {
			t.fault(key, v, "a table")
		}
	}
	return sub
}

// tables are the tables under a key that holds one for each name, by name.
func (t *table) tables(key string) (names []string, subs map[string]*table) {
	all := t.table(key)
	subs = map[string]*table{}
	for name := range all.values {
		if !goodName(name) {
			all.fault(name, name, "a name of letters, digits, - and _, 64 at most")
			continue
		}
		names = append(names, name)
		subs[name] = all.table(name)
	}
	slices.Sort(names)
	return names, subs
}

// list are the tables of a list of tables.
func (t *table) list(key string) (all []*table) {
	v, ok := t.get(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.fault(key, v, "a list of tables, [["+key+"]]")
		return nil
	}
	for i, v := range list {
		path := index(t.at(key), i)
		values, ok := v.(map[string]any)
		if !ok {
			t.doc.fault(path, show(v), "a table")
			continue
		}
		all = append(all, &table{doc: t.doc, path: path, values: values})
	}
	return all
}

// goodName tells whether s can name a thing in a file, in logs and in metrics.
func goodName(s string) bool {
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
