// Package standin has the parts that the cases share: the record of a case, the processes
// that it starts, and small clients, endpoints and a discovery agent on loopback.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Case is one run of a case.
type Case struct {
	Root    string // of the project
	Dir     string // temporary folder
	Trouble bool   // whether the disruption is made

	began  time.Time
	mu     sync.Mutex
	record *os.File
	breaks []string
	procs  []*Process
	atEnd  []func()
}

// maxRun bounds a run, below the 120 s that a case may take.
const maxRun = 110 * time.Second

// Main runs a case. The arguments are the project's root and the folder of the case, to which
// record.txt is written. It exits with one of the codes above.
func Main(run func(c *Case) error) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT FOLDER")
		os.Exit(CannotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], run))
}

func runCase(root, folder string, run func(c *Case) error) int {
	record, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer os.RemoveAll(dir)
	c := &Case{Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer c.endProcesses()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- run(c) }()
	c.Note("begin, disruption %t", c.Trouble)
	select {
	case err = <-done:
	case sig := <-stop:
		err = fmt.Errorf("ended by %v", sig)
	case <-time.After(maxRun):
		err = fmt.Errorf("not finished after %v", maxRun)
	}
	c.mu.Lock()
	breaks := c.breaks
	c.mu.Unlock()
	switch {
	case len(breaks) > 0:
		c.Note("RESULT: the rule was broken %d times, first: %s", len(breaks), breaks[0])
		fmt.Println("broken:", breaks[0])
		return Broken
	case err != nil:
		c.Note("RESULT: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return CannotRun
	}
	c.Note("RESULT: the rule held")
	fmt.Println("held")
	return Held
}

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f  %s\n", time.Since(c.began).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks = append(c.breaks, text)
}

// AtEnd makes the case call f when it ends, after its processes have been ended.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atEnd = append(c.atEnd, f)
}

// Now returns the time since the begin of the case.
func (c *Case) Now() time.Duration { return time.Since(c.began) }
