// Command gorselink is the sidecar: it balances the requests of its callers over
// the endpoints of one tier. The file that ROUTER_CONFIG names tells it all.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/sidecar"
	"gorselink/internal/upstream"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Taken from the first moment on: the default of SIGHUP is to end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := run(ctx, os.Getenv("ROUTER_CONFIG"), reload); err != nil {
		fmt.Fprintln(os.Stderr, "gorselink:", err)
		os.Exit(1)
	}
}

const (
	// heapShare of the memory limit is the Go runtime's; the rest is for the
	// kernel's socket buffers, which count too, and for what the runtime
	// overshoots by.
	heapShare = 0.7

	// largeShare: answers over the protocol's bound may fill one part in so
	// many of the memory, as request bodies may.
	largeShare = 8

	// ownDescriptors are those not for connections of callers and endpoints:
	// the log, the listener, discovery, the runtime's poller.
	ownDescriptors = 32

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

// run serves by the file at path.
func run(ctx context.Context, path string, reload <-chan os.Signal) error {
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
	conns := max(2, cfg.Limits.Sockets-ownDescriptors)
	pool := upstream.New(upstream.Config{
		DialTimeout: cfg.DialTimeout,
		ConnIdle:    cfg.Balance.ConnIdle,
		MaxConns:    conns / 2,
		LargeBytes:  int64(cfg.Limits.MemoryMB) << 20 / largeShare,
	})
	defer pool.Close()
	s, err := sidecar.New(cfg, pool)
	if err != nil {
		return err
	}
	callers := sidecar.NewCallers(s, conns/2)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Follow(work)
	go s.Report(work, time.Second)
	served := make(chan error, 1)
	go func() { served <- callers.Serve(l) }()
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "tier", cfg.Tier)
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-reload:
			reread(path, s)
		case <-ctx.Done():
		}
	}
	s.Drain()
	drain(callers, cfg.LongestDeadline())
	return nil
}

// reread takes up what a new configuration says of discovery. One that cannot
// be read changes nothing: a sidecar that serves by the old one is worth more
// than none. The rest holds for the life of the process.
func reread(path string, s *sidecar.Sidecar) {
	cfg, err := config.Load(path)
	if err != nil {
		slog.Error("reload: the old configuration stands", "error", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery)
	s.Move(cfg.Discovery)
}

// drain serves on until all that was taken is answered, and ends before the
// kill could come.
func drain(callers *sidecar.Callers, deadline time.Duration) {
	slog.Info("draining")
	last := time.Now().Add(max(deadline+killTime-killMargin, comingTime))
	callers.Bound(last.Add(-answerMargin))
	time.Sleep(max(comingTime, time.Until(last)-windDown))
	callers.Drain(last)
}
