// Package hollow runs sidecars for experiments: the program's own code for all that is
// control (following lists, telling the Balancer, timers, applying configuration), with
// no callers and no sockets to endpoints. Hundreds share a process. It has nothing of its
// own to get wrong: a sidecar is what `gorselink serve` starts, and its place, seed and
// sources come from its own configuration file.
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
	"gorselink/internal/nodes"
)

// Fleet is the sidecars of one process, by number.
type Sidecars struct {
	mu  sync.Mutex
	all map[int]*sidecar
}

type sidecar struct {
	path  string
	d     *daemon.Daemon
	pools []string // names, in order
}

// Start starts a sidecar by the file at path.
func (f *Sidecars) Start(number int, path string) error {
	f.mu.Lock()
	_, runs := f.all[number]
	f.mu.Unlock()
	if runs {
		return fmt.Errorf("sidecar %d: runs already", number)
	}
	cfg, err := config.LoadDaemon(path)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", number, err)
	}
	d, err := daemon.Start(cfg)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", number, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = map[int]*sidecar{}
	}
	f.all[number] = &sidecar{path, d, poolNames(cfg)}
	return nil
}

func poolNames(cfg *config.Daemon) (names []string) {
	for i := range cfg.Pools {
		names = append(names, cfg.Pools[i].Name)
	}
	slices.Sort(names)
	return names
}

// Stop ends a sidecar at once, as a machine that fails does.
func (f *Sidecars) Stop(number int) error {
	f.mu.Lock()
	s := f.all[number]
	delete(f.all, number)
	f.mu.Unlock()
	if s == nil {
		return fmt.Errorf("sidecar %d: does not run", number)
	}
	s.d.Close()
	return nil
}

// Reload has a sidecar read its file again, as SIGHUP does, and tells what has changed.
func (f *Sidecars) Reload(number int) (changes []string, err error) {
	f.mu.Lock()
	s := f.all[number]
	f.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("sidecar %d: does not run", number)
	}
	cfg, err := config.LoadDaemon(s.path)
	if err == nil {
		changes, err = s.d.Apply(cfg)
	}
	if err != nil {
		return nil, fmt.Errorf("sidecar %d: the old configuration stands: %w", number, err)
	}
	daemon.LogChanges(changes)
	f.mu.Lock()
	s.pools = poolNames(cfg)
	f.mu.Unlock()
	return changes, nil
}

// Close ends all.
func (f *Sidecars) Close() {
	for _, n := range f.numbers() {
		f.Stop(n)
	}
}

func (f *Sidecars) numbers() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.all))
}

// Lists are the lists that a sidecar has, by pool; nil if it does not run.
func (f *Sidecars) Lists(number int) map[string]nodes.List {
	f.mu.Lock()
	s := f.all[number]
	var names []string
	if s != nil {
		names = s.pools
	}
	f.mu.Unlock()
	if s == nil {
		return nil
	}
	all := map[string]nodes.List{}
	for _, name := range names {
		if p := s.d.Pool(name); p != nil {
			all[name] = p.List()
		}
	}
	return all
}

// Listed waits until all pools of all sidecars have been told a list.
func (f *Sidecars) WaitForLists(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range f.numbers() {
		f.mu.Lock()
		s := f.all[n]
		f.mu.Unlock()
		if s == nil {
			continue
		}
		for _, name := range s.pools {
			for p := s.d.Pool(name); p != nil && !p.HasList(); {
				if time.Now().After(end) {
					return fmt.Errorf("sidecar %d: pool %s has no list after %v", n, name, within)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
	}
	return nil
}

// Digests is a short word for the lists of each sidecar: two that have the same have the
// same word.
func (f *Sidecars) Digests() map[int]string {
	all := map[int]string{}
	for _, n := range f.numbers() {
		if lists := f.Lists(n); lists != nil {
			all[n] = Digest(lists)
		}
	}
	return all
}

// Digest is a short word for lists, by pool.
func Digest(lists map[string]nodes.List) string {
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

// errNoRole is of a command that a role does not know.
var errNoRole = errors.New("no such command")
