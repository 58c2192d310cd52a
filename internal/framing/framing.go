// Package framing judges the head of an HTTP/1.1 message before net/http
// reads it.
//
// net/http mends what it reads: of Content-Length and Transfer-Encoding it
// drops the first without a word, of equal lengths all but one. Where two
// sides mend differently one message can stand inside the body of another
// (request smuggling), so whatever leaves a doubt about where a message ends
// is refused here, on both sides of the sidecar.
package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxHead is the size that a reader given to Peek should have: the longest
// head. Heads of the protocol have some hundred bytes; every connection holds
// one such buffer, so it is kept near to them.
const MaxHead = 8 << 10

// maxDigits bounds a Content-Length, so that it fits 63 bits.
const maxDigits = 18

// ErrLong tells of a head that does not fit the reader.
var ErrLong = errors.New("head is too long")

// Peek waits until br holds a whole head and returns it unread.
func Peek(br *bufio.Reader) ([]byte, error) {
	from := 0 // where the end may begin
	for n := 1; ; {
		_, err := br.Peek(n)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrLong
		}
		if err != nil {
			if err == io.EOF && br.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buf, _ := br.Peek(br.Buffered())
		if i := bytes.Index(buf[from:], []byte("\r\n\r\n")); i >= 0 {
			return buf[:from+i+4], nil
		}
		from = max(0, len(buf)-3)
		n = len(buf) + 1
	}
}

// Check tells what is wrong with the lines of a whole head, or nil.
func Check(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	lengths, codings, hosts := 0, 0, 0
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errors.New("head: a line ends in a bare CR or LF, or holds NUL")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return fmt.Errorf("head: line %d is no field", i+1)
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !digits(value) {
				return fmt.Errorf("Content-Length %.40q, want a number", value)
			}
		case "host":
			hosts++
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("Transfer-Encoding %.40q, want chunked", value)
			}
		}
	}
	if lengths+codings > 1 {
		return errors.New("the length is given more than once")
	}
	if hosts > 1 {
		return errors.New("Host is given more than once") // RFC 9112, section 3.2
	}
	if codings > 0 && strings.HasSuffix(lines[0], "HTTP/1.0") {
		return errors.New("Transfer-Encoding in HTTP/1.0") // section 6.1
	}
	return nil
}

func digits(s string) bool {
	if s == "" || len(s) > maxDigits {
		return false
	}
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// token tells whether s can name a field. A space before the colon or at the
// start of a line (a folded one) is the classic way to hide a length.
func token(s string) bool {
	if s == "" {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}
