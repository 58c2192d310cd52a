package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gorselink/internal/capture"
)

// TestTranscripts runs the event files in testdata and compares the actions. Each is run
// with and without a capture, as the same events must give the same actions.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.in")
	if err != nil || len(files) == 0 {
		t.Fatalf("no transcripts in testdata: %v", err)
	}
	for _, f := range files {
		in, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(strings.TrimSuffix(f, ".in") + ".out")
		if err != nil {
			t.Fatal(err)
		}
		for _, captureDir := range []string{"", t.TempDir()} {
			var out bytes.Buffer
			if err := run(bytes.NewReader(in), &out, captureDir); err != nil {
				t.Fatalf("%s: %v", f, err)
			}
			if out.String() != string(want) {
				t.Errorf("%s: got\n%s\nwant\n%s", f, out.String(), want)
			}
			if captureDir != "" {
				checkReplay(t, captureDir)
			}
		}
	}
}

// checkReplay replays the captures in dir and checks that every decision is the same.
func checkReplay(t *testing.T, dir string) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.capture"))
	if len(files) == 0 {
		t.Error("no capture file was written")
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		n, err := capture.Replay(capture.NewReader(f))
		f.Close()
		if err != nil || n < 2 {
			t.Errorf("replay of %s failed after %d events: %v", path, n, err)
		}
	}
}

func TestRunRejectsMalformedInput(t *testing.T) {
	if err := run(strings.NewReader("MARK 1\nNONSENSE\n"), &bytes.Buffer{}, ""); err == nil {
		t.Error("malformed input: got no error")
	}
}
