package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"
)

func parseRequest(raw []byte) (*Head, error) {
	h := &Head{}
	return h, h.ParseRequest(raw)
}

// sortedFields returns the lines of fields, with names in net/http's canonical case.
func sortedFields(fs Fields) (all []string) {
	for _, f := range fs {
		all = append(all, textproto.CanonicalMIMEHeaderKey(f.Name)+": "+f.Value)
	}
	slices.Sort(all)
	return all
}

func sortedHeader(h http.Header) (all []string) {
	for name, values := range h {
		for _, v := range values {
			all = append(all, name+": "+v)
		}
	}
	slices.Sort(all)
	return all
}

// diffFromNetHTTP describes how net/http's reading of a head differs from h, or returns
// an empty string. net/http removes the fields that frame the body from the header.
func diffFromNetHTTP(h *Head, header http.Header, length int64, codings []string) string {
	fields := slices.DeleteFunc(slices.Clone(h.Fields), func(f Field) bool {
		return strings.EqualFold(f.Name, "Transfer-Encoding") || strings.EqualFold(f.Name, "Trailer")
	})
	header = header.Clone()
	header.Del("Trailer")
	if strings.EqualFold(h.Fields.Get("Pragma"), "no-cache") {
		return "" // net/http adds a Cache-Control field
	}
	if a, b := sortedFields(fields), sortedHeader(header); !slices.Equal(a, b) {
		return fmt.Sprintf("fields %q, net/http has %q", a, b)
	}
	if h.Chunked != (len(codings) > 0) || !h.Chunked && h.Length != length {
		return fmt.Sprintf("length %d, chunked %t; net/http has %d, %q", h.Length, h.Chunked, length, codings)
	}
	return ""
}

// FuzzParseRequest checks that net/http accepts every accepted head and reads it
// in the same way, and that the same holds for the forwarded head.
func FuzzParseRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a?b#c HTTP/1.0\r\nhost: a:80\r\nContent-Length: 3\r\n\r\nabc",
		"PUT http://h/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: a\r\nConnection: close, X-A\r\nX-A: 1\r\nx-a: 2\r\n\r\n",
		"GET /%zz HTTP/1.1\r\nHost: a\r\nA:\t b \t\r\nB:\r\n\r\n",
		"GET /\xff HTTP/1.9\r\nHost: [::1]:80\r\nC: \xe9\r\n\r\n",
		"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", "PRI * HTTP/2.0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		raw, err := PeekHead(bufio.NewReaderSize(bytes.NewReader(text), MaxHeadBytes))
		if err != nil {
			return
		}
		h, err := parseRequest(raw)
		if err != nil {
			return
		}
		path, err := h.Path()
		if err != nil || h.Method == http.MethodConnect { // neither is forwarded
			return
		}
		req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), MaxHeadBytes))
		if err != nil {
			t.Fatalf("%q was accepted, net/http rejects it: %v", raw, err)
		}
		if h.Method != req.Method || h.Target != req.RequestURI || path != req.URL.Path || h.Close != req.Close {
			t.Fatalf("%q: %s %q %q close %t, net/http has %s %q %q close %t", raw, h.Method, h.Target, path, h.Close, req.Method, req.RequestURI, req.URL.Path, req.Close)
		}
		if req.URL.Host == "" && h.Host != req.Host {
			t.Fatalf("%q: host %q, net/http has %q", raw, h.Host, req.Host)
		}
		if diff := diffFromNetHTTP(h, req.Header, req.ContentLength, req.TransferEncoding); diff != "" {
			t.Fatalf("%q: %s", raw, diff)
		}
		forwarded := h.Fields.AppendForwarded([]byte(h.Method + " " + h.Target + " HTTP/1.1\r\nHost: " + h.Host + "\r\n"))
		again, err := parseRequest(append(forwarded, "\r\n"...))
		if err != nil {
			t.Fatalf("%q was forwarded as %q, which is rejected: %v", raw, forwarded, err)
		}
		kept := slices.DeleteFunc(slices.Clone(h.Fields), func(f Field) bool { return f.HopByHop })
		if again.Target != h.Target || again.Host != h.Host || again.Length != 0 || again.Chunked || !slices.Equal(sortedFields(kept), sortedFields(again.Fields)) {
			t.Fatalf("%q was forwarded as %q, which is read otherwise", raw, forwarded)
		}
	})
}

// FuzzParseResponse checks that net/http accepts every accepted response head and reads
// it in the same way.
func FuzzParseResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.0 200 OK\r\n\r\nabc", "HTTP/1.1 204\r\nX: y\r\n\r\n",
		"HTTP/1.1 500 \r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		raw, err := PeekHead(bufio.NewReaderSize(bytes.NewReader(text), MaxHeadBytes))
		if err != nil {
			return
		}
		h := &Head{}
		err = h.ParseResponse(raw)
		if err != nil || h.Status < 200 || h.Status == 204 || h.Status == 304 {
			return // has no body; net/http reports another length
		}
		resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(raw), MaxHeadBytes), nil)
		if err != nil {
			t.Fatalf("%q was accepted, net/http rejects it: %v", raw, err)
		}
		if h.Status != resp.StatusCode {
			t.Fatalf("%q: status %d, net/http has %d", raw, h.Status, resp.StatusCode)
		}
		if h.Close && !resp.Close {
			t.Fatalf("%q: closes the connection, net/http keeps it open", raw)
		}
		if diff := diffFromNetHTTP(h, resp.Header, resp.ContentLength, resp.TransferEncoding); diff != "" {
			t.Fatalf("%q: %s", raw, diff)
		}
	})
}

// Fields that concern one connection or are generated for each message are not forwarded, including
// those that Connection names.
func TestHopByHopFieldsAreNotForwarded(t *testing.T) {
	h, err := parseRequest([]byte("GET / HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nconnection: close, x-b ,X-C\r\nX-B: 2\r\nx-c: 3\r\nKeep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\nExpect: 100-continue\r\nContent-Length: 0\r\nx-a: 4\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := string(h.Fields.AppendForwarded(nil)); got != "X-A: 1\r\nx-a: 4\r\n" {
		t.Errorf("forwarded: %q, want X-A and x-a", got)
	}
	if v, n := h.Fields.Lookup("X-a"); v != "1" || n != 2 || !h.Close || !h.ExplicitClose {
		t.Errorf("X-a is %q, in %d fields; head %+v", v, n, h)
	}
}

func TestParseRejectsMalformedHeads(t *testing.T) {
	for _, s := range []string{
		"GET /\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET / HTTP/1.11\r\n\r\n", "G(T / HTTP/1.1\r\n\r\n", " / HTTP/1.1\r\n\r\n", "GET  / HTTP/1.1\r\n\r\n",
		"GET /a b HTTP/1.1\r\n\r\n", "GET /\x01 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.1\r\nX: \x00\r\n\r\n", "GET / HTTP/1.1\r\nX: a\rb\r\n\r\n",
	} {
		if h, err := parseRequest([]byte(s)); err == nil {
			t.Errorf("%q was accepted: %+v", s, h)
		}
	}
	for _, s := range []string{"HTTP/1.1\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 200 O\x00K\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "\x00noise\r\n\r\n"} {
		h := &Head{}
		if err := h.ParseResponse([]byte(s)); err == nil {
			t.Errorf("%q was accepted: %+v", s, h)
		}
	}
}

func TestSkipTrailers(t *testing.T) {
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{"\r\nrest", true}, {"A: b\r\nC: d\r\n\r\nrest", true}, {"\nrest", false}, {"no field\r\n\r\nrest", false}, {"A: b\r\n", false}, {"", false},
		{strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 20) + "\r\nrest", false},
	} {
		br := bufio.NewReaderSize(strings.NewReader(c.text), MaxHeadBytes)
		err := SkipTrailers(br)
		rest, _ := io.ReadAll(br)
		if (err == nil) != c.ok || c.ok && string(rest) != "rest" {
			t.Errorf("%.40q: %v, %.20q is left", c.text, err, rest)
		}
	}
}

const benchHead = "GET /receipt/12345 HTTP/1.1\r\nHost: receipts.example.org\r\nUser-Agent: curl/8.5.0\r\nAccept: */*\r\nAccept-Encoding: gzip, deflate, br\r\nX-Call-Id: 0123456789abcdef\r\nX-Budget-Ms: 1500\r\nCookie: session=0123456789abcdef0123456789abcdef\r\n\r\n"

// BenchmarkParseRequest compares this package with net/http on the same head.
func BenchmarkParseRequest(b *testing.B) {
	b.Run("http1", func(b *testing.B) {
		b.ReportAllocs()
		var h Head
		for b.Loop() {
			if err := h.ParseRequest([]byte(benchHead)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("net/http", func(b *testing.B) {
		b.ReportAllocs()
		r := strings.NewReader(benchHead)
		br := bufio.NewReader(r)
		for b.Loop() {
			r.Reset(benchHead)
			br.Reset(r)
			if _, err := http.ReadRequest(br); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A head costs little more than its length, however its Connection options and fields are chosen.
func TestManyConnectionOptions(t *testing.T) {
	const options, fields = 1500, 800
	plain := "GET / HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("a,", options) + "\r\n" + strings.Repeat("b:\r\n", fields) + "\r\n"
	hostile := strings.Replace(plain, "X-Pad", "Connection", 1)
	parse := func(head string) (fastest time.Duration) {
		for range 20 {
			start := time.Now()
			var h Head
			if err := h.ParseRequest([]byte(head)); err != nil {
				t.Fatal(err)
			}
			if d := time.Since(start); fastest == 0 || d < fastest {
				fastest = d
			}
		}
		return fastest
	}
	if a, b := parse(plain), parse(hostile); b > 10*a {
		t.Errorf("a head with %d options and %d fields takes %v, one without options %v", options, fields, b, a)
	}
}

func TestConnectionOptionsAreNotForwarded(t *testing.T) {
	var h Head
	if err := h.ParseRequest([]byte("GET / HTTP/1.1\r\nHost: x\r\nConnection: X-One, keep-alive\r\nx-one: 1\r\nX-Two: 2\r\nconnection: x-TWO\r\nX-Three: 3\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if got := string(h.Fields.AppendForwarded(nil)); got != "X-Three: 3\r\n" {
		t.Errorf("forwarded %q", got)
	}
}
