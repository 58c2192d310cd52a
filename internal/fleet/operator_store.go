// Package fleet provides the operator console of a sidecar, the operator state that the
// processes of the sidecar share, and the handover from a running process to its successor.
package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/durable"
)

// OperatorStore keeps the operator state as empty files in a directory that the processes
// of one sidecar share: one per disabled endpoint and one for the drain. Creating or
// removing a file is atomic, so that concurrent writers need no lock. Without a directory
// the state is kept in memory.
type OperatorStore struct {
	dir      string
	fsys     durable.FS
	notify   func(OperatorState)
	unusable error // why no state can be stored, see UnusableOperatorStore; else nil

	mu        sync.Mutex
	state     OperatorState
	dirListed bool // the directory has been read once
	dirSynced bool // the directory's own entry has been synced to disk

	// pendingRollbacks has the files whose previous state could not be restored after a
	// failed change, and whether each existed. It overrides the content of the directory.
	pendingRollbacks map[string]bool
}

// OperatorState is the state that operators have set.
type OperatorState struct {
	Disabled map[string]bool // endpoints by id; must not be modified
	Drained  bool
}

func (s OperatorState) equal(o OperatorState) bool {
	return s.Drained == o.Drained && maps.Equal(s.Disabled, o.Disabled)
}

const (
	disabledPrefix = "out-"
	drainedFile    = "drained"

	// maxFileNameBytes is below the limit of common file systems.
	maxFileNameBytes = 250

	// watchInterval is the interval between reads of the directory. A change made by
	// another process must be effective within 1 s.
	watchInterval = 200 * time.Millisecond

	// maxRollbackTicks bounds the backoff between attempts of a rollback, in watch intervals.
	maxRollbackTicks = 25
)

// OpenOperatorStore opens the store in the directory dir and creates dir if necessary. An
// empty dir means that the state is kept in memory. The initial state and each change are
// passed to notify, one call at a time. If the directory cannot be read, the initial state
// is empty and Watch retries.
func OpenOperatorStore(dir string, notify func(OperatorState)) (*OperatorStore, error) {
	return openOperatorStore(durable.OS{}, dir, notify)
}

func openOperatorStore(fsys durable.FS, dir string, notify func(OperatorState)) (*OperatorStore, error) {
	s := &OperatorStore{dir: dir, fsys: fsys, notify: notify, state: OperatorState{Disabled: map[string]bool{}}, pendingRollbacks: map[string]bool{}}
	if err := s.Reload(); errors.Is(err, syscall.ENOTDIR) { // a permanent error
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notify(s.state)
	return s, nil
}

// UnusableOperatorStore returns an empty store in place of one with a directory that cannot be
// used. Each change fails with cause, because it would be lost when the process ends.
func UnusableOperatorStore(cause error, notify func(OperatorState)) *OperatorStore {
	s := &OperatorStore{notify: notify, state: OperatorState{Disabled: map[string]bool{}}, unusable: cause}
	notify(s.state)
	return s
}

// State returns the current state.
func (s *OperatorStore) State() OperatorState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// SetDisabled disables or enables an endpoint. When it returns nil, the change has been
// synced to disk and passed to notify. After an error nothing has changed.
func (s *OperatorStore) SetDisabled(id string, disabled bool) error {
	return s.update(disabledPrefix+url.QueryEscape(id), disabled, func(state *OperatorState) {
		state.Disabled = maps.Clone(state.Disabled)
		if disabled {
			state.Disabled[id] = true
		} else {
			delete(state.Disabled, id)
		}
	})
}

// SetDrained starts or ends the drain of the sidecar, with the guarantees of SetDisabled.
func (s *OperatorStore) SetDrained(drained bool) error {
	return s.update(drainedFile, drained, func(state *OperatorState) { state.Drained = drained })
}

// update creates or removes the named file and, if that succeeds, applies change to the state. A
// store without a directory has only the state in memory.
func (s *OperatorStore) update(name string, exists bool, change func(*OperatorState)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unusable != nil {
		return fmt.Errorf("operator state: %w", s.unusable)
	}
	if s.dir != "" {
		if err := s.persist(name, exists); err != nil {
			return fmt.Errorf("operator state: %w", err)
		}
	}
	next := s.state
	change(&next)
	s.publish(next)
	return nil
}

// persist creates or removes a file of the store. After an error it restores the previous
// content of the directory or, if that fails too, leaves this to retryRollbacks.
func (s *OperatorStore) persist(name string, exists bool) error {
	if len(name) > maxFileNameBytes {
		return fmt.Errorf("file name takes %d bytes, want at most %d", len(name), maxFileNameBytes)
	}
	if err := s.ensureDir(); err != nil {
		return err
	}
	changed, err := s.setFile(name, exists)
	if err == nil {
		delete(s.pendingRollbacks, name)
		return nil
	}
	if !changed {
		return err
	}
	if _, rollbackErr := s.setFile(name, !exists); rollbackErr != nil {
		s.pendingRollbacks[name] = !exists
	}
	return err
}

// setFile creates or removes a file. It reports whether the directory has changed, which
// is possible even if it returns an error.
func (s *OperatorStore) setFile(name string, exists bool) (changed bool, err error) {
	path := filepath.Join(s.dir, name)
	if exists {
		return durable.Touch(s.fsys, path, 0o600)
	}
	return durable.Remove(s.fsys, path)
}

// ensureDir creates the directory and syncs its own entry to disk, without which its files
// could be lost. A directory that has disappeared is not created again, because an empty
// one would reset the state.
func (s *OperatorStore) ensureDir() error {
	if s.dirSynced {
		return nil
	}
	if s.dirListed {
		if _, err := s.fsys.ReadDirNames(s.dir); err != nil {
			return err
		}
	}
	if err := durable.MkdirAll(s.fsys, s.dir, 0o700); err != nil {
		return err
	}
	s.dirSynced = true
	return nil
}

// retryRollbacks retries the pending rollbacks and returns the last error.
func (s *OperatorStore) retryRollbacks() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lastErr error
	for name, exists := range s.pendingRollbacks {
		if _, err := s.setFile(name, exists); err != nil {
			lastErr = err
			continue
		}
		delete(s.pendingRollbacks, name)
	}
	return lastErr
}

// publish stores a state that differs from the current one and passes it to notify. The
// mutex must be held.
func (s *OperatorStore) publish(next OperatorState) {
	if next.equal(s.state) {
		return
	}
	s.state = next
	s.notify(next)
}

// Reload reads the state from the directory. It does not rely on the modification time,
// which depends on the wall clock. If the directory cannot be read, the state is unchanged.
func (s *OperatorStore) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dir == "" {
		return nil
	}
	names, err := s.listDir()
	if err != nil {
		return fmt.Errorf("operator state: %w", err)
	}
	files := map[string]bool{}
	for _, name := range names {
		files[name] = true
	}
	maps.Copy(files, s.pendingRollbacks)
	s.publish(stateFromFiles(files))
	return nil
}

// listDir returns the names in the directory, which it creates before the first read.
func (s *OperatorStore) listDir() ([]string, error) {
	if !s.dirListed {
		if err := s.fsys.MkdirAll(s.dir, 0o700); err != nil {
			return nil, err
		}
	}
	names, err := s.fsys.ReadDirNames(s.dir)
	s.dirListed = s.dirListed || err == nil
	return names, err
}

// stateFromFiles returns the state that the files of a directory represent.
func stateFromFiles(files map[string]bool) OperatorState {
	state := OperatorState{Disabled: map[string]bool{}, Drained: files[drainedFile]}
	for name, exists := range files {
		escaped, ok := strings.CutPrefix(name, disabledPrefix)
		if !exists || !ok {
			continue
		}
		if id, err := url.QueryUnescape(escaped); err == nil {
			state.Disabled[id] = true
		}
	}
	return state
}

// Watch polls for changes made by other processes and retries the pending rollbacks until
// done is closed.
func (s *OperatorStore) Watch(done <-chan struct{}) {
	if s.dir == "" {
		return
	}
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var reloadFailed, rollbackFailed bool
	rollbackTicks, elapsedTicks := 1, 0 // ticks between two attempts, and since the last one
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		err := s.Reload()
		if err != nil && !reloadFailed { // log only the first of consecutive failures
			slog.Error("operator state cannot be read; keeping the last known state", "folder", s.dir, "error", err)
		}
		reloadFailed = err != nil
		if elapsedTicks++; elapsedTicks < rollbackTicks {
			continue
		}
		elapsedTicks = 0
		err = s.retryRollbacks()
		if err != nil && !rollbackFailed {
			slog.Error("rollback of a failed operator change failed; retrying", "folder", s.dir, "error", err)
		}
		rollbackFailed = err != nil
		rollbackTicks = min(2*rollbackTicks, maxRollbackTicks)
		if !rollbackFailed {
			rollbackTicks = 1
		}
	}
}
