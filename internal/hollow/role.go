package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gorselink/internal/nodes"
	"gorselink/internal/standin"
)

// The roles of a scale run are processes of their own, so that the processor time and
// memory of each can be seen from outside. The one that conducts writes a Command a line
// to a role's input and reads an Answer a line; a role ends with its input.

// Roles that there are.
const (
	RoleSidecars = "sidecars"
	RoleRegistry = "registry"
)

// Command is one thing that a role is asked for.
type Command struct {
	Action string `json:"do"`

	// Of sidecars.
	Sidecars   []SidecarSpec `json:"sidecars,omitempty"`
	IntervalNs int64         `json:"apart_ns,omitempty"` // from one sidecar to the next

	// Of a registry.
	Host      string `json:"host,omitempty"`
	Services  int    `json:"services,omitempty"`
	Endpoints int    `json:"endpoints,omitempty"`
	Edits     []Edit `json:"edits,omitempty"`
}

// Job is a sidecar and its file.
type SidecarSpec struct {
	Number int    `json:"n"`
	Path   string `json:"path,omitempty"`
}

// Edit changes the state of one endpoint of a service: in service, draining, gone, back.
type Edit struct {
	Service  int `json:"service"`
	Endpoint int `json:"endpoint"`
}

// Answer is what a role answers.
type Response struct {
	Error      string           `json:"error,omitempty"`
	Addrs      []string         `json:"addrs,omitempty"`
	Digests    map[int]string   `json:"digests,omitempty"`
	Digest     string           `json:"digest,omitempty"`
	Counts     standin.Counts   `json:"counts"`
	Changes    []standin.Change `json:"changes,omitempty"`
	DurationNs int64            `json:"took_ns,omitempty"`
}

// Serve plays a role until in ends.
func Serve(role string, in io.Reader, out io.Writer) error {
	var do func(*Command) (*Response, error)
	switch role {
	case RoleSidecars:
		f := &Sidecars{}
		defer f.Close()
		do = f.do
	case RoleRegistry:
		b := &book{}
		defer b.close()
		do = b.do
	default:
		return fmt.Errorf("role %q: want %s or %s", role, RoleSidecars, RoleRegistry)
	}
	lines, answers := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var c Command
		if err := lines.Decode(&c); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("role %s: %w", role, err)
		}
		a, err := do(&c)
		if a == nil {
			a = &Response{}
		}
		if err != nil {
			a.Error = fmt.Sprintf("%s: %v", c.Action, err)
		}
		if err := answers.Encode(a); err != nil {
			return fmt.Errorf("role %s: %w", role, err)
		}
	}
}

const listedWithin = 30 * time.Second

func (f *Sidecars) do(c *Command) (*Response, error) {
	begin := time.Now()
	a := &Response{}
	switch c.Action {
	case "start", "stop", "restart", "reload":
		for i, j := range c.Sidecars {
			time.Sleep(time.Until(begin.Add(time.Duration(int64(i) * c.IntervalNs))))
			var err error
			if c.Action == "stop" || c.Action == "restart" {
				err = f.Stop(j.Number)
			}
			if err == nil && (c.Action == "start" || c.Action == "restart") {
				err = f.Start(j.Number, j.Path)
			}
			if c.Action == "reload" {
				_, err = f.Reload(j.Number)
			}
			if err != nil {
				return nil, err
			}
		}
	case "listed":
		if err := f.WaitForLists(listedWithin); err != nil {
			return nil, err
		}
	case "digests":
		a.Digests = f.Digests()
	default:
		return nil, errNoRole
	}
	a.DurationNs = time.Since(begin).Nanoseconds()
	return a, nil
}

// book is a registry and the state of its endpoints.
type book struct {
	r     *standin.Registry
	state [][]int // of each endpoint of each service: which of turns it is at
}

// turns is what an endpoint goes through, one edit after the other.
var turns = []string{"in_service", "terminating", "terminated"}

func (b *book) close() {
	if b.r != nil {
		b.r.Close()
	}
}

// entryOf is an endpoint as it is told. Nothing ever connects to it.
func entryOf(service, endpoint, turn int) standin.Entry {
	return standin.Entry{
		Name:    fmt.Sprintf("s%03d-%03d", service, endpoint),
		Address: fmt.Sprintf("127.%d.%d.%d:9", 200+service/250, 1+service%250, 1+endpoint%250),
		Zone:    fmt.Sprintf("zone-%d", endpoint%7), Status: turns[turn%len(turns)], SinceMs: int64(1000 * (1 + turn/len(turns))),
	}
}

// PoolName is the pool of a service.
func PoolName(service int) string { return fmt.Sprintf("s%03d", service) }

func (b *book) do(c *Command) (*Response, error) {
	a := &Response{}
	if b.r == nil && c.Action != "serve" {
		return nil, fmt.Errorf("serves nothing yet")
	}
	switch c.Action {
	case "serve":
		lists := make([][]standin.Entry, c.Services)
		b.state = make([][]int, c.Services)
		for s := range lists {
			b.state[s] = make([]int, c.Endpoints)
			for e := range c.Endpoints {
				lists[s] = append(lists[s], entryOf(s, e, 0))
			}
		}
		b.close()
		var err error
		if b.r, err = standin.StartRegistry(c.Host, lists); err != nil {
			return nil, err
		}
		a.Addrs = b.r.Addrs()
	case "edit":
		for _, e := range c.Edits {
			if e.Service >= len(b.state) || e.Endpoint >= len(b.state[e.Service]) {
				return nil, fmt.Errorf("service %d, endpoint %d: there is none", e.Service, e.Endpoint)
			}
			b.state[e.Service][e.Endpoint]++
			if _, err := b.r.Update(e.Service, entryOf(e.Service, e.Endpoint, b.state[e.Service][e.Endpoint])); err != nil {
				return nil, err
			}
		}
	case "count":
		a.Counts = b.r.ResetCounts()
	case "so far": // what there was so far, without an end of it
		a.Counts = b.r.Counts()
	case "changes":
		a.Changes = b.r.TakeChanges()
	case "digest":
		lists := map[string]nodes.List{}
		for s := range b.state {
			var l nodes.List
			for _, e := range b.r.Entries(s) {
				l.Endpoints = append(l.Endpoints, nodes.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group, Status: nodes.Status(e.Status), SinceMs: e.SinceMs})
			}
			lists[PoolName(s)] = l
		}
		a.Digest = Digest(lists)
	default:
		return nil, errNoRole
	}
	return a, nil
}
