// Package route says which pool a request belongs to. It is pure: a Table is
// built once from rules and only read after that, by any number of goroutines;
// there is no I/O, clock or order of a map in what it answers.
//
// A rule names a host, the first segments of a path, a method and a class, each
// of which may be left open. Of the rules that match a request the most
// specific one wins: first by host (exact, then the longest wildcard, then
// any), then by the number of path segments, then by method, then by class.
// docs/pools.md weighs this against first-match and host-first tables.
package route

import (
	"errors"
	"fmt"
	"strings"
)

// Rule sends the requests that it matches to a target.
type Rule struct {
	Host   string // "example.org", "*.example.org" for all names below it, or "" for any
	Path   string // "/a/b" matches itself and what is below it; "" or "/" matches all
	Method string // "" for any
	Class  string // the class that the request names, "" for any
	Target int    // what Find returns
}

// Request is what a request is judged by. Host and Path must be in the form
// that the functions of these names return.
type Request struct {
	Host   string
	Path   string
	Method string
	Class  string
}

// Table finds the rule for a request. Its cost hangs on the labels of the host
// and the segments of the path, not on the number of rules. The zero Table
// matches nothing.
type Table struct {
	exact    map[string]*node // by host
	below    map[string]*node // by what follows "*."
	anywhere *node
}

// node is one segment of a path below one host.
type node struct {
	next   map[string]*node
	leaves []leaf // the most specific first: at most one for each method and class
}

type leaf struct {
	method, class string
	target        int
	rule          int
}

// Conflict tells of two rules that nothing tells apart.
type Conflict struct{ First, Second int }

func (c *Conflict) Error() string {
	return fmt.Sprintf("rule %d matches just what rule %d matches", c.Second, c.First)
}

// Invalid tells of a rule that cannot be used.
type Invalid struct {
	Rule  int
	Field string // "host", "path" or "method"
	Err   error
}

func (e *Invalid) Error() string { return fmt.Sprintf("rule %d: %s: %v", e.Rule, e.Field, e.Err) }
func (e *Invalid) Unwrap() error { return e.Err }

// New builds a Table. The error joins an *Invalid or *Conflict for every rule
// that is wrong; with an error there is no Table.
func New(rules []Rule) (*Table, error) {
	t := &Table{exact: map[string]*node{}, below: map[string]*node{}}
	var errs []error
	for i, r := range rules {
		if err := t.add(i, r); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t, nil
}

func (t *Table) add(i int, r Rule) error {
	top, err := t.top(r.Host)
	if err != nil {
		return &Invalid{Rule: i, Field: "host", Err: err}
	}
	path := "/"
	if r.Path != "" {
		if path, err = Path(r.Path); err != nil {
			return &Invalid{Rule: i, Field: "path", Err: err}
		}
	}
	if badByte(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") >= 0 {
		return &Invalid{Rule: i, Field: "method", Err: fmt.Errorf("%.40q, want capital letters", r.Method)}
	}
	if *top == nil {
		*top = &node{}
	}
	at := *top
	for rest := strings.Trim(path, "/"); rest != ""; {
		var seg string
		seg, rest, _ = strings.Cut(rest, "/")
		if at.next == nil {
			at.next = map[string]*node{}
		}
		if at.next[seg] == nil {
			at.next[seg] = &node{}
		}
		at = at.next[seg]
	}
	return at.add(leaf{method: r.Method, class: r.Class, target: r.Target, rule: i})
}

// add puts l before the first leaf that is less specific.
func (n *node) add(l leaf) error {
	place := len(n.leaves)
	for k, o := range n.leaves {
		if o.method == l.method && o.class == l.class {
			return &Conflict{First: o.rule, Second: l.rule}
		}
		if place == len(n.leaves) && o.rank() < l.rank() {
			place = k
		}
	}
	n.leaves = append(n.leaves, leaf{})
	copy(n.leaves[place+1:], n.leaves[place:])
	n.leaves[place] = l
	return nil
}

// rank orders the leaves of a node: a method weighs more than a class.
func (l *leaf) rank() (r int) {
	if l.method != "" {
		r += 2
	}
	if l.class != "" {
		r++
	}
	return r
}

// top is the place of the node for a rule's host.
func (t *Table) top(host string) (**node, error) {
	if host == "" {
		return &t.anywhere, nil
	}
	from := t.exact
	name, wild := strings.CutPrefix(host, "*.")
	if wild {
		from = t.below
	}
	normal, port, err := NormalizeHost(name)
	if err == nil && port != "" {
		err = fmt.Errorf("%.80q has a port, and hosts are matched without it", host)
	}
	if err != nil {
		return nil, err
	}
	n := from[normal]
	if n == nil {
		n = &node{}
		from[normal] = n
	}
	return &n, nil
}

// Find returns the target of the most specific rule that matches, and whether
// there is one.
func (t *Table) Find(r *Request) (target int, ok bool) {
	if l := t.exact[r.Host].find(r); l != nil {
		return l.target, true
	}
	// The longest name below which it stands is the first one met.
	if len(t.below) > 0 {
		for rest := r.Host; ; {
			_, after, more := strings.Cut(rest, ".")
			if !more {
				break
			}
			if l := t.below[after].find(r); l != nil {
				return l.target, true
			}
			rest = after
		}
	}
	if l := t.anywhere.find(r); l != nil {
		return l.target, true
	}
	return 0, false
}

// find returns the best leaf on the way along the path, the deepest first.
func (n *node) find(r *Request) *leaf {
	if n == nil {
		return nil
	}
	best := n.leaf(r)
	for rest := r.Path; n.next != nil; {
		rest = strings.TrimPrefix(rest, "/")
		if rest == "" {
			break
		}
		seg := rest
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			seg = rest[:i]
		}
		rest = rest[len(seg):]
		if n = n.next[seg]; n == nil {
			break
		}
		if l := n.leaf(r); l != nil {
			best = l
		}
	}
	return best
}

func (n *node) leaf(r *Request) *leaf {
	for k := range n.leaves {
		l := &n.leaves[k]
		if (l.method == "" || l.method == r.Method) && (l.class == "" || l.class == r.Class) {
			return l
		}
	}
	return nil
}
