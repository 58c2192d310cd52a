package experiment

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

	"gorselink/internal/fakeserver"
	"gorselink/internal/load"
	"gorselink/traffic"
)

// Options configures a run.
type Options struct {
	Program string            // replaces the experiment's program; "" to keep it
	Turn    uint64            // number of the repetition; the random numbers depend on it
	Log     func(line string) // called with progress messages; may be nil
	OnReady func(pids []int)  // called once all instances are ready; may be nil
}

// Run runs an experiment once. All its processes, sockets and files are gone when it returns.
// If ctx ends, it stops with an error.
func Run(ctx context.Context, e *Experiment, o Options) (*Record, error) {
	r := &testbed{experiment: e, options: o, seed: e.Seed + o.Turn*0x9e3779b97f4a7c15, netPaths: map[partyPair]*netPath{}, unlisted: map[int]bool{}}
	r.record = newRecord(e, r.seed)
	defer r.close()
	if err := r.build(); err != nil {
		return nil, err
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	return r.run(ctx)
}

// partyPair identifies the path from one group member to another.
type partyPair struct {
	fromKind Kind
	from     int
	toKind   Kind
	to       int
}

// testbed holds the processes, fake nodes and network paths of one run.
type testbed struct {
	experiment      *Experiment
	options         Options
	seed            uint64
	dir             string
	block           int
	blockLock       net.Listener
	spawner         *processSpawner
	nodes           []*fakeserver.Node
	instances       []*instance
	netPaths        map[partyPair]*netPath
	pathsByLink     map[string][]*netPath // by link name
	callerAddrs     []string              // addresses at which callers reach each instance
	linkedNodeAddrs []map[int]string      // by instance, then by node: address of the link's listener
	forwarders      []*forwarder
	client          *http.Client
	record          *Record

	mu       sync.Mutex // guards unlisted and the node files
	unlisted map[int]bool
}

func (r *testbed) logf(format string, args ...any) {
	if r.options.Log != nil {
		r.options.Log(fmt.Sprintf(format, args...))
	}
}

// build creates everything except the processes.
func (r *testbed) build() (err error) {
	e := r.experiment
	if r.dir, err = makeRunDir(); err != nil {
		return err
	}
	if r.block, r.blockLock, err = acquireAddressBlock(); err != nil {
		return err
	}
	r.spawner = newProcessSpawner()
	r.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range e.Nodes.Count {
		rng, mu := rand.New(rand.NewPCG(r.seed, uint64(i))), new(sync.Mutex)
		cfg := fakeserver.NodeConfig{
			Name: fmt.Sprintf("n%03d", i), Work: e.Nodes.Work, Cores: e.Nodes.Cores, Queue: e.Nodes.Queue, WarmUp: e.Nodes.WarmUp, ColdShare: e.Nodes.ColdShare,
			Observe: func(req *http.Request, _ []byte) { r.record.recordArrival(i, req) },
		}
		if !e.Nodes.ConstantWork {
			cfg.WorkFactor = func() float64 {
				mu.Lock()
				defer mu.Unlock()
				return rng.ExpFloat64()
			}
		}
		n, err := fakeserver.StartNode(cfg)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	if g := e.lookupGroup(e.Nodes.AbsentGroup, KindNodes); g != nil {
		for _, i := range g.Members {
			r.unlisted[i] = true
		}
	}
	if err := r.buildLinks(); err != nil {
		return err
	}
	return r.buildInstances()
}

// buildLinks creates the network paths of all links, and their listeners.
func (r *testbed) buildLinks() error {
	e := r.experiment
	r.pathsByLink = map[string][]*netPath{}
	r.linkedNodeAddrs = make([]map[int]string, e.Instances.Count)
	for i := range r.linkedNodeAddrs {
		r.linkedNodeAddrs[i] = map[int]string{}
	}
	for i := range e.Instances.Count {
		r.callerAddrs = append(r.callerAddrs, fmt.Sprintf("%s:%d", instanceHost(r.block, i), portBase))
	}
	toInstance := map[int]bool{}
	for _, l := range e.Links {
		from, to := e.lookupGroup(l.From, KindCallers, KindInstances), e.lookupGroup(l.To, KindInstances, KindNodes)
		for _, i := range from.Members {
			for _, k := range to.Members {
				p := partyPair{from.Kind, i, to.Kind, k}
				if from.Kind == to.Kind && i == k {
					continue
				}
				w, exists := r.netPaths[p]
				if !exists {
					w = newNetPath(r.seed, uint64(len(r.netPaths)))
					r.netPaths[p] = w
					if err := r.listenForPair(p, w); err != nil {
						return err
					}
				}
				if from.Kind == KindInstances && to.Kind == KindInstances {
					toInstance[k] = true
				}
				w.setConditions(DirectionBoth, func(x *Conditions) { *x = l.Conditions })
				r.pathsByLink[l.Name] = append(r.pathsByLink[l.Name], w)
			}
		}
	}
	// An advertised address is the same for all instances that use it.
	for k := range toInstance {
		for p := range e.Instances.Ports {
			if err := r.startListener(instanceHost(r.block, k), advertiseBase+p, fmt.Sprintf("%s:%d", instanceHost(r.block, k), portBase+p), true, func(a netip.Addr) *netPath {
				i, ok := instanceOfHost(r.block, a)
				if w := r.netPaths[partyPair{KindInstances, i, KindInstances, k}]; ok && w != nil {
					return w
				}
				return directPath
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// directPath is the path between instances without a link.
var directPath = newNetPath(0, 0)

// listenForPair opens the listeners that the near end of a path connects to.
func (r *testbed) listenForPair(p partyPair, w *netPath) error {
	pathFor := func(netip.Addr) *netPath { return w }
	switch {
	case p.fromKind == KindCallers:
		host := instanceHost(r.block, p.to)
		r.callerAddrs[p.to] = fmt.Sprintf("%s:%d", host, callerBase)
		return r.startListener(host, callerBase, fmt.Sprintf("%s:%d", host, portBase), false, pathFor)
	case p.toKind == KindNodes:
		host := instanceHost(r.block, p.from)
		r.linkedNodeAddrs[p.from][p.to] = fmt.Sprintf("%s:%d", host, nodeBase+p.to)
		return r.startListener(host, nodeBase+p.to, r.nodes[p.to].Addr(), false, pathFor)
	}
	for k := range r.experiment.Instances.Ports {
		if err := r.startListener(instanceHost(r.block, p.from), peerBase+p.to*maxPorts+k, fmt.Sprintf("%s:%d", instanceHost(r.block, p.to), portBase+k), true, pathFor); err != nil {
			return err
		}
	}
	return nil
}

func (r *testbed) startListener(host string, port int, target string, datagrams bool, pathFor func(netip.Addr) *netPath) error {
	f, err := startForwarder(fmt.Sprintf("%s:%d", host, port), target, datagrams, pathFor)
	if err != nil {
		return fmt.Errorf("open listener of a link: %w", err)
	}
	r.forwarders = append(r.forwarders, f)
	return nil
}

// buildInstances prepares the instances.
func (r *testbed) buildInstances() error {
	in := &r.experiment.Instances
	program := cmp.Or(r.options.Program, in.Program)
	if program == "" {
		return errors.New("no program: neither instances.program nor a build is given")
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	if info, err := os.Stat(program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %s: not an executable file", program)
	}
	rng := rand.New(rand.NewPCG(r.seed, 0x706c616365))
	for i := range in.Count {
		dir := filepath.Join(r.dir, formatInstanceName(i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		p := &InstanceInfo{
			Name: formatInstanceName(i), Index: i, Count: in.Count, Seed: rng.Uint64(), Dir: dir, Config: filepath.Join(dir, "config.toml"),
			Host: instanceHost(r.block, i), NodesFile: filepath.Join(dir, "nodes"), ports: in.Ports, peerCount: in.Count, block: r.block,
		}
		p.NodeList = r.nodeList(i)
		p.linkedAddr = func(to int, port string) string { return r.peerAddr(i, to, port) }
		n := &instance{info: p, program: program, spawner: r.spawner, readyTimeout: in.ReadyTimeout, drainTimeout: in.DrainTimeout, onCrash: r.record.recordCrash,
			readyURL: fmt.Sprintf("http://%s:%d%s", instanceHost(r.block, i), portBase, in.Ready)}
		if in.Ready == "none" {
			n.readyURL = ""
		}
		var b strings.Builder
		if err := in.configTemplate.Execute(&b, p); err != nil {
			return err
		}
		n.config = b.String()
		for _, a := range in.argumentTemplates {
			b.Reset()
			if err := a.Execute(&b, p); err != nil {
				return err
			}
			n.args = append(n.args, b.String())
		}
		r.instances = append(r.instances, n)
	}
	return r.writeNodeLists()
}

// peerAddr returns the address at which an instance reaches a port of another one. If to is -1,
// it returns the address at which the others reach the instance itself.
func (r *testbed) peerAddr(from, to int, port string) string {
	k := slices.Index(r.experiment.Instances.Ports, port)
	if to < 0 {
		for p := range r.netPaths {
			if p.toKind == KindInstances && p.fromKind == KindInstances && p.to == from {
				return fmt.Sprintf("%s:%d", instanceHost(r.block, from), advertiseBase+k)
			}
		}
		return fmt.Sprintf("%s:%d", instanceHost(r.block, from), portBase+k)
	}
	if r.netPaths[partyPair{KindInstances, from, KindInstances, to}] != nil {
		return fmt.Sprintf("%s:%d", instanceHost(r.block, from), peerBase+to*maxPorts+k)
	}
	return fmt.Sprintf("%s:%d", instanceHost(r.block, to), portBase+k)
}

// nodeList returns the addresses of the listed nodes as an instance reaches them.
func (r *testbed) nodeList(i int) (list []string) {
	for k, n := range r.nodes {
		if !r.unlisted[k] {
			list = append(list, cmp.Or(r.linkedNodeAddrs[i][k], n.Addr()))
		}
	}
	return list
}

// writeNodeLists writes the node list of each instance. It replaces the files atomically.
func (r *testbed) writeNodeLists() error {
	for i, p := range r.instances {
		path := p.info.NodesFile
		if err := os.WriteFile(path+".new", []byte(strings.Join(r.nodeList(i), "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all instances without waiting between them, and then waits until all are ready.
func (r *testbed) startAll(ctx context.Context) error {
	begin := time.Now()
	for _, n := range r.instances {
		if err := n.start(); err != nil {
			return err
		}
	}
	started := time.Since(begin)
	errs := make([]error, len(r.instances))
	var all sync.WaitGroup
	for i, n := range r.instances {
		all.Go(func() { errs[i] = n.awaitReady(ctx, r.client) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("%w (first error; %d of %d instances are not ready)", err, len(errs)-countNil(errs), len(errs))
		}
	}
	r.logf("started %d processes in %v; all ready after %v", len(r.instances), started.Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
	if r.options.OnReady != nil {
		var pids []int
		for _, n := range r.instances {
			pids = append(pids, n.process.cmd.Process.Pid)
		}
		r.options.OnReady(pids)
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

// run generates the load, performs the events and collects the observations.
func (r *testbed) run(ctx context.Context) (*Record, error) {
	e := r.experiment
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(e.Streams) == 0 {
		return r.runWithoutLoad(ctx)
	}
	run, err := load.New(load.Config{
		Addrs: r.callerAddrs, ChooseTarget: instanceChooser(e, r.seed), Streams: e.Streams, Plan: traffic.NewPlan(e.Streams, r.seed), Seed: r.seed,
		Conns: e.MaxConnections, Span: e.Duration, Grace: responseGrace(e), IDHeader: requestIDHeader, OnCompletion: r.record.recordEnding,
	})
	if err != nil {
		return nil, err
	}
	r.record.begin()
	var script sync.WaitGroup
	script.Go(func() { r.runEvents(ctx) })
	res := run.Run(ctx)
	interrupted := ctx.Err()
	cancel()
	script.Wait()
	if interrupted != nil {
		return nil, fmt.Errorf("interrupted: %w", interrupted)
	}
	for _, n := range r.nodes {
		r.record.recordExecutions(n.RunsByID())
	}
	rep, err := res.Report()
	if err != nil {
		return nil, err
	}
	r.record.Void = rep.Verdict.Void
	r.record.sortByTime()
	r.record.LostRequests = r.traceLostRequests()
	return r.record, nil
}

// runWithoutLoad performs the events without any requests.
func (r *testbed) runWithoutLoad(ctx context.Context) (*Record, error) {
	r.record.begin()
	r.runEvents(ctx)
	if !sleep(ctx, time.Until(r.record.startedAt.Add(r.experiment.Duration))) {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	return r.record.sortByTime(), nil
}

// responseGrace returns how long to wait for responses after the load ends. Every request's
// budget, and the time for a late response, ends within it.
func responseGrace(e *Experiment) (d time.Duration) {
	for i := range e.Streams {
		d = max(d, e.Streams[i].Budget)
	}
	return d + time.Second
}

// instanceChooser returns a function that chooses the instance of a request by weight. The
// choice depends only on the seed and the request.
func instanceChooser(e *Experiment, seed uint64) func(stream int, index uint64) int {
	n, heavy, w := e.Instances.Count, e.Instances.HeavyCount, e.Instances.HeavyWeight
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

// close ends all processes and removes all resources of the run.
func (r *testbed) close() {
	for _, n := range r.instances {
		n.kill()
	}
	for _, w := range r.netPaths {
		w.close()
	}
	for _, n := range r.nodes {
		n.Close()
	}
	for _, f := range r.forwarders {
		f.close()
	}
	if r.spawner != nil {
		r.spawner.close()
	}
	if r.blockLock != nil {
		r.blockLock.Close()
	}
	if r.client != nil {
		r.client.CloseIdleConnections()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// action is an event applied to one group member or to a link.
type action struct {
	at    time.Duration
	event *Event
	party int // -1 for a link
}

// actionsInOrder returns the actions of all events, by time.
func actionsInOrder(e *Experiment) (all []action) {
	for i := range e.Events {
		ev := &e.Events[i]
		for k := range ev.Repeat {
			at := ev.At + time.Duration(k)*ev.Period
			if _, link := e.linkIndex[ev.Target]; link {
				all = append(all, action{at, ev, -1})
				continue
			}
			for m, party := range e.Groups[e.groupIndex[ev.Target]].Members {
				all = append(all, action{at + time.Duration(m)*ev.Stagger, ev, party})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return all
}

// runEvents performs each action at its time. Actions that take long, such as a drain, don't
// delay later ones.
func (r *testbed) runEvents(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	todo := actionsInOrder(r.experiment)
	for len(todo) > 0 {
		at := todo[0].at
		if !sleep(ctx, time.Until(r.record.startedAt.Add(at))) {
			return
		}
		n := 0
		for n < len(todo) && todo[n].at == at {
			n++
		}
		lists := false
		for _, d := range todo[:n] {
			lists = lists || d.event.Action == "leave" || d.event.Action == "join"
			if slices.Contains([]string{"term", "restart"}, d.event.Action) {
				running.Go(func() { r.reportAction(d, r.perform(ctx, d)) })
			} else {
				r.reportAction(d, r.perform(ctx, d))
			}
		}
		if lists {
			r.mu.Lock()
			err := r.writeNodeLists()
			r.mu.Unlock()
			if err != nil {
				r.record.recordEventError(err.Error())
			}
		}
		todo = todo[n:]
	}
}

func (r *testbed) reportAction(d action, err error) {
	r.record.recordAction(d, err)
	member := ""
	if d.party >= 0 {
		member = fmt.Sprintf(", member %d", d.party)
	}
	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		r.logf("%v: %s on %s%s failed: %v", d.at, d.event.Action, d.event.Target, member, err)
	case d.event.Stagger > 0 || d.party < 0:
		r.logf("%v: %s on %s%s", d.at, d.event.Action, d.event.Target, member)
	}
}

func (r *testbed) perform(ctx context.Context, d action) error {
	ev := d.event
	if d.party < 0 {
		for _, w := range r.pathsByLink[ev.Target] {
			switch ev.Action {
			case "weather":
				w.setConditions(ev.Direction, func(x *Conditions) { *x = ev.Conditions })
			case "cut":
				w.setConditions(ev.Direction, func(x *Conditions) { x.Cut = true })
			case "heal":
				w.setConditions(ev.Direction, func(x *Conditions) { *x = Conditions{} })
			case "reset":
				w.resetConnections()
			}
		}
		return nil
	}
	if r.experiment.Groups[r.experiment.groupIndex[ev.Target]].Kind == KindNodes {
		n := r.nodes[d.party]
		switch ev.Action {
		case "slow":
			n.SetSlowdown(ev.Factor)
		case "vanish":
			n.Crash()
		case "return":
			r.record.recordReturn(d.party)
			return n.Restart()
		case "leave", "join":
			r.mu.Lock()
			r.unlisted[d.party] = ev.Action == "leave"
			r.mu.Unlock()
			r.record.recordListChange(d.party, ev.Action == "join")
		default:
			n.SetMode(fakeserver.ModesByName[ev.Action])
		}
		return nil
	}
	p := r.instances[d.party]
	var err error
	switch ev.Action {
	case "kill":
		_, err = p.signal(syscall.SIGKILL, true)
	case "stop":
		_, err = p.signal(syscall.SIGSTOP, false)
	case "continue":
		_, err = p.signal(syscall.SIGCONT, false)
	case "start":
		err = p.start()
	case "term":
		err = p.terminate(ctx)
	case "restart":
		if err = p.terminate(ctx); err == nil {
			if err = p.start(); err == nil {
				err = p.awaitReady(ctx, r.client)
			}
		}
	}
	return err
}
