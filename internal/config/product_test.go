package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/tomlfile"
	"gorselink/route"
)

const tenLines = `
[listeners.public]
address = "127.0.0.1:8080"

[pools.donate]
nodes = ["127.0.0.1:9001", "127.0.0.1:9002"]

[[routes]]
host = "donate.example.org"
pool = "donate"
`

// Ten lines are a working file: every default works.
func TestTenLinesAreAFile(t *testing.T) {
	c, err := ParseDaemon("x.toml", []byte(tenLines))
	if err != nil {
		t.Fatal(err)
	}
	p := c.Pools[0]
	if p.Connections < 100 || p.Requests < 100 || p.Requests > p.Connections || p.MaxBody != 1<<20 || p.MaxResponse != 1<<20 || len(p.NodeSource.Fixed) != 2 {
		t.Errorf("pool %+v", p)
	}
	if l := c.Listeners[0]; l.Form != FormOrdinary || l.Connections <= p.Requests {
		t.Errorf("listener %+v with %d requests", l, p.Requests)
	}
	if k := c.Class("default"); k == nil || !k.ByMethod || k.Deadline != 10*time.Second || k.Worth != 1 {
		t.Errorf("class %+v", k)
	}
	table, err := c.RoutingTable("public")
	if err != nil {
		t.Fatal(err)
	}
	if i, ok := table.Find(&route.Request{Host: "donate.example.org", Path: "/x", Method: "GET"}); !ok || i != 0 {
		t.Errorf("route %d, %t", i, ok)
	}
}

// The example in deploy/ is good, and its defaults are those of the code: every
// value in it that says so is left out without a difference.
func TestExampleIsGood(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "gorselink.toml")
	c, err := LoadDaemon(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.CheckFiles(); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var kept []string
	left := 0
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "# default") {
			left++
			continue
		}
		kept = append(kept, line)
	}
	if left < 20 {
		t.Errorf("only %d values of the example are said to be defaults", left)
	}
	without, err := ParseDaemon(path, []byte(strings.Join(kept, "")))
	if err != nil {
		t.Fatal(err)
	}
	if a, b := fmt.Sprintf("%+v", c), fmt.Sprintf("%+v", without); a != b {
		t.Errorf("with the defaults written out:\n%s\nand without:\n%s", a, b)
	}
}

// TestCheckReportsEveryError: each fault is told, in one go, with its line, its
// key, what was found and what is wanted.
func TestCheckReportsEveryError(t *testing.T) {
	text := `[process]
memory = "lots"
descriptors = 12
cores = 1.5
nmae = "x"

[listeners.public]
address = "nowhere"
form = "strict"
hello_timeout = "2"

[listeners.inner]
address = "127.0.0.1:1"

[listeners.again]
address = "127.0.0.1:1"

["listeners"."a b"]
address = "127.0.0.1:2"

[classes.pay]
semantics = "idempotent"
aim = "3s"
deadline = "1s"
worth = -1
late_worth = "half"

[pools.donate]
nodes = [
  "127.0.0.1:9001",
  "9002",
  "127.0.0.1:9001 weight=3",
]
attempts = 0
max_body = "1 MB"
prefer_own_zone = true

[pools.empty]
nodes = []

[pools.both]
nodes = ["127.0.0.1:1"]
discovery = "127.0.0.1:2"

[pools.none]
share = 0

[[routes]]
host = "donate.example.org"
pool = "donate"

[[routes]]
host = "Donate.example.org."
path = "/"
pool = "donate"

[[routes]]
host = "donate.example.org"
path = "/a/%2f"
pool = "gone"
class = "paid"

[[routes]]
host = "*"
methods = ["get"]
listeners = ["public", "publik"]
pool = "donate"

[[routes]]
methods = []
`
	want := []string{
		`2: process.memory: found "lots", want a size with its unit`,
		`3: process.descriptors: found 12, want a whole number from 128`,
		`4: process.cores: found 1.5, want a whole number`,
		`5: process.nmae: found "x", want one of name, seed, memory`,
		`8: listeners.public.address: found "nowhere", want address:port`,
		`9: listeners.public.form: found "strict", want one of ordinary, platform`,
		`10: listeners.public.hello_timeout: found "2", want a time with its unit`,
		`13: listeners.inner.address: found "127.0.0.1:1", want another one than listeners.again has`,
		`18: listeners.a b: found "a b", want a name`,
		`22: classes.pay.semantics: found "idempotent", want one of by-method, safe`,
		`23: classes.pay.aim: found 3s, want the deadline, 1s, at most`,
		`25: classes.pay.worth: found -1, want a number`,
		`26: classes.pay.late_worth: found "half", want a number`,
		`31: pools.donate.nodes[1]: found "9002", want a node: address`,
		`32: pools.donate.nodes[2]: found "127.0.0.1:9001 weight=3", want a node`,
		`34: pools.donate.attempts: found 0, want a whole number from 1`,
		`35: pools.donate.max_body: found "1 MB", want a size`,
		`36: pools.donate.prefer_own_zone: found true, want a zone`,
		`39: pools.empty.nodes: found an empty list, want one node`,
		`42: pools.both.nodes: found 2 of them, want one of nodes, nodes_file and discovery`,
		`45: pools.none.nodes: missing, want one of nodes`,
		`46: pools.none.share: found 0, want a number`,
		`52: routes[1]: found just what routes[0] matches, want a host`,
		`59: routes[2].path: found path "/a/%2f": an encoded slash`,
		`60: routes[2].pool: found "gone", want a pool that there is`,
		`61: routes[2].class: found "paid", want a class that there is`,
		`64: routes[3].host: found host "*"`,
		`66: routes[3].listeners[1]: found "publik", want a listener`,
		`70: routes[4].methods: found an empty list`,
		`routes[4].pool: missing, want the name of a pool`,
	}
	_, err := ParseDaemon("x.toml", []byte(text))
	var faults tomlfile.Errors
	if !errors.As(err, &faults) {
		t.Fatalf("error %v", err)
	}
	got := strings.Split(err.Error(), "\n")
	for _, w := range want {
		if !slices.ContainsFunc(got, func(g string) bool { return strings.HasPrefix(g, "x.toml:") && strings.Contains(g, w) }) {
			t.Errorf("not told: %s", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d faults told, want %d:\n%s", len(got), len(want), err)
	}
}

// A file that is no TOML, or lacks everything, is told as well.
func TestCheckOnBrokenFiles(t *testing.T) {
	for text, want := range map[string]string{
		"a = [1,\nb = 2":       "x.toml:2",
		"a = 1\na = 2\n":       "x.toml",
		"":                     "listeners: missing",
		"[pools]\nx = 1\n":     "x.toml:2: pools.x: found 1, want a table",
		"routes = 3\n":         "x.toml:1: routes: found 3, want a list of tables",
		"[process]\nseed = 12": `process.seed: found 12`,
	} {
		_, err := ParseDaemon("x.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q in it", text, err, want)
		}
	}
}

// No pool is given less than it needs for what it is to take, nor all together
// more than there is.
func TestLimitsAreDealtOut(t *testing.T) {
	file := func(process, more string) string {
		return "[process]\n" + process + "\n[listeners.l]\naddress = \"127.0.0.1:1\"\n" + more + "\n[[routes]]\npool = \"a\"\n"
	}
	pool := func(name, more string) string {
		return "\n[pools." + name + "]\nnodes = [\"127.0.0.1:9\"]\n" + more + "\n"
	}
	c, err := ParseDaemon("x.toml", []byte(file("descriptors = 1032\nmemory = \"120 MiB\"",
		pool("a", "connections = 100\nrequests = 30\nmemory = \"30 MiB\"\nmax_body = \"64 KiB\"")+pool("b", "share = 2")+pool("c", ""))))
	if err != nil {
		t.Fatal(err)
	}
	conns, requests, memory := 0, 0, int64(0)
	for _, p := range c.Pools {
		conns += p.Connections
		requests += p.Requests
		memory += p.Memory
	}
	if conns > 500 || requests > 400 || memory > 120<<20 || c.Listeners[0].Connections != 500 {
		t.Errorf("%d connections, %d requests, %d bytes dealt out; listener %d", conns, requests, memory, c.Listeners[0].Connections)
	}
	if b, c := c.Pools[1], c.Pools[2]; b.Memory != 60<<20 || c.Memory != 30<<20 || b.Connections < 2*c.Connections-1 || b.Requests < c.Requests {
		t.Errorf("shares of 2 and 1: %+v %+v", b, c)
	}
	for name, f := range map[string]struct{ text, want string }{
		"less memory than one body":      {file("", pool("a", "memory = \"128 KiB\"\nmax_body = \"64 KiB\"")), "a.max_body: found \"64 KiB\", want 32 KiB at most"},
		"more requests than memory":      {file("", pool("a", "memory = \"1 MiB\"\nrequests = 5")), "a.requests: found 5, want 4 at most"},
		"more memory than there is":      {file("memory = \"16 MiB\"", pool("a", "memory = \"17 MiB\"")), "memory that take"},
		"more connections than there is": {file("descriptors = 232", pool("a", "connections = 101")), "connections that take 101 of 100"},
		"more requests than callers":     {file("descriptors = 232", pool("a", "requests = 81\nconnections = 90")), "requests that take 81 of 80"},
	} {
		_, err := ParseDaemon("x.toml", []byte(f.text))
		if err == nil || !strings.Contains(err.Error(), f.want) {
			t.Errorf("%s: error %v, want %q in it", name, err, f.want)
		}
	}
}

func TestClassesAreRead(t *testing.T) {
	c, err := ParseDaemon("x.toml", []byte(tenLines+`
[classes.payment]
semantics = "keyed"
key_scope = "zone"
aim = "600ms"
deadline = "1.5s"
worth = 9
memory_span = "5s"
`))
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Class{LatencyTarget: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond, Semantics: balance.Keyed,
		Scope: balance.ScopeZone, DeduplicationWindow: 5 * time.Second, Worth: 9, LateWorth: 0.5}
	if got := c.Class("payment"); got == nil || got.ByMethod || got.Class != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if c.LongestDeadline() != 10*time.Second {
		t.Errorf("longest deadline %v", c.LongestDeadline())
	}
}

// FuzzProduct holds that no text makes reading fail but by an error.
func FuzzProduct(f *testing.F) {
	f.Add(tenLines)
	f.Add("[[routes]]\npool=\"a\"\n[routes.x]\n[[routes.x.y]]\nz=[1,[2]]\n")
	f.Add("listeners = [{a=1}]\npools={a={nodes=[\"1\"]}}")
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := ParseDaemon("x.toml", []byte(text)); (c == nil) != (err != nil) {
			t.Errorf("%q: %v, %v", text, c, err)
		}
	})
}
