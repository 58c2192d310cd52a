package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"unsafe"
)

// Head is the head of one HTTP/1.x message (RFC 9112). Its strings are copies that stay
// valid when the read buffer is reused.
type Head struct {
	Method string // of a request
	Target string // of a request, as received
	Host   string // of a request's Host field, which Fields omits
	Status int    // of a response
	Minor  int    // version HTTP/1.Minor
	Fields Fields

	// Length is the length of the body. It is 0 in a request without a body, and -1 if
	// the body is chunked or, in a response, ends with the connection.
	Length  int64
	Chunked bool
	// Close is set if the connection closes after this message. ExplicitClose is set if
	// a Connection field says so, not only the version.
	Close, ExplicitClose bool
}

// Field is one field line of a head.
type Field struct {
	Name, Value string
	// HopByHop is set if the field concerns this connection only, or is generated again
	// for the next one, and is not forwarded (RFC 9110, section 7.6.1).
	HopByHop bool
}

// FieldMemory returns the memory, in bytes, that the fields of a head need once it is parsed, beside the
// head itself.
func FieldMemory(raw []byte) int64 {
	return int64(bytes.Count(raw, []byte("\n"))) * int64(unsafe.Sizeof(Field{}))
}

// Fields are the field lines of a head in their order.
type Fields []Field

// Get returns the value of the first field with this name, in any case, or an empty
// string.
func (fs Fields) Get(name string) string {
	v, _ := fs.Lookup(name)
	return v
}

// Lookup is like Get, and also returns the number of fields with this name.
func (fs Fields) Lookup(name string) (value string, n int) {
	for i := range fs {
		if len(fs[i].Name) == len(name) && strings.EqualFold(fs[i].Name, name) {
			if n++; n == 1 {
				value = fs[i].Value
			}
		}
	}
	return value, n
}

// AppendForwarded appends the fields that are forwarded to b, as lines.
func (fs Fields) AppendForwarded(b []byte) []byte {
	for i := range fs {
		if !fs[i].HopByHop {
			b = append(b, fs[i].Name...)
			b = append(b, ": "...)
			b = append(b, fs[i].Value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// hopByHopFields are the fields that concern one connection, and those that each side
// generates.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func isHopByHop(name string) bool {
	for _, h := range hopByHopFields {
		if len(h) == len(name) && strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}

// ParseRequest sets h to the head of a request, as returned by PeekHead. A head that can
// be read in two ways is an error.
func (h *Head) ParseRequest(raw []byte) error {
	*h = Head{}
	line, rest := cutLine(string(raw))
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !isToken(method) {
		return fmt.Errorf("request line: begins with %.40q, want method, target and HTTP/1.1", method)
	}
	if h.Minor, ok = parseMinorVersion(version); !ok {
		return fmt.Errorf("request line: %.40q, want HTTP/1.0 or HTTP/1.1", version)
	}
	if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c < ' ' || c == 0x7f }) {
		return fmt.Errorf("request line: target %.80q is empty or contains control characters", target)
	}
	h.Method, h.Target = method, target
	if err := h.parseFields(rest, true); err != nil {
		return err
	}
	if !validHost(h.Host) {
		return fmt.Errorf("Host %.80q contains characters that are invalid in a host or port", h.Host)
	}
	if h.Length < 0 && !h.Chunked {
		h.Length = 0
	}
	return nil
}

// ParseResponse sets h to the head of a response, as returned by PeekHead.
func (h *Head) ParseResponse(raw []byte) error {
	*h = Head{}
	line, rest := cutLine(string(raw))
	version, line, _ := strings.Cut(line, " ")
	var ok bool
	if h.Minor, ok = parseMinorVersion(version); !ok {
		return fmt.Errorf("status line: %.40q, want HTTP/1.0 or HTTP/1.1", version)
	}
	code, reason, _ := strings.Cut(line, " ")
	if len(code) != 3 || !isDigits(code) || code[0] == '0' {
		return fmt.Errorf("status line: status %.40q, want three digits", code)
	}
	if !isFieldText(reason) {
		return errors.New("status line: the reason contains control characters")
	}
	h.Status, _ = strconv.Atoi(code)
	if err := h.parseFields(rest, false); err != nil {
		return err
	}
	return nil
}

// cutLine splits s after its first line.
func cutLine(s string) (line, rest string) {
	line, rest, _ = strings.Cut(s, "\r\n")
	return line, rest
}

// parseMinorVersion returns the minor version of HTTP/1.x, and whether version is one. Readers
// of a head treat minor versions above 1 like 1 (RFC 9110, section 2.5).
func parseMinorVersion(version string) (int, bool) {
	if len(version) != len("HTTP/1.1") || version[:7] != "HTTP/1." || version[7] < '0' || version[7] > '9' {
		return 0, false
	}
	return int(version[7] - '0'), true
}

// isFieldText reports whether s has only visible characters, spaces, tabs and bytes
// above ASCII (RFC 9110, section 5.5).
func isFieldText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// parseFields parses the lines after the first one, up to the empty line at the end.
func (h *Head) parseFields(text string, request bool) error {
	h.Length = -1
	h.Fields = make(Fields, 0, strings.Count(text, "\n"))
	lengths, codings, hosts := 0, 0, 0
	explicitClose, keepAlive, hasOptions := false, false, false
	for n := 2; text != ""; n++ {
		var line string
		if line, text = cutLine(text); line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return fmt.Errorf("head: line %d is not a field", n)
		}
		if !isFieldText(value) {
			return fmt.Errorf("head: line %d, %.40s: contains a control character, such as NUL or a bare CR or LF", n, name)
		}
		f := Field{Name: name, Value: strings.Trim(value, " \t")}
		switch len(name) {
		case len("Host"):
			if request && strings.EqualFold(name, "Host") {
				hosts++
				h.Host = f.Value
				continue
			}
		case len("Connection"):
			if strings.EqualFold(name, "Connection") {
				for option := range strings.SplitSeq(f.Value, ",") {
					switch option = strings.Trim(option, " \t"); {
					case strings.EqualFold(option, "close"):
						explicitClose = true
					case strings.EqualFold(option, "keep-alive"):
						keepAlive = true
					case option != "":
						hasOptions = true
					}
				}
			}
		case len("Content-Length"):
			if strings.EqualFold(name, "Content-Length") {
				lengths++
				if !isDigits(f.Value) {
					return fmt.Errorf("Content-Length %.40q, want a number", f.Value)
				}
				h.Length, _ = strconv.ParseInt(f.Value, 10, 64)
			}
		case len("Transfer-Encoding"):
			if strings.EqualFold(name, "Transfer-Encoding") {
				codings++
				if !strings.EqualFold(f.Value, "chunked") {
					return fmt.Errorf("Transfer-Encoding %.40q, want chunked", f.Value)
				}
				h.Chunked = true
			}
		}
		f.HopByHop = isHopByHop(name)
		h.Fields = append(h.Fields, f)
	}
	switch {
	case lengths+codings > 1:
		return errors.New("more than one Content-Length or Transfer-Encoding")
	case hosts > 1:
		return errors.New("more than one Host") // RFC 9112, section 3.2
	case codings > 0 && h.Minor == 0:
		return errors.New("Transfer-Encoding is not allowed in HTTP/1.0") // RFC 9112, section 6.1
	}
	h.ExplicitClose, h.Close = explicitClose, explicitClose || h.Minor == 0 && !keepAlive
	if hasOptions {
		h.markConnectionOptions()
	}
	return nil
}

// markConnectionOptions marks the fields that Connection fields name as hop-by-hop.
func (h *Head) markConnectionOptions() {
	options := map[string]bool{} // in lower case
	for _, f := range h.Fields {
		if !f.HopByHop || !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			options[strings.ToLower(strings.Trim(option, " \t"))] = true
		}
	}
	for i := range h.Fields {
		if f := &h.Fields[i]; options[strings.ToLower(f.Name)] {
			f.HopByHop = true
		}
	}
}

// URL returns the target of a request, parsed as a URL.
func (h *Head) URL() (*url.URL, error) { return url.ParseRequestURI(h.Target) }

// Path returns the unescaped path of a request's target.
func (h *Head) Path() (string, error) {
	if path, _, _ := strings.Cut(h.Target, "?"); strings.HasPrefix(path, "/") && strings.IndexByte(path, '%') < 0 {
		return path, nil
	}
	u, err := h.URL()
	if err != nil {
		return "", err
	}
	return u.Path, nil
}

// validHost reports whether s has only characters that can occur in a Host field (RFC
// 3986, section 3.2).
func validHost(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("-._~!$&'()*+,;=:%[]", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// maxTrailerBytes bounds the trailer section of a message.
const maxTrailerBytes = 8 << 10

// SkipTrailers reads what follows the last chunk: the trailer section, which is not
// forwarded, and an empty line.
func SkipTrailers(br *bufio.Reader) error {
	for n := 0; ; {
		line, err := br.ReadSlice('\n')
		if n += len(line); err == bufio.ErrBufferFull || err == nil && n > maxTrailerBytes {
			return fmt.Errorf("trailer section longer than %d bytes", maxTrailerBytes)
		}
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		line, ok := bytes.CutSuffix(line, []byte("\r\n"))
		if ok && len(line) == 0 {
			return nil
		}
		if !ok {
			return errInvalidTrailer
		}
		if err := checkTrailer(line); err != nil {
			return err
		}
	}
}

// errInvalidTrailer means that a line of a trailer section is not a field.
var errInvalidTrailer = errors.New("trailer section: a line is not a field")

// checkTrailer checks a line of a trailer section, without its end.
func checkTrailer(line []byte) error {
	name, value, isField := strings.Cut(string(line), ":")
	if !isField || !isToken(name) || !isFieldText(value) {
		return errInvalidTrailer
	}
	return nil
}
