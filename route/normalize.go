package route

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Limits on hosts and paths, in bytes.
const (
	// MaxHostLength follows RFC 1035, section 2.3.4: 255 encoded bytes,
	// less the first length byte and the root label.
	MaxHostLength = 253
	// MaxPathLength bounds paths in addition to the limit on the request head.
	MaxPathLength = 8 << 10
)

// NormalizeHost returns the normal form of a host from a Host field or an
// absolute URI: lower case and without a trailing dot. An IP address in brackets
// keeps its brackets. The port is returned with its colon, or is empty.
//
// Only a reg-name without percent-encoding and an IP-literal are accepted
// (RFC 3986, section 3.2.2), because endpoints could interpret other hosts
// differently.
func NormalizeHost(s string) (name, port string, err error) {
	name = s
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 {
			return "", "", fmt.Errorf("host %.80q: missing closing bracket", s)
		}
		name, port = s[:end+1], s[end+1:]
		if port != "" && port[0] != ':' {
			return "", "", fmt.Errorf("host %.80q: unexpected characters after the closing bracket", s)
		}
		if i := indexNotIn(name[1:end], "0123456789abcdefABCDEF:."); i >= 0 || end == 1 {
			return "", "", fmt.Errorf("host %.80q: invalid IP address in brackets", s)
		}
	} else if i := strings.IndexByte(s, ':'); i >= 0 {
		name, port = s[:i], s[i:]
	}
	if port != "" && indexNotIn(port[1:], "0123456789") >= 0 || len(port) > 6 {
		return "", "", fmt.Errorf("host %.80q: invalid port number", s)
	}
	if port == ":" {
		port = "" // an empty port equals no port: RFC 3986, section 6.2.3
	}
	if !strings.HasPrefix(name, "[") {
		name = strings.TrimSuffix(name, ".")
		if err := validateHostName(name); err != nil {
			return "", "", fmt.Errorf("host %.80q: %w", s, err)
		}
	}
	return strings.ToLower(name), port, nil
}

// validateHostName checks the length of a host name, that no label is empty and
// that all characters are allowed. Underscores are accepted.
func validateHostName(name string) error {
	if name == "" || len(name) > MaxHostLength {
		return fmt.Errorf("name has %d characters, want 1 to %d", len(name), MaxHostLength)
	}
	start := 0
	for i := 0; i <= len(name); i++ {
		if i == len(name) || name[i] == '.' {
			if i == start {
				return errors.New("empty label")
			}
			start = i + 1
			continue
		}
		switch c := name[i]; {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return fmt.Errorf("character %q is not allowed in a host name", c)
		}
	}
	return nil
}

// indexNotIn returns the index of the first byte of s that is not in set, or -1.
func indexNotIn(s, set string) int {
	for i := range len(s) {
		if strings.IndexByte(set, s[i]) < 0 {
			return i
		}
	}
	return -1
}

// Errors that NormalizePath wraps.
var (
	errInvalidEscape        = errors.New("percent sign without two hexadecimal digits")
	errAboveRoot            = errors.New("dot segments lead above the root")
	errEncodedSeparator     = errors.New("encoded slash, backslash or NUL, which some servers treat as a separator or terminator")
	errUnencodedByte        = errors.New("character that must be percent-encoded")
	errDotSegmentParameters = errors.New("dot segment with parameters, which some servers resolve as a dot segment")
)

// NormalizePath returns the normal form of a percent-encoded path without its
// query; this form is both matched and forwarded. It decodes unreserved
// characters, writes other escapes in upper case (RFC 3986, section 6.2.2),
// resolves dot segments (section 5.2.4) and removes empty segments. It keeps a
// trailing slash and is idempotent.
//
// Paths that servers are known to interpret differently are rejected, because a
// request could match one path and reach the endpoint as another: encoded
// slashes, backslashes and NULs, bare backslashes, dot segments with parameters
// ("..;x"), and paths that lead above the root.
func NormalizePath(s string) (string, error) {
	if s == "" || s[0] != '/' || len(s) > MaxPathLength {
		return "", fmt.Errorf("path %.80q: want a leading slash and at most %d bytes", s, MaxPathLength)
	}
	if isNormalPath(s) {
		return s, nil
	}
	out := make([]byte, 0, len(s))
	for rest := s[1:]; ; {
		segment, remaining, hasMore := strings.Cut(rest, "/")
		start := len(out)
		out = append(out, '/')
		var err error
		if out, err = appendNormalSegment(out, segment); err != nil {
			return "", fmt.Errorf("path %.80q: %w", s, err)
		}
		switch normal := string(out[start+1:]); {
		case normal == "" || normal == ".":
			out = out[:start]
		case normal == "..":
			if start == 0 {
				return "", fmt.Errorf("path %.80q: %w", s, errAboveRoot)
			}
			out = out[:bytes.LastIndexByte(out[:start], '/')]
		case strings.HasPrefix(normal, ".;") || strings.HasPrefix(normal, "..;"):
			return "", fmt.Errorf("path %.80q: %w", s, errDotSegmentParameters)
		case hasMore:
			rest = remaining
			continue
		default:
			return string(out), nil
		}
		if !hasMore { // the last segment was removed: a directory remains
			return string(append(out, '/')), nil
		}
		rest = remaining
	}
}

// isNormalPath reports whether s needs no normalization, so that most requests
// avoid a copy. It may return false for a path in normal form.
func isNormalPath(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c == '/':
			if i+1 < len(s) && (s[i+1] == '/' || s[i+1] == '.') {
				return false
			}
		case !isPathByte(c):
			return false
		}
	}
	return true
}

// isPathByte reports whether c may appear unencoded in a segment: pchar of
// RFC 3986, section 3.3, without the percent sign.
func isPathByte(c byte) bool {
	return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=:@", c) >= 0
}

// isUnreserved reports whether c is an unreserved character of RFC 3986,
// section 2.3.
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// appendNormalSegment appends the normal form of one percent-encoded segment.
func appendNormalSegment(out []byte, segment string) ([]byte, error) {
	const upperHex = "0123456789ABCDEF"
	for i := 0; i < len(segment); i++ {
		c := segment[i]
		if c != '%' {
			if !isPathByte(c) {
				return nil, errUnencodedByte
			}
			out = append(out, c)
			continue
		}
		if i+2 >= len(segment) {
			return nil, errInvalidEscape
		}
		high, low := hexValue(segment[i+1]), hexValue(segment[i+2])
		if high < 0 || low < 0 {
			return nil, errInvalidEscape
		}
		i += 2
		switch c = byte(high<<4 | low); {
		case isUnreserved(c):
			out = append(out, c)
		case c == '/' || c == '\\' || c == 0:
			return nil, errEncodedSeparator
		default:
			out = append(out, '%', upperHex[high], upperHex[low])
		}
	}
	return out, nil
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
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

// NormalizeTarget splits a request target in origin form into its normalized
// path and its query. The query, with its question mark, is unchanged; spaces,
// control and non-ASCII bytes and "#" in it are errors.
func NormalizeTarget(s string) (path, query string, err error) {
	path, query, hasQuery := strings.Cut(s, "?")
	if path, err = NormalizePath(path); err != nil {
		return "", "", err
	}
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c == '#' || c >= 0x7f {
			return "", "", fmt.Errorf("query %.80q: %w", query, errUnencodedByte)
		}
	}
	if hasQuery {
		query = "?" + query
	}
	return path, query, nil
}
