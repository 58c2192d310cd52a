package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Checks that static programs and files that are not programs are rejected. A program without
// cgo packages is static unless it is linked externally.
func TestCheckDynamic(t *testing.T) {
	dir := t.TempDir()
	source := filepath.Join(dir, "main.go")
	if err := os.WriteFile(source, []byte("package main\n\nimport \"C\"\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	plain := filepath.Join(dir, "plain.go")
	if err := os.WriteFile(plain, []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	build := func(source, cgo string, flags ...string) string {
		t.Helper()
		out := filepath.Join(dir, "out"+cgo)
		cmd := exec.Command("go", append(append([]string{"build", "-o", out}, flags...), source)...)
		cmd.Env = append(os.Environ(), "CGO_ENABLED="+cgo)
		if text, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
		return out
	}
	if err := checkDynamic(build(plain, "0")); err == nil || !strings.Contains(err.Error(), "statically") {
		t.Errorf("a static program: got %v, want an error that contains \"statically\"", err)
	}
	if err := checkDynamic(build(source, "1", "-ldflags=-linkmode=external")); err != nil {
		t.Errorf("a program linked externally: %v", err)
	}
	if err := checkDynamic(source); err == nil {
		t.Error("a source file: got no error, want one")
	}
}
