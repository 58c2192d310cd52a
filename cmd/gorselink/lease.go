package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/durable"
	"gorselink/internal/leaseclient"
	"gorselink/internal/processgroup"
	"gorselink/lease"
)

type leaseCommand struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file with a [quorum] table, which lists the voters at addresses that this process can reach."`

	Run     leaseRun     `cmd:"" help:"Run a program while this process holds a lease, and only then."`
	List    leaseList    `cmd:"" help:"Show all leases."`
	Release leaseRelease `cmd:"" help:"Make the holder of a lease give it up."`
	Watch   leaseWatch   `cmd:"" help:"Show the holder of a lease now and after each change."`
	Status  leaseStatus  `cmd:"" help:"Show the status of each voter."`
}

// newClient returns a client of the lease server in the configuration file.
func (c *leaseCommand) newClient() (*leaseclient.Client, *config.LeaseCluster, []leaseclient.Voter, error) {
	q, err := config.LoadLeaseCluster(c.Config)
	if err != nil {
		return nil, nil, nil, err
	}
	var voters []leaseclient.Voter
	for _, v := range q.Voters {
		voters = append(voters, leaseclient.Voter{ID: uint64(v.ID), Address: v.Address})
	}
	cl, err := leaseclient.NewClient(q.Cluster, voters)
	return cl, q, voters, err
}

// listLeases returns a client and the leader's record of all leases.
func (c *leaseCommand) listLeases(ctx context.Context) (*leaseclient.Client, map[string]lease.Record, error) {
	cl, _, _, err := c.newClient()
	if err != nil {
		return nil, nil, err
	}
	all, err := cl.List(ctx)
	if err != nil {
		cl.Close()
		return nil, nil, err
	}
	return cl, all, nil
}

type leaseRun struct {
	Name   string        `arg:"" help:"Name of the lease."`
	Cmd    []string      `arg:"" passthrough:"" help:"-- followed by the program and its arguments."`
	Length time.Duration `default:"10s" help:"Time for which a claim is valid without a renewal. The lease of a failed holder is granted again after this time, or later if the voters elect a new leader."`
	Grace  time.Duration `default:"3s" help:"Time before the end of the claim at which the program receives SIGTERM. It is killed shortly before the claim ends."`
	Retry  time.Duration `default:"5s" help:"Mean interval between attempts to acquire the lease. The lease server also notifies waiting processes when the lease becomes free."`
	Claims string        `type:"path" help:"Append the claims of this process to this file, for audits: lines for begin, held and end, each with the epoch, the time and the end of the claim in nanoseconds of the boot clock."`
	Once   bool          `help:"Exit when the program exits, with its exit code. Without this flag the program runs again whenever the lease is held."`
}

// exitLeaseLost is the exit code if the lease was lost while the program was running.
const exitLeaseLost = 6

var errLeaseLost = exitError{errors.New("gorselink: lease run: lease lost, the program must not run without it"), exitLeaseLost}

// Run runs the program whenever the lease is held.
func (c *leaseRun) Run(env *environment, parent *leaseCommand) error {
	if len(c.Cmd) > 0 && c.Cmd[0] == "--" {
		c.Cmd = c.Cmd[1:]
	}
	switch {
	case len(c.Cmd) == 0:
		return errors.New("gorselink: lease run: no program given after --")
	case c.Length < lease.MinLength || c.Length > lease.MaxLength:
		return fmt.Errorf("gorselink: lease run: --length %v: must be from %v to %v", c.Length, lease.MinLength, lease.MaxLength)
	case c.Grace <= 0 || c.Grace > c.Length/2:
		return fmt.Errorf("gorselink: lease run: --grace %v: must be positive and at most half of --length", c.Grace)
	}
	cl, _, _, err := parent.newClient()
	if err != nil {
		return err
	}
	defer cl.Close()
	host, _ := os.Hostname()
	cfg := lease.HolderConfig{
		Lease: c.Name, Client: fmt.Sprintf("%s/%d/%08x", host, os.Getpid(), rand.Uint32()), Length: c.Length, Grace: c.Grace, RetryInterval: c.Retry,
	}
	ctx, cancel := context.WithCancel(env.ctx)
	defer cancel()
	var result atomic.Pointer[error]
	cl.Hold(ctx, cfg, func(ctx context.Context, g *leaseclient.Grant) {
		err := c.runWithRecord(ctx, env, g)
		if c.Once || env.ctx.Err() != nil {
			result.CompareAndSwap(nil, &err)
			cancel()
		}
	}, func(reason lease.Reason) {
		fmt.Fprintf(env.stderr, "gorselink: lease %s: stopping the program: %v\n", c.Name, reason)
	})
	if err := result.Load(); err != nil {
		return *err
	}
	return nil
}

// runWithRecord records the claim and runs the program once.
func (c *leaseRun) runWithRecord(ctx context.Context, env *environment, g *leaseclient.Grant) error {
	stop, err := c.recordClaim(env, g)
	if err != nil {
		return err
	}
	defer stop()
	if ctx.Err() != nil { // writing to disk may have taken longer than the claim lasts
		return errLeaseLost
	}
	return c.runProgram(ctx, env, g)
}

// recordClaim records the claim while it is held, and its end when stop is called. After
// an error the program must not run, because its claim would not be recorded.
func (c *leaseRun) recordClaim(env *environment, g *leaseclient.Grant) (stop func(), err error) {
	if c.Claims == "" {
		return func() {}, nil
	}
	record := &claimLog{fsys: durable.OS{}, path: c.Claims, lease: c.Name, epoch: g.Epoch, claimEnd: g.ClaimEnd, stderr: env.stderr}
	if err := record.begin(); err != nil {
		err = fmt.Errorf("gorselink: lease run: cannot record the claim, not starting the program: %w", err)
		fmt.Fprintln(env.stderr, err)
		return nil, err
	}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		record.recordHeld(ended)
	}()
	return func() { close(ended); <-done }, nil
}

// runProgram runs the program once. It stops the program when the lease is lost.
func (c *leaseRun) runProgram(ctx context.Context, env *environment, g *leaseclient.Grant) error {
	cmd := exec.Command(c.Cmd[0], c.Cmd[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, env.stdout, env.stderr
	cmd.Env = append(os.Environ(), "LEASE_NAME="+c.Name, "LEASE_EPOCH="+strconv.FormatUint(uint64(g.Epoch), 10), "LEASE_VALUE="+string(g.Value))
	group, err := processgroup.Start(cmd)
	if err != nil {
		return fmt.Errorf("gorselink: lease run: cannot start the program: %w", err)
	}
	// The program is killed a tenth of the grace period before the claim ends. The timer uses
	// the end of the claim, because the last renewal may be long past.
	killDelay := func() time.Duration { return max(0, g.Remaining()-c.Grace/10) }
	select {
	case <-group.Ended():
		return programError(group.Err())
	case <-group.LeaderEnded():
		c.stopGroup(env, group, min(c.Grace, killDelay()))
		return programError(group.Err())
	case <-ctx.Done():
	}
	c.stopGroup(env, group, killDelay())
	if env.ctx.Err() != nil {
		return nil // this process has received SIGTERM or an interrupt
	}
	return errLeaseLost
}

// stopGroup sends SIGTERM to all processes of the program, and SIGKILL to those that are left after
// killDelay. It returns when none is left: until then the lease must not be released.
func (c *leaseRun) stopGroup(env *environment, group *processgroup.Group, killDelay time.Duration) {
	group.Signal(syscall.SIGTERM)
	kill := time.NewTimer(killDelay)
	defer kill.Stop()
	select {
	case <-group.Ended():
	case <-kill.C:
		fmt.Fprintf(env.stderr, "gorselink: lease %s: killing what is left of the program\n", c.Name)
		group.Signal(syscall.SIGKILL)
		<-group.Ended()
	}
}

// programError returns an error that carries the program's exit code.
func programError(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code := exit.ExitCode()
		if code < 0 {
			code = 128 + int(exit.Sys().(syscall.WaitStatus).Signal())
		}
		return exitError{fmt.Errorf("gorselink: lease run: program failed: %w", err), code}
	}
	return err
}

type leaseList struct {
	JSON bool `help:"Print JSON."`
}

// leaseServerTimeout bounds the requests of a command to the lease server.
const leaseServerTimeout = 10 * time.Second

// Run prints all leases.
func (c *leaseList) Run(env *environment, parent *leaseCommand) error {
	ctx, cancel := context.WithTimeout(env.ctx, leaseServerTimeout)
	defer cancel()
	cl, all, err := parent.listLeases(ctx)
	if err != nil {
		return err
	}
	defer cl.Close()
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(all)
	}
	tw := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "lease\tholder\tepoch\tlength\tvalue")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		r := all[name]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%v\t%.40q\n", name, cmp.Or(r.Holder, "-"), r.Epoch, r.Length, r.Value)
	}
	return tw.Flush()
}

type leaseRelease struct {
	Name string `arg:"" help:"Name of the lease."`
}

// Run makes the lease server reject further renewals by the holder. The claim ends on the
// holder's own clock and cannot be ended earlier from outside.
func (c *leaseRelease) Run(env *environment, parent *leaseCommand) error {
	ctx, cancel := context.WithTimeout(env.ctx, leaseServerTimeout)
	defer cancel()
	cl, all, err := parent.listLeases(ctx)
	if err != nil {
		return err
	}
	defer cl.Close()
	r, ok := all[c.Name]
	if !ok || r.Holder == "" {
		return fmt.Errorf("gorselink: lease %s: not held, nothing to release", c.Name)
	}
	got, err := cl.Do(ctx, lease.Command{Kind: lease.Evict, Lease: c.Name, Epoch: r.Epoch})
	if err = cmp.Or(err, got.Err); err != nil {
		return fmt.Errorf("gorselink: lease %s, held by %s with epoch %d: release failed: %w", c.Name, r.Holder, r.Epoch, err)
	}
	fmt.Fprintf(env.stdout, "%s: the claim of %s ends within %v\n", c.Name, r.Holder, lease.ExpiryDelay(r.Length))
	return nil
}

type leaseWatch struct {
	Name string `arg:"" help:"Name of the lease."`
}

// Run prints the record now and after each change until it is interrupted.
func (c *leaseWatch) Run(env *environment, parent *leaseCommand) error {
	cl, _, _, err := parent.newClient()
	if err != nil {
		return err
	}
	defer cl.Close()
	updates := cl.Watch(env.ctx, c.Name)
	for {
		select {
		case <-env.ctx.Done():
			return nil
		case r := <-updates:
			fmt.Fprintf(env.stdout, "%s\t%s\t%d\n", c.Name, cmp.Or(r.Holder, "-"), r.Epoch)
		}
	}
}

type leaseStatus struct {
	JSON bool `help:"Print JSON."`
}

// Run prints the status of each voter.
func (c *leaseStatus) Run(env *environment, parent *leaseCommand) error {
	cl, q, voters, err := parent.newClient()
	if err != nil {
		return err
	}
	cl.Close()
	all := map[string]any{}
	tw := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "voter\taddress\tleader\tterm\tapplied\tleases\tclients")
	for _, v := range voters {
		ctx, cancel := context.WithTimeout(env.ctx, leaseServerTimeout/5)
		st, err := leaseclient.StatusOf(ctx, q.Cluster, v)
		cancel()
		if err != nil {
			all[strconv.FormatUint(v.ID, 10)] = map[string]string{"error": err.Error()}
			fmt.Fprintf(tw, "%d\t%s\t%v\n", v.ID, v.Address, err)
			continue
		}
		all[strconv.FormatUint(v.ID, 10)] = st
		fmt.Fprintf(tw, "%d\t%s\t%d\t%d\t%d\t%d\t%d\n", v.ID, v.Address, st.Leader, st.Term, st.AppliedIndex, st.Leases, st.Clients)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(all)
	}
	return tw.Flush()
}
