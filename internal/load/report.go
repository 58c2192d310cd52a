package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is a Result as it is written and read again: figures for people, and
// the histograms whole, so that runs can be compared and merged later.
type Report struct {
	Schema         int              `json:"schema"`
	Span           float64          `json:"span_s"`
	Requests       int64            `json:"requests"`
	Offered        float64          `json:"offered_per_s"`
	Served         float64          `json:"served_per_s"`
	Outcomes       map[string]int64 `json:"outcomes"`
	First          map[string]int64 `json:"first_tries"`
	Again          map[string]int64 `json:"later_tries"`
	Latency        Times            `json:"latency"`  // from when a request was due
	Service        Times            `json:"service"`  // of the first try, from its sending
	Retries        Times            `json:"retries"`  // of the later tries
	GeneratorDelay Times            `json:"schedule"` // the generator's own error
	Held           Times            `json:"held"`     // the same with what it has held up behind it
	Waited         Times            `json:"waited"`   // for a connection
	Streams        []StreamReport   `json:"streams"`
	Seconds        []SecondReport   `json:"seconds"`
	Opened         int64            `json:"connections_opened"`
	Queued         int64            `json:"waited_for_a_connection"`
	Conns          int              `json:"connections_at_most"`
	CPU            float64          `json:"cpu_s"`
	Cores          int              `json:"cores"`
	Busy           float64          `json:"machine_busy_s"` // of all processes
	Machine        float64          `json:"machine_s"`
	Bytes          int64            `json:"answer_bytes"`
	Floor          *Floor           `json:"floor"`
	Verdict        Verdict          `json:"verdict"`
	PlanError      string           `json:"broken_off"` // why the plan did not come to its end; empty if it did
}

// schema is the version of Report's form. A later one may add keys.
const schema = 1

// StreamReport is the part of one stream.
type StreamReport struct {
	Name     string           `json:"name"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Times            `json:"latency"`
}

// SecondReport is what became of the requests that were due in one second.
type SecondReport struct {
	Due      int64            `json:"due"`
	Served   int64            `json:"served"` // in this second, whenever due
	Outcomes map[string]int64 `json:"outcomes"`
	P50      float64          `json:"p50_ms"`
	P99      float64          `json:"p99_ms"`
	Max      float64          `json:"max_ms"`
	Buckets  Sparse           `json:"buckets"` // of the latency in µs, by their lowest value
}

// Times are a histogram's figures in milliseconds, and the histogram itself in
// HdrHistogram's V2 compressed form, base64, in microseconds.
type Times struct {
	Count     int64   `json:"count"`
	Mean      float64 `json:"mean_ms"`
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p99_9_ms"`
	P9999     float64 `json:"p99_99_ms"`
	Max       float64 `json:"max_ms"`
	Histogram string  `json:"histogram"`
}

func timesOf(h *hdrhistogram.Histogram) (Times, error) {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return Times{}, fmt.Errorf("histogram: %w", err)
	}
	return Times{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), P9999: at(99.99),
		Max: float64(h.Max()) / 1000, Histogram: string(text),
	}, nil
}

// Decode returns the histogram.
func (t *Times) Decode() (*hdrhistogram.Histogram, error) {
	h, err := hdrhistogram.Decode([]byte(t.Histogram))
	if err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	return h, nil
}

func named(counts [Outcomes]int64) map[string]int64 {
	m := map[string]int64{}
	for o, n := range counts {
		if n > 0 {
			m[Outcome(o).String()] = n
		}
	}
	return m
}

// Report returns r as it is written.
func (r *Result) Report() (*Report, error) {
	rep := &Report{
		Schema: schema, Span: r.Span.Seconds(), Requests: r.Requests(),
		Outcomes: named(r.Outcomes), First: named(r.First), Again: named(r.Again),
		Opened: r.Opened, Queued: r.Queued, Conns: r.Conns, CPU: r.CPU.Seconds(), Cores: r.Cores, Busy: r.Machine.busy, Machine: r.Machine.all, Bytes: r.Bytes,
		Floor: r.Floor, Verdict: r.Verdict(),
	}
	if r.Err != nil {
		rep.PlanError = r.Err.Error()
	}
	if rep.Span > 0 {
		rep.Offered = float64(rep.Requests) / rep.Span
		rep.Served = float64(r.Outcomes[OK]) / rep.Span
	}
	to, from := rep.times(), r.histograms()
	for i := range to {
		var err error
		if *to[i], err = timesOf(*from[i]); err != nil {
			return nil, err
		}
	}
	for i := range r.Streams {
		s := &r.Streams[i]
		t, err := timesOf(s.Latency)
		if err != nil {
			return nil, err
		}
		rep.Streams = append(rep.Streams, StreamReport{Name: s.Name, Outcomes: named(s.Outcomes), Latency: t})
	}
	for i := range r.Seconds {
		s := &r.Seconds[i]
		h := s.Latency.Histogram()
		rep.Seconds = append(rep.Seconds, SecondReport{
			Due: s.Due, Served: s.Ended, Outcomes: named(s.Outcomes),
			P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000, Max: float64(h.Max()) / 1000, Buckets: s.Latency,
		})
	}
	return rep, nil
}

// histograms are those of the whole run, in the order of times.
func (r *Result) histograms() []**hdrhistogram.Histogram {
	return []**hdrhistogram.Histogram{&r.Latency, &r.Service, &r.Retries, &r.Schedule, &r.Held, &r.Waited}
}

func (rep *Report) times() []*Times {
	return []*Times{&rep.Latency, &rep.Service, &rep.Retries, &rep.GeneratorDelay, &rep.Held, &rep.Waited}
}

// Result is the Result that the report was made of, but for its Verdict, which
// can be made again.
func (rep *Report) Result() (*Result, error) {
	r := newResult(nil)
	to, from := r.histograms(), rep.times()
	for i := range to {
		var err error
		if *to[i], err = from[i].Decode(); err != nil {
			return nil, err
		}
	}
	for i := range rep.Streams {
		s := &rep.Streams[i]
		h, err := s.Latency.Decode()
		if err != nil {
			return nil, fmt.Errorf("stream %s: %w", s.Name, err)
		}
		r.Streams = append(r.Streams, StreamResult{Name: s.Name, Latency: h, Outcomes: counted(s.Outcomes)})
	}
	for i := range rep.Seconds {
		s := &rep.Seconds[i]
		r.Seconds = append(r.Seconds, Second{Due: s.Due, Ended: s.Served, Outcomes: counted(s.Outcomes), Latency: s.Buckets})
	}
	r.Outcomes, r.First, r.Again = counted(rep.Outcomes), counted(rep.First), counted(rep.Again)
	r.Span, r.CPU = seconds(rep.Span), seconds(rep.CPU)
	r.Opened, r.Queued, r.Conns, r.Cores, r.Bytes, r.Floor = rep.Opened, rep.Queued, rep.Conns, rep.Cores, rep.Bytes, rep.Floor
	r.Machine = machine{rep.Busy, rep.Machine}
	if rep.PlanError != "" {
		r.Err = errors.New(rep.PlanError)
	}
	return r, nil
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x * float64(time.Second))) }

// counted is the inverse of named.
func counted(m map[string]int64) (counts [Outcomes]int64) {
	for o := range counts {
		counts[o] = m[Outcome(o).String()]
	}
	return counts
}

// WriteJSON writes the report.
func (rep *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(rep)
}

// ReadReport reads a report that WriteJSON has written.
func ReadReport(r io.Reader) (*Report, error) {
	var rep Report
	if err := json.NewDecoder(r).Decode(&rep); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if rep.Schema != schema {
		return nil, fmt.Errorf("report: schema %d, want %d", rep.Schema, schema)
	}
	for _, t := range rep.times() {
		h, err := t.Decode()
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		if h.TotalCount() != t.Count {
			return nil, fmt.Errorf("report: a histogram of %d, and its count says %d", h.TotalCount(), t.Count)
		}
	}
	return &rep, nil
}

// WriteText writes the report for people.
func (rep *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests in %.1f s: %.1f a second were due, %.1f were served\n", rep.Requests, rep.Span, rep.Offered, rep.Served)
	for _, c := range []struct {
		what string
		n    map[string]int64
	}{{"requests", rep.Outcomes}, {"first tries", rep.First}, {"later tries", rep.Again}} {
		if len(c.n) == 0 {
			continue
		}
		fmt.Fprintf(&out, "  %s:", c.what)
		for _, name := range outcomeNames {
			if n := c.n[name]; n > 0 {
				fmt.Fprintf(&out, " %s %d", name, n)
			}
		}
		out.WriteString("\n")
	}
	t := tabwriter.NewWriter(&out, 8, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "ms\tp50\tp90\tp99\tp99.9\tp99.99\tmax\t")
	row := func(name string, x *Times) {
		if x.Count > 0 {
			fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, x.P50, x.P90, x.P99, x.P999, x.P9999, x.Max)
		}
	}
	row("since due", &rep.Latency)
	if len(rep.Streams) > 1 {
		for i := range rep.Streams {
			row("  "+rep.Streams[i].Name, &rep.Streams[i].Latency)
		}
	}
	row("service", &rep.Service)
	row("retries", &rep.Retries)
	if rep.Queued > 0 {
		row("waited", &rep.Waited)
	}
	row("own error", &rep.GeneratorDelay)
	t.Flush()
	fmt.Fprintf(&out, "%d connections opened, %d requests waited for one; %.2f s of processor time, %.0f%% of %d cores\n",
		rep.Opened, rep.Queued, rep.CPU, 100*rep.CPU/max(rep.Span*float64(rep.Cores), 1e-9), rep.Cores)
	if f := rep.Floor; f != nil {
		fmt.Fprintf(&out, "an echo in this process, at the begin: p50 %.3f, p90 %.3f, p99 %.3f, p99.9 %.3f ms\n", f.P50, f.P90, f.P99, f.P999)
	}
	for _, note := range rep.Verdict.Notes {
		fmt.Fprintf(&out, "NOTE: %s\n", note)
	}
	for _, why := range rep.Verdict.Void {
		fmt.Fprintf(&out, "WARNING: the generator was the bottleneck: %s\n", why)
	}
	if rep.PlanError != "" {
		fmt.Fprintf(&out, "WARNING: the plan broke off: %s\n", rep.PlanError)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// perHalf is how many lines a percentile file has for each halving of what is
// left to 100%.
const perHalf = 5

// WriteHgrm writes the percentile distribution of the latency in the .hgrm form
// that HdrHistogram's plotter reads, in milliseconds.
func (rep *Report) WriteHgrm(w io.Writer) error {
	h, err := rep.Latency.Decode()
	if err != nil {
		return err
	}
	_, err = h.PercentilesPrint(w, perHalf, 1000)
	return err
}
