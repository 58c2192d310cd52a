// Package nodes knows where node lists come from: a list in the configuration,
// a file that is watched, a discovery service over HTTP. A list looked up over
// DNS will be one more Source.
package nodes

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Source tells which nodes a service has.
type Source interface {
	// Follow hands lists to tell, the first one whole, until ctx ends or it
	// cannot go on; it returns why. Followed again it goes on from there.
	Follow(ctx context.Context, tell func(List)) error
	// Close gives back what Follow left open.
	Close()
	// String names the source in logs. Two sources with one name tell the
	// same.
	String() string
}

// Fixed is a list that does not change. Its nodes need an Address only.
type Fixed []Endpoint

// Follow implements Source: it tells the list and waits for the end of ctx.
func (f Fixed) Follow(ctx context.Context, tell func(List)) error {
	list, err := fill(f)
	if err != nil {
		return err
	}
	tell(list)
	<-ctx.Done()
	return ctx.Err()
}

// Close implements Source.
func (f Fixed) Close() {}

// String implements Source.
func (f Fixed) String() string {
	var s strings.Builder
	s.WriteString("a fixed list:")
	for _, e := range f {
		fmt.Fprintf(&s, " %s", e.Address)
		for _, more := range []struct{ key, value string }{{"name", e.Name}, {"zone", e.Zone}, {"status", string(e.Status)}} {
			if more.value != "" {
				fmt.Fprintf(&s, ",%s=%s", more.key, more.value)
			}
		}
		if e.Group != 0 {
			fmt.Fprintf(&s, ",cell=%d", e.Group)
		}
		if e.SinceMs != 0 {
			fmt.Fprintf(&s, ",since=%d", e.SinceMs)
		}
	}
	return s.String()
}

// fill makes a whole, undated list of entries of which only the address must be
// given: the name is the address, the status in_service.
func fill(entries []Endpoint) (List, error) {
	list := List{Snapshot: true, Undated: true, Endpoints: make([]Endpoint, 0, len(entries))}
	seen := map[string]bool{}
	for i, e := range entries {
		if e.Name == "" {
			e.Name = e.Address
		}
		if e.Status == "" {
			e.Status = InService
		}
		if err := e.check(); err != nil {
			return List{}, fmt.Errorf("node %d: %w", i+1, err)
		}
		if seen[e.Name] {
			return List{}, fmt.Errorf("node %d: %q stands in the list twice", i+1, e.Name)
		}
		seen[e.Name] = true
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

// Check tells what is wrong with a fixed list, or nil.
func (f Fixed) Validate() error {
	_, err := fill(f)
	return err
}

// Sleep waits for d or the end of ctx, and tells whether ctx goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
