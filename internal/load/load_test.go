package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/standin"
	"gorselink/traffic"
)

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

const ms = time.Millisecond

func stream(t testing.TB, script string) traffic.Stream {
	t.Helper()
	s, err := traffic.ParseShape(script)
	if err != nil {
		t.Fatal(err)
	}
	return traffic.Stream{Name: "a", Shape: s, Host: "x", Path: "/{n}", Budget: 10 * time.Second}
}

// config is a run of one stream at addr.
func config(addr string, s traffic.Stream) Config {
	return Config{
		Addr: addr, Streams: []traffic.Stream{s}, Plan: traffic.NewPlan([]traffic.Stream{s}, 1), Seed: 1,
		Conns: 64, Span: s.Shape.Span(), Grace: patience,
	}
}

func run(t testing.TB, cfg Config) *Result {
	t.Helper()
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r.Run(context.Background())
}

func node(t testing.TB, cfg standin.NodeConfig) *standin.Node {
	t.Helper()
	n, err := standin.StartNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// target is one that does as told with each connection.
func target(t testing.TB, serve func(c net.Conn)) string {
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

// answering serves each request with a text, having told of it.
func answering(text string, told ...func()) func(c net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			for _, tell := range told {
				tell()
			}
			io.Copy(io.Discard, req.Body)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// A node pauses for one second under 500 requests a second. Each request that
// was due in that second waits for the rest of it, so the tail is known by
// arithmetic; a closed loop beside it, of the same pace, sees one slow request.
func TestPauseShowsInTheTail(t *testing.T) {
	const rate, pause = 500, time.Second
	n := node(t, standin.NodeConfig{})
	s := stream(t, "hold 500 4s")
	var closed []time.Duration
	var wg sync.WaitGroup
	wg.Go(func() { // asks, waits for the answer, and asks again when it is time
		client := http.Client{Timeout: patience}
		for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(time.Second / rate) {
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
	begin := time.Now()
	time.AfterFunc(1500*ms, func() { n.SetMode(standin.ModeFreeze) })
	time.AfterFunc(1500*ms+pause, func() { n.SetMode(standin.ModeServe) })
	res := run(t, config(n.Addr(), s))
	wg.Wait()
	if took := time.Since(begin); took > patience/2 {
		t.Errorf("the run took %v", took)
	}
	if res.Outcomes[OK] != 4*rate || res.Requests() != 4*rate {
		t.Fatalf("outcomes %v, want %d answered", res.Outcomes, 4*rate)
	}
	// rate*pause requests wait evenly from 0 to pause: of 2,000, the slowest 20
	// for more than 0.96 of it.
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
	hidden := 0
	for _, d := range closed {
		if d > 100*ms {
			hidden++
		}
	}
	t.Logf("open loop: p50 %d p99 %d p99.9 %d µs; closed loop: %d requests, %d of them over 100 ms", res.Latency.ValueAtQuantile(50),
		res.Latency.ValueAtQuantile(99), res.Latency.ValueAtQuantile(99.9), len(closed), hidden)
	if hidden > 3 {
		t.Errorf("the closed loop saw %d slow requests: it shows nothing", hidden)
	}
	// Service time is from the send, and so hides what waited for a lane: 64
	// requests were on their way, the others of the 500 were not.
	if got := res.Service.ValueAtQuantile(90); got > 100000 {
		t.Errorf("p90 of the service time: %d µs", got)
	}
}

// A target that freezes for good stops neither the schedule nor the run, and
// costs no memory: what is due waits in the plan.
func TestStalledTargetBoundedMemory(t *testing.T) {
	n := node(t, standin.NodeConfig{})
	n.SetMode(standin.ModeFreeze)
	s := stream(t, "hold 50000 4s")
	s.Budget = 0
	cfg := config(n.Addr(), s)
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
	began := time.Now()
	res := r.Run(context.Background())
	if took := time.Since(began); took < 4*time.Second || took > patience {
		t.Errorf("the run took %v, want 4.5 s and a little", took)
	}
	if res.Outcomes[Unanswered] != 200000 || res.Requests() != 200000 {
		t.Errorf("outcomes %v, want 200000 unanswered", res.Outcomes)
	}
	if during > before+32<<20 {
		t.Errorf("%d bytes held with 150,000 due, %d at the begin", during, before)
	}
	// They have waited evenly from 0.5 s to 4.5 s.
	if p := res.Latency.ValueAtQuantile(50); p < 2400000 || p > 2900000 {
		t.Errorf("half have waited for %d µs, want about 2.5 s", p)
	}
	if n.TotalConns() > 64 {
		t.Errorf("%d connections, want 64 at most", n.TotalConns())
	}
}

// Each way of not answering is told apart, and the run ends.
func TestOutcomes(t *testing.T) {
	refusing := node(t, standin.NodeConfig{})
	refusing.Crash()
	silent := node(t, standin.NodeConfig{})
	silent.SetMode(standin.ModeFreeze)
	for name, c := range map[string]struct {
		addr string
		want Outcome
	}{
		"ok":             {target(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), OK},
		"not found":      {target(t, answering("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")), Rejected},
		"refused":        {target(t, answering("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")), Refused},
		"failed":         {target(t, answering("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), Failed},
		"spoilt":         {target(t, answering("\x00noise\r\n\r\n")), Broken},
		"answered twice": {target(t, answering(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2))), OK},
		"no connection":  {refusing.Addr(), NoConn},
		"silent":         {silent.Addr(), TimedOut},
		"never reads":    {target(t, func(net.Conn) {}), TimedOut},
		"closes":         {target(t, func(c net.Conn) { c.Close() }), Broken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := stream(t, "hold 100 200ms")
			s.Budget, s.Method, s.Body = 300*ms, "POST", 100
			if name == "never reads" {
				s.Body = 900 << 10
			}
			res := run(t, config(c.addr, s))
			if res.Outcomes[c.want] != 20 || res.First[c.want] != 20 || res.Requests() != 20 {
				t.Errorf("outcomes %v, first tries %v, want 20 %v", res.Outcomes, res.First, c.want)
			}
		})
	}
}

// Callers try again as they are told to, with an id of its own for each try;
// first tries and later ones are counted apart.
func TestRetries(t *testing.T) {
	var mu sync.Mutex
	tries, ids := map[string][]time.Time{}, map[string]bool{}
	addr := target(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			tries[req.URL.Path] = append(tries[req.URL.Path], time.Now())
			n := len(tries[req.URL.Path])
			if id := req.Header.Get("X-Call-Id"); len(id) != 16 || ids[id] {
				t.Errorf("id %q", id)
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
	s := stream(t, "hold 100 200ms")
	cfg := config(addr, s)
	cfg.Client = traffic.Client{Retries: 5, Wait: ms, Honour: 1}
	res := run(t, cfg)
	if res.Outcomes[OK] != 20 || res.First[Refused] != 20 || res.Again[Refused] != 20 || res.Again[OK] != 20 || res.Requests() != 20 {
		t.Errorf("outcomes %v, first %v, again %v", res.Outcomes, res.First, res.Again)
	}
	for path, at := range tries {
		if len(at) != 3 || at[1].Sub(at[0]) < 45*ms {
			t.Errorf("%s: tried at %v", path, at)
		}
	}
	if p := res.Latency.ValueAtQuantile(0); p < 95000 {
		t.Errorf("the least latency %d µs, want two waits of 50 ms in it", p)
	}
	if p := res.Service.ValueAtQuantile(50); p > 50000 {
		t.Errorf("service time %d µs", p)
	}
}

// Callers that leave, connections that are closed after some requests.
func TestCallersLeaveAndReopen(t *testing.T) {
	n := node(t, standin.NodeConfig{Latency: 100 * ms})
	cfg := config(n.Addr(), stream(t, "hold 200 500ms"))
	cfg.Client = traffic.Client{Leave: 0.5, LeaveAfter: 20 * ms}
	res := run(t, cfg)
	if left := res.Outcomes[LeftEarly]; left < 25 || left > 75 || left+res.Outcomes[OK] != 100 {
		t.Errorf("outcomes %v, want half to leave", res.Outcomes)
	}
	quick := node(t, standin.NodeConfig{})
	cfg = config(quick.Addr(), stream(t, "hold 200 500ms"))
	cfg.PerConn = 4
	if res = run(t, cfg); res.Outcomes[OK] != 100 || res.Opened < 25 {
		t.Errorf("outcomes %v over %d connections, want 4 requests on each at most", res.Outcomes, res.Opened)
	}
}

// An interrupt in the middle still gives a result: what was due by then.
func TestInterruptReports(t *testing.T) {
	n := node(t, standin.NodeConfig{})
	r, err := New(config(n.Addr(), stream(t, "hold 200 60s")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 600*ms)
	defer cancel()
	n2 := time.AfterFunc(300*ms, func() { n.SetMode(standin.ModeFreeze) })
	defer n2.Stop()
	res := r.Run(ctx)
	if res.Outcomes[OK] < 20 || res.Outcomes[Unanswered] < 20 || res.Requests() > 200 {
		t.Errorf("outcomes %v, want some 60 answered and 60 not", res.Outcomes)
	}
}

// Parts of a plan, measured apart and merged, are the whole, bucket by bucket.
func TestMergedWorkersEqualOne(t *testing.T) {
	s := []traffic.Stream{stream(t, "wave 2000 1500 1s 5s"), stream(t, "spike 100 3000 100ms 4s")}
	s[1].Name = "b"
	// What a request saw follows from what it is, so that each worker sees the
	// same of it.
	measure := func(p Plan, rec *recorder) *Result {
		for i := 0; ; i++ {
			a, ok := p.Next()
			if !ok {
				return rec.result()
			}
			sh := &rec.shards[i%shards]
			took := time.Duration(a.Index*a.Index%977+1) * 137 * time.Microsecond
			o := Outcome(a.Index % uint64(Outcomes))
			sh.first(took, o)
			sh.again(took/3, o)
			sh.end(a.Stream, a.Due, a.Due+took, o, toll{own: took / 7, held: took / 5, waited: took / 9})
		}
	}
	one := measure(traffic.NewPlan(s, 1), newRecorder([]string{"a", "b"}))
	merged := newResult([]string{"a", "b"})
	for w := range 3 {
		merged.Merge(measure(traffic.NewPart(traffic.NewPlan(s, 1), w, 3), newRecorder([]string{"a", "b"})))
	}
	if one.Requests() < 10000 || one.Outcomes != merged.Outcomes || one.First != merged.First || one.Again != merged.Again {
		t.Errorf("%v and %v", one.Outcomes, merged.Outcomes)
	}
	for i, h := range one.histograms() {
		if !(*h).Equals(*merged.histograms()[i]) {
			t.Errorf("histogram %d differs", i)
		}
	}
	for i := range one.Streams {
		if !one.Streams[i].Latency.Equals(merged.Streams[i].Latency) || one.Streams[i].Outcomes != merged.Streams[i].Outcomes {
			t.Errorf("stream %d differs", i)
		}
	}
	if fmt.Sprint(one.Seconds) != fmt.Sprint(merged.Seconds) {
		t.Error("the seconds differ")
	}
	// And the seconds together are the whole run.
	all := newHist()
	for i := range one.Seconds {
		all.Merge(one.Seconds[i].Latency.Histogram())
	}
	if !all.Equals(one.Latency) {
		t.Error("the seconds do not add up to the run")
	}
}

func TestBadConfigs(t *testing.T) {
	good := config("127.0.0.1:1", stream(t, "hold 1 1s"))
	for name, change := range map[string]func(*Config){
		"no plan":        func(c *Config) { c.Plan = nil },
		"no connections": func(c *Config) { c.Conns = 0 },
		"endless":        func(c *Config) { c.Span, c.Streams[0].Budget = 0, 0 },
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
