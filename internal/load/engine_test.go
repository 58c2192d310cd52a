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

	"gorselink/internal/standin"
	"gorselink/traffic"
)

// witness is a goroutine that does nothing but sleep as the dispatcher does and
// hand over to another one, and sees how late that comes: what this machine, with
// whatever else it has to do, keeps everybody waiting for. Own error up to that is
// real, and a run that owns up to it is right; what is over it is the engine's.
type witness struct {
	places int // GOMAXPROCS without it
	stop   chan struct{}
	done   sync.WaitGroup
	most   atomic.Int64
}

func newWitness() *witness {
	w := &witness{stop: make(chan struct{})}
	// Its sleep holds a place of the scheduler's until the runtime notices, which on two
	// cores, beside the dispatcher's, leaves none to those that answer: it brings its own.
	w.places = runtime.GOMAXPROCS(0)
	runtime.GOMAXPROCS(w.places + 1)
	due := make(chan time.Time)
	w.done.Go(func() {
		defer close(due)
		for {
			select {
			case <-w.stop:
				return
			default:
			}
			at := time.Now().Add(nap)
			ts := syscall.NsecToTimespec(int64(nap))
			syscall.Nanosleep(&ts, nil)
			due <- at
		}
	})
	w.done.Go(func() {
		for at := range due {
			w.most.Store(max(w.most.Load(), int64(time.Since(at))))
		}
	})
	return w
}

// worst is the longest that the witness was late by. It ends the witness.
func (w *witness) worst() time.Duration {
	close(w.stop)
	w.done.Wait()
	runtime.GOMAXPROCS(w.places)
	return time.Duration(w.most.Load())
}

// borneOut fails the test where a run is void for more than a witness beside it
// was late by.
func borneOut(t *testing.T, v Verdict, worst time.Duration) {
	t.Helper()
	for _, row := range v.Rows {
		if own := time.Duration(row.GeneratorDelay * float64(time.Millisecond)); row.Judged && own > worst && row.GeneratorDelay > row.Allowed {
			t.Errorf("void at p%v: own error %v, allowed %.3f ms, and nothing else was over %v late", row.Percentile, own, row.Allowed, worst)
		}
	}
}

// The system's clock is put back and forth by an hour during a run, which is what
// a begin that reads an hour more or less than it should looks like to all that
// comes after it. Neither the schedule nor what is measured moves.
func TestClockStepLeavesTheSchedule(t *testing.T) {
	for name, step := range map[string]time.Duration{"forth": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := node(t, standin.NodeConfig{})
			cfg := config(n.Addr(), stream(t, "hold 200 1s"))
			cfg.Grace = 2 * time.Second
			r, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			r.clock = func() time.Time {
				real := time.Now()
				stepped := wallMoved(real, -step)
				if stepped.Sub(real) != 0 || stepped.Round(0).Sub(real.Round(0)) != -step {
					t.Fatalf("%v is not %v with its wall clock moved by %v", stepped, real, -step)
				}
				return stepped
			}
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			began := time.Now()
			res := r.Run(ctx)
			if took := time.Since(began); took < 900*ms || took > patience/2 {
				t.Errorf("the run took %v, want a second", took)
			}
			if res.Outcomes[OK] != 200 || res.Requests() != 200 {
				t.Errorf("outcomes %v, want 200 answered", res.Outcomes)
			}
			if p := time.Duration(res.Latency.Max()) * time.Microsecond; p > patience/2 {
				t.Errorf("the longest since due: %v", p)
			}
		})
	}
}

// wallMoved is a time whose wall clock reads differently by whole seconds and whose
// monotonic clock does not. The first word of a Time that has both holds the seconds
// from bit 30 on (package time, type Time).
func wallMoved(t time.Time, by time.Duration) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(by/time.Second) << 30
	return t
}

// Within 100 ms the rate grows tenfold. All that is due then comes to the target
// when it is due, over connections that are opened on the way.
func TestSpikeWithin100ms(t *testing.T) {
	const rise = 100 * ms
	var mu sync.Mutex
	var came []time.Duration
	var begin time.Time
	addr := target(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func() {
		mu.Lock()
		came = append(came, time.Since(begin))
		mu.Unlock()
		time.Sleep(20 * ms) // so that one connection is not enough
	}))
	s := stream(t, "hold 200 500ms, spike 200 2000 100ms 500ms")
	var due []time.Duration
	for plan := config(addr, s).Plan; ; {
		a, ok := plan.Next()
		if !ok {
			break
		}
		due = append(due, a.Due)
	}
	w := newWitness()
	r, err := New(config(addr, s))
	if err != nil {
		t.Fatal(err)
	}
	r.clock = func() time.Time {
		begin = time.Now()
		return begin
	}
	res := r.Run(context.Background())
	worst := w.worst()
	mu.Lock()
	defer mu.Unlock()
	if len(came) != len(due) || res.Outcomes[OK] != int64(len(due)) {
		t.Fatalf("%d came and %v, want %d", len(came), res.Outcomes, len(due))
	}
	within := func(all []time.Duration, from, to time.Duration) (n int) {
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	// Over the rise the mean rate is 1,100 a second.
	if n := within(due, 500*ms, 500*ms+rise); n < 100 || n > 120 {
		t.Fatalf("%d are due in the rise, want 110", n)
	}
	// What comes late comes within what the machine holds up, and a round trip.
	slack := 20*ms + 2*worst
	for end := 500*ms + rise/4; end <= 500*ms+rise; end += rise / 4 {
		want, got := within(due, 0, end), within(came, 0, end+slack)
		if got < want {
			t.Errorf("%d came by %v, %d were due %v before", got, end+slack, want, slack)
		}
		if early := within(came, 0, end); early > want {
			t.Errorf("%d came by %v, %d were due", early, end, want)
		}
	}
	if own := time.Duration(res.Schedule.Max()) * time.Microsecond; own > slack {
		t.Errorf("own error %v at most, want %v", own, slack)
	}
	if res.Opened < 10 {
		t.Errorf("%d connections, want some 30 in the spike", res.Opened)
	}
	t.Logf("own error %d µs at most, the witness %v; %d connections", res.Schedule.Max(), worst, res.Opened)
}

// Each request goes to the target that is chosen for it, also where there are fewer
// connections than targets, and its end is told once.
func TestSeveralTargets(t *testing.T) {
	var addrs []string
	var nodes []*standin.Node
	for range 5 {
		n := node(t, standin.NodeConfig{})
		nodes, addrs = append(nodes, n), append(addrs, n.Addr())
	}
	for _, conns := range []int{3, 50} {
		cfg := config("", stream(t, "hold 500 1s"))
		cfg.Conns = conns
		var mu sync.Mutex
		told := map[uint64]int{}
		went := make([]int, len(addrs))
		cfg.Addrs = addrs
		cfg.ChooseTarget = func(_ int, index uint64) int { return int(index*7) % len(addrs) }
		cfg.OnCompletion = func(e Completion) {
			mu.Lock()
			defer mu.Unlock()
			told[e.Index]++
			went[e.Target]++
			if e.Outcome != OK || e.Ended < e.Due {
				t.Errorf("%+v", e)
			}
		}
		before := make([]int, len(nodes))
		for i, n := range nodes {
			before[i] = n.TotalRuns()
		}
		res := run(t, cfg)
		if int64(len(told)) != res.Requests() || len(told) == 0 {
			t.Errorf("%d ends told of %d requests", len(told), res.Requests())
		}
		for i, n := range nodes {
			if n.TotalRuns()-before[i] != went[i] || went[i] == 0 {
				t.Errorf("target %d: %d requests, %d meant for it", i, n.TotalRuns()-before[i], went[i])
			}
		}
	}
}

// A target that closes what lies idle is not told to have broken the next request.
func TestIdleConnectionThatWasClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), IdleTimeout: 300 * ms}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	cfg := config(l.Addr().String(), stream(t, "hold 0.5 9s"))
	cfg.Streams[0].Pattern = traffic.Even
	cfg.Plan = traffic.NewPlan(cfg.Streams, 1)
	if res := run(t, cfg); res.Outcomes[OK] < 3 || res.Outcomes[OK] != res.Requests() {
		t.Errorf("%v", res.Outcomes)
	}
}
