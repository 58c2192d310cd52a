package load

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomReport returns the report of a run with random latencies around a mean, in
// which some seconds are slower than others.
func randomReport(t *testing.T, seed uint64, mean time.Duration, tail float64) *Report {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	rec := newRecorder([]string{"a"})
	for s := range 30 {
		factor := 0.9 + 0.2*rng.Float64()
		for i := range 400 {
			due := time.Duration(s)*time.Second + time.Duration(i)*2500*time.Microsecond
			took := time.Duration(float64(mean) * factor * (0.5 + rng.ExpFloat64()/2))
			if rng.Float64() < tail {
				took += 10 * mean
			}
			rec.shards[0].recordFirstAttempt(took, OK)
			rec.shards[0].recordRequest(0, due, due+took, OK, delays{})
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

// Equivalent runs differ within noise. A slower run, or one with a longer tail,
// differs significantly, and only in the affected figures.
func TestCompare(t *testing.T) {
	base := randomReport(t, 1, 5*ms, 0.002)
	falsePositives := 0
	for seed := range uint64(8) {
		all, err := Compare(base, randomReport(t, 100+seed, 5*ms, 0.002), 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range all {
			if d.Significant {
				falsePositives++
			}
		}
	}
	if falsePositives > 8*6/4 { // 5% are expected by chance, and all comparisons share one base
		t.Errorf("%d of %d figures of equivalent runs differ significantly", falsePositives, 8*6)
	}
	compareToBase := func(b *Report) map[string]Difference {
		all, err := Compare(base, b, 1)
		if err != nil {
			t.Fatal(err)
		}
		m := map[string]Difference{}
		for _, d := range all {
			m[d.Metric] = d
		}
		return m
	}
	slower := compareToBase(randomReport(t, 2, 6*ms, 0.002))
	if d := slower["p50 ms"]; !d.Significant || d.Low < 1.05 || d.High > 1.4 {
		t.Errorf("20%% slower: %+v", d)
	}
	tail := compareToBase(randomReport(t, 3, 5*ms, 0.05))
	if !tail["p99 ms"].Significant || tail["p50 ms"].Significant && tail["p50 ms"].High > 1.15 {
		t.Errorf("longer tail: %+v %+v", tail["p99 ms"], tail["p50 ms"])
	}
	if a, b := compareToBase(base), compareToBase(base); a["p99 ms"] != b["p99 ms"] || a["p50 ms"].Significant {
		t.Error("the same runs and seed gave different intervals")
	}
	var out bytes.Buffer
	all, _ := Compare(base, randomReport(t, 2, 6*ms, 0.002), 1)
	if n, err := WriteDifferences(&out, all); n == 0 || err != nil || !strings.Contains(out.String(), "BEYOND NOISE") {
		t.Errorf("%d significant differences, error %v\n%s", n, err, out.String())
	}
	short, _ := uniformResult(1000, ms, 0).Report()
	if _, err := Compare(base, short, 1); err == nil {
		t.Error("a run of one second was compared")
	}
}
