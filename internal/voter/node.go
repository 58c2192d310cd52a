// Package voter keeps the state of leases alike at a few processes, by the consensus engine
// of etcd, its log in a bbolt file, and does what clients ask. It owns the sockets, the
// disk and the clock; what a lease is stands in package lease.
package voter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"gorselink/internal/acceptloop"
	"gorselink/internal/quorum"
	"gorselink/lease"
)

// Config says what a voter is. All voters have the same Cluster and Voters.
type Config struct {
	Cluster string
	ID      uint64
	Voters  []quorum.Voter
	Listen  string // "" for the voter's address; another one where the way to it is not straight
	Dir     string
	Tick    time.Duration // of the engine: a leader that is not heard for ten of them is replaced; 0 for DefaultTick
	Log     *slog.Logger  // nil for none
}

// DefaultTick makes an election begin after 1 to 2 s of silence.
const DefaultTick = 100 * time.Millisecond

const (
	electionTicks = 10
	snapshotEvery = 10_000 // entries of the log
	snapshotKeep  = 1_000
	mostConns     = 2_000 // of clients and voters
	mostQueue     = 1_000 // messages to a voter, news to a client: more are dropped
	mostBatch     = 1_000 // of what one turn of the loop takes in before it writes
	writePatience = 10 * time.Second
	redialLeast   = 50 * time.Millisecond
	redialMost    = time.Second
	rewriteLeast  = 50 * time.Millisecond
	rewriteMost   = time.Second
)

func (c *Config) check() error {
	seen := map[uint64]bool{}
	for _, v := range c.Voters {
		if v.ID == 0 || seen[v.ID] {
			return fmt.Errorf("voter: voter %d: want numbers from 1, each once", v.ID)
		}
		if _, _, err := net.SplitHostPort(v.Address); err != nil {
			return fmt.Errorf("voter: voter %d: %w", v.ID, err)
		}
		seen[v.ID] = true
	}
	if !seen[c.ID] {
		return fmt.Errorf("voter: number %d is none of the voters", c.ID)
	}
	if c.Cluster == "" {
		return errors.New("voter: the cluster has no name")
	}
	return nil
}

// Node is a voter. All that changes is changed by one goroutine, its loop.
type Node struct {
	cfg  Config
	log  *slog.Logger
	disk *disk
	l    net.Listener
	work chan func() // for the loop
	done chan struct{}

	raw      *raft.RawNode
	stall    *stall // not nil while the log cannot be written
	conf     *raftpb.ConfState
	state    lease.State
	applied  uint64
	snapshot uint64
	keeper   *lease.ExpiryTracker
	waiting  map[uint64]waiting // by the number of a proposal
	number   uint64
	nonce    uint64 // tells our proposals from those of earlier lives
	watchers map[string]map[*session]bool
	sessions map[*session]bool
	peers    map[uint64]chan *raftpb.Message
}

type waiting struct {
	s      *session
	number uint64
}

// entry is what the log holds.
type entry struct {
	Nonce   uint64        `json:"nonce,omitempty"`
	Number  uint64        `json:"number,omitempty"`
	Command lease.Command `json:"command"`
}

// Open opens a voter's log and its listener. Where it fails, it must not vote, and the
// error says why.
func Open(cfg Config) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	d, err := openDisk(cfg.Dir, identity{Cluster: cfg.Cluster, ID: cfg.ID})
	if err != nil {
		return nil, err
	}
	return newNode(cfg, d)
}

// newNode makes a voter of its log, which it closes if it fails.
func newNode(cfg Config, d *disk) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Log, disk: d, work: make(chan func(), mostBatch), done: make(chan struct{}), nonce: rand.Uint64(),
		waiting: map[uint64]waiting{}, watchers: map[string]map[*session]bool{}, sessions: map[*session]bool{}, peers: map[uint64]chan *raftpb.Message{},
	}
	snap, err := d.Snapshot()
	if err == nil {
		err = n.restore(snap)
	}
	if err == nil {
		n.raw, err = raft.NewRawNode(&raft.Config{
			ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: d, Applied: n.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 256,
			MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet,
		})
	}
	if err == nil {
		listen := cfg.Listen
		for _, v := range cfg.Voters {
			if v.ID == cfg.ID && listen == "" {
				listen = v.Address
			}
		}
		n.l, err = net.Listen("tcp", listen)
	}
	if err != nil {
		d.close()
		return nil, fmt.Errorf("voter: %w", err)
	}
	return n, nil
}

// quiet keeps the engine's own lines off: what matters of them is logged here.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func (n *Node) restore(snap *raftpb.Snapshot) error {
	if err := n.state.Restore(snap.GetData()); err != nil {
		return err
	}
	n.conf, n.applied = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	n.snapshot = n.applied
	return nil
}

// stall is the state of a voter that could not write what it was to promise. It promises
// nothing: it neither votes nor leads nor takes entries, and tells clients to go to others.
// To these it is as one that has stopped.
type stall struct {
	ready raft.Ready // what has to be written before anything else happens
	wait  time.Duration
	again <-chan time.Time
}

// Run votes until ctx ends. While the log cannot be written it promises nothing, and tries
// again.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for _, v := range n.cfg.Voters {
		if v.ID != n.cfg.ID {
			queue := make(chan *raftpb.Message, mostQueue)
			n.peers[v.ID] = queue
			all.Go(func() { n.toPeer(ctx, v, queue) })
		}
	}
	all.Go(func() { n.accept(ctx, &all) })
	err := n.loop(ctx)
	close(n.done)
	cancel()
	n.l.Close()
	all.Wait()
	return errors.Join(err, n.disk.close())
}

func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTicker(n.cfg.Tick)
	defer tick.Stop()
	for {
		if err := n.ready(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.tick()
		case <-n.again():
			if err := n.resume(); err != nil {
				return err
			}
		case f := <-n.work:
			f()
		}
		// What has come meanwhile shares one write to the disk.
		for range mostBatch {
			select {
			case f := <-n.work:
				f()
				continue
			default:
			}
			break
		}
	}
}

// do has the loop do something; false if it has ended.
func (n *Node) do(f func()) bool {
	select {
	case n.work <- f:
		return true
	case <-n.done:
		return false
	}
}

// ready does what the engine has ready, unless the log cannot be written.
func (n *Node) ready() error {
	for n.stall == nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if err := n.disk.save(&rd); err != nil {
			n.log.Error("the log cannot be written: this voter promises nothing until it can", "error", err)
			n.stall = &stall{ready: rd}
			n.stall.later()
			n.abandon()
			return nil
		}
		if err := n.carryOut(rd); err != nil {
			return err
		}
	}
	if n.stall == nil && n.applied-n.snapshot >= snapshotEvery {
		return n.compact()
	}
	return nil
}

// later sets when to try again: later each time, and not with other voters of the machine.
func (s *stall) later() {
	s.wait = min(max(rewriteLeast, 2*s.wait), rewriteMost)
	s.again = time.After(s.wait/2 + time.Duration(rand.Int64N(int64(s.wait))))
}

// again is when to try to write once more.
func (n *Node) again() <-chan time.Time {
	if n.stall == nil {
		return nil
	}
	return n.stall.again
}

// resume tries to write what is owed, and goes on from there.
func (n *Node) resume() error {
	s := n.stall
	if err := n.disk.save(&s.ready); err != nil {
		n.log.Debug("the log still cannot be written", "error", err)
		s.later()
		return nil
	}
	n.log.Info("the log is written again")
	n.stall = nil
	return n.carryOut(s.ready)
}

// tick lets the engine's time go on. For one that is stalled it stands still.
func (n *Node) tick() {
	if n.stall == nil {
		n.raw.Tick()
		n.expire()
	}
}

// step hands the engine a message of another voter. One that cannot promise is deaf: what
// it may be told again later needs no room now.
func (n *Node) step(m *raftpb.Message) {
	if n.stall == nil {
		n.raw.Step(m)
	}
}

// compact makes a snapshot of the state. It is no promise, so that a failure holds up
// nothing.
func (n *Node) compact() error {
	text, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	if err := n.disk.compact(n.applied, n.conf, text, snapshotKeep); err != nil {
		n.log.Error("the log is not shortened", "error", err)
	}
	n.snapshot = n.applied
	return nil
}

// carryOut does what has been written: it sends, applies and answers.
func (n *Node) carryOut(rd raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.restore(rd.Snapshot); err != nil {
			return err
		}
		n.log.Info("lease state taken from a snapshot", "index", n.applied)
	}
	if rd.SoftState != nil {
		if rd.SoftState.RaftState != raft.StateLeader && n.keeper != nil {
			n.keeper = nil
			n.abandon()
		}
		n.log.Info("quorum", "leader", rd.SoftState.Lead, "own", n.cfg.ID, "state", rd.SoftState.RaftState.String())
	}
	for _, m := range rd.Messages {
		select {
		case n.peers[m.GetTo()] <- m:
		default: // the engine sends again what matters
			n.raw.ReportUnreachable(m.GetTo())
		}
	}
	for _, e := range rd.CommittedEntries {
		n.apply(e)
	}
	n.raw.Advance(rd)
	return nil
}

// apply carries out what is committed.
func (n *Node) apply(e *raftpb.Entry) {
	n.applied = e.GetIndex()
	s := n.raw.BasicStatus()
	lead := s.RaftState == raft.StateLeader
	if lead && n.keeper == nil && e.GetTerm() == s.HardState.GetTerm() { // all of before is applied
		n.keeper = lease.NewExpiryTracker(&n.state, quorum.Now())
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var in entry
	if err := json.Unmarshal(e.GetData(), &in); err != nil {
		n.log.Error("an entry of the log that this version cannot read does nothing", "index", e.GetIndex(), "error", err)
		return
	}
	name := in.Command.Lease
	was, _ := n.state.Get(name)
	r := n.state.Apply(in.Command)
	if n.keeper != nil {
		n.keeper.CommandApplied(&n.state, name, quorum.Now())
	}
	if r.Err == nil && (was.Holder != r.Record.Holder || was.Epoch != r.Record.Epoch) {
		for s := range n.watchers[name] {
			s.tell(quorum.FrameLeaseChange, quorum.LeaseChange{Lease: name, Record: r.Record})
		}
	}
	if w, ok := n.waiting[in.Number]; ok && in.Nonce == n.nonce {
		delete(n.waiting, in.Number)
		a := quorum.Response{RequestID: w.number, Record: r.Record}
		if r.Err != nil {
			a.Error, a.Code = r.Err.Error(), quorum.ErrorCode(r.Err)
		}
		w.s.tell(quorum.FrameResponse, a)
	}
}

// abandon answers what is waiting once this voter leads no more: whether it is done is
// not known here.
func (n *Node) abandon() {
	for k, w := range n.waiting {
		delete(n.waiting, k)
		w.s.tell(quorum.FrameResponse, n.notLeader(w.number))
	}
}

func (n *Node) notLeader(number uint64) quorum.Response {
	a := quorum.Response{RequestID: number, NotLeader: true, Error: "not the leader"}
	if lead := n.raw.BasicStatus().Lead; lead != n.cfg.ID {
		a.Leader = lead
	}
	return a
}

// expire proposes the ends of leases that are over.
func (n *Node) expire() {
	if n.keeper == nil {
		return
	}
	due, _ := n.keeper.Due(&n.state, quorum.Now())
	for _, c := range due {
		if n.propose(entry{Command: c}) != nil {
			n.keeper.ProposalDropped(c.Lease)
		}
	}
}

func (n *Node) propose(e entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return n.raw.Propose(text)
}

// asked does what a client asks.
func (n *Node) asked(s *session, a *quorum.Request) {
	if !n.sessions[s] {
		return
	}
	if a.Status {
		st := n.raw.BasicStatus()
		snap, _ := n.disk.Snapshot()
		s.tell(quorum.FrameResponse, quorum.Response{RequestID: a.RequestID, Status: &quorum.Status{
			ID: n.cfg.ID, Term: st.HardState.GetTerm(), Leader: st.Lead, AppliedIndex: n.applied, Leases: len(n.state.Names()), Clients: len(n.sessions),
			SnapshotIndex: snap.GetMetadata().GetIndex(),
		}})
		return
	}
	if n.keeper == nil || n.stall != nil { // also a leader that has not yet applied all of before
		s.tell(quorum.FrameResponse, n.notLeader(a.RequestID))
		return
	}
	if a.Watch != "" {
		if n.watchers[a.Watch] == nil {
			n.watchers[a.Watch] = map[*session]bool{}
		}
		n.watchers[a.Watch][s] = true
		s.watches = append(s.watches, a.Watch)
		r, _ := n.state.Get(a.Watch)
		s.tell(quorum.FrameResponse, quorum.Response{RequestID: a.RequestID, Record: r})
		return
	}
	if a.List {
		all := map[string]lease.Record{}
		for _, name := range n.state.Names() {
			all[name], _ = n.state.Get(name)
		}
		s.tell(quorum.FrameResponse, quorum.Response{RequestID: a.RequestID, Leases: all})
		return
	}
	if a.Command == nil || a.Command.Kind == lease.Expire { // that is the leader's own
		s.tell(quorum.FrameResponse, quorum.Response{RequestID: a.RequestID, Error: "no command", Code: "bounds"})
		return
	}
	n.number++
	n.waiting[n.number] = waiting{s: s, number: a.RequestID}
	if err := n.propose(entry{n.nonce, n.number, *a.Command}); err != nil {
		delete(n.waiting, n.number)
		s.tell(quorum.FrameResponse, n.notLeader(a.RequestID))
	}
}

// toPeer carries the engine's messages to another voter, over a connection of our own.
func (n *Node) toPeer(ctx context.Context, v quorum.Voter, queue <-chan *raftpb.Message) {
	wait := redialLeast
	for ctx.Err() == nil {
		err := n.carry(ctx, v, queue, func() { wait = redialLeast })
		if ctx.Err() != nil {
			return
		}
		n.log.Warn("voter not reached", "voter", v.ID, "address", v.Address, "error", err)
		t := time.NewTimer(wait/2 + time.Duration(rand.Int64N(int64(wait))))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		wait = min(2*wait, redialMost)
		for len(queue) > 0 { // what waited is old by now
			<-queue
		}
	}
}

func (n *Node) carry(ctx context.Context, v quorum.Voter, queue <-chan *raftpb.Message, reached func()) error {
	d := net.Dialer{Timeout: quorum.HandshakeTimeout}
	c, err := d.DialContext(ctx, "tcp", v.Address)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	l := quorum.NewFrameConn(c)
	other, err := l.Handshake(quorum.Hello{Cluster: n.cfg.Cluster, Voter: n.cfg.ID})
	if err != nil {
		return err
	}
	if other.Voter != v.ID {
		return fmt.Errorf("voter %d is there", other.Voter)
	}
	reached()
	broken := make(chan error, 1)
	go func() { // nothing is to come but the reason of an end
		_, _, err := l.ReadFrame(quorum.MaxClientFrameBytes)
		broken <- cmpErr(err, errors.New("a frame that nobody asked for"))
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case m := <-queue:
			text, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			c.SetWriteDeadline(time.Now().Add(writePatience))
			if err := l.WriteFrame(quorum.FrameRaftMessage, text); err != nil {
				return err
			}
			if m.GetType() == raftpb.MsgSnap {
				n.do(func() { n.raw.ReportSnapshot(v.ID, raft.SnapshotFinish) })
			}
		}
	}
}

func cmpErr(err, without error) error {
	if err == nil {
		return without
	}
	return err
}

// accept takes connections of voters and clients.
func (n *Node) accept(ctx context.Context, all *sync.WaitGroup) {
	slots := make(chan struct{}, mostConns)
	acceptloop.Serve(n.l, func(c net.Conn) {
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			return
		}
		all.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			n.serve(quorum.NewFrameConn(c))
		})
	})
}

func (n *Node) serve(l *quorum.FrameConn) {
	other, err := l.Handshake(quorum.Hello{Cluster: n.cfg.Cluster, Voter: n.cfg.ID})
	if err != nil {
		if !errors.Is(err, io.EOF) {
			n.log.Warn("turned away", "from", l.RemoteAddr(), "error", err)
		}
		return
	}
	if other.Voter != 0 {
		n.fromPeer(l, other.Voter)
		return
	}
	n.fromClient(l)
}

func (n *Node) fromPeer(l *quorum.FrameConn, from uint64) {
	if !slices.ContainsFunc(n.cfg.Voters, func(v quorum.Voter) bool { return v.ID == from }) || from == n.cfg.ID {
		l.WriteJSON(quorum.FrameHello, quorum.Hello{Error: fmt.Sprintf("voter %d is none of ours", from)})
		return
	}
	for {
		kind, body, err := l.ReadFrame(quorum.MaxFrameBytes)
		if err != nil || kind != quorum.FrameRaftMessage {
			return
		}
		m := &raftpb.Message{}
		if proto.Unmarshal(body, m) != nil || m.GetFrom() != from || m.GetTo() != n.cfg.ID || raft.IsLocalMsg(m.GetType()) {
			n.log.Warn("a message that is not one of that voter", "voter", from)
			return
		}
		if !n.do(func() { n.step(m) }) {
			return
		}
	}
}

// session is a client's connection. What is told it waits in a queue of its own: a client
// that does not read loses its connection and holds up nobody.
type session struct {
	l       *quorum.FrameConn
	out     chan []byte
	full    bool // of the loop
	watches []string
}

func (s *session) tell(kind byte, v any) {
	body, err := json.Marshal(v)
	if err != nil || s.full {
		return
	}
	select {
	case s.out <- append([]byte{kind}, body...):
	default:
		s.full = true
		s.l.Close()
	}
}

func (n *Node) fromClient(l *quorum.FrameConn) {
	s := &session{l: l, out: make(chan []byte, mostQueue)}
	stop := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() {
		for {
			select {
			case <-stop:
				return
			case f := <-s.out:
				l.SetWriteDeadline(time.Now().Add(writePatience))
				if l.WriteFrame(f[0], f[1:]) != nil {
					l.Close()
					return
				}
			}
		}
	})
	n.do(func() { n.sessions[s] = true })
	for {
		kind, body, err := l.ReadFrame(quorum.MaxClientFrameBytes)
		var a quorum.Request
		if err != nil || kind != quorum.FrameRequest || json.Unmarshal(body, &a) != nil {
			break
		}
		if !n.do(func() { n.asked(s, &a) }) {
			break
		}
	}
	close(stop)
	writing.Wait()
	n.do(func() {
		delete(n.sessions, s)
		for _, w := range s.watches {
			delete(n.watchers[w], s)
			if len(n.watchers[w]) == 0 {
				delete(n.watchers, w)
			}
		}
		for k, w := range n.waiting {
			if w.s == s {
				delete(n.waiting, k)
			}
		}
	})
}
