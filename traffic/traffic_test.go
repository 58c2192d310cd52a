package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func mustParseShape(t testing.TB, script string) *Shape {
	t.Helper()
	s, err := ParseShape(script)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func checkNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s: %v, want %v within %v", what, got, want, within)
	}
}

const ms = time.Millisecond

// The rate and the expected number of arrivals of each kind of segment.
func TestShapes(t *testing.T) {
	for _, c := range []struct {
		script string
		span   time.Duration
		total  float64
		rates  map[time.Duration]float64
	}{
		{"hold 500 10s", 10 * time.Second, 5000, map[time.Duration]float64{0: 500, 9 * time.Second: 500, 10 * time.Second: 0, -1: 0}},
		{"ramp 100 300 10s", 10 * time.Second, 2000, map[time.Duration]float64{0: 100, 5 * time.Second: 200}},
		{"ramp 0 10 10s", 10 * time.Second, 50, map[time.Duration]float64{0: 0, time.Second: 1}},
		{"step 100 300 3 9s", 9 * time.Second, 1800, map[time.Duration]float64{0: 100, 2999 * ms: 100, 3001 * ms: 200, 8 * time.Second: 300}},
		{"step 100 300 1 9s", 9 * time.Second, 900, map[time.Duration]float64{8 * time.Second: 100}},
		{"spike 100 1000 100ms 1100ms", 1100 * ms, 55 + 550, map[time.Duration]float64{0: 100, 50 * ms: 550, 100 * ms: 1000, 600 * ms: 550}},
		{"spike 100 1000 0s 1s", time.Second, 550, map[time.Duration]float64{0: 1000, 500 * ms: 550}},
		{"wave 100 50 4s 8s", 8 * time.Second, 800, map[time.Duration]float64{0: 100, time.Second: 150, 3 * time.Second: 50, 5 * time.Second: 150}},
		{"hold 10 1s, hold 20 1s\nramp 20 0 2s;", 4 * time.Second, 50, map[time.Duration]float64{500 * ms: 10, 1500 * ms: 20, 3 * time.Second: 10}},
	} {
		s := mustParseShape(t, c.script)
		if s.Span() != c.span {
			t.Errorf("%s: span %v, want %v", c.script, s.Span(), c.span)
		}
		checkNear(t, c.script+" total", s.Total(), c.total, 1e-6)
		checkNear(t, c.script+" total by Expected", s.Expected(2*c.span), c.total, 1e-6)
		for at, want := range c.rates {
			checkNear(t, fmt.Sprintf("%s at %v", c.script, at), s.Rate(at), want, 0.2)
		}
	}
}

func TestParseShapeErrors(t *testing.T) {
	for script, want := range map[string]string{
		"":                           "without segments",
		"hold 5":                     "want hold RATE FOR",
		"hold five 10s":              "RATE",
		"hold 5 10":                  "FOR",
		"hold -5 10s":                "rate -5",
		"hold NaN 10s":               "rate NaN",
		"hold 1e9 10s":               "rate 1e+09",
		"hold 5 0s":                  "a duration above 0",
		"hold 5 -1s":                 "a duration above 0",
		"hold 5 100h, hold 5 100h":   "longer than 168h",
		"rise 5 10s":                 "unknown kind",
		"step 1 2 0 10s":             "levels",
		"spike 1 2 11s 10s":          "rise",
		"wave 100 200 1s 10s":        "below 0",
		"wave 100 10 0s 10s":         "period",
		"hold 5 10s, ramp 1 2 3 10s": "segment 2",
	} {
		if _, err := ParseShape(script); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want it to contain %q", script, err, want)
		}
	}
}

// A parsed shape round-trips through String, and its due times ascend within its
// span.
func FuzzParseShape(f *testing.F) {
	f.Add("hold 500 10s, ramp 500 2000 30s; spike 1 2 100ms 1s\nwave 5 5 1s 3s, step 1 2 3 4s")
	f.Fuzz(func(t *testing.T, script string) {
		s, err := ParseShape(script)
		if err != nil {
			return
		}
		again, err := ParseShape(s.String())
		if err != nil || again.String() != s.String() {
			t.Fatalf("%q parses as %q, and that as %v, %v", script, s, again, err)
		}
		times := NewArrivalTimes(s, Even, 0)
		last := time.Duration(0)
		for range 100 {
			at, ok := times.Next()
			if !ok {
				break
			}
			if at < last || at > s.Span() {
				t.Fatalf("%q: due at %v after %v, span %v", s, at, last, s.Span())
			}
			last = at
		}
	})
}

// The n-th even arrival, from 0, is due when the shape expects n+0.5 arrivals.
func TestEvenTimesFollowShape(t *testing.T) {
	for _, script := range []string{
		"hold 500 4s", "ramp 0 1000 4s", "ramp 1000 0 4s", "step 10 500 7 4s", "spike 50 5000 100ms 4s",
		"wave 300 300 1500ms 4s", "hold 0 1s, hold 100 1s, hold 0 1s, wave 100 10 10ms 1s",
	} {
		s := mustParseShape(t, script)
		times, n := NewArrivalTimes(s, Even, 0), 0
		last := time.Duration(-1)
		for {
			at, ok := times.Next()
			if !ok {
				break
			}
			if at < last {
				t.Fatalf("%s: %v after %v", script, at, last)
			}
			last = at
			checkNear(t, fmt.Sprintf("%s: expected by arrival %d at %v", script, n, at), s.Expected(at), float64(n)+0.5, 1e-3)
			n++
		}
		checkNear(t, script+": arrivals", float64(n), s.Total(), 0.51)
	}
}

// Poisson arrivals have the shape's rate in each segment, a variance equal to
// their mean number and memoryless gaps.
func TestPoissonTimes(t *testing.T) {
	s := mustParseShape(t, "hold 1000 20s, ramp 1000 3000 20s")
	counts := make([]float64, 400) // per 100 ms
	times := NewArrivalTimes(s, Poisson, 7)
	var gaps, long float64
	last := time.Duration(0)
	for {
		at, ok := times.Next()
		if !ok {
			break
		}
		counts[at/(100*ms)]++
		if at < 20*time.Second {
			gaps++
			if at-last > ms { // longer than the mean gap
				long++
			}
		}
		last = at
	}
	var first, variance float64
	for _, n := range counts[:200] {
		first += n
	}
	checkNear(t, "arrivals of the hold", first, 20000, 5*math.Sqrt(20000))
	for _, n := range counts[:200] {
		variance += (n - 100) * (n - 100) / 200
	}
	checkNear(t, "variance per 100 ms", variance, 100, 40)
	checkNear(t, "share of gaps longer than the mean", long/gaps, math.Exp(-1), 0.02)
	var second float64
	for _, n := range counts[200:] {
		second += n
	}
	checkNear(t, "arrivals of the ramp", second, 40000, 5*math.Sqrt(40000))
}

func twoStreams(t testing.TB) []Stream {
	return []Stream{
		{Name: "donate", Shape: mustParseShape(t, "hold 300 2s, spike 300 3000 100ms 1s"), Pattern: Poisson, Path: "/pledge/{n}?k={key}&r={rand:1-6}", Keys: 50, Skew: 1, WithIdempotencyKey: true},
		{Name: "receipts", Shape: mustParseShape(t, "wave 200 100 1s 3s"), Pattern: Poisson, Path: "/receipt"},
	}
}

type arrivalSequence interface{ Next() (Arrival, bool) }

func collectArrivals(n arrivalSequence) (list []Arrival) {
	for {
		a, ok := n.Next()
		if !ok {
			return list
		}
		list = append(list, a)
	}
}

// The same seed gives the same schedule and content, another seed a different one.
// A stream's arrivals do not depend on the other streams.
func TestPlanIsDeterministic(t *testing.T) {
	write := func(streams []Stream, seed uint64) string {
		var out strings.Builder
		generators := make([]*ContentGenerator, len(streams))
		for i := range streams {
			var err error
			if generators[i], err = NewContentGenerator(&streams[i], seed); err != nil {
				t.Fatal(err)
			}
		}
		for _, a := range collectArrivals(NewPlan(streams, seed)) {
			fmt.Fprintln(&out, int64(a.Due), streams[a.Stream].Name, a.Index, generators[a.Stream].Content(a.Index))
		}
		return out.String()
	}
	both := twoStreams(t)
	first := write(both, 1)
	if first != write(both, 1) {
		t.Error("the same seed gave two different schedules")
	}
	if first == write(both, 2) {
		t.Error("two seeds gave the same schedule")
	}
	var alone strings.Builder
	for line := range strings.Lines(first) {
		if strings.Contains(line, " receipts ") {
			alone.WriteString(line)
		}
	}
	if n := strings.Count(alone.String(), "\n"); n < 400 || alone.String() != write(both[1:], 1) {
		t.Errorf("the schedule of a stream depends on another stream (%d arrivals)", n)
	}
}

// Arrivals come in due order, and each is in exactly one part of the plan.
func TestPlanPartsCoverPlan(t *testing.T) {
	whole := collectArrivals(NewPlan(twoStreams(t), 5))
	for i := 1; i < len(whole); i++ {
		if whole[i].Due < whole[i-1].Due {
			t.Fatalf("arrival %d is due before its predecessor", i)
		}
	}
	for _, of := range []int{1, 2, 3, 7} {
		merged := make([]Arrival, len(whole))
		n := 0
		for part := range of {
			for i, a := range collectArrivals(NewPlanPart(NewPlan(twoStreams(t), 5), part, of)) {
				merged[i*of+part] = a
				n++
			}
		}
		if n != len(whole) {
			t.Fatalf("%d parts have %d arrivals, want %d", of, n, len(whole))
		}
		for i := range whole {
			if merged[i] != whole[i] {
				t.Fatalf("%d parts: arrival %d is %+v, want %+v", of, i, merged[i], whole[i])
			}
		}
	}
}

// Ranks have the frequencies of 1/k^s, for exponents below, at and above 1.
func TestZipf(t *testing.T) {
	const draws, n = 200000, 20
	for _, s := range []float64{0, 0.5, 0.99, 1, 1.000001, 1.5, 3} {
		z, err := NewZipf(n, s)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(1, uint64(s*1000)))
		counts := make([]float64, n+1)
		for range draws {
			k := z.Draw(rng)
			if k < 1 || k > n {
				t.Fatalf("rank %d out of range", k)
			}
			counts[k]++
		}
		sum := 0.0
		for k := 1; k <= n; k++ {
			sum += math.Pow(float64(k), -s)
		}
		for k := 1; k <= n; k++ {
			p := math.Pow(float64(k), -s) / sum
			checkNear(t, fmt.Sprintf("s %v, rank %d", s, k), counts[k]/draws, p, 5*math.Sqrt(p/draws)+1e-4)
		}
	}
	for _, c := range []struct {
		n int
		s float64
	}{{0, 1}, {5, -1}, {5, math.NaN()}, {5, 100}} {
		if _, err := NewZipf(c.n, c.s); err == nil {
			t.Errorf("zipf over %d ranks with exponent %v was accepted", c.n, c.s)
		}
	}
	if z, _ := NewZipf(1, 1); z.Draw(rand.New(rand.NewPCG(1, 1))) != 1 {
		t.Error("a rank other than 1 was drawn from one rank")
	}
}

func TestContent(t *testing.T) {
	s := &Stream{Name: "a", Path: "/p/{n}/{key}/{rand:5-6}/x", Keys: 9, Skew: 1, WithIdempotencyKey: true}
	f, err := NewContentGenerator(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for i := range uint64(50) {
		c := f.Content(i)
		if again := f.Content(i); again != c {
			t.Fatalf("arrival %d: %+v, then %+v", i, c, again)
		}
		withFive, withSix := fmt.Sprintf("/p/%d/%d/5/x", i, c.KeyRank), fmt.Sprintf("/p/%d/%d/6/x", i, c.KeyRank)
		if (c.Path != withFive && c.Path != withSix) || len(c.IdempotencyKey) != 32 || seen[c.IdempotencyKey] {
			t.Errorf("arrival %d: %+v", i, c)
		}
		seen[c.IdempotencyKey] = true
	}
	for path, keys := range map[string]int{"/{": 1, "/{x}": 1, "/{key}": 0, "/{rand:5}": 1, "/{rand:6-5}": 1, "/{rand:a-b}": 1} {
		if _, err := NewContentGenerator(&Stream{Path: path, Keys: keys, Skew: 1}, 1); err == nil {
			t.Errorf("path %q with %d keys was accepted", path, keys)
		}
	}
	if _, err := ParsePattern("closed"); err == nil {
		t.Error("an unknown pattern was accepted")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, script := range []string{"hold 1e6 1h", "ramp 1e6 2e6 1h", "wave 1e6 1e6 1m 1h"} {
		b.Run(strings.Fields(script)[0], func(b *testing.B) {
			p := NewPlan([]Stream{{Name: "a", Shape: mustParseShape(b, script), Pattern: Poisson}}, 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Next(); !ok {
					b.Fatal("the plan ended")
				}
			}
		})
	}
}

func BenchmarkContent(b *testing.B) {
	f, err := NewContentGenerator(&Stream{Name: "a", Path: "/p/{n}/{key}", Keys: 100000, Skew: 1}, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.Content(uint64(i))
	}
}

// Callers retry only requests that may be retried, up to the limit, after the
// configured wait or Retry-After.
func TestClientNextRetry(t *testing.T) {
	for _, c := range []struct {
		client    Client
		retries   int
		retryable bool
		after     time.Duration
		honours   bool
		wait      time.Duration
		again     bool
	}{
		{Client{}, 0, true, 0, false, 0, false},
		{Client{Retries: 2}, 1, true, 0, false, 0, true},
		{Client{Retries: 2}, 2, true, 0, false, 0, false},
		{Client{Retries: 2}, 0, false, 0, false, 0, false},
		{Client{Retries: 9, RetryWait: 10 * ms}, 3, true, 0, false, 10 * ms, true},
		{Client{Retries: 9, RetryWait: 10 * ms, RetryGrow: true}, 3, true, 0, false, 80 * ms, true},
		{Client{Retries: 99, RetryWait: 10 * ms, RetryGrow: true}, 50, true, 0, false, maxRetryWait, true},
		{Client{Retries: 9, RetryWait: 10 * ms}, 0, true, time.Second, true, time.Second, true},
		{Client{Retries: 9, RetryWait: 10 * ms}, 0, true, time.Second, false, 10 * ms, true},
		{Client{Retries: 9, RetryWait: 10 * ms}, 0, true, ms, true, 10 * ms, true},
	} {
		wait, again := c.client.NextRetry(c.retries, c.retryable, c.after, c.honours)
		if wait != c.wait || again != c.again {
			t.Errorf("%+v: got wait %v, retry %t", c, wait, again)
		}
	}
	for _, c := range []Client{{Retries: -1}, {RetryWait: -1}, {RetryWait: time.Hour}, {HonourShare: 2}, {LeaveShare: -1}, {LeaveShare: math.NaN()}, {LeaveShare: 0.5}} {
		if c.Check() == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

// Behaviours occur with the configured shares and each attempt has a unique ID;
// both follow from the seed and the index.
func TestCallerBehaviour(t *testing.T) {
	s := &Stream{Name: "a", Path: "/"}
	f, _ := NewContentGenerator(s, 3)
	g, _ := NewContentGenerator(s, 3)
	c := &Client{HonourShare: 0.3, LeaveShare: 0.1}
	honours, leaves := 0.0, 0.0
	ids := map[string]bool{}
	for i := range uint64(10000) {
		k := f.CallerBehaviour(c, i)
		if k != g.CallerBehaviour(c, i) {
			t.Fatalf("two behaviours of caller %d", i)
		}
		if k.HonoursRetryAfter {
			honours++
		}
		if k.Leaves {
			leaves++
		}
		for attempt := range 3 {
			ids[f.CallID(i, attempt)] = true
		}
	}
	checkNear(t, "share that honours Retry-After", honours/10000, 0.3, 0.03)
	checkNear(t, "share that leaves", leaves/10000, 0.1, 0.02)
	if len(ids) != 30000 || f.CallID(7, 1) != g.CallID(7, 1) {
		t.Errorf("%d IDs for 30000 attempts", len(ids))
	}
}

func TestStreamCheck(t *testing.T) {
	good := Stream{Name: "a", Method: "PATCH", Host: "a.b:80", Path: "/{n}?x=1", Class: "pay", Headers: []Header{{"X-Tenant", "acme"}}}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Stream){
		"method":                     func(s *Stream) { s.Method = "GET /" },
		"path":                       func(s *Stream) { s.Path = "x" },
		"second request in the path": func(s *Stream) { s.Path = "/ HTTP/1.1\r\nHost: y" },
		"host":                       func(s *Stream) { s.Host = "a\r\nX: y" },
		"class":                      func(s *Stream) { s.Class = "a\nb" },
		"header":                     func(s *Stream) { s.Headers = []Header{{"X:", "y"}} },
		"value":                      func(s *Stream) { s.Headers = []Header{{"X", "y\r\nZ: 1"}} },
		"body":                       func(s *Stream) { s.Body = -1 },
		"keys":                       func(s *Stream) { s.Keys = -1 },
		"budget":                     func(s *Stream) { s.Budget = -1 },
	} {
		s := good
		change(&s)
		if s.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
