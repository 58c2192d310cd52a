package load

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// made is a Result of n requests that took d each, sent late by the generator.
func made(n int, d, late time.Duration) *Result {
	rec := newRecorder([]string{"a"})
	for i := range n {
		due := time.Duration(i) * ms
		rec.shards[0].first(d, OK)
		rec.shards[0].end(0, due, due+d, OK, toll{own: late, held: late})
	}
	r := rec.result()
	r.Span, r.Cores, r.CPU = time.Duration(n)*ms, 2, time.Millisecond
	return r
}

// TestBottleneckIsOwnedUp: when the generator's own error is a part of what it
// reports at a percentile the report says so, and only then.
func TestBottleneckIsOwnedUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		d, late time.Duration
		floor   *Floor
		want    string
	}{
		{"in time", 10 * ms, 400 * time.Microsecond, nil, ""},
		{"late", 10 * ms, 600 * time.Microsecond, nil, "p50: 0.600 of 10.0"},
		{"late beside a slow target", time.Second, 10 * ms, nil, ""},
		{"a quick target, within what the machine costs", 250 * time.Microsecond, 23 * time.Microsecond, &Floor{0.1, 0.1, 0.1, 0.1}, ""},
		{"a quick target, and more than that", 250 * time.Microsecond, 123 * time.Microsecond, &Floor{0.1, 0.1, 0.1, 0.1}, "p50: 0.123 of 0.250"},
	} {
		r := made(1000, c.d, c.late)
		r.Floor = c.floor
		why := strings.Join(r.Verdict().Void, "; ")
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
	if v := newResult(nil).Verdict(); v.Void != nil || v.Notes != nil {
		t.Errorf("a run of nothing: %+v", v)
	}
}

// TestVerdictNamesTheCause: an exhausted processor, a late dispatcher and too
// few connections are three sentences, and the last one is no fault.
func TestVerdictNamesTheCause(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(r *Result)
		void, note string
	}{
		{"exhausted", func(r *Result) { r.CPU = time.Duration(0.97 * 2 * float64(r.Span)) }, "the processor was exhausted: the generator used", ""},
		{"exhausted by others", func(r *Result) { r.Machine = machine{3.9, 4} }, "the processor was exhausted: all processes", ""},
		{"late", func(r *Result) {}, "the dispatcher was late", ""},
		{"exhausted and in time", func(r *Result) { r.Held, r.CPU = newHist(), 2*r.Span }, "", "hardly any processor time"},
		{"too few connections", func(r *Result) { r.Held, r.Waited, r.Queued, r.Conns = newHist(), r.Latency, 900, 7 }, "", "too few connections for this target, which is no fault of the generator: all 7 were in use, and 900 requests"},
		{"a few late ones", func(r *Result) {
			r.Held = newHist()
			r.Held.RecordValues(1, 995)
			r.Held.RecordValues(9000, 5)
		}, "", "fewer than 10 requests lie beyond these percentiles, and the generator's own error is part of them: p99.9: 9"},
	} {
		r := made(1000, 10*ms, 5*ms)
		c.change(r)
		v := r.Verdict()
		void, note := strings.Join(v.Void, "; "), strings.Join(v.Notes, "; ")
		if (void == "") != (c.void == "") || !strings.HasPrefix(void, c.void) || (note == "") != (c.note == "") || !strings.HasPrefix(note, c.note) {
			t.Errorf("%s: void %q, notes %q", c.name, void, note)
		}
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
	// What workers hand to each other is the whole result.
	res, err := again.Result()
	if err != nil {
		t.Fatal(err)
	}
	for i, h := range res.histograms() {
		if !(*h).Equals(*r.histograms()[i]) {
			t.Errorf("histogram %d has changed", i)
		}
	}
	if res.Outcomes != r.Outcomes || res.First != r.First || res.Span != r.Span || res.CPU != r.CPU || fmt.Sprint(res.Seconds) != fmt.Sprint(r.Seconds) || !res.Streams[0].Latency.Equals(r.Streams[0].Latency) {
		t.Errorf("%+v", res)
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
