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
	"gorselink/internal/quorum"
	"gorselink/lease"
)

const (
	claimTick = 20 * time.Millisecond
	// claimPatience is how long the end of a claim is tried to be written: after that the
	// lease goes on to the next holder without it.
	claimPatience = time.Second

	// cutMark ends a line that was cut off: its last number may have lost digits, and must
	// not pass for a whole one.
	cutMark = " cut off\n"
)

// claims is the file in which a process writes down what it claims, a line each:
//
//	begin|held|end LEASE PID EPOCH NOW UNTIL
//
// The begin is on the disk before anything is done by the claim. A line that a kill or a
// failure has cut off stands by itself, marked as such: the next one begins anew.
type claims struct {
	disk  durable.FS
	path  string
	lease string
	epoch lease.Epoch
	until func() (at time.Duration, held bool)
	err   io.Writer // for what cannot be written

	file   durable.File
	torn   bool // what was written last has no end
	failed bool // and that has been told
}

// open opens the file.
func (c *claims) open() error {
	torn, err := tornEnd(c.path)
	if err != nil {
		return err
	}
	c.torn = torn
	if c.file, err = c.disk.OpenFile(c.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	return nil
}

// sync puts on the disk what has been written, and the file's name. What is no file, or is
// in a folder that this process may not read, has nothing of that kind.
func (c *claims) sync() error {
	if err := c.file.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) {
		return err
	}
	if err := c.disk.SyncDir(filepath.Dir(c.path)); err != nil && !errors.Is(err, fs.ErrPermission) {
		return err
	}
	return nil
}

// tornEnd tells whether the last line of a file has no end.
func tornEnd(path string) (bool, error) {
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

// begin writes that the claim begins. After an error nothing may be done by it.
func (c *claims) begin() error {
	err := c.open()
	if err == nil {
		err = c.line("begin")
	}
	if err == nil {
		err = c.sync()
	}
	if err != nil && c.file != nil {
		c.file.Close()
	}
	return err
}

// line appends a line; what is left of one that failed is ended first.
func (c *claims) line(what string) error {
	at, held := c.until()
	now := quorum.Now()
	if !held {
		now = min(now, at)
	}
	text := fmt.Sprintf("%s %s %d %d %d %d\n", what, c.lease, os.Getpid(), c.epoch, now, at)
	if c.torn {
		text = cutMark + text
	}
	n, err := c.file.Write([]byte(text))
	if n > 0 {
		c.torn = n < len(text) && text[n-1] != '\n'
	}
	return err
}

// tell tells of a failure, once for a row of them.
func (c *claims) tell(err error) {
	if err != nil && !c.failed {
		fmt.Fprintf(c.err, "gorselink: lease %s: claims: %v\n", c.lease, err)
	}
	c.failed = err != nil
}

// follow writes that the claim is held until over is closed, and then its end.
func (c *claims) follow(over <-chan struct{}) {
	defer c.file.Close()
	tick := time.NewTicker(claimTick)
	defer tick.Stop()
	for {
		select {
		case <-over:
			c.end()
			return
		case <-tick.C:
			if _, held := c.until(); held {
				c.tell(c.line("held"))
			}
		}
	}
}

// end writes that the claim has ended; the process owes that, and tries again for a while.
// No sync is waited for, as the next holder may begin only after it; with no end, the claim
// counts as held when it last said so.
func (c *claims) end() {
	last := time.Now().Add(claimPatience)
	for wait := claimTick; ; wait = 2 * wait {
		err := c.line("end")
		c.tell(err)
		if err == nil || time.Now().Add(wait).After(last) {
			return
		}
		time.Sleep(wait)
	}
}
