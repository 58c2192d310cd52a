// Package fleet is what operators and other processes of the same sidecar see of
// it: a door for calls by hand, marks that outlive a process, and the handover
// from one process to the next.
package fleet

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Marks are what operators have said by hand: which endpoints are out, and
// whether the sidecar is drained. Each stands as an empty file in a folder that
// the processes of one sidecar share, so that what is said to one of them holds
// in the others and in the next one. To put a mark or take it away is one system
// call that nothing can tear; a list in one file would need a lock against two
// processes that write at once. Without a folder the marks are of the process.
type Marks struct {
	dir    string
	notify func(Said)

	mu      sync.Mutex
	said    Said
	changed time.Time // of the folder, as it was when last read
}

// Said is what the marks say at one moment.
type Said struct {
	Out     map[string]bool // endpoints by id; not to be changed
	Drained bool
}

func (s Said) equal(o Said) bool { return s.Drained == o.Drained && maps.Equal(s.Out, o.Out) }

const (
	outMark     = "out-"
	drainedMark = "drained"

	// maxName bounds the name of a file; a longer id was never listed.
	maxName = 250

	// markTick is how often the folder is looked at for what was said to
	// another process: well within the 1 s after which it has to hold.
	markTick = 200 * time.Millisecond

	// markDoubt is how long a folder's time may stand still under a change:
	// file systems date by the kernel's tick, of 10 ms at most.
	markDoubt = 100 * time.Millisecond
)

// OpenMarks returns the marks in the folder dir, which it makes if need be. An
// empty dir keeps them in the process. All that is said is handed to notify,
// one call at a time, at once with what stands there.
func OpenMarks(dir string, notify func(Said)) (*Marks, error) {
	m := &Marks{dir: dir, notify: notify, said: Said{Out: map[string]bool{}}}
	if dir != "" {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("marks: %w", err)
		}
		if err := m.Look(); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	notify(m.said)
	return m, nil
}

// Said is what the marks say now.
func (m *Marks) Said() Said {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.said
}

// Out marks an endpoint as out, or takes that back. Once it returns nil, notify
// has been told.
func (m *Marks) Out(id string, out bool) error {
	return m.mark(outMark+url.QueryEscape(id), out, func(s *Said) {
		s.Out = maps.Clone(s.Out)
		if out {
			s.Out[id] = true
		} else {
			delete(s.Out, id)
		}
	})
}

// Drain marks the sidecar as drained, or takes that back.
func (m *Marks) Drain(on bool) error {
	return m.mark(drainedMark, on, func(s *Said) { s.Drained = on })
}

func (m *Marks) mark(name string, on bool, change func(*Said)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
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

func (m *Marks) file(name string, on bool) error {
	if len(name) > maxName {
		return fmt.Errorf("a name of %d bytes, want %d at most", len(name), maxName)
	}
	path := filepath.Join(m.dir, name)
	if !on {
		if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	return f.Close()
}

// tell hands on what is said if it is new; the mutex is held.
func (m *Marks) tell(next Said) {
	if next.equal(m.said) {
		return
	}
	m.said = next
	m.notify(next)
}

// Look reads the folder if it may have changed.
func (m *Marks) Look() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dir == "" {
		return nil
	}
	info, err := os.Stat(m.dir)
	if err != nil {
		return fmt.Errorf("marks: %w", err)
	}
	if info.ModTime().Equal(m.changed) {
		return nil
	}
	entries, err := os.ReadDir(m.dir)
	if err != nil {
		return fmt.Errorf("marks: %w", err)
	}
	next := Said{Out: map[string]bool{}}
	for _, e := range entries {
		if e.Name() == drainedMark {
			next.Drained = true
		}
		if name, ok := strings.CutPrefix(e.Name(), outMark); ok {
			if id, err := url.QueryUnescape(name); err == nil {
				next.Out[id] = true
			}
		}
	}
	if time.Since(info.ModTime()) > markDoubt {
		m.changed = info.ModTime()
	}
	m.tell(next)
	return nil
}

// Watch looks for what other processes are told, until done is closed.
func (m *Marks) Watch(done <-chan struct{}) {
	if m.dir == "" {
		return
	}
	tick := time.NewTicker(markTick)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		err := m.Look()
		if err != nil && !failed { // once for a row of failures
			slog.Error("what operators say to other processes is not seen", "error", err)
		}
		failed = err != nil
	}
}
