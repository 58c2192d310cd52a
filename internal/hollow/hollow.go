// Package hollow runs many hollow sidecars in one process for experiments. A hollow sidecar has
// the decision code and the discovery connections of `gorselink serve`, with its timers and
// reloads, from its own configuration file. It has no listeners and opens no connections to
// endpoints.
package hollow

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/daemon"
	"gorselink/internal/discovery"
)

// Sidecars manages the hollow sidecars of one process, each identified by a number. The
// zero value is ready to use.
type Sidecars struct {
	mu      sync.Mutex
	running map[int]*sidecar
}

type sidecar struct {
	path   string
	daemon *daemon.Daemon
	pools  []string // sorted names
}

// Start starts a sidecar with the configuration file at path.
func (sidecars *Sidecars) Start(number int, path string) error {
	sidecars.mu.Lock()
	_, exists := sidecars.running[number]
	sidecars.mu.Unlock()
	if exists {
		return fmt.Errorf("sidecar %d: already running", number)
	}
	cfg, err := config.LoadDaemon(path)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", number, err)
	}
	d, err := daemon.Start(cfg)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", number, err)
	}
	sidecars.mu.Lock()
	defer sidecars.mu.Unlock()
	if sidecars.running == nil {
		sidecars.running = map[int]*sidecar{}
	}
	sidecars.running[number] = &sidecar{path, d, poolNames(cfg)}
	return nil
}

func poolNames(cfg *config.Daemon) (names []string) {
	for i := range cfg.Pools {
		names = append(names, cfg.Pools[i].Name)
	}
	slices.Sort(names)
	return names
}

// Stop closes a sidecar at once, without draining it, to simulate a machine failure.
func (sidecars *Sidecars) Stop(number int) error {
	sidecars.mu.Lock()
	s := sidecars.running[number]
	delete(sidecars.running, number)
	sidecars.mu.Unlock()
	if s == nil {
		return fmt.Errorf("sidecar %d: not running", number)
	}
	s.daemon.Close()
	return nil
}

// Reload makes a sidecar read its configuration file again, as SIGHUP does, and returns the
// changes that were applied.
func (sidecars *Sidecars) Reload(number int) (changes []string, err error) {
	sidecars.mu.Lock()
	s := sidecars.running[number]
	sidecars.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("sidecar %d: not running", number)
	}
	cfg, err := config.LoadDaemon(s.path)
	if err == nil {
		changes, err = s.daemon.Apply(cfg)
	}
	if err != nil {
		return nil, fmt.Errorf("sidecar %d: reload failed, keeping the old configuration: %w", number, err)
	}
	daemon.LogChanges(changes)
	sidecars.mu.Lock()
	s.pools = poolNames(cfg)
	sidecars.mu.Unlock()
	return changes, nil
}

// Close stops all sidecars.
func (sidecars *Sidecars) Close() {
	for _, n := range sidecars.numbers() {
		sidecars.Stop(n)
	}
}

func (sidecars *Sidecars) numbers() []int {
	sidecars.mu.Lock()
	defer sidecars.mu.Unlock()
	return slices.Sorted(maps.Keys(sidecars.running))
}

// Lists returns the endpoint lists of a sidecar by pool, or nil if it is not running.
func (sidecars *Sidecars) Lists(number int) map[string]discovery.List {
	sidecars.mu.Lock()
	s := sidecars.running[number]
	var names []string
	if s != nil {
		names = s.pools
	}
	sidecars.mu.Unlock()
	if s == nil {
		return nil
	}
	all := map[string]discovery.List{}
	for _, name := range names {
		if p := s.daemon.Pool(name); p != nil {
			all[name] = p.List()
		}
	}
	return all
}

// WaitForLists waits until every pool of every sidecar has received an endpoint list.
func (sidecars *Sidecars) WaitForLists(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range sidecars.numbers() {
		sidecars.mu.Lock()
		s := sidecars.running[n]
		sidecars.mu.Unlock()
		if s == nil {
			continue
		}
		for _, name := range s.pools {
			for p := s.daemon.Pool(name); p != nil && !p.HasList(); {
				if time.Now().After(deadline) {
					return fmt.Errorf("sidecar %d: pool %s received no endpoint list within %v", n, name, timeout)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
	}
	return nil
}

// Digests returns a digest of the endpoint lists of each sidecar. Sidecars with equal lists
// have equal digests.
func (sidecars *Sidecars) Digests() map[int]string {
	all := map[int]string{}
	for _, n := range sidecars.numbers() {
		if lists := sidecars.Lists(n); lists != nil {
			all[n] = Digest(lists)
		}
	}
	return all
}

// Digest returns a short hash of endpoint lists by pool.
func Digest(lists map[string]discovery.List) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		fmt.Fprintf(&b, "%s\n", name)
		for _, e := range lists[name].Endpoints {
			fmt.Fprintf(&b, " %s %s %s %d %s %d\n", e.Name, e.Address, e.Zone, e.Group, e.Status, e.SinceMs)
		}
	}
	sum := sha256.Sum256([]byte(b.String()))
	return hex.EncodeToString(sum[:8])
}

// errUnknownCommand reports a command that the role does not support.
var errUnknownCommand = errors.New("unknown command")
