//go:build linux

package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// shutdownClients records the outcomes of requests to a sidecar that is terminated.
type shutdownClients struct {
	listen       string
	deadline     time.Duration
	terminatedAt atomic.Pointer[time.Time] // when SIGTERM was sent

	responses, unread, connectFailed atomic.Int64

	mu         sync.Mutex
	violations []string
}

// addViolation records a violation of the shutdown guarantees.
func (l *shutdownClients) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// sinceTermination returns the time since SIGTERM, or a negative value before it.
func (l *shutdownClients) sinceTermination() time.Duration {
	if at := l.terminatedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return -1
}

// dial connects to the sidecar. It returns nil if the connection fails.
func (l *shutdownClients) dial() net.Conn {
	began := l.sinceTermination()
	c, err := net.DialTimeout("tcp", l.listen, time.Second)
	if err != nil {
		if began < newConnWindow {
			l.addViolation("connection refused %v after SIGTERM: %v", began, err)
		}
		l.connectFailed.Add(1)
		return nil
	}
	return c
}

// newConnWindow is how long after SIGTERM the front-end load balancer may open connections.
const newConnWindow = 400 * time.Millisecond

// sendRequest sends a request on c and returns whether the connection stays open. The request
// must get a complete response or must not have been read.
func (l *shutdownClients) sendRequest(c net.Conn, in *bufio.Reader, newConn bool) (keepAlive bool) {
	began := l.sinceTermination()
	c.SetDeadline(time.Now().Add(testTimeout))
	head := fmt.Sprintf("GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: %d\r\n\r\n", lastCallID.Add(1), l.deadline.Milliseconds())
	_, err := io.WriteString(c, head)
	written, writtenAt := time.Now(), l.sinceTermination()
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(in, nil)
	}
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	switch took := time.Since(written); {
	case err == nil:
		l.responses.Add(1)
		if began >= 0 && took > l.deadline+500*time.Millisecond {
			l.addViolation("a request sent %v after SIGTERM got its response after %v", began, took)
		}
		return !resp.Close
	case newConn && began >= 0 && writtenAt < newConnWindow:
		l.addViolation("the first request on a connection, sent %v after SIGTERM, got no response: %v", began, err)
	case resp != nil:
		l.addViolation("a request sent %v after SIGTERM got a truncated response: %v", began, err)
	case wasRead(c, err):
		l.addViolation("a request sent %v after SIGTERM was read, but the connection was closed %v later", began, took)
	default:
		l.unread.Add(1)
	}
	return false
}

// wasRead reports whether the sidecar read the request before it closed the connection with
// err. The kernel sends a reset if unread bytes remain at the close or arrive after it.
func wasRead(c net.Conn, err error) (consumed bool) {
	if err != io.EOF && err != io.ErrUnexpectedEOF {
		return false
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		pending, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		consumed = err == nil && pending == 0
	})
	return consumed
}

// processPause is the longest pause of the process that the shutdown must tolerate.
const processPause = 150 * time.Millisecond

// With short deadlines SIGKILL follows soon after SIGTERM, while all endpoints hang and clients
// keep sending requests. Each request gets a response or is not read, and the process exits before
// SIGKILL, even if it is paused for processPause.
//
// A run in which the machine pauses the process for longer is repeated.
func TestShutdownWithShortDeadlines(t *testing.T) {
	const runs = 12
	for _, c := range []struct{ deadline, pauseAt time.Duration }{
		{100 * time.Millisecond, 0},
		{300 * time.Millisecond, 0},
		{time.Second, 0},
		{100 * time.Millisecond, 500 * time.Millisecond}, // pauses until the process exits
		{300 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v, paused after %v", c.deadline, c.pauseAt), func(t *testing.T) {
			t.Parallel()
			for run := 1; ; run++ {
				lag, violations := runShutdown(t, c.deadline, c.pauseAt)
				if lag <= processPause+20*time.Millisecond {
					for _, w := range violations {
						t.Error(w)
					}
					return
				}
				t.Logf("run %d is inconclusive: paused for %v, %d violations", run, lag, len(violations))
				if run == runs {
					t.Fatalf("all %d runs are inconclusive", runs)
				}
			}
		})
	}
}

// runShutdown performs one run. It returns the longest pause of the sidecar or of this process,
// and the violations.
func runShutdown(t *testing.T, deadline, pauseAt time.Duration) (lag time.Duration, violations []string) {
	var hangs atomic.Bool
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-r.Context().Done()
		}
	}))
	defer node.Close()
	m := &fleetMember{listen: isolatedAddr(t), dir: t.TempDir()}
	m.configPath = filepath.Join(m.dir, "config.json")
	text := withDeadline(configJSON(m.listen, serverAddr(newDiscoveryServer(t, "s-1", serverAddr(node)))), fmt.Sprint(deadline.Seconds()))
	writeFile(t, m.configPath, strings.Replace(text, `"sockets":256`, `"sockets":4096`, 1))
	m.start(t)
	p := m.process()
	defer p.cmd.Process.Kill()

	const step = 6 * time.Millisecond
	killAfter := deadline + killDelay
	l := &shutdownClients{listen: m.listen, deadline: deadline}
	var clients sync.WaitGroup
	terminated := make(chan struct{})
	for at := time.Duration(0); at < killAfter; at += step { // idle until its time after SIGTERM
		c := l.dial()
		if c == nil {
			t.Fatal("cannot connect before SIGTERM")
		}
		defer c.Close()
		clients.Go(func() {
			<-terminated
			time.Sleep(at - l.sinceTermination())
			l.sendRequest(c, bufio.NewReader(c), false)
		})
	}
	for i := range 32 { // half of them without a pause between requests
		clients.Go(func() {
			for first := true; first || l.sinceTermination() < newConnWindow; first = false {
				c := l.dial()
				if c == nil {
					return
				}
				in := bufio.NewReader(c)
				for n := 0; l.sendRequest(c, in, n == 0); n++ {
					time.Sleep(time.Duration(i%2*(5+n%7)) * time.Millisecond)
				}
				c.Close()
			}
		})
	}
	eventually(t, "requests get responses", func() bool { return l.responses.Load() >= 200 })
	hangs.Store(true)
	ctx, startMeasuring := context.WithCancel(context.Background())
	ownLag, _ := measureLag(ctx)
	startMeasuring()
	now := time.Now()
	l.terminatedAt.Store(&now)
	p.cmd.Process.Signal(syscall.SIGTERM)
	close(terminated)
	if pauseAt > 0 {
		clients.Go(func() {
			time.Sleep(pauseAt - l.sinceTermination())
			p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(processPause)
			p.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	select {
	case err := <-p.ended:
		if err != nil {
			l.addViolation("the process exited after SIGTERM with: %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the process did not exit")
	}
	clients.Wait()
	t.Logf("%d responses, %d unread, %d could not connect", l.responses.Load(), l.unread.Load(), l.connectFailed.Load())
	lagText, err := os.ReadFile(filepath.Join(m.dir, lagFile))
	if err != nil {
		t.Fatal(err)
	}
	var total, took time.Duration
	if _, err := fmt.Sscan(string(lagText), &lag, &total, &took); err != nil {
		t.Fatal(err)
	}
	// Pauses beyond the tolerated one do not count against the process.
	if excessLag := max(0, total-processPause); took-excessLag > killAfter {
		l.addViolation("the process exited %v after SIGTERM, paused for %v in total, want before SIGKILL after %v", took, total, killAfter)
	}
	t.Logf("exited %v after SIGTERM, paused for %v in total, SIGKILL after %v", took, total, killAfter)
	return max(lag, time.Duration(ownLag.Load())), l.violations
}
