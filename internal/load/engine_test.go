package load

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gorselink/internal/fakeserver"
	"gorselink/traffic"
)

// latencyProbe measures how late the machine runs a goroutine that sleeps like the
// dispatcher and then wakes another goroutine. A generator delay up to that is caused
// by the machine; anything above it is caused by the load generator.
type latencyProbe struct {
	maxProcs   int // GOMAXPROCS without the probe
	stop       chan struct{}
	done       sync.WaitGroup
	worstNanos atomic.Int64
}

func startLatencyProbe() *latencyProbe {
	probe := &latencyProbe{stop: make(chan struct{})}
	// The probe's nanosleep occupies a P until the runtime notices. On two cores, with
	// the dispatcher's, that would leave none for the target, so the probe adds one.
	probe.maxProcs = runtime.GOMAXPROCS(0)
	runtime.GOMAXPROCS(probe.maxProcs + 1)
	due := make(chan time.Time)
	probe.done.Go(func() {
		defer close(due)
		for {
			select {
			case <-probe.stop:
				return
			default:
			}
			at := time.Now().Add(maxSleep)
			ts := syscall.NsecToTimespec(int64(maxSleep))
			syscall.Nanosleep(&ts, nil)
			due <- at
		}
	})
	probe.done.Go(func() {
		for at := range due {
			probe.worstNanos.Store(max(probe.worstNanos.Load(), int64(time.Since(at))))
		}
	})
	return probe
}

// stopAndWorst stops the probe and returns its largest delay.
func (probe *latencyProbe) stopAndWorst() time.Duration {
	close(probe.stop)
	probe.done.Wait()
	runtime.GOMAXPROCS(probe.maxProcs)
	return time.Duration(probe.worstNanos.Load())
}

// checkVoidJustified fails the test if a run is void because of a generator delay
// that is larger than the delay of a concurrent probe.
func checkVoidJustified(t *testing.T, v Verdict, worst time.Duration) {
	t.Helper()
	for _, row := range v.Rows {
		if generatorDelay := time.Duration(row.GeneratorDelay * float64(time.Millisecond)); row.Judged && generatorDelay > worst && row.GeneratorDelay > row.Allowed {
			t.Errorf("void at p%v: generator delay %v, allowed %.3f ms, but the probe's worst delay was %v", row.Percentile, generatorDelay, row.Allowed, worst)
		}
	}
}

// A step of the wall clock by an hour during a run changes neither the schedule nor
// the measurements. It is simulated by a start time with a wall clock reading that is off by an hour.
func TestWallClockStep(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "backward": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, fakeserver.NodeConfig{})
			cfg := testConfig(n.Addr(), testStream(t, "hold 200 1s"))
			cfg.Grace = 2 * time.Second
			r, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			r.clock = func() time.Time {
				real := time.Now()
				stepped := shiftWallClock(real, -step)
				if stepped.Sub(real) != 0 || stepped.Round(0).Sub(real.Round(0)) != -step {
					t.Fatalf("%v is not %v with its wall clock shifted by %v", stepped, real, -step)
				}
				return stepped
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			began := time.Now()
			res := r.Run(ctx)
			if took := time.Since(began); took < 900*ms || took > testTimeout/2 {
				t.Errorf("the run took %v, want about a second", took)
			}
			if res.Outcomes[OK] != 200 || res.Requests() != 200 {
				t.Errorf("outcomes %v, want 200 ok", res.Outcomes)
			}
			if p := time.Duration(res.Latency.Max()) * time.Microsecond; p > testTimeout/2 {
				t.Errorf("largest latency %v", p)
			}
		})
	}
}

// shiftWallClock shifts the wall clock of t by whole seconds and leaves its monotonic
// clock. The first word of a Time that has both holds the seconds from bit 30 on
// (package time, type Time).
func shiftWallClock(t time.Time, by time.Duration) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(by/time.Second) << 30
	return t
}

// When the rate grows tenfold within 100 ms, all requests still reach the target when
// they are due, over connections that are opened on demand.
func TestSpikeWithin100ms(t *testing.T) {
	const rise = 100 * ms
	var mu sync.Mutex
	var arrived []time.Duration
	var start time.Time
	addr := startTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func() {
		mu.Lock()
		arrived = append(arrived, time.Since(start))
		mu.Unlock()
		time.Sleep(20 * ms) // makes several connections necessary
	}))
	s := testStream(t, "hold 200 500ms, spike 200 2000 100ms 500ms")
	var due []time.Duration
	for plan := testConfig(addr, s).Plan; ; {
		a, ok := plan.Next()
		if !ok {
			break
		}
		due = append(due, a.Due)
	}
	probe := startLatencyProbe()
	r, err := New(testConfig(addr, s))
	if err != nil {
		t.Fatal(err)
	}
	r.clock = func() time.Time {
		start = time.Now()
		return start
	}
	res := r.Run(context.Background())
	worst := probe.stopAndWorst()
	mu.Lock()
	defer mu.Unlock()
	if len(arrived) != len(due) || res.Outcomes[OK] != int64(len(due)) {
		t.Fatalf("%d requests arrived and outcomes %v, want %d", len(arrived), res.Outcomes, len(due))
	}
	within := func(all []time.Duration, from, to time.Duration) (n int) {
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	// The mean rate during the rise is 1,100 requests per second.
	if n := within(due, 500*ms, 500*ms+rise); n < 100 || n > 120 {
		t.Fatalf("%d requests are due in the rise, want about 110", n)
	}
	// Requests may be late by the machine's delay and a round trip.
	slack := 20*ms + 2*worst
	for end := 500*ms + rise/4; end <= 500*ms+rise; end += rise / 4 {
		want, got := within(due, 0, end), within(arrived, 0, end+slack)
		if got < want {
			t.Errorf("%d requests arrived by %v, want at least the %d that were due %v earlier", got, end+slack, want, slack)
		}
		if early := within(arrived, 0, end); early > want {
			t.Errorf("%d requests arrived by %v, but only %d were due", early, end, want)
		}
	}
	if generatorDelay := time.Duration(res.GeneratorDelay.Max()) * time.Microsecond; generatorDelay > slack {
		t.Errorf("largest generator delay %v, want at most %v", generatorDelay, slack)
	}
	if res.Opened < 10 {
		t.Errorf("%d connections, want about 30 in the spike", res.Opened)
	}
	t.Logf("largest generator delay %d µs, worst delay of the probe %v; %d connections", res.GeneratorDelay.Max(), worst, res.Opened)
}

// Each request goes to its chosen target, also with fewer connections than targets,
// and its completion is reported once.
func TestSeveralTargets(t *testing.T) {
	var addrs []string
	var nodes []*fakeserver.Node
	for range 5 {
		n := startNode(t, fakeserver.NodeConfig{})
		nodes, addrs = append(nodes, n), append(addrs, n.Addr())
	}
	for _, conns := range []int{3, 50} {
		cfg := testConfig("", testStream(t, "hold 500 1s"))
		cfg.Conns = conns
		var mu sync.Mutex
		reported := map[uint64]int{}
		sent := make([]int, len(addrs))
		cfg.Addrs = addrs
		cfg.ChooseTarget = func(_ int, index uint64) int { return int(index*7) % len(addrs) }
		cfg.OnCompletion = func(e Completion) {
			mu.Lock()
			defer mu.Unlock()
			reported[e.Index]++
			sent[e.Target]++
			if e.Outcome != OK || e.Ended < e.Due {
				t.Errorf("%+v", e)
			}
		}
		before := make([]int, len(nodes))
		for i, n := range nodes {
			before[i] = n.TotalRuns()
		}
		res := runLoad(t, cfg)
		if int64(len(reported)) != res.Requests() || len(reported) == 0 {
			t.Errorf("%d completions reported for %d requests", len(reported), res.Requests())
		}
		for i, n := range nodes {
			if n.TotalRuns()-before[i] != sent[i] || sent[i] == 0 {
				t.Errorf("target %d: received %d requests, want %d", i, n.TotalRuns()-before[i], sent[i])
			}
		}
	}
}

// A target that closes idle connections does not cause Broken outcomes.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), IdleTimeout: 300 * ms}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	cfg := testConfig(l.Addr().String(), testStream(t, "hold 0.5 9s"))
	cfg.Streams[0].Pattern = traffic.Even
	cfg.Plan = traffic.NewPlan(cfg.Streams, 1)
	if res := runLoad(t, cfg); res.Outcomes[OK] < 3 || res.Outcomes[OK] != res.Requests() {
		t.Errorf("%v", res.Outcomes)
	}
}
