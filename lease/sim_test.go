package lease

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

var seeds = flag.Int("lease.seeds", 100, "number of simulations that TestOneClaimAtATimeUnderFaults runs")

const ms = time.Millisecond

// simulation runs the voters of a lease server and their clients in virtual time. It injects
// message loss, delays, network partitions, paused and crashed processes, and clocks that
// differ in rate by up to 1%. Raft draws its election timeouts from a random source of its
// own, so a seed repeats the faults but not the elections.
type simulation struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration // true time, which no process can read
	events        eventQueue
	lastSequence  int
	voters        []*voter
	clients       []*client
	blocked       map[[2]int]bool // links by sender and receiver
	lossRate      float64
	maxExtraDelay time.Duration
	leases        int
	startedEpoch  map[string]Epoch   // last epoch with which a task was started, by lease
	startedBy     map[string]*client // the client that started it, by lease
	grants        int
	violations    []string
	bug           bug
	terms         int
}

// clientAddress is added to a client's ID on links, to distinguish clients from voters.
const clientAddress = 100

// bug is a defect that a simulation adds to the code under test.
type bug int

const (
	noBug                 bug = iota
	claimFromResponse         // a claim is counted from the arrival of the response
	snapshotLosesEpoch        // a snapshot does not keep the last epoch
	newLeaderExpiresEarly     // a new leader does not wait before it expires leases
	releasedGrantReused       // a result for a released grant starts the task again
)

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events by time and, at the same time, by sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastSequence++
	heap.Push(&s.events, event{s.now + d, s.lastSequence, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// send delivers a message after a delay, unless the link is blocked or the message is lost.
func (s *simulation) send(from, to int, deliver func()) {
	if s.blocked[[2]int{from, to}] || s.rng.Float64() < s.lossRate {
		return
	}
	s.after(ms+time.Duration(s.rng.Int64N(int64(2*ms)))+time.Duration(s.rng.Float64()*float64(s.maxExtraDelay)), deliver)
}

// clock is a process's monotonic clock, with its own rate and offset from true time.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

func (s *simulation) newClock() clock {
	return clock{1 + MaxClockDrift/2*(2*s.rng.Float64()-1), time.Duration(s.rng.Int64N(int64(time.Hour)))}
}

type voter struct {
	sim         *simulation
	id          int
	clock       clock
	disk        *raft.MemoryStorage
	node        *raft.RawNode // nil while the process is down
	incarnation int           // grows with each crash and start
	paused      bool
	pending     []func() // input that arrived during the pause
	state       State
	applied     uint64
	tracker     *ExpiryTracker // nil unless this voter is the leader
	conf        *raftpb.ConfState
	responders  map[string]func(Result) // by the ID of the log entry
}

// entry is one entry of the raft log.
type entry struct {
	ID      string
	Command Command
}

const tick = 10 * ms

func (v *voter) start() {
	v.incarnation++
	v.node, v.tracker, v.responders, v.pending, v.paused = nil, nil, map[string]func(Result){}, nil, false
	v.state, v.applied = State{}, 0
	if snap, _ := v.disk.Snapshot(); !raft.IsEmptySnap(snap) {
		v.restore(snap)
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID: uint64(v.id + 1), ElectionTick: 10, HeartbeatTick: 1, Storage: v.disk, Applied: v.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 256,
		CheckQuorum: true, PreVote: true, Logger: discardLogger,
	})
	if err != nil {
		v.sim.t.Fatal(err)
	}
	v.node = node
	incarnation := v.incarnation
	var onTick func()
	onTick = func() {
		if v.incarnation != incarnation {
			return
		}
		v.do(func() {
			v.node.Tick()
			v.proposeExpirations()
		})
		v.sim.after(time.Duration(float64(tick)/v.clock.rate), onTick)
	}
	v.sim.after(time.Duration(v.sim.rng.Int64N(int64(tick))), onTick)
}

// do runs f in the voter's process: at once, or after a pause. It drops f while the
// process is down.
func (v *voter) do(f func()) {
	switch {
	case v.node == nil:
	case v.paused:
		if len(v.pending) < 1000 {
			v.pending = append(v.pending, f)
		}
	default:
		f()
		v.handleReady()
	}
}

func (v *voter) handleReady() {
	for v.node != nil && v.node.HasReady() {
		rd := v.node.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.disk.ApplySnapshot(rd.Snapshot)
			v.restore(rd.Snapshot)
		}
		v.disk.Append(rd.Entries)
		if !raft.IsEmptyHardState(rd.HardState) {
			v.disk.SetHardState(rd.HardState)
		}
		for _, m := range rd.Messages {
			to := v.sim.voters[m.GetTo()-1]
			incarnation := to.incarnation
			v.sim.send(v.id, to.id, func() {
				if to.incarnation == incarnation {
					to.do(func() { to.node.Step(m) })
				}
			})
		}
		if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
			v.tracker = nil
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		v.node.Advance(rd)
	}
	if v.node != nil && v.applied-compactedIndex(v.disk) > 60 {
		data, _ := v.state.Snapshot()
		v.disk.CreateSnapshot(v.applied, v.conf, data)
		v.disk.Compact(v.applied - 10)
	}
}

func compactedIndex(s *raft.MemoryStorage) uint64 { i, _ := s.FirstIndex(); return i - 1 }

func (v *voter) restore(snap *raftpb.Snapshot) {
	if err := v.state.Restore(snap.GetData()); err != nil {
		v.sim.t.Fatal(err)
	}
	if v.sim.bug == snapshotLosesEpoch {
		v.state.lastEpoch = 0
		for _, r := range v.state.leases {
			if r.Holder != "" {
				v.state.lastEpoch = max(v.state.lastEpoch, r.Epoch)
			}
		}
	}
	v.applied = snap.GetMetadata().GetIndex()
}

func (v *voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	status := v.node.Status()
	isLeader := status.RaftState == raft.StateLeader
	if isLeader && v.tracker == nil && e.GetTerm() == status.GetTerm() { // all entries of earlier terms are applied
		v.sim.terms++
		v.tracker = NewExpiryTracker(&v.state, v.clock.at(v.sim.now))
		if v.sim.bug == newLeaderExpiresEarly {
			for name, o := range v.tracker.observed {
				o.observedAt -= time.Hour
				v.tracker.observed[name] = o
			}
		}
	}
	var in entry
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &in) != nil {
		return
	}
	r := v.state.Apply(in.Command)
	if isLeader && v.tracker != nil {
		v.tracker.CommandApplied(&v.state, in.Command.Lease, v.clock.at(v.sim.now))
		if r.Err == nil && in.Command.Kind == Acquire {
			v.sim.grants++
		}
	}
	if respond := v.responders[in.ID]; respond != nil {
		delete(v.responders, in.ID)
		respond(r)
	}
}

func (v *voter) proposeExpirations() {
	if v.tracker == nil {
		return
	}
	due, _ := v.tracker.Due(&v.state, v.clock.at(v.sim.now))
	for _, c := range due {
		data, _ := json.Marshal(entry{Command: c})
		if v.node.Propose(data) != nil {
			v.tracker.ProposalDropped(c.Lease)
		}
	}
}

// client is a process with a Holder for one lease.
type client struct {
	sim          *simulation
	id           int
	clock        clock
	holder       *Holder
	target       int // index of the voter to send to
	paused       bool
	pending      []func() // input that arrived during the pause
	taskRunning  bool
	ignoresStop  bool // the task keeps running after it is requested to stop
	lastSequence int
	wakeAt       time.Duration
}

// do runs f in the client's process: at once, or after a pause.
func (c *client) do(f func()) {
	if c.paused {
		c.pending = append(c.pending, f)
		return
	}
	f()
}

func (c *client) now() time.Duration { return c.clock.at(c.sim.now) }

func (c *client) Send(requestID uint64, cmd Command) {
	c.lastSequence++
	entryID := fmt.Sprint(c.id, "-", c.lastSequence)
	if c.sim.rng.IntN(8) == 0 {
		c.target = c.sim.rng.IntN(len(c.sim.voters))
	}
	to := c.sim.voters[c.target]
	c.sim.send(clientAddress+c.id, to.id, func() {
		to.do(func() {
			data, _ := json.Marshal(entry{entryID, cmd})
			if status := to.node.Status(); status.RaftState != raft.StateLeader {
				leader := int(status.Lead) - 1
				c.sim.send(to.id, clientAddress+c.id, func() {
					if c.target = leader; leader < 0 {
						c.target = c.sim.rng.IntN(len(c.sim.voters))
					}
				})
				return
			}
			to.responders[entryID] = func(r Result) {
				c.sim.send(to.id, clientAddress+c.id, func() {
					c.do(func() {
						if c.sim.bug == claimFromResponse {
							if request, ok := c.holder.pending[requestID]; ok {
								c.holder.pending[requestID] = pendingRequest{request.kind, c.now()}
							}
						}
						if c.sim.bug == releasedGrantReused {
							c.holder.releasedEpoch = 0
						}
						c.holder.HandleResult(c.now(), requestID, r)
					})
				})
			}
			to.node.Propose(data)
		})
	})
}

func (c *client) StartTask(e Epoch, _ []byte) {
	name := c.holder.cfg.Lease
	for _, other := range c.sim.clients {
		if other != c && other.holder.cfg.Lease == name {
			if epoch, until, ok := other.holder.Claim(other.now()); ok {
				c.sim.violations = append(c.sim.violations, fmt.Sprintf("at %v client %d starts its task for %s with epoch %d, while the claim of client %d with epoch %d is valid for another %v", c.sim.now, c.id, name, e, other.id, epoch, until-other.now()))
			}
		}
	}
	if e < c.sim.startedEpoch[name] || e == c.sim.startedEpoch[name] && c.sim.startedBy[name] != c {
		c.sim.violations = append(c.sim.violations, fmt.Sprintf("at %v client %d starts its task for %s with epoch %d after epoch %d was used", c.sim.now, c.id, name, e, c.sim.startedEpoch[name]))
	}
	c.sim.startedEpoch[name], c.sim.startedBy[name] = e, c
	c.taskRunning = true
	var work func()
	work = func() {
		if c.taskRunning {
			c.do(func() { c.holder.ReportProgress(c.now()) })
			c.sim.after(50*ms, work)
		}
	}
	work()
}

func (c *client) StopTask(Reason) {
	d := time.Duration(c.sim.rng.Int64N(int64(c.holder.cfg.Grace)))
	if c.ignoresStop {
		d += 3 * c.holder.cfg.Length
	}
	c.sim.after(d, func() {
		c.do(func() {
			c.taskRunning = false
			c.holder.TaskEnded(c.now())
		})
	})
}

func (c *client) WakeAt(at time.Duration) {
	c.wakeAt = at
	c.sim.after(max(0, time.Duration(float64(at-c.now())/c.clock.rate))+1, func() {
		c.do(func() {
			if c.wakeAt == at {
				c.holder.Wake(c.now())
			}
		})
	})
}

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func newSimulation(t testing.TB, seed uint64, voters, clients, leases int, b bug) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]int]bool{}, leases: leases, startedEpoch: map[string]Epoch{}, startedBy: map[string]*client{}, bug: b}
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
	}
	for i := range voters {
		v := &voter{sim: s, id: i, clock: s.newClock(), disk: raft.NewMemoryStorage(), conf: &raftpb.ConfState{Voters: ids}}
		one := uint64(1)
		v.disk.ApplySnapshot(&raftpb.Snapshot{Data: []byte(`{"leases":{}}`), Metadata: &raftpb.SnapshotMetadata{ConfState: v.conf, Index: &one, Term: &one}})
		s.voters = append(s.voters, v)
		v.start()
	}
	for i := range clients {
		c := &client{sim: s, id: i, clock: s.newClock(), target: s.rng.IntN(voters)}
		c.holder = NewHolder(HolderConfig{
			Lease: fmt.Sprint("l", i%leases), Client: fmt.Sprint("c", i), Length: time.Second, Grace: 100 * ms, StallTimeout: 400 * ms, RetryInterval: 300 * ms, Rand: s.rng.Float64,
		}, c)
		s.clients = append(s.clients, c)
		s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() { c.holder.Start(c.now()) })
	}
	return s
}

// injectFaults starts one or two random faults, and repeats this at random intervals until
// the given time.
func (s *simulation) injectFaults(until time.Duration) {
	if s.now >= until {
		return
	}
	for range 1 + s.rng.IntN(2) {
		v, c := s.voters[s.rng.IntN(len(s.voters))], s.clients[s.rng.IntN(len(s.clients))]
		for _, other := range s.voters { // prefer the leader
			if other.tracker != nil && s.rng.IntN(2) == 0 {
				v = other
			}
		}
		for _, other := range s.clients { // prefer holders
			if other.taskRunning && s.rng.IntN(4) == 0 {
				c = other
			}
		}
		duration := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		switch s.rng.IntN(9) {
		case 0: // crash a voter; it restarts with what is on its disk
			if v.node != nil {
				v.node, v.tracker = nil, nil
				v.incarnation++
				s.after(duration, v.start)
			}
		case 1: // pause a voter
			v.paused = true
			s.after(duration, func() { v.resume() })
		case 2: // pause a client
			c.paused = true
			s.after(duration, func() { c.resume() })
		case 3, 4: // block the links of a voter or a client, in one direction or both
			id := v.id
			if s.rng.IntN(2) == 0 {
				id = clientAddress + c.id
			}
			direction := s.rng.IntN(3)
			for _, other := range s.voters {
				if direction != 0 {
					s.blocked[[2]int{id, other.id}] = true
				}
				if direction != 1 {
					s.blocked[[2]int{other.id, id}] = true
				}
			}
			s.after(duration, func() {
				for _, other := range s.voters {
					delete(s.blocked, [2]int{id, other.id})
					delete(s.blocked, [2]int{other.id, id})
				}
			})
		case 5: // lose messages
			s.lossRate = 0.3 * s.rng.Float64()
			s.after(duration, func() { s.lossRate = 0 })
		case 6: // delay messages by up to twice the lease length, so that many late results arrive at once
			s.maxExtraDelay = time.Duration(s.rng.Int64N(int64(2 * time.Second)))
			s.after(duration, func() { s.maxExtraDelay = 0 })
		case 7: // let a task ignore its stop
			c.ignoresStop = true
			s.after(duration, func() { c.ignoresStop = false })
		case 8: // stop a Holder and start it again
			c.do(func() { c.holder.Stop(c.now()) })
			s.after(time.Duration(s.rng.Int64N(int64(200*ms))), func() { c.do(func() { c.holder.Start(c.now()) }) })
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(700*ms))), func() { s.injectFaults(until) })
}

func (v *voter) resume() {
	v.paused = false
	pending := v.pending
	v.pending = nil
	for _, f := range pending {
		v.do(f)
	}
}

func (c *client) resume() {
	c.paused = false
	pending := c.pending
	c.pending = nil
	for _, f := range pending {
		c.do(f)
	}
}

// simulate runs one simulation: faults from 2 s to 20 s, then time to recover until 30 s.
// It returns the violations, including leases that no client holds at the end.
func simulate(t testing.TB, seed uint64, b bug) (violations []string, s *simulation) {
	rng := rand.New(rand.NewPCG(seed, 8))
	clients := 2 + rng.IntN(12)
	s = newSimulation(t, seed, 1+2*rng.IntN(5), clients, 1+rng.IntN(min(3, clients/2)), b)
	s.after(2*time.Second, func() { s.injectFaults(20 * time.Second) })
	s.run(20 * time.Second)
	// The last faults end within 3 s. An election and the expiry of a lease follow.
	s.run(30 * time.Second)
	violations = s.violations
	held := map[string]bool{}
	for _, c := range s.clients {
		if _, _, ok := c.holder.Claim(c.now()); ok {
			held[c.holder.cfg.Lease] = true
		}
	}
	for i := range s.leases {
		if name := fmt.Sprint("l", i); !held[name] {
			violations = append(violations, "no client holds "+name+" after the faults have ended")
		}
	}
	return violations, s
}

// Under random faults, claims on a lease must not overlap in true time and its epochs must
// grow. After the faults, every lease must be held again.
func TestOneClaimAtATimeUnderFaults(t *testing.T) {
	grants, terms := 0, 0
	for seed := range uint64(*seeds) {
		violations, s := simulate(t, seed, noBug)
		for _, violation := range violations {
			t.Errorf("seed %d, %d voters: %s", seed, len(s.voters), violation)
		}
		grants, terms = grants+s.grants, terms+s.terms
	}
	t.Logf("%d simulations: %d successful acquire commands, %d terms", *seeds, grants, terms)
	if grants < 5**seeds || terms < 3**seeds {
		t.Error("too few acquire commands or terms for a meaningful result")
	}
}

// The simulation must detect each defect that is added on purpose.
func TestSimulationDetectsBugs(t *testing.T) {
	for name, b := range map[string]bug{"claim counted from the response": claimFromResponse, "last epoch lost in a snapshot": snapshotLosesEpoch,
		"new leader expires leases early": newLeaderExpiresEarly, "released grant reused": releasedGrantReused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				// Violations at the start of a task begin with "at". A lease that no client
				// holds at the end is not counted.
				if violations, _ := simulate(t, seed, b); slices.ContainsFunc(violations, func(s string) bool { return s[0] == 'a' }) {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("not detected in 3,000 simulations")
		})
	}
}
