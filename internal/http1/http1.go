// Package http1 parses the heads of HTTP/1.1 messages and rejects every head that can
// be read in two ways.
//
// net/http repairs ambiguous heads, for example by ignoring Content-Length beside
// Transfer-Encoding. If two programs repair a message differently, one message can hide
// in the body of another (request smuggling). Heads of requests and responses are
// therefore parsed strictly, and a forwarded head is generated from its parsed fields.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxHeadBytes is the length of the longest head. Every connection has a reader for
// PeekHead with a buffer of this size.
const MaxHeadBytes = 8 << 10

// maxLengthDigits bounds a Content-Length, so that it fits 63 bits.
const maxLengthDigits = 18

// ErrHeadTooLong is returned for a head that does not fit the reader's buffer.
var ErrHeadTooLong = errors.New("head is too long")

// PeekHead waits until br holds a whole head and returns it without consuming it.
func PeekHead(br *bufio.Reader) ([]byte, error) {
	searchFrom := 0 // where the end of the head may begin
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
		if i := bytes.Index(buf[searchFrom:], []byte("\r\n\r\n")); i >= 0 {
			return buf[:searchFrom+i+4], nil
		}
		searchFrom = max(0, len(buf)-3)
		n = len(buf) + 1
	}
}

func isDigits(s string) bool {
	if s == "" || len(s) > maxLengthDigits {
		return false
	}
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// isToken reports whether s can be a field name. A space before the colon or at the
// start of a line (line folding) could hide a Content-Length.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return true
}

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()
