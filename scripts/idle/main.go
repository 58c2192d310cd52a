// Command idle measures what sidecars spend that nobody asks anything: it starts some
// of the platform's sidecars beside one stand-in discovery and stand-in endpoints, waits
// until they are ready, and reads from /proc what each has used after a while.
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

	"gorselink/internal/standin"
)

func main() {
	n := flag.Int("n", 20, "sidecars")
	endpoints := flag.Int("endpoints", 60, "endpoints that are listed")
	span := flag.Duration("for", 30*time.Second, "how long they are watched")
	flag.Parse()
	if flag.NArg() != 1 || *n < 1 || *endpoints < 0 || *span <= 0 {
		fmt.Fprintln(os.Stderr, "usage: idle [-n sidecars] [-endpoints n] [-for time] PROGRAM")
		os.Exit(2)
	}
	if err := measure(flag.Arg(0), *n, *endpoints, *span); err != nil {
		fmt.Fprintln(os.Stderr, "idle:", err)
		os.Exit(1)
	}
}

// use is what a process has used so far, or holds.
type use struct {
	cpu     time.Duration
	wakes   int // times that a thread of it was switched in after having waited
	rss     int // bytes
	files   int
	threads int
}

func measure(program string, n, endpoints int, span time.Duration) (err error) {
	dir, err := os.MkdirTemp("", "idle")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var list []standin.Entry
	for i := range endpoints {
		list = append(list, standin.Entry{Name: fmt.Sprint("e", i), Address: "127.0.0.1:1", Zone: "a", Status: "in_service"})
	}
	agent, err := standin.StartAgent(list...)
	if err != nil {
		return err
	}
	defer agent.Close()
	var all []*exec.Cmd
	defer func() {
		for _, cmd := range all {
			cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, cmd := range all {
			err = errors.Join(err, cmd.Wait())
		}
	}()
	var starts []float64
	for i := range n {
		cmd, took, err := start(program, dir, agent.Addr(), i, n)
		if err != nil {
			return err
		}
		all, starts = append(all, cmd), append(starts, float64(took.Microseconds())/1000)
	}
	time.Sleep(2 * time.Second) // the start itself is not idleness
	before := make([]use, n)
	for i, cmd := range all {
		if before[i], err = read(cmd.Process.Pid); err != nil {
			return err
		}
	}
	calls, began := agent.Calls(), time.Now()
	time.Sleep(span)
	var cpu, wakes, rss, files, threads []float64
	for i, cmd := range all {
		after, err := read(cmd.Process.Pid)
		if err != nil {
			return err
		}
		s := time.Since(began).Seconds()
		cpu = append(cpu, (after.cpu-before[i].cpu).Seconds()/s*1000)
		wakes = append(wakes, float64(after.wakes-before[i].wakes)/s)
		rss = append(rss, float64(after.rss)/(1<<20))
		files, threads = append(files, float64(after.files)), append(threads, float64(after.threads))
	}
	fmt.Printf("%d sidecars, %d endpoints, idle for %v\n\n| figure | least | median | most |\n| --- | --- | --- | --- |\n", n, endpoints, span)
	for _, f := range []struct {
		name string
		all  []float64
	}{
		{"start to ready, ms", starts}, {"processor time, ms a second", cpu}, {"wake-ups a second, all threads", wakes},
		{"resident, MB", rss}, {"descriptors", files}, {"threads", threads},
	} {
		slices.Sort(f.all)
		fmt.Printf("| %s | %.4g | %.4g | %.4g |\n", f.name, f.all[0], f.all[len(f.all)/2], f.all[len(f.all)-1])
	}
	fmt.Printf("\ncalls for lists, each sidecar: %.3f a second\n", float64(agent.Calls()-calls)/time.Since(began).Seconds()/float64(n))
	return nil
}

// start starts one sidecar and waits until it says that it is ready.
func start(program, dir, discovery string, i, n int) (*exec.Cmd, time.Duration, error) {
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
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return nil, 0, err
	}
	for time.Since(began) < 10*time.Second {
		if resp, err := http.Get("http://" + address + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return cmd, time.Since(began), nil
			}
		}
		time.Sleep(200 * time.Microsecond)
	}
	cmd.Process.Kill()
	return nil, 0, fmt.Errorf("sidecar %d was not ready within 10 s: %w", i, cmd.Wait())
}

// read reads what a process has used (proc_pid_stat(5), proc_pid_status(5),
// sched-stats of the kernel's documentation).
func read(pid int) (u use, err error) {
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
	files, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, err
	}
	u.files = len(files)
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
		var ran time.Duration // its time on a processor is the first field
		if sched, err := os.ReadFile(dir + "/task/" + task.Name() + "/schedstat"); err == nil {
			fmt.Sscan(string(sched), &ran)
		}
		u.cpu += ran
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				k, _ := strconv.Atoi(strings.TrimSpace(rest))
				u.wakes += k
			}
		}
	}
	return u, nil
}
