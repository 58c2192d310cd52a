// Command lease plays a case: the holder of a lease is told to end, and hands the lease over.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"review/standin"
)

const voters = 3

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var addresses []string
	for range voters {
		a, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, a)
	}
	configs := make([]string, voters)
	for i := range voters {
		text := fmt.Sprintf("[quorum]\ncluster = \"hall\"\nid = %d\ndir = %q\n", i+1, filepath.Join(c.Dir, fmt.Sprintf("voter%d", i+1)))
		for k, a := range addresses {
			text += fmt.Sprintf("\n[[quorum.voters]]\nid = %d\naddress = %q\n", k+1, a)
		}
		configs[i] = filepath.Join(c.Dir, fmt.Sprintf("voter%d.toml", i+1))
		if err := os.WriteFile(configs[i], []byte(text), 0o600); err != nil {
			return err
		}
		init, err := c.Start(fmt.Sprintf("voter %d init", i+1), nil, "bin/voter", "init", "-c", configs[i])
		if err != nil {
			return err
		}
		<-init.Ended()
		if _, err := c.Start(fmt.Sprintf("voter %d", i+1), nil, "bin/voter", "run", "-c", configs[i]); err != nil {
			return err
		}
	}
	work := filepath.Join(c.Dir, "work")
	worker, err := filepath.Abs(filepath.Join(c.Root, "review/bin/worker"))
	if err != nil {
		return err
	}
	script := filepath.Join(c.Dir, "backup.sh")
	if err := os.WriteFile(script, []byte(fmt.Sprintf("#!/bin/sh\n%q %q\necho \"backup.sh: done\"\n", worker, work)), 0o700); err != nil {
		return err
	}
	c.AtEnd(func() { endWorkers(work) })
	first, err := c.Start("machine 1", nil, "bin/gorselink", "lease", "-c", configs[0], "run", "backup", "--", script)
	if err != nil {
		return err
	}
	if err := await(work, 1); err != nil {
		return err
	}
	c.Note("machine 1: its task works")
	second, err := c.Start("machine 2", nil, "bin/gorselink", "lease", "-c", configs[1], "run", "backup", "--", script)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if c.Trouble {
		c.Signal(first, syscall.SIGTERM)
		if err := await(work, 2); err != nil {
			return err
		}
		c.Note("machine 2: its task works")
	}
	time.Sleep(4 * time.Second)
	c.Signal(second, syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	return judge(c, work)
}

// step is one line of the work.
type step struct {
	at    time.Duration // uptime of the machine
	epoch string
	pid   int
}

func read(work string) (steps []step) {
	text, _ := os.ReadFile(work)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			continue
		}
		at, err := time.ParseDuration(fields[0] + "s")
		if err != nil {
			continue
		}
		pid, _ := strconv.Atoi(fields[2])
		steps = append(steps, step{at, fields[1], pid})
	}
	return steps
}

// await waits until tasks of so many epochs have worked.
func await(work string, epochs int) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		seen := map[string]bool{}
		for _, s := range read(work) {
			seen[s.epoch] = true
		}
		if len(seen) >= epochs {
			return nil
		}
	}
	return fmt.Errorf("no task of epoch %d works", epochs)
}

// judge checks that no task worked while a task of a later epoch did.
func judge(c *standin.Case, work string) error {
	first, last := map[string]time.Duration{}, map[string]time.Duration{}
	var order []string
	for _, s := range read(work) {
		c.Note("work: epoch %s, process %d, a step at uptime %v", s.epoch, s.pid, s.at)
		if _, ok := first[s.epoch]; !ok {
			first[s.epoch] = s.at
			order = append(order, s.epoch)
		}
		last[s.epoch] = s.at
	}
	if len(order) == 0 {
		return fmt.Errorf("no task has worked")
	}
	for i, epoch := range order {
		c.Note("task of epoch %s: first step at uptime %v, last at %v", epoch, first[epoch], last[epoch])
		if i > 0 && last[order[i-1]] > first[epoch] {
			c.Break("the task of epoch %s worked for %v beside that of epoch %s", order[i-1], last[order[i-1]]-first[epoch], epoch)
		}
	}
	return nil
}

// endWorkers ends the workers that may still run. Their ids are those that they wrote.
func endWorkers(work string) {
	seen := map[int]bool{}
	for _, s := range read(work) {
		if !seen[s.pid] {
			seen[s.pid] = true
			if comm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/comm", s.pid)); strings.TrimSpace(string(comm)) == "worker" {
				syscall.Kill(s.pid, syscall.SIGKILL)
			}
		}
	}
}
