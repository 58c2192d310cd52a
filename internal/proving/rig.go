package proving

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/load"
	"gorselink/internal/standin"
	"gorselink/traffic"
)

// Options are what a play takes from its caller.
type Options struct {
	Program string            // in place of the experiment's; "" for that one
	Turn    uint64            // plays of one experiment with different turns draw differently
	Tell    func(line string) // called with what happens; may be nil
	OnReady func(pids []int)  // called once all instances are ready; may be nil
}

// Play plays an experiment once. Every process, socket and file that it made is gone
// when it returns; where ctx ends it breaks off with an error.
func Run(ctx context.Context, e *Experiment, o Options) (*Record, error) {
	r := &rig{e: e, o: o, seed: e.Seed + o.Turn*0x9e3779b97f4a7c15, wires: map[pair]*wire{}, off: map[int]bool{}}
	r.record = newRecord(e, r.seed)
	defer r.end()
	if err := r.build(); err != nil {
		return nil, err
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// pair is a way between two parties.
type pair struct {
	fromKind Kind
	from     int
	toKind   Kind
	to       int
}

type rig struct {
	e      *Experiment
	o      Options
	seed   uint64
	dir    string
	block  int
	lock   net.Listener
	nurse  *nursery
	nodes  []*standin.Node
	procs  []*instance
	wires  map[pair]*wire
	linked map[string][]*wire // by link
	fronts []string           // where callers reach each instance
	via    []map[int]string   // by instance, by node: where it reaches it
	fwd    []*forwarder
	client *http.Client
	record *Record

	mu  sync.Mutex // guards what follows, and the files of nodes
	off map[int]bool
}

func (r *rig) tell(format string, args ...any) {
	if r.o.Tell != nil {
		r.o.Tell(fmt.Sprintf(format, args...))
	}
}

// build makes all but the processes.
func (r *rig) build() (err error) {
	e := r.e
	if r.dir, err = takeDir(); err != nil {
		return err
	}
	if r.block, r.lock, err = takeBlock(); err != nil {
		return err
	}
	r.nurse = newNursery()
	r.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range e.Nodes.Count {
		rng, mu := rand.New(rand.NewPCG(r.seed, uint64(i))), new(sync.Mutex)
		cfg := standin.NodeConfig{
			Name: fmt.Sprintf("n%03d", i), Work: e.Nodes.Work, Cores: e.Nodes.Cores, Queue: e.Nodes.Queue, Warm: e.Nodes.Warm, ColdShare: e.Nodes.Cold,
			Observe: func(req *http.Request, _ []byte) { r.record.arrived(i, req) },
		}
		if !e.Nodes.Even {
			cfg.Draw = func() float64 {
				mu.Lock()
				defer mu.Unlock()
				return rng.ExpFloat64()
			}
		}
		n, err := standin.StartNode(cfg)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	if g := e.group(e.Nodes.Absent, KindNodes); g != nil {
		for _, i := range g.Members {
			r.off[i] = true
		}
	}
	if err := r.link(); err != nil {
		return err
	}
	return r.places()
}

// link makes the wires of all links and the listeners before them.
func (r *rig) link() error {
	e := r.e
	r.linked = map[string][]*wire{}
	r.via = make([]map[int]string, e.Instances.Count)
	for i := range r.via {
		r.via[i] = map[int]string{}
	}
	for i := range e.Instances.Count {
		r.fronts = append(r.fronts, fmt.Sprintf("%s:%d", hostOf(r.block, i), portBase))
	}
	toInstance := map[int]bool{}
	for _, l := range e.Links {
		from, to := e.group(l.From, KindCallers, KindInstances), e.group(l.To, KindInstances, KindNodes)
		for _, i := range from.Members {
			for _, k := range to.Members {
				p := pair{from.Of, i, to.Of, k}
				if from.Of == to.Of && i == k {
					continue
				}
				w, known := r.wires[p]
				if !known {
					w = newWire(r.seed, uint64(len(r.wires)))
					r.wires[p] = w
					if err := r.before(p, w); err != nil {
						return err
					}
				}
				if from.Of == KindInstances && to.Of == KindInstances {
					toInstance[k] = true
				}
				w.set(Both, func(x *Weather) { *x = l.Weather })
				r.linked[l.Name] = append(r.linked[l.Name], w)
			}
		}
	}
	// Whoever one may hear of from others is reached at one address by all.
	for k := range toInstance {
		for p := range e.Instances.Ports {
			if err := r.listen(hostOf(r.block, k), adBase+p, fmt.Sprintf("%s:%d", hostOf(r.block, k), portBase+p), true, func(a netip.Addr) *wire {
				i, ok := hostIndex(r.block, a)
				if w := r.wires[pair{KindInstances, i, KindInstances, k}]; ok && w != nil {
					return w
				}
				return straight
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// straight is the wire of those that no link is about.
var straight = newWire(0, 0)

// before opens what the party at the near end of a wire is to connect to.
func (r *rig) before(p pair, w *wire) error {
	over := func(netip.Addr) *wire { return w }
	switch {
	case p.fromKind == KindCallers:
		host := hostOf(r.block, p.to)
		r.fronts[p.to] = fmt.Sprintf("%s:%d", host, callBase)
		return r.listen(host, callBase, fmt.Sprintf("%s:%d", host, portBase), false, over)
	case p.toKind == KindNodes:
		host := hostOf(r.block, p.from)
		r.via[p.from][p.to] = fmt.Sprintf("%s:%d", host, nodeBase+p.to)
		return r.listen(host, nodeBase+p.to, r.nodes[p.to].Addr(), false, over)
	}
	for k := range r.e.Instances.Ports {
		if err := r.listen(hostOf(r.block, p.from), peerBase+p.to*portsEach+k, fmt.Sprintf("%s:%d", hostOf(r.block, p.to), portBase+k), true, over); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) listen(host string, port int, target string, datagrams bool, over func(netip.Addr) *wire) error {
	f, err := forward(fmt.Sprintf("%s:%d", host, port), target, datagrams, over)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	r.fwd = append(r.fwd, f)
	return nil
}

// places makes the instances.
func (r *rig) places() error {
	in := &r.e.Instances
	program := cmp.Or(r.o.Program, in.Program)
	if program == "" {
		return errors.New("instances.program: missing, and no build is named")
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	if info, err := os.Stat(program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %s: not a program that can be started", program)
	}
	rng := rand.New(rand.NewPCG(r.seed, 0x706c616365))
	for i := range in.Count {
		dir := filepath.Join(r.dir, instanceName(i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		p := &Place{
			Name: instanceName(i), Index: i, Count: in.Count, Seed: rng.Uint64(), Dir: dir, Config: filepath.Join(dir, "config.toml"),
			Host: hostOf(r.block, i), NodesFile: filepath.Join(dir, "nodes"), ports: in.Ports, peers: in.Count, block: r.block,
		}
		p.NodeList = r.seen(i)
		p.via = func(to int, port string) string { return r.reach(i, to, port) }
		n := &instance{place: p, program: program, nursery: r.nurse, within: in.Within, drain: in.Drain, crashed: r.record.crashed,
			ready: fmt.Sprintf("http://%s:%d%s", hostOf(r.block, i), portBase, in.Ready)}
		if in.Ready == "none" {
			n.ready = ""
		}
		var b strings.Builder
		if err := in.config.Execute(&b, p); err != nil {
			return err
		}
		n.config = b.String()
		for _, a := range in.arguments {
			b.Reset()
			if err := a.Execute(&b, p); err != nil {
				return err
			}
			n.args = append(n.args, b.String())
		}
		r.procs = append(r.procs, n)
	}
	return r.writeLists()
}

// reach is where an instance reaches a port of another one, or, with -1, where all
// others reach its own.
func (r *rig) reach(from, to int, port string) string {
	k := slices.Index(r.e.Instances.Ports, port)
	if to < 0 {
		for p := range r.wires {
			if p.toKind == KindInstances && p.fromKind == KindInstances && p.to == from {
				return fmt.Sprintf("%s:%d", hostOf(r.block, from), adBase+k)
			}
		}
		return fmt.Sprintf("%s:%d", hostOf(r.block, from), portBase+k)
	}
	if r.wires[pair{KindInstances, from, KindInstances, to}] != nil {
		return fmt.Sprintf("%s:%d", hostOf(r.block, from), peerBase+to*portsEach+k)
	}
	return fmt.Sprintf("%s:%d", hostOf(r.block, to), portBase+k)
}

// seen is the list of nodes as an instance reaches them.
func (r *rig) seen(i int) (list []string) {
	for k, n := range r.nodes {
		if !r.off[k] {
			list = append(list, cmp.Or(r.via[i][k], n.Addr()))
		}
	}
	return list
}

// writeLists writes the list of nodes for all. Readers see the old one or the new one.
func (r *rig) writeLists() error {
	for i, p := range r.procs {
		path := p.place.NodesFile
		if err := os.WriteFile(path+".new", []byte(strings.Join(r.seen(i), "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts the instances as fast as it can, and waits until all are ready.
func (r *rig) startAll(ctx context.Context) error {
	begin := time.Now()
	for _, n := range r.procs {
		if err := n.start(); err != nil {
			return err
		}
	}
	started := time.Since(begin)
	errs := make([]error, len(r.procs))
	var all sync.WaitGroup
	for i, n := range r.procs {
		all.Go(func() { errs[i] = n.await(ctx, r.client) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("%w (%d of %d are not ready, this is the first of them)", err, len(errs)-countNil(errs), len(errs))
		}
	}
	r.tell("%d processes started within %v, ready after %v", len(r.procs), started.Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
	if r.o.OnReady != nil {
		var pids []int
		for _, n := range r.procs {
			pids = append(pids, n.life.cmd.Process.Pid)
		}
		r.o.OnReady(pids)
	}
	return nil
}

func countNil(errs []error) (n int) {
	for _, err := range errs {
		if err == nil {
			n++
		}
	}
	return n
}

// play has the load and the events run, and counts.
func (r *rig) play(ctx context.Context) (*Record, error) {
	e := r.e
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(e.Streams) == 0 {
		return r.playAlone(ctx)
	}
	run, err := load.New(load.Config{
		Addrs: r.fronts, Choose: chooser(e, r.seed), Streams: e.Streams, Plan: traffic.NewPlan(e.Streams, r.seed), Seed: r.seed,
		Conns: e.Conns, Span: e.Span, Grace: graceOf(e), Ended: r.record.ended,
	})
	if err != nil {
		return nil, err
	}
	r.record.begin()
	var script sync.WaitGroup
	script.Go(func() { r.script(ctx) })
	res := run.Run(ctx)
	broken := ctx.Err()
	cancel()
	script.Wait()
	if broken != nil {
		return nil, fmt.Errorf("broken off: %w", broken)
	}
	for _, n := range r.nodes {
		r.record.ran(n.Runs())
	}
	rep, err := res.Report()
	if err != nil {
		return nil, err
	}
	r.record.Void = rep.Verdict.Void
	return r.record.done(), nil
}

// playAlone has the events run while nobody calls.
func (r *rig) playAlone(ctx context.Context) (*Record, error) {
	r.record.begin()
	r.script(ctx)
	if !pause(ctx, time.Until(r.record.start.Add(r.e.Span))) {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	return r.record.done(), nil
}

// graceOf is how long answers are awaited after the end: all budgets are over then.
func graceOf(e *Experiment) (d time.Duration) {
	for i := range e.Streams {
		d = max(d, e.Streams[i].Budget)
	}
	return d + time.Second
}

// chooser says which instance a request goes to: drawn by the callers' weights, the
// same for the same request.
func chooser(e *Experiment, seed uint64) func(stream int, index uint64) int {
	n, heavy, w := e.Instances.Count, e.Instances.Heavy, e.Instances.Weight
	all := float64(n-heavy) + float64(heavy)*w
	return func(stream int, index uint64) int {
		x := rand.New(rand.NewPCG(seed^uint64(stream+1)<<32, index)).Float64() * all
		if h := float64(heavy) * w; x < h {
			return min(int(x/w), heavy-1)
		} else {
			return min(heavy+int(x-h), n-1)
		}
	}
}

// end leaves nothing behind.
func (r *rig) end() {
	for _, n := range r.procs {
		n.kill()
	}
	for _, w := range r.wires {
		w.end()
	}
	for _, n := range r.nodes {
		n.Close()
	}
	for _, f := range r.fwd {
		f.close()
	}
	if r.nurse != nil {
		r.nurse.close()
	}
	if r.lock != nil {
		r.lock.Close()
	}
	if r.client != nil {
		r.client.CloseIdleConnections()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// deed is one event, done to one party or link.
type deed struct {
	at    time.Duration
	event *Event
	party int // -1 for a link
}

// deeds is the whole script in order.
func deeds(e *Experiment) (all []deed) {
	for i := range e.Events {
		ev := &e.Events[i]
		for k := range ev.Times {
			at := ev.At + time.Duration(k)*ev.Period
			if _, link := e.links[ev.On]; link {
				all = append(all, deed{at, ev, -1})
				continue
			}
			for m, party := range e.Groups[e.groups[ev.On]].Members {
				all = append(all, deed{at + time.Duration(m)*ev.Every, ev, party})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b deed) int { return cmp.Compare(a.at, b.at) })
	return all
}

// script does what is written down, each at its time. What takes long (a drain) does not
// hold up what follows.
func (r *rig) script(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	todo := deeds(r.e)
	for len(todo) > 0 {
		at := todo[0].at
		if !pause(ctx, time.Until(r.record.start.Add(at))) {
			return
		}
		n := 0
		for n < len(todo) && todo[n].at == at {
			n++
		}
		lists := false
		for _, d := range todo[:n] {
			lists = lists || d.event.Do == "leave" || d.event.Do == "join"
			if slices.Contains([]string{"term", "restart"}, d.event.Do) {
				running.Go(func() { r.done(d, r.do(ctx, d)) })
			} else {
				r.done(d, r.do(ctx, d))
			}
		}
		if lists {
			r.mu.Lock()
			err := r.writeLists()
			r.mu.Unlock()
			if err != nil {
				r.record.fault(err.Error())
			}
		}
		todo = todo[n:]
	}
}

func (r *rig) done(d deed, err error) {
	r.record.happened(d, err)
	who := ""
	if d.party >= 0 {
		who = fmt.Sprintf(", number %d", d.party)
	}
	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		r.tell("%v: %s on %s%s: %v", d.at, d.event.Do, d.event.On, who, err)
	case d.event.Every > 0 || d.party < 0:
		r.tell("%v: %s on %s%s", d.at, d.event.Do, d.event.On, who)
	}
}

func (r *rig) do(ctx context.Context, d deed) error {
	ev := d.event
	if d.party < 0 {
		for _, w := range r.linked[ev.On] {
			switch ev.Do {
			case "weather":
				w.set(ev.Way, func(x *Weather) { *x = ev.To })
			case "cut":
				w.set(ev.Way, func(x *Weather) { x.Cut = true })
			case "heal":
				w.set(ev.Way, func(x *Weather) { *x = Weather{} })
			case "reset":
				w.reset()
			}
		}
		return nil
	}
	if r.e.Groups[r.e.groups[ev.On]].Of == KindNodes {
		n := r.nodes[d.party]
		switch ev.Do {
		case "slow":
			n.Slow(ev.Factor)
		case "vanish":
			n.Vanish()
		case "return":
			r.record.returned(d.party)
			return n.Return()
		case "leave", "join":
			r.mu.Lock()
			r.off[d.party] = ev.Do == "leave"
			r.mu.Unlock()
			r.record.listed(d.party, ev.Do == "join")
		default:
			n.Set(standin.Modes[ev.Do])
		}
		return nil
	}
	p := r.procs[d.party]
	var err error
	switch ev.Do {
	case "kill":
		_, err = p.signal(syscall.SIGKILL, true)
	case "stop":
		_, err = p.signal(syscall.SIGSTOP, false)
	case "continue":
		_, err = p.signal(syscall.SIGCONT, false)
	case "start":
		err = p.start()
	case "term":
		err = p.term(ctx)
	case "restart":
		if err = p.term(ctx); err == nil {
			if err = p.start(); err == nil {
				err = p.await(ctx, r.client)
			}
		}
	}
	return err
}
