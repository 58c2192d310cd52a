package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestParseRequestFraming(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		ok           bool
	}{
		{"plain", "Host: a\r\nX-Call-Id: 1", true},
		{"one length", "Content-Length: 12", true},
		{"chunked", "Transfer-Encoding: Chunked", true},
		{"empty value", "X-Empty:", true},
		{"length and coding", "Content-Length: 12\r\nTransfer-Encoding: chunked", false},
		{"coding and length in other case", "transfer-encoding: chunked\r\ncontent-length: 12", false},
		{"two lengths", "Content-Length: 4\r\nContent-Length: 9", false},
		{"two equal lengths", "Content-Length: 4\r\nContent-Length: 4", false},
		{"a list of lengths", "Content-Length: 4, 4", false},
		{"negative", "Content-Length: -4", false},
		{"signed", "Content-Length: +4", false},
		{"not a number", "Content-Length: ten", false},
		{"no value", "Content-Length:", false},
		{"over 63 bits", "Content-Length: 99999999999999999999", false},
		{"other coding", "Transfer-Encoding: gzip, chunked", false},
		{"obscured coding", "Transfer-Encoding: xchunked", false},
		{"space before the colon", "Content-Length : 4", false},
		{"folded line", "X-A: b\r\n Content-Length: 4", false},
		{"no colon", "a line without a colon", false},
		{"bare LF", "X-A: b\nContent-Length: 4", false},
		{"bare CR", "X-A: b\rContent-Length: 4", false},
	} {
		err := new(Head).ParseRequest([]byte("POST /x HTTP/1.1\r\n" + c.fields + "\r\n\r\n"))
		if (err == nil) != c.ok {
			t.Errorf("%s: %v, want ok %t", c.name, err, c.ok)
		}
	}
}

func TestPeekHead(t *testing.T) {
	read := func(text string, size int) (string, *bufio.Reader, error) {
		br := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:len(text)/2]), strings.NewReader(text[len(text)/2:])), size)
		head, err := PeekHead(br)
		return string(head), br, err
	}
	head, br, err := read("A\r\nB: c\r\n\r\nbody", 64)
	if err != nil || head != "A\r\nB: c\r\n\r\n" {
		t.Fatalf("head %q, %v", head, err)
	}
	if all, _ := io.ReadAll(br); string(all) != "A\r\nB: c\r\n\r\nbody" {
		t.Errorf("PeekHead consumed bytes, %q is left", all)
	}
	if _, _, err := read(strings.Repeat("p", 64), 32); !errors.Is(err, ErrHeadTooLong) {
		t.Errorf("unterminated head: %v, want ErrHeadTooLong", err)
	}
	if _, _, err := read("half a he", 32); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated head: %v, want io.ErrUnexpectedEOF", err)
	}
}
