// Package durabletest provides an in-memory durable.FS for tests that simulates power loss
// and failures of single operations.
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

// MemFS is an in-memory durable.FS. It distinguishes the state that programs see from the state
// on disk: File.Sync makes content durable, and SyncDir makes directory entries durable.
type MemFS struct {
	mu         sync.Mutex
	visible    map[string]*inode // the files and directories that programs see, by path
	durable    map[string]*inode // the directory entries on disk, by path
	fault      func(Operation) error
	operations int
}

type inode struct {
	dir     bool
	data    []byte
	synced  []byte
	created bool // set once the file has been synced
}

// Operation describes one operation on a MemFS.
type Operation struct {
	Index int    // counted from 0 since the last InjectFaults
	Name  string // mkdir, open, create, write, sync, list, rename, remove, syncdir
	Path  string
	Bytes int // length of the data of a write
}

// ShortWriteError makes a write fail after Bytes bytes.
type ShortWriteError struct {
	Bytes int
	Err   error
}

func (e *ShortWriteError) Error() string { return e.Err.Error() }
func (e *ShortWriteError) Unwrap() error { return e.Err }

// NewMemFS returns a file system with one empty directory, root.
func NewMemFS(root string) *MemFS {
	m := &MemFS{visible: map[string]*inode{}, durable: map[string]*inode{}}
	for _, entries := range []map[string]*inode{m.visible, m.durable} {
		entries[root] = &inode{dir: true}
	}
	return m
}

// InjectFaults calls f before each operation and makes the operation fail with the error that
// f returns. A write with a ShortWriteError writes a part of its data. InjectFaults also resets
// the operation count; a nil f ends the injection.
func (m *MemFS) InjectFaults(f func(Operation) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.operations = f, 0
}

// OperationCount returns the number of operations since the last InjectFaults.
func (m *MemFS) OperationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// AfterPowerLoss returns the file system as it would be after a power loss. Changes that were
// not synced are lost, except at paths for which keepUnsynced returns true, because an
// operating system may write changes at any time.
func (m *MemFS) AfterPowerLoss(keepUnsynced func(path string) bool) *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	recovered := &MemFS{visible: map[string]*inode{}, durable: map[string]*inode{}}
	paths := maps.Clone(m.durable)
	maps.Copy(paths, m.visible)
	for path := range paths {
		from, data := m.durable, func(n *inode) []byte { return n.synced }
		keep := keepUnsynced != nil && keepUnsynced(path)
		if keep {
			from, data = m.visible, func(n *inode) []byte { return n.data }
		}
		n := from[path]
		if n == nil || !n.dir && !n.created && !keep {
			continue
		}
		restored := &inode{dir: n.dir, data: data(n), synced: data(n), created: true}
		recovered.visible[path], recovered.durable[path] = restored, restored
	}
	recovered.removeOrphans(paths)
	return recovered
}

// removeOrphans removes files and directories whose parent directory was lost.
func (m *MemFS) removeOrphans(paths map[string]*inode) {
	orphaned := func(path string, _ *inode) bool {
		for dir := filepath.Dir(path); paths[dir] != nil; dir = filepath.Dir(dir) {
			if m.visible[dir] == nil {
				return true
			}
		}
		return false
	}
	maps.DeleteFunc(m.visible, orphaned)
	maps.DeleteFunc(m.durable, orphaned)
}

// begin counts an operation and returns its injected error. The caller holds the mutex.
func (m *MemFS) begin(op, path string, bytes int) error {
	operation := Operation{Index: m.operations, Name: op, Path: path, Bytes: bytes}
	m.operations++
	if m.fault == nil {
		return nil
	}
	return m.fault(operation)
}

func notExist(op, path string) error { return &fs.PathError{Op: op, Path: path, Err: fs.ErrNotExist} }

// MkdirAll implements durable.FS.
func (m *MemFS) MkdirAll(dir string, _ fs.FileMode) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("mkdir", dir, 0); err != nil {
		return err
	}
	if m.visible[dir] == nil {
		m.visible[dir] = &inode{dir: true}
	}
	return nil
}

// OpenFile implements durable.FS. Writes append to the file.
func (m *MemFS) OpenFile(path string, flag int, _ fs.FileMode) (durable.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.visible[path]
	op := "open"
	if n == nil {
		op = "create"
	}
	if err := m.begin(op, path, 0); err != nil {
		return nil, err
	}
	switch {
	case n == nil && flag&os.O_CREATE == 0, m.visible[filepath.Dir(path)] == nil:
		return nil, notExist("open", path)
	case n != nil && flag&os.O_EXCL != 0:
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrExist}
	case n == nil:
		n = &inode{}
		m.visible[path] = n
	}
	return &file{fsys: m, inode: n, path: path}, nil
}

// ReadDirNames implements durable.FS.
func (m *MemFS) ReadDirNames(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("list", dir, 0); err != nil {
		return nil, err
	}
	if m.visible[dir] == nil {
		return nil, notExist("open", dir)
	}
	var names []string
	for path := range m.visible {
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
	if err := m.begin("rename", to, 0); err != nil {
		return err
	}
	n := m.visible[from]
	if n == nil {
		return notExist("rename", from)
	}
	delete(m.visible, from)
	m.visible[to] = n
	return nil
}

// Remove implements durable.FS.
func (m *MemFS) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("remove", path, 0); err != nil {
		return err
	}
	if m.visible[path] == nil {
		return notExist("remove", path)
	}
	delete(m.visible, path)
	return nil
}

// SyncDir implements durable.FS.
func (m *MemFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("syncdir", dir, 0); err != nil {
		return err
	}
	if m.visible[dir] == nil {
		return notExist("open", dir)
	}
	maps.DeleteFunc(m.durable, func(path string, _ *inode) bool { return isChild(path, dir) && m.visible[path] == nil })
	for path, n := range m.visible {
		if isChild(path, dir) {
			m.durable[path] = n
		}
	}
	return nil
}

func isChild(path, dir string) bool {
	rest, ok := strings.CutPrefix(path, dir+string(filepath.Separator))
	return ok && !strings.ContainsRune(rest, filepath.Separator)
}

// HideDir hides a directory and the files in it from programs until restore is called.
func (m *MemFS) HideDir(dir string) (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hidden := map[string]*inode{}
	for path, n := range m.visible {
		if path == dir || isChild(path, dir) {
			hidden[path] = n
			delete(m.visible, path)
		}
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		maps.Copy(m.visible, hidden)
	}
}

type file struct {
	fsys  *MemFS
	inode *inode
	path  string
}

// Write implements durable.File.
func (f *file) Write(p []byte) (int, error) {
	f.fsys.mu.Lock()
	defer f.fsys.mu.Unlock()
	err := f.fsys.begin("write", f.path, len(p))
	if short, ok := err.(*ShortWriteError); ok {
		f.inode.data = append(f.inode.data, p[:short.Bytes]...)
		return short.Bytes, err
	}
	if err != nil {
		return 0, err
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync implements durable.File.
func (f *file) Sync() error {
	f.fsys.mu.Lock()
	defer f.fsys.mu.Unlock()
	if err := f.fsys.begin("sync", f.path, 0); err != nil {
		return err
	}
	f.inode.synced, f.inode.created = append([]byte(nil), f.inode.data...), true
	return nil
}

// Close implements durable.File.
func (f *file) Close() error { return nil }
