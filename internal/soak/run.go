package soak

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gorselink/internal/fakeserver"
)

// Options configures a run.
type Options struct {
	Program     string // of the sidecar
	Predecessor string // of the first process; "" for Program
	Dir         string // for logs and files, which are kept
	Slot        int    // distinguishes runs that go on at the same time in this process
}

// run is a Plan in progress.
type run struct {
	plan       *Plan
	options    Options
	dir        string
	tempDir    string
	configPath string
	listen     string
	agent      *fakeserver.Agent
	nodes      []*fakeserver.Node
	scripted   []*scriptedEndpoint
	startedAt  time.Time
	started    int          // processes
	configs    int          // versions of the configuration
	frontOpen  atomic.Bool  // clients may open connections
	done       atomic.Bool  // clients end
	crowdFrom  atomic.Int64 // actual times of the crowd, as time.Duration
	crowdTo    atomic.Int64

	mu        sync.Mutex
	requests  []Request
	arrivals  map[string][]Arrival
	drained   []Drain
	pauses    []Pause // that have ended
	processes []*process
}

// endpointWork is the time that an endpoint takes for a request, slowFactor and lateFactor the
// factors on it in the modes "slow" and "late".
const (
	endpointWork = 5 * time.Millisecond
	slowFactor   = 60
	lateFactor   = 1000 // beyond the longest deadline
)

// Run performs a plan and returns what was observed. All its processes have ended then.
func Run(plan *Plan, options Options) (*Record, error) {
	r := &run{plan: plan, options: options, dir: options.Dir, listen: isolatedAddr(options.Slot), startedAt: time.Now(), arrivals: map[string][]Arrival{}}
	r.tempDir, r.configPath = filepath.Join(r.dir, "tmp"), filepath.Join(r.dir, "config.json")
	defer r.close()
	if err := r.build(); err != nil {
		return nil, err
	}
	first := options.Predecessor
	if first == "" {
		first = options.Program
	}
	p, err := r.start(first)
	if err != nil {
		return nil, err
	}
	if err := r.awaitReady(p); err != nil {
		return nil, err
	}
	r.perform(p)
	return r.collect(), nil
}

// build creates the endpoints, discovery and the configuration.
func (r *run) build() error {
	if err := os.MkdirAll(r.tempDir, 0o700); err != nil {
		return err
	}
	var entries []fakeserver.Entry
	for i := range endpointCount {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{
			Name: fmt.Sprintf("e%d", i), Work: endpointWork,
			Observe: func(req *http.Request, _ []byte) { r.recordArrival(i, req.Header.Get("X-Call-Id")) },
			Respond: func(req *http.Request, _ []byte) fakeserver.Response {
				return fakeserver.Response{Body: req.Header.Get("X-Call-Id")}
			},
		})
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		entries = append(entries, fakeserver.NewEntry(n, "in_service"))
	}
	var err error
	if r.agent, err = fakeserver.StartAgent(entries...); err != nil {
		return err
	}
	return r.writeConfig()
}

// writeConfig writes the next version of the configuration. Versions differ in TryLimit.
func (r *run) writeConfig() error {
	r.configs++
	s, deadline := &r.plan.Sidecar, r.plan.Sidecar.Deadline.Seconds()
	mode := `"push"`
	if s.PullDiscovery {
		mode = `"ask"`
	}
	text := fmt.Sprintf(`{"name":"soak","listen":%q,"discovery":%q,"seed":"1f",
"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"settings":{"Me":0,"NInstances":1,"Zone":0,"Tier":0,"Zones":["a"],"RegistryMode":%s,
"Limits":{"ConnectTimeoutS":1,"ConnIdleS":1,"TryLimit":%d,"Multiplex":1},
"Obligations":{"ColdShare":0.3,"RampTimeS":5,"OverloadForS":3,"DrainGraceS":%g,"AskWithinS":4},
"RequestClasses":[
{"Name":"view","AimS":%g,"DeadlineS":%g,"Semantics":"free","Worth":1},
{"Name":"put","AimS":%g,"DeadlineS":%g,"Semantics":"guarded","KeyScope":"all","MemorySpanS":%g,"Worth":1},
{"Name":"pay","AimS":%g,"DeadlineS":%g,"Semantics":"single_shot","Worth":1}]}}`,
		r.listen, r.agent.Addr(), s.MemoryMB, s.Sockets, mode, 3+r.configs%2, drainGrace.Seconds(),
		deadline/2, deadline, deadline/2, deadline, cmp.Or(s.Window, defaultWindow).Seconds(), deadline/2, deadline)
	temp := r.configPath + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, r.configPath)
}

// perform runs clients, faults and episodes, and ends the last process.
func (r *run) perform(first *process) {
	r.frontOpen.Store(true)
	r.startedAt = time.Now() // until here only the start of the first process was timed
	first.mu.Lock()
	first.record.Started, first.record.Ready = 0, time.Millisecond
	first.mu.Unlock()
	var clients, events sync.WaitGroup
	for i, plan := range r.plan.Clients {
		c := &client{run: r, number: i, plan: plan}
		clients.Go(c.loop)
	}
	events.Go(r.crowd)
	events.Go(r.applyFaults)
	events.Go(r.applyPauses)
	current := first
	for i := range r.plan.Episodes {
		current = r.performEpisode(current, &r.plan.Episodes[i])
	}
	r.sleepUntil(r.plan.Duration())
	r.done.Store(true)
	clients.Wait()
	events.Wait()
	r.checkLast(current)
}

func (r *run) now() time.Duration { return time.Since(r.startedAt) }

func (r *run) ended() bool { return r.done.Load() }

func (r *run) sleepUntil(at time.Duration) { time.Sleep(at - r.now()) }

func (r *run) record(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, *q)
}

func (r *run) recordArrival(endpoint int, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], Arrival{endpoint, r.now()})
}

// frontDelay is the time after SIGTERM in which clients open new connections.
const frontDelay = 300 * time.Millisecond

// performEpisode sends the signals of an episode to the current process, and returns the
// process that serves afterwards.
func (r *run) performEpisode(current *process, e *Episode) *process {
	begin := e.At
	if e.SinceStart > 0 {
		begin = current.startedAt() + e.SinceStart
	}
	r.sleepUntil(begin)
	next := current
	if e.Next == TakeOver {
		if started, err := r.start(r.options.Program); err == nil {
			next = started
			go r.awaitServing(next)
		}
	}
	for _, signal := range e.Signals {
		r.sleepUntil(begin + signal.After)
		if signal.NewConfig {
			r.writeConfig()
		}
		if signal.Name == "HUP" {
			current.signal(syscall.SIGHUP)
			continue
		}
		r.terminate(current, e.Next == Restart)
	}
	if e.Next == NoSuccessor {
		return current
	}
	<-current.exited
	if e.Next == Restart {
		if started, err := r.start(r.options.Program); err == nil {
			next = started
		}
	}
	r.awaitReady(next) // a process that is never ready is seen by its record
	r.frontOpen.Store(true)
	return next
}

// terminate sends SIGTERM. The first one starts the time until SIGKILL and, unless another
// process takes over, until the front-end load balancer takes out the sidecar.
func (r *run) terminate(p *process, closeFront bool) {
	p.mu.Lock()
	isFirst := p.record.Terminated == 0
	if isFirst {
		p.record.Terminated = r.now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	if !isFirst {
		return
	}
	go r.killAfter(p, r.now(), min(r.plan.Sidecar.Deadline, maxKillDeadline)+killDelay)
	if closeFront {
		time.AfterFunc(frontDelay, func() { r.frontOpen.Store(false) })
	}
}

// applyFaults applies the faults and drains at their times.
func (r *run) applyFaults() {
	var all sync.WaitGroup
	for _, f := range r.plan.Endpoints {
		all.Go(func() {
			r.sleepUntil(f.From)
			r.setMode(f.Endpoint, f.Mode)
			r.sleepUntil(f.To)
			r.endFault(f)
		})
	}
	for _, d := range r.plan.Drains {
		all.Go(func() {
			r.sleepUntil(d.At)
			r.agent.Update(fakeserver.NewEntry(r.nodes[d.Endpoint], "terminating"))
			r.mu.Lock()
			r.drained = append(r.drained, Drain{d.Endpoint, r.now()})
			r.mu.Unlock()
		})
	}
	if d := r.plan.Discovery; d.To > 0 {
		all.Go(func() {
			r.sleepUntil(d.From)
			r.agent.SetUnresponsive(true)
			r.sleepUntil(d.To)
			r.agent.SetUnresponsive(false)
		})
	}
	all.Wait()
}

// hangResetTime is for how long an endpoint resets connections after it has hung.
const hangResetTime = 30 * time.Millisecond

// endFault makes an endpoint serve again. What it held while it hung is reset.
func (r *run) endFault(f EndpointFault) {
	switch f.Mode {
	case "down":
		r.nodes[f.Endpoint].Restart()
		return
	case "hang":
		r.setMode(f.Endpoint, "reset")
		time.Sleep(hangResetTime)
	}
	r.setMode(f.Endpoint, "serve")
}

func (r *run) setMode(endpoint int, mode string) {
	n := r.nodes[endpoint]
	switch mode {
	case "slow":
		n.SetSlowdown(slowFactor)
		return
	case "late":
		n.SetSlowdown(lateFactor)
		return
	case "down":
		n.Crash()
		return
	case "hang":
		mode = "freeze"
	}
	n.SetSlowdown(1)
	n.SetMode(fakeserver.ModesByName[mode])
}

// idleTime is the time without clients after which connections to endpoints are closed, as
// ConnIdleS says.
const idleTime = 1500 * time.Millisecond

// checkLast counts the descriptors that the last process holds without clients, and ends it.
func (r *run) checkLast(p *process) {
	time.Sleep(idleTime)
	p.mu.Lock()
	p.record.LastDescriptors = p.descriptors()
	p.mu.Unlock()
	r.terminate(p, false)
	<-p.exited
}

// collect returns the record of a run that has ended.
func (r *run) collect() *Record {
	record := &Record{Plan: r.plan, Requests: r.requests, Arrivals: r.arrivals, Runs: map[string]int{}, Drained: r.drained, Pauses: r.pauses,
		CrowdFrom: time.Duration(r.crowdFrom.Load()), CrowdTo: time.Duration(r.crowdTo.Load())}
	for _, n := range r.nodes {
		for id, runs := range n.RunsByID() {
			record.Runs[id] += runs
		}
	}
	for _, p := range r.processes {
		record.Processes = append(record.Processes, p.record)
	}
	return record
}

// close ends everything that is left of a run.
func (r *run) close() {
	for _, p := range r.processes {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, n := range r.nodes {
		n.Close()
	}
	for _, e := range r.scripted {
		e.close()
	}
	if r.agent != nil {
		r.agent.Close()
	}
}

// ReadLog returns the lines of a process's log that contain a text.
func ReadLog(path, text string) ([]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.New("no log: " + err.Error())
	}
	var lines []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines, nil
}
