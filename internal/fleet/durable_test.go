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

func ignore(OperatorState) {}

// marksIn opens the marks of a modelled disk, as the next process does.
func marksIn(t *testing.T, disk *durabletest.Model) *OperatorStore {
	t.Helper()
	m, err := openMarks(disk, modelDir, ignore)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// nextSays is what the next process reads after a loss of power.
func nextSays(t *testing.T, disk *durabletest.Model, kept func(string) bool) OperatorState {
	t.Helper()
	return marksIn(t, disk.AfterPowerLoss(kept)).State()
}

// fates are what may become of what was not synced when the power is lost.
var fates = map[string]func(path string) bool{
	"all of it is lost": nil,
	"all of it is kept": func(string) bool { return true },
	"marks are kept":    func(path string) bool { return filepath.Dir(path) == modelDir },
}

// word is something that operators say.
type word struct {
	name   string
	before func(*OperatorStore) error
	say    func(*OperatorStore) error
	want   OperatorState
}

var (
	drain   = func(m *OperatorStore) error { return m.SetDrained(true) }
	undrain = func(m *OperatorStore) error { return m.SetDrained(false) }
	disable = func(m *OperatorStore) error { return m.SetDisabled("a/b", true) }
	enable  = func(m *OperatorStore) error { return m.SetDisabled("a/b", false) }
	first   = func(m *OperatorStore) error { return m.SetDisabled("first", true) }

	words = []word{
		{"drain", first, drain, OperatorState{Drained: true, Disabled: map[string]bool{"first": true}}},
		{"drain again", drain, drain, OperatorState{Drained: true, Disabled: map[string]bool{}}},
		{"undrain", drain, undrain, OperatorState{Disabled: map[string]bool{}}},
		{"disable", first, disable, OperatorState{Disabled: map[string]bool{"first": true, "a/b": true}}},
		{"enable", disable, enable, OperatorState{Disabled: map[string]bool{}}},
		{"the very first word", nil, drain, OperatorState{Drained: true, Disabled: map[string]bool{}}},
	}
)

// begun is a disk and a process at which w is about to be said.
func begun(t *testing.T, w word) (*durabletest.Model, *OperatorStore) {
	t.Helper()
	disk := durabletest.NewModel(modelRoot)
	m := marksIn(t, disk)
	if w.before != nil {
		if err := w.before(m); err != nil {
			t.Fatal(err)
		}
	}
	return disk, m
}

// What operators say is on the disk before they are told so. Whichever step of the disk
// fails, for once or for a while, either it holds, in this process and the next one and
// after a loss of power, or they are told that it failed and it never comes to hold. A
// kill at any step leaves what was said before or what was being said.
func TestStateWritesFailAndTear(t *testing.T) {
	for _, w := range words {
		t.Run(w.name, func(t *testing.T) {
			disk, m := begun(t, w)
			was := m.State()
			disk.Fault(nil)
			if err := w.say(m); err != nil {
				t.Fatal(err)
			}
			steps := disk.Steps()
			for fate, kept := range fates {
				if s := nextSays(t, disk, kept); !s.equal(w.want) {
					t.Errorf("%s: after a yes the next process reads %+v, want %+v", fate, s, w.want)
				}
			}
			for step := range steps {
				for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
					once := func(s durabletest.Step) bool { return s.Number == step }
					failsAt(t, w, was, once, cause)
					fromNowOn := func(s durabletest.Step) bool { return s.Number >= step }
					failsAt(t, w, was, fromNowOn, cause)
				}
				killedAt(t, w, was, step)
			}
		})
	}
}

// failsAt says a word while some steps of the disk fail.
func failsAt(t *testing.T, w word, was OperatorState, fails func(durabletest.Step) bool, cause error) {
	t.Helper()
	disk, m := begun(t, w)
	var at []string
	disk.Fault(func(s durabletest.Step) error {
		if !fails(s) {
			return nil
		}
		at = append(at, fmt.Sprintf("%d %s %s", s.Number, s.Op, s.Path))
		return cause
	})
	err := w.say(m)
	want := w.want
	if err != nil {
		want = was
		if !errors.Is(err, cause) {
			t.Errorf("%v: error %v, want one that names %v", at, err, cause)
		}
	}
	if s := m.State(); !s.equal(want) {
		t.Errorf("%v: told %v, and in memory stands %+v, want %+v", at, err, s, want)
	}
	m.Look() // while it goes on
	disk.Fault(nil)
	if err := m.Look(); err != nil || !m.State().equal(want) {
		t.Errorf("%v: looked at, the folder says %+v (%v), want %+v", at, m.State(), err, want)
	}
	if err := m.settle(); err != nil {
		t.Errorf("%v: %v", at, err)
	}
	if err := m.Look(); err != nil || !m.State().equal(want) {
		t.Errorf("%v: with all put back, the folder says %+v (%v), want %+v", at, m.State(), err, want)
	}
	for fate, kept := range fates {
		if s := nextSays(t, disk, kept); !s.equal(want) {
			t.Errorf("%v, told %v: %s: the next process reads %+v, want %+v", at, err, fate, s, want)
		}
	}
}

// killedAt has the power fail right before a step.
func killedAt(t *testing.T, w word, was OperatorState, step int) {
	t.Helper()
	disk, m := begun(t, w)
	disk.Fault(func(s durabletest.Step) error {
		if s.Number >= step {
			return errors.New("no power")
		}
		return nil
	})
	w.say(m)
	disk.Fault(nil)
	for fate, kept := range fates {
		if s := nextSays(t, disk, kept); !s.equal(was) && !s.equal(w.want) {
			t.Errorf("killed before step %d, %s: the next process reads %+v, want %+v or %+v", step, fate, s, was, w.want)
		}
	}
}

// A change that could neither be made nor taken back is put back by Watch, once the disk
// can be written to.
func TestMarksOwedAreSettled(t *testing.T) {
	disk, m := begun(t, words[0])
	var failed bool
	disk.Fault(func(s durabletest.Step) error {
		failed = failed || s.Op == "syncdir"
		if failed {
			return syscall.EIO
		}
		return nil
	})
	if err := m.SetDrained(true); !errors.Is(err, syscall.EIO) {
		t.Fatalf("error %v, want %v", err, syscall.EIO)
	}
	disk.Fault(nil)
	next := marksIn(t, disk)
	if !next.State().Drained {
		t.Fatal("the file was put back at once: that was no test")
	}
	done := make(chan struct{})
	defer close(done)
	go m.Watch(done)
	for end := time.Now().Add(patience); next.State().Drained; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what operators were told had failed holds in the next process")
		}
		if err := next.Look(); err != nil {
			t.Fatal(err)
		}
	}
	if m.State().Drained {
		t.Error("the process takes itself for drained")
	}
}

// While the folder cannot be read, or is gone, what was said last stands, and what
// operators say then is told to have failed. A process that starts meanwhile reads the
// folder later.
func TestMarksOutlastTheirFolder(t *testing.T) {
	disk, m := begun(t, words[3])
	want := m.State()
	unreadable := func(s durabletest.Step) error {
		if s.Op == "list" {
			return syscall.EIO
		}
		return nil
	}
	disk.Fault(unreadable)
	if err := m.Look(); !errors.Is(err, syscall.EIO) || !m.State().equal(want) {
		t.Errorf("unreadable: %v, %+v, want %+v", err, m.State(), want)
	}
	next := marksIn(t, disk)
	disk.Fault(nil)
	if err := next.Look(); err != nil || !next.State().equal(want) {
		t.Errorf("the next process: %v, %+v, want %+v", err, next.State(), want)
	}
	back := disk.Vanish(modelDir)
	if err := m.Look(); err == nil || !m.State().equal(want) {
		t.Errorf("gone: %v, %+v, want %+v", err, m.State(), want)
	}
	if err := m.SetDrained(true); err == nil || !m.State().equal(want) {
		t.Errorf("said while it is gone: %v, %+v, want %+v", err, m.State(), want)
	}
	back()
	if err := m.Look(); err != nil || !m.State().equal(want) {
		t.Errorf("there again: %v, %+v, want %+v", err, m.State(), want)
	}
}

// What other processes are told is seen whatever the folder's date is: the wall clock may
// be set back, and it stands still for a tick.
func TestMarksAreSeenWhateverTheDate(t *testing.T) {
	dir := t.TempDir()
	date := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	a, err := OpenOperatorStore(dir, ignore)
	if err != nil {
		t.Fatal(err)
	}
	b, err := OpenOperatorStore(dir, ignore)
	if err != nil {
		t.Fatal(err)
	}
	drained := false
	for _, step := range []time.Duration{0, 0, 0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour, 0} {
		date, drained = date.Add(step), !drained
		if err := a.SetDrained(drained); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(dir, date, date); err != nil {
			t.Fatal(err)
		}
		if err := b.Look(); err != nil || b.State().Drained != drained {
			t.Errorf("clock set by %v: drained %v (%v), want %v", step, b.State().Drained, err, drained)
		}
	}
}

// The folder has the form that it always had, in both directions: empty files of these
// names, between which others may lie.
func TestMarksFormIsKept(t *testing.T) {
	dir := t.TempDir()
	names := []string{"drained", "next", "next.4711", "out-%2F", "out-%zz", "out-s-1"}
	for _, name := range names {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := OperatorState{Drained: true, Disabled: map[string]bool{"/": true, "s-1": true}}
	m, err := OpenOperatorStore(dir, ignore)
	if err != nil || !m.State().equal(want) {
		t.Fatalf("read %+v, %v, want %+v", m.State(), err, want)
	}
	if err := errors.Join(m.SetDisabled("/", false), m.SetDisabled("a b", true), m.SetDrained(true)); err != nil {
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
	left := []string{"drained", "next", "next.4711", "out-%zz", "out-a+b", "out-s-1"}
	if got := slices.Sorted(maps.Keys(sizes)); !slices.Equal(got, left) {
		t.Errorf("written %q, want %q", got, left)
	}
	for name, size := range sizes {
		if size != 0 {
			t.Errorf("%s has %d bytes, want none", name, size)
		}
	}
}

// markedOnly is a sidecar of which there are the marks alone.
type markedOnly struct{ *OperatorStore }

func (markedOnly) Ready() bool            { return true }
func (markedOnly) EverListed(string) bool { return true }

// The console says yes to what will be found after a loss of power in that moment, and no
// to what failed and holds nowhere.
func TestConsoleSaysYesToWhatIsOnTheDisk(t *testing.T) {
	for _, c := range []struct {
		path, body string
		before     func(*OperatorStore) error
		want       OperatorState
	}{
		{"/drain", "", first, words[0].want},
		{"/undrain", "", drain, words[2].want},
		{"/endpoints/disable", `{"target":"a/b"}`, first, words[3].want},
		{"/endpoints/enable", `{"target":"a/b"}`, disable, words[4].want},
	} {
		disk, m := begun(t, word{before: c.before})
		was := m.State()
		door := NewConsole(markedOnly{m}).Handler
		post := func() *httptest.ResponseRecorder {
			answer := httptest.NewRecorder()
			door.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body)))
			return answer
		}
		disk.Fault(func(s durabletest.Step) error {
			if s.Op == "syncdir" {
				return syscall.EIO
			}
			return nil
		})
		if a := post(); a.Code != http.StatusInternalServerError || !strings.Contains(a.Body.String(), syscall.EIO.Error()) || !m.State().equal(was) {
			t.Errorf("%s on a disk that fails: %d %q, and it holds %+v, want %+v", c.path, a.Code, a.Body, m.State(), was)
		}
		disk.Fault(nil)
		if a := post(); a.Code != http.StatusOK || !m.State().equal(c.want) {
			t.Errorf("%s: %d %q, and it holds %+v, want %+v", c.path, a.Code, a.Body, m.State(), c.want)
		}
		if s := nextSays(t, disk, nil); !s.equal(c.want) {
			t.Errorf("%s: yes, and the next process reads %+v, want %+v", c.path, s, c.want)
		}
	}
}
