package proving

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

// Chains are calls through tiers: a process of the program before the stand-in nodes of
// each tier, and each node asks the next tier. What retries and refusals make of one
// request is counted at the nodes.
type Chains struct {
	Rate    float64       // requests a second at the first tier
	Nodes   int           // of a tier
	Work    time.Duration // of a node, on a request
	Queue   int           // requests that wait at a node in trouble; more are turned away
	Calm    time.Duration
	Trouble time.Duration // in which the tier in the middle can do half of what comes
	Gap     time.Duration // from its end to what is counted as after it
	After   time.Duration
}

func chains(t *tomlfile.Table) *Chains {
	c := &Chains{
		Rate: t.Number("rate", 40, 1, 1000), Nodes: t.Integer("nodes", 3, 1, 20), Work: t.Duration("work", 2*time.Millisecond, 0), Queue: t.Integer("queue", 4, 0, 1000),
		Calm: t.Duration("calm", 4*time.Second, time.Millisecond), Trouble: t.Duration("trouble", 3*time.Second, time.Millisecond),
		Gap: t.Duration("gap", 5*time.Second, 0), After: t.Duration("after", 3*time.Second, time.Millisecond),
	}
	t.RejectUnknownKeys()
	return c
}

// mostDepth bounds a chain: a process for each tier.
const mostDepth = 100

// tier is the nodes of a tier and what came to them.
type tier struct {
	servers []*http.Server
	addrs   []string
	next    string // the front of the next tier; "" for the last one

	mu       sync.Mutex
	begin    time.Time
	arrivals []time.Duration
	slots    []chan struct{} // of each node; nil while it can do all that comes
	work     time.Duration
	queue    int
	waiting  []atomic.Int64
}

// startTier starts nodes that ask next for each request, and give its answer.
func startTier(c *Chains, client *http.Client, next string) (*tier, error) {
	t := &tier{next: next, work: c.Work, queue: c.Queue, slots: make([]chan struct{}, c.Nodes), waiting: make([]atomic.Int64, c.Nodes)}
	for i := range c.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.close()
			return nil, fmt.Errorf("tier: %w", err)
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

// overload lets each node do one request at a time, each of which takes work; 0 ends it.
func (t *tier) overload(work, calm time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = cmp.Or(work, calm)
	for i := range t.slots {
		if t.slots[i] = nil; work > 0 {
			t.slots[i] = make(chan struct{}, 1)
		}
	}
}

func (t *tier) serve(w http.ResponseWriter, q *http.Request, client *http.Client, node int) {
	t.mu.Lock()
	if !t.begin.IsZero() {
		t.arrivals = append(t.arrivals, time.Since(t.begin))
	}
	slot, work := t.slots[node], t.work
	t.mu.Unlock()
	if slot != nil {
		full := t.waiting[node].Add(1) > int64(t.queue)+1
		defer t.waiting[node].Add(-1)
		if full {
			http.Error(w, "the queue is full", http.StatusServiceUnavailable)
			return
		}
		select {
		case slot <- struct{}{}:
		case <-q.Context().Done():
			return
		}
	}
	alive := pause(q.Context(), work)
	if slot != nil {
		<-slot
	}
	if !alive || t.next == "" {
		return
	}
	status, err := get(q.Context(), client, t.next)
	if err != nil {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

func get(ctx context.Context, client *http.Client, url string) (status int, err error) {
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

// chainEnd is one request at the first tier.
type chainEnd struct {
	due, took time.Duration
	good      bool
}

// playChain plays a chain of some depth.
func playChain(ctx context.Context, s *Scale, depth int, o *ScaleOptions) (m *Measured, err error) {
	c := s.Chains
	if o.Program == "" {
		return nil, errors.New("no program: --build NAME=PROGRAM")
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	dir, err := takeDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	block, lock, err := takeBlock()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	nurse := newNursery()
	defer nurse.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	front := func(k int) string { return fmt.Sprintf("%s:%d", hostOf(block, k), portBase) }
	tiers := make([]*tier, depth)
	var crashed atomic.Int64
	for k := depth - 1; k >= 0; k-- {
		next := ""
		if k < depth-1 {
			next = "http://" + front(k+1) + "/"
		}
		if tiers[k], err = startTier(c, client, next); err != nil {
			return nil, err
		}
		defer tiers[k].close()
		home := filepath.Join(dir, instanceName(k))
		if err := os.Mkdir(home, 0o700); err != nil {
			return nil, err
		}
		p := &instance{
			place: &Place{Name: instanceName(k), Dir: home, Config: filepath.Join(home, "config.toml")}, program: program, nursery: nurse, within: 20 * time.Second,
			ready: "http://" + front(k) + "/", crashed: func(line string) { crashed.Add(1); o.tell("%s", line) },
			config: fmt.Sprintf("[process]\nname = \"tier-%d\"\ncores = 1\nmemory = \"64 MiB\"\ndescriptors = 1024\n[listeners.in]\naddress = %q\n[pools.all]\nnodes = [%s]\n[[routes]]\npool = \"all\"\n", k, front(k), `"`+strings.Join(tiers[k].addrs, `", "`)+`"`),
		}
		p.args = []string{"serve", "--config", p.place.Config}
		if err := p.start(); err != nil {
			return nil, err
		}
		defer p.kill()
		// The last tier first: a request through a front goes through all behind it.
		if err := p.await(ctx, client); err != nil {
			return nil, err
		}
	}
	before, err := theMachine()
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	for _, t := range tiers {
		t.mu.Lock()
		t.begin = begin
		t.mu.Unlock()
	}
	ends := loadChain(ctx, c, client, "http://"+front(0)+"/", begin, tiers[depth/2])
	if ctx.Err() != nil {
		return nil, fmt.Errorf("broken off: %w", ctx.Err())
	}
	after, err := theMachine()
	if err != nil {
		return nil, err
	}
	m = c.measure(tiers, ends)
	m.At, m.Crashed = depth, int(crashed.Load())
	busy := float64(after.busy-before.busy) / float64(max(1, after.all-before.all))
	if m.Costs["busy"] = 100 * busy; busy > mostBusy {
		m.Void = append(m.Void, fmt.Sprintf("the machine was busy for %.0f%% of the time, want %.0f%% at most", 100*busy, 100*mostBusy))
	}
	return m, nil
}

// loadChain makes the requests, each when it is due, and brings the trouble.
func loadChain(ctx context.Context, c *Chains, client *http.Client, url string, begin time.Time, middle *tier) (ends []chainEnd) {
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Go(func() {
		if pause(ctx, time.Until(begin.Add(c.Calm))) {
			middle.overload(time.Duration(2*float64(c.Nodes)/c.Rate*float64(time.Second)), c.Work)
			pause(ctx, time.Until(begin.Add(c.Calm+c.Trouble)))
			middle.overload(0, c.Work)
		}
	})
	every := time.Duration(float64(time.Second) / c.Rate)
	for due := time.Duration(0); due < c.Calm+c.Trouble+c.Gap+c.After && pause(ctx, time.Until(begin.Add(due))); due += every {
		all.Go(func() {
			status, err := get(ctx, client, url)
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, chainEnd{due, time.Since(begin) - due, err == nil && status < 400})
		})
	}
	all.Wait()
	return ends
}

// measure counts each phase: attempts at the last tier, and at the tier where there were
// most, for each request at the first; the share that failed; in calm the times too.
func (c *Chains) measure(tiers []*tier, ends []chainEnd) *Measured {
	m := &Measured{Size: Size{Sidecars: len(tiers), Services: len(tiers), Endpoints: c.Nodes}, Costs: map[string]float64{}}
	end := c.Calm + c.Trouble
	for _, ph := range []struct {
		name     string
		from, to time.Duration
	}{{"calm", 0, c.Calm}, {"trouble", c.Calm, end}, {"after", end + c.Gap, end + c.Gap + c.After}} {
		var took []float64
		asked, failed := 0, 0
		for _, e := range ends {
			if e.due < ph.from || e.due >= ph.to {
				continue
			}
			asked++
			if !e.good {
				failed++
			}
			took = append(took, e.took.Seconds()*1000)
		}
		if asked == 0 {
			continue
		}
		most := 0.0
		for k, t := range tiers {
			t.mu.Lock()
			n := 0
			for _, at := range t.arrivals {
				if at >= ph.from && at < ph.to {
					n++
				}
			}
			t.mu.Unlock()
			tries := float64(n) / float64(asked)
			most = max(most, tries)
			if k == len(tiers)-1 {
				m.Costs[ph.name+"_last"] = tries
			}
		}
		m.Costs[ph.name+"_most"], m.Costs[ph.name+"_failed"] = most, float64(failed)/float64(asked)
		slices.Sort(took)
		m.Costs[ph.name+"_p50"], m.Costs[ph.name+"_p99"] = took[len(took)/2], took[len(took)*99/100]
	}
	return m
}
