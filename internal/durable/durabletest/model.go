// Package durabletest has file systems for tests: a model of a disk, which can be asked
// what it would hold after a loss of power, and faults at any step.
package durabletest

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"gorselink/internal/durable"
)

// Model is a durable.FS in memory. It holds apart what programs see and what is on the
// disk: content gets there by the Sync of its file, names by the SyncDir of their folder.
type MemFS struct {
	mu    sync.Mutex
	now   map[string]*node // what programs see, by path
	disk  map[string]*node // the names that are on the disk
	fault func(Operation) error
	steps int
}

type node struct {
	dir    bool
	data   []byte
	synced []byte
	made   bool // on the disk: a file's first Sync puts it there
}

// Step is one operation of a program on a Model.
type Operation struct {
	Index int    // from 0
	Name  string // mkdir, open, create, write, sync, list, rename, remove, syncdir
	Path  string
	Bytes int // that are to be written
}

// Torn is an error of a write that came to so many bytes.
type Torn struct {
	Bytes int
	Err   error
}

func (e *Torn) Error() string { return e.Err.Error() }
func (e *Torn) Unwrap() error { return e.Err }

// NewModel returns a disk with an empty folder root.
func NewMemFS(root string) *MemFS {
	m := &MemFS{now: map[string]*node{}, disk: map[string]*node{}}
	for _, all := range []map[string]*node{m.now, m.disk} {
		all[root] = &node{dir: true}
	}
	return m
}

// Fault has f asked before each step; a step for which f gives an error does nothing (a
// Torn write does a part). It counts steps from 0 again. f nil ends that.
func (m *MemFS) InjectFaults(f func(Operation) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.steps = f, 0
}

// Steps is how many steps there have been since the last Fault.
func (m *MemFS) OperationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps
}

// AfterPowerLoss returns the disk as it is found after a loss of power now. What was not
// synced is lost; or, if kept is asked for a path and says so, it has got to the disk
// nevertheless, as a system may write at any time.
func (m *MemFS) AfterPowerLoss(kept func(path string) bool) *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := &MemFS{now: map[string]*node{}, disk: map[string]*node{}}
	paths := maps.Clone(m.disk)
	maps.Copy(paths, m.now)
	for path := range paths {
		from, data := m.disk, func(n *node) []byte { return n.synced }
		keep := kept != nil && kept(path)
		if keep {
			from, data = m.now, func(n *node) []byte { return n.data }
		}
		n := from[path]
		if n == nil || !n.dir && !n.made && !keep {
			continue
		}
		again := &node{dir: n.dir, data: data(n), synced: data(n), made: true}
		after.now[path], after.disk[path] = again, again
	}
	after.dropLost(paths)
	return after
}

// dropLost removes what was in folders that are lost themselves.
func (m *MemFS) dropLost(paths map[string]*node) {
	lost := func(path string, _ *node) bool {
		for dir := filepath.Dir(path); paths[dir] != nil; dir = filepath.Dir(dir) {
			if m.now[dir] == nil {
				return true
			}
		}
		return false
	}
	maps.DeleteFunc(m.now, lost)
	maps.DeleteFunc(m.disk, lost)
}

// step is asked before each operation; the mutex is held.
func (m *MemFS) step(op, path string, bytes int) error {
	s := Operation{Index: m.steps, Name: op, Path: path, Bytes: bytes}
	m.steps++
	if m.fault == nil {
		return nil
	}
	return m.fault(s)
}

func notThere(op, path string) error { return &fs.PathError{Op: op, Path: path, Err: fs.ErrNotExist} }

// MkdirAll implements durable.FS.
func (m *MemFS) MkdirAll(dir string, _ fs.FileMode) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("mkdir", dir, 0); err != nil {
		return err
	}
	if m.now[dir] == nil {
		m.now[dir] = &node{dir: true}
	}
	return nil
}

// OpenFile implements durable.FS. A file is written to at its end.
func (m *MemFS) OpenFile(path string, flag int, _ fs.FileMode) (durable.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.now[path]
	op := "open"
	if n == nil {
		op = "create"
	}
	if err := m.step(op, path, 0); err != nil {
		return nil, err
	}
	switch {
	case n == nil && flag&os.O_CREATE == 0, m.now[filepath.Dir(path)] == nil:
		return nil, notThere("open", path)
	case n != nil && flag&os.O_EXCL != 0:
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrExist}
	case n == nil:
		n = &node{}
		m.now[path] = n
	}
	return &file{m: m, n: n, path: path}, nil
}

// Names implements durable.FS.
func (m *MemFS) ReadDirNames(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("list", dir, 0); err != nil {
		return nil, err
	}
	if m.now[dir] == nil {
		return nil, notThere("open", dir)
	}
	var names []string
	for path := range m.now {
		if filepath.Dir(path) == dir && path != dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Rename implements durable.FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("rename", to, 0); err != nil {
		return err
	}
	n := m.now[from]
	if n == nil {
		return notThere("rename", from)
	}
	delete(m.now, from)
	m.now[to] = n
	return nil
}

// Remove implements durable.FS.
func (m *MemFS) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("remove", path, 0); err != nil {
		return err
	}
	if m.now[path] == nil {
		return notThere("remove", path)
	}
	delete(m.now, path)
	return nil
}

// SyncDir implements durable.FS.
func (m *MemFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("syncdir", dir, 0); err != nil {
		return err
	}
	if m.now[dir] == nil {
		return notThere("open", dir)
	}
	maps.DeleteFunc(m.disk, func(path string, _ *node) bool { return inside(path, dir) && m.now[path] == nil })
	for path, n := range m.now {
		if inside(path, dir) {
			m.disk[path] = n
		}
	}
	return nil
}

func inside(path, dir string) bool {
	rest, ok := strings.CutPrefix(path, dir+string(filepath.Separator))
	return ok && !strings.ContainsRune(rest, filepath.Separator)
}

// Vanish takes a folder and all in it out of the programs' sight until the returned
// function is called.
func (m *MemFS) HideDir(dir string) (back func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := map[string]*node{}
	for path, n := range m.now {
		if path == dir || inside(path, dir) {
			gone[path] = n
			delete(m.now, path)
		}
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		maps.Copy(m.now, gone)
	}
}

type file struct {
	m    *MemFS
	n    *node
	path string
}

// Write implements durable.File.
func (f *file) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	err := f.m.step("write", f.path, len(p))
	if torn, ok := err.(*Torn); ok {
		f.n.data = append(f.n.data, p[:torn.Bytes]...)
		return torn.Bytes, err
	}
	if err != nil {
		return 0, err
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

// Sync implements durable.File.
func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.step("sync", f.path, 0); err != nil {
		return err
	}
	f.n.synced, f.n.made = append([]byte(nil), f.n.data...), true
	return nil
}

// Close implements durable.File.
func (f *file) Close() error { return nil }
