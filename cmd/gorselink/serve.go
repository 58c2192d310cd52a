package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/daemon"
	"gorselink/internal/tomlfile"
)

type serveCommand struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file."`
}

// Run serves until the context ends. It then drains: it exits once all accepted requests
// have responses.
func (c *serveCommand) Run(env *environment) error {
	cfg, err := config.LoadDaemon(c.Config)
	if err != nil {
		return err
	}
	if err := checkDescriptors(cfg.Process.Descriptors); err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	setRuntimeLimits(cfg)
	d, err := daemon.Start(cfg)
	if err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	for _, l := range cfg.Listeners {
		slog.Info("serving", "name", cfg.Process.Name, "listener", l.Name, "address", d.Addr(l.Name).String(), "form", l.Form)
	}
	reloadUntilDone(env.ctx, d, c.Config, env.reload)
	slog.Info("draining; exiting once all accepted requests have responses")
	unanswered := d.Drain(drainNotice, d.DrainDeadline(drainNotice))
	slog.Info("drained", "unanswered", unanswered)
	return nil
}

// reloadUntilDone reloads the configuration at each signal until ctx ends.
func reloadUntilDone(ctx context.Context, d *daemon.Daemon, path string, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		cfg, err := config.LoadDaemon(path)
		var changes []string
		if err == nil {
			changes, err = d.Apply(cfg)
		}
		if err != nil {
			slog.Error("reload failed; keeping the current configuration", "error", err)
			continue
		}
		setRuntimeLimits(cfg)
		daemon.LogChanges(changes)
	}
}

// checkDescriptors returns an error if the limit of file descriptors is too low, which
// would otherwise fail requests under load.
func checkDescriptors(want int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("process.descriptors: %w", err)
	}
	if uint64(want) > l.Cur { // the Go runtime has already raised the soft limit
		return fmt.Errorf("process.descriptors: found %d, want at most %d, the limit of open files of this process (ulimit -n)", want, l.Cur)
	}
	return nil
}

// setRuntimeLimits sets the core and memory limits of the Go runtime.
func setRuntimeLimits(cfg *config.Daemon) {
	if n := cfg.Process.Cores; n > 0 {
		runtime.GOMAXPROCS(n)
	}
	debug.SetMemoryLimit(int64(float64(cfg.Process.Memory) * heapShare))
}

const (
	// heapShare is the share of the memory for the Go runtime. The rest is for socket
	// buffers of the kernel and for exceeding the runtime's soft limit.
	heapShare = 0.7
	// drainNotice is the time after SIGTERM in which new connections are still accepted.
	drainNotice = 600 * time.Millisecond
)

type checkCommand struct {
	File string `arg:"" type:"path" help:"Configuration file."`
}

// Run reports all errors in the file.
func (c *checkCommand) Run(env *environment) error {
	cfg, err := config.LoadDaemon(c.File)
	if err == nil {
		err = cfg.CheckFiles()
	}
	if err != nil {
		var configErrors tomlfile.Errors
		if errors.As(err, &configErrors) {
			return fmt.Errorf("%w\n%s: %d errors", err, c.File, len(configErrors))
		}
		return err
	}
	fmt.Fprintf(env.stdout, "%s: valid: %d listeners, %d routes, %d pools, %d classes\n", c.File, len(cfg.Listeners), len(cfg.Routes), len(cfg.Pools), len(cfg.Classes))
	return nil
}
