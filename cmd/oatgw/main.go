// Command oatgw is the sidecar: it balances the requests of its callers over
// the endpoints of one tier. The file that ROUTER_CONFIG names tells it all.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"oatgw/internal/config"
	"oatgw/internal/sidecar"
	"oatgw/internal/upstream"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Taken from the first moment on: the default of SIGHUP is to end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := run(ctx, os.Getenv("ROUTER_CONFIG"), reload); err != nil {
		fmt.Fprintln(os.Stderr, "oatgw:", err)
		os.Exit(1)
	}
}

const (
	// heapShare of the memory limit is the Go runtime's; the rest is for the
	// kernel's socket buffers, which count too, and for what the runtime
	// overshoots by.
	heapShare = 0.7

	// ownDescriptors are those not for connections of callers and endpoints:
	// the log, the listener, discovery, the runtime's poller.
	ownDescriptors = 32

	// headTime is what a caller gets for a request's head; slow ones need 2 s.
	headTime = 10 * time.Second
	// idleTime is how long a caller's connection may stand idle.
	idleTime = 2 * time.Minute

	maxHead = 64 << 10

	// comingTime is how long after SIGTERM the listener stays open: new
	// connections go on coming for 0.4 s, and closing it would break those
	// that wait to be accepted.
	comingTime = 600 * time.Millisecond
	// killMargin is how long before SIGKILL could come the process is gone,
	// of the 0.7 s that it has beyond the longest deadline.
	killMargin = 200 * time.Millisecond
	killTime   = 700 * time.Millisecond
)

// run serves until ctx ends, and then until all that was taken is answered.
// Each reload reads the file at path again.
func run(ctx context.Context, path string, reload <-chan os.Signal) error {
	if path == "" {
		return errors.New("ROUTER_CONFIG: missing")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * heapShare * (1 << 20)))
	conns := max(2, cfg.Limits.Sockets-ownDescriptors)
	pool := upstream.New(upstream.Config{
		DialTimeout: cfg.DialTimeout,
		ConnIdle:    cfg.Balance.ConnIdle,
		MaxConns:    conns / 2,
	})
	defer pool.Close()
	s, err := sidecar.New(cfg, pool)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	callers := sidecar.NewCallers(l, conns/2)
	srv := &http.Server{
		Handler:           s,
		ConnState:         callers.State,
		ReadHeaderTimeout: headTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Follow(work)
	go s.Report(work, time.Second)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(callers) }()
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
	return drain(srv, longest(cfg))
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

// drain ends srv once all that it has taken is answered, and before the kill.
func drain(srv *http.Server, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+killTime-killMargin)
	defer cancel()
	slog.Info("draining")
	srv.SetKeepAlivesEnabled(false) // answers say Connection: close; idle connections end
	time.Sleep(comingTime)
	if err := srv.Shutdown(ctx); err != nil {
		slog.Warn("cut off what was under way", "error", err)
		srv.Close()
	}
	return nil
}

// longest is the longest deadline of any class.
func longest(cfg *config.Config) time.Duration {
	var d time.Duration
	for _, c := range cfg.Balance.Classes {
		d = max(d, c.Deadline)
	}
	return d
}
