// Package route maps requests to routing targets. A Table is built once from
// rules, is immutable, and is safe for concurrent use. Its results depend only
// on the rules and the request.
//
// A rule may restrict the host, a path prefix, the method and the class. Of the
// rules that match a request the most specific one wins: first by host (exact,
// then the longest wildcard, then any), then by the number of path segments,
// then by method, then by class. docs/pools.md compares this with first-match
// and host-first tables.
package route

import (
	"errors"
	"fmt"
	"strings"
)

// Rule maps the requests that it matches to a target.
type Rule struct {
	Host   string // "example.org", "*.example.org" for all its subdomains, or "" for any
	Path   string // "/a/b" matches itself and all paths below it; "" or "/" matches all
	Method string // "" for any
	Class  string // the class that the request specifies, "" for any
	Target int    // the value that Find returns
}

// Request holds the properties of a request that rules match. Host must be in the
// form that NormalizeHost returns, and Path in the form that NormalizePath returns.
type Request struct {
	Host   string
	Path   string
	Method string
	Class  string
}

// Table finds the most specific rule for a request. The cost of a lookup depends
// on the number of host labels and path segments, not on the number of rules.
// The zero Table matches nothing.
type Table struct {
	exactHosts    map[string]*pathNode // by host
	wildcardHosts map[string]*pathNode // by the host pattern without "*."
	anyHost       *pathNode
}

// pathNode is a node of the tree of path segments of one host.
type pathNode struct {
	children map[string]*pathNode
	matchers []matcher // the most specific first; at most one for each pair of method and class
}

// matcher is the method and class condition of one rule.
type matcher struct {
	method, class string
	target        int
	rule          int // index in the list of rules
}

// ConflictError reports two rules that match the same requests.
type ConflictError struct{ First, Second int }

func (c *ConflictError) Error() string {
	return fmt.Sprintf("rule %d matches the same requests as rule %d", c.Second, c.First)
}

// InvalidRuleError reports a rule with an invalid field.
type InvalidRuleError struct {
	Rule  int
	Field string // "host", "path" or "method"
	Err   error
}

func (e *InvalidRuleError) Error() string {
	return fmt.Sprintf("rule %d: %s: %v", e.Rule, e.Field, e.Err)
}
func (e *InvalidRuleError) Unwrap() error { return e.Err }

// New builds a Table. Its error joins an *InvalidRuleError or *ConflictError for
// every rejected rule; the Table is then nil.
func New(rules []Rule) (*Table, error) {
	t := &Table{exactHosts: map[string]*pathNode{}, wildcardHosts: map[string]*pathNode{}}
	var errs []error
	for i, r := range rules {
		if err := t.addRule(i, r); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t, nil
}

// addRule adds rule number i to the tree of its host.
func (t *Table) addRule(i int, r Rule) error {
	root, err := t.hostRoot(r.Host)
	if err != nil {
		return &InvalidRuleError{Rule: i, Field: "host", Err: err}
	}
	path := "/"
	if r.Path != "" {
		if path, err = NormalizePath(r.Path); err != nil {
			return &InvalidRuleError{Rule: i, Field: "path", Err: err}
		}
	}
	if indexNotIn(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") >= 0 {
		return &InvalidRuleError{Rule: i, Field: "method", Err: fmt.Errorf("%.40q, want upper-case letters and hyphens", r.Method)}
	}
	if *root == nil {
		*root = &pathNode{}
	}
	node := *root
	for rest := strings.Trim(path, "/"); rest != ""; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		if node.children == nil {
			node.children = map[string]*pathNode{}
		}
		if node.children[segment] == nil {
			node.children[segment] = &pathNode{}
		}
		node = node.children[segment]
	}
	return node.addMatcher(matcher{method: r.Method, class: r.Class, target: r.Target, rule: i})
}

// addMatcher inserts m before the first matcher that is less specific.
func (n *pathNode) addMatcher(m matcher) error {
	position := len(n.matchers)
	for i, other := range n.matchers {
		if other.method == m.method && other.class == m.class {
			return &ConflictError{First: other.rule, Second: m.rule}
		}
		if position == len(n.matchers) && other.specificity() < m.specificity() {
			position = i
		}
	}
	n.matchers = append(n.matchers, matcher{})
	copy(n.matchers[position+1:], n.matchers[position:])
	n.matchers[position] = m
	return nil
}

// specificity orders the matchers of a node: a method outranks a class.
func (m *matcher) specificity() (rank int) {
	if m.method != "" {
		rank += 2
	}
	if m.class != "" {
		rank++
	}
	return rank
}

// hostRoot returns a pointer to the root node for a rule's host, and creates the
// node for a host that has none. The node for any host may be nil.
func (t *Table) hostRoot(host string) (**pathNode, error) {
	if host == "" {
		return &t.anyHost, nil
	}
	roots := t.exactHosts
	name, isWildcard := strings.CutPrefix(host, "*.")
	if isWildcard {
		roots = t.wildcardHosts
	}
	normalized, port, err := NormalizeHost(name)
	if err == nil && port != "" {
		err = fmt.Errorf("%.80q has a port, but rules match hosts without a port", host)
	}
	if err != nil {
		return nil, err
	}
	root := roots[normalized]
	if root == nil {
		root = &pathNode{}
		roots[normalized] = root
	}
	return &root, nil
}

// Find returns the target of the most specific rule that matches r, and whether
// any rule matches.
func (t *Table) Find(r *Request) (target int, ok bool) {
	if m := t.exactHosts[r.Host].findDeepest(r); m != nil {
		return m.target, true
	}
	// Wildcards are looked up from the longest to the shortest.
	if len(t.wildcardHosts) > 0 {
		for rest := r.Host; ; {
			_, parent, hasParent := strings.Cut(rest, ".")
			if !hasParent {
				break
			}
			if m := t.wildcardHosts[parent].findDeepest(r); m != nil {
				return m.target, true
			}
			rest = parent
		}
	}
	if m := t.anyHost.findDeepest(r); m != nil {
		return m.target, true
	}
	return 0, false
}

// findDeepest follows the path of r and returns the matcher of the deepest node
// that has one for r, or nil.
func (n *pathNode) findDeepest(r *Request) *matcher {
	if n == nil {
		return nil
	}
	best := n.match(r)
	for rest := r.Path; n.children != nil; {
		rest = strings.TrimPrefix(rest, "/")
		if rest == "" {
			break
		}
		segment := rest
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			segment = rest[:i]
		}
		rest = rest[len(segment):]
		if n = n.children[segment]; n == nil {
			break
		}
		if m := n.match(r); m != nil {
			best = m
		}
	}
	return best
}

// match returns the most specific matcher of n for r, or nil.
func (n *pathNode) match(r *Request) *matcher {
	for i := range n.matchers {
		m := &n.matchers[i]
		if (m.method == "" || m.method == r.Method) && (m.class == "" || m.class == r.Class) {
			return m
		}
	}
	return nil
}
