package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/config"
	"gorselink/internal/daemon"
	"gorselink/internal/fakeserver"
)

type demoCommand struct {
	For    time.Duration `default:"15s" help:"Duration of the demo, at most 10 minutes. The nodes of donate freeze after a third of it and recover after two thirds."`
	Rate   int           `default:"50" help:"Requests per second to each service."`
	Listen string        `default:"127.0.0.1:0" help:"Listen address of the daemon."`
	Calm   bool          `help:"Do not inject failures."`
}

const (
	demoNodes       = 3
	demoMaxDuration = 10 * time.Minute
	demoWorkTime    = 5 * time.Millisecond
	demoNodeCores   = 4
	demoMaxRate     = 2000
)

// demoServices are the names of the services. Each has its own host.
var demoServices = []string{"donate", "receipts"}

func demoHost(service string) string { return service + ".example.org" }

// demo is a running demonstration.
type demo struct {
	out     io.Writer
	daemon  *daemon.Daemon
	nodes   map[string][]*fakeserver.Node
	client  http.Client
	baseURL string

	mu        sync.Mutex
	perSecond map[string]*demoCounts // requests since the last table row
	totals    map[string]*demoCounts // requests since the start
	modes     map[string]string      // of the nodes, by service
}

// demoCounts counts the requests to one service by result.
type demoCounts struct {
	sent, served, rejected, failed int
	latencies                      []time.Duration
}

// Run starts the nodes and the daemon, sends requests and prints the results until the
// duration has passed.
func (c *demoCommand) Run(env *environment) error {
	if c.For <= 0 || c.For > demoMaxDuration {
		return fmt.Errorf("gorselink: demo: --for %v: must be positive and at most %v", c.For, demoMaxDuration)
	}
	if c.Rate < 1 || c.Rate > demoMaxRate {
		return fmt.Errorf("gorselink: demo: --rate %d: must be from 1 to %d", c.Rate, demoMaxRate)
	}
	d := &demo{out: env.stdout, nodes: map[string][]*fakeserver.Node{}, perSecond: map[string]*demoCounts{}, totals: map[string]*demoCounts{}, modes: map[string]string{}}
	redirected, err := redirectLog()
	if err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	defer redirected.restore(env.stdout)
	defer d.close()
	if err := d.start(c.Listen); err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	controlListener, err := d.startControl()
	if err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	defer controlListener.Close()
	d.printInstructions(controlListener.Addr().String())

	ctx, cancel := context.WithTimeout(env.ctx, c.For)
	defer cancel()
	var running sync.WaitGroup
	for _, service := range demoServices {
		d.perSecond[service], d.totals[service], d.modes[service] = &demoCounts{}, &demoCounts{}, "serve"
	}
	for _, service := range demoServices {
		running.Go(func() { d.sendRequests(ctx, service, c.Rate) })
	}
	if !c.Calm {
		running.Go(func() { d.freezeDonate(ctx, c.For/3) })
	}
	d.showTable(ctx, env.redraw)
	running.Wait()
	fmt.Fprintln(d.out)
	for _, service := range demoServices {
		c := d.totals[service]
		fmt.Fprintf(d.out, "%s total: %d requests, %d served, %d rejected, %d failed\n", service, c.sent, c.served, c.rejected, c.failed)
	}
	return nil
}

// start starts the nodes and a daemon in front of them.
func (d *demo) start(listen string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[listeners.public]\naddress = %q\n[classes.default]\naim = \"200ms\"\ndeadline = \"1s\"\n", listen)
	for _, service := range demoServices {
		fmt.Fprintf(&text, "[[routes]]\nhost = %q\npool = %q\n[pools.%s]\nnodes = [", demoHost(service), service, service)
		for i := range demoNodes {
			n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprintf("%s-%d", service, i+1), Work: demoWorkTime, Cores: demoNodeCores})
			if err != nil {
				return err
			}
			d.nodes[service] = append(d.nodes[service], n)
			fmt.Fprintf(&text, "%q,", n.Addr()+" name="+n.Name())
		}
		text.WriteString("]\n")
	}
	cfg, err := config.ParseDaemon("demo", []byte(text.String()))
	if err != nil {
		return err
	}
	if d.daemon, err = daemon.Start(cfg); err != nil {
		return err
	}
	d.baseURL = "http://" + d.daemon.Addr("public").String()
	d.client = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return nil
}

func (d *demo) close() {
	d.client.CloseIdleConnections()
	if d.daemon != nil {
		d.daemon.Close()
	}
	for _, nodes := range d.nodes {
		for _, n := range nodes {
			n.Close()
		}
	}
}

// startControl starts an HTTP server on which POST /SERVICE/MODE sets the mode of all
// nodes of a service.
func (d *demo) startControl() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(acceptloop.Wrap(l), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, mode, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
		if err := d.setMode(service, mode); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		fmt.Fprintf(w, "mode of all nodes of %s: %s\n", service, mode)
	}))
	return l, nil
}

// setMode sets the mode of all nodes of a service.
func (d *demo) setMode(service, mode string) error {
	m, ok := fakeserver.ModesByName[mode]
	if !ok && mode != "vanish" {
		return fmt.Errorf("unknown mode %q: must be serve, freeze, mute, error, spoil, reset, refuse or vanish", mode)
	}
	if len(d.nodes[service]) == 0 {
		return fmt.Errorf("unknown service %q: must be %s", service, strings.Join(demoServices, " or "))
	}
	for _, n := range d.nodes[service] {
		if mode == "vanish" {
			n.Crash()
			continue
		}
		if err := n.Restart(); err != nil {
			return err
		}
		n.SetMode(m)
	}
	d.mu.Lock()
	d.modes[service] = mode
	d.mu.Unlock()
	return nil
}

func (d *demo) printInstructions(control string) {
	for _, service := range demoServices {
		fmt.Fprintf(d.out, "curl -H 'Host: %s' %s/hello\n", demoHost(service), d.baseURL)
	}
	fmt.Fprintf(d.out, "\nMake one service fail and recover; the other service is not affected:\n")
	fmt.Fprintf(d.out, "curl -X POST http://%s/donate/freeze    # or mute, error, spoil, reset, refuse, vanish\n", control)
	fmt.Fprintf(d.out, "curl -X POST http://%s/donate/serve\n\n", control)
}

// freezeDonate freezes the nodes of donate after the interval and unfreezes them after another
// one.
func (d *demo) freezeDonate(ctx context.Context, interval time.Duration) {
	for _, mode := range []string{"freeze", "serve"} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if err := d.setMode("donate", mode); err != nil {
			slog.Error("changing the mode of the donate nodes failed; no more failures are injected", "error", err)
			return
		}
	}
}

// sendRequests sends requests to a service at a constant rate, regardless of the
// responses, until ctx ends. It then waits for the open requests.
func (d *demo) sendRequests(ctx context.Context, service string, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			open.Go(func() { d.sendRequest(service) })
		}
	}
}

func (d *demo) sendRequest(service string) {
	started := time.Now()
	status := 0
	if req, err := http.NewRequest(http.MethodGet, d.baseURL+"/hello", nil); err == nil {
		req.Host = demoHost(service)
		if resp, err := d.client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
	}
	latency := time.Since(started)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perSecond[service].latencies = append(d.perSecond[service].latencies, latency)
	for _, c := range []*demoCounts{d.perSecond[service], d.totals[service]} {
		c.sent++
		switch status {
		case http.StatusOK:
			c.served++
		case http.StatusServiceUnavailable:
			c.rejected++
		default:
			c.failed++
		}
	}
}

// showTable prints a row for each service every second until ctx ends. On a terminal it
// overwrites the previous rows.
func (d *demo) showTable(ctx context.Context, redraw bool) {
	table := textBlock{out: d.out, redraw: redraw}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var text strings.Builder
		w := tabwriter.NewWriter(&text, 9, 0, 1, ' ', tabwriter.AlignRight)
		if redraw || second%10 == 1 {
			fmt.Fprintln(w, "second\tpool\tnodes\trequests\tserved\trejected\tfailed\tp50\tp99\t")
		}
		d.mu.Lock()
		for _, service := range demoServices {
			c := d.perSecond[service]
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", second, service, d.modes[service], c.sent, c.served, c.rejected, c.failed, quantile(c.latencies, 0.5), quantile(c.latencies, 0.99))
			*c = demoCounts{}
		}
		d.mu.Unlock()
		w.Flush()
		table.show(text.String())
	}
}

// redirectedLog writes the log of the process to a file instead of the terminal.
type redirectedLog struct {
	file           *os.File
	previous       *slog.Logger
	previousOutput io.Writer // of package log, which the previous logger may use
	previousFlags  int
}

// redirectLog starts writing the log to a new temporary file.
func redirectLog() (*redirectedLog, error) {
	f, err := os.CreateTemp("", "gorselink-demo-*.log")
	if err != nil {
		return nil, fmt.Errorf("cannot create the log file: %w", err)
	}
	l := &redirectedLog{f, slog.Default(), log.Writer(), log.Flags()}
	slog.SetDefault(slog.New(slog.NewTextHandler(f, nil)))
	return l, nil
}

// restore restores the previous logger. It prints the name of the file, or removes the
// file if it is empty.
func (l *redirectedLog) restore(out io.Writer) {
	slog.SetDefault(l.previous)
	log.SetOutput(l.previousOutput)
	log.SetFlags(l.previousFlags)
	info, err := l.file.Stat()
	l.file.Close()
	if err == nil && info.Size() == 0 {
		os.Remove(l.file.Name())
		return
	}
	fmt.Fprintf(out, "log of the daemon: %s\n", l.file.Name())
}

// quantile returns a quantile of the latencies, or "-" if there are none.
func quantile(latencies []time.Duration, q float64) string {
	if len(latencies) == 0 {
		return "-"
	}
	slices.Sort(latencies)
	return latencies[min(int(q*float64(len(latencies))), len(latencies)-1)].Round(100 * time.Microsecond).String()
}
