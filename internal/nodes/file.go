package nodes

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"
)

// maxFile bounds a node file: some ten thousand nodes fit.
const maxFile = 4 << 20

// File is a Source: a file with a list of nodes that is looked at every Every.
// It is read anew when its size, time or identity has changed; that also sees
// a file that is renamed into place and a symbolic link that is turned, which
// notifications of one inode do not. A file that is gone or cannot be read
// changes nothing: the list that stands is worth more than none.
//
// A file that starts with "{" has discovery's form (the index may be left out).
// Any other has a node a line, the address first:
//
//	127.0.0.1:9001 name=s-1 zone=a cell=3 since=2026-11-29T11:00:00Z draining
//
// What follows a "#" is a comment.
type File struct {
	Path  string
	Every time.Duration

	last os.FileInfo // of the file that was read; nil before
	bad  string      // the last error that was logged
}

// String implements Source.
func (f *File) String() string { return "file " + f.Path }

// Close implements Source.
func (f *File) Close() {}

// Follow implements Source. It goes on looking until ctx ends.
func (f *File) Follow(ctx context.Context, tell func(List)) error {
	for {
		switch list, changed, err := f.look(); {
		case err != nil:
			if text := err.Error(); text != f.bad {
				slog.Warn("node file: the list that is known stands", "file", f.Path, "error", err)
				f.bad = text
			}
		case changed:
			f.bad = ""
			tell(list)
		}
		if !Sleep(ctx, f.Every) {
			return ctx.Err()
		}
	}
}

// look reads the file if it is another than the last time.
func (f *File) look() (list List, changed bool, err error) {
	info, err := os.Stat(f.Path)
	if err != nil {
		return List{}, false, err
	}
	if f.last != nil && os.SameFile(info, f.last) && info.Size() == f.last.Size() && info.ModTime().Equal(f.last.ModTime()) {
		return List{}, false, nil
	}
	if list, err = ReadFile(f.Path); err != nil {
		return List{}, false, err
	}
	f.last = info
	return list, true, nil
}

// ReadFile reads a node file whole, or tells with its line what is wrong.
func ReadFile(path string) (List, error) {
	file, err := os.Open(path)
	if err != nil {
		return List{}, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	if err != nil {
		return List{}, err
	}
	if len(text) > maxFile {
		return List{}, fmt.Errorf("over %d bytes", maxFile)
	}
	return ParseFile(text)
}

// ParseFile reads the text of a node file.
func ParseFile(text []byte) (List, error) {
	if t := bytes.TrimSpace(text); len(t) > 0 && t[0] == '{' {
		list, err := decode(t, false)
		list.Snapshot = true
		return list, err
	}
	var entries []Endpoint
	seen := map[string]bool{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		e, err := ParseNode(fields)
		if err != nil {
			return List{}, fmt.Errorf("line %d: %w", n, err)
		}
		if seen[e.Name] {
			return List{}, fmt.Errorf("line %d: %q stands in the list twice", n, e.Name)
		}
		seen[e.Name] = true
		entries = append(entries, e)
	}
	if err := lines.Err(); err != nil {
		return List{}, err
	}
	return fill(entries)
}

// ParseNode reads a node of its fields: the address, then name=, zone=, cell=,
// since= (RFC 3339) and draining in any order.
func ParseNode(fields []string) (Endpoint, error) {
	if len(fields) == 0 {
		return Endpoint{}, errors.New("empty, want address:port")
	}
	e := Endpoint{Address: fields[0], Name: fields[0], Status: InService}
	for _, field := range fields[1:] {
		key, value, given := strings.Cut(field, "=")
		var err error
		switch {
		case key == "draining" && !given:
			e.Status = Terminating
		case given && value == "":
			err = errors.New("empty")
		case key == "name" && given:
			e.Name = value
		case key == "zone" && given:
			e.Zone = value
		case key == "cell" && given:
			e.Group, err = strconv.Atoi(value)
		case key == "since" && given:
			var at time.Time
			at, err = time.Parse(time.RFC3339, value)
			e.SinceMs = at.UnixMilli()
		default:
			err = errors.New("want name=, zone=, cell=, since= or draining")
		}
		if err != nil {
			return Endpoint{}, fmt.Errorf("%q: %w", field, err)
		}
	}
	return e, e.check()
}
