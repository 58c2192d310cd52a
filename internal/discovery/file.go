package discovery

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
	// maxFileBytes is enough for some ten thousand nodes.
	maxFileBytes = 4 << 20

	// settleDelay is how long new content has to stay unchanged before it is used, because
	// a file that is rewritten in place may be incomplete when it is read.
	settleDelay = 100 * time.Millisecond
	// maxUnsettledReads is how many consecutive reads may return different content. The
	// next content is used at once, because a file that changes that often never settles.
	maxUnsettledReads = 20
)

// Errors for a file that appears to be incomplete.
var (
	errBlank            = errors.New(`blank file; an empty list needs a comment, or {"endpoints":[]}`)
	errOnlyComments     = errors.New("truncated file: nothing follows the comments that began the previous list")
	errUnterminatedLine = errors.New("truncated file: the last line has no newline, and that of the previous list had one")
)

// File is a Source that reads an endpoint list from a file and polls it for changes. It
// compares the content, because the modification time does not show every change. It
// therefore also detects that a rename or a symbolic link has replaced the file.
//
// A file that is missing, unreadable, blank or truncated within a line leaves the current
// list unchanged. A file truncated between two nodes, or after new comments, cannot be told
// from a shorter list, so writers should rename the file into place.
//
// A file that starts with "{" has the format of a discovery response, in which the index
// is optional. Any other file lists one node per line, the address first:
//
//	127.0.0.1:9001 name=s-1 zone=a cell=3 since=2026-11-29T11:00:00Z draining
//
// Text after a "#" is a comment.
type File struct {
	Path     string
	Interval time.Duration // between two reads

	delivered       bool   // a list has been delivered
	deliveredDigest digest // of the content that was delivered
	hadEndpoints    bool   // the delivered list had endpoints
	leadingComments string // of the delivered content
	hadFinalNewline bool   // the delivered content ended with a newline
	pendingDigest   digest // of the last content read, if it differs from the delivered one
	unsettledReads  int    // consecutive reads that returned different content
	loggedError     string // the last error that was logged
}

// digest identifies the content of a file.
type digest [sha256.Size]byte

// String implements Source.
func (f *File) String() string { return "file " + f.Path }

// Close implements Source.
func (f *File) Close() {}

// Follow implements Source. It polls the file until ctx ends.
func (f *File) Follow(ctx context.Context, update func(List)) error {
	for {
		list, result, err := f.poll()
		delay := f.Interval
		switch {
		case err != nil:
			if text := err.Error(); text != f.loggedError {
				slog.Warn("node file cannot be used; keeping the current list", "file", f.Path, "error", err)
				f.loggedError = text
			}
		case result == unsettled:
			delay = min(delay, settleDelay)
		case result == changed:
			update(list)
			f.loggedError = ""
		default:
			f.loggedError = ""
		}
		if !Sleep(ctx, delay) {
			return ctx.Err()
		}
	}
}

// readResult is the outcome of one read of the file.
type readResult int

const (
	unchanged readResult = iota
	unsettled            // new content that may be incomplete
	changed
)

// poll reads the file and returns its list if the content has changed and has settled.
func (f *File) poll() (List, readResult, error) {
	text, err := readFile(f.Path)
	if err != nil {
		return List{}, unchanged, err
	}
	current := digest(sha256.Sum256(text))
	if f.delivered && current == f.deliveredDigest {
		f.unsettledReads = 0
		return List{}, unchanged, nil
	}
	if (f.unsettledReads == 0 || current != f.pendingDigest) && f.unsettledReads < maxUnsettledReads {
		f.pendingDigest = current
		f.unsettledReads++
		return List{}, unsettled, nil
	}
	f.pendingDigest, f.unsettledReads = current, 1
	list, err := f.parse(text)
	if err != nil {
		return List{}, unchanged, err
	}
	f.delivered, f.deliveredDigest, f.unsettledReads = true, current, 0
	f.hadEndpoints, f.leadingComments, f.hadFinalNewline = len(list.Endpoints) > 0, leadingComments(text), endsWithNewline(text)
	return list, changed, nil
}

// parse parses the content of the file and rejects content that appears truncated.
func (f *File) parse(text []byte) (List, error) {
	list, err := ParseFile(text)
	if err != nil || isDiscoveryFormat(text) { // truncated JSON is a syntax error
		return list, err
	}
	empty := len(list.Endpoints) == 0
	switch {
	case empty && len(bytes.TrimSpace(text)) == 0:
		return List{}, errBlank
	case empty && f.hadEndpoints && strings.HasPrefix(f.leadingComments, string(text)):
		return List{}, errOnlyComments
	case f.hadFinalNewline && !endsWithNewline(text):
		return List{}, errUnterminatedLine
	}
	return list, nil
}

// leadingComments returns the text before the first line that is more than a comment.
func leadingComments(text []byte) string {
	var comments strings.Builder
	for line := range strings.Lines(string(text)) {
		if content, _, _ := strings.Cut(line, "#"); strings.TrimSpace(content) != "" {
			break
		}
		comments.WriteString(line)
	}
	return comments.String()
}

func endsWithNewline(text []byte) bool { return bytes.HasSuffix(text, []byte("\n")) }

// isDiscoveryFormat reports whether a text has the format of a discovery response.
func isDiscoveryFormat(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// ReadFile reads a node file. The error for an invalid line contains the line number.
func ReadFile(path string) (List, error) {
	text, err := readFile(path)
	if err != nil {
		return List{}, err
	}
	return ParseFile(text)
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("file is larger than the limit of %d bytes", maxFileBytes)
	}
	return text, nil
}

// ParseFile parses the text of a node file.
func ParseFile(text []byte) (List, error) {
	if isDiscoveryFormat(text) {
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
			return List{}, fmt.Errorf("line %d: duplicate node %q", n, e.Name)
		}
		seen[e.Name] = true
		entries = append(entries, e)
	}
	if err := lines.Err(); err != nil {
		return List{}, err
	}
	return completeList(entries)
}

// ParseEndpoint parses the fields of one node: the address, then name=, zone=, cell=,
// since= (RFC 3339) and draining in any order.
func ParseEndpoint(fields []string) (Endpoint, error) {
	if len(fields) == 0 {
		return Endpoint{}, errors.New("no address, want address:port")
	}
	e := Endpoint{Address: fields[0], Name: fields[0], Status: InService}
	for _, field := range fields[1:] {
		key, value, hasValue := strings.Cut(field, "=")
		var err error
		switch {
		case key == "draining" && !hasValue:
			e.Status = Terminating
		case hasValue && value == "":
			err = errors.New("empty value")
		case key == "name" && hasValue:
			e.Name = value
		case key == "zone" && hasValue:
			e.Zone = value
		case key == "cell" && hasValue:
			e.Group, err = strconv.Atoi(value)
		case key == "since" && hasValue:
			var started time.Time
			started, err = time.Parse(time.RFC3339, value)
			e.SinceMs = started.UnixMilli()
		default:
			err = errors.New("unknown field, want name=, zone=, cell=, since= or draining")
		}
		if err != nil {
			return Endpoint{}, fmt.Errorf("%q: %w", field, err)
		}
	}
	return e, e.validate()
}
