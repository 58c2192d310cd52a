// Command voter runs one voter of the lease server, a Raft cluster that stores leases. It is
// a separate program so that sidecars do not include a Raft library.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gorselink/internal/config"
	"gorselink/internal/leaseclient"
	"gorselink/internal/leaseserver"
)

type commands struct {
	Init initCommand `cmd:"" help:"Create the empty log of a new voter. Run this once per voter; a voter that has lost its log must rejoin under a new ID."`
	Run  runCommand  `cmd:"" help:"Run the voter until SIGTERM or SIGINT."`
}

type initCommand struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file with a [quorum] table."`
}

type runCommand struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file with a [quorum] table."`
	Init   bool   `help:"Create the log first if it does not exist. For tests only: a voter that has lost its log could vote twice in a term."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var c commands
	command := kong.Parse(&c, kong.Name("voter"), kong.Description("Runs one voter of the lease server, which stores leases."), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// loadConfig reads a voter's configuration file and returns it with the IDs of all voters.
func loadConfig(path string) (*config.LeaseCluster, []uint64, error) {
	q, err := config.LoadLeaseCluster(path)
	if err != nil {
		return nil, nil, err
	}
	if q.ID == 0 {
		return nil, nil, fmt.Errorf("%s: quorum.id: missing, want the ID of this voter", path)
	}
	for _, w := range q.Warnings {
		slog.Warn(w)
	}
	var ids []uint64
	for _, v := range q.Voters {
		ids = append(ids, uint64(v.ID))
	}
	return q, ids, nil
}

// Run creates the empty log of a new voter.
func (c *initCommand) Run() error {
	q, ids, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	return leaseserver.Init(q.Dir, q.Cluster, uint64(q.ID), ids)
}

// Run runs the voter until ctx ends. With --init it first creates the log if there is none.
func (c *runCommand) Run(ctx context.Context) error {
	q, ids, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Init && !leaseserver.HasLog(q.Dir) {
		if err := leaseserver.Init(q.Dir, q.Cluster, uint64(q.ID), ids); err != nil {
			return err
		}
	}
	cfg := leaseserver.Config{Cluster: q.Cluster, ID: uint64(q.ID), Listen: q.Listen, Dir: q.Dir, Tick: q.Tick, Log: slog.Default()}
	for _, v := range q.Voters {
		cfg.Voters = append(cfg.Voters, leaseclient.Voter{ID: uint64(v.ID), Address: v.Address})
	}
	n, err := leaseserver.Open(cfg)
	if err != nil {
		return err
	}
	slog.Info("voter started", "cluster", q.Cluster, "voter", q.ID)
	return n.Run(ctx)
}
