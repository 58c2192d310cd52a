// Command idle measures the resources that sidecars use without requests. It starts sidecars
// with the platform's configuration and one fake agent for discovery, waits until they are ready,
// and reads the resource usage of each from /proc after a time.
//
//	go run ./scripts/idle -n 20 -for 30s bin/gorselink
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gorselink/internal/fakeserver"
)

func main() {
	n := flag.Int("n", 20, "number of sidecars")
	endpoints := flag.Int("endpoints", 60, "number of endpoints in the list")
	duration := flag.Duration("for", 30*time.Second, "duration of the measurement")
	flag.Parse()
	if flag.NArg() != 1 || *n < 1 || *endpoints < 0 || *duration <= 0 {
		fmt.Fprintln(os.Stderr, "usage: idle [-n sidecars] [-endpoints n] [-for duration] PROGRAM")
		os.Exit(2)
	}
	if err := measure(flag.Arg(0), *n, *endpoints, *duration); err != nil {
		fmt.Fprintln(os.Stderr, "idle:", err)
		os.Exit(1)
	}
}

// usage is the resource usage of a process.
type usage struct {
	cpu         time.Duration
	wakeups     int // voluntary context switches of all threads
	rss         int // bytes
	descriptors int
	threads     int
}

// measure starts n sidecars, measures their usage over duration and prints the table.
func measure(program string, n, endpoints int, duration time.Duration) (err error) {
	dir, err := os.MkdirTemp("", "idle")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var list []fakeserver.Entry
	for i := range endpoints {
		list = append(list, fakeserver.Entry{Name: fmt.Sprint("e", i), Address: "127.0.0.1:1", Zone: "a", Status: "in_service"})
	}
	agent, err := fakeserver.StartAgent(list...)
	if err != nil {
		return err
	}
	defer agent.Close()
	var cmds []*exec.Cmd
	defer func() {
		for _, cmd := range cmds {
			cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, cmd := range cmds {
			err = errors.Join(err, cmd.Wait())
		}
	}()
	var startTimes []float64
	for i := range n {
		cmd, elapsed, err := startSidecar(program, dir, agent.Addr(), i, n)
		if err != nil {
			return err
		}
		cmds, startTimes = append(cmds, cmd), append(startTimes, float64(elapsed.Microseconds())/1000)
	}
	time.Sleep(2 * time.Second) // exclude the work of the startup
	before := make([]usage, n)
	for i, cmd := range cmds {
		if before[i], err = readUsage(cmd.Process.Pid); err != nil {
			return err
		}
	}
	calls, start := agent.Calls(), time.Now()
	time.Sleep(duration)
	var cpu, wakeups, rss, descriptors, threads []float64
	for i, cmd := range cmds {
		after, err := readUsage(cmd.Process.Pid)
		if err != nil {
			return err
		}
		s := time.Since(start).Seconds()
		cpu = append(cpu, (after.cpu-before[i].cpu).Seconds()/s*1000)
		wakeups = append(wakeups, float64(after.wakeups-before[i].wakeups)/s)
		rss = append(rss, float64(after.rss)/(1<<20))
		descriptors, threads = append(descriptors, float64(after.descriptors)), append(threads, float64(after.threads))
	}
	fmt.Printf("%d sidecars, %d endpoints, idle for %v\n\n| metric | minimum | median | maximum |\n| --- | --- | --- | --- |\n", n, endpoints, duration)
	for _, f := range []struct {
		name   string
		values []float64
	}{
		{"time until ready, ms", startTimes}, {"processor time, ms per second", cpu}, {"wake-ups per second, all threads", wakeups},
		{"resident memory, MiB", rss}, {"file descriptors", descriptors}, {"threads", threads},
	} {
		slices.Sort(f.values)
		fmt.Printf("| %s | %.4g | %.4g | %.4g |\n", f.name, f.values[0], f.values[len(f.values)/2], f.values[len(f.values)-1])
	}
	fmt.Printf("\nlist requests per sidecar: %.3f per second\n", float64(agent.Calls()-calls)/time.Since(start).Seconds()/float64(n))
	return nil
}

// startSidecar starts one sidecar and waits until it reports that it is ready.
func startSidecar(program, dir, discovery string, i, n int) (*exec.Cmd, time.Duration, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, err
	}
	address := l.Addr().String()
	l.Close()
	temp := filepath.Join(dir, strconv.Itoa(i))
	if err := os.Mkdir(temp, 0o700); err != nil {
		return nil, 0, err
	}
	config := filepath.Join(temp, "config.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x",
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"Me":%d,"NInstances":%d,"Zone":0,"Tier":0,"Zones":["a"],"RegistryMode":"push",
"Limits":{"ConnectTimeoutS":1,"ConnIdleS":5,"TryLimit":3,"Multiplex":1},
"Obligations":{"ColdShare":0.3,"RampTimeS":5,"OverloadForS":3,"DrainGraceS":2},
"RequestClasses":[{"Name":"view","AimS":1,"DeadlineS":2,"Semantics":"free","Worth":1}]}}`, i, address, discovery, i+1, i, n), 0o600); err != nil {
		return nil, 0, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+temp)
	start := time.Now()
	if err := cmd.Start(); err != nil {
		return nil, 0, err
	}
	for time.Since(start) < 10*time.Second {
		if resp, err := http.Get("http://" + address + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return cmd, time.Since(start), nil
			}
		}
		time.Sleep(200 * time.Microsecond)
	}
	cmd.Process.Kill()
	return nil, 0, fmt.Errorf("sidecar %d was not ready within 10 s: %w", i, cmd.Wait())
}

// readUsage reads the resource usage of a process. See proc_pid_stat(5),
// proc_pid_status(5) and the kernel's documentation of sched-stats.
func readUsage(pid int) (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d", pid)
	text, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	pages, err := strconv.Atoi(f[21])
	if err != nil {
		return u, fmt.Errorf("%s/stat: %w", dir, err)
	}
	u.rss = pages * os.Getpagesize()
	descriptors, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, err
	}
	u.descriptors = len(descriptors)
	tasks, err := os.ReadDir(dir + "/task")
	if err != nil {
		return u, err
	}
	u.threads = len(tasks)
	for _, task := range tasks {
		text, err := os.ReadFile(dir + "/task/" + task.Name() + "/status")
		if err != nil {
			continue // the thread has ended
		}
		var cpu time.Duration // the first field of schedstat, in nanoseconds
		if sched, err := os.ReadFile(dir + "/task/" + task.Name() + "/schedstat"); err == nil {
			fmt.Sscan(string(sched), &cpu)
		}
		u.cpu += cpu
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				k, _ := strconv.Atoi(strings.TrimSpace(rest))
				u.wakeups += k
			}
		}
	}
	return u, nil
}
