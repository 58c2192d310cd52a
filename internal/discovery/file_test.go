package discovery

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
# the ledger servers
127.0.0.1:9001
127.0.0.1:9002 name=s-2 zone=b cell=4 since=2026-11-29T11:00:00Z draining # removed soon
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
	if list, err = ParseFile([]byte(` {"endpoints":[` + endpointJSON + `]}`)); err != nil || !list.Snapshot || list.Undated || len(list.Endpoints) != 1 {
		t.Errorf("discovery format: %+v, %v", list, err)
	}
	if list, err = ParseFile(nil); err != nil || len(list.Endpoints) != 0 {
		t.Errorf("empty file: %+v, %v", list, err)
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
			t.Errorf("%q: error %v, want one containing %q", text, err, want)
		}
	}
}

// FuzzParseFile checks that a file is either rejected or parsed into valid endpoints.
func FuzzParseFile(f *testing.F) {
	f.Add("127.0.0.1:9001 name=s zone=a cell=1 draining\n#x")
	f.Add(`{"endpoints":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseFile([]byte(text))
		if err != nil {
			return
		}
		for _, e := range list.Endpoints {
			if e.Name == "" || e.validate() != nil {
				t.Errorf("%q: accepted the invalid endpoint %+v", text, e)
			}
		}
	})
}

// A file that is replaced by a rename is read again. An invalid or missing file leaves the
// list unchanged.
func TestFileFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	replace := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	lists := make(chan List, 16)
	expect := func(want string) {
		t.Helper()
		select {
		case l := <-lists:
			if len(l.Endpoints) != 1 || l.Endpoints[0].Address != want {
				t.Fatalf("list %+v, want %s", l, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("timed out waiting for a list with %s", want)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&File{Path: path, Interval: 5 * time.Millisecond}).Follow(ctx, func(l List) { lists <- l })
	replace("127.0.0.1:1")
	expect("127.0.0.1:1")
	replace("nonsense")
	time.Sleep(30 * time.Millisecond)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	replace("127.0.0.1:2")
	expect("127.0.0.1:2")
	if len(lists) > 0 {
		t.Errorf("delivered without a change: %+v", <-lists)
	}
}

func TestFixed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var delivered []List
	err := Fixed{{Address: "127.0.0.1:1"}}.Follow(ctx, func(l List) { delivered = append(delivered, l); cancel() })
	if err != context.Canceled || len(delivered) != 1 || delivered[0].Endpoints[0].Name != "127.0.0.1:1" {
		t.Errorf("%+v, %v", delivered, err)
	}
	if err := (Fixed{{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:1"}}).Validate(); err == nil {
		t.Error("duplicate node was accepted")
	}
	a, b := Fixed{{Address: "127.0.0.1:1"}}, Fixed{{Address: "127.0.0.1:1", Status: Terminating}}
	if a.String() == b.String() {
		t.Errorf("different lists have the same name: %s", a)
	}
}
