package leaseserver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

func ptr[T any](x T) *T { return &x }

// writeLog creates a log with the given number of entries in term 3 and returns the file content.
func writeLog(t *testing.T, dir string, entries int) []byte {
	t.Helper()
	id := identity{Cluster: "c", ID: 1}
	if err := Init(dir, "c", 1, []uint64{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	d, err := openDiskStorage(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		rd := raft.Ready{
			Entries:   []*raftpb.Entry{{Term: ptr(uint64(3)), Index: ptr(uint64(i + 2)), Data: []byte(strings.Repeat("x", 100+i))}},
			HardState: &raftpb.HardState{Term: ptr(uint64(3)), Vote: ptr(uint64(2)), Commit: ptr(uint64(i + 2))},
		}
		if err := d.save(&rd); err != nil {
			t.Fatal(err)
		}
		if i == 20 {
			if err := d.compact(10, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte(`{"last":7,"leases":{}}`), 3); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, dbFileName))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Opening a truncated or corrupted log must either fail with an error or return all saved state.
// It must not crash the process or lose entries.
func TestDamagedLogIsDetected(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	complete := writeLog(t, dir, 40)
	id := identity{Cluster: "c", ID: 1}
	tryOpen := func(name string, data []byte) (rejected bool) {
		t.Helper()
		dir := t.TempDir() // a file that could not be opened may stay locked
		if err := os.WriteFile(filepath.Join(dir, dbFileName), data, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := openDiskStorage(dir, id)
		if err != nil {
			if !strings.Contains(err.Error(), dbFileName) {
				t.Errorf("%s: error %v, want one that contains the file name", name, err)
			}
			return true
		}
		defer d.close()
		hardState, _, _ := d.InitialState()
		last, _ := d.LastIndex()
		if hardState.GetTerm() != 3 || hardState.GetVote() != 2 || hardState.GetCommit() != 41 || last != 41 {
			t.Errorf("%s: opened with term %d, vote %d, commit index %d, last index %d; want term 3, vote 2, commit index 41, last index 41", name, hardState.GetTerm(), hardState.GetVote(), hardState.GetCommit(), last)
		}
		return false
	}
	if tryOpen("undamaged", complete) {
		t.Fatal("undamaged log was rejected")
	}
	rng := rand.New(rand.NewPCG(1, 3))
	rejected := 0
	for i := range 150 {
		n := rng.IntN(len(complete))
		if i < 20 {
			n = i * len(complete) / 20
		}
		if tryOpen(fmt.Sprint("truncated at byte ", n), complete[:n]) {
			rejected++
		}
	}
	// The first two pages are the bbolt meta pages. If the checksum of one is wrong, bbolt
	// uses the other one, which holds the previous transaction. A corrupted meta page looks
	// like an interrupted write, so only the pages after them are corrupted.
	metaBytes := 2 * os.Getpagesize()
	for range 150 {
		data, offset := append([]byte(nil), complete...), metaBytes+rng.IntN(len(complete)-metaBytes)
		for k := offset; k < min(offset+1+rng.IntN(8), len(data)); k++ {
			data[k] ^= byte(1 + rng.IntN(255))
		}
		if tryOpen(fmt.Sprint("corrupted at byte ", offset), data) {
			rejected++
		}
	}
	if rejected < 100 {
		t.Errorf("%d of 300 damaged logs were rejected, want at least 100", rejected)
	}
	// A log of another voter or cluster, and a missing log.
	for _, other := range []identity{{Cluster: "c", ID: 2}, {Cluster: "d", ID: 1}} {
		if _, err := openDiskStorage(dir, other); err == nil || !strings.Contains(err.Error(), `voter 1 of cluster "c"`) {
			t.Errorf("opened as %+v: error %v, want one that names the owner", other, err)
		}
	}
	if err := Init(dir, "c", 1, []uint64{1}); err == nil {
		t.Error("Init replaced an existing log")
	}
	if _, err := openDiskStorage(t.TempDir(), id); !errors.Is(err, ErrNoLog) {
		t.Errorf("missing log: error %v, want ErrNoLog", err)
	}
}
