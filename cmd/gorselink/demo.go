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
	"gorselink/internal/standin"
)

type demoCommand struct {
	For    time.Duration `default:"15s" help:"How long it runs, 10 minutes at most. A third of the way the nodes of donate freeze, and come back after two thirds."`
	Rate   int           `default:"50" help:"Requests a second to each service."`
	Listen string        `default:"127.0.0.1:0" help:"Where the daemon listens."`
	Calm   bool          `help:"Breaks nothing by itself."`
}

const (
	demoNodes   = 3
	demoMost    = 10 * time.Minute
	demoWork    = 5 * time.Millisecond
	demoCores   = 4
	demoMaxRate = 2000
)

// demoServices are the two services; each has a host of its own.
var demoServices = []string{"donate", "receipts"}

func demoHost(service string) string { return service + ".example.org" }

// demo is a running demonstration.
type demo struct {
	out    io.Writer
	daemon *daemon.Daemon
	nodes  map[string][]*standin.Node
	client http.Client
	base   string

	mu    sync.Mutex
	count map[string]*demoCount // of the present second
	all   map[string]*demoCount // since the begin
	mode  map[string]string     // of a service's nodes
}

// demoCount is what one service's requests came to.
type demoCount struct {
	asked, served, refused, failed int
	took                           []time.Duration
}

// Run starts all, drives traffic and shows it, and ends by itself.
func (c *demoCommand) Run(s *shell) error {
	if c.For <= 0 || c.For > demoMost {
		return fmt.Errorf("gorselink: demo: --for %v, want up to %v", c.For, demoMost)
	}
	if c.Rate < 1 || c.Rate > demoMaxRate {
		return fmt.Errorf("gorselink: demo: --rate %d, want 1 to %d", c.Rate, demoMaxRate)
	}
	d := &demo{out: s.out, nodes: map[string][]*standin.Node{}, count: map[string]*demoCount{}, all: map[string]*demoCount{}, mode: map[string]string{}}
	aside, err := logAside()
	if err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	defer aside.end(s.out)
	defer d.close()
	if err := d.start(c.Listen); err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	control, err := d.control()
	if err != nil {
		return fmt.Errorf("gorselink: demo: %w", err)
	}
	defer control.Close()
	d.explain(control.Addr().String())

	ctx, cancel := context.WithTimeout(s.ctx, c.For)
	defer cancel()
	var asking sync.WaitGroup
	for _, service := range demoServices {
		d.count[service], d.all[service], d.mode[service] = &demoCount{}, &demoCount{}, "serve"
	}
	for _, service := range demoServices {
		asking.Go(func() { d.drive(ctx, service, c.Rate) })
	}
	if !c.Calm {
		asking.Go(func() { d.breakDonate(ctx, c.For/3) })
	}
	d.show(ctx, s.redraw)
	asking.Wait()
	fmt.Fprintln(d.out)
	for _, service := range demoServices {
		c := d.all[service]
		fmt.Fprintf(d.out, "%s in all: %d asked, %d served, %d refused, %d failed\n", service, c.asked, c.served, c.refused, c.failed)
	}
	return nil
}

// start starts the stand-in nodes and the daemon before them.
func (d *demo) start(listen string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[listeners.public]\naddress = %q\n[classes.default]\naim = \"200ms\"\ndeadline = \"1s\"\n", listen)
	for _, service := range demoServices {
		fmt.Fprintf(&text, "[[routes]]\nhost = %q\npool = %q\n[pools.%s]\nnodes = [", demoHost(service), service, service)
		for i := range demoNodes {
			n, err := standin.StartNode(standin.NodeConfig{Name: fmt.Sprintf("%s-%d", service, i+1), Work: demoWork, Cores: demoCores})
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
	d.base = "http://" + d.daemon.Addr("public").String()
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

// control takes POST /SERVICE/MODE, which changes all nodes of a service.
func (d *demo) control() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(acceptloop.Wrap(l), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, mode, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
		if err := d.set(service, mode); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		fmt.Fprintf(w, "all nodes of %s: %s\n", service, mode)
	}))
	return l, nil
}

// set changes all nodes of a service.
func (d *demo) set(service, mode string) error {
	m, ok := standin.Modes[mode]
	if !ok && mode != "vanish" {
		return fmt.Errorf("mode %q, want serve, freeze, mute, error, spoil, reset, refuse or vanish", mode)
	}
	if len(d.nodes[service]) == 0 {
		return fmt.Errorf("service %q, want %s", service, strings.Join(demoServices, " or "))
	}
	for _, n := range d.nodes[service] {
		if mode == "vanish" {
			n.Vanish()
			continue
		}
		if err := n.Return(); err != nil {
			return err
		}
		n.Set(m)
	}
	d.mu.Lock()
	d.mode[service] = mode
	d.mu.Unlock()
	return nil
}

func (d *demo) explain(control string) {
	for _, service := range demoServices {
		fmt.Fprintf(d.out, "curl -H 'Host: %s' %s/hello\n", demoHost(service), d.base)
	}
	fmt.Fprintf(d.out, "\nBreak a service and mend it; the other does not notice:\n")
	fmt.Fprintf(d.out, "curl -X POST http://%s/donate/freeze    # or mute, error, spoil, reset, refuse, vanish\n", control)
	fmt.Fprintf(d.out, "curl -X POST http://%s/donate/serve\n\n", control)
}

// breakDonate freezes the nodes of one service for a while.
func (d *demo) breakDonate(ctx context.Context, after time.Duration) {
	for _, mode := range []string{"freeze", "serve"} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(after):
		}
		if err := d.set("donate", mode); err != nil {
			slog.Error("demo", "error", err)
			return
		}
	}
}

// drive asks a service at an even rate, whether or not answers come, and waits
// for the last ones.
func (d *demo) drive(ctx context.Context, service string, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			asking.Go(func() { d.ask(service) })
		}
	}
}

func (d *demo) ask(service string) {
	begin := time.Now()
	status := 0
	if req, err := http.NewRequest(http.MethodGet, d.base+"/hello", nil); err == nil {
		req.Host = demoHost(service)
		if resp, err := d.client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
	}
	took := time.Since(begin)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count[service].took = append(d.count[service].took, took)
	for _, c := range []*demoCount{d.count[service], d.all[service]} {
		c.asked++
		switch status {
		case http.StatusOK:
			c.served++
		case http.StatusServiceUnavailable:
			c.refused++
		default:
			c.failed++
		}
	}
}

// show has a row for each service, of the last second, until ctx ends: drawn
// over on a terminal, written anew elsewhere.
func (d *demo) show(ctx context.Context, redraw bool) {
	table := drawing{to: d.out, redraw: redraw}
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
			fmt.Fprintln(w, "second\tpool\tnodes\tasked\tserved\trefused\tfailed\tp50\tp99\t")
		}
		d.mu.Lock()
		for _, service := range demoServices {
			c := d.count[service]
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", second, service, d.mode[service], c.asked, c.served, c.refused, c.failed, quantile(c.took, 0.5), quantile(c.took, 0.99))
			*c = demoCount{}
		}
		d.mu.Unlock()
		w.Flush()
		table.show(text.String())
	}
}

// asideLog keeps the log of the process in a file for a while, out of the way
// of what is shown.
type asideLog struct {
	file   *os.File
	before *slog.Logger
	out    io.Writer // of package log, on which the logger from before may rest
	flags  int
}

func logAside() (*asideLog, error) {
	f, err := os.CreateTemp("", "gorselink-demo-*.log")
	if err != nil {
		return nil, fmt.Errorf("a file for the log: %w", err)
	}
	l := &asideLog{f, slog.Default(), log.Writer(), log.Flags()}
	slog.SetDefault(slog.New(slog.NewTextHandler(f, nil)))
	return l, nil
}

// end names the file, or removes it where nothing was logged.
func (l *asideLog) end(out io.Writer) {
	slog.SetDefault(l.before)
	log.SetOutput(l.out)
	log.SetFlags(l.flags)
	info, err := l.file.Stat()
	l.file.Close()
	if err == nil && info.Size() == 0 {
		os.Remove(l.file.Name())
		return
	}
	fmt.Fprintf(out, "the daemon's log: %s\n", l.file.Name())
}

// quantile is one of some times, or "-" where there are none.
func quantile(took []time.Duration, q float64) string {
	if len(took) == 0 {
		return "-"
	}
	slices.Sort(took)
	return took[min(int(q*float64(len(took))), len(took)-1)].Round(100 * time.Microsecond).String()
}
