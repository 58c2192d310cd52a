package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/traffic"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 20 * time.Second

const ms = time.Millisecond

func testStream(t testing.TB, script string) traffic.Stream {
	t.Helper()
	s, err := traffic.ParseShape(script)
	if err != nil {
		t.Fatal(err)
	}
	return traffic.Stream{Name: "a", Shape: s, Host: "x", Path: "/{n}", Budget: 10 * time.Second}
}

// testConfig is the configuration of a run of one stream against addr.
func testConfig(addr string, s traffic.Stream) Config {
	return Config{
		Addr: addr, Streams: []traffic.Stream{s}, Plan: traffic.NewPlan([]traffic.Stream{s}, 1), Seed: 1,
		Conns: 64, Span: s.Shape.Span(), Grace: testTimeout,
	}
}

func runLoad(t testing.TB, cfg Config) *Result {
	t.Helper()
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r.Run(context.Background())
}

func startNode(t testing.TB, cfg fakeserver.NodeConfig) *fakeserver.Node {
	t.Helper()
	n, err := fakeserver.StartNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// startTarget starts a server that calls serve for each connection.
func startTarget(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// respondWith serves each request with a fixed response, after calling the callbacks.
func respondWith(text string, callbacks ...func()) func(c net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			for _, callback := range callbacks {
				callback()
			}
			io.Copy(io.Discard, req.Body)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// A target that pauses for one second delays each request that was due in the pause
// by the rest of it, so the tail latencies follow by arithmetic. A closed loop at the
// same rate sees only one slow request.
func TestPauseAppearsInTailLatency(t *testing.T) {
	const rate, pause = 500, time.Second
	n := startNode(t, fakeserver.NodeConfig{})
	s := testStream(t, "hold 500 4s")
	var closed []time.Duration
	var wg sync.WaitGroup
	wg.Go(func() { // closed loop: waits for each response before the next request
		client := http.Client{Timeout: testTimeout}
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(time.Second / rate) {
			at := time.Now()
			resp, err := client.Get("http://" + n.Addr() + "/")
			if err != nil {
				t.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			closed = append(closed, time.Since(at))
		}
	})
	start := time.Now()
	time.AfterFunc(1500*ms, func() { n.SetMode(fakeserver.ModeFreeze) })
	time.AfterFunc(1500*ms+pause, func() { n.SetMode(fakeserver.ModeServe) })
	res := runLoad(t, testConfig(n.Addr(), s))
	wg.Wait()
	if took := time.Since(start); took > testTimeout/2 {
		t.Errorf("the run took %v", took)
	}
	if res.Outcomes[OK] != 4*rate || res.Requests() != 4*rate {
		t.Fatalf("outcomes %v, want %d ok", res.Outcomes, 4*rate)
	}
	// rate*pause requests wait uniformly from 0 to pause: of 2,000, the slowest 20
	// wait for more than 0.96 of it.
	slow := float64(rate) * pause.Seconds()
	for _, c := range []struct{ q, want float64 }{
		{99, 1 - 0.01*4*rate/slow},
		{99.9, 1 - 0.001*4*rate/slow},
		{90, 1 - 0.10*4*rate/slow},
	} {
		got := time.Duration(res.Latency.ValueAtQuantile(c.q)) * time.Microsecond
		if math.Abs(got.Seconds()-c.want) > 0.06 {
			t.Errorf("p%v: %v, want about %.2f s", c.q, got, c.want)
		}
	}
	for step := 1; step < 9; step++ {
		low, high := int64(step)*100000, int64(step+1)*100000
		count := int64(0)
		for _, bar := range res.Latency.Distribution() {
			if bar.From >= low && bar.From < high {
				count += bar.Count
			}
		}
		if count < 35 || count > 65 {
			t.Errorf("%d requests waited from %d to %d ms, want about 50", count, low/1000, high/1000)
		}
	}
	slowRequests := 0
	for _, d := range closed {
		if d > 100*ms {
			slowRequests++
		}
	}
	t.Logf("open loop: p50 %d p99 %d p99.9 %d µs; closed loop: %d requests, %d of them over 100 ms", res.Latency.ValueAtQuantile(50),
		res.Latency.ValueAtQuantile(99), res.Latency.ValueAtQuantile(99.9), len(closed), slowRequests)
	if slowRequests > 3 {
		t.Errorf("the closed loop saw %d slow requests, want at most 3", slowRequests)
	}
	// Service time counts from the send, so it omits the wait for a connection: only 64
	// of the 500 requests were in flight during the pause.
	if got := res.Service.ValueAtQuantile(90); got > 100000 {
		t.Errorf("p90 of the service time: %d µs", got)
	}
}

// A target that freezes permanently stops neither the schedule nor the run, and costs no
// memory, because due requests wait in the plan.
func TestStalledTargetMemory(t *testing.T) {
	n := startNode(t, fakeserver.NodeConfig{})
	n.SetMode(fakeserver.ModeFreeze)
	s := testStream(t, "hold 50000 4s")
	s.Budget = 0
	cfg := testConfig(n.Addr(), s)
	cfg.Grace = 500 * ms
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var before, during uint64
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	before = heap()
	time.AfterFunc(3*time.Second, func() { during = heap() })
	start := time.Now()
	res := r.Run(context.Background())
	if took := time.Since(start); took < 4*time.Second || took > testTimeout {
		t.Errorf("the run took %v, want a little over 4.5 s", took)
	}
	if res.Outcomes[Unanswered] != 200000 || res.Requests() != 200000 {
		t.Errorf("outcomes %v, want 200000 unanswered", res.Outcomes)
	}
	if during > before+32<<20 {
		t.Errorf("heap of %d bytes with 150,000 requests due, %d at the start", during, before)
	}
	// They waited uniformly from 0.5 s to 4.5 s.
	if p := res.Latency.ValueAtQuantile(50); p < 2400000 || p > 2900000 {
		t.Errorf("median latency %d µs, want about 2.5 s", p)
	}
	if n.TotalConns() > 64 {
		t.Errorf("%d connections, want at most 64", n.TotalConns())
	}
}

// Each kind of failure has its own outcome, and the run ends.
func TestOutcomes(t *testing.T) {
	crashed := startNode(t, fakeserver.NodeConfig{})
	crashed.Crash()
	silent := startNode(t, fakeserver.NodeConfig{})
	silent.SetMode(fakeserver.ModeFreeze)
	for name, c := range map[string]struct {
		addr string
		want Outcome
	}{
		"ok":             {startTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), OK},
		"not found":      {startTarget(t, respondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")), Rejected},
		"refused":        {startTarget(t, respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")), Refused},
		"failed":         {startTarget(t, respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), Failed},
		"malformed":      {startTarget(t, respondWith("\x00noise\r\n\r\n")), Broken},
		"responds twice": {startTarget(t, respondWith(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2))), OK},
		"no connection":  {crashed.Addr(), NoConn},
		"silent":         {silent.Addr(), TimedOut},
		"never reads":    {startTarget(t, func(net.Conn) {}), TimedOut},
		"closes":         {startTarget(t, func(c net.Conn) { c.Close() }), Broken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := testStream(t, "hold 100 200ms")
			s.Budget, s.Method, s.Body = 300*ms, "POST", 100
			if name == "never reads" {
				s.Body = 900 << 10
			}
			res := runLoad(t, testConfig(c.addr, s))
			if res.Outcomes[c.want] != 20 || res.FirstAttempts[c.want] != 20 || res.Requests() != 20 {
				t.Errorf("outcomes %v, first attempts %v, want 20 %v", res.Outcomes, res.FirstAttempts, c.want)
			}
		})
	}
}

// Callers retry as configured, each attempt has its own ID, and first attempts and
// retries are counted separately.
func TestRetries(t *testing.T) {
	var mu sync.Mutex
	attempts, ids := map[string][]time.Time{}, map[string]bool{}
	addr := startTarget(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			attempts[req.URL.Path] = append(attempts[req.URL.Path], time.Now())
			n := len(attempts[req.URL.Path])
			if id := req.Header.Get("X-Call-Id"); len(id) != 16 || ids[id] {
				t.Errorf("call ID %q", id)
			} else {
				ids[id] = true
			}
			mu.Unlock()
			if n < 3 {
				io.WriteString(c, "HTTP/1.1 503 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	s := testStream(t, "hold 100 200ms")
	cfg := testConfig(addr, s)
	cfg.Client = traffic.Client{Retries: 5, RetryWait: ms, HonourShare: 1}
	res := runLoad(t, cfg)
	if res.Outcomes[OK] != 20 || res.FirstAttempts[Refused] != 20 || res.RetryOutcomes[Refused] != 20 || res.RetryOutcomes[OK] != 20 || res.Requests() != 20 {
		t.Errorf("outcomes %v, first attempts %v, retries %v", res.Outcomes, res.FirstAttempts, res.RetryOutcomes)
	}
	for path, at := range attempts {
		if len(at) != 3 || at[1].Sub(at[0]) < 45*ms {
			t.Errorf("%s: attempts at %v", path, at)
		}
	}
	if p := res.Latency.ValueAtQuantile(0); p < 95000 {
		t.Errorf("smallest latency %d µs, want at least two waits of 50 ms", p)
	}
	if p := res.Service.ValueAtQuantile(50); p > 50000 {
		t.Errorf("median service time %d µs", p)
	}
}

// Callers that disconnect are counted, and connections are closed after PerConn requests.
func TestCallersLeaveAndConnectionLimit(t *testing.T) {
	n := startNode(t, fakeserver.NodeConfig{Latency: 100 * ms})
	cfg := testConfig(n.Addr(), testStream(t, "hold 200 500ms"))
	cfg.Client = traffic.Client{LeaveShare: 0.5, LeaveAfter: 20 * ms}
	res := runLoad(t, cfg)
	if left := res.Outcomes[LeftEarly]; left < 25 || left > 75 || left+res.Outcomes[OK] != 100 {
		t.Errorf("outcomes %v, want about half left early", res.Outcomes)
	}
	quick := startNode(t, fakeserver.NodeConfig{})
	cfg = testConfig(quick.Addr(), testStream(t, "hold 200 500ms"))
	cfg.PerConn = 4
	if res = runLoad(t, cfg); res.Outcomes[OK] != 100 || res.Opened < 25 {
		t.Errorf("outcomes %v over %d connections, want at most 4 requests on each", res.Outcomes, res.Opened)
	}
}

// A cancelled run returns the results of the requests that were due by then.
func TestCancelledRunReports(t *testing.T) {
	n := startNode(t, fakeserver.NodeConfig{})
	r, err := New(testConfig(n.Addr(), testStream(t, "hold 200 60s")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 600*ms)
	defer cancel()
	freeze := time.AfterFunc(300*ms, func() { n.SetMode(fakeserver.ModeFreeze) })
	defer freeze.Stop()
	res := r.Run(ctx)
	if res.Outcomes[OK] < 20 || res.Outcomes[Unanswered] < 20 || res.Requests() > 200 {
		t.Errorf("outcomes %v, want about 60 ok and 60 unanswered", res.Outcomes)
	}
}

// Measuring the parts of a plan separately and merging the results equals measuring
// the whole plan, bucket by bucket.
func TestMergedResultsEqualWhole(t *testing.T) {
	s := []traffic.Stream{testStream(t, "wave 2000 1500 1s 5s"), testStream(t, "spike 100 3000 100ms 4s")}
	s[1].Name = "b"
	// The measurements follow from the arrival, so that each worker records the same
	// for it.
	measure := func(p Plan, rec *recorder) *Result {
		for i := 0; ; i++ {
			a, ok := p.Next()
			if !ok {
				return rec.result()
			}
			sh := &rec.shards[i%recorderShards]
			took := time.Duration(a.Index*a.Index%977+1) * 137 * time.Microsecond
			o := Outcome(a.Index % uint64(numOutcomes))
			sh.recordFirstAttempt(took, o)
			sh.recordRetry(took/3, o)
			sh.recordRequest(a.Stream, a.Due, a.Due+took, o, delays{generator: took / 7, induced: took / 5, connWait: took / 9})
		}
	}
	whole := measure(traffic.NewPlan(s, 1), newRecorder([]string{"a", "b"}))
	merged := newResult([]string{"a", "b"})
	for w := range 3 {
		merged.Merge(measure(traffic.NewPlanPart(traffic.NewPlan(s, 1), w, 3), newRecorder([]string{"a", "b"})))
	}
	if whole.Requests() < 10000 || whole.Outcomes != merged.Outcomes || whole.FirstAttempts != merged.FirstAttempts || whole.RetryOutcomes != merged.RetryOutcomes {
		t.Errorf("outcomes %v, merged %v", whole.Outcomes, merged.Outcomes)
	}
	for i, h := range whole.histograms() {
		if !(*h).Equals(*merged.histograms()[i]) {
			t.Errorf("histogram %d differs", i)
		}
	}
	for i := range whole.Streams {
		if !whole.Streams[i].Latency.Equals(merged.Streams[i].Latency) || whole.Streams[i].Outcomes != merged.Streams[i].Outcomes {
			t.Errorf("stream %d differs", i)
		}
	}
	if fmt.Sprint(whole.Seconds) != fmt.Sprint(merged.Seconds) {
		t.Error("the seconds differ")
	}
	// The seconds together equal the whole run.
	all := newHistogram()
	for i := range whole.Seconds {
		all.Merge(whole.Seconds[i].Latency.Histogram())
	}
	if !all.Equals(whole.Latency) {
		t.Error("the seconds do not add up to the run")
	}
}

func TestConfigErrors(t *testing.T) {
	good := testConfig("127.0.0.1:1", testStream(t, "hold 1 1s"))
	for name, change := range map[string]func(*Config){
		"no plan":        func(c *Config) { c.Plan = nil },
		"no connections": func(c *Config) { c.Conns = 0 },
		"no end":         func(c *Config) { c.Span, c.Streams[0].Budget = 0, 0 },
		"bad path":       func(c *Config) { c.Streams[0].Path = "/{" },
		"bad client":     func(c *Config) { c.Client.Retries = -1 },
	} {
		c := good
		c.Streams = append([]traffic.Stream(nil), good.Streams...)
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A response after the budget counts as late up to LateTolerance, and as none after it. Neither
// counts as served, and both outcomes stay apart in merged results and in every form of the
// report.
func TestLateResponsesAreNotLost(t *testing.T) {
	const budget, requests = 300 * ms, 20
	serveAfter := func(delay time.Duration) string {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(delay) }))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	run := func(addr string) *Result {
		s := testStream(t, "hold 100 200ms")
		s.Budget = budget
		return runLoad(t, testConfig(addr, s))
	}
	onTime, late, lost := run(serveAfter(0)), run(serveAfter(budget+100*ms)), run(serveAfter(budget+LateTolerance+200*ms))
	if onTime.Outcomes[OK] != requests || late.Outcomes[Late] != requests || lost.Outcomes[TimedOut] != requests {
		t.Fatalf("outcomes without delay %v, 0.1 s late %v, 0.7 s late %v, want %d ok, late and timed out", onTime.Outcomes, late.Outcomes, lost.Outcomes, requests)
	}
	onTime.Merge(late)
	onTime.Merge(lost)
	served := int64(0)
	for i := range onTime.Seconds {
		served += onTime.Seconds[i].Served
	}
	if served != requests {
		t.Errorf("%d of %d requests count as served, want %d", served, onTime.Requests(), requests)
	}
	rep, err := onTime.Report()
	if err != nil {
		t.Fatal(err)
	}
	var text, page, encoded bytes.Buffer
	if err := errors.Join(rep.WriteText(&text), rep.WriteHTML(&page), rep.WriteJSON(&encoded)); err != nil {
		t.Fatal(err)
	}
	for form, got := range map[string]string{"text": text.String(), "HTML": page.String()} {
		if want := "requests: ok 20 late 20 timed_out 20"; !strings.Contains(got, want) {
			t.Errorf("%s report without %q:\n%s", form, want, got)
		}
	}
	decoded, err := ReadReport(&encoded)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Outcomes["late"] != requests || decoded.Outcomes["timed_out"] != requests {
		t.Errorf("JSON report: outcomes %v, want %d late and %d timed out", decoded.Outcomes, requests, requests)
	}
}
