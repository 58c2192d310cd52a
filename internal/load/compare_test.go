package load

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// drawn is the report of a run whose latencies are drawn about a mean, some
// seconds slower than others.
func drawn(t *testing.T, seed uint64, mean time.Duration, tail float64) *Report {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	rec := newRecorder([]string{"a"})
	for s := range 30 {
		slow := 0.9 + 0.2*rng.Float64()
		for i := range 400 {
			due := time.Duration(s)*time.Second + time.Duration(i)*2500*time.Microsecond
			took := time.Duration(float64(mean) * slow * (0.5 + rng.ExpFloat64()/2))
			if rng.Float64() < tail {
				took += 10 * mean
			}
			rec.shards[0].first(took, OK)
			rec.shards[0].end(0, due, due+took, OK, toll{})
		}
	}
	r := rec.result()
	r.Span, r.Cores = 30*time.Second, 2
	rep, err := r.Report()
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// Two runs of the same differ within noise; one that is 10% slower, or has a
// longer tail, differs beyond it, and only in the figures that moved.
func TestCompare(t *testing.T) {
	base := drawn(t, 1, 5*ms, 0.002)
	wrong := 0
	for seed := range uint64(8) {
		all, err := Compare(base, drawn(t, 100+seed, 5*ms, 0.002), 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range all {
			if d.Beyond {
				wrong++
			}
		}
	}
	if wrong > 8*6/4 { // a twentieth by chance, and the base is one draw for all
		t.Errorf("%d of %d figures of like runs are said to differ", wrong, 8*6)
	}
	of := func(b *Report) map[string]Difference {
		all, err := Compare(base, b, 1)
		if err != nil {
			t.Fatal(err)
		}
		m := map[string]Difference{}
		for _, d := range all {
			m[d.What] = d
		}
		return m
	}
	slower := of(drawn(t, 2, 6*ms, 0.002))
	if d := slower["p50 ms"]; !d.Beyond || d.Low < 1.05 || d.High > 1.4 {
		t.Errorf("20%% slower: %+v", d)
	}
	tail := of(drawn(t, 3, 5*ms, 0.05))
	if !tail["p99 ms"].Beyond || tail["p50 ms"].Beyond && tail["p50 ms"].High > 1.15 {
		t.Errorf("a longer tail: %+v %+v", tail["p99 ms"], tail["p50 ms"])
	}
	if a, b := of(base), of(base); a["p99 ms"] != b["p99 ms"] || a["p50 ms"].Beyond {
		t.Error("the same runs and seed, and other intervals")
	}
	var out bytes.Buffer
	all, _ := Compare(base, drawn(t, 2, 6*ms, 0.002), 1)
	if n, err := WriteDifferences(&out, all); n == 0 || err != nil || !strings.Contains(out.String(), "BEYOND NOISE") {
		t.Errorf("%d, %v\n%s", n, err, out.String())
	}
	short, _ := made(1000, ms, 0).Report()
	if _, err := Compare(base, short, 1); err == nil {
		t.Error("a run of one second was compared")
	}
}
