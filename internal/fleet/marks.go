// Package fleet is what operators and other processes of the same sidecar see of
// it: a door for calls by hand, marks that outlive a process, and the handover
// from one process to the next.
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

// Marks are what operators have said by hand: which endpoints are out, and
// whether the sidecar is drained. Each stands as an empty file in a folder that
// the processes of one sidecar share, so that what is said to one of them holds
// in the others and in the next one. A name is there or not, and nothing can tear
// it; a list in one file would need a lock against two processes that write at
// once. Without a folder the marks are of the process.
type OperatorStore struct {
	dir    string
	disk   durable.FS
	notify func(OperatorState)
	broken error // why nothing can be kept, see UnusableMarks; nil as a rule

	mu     sync.Mutex
	said   OperatorState
	listed bool // the folder has been read once
	rooted bool // the folder's own name is on the disk

	// owed are the files that could not be put back after a change that failed
	// half way, and whether they have to be there. For them it is not the folder
	// that counts.
	owed map[string]bool
}

// Said is what the marks say at one moment.
type OperatorState struct {
	Disabled map[string]bool // endpoints by id; not to be changed
	Drained  bool
}

func (s OperatorState) equal(o OperatorState) bool {
	return s.Drained == o.Drained && maps.Equal(s.Disabled, o.Disabled)
}

const (
	outMark     = "out-"
	drainedMark = "drained"

	// maxName bounds the name of a file; a longer id was never listed.
	maxName = 250

	// markTick is how often the folder is looked at for what was said to
	// another process: well within the 1 s after which it has to hold.
	markTick = 200 * time.Millisecond

	// owedMost is the most ticks between two tries to put a file back.
	owedMost = 25
)

// OpenMarks returns the marks in the folder dir, which it makes if need be. An
// empty dir keeps them in the process. All that is said is handed to notify,
// one call at a time, at once with what stands there. A folder that cannot be
// read for now says nothing yet, and Watch tries again.
func OpenOperatorStore(dir string, notify func(OperatorState)) (*OperatorStore, error) {
	return openMarks(durable.OS{}, dir, notify)
}

func openMarks(disk durable.FS, dir string, notify func(OperatorState)) (*OperatorStore, error) {
	m := &OperatorStore{dir: dir, disk: disk, notify: notify, said: OperatorState{Disabled: map[string]bool{}}, owed: map[string]bool{}}
	if err := m.Look(); errors.Is(err, syscall.ENOTDIR) { // that does not pass
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	notify(m.said)
	return m, nil
}

// UnusableMarks returns marks for a folder that can never be used, as the cause says.
// They say nothing, and all that operators say to them fails with the cause: a word that
// would be forgotten with the process must not be taken for one that is kept.
func UnusableOperatorStore(cause error, notify func(OperatorState)) *OperatorStore {
	m := &OperatorStore{notify: notify, said: OperatorState{Disabled: map[string]bool{}}, broken: cause}
	notify(m.said)
	return m
}

// Said is what the marks say now.
func (m *OperatorStore) State() OperatorState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.said
}

// Out marks an endpoint as out, or takes that back. Once it returns nil, that is
// on the disk and notify has been told; after an error nothing has changed.
func (m *OperatorStore) SetDisabled(id string, out bool) error {
	return m.mark(outMark+url.QueryEscape(id), out, func(s *OperatorState) {
		s.Disabled = maps.Clone(s.Disabled)
		if out {
			s.Disabled[id] = true
		} else {
			delete(s.Disabled, id)
		}
	})
}

// Drain marks the sidecar as drained, or takes that back, as Out does.
func (m *OperatorStore) SetDrained(on bool) error {
	return m.mark(drainedMark, on, func(s *OperatorState) { s.Drained = on })
}

func (m *OperatorStore) mark(name string, on bool, change func(*OperatorState)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken != nil {
		return fmt.Errorf("marks: %w", m.broken)
	}
	if m.dir != "" {
		if err := m.file(name, on); err != nil {
			return fmt.Errorf("marks: %w", err)
		}
	}
	next := m.said
	change(&next)
	m.tell(next)
	return nil
}

// file puts a mark on the disk or takes it off. After an error the folder is as
// before, or will be: what is left of the change is owed.
func (m *OperatorStore) file(name string, on bool) error {
	if len(name) > maxName {
		return fmt.Errorf("a name of %d bytes, want %d at most", len(name), maxName)
	}
	if err := m.root(); err != nil {
		return err
	}
	changed, err := m.put(name, on)
	if err == nil {
		delete(m.owed, name)
		return nil
	}
	if !changed {
		return err
	}
	if _, undone := m.put(name, !on); undone != nil {
		m.owed[name] = !on
	}
	return err
}

// put makes the file of a mark or removes it. It tells whether the name is now
// another than before, which may be so with an error as well.
func (m *OperatorStore) put(name string, on bool) (changed bool, err error) {
	path := filepath.Join(m.dir, name)
	if on {
		return durable.Touch(m.disk, path, 0o600)
	}
	return durable.Remove(m.disk, path)
}

// root makes the folder, and puts its name on the disk: a mark is worth no more
// than the folder that it is in. One that was there and is gone is not made again,
// as an empty one would take back all that was said.
func (m *OperatorStore) root() error {
	if m.rooted {
		return nil
	}
	if m.listed {
		if _, err := m.disk.Names(m.dir); err != nil {
			return err
		}
	}
	if err := durable.MakeDir(m.disk, m.dir, 0o700); err != nil {
		return err
	}
	m.rooted = true
	return nil
}

// settle tries to put back what is owed.
func (m *OperatorStore) settle() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed error
	for name, on := range m.owed {
		if _, err := m.put(name, on); err != nil {
			failed = err
			continue
		}
		delete(m.owed, name)
	}
	return failed
}

// tell hands on what is said if it is new; the mutex is held.
func (m *OperatorStore) tell(next OperatorState) {
	if next.equal(m.said) {
		return
	}
	m.said = next
	m.notify(next)
}

// Look reads the folder. It does so each time: the folder's date would tell of a
// change only as long as nobody sets the clock. If it cannot be read, what was
// said last stands.
func (m *OperatorStore) Look() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dir == "" {
		return nil
	}
	names, err := m.list()
	if err != nil {
		return fmt.Errorf("marks: %w", err)
	}
	there := map[string]bool{}
	for _, name := range names {
		there[name] = true
	}
	maps.Copy(there, m.owed)
	m.tell(read(there))
	return nil
}

// list gives the names in the folder, which is made if it has never been there.
func (m *OperatorStore) list() ([]string, error) {
	if !m.listed {
		if err := m.disk.MkdirAll(m.dir, 0o700); err != nil {
			return nil, err
		}
	}
	names, err := m.disk.Names(m.dir)
	m.listed = m.listed || err == nil
	return names, err
}

// read gives what the files of a folder say.
func read(there map[string]bool) OperatorState {
	s := OperatorState{Disabled: map[string]bool{}, Drained: there[drainedMark]}
	for name, is := range there {
		escaped, ok := strings.CutPrefix(name, outMark)
		if !is || !ok {
			continue
		}
		if id, err := url.QueryUnescape(escaped); err == nil {
			s.Disabled[id] = true
		}
	}
	return s
}

// Watch looks for what other processes are told, and tries again what is owed,
// until done is closed.
func (m *OperatorStore) Watch(done <-chan struct{}) {
	if m.dir == "" {
		return
	}
	tick := time.NewTicker(markTick)
	defer tick.Stop()
	var unseen, unsettled bool
	wait, waited := 1, 0 // ticks between two tries, and since the last one
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		err := m.Look()
		if err != nil && !unseen { // once for a row of failures
			slog.Error("what operators say to other processes is not seen; what they said last stands", "folder", m.dir, "error", err)
		}
		unseen = err != nil
		if waited++; waited < wait {
			continue
		}
		waited = 0
		err = m.settle()
		if err != nil && !unsettled {
			slog.Error("a change by operators failed, and its file cannot be put back yet", "folder", m.dir, "error", err)
		}
		unsettled = err != nil
		wait = min(2*wait, owedMost)
		if !unsettled {
			wait = 1
		}
	}
}
