// Package discovery provides the endpoint lists of services. A list comes from the
// configuration, from a file that is polled, or from a discovery service over HTTP.
package discovery

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Source delivers the endpoint list of a service.
type Source interface {
	// Follow passes a snapshot and then each endpoint update to update, until ctx ends or
	// an error occurs, which it returns. A later call continues from the last list.
	Follow(ctx context.Context, update func(List)) error
	// Close closes the connections that Follow left open.
	Close()
	// String names the source in logs. Two sources with the same name deliver the
	// same lists.
	String() string
}

// Fixed is a Source of a list that does not change. Of each entry only Address is required.
type Fixed []Endpoint

// Follow implements Source. It delivers the list once and waits until ctx ends.
func (f Fixed) Follow(ctx context.Context, update func(List)) error {
	list, err := completeList(f)
	if err != nil {
		return err
	}
	update(list)
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
		for _, field := range []struct{ key, value string }{{"name", e.Name}, {"zone", e.Zone}, {"status", string(e.Status)}} {
			if field.value != "" {
				fmt.Fprintf(&s, ",%s=%s", field.key, field.value)
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

// completeList returns an undated snapshot of the entries. A missing name defaults to
// the address, a missing status to in_service.
func completeList(entries []Endpoint) (List, error) {
	list := List{Snapshot: true, Undated: true, Endpoints: make([]Endpoint, 0, len(entries))}
	seen := map[string]bool{}
	for i, e := range entries {
		if e.Name == "" {
			e.Name = e.Address
		}
		if e.Status == "" {
			e.Status = InService
		}
		if err := e.validate(); err != nil {
			return List{}, fmt.Errorf("node %d: %w", i+1, err)
		}
		if seen[e.Name] {
			return List{}, fmt.Errorf("node %d: duplicate node %q", i+1, e.Name)
		}
		seen[e.Name] = true
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

// Validate returns the first error in the list, or nil.
func (f Fixed) Validate() error {
	_, err := completeList(f)
	return err
}

// Sleep waits for d or until ctx ends. It returns false if ctx ended first.
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
