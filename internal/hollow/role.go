package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

// Each role of a scale experiment runs in its own process, so that its processor time and
// memory can be measured separately. The coordinator writes one JSON Command per line to the
// standard input of the process and reads one Response per line from its standard output. A
// role process exits at the end of its input.

// Roles of a scale experiment.
const (
	RoleSidecars = "sidecars"
	RoleRegistry = "registry"
)

// Command is a request from the coordinator to a role.
type Command struct {
	Action string `json:"do"`

	// Fields of RoleSidecars.
	Sidecars   []SidecarSpec `json:"sidecars,omitempty"`
	IntervalNs int64         `json:"apart_ns,omitempty"` // delay from one sidecar to the next

	// Fields of RoleRegistry.
	Host      string `json:"host,omitempty"`
	Services  int    `json:"services,omitempty"`
	Endpoints int    `json:"endpoints,omitempty"`
	Edits     []Edit `json:"edits,omitempty"`
}

// SidecarSpec identifies a sidecar and its configuration file.
type SidecarSpec struct {
	Number int    `json:"n"`
	Path   string `json:"path,omitempty"`
}

// Edit advances one endpoint of a service to the next status of its lifecycle.
type Edit struct {
	Service  int `json:"service"`
	Endpoint int `json:"endpoint"`
}

// Response is the result of a Command.
type Response struct {
	Error      string              `json:"error,omitempty"`
	Addrs      []string            `json:"addrs,omitempty"`
	Digests    map[int]string      `json:"digests,omitempty"`
	Digest     string              `json:"digest,omitempty"`
	Counts     fakeserver.Counts   `json:"counts"`
	Changes    []fakeserver.Change `json:"changes,omitempty"`
	DurationNs int64               `json:"took_ns,omitempty"`
}

// Serve executes the commands that it reads from in, as the given role, until in ends.
func Serve(role string, in io.Reader, out io.Writer) error {
	var handle func(*Command) (*Response, error)
	switch role {
	case RoleSidecars:
		sidecars := &Sidecars{}
		defer sidecars.Close()
		handle = sidecars.handle
	case RoleRegistry:
		r := &registryRole{}
		defer r.close()
		handle = r.handle
	default:
		return fmt.Errorf("role %q: want %s or %s", role, RoleSidecars, RoleRegistry)
	}
	commands, responses := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var c Command
		if err := commands.Decode(&c); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("role %s: %w", role, err)
		}
		response, err := handle(&c)
		if response == nil {
			response = &Response{}
		}
		if err != nil {
			response.Error = fmt.Sprintf("%s: %v", c.Action, err)
		}
		if err := responses.Encode(response); err != nil {
			return fmt.Errorf("role %s: %w", role, err)
		}
	}
}

const listTimeout = 30 * time.Second

// handle executes a command to start, stop, restart or reload sidecars, to wait for their first
// endpoint lists ("listed") or to return the digests of their lists.
func (sidecars *Sidecars) handle(c *Command) (*Response, error) {
	start := time.Now()
	response := &Response{}
	switch c.Action {
	case "start", "stop", "restart", "reload":
		for i, spec := range c.Sidecars {
			time.Sleep(time.Until(start.Add(time.Duration(int64(i) * c.IntervalNs))))
			var err error
			if c.Action == "stop" || c.Action == "restart" {
				err = sidecars.Stop(spec.Number)
			}
			if err == nil && (c.Action == "start" || c.Action == "restart") {
				err = sidecars.Start(spec.Number, spec.Path)
			}
			if c.Action == "reload" {
				_, err = sidecars.Reload(spec.Number)
			}
			if err != nil {
				return nil, err
			}
		}
	case "listed":
		if err := sidecars.WaitForLists(listTimeout); err != nil {
			return nil, err
		}
	case "digests":
		response.Digests = sidecars.Digests()
	default:
		return nil, errUnknownCommand
	}
	response.DurationNs = time.Since(start).Nanoseconds()
	return response, nil
}

// registryRole runs a fake registry and tracks the lifecycle of its endpoints.
type registryRole struct {
	registry *fakeserver.Registry
	steps    [][]int // by service and endpoint: the number of edits so far
}

// lifecycle is the sequence of statuses of an endpoint; each edit advances it by one.
var lifecycle = []string{"in_service", "terminating", "terminated"}

func (r *registryRole) close() {
	if r.registry != nil {
		r.registry.Close()
	}
}

// registryEntry returns the list entry of an endpoint after a number of edits. Nothing
// connects to its address.
func registryEntry(service, endpoint, edits int) fakeserver.Entry {
	return fakeserver.Entry{
		Name:    fmt.Sprintf("s%03d-%03d", service, endpoint),
		Address: fmt.Sprintf("127.%d.%d.%d:9", 200+service/250, 1+service%250, 1+endpoint%250),
		Zone:    fmt.Sprintf("zone-%d", endpoint%7), Status: lifecycle[edits%len(lifecycle)], SinceMs: int64(1000 * (1 + edits/len(lifecycle))),
	}
}

// PoolName returns the name of the pool for a service.
func PoolName(service int) string { return fmt.Sprintf("s%03d", service) }

// handle executes a command to start the registry, to change endpoints, or to return the counts,
// the changes or the digest of its lists.
func (r *registryRole) handle(c *Command) (*Response, error) {
	response := &Response{}
	if r.registry == nil && c.Action != "serve" {
		return nil, fmt.Errorf("registry is not running: want the command serve first")
	}
	switch c.Action {
	case "serve":
		lists := make([][]fakeserver.Entry, c.Services)
		r.steps = make([][]int, c.Services)
		for s := range lists {
			r.steps[s] = make([]int, c.Endpoints)
			for e := range c.Endpoints {
				lists[s] = append(lists[s], registryEntry(s, e, 0))
			}
		}
		r.close()
		var err error
		if r.registry, err = fakeserver.StartRegistry(c.Host, lists); err != nil {
			return nil, err
		}
		response.Addrs = r.registry.Addrs()
	case "edit":
		for _, e := range c.Edits {
			if e.Service >= len(r.steps) || e.Endpoint >= len(r.steps[e.Service]) {
				return nil, fmt.Errorf("service %d, endpoint %d: no such endpoint", e.Service, e.Endpoint)
			}
			r.steps[e.Service][e.Endpoint]++
			if _, err := r.registry.Update(e.Service, registryEntry(e.Service, e.Endpoint, r.steps[e.Service][e.Endpoint])); err != nil {
				return nil, err
			}
		}
	case "count":
		response.Counts = r.registry.ResetCounts()
	case "so far": // does not reset the counts
		response.Counts = r.registry.Counts()
	case "changes":
		response.Changes = r.registry.TakeChanges()
	case "digest":
		lists := map[string]discovery.List{}
		for s := range r.steps {
			var l discovery.List
			for _, e := range r.registry.Entries(s) {
				l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group, Status: discovery.Status(e.Status), SinceMs: e.SinceMs})
			}
			lists[PoolName(s)] = l
		}
		response.Digest = Digest(lists)
	default:
		return nil, errUnknownCommand
	}
	return response, nil
}
