package httpserver

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
	"gorselink/internal/http1"
	"gorselink/internal/pool"
	"gorselink/route"
)

// Table is the routing table of a TableRouter. It must not be changed once it is in use.
type Table struct {
	Routes     *route.Table
	Targets    []Target                // by the index that Routes finds
	ClassNames map[string]bool         // the classes that a request may name
	FindPool   func(string) *pool.Pool // returns the pool with this name, also one that drains, or nil

	replaced []replacedTable // within the retention time of keys
}

// replacedTable is what is remembered of a replaced Table.
type replacedTable struct {
	routes *route.Table
	pools  []string // names, by target
	until  time.Time
}

// Target is a pool and the properties of the requests to it.
type Target struct {
	Pool        *pool.Pool
	Class       *Class
	ClassByName map[string]*Class // by the class name that a request gives
	MaxBody     int64
}

// Class is a class of requests in one pool.
type Class struct {
	Name     string
	ByMethod bool             // the idempotency follows from the request's method and key
	Variants [3]balance.Class // by Idempotency; all the same unless ByMethod
	Numbers  [3]int           // numbers of the Variants in the pool
}

// TableRouter routes requests by a routing table that can be replaced as a whole.
type TableRouter struct {
	PlatformForm bool   // requests have the platform's form: id, budget, method by class, class in the path
	ClassHeader  string // field that names the class in the ordinary form; empty for none
	Keys         *KeyBindings
	SeenIDs      *SeenIDs // of the platform's form

	table    atomic.Pointer[Table]
	draining atomic.Bool
}

// NewTableRouter returns a TableRouter with its initial table.
func NewTableRouter(t *Table, platformForm bool, classHeader string, keys *KeyBindings, ids *SeenIDs) *TableRouter {
	r := &TableRouter{PlatformForm: platformForm, ClassHeader: http.CanonicalHeaderKey(classHeader), Keys: keys, SeenIDs: ids}
	r.table.Store(t)
	return r
}

// maxReplacedTables bounds the tables that are remembered if reloads follow each other
// quickly.
const maxReplacedTables = 64

// SetTable makes t, which no other goroutine may use yet, the table for all later
// requests. The routes of the replaced table are remembered for the retention time of
// keys.
func (r *TableRouter) SetTable(t *Table, retention time.Duration) {
	old, now := r.table.Load(), time.Now()
	for _, table := range old.replaced {
		if now.Before(table.until) {
			t.replaced = append(t.replaced, table)
		}
	}
	entry := replacedTable{routes: old.Routes, until: now.Add(retention)}
	for _, target := range old.Targets {
		entry.pools = append(entry.pools, target.Pool.Name())
	}
	t.replaced = append(t.replaced, entry)
	t.replaced = t.replaced[max(0, len(t.replaced)-maxReplacedTables):]
	r.table.Store(t)
}

// MarkDraining makes ReadyStatus report that the process is not ready; requests are
// still served.
func (r *TableRouter) MarkDraining() { r.draining.Store(true) }

// ReadyStatus implements Router. It reports readiness once any pool knows its endpoints.
func (r *TableRouter) ReadyStatus() int {
	if !r.draining.Load() {
		for _, t := range r.table.Load().Targets {
			if t.Pool != nil && t.Pool.HasList() {
				return http.StatusOK
			}
		}
	}
	return http.StatusServiceUnavailable
}

// Route implements Router.
func (r *TableRouter) Route(req *Request) (*Plan, *Rejection) {
	uri, name, err := requestTarget(req)
	if err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	var host, port string
	if name != "" || req.Minor > 0 { // Host is optional in HTTP/1.0
		if host, port, err = route.NormalizeHost(name); err != nil {
			return rejection(http.StatusBadRequest, err)
		}
	}
	path, query, err := route.NormalizeTarget(uri)
	if err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	switch req.Method {
	case http.MethodConnect, http.MethodTrace:
		return rejection(http.StatusMethodNotAllowed, fmt.Errorf("method %s is not passed on", req.Method))
	}
	match := route.Request{Host: host, Path: path, Method: req.Method}
	if match.Class, err = r.requestedClass(req, path); err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	routed := &routedRequest{TableRouter: r, req: req, match: match, uri: path + query, host: host + port}
	return routed.plan()
}

// routedRequest is a request in its normal form.
type routedRequest struct {
	*TableRouter
	req   *Request
	match route.Request
	uri   string // as forwarded
	host  string // with the port

	firstPlan     Plan // avoids an allocation, as most requests are routed once
	firstPlanUsed bool
}

// requestedClass returns the class that the request names, or an empty string.
func (r *TableRouter) requestedClass(req *Request, path string) (string, error) {
	if r.PlatformForm {
		name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		return name, nil
	}
	if r.ClassHeader == "" {
		return "", nil
	}
	name, n := req.Fields.Lookup(r.ClassHeader)
	if n > 1 {
		return "", fmt.Errorf("%s %.80q (%d fields): want one class", r.ClassHeader, name, n)
	}
	return name, nil
}

// plan finds the request's target in the current table.
func (rr *routedRequest) plan() (*Plan, *Rejection) {
	t := rr.table.Load()
	if rr.PlatformForm && !t.ClassNames[rr.match.Class] {
		return rejection(http.StatusNotFound, fmt.Errorf("unknown class %.80q", rr.match.Class))
	}
	if rr.match.Class != "" && !t.ClassNames[rr.match.Class] {
		return rejection(http.StatusBadRequest, fmt.Errorf("%s: unknown class %.80q", rr.ClassHeader, rr.match.Class))
	}
	i, ok := t.Routes.Find(&rr.match)
	if !ok {
		return rejection(http.StatusNotFound, fmt.Errorf("no route for %s %.80s%.80s", rr.match.Method, rr.match.Host, rr.match.Path))
	}
	target := &t.Targets[i]
	class := target.Class
	if c := target.ClassByName[rr.match.Class]; c != nil {
		class = c
	}
	idempotency, err := rr.idempotency(class)
	if err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	c := &class.Variants[idempotency]
	p := &rr.firstPlan
	if rr.firstPlanUsed {
		p = &Plan{}
	}
	rr.firstPlanUsed = true
	*p = Plan{
		Pool:     target.Pool,
		Class:    class.Numbers[idempotency],
		Tenant:   -1,
		MaxBody:  target.MaxBody,
		Ordinary: !rr.PlatformForm,
		routed:   rr,
		seenIDs:  rr.SeenIDs,
	}
	if rr.PlatformForm {
		err = p.parsePlatformFields(rr.req, c)
	} else {
		p.Budget, err = requestBudget(rr.req, c.Deadline)
	}
	if err != nil {
		return rejection(http.StatusBadRequest, err)
	}
	if idempotency == balance.IdempotentByKey {
		if conflict := rr.bindKey(t, p, class, c); conflict != nil {
			return nil, conflict
		}
	}
	p.Upstream = outgoingRequest(rr.req, rr.uri, rr.host, idempotency, 2)
	if !rr.PlatformForm {
		// The id is generated here: one from outside could be another request's.
		p.Upstream.Fields = slices.DeleteFunc(p.Upstream.Fields, func(f http1.Field) bool { return strings.EqualFold(f.Name, "X-Call-Id") })
		p.callID, p.generatedID = newCallID(), true
		p.Upstream.Fields = append(p.Upstream.Fields, http1.Field{Name: "X-Call-Id", Value: p.callID})
		if addr := rr.req.CallerIP; addr != "" {
			p.Upstream.Fields = append(p.Upstream.Fields, http1.Field{Name: "X-Forwarded-For", Value: addr})
		}
	}
	return p, nil
}

// newCallID returns a random id of 16 hexadecimal digits.
func newCallID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// maxKeyLength bounds an Idempotency-Key, in bytes.
const maxKeyLength = 255

// idempotency returns whether and how the request is idempotent.
func (rr *routedRequest) idempotency(class *Class) (balance.Idempotency, error) {
	key, n := rr.req.Fields.Lookup("Idempotency-Key")
	hasKey := n > 0
	if hasKey && (n != 1 || key == "" || len(key) > maxKeyLength) {
		return 0, fmt.Errorf("Idempotency-Key %.80q (%d fields): want one field of 1 to %d bytes", key, n, maxKeyLength)
	}
	if !class.ByMethod {
		s := class.Variants[0].Idempotency
		if s == balance.IdempotentByKey && !hasKey {
			return 0, fmt.Errorf("Idempotency-Key is missing: class %s requires it", class.Name)
		}
		return s, nil
	}
	switch rr.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions: // RFC 9110, section 9.2.1
		return balance.Idempotent, nil
	}
	if hasKey {
		return balance.IdempotentByKey, nil
	}
	// PUT and DELETE are idempotent, but a late repeat would undo another client's
	// change in between.
	return balance.NonIdempotent, nil
}

// bindKey sends a repeat to the pool that its key is bound to, even if the table now
// selects another one.
func (rr *routedRequest) bindKey(t *Table, p *Plan, class *Class, c *balance.Class) *Rejection {
	key := rr.req.Fields.Get("Idempotency-Key")
	p.keys, p.keyHash = rr.Keys, rr.Keys.hash(rr.match.Host, rr.match.Path, key)
	bound, certain := rr.Keys.Bind(p.keyHash, p.Pool.Name(), rr.Keys.now())
	if bound == p.Pool.Name() {
		if !certain && rr.recentlyRoutedElsewhere(t, bound) {
			// The request may have run in the pool that its route led to before.
			return &Rejection{Status: http.StatusConflict, Err: errors.New("Idempotency-Key: too many keys in use to tell whether this one was used before its route changed")}
		}
		return nil
	}
	previous := t.FindPool(bound)
	if previous == nil {
		return &Rejection{Status: http.StatusConflict, Err: errors.New("Idempotency-Key: the request may have run in a pool that no longer exists")}
	}
	number, err := previous.ClassNumber(*c)
	if err != nil {
		return &Rejection{Status: http.StatusConflict, Err: err}
	}
	p.Pool, p.Class, p.Repeat = previous, number, true
	return nil
}

// recentlyRoutedElsewhere reports whether a table that was replaced within the retention
// time routed the request to another pool.
func (rr *routedRequest) recentlyRoutedElsewhere(t *Table, pool string) bool {
	now := time.Now()
	for _, table := range t.replaced {
		if i, ok := table.routes.Find(&rr.match); ok && table.pools[i] != pool && now.Before(table.until) {
			return true
		}
	}
	return false
}
