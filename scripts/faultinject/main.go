// Command faultinject runs `gorselink serve` under strace with injected system call errors
// and checks the results that clients receive: every request gets a response, no GET fails and
// no POST is executed twice. It restarts the program and fake nodes for each error of
// each system call and prints one table row for it.
//
//	go build -o bin/ ./cmd/gorselink && go run ./scripts/faultinject -for 5s bin/gorselink
//
// It needs strace and the permission to trace.
//
// EINTR is injected only into accept4. The kernel completes an interrupted connect in the
// background, which strace cannot simulate: it prevents the call.
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

	"gorselink/internal/fakeserver"
)

// injections lists the errors for each system call and the invocations that fail, in the
// syntax of strace's when option. strace counts invocations per thread; the first sockets
// are opened during startup and must succeed.
var injections = []struct{ call, invocations, errnos string }{
	{"accept4", "2+5", "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPROTO ENETDOWN EHOSTDOWN ENONET EHOSTUNREACH EOPNOTSUPP ENETUNREACH EPERM EINTR ETIMEDOUT"},
	{"connect", "2+5", "ENETUNREACH EHOSTUNREACH ENETDOWN EADDRNOTAVAIL EADDRINUSE EAGAIN EPERM EACCES ENOBUFS ENOMEM ETIMEDOUT"},
	{"socket", "12+5", "EMFILE ENFILE ENOBUFS ENOMEM EACCES EPERM"},
}

const (
	endpointCount = 3
	serviceTime   = 2 * time.Millisecond
	deadline      = time.Second
	clientTimeout = 3 * time.Second // exceeds deadline, since strace slows the program down
	startTimeout  = 20 * time.Second
	stopTimeout   = 20 * time.Second
	interval      = 10 * time.Millisecond // between requests of a client, and between readiness probes
)

func main() {
	duration := flag.Duration("for", 5*time.Second, "how long clients send requests for each error")
	clients := flag.Int("clients", 40, "number of concurrent clients")
	only := flag.String("call", "", "the system call to fail: accept4, connect or socket (default all)")
	when := flag.String("when", "", "the invocations that fail, in the syntax of strace (default depends on the system call)")
	flag.Parse()
	if flag.NArg() != 1 || *duration <= 0 || *clients < 1 {
		fmt.Fprintln(os.Stderr, "usage: faultinject [-for duration] [-clients n] [-call name] [-when invocations] PROGRAM")
		os.Exit(2)
	}
	fmt.Println("| system call | error | injected | requests | no response | failed GETs | failed POSTs | repeated POSTs | maximum latency | result |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	passed := true
	for _, f := range injections {
		if *only != "" && *only != f.call {
			continue
		}
		if *when != "" {
			f.invocations = *when
		}
		for _, errno := range strings.Fields(f.errnos) {
			result, err := runTrial(flag.Arg(0), f.call, f.invocations, errno, *duration, *clients)
			if err != nil {
				fmt.Fprintf(os.Stderr, "faultinject: %s %s: %v\n", f.call, errno, err)
				os.Exit(1)
			}
			fmt.Printf("| %s | %s | %s\n", f.call, errno, result)
			passed = passed && result.passed()
		}
	}
	if !passed {
		os.Exit(1)
	}
}

// trialResult counts what clients and endpoints observed in one trial.
type trialResult struct {
	mu                                         sync.Mutex
	injected, requests, withoutResponse        int
	failedGets, failedPosts                    int // with a response of a status other than 200
	repeatedPosts                              int
	maxLatency                                 time.Duration
	postIDs                                    map[string]bool
	noResponseExample, getExample, postExample string
}

// passed reports whether the trial injected errors and met all conditions.
func (c *trialResult) passed() bool {
	return c.injected > 0 && c.requests > 0 && c.withoutResponse == 0 && c.failedGets == 0 && c.repeatedPosts == 0
}

// String returns the columns of the table from "injected" on.
func (c *trialResult) String() string {
	result := "pass"
	switch {
	case c.injected == 0 || c.requests == 0:
		result = "INCONCLUSIVE"
	case !c.passed():
		result = "FAIL"
	}
	for _, text := range []string{c.noResponseExample, c.getExample, c.postExample} {
		if text != "" {
			result += "; " + text
		}
	}
	return fmt.Sprintf("%d | %d | %d | %d | %d | %d | %v | %s |", c.injected, c.requests, c.withoutResponse, c.failedGets, c.failedPosts, c.repeatedPosts, c.maxLatency.Round(time.Millisecond), result)
}

// runTrial runs the program with one injected error.
func runTrial(program, call, when, errno string, duration time.Duration, clients int) (*trialResult, error) {
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
	if err := os.WriteFile(path, []byte(configText(addr, nodes)), 0o600); err != nil {
		return nil, err
	}
	// With -D the program, not strace, is the child process and receives the signals.
	cmd := exec.Command("strace", "-D", "-f", "-qq", "-o", trace, "-e", "trace="+call,
		"-e", fmt.Sprintf("inject=%s:error=%s:when=%s", call, errno, when), program, "serve", "-c", path)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	result := &trialResult{postIDs: map[string]bool{}}
	if err = waitUntilReady(addr, exited); err == nil {
		result.sendRequests(addr, duration, clients)
	}
	if stopErr := stop(cmd, exited); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, fmt.Errorf("%w; log of the program:\n%s", err, log.String())
	}
	text, err := os.ReadFile(trace)
	if err != nil {
		return nil, err
	}
	result.injected = bytes.Count(text, []byte("(INJECTED)"))
	result.countRepeatedPosts(nodes)
	return result, nil
}

func startNodes() (all []*fakeserver.Node, err error) {
	for i := range endpointCount {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprint("endpoint-", i), Work: serviceTime})
		if err != nil {
			return all, err
		}
		all = append(all, n)
	}
	return all, nil
}

// configText returns the configuration of the program. The short idle timeout makes it open
// many connections to endpoints.
func configText(addr string, nodes []*fakeserver.Node) string {
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

// freeAddr returns a loopback address with a port that is currently free.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitUntilReady waits until the program accepts connections.
func waitUntilReady(addr string, exited <-chan error) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(interval) {
		select {
		case err := <-exited:
			return fmt.Errorf("program exited during startup: %w", errors.Join(err, errors.New("it accepted no connection")))
		default:
		}
		if c, err := net.Dial("tcp", addr); err == nil {
			return c.Close()
		}
	}
	return errors.New("program did not accept connections before the start timeout")
}

// stop sends SIGTERM to the program and waits until it exits. It kills the program after
// stopTimeout.
func stop(cmd *exec.Cmd, exited <-chan error) error {
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		return err
	case <-time.After(stopTimeout):
		cmd.Process.Kill()
		<-exited
		return errors.New("program did not exit before the stop timeout after SIGTERM; killed")
	}
}

// sendRequests makes concurrent clients send requests for a time, each request on a new
// connection.
func (c *trialResult) sendRequests(addr string, duration time.Duration, clients int) {
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			for k := 0; time.Now().Before(end); k++ {
				method := http.MethodGet
				if (i+k)%3 == 0 {
					method = http.MethodPost
				}
				c.sendRequest(&client, method, addr, fmt.Sprintf("%d-%d", i, k))
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
}

// sendRequest sends one request and records its result.
func (c *trialResult) sendRequest(client *http.Client, method, addr, id string) {
	req, err := http.NewRequest(method, "http://"+addr+"/"+id, nil)
	if err != nil {
		panic(err) // only an invalid address can cause this
	}
	req.Header.Set("X-Call-Id", id)
	start := time.Now()
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
	c.maxLatency = max(c.maxLatency, time.Since(start))
	if method == http.MethodPost {
		c.postIDs[id] = true
	}
	example := fmt.Sprintf("%s %s: status %d, %v", method, id, status, err)
	switch {
	case err != nil:
		c.withoutResponse++
		c.noResponseExample = example
	case status == http.StatusOK:
	case method == http.MethodGet:
		c.failedGets++
		c.getExample = example
	default:
		c.failedPosts++
		c.postExample = example
	}
}

// countRepeatedPosts counts the POSTs that endpoints executed more than once.
func (c *trialResult) countRepeatedPosts(nodes []*fakeserver.Node) {
	runs := map[string]int{}
	for _, n := range nodes {
		for id, k := range n.RunsByID() {
			runs[id] += k
		}
	}
	for id := range c.postIDs {
		if runs[id] > 1 {
			c.repeatedPosts++
		}
	}
}
