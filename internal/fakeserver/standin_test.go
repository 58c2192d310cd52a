package fakeserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

func startNode(t *testing.T, cfg NodeConfig) *Node {
	t.Helper()
	n, err := StartNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// post sends one request on a new connection. Its status is 0 if there is no response.
func post(n *Node, id string) (status int, body string, header http.Header) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.Addr()+"/x", strings.NewReader("hello"))
	req.Header.Set("X-Call-Id", id)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// Guards against a mode with a wrong response or a wrong count of runs.
func TestNodeModes(t *testing.T) {
	n := startNode(t, NodeConfig{Name: "s-1"})
	for _, c := range []struct {
		mode   Mode
		status int
		runs   int
	}{{ModeServe, 200, 1}, {ModeError, 500, 1}, {ModeReject, 503, 0}, {ModeReset, 0, 1}, {ModeMalformed, 0, 1}, {ModeCutHead, 0, 1}, {ModeCutBody, 200, 1}, {ModeTrickle, 200, 1}} {
		n.SetMode(c.mode)
		id := fmt.Sprint("id-", c.mode)
		status, body, header := post(n, id)
		if status != c.status || n.RunsByID()[id] != c.runs {
			t.Errorf("mode %d: status %d %q, %d runs, want status %d and %d runs", c.mode, status, body, n.RunsByID()[id], c.status, c.runs)
		}
		if c.mode == ModeReject && header.Get("X-Rejected") != "1" {
			t.Error("ModeReject: response has no X-Rejected header")
		}
		if whole := strings.HasSuffix(body, "\n"); status == 200 && whole != (c.mode != ModeCutBody) {
			t.Errorf("mode %d: body %q", c.mode, body)
		}
	}
	n.SetMode(ModeFreeze)
	done := make(chan int)
	go func() { s, _, _ := post(n, "frozen"); done <- s }()
	eventually(t, "request open at the node", func() bool { return n.OpenRequests() == 1 })
	if n.RunsByID()["frozen"] != 0 {
		t.Error("request ran in ModeFreeze")
	}
	n.SetMode(ModeServe)
	if s := <-done; s != 200 || n.RunsByID()["frozen"] != 1 {
		t.Errorf("status %d, %d runs after ModeFreeze, want 200 and 1", s, n.RunsByID()["frozen"])
	}
	n.SetMode(ModeNoResponse)
	go func() { s, _, _ := post(n, "no-response"); done <- s }()
	eventually(t, "request ran in ModeNoResponse", func() bool { return n.RunsByID()["no-response"] == 1 })
	n.Crash()
	if s := <-done; s != 0 {
		t.Errorf("status %d from a crashed node, want no response", s)
	}
	if n.TotalRuns() != 9 || n.MaxOpenRequests() < 1 {
		t.Errorf("%d runs, at most %d open requests, want 9 and at least 1", n.TotalRuns(), n.MaxOpenRequests())
	}
}

// Guards against a crash that leaves connections open or held requests to run later, and
// against a restart at another address or without warm-up.
func TestNodeCrashAndRestart(t *testing.T) {
	n := startNode(t, NodeConfig{Work: 20 * time.Millisecond, Cores: 1, WarmUp: time.Hour, ColdShare: 0.1})
	if took := timed(func() { post(n, "a") }); took > 150*time.Millisecond {
		t.Logf("response of a warm node took %v; the machine may be busy", took)
	}
	eventually(t, "end of the first request at the node", func() bool { return n.OpenRequests() == 0 })
	n.SetMode(ModeFreeze)
	done := make(chan int)
	go func() { s, _, _ := post(n, "held"); done <- s }()
	eventually(t, "request open at the node", func() bool { return n.OpenRequests() == 1 })
	n.Crash()
	if err := n.Restart(); err != nil {
		t.Fatal(err)
	}
	if s := <-done; s != 0 || n.RunsByID()["held"] != 0 {
		t.Errorf("status %d, %d runs of a request held at the crash, want neither", s, n.RunsByID()["held"])
	}
	if took := timed(func() { post(n, "b") }); took < 180*time.Millisecond {
		t.Errorf("response of a cold node took %v, want at least 180ms", took)
	}
	if n.RestartedAt().IsZero() || NewEntry(n, "in_service").SinceMs == 0 {
		t.Error("restarted node has no restart time in its entry")
	}
	n.Crash()
	if s, text, _ := post(n, "c"); s != 0 || !strings.Contains(text, "refused") {
		t.Errorf("status %d %s, want a refused connection", s, text)
	}
}

func timed(run func()) time.Duration {
	start := time.Now()
	run()
	return time.Since(start)
}

// Guards against rejected requests that run, and against more or fewer runs than responses with status 200.
func TestNodeRejectsWhenQueueIsFull(t *testing.T) {
	n := startNode(t, NodeConfig{Work: 100 * time.Millisecond, Cores: 2, Queue: 1})
	statuses := make(chan int, 10)
	for i := range 10 {
		go func() { s, _, _ := post(n, fmt.Sprint(i)); statuses <- s }()
	}
	count := map[int]int{}
	for range 10 {
		count[<-statuses]++
	}
	if count[200]+count[503] != 10 || count[200] < 3 || n.TotalRuns() != count[200] {
		t.Errorf("statuses %v, %d runs", count, n.TotalRuns())
	}
}

// Guards against lost changes, wrong snapshots, and responses while the agent is
// unresponsive.
func TestAgentServesListAndChanges(t *testing.T) {
	a, err := StartAgent(Entry{Name: "s-1", Address: "127.0.0.1:1", Status: "in_service"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	type list struct {
		Index     int
		Snapshot  bool
		Endpoints []Entry
	}
	get := func(query string) (l list) {
		t.Helper()
		c := http.Client{Timeout: testTimeout}
		resp, err := c.Get("http://" + a.Addr() + "/api/targets" + query)
		if err != nil {
			t.Error(err)
			return l
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Error(err)
		}
		return l
	}
	snapshot := get("")
	if !snapshot.Snapshot || len(snapshot.Endpoints) != 1 {
		t.Fatalf("list %+v, want a snapshot of 1 endpoint", snapshot)
	}
	if l := get(fmt.Sprintf("?after=%d&wait_ms=1", snapshot.Index)); l.Snapshot || len(l.Endpoints) != 0 {
		t.Errorf("watch without a change: %+v, want no endpoint", l)
	}
	lists := make(chan list)
	go func() { lists <- get(fmt.Sprintf("?after=%d&wait_ms=20000", snapshot.Index)) }()
	eventually(t, "watch received", func() bool { return a.Calls() == 3 })
	a.Update(Entry{Name: "s-2", Address: "127.0.0.1:2", Status: "in_service"}, Entry{Name: "s-1", Status: "terminated"})
	if l := <-lists; len(l.Endpoints) != 2 || l.Index != snapshot.Index+1 {
		t.Errorf("changes %+v, want 2 endpoints at the next index", l)
	}
	if l := get(""); len(l.Endpoints) != 1 || l.Endpoints[0].Name != "s-2" {
		t.Errorf("list %+v, want only s-2", l)
	}
	a.SetUnresponsive(true)
	go func() { lists <- get("") }()
	select {
	case l := <-lists:
		t.Errorf("response while unresponsive: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	a.SetUnresponsive(false)
	if l := <-lists; len(l.Endpoints) != 1 {
		t.Errorf("list %+v, want 1 endpoint", l)
	}
}
