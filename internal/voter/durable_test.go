package voter

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"gorselink/internal/durable"
	"gorselink/internal/quorum"
	"gorselink/lease"
)

// The tests of this file do not run beside others: TestTornLogAnywhere reads behind the ends
// of torn files, and is to find nothing mapped there.

// write is one write to the file of a log.
type write struct {
	at   int64
	text []byte
}

// meta tells whether it is the write that makes a transaction hold: the last one, to one
// of the first two pages, between two syncs. All before it is on the disk by then.
func (w write) meta() bool { return w.at < 2*int64(os.Getpagesize()) }

// faults are what is to go wrong with a disk; all at once may be nil.
type faults struct {
	mu    sync.Mutex
	write func(w write) (bytes int, err error) // instead of the write
	sync  func(after write) bool               // whether the sync that follows is to fail
	files func(op string) error                // renames, removals and syncs of folders
}

func (f *faults) set(to *faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write, f.sync, f.files = to.write, to.sync, to.files
}

func (f *faults) file(op string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files == nil {
		return nil
	}
	return f.files(op)
}

// files is a durable.FS with faults.
type files struct {
	durable.OS
	*faults
}

func (f files) Rename(from, to string) error {
	if err := f.file("rename"); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f files) Remove(path string) error {
	if err := f.file("remove"); err != nil {
		return err
	}
	return f.OS.Remove(path)
}

func (f files) SyncDir(dir string) error {
	if err := f.file("syncdir"); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

// open is an opener whose files fail as f says. The library has no place for that, so its
// own writing is replaced; and for a sync that fails its descriptor is put on a device
// that knows none, as long as it takes.
func (f *faults) open(path string, patience time.Duration) (*bbolt.DB, error) {
	db, err := openBolt(path, patience)
	if err != nil {
		return nil, err
	}
	inside := reflect.ValueOf(db).Elem()
	own := *(**os.File)(unsafe.Pointer(inside.FieldByName("file").UnsafeAddr()))
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(inside.FieldByName("ops").FieldByName("writeAt").UnsafeAddr()))
	fd := int(own.Fd())
	kept, err := syscall.Dup(fd) // which keeps the lock as well
	if err != nil {
		return nil, err
	}
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	real := os.NewFile(uintptr(kept), path)
	broken := false
	*writeAt = func(text []byte, at int64) (int, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		w := write{at, slices.Clone(text)}
		if f.write != nil {
			if n, err := f.write(w); err != nil {
				real.WriteAt(text[:n], at)
				return n, err
			}
		}
		n, err := real.WriteAt(text, at)
		if fails := f.sync != nil && f.sync(w); fails != broken {
			broken = fails
			to := kept
			if fails {
				to = int(null.Fd())
			}
			if err := syscall.Dup3(to, fd, syscall.O_CLOEXEC); err != nil {
				return n, err
			}
		}
		return n, err
	}
	return db, nil
}

// all is what a log holds, as text.
func all(t *testing.T, d *disk) string {
	t.Helper()
	hard, _, err1 := d.InitialState()
	snap, err2 := d.Snapshot()
	last, err3 := d.LastIndex()
	if err := errors.Join(err1, err2, err3); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	at := snap.GetMetadata()
	fmt.Fprintf(&b, "term %d vote %d commit %d snapshot %d/%d %s;", hard.GetTerm(), hard.GetVote(), hard.GetCommit(), at.GetIndex(), at.GetTerm(), snap.GetData())
	for i := at.GetIndex() + 1; i <= last; i++ {
		e, err := d.Entries(i, i+1, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, " %d/%d %s", e[0].GetIndex(), e[0].GetTerm(), e[0].GetData())
	}
	return b.String()
}

func hard(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func entries(term uint64, from, to uint64) (some []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		some = append(some, &raftpb.Entry{Term: ptr(term), Index: ptr(i), Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return some
}

// story is a life of a log: votes, entries, a tail that is replaced, snapshots.
var story = []struct {
	name string
	do   func(d *disk) error
}{
	{"a vote", func(d *disk) error { return d.save(&raft.Ready{HardState: hard(2, 3, 1)}) }},
	{"entries", func(d *disk) error { return d.save(&raft.Ready{HardState: hard(2, 3, 4), Entries: entries(2, 2, 9)}) }},
	{"another tail", func(d *disk) error { return d.save(&raft.Ready{HardState: hard(4, 0, 6), Entries: entries(4, 7, 8)}) }},
	{"its own snapshot", func(d *disk) error {
		return d.compact(6, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte(`{"last":5,"leases":{}}`), 2)
	}},
	{"a vote again", func(d *disk) error { return d.save(&raft.Ready{HardState: hard(5, 1, 6)}) }},
	{"a snapshot from another", func(d *disk) error {
		at := &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, Index: ptr(uint64(7)), Term: ptr(uint64(4))}
		return d.save(&raft.Ready{HardState: hard(5, 1, 7), Snapshot: &raftpb.Snapshot{Data: []byte(`{"last":6,"leases":{}}`), Metadata: at}})
	}},
	{"entries after it", func(d *disk) error { return d.save(&raft.Ready{HardState: hard(5, 1, 8), Entries: entries(5, 8, 9)}) }},
}

var ledgerOne = identity{Cluster: "c", ID: 1}

// lived is a log after so many parts of the story.
func lived(t *testing.T, f *faults, parts int) *disk {
	t.Helper()
	dir := t.TempDir()
	if err := Init(dir, "c", 1, []uint64{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskOn(files{faults: f}, f.open, dir, ledgerOne)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range story[:parts] {
		if err := part.do(d); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// found is what a voter finds that starts with this file.
func found(t *testing.T, dir string, text []byte) string {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, fileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := openDisk(dir, ledgerOne)
	if err != nil {
		return err.Error()
	}
	defer d.close()
	return all(t, d)
}

func bytesOf(t *testing.T, d *disk) []byte {
	t.Helper()
	text, err := os.ReadFile(d.path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// What a voter promises is on its disk before. A kill at any step or byte leaves what was
// promised before, or all that was to be promised; a write or sync that fails, for once or
// for a while, promises nothing, and what is promised next stands in a file that was
// written anew.
func TestStateWritesFailAndTear(t *testing.T) {
	for k, part := range story {
		t.Run("kill/"+part.name, func(t *testing.T) { killedIn(t, k) })
		t.Run("fail/"+part.name, func(t *testing.T) { failsIn(t, k) })
	}
}

// killedIn cuts a part of the story off at every step and looks at what is found.
func killedIn(t *testing.T, k int) {
	f := &faults{}
	d := lived(t, f, k)
	was, base := all(t, d), bytesOf(t, d)
	var writes []write
	f.set(&faults{write: func(w write) (int, error) { writes = append(writes, w); return 0, nil }})
	if err := story[k].do(d); err != nil {
		t.Fatal(err)
	}
	is, after := all(t, d), bytesOf(t, d)
	dir := t.TempDir()
	if got := found(t, dir, after); got != is {
		t.Errorf("found %s, want %s", got, is)
	}
	if len(writes) < 2 || !writes[len(writes)-1].meta() {
		t.Fatalf("%d writes, the last one at %d", len(writes), writes[len(writes)-1].at)
	}
	image := make([]byte, max(len(base), len(after)))
	copy(image, base)
	for _, w := range writes {
		step := 512
		if w.meta() {
			step = 1
		}
		for cut := 0; cut < len(w.text); cut += step {
			if cut > 100 {
				step = 512
			}
			torn := slices.Clone(image)
			copy(torn[w.at:], w.text[:cut])
			if got := found(t, dir, torn); got != was && got != is {
				t.Fatalf("cut off at byte %d of the write at %d: found %s, want %s or %s", cut, w.at, got, was, is)
			}
		}
		copy(image[w.at:], w.text)
	}
	// Before the sync that comes before the last write, the system may have written any part.
	for lost := range writes[:len(writes)-1] {
		some := make([]byte, len(image))
		copy(some, base)
		for i, w := range writes[:len(writes)-1] {
			if i != lost {
				copy(some[w.at:], w.text)
			}
		}
		if got := found(t, dir, some); got != was {
			t.Errorf("without write %d: found %s, want %s", lost, got, was)
		}
	}
}

// ways are how a disk can fail in one part of the story.
var ways = map[string]func() *faults{
	"no room for the first write": func() *faults {
		return &faults{write: func(write) (int, error) { return 0, syscall.ENOSPC }}
	},
	"half of the last write": func() *faults {
		return &faults{write: func(w write) (int, error) {
			if w.meta() {
				return 20, syscall.EIO
			}
			return 0, nil
		}}
	},
	"the sync before it": func() *faults { return &faults{sync: func(write) bool { return true }} },
	"the sync after it":  func() *faults { return &faults{sync: write.meta} },
}

// then are the faults that a rewrite meets after that, before the disk is well.
var then = map[string]func() *faults{
	"well":        func() *faults { return &faults{} },
	"still so":    ways["no room for the first write"],
	"no sync":     ways["the sync after it"],
	"no removal":  func() *faults { return failing("remove") },
	"no rename":   func() *faults { return failing("rename") },
	"folder lost": func() *faults { return failing("syncdir") },
}

func failing(op string) *faults {
	return &faults{files: func(is string) error {
		if is == op {
			return syscall.EIO
		}
		return nil
	}}
}

func failsIn(t *testing.T, k int) {
	if story[k].name == "its own snapshot" {
		snapshotFails(t, k)
		return
	}
	for way, make := range ways {
		for next, again := range then {
			failsOnce(t, k, way+", then "+next, make(), again(), next == "well")
		}
	}
}

// failsOnce does a part of the story on a disk that fails in one way, then in another, and
// then is well.
func failsOnce(t *testing.T, k int, name string, first, second *faults, well bool) {
	f := &faults{}
	d := lived(t, f, k)
	was := all(t, d)
	before, err := os.Open(d.path) // held, so that its number is not given to another file
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	seen := t.TempDir()
	var kills []string // what kills would have left
	try := func(with *faults, works bool) {
		t.Helper()
		f.set(with)
		err := story[k].do(d)
		switch {
		case works && err != nil:
			t.Errorf("%s: %v", name, err)
		case !works && (err == nil || !strings.Contains(err.Error(), d.path)):
			t.Errorf("%s: error %v, want one that names the file", name, err)
		case !works && all(t, d) != was:
			t.Errorf("%s: failed, and it holds %s, want %s", name, all(t, d), was)
		case works && same(t, before, d.path):
			t.Errorf("%s: promised by the file whose write had failed", name)
		}
		kills = append(kills, found(t, seen, bytesOf(t, d)))
	}
	try(first, false)
	try(second, well)
	if !well {
		try(&faults{}, true)
	}
	is := all(t, d)
	for i, got := range kills {
		if got != is && (got != was || i == len(kills)-1) {
			t.Errorf("%s: a kill after try %d leaves %s, want %s", name, i+1, got, is)
		}
	}
	goesOn(t, d, k, name)
}

// goesOn does the rest of the story and looks at what is found of all of it.
func goesOn(t *testing.T, d *disk, k int, name string) {
	t.Helper()
	for _, part := range story[k+1:] {
		if err := part.do(d); err != nil {
			t.Errorf("%s: %s: %v", name, part.name, err)
		}
	}
	is := all(t, d)
	if err := d.close(); err != nil {
		t.Error(err)
	}
	if got := found(t, t.TempDir(), bytesOf(t, d)); got != is {
		t.Errorf("%s: found %s, want %s", name, got, is)
	}
}

// snapshotFails shows that a snapshot that fails loses nothing and holds nothing up.
func snapshotFails(t *testing.T, k int) {
	for way, make := range ways {
		f := &faults{}
		d := lived(t, f, k)
		f.set(make())
		if err := story[k].do(d); err == nil || !strings.Contains(err.Error(), d.path) {
			t.Errorf("%s: error %v, want one that names the file", way, err)
		}
		f.set(&faults{})
		goesOn(t, d, k, way)
	}
}

// same tells whether a path still leads to a file.
func same(t *testing.T, file *os.File, path string) bool {
	t.Helper()
	was, err1 := file.Stat()
	is, err2 := os.Stat(path)
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	return os.SameFile(was, is)
}

// A log that is being made is there whole, for good, or not at all: a kill or a failure
// leaves none, which can be made then.
func TestInitIsWholeOrNothing(t *testing.T) {
	for step := range 5 { // the last step is the sync of the folder, after the rename
		dir := filepath.Join(t.TempDir(), "above", "votes")
		n := -1
		fails := &faults{files: func(string) error {
			if n++; n == step {
				return syscall.EIO
			}
			return nil
		}}
		if err := initLog(files{faults: fails}, dir, ledgerOne); err == nil || HasLog(dir) {
			t.Errorf("step %d fails: %v, and there is a log: %v", step, err, HasLog(dir))
		}
		if err := initLog(durable.OS{}, dir, ledgerOne); err != nil {
			t.Errorf("after step %d failed: %v", step, err)
		}
	}
	whole := written(t, t.TempDir(), 0)
	for cut := 0; cut <= len(whole); cut += 509 {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName+newName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if HasLog(dir) {
			t.Error("half of a log is taken for one")
		}
		if err := Init(dir, "c", 1, []uint64{1}); err != nil {
			t.Errorf("beside one that was cut off at %d: %v", cut, err)
		}
	}
	var ops []string
	recorded := &faults{files: func(op string) error { ops = append(ops, op); return nil }}
	if err := initLog(files{faults: recorded}, filepath.Join(t.TempDir(), "above", "votes"), ledgerOne); err != nil {
		t.Fatal(err)
	}
	if want := []string{"syncdir", "syncdir", "remove", "rename", "syncdir"}; !slices.Equal(ops, want) {
		t.Errorf("made by %q, want %q", ops, want)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if !HasLog(file) || Init(file, "c", 1, []uint64{1}) == nil {
		t.Error("a folder that cannot be looked at is taken for one with no log")
	}
}

// oldLog is what the first version of the program has written: votes, entries and a
// snapshot of its own.
const oldLog = "testdata/first.db.gz"

// A log of the first version is taken up as it stands, and one that was written anew has
// the same form.
func TestOldLogIsTakenUp(t *testing.T) {
	packed, err := os.Open(oldLog)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	is := found(t, dir, text)
	want := `term 3 vote 2 commit 22 snapshot 10/3 {"last":7,"leases":{}};`
	if !strings.HasPrefix(is, want) || !strings.Contains(is, " 22/3 ") {
		t.Fatalf("found %s, want %s and entries up to 22", is, want)
	}
	d, err := openDisk(dir, ledgerOne)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.rewrite(&raft.Ready{}); err != nil {
		t.Fatal(err)
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	if got := found(t, dir, bytesOf(t, d)); got != is {
		t.Errorf("written anew: %s, want %s", got, is)
	}
}

const patience = time.Minute

// addressOf is one of the loopback that no other process takes.
func addressOf(voter int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7001", 100+pid%100, pid/100%250, voter)
}

// cluster runs voters in this process, each with faults of its disk, and is a client.
func cluster(t *testing.T, all []*faults) *quorum.Client {
	t.Helper()
	var voters []quorum.Voter
	var ids []uint64
	for i := range all {
		voters = append(voters, quorum.Voter{ID: uint64(i + 1), Address: addressOf(i + 1)})
		ids = append(ids, uint64(i+1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, f := range all {
		dir := t.TempDir()
		if err := Init(dir, "c", ids[i], ids); err != nil {
			t.Fatal(err)
		}
		d, err := openDiskOn(files{faults: f}, f.open, dir, identity{Cluster: "c", ID: ids[i]})
		if err != nil {
			t.Fatal(err)
		}
		n, err := newNode(Config{Cluster: "c", ID: ids[i], Voters: voters, Tick: 50 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}, d)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() {
			if err := n.Run(ctx); err != nil {
				t.Errorf("voter %d ended: %v", n.cfg.ID, err)
			}
		})
	}
	cl, err := quorum.NewClient("c", voters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cl.Close(); cancel(); running.Wait() })
	return cl
}

// granted asks for a lease until it is granted, or for so long.
func granted(cl *quorum.Client, name string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		r, err := cl.Do(ctx, lease.Command{Kind: lease.Acquire, Lease: name, Client: "me", Length: lease.MaxLength})
		if err == nil || ctx.Err() != nil {
			return errors.Join(err, r.Err)
		}
	}
}

// still is a voter that does not run, of a cluster of so many, in which the test does
// what its loop would do.
func still(t *testing.T, f *faults, voters int) *Node {
	t.Helper()
	dir := t.TempDir()
	cfg := Config{Cluster: "c", ID: 1, Listen: "127.0.0.1:0", Tick: time.Hour, Log: slog.New(slog.DiscardHandler)}
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
		cfg.Voters = append(cfg.Voters, quorum.Voter{ID: uint64(i + 1), Address: "127.0.0.1:1"})
	}
	if err := Init(dir, "c", 1, ids); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskOn(files{faults: f}, f.open, dir, ledgerOne)
	if err != nil {
		t.Fatal(err)
	}
	n, err := newNode(cfg, d)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.l.Close(); d.close() })
	for _, id := range ids[1:] {
		n.peers[id] = make(chan *raftpb.Message, mostQueue)
	}
	return n
}

func (n *Node) mustReady(t *testing.T) {
	t.Helper()
	if err := n.ready(); err != nil {
		t.Fatal(err)
	}
}

func ask(kind raftpb.MessageType, from, term, index uint64) *raftpb.Message {
	return &raftpb.Message{Type: kind.Enum(), From: ptr(from), To: ptr(uint64(1)), Term: ptr(term), Index: ptr(index), LogTerm: ptr(term - 1)}
}

// A voter that cannot write hears of no other term, stands for no election and answers
// nobody; once it can, its vote is on the disk before its answer goes out.
func TestStalledVoterPromisesNothing(t *testing.T) {
	f := &faults{}
	n := still(t, f, 3)
	n.mustReady(t)
	full := ways["no room for the first write"]
	f.set(full())
	n.step(ask(raftpb.MsgVote, 2, 4, 9))
	n.mustReady(t)
	if n.stall == nil || len(n.peers[2]) != 0 {
		t.Fatalf("a vote that could not be written: stalled %v, %d messages out", n.stall != nil, len(n.peers[2]))
	}
	for range 10 * electionTicks {
		n.tick()
	}
	n.step(ask(raftpb.MsgVote, 3, 8, 9))
	if err := n.resume(); err != nil || n.stall == nil {
		t.Fatalf("tried again in vain: %v, stalled %v", err, n.stall != nil)
	}
	st := n.raw.BasicStatus()
	if st.RaftState != raft.StateFollower || st.HardState.GetTerm() != 4 || len(n.peers[2])+len(n.peers[3]) != 0 {
		t.Errorf("while stalled: %v of term %d, %d and %d messages out", st.RaftState, st.HardState.GetTerm(), len(n.peers[2]), len(n.peers[3]))
	}
	f.set(&faults{})
	if err := n.resume(); err != nil || n.stall != nil || len(n.peers[2]) != 1 {
		t.Fatalf("the disk is well: %v, stalled %v, %d messages out", err, n.stall != nil, len(n.peers[2]))
	}
	if got := found(t, t.TempDir(), bytesOf(t, n.disk)); !strings.HasPrefix(got, "term 4 vote 2 ") {
		t.Errorf("voted for 2 in term 4, and on the disk is %s", got)
	}
}

// A leader that cannot write tells its clients to go to others, and how it stands.
func TestStalledLeaderSendsClientsOn(t *testing.T) {
	f := &faults{}
	n := still(t, f, 1)
	for n.keeper == nil {
		n.tick()
		n.mustReady(t)
	}
	s := &session{out: make(chan []byte, mostQueue)}
	n.sessions[s] = true
	says := func(a quorum.Request) (is quorum.Response) {
		t.Helper()
		n.asked(s, &a)
		n.mustReady(t)
		select {
		case text := <-s.out:
			if err := json.Unmarshal(text[1:], &is); err != nil {
				t.Fatal(err)
			}
		default:
			t.Fatalf("%+v is not answered", a)
		}
		return is
	}
	acquire := quorum.Request{RequestID: 1, Command: &lease.Command{Kind: lease.Acquire, Lease: "a", Client: "me", Length: lease.MaxLength}}
	f.set(&faults{write: func(write) (int, error) { return 0, syscall.ENOSPC }})
	for _, a := range []quorum.Request{acquire, acquire, {RequestID: 2, List: true}, {RequestID: 3, Watch: "a"}} {
		if is := says(a); !is.NotLeader || is.Leader != 0 || is.RequestID != a.RequestID {
			t.Errorf("%+v: answered %+v", a, is)
		}
	}
	if is := says(quorum.Request{RequestID: 4, Status: true}); is.Status == nil || is.Status.ID != 1 {
		t.Errorf("status: answered %+v", is)
	}
	f.set(&faults{})
	if err := n.resume(); err != nil {
		t.Fatal(err)
	}
	n.mustReady(t)
	if is := says(acquire); is.NotLeader || is.Error != "" || is.Record.Holder != "me" {
		t.Errorf("the disk is well: answered %+v", is)
	}
}

// A voter whose disk fails for a while stays, says how it stands, promises nothing, and
// takes part again later; the others go on meanwhile.
func TestVoterOutlastsItsDisk(t *testing.T) {
	disks := []*faults{{}, {}, {}}
	cl := cluster(t, disks)
	if err := granted(cl, "a", patience); err != nil {
		t.Fatal(err)
	}
	full := ways["no room for the first write"]
	disks[0].set(full())
	if err := granted(cl, "b", patience); err != nil {
		t.Errorf("one disk fails: %v", err)
	}
	disks[1].set(full())
	if err := granted(cl, "c", 700*time.Millisecond); err == nil {
		t.Error("granted with two disks of three that cannot be written to")
	}
	disks[0].set(&faults{})
	if err := granted(cl, "d", patience); err != nil {
		t.Errorf("one of two disks is well again: %v", err)
	}
	disks[2].set(full()) // so that the first one has to have the whole of it
	disks[1].set(&faults{})
	if err := granted(cl, "e", patience); err != nil {
		t.Errorf("another one fails: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		// Its loop may be in a sync, which takes what it takes on a busy machine.
		st, err := quorum.StatusOf(ctx, "c", quorum.Voter{ID: 3, Address: addressOf(3)})
		if err == nil && st.ID == 3 {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("a voter whose disk is full: %+v, %v", st, err)
		}
	}
	leases, err := cl.List(ctx)
	if err != nil || leases["a"].Holder != "me" || leases["e"].Holder != "me" {
		t.Errorf("leases %+v, %v", leases, err)
	}
}
