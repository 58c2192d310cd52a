// Command perf compares the latency, processor time and memory use of gorselink,
// by default on one core, with those of no proxy and of the standard library's
// httputil.ReverseProxy over the same nodes. It produces the figures of
// docs/performance.md; scripts/performance runs it.
//
// Rounds alternate (none, reverse, gorselink, none, ...), so that other load on
// the machine affects all subjects equally. The report shows the median and range
// of the rounds; added latency is the median of the differences within a round.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"gorselink/internal/acceptloop"
	"gorselink/internal/load"
)

type options struct {
	Gorselink string        `required:"" help:"Path of the gorselink binary to measure."`
	Rounds    int           `default:"5"`
	For       time.Duration `default:"5s" help:"Duration of each measurement."`
	Rate      int           `default:"2000" help:"Requests per second for latency and processor time."`
	Nodes     int           `default:"24"`
	Body      int           `default:"256" help:"Response body size in bytes."`
	Flood     int           `default:"40000" help:"Requests per second for saturation; more than the proxies can serve."`
	Conns     int           `default:"64" help:"Number of client connections."`
	Cores     int           `default:"1" help:"Number of cores for each proxy."`
	Role      string        `hidden:"" help:"Role of this process: node or reverse."`
	Targets   []string      `hidden:""`
}

func main() {
	var o options
	kong.Parse(&o)
	var err error
	switch o.Role {
	case "node":
		err = serveNodes(o)
	case "reverse":
		err = serveReverse(o)
	default:
		err = o.measure(context.Background())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "perf:", err)
		os.Exit(1)
	}
}

// exitWithParent exits when the parent closes standard input.
func exitWithParent() {
	io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// serveNodes runs all nodes in this process. It prints their addresses on one line.
func serveNodes(o options) error {
	body := bytes.Repeat([]byte("x"), o.Body)
	var addrs []string
	for range o.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addrs = append(addrs, l.Addr().String())
		go http.Serve(acceptloop.Wrap(l), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write(body) }))
	}
	fmt.Println(strings.Join(addrs, ","))
	exitWithParent()
	return nil
}

// serveReverse runs the reference proxy: httputil.ReverseProxy in a usual
// configuration, with a random node for each request. It prints its address.
func serveReverse(o options) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	go http.Serve(acceptloop.Wrap(l), &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme = "http"
			r.Out.URL.Host = o.Targets[rand.IntN(len(o.Targets))]
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	})
	exitWithParent()
	return nil
}

// process is a child process: nodes or a proxy.
type process struct {
	cmd  *exec.Cmd
	in   io.Closer
	addr string
}

// startProcess starts a child process and reads its address from the first line of its output.
func startProcess(env []string, name string, args ...string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.Env, cmd.Stderr = append(os.Environ(), env...), os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	return &process{cmd, in, strings.TrimSpace(line)}, err
}

func (p *process) stop() {
	if p == nil {
		return
	}
	p.in.Close()
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// startGorselink starts gorselink as a proxy to the nodes and waits until it is ready.
func (o options) startGorselink(dir string, targets []string) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	file := filepath.Join(dir, "gorselink.toml")
	text := fmt.Sprintf("[process]\ncores = %d\nmemory = \"64 MiB\"\n[listeners.public]\naddress = %q\n[pools.a]\nnodes = [\"%s\"]\n[[routes]]\npool = \"a\"\n", o.Cores, addr, strings.Join(targets, `", "`))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(o.Gorselink, "serve", "--config", file)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, io.NopCloser(nil), addr}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p, nil
			}
		}
	}
	p.stop()
	return nil, fmt.Errorf("gorselink was not ready within 10 s; its log: %s", stderr.String())
}

// usage returns the processor time and the resident memory in MB of a process (proc(5)).
func (p *process) usage() (cpu time.Duration, rss float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	if len(f) < 22 {
		return 0, 0, errors.New("/proc/PID/stat: fewer than 22 fields after the command name")
	}
	var ticks, pages int64
	for _, i := range []int{11, 12} { // utime and stime
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	if pages, err = strconv.ParseInt(f[21], 10, 64); err != nil {
		return 0, 0, err
	}
	return time.Duration(ticks) * 10 * time.Millisecond, float64(pages) * float64(os.Getpagesize()) / 1e6, nil
}

// metricKey identifies the samples of a metric for one subject.
type metricKey struct{ subject, metric string }

// measure runs all rounds of all subjects and writes the report.
func (o options) measure(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "gorselink-perf-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	node, err := startProcess(nil, self, "--gorselink=x", "--role=node", fmt.Sprintf("--nodes=%d", o.Nodes), fmt.Sprintf("--body=%d", o.Body))
	if err != nil {
		return err
	}
	defer node.stop()
	targets := strings.Split(node.addr, ",")
	reverse, err := startProcess([]string{fmt.Sprintf("GOMAXPROCS=%d", o.Cores)}, self, "--gorselink=x", "--role=reverse", "--targets="+node.addr)
	if err != nil {
		return err
	}
	defer reverse.stop()
	gorselink, err := o.startGorselink(dir, targets)
	if err != nil {
		return err
	}
	defer gorselink.stop()
	subjects := []struct {
		name string
		p    *process
		addr string
	}{{"none", nil, targets[0]}, {"reverse", reverse, reverse.addr}, {"gorselink", gorselink, gorselink.addr}}
	samples := map[metricKey][]float64{}
	record := func(subject, metric string, v float64) {
		samples[metricKey{subject, metric}] = append(samples[metricKey{subject, metric}], v)
	}
	floor, err := load.MeasureFloor(ctx)
	if err != nil {
		return err
	}
	// The first round is a warm-up and is not recorded.
	for round := range o.Rounds + 1 {
		for _, s := range subjects {
			var before time.Duration
			if s.p != nil {
				if before, _, err = s.p.usage(); err != nil {
					return err
				}
			}
			report, err := o.runLoad(dir, s.addr, o.Rate, "--budget", "2s")
			if err != nil {
				return fmt.Errorf("%s: %w", s.name, err)
			}
			if round == 0 {
				continue
			}
			if report.Outcomes["ok"] != report.Requests {
				return fmt.Errorf("%s: not all requests succeeded: outcomes %v", s.name, report.Outcomes)
			}
			for _, reason := range report.Verdict.Void {
				fmt.Fprintf(os.Stderr, "round %d, %s: void measurement: %s\n", round, s.name, reason)
			}
			record(s.name, "p50", report.Latency.P50*1000)
			record(s.name, "p99", report.Latency.P99*1000)
			record(s.name, "p99.9", report.Latency.P999*1000)
			record(s.name, "schedule error p99", report.GeneratorDelay.P99*1000)
			if s.p != nil {
				after, rss, err := s.p.usage()
				if err != nil {
					return err
				}
				record(s.name, "cpu", float64((after-before).Microseconds())/float64(report.Requests))
				record(s.name, "rss", rss)
			}
		}
	}
	for round := range o.Rounds + 1 {
		for _, s := range subjects[1:] {
			before, _, err := s.p.usage()
			if err != nil {
				return err
			}
			// Without client timeouts, all connections are busy all the time.
			report, err := o.runLoad(dir, s.addr, o.Flood, "--budget", "0", "--grace", "0s")
			if err != nil {
				return fmt.Errorf("%s: %w", s.name, err)
			}
			if round == 0 {
				continue
			}
			after, rss, err := s.p.usage()
			if err != nil {
				return err
			}
			record(s.name, "saturation throughput", float64(report.Outcomes["ok"])/report.Span)
			record(s.name, "saturation cpu", (after-before).Seconds()/report.Span)
			record(s.name, "saturation rss", rss)
			for outcome, n := range report.Outcomes {
				if outcome != "ok" && outcome != "timed_out" && outcome != "unanswered" {
					fmt.Fprintf(os.Stderr, "saturation, round %d, %s: %d requests ended as %s\n", round, s.name, n, outcome)
				}
			}
		}
	}
	return o.writeReport(os.Stdout, samples, floor)
}

// runLoad runs gorselink load once in its own process and returns its report.
func (o options) runLoad(dir, addr string, rate int, more ...string) (*load.Report, error) {
	file := filepath.Join(dir, "report.json")
	args := []string{"load", "--target", addr, "--shape", fmt.Sprintf("hold %d %v", rate, o.For), "--path", "/receipt/{rand:1-100000}",
		"--conns", strconv.Itoa(o.Conns), "--quiet", "--json", file}
	cmd := exec.Command(o.Gorselink, append(args, more...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 3) { // 3: the run is void; the caller prints the reasons
		return nil, fmt.Errorf("%w\n%s", err, out.String())
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return load.ReadReport(f)
}

// writeReport writes the table with one row per metric and one column per subject.
func (o options) writeReport(w io.Writer, samples map[metricKey][]float64, floor *load.Floor) error {
	fmt.Fprintf(w, "%d rounds of %v, alternating; %d nodes in one process, responses of %d bytes, %d connections; proxies on %d cores\n", o.Rounds, o.For, o.Nodes, o.Body, o.Conns, o.Cores)
	fmt.Fprintf(w, "latency floor of the load generator, an echo in its own process: p50 %.0f, p99 %.0f us\n\n", floor.P50*1000, floor.P99*1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tnone\treverse\tgorselink\tgorselink/reverse\t")
	row := func(title string, of func(subject string) []float64) {
		fmt.Fprintf(t, "%s\t", title)
		for _, s := range []string{"none", "reverse", "gorselink"} {
			fmt.Fprintf(t, "%s\t", formatRange(of(s)))
		}
		a, b := of("gorselink"), of("reverse")
		var ratios []float64
		for i := range min(len(a), len(b)) {
			ratios = append(ratios, a[i]/b[i])
		}
		if len(ratios) > 0 {
			slices.Sort(ratios)
			fmt.Fprintf(t, "%.2f (%.2f to %.2f)\t\n", ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
		} else {
			fmt.Fprintln(t, "\t")
		}
	}
	direct := func(metric string) func(string) []float64 {
		return func(s string) []float64 { return samples[metricKey{s, metric}] }
	}
	added := func(metric string) func(string) []float64 {
		return func(s string) (d []float64) {
			base := samples[metricKey{"none", metric}]
			for i, v := range samples[metricKey{s, metric}] {
				if s != "none" {
					d = append(d, v-base[i])
				}
			}
			return d
		}
	}
	row(fmt.Sprintf("processor time per request at %d/s, us", o.Rate), direct("cpu"))
	for _, p := range []string{"p50", "p99", "p99.9"} {
		row(p+" since the scheduled time, us", direct(p))
		row("added "+p+", us", added(p))
	}
	row("schedule error of the load generator, p99, us", direct("schedule error p99"))
	row("resident memory, MB", direct("rss"))
	row("served at saturation, 1/s", direct("saturation throughput"))
	row("cores used at saturation", direct("saturation cpu"))
	row("resident memory at saturation, MB", direct("saturation rss"))
	return t.Flush()
}

// formatRange formats the median of values and their range.
func formatRange(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	values = slices.Sorted(slices.Values(values))
	format := "%.0f (%.0f to %.0f)"
	if values[len(values)/2] < 20 {
		format = "%.2f (%.2f to %.2f)"
	}
	return fmt.Sprintf(format, values[len(values)/2], values[0], values[len(values)-1])
}
