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

// Report is the serialized form of a Result: summary figures, and the complete
// histograms, so that runs can be compared and merged later.
type Report struct {
	Schema         int              `json:"schema"`
	Span           float64          `json:"span_s"`
	Requests       int64            `json:"requests"`
	Offered        float64          `json:"offered_per_s"`
	Served         float64          `json:"served_per_s"`
	Outcomes       map[string]int64 `json:"outcomes"`
	FirstAttempts  map[string]int64 `json:"first_tries"`
	RetryOutcomes  map[string]int64 `json:"later_tries"`
	Latency        LatencySummary   `json:"latency"`  // from a request's due time to its last response
	Service        LatencySummary   `json:"service"`  // of first attempts, from the send
	Retries        LatencySummary   `json:"retries"`  // of retries, from the send
	GeneratorDelay LatencySummary   `json:"schedule"` // caused by the generator, summed over a request's attempts
	InducedDelay   LatencySummary   `json:"held"`     // GeneratorDelay plus the waits that earlier delays caused
	ConnWait       LatencySummary   `json:"waited"`   // wait for a connection, summed over a request's attempts
	Streams        []StreamReport   `json:"streams"`
	Seconds        []SecondReport   `json:"seconds"`
	Opened         int64            `json:"connections_opened"`
	Queued         int64            `json:"waited_for_a_connection"`
	Conns          int              `json:"connections_at_most"`
	CPU            float64          `json:"cpu_s"`
	Cores          int              `json:"cores"`
	MachineBusy    float64          `json:"machine_busy_s"` // CPU time of all processes
	MachineTotal   float64          `json:"machine_s"`
	Bytes          int64            `json:"answer_bytes"`
	Floor          *Floor           `json:"floor"`
	Verdict        Verdict          `json:"verdict"`
	PlanError      string           `json:"broken_off"` // why the plan ended early; empty if it did not
}

// reportSchema is the version of the report format. Adding keys keeps the version.
const reportSchema = 1

// StreamReport is the report of one stream.
type StreamReport struct {
	Name     string           `json:"name"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  LatencySummary   `json:"latency"`
}

// SecondReport is the report of the requests that were due in one second.
type SecondReport struct {
	Due      int64            `json:"due"`
	Served   int64            `json:"served"` // requests that ended OK in this second, whenever they were due
	Outcomes map[string]int64 `json:"outcomes"`
	P50      float64          `json:"p50_ms"`
	P99      float64          `json:"p99_ms"`
	Max      float64          `json:"max_ms"`
	Buckets  SparseHistogram  `json:"buckets"` // of the latency in µs, by their lowest value
}

// LatencySummary holds the percentiles of a histogram in milliseconds, and the
// histogram itself, in microseconds, in HdrHistogram's base64 V2 compressed format.
type LatencySummary struct {
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

func summarize(h *hdrhistogram.Histogram) (LatencySummary, error) {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return LatencySummary{}, fmt.Errorf("encode histogram: %w", err)
	}
	return LatencySummary{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), P9999: at(99.99),
		Max: float64(h.Max()) / 1000, Histogram: string(text),
	}, nil
}

// Decode returns the histogram.
func (t *LatencySummary) Decode() (*hdrhistogram.Histogram, error) {
	h, err := hdrhistogram.Decode([]byte(t.Histogram))
	if err != nil {
		return nil, fmt.Errorf("decode histogram: %w", err)
	}
	return h, nil
}

func countsByName(counts [numOutcomes]int64) map[string]int64 {
	m := map[string]int64{}
	for o, n := range counts {
		if n > 0 {
			m[Outcome(o).String()] = n
		}
	}
	return m
}

// Report returns the serialized form of r, with its verdict.
func (r *Result) Report() (*Report, error) {
	rep := &Report{
		Schema: reportSchema, Span: r.Span.Seconds(), Requests: r.Requests(),
		Outcomes: countsByName(r.Outcomes), FirstAttempts: countsByName(r.FirstAttempts), RetryOutcomes: countsByName(r.RetryOutcomes),
		Opened: r.Opened, Queued: r.Queued, Conns: r.Conns, CPU: r.CPU.Seconds(), Cores: r.Cores, MachineBusy: r.MachineCPU.busy, MachineTotal: r.MachineCPU.total, Bytes: r.Bytes,
		Floor: r.Floor, Verdict: r.Verdict(),
	}
	if r.PlanError != nil {
		rep.PlanError = r.PlanError.Error()
	}
	if rep.Span > 0 {
		rep.Offered = float64(rep.Requests) / rep.Span
		rep.Served = float64(r.Outcomes[OK]) / rep.Span
	}
	to, from := rep.summaries(), r.histograms()
	for i := range to {
		var err error
		if *to[i], err = summarize(*from[i]); err != nil {
			return nil, err
		}
	}
	for i := range r.Streams {
		s := &r.Streams[i]
		t, err := summarize(s.Latency)
		if err != nil {
			return nil, err
		}
		rep.Streams = append(rep.Streams, StreamReport{Name: s.Name, Outcomes: countsByName(s.Outcomes), Latency: t})
	}
	for i := range r.Seconds {
		s := &r.Seconds[i]
		h := s.Latency.Histogram()
		rep.Seconds = append(rep.Seconds, SecondReport{
			Due: s.Due, Served: s.Served, Outcomes: countsByName(s.Outcomes),
			P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000, Max: float64(h.Max()) / 1000, Buckets: s.Latency,
		})
	}
	return rep, nil
}

// histograms returns the histograms of the whole run, in the order of summaries.
func (r *Result) histograms() []**hdrhistogram.Histogram {
	return []**hdrhistogram.Histogram{&r.Latency, &r.Service, &r.Retries, &r.GeneratorDelay, &r.InducedDelay, &r.ConnWait}
}

func (rep *Report) summaries() []*LatencySummary {
	return []*LatencySummary{&rep.Latency, &rep.Service, &rep.Retries, &rep.GeneratorDelay, &rep.InducedDelay, &rep.ConnWait}
}

// Result restores the Result that the report was made from, except its verdict,
// which can be recomputed.
func (rep *Report) Result() (*Result, error) {
	r := newResult(nil)
	to, from := r.histograms(), rep.summaries()
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
		r.Streams = append(r.Streams, StreamResult{Name: s.Name, Latency: h, Outcomes: countsByOutcome(s.Outcomes)})
	}
	for i := range rep.Seconds {
		s := &rep.Seconds[i]
		r.Seconds = append(r.Seconds, SecondResult{Due: s.Due, Served: s.Served, Outcomes: countsByOutcome(s.Outcomes), Latency: s.Buckets})
	}
	r.Outcomes, r.FirstAttempts, r.RetryOutcomes = countsByOutcome(rep.Outcomes), countsByOutcome(rep.FirstAttempts), countsByOutcome(rep.RetryOutcomes)
	r.Span, r.CPU = seconds(rep.Span), seconds(rep.CPU)
	r.Opened, r.Queued, r.Conns, r.Cores, r.Bytes, r.Floor = rep.Opened, rep.Queued, rep.Conns, rep.Cores, rep.Bytes, rep.Floor
	r.MachineCPU = machineCPU{rep.MachineBusy, rep.MachineTotal}
	if rep.PlanError != "" {
		r.PlanError = errors.New(rep.PlanError)
	}
	return r, nil
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x * float64(time.Second))) }

// countsByOutcome is the inverse of countsByName.
func countsByOutcome(m map[string]int64) (counts [numOutcomes]int64) {
	for o := range counts {
		counts[o] = m[Outcome(o).String()]
	}
	return counts
}

// WriteJSON writes the report as JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(rep)
}

// ReadReport reads a report written by WriteJSON.
func ReadReport(r io.Reader) (*Report, error) {
	var rep Report
	if err := json.NewDecoder(r).Decode(&rep); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if rep.Schema != reportSchema {
		return nil, fmt.Errorf("report: schema %d, want %d", rep.Schema, reportSchema)
	}
	for _, t := range rep.summaries() {
		h, err := t.Decode()
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		if h.TotalCount() != t.Count {
			return nil, fmt.Errorf("report: histogram holds %d values, but its count is %d", h.TotalCount(), t.Count)
		}
	}
	return &rep, nil
}

// WriteText writes the report as text.
func (rep *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests in %.1f s: %.1f per second due, %.1f per second served\n", rep.Requests, rep.Span, rep.Offered, rep.Served)
	for _, c := range []struct {
		what string
		n    map[string]int64
	}{{"requests", rep.Outcomes}, {"first attempts", rep.FirstAttempts}, {"retries", rep.RetryOutcomes}} {
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
	row := func(name string, x *LatencySummary) {
		if x.Count > 0 {
			fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, x.P50, x.P90, x.P99, x.P999, x.P9999, x.Max)
		}
	}
	row("latency", &rep.Latency)
	if len(rep.Streams) > 1 {
		for i := range rep.Streams {
			row("  "+rep.Streams[i].Name, &rep.Streams[i].Latency)
		}
	}
	row("service time", &rep.Service)
	row("retries", &rep.Retries)
	if rep.Queued > 0 {
		row("connection wait", &rep.ConnWait)
	}
	row("generator delay", &rep.GeneratorDelay)
	t.Flush()
	fmt.Fprintf(&out, "%d connections opened, %d requests waited for a connection; %.2f s of CPU time, %.0f%% of %d cores\n",
		rep.Opened, rep.Queued, rep.CPU, 100*rep.CPU/max(rep.Span*float64(rep.Cores), 1e-9), rep.Cores)
	if f := rep.Floor; f != nil {
		fmt.Fprintf(&out, "latency floor (echo server in this process, before the run): p50 %.3f, p90 %.3f, p99 %.3f, p99.9 %.3f ms\n", f.P50, f.P90, f.P99, f.P999)
	}
	for _, note := range rep.Verdict.Notes {
		fmt.Fprintf(&out, "NOTE: %s\n", note)
	}
	for _, reason := range rep.Verdict.Void {
		fmt.Fprintf(&out, "WARNING: the generator was the bottleneck: %s\n", reason)
	}
	if rep.PlanError != "" {
		fmt.Fprintf(&out, "WARNING: the plan ended early: %s\n", rep.PlanError)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// percentilesPerHalving is the number of lines of a percentile file for each
// halving of the distance to 100%.
const percentilesPerHalving = 5

// WriteHgrm writes the latency percentiles in milliseconds, in the .hgrm format of
// HdrHistogram's plotter.
func (rep *Report) WriteHgrm(w io.Writer) error {
	h, err := rep.Latency.Decode()
	if err != nil {
		return err
	}
	_, err = h.PercentilesPrint(w, percentilesPerHalving, 1000)
	return err
}
