// Command perf measures what gorselink costs, on one core unless told otherwise, beside no proxy and
// beside the standard library's httputil.ReverseProxy over the same nodes. It
// makes the figures of docs/performance.md; scripts/performance runs it.
//
// Rounds alternate (none, reverse, gorselink, none, ...), so that a busy moment
// of the machine meets all alike; a figure is the median of the rounds with
// their range, an added latency the median of the differences within a round.
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
	Gorselink string        `required:"" help:"The binary that is measured."`
	Rounds    int           `default:"5"`
	For       time.Duration `default:"5s" help:"Of each stretch."`
	Rate      int           `default:"2000" help:"Requests a second where latency and processor time are measured."`
	Nodes     int           `default:"24"`
	Body      int           `default:"256" help:"Bytes of an answer."`
	Flood     int           `default:"40000" help:"Requests a second that saturate it."`
	Conns     int           `default:"64" help:"Connections of the callers."`
	Cores     int           `default:"1" help:"Of either proxy."`
	Role      string        `hidden:"" help:"What this process is: node or reverse."`
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

// untilEnd ends the process with its parent.
func untilEnd() {
	io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// serveNodes is all nodes in one process. It tells their addresses in a line.
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
	untilEnd()
	return nil
}

// serveReverse is the reference: httputil.ReverseProxy as people set it up, each
// request to a node at random.
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
	untilEnd()
	return nil
}

// process is one that is measured or measured with.
type process struct {
	cmd  *exec.Cmd
	in   io.Closer
	addr string
}

func start(env []string, name string, args ...string) (*process, error) {
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

func (p *process) end() {
	if p == nil {
		return
	}
	p.in.Close()
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// startGorselink starts the program before the nodes.
func (o options) startGorselink(dir string, targets []string) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free just now
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
	var said bytes.Buffer
	cmd.Stderr = &said
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
	p.end()
	return nil, fmt.Errorf("gorselink does not get ready: %s", said.String())
}

// used is the processor time and the resident memory of a process (proc(5)).
func (p *process) used() (cpu time.Duration, rss float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	if len(f) < 22 {
		return 0, 0, errors.New("/proc/PID/stat: too short")
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

// figure is a name and what its rounds gave.
type figure struct{ subject, what string }

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
	node, err := start(nil, self, "--gorselink=x", "--role=node", fmt.Sprintf("--nodes=%d", o.Nodes), fmt.Sprintf("--body=%d", o.Body))
	if err != nil {
		return err
	}
	defer node.end()
	targets := strings.Split(node.addr, ",")
	reverse, err := start([]string{fmt.Sprintf("GOMAXPROCS=%d", o.Cores)}, self, "--gorselink=x", "--role=reverse", "--targets="+node.addr)
	if err != nil {
		return err
	}
	defer reverse.end()
	gorselink, err := o.startGorselink(dir, targets)
	if err != nil {
		return err
	}
	defer gorselink.end()
	subjects := []struct {
		name string
		p    *process
		addr string
	}{{"none", nil, targets[0]}, {"reverse", reverse, reverse.addr}, {"gorselink", gorselink, gorselink.addr}}
	got := map[figure][]float64{}
	put := func(subject, what string, v float64) {
		got[figure{subject, what}] = append(got[figure{subject, what}], v)
	}
	floor, err := load.MeasureFloor(ctx)
	if err != nil {
		return err
	}
	// The first round only warms up.
	for round := range o.Rounds + 1 {
		for _, s := range subjects {
			var before time.Duration
			if s.p != nil {
				if before, _, err = s.p.used(); err != nil {
					return err
				}
			}
			rep, err := o.run(dir, s.addr, o.Rate, "--budget", "2s")
			if err != nil {
				return fmt.Errorf("%s: %w", s.name, err)
			}
			if round == 0 {
				continue
			}
			if rep.Outcomes["ok"] != rep.Requests {
				return fmt.Errorf("%s: outcomes %v", s.name, rep.Outcomes)
			}
			for _, why := range rep.Verdict.Void {
				fmt.Fprintf(os.Stderr, "round %d, %s: void: %s\n", round, s.name, why)
			}
			put(s.name, "p50", rep.Latency.P50*1000)
			put(s.name, "p99", rep.Latency.P99*1000)
			put(s.name, "p99.9", rep.Latency.P999*1000)
			put(s.name, "own p99", rep.Schedule.P99*1000)
			if s.p != nil {
				after, rss, err := s.p.used()
				if err != nil {
					return err
				}
				put(s.name, "cpu", float64((after-before).Microseconds())/float64(rep.Requests))
				put(s.name, "rss", rss)
			}
		}
	}
	for round := range o.Rounds + 1 {
		for _, s := range subjects[1:] {
			before, _, err := s.p.used()
			if err != nil {
				return err
			}
			// No caller gives up: all connections are busy all the time.
			rep, err := o.run(dir, s.addr, o.Flood, "--budget", "0", "--grace", "0s")
			if err != nil {
				return fmt.Errorf("%s: %w", s.name, err)
			}
			if round == 0 {
				continue
			}
			after, rss, err := s.p.used()
			if err != nil {
				return err
			}
			put(s.name, "flood", float64(rep.Outcomes["ok"])/rep.Span)
			put(s.name, "flood cpu", (after-before).Seconds()/rep.Span)
			put(s.name, "flood rss", rss)
			for what, n := range rep.Outcomes {
				if what != "ok" && what != "timed_out" && what != "unanswered" {
					fmt.Fprintf(os.Stderr, "flood, round %d, %s: %d %s\n", round, s.name, n, what)
				}
			}
		}
	}
	return o.tell(os.Stdout, got, floor)
}

// run makes one stretch by gorselink load, a process of its own.
func (o options) run(dir, addr string, rate int, more ...string) (*load.Report, error) {
	file := filepath.Join(dir, "report.json")
	args := []string{"load", "--target", addr, "--shape", fmt.Sprintf("hold %d %v", rate, o.For), "--path", "/receipt/{rand:1-100000}",
		"--conns", strconv.Itoa(o.Conns), "--quiet", "--json", file}
	cmd := exec.Command(o.Gorselink, append(args, more...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 3) { // void: told by the caller
		return nil, fmt.Errorf("%w\n%s", err, out.String())
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return load.ReadReport(f)
}

func (o options) tell(w io.Writer, got map[figure][]float64, floor *load.Floor) error {
	fmt.Fprintf(w, "%d rounds of %v, alternating; %d nodes in one process, answers of %d bytes, %d connections; proxies on %d cores\n", o.Rounds, o.For, o.Nodes, o.Body, o.Conns, o.Cores)
	fmt.Fprintf(w, "an echo in the generator's own process: p50 %.0f, p99 %.0f us\n\n", floor.P50*1000, floor.P99*1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tnone\treverse\tgorselink\tgorselink/reverse\t")
	line := func(title string, of func(subject string) []float64) {
		fmt.Fprintf(t, "%s\t", title)
		for _, s := range []string{"none", "reverse", "gorselink"} {
			fmt.Fprintf(t, "%s\t", spread(of(s)))
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
	direct := func(what string) func(string) []float64 {
		return func(s string) []float64 { return got[figure{s, what}] }
	}
	added := func(what string) func(string) []float64 {
		return func(s string) (d []float64) {
			base := got[figure{"none", what}]
			for i, v := range got[figure{s, what}] {
				if s != "none" {
					d = append(d, v-base[i])
				}
			}
			return d
		}
	}
	line(fmt.Sprintf("cpu of a request at %d/s, us", o.Rate), direct("cpu"))
	for _, p := range []string{"p50", "p99", "p99.9"} {
		line(p+" since due, us", direct(p))
		line("added "+p+", us", added(p))
	}
	line("generator's own error p99, us", direct("own p99"))
	line("resident, MB", direct("rss"))
	line("served at saturation, 1/s", direct("flood"))
	line("cores used there", direct("flood cpu"))
	line("resident there, MB", direct("flood rss"))
	return t.Flush()
}

// spread is the median of some figures and their range.
func spread(v []float64) string {
	if len(v) == 0 {
		return ""
	}
	v = slices.Sorted(slices.Values(v))
	form := "%.0f (%.0f to %.0f)"
	if v[len(v)/2] < 20 {
		form = "%.2f (%.2f to %.2f)"
	}
	return fmt.Sprintf(form, v[len(v)/2], v[0], v[len(v)-1])
}
