package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// newDeliveredFile returns a File whose first list has been delivered.
func newDeliveredFile(t *testing.T, text string) *File {
	t.Helper()
	f := &File{Path: filepath.Join(t.TempDir(), "nodes")}
	writeFile(t, f, text)
	if _, result, err := pollUntilSettled(f); err != nil || text != "" && result != changed {
		t.Fatalf("first list: result %v, error %v", result, err)
	}
	return f
}

// writeFile writes a file in place, as an editor or a shell does.
func writeFile(t *testing.T, f *File, text string) {
	t.Helper()
	if err := os.WriteFile(f.Path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// pollUntilSettled polls a file until its content has settled.
func pollUntilSettled(f *File) (List, readResult, error) {
	for {
		if list, result, err := f.poll(); result != unsettled {
			return list, result, err
		}
	}
}

func addresses(l List) (all []string) {
	for _, e := range l.Endpoints {
		all = append(all, e.Address)
	}
	return all
}

const (
	linesBefore = "# the ledger servers\n127.0.0.1:9001 zone=a\n127.0.0.1:9002 draining\n"
	linesAfter  = "# the ledger servers\n127.0.0.1:9001 zone=b\n127.0.0.1:9003\n127.0.0.1:9004 name=s-4\n"
)

var (
	discoveryBefore = `{"endpoints":[` + endpointJSON + `]}` + "\n"
	discoveryAfter  = strings.Replace(discoveryBefore, "127.0.0.1:1", "127.0.0.1:2", 1)
)

// A file truncated at any byte never empties the list and never adds a node that is in no
// list. Once the file is complete, its list is delivered.
func TestTruncatedFileKeepsList(t *testing.T) {
	for _, form := range []struct{ name, before, after string }{
		{"lines", linesBefore, linesAfter},
		{"discovery format", discoveryBefore, discoveryAfter},
		{"lines after discovery format", discoveryBefore, strings.TrimPrefix(linesAfter, "# the ledger servers\n")},
		{"discovery format after lines", linesBefore, discoveryAfter},
	} {
		t.Run(form.name, func(t *testing.T) {
			complete, err := ParseFile([]byte(form.after))
			if err != nil {
				t.Fatal(err)
			}
			want := addresses(complete)
			for cut := range len(form.after) {
				f := newDeliveredFile(t, form.before)
				writeFile(t, f, form.after[:cut])
				if _, result, err := f.poll(); result != unsettled || err != nil {
					t.Errorf("cut at %d, first poll: result %v, error %v, want unsettled", cut, result, err)
				}
				truncated, result, err := pollUntilSettled(f)
				if got := addresses(truncated); result == changed && (len(got) == 0 || !isPrefix(got, want)) {
					t.Errorf("cut at %d: delivered %v (%q), want no list or its first nodes", cut, got, form.after[:cut])
				}
				atLineEnd := cut > 0 && form.after[cut-1] == '\n'
				if err == nil && !atLineEnd && !strings.HasPrefix(form.after, "{") {
					t.Errorf("cut at %d: no error for %q", cut, form.after[:cut])
				}
				writeFile(t, f, form.after)
				if list, result, err := pollUntilSettled(f); result != changed || err != nil || !slices.Equal(addresses(list), want) {
					t.Errorf("cut at %d, then complete: %v, result %v, error %v, want %v", cut, addresses(list), result, err, want)
				}
			}
		})
	}
}

func isPrefix(some, all []string) bool {
	return len(some) <= len(all) && slices.Equal(some, all[:len(some)])
}

// A list is not delivered while the file changes. The list of a file that never settles is
// delivered after a limited number of reads.
func TestChangingFileIsDeliveredOnceSettled(t *testing.T) {
	f := newDeliveredFile(t, "127.0.0.1:1\n")
	text := ""
	for i := range maxUnsettledReads / 2 {
		text += fmt.Sprintf("127.0.0.1:%d\n", 9000+i)
		writeFile(t, f, text)
		if list, result, err := f.poll(); result != unsettled || err != nil {
			t.Fatalf("delivered while the file changes: %v, result %v, error %v", addresses(list), result, err)
		}
	}
	list, result, err := pollUntilSettled(f)
	if result != changed || err != nil || len(list.Endpoints) != maxUnsettledReads/2 {
		t.Errorf("after the last change: %v, result %v, error %v", addresses(list), result, err)
	}
	for i := 0; result != changed || i == 0; i++ {
		if i > 2*maxUnsettledReads {
			t.Fatal("the list of a file that never settles is not delivered")
		}
		writeFile(t, f, fmt.Sprintf("127.0.0.1:%d\n", 7000+i))
		if _, result, err = f.poll(); err != nil {
			t.Fatal(err)
		}
	}
}

// Invalid content, however often it changes, must not make a File skip the settle delay.
func TestInvalidFilesDoNotSkipSettling(t *testing.T) {
	f := newDeliveredFile(t, "127.0.0.1:1\n")
	for i := range 2 * maxUnsettledReads {
		writeFile(t, f, strings.Repeat("nonsense ", i+1))
		if _, result, err := pollUntilSettled(f); result == changed || err == nil {
			t.Fatalf("invalid content: result %v, error %v, want an error", result, err)
		}
	}
	writeFile(t, f, "127.0.0.1:2\n")
	if list, result, err := f.poll(); result != unsettled || err != nil {
		t.Errorf("first poll of new content: %v, result %v, error %v, want unsettled", addresses(list), result, err)
	}
}

// A change of the content is detected with any modification time, even if the size is equal.
func TestFileChangeIsSeenWithAnyModificationTime(t *testing.T) {
	f := newDeliveredFile(t, "127.0.0.1:1000\n")
	modTime := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	if err := os.Chtimes(f.Path, modTime, modTime); err != nil {
		t.Fatal(err)
	}
	f.poll()
	for i, step := range []time.Duration{0, 0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		modTime = modTime.Add(step)
		want := fmt.Sprintf("127.0.0.1:%d", 1001+i)
		writeFile(t, f, want+" since=2026-12-01T12:00:00Z\n")
		if err := os.Chtimes(f.Path, modTime, modTime); err != nil {
			t.Fatal(err)
		}
		list, result, err := pollUntilSettled(f)
		if result != changed || err != nil || !slices.Equal(addresses(list), []string{want}) {
			t.Fatalf("modification time moved by %v: %v, result %v, error %v, want %s", step, addresses(list), result, err, want)
		}
		if ms := list.Endpoints[0].SinceMs; ms != 1796126400000 {
			t.Errorf("modification time moved by %v: since %d, want 1796126400000", step, ms)
		}
	}
}

// A file that is missing, unreadable, blank or truncated leaves the list unchanged and is
// logged once. A new comment alone is an empty list.
func TestUnusableFileIsLoggedOnce(t *testing.T) {
	var logged bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	defer slog.SetDefault(previous)
	dir := t.TempDir()
	f := &File{Path: filepath.Join(dir, "nodes"), Interval: time.Millisecond}
	writeFile(t, f, linesBefore)
	var delivered []List
	follow := func(done func() bool) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		f.Follow(contextUntil{ctx, done}, func(l List) { delivered = append(delivered, l) })
		if ctx.Err() != nil {
			t.Fatalf("timed out; logged %s", logged.String())
		}
	}
	follow(func() bool { return len(delivered) == 1 })
	for name, damage := range map[string]func() error{
		"blank":                     func() error { return os.WriteFile(f.Path, []byte(" \n"), 0o600) },
		"empty":                     func() error { return os.WriteFile(f.Path, nil, 0o600) },
		"only the leading comments": func() error { return os.WriteFile(f.Path, []byte("# the ledger servers\n"), 0o600) },
		"missing":                   func() error { return os.Remove(f.Path) },
		"directory": func() error {
			return errors.Join(os.Remove(f.Path), os.Mkdir(f.Path, 0o700))
		},
	} {
		logged.Reset()
		if err := damage(); err != nil {
			t.Fatal(err)
		}
		polls := 0
		follow(func() bool { polls++; return logged.Len() > 0 && polls > 10 })
		if n := strings.Count(logged.String(), f.Path); n < 1 || strings.Count(logged.String(), "\n") != 1 {
			t.Errorf("%s: logged %q, want one line with the path", name, logged.String())
		}
		os.RemoveAll(f.Path)
		writeFile(t, f, linesBefore)
		polls = 0
		follow(func() bool { polls++; return f.loggedError == "" && polls > 5 })
		if len(delivered) != 1 {
			t.Fatalf("%s: delivered %v", name, addresses(delivered[1]))
		}
	}
	writeFile(t, f, "# none\n")
	follow(func() bool { return len(delivered) == 2 })
	if len(delivered[1].Endpoints) != 0 {
		t.Errorf("new comment alone: %v, want no endpoint", addresses(delivered[1]))
	}
}

// contextUntil is a context that ends when done reports true. It is checked after each poll.
type contextUntil struct {
	context.Context
	done func() bool
}

var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// Done implements context.Context. The returned channel is closed if done reports true.
func (c contextUntil) Done() <-chan struct{} {
	if c.done() {
		return closedChannel
	}
	return c.Context.Done()
}
