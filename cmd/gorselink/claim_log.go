package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"gorselink/internal/durable"
	"gorselink/internal/leaseclient"
	"gorselink/lease"
)

const (
	claimInterval = 20 * time.Millisecond
	// claimEndTimeout bounds the attempts to write the end of a claim. After it the lease
	// passes to the next holder without that line.
	claimEndTimeout = time.Second

	// truncationMark is appended to a truncated line, whose last number may lack digits, so
	// that the line is not read as a complete one.
	truncationMark = " cut off\n"
)

// claimLog records the claims of a process in a file, one line for each event:
//
//	begin|held|end LEASE PID EPOCH NOW UNTIL
//
// The begin line is synced to disk before the program starts. A line that was truncated by
// a kill or a failed write is marked, and the next record starts on a new line.
type claimLog struct {
	fsys     durable.FS
	path     string
	lease    string
	epoch    lease.Epoch
	claimEnd func() (at time.Duration, held bool)
	stderr   io.Writer // for write errors

	file      durable.File
	truncated bool // the last line lacks its line end
	failing   bool // the last write failed, and that was reported
}

// open opens the file for appending.
func (c *claimLog) open() error {
	truncated, err := hasTruncatedEnd(c.path)
	if err != nil {
		return err
	}
	c.truncated = truncated
	if c.file, err = c.fsys.OpenFile(c.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	return nil
}

// sync flushes the file and its directory entry to disk. Files that do not support this,
// such as devices, and directories that this process may not read are skipped.
func (c *claimLog) sync() error {
	if err := c.file.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) {
		return err
	}
	if err := c.fsys.SyncDir(filepath.Dir(c.path)); err != nil && !errors.Is(err, fs.ErrPermission) {
		return err
	}
	return nil
}

// hasTruncatedEnd reports whether the last line of a file lacks its line end.
func hasTruncatedEnd(path string) (bool, error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || !info.Mode().IsRegular() || info.Size() == 0 {
		return false, err
	}
	last := make([]byte, 1)
	_, err = f.ReadAt(last, info.Size()-1)
	return last[0] != '\n', err
}

// begin records the start of the claim. After an error the claim must not be used.
func (c *claimLog) begin() error {
	err := c.open()
	if err == nil {
		err = c.appendLine("begin")
	}
	if err == nil {
		err = c.sync()
	}
	if err != nil && c.file != nil {
		c.file.Close()
	}
	return err
}

// appendLine appends a record. It first terminates a truncated line.
func (c *claimLog) appendLine(event string) error {
	until, held := c.claimEnd()
	now := leaseclient.Now()
	if !held {
		now = min(now, until)
	}
	text := fmt.Sprintf("%s %s %d %d %d %d\n", event, c.lease, os.Getpid(), c.epoch, now, until)
	if c.truncated {
		text = truncationMark + text
	}
	n, err := c.file.Write([]byte(text))
	if n > 0 {
		c.truncated = n < len(text) && text[n-1] != '\n'
	}
	return err
}

// reportError reports the first of several consecutive errors.
func (c *claimLog) reportError(err error) {
	if err != nil && !c.failing {
		fmt.Fprintf(c.stderr, "gorselink: lease %s: cannot write to the claims file, retrying: %v\n", c.lease, err)
	}
	c.failing = err != nil
}

// recordHeld records periodically that the claim is held, and its end once stop is closed.
func (c *claimLog) recordHeld(stop <-chan struct{}) {
	defer c.file.Close()
	tick := time.NewTicker(claimInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			c.end()
			return
		case <-tick.C:
			if _, held := c.claimEnd(); held {
				c.reportError(c.appendLine("held"))
			}
		}
	}
}

// end records the end of the claim and retries failed writes for claimEndTimeout. It does
// not sync, because that would delay the next holder; a claim without an end line counts as
// held until its last record.
func (c *claimLog) end() {
	deadline := time.Now().Add(claimEndTimeout)
	for wait := claimInterval; ; wait = 2 * wait {
		err := c.appendLine("end")
		c.reportError(err)
		if err == nil || time.Now().Add(wait).After(deadline) {
			return
		}
		time.Sleep(wait)
	}
}
