package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"gorselink/balance"
)

const ms = time.Millisecond

// world is what a Balancer's actions go to: attempts and timers that come due.
type world struct {
	rng *rand.Rand
	now time.Duration
	due []due
	try map[balance.RequestID]int
}

type due struct {
	at time.Duration
	do func(t *Recorder, now time.Duration)
}

func (w *world) after(d time.Duration, do func(t *Recorder, now time.Duration)) {
	w.due = append(w.due, due{w.now + d, do})
}

func (w *world) Send(id balance.RequestID, addr string, timeout time.Duration) {
	n := w.try[id]
	w.try[id]++
	result := balance.Result(w.rng.IntN(int(balance.NotSent) + 1))
	if w.rng.IntN(4) > 0 && addr != "s-bad" {
		result = balance.OK
	}
	took := time.Duration(w.rng.IntN(120)) * ms
	w.after(took, func(t *Recorder, now time.Duration) { t.Outcome(now, id, n, result, took, result == balance.OK) })
}
func (w *world) Refuse(balance.RequestID, time.Duration) {}
func (w *world) Fail(balance.RequestID)                  {}
func (w *world) Watch()                                  {}
func (w *world) After(d time.Duration, token uint64) {
	w.after(d, func(t *Recorder, now time.Duration) { t.Timer(now, token) })
}

func config() balance.Config {
	return balance.Config{
		Instances: 3, Index: 1, AttemptLimit: 4, AllowConcurrentAttempts: true, Multiplex: 1, IdleConnTimeout: time.Second, Entry: true,
		ColdShare: 0.3, RampTime: 3 * time.Second, OverloadWindow: 2 * time.Second, OverloadFactor: 3, CrossZonePrice: 0.015,
		Classes: []balance.Class{
			{LatencyTarget: 200 * ms, Deadline: 500 * ms, Worth: 3, LateWorth: 0.5},
			{LatencyTarget: 200 * ms, Deadline: 500 * ms, Semantics: balance.Unsafe, Worth: 9},
		},
	}
}

// recorded is the capture of so many steps of faults, churn, reloads and events at the
// same instant, and how many events it has.
func recorded(t testing.TB, seed uint64, steps int) (file []byte, events int) {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	world := &world{rng: rand.New(rand.NewPCG(seed, 1)), try: map[balance.RequestID]int{}}
	tap, err := NewRecorder(config(), seed, world, func(e *Event) {
		events++
		if err := w.Write(e); err != nil {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	list := func(n int, since time.Duration) (l []balance.Endpoint) {
		for i := range n {
			l = append(l, balance.Endpoint{Addr: fmt.Sprint("s-", i), State: balance.Ready, Zone: i % 3, Cell: i, Since: since})
		}
		return append(l, balance.Endpoint{Addr: "s-bad", State: balance.Ready})
	}
	tap.Members(0, balance.Full, list(8, 0))
	for k := range steps {
		world.now += time.Duration(world.rng.IntN(3)) * ms // also none: events at the same instant
		for i := 0; i < len(world.due); i++ {
			if d := world.due[i]; d.at <= world.now {
				world.due = append(world.due[:i], world.due[i+1:]...)
				i--
				d.do(tap, world.now)
			}
		}
		tap.Request(world.now, balance.RequestID(k+1), k%2, -1, 400*ms)
		switch world.rng.IntN(200) {
		case 0:
			tap.Members(world.now, balance.Delta, []balance.Endpoint{{Addr: fmt.Sprint("s-", k%8), State: balance.State(world.rng.IntN(3)), Since: world.now}})
		case 1:
			tap.Members(world.now, balance.Full, list(4+world.rng.IntN(8), world.now))
		case 2:
			tap.Withdrawn(world.now, balance.RequestID(k))
		case 3:
			cfg := config()
			cfg.AttemptLimit = 1 + world.rng.IntN(5)
			if err := tap.Retune(cfg); err != nil {
				t.Fatal(err)
			}
			if _, err := tap.AddClass(balance.Class{Deadline: time.Second, Worth: float64(k) / 3}); err != nil {
				t.Fatal(err)
			}
		}
	}
	tap.Close(world.now) // with all that is open
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes(), events
}

// What was captured through faults, churn, reloads and events at one instant decides
// the same each time that it is played.
func TestReplayTenTimes(t *testing.T) {
	file, events := recorded(t, 7, 20000)
	for range 10 {
		played, err := Replay(NewReader(bytes.NewReader(file)))
		if err != nil {
			t.Fatal(err)
		}
		if played != events {
			t.Fatalf("played %d events of %d", played, events)
		}
	}
	if each := float64(len(file)) / float64(events); each > 12 {
		t.Errorf("%.1f bytes an event, want 12 at most", each)
	} else {
		t.Logf("%d events, %.1f bytes each", events, each)
	}
}

// A capture in which one decision is another shows just that one.
func TestReplayFindsTheDifference(t *testing.T) {
	file, _ := recorded(t, 7, 500)
	for _, kind := range []Kind{Send, After} {
		var out bytes.Buffer
		w, r := NewWriter(&out), NewReader(bytes.NewReader(file))
		var e Event
		changed, n := -1, 0
		for ; r.Next(&e) == nil; n++ {
			if n > 800 && changed < 0 && e.Kind == kind {
				changed = n
				e.Duration++
			}
			w.Write(&e)
		}
		w.Flush()
		_, err := Replay(NewReader(&out))
		var d *Difference
		if !errors.As(err, &d) || d.Index != changed || d.Captured == nil || d.Replayed == nil || d.Captured.Duration != d.Replayed.Duration+1 {
			t.Errorf("kind %d changed at event %d: %v", kind, changed, err)
		}
	}
}

// A file cut at any byte gives all of the whole blocks before, and says that it is cut.
func TestCutAnywhere(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	ends := map[int]int{} // events that are whole at a length
	for i := range 5 {
		for k := range 3 {
			if err := w.Write(&Event{Kind: Timer, At: time.Duration(i), ID: uint64(k)}); err != nil {
				t.Fatal(err)
			}
		}
		w.Flush()
		ends[out.Len()] = 3 * (i + 1)
	}
	file := out.Bytes()
	whole := 0
	for n := range len(file) + 1 {
		if k, ok := ends[n]; ok {
			whole = k
		}
		r := NewReader(bytes.NewReader(file[:n]))
		var e Event
		got := 0
		err := r.Next(&e)
		for ; err == nil; err = r.Next(&e) {
			got++
		}
		_, atEnd := ends[n]
		want := ErrTruncated
		switch {
		case atEnd || n == len(magic):
			want = io.EOF
		case n < len(magic):
			want = ErrVersion
		}
		if got != whole || !errors.Is(err, want) {
			t.Errorf("cut at %d: %d events and %v, want %d and %v", n, got, err, whole, want)
		}
	}
}

// Files of other kinds and versions, damaged ones, and ones that lie about their
// lengths are errors.
func TestForeignVersionIsRefused(t *testing.T) {
	file, _ := recorded(t, 1, 50)
	damaged := bytes.Clone(file)
	damaged[len(magic)+20] ^= 1
	lies := bytes.Clone(file)
	copy(lies[len(magic):], []byte{0xff, 0xff, 0xff, 0x7f})
	for name, c := range map[string]struct {
		file []byte
		want error
	}{
		"empty":         {nil, ErrVersion},
		"another kind":  {[]byte("GIF89a and some more of it than that"), ErrVersion},
		"a later one":   {append([]byte("gorselink capture 2\n"), file[len(magic):]...), ErrVersion},
		"damaged":       {damaged, ErrDamaged},
		"lies of 2 GiB": {lies, ErrDamaged},
	} {
		if _, err := Replay(NewReader(bytes.NewReader(c.file))); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func FuzzReader(f *testing.F) {
	file, _ := recorded(f, 1, 50)
	f.Add(file)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, text []byte) {
		// The sums keep most of what is mutated away from the events: play those by
		// themselves as well.
		for _, of := range [][]byte{text, text[min(len(text), len(magic)+8):]} {
			r := NewReader(bytes.NewReader(of))
			var e Event
			for n := 0; r.Next(&e) == nil; n++ {
				if n > 1<<20 {
					t.Fatal("no end of events")
				}
			}
			var c coder
			p := parser{b: of}
			for len(p.b) > 0 && c.parse(&p, &e) == nil {
			}
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	w := NewWriter(io.Discard)
	e := Event{Kind: Outcome, Number: 1, Duration: 31415926}
	b.ReportAllocs()
	for b.Loop() {
		e.ID++
		e.At += 123456
		w.Write(&e)
	}
}

func BenchmarkReplay(b *testing.B) {
	file, events := recorded(b, 7, 20000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Replay(NewReader(bytes.NewReader(file))); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(events)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
