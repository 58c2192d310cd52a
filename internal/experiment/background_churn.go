package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/load"
	"gorselink/internal/tomlfile"
	"gorselink/traffic"
)

// BackgroundChurn measures the request latency of one real sidecar while endpoint lists that its
// requests don't use change. Each calm window, without changes, is paired with a churn window.
type BackgroundChurn struct {
	Fleet  Size    // Fleet.Changes are the changes per minute in the churn windows
	Rate   float64 // requests per second
	Pairs  int
	Window time.Duration
}

func parseBackgroundChurn(t *tomlfile.Table, defaults Size) *BackgroundChurn {
	defaults.Services, defaults.Changes = 150, 3000
	b := &BackgroundChurn{Fleet: parseSize(t, defaults), Rate: t.Number("rate", 300, 1, 1e5), Pairs: t.Integer("pairs", 8, 1, 100), Window: t.Duration("window", 2*time.Second, 100*time.Millisecond)}
	if b.Fleet.Sidecars != 1 {
		t.AddError("sidecars", b.Fleet.Sidecars, "exactly 1")
	}
	t.RejectUnknownKeys()
	return b
}

// runBackgroundChurn runs the load and the changes. The order of the calm and the churn window
// alternates from pair to pair, so that slow changes of the machine's speed affect both equally.
func runBackgroundChurn(ctx context.Context, s *ScaleExperiment, o *ScaleOptions) (*Measured, error) {
	b := s.BackgroundChurn
	c, err := newFleetRun(s, b.Fleet, nil, o)
	defer c.close()
	if err != nil {
		return nil, err
	}
	block, lock, err := acquireAddressBlock()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	var addrs []string
	for i := range 4 {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprintf("n%d", i), Cores: 8, Work: time.Millisecond})
		if err != nil {
			return nil, err
		}
		defer n.Close()
		addrs = append(addrs, n.Addr())
	}
	text, err := os.ReadFile(c.configPaths[0])
	if err != nil {
		return nil, err
	}
	listenAddr := fmt.Sprintf("%s:%d", instanceHost(block, 0), portBase)
	config := strings.Replace(string(text), "127.0.0.1:0", listenAddr, 1) + fmt.Sprintf("[pools.loaded]\nnodes = [\"%s\"]\nshare = 50\n[[routes]]\nhost = \"loaded.internal\"\npool = \"loaded\"\n", strings.Join(addrs, `", "`))
	if err := os.WriteFile(c.configPaths[0], []byte(config), 0o600); err != nil {
		return nil, err
	}
	if err := c.startReal(ctx); err != nil {
		return nil, err
	}
	if !sleep(ctx, s.SettleTime) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	span := time.Duration(2*b.Pairs) * b.Window
	shape, err := traffic.ParseShape(fmt.Sprintf("hold %g %s", b.Rate, span))
	if err != nil {
		return nil, err
	}
	streams := []traffic.Stream{{Name: "loaded", Shape: shape, Host: "loaded.internal", Path: "/", Budget: defaultBudget, Skew: 1}}
	var mu sync.Mutex
	took := make([][]float64, 2*b.Pairs) // latencies in ms by window
	failed := 0
	run, err := load.New(load.Config{Addr: listenAddr, Streams: streams, Plan: traffic.NewPlan(streams, s.Seed), Seed: s.Seed, Conns: 200, Span: span, Grace: time.Second, OnCompletion: func(e load.Completion) {
		mu.Lock()
		defer mu.Unlock()
		if k := int(e.Due / b.Window); k < len(took) {
			took[k] = append(took[k], (e.Ended-e.Due).Seconds()*1000)
		}
		if e.Outcome != load.OK {
			failed++
		}
	}})
	if err != nil {
		return nil, err
	}
	m, err := c.startMeter()
	if err != nil {
		return nil, err
	}
	churnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var churnErr error
	var all sync.WaitGroup
	all.Go(func() { churnErr = c.changeLists(churnCtx, b, time.Now()) })
	rep, err := run.Run(ctx).Report()
	cancel()
	all.Wait()
	if err == nil {
		err = churnErr
	}
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("interrupted: %w", ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	res, err := m.finish()
	if err != nil {
		return nil, err
	}
	res.Void = append(res.Void, rep.Verdict.Void...)
	mu.Lock()
	defer mu.Unlock()
	res.Costs["load_failed"] = float64(failed)
	b.recordDifferences(res, took)
	return res, c.recordPropagation(res)
}

// isChurnWindow reports whether lists change in a window. The order within the pairs
// alternates: calm first in one pair, churn first in the next.
func isChurnWindow(window int) bool { return (window/2)%2 != window%2 }

// changeLists changes endpoints at an even rate during the churn windows.
func (c *fleetRun) changeLists(ctx context.Context, b *BackgroundChurn, begin time.Time) error {
	every := time.Duration(float64(time.Minute) / b.Fleet.Changes)
	for due := time.Duration(0); due < time.Duration(2*b.Pairs)*b.Window; due += every {
		if !isChurnWindow(int(due / b.Window)) {
			continue
		}
		if !sleep(ctx, time.Until(begin.Add(due))) {
			return nil
		}
		if err := c.changeEndpoints(1); err != nil {
			return err
		}
	}
	return nil
}

// recordDifferences stores the medians over the windows, and the median difference within
// pairs with the confidence interval of the sign test.
func (b *BackgroundChurn) recordDifferences(m *Measured, took [][]float64) {
	for name, q := range map[string]int{"p50": 50, "p99": 99} {
		var calm, churn, diffs []float64
		for k := 0; k+1 < len(took); k += 2 {
			var pair [2]float64 // calm, churn
			for w := k; w < k+2; w++ {
				if len(took[w]) == 0 {
					return
				}
				slices.Sort(took[w])
				i := 0
				if isChurnWindow(w) {
					i = 1
				}
				pair[i] = took[w][len(took[w])*q/100]
			}
			calm, churn, diffs = append(calm, pair[0]), append(churn, pair[1]), append(diffs, pair[1]-pair[0])
		}
		slices.Sort(diffs)
		low, high, confidence := signInterval(diffs)
		m.Costs["load_calm_"+name], m.Costs["load_storm_"+name], m.Costs["load_diff_"+name] = median(calm), median(churn), median(diffs)
		m.Costs["load_low_"+name], m.Costs["load_high_"+name], m.Costs["load_sure"] = low, high, 100*confidence
	}
}
