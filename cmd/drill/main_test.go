package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTranscripts plays hand-written event files and compares the replies;
// each is played twice, as the same events must give the same actions.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.in")
	if err != nil || len(files) == 0 {
		t.Fatalf("no transcripts: %v", err)
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
		for range 2 {
			var out bytes.Buffer
			if err := run(bytes.NewReader(in), &out); err != nil {
				t.Fatalf("%s: %v", f, err)
			}
			if out.String() != string(want) {
				t.Errorf("%s: got\n%s\nwant\n%s", f, out.String(), want)
			}
		}
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	if err := run(strings.NewReader("MARK 1\nNONSENSE\n"), &bytes.Buffer{}); err == nil {
		t.Error("want an error")
	}
}
