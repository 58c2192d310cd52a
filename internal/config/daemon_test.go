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

const minimalConfig = `
[listeners.public]
address = "127.0.0.1:8080"

[pools.donate]
nodes = ["127.0.0.1:9001", "127.0.0.1:9002"]

[[routes]]
host = "donate.example.org"
pool = "donate"
`

// A file with only the required keys is valid, and its defaults are usable.
func TestMinimalConfig(t *testing.T) {
	c, err := ParseDaemon("x.toml", []byte(minimalConfig))
	if err != nil {
		t.Fatal(err)
	}
	p := c.Pools[0]
	if p.Connections < 100 || p.Requests < 100 || p.Requests > p.Connections || p.MaxBody != 1<<20 || p.MaxResponse != 1<<20 || len(p.EndpointSource.Fixed) != 2 {
		t.Errorf("pool with default settings: %+v", p)
	}
	if listener := c.Listeners[0]; listener.Form != FormOrdinary || listener.Connections <= p.Requests {
		t.Errorf("listener %+v, want the ordinary form and more than %d connections", listener, p.Requests)
	}
	if class := c.Class("default"); class == nil || !class.ByMethod || class.Deadline != 10*time.Second || class.PriorityWeight != 1 {
		t.Errorf("default class %+v", class)
	}
	table, err := c.RoutingTable("public")
	if err != nil {
		t.Fatal(err)
	}
	if i, ok := table.Find(&route.Request{Host: "donate.example.org", Path: "/x", Method: "GET"}); !ok || i != 0 {
		t.Errorf("route %d, %t, want route 0", i, ok)
	}
}

// The example in deploy/ is valid, and each value that its comment calls a default
// equals the default of the code.
func TestExampleStatesDefaults(t *testing.T) {
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
	defaults := 0
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "# default") {
			defaults++
			continue
		}
		kept = append(kept, line)
	}
	if defaults < 20 {
		t.Errorf("only %d values of the example are marked as defaults, want at least 20", defaults)
	}
	without, err := ParseDaemon(path, []byte(strings.Join(kept, "")))
	if err != nil {
		t.Fatal(err)
	}
	if explicit, implicit := fmt.Sprintf("%+v", c), fmt.Sprintf("%+v", without); explicit != implicit {
		t.Errorf("with explicit defaults:\n%s\nwithout them:\n%s", explicit, implicit)
	}
}

// All errors of a file are reported together, each with its line, key, invalid value
// and expected value.
func TestParseDaemonReportsEveryError(t *testing.T) {
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
		`2: process.memory: found "lots", want a size with a unit`,
		`3: process.descriptors: found 12, want an integer from 128`,
		`4: process.cores: found 1.5, want an integer`,
		`5: process.nmae: found "x", want one of the keys name, seed, memory`,
		`8: listeners.public.address: found "nowhere", want address:port`,
		`9: listeners.public.form: found "strict", want one of ordinary, platform`,
		`10: listeners.public.hello_timeout: found "2", want a duration with a unit`,
		`13: listeners.inner.address: found "127.0.0.1:1", want an address that listeners.again does not use`,
		`18: listeners.a b: found "a b", want a name`,
		`22: classes.pay.semantics: found "idempotent", want one of by-method, safe`,
		`23: classes.pay.aim: found 3s, want at most the deadline, 1s`,
		`25: classes.pay.worth: found -1, want a number`,
		`26: classes.pay.late_worth: found "half", want a number`,
		`31: pools.donate.nodes[1]: found "9002", want a node: address`,
		`32: pools.donate.nodes[2]: found "127.0.0.1:9001 weight=3", want a node`,
		`34: pools.donate.attempts: found 0, want an integer from 1`,
		`35: pools.donate.max_body: found "1 MB", want a size`,
		`36: pools.donate.prefer_own_zone: found true, want a zone`,
		`39: pools.empty.nodes: found an empty list, want at least one node`,
		`42: pools.both.nodes: found 2 of the keys, want exactly one of nodes, nodes_file and discovery`,
		`45: pools.none.nodes: missing, want exactly one of nodes`,
		`46: pools.none.share: found 0, want a number`,
		`52: routes[1]: found the same conditions as routes[0], want a different host`,
		`59: routes[2].path: found path "/a/%2f": encoded slash`,
		`60: routes[2].pool: found "gone", want the name of a configured pool`,
		`61: routes[2].class: found "paid", want the name of a configured class`,
		`64: routes[3].host: found host "*"`,
		`66: routes[3].listeners[1]: found "publik", want the name of a configured listener`,
		`70: routes[4].methods: found an empty list`,
		`routes[4].pool: missing, want the name of a pool`,
	}
	_, err := ParseDaemon("x.toml", []byte(text))
	var errs tomlfile.Errors
	if !errors.As(err, &errs) {
		t.Fatalf("error %v, want tomlfile.Errors", err)
	}
	got := strings.Split(err.Error(), "\n")
	for _, w := range want {
		if !slices.ContainsFunc(got, func(g string) bool { return strings.HasPrefix(g, "x.toml:") && strings.Contains(g, w) }) {
			t.Errorf("no error contains %q", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d errors, want %d:\n%s", len(got), len(want), err)
	}
}

// Text that is not TOML, and files without the required tables, are rejected.
func TestParseDaemonInvalidFiles(t *testing.T) {
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
			t.Errorf("%q: error %v, want one that contains %q", text, err, want)
		}
	}
}

// Limits never add up to more than the process has, and limits that do not fit each
// other are rejected.
func TestLimitDistribution(t *testing.T) {
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
		t.Errorf("totals of %d connections, %d requests and %d bytes; the listener has %d connections", conns, requests, memory, c.Listeners[0].Connections)
	}
	if b, c := c.Pools[1], c.Pools[2]; b.Memory != 60<<20 || c.Memory != 30<<20 || b.Connections < 2*c.Connections-1 || b.Requests < c.Requests {
		t.Errorf("pools with shares of 2 and 1: %+v and %+v", b, c)
	}
	for name, f := range map[string]struct{ text, want string }{
		"body limit over the memory":      {file("", pool("a", "memory = \"128 KiB\"\nmax_body = \"64 KiB\"")), "a.max_body: found \"64 KiB\", want at most 32 KiB"},
		"request limit over the memory":   {file("", pool("a", "memory = \"1 MiB\"\nrequests = 5")), "a.requests: found 5, want at most 4"},
		"more memory than available":      {file("memory = \"16 MiB\"", pool("a", "memory = \"17 MiB\"")), "limits on memory that total"},
		"more connections than available": {file("descriptors = 232", pool("a", "connections = 101")), "limits on connections that total 101 of 100"},
		"more requests than connections":  {file("descriptors = 232", pool("a", "requests = 81\nconnections = 90")), "limits on requests that total 81 of 80"},
	} {
		_, err := ParseDaemon("x.toml", []byte(f.text))
		if err == nil || !strings.Contains(err.Error(), f.want) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, f.want)
		}
	}
}

func TestReadClasses(t *testing.T) {
	c, err := ParseDaemon("x.toml", []byte(minimalConfig+`
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
	want := balance.Class{LatencyTarget: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotency: balance.IdempotentByKey,
		DeduplicationScope: balance.ScopeZone, DeduplicationWindow: 5 * time.Second, PriorityWeight: 9, LateWeight: 0.5}
	if got := c.Class("payment"); got == nil || got.ByMethod || got.Class != want {
		t.Errorf("class payment: %+v, want %+v", got, want)
	}
	if c.LongestDeadline() != 10*time.Second {
		t.Errorf("longest deadline %v, want 10s of the default class", c.LongestDeadline())
	}
}

// FuzzParseDaemon checks that any text gives either a configuration or an error.
func FuzzParseDaemon(f *testing.F) {
	f.Add(minimalConfig)
	f.Add("[[routes]]\npool=\"a\"\n[routes.x]\n[[routes.x.y]]\nz=[1,[2]]\n")
	f.Add("listeners = [{a=1}]\npools={a={nodes=[\"1\"]}}")
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := ParseDaemon("x.toml", []byte(text)); (c == nil) != (err != nil) {
			t.Errorf("%q: configuration %v, error %v, want exactly one of them", text, c, err)
		}
	})
}
