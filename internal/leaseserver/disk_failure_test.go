package leaseserver

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
	"gorselink/internal/leaseclient"
	"gorselink/lease"
)

// The tests in this file do not run in parallel with other tests: TestDamagedLogIsDetected reads
// beyond the ends of truncated files, where no other file may be mapped.

// diskWrite is one write to a log file.
type diskWrite struct {
	offset int64
	data   []byte
}

// isMetaPage reports whether the write goes to one of the two bbolt meta pages. This write commits
// a transaction; it is preceded and followed by a sync.
func (w diskWrite) isMetaPage() bool { return w.offset < 2*int64(os.Getpagesize()) }

// diskFaults injects disk failures. A nil function injects no failure.
type diskFaults struct {
	mu    sync.Mutex
	write func(w diskWrite) (bytes int, err error) // returns an error and how much of the data is written before it
	sync  func(after diskWrite) bool               // reports whether the sync after this write fails
	fsys  func(op string) error                    // returns the error of a rename, removal or directory sync
}

// set replaces the injected failures by those of to.
func (f *diskFaults) set(to *diskFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write, f.sync, f.fsys = to.write, to.sync, to.fsys
}

func (f *diskFaults) fsOperation(op string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fsys == nil {
		return nil
	}
	return f.fsys(op)
}

// faultFS is the operating system's file system with injected failures.
type faultFS struct {
	durable.OS
	*diskFaults
}

func (f faultFS) Rename(from, to string) error {
	if err := f.fsOperation("rename"); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f faultFS) Remove(path string) error {
	if err := f.fsOperation("remove"); err != nil {
		return err
	}
	return f.OS.Remove(path)
}

func (f faultFS) SyncDir(dir string) error {
	if err := f.fsOperation("syncdir"); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

// openDB is an openDBFunc that opens files with the failures of f. bbolt has no hook for this, so
// openDB replaces its write function. A sync fails because the file descriptor then refers to
// the null device, which does not support sync.
func (f *diskFaults) openDB(path string, timeout time.Duration) (*bbolt.DB, error) {
	db, err := openBolt(path, timeout)
	if err != nil {
		return nil, err
	}
	dbValue := reflect.ValueOf(db).Elem()
	file := *(**os.File)(unsafe.Pointer(dbValue.FieldByName("file").UnsafeAddr()))
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(dbValue.FieldByName("ops").FieldByName("writeAt").UnsafeAddr()))
	fd := int(file.Fd())
	savedFD, err := syscall.Dup(fd) // the duplicate also keeps the file lock
	if err != nil {
		return nil, err
	}
	nullDevice, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	realFile := os.NewFile(uintptr(savedFD), path)
	syncFails := false
	*writeAt = func(data []byte, offset int64) (int, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		w := diskWrite{offset, slices.Clone(data)}
		if f.write != nil {
			if n, err := f.write(w); err != nil {
				realFile.WriteAt(data[:n], offset)
				return n, err
			}
		}
		n, err := realFile.WriteAt(data, offset)
		if failNext := f.sync != nil && f.sync(w); failNext != syncFails {
			syncFails = failNext
			target := savedFD
			if failNext {
				target = int(nullDevice.Fd())
			}
			if err := syscall.Dup3(target, fd, syscall.O_CLOEXEC); err != nil {
				return n, err
			}
		}
		return n, err
	}
	return db, nil
}

// describe returns the content of a log as text.
func describe(t *testing.T, d *diskStorage) string {
	t.Helper()
	state, _, err1 := d.InitialState()
	snap, err2 := d.Snapshot()
	last, err3 := d.LastIndex()
	if err := errors.Join(err1, err2, err3); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	meta := snap.GetMetadata()
	fmt.Fprintf(&b, "term %d vote %d commit %d snapshot %d/%d %s;", state.GetTerm(), state.GetVote(), state.GetCommit(), meta.GetIndex(), meta.GetTerm(), snap.GetData())
	for i := meta.GetIndex() + 1; i <= last; i++ {
		e, err := d.Entries(i, i+1, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, " %d/%d %s", e[0].GetIndex(), e[0].GetTerm(), e[0].GetData())
	}
	return b.String()
}

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func newEntries(term uint64, from, to uint64) (result []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		result = append(result, &raftpb.Entry{Term: ptr(term), Index: ptr(i), Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return result
}

// scenario is a sequence of changes to a log: votes, entries, entries that replace a conflicting
// tail, and snapshots.
var scenario = []struct {
	name string
	do   func(d *diskStorage) error
}{
	{"vote", func(d *diskStorage) error { return d.save(&raft.Ready{HardState: hardState(2, 3, 1)}) }},
	{"entries", func(d *diskStorage) error {
		return d.save(&raft.Ready{HardState: hardState(2, 3, 4), Entries: newEntries(2, 2, 9)})
	}},
	{"replaced tail", func(d *diskStorage) error {
		return d.save(&raft.Ready{HardState: hardState(4, 0, 6), Entries: newEntries(4, 7, 8)})
	}},
	{"local snapshot", func(d *diskStorage) error {
		return d.compact(6, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte(`{"last":5,"leases":{}}`), 2)
	}},
	{"second vote", func(d *diskStorage) error { return d.save(&raft.Ready{HardState: hardState(5, 1, 6)}) }},
	{"received snapshot", func(d *diskStorage) error {
		meta := &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, Index: ptr(uint64(7)), Term: ptr(uint64(4))}
		return d.save(&raft.Ready{HardState: hardState(5, 1, 7), Snapshot: &raftpb.Snapshot{Data: []byte(`{"last":6,"leases":{}}`), Metadata: meta}})
	}},
	{"entries after received snapshot", func(d *diskStorage) error {
		return d.save(&raft.Ready{HardState: hardState(5, 1, 8), Entries: newEntries(5, 8, 9)})
	}},
}

var testIdentity = identity{Cluster: "c", ID: 1}

// openAfterSteps creates a log, applies the first steps of the scenario and returns it open.
func openAfterSteps(t *testing.T, f *diskFaults, steps int) *diskStorage {
	t.Helper()
	dir := t.TempDir()
	if err := Init(dir, "c", 1, []uint64{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskStorageWith(faultFS{diskFaults: f}, f.openDB, dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range scenario[:steps] {
		if err := step.do(d); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// reopenAndDescribe returns the content, or the opening error, of a log file with this data.
func reopenAndDescribe(t *testing.T, dir string, data []byte) string {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, dbFileName), data, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskStorage(dir, testIdentity)
	if err != nil {
		return err.Error()
	}
	defer d.close()
	return describe(t, d)
}

func readLogFile(t *testing.T, d *diskStorage) []byte {
	t.Helper()
	data, err := os.ReadFile(d.path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A kill during a save must leave either the old or the new state in the file. After a failed write
// or sync, save must return an error and the next successful save must use a new file.
func TestLogSurvivesKillsAndDiskFailures(t *testing.T) {
	for k, step := range scenario {
		t.Run("kill/"+step.name, func(t *testing.T) { testKill(t, k) })
		t.Run("fail/"+step.name, func(t *testing.T) { testFailures(t, k) })
	}
}

// testKill interrupts scenario[k] within each write and checks the content of the reopened log.
func testKill(t *testing.T, k int) {
	f := &diskFaults{}
	d := openAfterSteps(t, f, k)
	before, dataBefore := describe(t, d), readLogFile(t, d)
	var writes []diskWrite
	f.set(&diskFaults{write: func(w diskWrite) (int, error) { writes = append(writes, w); return 0, nil }})
	if err := scenario[k].do(d); err != nil {
		t.Fatal(err)
	}
	after, dataAfter := describe(t, d), readLogFile(t, d)
	dir := t.TempDir()
	if got := reopenAndDescribe(t, dir, dataAfter); got != after {
		t.Errorf("reopened log has %s, want %s", got, after)
	}
	if len(writes) < 2 || !writes[len(writes)-1].isMetaPage() {
		t.Fatalf("%d writes, the last one at offset %d; want at least 2, the last one to a meta page", len(writes), writes[len(writes)-1].offset)
	}
	image := make([]byte, max(len(dataBefore), len(dataAfter)))
	copy(image, dataBefore)
	for _, w := range writes {
		stride := 512
		if w.isMetaPage() {
			stride = 1
		}
		for cut := 0; cut < len(w.data); cut += stride {
			if cut > 100 {
				stride = 512
			}
			interrupted := slices.Clone(image)
			copy(interrupted[w.offset:], w.data[:cut])
			if got := reopenAndDescribe(t, dir, interrupted); got != before && got != after {
				t.Fatalf("interrupted after byte %d of the write at offset %d: reopened log has %s, want %s or %s", cut, w.offset, got, before, after)
			}
		}
		copy(image[w.offset:], w.data)
	}
	// Before the sync that precedes the last write, the operating system may have written the
	// other writes in any order.
	for missing := range writes[:len(writes)-1] {
		partial := make([]byte, len(image))
		copy(partial, dataBefore)
		for i, w := range writes[:len(writes)-1] {
			if i != missing {
				copy(partial[w.offset:], w.data)
			}
		}
		if got := reopenAndDescribe(t, dir, partial); got != before {
			t.Errorf("without write %d: reopened log has %s, want %s", missing, got, before)
		}
	}
}

// diskFailures are the ways in which a disk can fail in one step of the scenario.
var diskFailures = map[string]func() *diskFaults{
	"first write fails": func() *diskFaults {
		return &diskFaults{write: func(diskWrite) (int, error) { return 0, syscall.ENOSPC }}
	},
	"meta page write is incomplete": func() *diskFaults {
		return &diskFaults{write: func(w diskWrite) (int, error) {
			if w.isMetaPage() {
				return 20, syscall.EIO
			}
			return 0, nil
		}}
	},
	"sync before meta page fails": func() *diskFaults { return &diskFaults{sync: func(diskWrite) bool { return true }} },
	"sync after meta page fails":  func() *diskFaults { return &diskFaults{sync: diskWrite.isMetaPage} },
}

// retryFailures are the failures of the first retry, before the disk works again.
var retryFailures = map[string]func() *diskFaults{
	"none":                 func() *diskFaults { return &diskFaults{} },
	"first write fails":    diskFailures["first write fails"],
	"sync fails":           diskFailures["sync after meta page fails"],
	"remove fails":         func() *diskFaults { return failOperation("remove") },
	"rename fails":         func() *diskFaults { return failOperation("rename") },
	"directory sync fails": func() *diskFaults { return failOperation("syncdir") },
}

// failOperation returns faults that make one kind of file system operation fail.
func failOperation(failed string) *diskFaults {
	return &diskFaults{fsys: func(op string) error {
		if op == failed {
			return syscall.EIO
		}
		return nil
	}}
}

// testFailures runs scenario[k] with every combination of a failure and a retry failure.
func testFailures(t *testing.T, k int) {
	if scenario[k].name == "local snapshot" {
		testSnapshotFailure(t, k)
		return
	}
	for firstName, newFirst := range diskFailures {
		for secondName, newSecond := range retryFailures {
			testFailure(t, k, firstName+", then "+secondName, newFirst(), newSecond(), secondName == "none")
		}
	}
}

// testFailure runs scenario[k] with the failure first and retries it with the failure second.
// Unless recovers is set, the retry must fail too, and a second retry on a working disk must
// succeed. After each attempt a reopened log must have the old or the new content.
func testFailure(t *testing.T, k int, name string, first, second *diskFaults, recovers bool) {
	f := &diskFaults{}
	d := openAfterSteps(t, f, k)
	before := describe(t, d)
	oldFile, err := os.Open(d.path) // kept open so that its inode number is not reused
	if err != nil {
		t.Fatal(err)
	}
	defer oldFile.Close()
	dir := t.TempDir()
	var afterKill []string // log content after a kill following each attempt
	runStep := func(faults *diskFaults, succeeds bool) {
		t.Helper()
		f.set(faults)
		err := scenario[k].do(d)
		switch {
		case succeeds && err != nil:
			t.Errorf("%s: save failed: %v", name, err)
		case !succeeds && (err == nil || !strings.Contains(err.Error(), d.path)):
			t.Errorf("%s: error %v, want one that contains the file name", name, err)
		case !succeeds && describe(t, d) != before:
			t.Errorf("%s: failed save changed the log to %s, want %s", name, describe(t, d), before)
		case succeeds && isSameFile(t, oldFile, d.path):
			t.Errorf("%s: save reused the file whose write had failed", name)
		}
		afterKill = append(afterKill, reopenAndDescribe(t, dir, readLogFile(t, d)))
	}
	runStep(first, false)
	runStep(second, recovers)
	if !recovers {
		runStep(&diskFaults{}, true)
	}
	after := describe(t, d)
	for i, got := range afterKill {
		if got != after && (got != before || i == len(afterKill)-1) {
			t.Errorf("%s: log after a kill following attempt %d is %s, want %s", name, i+1, got, after)
		}
	}
	finishScenario(t, d, k, name)
}

// finishScenario applies the steps after scenario[k] and checks the content of the reopened log.
func finishScenario(t *testing.T, d *diskStorage, k int, name string) {
	t.Helper()
	for _, step := range scenario[k+1:] {
		if err := step.do(d); err != nil {
			t.Errorf("%s: %s: %v", name, step.name, err)
		}
	}
	want := describe(t, d)
	if err := d.close(); err != nil {
		t.Error(err)
	}
	if got := reopenAndDescribe(t, t.TempDir(), readLogFile(t, d)); got != want {
		t.Errorf("%s: reopened log has %s, want %s", name, got, want)
	}
}

// testSnapshotFailure checks that a failed snapshot loses no state and does not block later saves.
func testSnapshotFailure(t *testing.T, k int) {
	for name, newFaults := range diskFailures {
		f := &diskFaults{}
		d := openAfterSteps(t, f, k)
		f.set(newFaults())
		if err := scenario[k].do(d); err == nil || !strings.Contains(err.Error(), d.path) {
			t.Errorf("%s: error %v, want one that contains the file name", name, err)
		}
		f.set(&diskFaults{})
		finishScenario(t, d, k, name)
	}
}

// isSameFile reports whether path refers to the open file.
func isSameFile(t *testing.T, file *os.File, path string) bool {
	t.Helper()
	fileInfo, err1 := file.Stat()
	pathInfo, err2 := os.Stat(path)
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	return os.SameFile(fileInfo, pathInfo)
}

// After a kill or a failure during Init there must be no log, and a second Init must succeed.
func TestInitIsAtomic(t *testing.T) {
	for step := range 5 { // the last step is the directory sync after the rename
		dir := filepath.Join(t.TempDir(), "parent", "log")
		n := -1
		faults := &diskFaults{fsys: func(string) error {
			if n++; n == step {
				return syscall.EIO
			}
			return nil
		}}
		if err := initLog(faultFS{diskFaults: faults}, dir, testIdentity); err == nil || HasLog(dir) {
			t.Errorf("step %d fails: error %v, log exists: %v; want an error and no log", step, err, HasLog(dir))
		}
		if err := initLog(durable.OS{}, dir, testIdentity); err != nil {
			t.Errorf("Init after a failure in step %d: %v", step, err)
		}
	}
	complete := writeLog(t, t.TempDir(), 0)
	for cut := 0; cut <= len(complete); cut += 509 {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, dbFileName+tempSuffix), complete[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if HasLog(dir) {
			t.Error("HasLog reports an incomplete temporary file as a log")
		}
		if err := Init(dir, "c", 1, []uint64{1}); err != nil {
			t.Errorf("Init with a temporary file truncated at byte %d: %v", cut, err)
		}
	}
	var ops []string
	recorder := &diskFaults{fsys: func(op string) error { ops = append(ops, op); return nil }}
	if err := initLog(faultFS{diskFaults: recorder}, filepath.Join(t.TempDir(), "parent", "log"), testIdentity); err != nil {
		t.Fatal(err)
	}
	if want := []string{"syncdir", "syncdir", "remove", "rename", "syncdir"}; !slices.Equal(ops, want) {
		t.Errorf("operations of Init: %q, want %q", ops, want)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if !HasLog(file) || Init(file, "c", 1, []uint64{1}) == nil {
		t.Error("a path that is not a directory is reported as a directory without a log")
	}
}

// firstVersionLog was written by the first version of the program. It contains a vote, entries and
// a snapshot.
const firstVersionLog = "testdata/first.db.gz"

// A log of the first version must open unchanged, and rewriting it must keep its content.
func TestOpensLogOfFirstVersion(t *testing.T) {
	compressed, err := os.Open(firstVersionLog)
	if err != nil {
		t.Fatal(err)
	}
	defer compressed.Close()
	decompressed, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(decompressed)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	content := reopenAndDescribe(t, dir, data)
	want := `term 3 vote 2 commit 22 snapshot 10/3 {"last":7,"leases":{}};`
	if !strings.HasPrefix(content, want) || !strings.Contains(content, " 22/3 ") {
		t.Fatalf("log of the first version has %s, want %s and entries up to 22", content, want)
	}
	d, err := openDiskStorage(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.rewrite(&raft.Ready{}); err != nil {
		t.Fatal(err)
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	if got := reopenAndDescribe(t, dir, readLogFile(t, d)); got != content {
		t.Errorf("rewritten log has %s, want %s", got, content)
	}
}

const testTimeout = time.Minute

// voterAddress returns a loopback address derived from the process ID, so that test processes do
// not share addresses.
func voterAddress(voter int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7001", 100+pid%100, pid/100%250, voter)
}

// startCluster runs one voter per element of disks in this process and returns a client.
func startCluster(t *testing.T, disks []*diskFaults) *leaseclient.Client {
	t.Helper()
	var voters []leaseclient.Voter
	var ids []uint64
	for i := range disks {
		voters = append(voters, leaseclient.Voter{ID: uint64(i + 1), Address: voterAddress(i + 1)})
		ids = append(ids, uint64(i+1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, f := range disks {
		dir := t.TempDir()
		if err := Init(dir, "c", ids[i], ids); err != nil {
			t.Fatal(err)
		}
		d, err := openDiskStorageWith(faultFS{diskFaults: f}, f.openDB, dir, identity{Cluster: "c", ID: ids[i]})
		if err != nil {
			t.Fatal(err)
		}
		n, err := newNode(Config{Cluster: "c", ID: ids[i], Voters: voters, Tick: 50 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}, d)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			if err := n.Run(ctx); err != nil {
				t.Errorf("voter %d stopped: %v", n.cfg.ID, err)
			}
		})
	}
	client, err := leaseclient.NewClient("c", voters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); cancel(); wg.Wait() })
	return client
}

// acquireLease requests a lease until the cluster responds or the timeout expires.
func acquireLease(client *leaseclient.Client, name string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		result, err := client.Do(ctx, lease.Command{Kind: lease.Acquire, Lease: name, Client: "me", Length: lease.MaxLength})
		if err == nil || ctx.Err() != nil {
			return errors.Join(err, result.Err)
		}
	}
}

// newIdleNode returns a voter without a running loop. The test calls its methods instead.
func newIdleNode(t *testing.T, f *diskFaults, voters int) *Node {
	t.Helper()
	dir := t.TempDir()
	cfg := Config{Cluster: "c", ID: 1, Listen: "127.0.0.1:0", Tick: time.Hour, Log: slog.New(slog.DiscardHandler)}
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
		cfg.Voters = append(cfg.Voters, leaseclient.Voter{ID: uint64(i + 1), Address: "127.0.0.1:1"})
	}
	if err := Init(dir, "c", 1, ids); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskStorageWith(faultFS{diskFaults: f}, f.openDB, dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	n, err := newNode(cfg, d)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.listener.Close(); d.close() })
	for _, id := range ids[1:] {
		n.peerQueues[id] = make(chan *raftpb.Message, maxQueued)
	}
	return n
}

// mustHandleReady calls handleReady and fails the test on an error.
func (n *Node) mustHandleReady(t *testing.T) {
	t.Helper()
	if err := n.handleReady(); err != nil {
		t.Fatal(err)
	}
}

func newMessage(kind raftpb.MessageType, from, term, index uint64) *raftpb.Message {
	return &raftpb.Message{Type: kind.Enum(), From: ptr(from), To: ptr(uint64(1)), Term: ptr(term), Index: ptr(index), LogTerm: ptr(term - 1)}
}

// After a failed write a follower must not change its term, start an election or send messages.
// After a successful retry its vote must be on disk before the response is sent.
func TestFollowerWithFailedWriteSendsNothing(t *testing.T) {
	f := &diskFaults{}
	n := newIdleNode(t, f, 3)
	n.mustHandleReady(t)
	firstWriteFails := diskFailures["first write fails"]
	f.set(firstWriteFails())
	n.step(newMessage(raftpb.MsgVote, 2, 4, 9))
	n.mustHandleReady(t)
	if n.failedWrite == nil || len(n.peerQueues[2]) != 0 {
		t.Fatalf("after a failed write: suspended %v, %d messages sent; want true, 0", n.failedWrite != nil, len(n.peerQueues[2]))
	}
	for range 10 * electionTicks {
		n.tick()
	}
	n.step(newMessage(raftpb.MsgVote, 3, 8, 9))
	if err := n.retryWrite(); err != nil || n.failedWrite == nil {
		t.Fatalf("retry on a full disk: error %v, suspended %v; want no error, true", err, n.failedWrite != nil)
	}
	status := n.rawNode.BasicStatus()
	if status.RaftState != raft.StateFollower || status.HardState.GetTerm() != 4 || len(n.peerQueues[2])+len(n.peerQueues[3]) != 0 {
		t.Errorf("while suspended: state %v, term %d, %d and %d messages sent; want a follower in term 4, none", status.RaftState, status.HardState.GetTerm(), len(n.peerQueues[2]), len(n.peerQueues[3]))
	}
	f.set(&diskFaults{})
	if err := n.retryWrite(); err != nil || n.failedWrite != nil || len(n.peerQueues[2]) != 1 {
		t.Fatalf("retry on a working disk: error %v, suspended %v, %d messages sent; want no error, false, 1", err, n.failedWrite != nil, len(n.peerQueues[2]))
	}
	if got := reopenAndDescribe(t, t.TempDir(), readLogFile(t, n.storage)); !strings.HasPrefix(got, "term 4 vote 2 ") {
		t.Errorf("log has %s, want the vote for 2 in term 4", got)
	}
}

// After a failed write a leader must respond to lease requests with "not the leader" and still
// respond to status requests.
func TestLeaderWithFailedWriteRejectsRequests(t *testing.T) {
	f := &diskFaults{}
	n := newIdleNode(t, f, 1)
	for n.expiryTracker == nil {
		n.tick()
		n.mustHandleReady(t)
	}
	s := &session{queue: make(chan []byte, maxQueued)}
	n.sessions[s] = true
	request := func(req leaseclient.Request) (response leaseclient.Response) {
		t.Helper()
		n.handleRequest(s, &req)
		n.mustHandleReady(t)
		select {
		case frame := <-s.queue:
			if err := json.Unmarshal(frame[1:], &response); err != nil {
				t.Fatal(err)
			}
		default:
			t.Fatalf("request %+v: no response", req)
		}
		return response
	}
	acquire := leaseclient.Request{RequestID: 1, Command: &lease.Command{Kind: lease.Acquire, Lease: "a", Client: "me", Length: lease.MaxLength}}
	f.set(&diskFaults{write: func(diskWrite) (int, error) { return 0, syscall.ENOSPC }})
	for _, req := range []leaseclient.Request{acquire, acquire, {RequestID: 2, List: true}, {RequestID: 3, Watch: "a"}} {
		if response := request(req); !response.NotLeader || response.Leader != 0 || response.RequestID != req.RequestID {
			t.Errorf("request %+v: response %+v, want not leader and no other leader", req, response)
		}
	}
	if response := request(leaseclient.Request{RequestID: 4, Status: true}); response.Status == nil || response.Status.ID != 1 {
		t.Errorf("status request: response %+v, want the status of voter 1", response)
	}
	f.set(&diskFaults{})
	if err := n.retryWrite(); err != nil {
		t.Fatal(err)
	}
	n.mustHandleReady(t)
	if response := request(acquire); response.NotLeader || response.Error != "" || response.Record.Holder != "me" {
		t.Errorf("acquire on a working disk: response %+v, want the lease", response)
	}
}

// A voter with a failing disk must keep running, respond to status requests, acknowledge no entries, and
// rejoin once the disk works. A majority of working disks must suffice to grant leases.
func TestVoterSurvivesDiskFailures(t *testing.T) {
	disks := []*diskFaults{{}, {}, {}}
	client := startCluster(t, disks)
	if err := acquireLease(client, "a", testTimeout); err != nil {
		t.Fatal(err)
	}
	firstWriteFails := diskFailures["first write fails"]
	disks[0].set(firstWriteFails())
	if err := acquireLease(client, "b", testTimeout); err != nil {
		t.Errorf("acquire with one failing disk: %v", err)
	}
	disks[1].set(firstWriteFails())
	if err := acquireLease(client, "c", 700*time.Millisecond); err == nil {
		t.Error("lease granted with two of three disks failing")
	}
	disks[0].set(&diskFaults{})
	if err := acquireLease(client, "d", testTimeout); err != nil {
		t.Errorf("acquire after one of two failing disks recovered: %v", err)
	}
	disks[2].set(firstWriteFails()) // the first voter must now have the complete log
	disks[1].set(&diskFaults{})
	if err := acquireLease(client, "e", testTimeout); err != nil {
		t.Errorf("acquire with a different failing disk: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		// On a busy machine the loop may still be blocked in a sync.
		status, err := leaseclient.StatusOf(ctx, "c", leaseclient.Voter{ID: 3, Address: voterAddress(3)})
		if err == nil && status.ID == 3 {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("status of the voter with a failing disk: %+v, error %v", status, err)
		}
	}
	leases, err := client.List(ctx)
	if err != nil || leases["a"].Holder != "me" || leases["e"].Holder != "me" {
		t.Errorf("leases %+v, error %v; want a and e held by me", leases, err)
	}
}
