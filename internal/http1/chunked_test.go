package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strings"
	"testing"
)

// scriptedReader returns the next text of its script at each read, and os.ErrDeadlineExceeded for
// an empty one. It fails the test when it is read after the end of the script.
type scriptedReader struct {
	t      testing.TB
	script []string
}

func (r *scriptedReader) Read(b []byte) (int, error) {
	if len(r.script) == 0 {
		r.t.Fatal("read after the end of the script")
	}
	text := r.script[0]
	r.script = r.script[1:]
	if text == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(b, text), nil
}

// What has arrived of a chunk is returned although the rest of the chunk, or what follows it, has not,
// and reading continues after a deadline has expired at any byte.
func TestChunkedReaderReturnsWhatHasArrived(t *testing.T) {
	for name, script := range map[string][]string{
		"in the middle of a chunk":     {"a\r\n012", "3456789\r\n0\r\n\r\n"},
		"after the data of a chunk":    {"3\r\n012", "\r\n7\r\n3456789\r\n0\r\n\r\n"},
		"inside the end of a chunk":    {"3\r\n012\r", "\n7\r\n3456789\r\n0\r\n\r\n"},
		"inside the next chunk's size": {"3\r\n012\r\n7", "\r\n3456789\r\n0\r\n\r\n"},
	} {
		r := NewChunkedReader(bufio.NewReader(&scriptedReader{t, script}), nil)
		b := make([]byte, 100)
		if n, err := r.Read(b); string(b[:n]) != "012" || err != nil {
			t.Errorf("%s: %q, %v, want the 3 bytes that have arrived", name, b[:n], err)
		}
	}
	const body = "4;ext=1\r\ngood\r\n3\r\nday\r\n0\r\nA: b\r\n\r\n"
	var script []string
	for i := range body {
		script = append(script, "", body[i:i+1])
	}
	in := &scriptedReader{t, script}
	r := NewChunkedReader(bufio.NewReader(in), nil)
	var got []byte
	for b := make([]byte, 100); ; {
		n, err := r.Read(b)
		got = append(got, b[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
	}
	if string(got) != "goodday" || len(in.script) != 0 {
		t.Errorf("got %q, %d reads were left", got, len(in.script))
	}
}

// FuzzChunkedReader compares ChunkedReader with the reader of net/http, followed by SkipTrailers.
func FuzzChunkedReader(f *testing.F) {
	for _, s := range []string{
		"4\r\ngood\r\n0\r\n\r\nrest", "4;a=b\r\ngood\r\n0\r\nA: b\r\n\r\n", "00a \t\r\n0123456789\r\n000\r\n\r\n", "4\ngood\r\n0\r\n\r\n", "4\r\ngood0\r\n\r\n",
		"4\r\ngoodxx0\r\n\r\n", "zz\r\n", "\r\n", "0\r\n", "0\r\n\r", "4\r\ngo", "ffffffffffffffff\r\n", "7fffffffffffffff\r\nx", "0\r\nno field\r\n\r\n", "4\r\r\ngood\r\n",
		strings.Repeat("1;"+strings.Repeat("e", 300)+"\r\nx\r\n", 100) + "0\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n", strings.Repeat("5", 5000),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in := bytes.NewReader(text)
		ours := bufio.NewReaderSize(in, MaxHeadBytes)
		got, err := io.ReadAll(NewChunkedReader(ours, func() bool { return len(text)%2 == 0 && in.Len() > 0 }))
		theirs := bufio.NewReaderSize(bytes.NewReader(text), MaxHeadBytes)
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(theirs))
		if wantErr == nil {
			wantErr = SkipTrailers(theirs)
		}
		if !bytes.Equal(got, want) || (err == nil) != (wantErr == nil) {
			t.Fatalf("%.80q: got %.80q, %v, want %.80q, %v", text, got, err, want, wantErr)
		}
		rest, _ := io.ReadAll(ours)
		wantRest, _ := io.ReadAll(theirs)
		if err == nil && !bytes.Equal(rest, wantRest) {
			t.Fatalf("%.80q: %.80q is left, want %.80q", text, rest, wantRest)
		}
	})
}

// BenchmarkChunkedReader compares this package with net/http on chunks of several sizes.
func BenchmarkChunkedReader(b *testing.B) {
	for name, text := range map[string]string{
		"1 byte": strings.Repeat("1\r\nx\r\n", 64<<10) + "0\r\n\r\n",
		"4 kB":   strings.Repeat("1000\r\n"+strings.Repeat("x", 4<<10)+"\r\n", 256) + "0\r\n\r\n",
		"1 MB":   "100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n0\r\n\r\n",
	} {
		for reader, newReader := range map[string]func(*bufio.Reader) io.Reader{
			"http1":    func(in *bufio.Reader) io.Reader { return NewChunkedReader(in, nil) },
			"net/http": func(in *bufio.Reader) io.Reader { return httputil.NewChunkedReader(in) },
		} {
			b.Run(name+"/"+reader, func(b *testing.B) {
				in := bufio.NewReaderSize(nil, MaxHeadBytes)
				piece := make([]byte, 64<<10)
				for b.Loop() {
					in.Reset(strings.NewReader(text))
					for r := newReader(in); ; {
						if _, err := r.Read(piece); err != nil {
							break
						}
					}
				}
				b.SetBytes(int64(len(text)))
			})
		}
	}
}
