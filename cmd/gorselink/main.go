// Command gorselink balances requests from callers over the endpoints of many services.
// Without arguments and with ROUTER_CONFIG set it runs as the platform's sidecar, which
// is configured by one file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"

	"gorselink/internal/sidecar"
)

// commands lists the subcommands.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Serve with a configuration file. SIGHUP reloads it; SIGTERM drains and exits."`
	Check   checkCommand   `cmd:"" help:"Check a configuration file and report all errors in it."`
	Demo    demoCommand    `cmd:"" help:"Run two services of simulated nodes on loopback, with traffic and a live table."`
	Load    loadCommand    `cmd:"" help:"Send requests at their scheduled times, regardless of earlier responses, and report their latencies."`
	Replay  replayCommand  `cmd:"" help:"Replay captures with the Balancer of this version and show the first decision that differs."`
	Lease   leaseCommand   `cmd:"" help:"Use leases of a lease server: run a program under a lease; list, watch or release leases; show the voters."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// environment holds the context, signals and output streams of a subcommand.
type environment struct {
	ctx    context.Context // cancelled by SIGTERM or an interrupt
	reload <-chan os.Signal
	stdout io.Writer
	stderr io.Writer
	redraw bool // stdout and stderr are terminals, on which lines can be overwritten
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The handler is installed first, because SIGHUP terminates the process by default.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	env := &environment{ctx, reload, os.Stdout, os.Stderr, isTerminal(os.Stdout) && isTerminal(os.Stderr)}
	options := sidecar.Options{ConfigPath: os.Getenv("ROUTER_CONFIG"), ConsoleAddr: os.Getenv("ROUTER_CONSOLE"), TempDir: os.Getenv("TMPDIR")}
	if err := run(env, os.Args[1:], options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code := 1
		var c exitError
		if errors.As(err, &c) {
			code = c.code
		}
		os.Exit(code)
	}
}

// startedByPlatform reports whether the platform has started this process, even if
// ROUTER_CONFIG is missing.
func startedByPlatform() bool {
	return slices.ContainsFunc([]string{"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"}, func(name string) bool { return os.Getenv(name) != "" })
}

// run executes the command given by the arguments.
func run(env *environment, args []string, options sidecar.Options) error {
	if len(args) == 0 && (options.ConfigPath != "" || startedByPlatform()) {
		if err := sidecar.Run(env.ctx, options, env.reload); err != nil {
			return fmt.Errorf("gorselink: %w", err)
		}
		return nil
	}
	var c commands
	parser, err := kong.New(&c, kong.Name("gorselink"),
		kong.Description("A load balancer for services in tiers. With ROUTER_CONFIG set and no arguments it runs as the platform's sidecar."),
		kong.Writers(env.stdout, env.stderr), kong.UsageOnError())
	if err != nil {
		return err
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	call, err := parser.Parse(args)
	if err != nil {
		return fmt.Errorf("gorselink: %w", err)
	}
	return call.Run(env)
}

type versionCommand struct{}

// Run prints the module version, the Go version and the revision of the build.
func (versionCommand) Run(env *environment) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	fmt.Fprintf(env.stdout, "gorselink %s%s\n", version, revision)
	return nil
}
