package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestNormalizeHost(t *testing.T) {
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
		// Invalid hosts, and hosts that servers interpret differently.
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
			t.Errorf("NormalizeHost(%q) = %q, %v, want %q", in, got, err, want)
		}
	}
}

func TestNormalizeHostReturnsPort(t *testing.T) {
	for in, want := range map[string]string{"a": "", "a:": "", "a:80": ":80", "[::1]:8080": ":8080", "[::1]": ""} {
		if _, port, err := NormalizeHost(in); port != want || err != nil {
			t.Errorf("NormalizeHost(%q): port %q, %v, want %q", in, port, err, want)
		}
	}
}

func TestNormalizePath(t *testing.T) {
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
		if got, err := NormalizePath(in); got != want || err != nil {
			t.Errorf("NormalizePath(%q) = %q, %v, want %q", in, got, err, want)
		}
	}
	for in, want := range map[string]error{
		"/a%2fb":          errEncodedSeparator,
		"/a/%2F..%2Fb":    errEncodedSeparator,
		"/a%5c..":         errEncodedSeparator,
		"/a%00":           errEncodedSeparator,
		`/a\b`:            errUnencodedByte,
		"/a b":            errUnencodedByte,
		"/a?b":            errUnencodedByte,
		"/a#b":            errUnencodedByte,
		"/caf\u00e9":      errUnencodedByte,
		"/a%":             errInvalidEscape,
		"/a%4":            errInvalidEscape,
		"/a%zz":           errInvalidEscape,
		"/..":             errAboveRoot,
		"/a/../../b":      errAboveRoot,
		"/%2e%2e/b":       errAboveRoot,
		"/a/..;/b":        errDotSegmentParameters,
		"/a/.;x/b":        errDotSegmentParameters,
		"/a/%2e%2e;x=1/b": errDotSegmentParameters,
	} {
		if got, err := NormalizePath(in); !errors.Is(err, want) {
			t.Errorf("NormalizePath(%q) = %q, %v, want %v", in, got, err, want)
		}
	}
	for _, in := range []string{"", "a", "*", "/" + strings.Repeat("a", MaxPathLength)} {
		if got, err := NormalizePath(in); err == nil {
			t.Errorf("NormalizePath(%.20q) = %.20q, want an error", in, got)
		}
	}
}

func TestNormalizeTarget(t *testing.T) {
	path, query, err := NormalizeTarget("/a/../b?x=/../%2F&y=?")
	if path != "/b" || query != "?x=/../%2F&y=?" || err != nil {
		t.Errorf("NormalizeTarget = %q, %q, %v, want \"/b\" with the query unchanged", path, query, err)
	}
	if _, query, err = NormalizeTarget("/b?"); query != "?" || err != nil {
		t.Errorf("NormalizeTarget(\"/b?\"): query %q, %v, want \"?\"", query, err)
	}
	for _, in := range []string{"/b?x#y", "/b?x y", "/b?\x7f", "?x", "/b?caf\u00e9"} {
		if _, _, err := NormalizeTarget(in); err == nil {
			t.Errorf("NormalizeTarget(%q): no error, want one", in)
		}
	}
}

// serverReadings returns the interpretations of a path by known servers: unchanged,
// decoded once, and without parameters, each with dot segments and empty segments
// resolved.
func serverReadings(path string) (readings []string) {
	decoded := percentDecode(path)
	for _, s := range []string{path, decoded, dropParameters(path), dropParameters(decoded)} {
		readings = append(readings, resolveDotSegments(s))
	}
	return readings
}

func percentDecode(s string) string {
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' {
			out.WriteByte(byte(hexValue(s[i+1])<<4 | hexValue(s[i+2])))
			i += 2
			continue
		}
		out.WriteByte(s[i])
	}
	return out.String()
}

func dropParameters(s string) string {
	segments := strings.Split(s, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}

// resolveDotSegments resolves dot segments and empty segments independently of
// NormalizePath.
func resolveDotSegments(s string) string {
	var kept []string
	for _, segment := range strings.Split(strings.ReplaceAll(s, `\`, "/"), "/") {
		switch segment {
		case "", ".":
		case "..":
			if len(kept) > 0 {
				kept = kept[:len(kept)-1]
			}
		default:
			kept = append(kept, segment)
		}
	}
	return strings.Join(kept, "/")
}

// checkNormalizePath checks that NormalizePath is idempotent, that its result has no
// empty segment, and that known servers find as many segments in the result as it has,
// or at most as many if a segment has parameters.
func checkNormalizePath(t *testing.T, in string) {
	normal, err := NormalizePath(in)
	if err != nil {
		return
	}
	if again, err := NormalizePath(normal); again != normal || err != nil {
		t.Errorf("NormalizePath(%q) = %q, whose normal form is %q, %v", in, normal, again, err)
	}
	if strings.Contains(normal, "//") || normal[0] != '/' {
		t.Errorf("NormalizePath(%q) = %q, which has an empty segment", in, normal)
	}
	segments := strings.Count(strings.Trim(normal, "/"), "/")
	for _, reading := range serverReadings(normal) {
		if strings.Count(reading, "/") != segments && !strings.Contains(normal, ";") {
			t.Errorf("NormalizePath(%q) = %q, which a server may read as %q", in, normal, reading)
		}
		if strings.Contains(normal, ";") && strings.Count(reading, "/") > segments {
			t.Errorf("NormalizePath(%q) = %q, which a server may read as %q", in, normal, reading)
		}
	}
}

var pathSeeds = []string{"/", "/a/../b", "/%2e%2e/b", "/a/..;/b", "//a", "/a%2fb", "/a/.%2e/%41", "/;/a", "/a/b/../..", "/%25%32%65"}

func FuzzNormalizePath(f *testing.F) {
	for _, s := range pathSeeds {
		f.Add(s)
	}
	f.Fuzz(checkNormalizePath)
}

// Checks NormalizePath with random paths of elements that servers interpret
// differently.
func TestNormalizePathRandom(t *testing.T) {
	pieces := []string{"/", "/", "a", "b", ".", "..", "%2e", "%2E", "%2f", "%5c", ";", ";x=1", "%25", "%41", "\\", "%", "c d"}
	rng := rand.New(rand.NewPCG(1, 2))
	accepted := 0
	for range 50000 {
		s := "/"
		for range rng.IntN(9) {
			s += pieces[rng.IntN(len(pieces))]
		}
		if _, err := NormalizePath(s); err == nil {
			accepted++
		}
		checkNormalizePath(t, s)
	}
	if accepted < 5000 {
		t.Errorf("only %d of 50000 paths were accepted, want at least 5000 for a useful test", accepted)
	}
}

// newTable builds a Table in which the target of each rule is its index.
func newTable(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	for i := range rules {
		rules[i].Target = i
	}
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestFindReturnsMostSpecificRule(t *testing.T) {
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
	table := newTable(t, rules...)
	for _, c := range []struct {
		host, path, method, class string
		want                      int
	}{
		{"elsewhere.net", "/", "GET", "", 0},
		{"elsewhere.net", "/status/now", "GET", "", 10},
		{"elsewhere.net", "/statusnow", "GET", "", 0},
		{"any.example.org", "/status", "GET", "", 1}, // the host outranks the path
		{"a.b.example.org", "/", "GET", "", 1},
		{"example.org", "/", "GET", "", 0}, // a wildcard matches only subdomains
		{"x.hall.example.org", "/", "GET", "", 8},
		{"hall.example.org", "/", "GET", "", 1},
		{"donate.example.org", "/", "GET", "", 2},
		{"donate.example.org", "/api", "GET", "", 3},
		{"donate.example.org", "/apis", "GET", "", 2},
		{"donate.example.org", "/api/v1/x", "GET", "", 3},
		{"donate.example.org", "/api/v2", "GET", "", 4},
		{"donate.example.org", "/api/v2/x", "POST", "bulk", 4}, // the path outranks method and class
		{"donate.example.org", "/api/x", "POST", "", 5},
		{"donate.example.org", "/api/x", "GET", "bulk", 6},
		{"donate.example.org", "/api/x", "POST", "bulk", 7},
		{"donate.example.org", "/api/x", "POST", "other", 5},
		{"receipts.example.org", "/only/x", "GET", "", 9},
		{"receipts.example.org", "/other", "GET", "", 1}, // no rule of the exact host matches
		{"[::1]", "/v6", "GET", "", 11},
		{"", "/", "GET", "", 0},
	} {
		got, ok := table.Find(&Request{Host: c.host, Path: c.path, Method: c.method, Class: c.class})
		if !ok || got != c.want {
			t.Errorf("%s %s%s (%s): rule %d, %t, want %d", c.method, c.host, c.path, c.class, got, ok, c.want)
		}
	}
	if _, ok := newTable(t, rules[2]).Find(&Request{Host: "x", Path: "/", Method: "GET"}); ok {
		t.Error("Find found a rule for a host that no rule matches")
	}
	if _, ok := new(Table).Find(&Request{Host: "x", Path: "/"}); ok {
		t.Error("the zero Table found a rule")
	}
}

func TestNewReportsEveryError(t *testing.T) {
	_, err := New([]Rule{
		0: {Host: "a.example.org", Path: "/x"},
		1: {Host: "A.Example.org.", Path: "//x/"}, // the same in normal form
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
		t.Fatalf("error %v, want joined errors", err)
	}
	var got []string
	for _, e := range joined.Unwrap() {
		var c *ConflictError
		var inv *InvalidRuleError
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

// referenceFind returns the index of the most specific matching rule by comparing
// all rules, or -1.
func referenceFind(rules []Rule, r *Request) int {
	best, bestRank := -1, []int(nil)
	for i, rule := range rules {
		rank := []int{0, 0, 0, 0}
		switch suffix, wild := strings.CutPrefix(rule.Host, "*"); {
		case rule.Host == "":
		case rule.Host == r.Host:
			rank[0] = 1 << 20
		case wild && strings.HasSuffix(r.Host, suffix) && len(r.Host) > len(suffix):
			rank[0] = len(suffix)
		default:
			continue
		}
		path := strings.Trim(rule.Path, "/")
		if path != "" {
			if !strings.HasPrefix(strings.Trim(r.Path, "/")+"/", path+"/") {
				continue
			}
			rank[1] = 1 + strings.Count(path, "/")
		}
		if rule.Method != "" {
			if rule.Method != r.Method {
				continue
			}
			rank[2] = 1
		}
		if rule.Class != "" {
			if rule.Class != r.Class {
				continue
			}
			rank[3] = 1
		}
		if best < 0 || rankLess(bestRank, rank) {
			best, bestRank = i, rank
		}
	}
	return best
}

func rankLess(a, b []int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// Compares Find with the reference for random tables and requests.
func TestFindMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	oneOf := func(s ...string) string { return s[rng.IntN(len(s))] }
	path := func() string {
		s := ""
		for range rng.IntN(4) {
			s += "/" + oneOf("a", "b", "c")
		}
		return s
	}
	found := 0
	for range 400 {
		var rules []Rule
		seen := map[Rule]bool{}
		for range 1 + rng.IntN(30) {
			r := Rule{Host: oneOf("", "a.x", "b.a.x", "*.x", "*.a.x"), Path: path(), Method: oneOf("", "", "GET"), Class: oneOf("", "", "bulk")}
			if !seen[r] {
				seen[r] = true
				rules = append(rules, r)
			}
		}
		table := newTable(t, rules...)
		for range 50 {
			request := Request{Host: oneOf("a.x", "b.a.x", "c.b.a.x", "x", "y"), Path: "/" + strings.Trim(path()+oneOf("", "/"), "/"), Method: oneOf("GET", "POST"), Class: oneOf("", "bulk")}
			got, ok := table.Find(&request)
			if !ok {
				got = -1
			} else {
				found++
			}
			want := referenceFind(rules, &request)
			for i := range rules {
				rules[i].Target = 0
			}
			if got != want {
				t.Fatalf("%+v: rule %d, want %d of %+v", request, got, want, rules)
			}
		}
	}
	if found < 5000 {
		t.Errorf("only %d requests matched a rule, want at least 5000", found)
	}
}

// benchmarkTable returns a table of n rules and requests that match them.
func benchmarkTable(b testing.TB, n int) (*Table, []Request) {
	var rules []Rule
	var requests []Request
	for i := range n {
		host := fmt.Sprintf("site-%d.example.org", i/10)
		if i%10 == 9 {
			host = "*." + host
		}
		r := Rule{Host: host, Path: fmt.Sprintf("/app/part-%d", i%10)}
		rules = append(rules, r)
		requests = append(requests, Request{Host: strings.Replace(host, "*", "www", 1), Path: r.Path + "/item/17", Method: "GET"})
	}
	rand.New(rand.NewPCG(5, 6)).Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	return newTable(b, rules...), requests[:min(len(requests), 64)]
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			table, requests := benchmarkTable(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Find(&requests[i%len(requests)]); !ok {
					b.Fatal("no rule found")
				}
			}
		})
	}
}

func BenchmarkNormalizePath(b *testing.B) {
	for name, s := range map[string]string{"plain": "/app/part-3/item/17", "denormalized": "/app//part-3/%69tem/../item/17"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := NormalizePath(s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
