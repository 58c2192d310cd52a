// Package leaseserver implements a voter of the lease server: it replicates the lease state
// across a small cluster with etcd's Raft library and serves lease requests of clients. It owns the sockets, the log file and the clock; package
// lease implements the lease state machine.
package leaseserver

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
	"gorselink/internal/leaseclient"
	"gorselink/lease"
)

// Config configures a voter. Cluster and Voters must be equal at all voters of a cluster.
type Config struct {
	Cluster string
	ID      uint64
	Voters  []leaseclient.Voter
	Listen  string // listen address; if empty, the voter's address in Voters
	Dir     string
	Tick    time.Duration // Raft tick; 0 means DefaultTick. An election starts after at least ten ticks without a leader.
	Log     *slog.Logger  // nil disables logging
}

// DefaultTick gives an election timeout of 1 to 2 s.
const DefaultTick = 100 * time.Millisecond

const (
	electionTicks    = 10
	snapshotInterval = 10_000 // applied entries between two snapshots
	retainedEntries  = 1_000  // kept before the snapshot for slow followers
	maxConns         = 2_000  // from clients and voters together
	maxQueued        = 1_000  // messages per voter, frames per client
	maxBatch         = 1_000  // tasks per loop iteration
	writeTimeout     = 10 * time.Second
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = time.Second
	minRewriteDelay  = 50 * time.Millisecond
	maxRewriteDelay  = time.Second
)

func (c *Config) validate() error {
	seen := map[uint64]bool{}
	for _, v := range c.Voters {
		if v.ID == 0 || seen[v.ID] {
			return fmt.Errorf("leaseserver: voter ID %d: IDs must be positive and unique", v.ID)
		}
		if _, _, err := net.SplitHostPort(v.Address); err != nil {
			return fmt.Errorf("leaseserver: voter %d: %w", v.ID, err)
		}
		seen[v.ID] = true
	}
	if !seen[c.ID] {
		return fmt.Errorf("leaseserver: ID %d is not among the configured voters", c.ID)
	}
	if c.Cluster == "" {
		return errors.New("leaseserver: cluster name is empty")
	}
	return nil
}

// Node is one voter of the lease server. Only the goroutine that runs loop accesses its mutable state.
type Node struct {
	cfg      Config
	log      *slog.Logger
	storage  *diskStorage
	listener net.Listener
	tasks    chan func() // functions to run in loop
	done     chan struct{}

	rawNode       *raft.RawNode
	failedWrite   *failedWrite // nil unless the last write of the log failed
	confState     *raftpb.ConfState
	state         lease.State
	appliedIndex  uint64
	snapshotIndex uint64
	expiryTracker *lease.ExpiryTracker
	pending       map[uint64]pendingRequest // by proposal number
	lastNumber    uint64                    // number of the latest proposal
	nonce         uint64                    // distinguishes proposals of this process from those of earlier ones
	watchers      map[string]map[*session]bool
	sessions      map[*session]bool
	peerQueues    map[uint64]chan *raftpb.Message
}

// pendingRequest is a client request whose proposal has not been applied yet.
type pendingRequest struct {
	session   *session
	requestID uint64
}

// logEntry is the payload of a Raft log entry.
type logEntry struct {
	Nonce   uint64        `json:"nonce,omitempty"`
	Number  uint64        `json:"number,omitempty"`
	Command lease.Command `json:"command"`
}

// Open opens a voter's log and its listener.
func Open(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	d, err := openDiskStorage(cfg.Dir, identity{Cluster: cfg.Cluster, ID: cfg.ID})
	if err != nil {
		return nil, err
	}
	return newNode(cfg, d)
}

// newNode creates a voter that uses storage d. It closes d if it fails.
func newNode(cfg Config, d *diskStorage) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Log, storage: d, tasks: make(chan func(), maxBatch), done: make(chan struct{}), nonce: rand.Uint64(),
		pending: map[uint64]pendingRequest{}, watchers: map[string]map[*session]bool{}, sessions: map[*session]bool{}, peerQueues: map[uint64]chan *raftpb.Message{},
	}
	snap, err := d.Snapshot()
	if err == nil {
		err = n.restore(snap)
	}
	if err == nil {
		n.rawNode, err = raft.NewRawNode(&raft.Config{
			ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: d, Applied: n.appliedIndex, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 256,
			MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: discardLogger,
		})
	}
	if err == nil {
		listen := cfg.Listen
		for _, v := range cfg.Voters {
			if v.ID == cfg.ID && listen == "" {
				listen = v.Address
			}
		}
		n.listener, err = net.Listen("tcp", listen)
	}
	if err != nil {
		d.close()
		return nil, fmt.Errorf("leaseserver: %w", err)
	}
	return n, nil
}

// discardLogger drops the log lines of the Raft library. This package logs state changes itself.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// restore replaces the lease state with the one in a snapshot.
func (n *Node) restore(snap *raftpb.Snapshot) error {
	if err := n.state.Restore(snap.GetData()); err != nil {
		return err
	}
	n.confState, n.appliedIndex = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	return nil
}

// failedWrite holds a raft.Ready that could not be written. Until a retry succeeds the voter is
// suspended: it ignores ticks and messages, sends nothing to peers and responds to lease
// requests with "not the leader".
type failedWrite struct {
	ready raft.Ready // to be written before any other work
	delay time.Duration
	retry <-chan time.Time
}

// Run runs the voter until ctx ends. A failed write of the log suspends the voter and is
// retried; it does not end Run.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, v := range n.cfg.Voters {
		if v.ID != n.cfg.ID {
			queue := make(chan *raftpb.Message, maxQueued)
			n.peerQueues[v.ID] = queue
			wg.Go(func() { n.sendToPeer(ctx, v, queue) })
		}
	}
	wg.Go(func() { n.acceptConns(ctx, &wg) })
	err := n.loop(ctx)
	close(n.done)
	cancel()
	n.listener.Close()
	wg.Wait()
	return errors.Join(err, n.storage.close())
}

// loop processes ticks, tasks and write retries until ctx ends.
func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTicker(n.cfg.Tick)
	defer tick.Stop()
	for {
		if err := n.handleReady(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.tick()
		case <-n.writeRetry():
			if err := n.retryWrite(); err != nil {
				return err
			}
		case f := <-n.tasks:
			f()
		}
		// Run the tasks that are already queued first, so that they share one write of the log.
		for range maxBatch {
			select {
			case f := <-n.tasks:
				f()
				continue
			default:
			}
			break
		}
	}
}

// enqueue queues f to run in the loop. It returns false if the loop has ended.
func (n *Node) enqueue(f func()) bool {
	select {
	case n.tasks <- f:
		return true
	case <-n.done:
		return false
	}
}

// handleReady writes and applies the pending raft.Ready values and compacts the log when due. It
// stops at the first failed write.
func (n *Node) handleReady() error {
	for n.failedWrite == nil && n.rawNode.HasReady() {
		rd := n.rawNode.Ready()
		if err := n.storage.save(&rd); err != nil {
			n.log.Error("log write failed: voter is suspended until a retry succeeds", "error", err)
			n.failedWrite = &failedWrite{ready: rd}
			n.failedWrite.scheduleRetry()
			n.failPending()
			return nil
		}
		if err := n.applyReady(rd); err != nil {
			return err
		}
	}
	if n.failedWrite == nil && n.appliedIndex-n.snapshotIndex >= snapshotInterval {
		return n.compact()
	}
	return nil
}

// scheduleRetry schedules the next attempt with exponential backoff. The jitter keeps voters
// on one machine from retrying at the same time.
func (w *failedWrite) scheduleRetry() {
	w.delay = min(max(minRewriteDelay, 2*w.delay), maxRewriteDelay)
	w.retry = time.After(w.delay/2 + time.Duration(rand.Int64N(int64(w.delay))))
}

// writeRetry returns the channel that signals the next write attempt, or nil if no write failed.
func (n *Node) writeRetry() <-chan time.Time {
	if n.failedWrite == nil {
		return nil
	}
	return n.failedWrite.retry
}

// retryWrite repeats a failed write and, if it succeeds, resumes normal operation.
func (n *Node) retryWrite() error {
	w := n.failedWrite
	if err := n.storage.save(&w.ready); err != nil {
		n.log.Debug("log write retry failed: voter stays suspended and retries", "error", err)
		w.scheduleRetry()
		return nil
	}
	n.log.Info("log write retry succeeded: voter resumes")
	n.failedWrite = nil
	return n.applyReady(w.ready)
}

// tick advances the Raft clock and proposes lease expirations. It does nothing while the voter is
// suspended.
func (n *Node) tick() {
	if n.failedWrite == nil {
		n.rawNode.Tick()
		n.proposeExpirations()
	}
}

// step passes a message from another voter to Raft. While the voter is suspended it drops messages;
// the other voters send them again.
func (n *Node) step(m *raftpb.Message) {
	if n.failedWrite == nil {
		n.rawNode.Step(m)
	}
}

// compact creates a snapshot of the lease state and shortens the log. A failed write does not
// suspend the voter, because the log stays valid.
func (n *Node) compact() error {
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	if err := n.storage.compact(n.appliedIndex, n.confState, data, retainedEntries); err != nil {
		n.log.Error("log compaction failed: voter continues with the longer log", "error", err)
	}
	n.snapshotIndex = n.appliedIndex
	return nil
}

// applyReady sends the messages and applies the committed entries of a written raft.Ready.
func (n *Node) applyReady(rd raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.restore(rd.Snapshot); err != nil {
			return err
		}
		n.log.Info("lease state restored from a snapshot", "index", n.appliedIndex)
	}
	if rd.SoftState != nil {
		if rd.SoftState.RaftState != raft.StateLeader && n.expiryTracker != nil {
			n.expiryTracker = nil
			n.failPending()
		}
		n.log.Info("raft state changed", "leader", rd.SoftState.Lead, "own", n.cfg.ID, "state", rd.SoftState.RaftState.String())
	}
	for _, m := range rd.Messages {
		select {
		case n.peerQueues[m.GetTo()] <- m:
		default: // the queue is full; Raft repeats the message if necessary
			n.rawNode.ReportUnreachable(m.GetTo())
		}
	}
	for _, e := range rd.CommittedEntries {
		n.apply(e)
	}
	n.rawNode.Advance(rd)
	return nil
}

// apply applies a committed entry to the lease state, notifies watchers and responds to the
// client that sent the command.
func (n *Node) apply(e *raftpb.Entry) {
	n.appliedIndex = e.GetIndex()
	status := n.rawNode.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	if isLeader && n.expiryTracker == nil && e.GetTerm() == status.HardState.GetTerm() { // all entries of earlier terms are applied
		n.expiryTracker = lease.NewExpiryTracker(&n.state, leaseclient.Now())
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var entry logEntry
	if err := json.Unmarshal(e.GetData(), &entry); err != nil {
		n.log.Error("log entry skipped: it cannot be decoded by this version", "index", e.GetIndex(), "error", err)
		return
	}
	name := entry.Command.Lease
	before, _ := n.state.Get(name)
	result := n.state.Apply(entry.Command)
	if n.expiryTracker != nil {
		n.expiryTracker.CommandApplied(&n.state, name, leaseclient.Now())
	}
	if result.Err == nil && (before.Holder != result.Record.Holder || before.Epoch != result.Record.Epoch) {
		for watcher := range n.watchers[name] {
			watcher.send(leaseclient.FrameLeaseChange, leaseclient.LeaseChange{Lease: name, Record: result.Record})
		}
	}
	if request, ok := n.pending[entry.Number]; ok && entry.Nonce == n.nonce {
		delete(n.pending, entry.Number)
		response := leaseclient.Response{RequestID: request.requestID, Record: result.Record}
		if result.Err != nil {
			response.Error, response.Code = result.Err.Error(), leaseclient.ErrorCode(result.Err)
		}
		request.session.send(leaseclient.FrameResponse, response)
	}
}

// failPending sends a "not the leader" response to all pending requests. Their proposals
// may still be committed.
func (n *Node) failPending() {
	for number, request := range n.pending {
		delete(n.pending, number)
		request.session.send(leaseclient.FrameResponse, n.notLeaderResponse(request.requestID))
	}
}

// notLeaderResponse returns the response of a voter that cannot execute a request, with
// the ID of the leader if another voter is known to be it.
func (n *Node) notLeaderResponse(requestID uint64) leaseclient.Response {
	response := leaseclient.Response{RequestID: requestID, NotLeader: true, Error: "not the leader"}
	if leader := n.rawNode.BasicStatus().Lead; leader != n.cfg.ID {
		response.Leader = leader
	}
	return response
}

// proposeExpirations proposes the expiration of leases that are due.
func (n *Node) proposeExpirations() {
	if n.expiryTracker == nil {
		return
	}
	due, _ := n.expiryTracker.Due(&n.state, leaseclient.Now())
	for _, c := range due {
		if n.propose(logEntry{Command: c}) != nil {
			n.expiryTracker.ProposalDropped(c.Lease)
		}
	}
}

// propose proposes an entry for the Raft log. It returns an error if Raft drops the
// proposal, for example because this voter is not the leader.
func (n *Node) propose(e logEntry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return n.rawNode.Propose(data)
}

// handleRequest handles a request of a client.
func (n *Node) handleRequest(s *session, req *leaseclient.Request) {
	if !n.sessions[s] {
		return
	}
	if req.Status {
		status := n.rawNode.BasicStatus()
		snap, _ := n.storage.Snapshot()
		s.send(leaseclient.FrameResponse, leaseclient.Response{RequestID: req.RequestID, Status: &leaseclient.Status{
			ID: n.cfg.ID, Term: status.HardState.GetTerm(), Leader: status.Lead, AppliedIndex: n.appliedIndex, Leases: len(n.state.Names()), Clients: len(n.sessions),
			SnapshotIndex: snap.GetMetadata().GetIndex(),
		}})
		return
	}
	if n.expiryTracker == nil || n.failedWrite != nil { // a new leader first applies all entries of earlier terms
		s.send(leaseclient.FrameResponse, n.notLeaderResponse(req.RequestID))
		return
	}
	if req.Watch != "" {
		if n.watchers[req.Watch] == nil {
			n.watchers[req.Watch] = map[*session]bool{}
		}
		n.watchers[req.Watch][s] = true
		s.watchedLeases = append(s.watchedLeases, req.Watch)
		record, _ := n.state.Get(req.Watch)
		s.send(leaseclient.FrameResponse, leaseclient.Response{RequestID: req.RequestID, Record: record})
		return
	}
	if req.List {
		records := map[string]lease.Record{}
		for _, name := range n.state.Names() {
			records[name], _ = n.state.Get(name)
		}
		s.send(leaseclient.FrameResponse, leaseclient.Response{RequestID: req.RequestID, Leases: records})
		return
	}
	if req.Command == nil || req.Command.Kind == lease.Expire { // only the leader itself proposes expirations
		s.send(leaseclient.FrameResponse, leaseclient.Response{RequestID: req.RequestID, Error: "request has no command, or one that clients must not send", Code: "bounds"})
		return
	}
	n.lastNumber++
	n.pending[n.lastNumber] = pendingRequest{session: s, requestID: req.RequestID}
	if err := n.propose(logEntry{n.nonce, n.lastNumber, *req.Command}); err != nil {
		delete(n.pending, n.lastNumber)
		s.send(leaseclient.FrameResponse, n.notLeaderResponse(req.RequestID))
	}
}

// sendToPeer sends queued Raft messages to another voter and redials after a failure. Each
// voter uses its own outgoing connection.
func (n *Node) sendToPeer(ctx context.Context, v leaseclient.Voter, queue <-chan *raftpb.Message) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		err := n.sendOverConn(ctx, v, queue, func() { delay = minRedialDelay })
		if ctx.Err() != nil {
			return
		}
		n.log.Warn("connection to voter failed: queued messages are dropped and it is redialed", "voter", v.ID, "address", v.Address, "error", err)
		timer := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		delay = min(2*delay, maxRedialDelay)
		for len(queue) > 0 { // the queued messages are outdated
			<-queue
		}
	}
}

// sendOverConn dials a voter and sends queued messages until the connection fails.
func (n *Node) sendOverConn(ctx context.Context, v leaseclient.Voter, queue <-chan *raftpb.Message, onConnected func()) error {
	dialer := net.Dialer{Timeout: leaseclient.HandshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", v.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	frames := leaseclient.NewFrameConn(conn)
	peer, err := frames.Handshake(leaseclient.Hello{Cluster: n.cfg.Cluster, Voter: n.cfg.ID})
	if err != nil {
		return err
	}
	if peer.Voter != v.ID {
		return fmt.Errorf("unexpected voter at this address: its ID is %d", peer.Voter)
	}
	onConnected()
	closed := make(chan error, 1)
	go func() { // the peer sends at most one frame, to reject the connection
		_, _, err := frames.ReadFrame(leaseclient.MaxClientFrameBytes)
		closed <- errorOr(err, errors.New("peer sent an unexpected frame"))
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-closed:
			return err
		case m := <-queue:
			data, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := frames.WriteFrame(leaseclient.FrameRaftMessage, data); err != nil {
				return err
			}
			if m.GetType() == raftpb.MsgSnap {
				n.enqueue(func() { n.rawNode.ReportSnapshot(v.ID, raft.SnapshotFinish) })
			}
		}
	}
}

// errorOr returns err, or fallback if err is nil.
func errorOr(err, fallback error) error {
	if err == nil {
		return fallback
	}
	return err
}

// acceptConns accepts connections from voters and clients. It closes connections above maxConns.
func (n *Node) acceptConns(ctx context.Context, wg *sync.WaitGroup) {
	slots := make(chan struct{}, maxConns)
	acceptloop.Serve(n.listener, func(conn net.Conn) {
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			n.serveConn(leaseclient.NewFrameConn(conn))
		})
	})
}

// serveConn performs the handshake and serves a voter or a client.
func (n *Node) serveConn(frames *leaseclient.FrameConn) {
	peer, err := frames.Handshake(leaseclient.Hello{Cluster: n.cfg.Cluster, Voter: n.cfg.ID})
	if err != nil {
		if !errors.Is(err, io.EOF) {
			n.log.Warn("handshake failed: connection closed", "from", frames.RemoteAddr(), "error", err)
		}
		return
	}
	if peer.Voter != 0 {
		n.servePeer(frames, peer.Voter)
		return
	}
	n.serveClient(frames)
}

// servePeer receives Raft messages from another voter.
func (n *Node) servePeer(frames *leaseclient.FrameConn, peerID uint64) {
	if !slices.ContainsFunc(n.cfg.Voters, func(v leaseclient.Voter) bool { return v.ID == peerID }) || peerID == n.cfg.ID {
		frames.WriteJSON(leaseclient.FrameHello, leaseclient.Hello{Error: fmt.Sprintf("voter %d is not a voter of this cluster", peerID)})
		return
	}
	for {
		kind, body, err := frames.ReadFrame(leaseclient.MaxFrameBytes)
		if err != nil || kind != leaseclient.FrameRaftMessage {
			return
		}
		m := &raftpb.Message{}
		if proto.Unmarshal(body, m) != nil || m.GetFrom() != peerID || m.GetTo() != n.cfg.ID || raft.IsLocalMsg(m.GetType()) {
			n.log.Warn("invalid Raft message from voter: connection closed", "voter", peerID)
			return
		}
		if !n.enqueue(func() { n.step(m) }) {
			return
		}
	}
}

// session is a client connection with a queue of outgoing frames. A client that reads too
// slowly is disconnected, so that it does not block the loop.
type session struct {
	frames        *leaseclient.FrameConn
	queue         chan []byte
	overflowed    bool // accessed only by the loop
	watchedLeases []string
}

// send queues a frame and closes the connection if the queue is full.
func (s *session) send(kind byte, v any) {
	body, err := json.Marshal(v)
	if err != nil || s.overflowed {
		return
	}
	select {
	case s.queue <- append([]byte{kind}, body...):
	default:
		s.overflowed = true
		s.frames.Close()
	}
}

// serveClient queues the requests of a client for the loop and writes the responses.
func (n *Node) serveClient(frames *leaseclient.FrameConn) {
	s := &session{frames: frames, queue: make(chan []byte, maxQueued)}
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for {
			select {
			case <-stop:
				return
			case frame := <-s.queue:
				frames.SetWriteDeadline(time.Now().Add(writeTimeout))
				if frames.WriteFrame(frame[0], frame[1:]) != nil {
					frames.Close()
					return
				}
			}
		}
	})
	n.enqueue(func() { n.sessions[s] = true })
	for {
		kind, body, err := frames.ReadFrame(leaseclient.MaxClientFrameBytes)
		var req leaseclient.Request
		if err != nil || kind != leaseclient.FrameRequest || json.Unmarshal(body, &req) != nil {
			break
		}
		if !n.enqueue(func() { n.handleRequest(s, &req) }) {
			break
		}
	}
	close(stop)
	writer.Wait()
	n.enqueue(func() {
		delete(n.sessions, s)
		for _, name := range s.watchedLeases {
			delete(n.watchers[name], s)
			if len(n.watchers[name]) == 0 {
				delete(n.watchers, name)
			}
		}
		for number, request := range n.pending {
			if request.session == s {
				delete(n.pending, number)
			}
		}
	})
}
