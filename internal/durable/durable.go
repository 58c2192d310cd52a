// Package durable creates, replaces and removes files so that the change survives a crash of
// the process and a power loss once the function has returned. The file system is an
// interface, so that tests can inject failures and simulate power loss.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the file system that this package works on. OS implements it.
type FS interface {
	MkdirAll(dir string, perm fs.FileMode) error
	OpenFile(path string, flag int, perm fs.FileMode) (File, error)
	// ReadDirNames returns the names in a directory, in any order.
	ReadDirNames(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir syncs the entries of a directory to disk.
	SyncDir(dir string) error
}

// File is an open file of an FS.
type File interface {
	io.Writer
	// Sync syncs the content of the file to disk, but not its directory entry.
	Sync() error
	Close() error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string, perm fs.FileMode) error { return os.MkdirAll(dir, perm) }

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, perm fs.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err // returning a nil *os.File as File would give a non-nil interface
	}
	return f, nil
}

// ReadDirNames implements FS.
func (OS) ReadDirNames(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Readdirnames(-1)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS. It ignores EINVAL, which file systems return that do not support
// syncing a directory.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if errors.Is(err, syscall.EINVAL) {
		err = nil
	}
	return errors.Join(err, f.Close())
}

// MkdirAll creates a directory and its missing parents and syncs their directory entries.
// A parent that this process may not read is not synced.
func MkdirAll(fsys FS, dir string, perm fs.FileMode) error {
	parent := filepath.Dir(dir)
	if _, err := fsys.ReadDirNames(parent); errors.Is(err, fs.ErrNotExist) && parent != dir {
		if err := MkdirAll(fsys, parent, perm); err != nil {
			return err
		}
	}
	if err := fsys.MkdirAll(dir, perm); err != nil {
		return err
	}
	if err := fsys.SyncDir(parent); !errors.Is(err, fs.ErrPermission) {
		return err
	}
	return nil
}

// Touch creates an empty file, or opens an existing one, and syncs it and its directory entry.
// It reports whether the file is new. After an error the file may or may not exist.
func Touch(fsys FS, path string, perm fs.FileMode) (created bool, err error) {
	f, err := fsys.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, perm)
	created = err == nil
	if errors.Is(err, fs.ErrExist) {
		f, err = fsys.OpenFile(path, os.O_WRONLY, perm)
	}
	if err != nil {
		return created, err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return created, err
	}
	return created, fsys.SyncDir(filepath.Dir(path))
}

// Remove removes a file, if it exists, and syncs the directory. After an error the file may
// still exist after a power loss, even if removed is true.
func Remove(fsys FS, path string) (removed bool, err error) {
	err = fsys.Remove(path)
	removed = err == nil
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	return removed, fsys.SyncDir(filepath.Dir(path))
}

// Replace renames from to to, in the same directory, and syncs the directory. The content of
// from must already be synced. After an error, to is either the old or the new file.
func Replace(fsys FS, from, to string) error {
	if err := fsys.Rename(from, to); err != nil {
		return err
	}
	return fsys.SyncDir(filepath.Dir(to))
}
