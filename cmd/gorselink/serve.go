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
	Config string `required:"" short:"c" type:"path" help:"The configuration file."`
}

// Run serves until the end of the shell's context, and then until all that was
// taken is answered.
func (c *serveCommand) Run(s *shell) error {
	cfg, err := config.LoadDaemon(c.Config)
	if err != nil {
		return err
	}
	if err := checkDescriptors(cfg.Process.Descriptors); err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	setProcess(cfg)
	d, err := daemon.Start(cfg)
	if err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	for _, l := range cfg.Listeners {
		slog.Info("serving", "name", cfg.Process.Name, "listener", l.Name, "address", d.Addr(l.Name).String(), "form", l.Form)
	}
	serveOn(s.ctx, d, c.Config, s.reload)
	slog.Info("draining")
	d.Drain(comingTime, time.Now().Add(comingTime+cfg.LongestDeadline()+windDown))
	return nil
}

// serveOn reads the file again at each reload until ctx ends.
func serveOn(ctx context.Context, d *daemon.Daemon, path string, reload <-chan os.Signal) {
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
			slog.Error("reload: the old configuration stands", "error", err)
			continue
		}
		setProcess(cfg)
		daemon.LogChanges(changes)
	}
}

// checkDescriptors tells whether the process may have so many: it would find out
// under load otherwise, and lose requests.
func checkDescriptors(want int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("process.descriptors: %w", err)
	}
	if uint64(want) > l.Cur { // the runtime has raised it as far as it may
		return fmt.Errorf("process.descriptors: found %d, want %d at most: the system allows no more (ulimit -n)", want, l.Cur)
	}
	return nil
}

// setProcess gives the runtime its part of what the process has.
func setProcess(cfg *config.Daemon) {
	if n := cfg.Process.Cores; n > 0 {
		runtime.GOMAXPROCS(n)
	}
	debug.SetMemoryLimit(int64(float64(cfg.Process.Memory) * heapShare))
}

const (
	// heapShare of the memory is the Go runtime's, the rest for the kernel's
	// socket buffers and for what the runtime overshoots by.
	heapShare = 0.7
	// comingTime is how long new connections may still come after SIGTERM.
	comingTime = 600 * time.Millisecond
	// windDown is what the last requests get beyond the longest deadline.
	windDown = 1500 * time.Millisecond
)

type checkCommand struct {
	File string `arg:"" type:"path" help:"The configuration file."`
}

// Run tells all that is wrong with the file.
func (c *checkCommand) Run(s *shell) error {
	cfg, err := config.LoadDaemon(c.File)
	if err == nil {
		err = cfg.CheckFiles()
	}
	if err != nil {
		var faults tomlfile.Errors
		if errors.As(err, &faults) {
			return fmt.Errorf("%w\n%s: %d faults", err, c.File, len(faults))
		}
		return err
	}
	fmt.Fprintf(s.out, "%s: good: %d listeners, %d routes, %d pools, %d classes\n", c.File, len(cfg.Listeners), len(cfg.Routes), len(cfg.Pools), len(cfg.Classes))
	return nil
}
