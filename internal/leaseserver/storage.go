package leaseserver

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

// diskStorage is the raft.Storage of a voter. It persists the log, the hard state and the
// snapshot in one bbolt file and serves reads from an identical copy in memory.
type diskStorage struct {
	*raft.MemoryStorage
	identity identity
	path     string
	fsys     durable.FS
	openDB   openDBFunc
	db       *bbolt.DB

	// needsRewrite is set once a write to the file has failed. The content of the file is
	// then unknown, because a later successful sync does not cover pages that a failed
	// sync lost. The next save replaces the whole file.
	needsRewrite bool
}

// identity identifies the voter that a log file belongs to. A voter that has lost its log must
// not vote under its old ID, because it may already have voted in the current term.
type identity struct {
	Cluster string   `json:"cluster"`
	ID      uint64   `json:"id"`
	Voters  []uint64 `json:"voters"`
}

var (
	bucketMeta, bucketLog = []byte("meta"), []byte("log")
	keyIdentity           = []byte("identity")
	keyHardState          = []byte("hard")
	keySnapshot           = []byte("snapshot")
)

// ErrNoLog is returned when a directory contains no log file. Init creates one.
var ErrNoLog = errors.New("log file not found")

const (
	dbFileName = "quorum.db"
	tempSuffix = ".new" // of a file that has not yet been renamed to dbFileName

	lockTimeout = 2 * time.Second // wait for another process to release the file lock
)

// HasLog reports whether a directory contains a log file. It returns true if the directory
// cannot be examined.
func HasLog(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, dbFileName))
	return !errors.Is(err, os.ErrNotExist)
}

func openBolt(path string, timeout time.Duration) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: timeout})
}

// Init creates the empty log of a new voter. An operator runs it once per voter, because a
// voter without a log cannot tell whether it is new or has lost its votes.
func Init(dir string, cluster string, id uint64, voters []uint64) error {
	return initLog(durable.OS{}, dir, identity{cluster, id, voters})
}

func initLog(fsys durable.FS, dir string, id identity) error {
	path := filepath.Join(dir, dbFileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("leaseserver: %s: log file already exists", path)
	} else if !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("leaseserver: %w", err)
	}
	if err := durable.MkdirAll(fsys, dir, 0o700); err != nil {
		return fmt.Errorf("leaseserver: %w", err)
	}
	one := uint64(1)
	initial := logContent{
		snapshot:  &raftpb.Snapshot{Data: []byte(`{"last":0,"leases":{}}`), Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: id.Voters}, Index: &one, Term: &one}},
		hardState: &raftpb.HardState{Term: &one, Commit: &one},
	}
	d := diskStorage{identity: id, path: path, fsys: fsys, openDB: openBolt}
	db, err := d.writeTemp(&initial)
	if err != nil {
		return fmt.Errorf("leaseserver: %s: %w", path, err)
	}
	err = durable.Replace(fsys, path+tempSuffix, path)
	if err = errors.Join(err, db.Close()); err != nil {
		fsys.Remove(path) // no vote has been recorded in it
		return fmt.Errorf("leaseserver: %s: %w", path, err)
	}
	return nil
}

// logContent is the content of a log file except its identity.
type logContent struct {
	snapshot  *raftpb.Snapshot
	hardState *raftpb.HardState
	entries   []*raftpb.Entry
}

// writeTemp creates a temporary file next to the log file and writes and syncs the content
// to it. It first removes the temporary file of an earlier attempt. The caller renames the
// file and syncs the directory.
func (d *diskStorage) writeTemp(c *logContent) (db *bbolt.DB, err error) {
	path := d.path + tempSuffix
	if err := d.fsys.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = recoverPanics(func() error {
		if db, err = d.openDB(path, lockTimeout); err != nil {
			return err
		}
		return db.Update(func(tx *bbolt.Tx) error { return c.writeTo(tx, d.identity) })
	})
	if err != nil {
		closeInBackground(db)
		d.fsys.Remove(path) // if this fails, the next call removes the file
		return nil, err
	}
	return db, nil
}

// writeTo writes the content and the identity to an empty file.
func (c *logContent) writeTo(tx *bbolt.Tx, id identity) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	log, err := tx.CreateBucket(bucketLog)
	if err != nil {
		return err
	}
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	if err := meta.Put(keyIdentity, addChecksum(data)); err != nil {
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
	return putProto(meta, keyHardState, c.hardState)
}

// closeInBackground closes a file without waiting. After a failed operation bbolt may still
// hold its internal locks, and Close would block forever.
func closeInBackground(db *bbolt.DB) {
	if db != nil {
		go recoverPanics(db.Close)
	}
}

// addChecksum prepends a CRC-32 to a value.
func addChecksum(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(v)), v...)
}

// verifyChecksum checks the CRC-32 of a stored value and returns the value without it.
func verifyChecksum(v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.ChecksumIEEE(v[4:]) {
		return nil, errors.New("log file is damaged: record has a wrong checksum")
	}
	return v[4:], nil
}

// putProto stores a message with a checksum.
func putProto(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, addChecksum(data))
}

// getProto reads a message that putProto stored, and verifies its checksum.
func getProto(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := verifyChecksum(b.Get(key))
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return proto.Unmarshal(data, m)
}

// recoverPanics runs f and returns a panic as an error. The file is memory-mapped: reading a
// truncated file causes a memory fault, and bbolt panics on invalid pages.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log file is damaged: %v", p)
		}
	}()
	return f()
}

// openDiskStorage opens the log of a voter. If that fails, the voter must not vote.
func openDiskStorage(dir string, id identity) (*diskStorage, error) {
	return openDiskStorageWith(durable.OS{}, openBolt, dir, id)
}

// openDBFunc opens or creates a bbolt file and waits up to timeout for its lock.
type openDBFunc func(path string, timeout time.Duration) (*bbolt.DB, error)

func openDiskStorageWith(fsys durable.FS, openDB openDBFunc, dir string, id identity) (*diskStorage, error) {
	path := filepath.Join(dir, dbFileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("leaseserver: %s: %w; run 'voter init' for a new voter; a voter that lost its log must rejoin under a new ID", path, ErrNoLog)
	}
	d := &diskStorage{MemoryStorage: raft.NewMemoryStorage(), path: path, fsys: fsys, openDB: openDB}
	if err := recoverPanics(func() (err error) {
		d.db, err = d.openDB(path, lockTimeout)
		return err
	}); err != nil {
		return nil, fmt.Errorf("leaseserver: %s: %w", path, err)
	}
	if err := recoverPanics(func() error { return d.db.View(func(tx *bbolt.Tx) error { return d.load(tx, id) }) }); err != nil {
		recoverPanics(d.db.Close)
		return nil, fmt.Errorf("leaseserver: %s: %w", path, err)
	}
	if err := d.fsys.SyncDir(dir); err != nil { // the process that created the file may have stopped before this sync
		recoverPanics(d.db.Close)
		return nil, fmt.Errorf("leaseserver: %s: %w", path, err)
	}
	return d, nil
}

// load reads the file into memory. It fails if the file belongs to another voter or is
// damaged.
func (d *diskStorage) load(tx *bbolt.Tx, id identity) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return errors.New("not a voter log: bucket meta or log is missing")
	}
	data, err := verifyChecksum(meta.Get(keyIdentity))
	if err != nil {
		return err
	}
	var stored identity
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if stored.Cluster != id.Cluster || stored.ID != id.ID {
		return fmt.Errorf("log file belongs to voter %d of cluster %q, but this is voter %d of cluster %q", stored.ID, stored.Cluster, id.ID, id.Cluster)
	}
	d.identity = stored
	var snap raftpb.Snapshot
	if err := getProto(meta, keySnapshot, &snap); err != nil {
		return err
	}
	var hardState raftpb.HardState
	if err := getProto(meta, keyHardState, &hardState); err != nil {
		return err
	}
	if err := d.MemoryStorage.ApplySnapshot(&snap); err != nil {
		return err
	}
	nextIndex := snap.GetMetadata().GetIndex() + 1
	var entries []*raftpb.Entry
	if err := log.ForEach(func(k, v []byte) error {
		data, err := verifyChecksum(v)
		if err != nil {
			return err
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		if e.GetIndex() < nextIndex { // already covered by the snapshot
			return nil
		}
		if e.GetIndex() != nextIndex || binary.BigEndian.Uint64(k) != nextIndex {
			return fmt.Errorf("log file is damaged: found entry %d, want entry %d", e.GetIndex(), nextIndex)
		}
		nextIndex++
		entries = append(entries, e)
		return nil
	}); err != nil {
		return err
	}
	if err := d.MemoryStorage.Append(entries); err != nil {
		return err
	}
	if hardState.GetCommit() >= nextIndex {
		return fmt.Errorf("log file is damaged: commit index is %d, but the last entry is %d", hardState.GetCommit(), nextIndex-1)
	}
	return d.MemoryStorage.SetHardState(&hardState)
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// save writes the entries, hard state and snapshot of rd atomically and syncs them. After an
// error the caller must not send the messages of rd; it may call save again with the same rd.
func (d *diskStorage) save(rd *raft.Ready) error {
	snap := !raft.IsEmptySnap(rd.Snapshot)
	if len(rd.Entries) == 0 && raft.IsEmptyHardState(rd.HardState) && !snap {
		return nil
	}
	if err := d.persist(rd); err != nil {
		return fmt.Errorf("leaseserver: %s: %w", d.path, err)
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

// persist writes rd to the file, or replaces the whole file if an earlier write failed.
func (d *diskStorage) persist(rd *raft.Ready) error {
	if d.needsRewrite {
		return d.rewrite(rd)
	}
	return d.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if !raft.IsEmptySnap(rd.Snapshot) { // the snapshot replaces the whole log
			if err := putProto(meta, keySnapshot, rd.Snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, ^uint64(0)); err != nil {
				return err
			}
		}
		if len(rd.Entries) > 0 { // new entries replace all entries from their first index on
			if err := deleteEntries(log, rd.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range rd.Entries {
			if err := putProto(log, logKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			return putProto(meta, keyHardState, rd.HardState)
		}
		return nil
	})
}

// rewrite replaces the file after a failed write. The old file stays open until the rename,
// because its lock keeps other processes from opening the log.
func (d *diskStorage) rewrite(rd *raft.Ready) error {
	content, err := d.mergedContent(rd)
	if err != nil {
		return err
	}
	db, err := d.writeTemp(content)
	if err != nil {
		return err
	}
	if err := d.fsys.Rename(d.path+tempSuffix, d.path); err != nil {
		closeInBackground(db)
		return err
	}
	old := d.db
	d.db = db // path now refers to this file, even if the directory sync fails
	closeInBackground(old)
	if err := d.fsys.SyncDir(filepath.Dir(d.path)); err != nil {
		return err
	}
	d.needsRewrite = false
	return nil
}

// mergedContent returns the content in memory with the changes of rd applied.
func (d *diskStorage) mergedContent(rd *raft.Ready) (*logContent, error) {
	hardState, _, err := d.InitialState()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		hardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		return &logContent{rd.Snapshot, hardState, rd.Entries}, nil
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
	return &logContent{snap, hardState, append(slices.Clone(entries), rd.Entries...)}, nil
}

// update runs a write transaction and sets needsRewrite if it fails.
func (d *diskStorage) update(f func(tx *bbolt.Tx) error) error {
	err := recoverPanics(func() error { return d.db.Update(f) })
	d.needsRewrite = d.needsRewrite || err != nil
	return err
}

// deleteEntries removes the entries with indexes in [from, to).
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // collected first: a cursor may skip keys after a deletion
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

// compact creates a snapshot at index and removes the log entries up to it, except the last
// keep entries, from which slow followers can catch up. If writing the file fails, the log
// stays valid in memory and the next save rewrites the file.
func (d *diskStorage) compact(index uint64, conf *raftpb.ConfState, state []byte, keep uint64) error {
	snap, err := d.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	if index > keep {
		if err := d.Compact(index - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return err
		}
	}
	if d.needsRewrite {
		return nil
	}
	if err := d.update(func(tx *bbolt.Tx) error {
		if err := putProto(tx.Bucket(bucketMeta), keySnapshot, snap); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(bucketLog), 0, index+1-min(keep, index))
	}); err != nil {
		return fmt.Errorf("leaseserver: %s: snapshot: %w", d.path, err)
	}
	return nil
}

// close closes the file. After a failed write it does not wait, see closeInBackground.
func (d *diskStorage) close() error {
	if d.needsRewrite {
		closeInBackground(d.db)
		return nil
	}
	return d.db.Close()
}
