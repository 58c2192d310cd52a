package route

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Longest names and paths that are judged. A host name has 253 characters at
// the most (RFC 1035, section 2.3.4, less the root's dot and length bytes); a
// path is bounded by the head that brings it, this is the last guard.
const (
	MaxHost = 253
	MaxPath = 8 << 10
)

// Host brings a host, as it comes in a Host field or in an absolute URI, to the
// one form that is matched: lower case, without the dot of the root. An address
// in brackets keeps them. The port comes apart, with its colon or empty.
//
// Only what RFC 3986, section 3.2.2, calls a reg-name without escapes or an
// IP-literal is taken: a host that a node could read in another way is an
// error.
func NormalizeHost(s string) (name, port string, err error) {
	name = s
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 {
			return "", "", fmt.Errorf("host %.80q: no closing bracket", s)
		}
		name, port = s[:end+1], s[end+1:]
		if port != "" && port[0] != ':' {
			return "", "", fmt.Errorf("host %.80q: bytes behind the bracket", s)
		}
		if i := badByte(name[1:end], "0123456789abcdefABCDEF:."); i >= 0 || end == 1 {
			return "", "", fmt.Errorf("host %.80q: no address in the brackets", s)
		}
	} else if i := strings.IndexByte(s, ':'); i >= 0 {
		name, port = s[:i], s[i:]
	}
	if port != "" && badByte(port[1:], "0123456789") >= 0 || len(port) > 6 {
		return "", "", fmt.Errorf("host %.80q: the port is no number", s)
	}
	if port == ":" {
		port = "" // RFC 3986, section 6.2.3
	}
	if !strings.HasPrefix(name, "[") {
		name = strings.TrimSuffix(name, ".")
		if err := checkLabels(name); err != nil {
			return "", "", fmt.Errorf("host %.80q: %w", s, err)
		}
	}
	return strings.ToLower(name), port, nil
}

// checkLabels tells whether a name consists of labels as hosts have them.
func checkLabels(name string) error {
	if name == "" || len(name) > MaxHost {
		return fmt.Errorf("a name of %d characters, want 1 to %d", len(name), MaxHost)
	}
	start := 0
	for i := 0; i <= len(name); i++ {
		if i == len(name) || name[i] == '.' {
			if i == start {
				return errors.New("an empty label")
			}
			start = i + 1
			continue
		}
		switch c := name[i]; {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return fmt.Errorf("%q cannot stand in a name", c)
		}
	}
	return nil
}

// badByte is the first place in s of a byte that is not in set, or -1.
func badByte(s, set string) int {
	for i := range len(s) {
		if strings.IndexByte(set, s[i]) < 0 {
			return i
		}
	}
	return -1
}

// Errors of Path that callers tell apart in tests.
var (
	errEscape = errors.New("a percent sign without two hexadecimal digits")
	errAbove  = errors.New("it climbs above the root")
	errHidden = errors.New("an encoded slash, backslash or NUL, which some servers read as a border")
	errByte   = errors.New("a byte that must be encoded")
	errParam  = errors.New("a dot segment with parameters, which some servers resolve")
)

// Path brings the path of a request, still encoded and without its query, to
// the one form that is both matched and sent on: escapes of unreserved
// characters are undone and the others in upper case (RFC 3986, section 6.2.2),
// dot segments resolved (section 5.2.4) and empty segments dropped. A slash at
// the end stays.
//
// What servers are known to read in different ways is an error, since then the
// request could be judged as one path and arrive as another: an encoded slash,
// backslash or NUL, a bare backslash, "..;" and "." with parameters, and a path
// that climbs above the root. Path is idempotent: Path(Path(s)) == Path(s).
func Path(s string) (string, error) {
	if s == "" || s[0] != '/' || len(s) > MaxPath {
		return "", fmt.Errorf("path %.80q, want a slash first and %d bytes at the most", s, MaxPath)
	}
	if plain(s) {
		return s, nil
	}
	out := make([]byte, 0, len(s))
	for rest := s[1:]; ; {
		seg, more, found := strings.Cut(rest, "/")
		from := len(out)
		out = append(out, '/')
		var err error
		if out, err = appendSegment(out, seg); err != nil {
			return "", fmt.Errorf("path %.80q: %w", s, err)
		}
		switch got := string(out[from+1:]); {
		case got == "" || got == ".":
			out = out[:from]
		case got == "..":
			if from == 0 {
				return "", fmt.Errorf("path %.80q: %w", s, errAbove)
			}
			out = out[:bytes.LastIndexByte(out[:from], '/')]
		case strings.HasPrefix(got, ".;") || strings.HasPrefix(got, "..;"):
			return "", fmt.Errorf("path %.80q: %w", s, errParam)
		case found:
			rest = more
			continue
		default:
			return string(out), nil
		}
		if !found { // the last segment has gone: what is left names a folder
			return string(append(out, '/')), nil
		}
		rest = more
	}
}

// plain tells that s is in its normal form for sure: it spares most requests
// the copy.
func plain(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c == '/':
			if i+1 < len(s) && (s[i+1] == '/' || s[i+1] == '.') {
				return false
			}
		case !pathByte(c):
			return false
		}
	}
	return true
}

// pathByte tells whether c may stand unencoded in a segment: pchar of RFC 3986,
// section 3.3, without the percent sign.
func pathByte(c byte) bool {
	return unreserved(c) || strings.IndexByte("!$&'()*+,;=:@", c) >= 0
}

func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// appendSegment appends one segment in its normal form.
func appendSegment(out []byte, seg string) ([]byte, error) {
	const upperHex = "0123456789ABCDEF"
	for i := 0; i < len(seg); i++ {
		c := seg[i]
		if c != '%' {
			if !pathByte(c) {
				return nil, errByte
			}
			out = append(out, c)
			continue
		}
		if i+2 >= len(seg) {
			return nil, errEscape
		}
		hi, lo := hexDigit(seg[i+1]), hexDigit(seg[i+2])
		if hi < 0 || lo < 0 {
			return nil, errEscape
		}
		i += 2
		switch c = byte(hi<<4 | lo); {
		case unreserved(c):
			out = append(out, c)
		case c == '/' || c == '\\' || c == 0:
			return nil, errHidden
		default:
			out = append(out, '%', upperHex[hi], upperHex[lo])
		}
	}
	return out, nil
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// Target splits the target of a request in origin form into path and query and
// brings the path to its normal form. The query goes on as it came; bytes that
// end a request line early, or start a fragment, are an error.
func NormalizeTarget(s string) (path, query string, err error) {
	path, query, hasQuery := strings.Cut(s, "?")
	if path, err = Path(path); err != nil {
		return "", "", err
	}
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c == '#' || c >= 0x7f {
			return "", "", fmt.Errorf("query %.80q: %w", query, errByte)
		}
	}
	if hasQuery {
		query = "?" + query
	}
	return path, query, nil
}
