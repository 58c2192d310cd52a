package load

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// uniformResult is the Result of n requests that took d each and that the generator
// sent late.
func uniformResult(n int, d, late time.Duration) *Result {
	rec := newRecorder([]string{"a"})
	for i := range n {
		due := time.Duration(i) * ms
		rec.shards[0].recordFirstAttempt(d, OK)
		rec.shards[0].recordRequest(0, due, due+d, OK, delays{generator: late, induced: late})
	}
	r := rec.result()
	r.Span, r.Cores, r.CPU = time.Duration(n)*ms, 2, time.Millisecond
	return r
}

// The report has a warning exactly when the generator's delay exceeds its limit at a
// percentile.
func TestReportWarnsOfGeneratorBottleneck(t *testing.T) {
	for _, c := range []struct {
		name    string
		d, late time.Duration
		floor   *Floor
		want    string
	}{
		{"on time", 10 * ms, 400 * time.Microsecond, nil, ""},
		{"late", 10 * ms, 600 * time.Microsecond, nil, "p50: 0.600 of 10.0"},
		{"late with a slow target", time.Second, 10 * ms, nil, ""},
		{"a fast target, delay within the floor", 250 * time.Microsecond, 23 * time.Microsecond, &Floor{0.1, 0.1, 0.1, 0.1}, ""},
		{"a fast target, delay over the floor", 250 * time.Microsecond, 123 * time.Microsecond, &Floor{0.1, 0.1, 0.1, 0.1}, "p50: 0.123 of 0.250"},
	} {
		r := uniformResult(1000, c.d, c.late)
		r.Floor = c.floor
		reason := strings.Join(r.Verdict().Void, "; ")
		if (reason == "") != (c.want == "") || !strings.Contains(reason, c.want) {
			t.Errorf("%s: %q, want %q", c.name, reason, c.want)
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
		t.Errorf("empty run: %+v", v)
	}
}

// An exhausted CPU, a late dispatcher and too few connections are distinguished, and
// too few connections do not make the run void.
func TestVerdictCause(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(r *Result)
		void, note string
	}{
		{"exhausted", func(r *Result) { r.CPU = time.Duration(0.97 * 2 * float64(r.Span)) }, "CPU exhausted: the generator used", ""},
		{"exhausted by others", func(r *Result) { r.MachineCPU = machineCPU{3.9, 4} }, "CPU exhausted: all processes", ""},
		{"late", func(r *Result) {}, "the dispatcher was late", ""},
		{"exhausted and on time", func(r *Result) { r.InducedDelay, r.CPU = newHistogram(), 2*r.Span }, "", "almost no CPU time was left"},
		{"too few connections", func(r *Result) { r.InducedDelay, r.ConnWait, r.Queued, r.Conns = newHistogram(), r.Latency, 900, 7 }, "", "too few connections for this target, which is not a generator delay: all 7 were in use and 900 requests"},
		{"a few late requests", func(r *Result) {
			r.InducedDelay = newHistogram()
			r.InducedDelay.RecordValues(1, 995)
			r.InducedDelay.RecordValues(9000, 5)
		}, "", "fewer than 10 requests lie beyond these percentiles, and the generator's delay exceeds its limit there: p99.9: 9"},
	} {
		r := uniformResult(1000, 10*ms, 5*ms)
		c.change(r)
		v := r.Verdict()
		void, note := strings.Join(v.Void, "; "), strings.Join(v.Notes, "; ")
		if (void == "") != (c.void == "") || !strings.HasPrefix(void, c.void) || (note == "") != (c.note == "") || !strings.HasPrefix(note, c.note) {
			t.Errorf("%s: void %q, notes %q", c.name, void, note)
		}
	}
}

// A report can be read back completely; a corrupt one is an error.
func TestReportRoundTrip(t *testing.T) {
	r := uniformResult(2500, 7*ms, 0)
	r.Outcomes[Unanswered]++
	rep, err := r.Report()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := rep.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	restored, err := ReadReport(bytes.NewReader(text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	h, err := restored.Latency.Decode()
	if err != nil || !h.Equals(r.Latency) {
		t.Errorf("the histogram differs, error %v", err)
	}
	// Workers send their results as reports, so nothing may be lost.
	res, err := restored.Result()
	if err != nil {
		t.Fatal(err)
	}
	for i, h := range res.histograms() {
		if !(*h).Equals(*r.histograms()[i]) {
			t.Errorf("histogram %d differs", i)
		}
	}
	if res.Outcomes != r.Outcomes || res.FirstAttempts != r.FirstAttempts || res.Span != r.Span || res.CPU != r.CPU || fmt.Sprint(res.Seconds) != fmt.Sprint(r.Seconds) || !res.Streams[0].Latency.Equals(r.Streams[0].Latency) {
		t.Errorf("%+v", res)
	}
	if restored.Requests != 2501 || restored.Outcomes["ok"] != 2500 || restored.Outcomes["unanswered"] != 1 || len(restored.Seconds) != 3 || restored.Seconds[0].Due != 1000 || restored.Latency.P50 < 6.9 || restored.Latency.P50 > 7.1 {
		t.Errorf("%+v", restored)
	}
	for _, change := range [][2]string{{`"schema": 1`, `"schema": 2`}, {`"count": 2500`, `"count": 2499`}, {`"histogram": "`, `"histogram": "x`}, {"{", "["}} {
		broken := strings.Replace(text.String(), change[0], change[1], 1)
		if broken == text.String() {
			t.Fatalf("%q is not in the report", change[0])
		}
		if _, err := ReadReport(strings.NewReader(broken)); err == nil {
			t.Errorf("%q in place of %q was accepted", change[1], change[0])
		}
	}
	var hgrm bytes.Buffer
	if err := rep.WriteHgrm(&hgrm); err != nil || !strings.Contains(hgrm.String(), "Percentile") || !strings.Contains(hgrm.String(), "Total count    =         2500") {
		t.Errorf("%v\n%s", err, hgrm.String())
	}
}

// The text report has the main figures and omits rows without values.
func TestTextReport(t *testing.T) {
	rep, err := uniformResult(100, 5*ms, 0).Report()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := rep.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"100 requests in 0.1 s", "requests: ok 100\n", "p99.9", "latency", "generator delay"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	for _, unwanted := range []string{"retries", "connection wait", "failed"} {
		if strings.Contains(out.String(), unwanted) {
			t.Errorf("unexpected %q in\n%s", unwanted, out.String())
		}
	}
}
