package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/hollow"
)

// ScaleOptions configures a scale run.
type ScaleOptions struct {
	RoleCommand []string // command that starts a role process; the role's name is appended
	Program     string   // for real sidecars and chains
	Log         func(line string)

	repetitions int // of void measurements
}

// maxRepetitions bounds how often void measurements are repeated in a run, to bound its
// duration.
const maxRepetitions = 6

// repeatIfVoid measures, and measures again while the machine was the bottleneck.
func (o *ScaleOptions) repeatIfVoid(measure func() (*Measured, error)) (*Measured, error) {
	for {
		m, err := measure()
		if err != nil || len(m.Void) == 0 || o.repetitions >= maxRepetitions {
			return m, err
		}
		o.repetitions++
		o.logf("repeating a measurement: %s", m)
	}
}

func (o *ScaleOptions) logf(format string, args ...any) {
	if o.Log != nil {
		o.Log(fmt.Sprintf(format, args...))
	}
}

// RunScale runs a scale experiment. All its processes, sockets and files are gone when it
// returns. If ctx ends, it stops with an error.
func RunScale(ctx context.Context, s *ScaleExperiment, o ScaleOptions) (*ScaleResult, error) {
	res := newScaleResult(s, time.Now())
	for _, w := range s.Sweeps {
		sr, err := runSweep(ctx, s, w, &o)
		if err != nil {
			return nil, fmt.Errorf("sweep over %s: %w", w.Dimension, err)
		}
		res.Sweeps = append(res.Sweeps, *sr)
	}
	for _, size := range s.RealSidecars {
		m, err := o.repeatIfVoid(func() (*Measured, error) { return measureSize(ctx, s, size, &o, true) })
		if err != nil {
			return nil, fmt.Errorf("real sidecar with %d services: %w", size.Services, err)
		}
		o.logf("real sidecar with %d services: %s", size.Services, m)
		res.RealSidecars = append(res.RealSidecars, *m)
	}
	for _, size := range s.Reloads {
		m, err := o.repeatIfVoid(func() (*Measured, error) { return measureReload(ctx, s, size, &o) })
		if err != nil {
			return nil, fmt.Errorf("reload of %d services: %w", size.Services, err)
		}
		o.logf("reload of %d services with %d endpoints each: %s", size.Services, size.Endpoints, m)
		res.Reloads = append(res.Reloads, *m)
	}
	if s.BackgroundChurn != nil {
		m, err := runBackgroundChurn(ctx, s, &o)
		if err != nil {
			return nil, fmt.Errorf("background churn: %w", err)
		}
		o.logf("background churn: %s", m)
		res.BackgroundChurn = m
	}
	if s.Day != nil {
		m, err := runDay(ctx, s, &o)
		if err != nil {
			return nil, fmt.Errorf("day: %w", err)
		}
		o.logf("day: %s", m)
		res.Day = m
	}
	return res, nil
}

// fleetRun is a running fleet with its registry.
type fleetRun struct {
	experiment   *ScaleExperiment
	options      *ScaleOptions
	size         Size
	dir          string
	spawner      *processSpawner
	registry     *roleProcess
	sidecarHosts []*roleProcess
	realSidecar  *instance
	forwarders   []*forwarder
	zonePaths    []*netPath // by zone; empty without a day
	rng          *rand.Rand
	configPaths  []string // of the sidecars
	stopped      map[int]bool
	day          *Day // nil without a simulated day
	dayStart     time.Time
}

// newFleetRun starts a registry and writes the configurations of the sidecars. The caller must
// close the run, also after an error.
func newFleetRun(s *ScaleExperiment, size Size, day *Day, o *ScaleOptions) (c *fleetRun, err error) {
	c = &fleetRun{experiment: s, options: o, size: size, rng: rand.New(rand.NewPCG(s.Seed, uint64(size.Sidecars)<<32|uint64(size.Services)<<16|uint64(size.Endpoints))), stopped: map[int]bool{}}
	if n := 1 + (size.Sidecars+s.SidecarsPerProcess-1)/s.SidecarsPerProcess; n > maxProcesses {
		return c, fmt.Errorf("%d processes, want %d at most: put more sidecars in each process", n, maxProcesses)
	}
	if c.dir, err = makeRunDir(); err != nil {
		return c, err
	}
	c.spawner = newProcessSpawner()
	if c.registry, err = startRoleProcess(c.spawner, o.RoleCommand, hollow.RoleRegistry, "registry", c.dir, roleMaxProcs); err != nil {
		return c, err
	}
	a, err := c.registry.call(&hollow.Command{Action: "serve", Host: "127.0.0.1", Services: size.Services, Endpoints: size.Endpoints})
	if err != nil {
		return c, err
	}
	registryAddrs := func(zone int) []string { return a.Addrs }
	if day != nil {
		byZone, err := c.linkZones(day, a.Addrs)
		if err != nil {
			return c, err
		}
		registryAddrs = func(zone int) []string { return byZone[zone] }
	}
	for i := range size.Sidecars {
		zone := 0
		if day != nil {
			zone = day.zoneOf(i)
		}
		path := filepath.Join(c.dir, fmt.Sprintf("sidecar-%04d.toml", i))
		if err := os.WriteFile(path, []byte(sidecarConfig(s.Seed, i, size.Sidecars, zone, "127.0.0.1:0", registryAddrs(zone))), 0o600); err != nil {
			return c, err
		}
		c.configPaths = append(c.configPaths, path)
	}
	return c, nil
}

// roleMaxProcs is the GOMAXPROCS of a role process, as if it ran on a small machine.
const roleMaxProcs = 2

// linkZones creates a network path between each zone and the registry.
func (c *fleetRun) linkZones(d *Day, addrs []string) (byZone [][]string, err error) {
	for z := range d.Zones {
		w := newNetPath(c.experiment.Seed, uint64(z))
		w.setConditions(DirectionBoth, func(x *Conditions) { *x = d.baseConditions(z) })
		c.zonePaths = append(c.zonePaths, w)
		var seen []string
		for _, target := range addrs {
			f, err := startForwarder("127.0.0.1:0", target, false, func(netip.Addr) *netPath { return w })
			if err != nil {
				return nil, fmt.Errorf("link of zone %d: %w", z, err)
			}
			c.forwarders = append(c.forwarders, f)
			seen = append(seen, f.tcp.Addr().String())
		}
		byZone = append(byZone, seen)
	}
	return byZone, nil
}

// baseConditions returns the conditions of a zone's path without events.
func (d *Day) baseConditions(zone int) Conditions {
	switch {
	case zone%d.Regions != 0:
		return Conditions{Delay: d.RegionDelay}
	case zone != 0:
		return Conditions{Delay: d.ZoneDelay}
	}
	return Conditions{}
}

// sidecarConfig returns the configuration of a sidecar, with a discovery pool for each service.
func sidecarConfig(seed uint64, number, count, zone int, listen string, addrs []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = \"h%04d\"\nseed = \"%x\"\nmemory = \"256 MiB\"\ndescriptors = 4096\ninstance = %d\ninstances = %d\n[listeners.in]\naddress = %q\n",
		number, (seed+1)*0x9e3779b97f4a7c15^uint64(number+1), number, count, listen)
	for i, addr := range addrs {
		name := hollow.PoolName(i)
		fmt.Fprintf(&b, "[pools.%s]\ndiscovery = %q\nzone = \"zone-%d\"\nprefer_own_zone = true\n", name, addr, zone)
		fmt.Fprintf(&b, "[[routes]]\nhost = \"%s.internal\"\npool = %q\n", name, name)
	}
	return b.String()
}

// startSpread is the time over which the starts of sidecars are spread. It equals the LongPoll of
// discovery.LocalAgentTimeouts(0), which the sidecars use: as long as the lists do not change, each
// sidecar starts a new long poll after that time, so the polls of all sidecars are evenly spaced.
const startSpread = 500 * time.Millisecond

// startHollow starts all hollow sidecars.
func (c *fleetRun) startHollow() error {
	jobs := make([][]hollow.SidecarSpec, (c.size.Sidecars+c.experiment.SidecarsPerProcess-1)/c.experiment.SidecarsPerProcess)
	for i, path := range c.configPaths {
		jobs[i/c.experiment.SidecarsPerProcess] = append(jobs[i/c.experiment.SidecarsPerProcess], hollow.SidecarSpec{Number: i, Path: path})
	}
	for k := range jobs {
		h, err := startRoleProcess(c.spawner, c.options.RoleCommand, hollow.RoleSidecars, fmt.Sprintf("sidecars-%d", k), c.dir, roleMaxProcs)
		if err != nil {
			return err
		}
		c.sidecarHosts = append(c.sidecarHosts, h)
	}
	var all sync.WaitGroup
	errs := make([]error, len(jobs))
	for k, h := range c.sidecarHosts {
		all.Go(func() {
			_, errs[k] = h.call(&hollow.Command{Action: "start", Sidecars: jobs[k], IntervalNs: int64(startSpread) / int64(len(jobs[k]))})
		})
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, h := range c.sidecarHosts {
		if _, err := h.call(&hollow.Command{Action: "listed"}); err != nil {
			return err
		}
	}
	return nil
}

// startReal starts one process of the program instead of hollow sidecars.
func (c *fleetRun) startReal(ctx context.Context) error {
	if c.options.Program == "" {
		return errors.New("no program given: want --build NAME=PROGRAM")
	}
	program, err := filepath.Abs(c.options.Program)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.configPaths[0])
	if err != nil {
		return err
	}
	c.realSidecar = &instance{
		info: &InstanceInfo{Name: "real", Dir: c.dir, Config: c.configPaths[0]}, program: program, args: []string{"serve", "--config", c.configPaths[0]},
		config: string(text), spawner: c.spawner, readyTimeout: 20 * time.Second, drainTimeout: time.Second, onCrash: func(line string) { c.options.logf("%s", line) },
	}
	if err := c.realSidecar.start(); err != nil {
		return err
	}
	// The process is ready once it watches every list.
	for end := time.Now().Add(c.realSidecar.readyTimeout); sleep(ctx, 20*time.Millisecond); {
		a, err := c.registry.call(&hollow.Command{Action: "so far"})
		if err != nil {
			return err
		}
		if a.Counts.Subscribers >= c.size.Services {
			return nil
		}
		if time.Now().After(end) || c.realSidecar.process.hasExited() {
			return fmt.Errorf("real sidecar watches %d of %d lists%s", a.Counts.Subscribers, c.size.Services, c.realSidecar.logTail())
		}
	}
	return ctx.Err()
}

// changeEndpoints advances n random endpoints to the next status of their lifecycle.
func (c *fleetRun) changeEndpoints(n int) error {
	var edits []hollow.Edit
	for range n {
		edits = append(edits, hollow.Edit{Service: c.rng.IntN(c.size.Services), Endpoint: c.rng.IntN(c.size.Endpoints)})
	}
	_, err := c.registry.call(&hollow.Command{Action: "edit", Edits: edits})
	return err
}

// countOutOfSync returns the number of sidecars with lists that differ from the registry's.
func (c *fleetRun) countOutOfSync() (n int, err error) {
	a, err := c.registry.call(&hollow.Command{Action: "digest"})
	if err != nil {
		return 0, err
	}
	seen := 0
	for _, h := range c.sidecarHosts {
		b, err := h.call(&hollow.Command{Action: "digests"})
		if err != nil {
			return 0, err
		}
		for _, d := range b.Digests {
			if seen++; d != a.Digest {
				n++
			}
		}
	}
	return n + c.size.Sidecars - seen, nil
}

// awaitSync waits until all sidecars have the registry's lists or the timeout has passed, and
// returns how many sidecars don't have them.
func (c *fleetRun) awaitSync(ctx context.Context, timeout time.Duration) (outOfSync int, err error) {
	for end := time.Now().Add(timeout); ; {
		if outOfSync, err = c.countOutOfSync(); err != nil || outOfSync == 0 || time.Now().After(end) {
			return outOfSync, err
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return 0, fmt.Errorf("interrupted: %w", ctx.Err())
		}
	}
}

// close ends all processes and removes all resources of the run.
func (c *fleetRun) close() {
	for _, w := range c.zonePaths {
		w.close()
	}
	for _, f := range c.forwarders {
		f.close()
	}
	for _, h := range c.sidecarHosts {
		h.close()
	}
	if c.realSidecar != nil {
		c.realSidecar.kill()
	}
	if c.registry != nil {
		c.registry.close()
	}
	if c.spawner != nil {
		c.spawner.close()
	}
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

// usageMeter holds the resource usage at the start of a measurement.
type usageMeter struct {
	run            *fleetRun
	sidecars       []usage
	registry       usage
	machine        machineStats
	startedAt      time.Time
	stop           context.CancelFunc
	timerDelays    chan []time.Duration
	memoryExceeded chan error
}

func (c *fleetRun) pids() (all []int) {
	for _, h := range c.sidecarHosts {
		all = append(all, h.command.Process.Pid)
	}
	if c.realSidecar != nil {
		all = append(all, c.realSidecar.process.cmd.Process.Pid)
	}
	return all
}

// Sampling interval of a measurement, and the limits beyond which it is void or fails.
const (
	timerInterval  = 10 * time.Millisecond
	maxTimerDelay  = 25 * time.Millisecond // 99th percentile
	maxMachineBusy = 0.95                  // share of the machine's CPU time, including other programs
	maxRoleMemory  = 24 << 30              // bytes resident in all role processes; at most half of the machine's memory
)

// startMeter starts a measurement and resets the counters.
func (c *fleetRun) startMeter() (*usageMeter, error) {
	m := &usageMeter{run: c, timerDelays: make(chan []time.Duration, 1), memoryExceeded: make(chan error, 1)}
	if _, err := c.registry.call(&hollow.Command{Action: "count"}); err != nil {
		return nil, err
	}
	if _, err := c.registry.call(&hollow.Command{Action: "changes"}); err != nil {
		return nil, err
	}
	var err error
	if m.machine, err = readMachineStats(); err != nil {
		return nil, err
	}
	if m.registry, err = processUsage(c.registry.command.Process.Pid); err != nil {
		return nil, err
	}
	for _, pid := range c.pids() {
		u, err := processUsage(pid)
		if err != nil {
			return nil, err
		}
		m.sidecars = append(m.sidecars, u)
	}
	m.startedAt = time.Now()
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go m.sampleUntilStopped(ctx)
	return m, nil
}

// sampleUntilStopped measures how late a periodic timer fires, and reports if the role processes use
// too much memory.
func (m *usageMeter) sampleUntilStopped(ctx context.Context) {
	var delays []time.Duration
	maxMemory := min(int64(maxRoleMemory), m.machine.memory/2)
	for n := 1; ; n++ {
		due := time.Now().Add(timerInterval)
		if !sleep(ctx, timerInterval) {
			break
		}
		delays = append(delays, time.Since(due))
		if n%100 != 0 {
			continue
		}
		var all int64
		for _, pid := range append(m.run.pids(), m.run.registry.command.Process.Pid) {
			if u, err := processUsage(pid); err == nil {
				all += u.memory
			}
		}
		if all > maxMemory {
			select {
			case m.memoryExceeded <- fmt.Errorf("role processes use %d MiB, want %d MiB at most", all>>20, maxMemory>>20):
			default:
			}
		}
	}
	m.timerDelays <- delays
}

// finish ends the measurement and returns the usage since its start. The result is void if the
// machine was too busy or the timer was late.
func (m *usageMeter) finish() (*Measured, error) {
	span := time.Since(m.startedAt).Seconds()
	m.stop()
	delays := <-m.timerDelays
	select {
	case err := <-m.memoryExceeded:
		return nil, err
	default:
	}
	res := &Measured{Size: m.run.size, Costs: map[string]float64{}}
	var memory int64
	var cpu time.Duration
	for i, pid := range m.run.pids() {
		u, err := processUsage(pid)
		if err != nil {
			return nil, err
		}
		cpu += u.cpu - m.sidecars[i].cpu
		memory += u.memory
	}
	u, err := processUsage(m.run.registry.command.Process.Pid)
	if err != nil {
		return nil, err
	}
	a, err := m.run.registry.call(&hollow.Command{Action: "count"})
	if err != nil {
		return nil, err
	}
	now, err := readMachineStats()
	if err != nil {
		return nil, err
	}
	counted := a.Counts.Span.Seconds()
	for name, x := range map[string]float64{
		"calls": float64(a.Counts.Calls) / counted, "bytes": float64(a.Counts.BytesIn+a.Counts.BytesOut) / counted, "peak": float64(a.Counts.PeakCalls),
		"sidecar_cpu": cpu.Seconds() / span * 1000, "sidecar_memory": float64(memory) / (1 << 20),
		"registry_cpu": (u.cpu - m.registry.cpu).Seconds() / span * 1000, "registry_memory": float64(u.memory) / (1 << 20),
	} {
		res.Costs[name] = x
	}
	if ticks := now.totalTicks - m.machine.totalTicks; ticks > 0 {
		busy := float64(now.busyTicks-m.machine.busyTicks) / float64(ticks)
		res.Costs["busy"] = 100 * busy
		if busy > maxMachineBusy {
			res.Void = append(res.Void, fmt.Sprintf("the machine was busy for %.0f%% of the time, want %.0f%% at most", 100*busy, 100*maxMachineBusy))
		}
	}
	slices.Sort(delays)
	if n := len(delays); n > 0 {
		if p := delays[n*99/100]; p > maxTimerDelay {
			res.Void = append(res.Void, fmt.Sprintf("the 99th percentile of timer delays was %v, want %v at most", p.Round(time.Millisecond), maxTimerDelay))
		}
	}
	return res, nil
}

// measureSize measures one fleet size with changes at its rate.
func measureSize(ctx context.Context, s *ScaleExperiment, size Size, o *ScaleOptions, real bool) (*Measured, error) {
	c, err := newFleetRun(s, size, nil, o)
	defer c.close()
	if err != nil {
		return nil, err
	}
	start := c.startHollow
	if real {
		start = func() error { return c.startReal(ctx) }
	}
	if err := start(); err != nil {
		return nil, err
	}
	if !sleep(ctx, s.SettleTime) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	at, err := c.registry.call(&hollow.Command{Action: "so far"})
	if err != nil {
		return nil, err
	}
	m, err := c.startMeter()
	if err != nil {
		return nil, err
	}
	// Changes are evenly spaced; the first one comes after half an interval.
	if size.Changes > 0 {
		every := time.Duration(float64(time.Minute) / size.Changes)
		for due := every / 2; due < s.Duration; due += every {
			if !sleep(ctx, time.Until(m.startedAt.Add(due))) {
				break
			}
			if err := c.changeEndpoints(1); err != nil {
				return nil, err
			}
		}
	}
	if !sleep(ctx, time.Until(m.startedAt.Add(s.Duration))) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	res, err := m.finish()
	if err != nil {
		return nil, err
	}
	res.Costs["start_calls"], res.Costs["start_bytes"] = float64(at.Counts.Calls), float64(at.Counts.BytesIn+at.Counts.BytesOut)
	if !real {
		if res.OutOfSync, err = c.awaitSync(ctx, syncTimeout); err != nil {
			return nil, err
		}
	}
	return res, c.recordPropagation(res)
}

// syncTimeout is the time in which sidecars must have the last change.
const syncTimeout = 10 * time.Second

// recordPropagation stores how long the changes took to be applied.
func (c *fleetRun) recordPropagation(res *Measured) error {
	a, err := c.registry.call(&hollow.Command{Action: "changes"})
	if err != nil {
		return err
	}
	res.recordChangeTimes(a.Changes)
	if c.day != nil {
		c.day.recordPerEvent(res, a.Changes, c.dayStart)
	}
	res.withoutVoidCosts()
	return nil
}

// recordPerEvent stores, for each disruptive event, the propagation times of the changes made
// while it lasted.
func (d *Day) recordPerEvent(m *Measured, changes []fakeserver.Change, dayStart time.Time) {
	for i, e := range d.Events {
		if e.Action == "heal" || e.Action == "start" {
			continue
		}
		to := 24.0
		for _, end := range d.Events {
			if end.Location == e.Location && end.Hour > e.Hour && (end.Action == "heal" || end.Action == "start") {
				to = min(to, end.Hour)
			}
		}
		part := Measured{Costs: map[string]float64{}}
		var in []fakeserver.Change
		for k := range changes {
			if hour := 24 * changes[k].At.Sub(dayStart).Seconds() / d.Duration.Seconds(); hour >= d.Events[i].Hour && hour < to {
				in = append(in, changes[k])
			}
		}
		part.recordChangeTimes(in)
		for name, x := range part.Costs {
			m.Costs[e.Action+"-"+e.Location+"_"+name] = x
		}
	}
}

// recordChangeTimes stores how long changes took to reach 50, 99 and 100 per cent of the
// subscribers: the median over all changes, and the maximum.
func (m *Measured) recordChangeTimes(changes []fakeserver.Change) {
	shares := map[string]float64{"force50": 0.5, "force99": 0.99, "force100": 1}
	times := map[string][]float64{}
	for i := range changes {
		ch := &changes[i]
		m.Changes++
		m.Unreached += ch.Pending
		slices.Sort(ch.Delays)
		n := len(ch.Delays) + ch.Pending
		for name, share := range shares {
			if k := int(math.Ceil(share*float64(n))) - 1; k >= 0 && k < len(ch.Delays) {
				times[name] = append(times[name], ch.Delays[k].Seconds()*1000)
			}
		}
	}
	for name, all := range times {
		slices.Sort(all)
		m.Costs[name], m.Costs[name+"_slowest"] = median(all), all[len(all)-1]
	}
}

// runSweep measures all sizes of a sweep. It predicts the costs of the largest size before
// measuring it.
func runSweep(ctx context.Context, s *ScaleExperiment, w Sweep, o *ScaleOptions) (*SweepResult, error) {
	res := &SweepResult{Dimension: w.Dimension}
	for i, n := range w.Sizes {
		if i == len(w.Sizes)-1 {
			res.predict(n)
		}
		size := s.Base
		dimensions[w.Dimension](&size, n)
		measure := func() (*Measured, error) { return measureSize(ctx, s, size, o, false) }
		if w.Dimension == "depth" {
			measure = func() (*Measured, error) {
				m, err := runChain(ctx, s, n, o)
				if err != nil {
					return nil, err
				}
				return m.withoutVoidCosts(), nil
			}
		}
		m, err := o.repeatIfVoid(measure)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", n, err)
		}
		m.At = n
		o.logf("%s, %d: %s", w.Dimension, n, m)
		res.Sizes = append(res.Sizes, *m)
	}
	res.fitLines()
	return res, nil
}

// measureReload measures the cost of a reload in which one endpoint of one pool changes. The
// endpoints are in the configuration file.
func measureReload(ctx context.Context, s *ScaleExperiment, size Size, o *ScaleOptions) (*Measured, error) {
	c, err := newFleetRun(s, size, nil, o)
	defer c.close()
	if err != nil {
		return nil, err
	}
	write := func(turn int) error {
		var b strings.Builder
		b.WriteString("[process]\nname = \"reload\"\nmemory = \"256 MiB\"\ndescriptors = 4096\n[listeners.in]\naddress = \"127.0.0.1:0\"\n")
		for p := range size.Services {
			fmt.Fprintf(&b, "[pools.%s]\nnodes = [", hollow.PoolName(p))
			for e := range size.Endpoints {
				port := 9
				if p == 0 && e == 0 {
					port += turn
				}
				fmt.Fprintf(&b, "\"127.%d.%d.%d:%d\",", 200+p/250, 1+p%250, 1+e, port)
			}
			fmt.Fprintf(&b, "]\n[[routes]]\nhost = \"%s.internal\"\npool = %q\n", hollow.PoolName(p), hollow.PoolName(p))
		}
		return os.WriteFile(c.configPaths[0], []byte(b.String()), 0o600)
	}
	if err := write(0); err != nil {
		return nil, err
	}
	if err := c.startHollow(); err != nil {
		return nil, err
	}
	if !sleep(ctx, s.SettleTime) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	m, err := c.startMeter()
	if err != nil {
		return nil, err
	}
	turns, took := 0, time.Duration(0)
	for turns = 1; turns <= 20 && time.Since(m.startedAt) < s.Duration; turns++ {
		if err := write(turns); err != nil {
			return nil, err
		}
		a, err := c.sidecarHosts[0].call(&hollow.Command{Action: "reload", Sidecars: []hollow.SidecarSpec{{Number: 0}}})
		if err != nil {
			return nil, err
		}
		took += time.Duration(a.DurationNs)
	}
	span := time.Since(m.startedAt).Seconds()
	res, err := m.finish()
	if err != nil {
		return nil, err
	}
	res.Costs = map[string]float64{
		"reload_ms": took.Seconds() * 1000 / float64(turns-1), "reload_cpu_ms": res.Costs["sidecar_cpu"] * span / float64(turns-1),
		"sidecar_memory": res.Costs["sidecar_memory"],
	}
	return res.withoutVoidCosts(), nil
}

// runDay runs a simulated day and waits until all sidecars are in sync.
func runDay(ctx context.Context, s *ScaleExperiment, o *ScaleOptions) (*Measured, error) {
	d := s.Day
	c, err := newFleetRun(s, d.Fleet, d, o)
	defer c.close()
	if err != nil {
		return nil, err
	}
	if err := c.startHollow(); err != nil {
		return nil, err
	}
	if !sleep(ctx, s.SettleTime) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	m, err := c.startMeter()
	if err != nil {
		return nil, err
	}
	c.day, c.dayStart = d, m.startedAt
	queues := newHostQueues(c)
	err = c.runDayActions(ctx, d, m.startedAt, queues)
	if err == nil && !sleep(ctx, time.Until(m.startedAt.Add(d.Duration))) {
		err = fmt.Errorf("interrupted: %w", ctx.Err())
	}
	// Restore all links and sidecars, so that the final lists can be compared.
	for z, w := range c.zonePaths {
		w.setConditions(DirectionBoth, func(x *Conditions) { *x = d.baseConditions(z) })
	}
	var stopped []int
	for i := range c.stopped {
		stopped = append(stopped, i)
	}
	slices.Sort(stopped)
	c.controlSidecars(queues, "start", stopped)
	if failed := queues.wait(); err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	res, err := m.finish()
	if err != nil {
		return nil, err
	}
	if res.OutOfSync, err = c.awaitSync(ctx, syncTimeout); err != nil {
		return nil, err
	}
	return res, c.recordPropagation(res)
}

// runDayActions performs each action of a day at its time.
func (c *fleetRun) runDayActions(ctx context.Context, d *Day, begin time.Time, queues *hostQueues) error {
	for _, x := range d.actionsInOrder(c.experiment.Seed) {
		at := time.Duration(x.hour / 24 * float64(d.Duration))
		if !sleep(ctx, time.Until(begin.Add(at))) {
			return fmt.Errorf("interrupted: %w", ctx.Err())
		}
		switch x.action {
		case "edit":
			if err := c.changeEndpoints(x.editCount); err != nil {
				return err
			}
		case "stop", "start", "restart":
			if x.action != "restart" {
				c.options.logf("hour %.1f: %s of %s, %d sidecars", x.hour, x.action, x.location, len(x.sidecars))
			}
			c.controlSidecars(queues, x.action, x.sidecars)
		default:
			c.options.logf("hour %.1f: %s of %s", x.hour, x.action, x.location)
			for z, w := range c.zonePaths {
				if x.location == fmt.Sprintf("zone-%d", z) || x.location == fmt.Sprintf("region-%d", z%d.Regions) {
					w.setConditions(DirectionBoth, func(y *Conditions) {
						switch x.action {
						case "cut":
							y.Cut = true
						case "heal":
							*y = d.baseConditions(z)
						case "weather":
							*y = x.conditions
						}
					})
				}
			}
		}
	}
	return nil
}

// controlSidecars stops, starts or restarts sidecars. It skips those already in that state.
func (c *fleetRun) controlSidecars(queues *hostQueues, command string, sidecars []int) {
	byHost := make([][]hollow.SidecarSpec, len(c.sidecarHosts))
	for _, i := range sidecars {
		if c.stopped[i] != (command == "start") {
			continue
		}
		if delete(c.stopped, i); command == "stop" {
			c.stopped[i] = true
		}
		byHost[i/c.experiment.SidecarsPerProcess] = append(byHost[i/c.experiment.SidecarsPerProcess], hollow.SidecarSpec{Number: i, Path: c.configPaths[i]})
	}
	for k, jobs := range byHost {
		if len(jobs) > 0 {
			queues.queues[k] <- &hollow.Command{Action: command, Sidecars: jobs}
		}
	}
}

// hostQueues sends commands to the processes that host sidecars. Each process handles one
// command at a time, without delaying the others.
type hostQueues struct {
	queues  []chan *hollow.Command
	running sync.WaitGroup
	mu      sync.Mutex
	err     error
}

func newHostQueues(c *fleetRun) *hostQueues {
	w := &hostQueues{}
	for _, h := range c.sidecarHosts {
		q := make(chan *hollow.Command, 4096)
		w.queues = append(w.queues, q)
		w.running.Go(func() {
			for x := range q {
				if _, err := h.call(x); err != nil {
					w.mu.Lock()
					if w.err == nil {
						w.err = err
					}
					w.mu.Unlock()
				}
			}
		})
	}
	return w
}

// wait waits until all commands are done, and returns the first error.
func (w *hostQueues) wait() error {
	for _, q := range w.queues {
		close(q)
	}
	w.running.Wait()
	return w.err
}
