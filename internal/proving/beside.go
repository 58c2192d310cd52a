package proving

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"gorselink/internal/load"
	"gorselink/internal/standin"
	"gorselink/internal/tomlfile"
	"gorselink/traffic"
)

// Beside is a real sidecar under load, with many lists besides the one that is asked for:
// windows of calm and of a storm of changes in those lists in turn, each two a pair.
type Beside struct {
	Size   Size    // its Changes are those of the storm, a minute
	Rate   float64 // requests a second
	Pairs  int
	Window time.Duration
}

func beside(t *tomlfile.Table, one Size) *Beside {
	one.Services, one.Changes = 150, 3000
	b := &Beside{Size: size(t, one), Rate: t.Number("rate", 300, 1, 1e5), Pairs: t.Integer("pairs", 8, 1, 100), Window: t.Duration("window", 2*time.Second, 100*time.Millisecond)}
	if b.Size.Sidecars != 1 {
		t.AddError("sidecars", b.Size.Sidecars, "one")
	}
	t.RejectUnknownKeys()
	return b
}

// playBeside plays it. Which of a pair is the storm is in turn, so that what drifts meets
// both alike.
func playBeside(ctx context.Context, s *Scale, o *ScaleOptions) (*Measured, error) {
	b := s.Beside
	c, err := newScene(s, b.Size, nil, o)
	defer c.end()
	if err != nil {
		return nil, err
	}
	block, lock, err := takeBlock()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	var addrs []string
	for i := range 4 {
		n, err := standin.StartNode(standin.NodeConfig{Name: fmt.Sprintf("n%d", i), Cores: 8, Work: time.Millisecond})
		if err != nil {
			return nil, err
		}
		defer n.Close()
		addrs = append(addrs, n.Addr())
	}
	text, err := os.ReadFile(c.paths[0])
	if err != nil {
		return nil, err
	}
	front := fmt.Sprintf("%s:%d", hostOf(block, 0), portBase)
	file := strings.Replace(string(text), "127.0.0.1:0", front, 1) + fmt.Sprintf("[pools.loaded]\nnodes = [\"%s\"]\nshare = 50\n[[routes]]\nhost = \"loaded.internal\"\npool = \"loaded\"\n", strings.Join(addrs, `", "`))
	if err := os.WriteFile(c.paths[0], []byte(file), 0o600); err != nil {
		return nil, err
	}
	if err := c.startReal(ctx); err != nil {
		return nil, err
	}
	if !pause(ctx, s.Settle) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	span := time.Duration(2*b.Pairs) * b.Window
	shape, err := traffic.ParseShape(fmt.Sprintf("hold %g %s", b.Rate, span))
	if err != nil {
		return nil, err
	}
	streams := []traffic.Stream{{Name: "loaded", Shape: shape, Host: "loaded.internal", Path: "/", Budget: defaultBudget, Skew: 1}}
	var mu sync.Mutex
	took := make([][]float64, 2*b.Pairs) // ms, by window
	failed := 0
	run, err := load.New(load.Config{Addr: front, Streams: streams, Plan: traffic.NewPlan(streams, s.Seed), Seed: s.Seed, Conns: 200, Span: span, Grace: time.Second, Ended: func(e load.Ending) {
		mu.Lock()
		defer mu.Unlock()
		if k := int(e.Due / b.Window); k < len(took) {
			took[k] = append(took[k], (e.Ended-e.Due).Seconds()*1000)
		}
		if e.How != load.OK {
			failed++
		}
	}})
	if err != nil {
		return nil, err
	}
	m, err := c.begin()
	if err != nil {
		return nil, err
	}
	storm, cancel := context.WithCancel(ctx)
	defer cancel()
	var stormed error
	var all sync.WaitGroup
	all.Go(func() { stormed = c.storm(storm, b, time.Now()) })
	rep, err := run.Run(ctx).Report()
	cancel()
	all.Wait()
	if err == nil {
		err = stormed
	}
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("broken off: %w", ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	res, err := m.end()
	if err != nil {
		return nil, err
	}
	res.Void = append(res.Void, rep.Verdict.Void...)
	mu.Lock()
	defer mu.Unlock()
	res.Costs["load_failed"] = float64(failed)
	b.compare(res, took)
	return res, c.inForce(res)
}

// stormy tells whether a window is one of a storm: the second of the first pair, the first
// of the next one, and so on.
func stormy(window int) bool { return (window/2)%2 != window%2 }

func (c *scene) storm(ctx context.Context, b *Beside, begin time.Time) error {
	every := time.Duration(float64(time.Minute) / b.Size.Changes)
	for due := time.Duration(0); due < time.Duration(2*b.Pairs)*b.Window; due += every {
		if !stormy(int(due / b.Window)) {
			continue
		}
		if !pause(ctx, time.Until(begin.Add(due))) {
			return nil
		}
		if err := c.edit(1); err != nil {
			return err
		}
	}
	return nil
}

// compare books the medians of windows, and the median difference of pairs with its
// interval, as of the sign test.
func (b *Beside) compare(m *Measured, took [][]float64) {
	for name, q := range map[string]int{"p50": 50, "p99": 99} {
		var calm, storm, diffs []float64
		for k := 0; k+1 < len(took); k += 2 {
			var pair [2]float64 // calm, storm
			for w := k; w < k+2; w++ {
				if len(took[w]) == 0 {
					return
				}
				slices.Sort(took[w])
				i := 0
				if stormy(w) {
					i = 1
				}
				pair[i] = took[w][len(took[w])*q/100]
			}
			calm, storm, diffs = append(calm, pair[0]), append(storm, pair[1]), append(diffs, pair[1]-pair[0])
		}
		slices.Sort(diffs)
		low, high, sure := signInterval(diffs)
		m.Costs["load_calm_"+name], m.Costs["load_storm_"+name], m.Costs["load_diff_"+name] = median(calm), median(storm), median(diffs)
		m.Costs["load_low_"+name], m.Costs["load_high_"+name], m.Costs["load_sure"] = low, high, 100*sure
	}
}
