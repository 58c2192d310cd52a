package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second

func start(t *testing.T, cfg NodeConfig) *Node {
	t.Helper()
	n, err := StartNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// ask makes one request on a connection of its own.
func ask(n *Node, id string) (status int, body string, header http.Header) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
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
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Each mode does what it says, and counts what has run and nothing else.
func TestNodeModes(t *testing.T) {
	n := start(t, NodeConfig{Name: "s-1"})
	for _, c := range []struct {
		mode   Mode
		status int
		runs   int
	}{{ModeServe, 200, 1}, {ModeError, 500, 1}, {ModeReject, 503, 0}, {ModeReset, 0, 1}, {ModeMalformed, 0, 1}} {
		n.SetMode(c.mode)
		id := fmt.Sprint("id-", c.mode)
		status, body, header := ask(n, id)
		if status != c.status || n.RunsByID()[id] != c.runs {
			t.Errorf("mode %d: status %d %q, %d runs, want %d and %d", c.mode, status, body, n.RunsByID()[id], c.status, c.runs)
		}
		if c.mode == ModeReject && header.Get("X-Rejected") != "1" {
			t.Error("a refusal without X-Rejected")
		}
	}
	n.SetMode(ModeFreeze)
	done := make(chan int)
	go func() { s, _, _ := ask(n, "frozen"); done <- s }()
	eventually(t, "it is in", func() bool { return n.OpenRequests() == 1 })
	if n.RunsByID()["frozen"] != 0 {
		t.Error("it runs while frozen")
	}
	n.SetMode(ModeServe)
	if s := <-done; s != 200 || n.RunsByID()["frozen"] != 1 {
		t.Errorf("status %d, %d runs after the thaw", s, n.RunsByID()["frozen"])
	}
	n.SetMode(ModeNoAnswer)
	go func() { s, _, _ := ask(n, "mute"); done <- s }()
	eventually(t, "it runs", func() bool { return n.RunsByID()["mute"] == 1 })
	n.Crash()
	if s := <-done; s != 0 {
		t.Errorf("status %d from a node that has gone", s)
	}
	if n.TotalRuns() != 6 || n.MostOpen() < 1 {
		t.Errorf("%d runs, %d at once at the most", n.TotalRuns(), n.MostOpen())
	}
}

// One that vanishes resets its connections and refuses new ones; what it held
// does not run in its next life, at the same address and cold.
func TestNodeVanishesAndReturns(t *testing.T) {
	n := start(t, NodeConfig{Work: 20 * time.Millisecond, Cores: 1, WarmUp: time.Hour, ColdShare: 0.1})
	if took := duration(func() { ask(n, "a") }); took > 150*time.Millisecond {
		t.Logf("a warm answer took %v: the machine is busy", took)
	}
	n.SetMode(ModeFreeze)
	done := make(chan int)
	go func() { s, _, _ := ask(n, "held"); done <- s }()
	eventually(t, "it is in", func() bool { return n.OpenRequests() == 1 })
	n.Crash()
	if err := n.Restart(); err != nil {
		t.Fatal(err)
	}
	if s := <-done; s != 0 || n.RunsByID()["held"] != 0 {
		t.Errorf("status %d, %d runs of what the former life held", s, n.RunsByID()["held"])
	}
	if took := duration(func() { ask(n, "b") }); took < 180*time.Millisecond {
		t.Errorf("a cold answer took %v, want ten times 20ms", took)
	}
	if n.RestartedAt().IsZero() || NewEntry(n, "in_service").SinceMs == 0 {
		t.Error("its start is not told")
	}
	n.Crash()
	if s, text, _ := ask(n, "c"); s != 0 || !strings.Contains(text, "refused") {
		t.Errorf("%d %s, want a refused connection", s, text)
	}
}

func duration(do func()) time.Duration {
	at := time.Now()
	do()
	return time.Since(at)
}

// Work is done on the cores that there are; what finds no place in the queue is
// turned away and does not run.
func TestNodeQueue(t *testing.T) {
	n := start(t, NodeConfig{Work: 100 * time.Millisecond, Cores: 2, Queue: 1})
	statuses := make(chan int, 10)
	for i := range 10 {
		go func() { s, _, _ := ask(n, fmt.Sprint(i)); statuses <- s }()
	}
	count := map[int]int{}
	for range 10 {
		count[<-statuses]++
	}
	if count[200]+count[503] != 10 || count[200] < 3 || n.TotalRuns() != count[200] {
		t.Errorf("statuses %v, %d runs", count, n.TotalRuns())
	}
}

func TestAgentTellsListAndChanges(t *testing.T) {
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
		c := http.Client{Timeout: patience}
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
	whole := get("")
	if !whole.Snapshot || len(whole.Endpoints) != 1 {
		t.Fatalf("%+v", whole)
	}
	if l := get(fmt.Sprintf("?after=%d&wait_ms=1", whole.Index)); l.Snapshot || len(l.Endpoints) != 0 {
		t.Errorf("nothing has changed: %+v", l)
	}
	news := make(chan list)
	go func() { news <- get(fmt.Sprintf("?after=%d&wait_ms=20000", whole.Index)) }()
	eventually(t, "the watch", func() bool { return a.Calls() == 3 })
	a.Update(Entry{Name: "s-2", Address: "127.0.0.1:2", Status: "in_service"}, Entry{Name: "s-1", Status: "terminated"})
	if l := <-news; len(l.Endpoints) != 2 || l.Index != whole.Index+1 {
		t.Errorf("%+v", l)
	}
	if l := get(""); len(l.Endpoints) != 1 || l.Endpoints[0].Name != "s-2" {
		t.Errorf("%+v", l)
	}
	a.SetUnresponsive(true)
	go func() { news <- get("") }()
	select {
	case l := <-news:
		t.Errorf("told while silent: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	a.SetUnresponsive(false)
	if l := <-news; len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
}
