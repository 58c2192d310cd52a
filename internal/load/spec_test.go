package load

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/trace"
)

// workerEnv is the environment variable that makes the test process a worker.
const workerEnv = "GORSELINK_TEST_WORKER"

func TestMain(m *testing.M) {
	if os.Getenv(workerEnv) != "" {
		if err := ServeWorker(context.Background(), os.Stdin, os.Stdout, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func workerCommand(t *testing.T) func() *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return func() *exec.Cmd {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), workerEnv+"=1")
		return cmd
	}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// observedRequests records the requests that a node received, by path.
type observedRequests struct {
	mu   sync.Mutex
	reqs map[string]*http.Request
	body map[string]int
	ids  map[string]bool
	n    int
}

func startObservedNode(t *testing.T) (*fakeserver.Node, *observedRequests) {
	s := &observedRequests{reqs: map[string]*http.Request{}, body: map[string]int{}, ids: map[string]bool{}}
	return startNode(t, fakeserver.NodeConfig{Observe: func(req *http.Request, body []byte) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.n++
		s.reqs[req.URL.String()], s.body[req.URL.String()] = req, len(body)
		s.ids[req.Header.Get("X-Call-Id")] = true
	}}), s
}

// A file with a shaped stream and a trace sends both. Fields of the trace override
// the stream's settings.
func TestSpecFile(t *testing.T) {
	n, seen := startObservedNode(t)
	path := writeFile(t, "run.toml", fmt.Sprintf(`
target = %q
connections = 8
seed = 7
[client]
honour = 0.5
retries = 2
[[streams]]
name = "pledge"
shape = "hold 200 200ms"
arrivals = "even"
method = "POST"
host = "donate.example.org"
path = "/pledge/{n}"
class = "pay"
body = 30
keyed = true
headers = { X-Tenant = "acme" }
[[streams]]
name = "replay"
trace = "t.csv"
host = "receipts.example.org"
class = "read"
speed = 2
budget = "3s"
`, n.Addr()))
	if err := os.WriteFile(filepath.Join(filepath.Dir(path), "t.csv"), []byte("due,method,path,host,body,class\n0,GET,/r/1?x=1,,0,\n0.4,PUT,/r/2,other.example.org,12,slow\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := ReadSpec(path)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := s.Config(WorkerPart{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Client.HonourShare != 0.5 || cfg.Client.Retries != 2 || cfg.Conns != 8 || cfg.Seed != 7 || cfg.Streams[1].Budget != 3*time.Second || cfg.Streams[0].Budget != DefaultBudget || cfg.Streams[0].Skew != 1 {
		t.Errorf("%+v", cfg)
	}
	res := runLoad(t, *cfg)
	if res.PlanError != nil || res.Outcomes[OK] != 42 || res.Streams[1].Outcomes[OK] != 2 || res.Span > testTimeout {
		t.Fatalf("%v, %v in %v", res.PlanError, res.Outcomes, res.Span)
	}
	for path, want := range map[string]string{
		"/pledge/39": "POST donate.example.org pay 30 acme",
		"/r/1?x=1":   "GET receipts.example.org read 0 ",
		"/r/2":       "PUT other.example.org slow 12 ",
	} {
		req := seen.reqs[path]
		if req == nil {
			t.Errorf("%s was not requested", path)
			continue
		}
		if got := fmt.Sprintf("%s %s %s %d %s", req.Method, req.Host, req.Header.Get("X-Class"), seen.body[path], req.Header.Get("X-Tenant")); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
		if hasKey := req.Header.Get("Idempotency-Key") != ""; hasKey != strings.HasPrefix(path, "/pledge") {
			t.Errorf("%s: Idempotency-Key present: %v", path, hasKey)
		}
	}
}

// Errors in a file name their position, before anything is sent.
func TestSpecErrors(t *testing.T) {
	good := "target = \"127.0.0.1:1\"\n[[streams]]\nshape = \"hold 1 1s\"\n"
	log := writeFile(t, "a.log", "")
	for name, c := range map[string]struct{ text, want string }{
		"no TOML":                 {"target =", ":1:"},
		"unknown key":             {good + "methud = \"GET\"\n", ":4: streams.methud"},
		"bad duration":            {good + "budget = \"5\"\n", ":4: streams.budget"},
		"remote target":           {strings.Replace(good, "127.0.0.1", "192.0.2.1", 1), "not on this machine"},
		"no streams":              {"target = \"127.0.0.1:1\"\n", "streams: none"},
		"duplicate name":          {good + good[strings.Index(good, "["):] + "name = \"stream-1\"\n", "two have the name"},
		"neither shape nor trace": {"target = \"127.0.0.1:1\"\n[[streams]]\nname = \"x\"\n", "stream x: want either shape or trace"},
		"both":                    {good + "trace = \"x.log\"\n", "want either shape or trace"},
		"bad shape":               {strings.Replace(good, "hold 1 1s", "hold", 1), "stream stream-1: shape"},
		"arrivals":                {good + "arrivals = \"closed\"\n", "even or poisson"},
		"keys of a trace":         {good + "speed = 2\n", "require a trace"},
		"keys of a shape":         {"target = \"127.0.0.1:1\"\n[[streams]]\ntrace = '" + log + "'\npath = \"/x\"\n", "come from the trace"},
		"no trace":                {"target = \"127.0.0.1:1\"\n[[streams]]\ntrace = \"none.log\"\n", "none.log"},
		"no format":               {"target = \"127.0.0.1:1\"\n[[streams]]\ntrace = \"none.txt\"\n", "log, csv or jsonl"},
		"bad share":               {"target = \"127.0.0.1:1\"\n[[streams]]\ntrace = '" + log + "'\nbad_share = 2\n", "bad_share"},
		"bad speed":               {"target = \"127.0.0.1:1\"\n[[streams]]\ntrace = '" + log + "'\nspeed = -1\n", "speed"},
		"method":                  {good + "method = \"G T\"\n", "method"},
		"too many connections":    {"connections = 100000000\n" + good, "descriptors"},
		"bad header":              {good + "headers = { \"a b\" = \"c\" }\n", "header"},
		"negative seed":           {"seed = -1\n" + good, ":1: seed"},
	} {
		s, err := ReadSpec(writeFile(t, "run.toml", c.text))
		if err == nil {
			_, err = s.Config(WorkerPart{}, nil)
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	s := NewSpec()
	s.Target, s.Streams, s.Conns = "127.0.0.1:1", []StreamSpec{{Shape: "hold 1 1s"}}, 2
	if _, err := s.Config(WorkerPart{0, 3}, nil); err == nil {
		t.Error("two connections were accepted for three workers")
	}
	sum := 0
	for i := range 3 {
		s.Conns = 8
		c, err := s.Config(WorkerPart{i, 3}, nil)
		if err != nil {
			t.Fatal(err)
		}
		sum += c.Conns
	}
	if sum != 8 {
		t.Errorf("the workers have %d connections, want 8", sum)
	}
}

// A trace with too many invalid lines ends the run early and the report says so;
// skipped lines are reported by number.
func TestTraceWithBadLines(t *testing.T) {
	n, _ := startObservedNode(t)
	var text strings.Builder
	for i := range 150 {
		fmt.Fprintf(&text, "{\"due\":%d,\"path\":\"/a\"}\n", i)
	}
	text.WriteString(strings.Repeat("x\n", 50))
	for _, c := range []struct {
		share float64
		err   error
	}{{0.1, trace.ErrTooManyBadLines}, {0.5, nil}} {
		s := NewSpec()
		s.Target, s.Streams = n.Addr(), []StreamSpec{{Trace: writeFile(t, "t.jsonl", text.String()), Speed: 1000, BadShare: c.share}}
		var reported bytes.Buffer
		skips := SkipReporter{Out: &reported}
		cfg, err := s.Config(WorkerPart{}, skips.Report)
		if err != nil {
			t.Fatal(err)
		}
		res := runLoad(t, *cfg)
		skips.Summarize()
		if !errors.Is(res.PlanError, c.err) || res.Outcomes[OK] < 100 || res.Requests() != res.Outcomes[OK] {
			t.Errorf("%v: %v, %v", c.share, res.PlanError, res.Outcomes)
		}
		if !strings.Contains(reported.String(), "line 151:") || strings.Count(reported.String(), "\n") != 11 {
			t.Errorf("reported:\n%s", reported.String())
		}
		rep, err := res.Report()
		if err != nil || (rep.PlanError != "") != (c.err != nil) {
			t.Errorf("%q, %v", rep.PlanError, err)
		}
	}
}

// Three processes share one plan: each request is sent once, as one process would send
// it, and the results are merged.
func TestWorkersSharePlan(t *testing.T) {
	n, seen := startObservedNode(t)
	s := NewSpec()
	s.Target, s.Conns = n.Addr(), 6
	s.Streams = []StreamSpec{{Shape: "hold 300 1s", Arrivals: "even", Path: "/{n}"}, {Name: "second", Shape: "hold 100 1s", Arrivals: "even", Path: "/second/{n}"}}
	var live int
	res, err := RunWorkers(context.Background(), 3, s, func(Progress) { live++ }, workerCommand(t))
	if err != nil {
		t.Fatal(err)
	}
	if res.PlanError != nil || res.Outcomes[OK] != 400 || res.Streams[1].Outcomes[OK] != 100 || res.Conns != 6 || res.Latency.TotalCount() != 400 {
		t.Errorf("%v, %v", res.PlanError, res.Outcomes)
	}
	if seen.n != 400 || len(seen.reqs) != 400 || len(seen.ids) != 400 || seen.reqs["/299"] == nil || seen.reqs["/second/99"] == nil {
		t.Errorf("%d requests, %d paths, %d ids", seen.n, len(seen.reqs), len(seen.ids))
	}
}

// If a worker dies, the rest is reported and its part is reported as missing. If a
// worker cannot start, the run does not start.
func TestWorkerDies(t *testing.T) {
	n, _ := startObservedNode(t)
	s := NewSpec()
	s.Target, s.Conns, s.Streams = n.Addr(), 4, []StreamSpec{{Shape: "hold 200 2s"}}
	var started []*exec.Cmd
	command := workerCommand(t)
	// Commands are created and progress is reported by the same goroutine.
	kill := func(Progress) { started[1].Process.Signal(syscall.SIGKILL) }
	res, err := RunWorkers(context.Background(), 2, s, kill, func() *exec.Cmd {
		started = append(started, command())
		return started[len(started)-1]
	})
	if err != nil {
		t.Fatal(err)
	}
	if res.PlanError == nil || !strings.Contains(res.PlanError.Error(), "worker 2 of 2: ended without a report (signal: killed)") || res.Outcomes[OK] < 100 || res.Outcomes[OK] > 300 {
		t.Errorf("%v, %v", res.PlanError, res.Outcomes)
	}
	s.Streams[0].Shape = "hold"
	if _, err := RunWorkers(context.Background(), 2, s, nil, command); err == nil || !strings.Contains(err.Error(), "worker 1 of 2: stream stream-1: shape") {
		t.Errorf("%v", err)
	}
}

// Workers of a cancelled run report the requests that were due by then.
func TestWorkersCancelled(t *testing.T) {
	n, _ := startObservedNode(t)
	s := NewSpec()
	s.Target, s.Conns, s.Streams = n.Addr(), 4, []StreamSpec{{Shape: "hold 200 60s"}}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*ms)
	defer cancel()
	res, err := RunWorkers(ctx, 2, s, nil, workerCommand(t))
	if err != nil || res.PlanError != nil || res.Outcomes[OK] < 50 || res.Span > testTimeout {
		t.Errorf("%v, %+v", err, res)
	}
}

// The HTML report is one self-contained file, and its charts show the run.
func TestHTMLReport(t *testing.T) {
	r := uniformResult(2500, 7*ms, 6*ms)
	r.Streams[0].Name = "<b>&"
	rep, err := r.Report()
	if err != nil {
		t.Fatal(err)
	}
	rep.PlanError = "<script>alert(1)</script>"
	var out bytes.Buffer
	if err := rep.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"2500 requests", "do not use these figures", "Percentile spectrum", "Offered and served", "Latency over time", "&lt;script&gt;"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
	for _, unwanted := range []string{"<script", "http:", "https:", "NaN", "Inf", "<link", "url("} {
		if strings.Contains(text, unwanted) {
			t.Errorf("unexpected %q in the page", unwanted)
		}
	}
	// Each chart is well-formed XML, with all points inside the plot area.
	lines := 0
	for part := range strings.SplitSeq(text, "<svg ") {
		body, _, ok := strings.Cut(part, "</svg>")
		if !ok {
			continue
		}
		d := xml.NewDecoder(strings.NewReader("<svg " + body + "</svg>"))
		for {
			tok, err := d.Token()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("%v in %.200q", err, body)
			}
			e, ok := tok.(xml.StartElement)
			if !ok || e.Name.Local != "polyline" {
				continue
			}
			lines++
			at := slices.IndexFunc(e.Attr, func(a xml.Attr) bool { return a.Name.Local == "points" })
			for p := range strings.FieldsSeq(e.Attr[at].Value) {
				var x, y float64
				if n, err := fmt.Sscanf(p, "%f,%f", &x, &y); n != 2 || err != nil || x < 0 || x > chartWidth || y < 0 || y > chartHeight {
					t.Errorf("point %q outside the plot area", p)
				}
			}
		}
	}
	if lines != 8 {
		t.Errorf("%d lines, want 8", lines)
	}
	empty, err := newResult(nil).Report()
	if err != nil {
		t.Fatal(err)
	}
	if err := empty.WriteHTML(io.Discard); err != nil {
		t.Errorf("empty run: %v", err)
	}
}
