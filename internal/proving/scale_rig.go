package proving

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

	"gorselink/internal/hollow"
	"gorselink/internal/standin"
)

// ScaleOptions are what a scale run takes from its caller.
type ScaleOptions struct {
	Self    []string // the command that plays a role, which is put behind it
	Program string   // the program, for real sidecars
	Tell    func(line string)

	repeats int // of sizes that the machine spoilt
}

// mostRepeats bounds how often sizes that the machine spoilt are measured once more, over
// the whole run, which is to end in time.
const mostRepeats = 6

// again measures, and once more where the machine was the bottleneck. What was spoilt is
// told; its figures are gone.
func (o *ScaleOptions) again(measure func() (*Measured, error)) (*Measured, error) {
	for {
		m, err := measure()
		if err != nil || len(m.Void) == 0 || o.repeats >= mostRepeats {
			return m, err
		}
		o.repeats++
		o.tell("once more: %s", m)
	}
}

func (o *ScaleOptions) tell(format string, args ...any) {
	if o.Tell != nil {
		o.Tell(fmt.Sprintf(format, args...))
	}
}

// PlayScale plays a scale run. Every process, socket and file that it made is gone when
// it returns; where ctx ends it breaks off with an error.
func PlayScale(ctx context.Context, s *Scale, o ScaleOptions) (*ScaleResult, error) {
	res := newScaleResult(s, time.Now())
	for _, w := range s.Sweeps {
		sr, err := playSweep(ctx, s, w, &o)
		if err != nil {
			return nil, fmt.Errorf("sweep of %s: %w", w.Of, err)
		}
		res.Sweeps = append(res.Sweeps, *sr)
	}
	for _, size := range s.Reals {
		m, err := o.again(func() (*Measured, error) { return measureSize(ctx, s, size, &o, true) })
		if err != nil {
			return nil, fmt.Errorf("a real sidecar with %d services: %w", size.Services, err)
		}
		o.tell("real, %d services: %s", size.Services, m)
		res.Reals = append(res.Reals, *m)
	}
	for _, size := range s.Reloads {
		m, err := o.again(func() (*Measured, error) { return measureReload(ctx, s, size, &o) })
		if err != nil {
			return nil, fmt.Errorf("reload of %d services: %w", size.Services, err)
		}
		o.tell("reload, %d services of %d endpoints: %s", size.Services, size.Endpoints, m)
		res.Reloads = append(res.Reloads, *m)
	}
	if s.Beside != nil {
		m, err := playBeside(ctx, s, &o)
		if err != nil {
			return nil, fmt.Errorf("beside load: %w", err)
		}
		o.tell("beside load: %s", m)
		res.Beside = m
	}
	if s.Day != nil {
		m, err := playDay(ctx, s, &o)
		if err != nil {
			return nil, fmt.Errorf("day: %w", err)
		}
		o.tell("day: %s", m)
		res.Day = m
	}
	return res, nil
}

// scene is a fleet at work.
type scene struct {
	s        *Scale
	o        *ScaleOptions
	size     Size
	dir      string
	nurse    *nursery
	registry *role
	hosts    []*role // of sidecars
	real     *instance
	fwd      []*forwarder
	wires    []*wire // by zone; none without a day
	rng      *rand.Rand
	paths    []string // of the sidecars' files
	down     map[int]bool
	day      *Day      // nil without one
	dawn     time.Time // when it began
}

// newScene makes a registry and all sidecars, which have been told a list when it
// returns. end must be called, also after an error.
func newScene(s *Scale, size Size, day *Day, o *ScaleOptions) (c *scene, err error) {
	c = &scene{s: s, o: o, size: size, rng: rand.New(rand.NewPCG(s.Seed, uint64(size.Sidecars)<<32|uint64(size.Services)<<16|uint64(size.Endpoints))), down: map[int]bool{}}
	if n := 1 + (size.Sidecars+s.Each-1)/s.Each; n > mostProcesses {
		return c, fmt.Errorf("%d processes, want %d at most: more sidecars in each", n, mostProcesses)
	}
	if c.dir, err = takeDir(); err != nil {
		return c, err
	}
	c.nurse = newNursery()
	if c.registry, err = startRole(c.nurse, o.Self, hollow.RoleRegistry, "registry", c.dir, roleProcs); err != nil {
		return c, err
	}
	a, err := c.registry.ask(&hollow.Command{Do: "serve", Host: "127.0.0.1", Services: size.Services, Endpoints: size.Endpoints})
	if err != nil {
		return c, err
	}
	at := func(zone int) []string { return a.Addrs }
	if day != nil {
		byZone, err := c.link(day, a.Addrs)
		if err != nil {
			return c, err
		}
		at = func(zone int) []string { return byZone[zone] }
	}
	for i := range size.Sidecars {
		zone := 0
		if day != nil {
			zone = day.zone(i)
		}
		path := filepath.Join(c.dir, fmt.Sprintf("sidecar-%04d.toml", i))
		if err := os.WriteFile(path, []byte(sidecarFile(s.Seed, i, size.Sidecars, zone, "127.0.0.1:0", at(zone))), 0o600); err != nil {
			return c, err
		}
		c.paths = append(c.paths, path)
	}
	return c, nil
}

// roleProcs bounds the threads of a role that run at once, so that the roles of a large
// fleet take turns on the machine as on one of a few cores.
const roleProcs = 2

// link puts a wire between each zone and the registry.
func (c *scene) link(d *Day, addrs []string) (byZone [][]string, err error) {
	for z := range d.Zones {
		w := newWire(c.s.Seed, uint64(z))
		w.set(Both, func(x *Weather) { *x = d.calm(z) })
		c.wires = append(c.wires, w)
		var seen []string
		for _, target := range addrs {
			f, err := forward("127.0.0.1:0", target, false, func(netip.Addr) *wire { return w })
			if err != nil {
				return nil, fmt.Errorf("link of zone %d: %w", z, err)
			}
			c.fwd = append(c.fwd, f)
			seen = append(seen, f.tcp.Addr().String())
		}
		byZone = append(byZone, seen)
	}
	return byZone, nil
}

// calm is the way of a zone on a day without trouble.
func (d *Day) calm(zone int) Weather {
	switch {
	case zone%d.Regions != 0:
		return Weather{Delay: d.Region}
	case zone != 0:
		return Weather{Delay: d.Zone}
	}
	return Weather{}
}

// sidecarFile is the configuration of a sidecar: its own seed and place, and a discovery
// for each service.
func sidecarFile(seed uint64, number, of, zone int, listen string, addrs []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = \"h%04d\"\nseed = \"%x\"\nmemory = \"256 MiB\"\ndescriptors = 4096\ninstance = %d\ninstances = %d\n[listeners.in]\naddress = %q\n",
		number, (seed+1)*0x9e3779b97f4a7c15^uint64(number+1), number, of, listen)
	for i, addr := range addrs {
		name := hollow.PoolName(i)
		fmt.Fprintf(&b, "[pools.%s]\ndiscovery = %q\nzone = \"zone-%d\"\nprefer_own_zone = true\n", name, addr, zone)
		fmt.Fprintf(&b, "[[routes]]\nhost = \"%s.internal\"\npool = %q\n", name, name)
	}
	return b.String()
}

// startSpread is what the starts of sidecars are spread over: the wait of a watch. Those
// of a fleet have begun at any time, and their calls come evenly; started all at once they
// would go on asking in step.
const startSpread = 500 * time.Millisecond

// startHollow starts all sidecars.
func (c *scene) startHollow() error {
	jobs := make([][]hollow.Job, (c.size.Sidecars+c.s.Each-1)/c.s.Each)
	for i, path := range c.paths {
		jobs[i/c.s.Each] = append(jobs[i/c.s.Each], hollow.Job{Number: i, Path: path})
	}
	for k := range jobs {
		h, err := startRole(c.nurse, c.o.Self, hollow.RoleSidecars, fmt.Sprintf("sidecars-%d", k), c.dir, roleProcs)
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
	}
	var all sync.WaitGroup
	errs := make([]error, len(jobs))
	for k, h := range c.hosts {
		all.Go(func() {
			_, errs[k] = h.ask(&hollow.Command{Do: "start", Sidecars: jobs[k], ApartNs: int64(startSpread) / int64(len(jobs[k]))})
		})
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, h := range c.hosts {
		if _, err := h.ask(&hollow.Command{Do: "listed"}); err != nil {
			return err
		}
	}
	return nil
}

// startReal starts one process of the program in place of all hollow ones.
func (c *scene) startReal(ctx context.Context) error {
	if c.o.Program == "" {
		return errors.New("no program: --build NAME=PROGRAM")
	}
	program, err := filepath.Abs(c.o.Program)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.paths[0])
	if err != nil {
		return err
	}
	c.real = &instance{
		place: &Place{Name: "real", Dir: c.dir, Config: c.paths[0]}, program: program, args: []string{"serve", "--config", c.paths[0]},
		config: string(text), nursery: c.nurse, within: 20 * time.Second, drain: time.Second, crashed: func(line string) { c.o.tell("%s", line) },
	}
	if err := c.real.start(); err != nil {
		return err
	}
	// It is there once every list has a subscriber.
	for end := time.Now().Add(c.real.within); pause(ctx, 20*time.Millisecond); {
		a, err := c.registry.ask(&hollow.Command{Do: "so far"})
		if err != nil {
			return err
		}
		if a.Counts.Sockets >= c.size.Services {
			return nil
		}
		if time.Now().After(end) || c.real.life.gone() {
			return fmt.Errorf("asks for %d of %d lists%s", a.Counts.Sockets, c.size.Services, c.real.lastWords())
		}
	}
	return ctx.Err()
}

// edit changes some endpoints, drawn.
func (c *scene) edit(n int) error {
	var edits []hollow.Edit
	for range n {
		edits = append(edits, hollow.Edit{Service: c.rng.IntN(c.size.Services), Endpoint: c.rng.IntN(c.size.Endpoints)})
	}
	_, err := c.registry.ask(&hollow.Command{Do: "edit", Edits: edits})
	return err
}

// apart is how many sidecars do not have the registry's lists.
func (c *scene) apart() (n int, err error) {
	a, err := c.registry.ask(&hollow.Command{Do: "digest"})
	if err != nil {
		return 0, err
	}
	seen := 0
	for _, h := range c.hosts {
		b, err := h.ask(&hollow.Command{Do: "digests"})
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

// settled waits until all have the registry's lists, and tells how many do not.
func (c *scene) settled(ctx context.Context, within time.Duration) (apart int, err error) {
	for end := time.Now().Add(within); ; {
		if apart, err = c.apart(); err != nil || apart == 0 || time.Now().After(end) {
			return apart, err
		}
		if !pause(ctx, 100*time.Millisecond) {
			return 0, fmt.Errorf("broken off: %w", ctx.Err())
		}
	}
}

// end leaves nothing behind.
func (c *scene) end() {
	for _, w := range c.wires {
		w.end()
	}
	for _, f := range c.fwd {
		f.close()
	}
	for _, h := range c.hosts {
		h.end()
	}
	if c.real != nil {
		c.real.kill()
	}
	if c.registry != nil {
		c.registry.end()
	}
	if c.nurse != nil {
		c.nurse.close()
	}
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

// meter is what the roles and the machine had used when a measurement began.
type meter struct {
	c        *scene
	sidecars []used
	registry used
	machine  machine
	begin    time.Time
	stop     context.CancelFunc
	late     chan []time.Duration
	over     chan error
}

func (c *scene) pids() (all []int) {
	for _, h := range c.hosts {
		all = append(all, h.cmd.Process.Pid)
	}
	if c.real != nil {
		all = append(all, c.real.life.cmd.Process.Pid)
	}
	return all
}

// Who measures is late itself where the machine is the bottleneck.
const (
	lateStep  = 10 * time.Millisecond
	mostLate  = 25 * time.Millisecond // of 99 in 100 of its own timers
	mostBusy  = 0.95                  // of the whole machine, whoever uses it
	mostBytes = 24 << 30              // of all roles together; half of the machine where that is less
)

// begin begins to measure: what was counted before is forgotten.
func (c *scene) begin() (*meter, error) {
	m := &meter{c: c, late: make(chan []time.Duration, 1), over: make(chan error, 1)}
	if _, err := c.registry.ask(&hollow.Command{Do: "count"}); err != nil {
		return nil, err
	}
	if _, err := c.registry.ask(&hollow.Command{Do: "changes"}); err != nil {
		return nil, err
	}
	var err error
	if m.machine, err = theMachine(); err != nil {
		return nil, err
	}
	if m.registry, err = usedBy(c.registry.cmd.Process.Pid); err != nil {
		return nil, err
	}
	for _, pid := range c.pids() {
		u, err := usedBy(pid)
		if err != nil {
			return nil, err
		}
		m.sidecars = append(m.sidecars, u)
	}
	m.begin = time.Now()
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go m.watch(ctx)
	return m, nil
}

// watch notes how late its own timer is, and whether the roles have more memory than they
// may.
func (m *meter) watch(ctx context.Context) {
	var late []time.Duration
	most := min(int64(mostBytes), m.machine.memory/2)
	for n := 1; ; n++ {
		due := time.Now().Add(lateStep)
		if !pause(ctx, lateStep) {
			break
		}
		late = append(late, time.Since(due))
		if n%100 != 0 {
			continue
		}
		var all int64
		for _, pid := range append(m.c.pids(), m.c.registry.cmd.Process.Pid) {
			if u, err := usedBy(pid); err == nil {
				all += u.memory
			}
		}
		if all > most {
			select {
			case m.over <- fmt.Errorf("%d MiB resident in all roles, want %d at most", all>>20, most>>20):
			default:
			}
		}
	}
	m.late <- late
}

// end tells what has been used since begin.
func (m *meter) end() (*Measured, error) {
	span := time.Since(m.begin).Seconds()
	m.stop()
	late := <-m.late
	select {
	case err := <-m.over:
		return nil, err
	default:
	}
	res := &Measured{Size: m.c.size, Costs: map[string]float64{}}
	var memory int64
	var cpu time.Duration
	for i, pid := range m.c.pids() {
		u, err := usedBy(pid)
		if err != nil {
			return nil, err
		}
		cpu += u.cpu - m.sidecars[i].cpu
		memory += u.memory
	}
	u, err := usedBy(m.c.registry.cmd.Process.Pid)
	if err != nil {
		return nil, err
	}
	a, err := m.c.registry.ask(&hollow.Command{Do: "count"})
	if err != nil {
		return nil, err
	}
	now, err := theMachine()
	if err != nil {
		return nil, err
	}
	counted := a.Counts.Span.Seconds()
	for name, x := range map[string]float64{
		"calls": float64(a.Counts.Calls) / counted, "bytes": float64(a.Counts.In+a.Counts.Out) / counted, "peak": float64(a.Counts.Peak),
		"sidecar_cpu": cpu.Seconds() / span * 1000, "sidecar_memory": float64(memory) / (1 << 20),
		"registry_cpu": (u.cpu - m.registry.cpu).Seconds() / span * 1000, "registry_memory": float64(u.memory) / (1 << 20),
	} {
		res.Costs[name] = x
	}
	if all := now.all - m.machine.all; all > 0 {
		busy := float64(now.busy-m.machine.busy) / float64(all)
		res.Costs["busy"] = 100 * busy
		if busy > mostBusy {
			res.Void = append(res.Void, fmt.Sprintf("the machine was busy for %.0f%% of the time, want %.0f%% at most", 100*busy, 100*mostBusy))
		}
	}
	slices.Sort(late)
	if n := len(late); n > 0 {
		if p := late[n*99/100]; p > mostLate {
			res.Void = append(res.Void, fmt.Sprintf("a timer of the rig was %v late in one of a hundred cases, want %v at most", p.Round(time.Millisecond), mostLate))
		}
	}
	return res, nil
}

// measureSize measures one size: a registry, all sidecars, changes at their pace.
func measureSize(ctx context.Context, s *Scale, size Size, o *ScaleOptions, real bool) (*Measured, error) {
	c, err := newScene(s, size, nil, o)
	defer c.end()
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
	if !pause(ctx, s.Settle) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	at, err := c.registry.ask(&hollow.Command{Do: "so far"})
	if err != nil {
		return nil, err
	}
	m, err := c.begin()
	if err != nil {
		return nil, err
	}
	// Changes are evenly apart, the first one after half of their distance.
	if size.Changes > 0 {
		every := time.Duration(float64(time.Minute) / size.Changes)
		for due := every / 2; due < s.Span; due += every {
			if !pause(ctx, time.Until(m.begin.Add(due))) {
				break
			}
			if err := c.edit(1); err != nil {
				return nil, err
			}
		}
	}
	if !pause(ctx, time.Until(m.begin.Add(s.Span))) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	res, err := m.end()
	if err != nil {
		return nil, err
	}
	res.Costs["start_calls"], res.Costs["start_bytes"] = float64(at.Counts.Calls), float64(at.Counts.In+at.Counts.Out)
	if !real {
		if res.Apart, err = c.settled(ctx, settledWithin); err != nil {
			return nil, err
		}
	}
	return res, c.inForce(res)
}

// settledWithin is how long after the last change all must have it.
const settledWithin = 10 * time.Second

// inForce notes how long the changes took to be in force.
func (c *scene) inForce(res *Measured) error {
	a, err := c.registry.ask(&hollow.Command{Do: "changes"})
	if err != nil {
		return err
	}
	res.force(a.Changes)
	if c.day != nil {
		c.day.byTrouble(res, a.Changes, c.dawn)
	}
	res.voided()
	return nil
}

// byTrouble books for each trouble of the file how long the slowest change took that was
// made in it: which of them a slow one is to be put down to, and whose recovery it was.
func (d *Day) byTrouble(m *Measured, changes []standin.Change, dawn time.Time) {
	for i, e := range d.Events {
		if e.Do == "heal" || e.Do == "start" {
			continue
		}
		to := 24.0
		for _, over := range d.Events {
			if over.Place == e.Place && over.Hour > e.Hour && (over.Do == "heal" || over.Do == "start") {
				to = min(to, over.Hour)
			}
		}
		part := Measured{Costs: map[string]float64{}}
		var in []standin.Change
		for k := range changes {
			if hour := 24 * changes[k].At.Sub(dawn).Seconds() / d.Span.Seconds(); hour >= d.Events[i].Hour && hour < to {
				in = append(in, changes[k])
			}
		}
		part.force(in)
		for name, x := range part.Costs {
			m.Costs[e.Do+"-"+e.Place+"_"+name] = x
		}
	}
}

// force books how long changes took to be in force at 50, 99 and 100 of 100 subscribers:
// the median over all changes, and the slowest one.
func (m *Measured) force(changes []standin.Change) {
	shares := map[string]float64{"force50": 0.5, "force99": 0.99, "force100": 1}
	times := map[string][]float64{}
	for i := range changes {
		ch := &changes[i]
		m.Changes++
		m.Unreached += ch.Waiting
		slices.Sort(ch.Took)
		n := len(ch.Took) + ch.Waiting
		for name, share := range shares {
			if k := int(math.Ceil(share*float64(n))) - 1; k >= 0 && k < len(ch.Took) {
				times[name] = append(times[name], ch.Took[k].Seconds()*1000)
			}
		}
	}
	for name, all := range times {
		slices.Sort(all)
		m.Costs[name], m.Costs[name+"_slowest"] = median(all), all[len(all)-1]
	}
}

func playSweep(ctx context.Context, s *Scale, w Sweep, o *ScaleOptions) (*SweepResult, error) {
	res := &SweepResult{Of: w.Of}
	for i, n := range w.Sizes {
		if i == len(w.Sizes)-1 {
			res.predict(n) // before it is run
		}
		size := s.Base
		dimensions[w.Of](&size, n)
		measure := func() (*Measured, error) { return measureSize(ctx, s, size, o, false) }
		if w.Of == "depth" {
			measure = func() (*Measured, error) {
				m, err := playChain(ctx, s, n, o)
				if err != nil {
					return nil, err
				}
				return m.voided(), nil
			}
		}
		m, err := o.again(measure)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", n, err)
		}
		m.At = n
		o.tell("%s, %d: %s", w.Of, n, m)
		res.Sizes = append(res.Sizes, *m)
	}
	res.conclude()
	return res, nil
}

// measureReload measures what it costs to apply a configuration of which one endpoint of
// one pool has changed. Lists are in the file, as this is the way that a configuration has
// today.
func measureReload(ctx context.Context, s *Scale, size Size, o *ScaleOptions) (*Measured, error) {
	c, err := newScene(s, size, nil, o)
	defer c.end()
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
		return os.WriteFile(c.paths[0], []byte(b.String()), 0o600)
	}
	if err := write(0); err != nil {
		return nil, err
	}
	if err := c.startHollow(); err != nil {
		return nil, err
	}
	if !pause(ctx, s.Settle) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	m, err := c.begin()
	if err != nil {
		return nil, err
	}
	turns, took := 0, time.Duration(0)
	for turns = 1; turns <= 20 && time.Since(m.begin) < s.Span; turns++ {
		if err := write(turns); err != nil {
			return nil, err
		}
		a, err := c.hosts[0].ask(&hollow.Command{Do: "reload", Sidecars: []hollow.Job{{Number: 0}}})
		if err != nil {
			return nil, err
		}
		took += time.Duration(a.TookNs)
	}
	span := time.Since(m.begin).Seconds()
	res, err := m.end()
	if err != nil {
		return nil, err
	}
	res.Costs = map[string]float64{
		"reload_ms": took.Seconds() * 1000 / float64(turns-1), "reload_cpu_ms": res.Costs["sidecar_cpu"] * span / float64(turns-1),
		"sidecar_memory": res.Costs["sidecar_memory"],
	}
	return res.voided(), nil
}

// playDay plays a day, and waits until all is as it should be after it.
func playDay(ctx context.Context, s *Scale, o *ScaleOptions) (*Measured, error) {
	d := s.Day
	c, err := newScene(s, d.Fleet, d, o)
	defer c.end()
	if err != nil {
		return nil, err
	}
	if err := c.startHollow(); err != nil {
		return nil, err
	}
	if !pause(ctx, s.Settle) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	m, err := c.begin()
	if err != nil {
		return nil, err
	}
	c.day, c.dawn = d, m.begin
	work := newWorkers(c)
	err = c.live(ctx, d, m.begin, work)
	if err == nil && !pause(ctx, time.Until(m.begin.Add(d.Span))) {
		err = fmt.Errorf("broken off: %w", ctx.Err())
	}
	// What the file leaves broken or away comes back, so that the end can be judged.
	for z, w := range c.wires {
		w.set(Both, func(x *Weather) { *x = d.calm(z) })
	}
	var away []int
	for i := range c.down {
		away = append(away, i)
	}
	slices.Sort(away)
	c.turn(work, "start", away)
	if failed := work.wait(); err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	res, err := m.end()
	if err != nil {
		return nil, err
	}
	if res.Apart, err = c.settled(ctx, settledWithin); err != nil {
		return nil, err
	}
	return res, c.inForce(res)
}

// live does what happens in a day, each at its time.
func (c *scene) live(ctx context.Context, d *Day, begin time.Time, work *workers) error {
	for _, x := range d.deeds(c.s.Seed) {
		at := time.Duration(x.hour / 24 * float64(d.Span))
		if !pause(ctx, time.Until(begin.Add(at))) {
			return fmt.Errorf("broken off: %w", ctx.Err())
		}
		switch x.do {
		case "edit":
			if err := c.edit(x.count); err != nil {
				return err
			}
		case "stop", "start", "restart":
			if x.do != "restart" {
				c.o.tell("hour %.1f: %s of %s, %d sidecars", x.hour, x.do, x.place, len(x.sidecars))
			}
			c.turn(work, x.do, x.sidecars)
		default:
			c.o.tell("hour %.1f: %s of %s", x.hour, x.do, x.place)
			for z, w := range c.wires {
				if x.place == fmt.Sprintf("zone-%d", z) || x.place == fmt.Sprintf("region-%d", z%d.Regions) {
					w.set(Both, func(y *Weather) {
						switch x.do {
						case "cut":
							y.Cut = true
						case "heal":
							*y = d.calm(z)
						case "weather":
							*y = x.to
						}
					})
				}
			}
		}
	}
	return nil
}

// turn stops, starts or restarts those sidecars for which that is something.
func (c *scene) turn(work *workers, do string, sidecars []int) {
	byHost := make([][]hollow.Job, len(c.hosts))
	for _, i := range sidecars {
		if c.down[i] != (do == "start") {
			continue
		}
		if delete(c.down, i); do == "stop" {
			c.down[i] = true
		}
		byHost[i/c.s.Each] = append(byHost[i/c.s.Each], hollow.Job{Number: i, Path: c.paths[i]})
	}
	for k, jobs := range byHost {
		if len(jobs) > 0 {
			work.queues[k] <- &hollow.Command{Do: do, Sidecars: jobs}
		}
	}
}

// workers ask the hosts of sidecars, each for one thing after the other and none holding
// up the rest of the day.
type workers struct {
	queues []chan *hollow.Command
	all    sync.WaitGroup
	mu     sync.Mutex
	err    error
}

func newWorkers(c *scene) *workers {
	w := &workers{}
	for _, h := range c.hosts {
		q := make(chan *hollow.Command, 4096)
		w.queues = append(w.queues, q)
		w.all.Go(func() {
			for x := range q {
				if _, err := h.ask(x); err != nil {
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

// wait waits until all that was asked for is done, and tells what first went wrong.
func (w *workers) wait() error {
	for _, q := range w.queues {
		close(q)
	}
	w.all.Wait()
	return w.err
}
