package nodes

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// maxFile bounds a node file: some ten thousand nodes fit.
	maxFile = 4 << 20

	// settleTime is how long new content has to stand still before it is taken: a file
	// that is rewritten in place is read half now and then.
	settleTime = 100 * time.Millisecond
	// mostUnsettled is how many readings in a row may each differ from the one before;
	// then the last one is taken, as a file that is renamed into place that often never
	// stands still.
	mostUnsettled = 20
)

// What a File takes for a list that is being rewritten, or was left half written.
var (
	errBlank     = errors.New(`blank; a list that is meant to be empty has to say so in a comment, or {"endpoints":[]}`)
	errHeadAlone = errors.New("cut off: it has nothing but the comments before the first node of the list before")
	errCutLine   = errors.New("cut off: its last line has no end, and the list before had one")
)

// File is a Source: a file with a list of nodes that is read every Every. What it
// holds is compared, and no date: a date may stand still under a change, and goes
// back with the clock. That also sees a file that is renamed into place and a
// symbolic link that is turned. A file that is gone, cannot be read, is blank or
// ends within a line changes nothing: the list that stands is worth more than none.
// A file that was left cut off between two nodes, or after comments that are new,
// cannot be told from a shorter list; who writes it should rename it into place.
//
// A file that starts with "{" has discovery's form (the index may be left out).
// Any other has a node a line, the address first:
//
//	127.0.0.1:9001 name=s-1 zone=a cell=3 since=2026-11-29T11:00:00Z draining
//
// What follows a "#" is a comment.
type File struct {
	Path     string
	Interval time.Duration

	known     bool   // a list has been told
	taken     digest // of the content that was told
	nodes     bool   // it had nodes
	head      string // what stood before them
	ended     bool   // its last line had an end
	next      digest // of what was read last, if that is another content
	unsettled int    // readings since the content last stood still
	bad       string // the last error that was logged
}

// digest tells contents apart.
type digest [sha256.Size]byte

// String implements Source.
func (f *File) String() string { return "file " + f.Path }

// Close implements Source.
func (f *File) Close() {}

// Follow implements Source. It goes on looking until ctx ends.
func (f *File) Follow(ctx context.Context, tell func(List)) error {
	for {
		list, found, err := f.look()
		wait := f.Interval
		switch {
		case err != nil:
			if text := err.Error(); text != f.bad {
				slog.Warn("node file: the list that is known stands", "file", f.Path, "error", err)
				f.bad = text
			}
		case found == unsettled:
			wait = min(wait, settleTime)
		case found == changed:
			tell(list)
			f.bad = ""
		default:
			f.bad = ""
		}
		if !Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

// finding is what a look at the file has shown.
type finding int

const (
	unchanged finding = iota
	unsettled         // something else, which may be still in writing
	changed
)

// look reads the file, and takes its list if it is another one than the last time and
// stands still.
func (f *File) look() (List, finding, error) {
	text, err := readText(f.Path)
	if err != nil {
		return List{}, unchanged, err
	}
	read := digest(sha256.Sum256(text))
	if f.known && read == f.taken {
		f.unsettled = 0
		return List{}, unchanged, nil
	}
	if (f.unsettled == 0 || read != f.next) && f.unsettled < mostUnsettled {
		f.next = read
		f.unsettled++
		return List{}, unsettled, nil
	}
	f.next, f.unsettled = read, 1
	list, err := f.parse(text)
	if err != nil {
		return List{}, unchanged, err
	}
	f.known, f.taken, f.unsettled = true, read, 0
	f.nodes, f.head, f.ended = len(list.Endpoints) > 0, head(text), endsLine(text)
	return list, changed, nil
}

// parse reads a text that may be half of one.
func (f *File) parse(text []byte) (List, error) {
	list, err := ParseFile(text)
	if err != nil || discoveryForm(text) { // that form cannot be cut off unnoticed
		return list, err
	}
	empty := len(list.Endpoints) == 0
	switch {
	case empty && len(bytes.TrimSpace(text)) == 0:
		return List{}, errBlank
	case empty && f.nodes && strings.HasPrefix(f.head, string(text)):
		return List{}, errHeadAlone
	case f.ended && !endsLine(text):
		return List{}, errCutLine
	}
	return list, nil
}

// head is what stands in a text before the first line that is more than a comment.
func head(text []byte) string {
	var before strings.Builder
	for line := range strings.Lines(string(text)) {
		if said, _, _ := strings.Cut(line, "#"); strings.TrimSpace(said) != "" {
			break
		}
		before.WriteString(line)
	}
	return before.String()
}

func endsLine(text []byte) bool { return bytes.HasSuffix(text, []byte("\n")) }

// discoveryForm tells whether a text has the form in which discovery answers.
func discoveryForm(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// ReadFile reads a node file whole, or tells with its line what is wrong.
func ReadFile(path string) (List, error) {
	text, err := readText(path)
	if err != nil {
		return List{}, err
	}
	return ParseFile(text)
}

func readText(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFile {
		return nil, fmt.Errorf("over %d bytes", maxFile)
	}
	return text, nil
}

// ParseFile reads the text of a node file.
func ParseFile(text []byte) (List, error) {
	if discoveryForm(text) {
		list, err := decode(text, false)
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
		e, err := ParseEndpoint(fields)
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
func ParseEndpoint(fields []string) (Endpoint, error) {
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
