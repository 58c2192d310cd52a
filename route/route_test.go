package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestHost(t *testing.T) {
	for in, want := range map[string]string{
		"Donate.Example.ORG":     "donate.example.org",
		"donate.example.org.":    "donate.example.org",
		"donate.example.org:443": "donate.example.org",
		"a.:80":                  "a",
		"127.0.0.1:8080":         "127.0.0.1",
		"[::1]:8080":             "[::1]",
		"[2001:DB8::1]":          "[2001:db8::1]",
		"a:":                     "a",
		"xn--sen-vng-6wa.vn":     "xn--sen-vng-6wa.vn",
		strings.Repeat("a", 253): strings.Repeat("a", 253),
		// None of these is one host to every server.
		"":                       "",
		".":                      "",
		"..":                     "",
		"a..b":                   "",
		".a":                     "",
		"a b":                    "",
		"a/b":                    "",
		"user@a":                 "",
		"a%2eb":                  "",
		"a,b":                    "",
		"a:80:81":                "",
		"a:8x":                   "",
		"a:123456":               "",
		"[::1":                   "",
		"[]":                     "",
		"[::1]x":                 "",
		"[fe80::1%25eth0]":       "",
		"sen-vàng.vn":            "",
		strings.Repeat("a", 254): "",
	} {
		got, _, err := NormalizeHost(in)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("Host(%q) = %q, %v, want %q", in, got, err, want)
		}
	}
}

func TestHostKeepsThePortApart(t *testing.T) {
	for in, want := range map[string]string{"a": "", "a:": "", "a:80": ":80", "[::1]:8080": ":8080", "[::1]": ""} {
		if _, port, err := NormalizeHost(in); port != want || err != nil {
			t.Errorf("Host(%q): port %q, %v, want %q", in, port, err, want)
		}
	}
}

func TestPath(t *testing.T) {
	for in, want := range map[string]string{
		"/":                  "/",
		"/a/b":               "/a/b",
		"/a/b/":              "/a/b/",
		"//a///b":            "/a/b",
		"/a/":                "/a/",
		"/a//":               "/a/",
		"/a/./b":             "/a/b",
		"/a/../b":            "/b",
		"/a/b/..":            "/a/",
		"/a/.":               "/a/",
		"/a/b/../../c":       "/c",
		"/%61/%7Eb":          "/a/~b",
		"/a%2E%2e/b":         "/a../b",
		"/a/%2e%2e/b":        "/b",
		"/a/.%2e/b":          "/b",
		"/a/%2E/b":           "/a/b",
		"/caf%c3%a9":         "/caf%C3%A9",
		"/%20x":              "/%20x",
		"/%252e%252e/x":      "/%252e%252e/x",
		"/a;v=1/b":           "/a;v=1/b",
		"/.well-known/x":     "/.well-known/x",
		"/...":               "/...",
		"/a:b@c/!$&'()*+,;=": "/a:b@c/!$&'()*+,;=",
	} {
		if got, err := Path(in); got != want || err != nil {
			t.Errorf("Path(%q) = %q, %v, want %q", in, got, err, want)
		}
	}
	for in, want := range map[string]error{
		"/a%2fb":          errHidden,
		"/a/%2F..%2Fb":    errHidden,
		"/a%5c..":         errHidden,
		"/a%00":           errHidden,
		`/a\b`:            errByte,
		"/a b":            errByte,
		"/a?b":            errByte,
		"/a#b":            errByte,
		"/caf\u00e9":      errByte,
		"/a%":             errEscape,
		"/a%4":            errEscape,
		"/a%zz":           errEscape,
		"/..":             errAbove,
		"/a/../../b":      errAbove,
		"/%2e%2e/b":       errAbove,
		"/a/..;/b":        errParam,
		"/a/.;x/b":        errParam,
		"/a/%2e%2e;x=1/b": errParam,
	} {
		if got, err := Path(in); !errors.Is(err, want) {
			t.Errorf("Path(%q) = %q, %v, want %v", in, got, err, want)
		}
	}
	for _, in := range []string{"", "a", "*", "/" + strings.Repeat("a", MaxPath)} {
		if got, err := Path(in); err == nil {
			t.Errorf("Path(%.20q) = %.20q, want an error", in, got)
		}
	}
}

func TestTarget(t *testing.T) {
	path, query, err := NormalizeTarget("/a/../b?x=/../%2F&y=?")
	if path != "/b" || query != "?x=/../%2F&y=?" || err != nil {
		t.Errorf("%q %q %v", path, query, err)
	}
	if _, query, err = NormalizeTarget("/b?"); query != "?" || err != nil {
		t.Errorf("%q %v", query, err)
	}
	for _, in := range []string{"/b?x#y", "/b?x y", "/b?\x7f", "?x", "/b?caf\u00e9"} {
		if _, _, err := NormalizeTarget(in); err == nil {
			t.Errorf("Target(%q): no error", in)
		}
	}
}

// decodings are the ways in which servers behind a proxy are known to read a
// path: as it is, decoded once, and with parameters dropped; each then resolves
// dot segments and empty ones.
func decodings(path string) (all []string) {
	once := decode(path)
	for _, s := range []string{path, once, dropParams(path), dropParams(once)} {
		all = append(all, resolve(s))
	}
	return all
}

func decode(s string) string {
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' {
			out.WriteByte(byte(hexDigit(s[i+1])<<4 | hexDigit(s[i+2])))
			i += 2
			continue
		}
		out.WriteByte(s[i])
	}
	return out.String()
}

func dropParams(s string) string {
	segs := strings.Split(s, "/")
	for i, seg := range segs {
		segs[i], _, _ = strings.Cut(seg, ";")
	}
	return strings.Join(segs, "/")
}

// resolve is written apart from Path, on lists of segments.
func resolve(s string) string {
	var kept []string
	for _, seg := range strings.Split(strings.ReplaceAll(s, `\`, "/"), "/") {
		switch seg {
		case "", ".":
		case "..":
			if len(kept) > 0 {
				kept = kept[:len(kept)-1]
			}
		default:
			kept = append(kept, seg)
		}
	}
	return strings.Join(kept, "/")
}

// checkPath holds Path to its contract: the form is stable, and no server
// resolves it to other segments than those that were matched.
func checkPath(t *testing.T, in string) {
	got, err := Path(in)
	if err != nil {
		return
	}
	if again, err := Path(got); again != got || err != nil {
		t.Errorf("Path(%q) = %q, and of that %q, %v", in, got, again, err)
	}
	if strings.Contains(got, "//") || got[0] != '/' {
		t.Errorf("Path(%q) = %q, which has an empty segment", in, got)
	}
	segments := strings.Count(strings.Trim(got, "/"), "/")
	for _, read := range decodings(got) {
		if strings.Count(read, "/") != segments && !strings.Contains(got, ";") {
			t.Errorf("Path(%q) = %q, which some server reads as %q", in, got, read)
		}
		if strings.Contains(got, ";") && strings.Count(read, "/") > segments {
			t.Errorf("Path(%q) = %q, which some server reads as %q", in, got, read)
		}
	}
}

var pathSeeds = []string{"/", "/a/../b", "/%2e%2e/b", "/a/..;/b", "//a", "/a%2fb", "/a/.%2e/%41", "/;/a", "/a/b/../..", "/%25%32%65"}

func FuzzPath(f *testing.F) {
	for _, s := range pathSeeds {
		f.Add(s)
	}
	f.Fuzz(checkPath)
}

// The fuzz target's contract on paths that are put together of all that is
// known to confuse servers.
func TestPathByPieces(t *testing.T) {
	pieces := []string{"/", "/", "a", "b", ".", "..", "%2e", "%2E", "%2f", "%5c", ";", ";x=1", "%25", "%41", "\\", "%", "c d"}
	rng := rand.New(rand.NewPCG(1, 2))
	taken := 0
	for range 50000 {
		s := "/"
		for range rng.IntN(9) {
			s += pieces[rng.IntN(len(pieces))]
		}
		if _, err := Path(s); err == nil {
			taken++
		}
		checkPath(t, s)
	}
	if taken < 5000 {
		t.Errorf("only %d of 50000 paths were taken: the test tests little", taken)
	}
}

// Each rule's target is its place.
func table(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	for i := range rules {
		rules[i].Target = i
	}
	tab, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func TestFindTakesTheMostSpecific(t *testing.T) {
	rules := []Rule{
		0:  {},
		1:  {Host: "*.example.org"},
		2:  {Host: "donate.example.org"},
		3:  {Host: "donate.example.org", Path: "/api"},
		4:  {Host: "donate.example.org", Path: "/api/v2/"},
		5:  {Host: "donate.example.org", Path: "/api", Method: "POST"},
		6:  {Host: "donate.example.org", Path: "/api", Class: "bulk"},
		7:  {Host: "donate.example.org", Path: "/api", Method: "POST", Class: "bulk"},
		8:  {Host: "*.hall.example.org", Path: "/"},
		9:  {Host: "receipts.example.org", Path: "/only"},
		10: {Path: "/status"},
		11: {Host: "[::1]", Path: "/v6"},
	}
	tab := table(t, rules...)
	for _, c := range []struct {
		host, path, method, class string
		want                      int
	}{
		{"elsewhere.net", "/", "GET", "", 0},
		{"elsewhere.net", "/status/now", "GET", "", 10},
		{"elsewhere.net", "/statusnow", "GET", "", 0},
		{"any.example.org", "/status", "GET", "", 1}, // the host weighs more than the path
		{"a.b.example.org", "/", "GET", "", 1},
		{"example.org", "/", "GET", "", 0}, // the wildcard is for what is below
		{"x.hall.example.org", "/", "GET", "", 8},
		{"hall.example.org", "/", "GET", "", 1},
		{"donate.example.org", "/", "GET", "", 2},
		{"donate.example.org", "/api", "GET", "", 3},
		{"donate.example.org", "/apis", "GET", "", 2},
		{"donate.example.org", "/api/v1/x", "GET", "", 3},
		{"donate.example.org", "/api/v2", "GET", "", 4},
		{"donate.example.org", "/api/v2/x", "POST", "bulk", 4}, // the path weighs more than method and class
		{"donate.example.org", "/api/x", "POST", "", 5},
		{"donate.example.org", "/api/x", "GET", "bulk", 6},
		{"donate.example.org", "/api/x", "POST", "bulk", 7},
		{"donate.example.org", "/api/x", "POST", "other", 5},
		{"receipts.example.org", "/only/x", "GET", "", 9},
		{"receipts.example.org", "/other", "GET", "", 1}, // no rule of the exact host matches
		{"[::1]", "/v6", "GET", "", 11},
		{"", "/", "GET", "", 0},
	} {
		got, ok := tab.Find(&Request{Host: c.host, Path: c.path, Method: c.method, Class: c.class})
		if !ok || got != c.want {
			t.Errorf("%s %s%s (%s): rule %d, %t, want %d", c.method, c.host, c.path, c.class, got, ok, c.want)
		}
	}
	if _, ok := table(t, rules[2]).Find(&Request{Host: "x", Path: "/", Method: "GET"}); ok {
		t.Error("a host that no rule names was found")
	}
	if _, ok := new(Table).Find(&Request{Host: "x", Path: "/"}); ok {
		t.Error("the zero Table found something")
	}
}

func TestNewTellsEveryError(t *testing.T) {
	_, err := New([]Rule{
		0: {Host: "a.example.org", Path: "/x"},
		1: {Host: "A.Example.org.", Path: "//x/"}, // the same once normal
		2: {Host: "a b"},
		3: {Path: "/a/%2f"},
		4: {Method: "get"},
		5: {Host: "a.example.org", Path: "/x", Method: "GET"},
		6: {Host: "a.example.org:80"},
		7: {Host: "*.*.org"},
		8: {Host: "*"},
	})
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("error %v", err)
	}
	var got []string
	for _, e := range joined.Unwrap() {
		var c *Conflict
		var inv *Invalid
		switch {
		case errors.As(e, &c):
			got = append(got, fmt.Sprintf("%d=%d", c.Second, c.First))
		case errors.As(e, &inv):
			got = append(got, fmt.Sprintf("%d %s", inv.Rule, inv.Field))
		}
	}
	want := "1=0, 2 host, 3 path, 4 method, 6 host, 7 host, 8 host"
	if s := strings.Join(got, ", "); s != want {
		t.Errorf("errors %s, want %s", s, want)
	}
}

// slow finds the best rule by looking at all: the reference for Find.
func slow(rules []Rule, r *Request) int {
	best, rank := -1, []int(nil)
	for i, rule := range rules {
		k := []int{0, 0, 0, 0}
		switch suffix, wild := strings.CutPrefix(rule.Host, "*"); {
		case rule.Host == "":
		case rule.Host == r.Host:
			k[0] = 1 << 20
		case wild && strings.HasSuffix(r.Host, suffix) && len(r.Host) > len(suffix):
			k[0] = len(suffix)
		default:
			continue
		}
		p := strings.Trim(rule.Path, "/")
		if p != "" {
			if !strings.HasPrefix(strings.Trim(r.Path, "/")+"/", p+"/") {
				continue
			}
			k[1] = 1 + strings.Count(p, "/")
		}
		if rule.Method != "" {
			if rule.Method != r.Method {
				continue
			}
			k[2] = 1
		}
		if rule.Class != "" {
			if rule.Class != r.Class {
				continue
			}
			k[3] = 1
		}
		if best < 0 || less(rank, k) {
			best, rank = i, k
		}
	}
	return best
}

func less(a, b []int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// Find agrees with a look at all rules, whatever the table.
func TestFindAgreesWithTheReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	of := func(s ...string) string { return s[rng.IntN(len(s))] }
	path := func() string {
		s := ""
		for range rng.IntN(4) {
			s += "/" + of("a", "b", "c")
		}
		return s
	}
	found := 0
	for range 400 {
		var rules []Rule
		known := map[Rule]bool{}
		for range 1 + rng.IntN(30) {
			r := Rule{Host: of("", "a.x", "b.a.x", "*.x", "*.a.x"), Path: path(), Method: of("", "", "GET"), Class: of("", "", "bulk")}
			if !known[r] {
				known[r] = true
				rules = append(rules, r)
			}
		}
		tab := table(t, rules...)
		for range 50 {
			q := Request{Host: of("a.x", "b.a.x", "c.b.a.x", "x", "y"), Path: "/" + strings.Trim(path()+of("", "/"), "/"), Method: of("GET", "POST"), Class: of("", "bulk")}
			got, ok := tab.Find(&q)
			if !ok {
				got = -1
			} else {
				found++
			}
			want := slow(rules, &q)
			for k := range rules {
				rules[k].Target = 0
			}
			if got != want {
				t.Fatalf("%+v: rule %d, want %d of %+v", q, got, want, rules)
			}
		}
	}
	if found < 5000 {
		t.Errorf("only %d requests found a rule", found)
	}
}

// many is a table of n rules over hosts and paths, and requests for it.
func many(b testing.TB, n int) (*Table, []Request) {
	var rules []Rule
	var asked []Request
	for i := range n {
		host := fmt.Sprintf("site-%d.example.org", i/10)
		if i%10 == 9 {
			host = "*." + host
		}
		r := Rule{Host: host, Path: fmt.Sprintf("/app/part-%d", i%10)}
		rules = append(rules, r)
		asked = append(asked, Request{Host: strings.Replace(host, "*", "www", 1), Path: r.Path + "/item/17", Method: "GET"})
	}
	rand.New(rand.NewPCG(5, 6)).Shuffle(len(asked), func(i, k int) { asked[i], asked[k] = asked[k], asked[i] })
	return table(b, rules...), asked[:min(len(asked), 64)]
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			tab, asked := many(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := tab.Find(&asked[i%len(asked)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkPath(b *testing.B) {
	for name, s := range map[string]string{"plain": "/app/part-3/item/17", "mended": "/app//part-3/%69tem/../item/17"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Path(s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
