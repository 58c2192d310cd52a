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

var seeds = flag.Int("lease.seeds", 100, "storms that TestOneHolderInAnyStorm plays")

const ms = time.Millisecond

// world is a quorum of the real engine and its clients in virtual time: messages are
// lost, delayed and cut, processes stop and go on, crash and come back with what they had
// on disk, and clocks run up to 1% apart in rate. It knows true time, which nobody else
// does. (The engine draws its election times itself: a seed repeats the storm, not the
// votes.)
type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	events   queue
	order    int
	voters   []*voter
	clients  []*client
	cut      map[[2]int]bool // from, to; clients count from 100
	loss     float64
	slow     time.Duration
	leases   int
	begun    map[string]Epoch // the newest that a duty has begun with
	holder   map[string]*client
	grants   int
	overlaps []string
	planted  fault
	leaders  int
}

// fault is a bug that is planted on purpose.
type fault int

const (
	sound              fault = iota
	claimFromAnswer          // the claim counts from when the answer came
	epochLost                // the last epoch is not in a snapshot
	newLeaderImpatient       // a new leader does not wait for what the one before had granted
	lateAnswerBegins         // a grant that was given back is taken up again
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].order < q[k].order
}
func (q queue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// send carries something from a party to another, if it comes through.
func (w *world) send(from, to int, do func()) {
	if w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(ms+time.Duration(w.rng.Int64N(int64(2*ms)))+time.Duration(w.rng.Float64()*float64(w.slow)), do)
}

// clock runs at its own rate from a begin of its own.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

func (w *world) clock() clock {
	return clock{1 + Drift/2*(2*w.rng.Float64()-1), time.Duration(w.rng.Int64N(int64(time.Hour)))}
}

type voter struct {
	w       *world
	id      int
	clock   clock
	disk    *raft.MemoryStorage
	raw     *raft.RawNode
	life    int
	stopped bool
	pending []func() // what came while it was stopped
	state   State
	applied uint64
	keeper  *ExpiryTracker
	conf    *raftpb.ConfState
	reply   map[string]func(Reply)
}

// entry is what the log holds.
type entry struct {
	ID      string
	Command Command
}

const tick = 10 * ms

func (v *voter) start() {
	v.life++
	v.raw, v.keeper, v.reply, v.pending, v.stopped = nil, nil, map[string]func(Reply){}, nil, false
	v.state, v.applied = State{}, 0
	if snap, _ := v.disk.Snapshot(); !raft.IsEmptySnap(snap) {
		v.restore(snap)
	}
	raw, err := raft.NewRawNode(&raft.Config{
		ID: uint64(v.id + 1), ElectionTick: 10, HeartbeatTick: 1, Storage: v.disk, Applied: v.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 256,
		CheckQuorum: true, PreVote: true, Logger: quiet,
	})
	if err != nil {
		v.w.t.Fatal(err)
	}
	v.raw = raw
	life := v.life
	var beat func()
	beat = func() {
		if v.life != life {
			return
		}
		v.do(func() {
			v.raw.Tick()
			v.expire()
		})
		v.w.after(time.Duration(float64(tick)/v.clock.rate), beat)
	}
	v.w.after(time.Duration(v.w.rng.Int64N(int64(tick))), beat)
}

// do has the process do something; one that is stopped does it when it goes on.
func (v *voter) do(f func()) {
	switch {
	case v.raw == nil:
	case v.stopped:
		if len(v.pending) < 1000 {
			v.pending = append(v.pending, f)
		}
	default:
		f()
		v.ready()
	}
}

func (v *voter) ready() {
	for v.raw != nil && v.raw.HasReady() {
		rd := v.raw.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.disk.ApplySnapshot(rd.Snapshot)
			v.restore(rd.Snapshot)
		}
		v.disk.Append(rd.Entries)
		if !raft.IsEmptyHardState(rd.HardState) {
			v.disk.SetHardState(rd.HardState)
		}
		for _, m := range rd.Messages {
			to := v.w.voters[m.GetTo()-1]
			life := to.life
			v.w.send(v.id, to.id, func() {
				if to.life == life {
					to.do(func() { to.raw.Step(m) })
				}
			})
		}
		if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
			v.keeper = nil
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		v.raw.Advance(rd)
	}
	if v.raw != nil && v.applied-first(v.disk) > 60 {
		text, _ := v.state.Snapshot()
		v.disk.CreateSnapshot(v.applied, v.conf, text)
		v.disk.Compact(v.applied - 10)
	}
}

func first(s *raft.MemoryStorage) uint64 { i, _ := s.FirstIndex(); return i - 1 }

func (v *voter) restore(snap *raftpb.Snapshot) {
	if err := v.state.Restore(snap.GetData()); err != nil {
		v.w.t.Fatal(err)
	}
	if v.w.planted == epochLost {
		v.state.last = 0
		for _, r := range v.state.leases {
			if r.Holder != "" {
				v.state.last = max(v.state.last, r.Epoch)
			}
		}
	}
	v.applied = snap.GetMetadata().GetIndex()
}

func (v *voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	status := v.raw.Status()
	lead := status.RaftState == raft.StateLeader
	if lead && v.keeper == nil && e.GetTerm() == status.GetTerm() { // all of before is applied
		v.w.leaders++
		v.keeper = NewExpiryTracker(&v.state, v.clock.at(v.w.now))
		if v.w.planted == newLeaderImpatient {
			for name, s := range v.keeper.seen {
				s.since -= time.Hour
				v.keeper.seen[name] = s
			}
		}
	}
	var in entry
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &in) != nil {
		return
	}
	r := v.state.Apply(in.Command)
	if lead && v.keeper != nil {
		v.keeper.CommandApplied(&v.state, in.Command.Lease, v.clock.at(v.w.now))
		if r.Err == nil && in.Command.Kind == Acquire {
			v.w.grants++
		}
	}
	if answer := v.reply[in.ID]; answer != nil {
		delete(v.reply, in.ID)
		answer(r)
	}
}

func (v *voter) expire() {
	if v.keeper == nil {
		return
	}
	due, _ := v.keeper.Due(&v.state, v.clock.at(v.w.now))
	for _, c := range due {
		text, _ := json.Marshal(entry{Command: c})
		if v.raw.Propose(text) != nil {
			v.keeper.ProposalDropped(c.Lease)
		}
	}
}

// client is a process that wants one lease.
type client struct {
	w       *world
	id      int
	clock   clock
	h       *Holder
	guess   int
	stopped bool
	pending []func()
	running bool
	deaf    bool // its duty does not heed its end for a while
	asks    int
	wake    time.Duration
}

func (c *client) do(f func()) {
	if c.stopped {
		c.pending = append(c.pending, f)
		return
	}
	f()
}

func (c *client) now() time.Duration { return c.clock.at(c.w.now) }

func (c *client) Ask(number uint64, cmd Command) {
	c.asks++
	id := fmt.Sprint(c.id, "-", c.asks)
	if c.w.rng.IntN(8) == 0 {
		c.guess = c.w.rng.IntN(len(c.w.voters))
	}
	to := c.w.voters[c.guess]
	c.w.send(100+c.id, to.id, func() {
		to.do(func() {
			text, _ := json.Marshal(entry{id, cmd})
			if s := to.raw.Status(); s.RaftState != raft.StateLeader {
				lead := int(s.Lead) - 1
				c.w.send(to.id, 100+c.id, func() {
					if c.guess = lead; lead < 0 {
						c.guess = c.w.rng.IntN(len(c.w.voters))
					}
				})
				return
			}
			to.reply[id] = func(r Reply) {
				c.w.send(to.id, 100+c.id, func() {
					c.do(func() {
						if c.w.planted == claimFromAnswer {
							if q, ok := c.h.asked[number]; ok {
								c.h.asked[number] = question{q.kind, c.now()}
							}
						}
						if c.w.planted == lateAnswerBegins {
							c.h.released = 0
						}
						c.h.Answer(c.now(), number, r)
					})
				})
			}
			to.raw.Propose(text)
		})
	})
}

func (c *client) Begin(e Epoch, _ []byte) {
	name := c.h.cfg.Lease
	for _, o := range c.w.clients {
		if o != c && o.h.cfg.Lease == name {
			if epoch, until, ok := o.h.Claims(o.now()); ok {
				c.w.overlaps = append(c.w.overlaps, fmt.Sprintf("at %v client %d begins %s with epoch %d while client %d claims it with %d for another %v", c.w.now, c.id, name, e, o.id, epoch, until-o.now()))
			}
		}
	}
	if e < c.w.begun[name] || e == c.w.begun[name] && c.w.holder[name] != c {
		c.w.overlaps = append(c.w.overlaps, fmt.Sprintf("at %v client %d begins %s with epoch %d after %d", c.w.now, c.id, name, e, c.w.begun[name]))
	}
	c.w.begun[name], c.w.holder[name] = e, c
	c.running = true
	var work func()
	work = func() {
		if c.running {
			c.do(func() { c.h.Progress(c.now()) })
			c.w.after(50*ms, work)
		}
	}
	work()
}

func (c *client) End(Reason) {
	d := time.Duration(c.w.rng.Int64N(int64(c.h.cfg.Grace)))
	if c.deaf {
		d += 3 * c.h.cfg.Length
	}
	c.w.after(d, func() {
		c.do(func() {
			c.running = false
			c.h.Ended(c.now())
		})
	})
}

func (c *client) Wake(at time.Duration) {
	c.wake = at
	c.w.after(max(0, time.Duration(float64(at-c.now())/c.clock.rate))+1, func() {
		c.do(func() {
			if c.wake == at {
				c.h.Wake(c.now())
			}
		})
	})
}

var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func newWorld(t testing.TB, seed uint64, voters, clients, leases int, planted fault) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]int]bool{}, leases: leases, begun: map[string]Epoch{}, holder: map[string]*client{}, planted: planted}
	var all []uint64
	for i := range voters {
		all = append(all, uint64(i+1))
	}
	for i := range voters {
		v := &voter{w: w, id: i, clock: w.clock(), disk: raft.NewMemoryStorage(), conf: &raftpb.ConfState{Voters: all}}
		one := uint64(1)
		v.disk.ApplySnapshot(&raftpb.Snapshot{Data: []byte(`{"leases":{}}`), Metadata: &raftpb.SnapshotMetadata{ConfState: v.conf, Index: &one, Term: &one}})
		w.voters = append(w.voters, v)
		v.start()
	}
	for i := range clients {
		c := &client{w: w, id: i, clock: w.clock(), guess: w.rng.IntN(voters)}
		c.h = NewHolder(HolderConfig{
			Lease: fmt.Sprint("l", i%leases), Client: fmt.Sprint("c", i), Length: time.Second, Grace: 100 * ms, Stall: 400 * ms, RetryInterval: 300 * ms, Draw: w.rng.Float64,
		}, c)
		w.clients = append(w.clients, c)
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { c.h.Start(c.now()) })
	}
	return w
}

// storm does something bad to somebody now and then until a time.
func (w *world) storm(until time.Duration) {
	if w.now >= until {
		return
	}
	for range 1 + w.rng.IntN(2) {
		v, c := w.voters[w.rng.IntN(len(w.voters))], w.clients[w.rng.IntN(len(w.clients))]
		for _, o := range w.voters { // the leader is hit more often than others
			if o.keeper != nil && w.rng.IntN(2) == 0 {
				v = o
			}
		}
		for _, o := range w.clients { // so are holders
			if o.running && w.rng.IntN(4) == 0 {
				c = o
			}
		}
		lasts := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
		switch w.rng.IntN(9) {
		case 0: // crash and return, with what is on disk
			if v.raw != nil {
				v.raw, v.keeper = nil, nil
				v.life++
				w.after(lasts, v.start)
			}
		case 1:
			v.stopped = true
			w.after(lasts, func() { v.goOn() })
		case 2:
			c.stopped = true
			w.after(lasts, func() { c.goOn() })
		case 3, 4: // cut, one way or both, a voter or a client
			id := v.id
			if w.rng.IntN(2) == 0 {
				id = 100 + c.id
			}
			one := w.rng.IntN(3)
			for _, o := range w.voters {
				if one != 0 {
					w.cut[[2]int{id, o.id}] = true
				}
				if one != 1 {
					w.cut[[2]int{o.id, id}] = true
				}
			}
			w.after(lasts, func() {
				for _, o := range w.voters {
					delete(w.cut, [2]int{id, o.id})
					delete(w.cut, [2]int{o.id, id})
				}
			})
		case 5:
			w.loss = 0.3 * w.rng.Float64()
			w.after(lasts, func() { w.loss = 0 })
		case 6: // delays of up to twice the length, then none: late answers in a heap
			w.slow = time.Duration(w.rng.Int64N(int64(2 * time.Second)))
			w.after(lasts, func() { w.slow = 0 })
		case 7:
			c.deaf = true
			w.after(lasts, func() { c.deaf = false })
		case 8: // stops wanting it, and wants it again
			c.do(func() { c.h.Stop(c.now()) })
			w.after(time.Duration(w.rng.Int64N(int64(200*ms))), func() { c.do(func() { c.h.Start(c.now()) }) })
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(700*ms))), func() { w.storm(until) })
}

func (v *voter) goOn() {
	v.stopped = false
	all := v.pending
	v.pending = nil
	for _, f := range all {
		v.do(f)
	}
}

func (c *client) goOn() {
	c.stopped = false
	all := c.pending
	c.pending = nil
	for _, f := range all {
		c.do(f)
	}
}

// play has a storm of 20 s and a calm, and tells what was wrong.
func play(t testing.TB, seed uint64, planted fault) (wrong []string, w *world) {
	rng := rand.New(rand.NewPCG(seed, 8))
	clients := 2 + rng.IntN(12)
	w = newWorld(t, seed, 1+2*rng.IntN(5), clients, 1+rng.IntN(min(3, clients/2)), planted)
	w.after(2*time.Second, func() { w.storm(20 * time.Second) })
	w.run(20 * time.Second)
	// What still lasts ends within 3 s; then a length, an election and what is out.
	w.run(30 * time.Second)
	wrong = w.overlaps
	held := map[string]bool{}
	for _, c := range w.clients {
		if _, _, ok := c.h.Claims(c.now()); ok {
			held[c.h.cfg.Lease] = true
		}
	}
	for i := range w.leases {
		if name := fmt.Sprint("l", i); !held[name] {
			wrong = append(wrong, "nobody holds "+name+" in the calm")
		}
	}
	return wrong, w
}

// No two processes claim a lease at the same true time, its epochs only grow, and it is
// held again after the storm, whatever the storm.
func TestOneHolderInAnyStorm(t *testing.T) {
	grants, leaders := 0, 0
	for seed := range uint64(*seeds) {
		wrong, w := play(t, seed, sound)
		for _, x := range wrong {
			t.Errorf("seed %d, %d voters: %s", seed, len(w.voters), x)
		}
		grants, leaders = grants+w.grants, leaders+w.leaders
	}
	t.Logf("%d storms: %d grants and repeats of them, %d terms", *seeds, grants, leaders)
	if grants < 5**seeds || leaders < 3**seeds {
		t.Error("too little has happened for this to say anything")
	}
}

// The checker finds each bug that is planted.
func TestPlantedBugsAreFound(t *testing.T) {
	for name, f := range map[string]fault{"claim counted from the answer": claimFromAnswer, "epoch lost at a snapshot": epochLost,
		"a new leader that does not wait": newLeaderImpatient, "a grant that was given back is taken up": lateAnswerBegins} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				if wrong, _ := play(t, seed, f); slices.ContainsFunc(wrong, func(s string) bool { return s[0] == 'a' }) {
					t.Logf("seed %d: %s", seed, wrong[0])
					return
				}
			}
			t.Error("not found in 3,000 storms")
		})
	}
}
