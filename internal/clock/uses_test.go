package clock

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// root is the module's root directory, relative to this package's directory, in which tests run.
const root = "../.."

// wallUses lists, by file, the functions for which wallUse may return a name outside of tests.
// docs/clocks.md gives the reason for each file.
var wallUses = map[string][]string{
	"internal/clock/clock.go":           {"Round"},
	"internal/httpserver/conn_state.go": {"Unix"},
	"internal/load/sender.go":           {"Unix"},
	"internal/load/runner.go":           {"Unix"},
	"internal/discovery/file.go":        {"Parse", "UnixMilli"},
	"internal/pool/incarnation.go":      {"UnixMilli"},
	"internal/pool/learned_state.go":    {"UnixMilli", "Wall"},
	"internal/pool/pool.go":             {"Wall"},
	"internal/sidecar/sidecar.go":       {"Unix"},
	"internal/fakeserver/agent.go":      {"UnixMilli"},
	"internal/trace/trace.go":           {"Parse"},
	"internal/upstream/conn.go":         {"Unix"},
	"internal/upstream/readahead.go":    {"Unix"},
	"scripts/fleetlog/main.go":          {"Parse"},
}

// wallNames are the functions, methods and constants that read or create wall-clock times.
var wallNames = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "ModTime", "Wall", "ParseInLocation", "ParseTime",
	"Date", "Clock", "Weekday", "YearDay", "CLOCK_REALTIME", "CLOCK_REALTIME_COARSE", "Gettimeofday",
}

// wallUse returns the name of the wall-clock function that n calls or refers to, or "" for none.
func wallUse(n ast.Node) string {
	switch n := n.(type) {
	case *ast.CallExpr:
		f, ok := n.Fun.(*ast.SelectorExpr)
		if !ok {
			return ""
		}
		receiver, _ := f.X.(*ast.Ident)
		inTime := receiver != nil && receiver.Name == "time"
		switch {
		case f.Sel.Name == "Round" && len(n.Args) == 1:
			if a, ok := n.Args[0].(*ast.BasicLit); ok && a.Value == "0" { // Round(0) strips the monotonic reading
				return "Round"
			}
		case f.Sel.Name == "Parse" && inTime:
			return "Parse"
		case slices.Contains(wallNames, f.Sel.Name):
			return f.Sel.Name
		}
	case *ast.SelectorExpr:
		if strings.HasPrefix(n.Sel.Name, "CLOCK_") && slices.Contains(wallNames, n.Sel.Name) {
			return n.Sel.Name
		}
	}
	return ""
}

// Only the listed files read the wall clock, because time spans must use the monotonic clock.
// Each listed file has a row in docs/clocks.md.
func TestWallTimeIsReadOnlyWhereListed(t *testing.T) {
	found := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		uses := map[string]bool{}
		ast.Inspect(file, func(n ast.Node) bool {
			if use := wallUse(n); use != "" {
				uses[use] = true
			}
			return true
		})
		if len(uses) > 0 {
			found[filepath.ToSlash(name)] = slices.Sorted(maps.Keys(uses))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, uses := range found {
		for _, use := range uses {
			if !slices.Contains(wallUses[name], use) {
				t.Errorf("%s uses %s, which wallUses does not list for it: time spans must use the monotonic clock", name, use)
			}
		}
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "clocks.md"))
	if err != nil {
		t.Fatal(err)
	}
	for name := range wallUses {
		if found[name] == nil {
			t.Errorf("%s is listed in wallUses but does not read the wall clock", name)
		}
		if !strings.Contains(string(page), fmt.Sprintf("`%s`", name)) {
			t.Errorf("docs/clocks.md has no row for %s", name)
		}
	}
}
