package experiment

import (
	"context"
	"maps"
	"testing"
	"time"
)

// Costs of a phase count requests by their due time and arrivals by their time, and leave out
// the gap before recovery.
func TestChainCosts(t *testing.T) {
	s := time.Second
	c := &Chains{Baseline: 2 * s, Overload: s, RecoveryGap: s, Recovery: s}
	tiers := []*tier{
		{arrivals: []time.Duration{0, s, 2 * s, 2500 * time.Millisecond, 3 * s, 4 * s}},
		{arrivals: []time.Duration{0, s, 2 * s, 2 * s, 2 * s, 2 * s, 3500 * time.Millisecond, 4 * s, 4500 * time.Millisecond}},
		{arrivals: []time.Duration{0, s, 2 * s, 4 * s}},
	}
	outcomes := []chainOutcome{{0, 10 * time.Millisecond, true}, {s, 30 * time.Millisecond, true}, {2 * s, s, false}, {2500 * time.Millisecond, s, true}, {3 * s, s, false}, {4 * s, s, true}}
	got := c.computeCosts(tiers, outcomes).Costs
	want := map[string]float64{
		"calm_last": 1, "calm_most": 1, "calm_failed": 0, "calm_p50": 30, "calm_p99": 30,
		"trouble_last": 0.5, "trouble_most": 2, "trouble_failed": 0.5, "trouble_p50": 1000, "trouble_p99": 1000,
		"after_last": 1, "after_most": 2, "after_failed": 0, "after_p50": 1000, "after_p99": 1000,
	}
	if !maps.Equal(got, want) {
		t.Errorf("costs %v, want %v", got, want)
	}
}

// With three tiers of the program and no overload, every request succeeds with few attempts.
// While the middle tier is overloaded, requests fail, retries are bounded at every tier, and
// rejected requests never reach the last tier. The last tier may have fewer requests than the
// first, as some are still in flight at the end of a phase.
func TestChainOfTiers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	s := &ScaleExperiment{Chains: &Chains{Rate: 40, Nodes: 2, Work: time.Millisecond, Queue: 1, Baseline: 800 * time.Millisecond, Overload: 1200 * time.Millisecond, RecoveryGap: 300 * time.Millisecond, Recovery: 500 * time.Millisecond}}
	m, err := runChain(ctx, s, 3, &ScaleOptions{Program: buildProgram(t), Log: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(m.Costs)
	x := m.Costs
	if m.Crashed > 0 || x["calm_failed"] > 0 || x["calm_last"] < 0.8 || x["calm_most"] > 1.5 {
		t.Errorf("without overload: %v; %d processes exited", x, m.Crashed)
	}
	if x["trouble_failed"] < 0.2 || x["trouble_most"] > 1.5 || x["trouble_last"] >= x["trouble_most"] {
		t.Errorf("during overload: %v", x)
	}
}

// Each churn window is compared with the calm window of its pair, in either order.
func TestChurnWindowsAreComparedInPairs(t *testing.T) {
	var took [][]float64
	for w := range 12 {
		x := float64(10 * (w/2 + 1)) // drift between pairs
		if isChurnWindow(w) {
			x += 2
		}
		took = append(took, []float64{x, x - 1, x + 1})
	}
	if isChurnWindow(0) || !isChurnWindow(1) || !isChurnWindow(2) || isChurnWindow(3) {
		t.Error("the order of calm and churn windows does not alternate")
	}
	m := &Measured{Costs: map[string]float64{}}
	(&BackgroundChurn{}).recordDifferences(m, took)
	if x := m.Costs; x["load_diff_p50"] != 2 || x["load_low_p99"] != 2 || x["load_high_p99"] != 2 || x["load_calm_p50"] != 35 || x["load_storm_p99"] != 38 || x["load_sure"] < 95 {
		t.Errorf("costs of paired windows: %v", x)
	}
}
