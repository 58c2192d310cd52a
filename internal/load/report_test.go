package load

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// made is a Result of n requests that took d each, sent late by the generator.
func made(n int, d, late time.Duration) *Result {
	rec := newRecorder([]string{"a"})
	for i := range n {
		due := time.Duration(i) * ms
		rec.shards[0].first(late, d, OK)
		rec.shards[0].end(0, due, due+d, OK)
	}
	r := rec.result()
	r.Span, r.Cores, r.CPU = time.Duration(n)*ms, 2, time.Millisecond
	return r
}

// TestBottleneckIsOwnedUp: when the generator itself was late or had no
// processor left the report says so, and only then.
func TestBottleneckIsOwnedUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		d, late time.Duration
		cpu     float64 // of what there is
		want    string
	}{
		{"in time", 10 * ms, 400 * time.Microsecond, 0.5, ""},
		{"late", 10 * ms, 600 * time.Microsecond, 0.5, "more than 5% of the median latency, 10"},
		{"late beside a slow target", time.Second, 10 * ms, 0.5, ""},
		{"no processor left", 10 * ms, 0, 0.97, "processor time"},
	} {
		r := made(1000, c.d, c.late)
		r.CPU = time.Duration(c.cpu * 2 * float64(r.Span))
		why := strings.Join(r.Bottleneck(), "; ")
		if (why == "") != (c.want == "") || !strings.Contains(why, c.want) {
			t.Errorf("%s: %q, want %q", c.name, why, c.want)
		}
		rep, err := r.Report()
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		if err := rep.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(text.String(), "WARNING") != (c.want != "") {
			t.Errorf("%s:\n%s", c.name, text.String())
		}
	}
	if why := newResult(nil).Bottleneck(); why != nil {
		t.Errorf("a run of nothing: %q", why)
	}
}

// A report can be read again, histograms and all; a broken one is an error.
func TestReportRoundTrip(t *testing.T) {
	r := made(2500, 7*ms, 0)
	r.Outcomes[Unanswered]++
	rep, err := r.Report()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := rep.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	again, err := ReadReport(bytes.NewReader(text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	h, err := again.Latency.Decode()
	if err != nil || !h.Equals(r.Latency) {
		t.Errorf("the histogram has changed: %v", err)
	}
	if again.Requests != 2501 || again.Outcomes["ok"] != 2500 || again.Outcomes["unanswered"] != 1 || len(again.Seconds) != 3 || again.Seconds[0].Due != 1000 || again.Latency.P50 < 6.9 || again.Latency.P50 > 7.1 {
		t.Errorf("%+v", again)
	}
	for _, change := range [][2]string{{`"schema": 1`, `"schema": 2`}, {`"count": 2500`, `"count": 2499`}, {`"histogram": "`, `"histogram": "x`}, {"{", "["}} {
		broken := strings.Replace(text.String(), change[0], change[1], 1)
		if broken == text.String() {
			t.Fatalf("nothing to change: %q", change[0])
		}
		if _, err := ReadReport(strings.NewReader(broken)); err == nil {
			t.Errorf("%q for %q was taken", change[1], change[0])
		}
	}
	var hgrm bytes.Buffer
	if err := rep.WriteHgrm(&hgrm); err != nil || !strings.Contains(hgrm.String(), "Percentile") || !strings.Contains(hgrm.String(), "Total count    =         2500") {
		t.Errorf("%v\n%s", err, hgrm.String())
	}
}

// The text has what people look for, and says nothing of what did not happen.
func TestTextReport(t *testing.T) {
	rep, err := made(100, 5*ms, 0).Report()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := rep.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"100 requests in 0.1 s", "requests: ok 100\n", "p99.9", "since due", "own error"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	for _, no := range []string{"retries", "later tries", "failed"} {
		if strings.Contains(out.String(), no) {
			t.Errorf("%q in\n%s", no, out.String())
		}
	}
}
