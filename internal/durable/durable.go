// Package durable does to files what has to outlast a kill of the process and a loss of
// power: a name is made or taken away in such a way that it is on the disk before anybody
// is told. The few operations stand behind an interface, so that tests can let each of
// them fail and can look at what a disk would hold at any moment.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is what durable files are made with. OS is the real one.
type FS interface {
	MkdirAll(dir string, perm fs.FileMode) error
	OpenFile(path string, flag int, perm fs.FileMode) (File, error)
	// Names lists a folder, in any order.
	ReadDirNames(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir puts on the disk which names a folder has.
	SyncDir(dir string) error
}

// File is an open file of an FS.
type File interface {
	io.Writer
	// Sync puts on the disk what the file holds, but not its name.
	Sync() error
	Close() error
}

// OS is the file system of the machine.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string, perm fs.FileMode) error { return os.MkdirAll(dir, perm) }

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, perm fs.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err // not f, which would be a File that is not nil
	}
	return f, nil
}

// Names implements FS.
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

// SyncDir implements FS. Some file systems know no sync of a folder and say that the call
// makes no sense; with those there is nothing more to do.
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

// MakeDir makes a folder whose name is on the disk once it returns nil, with the folders
// above it. A folder above that this process may not read is somebody else's, who has to
// see to its names.
func MkdirAll(fsys FS, dir string, perm fs.FileMode) error {
	above := filepath.Dir(dir)
	if _, err := fsys.ReadDirNames(above); errors.Is(err, fs.ErrNotExist) && above != dir {
		if err := MkdirAll(fsys, above, perm); err != nil {
			return err
		}
	}
	if err := fsys.MkdirAll(dir, perm); err != nil {
		return err
	}
	if err := fsys.SyncDir(above); !errors.Is(err, fs.ErrPermission) {
		return err
	}
	return nil
}

// Touch makes an empty file that is on the disk once Touch returns nil. One that is there
// already is only made sure of; made tells whether it is new. After an error the name may
// be there or not.
func Touch(fsys FS, path string, perm fs.FileMode) (made bool, err error) {
	f, err := fsys.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, perm)
	made = err == nil
	if errors.Is(err, fs.ErrExist) {
		f, err = fsys.OpenFile(path, os.O_WRONLY, perm)
	}
	if err != nil {
		return made, err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return made, err
	}
	return made, fsys.SyncDir(filepath.Dir(path))
}

// Remove takes a name away for good once it returns nil; one that is not there is only made
// sure of. After an error the name may be there or not; removed tells that it is not.
func Remove(fsys FS, path string) (removed bool, err error) {
	err = fsys.Remove(path)
	removed = err == nil
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	return removed, fsys.SyncDir(filepath.Dir(path))
}

// Replace puts a file whose content is on the disk in the place of another one, in the same
// folder. Once it returns nil the new one is found there after a loss of power as well;
// after an error it is the old or the new one, whole.
func Replace(fsys FS, from, to string) error {
	if err := fsys.Rename(from, to); err != nil {
		return err
	}
	return fsys.SyncDir(filepath.Dir(to))
}
