// Package framing reads the heads of HTTP/1.1 messages, and takes none that
// can be read in two ways.
//
// net/http mends what it reads: of Content-Length and Transfer-Encoding it
// drops the first without a word, of equal lengths all but one. Where two
// sides mend differently one message can stand inside the body of another
// (request smuggling), so whatever leaves a doubt about where a message ends
// is refused here, on both sides: what is judged is what is sent on.
package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxHead is the size that a reader given to Peek should have: the longest
// head. Heads of the protocol have some hundred bytes; every connection holds
// one such buffer, so it is kept near to them.
const MaxHeadBytes = 8 << 10

// maxDigits bounds a Content-Length, so that it fits 63 bits.
const maxDigits = 18

// ErrLong tells of a head that does not fit the reader.
var ErrHeadTooLong = errors.New("head is too long")

// Peek waits until br holds a whole head and returns it unread.
func PeekHead(br *bufio.Reader) ([]byte, error) {
	from := 0 // where the end may begin
	for n := 1; ; {
		_, err := br.Peek(n)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeadTooLong
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
	for i := range len(s) {
		if !tokens[s[i]] {
			return false
		}
	}
	return true
}

// tokens are the bytes of a token (RFC 9110, section 5.6.2).
var tokens = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()
