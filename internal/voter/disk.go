package voter

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"gorselink/internal/durable"
)

// disk is a voter's log, vote and snapshot, in one file that survives a kill at any
// moment. What the engine reads it reads from memory, which holds the same.
type disk struct {
	*raft.MemoryStorage
	who   identity
	path  string
	files durable.FS
	open  opener
	db    *bbolt.DB

	// doubtful tells that a write to the file has failed. What it holds, and what the
	// system would write of it, is not known any more, and another sync that succeeds
	// says nothing of what the failed one has lost; so nothing is promised by it before
	// it is written anew, whole.
	doubtful bool
}

// identity is whose file it is. A voter that lost its disk has none, and must not vote
// under its old name: it may have voted already.
type identity struct {
	Cluster string   `json:"cluster"`
	ID      uint64   `json:"id"`
	Voters  []uint64 `json:"voters"`
}

var (
	bucketMeta, bucketLog = []byte("meta"), []byte("log")
	keyIdentity           = []byte("identity")
	keyHard               = []byte("hard")
	keySnapshot           = []byte("snapshot")
)

// ErrNoLog tells that a folder has no log: Init makes one.
var ErrNoLog = errors.New("no log")

const (
	fileName = "quorum.db"
	newName  = ".new" // after fileName: one that is still being made

	lockPatience = 2 * time.Second // for another process to let go of the file
)

// HasLog tells whether a folder has a log. One that cannot be looked at may have one.
func HasLog(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return !errors.Is(err, os.ErrNotExist)
}

func openBolt(path string, patience time.Duration) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: patience})
}

// Init makes the empty log of a new voter. It is done once in a voter's life, by hand: a
// voter that finds no log cannot know whether it is new or has lost what it promised.
func Init(dir string, cluster string, id uint64, voters []uint64) error {
	return initLog(durable.OS{}, dir, identity{cluster, id, voters})
}

func initLog(files durable.FS, dir string, who identity) error {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("voter: %s: there is a log already", path)
	} else if !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("voter: %w", err)
	}
	if err := durable.MkdirAll(files, dir, 0o700); err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	one := uint64(1)
	empty := content{
		snapshot: &raftpb.Snapshot{Data: []byte(`{"last":0,"leases":{}}`), Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: who.Voters}, Index: &one, Term: &one}},
		hard:     &raftpb.HardState{Term: &one, Commit: &one},
	}
	d := disk{who: who, path: path, files: files, open: openBolt}
	db, err := d.write(&empty)
	if err != nil {
		return fmt.Errorf("voter: %s: %w", path, err)
	}
	err = durable.Replace(files, path+newName, path)
	if err = errors.Join(err, db.Close()); err != nil {
		files.Remove(path) // nobody has voted by it
		return fmt.Errorf("voter: %s: %w", path, err)
	}
	return nil
}

// content is all that the file holds but whose it is.
type content struct {
	snapshot *raftpb.Snapshot
	hard     *raftpb.HardState
	entries  []*raftpb.Entry
}

// write makes a new file beside the one that there is, with all that it has to hold, on
// the disk but for its name. What was left of an earlier one is removed.
func (d *disk) write(c *content) (db *bbolt.DB, err error) {
	path := d.path + newName
	if err := d.files.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = guarded(func() error {
		if db, err = d.open(path, lockPatience); err != nil {
			return err
		}
		return db.Update(func(tx *bbolt.Tx) error { return c.fill(tx, d.who) })
	})
	if err != nil {
		discard(db)
		d.files.Remove(path) // what is left is removed the next time
		return nil, err
	}
	return db, nil
}

// fill puts a content into an empty file.
func (c *content) fill(tx *bbolt.Tx, who identity) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	log, err := tx.CreateBucket(bucketLog)
	if err != nil {
		return err
	}
	text, err := json.Marshal(who)
	if err != nil {
		return err
	}
	if err := meta.Put(keyIdentity, seal(text)); err != nil {
		return err
	}
	if err := putProto(meta, keySnapshot, c.snapshot); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := putProto(log, logKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return putProto(meta, keyHard, c.hard)
}

// discard lets go of a file that has failed. The library may wait for ever for what a
// failure has left locked, so nobody waits for it.
func discard(db *bbolt.DB) {
	if db != nil {
		go guarded(db.Close)
	}
}

// seal puts a sum before a value, and open takes it off: what was torn is told and not
// taken for a vote.
func seal(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(v)), v...)
}

func open(v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.ChecksumIEEE(v[4:]) {
		return nil, errors.New("torn: the sum of a record is wrong")
	}
	return v[4:], nil
}

func putProto(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, seal(text))
}

func getProto(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := open(b.Get(key))
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return proto.Unmarshal(text, m)
}

// guarded does something with a log. The file is mapped: one that was cut off faults where
// it is read, and the library panics where pages make no sense. Both are errors of this
// file, and not the end of the process.
func guarded(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("torn: %v", p)
		}
	}()
	return do()
}

// openDisk opens the log of a voter. Every error means that it must not vote.
func openDisk(dir string, who identity) (*disk, error) {
	return openDiskOn(durable.OS{}, openBolt, dir, who)
}

// opener opens or makes a file of the library; patience is how long to wait for its lock.
type opener func(path string, patience time.Duration) (*bbolt.DB, error)

func openDiskOn(files durable.FS, open opener, dir string, who identity) (*disk, error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("voter: %s: %w: a new voter's is made by hand; one that lost its log must come under a new number", path, ErrNoLog)
	}
	d := &disk{MemoryStorage: raft.NewMemoryStorage(), path: path, files: files, open: open}
	if err := guarded(func() (err error) {
		d.db, err = d.open(path, lockPatience)
		return err
	}); err != nil {
		return nil, fmt.Errorf("voter: %s: %w", path, err)
	}
	if err := guarded(func() error { return d.db.View(func(tx *bbolt.Tx) error { return d.load(tx, who) }) }); err != nil {
		guarded(d.db.Close)
		return nil, fmt.Errorf("voter: %s: %w", path, err)
	}
	if err := d.files.SyncDir(dir); err != nil { // who made the file may not have done it
		guarded(d.db.Close)
		return nil, fmt.Errorf("voter: %s: %w", path, err)
	}
	return d, nil
}

func (d *disk) load(tx *bbolt.Tx, who identity) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return errors.New("not a log of a voter")
	}
	text, err := open(meta.Get(keyIdentity))
	if err != nil {
		return err
	}
	var is identity
	if err := json.Unmarshal(text, &is); err != nil {
		return err
	}
	if is.Cluster != who.Cluster || is.ID != who.ID {
		return fmt.Errorf("it is of voter %d of cluster %q, this is voter %d of %q", is.ID, is.Cluster, who.ID, who.Cluster)
	}
	d.who = is
	var snap raftpb.Snapshot
	if err := getProto(meta, keySnapshot, &snap); err != nil {
		return err
	}
	var hard raftpb.HardState
	if err := getProto(meta, keyHard, &hard); err != nil {
		return err
	}
	if err := d.MemoryStorage.ApplySnapshot(&snap); err != nil {
		return err
	}
	next := snap.GetMetadata().GetIndex() + 1
	var all []*raftpb.Entry
	if err := log.ForEach(func(k, v []byte) error {
		text, err := open(v)
		if err != nil {
			return err
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return err
		}
		if e.GetIndex() < next { // before the snapshot
			return nil
		}
		if e.GetIndex() != next || binary.BigEndian.Uint64(k) != next {
			return fmt.Errorf("torn: entry %d where %d was to come", e.GetIndex(), next)
		}
		next++
		all = append(all, e)
		return nil
	}); err != nil {
		return err
	}
	if err := d.MemoryStorage.Append(all); err != nil {
		return err
	}
	if hard.GetCommit() >= next {
		return fmt.Errorf("torn: committed up to %d, and the log ends at %d", hard.GetCommit(), next-1)
	}
	return d.MemoryStorage.SetHardState(&hard)
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// save writes what the engine wants written before anything is sent: all of it or
// nothing, and it is on the disk when save returns. After an error nothing of it may be
// sent; save can be called again with the same.
func (d *disk) save(rd *raft.Ready) error {
	snap := !raft.IsEmptySnap(rd.Snapshot)
	if len(rd.Entries) == 0 && raft.IsEmptyHardState(rd.HardState) && !snap {
		return nil
	}
	if err := d.persist(rd); err != nil {
		return fmt.Errorf("voter: %s: %w", d.path, err)
	}
	if snap {
		if err := d.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := d.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		return d.SetHardState(rd.HardState)
	}
	return nil
}

// persist puts on the disk what is new, or everything if the file is in doubt.
func (d *disk) persist(rd *raft.Ready) error {
	if d.doubtful {
		return d.rewrite(rd)
	}
	return d.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if !raft.IsEmptySnap(rd.Snapshot) { // it takes the place of the whole log
			if err := putProto(meta, keySnapshot, rd.Snapshot); err != nil {
				return err
			}
			if err := drop(log, 0, ^uint64(0)); err != nil {
				return err
			}
		}
		if len(rd.Entries) > 0 { // they replace what stood there and all behind it
			if err := drop(log, rd.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range rd.Entries {
			if err := putProto(log, logKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			return putProto(meta, keyHard, rd.HardState)
		}
		return nil
	})
}

// rewrite puts a new file in the place of one that is in doubt. The old one is held until
// then, and with it the lock that keeps other processes off.
func (d *disk) rewrite(rd *raft.Ready) error {
	all, err := d.with(rd)
	if err != nil {
		return err
	}
	db, err := d.write(all)
	if err != nil {
		return err
	}
	if err := d.files.Rename(d.path+newName, d.path); err != nil {
		discard(db)
		return err
	}
	old := d.db
	d.db = db // whatever comes now, this is the file that is found
	discard(old)
	if err := d.files.SyncDir(filepath.Dir(d.path)); err != nil {
		return err
	}
	d.doubtful = false
	return nil
}

// with is what is known, and what is new.
func (d *disk) with(rd *raft.Ready) (*content, error) {
	hard, _, err := d.InitialState()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		hard = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		return &content{rd.Snapshot, hard, rd.Entries}, nil
	}
	snap, err := d.Snapshot()
	if err != nil {
		return nil, err
	}
	first, err := d.FirstIndex()
	if err != nil {
		return nil, err
	}
	end, err := d.LastIndex()
	if err != nil {
		return nil, err
	}
	end++
	if len(rd.Entries) > 0 {
		end = min(end, rd.Entries[0].GetIndex())
	}
	var entries []*raftpb.Entry
	if first < end {
		if entries, err = d.Entries(first, end, math.MaxUint64); err != nil {
			return nil, err
		}
	}
	return &content{snap, hard, append(slices.Clone(entries), rd.Entries...)}, nil
}

// update changes the file, which is in doubt if that fails.
func (d *disk) update(f func(tx *bbolt.Tx) error) error {
	err := guarded(func() error { return d.db.Update(f) })
	d.doubtful = d.doubtful || err != nil
	return err
}

// drop removes the entries from an index to before another.
func drop(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // a cursor that deletes loses its place
	c := log.Cursor()
	for k, _ := c.Seek(logKey(from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// compact makes a snapshot of the state at an index and drops the log before it, but for
// some entries that a voter which lags a little may still want. Nothing is promised by it:
// if it fails, the file has the log as before, and it is written anew with what comes next.
func (d *disk) compact(index uint64, conf *raftpb.ConfState, state []byte, keep uint64) error {
	snap, err := d.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	if index > keep {
		if err := d.Compact(index - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return err
		}
	}
	if d.doubtful {
		return nil
	}
	if err := d.update(func(tx *bbolt.Tx) error {
		if err := putProto(tx.Bucket(bucketMeta), keySnapshot, snap); err != nil {
			return err
		}
		return drop(tx.Bucket(bucketLog), 0, index+1-min(keep, index))
	}); err != nil {
		return fmt.Errorf("voter: %s: snapshot: %w", d.path, err)
	}
	return nil
}

// close closes the file. One in doubt is only let go of, see discard.
func (d *disk) close() error {
	if d.doubtful {
		discard(d.db)
		return nil
	}
	return d.db.Close()
}
