//go:build linux

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

const (
	// Clients may have requests open on one of descriptorsPerRequest descriptors.
	descriptorsPerRequest = 3
	memoryTestEndpoints   = 13
	// memoryHoldTime is how long all requests stay open.
	memoryHoldTime = time.Second
	// Slow readers take slowReadBytes after each slowReadPause.
	slowReadBytes = 8 << 10
	slowReadPause = 100 * time.Millisecond
	// tricklePause is below the longest pause that is allowed inside a short response.
	tricklePause = 200 * time.Millisecond
	shortBytes   = 60 << 10 // of a body that is buffered if there is memory
	longBytes    = 1 << 20  // of a response that is streamed
	uploadBytes  = 256 << 10
)

// memoryCase is a case of TestMemoryLimitWithOpenRequests.
type memoryCase struct {
	memoryMB, sockets int
	load              memoryLoad
	upgrade           bool // a second process takes over while the requests are open
}

// memoryLoad is what all requests of a case do.
type memoryLoad struct {
	respond func(m *memoryTest) http.HandlerFunc               // at an endpoint
	send    func(conn net.Conn, m *memoryTest) error           // writes the end of the head and the body
	read    func(body io.Reader, m *memoryTest) (int64, error) // reads the body of a response
	status  int                                                // of each response
	bytes   int64                                              // of the body of each response
}

// memoryTest is the state of one case. Its requests are open together until the end of the hold.
type memoryTest struct {
	opened  atomic.Int64  // requests that have been open
	allOpen chan struct{} // closed when all are open
	hold    chan struct{} // closed at the end of the hold
}

// duringHold calls f after each pause until the end of the hold.
func (m *memoryTest) duringHold(pause time.Duration, f func()) {
	for {
		select {
		case <-m.hold:
			return
		case <-time.After(pause):
			f()
		}
	}
}

func sendNoBody(conn net.Conn, _ *memoryTest) error {
	_, err := io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	return err
}

func readAll(body io.Reader, _ *memoryTest) (int64, error) { return io.Copy(io.Discard, body) }

// readSlowly reads a body slowly during the hold.
func readSlowly(body io.Reader, m *memoryTest) (n int64, err error) {
	m.opened.Add(1)
	m.duringHold(slowReadPause, func() {
		if err == nil {
			var k int64
			k, err = io.CopyN(io.Discard, body, slowReadBytes)
			n += k
		}
	})
	if err != nil {
		return n, err
	}
	rest, err := io.Copy(io.Discard, body)
	return n + rest, err
}

// startBody writes the head of a response and the first n bytes of its body, which has a length
// unless it is chunked.
func startBody(w http.ResponseWriter, status, n, length int, chunked bool) {
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(status)
	io.WriteString(w, strings.Repeat("x", n))
	http.NewResponseController(w).Flush()
}

// respondLong writes a long response at once.
func respondLong(chunked bool) func(*memoryTest) http.HandlerFunc {
	return func(*memoryTest) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			startBody(w, http.StatusOK, longBytes, longBytes, chunked)
		}
	}
}

// trickleShort writes a short response, the end of it slowly during the hold.
func trickleShort(status int, chunked bool) func(*memoryTest) http.HandlerFunc {
	return func(m *memoryTest) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			const slowBytes = 1 << 10
			startBody(w, status, shortBytes-slowBytes, shortBytes, chunked)
			m.opened.Add(1)
			written := 0
			m.duringHold(tricklePause, func() {
				io.WriteString(w, "x")
				written++
				http.NewResponseController(w).Flush()
			})
			io.WriteString(w, strings.Repeat("x", slowBytes-written))
		}
	}
}

// respondAfterHold responds at the end of the hold, and reads the body only then.
func respondAfterHold(m *memoryTest) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.opened.Add(1)
		<-m.hold
		io.Copy(io.Discard, r.Body)
	}
}

// A sidecar stays within its memory limit while clients have as many requests open as its
// descriptors allow, whatever the requests and their responses hold in memory. It was killed when
// clients read long responses slowly, because only a part of that memory was limited.
func TestMemoryLimitWithOpenRequests(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorselink")
	if out, err := exec.Command("go", "build", "-o", program, "gorselink/cmd/gorselink").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	slowReaders := memoryLoad{respondLong(true), sendNoBody, readSlowly, http.StatusOK, longBytes}
	for name, c := range map[string]memoryCase{
		"slow readers, 48 MB":           {48, 1024, slowReaders, false},
		"slow readers, 32 MB":           {32, 1024, slowReaders, false},
		"slow readers, upgrade":         {48, 1024, slowReaders, true},
		"slow readers, length":          {32, 1024, memoryLoad{respondLong(false), sendNoBody, readSlowly, http.StatusOK, longBytes}, false},
		"short responses, chunked":      {32, 1024, memoryLoad{trickleShort(http.StatusOK, true), sendNoBody, readAll, http.StatusOK, shortBytes}, false},
		"short responses, length":       {32, 1024, memoryLoad{trickleShort(http.StatusOK, false), sendNoBody, readAll, http.StatusOK, shortBytes}, false},
		"error responses, chunked":      {32, 1024, memoryLoad{trickleShort(http.StatusInternalServerError, true), sendNoBody, readAll, http.StatusBadGateway, 0}, false},
		"error responses, length":       {32, 1024, memoryLoad{trickleShort(http.StatusInternalServerError, false), sendNoBody, readAll, http.StatusBadGateway, 0}, false},
		"short request bodies, chunked": {32, 1024, memoryLoad{respondAfterHold, sendChunk, readAll, http.StatusOK, 0}, false},
		"uploads":                       {32, 1024, memoryLoad{respondAfterHold, sendUpload, readAll, http.StatusOK, 0}, false},
		"early bytes":                   {32, 1024, memoryLoad{respondAfterHold, sendEarlyBytes, readAll, http.StatusOK, 0}, false},
	} {
		t.Run(name, func(t *testing.T) { c.run(t, program) })
	}
}

func (c *memoryCase) run(t *testing.T, program string) {
	m := &memoryTest{allOpen: make(chan struct{}), hold: make(chan struct{})}
	s := newMemoryTestSidecar(t, program, c, c.load.respond(m))
	s.start(t)
	clients := c.sockets / descriptorsPerRequest
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() {
			if err := m.request(s.listen, i, &c.load); err != nil {
				t.Errorf("request %d: %v", i, err)
			}
		})
		time.Sleep(2 * time.Millisecond) // clients do not all connect at the same time
	}
	eventually(t, "all requests are open", func() bool { return m.opened.Load() >= int64(clients) || t.Failed() })
	close(m.allOpen)
	if c.upgrade {
		s.start(t)
	}
	time.Sleep(memoryHoldTime)
	close(m.hold)
	done.Wait()
	peak := float64(s.peakMemory()) / (1 << 20)
	t.Logf("the sidecar used %.1f of %d MB", peak, c.memoryMB)
	if peak > float64(c.memoryMB) {
		t.Errorf("the sidecar used %.1f MB, want %d at most", peak, c.memoryMB)
	}
}

func sendChunk(conn net.Conn, _ *memoryTest) error {
	_, err := io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	return err
}

func sendUpload(conn net.Conn, _ *memoryTest) error {
	_, err := fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes))
	return err
}

// sendEarlyBytes sends bytes that belong to no request, while its request is open.
func sendEarlyBytes(conn net.Conn, m *memoryTest) error {
	if err := sendNoBody(conn, m); err != nil {
		return err
	}
	<-m.allOpen
	_, err := io.WriteString(conn, strings.Repeat("x", shortBytes))
	return err
}

// request sends a request and checks its response.
func (m *memoryTest) request(listen string, i int, load *memoryLoad) error {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 9000\r\n", i+1)
	if err := load.send(conn, m); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != load.status {
		return fmt.Errorf("status %d, want %d", resp.StatusCode, load.status)
	}
	n, err := load.read(resp.Body, m)
	if err != nil || n != load.bytes {
		return fmt.Errorf("%d bytes, %v, want %d bytes", n, err, load.bytes)
	}
	return nil
}

// memoryTestSidecar is a sidecar that may have several processes, whose memory is watched.
type memoryTestSidecar struct {
	program, path, tempDir, listen string
	console                        string // of the process that was started last

	mu    sync.Mutex
	pids  []int
	peak  int64 // bytes, of all processes together
	done  chan struct{}
	ended chan struct{}
}

// newMemoryTestSidecar starts endpoints with a handler and returns a sidecar without a process.
func newMemoryTestSidecar(t *testing.T, program string, c *memoryCase, handler http.HandlerFunc) *memoryTestSidecar {
	t.Helper()
	var list []fakeserver.Entry
	for i := range memoryTestEndpoints {
		node := httptest.NewServer(handler)
		t.Cleanup(node.Close)
		list = append(list, fakeserver.Entry{Name: fmt.Sprintf("s-%d", i), Address: serverAddr(node), Zone: "a", Status: string(discovery.InService)})
	}
	agent, err := fakeserver.StartAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	s := &memoryTestSidecar{program: program, path: filepath.Join(t.TempDir(), "config.json"), tempDir: t.TempDir(), listen: isolatedAddr(t),
		done: make(chan struct{}), ended: make(chan struct{})}
	writeFile(t, s.path, strings.NewReplacer(
		`"memory_mb":64,"sockets":256`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, c.memoryMB, c.sockets),
		`"AimS":1,"DeadlineS":2,"Semantics":"free"`, `"AimS":6,"DeadlineS":12,"Semantics":"single_shot"`,
		`"RampTimeS":5`, `"RampTimeS":0`,
	).Replace(configJSON(s.listen, agent.Addr())))
	go s.watchMemory()
	t.Cleanup(func() { s.peakMemory() })
	return s
}

// start starts a process and waits until it is ready.
func (s *memoryTestSidecar) start(t *testing.T) {
	t.Helper()
	console := isolatedAddr(t)
	s.console = console
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+s.path, "ROUTER_CONSOLE="+console, "TMPDIR="+s.tempDir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	s.mu.Lock()
	s.pids = append(s.pids, cmd.Process.Pid)
	s.mu.Unlock()
	eventually(t, "the sidecar is ready", func() bool { return callStatus(console, "GET", "/ready", "") == http.StatusOK })
}

// watchMemory records the peak of the memory that is not backed by files.
func (s *memoryTestSidecar) watchMemory() {
	defer close(s.ended)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		var total int64
		s.mu.Lock()
		for _, pid := range s.pids {
			total += anonymousMemory(pid)
		}
		s.mu.Unlock()
		s.peak = max(s.peak, total)
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
	}
}

// peakMemory ends the watch and returns the peak in bytes.
func (s *memoryTestSidecar) peakMemory() int64 {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	<-s.ended
	return s.peak
}

var anonymousMemoryLine = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB$`)

// anonymousMemory returns the memory of a process that is not backed by files, or 0 without such a
// process.
func anonymousMemory(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	m := anonymousMemoryLine.FindSubmatch(text)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseInt(string(m[1]), 10, 64)
	return kb << 10
}
