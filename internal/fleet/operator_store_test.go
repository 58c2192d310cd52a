package fleet

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/durable/durabletest"
)

const (
	modelRoot = "/run"
	modelDir  = "/run/sidecar"
)

func ignoreState(OperatorState) {}

// openModelStore opens the store in a simulated file system, as a new process does.
func openModelStore(t *testing.T, fsys *durabletest.MemFS) *OperatorStore {
	t.Helper()
	store, err := openOperatorStore(fsys, modelDir, ignoreState)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// stateAfterPowerLoss returns the state that the next process reads after a power loss.
func stateAfterPowerLoss(t *testing.T, fsys *durabletest.MemFS, kept func(string) bool) OperatorState {
	t.Helper()
	return openModelStore(t, fsys.AfterPowerLoss(kept)).State()
}

// unsyncedOutcomes are the cases of which unsynced changes survive a power loss.
var unsyncedOutcomes = map[string]func(path string) bool{
	"all unsynced changes lost":    nil,
	"all unsynced changes kept":    func(string) bool { return true },
	"only files of the store kept": func(path string) bool { return filepath.Dir(path) == modelDir },
}

// operatorChange is a change made by an operator.
type operatorChange struct {
	name   string
	before func(*OperatorStore) error
	apply  func(*OperatorStore) error
	want   OperatorState
}

var (
	drain   = func(s *OperatorStore) error { return s.SetDrained(true) }
	undrain = func(s *OperatorStore) error { return s.SetDrained(false) }
	disable = func(s *OperatorStore) error { return s.SetDisabled("a/b", true) }
	enable  = func(s *OperatorStore) error { return s.SetDisabled("a/b", false) }
	first   = func(s *OperatorStore) error { return s.SetDisabled("first", true) }

	operatorChanges = []operatorChange{
		{"drain", first, drain, OperatorState{Drained: true, Disabled: map[string]bool{"first": true}}},
		{"drain again", drain, drain, OperatorState{Drained: true, Disabled: map[string]bool{}}},
		{"undrain", drain, undrain, OperatorState{Disabled: map[string]bool{}}},
		{"disable", first, disable, OperatorState{Disabled: map[string]bool{"first": true, "a/b": true}}},
		{"enable", disable, enable, OperatorState{Disabled: map[string]bool{}}},
		{"first change", nil, drain, OperatorState{Drained: true, Disabled: map[string]bool{}}},
	}
)

// prepareChange returns a file system and a store that are ready for the change.
func prepareChange(t *testing.T, change operatorChange) (*durabletest.MemFS, *OperatorStore) {
	t.Helper()
	fsys := durabletest.NewMemFS(modelRoot)
	store := openModelStore(t, fsys)
	if change.before != nil {
		if err := change.before(store); err != nil {
			t.Fatal(err)
		}
	}
	return fsys, store
}

// A successful change is durable before it is reported. If a file operation fails, the change
// is either effective and durable or reported as failed and rolled back. A power loss leaves
// the state before or after the change.
func TestFailedWritesLeaveStateConsistent(t *testing.T) {
	for _, change := range operatorChanges {
		t.Run(change.name, func(t *testing.T) {
			fsys, store := prepareChange(t, change)
			before := store.State()
			fsys.InjectFaults(nil)
			if err := change.apply(store); err != nil {
				t.Fatal(err)
			}
			steps := fsys.OperationCount()
			for outcome, kept := range unsyncedOutcomes {
				if s := stateAfterPowerLoss(t, fsys, kept); !s.equal(change.want) {
					t.Errorf("%s: after success the next process reads %+v, want %+v", outcome, s, change.want)
				}
			}
			for step := range steps {
				for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
					once := func(s durabletest.Operation) bool { return s.Index == step }
					checkFailingSteps(t, change, before, once, cause)
					fromThenOn := func(s durabletest.Operation) bool { return s.Index >= step }
					checkFailingSteps(t, change, before, fromThenOn, cause)
				}
				checkPowerLossAt(t, change, before, step)
			}
		})
	}
}

// checkFailingSteps makes a change while some file operations fail.
func checkFailingSteps(t *testing.T, change operatorChange, before OperatorState, fails func(durabletest.Operation) bool, cause error) {
	t.Helper()
	fsys, store := prepareChange(t, change)
	var failed []string
	fsys.InjectFaults(func(s durabletest.Operation) error {
		if !fails(s) {
			return nil
		}
		failed = append(failed, fmt.Sprintf("%d %s %s", s.Index, s.Name, s.Path))
		return cause
	})
	err := change.apply(store)
	want := change.want
	if err != nil {
		want = before
		if !errors.Is(err, cause) {
			t.Errorf("%v: error %v, want one wrapping %v", failed, err, cause)
		}
	}
	if s := store.State(); !s.equal(want) {
		t.Errorf("%v: error %v, state in memory %+v, want %+v", failed, err, s, want)
	}
	store.Reload() // while the operations still fail
	fsys.InjectFaults(nil)
	if err := store.Reload(); err != nil || !store.State().equal(want) {
		t.Errorf("%v: reloaded state %+v (error %v), want %+v", failed, store.State(), err, want)
	}
	if err := store.retryRollbacks(); err != nil {
		t.Errorf("%v: %v", failed, err)
	}
	if err := store.Reload(); err != nil || !store.State().equal(want) {
		t.Errorf("%v: state after the rollbacks %+v (error %v), want %+v", failed, store.State(), err, want)
	}
	for outcome, kept := range unsyncedOutcomes {
		if s := stateAfterPowerLoss(t, fsys, kept); !s.equal(want) {
			t.Errorf("%v, error %v: %s: the next process reads %+v, want %+v", failed, err, outcome, s, want)
		}
	}
}

// checkPowerLossAt simulates a power loss right before a file operation.
func checkPowerLossAt(t *testing.T, change operatorChange, before OperatorState, step int) {
	t.Helper()
	fsys, store := prepareChange(t, change)
	fsys.InjectFaults(func(s durabletest.Operation) error {
		if s.Index >= step {
			return errors.New("power lost")
		}
		return nil
	})
	change.apply(store)
	fsys.InjectFaults(nil)
	for outcome, kept := range unsyncedOutcomes {
		if s := stateAfterPowerLoss(t, fsys, kept); !s.equal(before) && !s.equal(change.want) {
			t.Errorf("power lost before step %d, %s: the next process reads %+v, want %+v or %+v", step, outcome, s, before, change.want)
		}
	}
}

// Watch rolls back a failed change once the disk is writable again.
func TestWatchRetriesRollbacks(t *testing.T) {
	fsys, store := prepareChange(t, operatorChanges[0])
	var failed bool
	fsys.InjectFaults(func(s durabletest.Operation) error {
		failed = failed || s.Name == "syncdir"
		if failed {
			return syscall.EIO
		}
		return nil
	})
	if err := store.SetDrained(true); !errors.Is(err, syscall.EIO) {
		t.Fatalf("error %v, want %v", err, syscall.EIO)
	}
	fsys.InjectFaults(nil)
	next := openModelStore(t, fsys)
	if !next.State().Drained {
		t.Fatal("invalid test: the file was restored at once")
	}
	done := make(chan struct{})
	defer close(done)
	go store.Watch(done)
	for deadline := time.Now().Add(testTimeout); next.State().Drained; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a change reported as failed is effective in the next process")
		}
		if err := next.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if store.State().Drained {
		t.Error("state is drained, want not drained")
	}
}

// While the directory is unreadable or missing, the last known state is kept and changes
// fail. A process that starts meanwhile reads the directory later.
func TestStateIsKeptWhileDirectoryIsUnavailable(t *testing.T) {
	fsys, store := prepareChange(t, operatorChanges[3])
	want := store.State()
	unreadable := func(s durabletest.Operation) error {
		if s.Name == "list" {
			return syscall.EIO
		}
		return nil
	}
	fsys.InjectFaults(unreadable)
	if err := store.Reload(); !errors.Is(err, syscall.EIO) || !store.State().equal(want) {
		t.Errorf("unreadable directory: error %v, state %+v, want %+v", err, store.State(), want)
	}
	next := openModelStore(t, fsys)
	fsys.InjectFaults(nil)
	if err := next.Reload(); err != nil || !next.State().equal(want) {
		t.Errorf("next process: error %v, state %+v, want %+v", err, next.State(), want)
	}
	restore := fsys.HideDir(modelDir)
	if err := store.Reload(); err == nil || !store.State().equal(want) {
		t.Errorf("missing directory: error %v, state %+v, want %+v", err, store.State(), want)
	}
	if err := store.SetDrained(true); err == nil || !store.State().equal(want) {
		t.Errorf("change in a missing directory: error %v, state %+v, want %+v", err, store.State(), want)
	}
	restore()
	if err := store.Reload(); err != nil || !store.State().equal(want) {
		t.Errorf("restored directory: error %v, state %+v, want %+v", err, store.State(), want)
	}
}

// A change made by another process is detected with any modification time of the directory,
// because the wall clock may be set back or not advance between two changes.
func TestStateChangeIsSeenWithAnyModificationTime(t *testing.T) {
	dir := t.TempDir()
	modTime := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	a, err := OpenOperatorStore(dir, ignoreState)
	if err != nil {
		t.Fatal(err)
	}
	b, err := OpenOperatorStore(dir, ignoreState)
	if err != nil {
		t.Fatal(err)
	}
	drained := false
	for _, step := range []time.Duration{0, 0, 0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour, 0} {
		modTime, drained = modTime.Add(step), !drained
		if err := a.SetDrained(drained); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(dir, modTime, modTime); err != nil {
			t.Fatal(err)
		}
		if err := b.Reload(); err != nil || b.State().Drained != drained {
			t.Errorf("modification time moved by %v: drained %v (error %v), want %v", step, b.State().Drained, err, drained)
		}
	}
}

// Other versions of the program read and write the same directory, so the file names must
// not change and other files must be ignored.
func TestDirectoryFormatIsUnchanged(t *testing.T) {
	dir := t.TempDir()
	names := []string{"drained", "next", "next.4711", "out-%2F", "out-%zz", "out-s-1"}
	for _, name := range names {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := OperatorState{Drained: true, Disabled: map[string]bool{"/": true, "s-1": true}}
	store, err := OpenOperatorStore(dir, ignoreState)
	if err != nil || !store.State().equal(want) {
		t.Fatalf("read %+v, error %v, want %+v", store.State(), err, want)
	}
	if err := errors.Join(store.SetDisabled("/", false), store.SetDisabled("a b", true), store.SetDrained(true)); err != nil {
		t.Fatal(err)
	}
	sizes := map[string]int64{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		sizes[e.Name()] = info.Size()
	}
	wantNames := []string{"drained", "next", "next.4711", "out-%zz", "out-a+b", "out-s-1"}
	if got := slices.Sorted(maps.Keys(sizes)); !slices.Equal(got, wantNames) {
		t.Errorf("file names %q, want %q", got, wantNames)
	}
	for name, size := range sizes {
		if size != 0 {
			t.Errorf("%s has %d bytes, want 0", name, size)
		}
	}
}

// storeController is a ready Controller that accepts any endpoint and changes the store.
type storeController struct{ *OperatorStore }

func (storeController) Ready() bool            { return true }
func (storeController) EverListed(string) bool { return true }

// The console reports success only for a change that survives a power loss, and a failed
// change is not effective.
func TestConsoleConfirmsOnlyDurableChanges(t *testing.T) {
	for _, c := range []struct {
		path, body string
		before     func(*OperatorStore) error
		want       OperatorState
	}{
		{"/drain", "", first, operatorChanges[0].want},
		{"/undrain", "", drain, operatorChanges[2].want},
		{"/endpoints/disable", `{"target":"a/b"}`, first, operatorChanges[3].want},
		{"/endpoints/enable", `{"target":"a/b"}`, disable, operatorChanges[4].want},
	} {
		fsys, store := prepareChange(t, operatorChange{before: c.before})
		before := store.State()
		handler := NewConsole(storeController{store}).Handler
		post := func() *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body)))
			return recorder
		}
		fsys.InjectFaults(func(s durabletest.Operation) error {
			if s.Name == "syncdir" {
				return syscall.EIO
			}
			return nil
		})
		if response := post(); response.Code != http.StatusInternalServerError || !strings.Contains(response.Body.String(), syscall.EIO.Error()) || !store.State().equal(before) {
			t.Errorf("%s on a failing disk: %d %q, state %+v, want %+v", c.path, response.Code, response.Body, store.State(), before)
		}
		fsys.InjectFaults(nil)
		if response := post(); response.Code != http.StatusOK || !store.State().equal(c.want) {
			t.Errorf("%s: %d %q, state %+v, want %+v", c.path, response.Code, response.Body, store.State(), c.want)
		}
		if s := stateAfterPowerLoss(t, fsys, nil); !s.equal(c.want) {
			t.Errorf("%s succeeded, but the next process reads %+v, want %+v", c.path, s, c.want)
		}
	}
}
