package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/durable"
	"gorselink/internal/leaseclient"
)

// faultyFS is the machine's file system with injected errors.
type faultyFS struct {
	durable.OS
	mu        sync.Mutex
	fail      func(op, text string) (bytes int, err error)
	completed []string // operations without an injected error
}

func (fsys *faultyFS) attempt(op, text string) (int, error) {
	fsys.mu.Lock()
	defer fsys.mu.Unlock()
	if fsys.fail != nil {
		if n, err := fsys.fail(op, text); err != nil {
			return n, err
		}
	}
	fsys.completed = append(fsys.completed, op)
	return len(text), nil
}

func (d *faultyFS) OpenFile(path string, flag int, perm fs.FileMode) (durable.File, error) {
	if _, err := d.attempt("open", ""); err != nil {
		return nil, err
	}
	f, err := d.OS.OpenFile(path, flag, perm)
	return &faultyFile{f, d}, err
}

func (d *faultyFS) SyncDir(dir string) error {
	if _, err := d.attempt("syncdir", ""); err != nil {
		return err
	}
	return d.OS.SyncDir(dir)
}

type faultyFile struct {
	durable.File
	d *faultyFS
}

func (f *faultyFile) Write(text []byte) (int, error) {
	n, failed := f.d.attempt("write", string(text))
	n, err := f.File.Write(text[:n])
	return n, errors.Join(failed, err)
}

func (f *faultyFile) Sync() error {
	if _, err := f.d.attempt("sync", ""); err != nil {
		return err
	}
	return f.File.Sync()
}

// newTestClaimLog returns a claimLog for a lease that is held for a minute, and its stderr.
func newTestClaimLog(disk durable.FS, path string) (*claimLog, *bytes.Buffer) {
	var stderr bytes.Buffer
	at := leaseclient.Now() + time.Minute
	return &claimLog{fsys: disk, path: path, lease: "l", epoch: 5, stderr: &stderr, claimEnd: func() (time.Duration, bool) { return at, true }}, &stderr
}

// completeEvents returns the events of the complete lines and skips truncated ones.
func completeEvents(t *testing.T, path string) (all []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var what, name string
		var pid int
		var epoch uint64
		var now, until int64
		n, err := fmt.Sscanf(line, "%s %s %d %d %d %d\n", &what, &name, &pid, &epoch, &now, &until)
		if n == 6 && err == nil {
			all = append(all, what)
		}
	}
	return all
}

// begin fails unless the claim is synced to disk. A line that is truncated at any byte, by a
// kill or a full disk, does not corrupt other lines, and the end of a claim is recorded once the
// disk has space again.
func TestClaimWritesFailOrAreTruncated(t *testing.T) {
	for _, op := range []string{"open", "write", "sync", "syncdir"} {
		disk := &faultyFS{fail: func(is, _ string) (int, error) {
			if is == op {
				return 0, syscall.ENOSPC
			}
			return 0, nil
		}}
		c, _ := newTestClaimLog(disk, filepath.Join(t.TempDir(), "claims"))
		if err := c.begin(); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("failing %s: begin returned %v, want ENOSPC", op, err)
		}
	}
	disk := &faultyFS{}
	path := filepath.Join(t.TempDir(), "claims")
	c, _ := newTestClaimLog(disk, path)
	if err := c.begin(); err != nil || strings.Join(disk.completed, " ") != "open write sync syncdir" {
		t.Errorf("begin made operations %q and returned %v", disk.completed, err)
	}
	line, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range len(line) + 1 {
		killedPath := filepath.Join(t.TempDir(), "claims")
		if err := os.WriteFile(killedPath, append([]byte("begin l 1 4 10 20\n"), line[:offset]...), 0o600); err != nil {
			t.Fatal(err)
		}
		c, _ := newTestClaimLog(durable.OS{}, killedPath)
		if err := c.begin(); err != nil {
			t.Fatal(err)
		}
		want := 2
		if offset == len(line) {
			want = 3
		}
		if all := completeEvents(t, killedPath); len(all) != want || all[want-1] != "begin" {
			t.Errorf("killed at byte %d: events %q", offset, all)
		}
		fullPath := filepath.Join(t.TempDir(), "claims")
		fullDisk := &faultyFS{}
		c, _ = newTestClaimLog(fullDisk, fullPath)
		if err := c.begin(); err != nil {
			t.Fatal(err)
		}
		fullDisk.fail = func(is, text string) (int, error) { return min(offset, len(text)-1), syscall.ENOSPC }
		if err := c.appendLine("held"); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("disk full at byte %d: %v, want ENOSPC", offset, err)
		}
		fullDisk.fail = nil
		if err := c.appendLine("end"); err != nil {
			t.Errorf("disk full at byte %d, then space available: %v", offset, err)
		}
		if all := strings.Join(completeEvents(t, fullPath), " "); all != "begin end" {
			t.Errorf("disk full at byte %d: events %q", offset, all)
		}
	}
}

// While the disk is full the claim remains valid and the error is reported once. The end of the
// claim is recorded once the disk has space again.
func TestClaimLogRecoversFromWriteErrors(t *testing.T) {
	disk := &faultyFS{}
	path := filepath.Join(t.TempDir(), "claims")
	c, stderr := newTestClaimLog(disk, path)
	if err := c.begin(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var failed sync.Once
	ends := 0
	disk.mu.Lock()
	disk.fail = func(_, text string) (int, error) {
		failed.Do(func() { close(stop) })
		if strings.Contains(text, "end") {
			if ends++; ends == 3 {
				return 0, nil
			}
		}
		return 3, syscall.ENOSPC
	}
	disk.mu.Unlock()
	c.recordHeld(stop)
	if all := strings.Join(completeEvents(t, path), " "); all != "begin end" {
		t.Errorf("events %q, want begin and end", all)
	}
	if strings.Count(stderr.String(), "\n") != 1 || !strings.Contains(stderr.String(), path) && !strings.Contains(stderr.String(), "no space") {
		t.Errorf("stderr %q, want one line that describes the error", stderr.String())
	}
}

// Claims can be written to a device, which does not support sync.
func TestClaimLogOnADevice(t *testing.T) {
	c, _ := newTestClaimLog(durable.OS{}, os.DevNull)
	if err := c.begin(); err != nil {
		t.Error(err)
	}
}

// A program does not start if its claim has ended or cannot be recorded.
func TestProgramNeedsARecordedClaim(t *testing.T) {
	dir := t.TempDir()
	var output bytes.Buffer
	env := &environment{stdout: &output, stderr: &output}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c := &leaseRun{Name: "l", Cmd: []string{filepath.Join(dir, "missing program")}}
	if err := c.runWithRecord(ended, env, &leaseclient.Grant{}); err != errLeaseLost {
		t.Errorf("claim has ended: %v, want %v", err, errLeaseLost)
	}
	c.Claims = dir // a directory cannot be opened for writing
	if err := c.runWithRecord(context.Background(), env, &leaseclient.Grant{}); !errors.Is(err, syscall.EISDIR) || !strings.Contains(output.String(), dir) {
		t.Errorf("claim cannot be recorded: %v, stderr %q", err, output.String())
	}
}
