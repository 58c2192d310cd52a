package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
)

// Head is the head of one HTTP/1.x message (RFC 9112). Its texts are parts of
// one string, so that no buffer which is used again can show through them, and
// stay good for as long as anybody holds them.
type Head struct {
	Method string // of a request
	Target string // of a request, as it came
	Host   string // of a request's Host field, which is not among Fields
	Status int    // of an answer
	Minor  int    // of the version, HTTP/1.Minor
	Fields Fields

	// Length is that of the body as Content-Length tells it: 0 in a request
	// that has none, -1 where Chunked says how long it is or, in an answer, its
	// end does.
	Length  int64
	Chunked bool
	// Close tells that the connection ends with this message, by its word or
	// by its version. Told is that it says so itself.
	Close, ExplicitClose bool
}

// Field is one line of a head.
type Field struct {
	Name, Value string
	// Hop tells that it concerns this connection only or is written anew on the
	// next one: it is not passed on (RFC 9110, section 7.6.1).
	HopByHop bool
}

// Fields are the lines of a head in their order.
type Fields []Field

// Get is the value of the first field of a name, in whatever case; "" if there
// is none.
func (fs Fields) Get(name string) string {
	v, _ := fs.Lookup(name)
	return v
}

// Find is Get, and tells how many fields of the name there are.
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

// Append appends those that are passed on, as lines.
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

// hopByHop are the fields that concern one connection, and those that each side
// writes itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func isHop(name string) bool {
	for _, h := range hopByHop {
		if len(h) == len(name) && strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}

// ParseRequest reads the head of a request: the bytes that Peek returns. A head
// that can be read in two ways is an error. What h was is forgotten.
func (h *Head) ParseRequest(raw []byte) error {
	*h = Head{}
	line, rest := cutLine(string(raw))
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !token(method) {
		return fmt.Errorf("request line: begins with %.40q, want method, target and HTTP/1.1", method)
	}
	if h.Minor, ok = minor(version); !ok {
		return fmt.Errorf("request line: %.40q, want HTTP/1.0 or HTTP/1.1", version)
	}
	if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c < ' ' || c == 0x7f }) {
		return fmt.Errorf("request line: target %.80q, want no control characters", target)
	}
	h.Method, h.Target = method, target
	if err := h.fields(rest, true); err != nil {
		return err
	}
	if !validHost(h.Host) {
		return fmt.Errorf("Host %.80q, want a name or an address, and a port", h.Host)
	}
	if h.Length < 0 && !h.Chunked {
		h.Length = 0
	}
	return nil
}

// ParseResponse reads the head of an answer. What h was is forgotten.
func (h *Head) ParseResponse(raw []byte) error {
	*h = Head{}
	line, rest := cutLine(string(raw))
	version, line, _ := strings.Cut(line, " ")
	var ok bool
	if h.Minor, ok = minor(version); !ok {
		return fmt.Errorf("status line: %.40q, want HTTP/1.0 or HTTP/1.1", version)
	}
	code, reason, _ := strings.Cut(line, " ")
	if len(code) != 3 || !digits(code) || code[0] == '0' {
		return fmt.Errorf("status line: status %.40q, want three digits", code)
	}
	if !visible(reason) {
		return errors.New("status line: a reason with control characters")
	}
	h.Status, _ = strconv.Atoi(code)
	if err := h.fields(rest, false); err != nil {
		return err
	}
	return nil
}

// cutLine cuts the first line off.
func cutLine(s string) (line, rest string) {
	line, rest, _ = strings.Cut(s, "\r\n")
	return line, rest
}

// minor reads the version. What is above 1.1 is spoken to as 1.1 is (RFC 9110,
// section 2.5).
func minor(version string) (int, bool) {
	if len(version) != len("HTTP/1.1") || version[:7] != "HTTP/1." || version[7] < '0' || version[7] > '9' {
		return 0, false
	}
	return int(version[7] - '0'), true
}

// visible tells whether s has none but visible characters, spaces, tabs and
// bytes above ASCII (RFC 9110, section 5.5).
func visible(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// fields reads the lines after the first one, up to the empty one at the end.
func (h *Head) fields(text string, request bool) error {
	h.Length = -1
	h.Fields = make(Fields, 0, strings.Count(text, "\n"))
	lengths, codings, hosts := 0, 0, 0
	told, keep, names := false, false, false
	for n := 2; text != ""; n++ {
		var line string
		if line, text = cutLine(text); line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return fmt.Errorf("head: line %d is no field", n)
		}
		if !visible(value) {
			return fmt.Errorf("head: line %d, %.40s: holds a bare CR or LF, NUL or another control character", n, name)
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
						told = true
					case strings.EqualFold(option, "keep-alive"):
						keep = true
					case option != "":
						names = true
					}
				}
			}
		case len("Content-Length"):
			if strings.EqualFold(name, "Content-Length") {
				lengths++
				if !digits(f.Value) {
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
		f.HopByHop = isHop(name)
		h.Fields = append(h.Fields, f)
	}
	switch {
	case lengths+codings > 1:
		return errors.New("the length is given more than once")
	case hosts > 1:
		return errors.New("Host is given more than once") // RFC 9112, section 3.2
	case codings > 0 && h.Minor == 0:
		return errors.New("Transfer-Encoding in HTTP/1.0") // section 6.1
	}
	h.ExplicitClose, h.Close = told, told || h.Minor == 0 && !keep
	if names {
		h.markNamed()
	}
	return nil
}

// markNamed marks the fields that the Connection field names.
func (h *Head) markNamed() {
	for _, f := range h.Fields {
		if !f.HopByHop || !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			option = strings.Trim(option, " \t")
			for i := range h.Fields {
				if strings.EqualFold(h.Fields[i].Name, option) {
					h.Fields[i].HopByHop = true
				}
			}
		}
	}
}

// URL is the target of a request, read as a URL.
func (h *Head) URL() (*url.URL, error) { return url.ParseRequestURI(h.Target) }

// Path is the path of a request's target without its escapes.
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

// validHost tells whether s has none but the characters that can stand in a
// Host field (RFC 3986, section 3.2), so that it can be written on.
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

// maxTrailers bounds the trailer section of a message.
const maxTrailers = 8 << 10

// SkipTrailers reads what follows the last chunk: the trailer section, which is
// not passed on, and the empty line.
func SkipTrailers(br *bufio.Reader) error {
	for n := 0; ; {
		line, err := br.ReadSlice('\n')
		if n += len(line); err == bufio.ErrBufferFull || err == nil && n > maxTrailers {
			return fmt.Errorf("trailers of over %d bytes", maxTrailers)
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
		name, value, isField := strings.Cut(string(line), ":")
		if !ok || !isField || !token(name) || !visible(value) {
			return errors.New("trailers: a line that is no field")
		}
	}
}
