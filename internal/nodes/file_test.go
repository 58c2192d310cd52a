package nodes

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParseFile(t *testing.T) {
	list, err := ParseFile([]byte(`
# the hall's ledgers
127.0.0.1:9001
127.0.0.1:9002 name=s-2 zone=b cell=4 since=2026-11-29T11:00:00Z draining # goes tonight
[::1]:9003 zone=c
`))
	if err != nil {
		t.Fatal(err)
	}
	want := []Endpoint{
		{Name: "127.0.0.1:9001", Address: "127.0.0.1:9001", Status: InService},
		{Name: "s-2", Address: "127.0.0.1:9002", Zone: "b", Group: 4, Status: Terminating, SinceMs: 1795950000000},
		{Name: "[::1]:9003", Address: "[::1]:9003", Zone: "c", Status: InService},
	}
	if !list.Snapshot || !list.Undated || len(list.Endpoints) != len(want) {
		t.Fatalf("%+v", list)
	}
	for i, e := range list.Endpoints {
		if e != want[i] {
			t.Errorf("node %d: %+v, want %+v", i, e, want[i])
		}
	}
	if list, err = ParseFile([]byte(` {"endpoints":[` + entry + `]}`)); err != nil || !list.Snapshot || list.Undated || len(list.Endpoints) != 1 {
		t.Errorf("discovery's form: %+v, %v", list, err)
	}
	if list, err = ParseFile(nil); err != nil || len(list.Endpoints) != 0 {
		t.Errorf("an empty file: %+v, %v", list, err)
	}
	for text, want := range map[string]string{
		"127.0.0.1:9001\nnowhere":                   "line 2",
		"127.0.0.1:9001\n\n127.0.0.1:9001":          "line 3",
		"127.0.0.1:9001 name=":                      "name=",
		"127.0.0.1:9001 weight=3":                   "weight=3",
		"127.0.0.1:9001 cell=x":                     "cell=x",
		"127.0.0.1:9001 since=yesterday":            "since=yesterday",
		"127.0.0.1:9001 draining=yes":               "draining=yes",
		`{"endpoints":[{"name":"a"}]}`:              "endpoints[0]",
		"127.0.0.1:1 name=a\n127.0.0.1:2 name=a\n#": "line 2",
	} {
		if _, err := ParseFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that names %q", text, err, want)
		}
	}
}

// FuzzParseFile holds that a file is read whole or not at all.
func FuzzParseFile(f *testing.F) {
	f.Add("127.0.0.1:9001 name=s zone=a cell=1 draining\n#x")
	f.Add(`{"endpoints":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseFile([]byte(text))
		if err != nil {
			return
		}
		for _, e := range list.Endpoints {
			if e.Name == "" || e.check() != nil {
				t.Errorf("%q: took %+v", text, e)
			}
		}
	})
}

// What is written beside the file and renamed into place is seen; a broken file
// and a file that is gone change nothing.
func TestFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	lists := make(chan List, 16)
	next := func(want string) {
		t.Helper()
		select {
		case l := <-lists:
			if len(l.Endpoints) != 1 || l.Endpoints[0].Address != want {
				t.Fatalf("list %+v, want %s", l, want)
			}
		case <-time.After(patience):
			t.Fatalf("no list with %s", want)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&File{Path: path, Interval: 5 * time.Millisecond}).Follow(ctx, func(l List) { lists <- l })
	put("127.0.0.1:1")
	next("127.0.0.1:1")
	put("nonsense")
	time.Sleep(30 * time.Millisecond)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	put("127.0.0.1:2")
	next("127.0.0.1:2")
	if len(lists) > 0 {
		t.Errorf("told without a change: %+v", <-lists)
	}
}

func TestFixed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var told []List
	err := Fixed{{Address: "127.0.0.1:1"}}.Follow(ctx, func(l List) { told = append(told, l); cancel() })
	if err != context.Canceled || len(told) != 1 || told[0].Endpoints[0].Name != "127.0.0.1:1" {
		t.Errorf("%+v, %v", told, err)
	}
	if err := (Fixed{{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:1"}}).Validate(); err == nil {
		t.Error("a node that stands in the list twice was taken")
	}
	a, b := Fixed{{Address: "127.0.0.1:1"}}, Fixed{{Address: "127.0.0.1:1", Status: Terminating}}
	if a.String() == b.String() {
		t.Errorf("two lists of one name: %s", a)
	}
}
