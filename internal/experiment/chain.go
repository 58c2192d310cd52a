package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/tomlfile"
)

// Chains describes request chains through several tiers: each tier is a process of the
// program in front of fake nodes, and each node sends a request to the next tier. It measures how
// retries and rejections multiply attempts.
type Chains struct {
	Rate        float64       // requests per second at the first tier
	Nodes       int           // nodes per tier
	Work        time.Duration // time that a node spends on a request
	Queue       int           // requests that may wait at an overloaded node; further ones get status 503
	Baseline    time.Duration
	Overload    time.Duration // duration of the overload, in which the middle tier can serve half of the load
	RecoveryGap time.Duration // time between the end of the overload and the recovery phase
	Recovery    time.Duration
}

func parseChains(t *tomlfile.Table) *Chains {
	c := &Chains{
		Rate: t.Number("rate", 40, 1, 1000), Nodes: t.Integer("nodes", 3, 1, 20), Work: t.Duration("work", 2*time.Millisecond, 0), Queue: t.Integer("queue", 4, 0, 1000),
		Baseline: t.Duration("calm", 4*time.Second, time.Millisecond), Overload: t.Duration("trouble", 3*time.Second, time.Millisecond),
		RecoveryGap: t.Duration("gap", 5*time.Second, 0), Recovery: t.Duration("after", 3*time.Second, time.Millisecond),
	}
	t.RejectUnknownKeys()
	return c
}

// maxChainDepth bounds the number of tiers, each of which is a process.
const maxChainDepth = 100

// tier holds the nodes of one tier and their arrivals.
type tier struct {
	servers []*http.Server
	addrs   []string
	nextURL string // the next tier's process; "" for the last tier

	mu        sync.Mutex
	startedAt time.Time
	arrivals  []time.Duration
	slots     []chan struct{} // by node; nil while the node is not overloaded
	work      time.Duration
	queue     int
	waiting   []atomic.Int64
}

// startTier starts nodes that request nextURL for each request and return its status.
func startTier(c *Chains, client *http.Client, nextURL string) (*tier, error) {
	t := &tier{nextURL: nextURL, work: c.Work, queue: c.Queue, slots: make([]chan struct{}, c.Nodes), waiting: make([]atomic.Int64, c.Nodes)}
	for i := range c.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.close()
			return nil, fmt.Errorf("listen for a node of a tier: %w", err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { t.serve(w, q, client, i) })}
		t.servers, t.addrs = append(t.servers, s), append(t.addrs, l.Addr().String())
		go s.Serve(acceptloop.Wrap(l))
	}
	return t, nil
}

func (t *tier) close() {
	for _, s := range t.servers {
		s.Close()
	}
}

// setOverload limits each node to one request at a time, each taking work. A work of 0 ends
// the overload.
func (t *tier) setOverload(work, normalWork time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = cmp.Or(work, normalWork)
	for i := range t.slots {
		if t.slots[i] = nil; work > 0 {
			t.slots[i] = make(chan struct{}, 1)
		}
	}
}

// serve handles a request at a node: it waits for a free slot if the node is overloaded, works, and
// returns the status of the next tier.
func (t *tier) serve(w http.ResponseWriter, q *http.Request, client *http.Client, node int) {
	t.mu.Lock()
	if !t.startedAt.IsZero() {
		t.arrivals = append(t.arrivals, time.Since(t.startedAt))
	}
	slot, work := t.slots[node], t.work
	t.mu.Unlock()
	if slot != nil {
		full := t.waiting[node].Add(1) > int64(t.queue)+1
		defer t.waiting[node].Add(-1)
		if full {
			http.Error(w, "node queue is full", http.StatusServiceUnavailable)
			return
		}
		select {
		case slot <- struct{}{}:
		case <-q.Context().Done():
			return
		}
	}
	completed := sleep(q.Context(), work)
	if slot != nil {
		<-slot
	}
	if !completed || t.nextURL == "" {
		return
	}
	status, err := getStatus(q.Context(), client, t.nextURL)
	if err != nil {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// getStatus sends a GET request and returns the status of the response.
func getStatus(ctx context.Context, client *http.Client, url string) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// chainOutcome is the outcome of one request at the first tier.
type chainOutcome struct {
	due, took time.Duration
	ok        bool
}

// runChain measures a chain with the given number of tiers.
func runChain(ctx context.Context, s *ScaleExperiment, depth int, o *ScaleOptions) (m *Measured, err error) {
	c := s.Chains
	if o.Program == "" {
		return nil, errors.New("no program given: want --build NAME=PROGRAM")
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	dir, err := makeRunDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	block, lock, err := acquireAddressBlock()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	spawner := newProcessSpawner()
	defer spawner.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	frontAddr := func(k int) string { return fmt.Sprintf("%s:%d", instanceHost(block, k), portBase) }
	tiers := make([]*tier, depth)
	var crashed atomic.Int64
	for k := depth - 1; k >= 0; k-- {
		next := ""
		if k < depth-1 {
			next = "http://" + frontAddr(k+1) + "/"
		}
		if tiers[k], err = startTier(c, client, next); err != nil {
			return nil, err
		}
		defer tiers[k].close()
		instanceDir := filepath.Join(dir, formatInstanceName(k))
		if err := os.Mkdir(instanceDir, 0o700); err != nil {
			return nil, err
		}
		p := &instance{
			info: &InstanceInfo{Name: formatInstanceName(k), Dir: instanceDir, Config: filepath.Join(instanceDir, "config.toml")}, program: program, spawner: spawner, readyTimeout: 20 * time.Second,
			readyURL: "http://" + frontAddr(k) + "/", onCrash: func(line string) { crashed.Add(1); o.logf("%s", line) },
			config: fmt.Sprintf("[process]\nname = \"tier-%d\"\ncores = 1\nmemory = \"64 MiB\"\ndescriptors = 1024\n[listeners.in]\naddress = %q\n[pools.all]\nnodes = [%s]\n[[routes]]\npool = \"all\"\n", k, frontAddr(k), `"`+strings.Join(tiers[k].addrs, `", "`)+`"`),
		}
		p.args = []string{"serve", "--config", p.info.Config}
		if err := p.start(); err != nil {
			return nil, err
		}
		defer p.kill()
		// The last tier starts first, as the readiness request of a tier passes through all later tiers.
		if err := p.awaitReady(ctx, client); err != nil {
			return nil, err
		}
	}
	before, err := readMachineStats()
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	for _, t := range tiers {
		t.mu.Lock()
		t.startedAt = begin
		t.mu.Unlock()
	}
	ends := generateChainLoad(ctx, c, client, "http://"+frontAddr(0)+"/", begin, tiers[depth/2])
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	after, err := readMachineStats()
	if err != nil {
		return nil, err
	}
	m = c.computeCosts(tiers, ends)
	m.At, m.Crashed = depth, int(crashed.Load())
	busy := float64(after.busyTicks-before.busyTicks) / float64(max(1, after.totalTicks-before.totalTicks))
	if m.Costs["busy"] = 100 * busy; busy > maxMachineBusy {
		m.Void = append(m.Void, fmt.Sprintf("the machine was busy for %.0f%% of the time, want %.0f%% at most", 100*busy, 100*maxMachineBusy))
	}
	return m, nil
}

// generateChainLoad sends each request when it is due, and overloads the middle tier.
func generateChainLoad(ctx context.Context, c *Chains, client *http.Client, url string, begin time.Time, middle *tier) (ends []chainOutcome) {
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Go(func() {
		if sleep(ctx, time.Until(begin.Add(c.Baseline))) {
			middle.setOverload(time.Duration(2*float64(c.Nodes)/c.Rate*float64(time.Second)), c.Work)
			sleep(ctx, time.Until(begin.Add(c.Baseline+c.Overload)))
			middle.setOverload(0, c.Work)
		}
	})
	every := time.Duration(float64(time.Second) / c.Rate)
	for due := time.Duration(0); due < c.Baseline+c.Overload+c.RecoveryGap+c.Recovery && sleep(ctx, time.Until(begin.Add(due))); due += every {
		all.Go(func() {
			status, err := getStatus(ctx, client, url)
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, chainOutcome{due, time.Since(begin) - due, err == nil && status < 400})
		})
	}
	all.Wait()
	return ends
}

// computeCosts returns, for each phase, the attempts per request at the last tier and at the
// tier with the most, the share of failed requests, and the latencies.
func (c *Chains) computeCosts(tiers []*tier, ends []chainOutcome) *Measured {
	m := &Measured{Size: Size{Sidecars: len(tiers), Services: len(tiers), Endpoints: c.Nodes}, Costs: map[string]float64{}}
	end := c.Baseline + c.Overload
	for _, ph := range []struct {
		name     string
		from, to time.Duration
	}{{"calm", 0, c.Baseline}, {"trouble", c.Baseline, end}, {"after", end + c.RecoveryGap, end + c.RecoveryGap + c.Recovery}} {
		var took []float64
		requests, failed := 0, 0
		for _, e := range ends {
			if e.due < ph.from || e.due >= ph.to {
				continue
			}
			requests++
			if !e.ok {
				failed++
			}
			took = append(took, e.took.Seconds()*1000)
		}
		if requests == 0 {
			continue
		}
		maxAttempts := 0.0
		for k, t := range tiers {
			t.mu.Lock()
			n := 0
			for _, at := range t.arrivals {
				if at >= ph.from && at < ph.to {
					n++
				}
			}
			t.mu.Unlock()
			attempts := float64(n) / float64(requests)
			maxAttempts = max(maxAttempts, attempts)
			if k == len(tiers)-1 {
				m.Costs[ph.name+"_last"] = attempts
			}
		}
		m.Costs[ph.name+"_most"], m.Costs[ph.name+"_failed"] = maxAttempts, float64(failed)/float64(requests)
		slices.Sort(took)
		m.Costs[ph.name+"_p50"], m.Costs[ph.name+"_p99"] = took[len(took)/2], took[len(took)*99/100]
	}
	return m
}
