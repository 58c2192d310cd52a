package trace

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// readAll returns the records and the bad lines of a trace.
func readAll(text string, f Format, maxBadShare float64) (all []Record, bad []string, err error) {
	r := NewReader(strings.NewReader(text), f, maxBadShare, func(b *BadLineError) { bad = append(bad, b.Error()) })
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return all, bad, nil
		}
		if err != nil {
			return all, bad, err
		}
		all = append(all, rec)
	}
}

const logLines = `127.0.0.1 - - [29/Nov/2026:11:00:00 +0700] "GET /receipt/1 HTTP/1.1" 200 512
127.0.0.1 - hoa [29/Nov/2026:04:00:01 +0000] "POST /pledge?x=\"1\" HTTP/1.1" 200 - "http://a/\"b\"" "agent [x] \"y\""
::1 - - [29/Nov/2026:11:00:01 +0700] "HEAD http://donate.example.org/a/b HTTP/1.0" 304 0
`

// Guards against fields that are lost or changed by the parser of a format, and against
// due times that do not start at the first record.
func TestReaderFormats(t *testing.T) {
	for _, c := range []struct {
		name string
		f    Format
		text string
		want string
	}{
		{"log", AccessLog, logLines, `1 0s GET  /receipt/1  0; 2 1s POST  /pledge?x=\"1\"  0; 3 1s HEAD donate.example.org /a/b  0`},
		{"log with CR", AccessLog, strings.Split(logLines, "\n")[0] + "\r\n", `1 0s GET  /receipt/1  0`},
		{"csv with due", CSV, "due,path,method,host,class,body\n0.25,/a,POST,x.org,pay,12\n1e1,\"/b?c=1,2\",GET,,,\n", `2 250ms POST x.org /a pay 12; 3 10s GET  /b?c=1,2  0`},
		{"csv with time", CSV, "Path, Time\n/a,2026-11-29T11:00:00+07:00\n/b,2026-11-29T04:00:00.5Z\n", `2 0s GET  /a  0; 3 500ms GET  /b  0`},
		{"jsonl", JSONLines, `{"due":1.5,"path":"/a","method":"PUT","body":3}` + "\n\n" + `{"due":2,"path":"/b","host":"x","class":"c"}`, `1 1.5s PUT  /a  3; 3 2s GET x /b c 0`},
		{"jsonl with time", JSONLines, `{"time":"2026-11-29T11:00:00Z","path":"/a"}` + "\n" + `{"time":"2026-11-29T10:59:59Z","path":"/b"}`, `1 0s GET  /a  0; 2 -1s GET  /b  0`},
		{"empty", JSONLines, "", ""},
	} {
		all, bad, err := readAll(c.text, c.f, 0)
		var got []string
		for _, r := range all {
			got = append(got, fmt.Sprintf("%d %v %s %s %s %s %d", r.Line, r.Due, r.Method, r.Host, r.Path, r.Class, r.Body))
		}
		if s := strings.Join(got, "; "); s != c.want || len(bad) > 0 || err != nil {
			t.Errorf("%s: %s, bad %v, %v\nwant %s", c.name, s, bad, err, c.want)
		}
	}
}

// Guards against bad lines that are accepted, reported with a wrong line number or not
// counted against the allowed share.
func TestBadLinesAreReportedByNumber(t *testing.T) {
	for _, c := range []struct {
		f    Format
		head string
		bad  string
		want string
	}{
		{AccessLog, "", "noise", "missing [time]"},
		{AccessLog, "", `1 - - [yesterday] "GET / HTTP/1.1" 200 1`, "time"},
		{AccessLog, "", `1 - - [29/Nov/2026:11:00:00 +0700] "GET /`, "closing quote"},
		{AccessLog, "", `1 - - [29/Nov/2026:11:00:00 +0700] "\x16\x03" 400 1`, "want method, path"},
		{AccessLog, "", `1 - - [29/Nov/2026:11:00:00 +0700] "get / HTTP/1.1" 400 1`, "capital"},
		{AccessLog, "", `1 - - [29/Nov/2026:11:00:00 +0700] "GET * HTTP/1.1" 400 1`, "leading slash"},
		{CSV, "due,path\n", "1", "1 fields, want 2"},
		{CSV, "due,path\n", "x,/a", "want seconds"},
		{CSV, "due,path\n", "1e300,/a", "want seconds up to"},
		{CSV, "due,path\n", "NaN,/a", "want seconds up to"},
		{CSV, "due,path\n", `1,"/a`, "quote"},
		{CSV, "due,path,body\n", "1,/a,-1", "body -1"},
		{CSV, "due,path,body\n", "1,/a,99999999999", "body"},
		{CSV, "time,path\n", "noon,/a", "2026"},
		{JSONLines, "", `{"due":1}`, "leading slash"},
		{JSONLines, "", `{"path":"/"}`, "one of due and time"},
		{JSONLines, "", `{"due":1,"path":"/a b"}`, "no spaces"},
		{JSONLines, "", `{"due":1,"path":"/","host":"a\r\nX: y"}`, "host"},
		{JSONLines, "", `[1]`, "cannot unmarshal"},
	} {
		n := strings.Count(c.head, "\n") + 1
		_, bad, err := readAll(c.head+c.bad+"\n", c.f, 1)
		if err != nil || len(bad) != 1 || !strings.HasPrefix(bad[0], fmt.Sprintf("line %d: ", n)) || !strings.Contains(bad[0], c.want) {
			t.Errorf("%q: bad lines %q, error %v, want line %d and %q", c.bad, bad, err, n, c.want)
		}
		if _, _, err := readAll(c.head+c.bad+"\n", c.f, 0); !errors.Is(err, ErrTooManyBadLines) {
			t.Errorf("%q with no bad lines allowed: error %v, want ErrTooManyBadLines", c.bad, err)
		}
	}
	for _, head := range []string{"path\n", "due,time,path\n", "due,method\n", "a\"b\n"} {
		if _, _, err := readAll(head+"1,/a\n", CSV, 1); err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("header %q: error %v, want one of line 1", head, err)
		}
	}
	// The share is checked from minLinesForShare on, and a line that is too long is an error.
	good := `{"due":1,"path":"/"}` + "\n"
	if all, bad, err := readAll(strings.Repeat(good, 98)+"x\nx\n", JSONLines, 0.02); len(all) != 98 || len(bad) != 2 || err != nil {
		t.Errorf("2 bad lines of 100 with share 0.02 allowed: %d records, %d bad lines, error %v", len(all), len(bad), err)
	}
	if _, _, err := readAll(strings.Repeat(good, 97)+"x\nx\nx\n"+strings.Repeat(good, 1000), JSONLines, 0.02); !errors.Is(err, ErrTooManyBadLines) {
		t.Errorf("3 bad lines of 100 with share 0.02 allowed: error %v, want ErrTooManyBadLines", err)
	}
	if _, _, err := readAll(good+strings.Repeat("x", maxLine+1), JSONLines, 1); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("line that is too long: error %v, want one of line 2", err)
	}
}

func fuzz(f *testing.F, format Format, head string) {
	f.Fuzz(func(t *testing.T, text string) {
		all, _, _ := readAll(head+text, format, 1)
		for _, r := range all {
			if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path+r.Host+r.Method+r.Class, "\r\n ") || r.Body < 0 || r.Body > maxBody {
				t.Errorf("%q: accepted %+v", text, r)
			}
		}
	})
}

func FuzzAccessLog(f *testing.F) {
	f.Add(logLines)
	fuzz(f, AccessLog, "")
}

func FuzzCSV(f *testing.F) {
	f.Add("0.25,/a,POST,x.org,pay,12\n1,\"/b\",,,,\n")
	fuzz(f, CSV, "due,path,method,host,class,body\n")
}

func FuzzJSONLines(f *testing.F) {
	f.Add(`{"due":1,"path":"/","method":"GET","host":"x","class":"c","body":1}` + "\n" + `{"time":"2026-11-29T11:00:00Z","path":"/"}`)
	fuzz(f, JSONLines, "")
}

func newSchedule(t *testing.T, text string, f Format, o Options) *Schedule {
	t.Helper()
	s, err := NewSchedule(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil },
		func(in io.Reader) *Reader { return NewReader(in, f, 0, nil) }, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func readSchedule(s *Schedule) (got []string, err error) {
	for {
		r, err := s.Next()
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		got = append(got, fmt.Sprintf("%s@%v", r.Path, r.Due))
	}
}

// Guards against a wrong order, spacing, speed, range or repetition of records.
func TestSchedule(t *testing.T) {
	line := func(second int, path string) string {
		return fmt.Sprintf("h - - [29/Nov/2026:11:00:%02d +0700] \"GET %s HTTP/1.1\" 200 1\n", second, path)
	}
	logText := line(0, "/a") + line(0, "/b") + line(2, "/d") + line(1, "/c") + line(2, "/e") + line(2, "/f") + line(2, "/g")
	outOfOrder := "due,path\n3,/c\n1,/a\n2,/b\n20,/z\n4,/late\n"
	for _, c := range []struct {
		name string
		f    Format
		text string
		o    Options
		want string
		late int
	}{
		{"records of a second are spaced evenly", AccessLog, logText, Options{}, "/a@250ms /b@750ms /c@1.5s /d@2.125s /e@2.375s /f@2.625s /g@2.875s", 0},
		{"double speed", AccessLog, logText, Options{Speed: 2}, "/a@125ms /b@375ms /c@750ms /d@1.0625s /e@1.1875s /f@1.3125s /g@1.4375s", 0},
		{"range", AccessLog, logText, Options{From: 500 * ms, To: 2500 * ms}, "/b@250ms /c@1s /d@1.625s /e@1.875s", 0},
		{"looped", AccessLog, line(0, "/a") + line(1, "/b"), Options{Loops: 3}, "/a@500ms /b@1.5s /a@2.5s /b@3.5s /a@4.5s /b@5.5s", 0},
		{"range and looped", AccessLog, line(0, "/a") + line(1, "/b"), Options{Loops: 2, From: time.Second, To: 5 * time.Second}, "/b@500ms /b@4.5s", 0},
		{"out of order", CSV, outOfOrder, Options{}, "/a@1s /b@2s /c@3s /late@4s /z@20s", 0},
		{"far out of order", CSV, "due,path\n1,/a\n100,/z\n200,/zz\n5,/late\n", Options{}, "/a@1s /z@1m40s /late@1m40s /zz@3m20s", 1},
	} {
		s := newSchedule(t, c.text, c.f, c.o)
		got, err := readSchedule(s)
		if all := strings.Join(got, " "); all != c.want || err != nil || s.LateRecords() != c.late {
			t.Errorf("%s: got %s, error %v, %d late records\nwant %s, %d late records", c.name, all, err, s.LateRecords(), c.want, c.late)
		}
	}
	if _, err := readSchedule(newSchedule(t, "due,path\n", CSV, Options{Loops: 5})); err == nil || !strings.Contains(err.Error(), "no request") {
		t.Errorf("empty trace: error %v, want no request", err)
	}
	if _, err := readSchedule(newSchedule(t, outOfOrder+"x\n", CSV, Options{})); !errors.Is(err, ErrTooManyBadLines) {
		t.Errorf("trace with a bad line: error %v, want ErrTooManyBadLines", err)
	}
	for _, o := range []Options{{Speed: -1}, {From: time.Second, To: time.Second}, {Loops: -1}, {From: -1}} {
		if _, err := NewSchedule(nil, nil, o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// generatedTrace is a trace of n lines that are generated while it is read.
type generatedTrace struct {
	n, i int
	rest []byte
}

func (g *generatedTrace) Read(p []byte) (int, error) {
	for len(g.rest) == 0 {
		if g.i == g.n {
			return 0, io.EOF
		}
		g.rest = fmt.Appendf(g.rest[:0], "{\"due\":%d.%03d,\"path\":\"/receipt/%d\"}\n", g.i/1000, g.i%1000, g.i)
		g.i++
	}
	k := copy(p, g.rest)
	g.rest = g.rest[k:]
	return k, nil
}

// Guards against memory that grows with the length of a trace.
func TestLongTraceUsesConstantMemory(t *testing.T) {
	const lines = 120000
	s, err := NewSchedule(func() (io.ReadCloser, error) { return io.NopCloser(&generatedTrace{n: lines}), nil },
		func(in io.Reader) *Reader { return NewReader(in, JSONLines, 0, nil) }, Options{})
	if err != nil {
		t.Fatal(err)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var early, late uint64
	for i := range lines {
		r, err := s.Next()
		if err != nil || r.Path != fmt.Sprintf("/receipt/%d", i) {
			t.Fatalf("record %d: %+v, %v", i, r, err)
		}
		switch i {
		case lines / 3:
			early = heap()
		case lines * 9 / 10:
			late = heap()
		}
	}
	if late > early+4<<20 {
		t.Errorf("heap of %d bytes after 9/10 of the trace, %d after 1/3, want at most 4 MiB more", late, early)
	}
}
