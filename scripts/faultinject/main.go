// Command faultinject runs `gorselink serve` under strace, which makes some of its system
// calls fail, and judges by what clients see: no request is lost, no GET is refused, no POST
// runs twice. For each error of each call it starts the program and stand-in endpoints anew
// and prints one line.
//
//	go build -o bin/ ./cmd/gorselink && go run ./scripts/faultinject -for 5s bin/gorselink
//
// strace has to be there (Debian's package of the name), with the right to trace.
//
// EINTR is injected into accept4 alone: a connect that is interrupted goes on by itself, and
// one that strace interrupts has never begun, which no system does.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/standin"
)

// faults are the errors that each call is made to fail with, and at which of its invocations
// in a thread: strace counts them by thread, and the first sockets are those of the start.
var faults = []struct{ call, when, errnos string }{
	{"accept4", "2+5", "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPROTO ENETDOWN EHOSTDOWN ENONET EHOSTUNREACH EOPNOTSUPP ENETUNREACH EPERM EINTR ETIMEDOUT"},
	{"connect", "2+5", "ENETUNREACH EHOSTUNREACH ENETDOWN EADDRNOTAVAIL EADDRINUSE EAGAIN EPERM EACCES ENOBUFS ENOMEM ETIMEDOUT"},
	{"socket", "12+5", "EMFILE ENFILE ENOBUFS ENOMEM EACCES EPERM"},
}

const (
	endpoints  = 3
	work       = 2 * time.Millisecond
	deadline   = time.Second
	patience   = 3 * time.Second // of a client: the deadline, and what strace costs
	startLimit = 20 * time.Second
	endLimit   = 20 * time.Second
	pause      = 10 * time.Millisecond // between two requests of a client
)

func main() {
	span := flag.Duration("for", 5*time.Second, "how long clients ask, for each error")
	clients := flag.Int("clients", 40, "clients that ask at once")
	only := flag.String("call", "", "one of accept4, connect, socket; empty for all")
	when := flag.String("when", "", "which invocations fail, as strace has it; empty for the usual ones of each call")
	flag.Parse()
	if flag.NArg() != 1 || *span <= 0 || *clients < 1 {
		fmt.Fprintln(os.Stderr, "usage: faultinject [-for time] [-clients n] [-call name] [-when invocations] PROGRAM")
		os.Exit(2)
	}
	fmt.Println("| call | error | injected | requests | lost | GETs refused or failed | POSTs refused or failed | POSTs run twice | longest | verdict |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	good := true
	for _, f := range faults {
		if *only != "" && *only != f.call {
			continue
		}
		if *when != "" {
			f.when = *when
		}
		for _, errno := range strings.Fields(f.errnos) {
			seen, err := trial(flag.Arg(0), f.call, f.when, errno, *span, *clients)
			if err != nil {
				fmt.Fprintf(os.Stderr, "faultinject: %s %s: %v\n", f.call, errno, err)
				os.Exit(1)
			}
			fmt.Printf("| %s | %s | %s\n", f.call, errno, seen)
			good = good && seen.good()
		}
	}
	if !good {
		os.Exit(1)
	}
}

// counts is what clients and endpoints have seen in one trial.
type counts struct {
	mu                             sync.Mutex
	injected, requests, lost       int
	gets, posts                    int // refused or failed
	twice                          int
	longest                        time.Duration
	posted                         map[string]bool
	firstLost, firstGet, firstPost string
}

// good tells whether nothing is broken. A trial without a fault shows nothing.
func (c *counts) good() bool {
	return c.injected > 0 && c.requests > 0 && c.lost == 0 && c.gets == 0 && c.twice == 0
}

func (c *counts) String() string {
	verdict := "holds"
	switch {
	case c.injected == 0 || c.requests == 0:
		verdict = "NOT SHOWN"
	case !c.good():
		verdict = "BROKEN"
	}
	for _, text := range []string{c.firstLost, c.firstGet, c.firstPost} {
		if text != "" {
			verdict += "; " + text
		}
	}
	return fmt.Sprintf("%d | %d | %d | %d | %d | %d | %v | %s |", c.injected, c.requests, c.lost, c.gets, c.posts, c.twice, c.longest.Round(time.Millisecond), verdict)
}

// trial runs the program with one error injected.
func trial(program, call, when, errno string, span time.Duration, clients int) (*counts, error) {
	dir, err := os.MkdirTemp("", "faultinject")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	nodes, err := startNodes()
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	path, trace := filepath.Join(dir, "gorselink.toml"), filepath.Join(dir, "trace")
	if err := os.WriteFile(path, []byte(configuration(addr, nodes)), 0o600); err != nil {
		return nil, err
	}
	// With -D the program is our own child, to be told to end.
	cmd := exec.Command("strace", "-D", "-f", "-qq", "-o", trace, "-e", "trace="+call,
		"-e", fmt.Sprintf("inject=%s:error=%s:when=%s", call, errno, when), program, "serve", "-c", path)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	seen := &counts{posted: map[string]bool{}}
	if err = ready(addr, ended); err == nil {
		seen.ask(addr, span, clients)
	}
	if stop := end(cmd, ended); err == nil {
		err = stop
	}
	if err != nil {
		return nil, fmt.Errorf("%w; its log:\n%s", err, log.String())
	}
	text, err := os.ReadFile(trace)
	if err != nil {
		return nil, err
	}
	seen.injected = bytes.Count(text, []byte("(INJECTED)"))
	seen.judgeRuns(nodes)
	return seen, nil
}

func startNodes() (all []*standin.Node, err error) {
	for i := range endpoints {
		n, err := standin.StartNode(standin.NodeConfig{Name: fmt.Sprint("endpoint-", i), Work: work})
		if err != nil {
			return all, err
		}
		all = append(all, n)
	}
	return all, nil
}

// configuration keeps connections to endpoints for a short time, so that many are made.
func configuration(addr string, nodes []*standin.Node) string {
	var list []string
	for _, n := range nodes {
		list = append(list, fmt.Sprintf("%q", n.Addr()))
	}
	return fmt.Sprintf(`[process]
seed = "1f"
[listeners.public]
address = %q
[classes.default]
deadline = "%v"
[[routes]]
pool = "all"
[pools.all]
idle_timeout = "20ms"
nodes = [%s]
`, addr, deadline, strings.Join(list, ", "))
}

// freeAddr is an address that nobody listens at just now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// ready waits until the program takes connections.
func ready(addr string, ended <-chan error) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(pause) {
		select {
		case err := <-ended:
			return fmt.Errorf("ended at the start: %w", errors.Join(err, errors.New("it serves nobody")))
		default:
		}
		if c, err := net.Dial("tcp", addr); err == nil {
			return c.Close()
		}
	}
	return errors.New("not ready in time")
}

// end tells the program to end, and waits until it has.
func end(cmd *exec.Cmd, ended <-chan error) error {
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		return err
	case <-time.After(endLimit):
		cmd.Process.Kill()
		<-ended
		return errors.New("it did not end")
	}
}

// ask has clients ask for a while, each request on a connection of its own.
func (c *counts) ask(addr string, span time.Duration, clients int) {
	until := time.Now().Add(span)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
			for k := 0; time.Now().Before(until); k++ {
				method := http.MethodGet
				if (i+k)%3 == 0 {
					method = http.MethodPost
				}
				c.one(&client, method, addr, fmt.Sprintf("%d-%d", i, k))
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
}

// one makes one request and books how it ended.
func (c *counts) one(client *http.Client, method, addr, id string) {
	req, err := http.NewRequest(method, "http://"+addr+"/"+id, nil)
	if err != nil {
		panic(err) // by a bad address alone
	}
	req.Header.Set("X-Call-Id", id)
	began := time.Now()
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.longest = max(c.longest, time.Since(began))
	if method == http.MethodPost {
		c.posted[id] = true
	}
	text := fmt.Sprintf("%s %s: status %d, %v", method, id, status, err)
	switch {
	case err != nil:
		c.lost++
		c.firstLost = text
	case status == http.StatusOK:
	case method == http.MethodGet:
		c.gets++
		c.firstGet = text
	default:
		c.posts++
		c.firstPost = text
	}
}

// judgeRuns counts the POSTs that have run more than once.
func (c *counts) judgeRuns(nodes []*standin.Node) {
	runs := map[string]int{}
	for _, n := range nodes {
		for id, k := range n.RunsByID() {
			runs[id] += k
		}
	}
	for id := range c.posted {
		if runs[id] > 1 {
			c.twice++
		}
	}
}
