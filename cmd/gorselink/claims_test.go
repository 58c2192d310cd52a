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
	"gorselink/internal/quorum"
)

// frailDisk is the machine's file system, some operations of which fail.
type frailDisk struct {
	durable.OS
	mu   sync.Mutex
	fail func(op, text string) (bytes int, err error)
	did  []string // the operations that worked
}

func (d *frailDisk) step(op, text string) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail != nil {
		if n, err := d.fail(op, text); err != nil {
			return n, err
		}
	}
	d.did = append(d.did, op)
	return len(text), nil
}

func (d *frailDisk) OpenFile(path string, flag int, perm fs.FileMode) (durable.File, error) {
	if _, err := d.step("open", ""); err != nil {
		return nil, err
	}
	f, err := d.OS.OpenFile(path, flag, perm)
	return &frailFile{f, d}, err
}

func (d *frailDisk) SyncDir(dir string) error {
	if _, err := d.step("syncdir", ""); err != nil {
		return err
	}
	return d.OS.SyncDir(dir)
}

type frailFile struct {
	durable.File
	d *frailDisk
}

func (f *frailFile) Write(text []byte) (int, error) {
	n, failed := f.d.step("write", string(text))
	n, err := f.File.Write(text[:n])
	return n, errors.Join(failed, err)
}

func (f *frailFile) Sync() error {
	if _, err := f.d.step("sync", ""); err != nil {
		return err
	}
	return f.File.Sync()
}

// claimsOn are claims with a lease that is held for a minute.
func claimsOn(disk durable.FS, path string) (*claims, *bytes.Buffer) {
	var told bytes.Buffer
	at := quorum.Now() + time.Minute
	return &claims{disk: disk, path: path, lease: "l", epoch: 5, err: &told, until: func() (time.Duration, bool) { return at, true }}, &told
}

// wholeLines gives the first words of the lines that an audit takes; it leaves others out.
func wholeLines(t *testing.T, path string) (all []string) {
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

// A claim is on the disk before anything is done by it, or nothing is done; a line that is
// cut off at any byte, by a kill or a full disk, spoils no other; the end of a claim is
// written once the disk takes it.
func TestStateWritesFailAndTear(t *testing.T) {
	for _, op := range []string{"open", "write", "sync", "syncdir"} {
		disk := &frailDisk{fail: func(is, _ string) (int, error) {
			if is == op {
				return 0, syscall.ENOSPC
			}
			return 0, nil
		}}
		c, _ := claimsOn(disk, filepath.Join(t.TempDir(), "claims"))
		if err := c.begin(); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s fails: %v", op, err)
		}
	}
	disk := &frailDisk{}
	path := filepath.Join(t.TempDir(), "claims")
	c, _ := claimsOn(disk, path)
	if err := c.begin(); err != nil || strings.Join(disk.did, " ") != "open write sync syncdir" {
		t.Errorf("begun by %q, %v", disk.did, err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) + 1 {
		killed := filepath.Join(t.TempDir(), "claims")
		if err := os.WriteFile(killed, append([]byte("begin l 1 4 10 20\n"), whole[:cut]...), 0o600); err != nil {
			t.Fatal(err)
		}
		c, _ := claimsOn(durable.OS{}, killed)
		if err := c.begin(); err != nil {
			t.Fatal(err)
		}
		want := 2
		if cut == len(whole) {
			want = 3
		}
		if all := wholeLines(t, killed); len(all) != want || all[want-1] != "begin" {
			t.Errorf("killed at byte %d: lines %q", cut, all)
		}
		full := filepath.Join(t.TempDir(), "claims")
		frail := &frailDisk{}
		c, _ = claimsOn(frail, full)
		if err := c.begin(); err != nil {
			t.Fatal(err)
		}
		frail.fail = func(is, text string) (int, error) { return min(cut, len(text)-1), syscall.ENOSPC }
		if err := c.line("held"); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("full at byte %d: %v", cut, err)
		}
		frail.fail = nil
		if err := c.line("end"); err != nil {
			t.Errorf("full at byte %d, and then not: %v", cut, err)
		}
		if all := strings.Join(wholeLines(t, full), " "); all != "begin end" {
			t.Errorf("full at byte %d: lines %q", cut, all)
		}
	}
}

// While the disk takes nothing the claim goes on, which is told once; its end is written
// when it does again.
func TestClaimsOutlastTheirDisk(t *testing.T) {
	disk := &frailDisk{}
	path := filepath.Join(t.TempDir(), "claims")
	c, told := claimsOn(disk, path)
	if err := c.begin(); err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	var failed sync.Once
	ends := 0
	disk.mu.Lock()
	disk.fail = func(_, text string) (int, error) {
		failed.Do(func() { close(over) })
		if strings.Contains(text, "end") {
			if ends++; ends == 3 {
				return 0, nil
			}
		}
		return 3, syscall.ENOSPC
	}
	disk.mu.Unlock()
	c.follow(over)
	if all := strings.Join(wholeLines(t, path), " "); all != "begin end" {
		t.Errorf("lines %q", all)
	}
	if strings.Count(told.String(), "\n") != 1 || !strings.Contains(told.String(), path) && !strings.Contains(told.String(), "no space") {
		t.Errorf("told %q", told.String())
	}
}

// What is no file takes claims as well.
func TestClaimsMayGoToADevice(t *testing.T) {
	c, _ := claimsOn(durable.OS{}, os.DevNull)
	if err := c.begin(); err != nil {
		t.Error(err)
	}
}

// Without its claim on record, or once that is over, a program does not start.
func TestNoProgramWithoutAClaimOnRecord(t *testing.T) {
	dir := t.TempDir()
	var told bytes.Buffer
	s := &shell{out: &told, err: &told}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	c := &leaseRun{Name: "l", Cmd: []string{filepath.Join(dir, "no program")}}
	if err := c.audited(over, s, &quorum.Grant{}); err != errLost {
		t.Errorf("the claim is over: %v, want %v", err, errLost)
	}
	c.Claims = dir // which is no file
	if err := c.audited(context.Background(), s, &quorum.Grant{}); !errors.Is(err, syscall.EISDIR) || !strings.Contains(told.String(), dir) {
		t.Errorf("no record: %v, told %q", err, told.String())
	}
}
