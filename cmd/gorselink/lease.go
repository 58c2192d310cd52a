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
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/durable"
	"gorselink/internal/quorum"
	"gorselink/lease"
)

type leaseCommand struct {
	Config string `required:"" short:"c" type:"path" help:"The file with [quorum]: the voters as this process reaches them."`

	Run     leaseRun     `cmd:"" help:"Run a program while this process holds a lease, and at no other time."`
	List    leaseList    `cmd:"" help:"Show all leases."`
	Release leaseRelease `cmd:"" help:"Have the holder of a lease give way."`
	Watch   leaseWatch   `cmd:"" help:"Show a lease now and at each change."`
	Status  leaseStatus  `cmd:"" help:"Show how each voter stands."`
}

// client is a client of the file's quorum.
func (c *leaseCommand) client() (*quorum.Client, *config.Quorum, []quorum.Voter, error) {
	q, err := config.LoadQuorum(c.Config)
	if err != nil {
		return nil, nil, nil, err
	}
	var voters []quorum.Voter
	for _, v := range q.Voters {
		voters = append(voters, quorum.Voter{ID: uint64(v.ID), Address: v.Address})
	}
	cl, err := quorum.NewClient(q.Cluster, voters)
	return cl, q, voters, err
}

// list is a client, and all leases as the leader has them.
func (c *leaseCommand) list(ctx context.Context) (*quorum.Client, map[string]lease.Record, error) {
	cl, _, _, err := c.client()
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
	Name   string        `arg:"" help:"The lease."`
	Cmd    []string      `arg:"" passthrough:"" help:"-- and the program with its arguments."`
	Length time.Duration `default:"10s" help:"How long a claim lasts without a renewal. A lease is handed on that long after its holder is gone, and an election."`
	Grace  time.Duration `default:"3s" help:"How long before the end of the claim the program is told to end (SIGTERM); at the end it is killed."`
	Retry  time.Duration `default:"5s" help:"Between tries to get the lease, in the mean; a lease that comes free is told at once."`
	Claims string        `type:"path" help:"Append what this process claims, by the machine's boot clock in nanoseconds: begin, held (until when) and end, each with the epoch. For audits."`
	Once   bool          `help:"End with the program's own end, with its exit code. Without it the program is run again when the lease is held."`
}

// exitLost is the exit code where the lease was lost while the program ran.
const exitLost = 6

var errLost = coded{errors.New("gorselink: lease run: the lease was lost"), exitLost}

// Run runs the program whenever the lease is held.
func (c *leaseRun) Run(s *shell, parent *leaseCommand) error {
	if len(c.Cmd) > 0 && c.Cmd[0] == "--" {
		c.Cmd = c.Cmd[1:]
	}
	switch {
	case len(c.Cmd) == 0:
		return errors.New("gorselink: lease run: no program")
	case c.Length < lease.MinLength || c.Length > lease.MaxLength:
		return fmt.Errorf("gorselink: lease run: --length %v, want %v to %v", c.Length, lease.MinLength, lease.MaxLength)
	case c.Grace <= 0 || c.Grace > c.Length/2:
		return fmt.Errorf("gorselink: lease run: --grace %v, want up to half of the length", c.Grace)
	}
	cl, _, _, err := parent.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	host, _ := os.Hostname()
	cfg := lease.HolderConfig{
		Lease: c.Name, Client: fmt.Sprintf("%s/%d/%08x", host, os.Getpid(), rand.Uint32()), Length: c.Length, Grace: c.Grace, RetryInterval: c.Retry,
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var result atomic.Pointer[error]
	cl.Hold(ctx, cfg, func(ctx context.Context, g *quorum.Grant) {
		err := c.audited(ctx, s, g)
		if c.Once || s.ctx.Err() != nil {
			result.CompareAndSwap(nil, &err)
			cancel()
		}
	}, func(why lease.Reason) { fmt.Fprintf(s.err, "gorselink: lease %s: ends: %v\n", c.Name, why) })
	if err := result.Load(); err != nil {
		return *err
	}
	return nil
}

// audited runs the program once, with its claim on record.
func (c *leaseRun) audited(ctx context.Context, s *shell, g *quorum.Grant) error {
	stop, err := c.audit(s, g)
	if err != nil {
		return err
	}
	defer stop()
	if ctx.Err() != nil { // the disk may have taken longer than the claim lasts
		return errLost
	}
	return c.child(ctx, s, g)
}

// audit writes the claim down while it is held, and its end once stop is called. After an
// error the program must not run: its claim would be missing.
func (c *leaseRun) audit(s *shell, g *quorum.Grant) (stop func(), err error) {
	if c.Claims == "" {
		return func() {}, nil
	}
	all := &claims{disk: durable.OS{}, path: c.Claims, lease: c.Name, epoch: g.Epoch, until: g.ClaimEnd, err: s.err}
	if err := all.begin(); err != nil {
		err = fmt.Errorf("gorselink: lease run: claims: %w", err)
		fmt.Fprintln(s.err, err)
		return nil, err
	}
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		all.follow(over)
	}()
	return func() { close(over); <-done }, nil
}

// child runs the program once, from the lease being held to its end or the program's.
func (c *leaseRun) child(ctx context.Context, s *shell, g *quorum.Grant) error {
	cmd := exec.Command(c.Cmd[0], c.Cmd[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, s.out, s.err
	cmd.Env = append(os.Environ(), "LEASE_NAME="+c.Name, "LEASE_EPOCH="+strconv.FormatUint(uint64(g.Epoch), 10), "LEASE_VALUE="+string(g.Value))
	// The program goes with this process, which would otherwise leave it without a claim.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	ended := make(chan error, 1)
	started := make(chan error, 1)
	go startAndWait(cmd, started, ended)
	if err := <-started; err != nil {
		return fmt.Errorf("gorselink: lease run: %w", err)
	}
	select {
	case err := <-ended:
		return exitOf(err)
	case <-ctx.Done():
	}
	syscall.Kill(-cmd.Process.Pid, syscall.SIGTERM)
	// Killed a tenth of the grace before the claim ends, by the claim's own clock: it may
	// have been renewed for the last time long before.
	t := time.NewTimer(max(0, g.Remaining()-c.Grace/10))
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-ended
	}
	if s.ctx.Err() != nil {
		return nil // told to end
	}
	return errLost
}

// exitOf passes a program's exit code on.
func exitOf(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code := exit.ExitCode()
		if code < 0 {
			code = 128 + int(exit.Sys().(syscall.WaitStatus).Signal())
		}
		return coded{fmt.Errorf("gorselink: lease run: the program: %w", err), code}
	}
	return err
}

type leaseList struct {
	JSON bool `help:"As JSON."`
}

const leasePatience = 10 * time.Second

// Run shows all leases.
func (c *leaseList) Run(s *shell, parent *leaseCommand) error {
	ctx, cancel := context.WithTimeout(s.ctx, leasePatience)
	defer cancel()
	cl, all, err := parent.list(ctx)
	if err != nil {
		return err
	}
	defer cl.Close()
	if c.JSON {
		return json.NewEncoder(s.out).Encode(all)
	}
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "lease\tholder\tepoch\tlength\tvalue")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		r := all[name]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%v\t%.40q\n", name, cmp.Or(r.Holder, "-"), r.Epoch, r.Length, r.Value)
	}
	return tw.Flush()
}

type leaseRelease struct {
	Name string `arg:"" help:"The lease."`
}

// Run has the holder give way: it is not renewed any more, so its claim runs out by its
// own clock; nobody's word can end it sooner.
func (c *leaseRelease) Run(s *shell, parent *leaseCommand) error {
	ctx, cancel := context.WithTimeout(s.ctx, leasePatience)
	defer cancel()
	cl, all, err := parent.list(ctx)
	if err != nil {
		return err
	}
	defer cl.Close()
	r, ok := all[c.Name]
	if !ok || r.Holder == "" {
		return fmt.Errorf("gorselink: lease %s: nobody holds it", c.Name)
	}
	got, err := cl.Do(ctx, lease.Command{Kind: lease.Evict, Lease: c.Name, Epoch: r.Epoch})
	if err = cmp.Or(err, got.Err); err != nil {
		return fmt.Errorf("gorselink: lease %s, held by %s with epoch %d: %w", c.Name, r.Holder, r.Epoch, err)
	}
	fmt.Fprintf(s.out, "%s: %s gives way within %v\n", c.Name, r.Holder, lease.ExpiryDelay(r.Length))
	return nil
}

type leaseWatch struct {
	Name string `arg:"" help:"The lease."`
}

// Run shows each change until it is interrupted.
func (c *leaseWatch) Run(s *shell, parent *leaseCommand) error {
	cl, _, _, err := parent.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	news := cl.Watch(s.ctx, c.Name)
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case r := <-news:
			fmt.Fprintf(s.out, "%s\t%s\t%d\n", c.Name, cmp.Or(r.Holder, "-"), r.Epoch)
		}
	}
}

type leaseStatus struct {
	JSON bool `help:"As JSON."`
}

// Run shows each voter.
func (c *leaseStatus) Run(s *shell, parent *leaseCommand) error {
	cl, q, voters, err := parent.client()
	if err != nil {
		return err
	}
	cl.Close()
	all := map[string]any{}
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "voter\taddress\tleader\tterm\tapplied\tleases\tclients")
	for _, v := range voters {
		ctx, cancel := context.WithTimeout(s.ctx, leasePatience/5)
		st, err := quorum.StatusOf(ctx, q.Cluster, v)
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
		return json.NewEncoder(s.out).Encode(all)
	}
	return tw.Flush()
}

// startAndWait starts a program and waits for it on one thread of its own: the system
// kills it once the thread that started it is gone.
func startAndWait(cmd *exec.Cmd, started, ended chan<- error) {
	runtime.LockOSThread()
	err := cmd.Start()
	started <- err
	if err == nil {
		ended <- cmd.Wait()
	}
}
