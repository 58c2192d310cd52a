package httpfront

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gorselink/balance"
	"gorselink/internal/framing"
	"gorselink/internal/pool"
	"gorselink/route"
)

// Table is what a Routed judges by. It is made once and read by all.
type Table struct {
	Routes     *route.Table
	Targets    []Target                // what Routes finds
	ClassNames map[string]bool         // the classes that a request may name
	FindPool   func(string) *pool.Pool // that serves or still drains, by name; nil if there is none

	past []former // those that were replaced within the span of the keys
}

// former is what a Table was that has been replaced.
type former struct {
	routes *route.Table
	pools  []string // of its targets
	until  time.Time
}

// Target is a pool and what the requests to it are.
type Target struct {
	Pool        *pool.Pool
	Class       *Class
	ClassByName map[string]*Class // by the name that a request gives
	MaxBody     int64
}

// Class is a class of requests in one pool.
type Class struct {
	Name     string
	ByMethod bool             // the semantics follow from the request
	Variants [3]balance.Class // by Semantics, all the same unless ByMethod
	Numbers  [3]int           // of Forms, in the pool
}

// Routed judges requests by a routing table that can be replaced as a whole.
type TableRouter struct {
	PlatformForm bool   // the platform's form: id, budget, method by class, class in the path
	ClassHeader  string // names the class in the ordinary form; "" for none
	Keys         *KeyBindings
	SeenIDs      *SeenIDs // of the strict form

	table    atomic.Pointer[Table]
	draining atomic.Bool
}

// NewRouted returns a Routed with its first table.
func NewTableRouter(t *Table, strict bool, classHeader string, keys *KeyBindings, ids *SeenIDs) *TableRouter {
	j := &TableRouter{PlatformForm: strict, ClassHeader: http.CanonicalHeaderKey(classHeader), Keys: keys, SeenIDs: ids}
	j.table.Store(t)
	return j
}

// mostFormer bounds the tables that are remembered under one reload after the
// other.
const mostFormer = 64

// Set makes t, which nobody else may have, the table for all requests that are
// judged from now on. Where the one before led is remembered over the span of
// the keys.
func (j *TableRouter) SetTable(t *Table, span time.Duration) {
	before, now := j.table.Load(), time.Now()
	for _, p := range before.past {
		if now.Before(p.until) {
			t.past = append(t.past, p)
		}
	}
	was := former{routes: before.Routes, until: now.Add(span)}
	for _, to := range before.Targets {
		was.pools = append(was.pools, to.Pool.Name())
	}
	t.past = append(t.past, was)
	t.past = t.past[max(0, len(t.past)-mostFormer):]
	j.table.Store(t)
}

// Drain makes Ready say no; requests go on being served.
func (j *TableRouter) MarkDraining() { j.draining.Store(true) }

// Ready implements Judge: it says yes once any pool has a node.
func (j *TableRouter) ReadyStatus() int {
	if !j.draining.Load() {
		for _, t := range j.table.Load().Targets {
			if t.Pool != nil && t.Pool.Listed() {
				return http.StatusOK
			}
		}
	}
	return http.StatusServiceUnavailable
}

// Judge implements Judge.
func (j *TableRouter) Route(req *Request) (*Plan, *Rejection) {
	uri, name, err := target(req)
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	var host, port string
	if name != "" || req.Minor > 0 { // HTTP/1.0 need not say
		if host, port, err = route.Host(name); err != nil {
			return reject(http.StatusBadRequest, err)
		}
	}
	path, query, err := route.Target(uri)
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	switch req.Method {
	case http.MethodConnect, http.MethodTrace:
		return reject(http.StatusMethodNotAllowed, fmt.Errorf("method %s is not passed on", req.Method))
	}
	r := route.Request{Host: host, Path: path, Method: req.Method}
	if r.Class, err = j.named(req, path); err != nil {
		return reject(http.StatusBadRequest, err)
	}
	judged := &judged{TableRouter: j, req: req, r: r, uri: path + query, host: host + port}
	return judged.plan()
}

// judged is a request in its normal form.
type judged struct {
	*TableRouter
	req  *Request
	r    route.Request
	uri  string // as it is sent on
	host string // with the port

	first   Plan // in one piece with it: most requests are judged once
	planned bool
}

// named is the class that the request names, if any.
func (j *TableRouter) named(req *Request, path string) (string, error) {
	if j.PlatformForm {
		name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		return name, nil
	}
	if j.ClassHeader == "" {
		return "", nil
	}
	name, n := req.Fields.Lookup(j.ClassHeader)
	if n > 1 {
		return "", fmt.Errorf("%s %.80q, %d of them, want one class", j.ClassHeader, name, n)
	}
	return name, nil
}

// plan finds the request's target in the present table.
func (j *judged) plan() (*Plan, *Rejection) {
	t := j.table.Load()
	if j.PlatformForm && !t.ClassNames[j.r.Class] {
		return reject(http.StatusNotFound, fmt.Errorf("no class %.80q", j.r.Class))
	}
	if j.r.Class != "" && !t.ClassNames[j.r.Class] {
		return reject(http.StatusBadRequest, fmt.Errorf("%s: no class %.80q", j.ClassHeader, j.r.Class))
	}
	i, ok := t.Routes.Find(&j.r)
	if !ok {
		return reject(http.StatusNotFound, fmt.Errorf("no route for %s %.80s%.80s", j.r.Method, j.r.Host, j.r.Path))
	}
	to := &t.Targets[i]
	class := to.Class
	if c := to.ClassByName[j.r.Class]; c != nil {
		class = c
	}
	semantics, err := j.semantics(class)
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	c := &class.Variants[semantics]
	p := &j.first
	if j.planned {
		p = &Plan{}
	}
	j.planned = true
	*p = Plan{
		Pool:     to.Pool,
		Class:    class.Numbers[semantics],
		Tenant:   -1,
		MaxBody:  to.MaxBody,
		Ordinary: !j.PlatformForm,
		judged:   j,
		seen:     j.SeenIDs,
	}
	if j.PlatformForm {
		err = p.form(j.req, c)
	} else {
		p.Budget, err = budget(j.req, c.Deadline)
	}
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	if semantics == balance.Keyed {
		if wrong := j.bind(t, p, class, c); wrong != nil {
			return nil, wrong
		}
	}
	p.Upstream = outgoing(j.req, j.uri, j.host, semantics, 2)
	if !j.PlatformForm {
		// The id is ours: one from outside could be another request's.
		p.Upstream.Fields = slices.DeleteFunc(p.Upstream.Fields, func(f framing.Field) bool { return strings.EqualFold(f.Name, "X-Call-Id") })
		p.id, p.made = madeID(), true
		p.Upstream.Fields = append(p.Upstream.Fields, framing.Field{Name: "X-Call-Id", Value: p.id})
		if addr := j.req.CallerIP; addr != "" {
			p.Upstream.Fields = append(p.Upstream.Fields, framing.Field{Name: "X-Forwarded-For", Value: addr})
		}
	}
	return p, nil
}

// madeID is an id of 16 hexadecimal digits.
func madeID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// maxKey bounds an Idempotency-Key; those in use have some dozen bytes.
const maxKey = 255

// semantics tells what repeating the request does.
func (j *judged) semantics(class *Class) (balance.Semantics, error) {
	key, n := j.req.Fields.Lookup("Idempotency-Key")
	has := n > 0
	if has && (n != 1 || key == "" || len(key) > maxKey) {
		return 0, fmt.Errorf("Idempotency-Key %.80q, %d of them, want one of 1 to %d bytes", key, n, maxKey)
	}
	if !class.ByMethod {
		s := class.Variants[0].Semantics
		if s == balance.Keyed && !has {
			return 0, fmt.Errorf("Idempotency-Key: missing, want one for class %s", class.Name)
		}
		return s, nil
	}
	switch j.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions: // RFC 9110, section 9.2.1
		return balance.Safe, nil
	}
	if has {
		return balance.Keyed, nil
	}
	// PUT and DELETE are idempotent by themselves, but not beside others: a
	// late repeat would undo what came in between.
	return balance.Unsafe, nil
}

// bind keeps a repeat with the pool that has had its key, even if the table
// now leads elsewhere.
func (j *judged) bind(t *Table, p *Plan, class *Class, c *balance.Class) *Rejection {
	key := j.req.Fields.Get("Idempotency-Key")
	bound, sure := j.Keys.Bind(j.Keys.keyOf(j.r.Host, j.r.Path, key), p.Pool.Name(), j.Keys.now())
	if bound == p.Pool.Name() {
		if !sure && j.movedWithin(t, bound) {
			// It may have run where it went before.
			return &Rejection{Status: http.StatusConflict, Err: errors.New("Idempotency-Key: too many to tell whether this one has come before its route moved")}
		}
		return nil
	}
	was := t.FindPool(bound)
	if was == nil {
		return &Rejection{Status: http.StatusConflict, Err: errors.New("Idempotency-Key: the request may have run in a service that is gone")}
	}
	number, err := was.Class(*c)
	if err != nil {
		return &Rejection{Status: http.StatusConflict, Err: err}
	}
	p.Pool, p.Class, p.Repeat = was, number, true
	return nil
}

// movedWithin tells whether a table of the span led the request elsewhere.
func (j *judged) movedWithin(t *Table, name string) bool {
	now := time.Now()
	for _, p := range t.past {
		if i, ok := p.routes.Find(&j.r); ok && p.pools[i] != name && now.Before(p.until) {
			return true
		}
	}
	return false
}
