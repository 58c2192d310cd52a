// Command worker is the work of a task under a lease. It writes a line for each step to a file,
// and after SIGTERM it finishes what it has begun and ends.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const (
	step   = 50 * time.Millisecond
	finish = 2 * time.Second // for what it has begun
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: worker FILE")
		os.Exit(2)
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM)
	f, err := os.OpenFile(os.Args[1], os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var last <-chan time.Time
	stop := time.After(time.Minute)
	for tick := time.NewTicker(step); ; {
		select {
		case <-tick.C:
			fmt.Fprintf(f, "%s %s %d\n", uptime(), os.Getenv("LEASE_EPOCH"), os.Getpid())
		case <-end:
			last = time.After(finish)
		case <-last:
			return
		case <-stop:
			return
		}
	}
}

// uptime returns the machine's uptime in seconds, the monotonic clock that all processes share.
func uptime() string {
	text, err := os.ReadFile("/proc/uptime")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	seconds, _, _ := strings.Cut(string(text), " ")
	return seconds
}
