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

// fakeActions is a balance.Actions that schedules random outcomes of attempts, and timers.
type fakeActions struct {
	rng      *rand.Rand
	now      time.Duration
	events   []dueEvent
	attempts map[balance.RequestID]int
}

type dueEvent struct {
	at  time.Duration
	run func(r *Recorder, now time.Duration)
}

func (h *fakeActions) schedule(d time.Duration, run func(r *Recorder, now time.Duration)) {
	h.events = append(h.events, dueEvent{h.now + d, run})
}

func (h *fakeActions) Send(id balance.RequestID, addr string, timeout time.Duration) {
	n := h.attempts[id]
	h.attempts[id]++
	result := balance.Result(h.rng.IntN(int(balance.NotSent) + 1))
	if h.rng.IntN(4) > 0 && addr != "s-bad" {
		result = balance.OK
	}
	took := time.Duration(h.rng.IntN(120)) * ms
	h.schedule(took, func(r *Recorder, now time.Duration) { r.Outcome(now, id, n, result, took, result == balance.OK) })
}
func (h *fakeActions) Reject(balance.RequestID, time.Duration) {}
func (h *fakeActions) Fail(balance.RequestID)                  {}
func (h *fakeActions) Watch()                                  {}
func (h *fakeActions) After(d time.Duration, token uint64) {
	h.schedule(d, func(r *Recorder, now time.Duration) { r.Timer(now, token) })
}

func config() balance.Config {
	return balance.Config{
		Instances: 3, Index: 1, AttemptLimit: 4, AllowConcurrentAttempts: true, Multiplex: 1, IdleConnTimeout: time.Second, Entry: true,
		SlowStartInitialShare: 0.3, SlowStartWindow: 3 * time.Second, OverloadWindow: 2 * time.Second, OverloadFactor: 3, CrossZonePrice: 0.015,
		Classes: []balance.Class{
			{LatencyTarget: 200 * ms, Deadline: 500 * ms, PriorityWeight: 3, LateWeight: 0.5},
			{LatencyTarget: 200 * ms, Deadline: 500 * ms, Idempotency: balance.NonIdempotent, PriorityWeight: 9},
		},
	}
}

// recordCapture returns a capture of a random sequence of requests, failures, endpoint
// updates and reconfigurations, and its number of events.
func recordCapture(t testing.TB, seed uint64, steps int) (file []byte, events int) {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	actions := &fakeActions{rng: rand.New(rand.NewPCG(seed, 1)), attempts: map[balance.RequestID]int{}}
	recorder, err := NewRecorder(config(), seed, actions, func(e *Event) {
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
	recorder.UpdateEndpoints(0, balance.Full, list(8, 0))
	for k := range steps {
		actions.now += time.Duration(actions.rng.IntN(3)) * ms // 0 gives events with equal times
		for i := 0; i < len(actions.events); i++ {
			if d := actions.events[i]; d.at <= actions.now {
				actions.events = append(actions.events[:i], actions.events[i+1:]...)
				i--
				d.run(recorder, actions.now)
			}
		}
		recorder.Request(actions.now, balance.RequestID(k+1), k%2, -1, 400*ms)
		switch actions.rng.IntN(200) {
		case 0:
			recorder.UpdateEndpoints(actions.now, balance.Delta, []balance.Endpoint{{Addr: fmt.Sprint("s-", k%8), State: balance.State(actions.rng.IntN(3)), Since: actions.now}})
		case 1:
			recorder.UpdateEndpoints(actions.now, balance.Full, list(4+actions.rng.IntN(8), actions.now))
		case 2:
			recorder.Cancelled(actions.now, balance.RequestID(k))
		case 3:
			cfg := config()
			cfg.AttemptLimit = 1 + actions.rng.IntN(5)
			if err := recorder.Reconfigure(cfg); err != nil {
				t.Fatal(err)
			}
			if _, err := recorder.AddClass(balance.Class{Deadline: time.Second, PriorityWeight: float64(k) / 3}); err != nil {
				t.Fatal(err)
			}
		}
	}
	recorder.Close(actions.now) // while requests are open
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes(), events
}

// Guards against decisions that depend on anything but the settings, the seed and the
// inputs, such as the iteration order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	file, events := recordCapture(t, 7, 20000)
	for range 10 {
		replayed, err := Replay(NewReader(bytes.NewReader(file)))
		if err != nil {
			t.Fatal(err)
		}
		if replayed != events {
			t.Fatalf("replayed %d events of %d", replayed, events)
		}
	}
	if eventSize := float64(len(file)) / float64(events); eventSize > 12 {
		t.Errorf("%.1f bytes per event, want at most 12", eventSize)
	} else {
		t.Logf("%d events, %.1f bytes per event", events, eventSize)
	}
}

// Guards against a changed decision that is not reported, or reported at a wrong event.
func TestReplayReportsFirstDifference(t *testing.T) {
	file, _ := recordCapture(t, 7, 500)
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
			t.Errorf("decision of kind %d changed at event %d: error %v", kind, changed, err)
		}
	}
}

// Guards against lost events or a missing error in a file that is truncated at any byte.
func TestReaderTruncatedFile(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	ends := map[int]int{} // number of events by file length at the end of a block
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
	complete := 0
	for n := range len(file) + 1 {
		if k, ok := ends[n]; ok {
			complete = k
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
		if got != complete || !errors.Is(err, want) {
			t.Errorf("truncated to %d bytes: %d events and error %v, want %d and %v", n, got, err, complete, want)
		}
	}
}

// Guards against invalid files that are replayed: other formats and versions, wrong
// checksums and block lengths.
func TestReaderRejectsInvalidFiles(t *testing.T) {
	file, _ := recordCapture(t, 1, 50)
	damaged := bytes.Clone(file)
	damaged[len(magic)+20] ^= 1
	wrongLength := bytes.Clone(file)
	copy(wrongLength[len(magic):], []byte{0xff, 0xff, 0xff, 0x7f})
	for name, c := range map[string]struct {
		file []byte
		want error
	}{
		"empty":           {nil, ErrVersion},
		"other format":    {[]byte("GIF89a and some more of it than that"), ErrVersion},
		"later version":   {append([]byte("gorselink capture 2\n"), file[len(magic):]...), ErrVersion},
		"damaged":         {damaged, ErrDamaged},
		"length of 2 GiB": {wrongLength, ErrDamaged},
	} {
		if _, err := Replay(NewReader(bytes.NewReader(c.file))); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

func FuzzReader(f *testing.F) {
	file, _ := recordCapture(f, 1, 50)
	f.Add(file)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, text []byte) {
		// Checksums reject most mutated files, so the events are also decoded directly.
		for _, data := range [][]byte{text, text[min(len(text), len(magic)+8):]} {
			r := NewReader(bytes.NewReader(data))
			var e Event
			for n := 0; r.Next(&e) == nil; n++ {
				if n > 1<<20 {
					t.Fatal("more than 1<<20 events")
				}
			}
			var c codec
			p := parser{rest: data}
			for len(p.rest) > 0 && c.parseEvent(&p, &e) == nil {
			}
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	w := NewWriter(io.Discard)
	e := Event{Kind: Outcome, Attempt: 1, Duration: 31415926}
	b.ReportAllocs()
	for b.Loop() {
		e.ID++
		e.At += 123456
		w.Write(&e)
	}
}

func BenchmarkReplay(b *testing.B) {
	file, events := recordCapture(b, 7, 20000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Replay(NewReader(bytes.NewReader(file))); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(events)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
