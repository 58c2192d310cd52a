package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"gorselink/internal/config"
	httpfront "gorselink/internal/front/http"
	"gorselink/internal/nodes"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	// heapShare of the memory limit is the Go runtime's; the rest is for the
	// kernel's socket buffers, which count too, and for what the runtime
	// overshoots by.
	heapShare = 0.7

	// largeShare: answers over the protocol's bound may fill one part in so
	// many of the memory, as request bodies may.
	largeShare = 8
	// bodyShare: bodies may fill one part in so many of the memory. Heads,
	// answers, stacks and garbage need the rest; at 32 MB it is still room
	// for 64 of the longest bodies.
	bodyShare = 8

	// comingTime is how long after SIGTERM all goes on as before at the least:
	// new connections go on coming for 0.4 s.
	comingTime = 600 * time.Millisecond
	// windDown is what the last requests get. Until it begins connections stay
	// as they are, since their callers may have nowhere else to go yet; most
	// answers come well within it.
	windDown = 1500 * time.Millisecond
	// killMargin is how long before SIGKILL could come the process is gone,
	// of the 0.7 s that it has beyond the longest deadline.
	killMargin = 200 * time.Millisecond
	killTime   = 700 * time.Millisecond
	// answerMargin is what the very last answers have to be written.
	answerMargin = 50 * time.Millisecond
)

// platform is the platform's sidecar: it serves one tier by the file at path.
func platform(ctx context.Context, path string, reload <-chan os.Signal) error {
	if path == "" {
		return errors.New("ROUTER_CONFIG: missing")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, cfg, l, path, reload)
}

// serve answers what comes to l until ctx ends, and then until all that was
// taken is answered. Each reload reads the file at path again.
func serve(ctx context.Context, cfg *config.Config, l net.Listener, path string, reload <-chan os.Signal) error {
	defer l.Close()
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * heapShare * (1 << 20)))
	conns := max(2, cfg.Limits.Sockets-config.OwnDescriptors)
	up := upstream.New(upstream.Config{
		DialTimeout: cfg.DialTimeout,
		ConnIdle:    cfg.Balance.ConnIdle,
		MaxConns:    conns / 2,
		LargeBytes:  int64(cfg.Limits.MemoryMB) << 20 / largeShare,
	})
	defer up.Close()
	p, err := pool.New(pool.Config{
		Name:    cfg.Name,
		Seed:    cfg.Seed,
		Balance: cfg.Balance,
		Zones:   cfg.Zones,
		Known:   cfg.Known,
		Source:  discovery(cfg),
		Limits:  pool.Limits{BodyBytes: int64(cfg.Limits.MemoryMB) << 20 / bodyShare},
	}, up)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	judge := httpfront.NewPlatform(p, cfg.Classes, cfg.Tenants, cfg.Balance.Classes)
	callers := httpfront.NewCallers(judge, conns/2, httpfront.Times{})
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(work)
	go report(work, p)
	served := make(chan error, 1)
	go func() { served <- callers.Serve(l) }()
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "tier", cfg.Tier)
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-reload:
			reread(path, p)
		case <-ctx.Done():
		}
	}
	judge.Drain()
	drain(callers, cfg.LongestDeadline())
	return nil
}

// report logs a summary a second while anything happens, until ctx ends.
func report(ctx context.Context, p *pool.Pool) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.Report(now)
		}
	}
}

// discovery is the source that the configuration names.
func discovery(cfg *config.Config) nodes.Source {
	wait := nodes.PushWait
	if cfg.Balance.AskDiscovery {
		wait = nodes.AskWait
	}
	return nodes.NewDiscovery(cfg.Discovery, wait)
}

// reread takes up what a new configuration says of discovery. One that cannot
// be read changes nothing: a sidecar that serves by the old one is worth more
// than none. The rest holds for the life of the process.
func reread(path string, p *pool.Pool) {
	cfg, err := config.Load(path)
	if err != nil {
		slog.Error("reload: the old configuration stands", "error", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery)
	p.Move(discovery(cfg))
}

// drain serves on until all that was taken is answered, and ends before the
// kill could come.
func drain(callers *httpfront.Callers, deadline time.Duration) {
	slog.Info("draining")
	last := time.Now().Add(max(deadline+killTime-killMargin, comingTime))
	callers.Bound(last.Add(-answerMargin))
	time.Sleep(max(comingTime, time.Until(last)-windDown))
	callers.Drain(last)
}
